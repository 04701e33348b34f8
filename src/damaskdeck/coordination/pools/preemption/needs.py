"""Which waiting steps preemption helps: late without it and in time with it."""

from collections.abc import Iterable

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.pending import RankedStep
from damaskdeck.coordination.pools.planning import has_rack_preference
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.urgency import DeadlineStatus
from damaskdeck.state.pooljobs import Step

# The time for the orders and for listing the ends of the stopped runs.
ORDER_SECONDS = 0.1
# Capacity is freed later than runs are expected to end, by the error of their estimates
# and because more urgent steps take some of it.
FORECAST_FACTOR = 4.0
# A step that has waited waits on for this multiple of that time, whatever is forecast.
WAITED_FACTOR = 4.0
# The standard deviation of the estimates of urgent steps, as a share of them.
ESTIMATE_ERROR = 0.2


def may_be_helped(entry: RankedStep, times: PoolTimes) -> bool:
    """Whether a step would be in time if it started after stops.

    Steps with a rack preference are left out: the choice of their racks is not a
    matter of capacity alone.
    """
    urgency, _, pending = entry
    spec = pending.step.spec
    needed = times.max_stop_time.total_seconds() + ORDER_SECONDS
    return (
        urgency.deadline_status is DeadlineStatus.ON_TIME
        and not spec.is_long_running
        and not has_rack_preference(spec)
        and urgency.slack >= needed
    )


def has_waited_too_long(step: Step, slack: float, now: float) -> bool:
    """Whether a step that waits on as it has waited so far starts too late.

    :param slack: seconds until its latest start.
    """
    since = step.constrained_since
    if since is None:
        return False
    return WAITED_FACTOR * (now - since) > slack - _measure_error(step)


def is_too_late(step: Step, slack: float, wait: float) -> bool:
    """Whether a step starts too late if enough runs should end in ``wait`` seconds."""
    return FORECAST_FACTOR * wait > slack - _measure_error(step)


def _measure_error(step: Step) -> float:
    return ESTIMATE_ERROR * step.spec.estimate.total_seconds()


def measure_drain_seconds(
    ranked: Iterable[RankedStep], rank: int, contacts: Iterable[WorkerContact]
) -> float:
    """Return how long all workers need for the waiting work up to a rank."""
    capacity = [0.0, 0.0, 0.0]
    for contact in contacts:
        for dimension, amount in enumerate(contact.info.size):
            capacity[dimension] += amount
    waiting = [0.0, 0.0, 0.0]
    for _, _, pending in ranked:
        if pending.step.job.queue.rank > rank:
            continue
        seconds = pending.step.spec.estimate.total_seconds() * len(pending.tasks)
        for dimension, amount in enumerate(pending.step.spec.size):
            waiting[dimension] += amount * seconds
    return max(
        (work / size for work, size in zip(waiting, capacity, strict=True) if size),
        default=0.0,
    )
