"""Metrics, exported with OpenTelemetry.

Refusals and retries are counted separately for each reason.

Recording doesn't need the library, which takes a sixth of a daemon's start to import:
counts and gauges are kept in dictionaries, which observable instruments read on export,
and the values of histograms are kept until :func:`connect_meter` passes them on. A
recorded count costs a dictionary update this way.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions, Meter, Observation

# How many values a histogram keeps before it requests the meter, and again each time
# that as many have been added.
MAX_PENDING_VALUES = 2000
# How many values a histogram keeps if the meter can't be loaded; more are dropped.
MAX_KEPT_VALUES = 10 * MAX_PENDING_VALUES


class _Values:
    """The current values of one metric, by the values of its labels."""

    def __init__(
        self, name: str, labels: tuple[str, ...], description: str = "", unit: str = ""
    ) -> None:
        self.name = name
        self.description = description
        self.unit = unit
        self.current: defaultdict[tuple[str, ...], float] = defaultdict(int)
        self._labels = labels

    def observe(self, options: "CallbackOptions") -> "Iterable[Observation]":
        """Return the current values; called by OpenTelemetry on export."""
        from opentelemetry.metrics import Observation

        return [
            Observation(value, dict(zip(self._labels, labels, strict=True)))
            for labels, value in self.current.items()
        ]


class _Histogram:
    """A histogram whose values are kept until it is connected."""

    def __init__(self, name: str, description: str = "") -> None:
        self.name = name
        self.description = description
        self.record: Callable[[float, dict[str, str]], None] = self._keep
        self._pending: list[tuple[float, dict[str, str]]] = []

    def _keep(self, value: float, labels: dict[str, str]) -> None:
        if len(self._pending) < MAX_KEPT_VALUES:
            self._pending.append((value, labels))
            if len(self._pending) % MAX_PENDING_VALUES == 0:
                _request_meter()

    def connect(self, meter: "Meter") -> None:
        """Pass on the values that were kept, and all further ones at once."""
        histogram = meter.create_histogram(self.name, "s", self.description)
        self.record = histogram.record
        for value, labels in self._pending:
            histogram.record(value, labels)
        self._pending.clear()


_refusals = _Values("damaskdeck_refusals", ("part", "code"), "by part and code")
_retries = _Values("damaskdeck_retries", ("part", "reason"), "by part and reason")
_drops = _Values("damaskdeck_drops", ("part", "reason"), "by part and reason")
_preemptions = _Values(
    "damaskdeck_preemptions", ("queue",), "stopped runs, by queue of the stopped job"
)
_store_calls = _Values("damaskdeck_store_calls", ("kind",), "by kind")
_account_jobs = _Values(
    "damaskdeck_account_jobs",
    ("account", "outcome"),
    "ended, by client account and outcome",
)
_peer_messages = _Values("damaskdeck_peer_messages", ("direction",))
_peer_bytes = _Values("damaskdeck_peer_bytes", ("direction",), unit="By")
_counters = (
    _refusals,
    _retries,
    _drops,
    _preemptions,
    _store_calls,
    _account_jobs,
    _peer_messages,
    _peer_bytes,
)
for _direction in ("in", "out"):
    _peer_messages.current[(_direction,)] = _peer_bytes.current[(_direction,)] = 0

_account_waiting = _Values(
    "damaskdeck_account_waiting", ("account",), "jobs that have started nothing"
)
_account_running = _Values(
    "damaskdeck_account_running", ("account",), "millicores counted as running"
)
_account_share = _Values(
    "damaskdeck_account_share",
    ("account",),
    "dominant share of the pools that is used",
)
_account_borrowed = _Values(
    "damaskdeck_account_borrowed",
    ("account",),
    "used share above the account's fraction by weight",
)
_account_beyond_rate = _Values(
    "damaskdeck_account_beyond_rate",
    ("account",),
    "open jobs that were accepted beyond the declared rate",
)
_speed_spread = _Values(
    "damaskdeck_speed_spread",
    ("pool",),
    "standard deviation of the logarithm of workers' speeds, by pool",
)
_measured_workers = _Values(
    "damaskdeck_measured_workers", ("pool",), "with a measured speed, by pool"
)
_packing = _Values(
    "damaskdeck_packing",
    ("dimension",),
    "share of the owned workers that is reserved",
)
_loop_busy = _Values(
    "damaskdeck_loop_busy", (), "share of the last second the event loop was busy"
)
_process_memory = _Values(
    "damaskdeck_process_memory", (), "resident memory of the process", "By"
)
_job_memory = _Values(
    "damaskdeck_job_memory",
    ("kind",),
    "estimated memory of all jobs of the owner, and its bound",
    "By",
)
_loop_iteration = _Values(
    "damaskdeck_loop_longest_iteration", (), "of the last second", "s"
)
_revision = _Values("damaskdeck_configuration_revision", (), "in force on this daemon")
_gauges = (
    _account_waiting,
    _account_running,
    _account_share,
    _account_borrowed,
    _account_beyond_rate,
    _speed_spread,
    _measured_workers,
    _packing,
    _process_memory,
    _job_memory,
    _loop_busy,
    _loop_iteration,
    _revision,
)

_waits = _Histogram("damaskdeck_waiting_time")
_latencies = _Histogram("damaskdeck_latency", "by part and step")

_meter_requests: list[Callable[[], None]] = []


def on_meter_required(request: Callable[[], None]) -> None:
    """Call ``request`` once many values of histograms are kept.

    It should have :func:`connect_meter` called soon.
    """
    _meter_requests.append(request)


def _request_meter() -> None:
    for request in _meter_requests:
        request()


def connect_meter(meter: "Meter") -> None:
    """Export through a meter what has been recorded and will be.

    This may be called only once, in the thread that records.
    """
    for counter in _counters:
        meter.create_observable_counter(
            counter.name, [counter.observe], counter.unit, counter.description
        )
    for gauge in _gauges:
        meter.create_observable_gauge(
            gauge.name, [gauge.observe], gauge.unit, gauge.description
        )
    for histogram in (_waits, _latencies):
        histogram.connect(meter)


def set_packing(dimension: str, share: float) -> None:
    """Record the reserved share of the owned workers' capacity in one dimension."""
    _packing.current[(dimension,)] = share


