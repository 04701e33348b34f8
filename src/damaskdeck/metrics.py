"""Metrics by OpenTelemetry: a counter for each refusal and retry reason."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

_meter = metrics.get_meter("damaskdeck")
_refusals = _meter.create_counter("damaskdeck_refusals", description="by part and code")
_retries = _meter.create_counter("damaskdeck_retries", description="by part and reason")
_drops = _meter.create_counter("damaskdeck_drops", description="by part and reason")
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
_packing = _meter.create_gauge(
    "damaskdeck_packing", description="share of the owned workers that is reserved"
)

# Batches come so often that the counters' own cost would show: plain numbers,
# read when somebody asks for them.
_peer_messages = {"in": 0, "out": 0}
_peer_bytes = {"in": 0, "out": 0}


def _read_later(
    counts: dict[str, int],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(count, {"direction": d}) for d, count in counts.items()]

    return observe


_meter.create_observable_counter(
    "damaskdeck_peer_messages", [_read_later(_peer_messages)]
)
_meter.create_observable_counter(
    "damaskdeck_peer_bytes", [_read_later(_peer_bytes)], unit="By"
)


_revision = _meter.create_gauge(
    "damaskdeck_configuration_revision", description="in force on this daemon"
)


def set_packing(dimension: str, share: float) -> None:
    """Tell which share of the owned workers is reserved, in one dimension."""
    _packing.set(share, {"dimension": dimension})


def count_refusal(part: str, code: str, amount: int = 1) -> None:
    """Count work refused by ``part`` with ``code``."""
    _refusals.add(amount, {"part": part, "code": code})


def count_retry(part: str, reason: str) -> None:
    """Count a retry made by ``part`` because of ``reason``."""
    _retries.add(1, {"part": part, "reason": reason})


def count_drop(part: str, reason: str, amount: int = 1) -> None:
    """Count something dropped by ``part``, as a late answer."""
    _drops.add(amount, {"part": part, "reason": reason})


def count_store_call(kind: str) -> None:
    """Count a call to the store, by operation."""
    _store_calls.add(1, {"kind": kind})


def count_peer_batch(direction: str, messages: int, size: int) -> None:
    """Count a batch on a stream.

    :param direction: ``in`` or ``out``.
    :param messages: how many it holds.
    :param size: in bytes, without the framing of HTTP/2.
    """
    _peer_messages[direction] += messages
    _peer_bytes[direction] += size


def observe_wait(part: str, urgency: str, wait: timedelta) -> None:
    """Record how long a piece of work waited before it ran, in seconds."""
    _waits.record(wait.total_seconds(), {"part": part, "urgency": urgency})


def set_revision(revision: int) -> None:
    """Record the revision of the configuration that is in force."""
    _revision.set(revision)


def observe_latency(part: str, step: str, seconds: float) -> None:
    """Record how long a step of ``part`` took, in seconds."""
    _latencies.record(seconds, {"part": part, "step": step})


def count_account_job(account: str, outcome: str) -> None:
    """Count a job of a client account that ended, or was refused."""
    _account_jobs.add(1, {"account": account, "outcome": outcome})


def set_account(account: str, waiting: int, running: int) -> None:
    """Tell the jobs of a client account that wait, and the millicores that run."""
    _account_waiting.set(waiting, {"account": account})
    _account_running.set(running, {"account": account})
