"""Runs on workers that have announced when they leave."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.speeds import estimate_remaining
from damaskdeck.state.pooljobs import Run, RunPhase

# A registration is read this long after it was written at most; actual lags are 0.12
# to 0.38 s.
NOTICE_LAG_SECONDS = 0.4
# A run that would lose its work is stopped early only if its remaining time exceeds the
# remaining stay by this factor, as estimates are off by half.
TOO_LATE_FACTOR = 1.3


def find_runs_to_stop(
    contacts: Iterable[WorkerContact], max_stop_time: timedelta, now: float
) -> Iterator[Run]:
    """Yield the runs to stop because they can't end on their departing workers.

    Long-running tasks are stopped at once. A run that keeps checkpoints continues as
    long as its worker's stay leaves time for a stop. A run without checkpoints is
    stopped as soon as it is clear that it would be cut off. A run that is cut off can't
    start elsewhere until its worker's lease expires, 6 s or more, whereas one that is
    stopped in time starts elsewhere at once.

    :param max_stop_time: the longest time that a worker needs for a stop.
    """
    for contact in contacts:
        if contact.leaves_at is None or not contact.are_runs_listed:
            continue
        seconds_left = contact.leaves_at - NOTICE_LAG_SECONDS - now
        for run in contact.runs.values():
            is_running = run.phase is RunPhase.RUNNING and run.stopping_since is None
            if is_running and _must_stop(run, seconds_left, max_stop_time, now):
                yield run


def _must_stop(
    run: Run, seconds_left: float, max_stop_time: timedelta, now: float
) -> bool:
    spec = run.task.step.spec
    if spec.is_long_running:
        # It starts on another worker in the time that this one still stays.
        return True
    needed = estimate_remaining(run, now)
    if seconds_left <= max_stop_time.total_seconds():
        return needed > seconds_left
    return not spec.is_checkpointing and needed > TOO_LATE_FACTOR * seconds_left
