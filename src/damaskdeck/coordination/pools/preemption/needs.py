"""Which waiting steps preemption helps: late without it and in time with it."""

import math
from collections.abc import Iterable

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.pending import RankedStep
from damaskdeck.coordination.pools.planning import has_rack_preference
from damaskdeck.coordination.pools.speeds import StepExpectation
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.urgency import DeadlineStatus
from damaskdeck.state.pooljobs import Step

# The time for the orders and for listing the ends of the stopped runs.
ORDER_SECONDS = 0.1
# A forecast counts as this much earlier: runs may end earlier than their estimates,
# which are off by about half for patient steps.
FORECAST_ERROR = 0.5
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


def measure_longest_wait(
    step: Step, slack: float, expectation: StepExpectation | None
) -> float:
    """Return for how many seconds a step can wait before it is almost surely late.

    It counts with the shortest duration that is likely, on the fast workers of an
    uneven pool: steps have less work than estimated as often as more.

    :param slack: seconds until its latest start by its estimate.
    :param expectation: of the step, ``None`` in an even pool.
    """
    if expectation is None:
        return slack + ESTIMATE_ERROR * step.spec.estimate.total_seconds()
    error = math.exp(-math.sqrt(expectation.variance))
    shortest = expectation.duration * expectation.fastest * error
    return expectation.available - shortest


def is_too_late(longest_wait: float, wait: float) -> bool:
    """Whether a step is late even if enough runs end earlier than forecast.

    :param longest_wait: seconds for which the step can wait.
    :param wait: the forecast wait in seconds.
    """
    return wait * math.exp(-FORECAST_ERROR) > longest_wait


def measure_work(step: Step) -> float:
    """Return the estimated work of the waiting tasks of a step in core-seconds."""
    seconds = step.spec.estimate.total_seconds() * step.count_waiting()
    return seconds * step.spec.size.millicores / 1000


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
        seconds = pending.step.spec.estimate.total_seconds() * pending.waiting
        for dimension, amount in enumerate(pending.step.spec.size):
            waiting[dimension] += amount * seconds
    return max(
        (work / size for work, size in zip(waiting, capacity, strict=True) if size),
        default=0.0,
    )
