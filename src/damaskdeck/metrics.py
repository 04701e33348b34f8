"""Metrics, recorded with OpenTelemetry.

Refusals and retries are counted separately for each reason.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

_meter = metrics.get_meter("damaskdeck")
_refusals = _meter.create_counter("damaskdeck_refusals", description="by part and code")
_retries = _meter.create_counter("damaskdeck_retries", description="by part and reason")
_drops = _meter.create_counter("damaskdeck_drops", description="by part and reason")
_preemptions = _meter.create_counter(
    "damaskdeck_preemptions", description="stopped runs, by queue of the stopped job"
)
_store_calls = _meter.create_counter("damaskdeck_store_calls", description="by kind")
_waits = _meter.create_histogram("damaskdeck_waiting_time", unit="s")
_latencies = _meter.create_histogram(
    "damaskdeck_latency", unit="s", description="by part and step"
)
_account_jobs = _meter.create_counter(
    "damaskdeck_account_jobs", description="ended, by client account and outcome"
)
_account_waiting = _meter.create_gauge(
    "damaskdeck_account_waiting", description="jobs that have started nothing"
)
_account_running = _meter.create_gauge(
    "damaskdeck_account_running", description="millicores counted as running"
)
_account_share = _meter.create_gauge(
    "damaskdeck_account_share", description="dominant share of the pools that is used"
)
_account_borrowed = _meter.create_gauge(
    "damaskdeck_account_borrowed",
    description="used share above the account's fraction by weight",
)
_account_beyond_rate = _meter.create_gauge(
    "damaskdeck_account_beyond_rate",
    description="open jobs that were accepted beyond the declared rate",
)
_speed_spread = _meter.create_gauge(
    "damaskdeck_speed_spread",
    description="standard deviation of the logarithm of workers' speeds, by pool",
)
_measured_workers = _meter.create_gauge(
    "damaskdeck_measured_workers", description="with a measured speed, by pool"
)
_packing = _meter.create_gauge(
    "damaskdeck_packing", description="share of the owned workers that is reserved"
)

# Batches are so frequent that the overhead of OpenTelemetry counters would be
# noticeable. They are counted in plain integers, which are read on export only.
_peer_messages = {"in": 0, "out": 0}
_peer_bytes = {"in": 0, "out": 0}


def _build_callback(
    counts: dict[str, int],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe_counts(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(count, {"direction": d}) for d, count in counts.items()]

    return observe_counts


_meter.create_observable_counter(
    "damaskdeck_peer_messages", [_build_callback(_peer_messages)]
)
_meter.create_observable_counter(
    "damaskdeck_peer_bytes", [_build_callback(_peer_bytes)], unit="By"
)


_revision = _meter.create_gauge(
    "damaskdeck_configuration_revision", description="in force on this daemon"
)


def set_packing(dimension: str, share: float) -> None:
    """Record the reserved share of the owned workers' capacity in one dimension."""
    _packing.set(share, {"dimension": dimension})


def count_refusal(part: str, code: str, amount: int = 1) -> None:
    """Count work refused by ``part`` with ``code``."""
    _refusals.add(amount, {"part": part, "code": code})


def count_retry(part: str, reason: str) -> None:
    """Count a retry made by ``part`` because of ``reason``."""
    _retries.add(1, {"part": part, "reason": reason})


def count_drop(part: str, reason: str, amount: int = 1) -> None:
    """Count something that ``part`` dropped, such as a late reply."""
    _drops.add(amount, {"part": part, "reason": reason})


def count_preemption(queue: str) -> None:
    """Count a run that was stopped for a more urgent step.

    :param queue: queue of the stopped run.
    """
    _preemptions.add(1, {"queue": queue})


def count_store_call(kind: str) -> None:
    """Count a call to the store.

    :param kind: operation, such as ``commit``.
    """
    _store_calls.add(1, {"kind": kind})


def count_peer_batch(direction: str, messages: int, size: int) -> None:
    """Count a batch of messages on a stream between daemons.

    :param direction: ``in`` or ``out``.
    :param messages: number of messages in the batch.
    :param size: size in bytes, without the framing of HTTP/2.
    """
    _peer_messages[direction] += messages
    _peer_bytes[direction] += size


def observe_wait(part: str, urgency: str, wait: timedelta) -> None:
    """Record how long a work item waited before it ran."""
    _waits.record(wait.total_seconds(), {"part": part, "urgency": urgency})


def set_revision(revision: int) -> None:
    """Record the revision of the configuration in force."""
    _revision.set(revision)


def observe_latency(part: str, step: str, seconds: float) -> None:
    """Record how long a step of ``part`` took."""
    _latencies.record(seconds, {"part": part, "step": step})


def set_account_share(account: str, share: float, borrowed: float, beyond: int) -> None:
    """Record the share of a client account.

    :param share: dominant share of the pools that it uses, from 0 to 1.
    :param borrowed: the part of it above its fraction by weight.
    :param beyond: number of its open jobs beyond its declared rate.
    """
    _account_share.set(share, {"account": account})
    _account_borrowed.set(borrowed, {"account": account})
    _account_beyond_rate.set(beyond, {"account": account})


def count_account_job(account: str, outcome: str) -> None:
    """Count a job of a client account that ended or was refused."""
    _account_jobs.add(1, {"account": account, "outcome": outcome})


def set_account(account: str, waiting: int, running: int) -> None:
    """Record the usage of a client account.

    :param waiting: number of jobs that have not started any task.
    :param running: millicores counted as running.
    """
    _account_waiting.set(waiting, {"account": account})
    _account_running.set(running, {"account": account})


def set_speed_spread(pool: str, deviation: float, measured: int) -> None:
    """Record how much the speeds of a pool's workers differ.

    :param deviation: standard deviation of the logarithms of the speeds.
    :param measured: number of workers whose speed is measured.
    """
    _speed_spread.set(deviation, {"pool": pool})
    _measured_workers.set(measured, {"pool": pool})
