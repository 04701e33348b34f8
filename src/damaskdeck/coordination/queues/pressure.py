"""What to do when the observed use of a worker nears its size."""

from collections.abc import Iterator, Sequence
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.queues.queueing import RANKS
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size

# Shares of a worker's size from which on its use is relieved.
PROCESSOR_MARK = 0.95
MEMORY_MARK = 0.9


class ObservedTask(NamedTuple):
    """A task that runs on the worker.

    :param reserved: what is set aside for it.
    :param use: what it used by the last report.
    :param growth: what its memory may grow until the next report comes, in MiB.
    :param limit: millicores that it was bound to, or ``None``.
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
    """Bind the task to ``millicores``."""

    task: str
    millicores: int


class Checkpoint(NamedTuple):
    """Save the task's progress and stop it; it waits again."""

    task: str


class Stop(NamedTuple):
    """Stop the task; it starts anew later."""

    task: str


PressureAction = Throttle | Checkpoint | Stop


def choose_pressure_action(
    size: Size, tasks: Sequence[ObservedTask]
) -> PressureAction | None:
    """Choose how to relieve a worker; ``None`` when it needs no relief.

    Processors are relieved by throttling tasks to what they reserved, the least
    urgent first. Memory is relieved by a checkpoint, else by a stop, of the
    least urgent task; of its class those above their reservation go first, then
    those with a checkpoint, then the latest started, as least is lost. A task
    that is neither idempotent nor has a checkpoint is never stopped: where only
    such remain, the fastest growing one is slowed down.

    :param tasks: those running; call again without the chosen one, or with its
        new limit, until nothing more is to be done.
    """
    memory = sum(task.use.memory + task.growth for task in tasks)
    if memory > MEMORY_MARK * size.memory:
        return _relieve_memory(tasks)
    millicores = sum(_find_millicores(task) for task in tasks)
    if millicores > PROCESSOR_MARK * size.millicores:
        return _relieve_processors(tasks)
    return None


def _relieve_processors(tasks: Sequence[ObservedTask]) -> PressureAction | None:
    over = [task for task in tasks if _find_millicores(task) > task.reserved.millicores]
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


def _find_millicores(task: ObservedTask) -> int:
    used = task.use.millicores
    return used if task.limit is None else min(used, task.limit)
