"""Relief of workers whose observed use nears their size."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from damaskdeck.coordination.queues.pressure import (
    ObservedTask,
    PressureAction,
    Throttle,
    choose_pressure_action,
)
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.ports import Usage
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.workeraccounts import WorkerAccounts

ACTION_LIMIT = 8


class _Seen(NamedTuple):
    use: Size
    growth: int


class Relief:
    """Chooses what to throttle, checkpoint or stop on the owned workers.

    Promise: "No instance is given more work than its processors, memory, or
    accelerators can hold", also when declared sizes are far off.
    """

    def __init__(self, accounts: WorkerAccounts) -> None:
        self._accounts = accounts
        self._seen: dict[str, _Seen] = {}
        self._limits: dict[str, int] = {}

    def choose(self, worker: str, usage: Iterable[Usage]) -> list[PressureAction]:
        """Choose actions for a worker by what its tasks were seen to use.

        :param usage: of the tasks that aren't being stopped already.
        """
        account = self._accounts.workers.get(worker)
        if account is None:
            return []
        tasks = {task.task: task for task in self._observe(worker, usage)}
        actions: list[PressureAction] = []
        while len(actions) < ACTION_LIMIT:
            action = choose_pressure_action(account.size, tuple(tasks.values()))
            if action is None:
                break
            count_refusal("workers", type(action).__name__.lower())
            actions.append(action)
            if isinstance(action, Throttle):
                self._limits[action.task] = action.millicores
                limited = tasks[action.task]._replace(limit=action.millicores)
                tasks[action.task] = limited
            else:
                del tasks[action.task]
        return actions

    def forget(self, task: str) -> None:
        """Forget a task that has ended."""
        self._seen.pop(task, None)
        self._limits.pop(task, None)

    def _observe(self, worker: str, usage: Iterable[Usage]) -> Iterator[ObservedTask]:
        for item in usage:
            held = self._accounts.find(item.task)
            if held is None or held.worker != worker:
                continue
            need = held.need
            yield ObservedTask(
                task=item.task,
                urgency=need.urgency,
                reserved=need.size,
                use=item.size,
                started=need.started,
                growth=self._note_growth(item),
                idempotent=need.idempotent,
                checkpoint=need.checkpoint,
                limit=self._limits.get(item.task),
            )

    def _note_growth(self, item: Usage) -> int:
        """Expect memory to grow as much as between the last two reports."""
        seen = self._seen.get(item.task)
        if seen is None or seen.use != item.size:
            growth = max(0, item.size.memory - seen.use.memory) if seen else 0
            seen = self._seen[item.task] = _Seen(item.size, growth)
        return seen.growth
