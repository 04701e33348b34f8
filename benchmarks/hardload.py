"""The load of the deployment with uneven workers, as the page about hard load has it.

It has the queues, the jobs' sizes and how far estimates are off.
"""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.protocol.queues import AdvisorTiming, Queue

MILLISECOND = timedelta(milliseconds=1)


class Load(NamedTuple):
    """The jobs of one queue.

    :param rate: jobs per second on 176 workers; patient jobs have none in a pool that
        is kept full.
    :param tasks: mean, standard deviation of the logarithm and maximum.
    :param millicores: mean for each task, as with ``memory`` in MB.
    :param seconds: mean work of a task.
    :param error: standard deviation of the logarithm of a step's estimate.
    :param spread: the same for the tasks of a step.
    :param consents: share of the workers that the advisor allows.
    """

    queue: Queue
    rate: float
    tasks: tuple[float, float, int]
    millicores: int
    memory: int
    seconds: float
    gang_share: float
    checkpoint_share: float
    error: float
    spread: float
    consents: float


def _make_queue(
    name: str,
    rank: int,
    slack: float,
    allowance: float,
    base: float,
    per_worker: float,
) -> Queue:
    timing = AdvisorTiming(
        base * MILLISECOND, per_worker * MILLISECOND, timedelta(seconds=2.5)
    )
    allowed = timedelta(seconds=allowance)
    prefix = f"/{name}/"
    return Queue(name, "a.example", prefix, "hub", rank, 3, slack, allowed, timing)


LOADS = (
    Load(
        _make_queue("swaps", 0, 1.5, 0.25, 14.3, 0.208),
        38.8, (3, 0.5, 12), 2500, 9_100, 0.85, 0.3, 0.0, 0.2, 0.2, 0.7,
    ),
    Load(
        _make_queue("rebuilds", 1, 2.2, 1.0, 455, 6.5),
        2.6, (20, 0.6, 120), 4500, 17_000, 3.4, 1.0, 0.5, 0.2, 0.15, 0.35,
    ),
    Load(
        _make_queue("plans", 2, 4.0, 3.0, 104, 1.43),
        5.42, (25, 0.5, 90), 1700, 6_400, 1.9, 0.0, 0.8, 0.5, 0.3, 0.45,
    ),
)  # fmt: skip
