"""Decisions for a worker whose observed usage approaches its size."""

from collections.abc import Iterator, Sequence
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.queues.queueing import RANKS
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size

# Shares of a worker's size above which it is relieved.
PROCESSOR_THRESHOLD = 0.95
MEMORY_THRESHOLD = 0.9


class ObservedTask(NamedTuple):
    """A task that runs on the worker.

    :param reserved: the capacity reserved for it.
    :param use: its usage in the last report.
    :param growth: expected growth of its memory until the next report, in MiB.
    :param limit: the millicores that it is throttled to, or ``None``.
    """

    task: str
    urgency: Urgency
    reserved: Size
    use: Size
    started: timedelta
    growth: int = 0
    idempotent: bool = False
    checkpoint: bool = False
    limit: int | None = None


class Throttle(NamedTuple):
    """Limit the task to ``millicores``."""

    task: str
    millicores: int


class Checkpoint(NamedTuple):
    """Checkpoint the task and stop it; it returns to the queue."""

    task: str


class Stop(NamedTuple):
    """Stop the task; it starts from the beginning later."""

    task: str


PressureAction = Throttle | Checkpoint | Stop


def choose_pressure_action(
    size: Size, tasks: Sequence[ObservedTask]
) -> PressureAction | None:
    """Choose how to relieve a worker, or return ``None`` if it needs no relief.

    Processors are relieved by throttling tasks to their reservations, the least
    urgent first. Memory is relieved by checkpointing or else stopping the least
    urgent task. Within a class, tasks above their reservation go first, then
    checkpointable tasks, then those that started last, because they lose the least
    work. A task that is neither idempotent nor checkpointable is never stopped. If
    only such tasks remain, the one whose memory grows fastest is throttled.

    :param size: the size of the worker.
    :param tasks: the running tasks. Call again without the chosen task, or with
        its new limit, until the result is ``None``.
    """
    memory = sum(task.use.memory + task.growth for task in tasks)
    if memory > MEMORY_THRESHOLD * size.memory:
        return _relieve_memory(tasks)
    millicores = sum(_get_millicores(task) for task in tasks)
    if millicores > PROCESSOR_THRESHOLD * size.millicores:
        return _relieve_processors(tasks)
    return None


def _relieve_processors(tasks: Sequence[ObservedTask]) -> PressureAction | None:
    over = [task for task in tasks if _get_millicores(task) > task.reserved.millicores]
    victim = max(over, key=_rank_victim, default=None)
    return Throttle(victim.task, victim.reserved.millicores) if victim else None


def _relieve_memory(tasks: Sequence[ObservedTask]) -> PressureAction | None:
    victim = max(_list_stoppable(tasks), key=_rank_victim, default=None)
    if victim is not None:
        return (Checkpoint if victim.checkpoint else Stop)(victim.task)
    growing = [task for task in tasks if task.growth > 0 and task.limit is None]
    fastest = max(growing, key=lambda task: task.growth, default=None)
    if fastest is None:
        return None
    return Throttle(fastest.task, max(1, fastest.reserved.millicores // 2))


def _list_stoppable(tasks: Sequence[ObservedTask]) -> Iterator[ObservedTask]:
    return (task for task in tasks if task.idempotent or task.checkpoint)


def _rank_victim(task: ObservedTask) -> tuple[int, bool, bool, timedelta]:
    is_over = task.use.memory > task.reserved.memory
    return RANKS[task.urgency], is_over, task.checkpoint, task.started


def _get_millicores(task: ObservedTask) -> int:
    used = task.use.millicores
    return used if task.limit is None else min(used, task.limit)