def count_refusal(part: str, code: str, amount: int = 1) -> None:
    """Count work refused by ``part`` with ``code``."""
    _refusals.current[part, code] += amount


def count_retry(part: str, reason: str) -> None:
    """Count a retry made by ``part`` because of ``reason``."""
    _retries.current[part, reason] += 1


def count_drop(part: str, reason: str, amount: int = 1) -> None:
    """Count something that ``part`` dropped, such as a late reply."""
    _drops.current[part, reason] += amount


def count_preemption(queue: str) -> None:
    """Count a run that was stopped for a more urgent step.

    :param queue: queue of the stopped run.
    """
    _preemptions.current[(queue,)] += 1


def count_store_call(kind: str) -> None:
    """Count a call to the store.

    :param kind: operation, such as ``commit``.
    """
    _store_calls.current[(kind,)] += 1


def count_peer_batch(direction: str, messages: int, size: int) -> None:
    """Count a batch of messages on a stream between daemons.

    :param direction: ``in`` or ``out``.
    :param messages: number of messages in the batch.
    :param size: size in bytes, without the framing of HTTP/2.
    """
    _peer_messages.current[(direction,)] += messages
    _peer_bytes.current[(direction,)] += size


def observe_wait(part: str, urgency: str, wait: timedelta) -> None:
    """Record how long a work item waited before it ran."""
    _waits.record(wait.total_seconds(), {"part": part, "urgency": urgency})


def set_revision(revision: int) -> None:
    """Record the revision of the configuration in force."""
    _revision.current[()] = revision


def observe_latency(part: str, step: str, seconds: float) -> None:
    """Record how long a step of ``part`` took."""
    _latencies.record(seconds, {"part": part, "step": step})


def set_loop_load(busy: float, longest: float) -> None:
    """Record the load of the event loop in the last second.

    :param busy: share of the time in which it did not wait, from 0 to 1.
    :param longest: the longest iteration, in seconds.
    """
    _loop_busy.current[()] = busy
    _loop_iteration.current[()] = longest


def set_process_memory(size: int) -> None:
    """Record the resident memory of the process, in bytes."""
    _process_memory.current[()] = size


def set_job_memory(used: int, limit: int) -> None:
    """Record the memory that all jobs of the owner need by estimate, and its bound.

    :param used: in bytes, as ``limit``.
    """
    _job_memory.current[("used",)] = used
    _job_memory.current[("limit",)] = limit


def set_account_share(account: str, share: float, borrowed: float, beyond: int) -> None:
    """Record the share of a client account.

    :param share: dominant share of the pools that it uses, from 0 to 1.
    :param borrowed: the part of it above its fraction by weight.
    :param beyond: number of its open jobs beyond its declared rate.
    """
    _account_share.current[(account,)] = share
    _account_borrowed.current[(account,)] = borrowed
    _account_beyond_rate.current[(account,)] = beyond


def count_account_job(account: str, outcome: str) -> None:
    """Count a job of a client account that ended or was refused."""
    _account_jobs.current[account, outcome] += 1


def set_account(account: str, waiting: int, running: int) -> None:
    """Record the usage of a client account.

    :param waiting: number of jobs that have not started any task.
    :param running: millicores counted as running.
    """
    _account_waiting.current[(account,)] = waiting
    _account_running.current[(account,)] = running


def set_speed_spread(pool: str, deviation: float, measured: int) -> None:
    """Record how much the speeds of a pool's workers differ.

    :param deviation: standard deviation of the logarithms of the speeds.
    :param measured: number of workers whose speed is measured.
    """
    _speed_spread.current[(pool,)] = deviation
    _measured_workers.current[(pool,)] = measured
