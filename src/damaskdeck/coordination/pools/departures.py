"""What becomes of runs on workers that have said when they leave."""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.state.pooljobs import Run, RunPhase

# So much later than it was written a registration is read (0.12 to 0.38 s measured).
NOTICE_LAG_SECONDS = 0.4
# What loses its work by a stop is stopped at once only if it would be late by so much
# more than the time that is left; estimates are off by half.
HOPELESS_FACTOR = 1.3
# Before a run has come so far its progress says nothing about its pace.
TELLING_PERCENT = 5


def find_departing(
    contacts: Iterable[WorkerContact], max_stop_time: timedelta, now: float
) -> Iterator[Run]:
    """Yield the runs to stop as they can't end where they run.

    A run that keeps checkpoints works on as long as its worker stays; one that
    doesn't is stopped as soon as it is clear that it would be cut off. What is cut
    off waits for the worker's lease before it starts elsewhere, 6 s and more; what
    is stopped in time starts at once.

    :param max_stop_time: what a worker needs for a stop.
    """
    for contact in contacts:
        if contact.leaves_at is None or not contact.is_synchronized:
            continue
        stay = contact.leaves_at - NOTICE_LAG_SECONDS - now
        for run in contact.runs.values():
            is_running = run.phase is RunPhase.RUNNING and run.stopping_since is None
            if is_running and _must_go(run, stay, max_stop_time, now):
                yield run


def _must_go(run: Run, stay: float, max_stop_time: timedelta, now: float) -> bool:
    spec = run.task.step.spec
    if spec.is_long_running:
        # It starts elsewhere in the time that its worker still gives it here.
        return True
    needed = measure_rest(run, now)
    if stay <= max_stop_time.total_seconds():
        return needed > stay
    return not spec.is_checkpointing and needed > HOPELESS_FACTOR * stay


def measure_rest(run: Run, now: float) -> float:
    """Return the seconds until a run ends if it goes on as it has."""
    spec = run.task.step.spec
    first = run.first_percent if run.first_percent is not None else run.percent
    gained, took = run.percent - first, run.progressed_at - run.first_at
    missing = 100 - run.percent
    if gained < TELLING_PERCENT or took <= 0:
        return spec.estimate.total_seconds() * missing / 100
    return max(0.0, missing * took / gained - (now - run.progressed_at))
