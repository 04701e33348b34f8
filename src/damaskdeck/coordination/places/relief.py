"""Relief of workers whose observed usage approaches their size."""

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

MAX_ACTIONS = 8


class _LastReport(NamedTuple):
    """The last reported usage of a task, and its memory growth before, in MiB."""

    use: Size
    growth: int


class PressureRelief:
    """Chooses tasks to throttle, checkpoint or stop on the owned workers.

    Guarantee: "No instance is given more work than its processors, memory, or
    accelerators can hold" even if declared sizes are far from the actual usage.
    """

    def __init__(self, accounts: WorkerAccounts) -> None:
        self._accounts = accounts
        self._last_reports: dict[str, _LastReport] = {}
        self._limits: dict[str, int] = {}

    def choose(self, worker: str, usage: Iterable[Usage]) -> list[PressureAction]:
        """Choose actions for a worker by the reported usage of its tasks.

        :param usage: reports of the tasks that aren't being stopped already.
        """
        account = self._accounts.workers.get(worker)
        if account is None:
            return []
        tasks = {task.task: task for task in self._observe(worker, usage)}
        actions: list[PressureAction] = []
        while len(actions) < MAX_ACTIONS:
            action = choose_pressure_action(account.size, tuple(tasks.values()))
            if action is None:
                break
            count_refusal("workers", type(action).__name__.lower())
            actions.append(action)
            if isinstance(action, Throttle):
                self._limits[action.task] = action.millicores
                throttled = tasks[action.task]._replace(limit=action.millicores)
                tasks[action.task] = throttled
            else:
                del tasks[action.task]
        return actions

    def discard(self, task: str) -> None:
        """Discard a task that has ended."""
        self._last_reports.pop(task, None)
        self._limits.pop(task, None)

    def _observe(self, worker: str, usage: Iterable[Usage]) -> Iterator[ObservedTask]:
        for item in usage:
            reservation = self._accounts.find(item.task)
            if reservation is None or reservation.worker != worker:
                continue
            need = reservation.need
            yield ObservedTask(
                task=item.task,
                urgency=need.urgency,
                reserved=need.size,
                use=item.size,
                started=need.started,
                growth=self._record_growth(item),
                idempotent=need.idempotent,
                checkpoint=need.checkpoint,
                limit=self._limits.get(item.task),
            )

    def _record_growth(self, item: Usage) -> int:
        """Return the memory growth expected until the next report, in MiB.

        It is the growth between the last two different reports of the task.
        """
        last = self._last_reports.get(item.task)
        if last is None or last.use != item.size:
            growth = max(0, item.size.memory - last.use.memory) if last else 0
            last = self._last_reports[item.task] = _LastReport(item.size, growth)
        return last.growth
