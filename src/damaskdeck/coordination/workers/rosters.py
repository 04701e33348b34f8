"""What the owner of a worker knows of the attempts on it."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.workers.leases import compute_takeover_bound, stretch_lease
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.jobs import TaskToStart, TaskUpdate
from damaskdeck.protocol.ports import TaskReport
from damaskdeck.protocol.resources import Urgency
from damaskdeck.state.workeraccounts import Reserved, TaskNeed, WorkerAccounts

# States of an attempt that isn't known to have ended.
OPEN_STATES = frozenset({"starting", "unsure", "running"})

_log = get_logger("workers")


class Hosted(NamedTuple):
    """An attempt of a task on a worker, as its owner knows it.

    :param state: as in :class:`~damaskdeck.protocol.jobs.TaskUpdate`; ``starting``
        until its start is sent, then ``unsure`` until that is answered.
    :param until: monotonic time when its lease ends at the latest.
    :param settled: monotonic time from which on an inventory must show it.
    :param start: what it was started by, unless another owner started it.
    :param is_repeat: whether an earlier start of this attempt may yet arrive.
    :param cause: why its owner stops it, as in ``preempted``.
    """

    task: str
    attempt: int
    state: str
    until: timedelta
    settled: timedelta
    start: TaskToStart | None = None
    is_repeat: bool = False
    cause: str = ""


class Roster:
    """The attempts on one worker under one epoch of its owner.

    :param worker: its name.
    :param put_news: takes news for the keepers.
    :param record_end: ``record_end(worker, task, state)`` learns of each end.
    """

    def __init__(
        self,
        worker: str,
        accounts: WorkerAccounts,
        clock: Clock,
        put_news: Callable[[TaskUpdate], None],
        record_end: Callable[[str, str, str], None],
        lease: timedelta = defaults.TASK_LEASE,
    ) -> None:
        self.tasks: dict[str, Hosted] = {}
        self._worker = worker
        self._accounts = accounts
        self._clock = clock
        self._put_news = put_news
        self._record_end = record_end
        self._lease = stretch_lease(lease)
        self._adoption = compute_takeover_bound(lease)

    def find(self, task: str, attempt: int) -> Hosted | None:
        """Return what is known of an attempt."""
        hosted = self.tasks.get(task)
        return hosted if hosted and hosted.attempt == attempt else None

    def list_open(self) -> list[Hosted]:
        """List the attempts that aren't known to have ended."""
        return [h for h in self.tasks.values() if h.state in OPEN_STATES]

    def list_running(self) -> tuple[str, ...]:
        """List the tasks whose leases must be renewed."""
        return tuple(h.task for h in self.tasks.values() if h.state == "running")

    def enter(self, start: TaskToStart) -> None:
        """Add a task that is about to be started."""
        now = self._clock.monotonic()
        name = start["task"]
        hosted = Hosted(name, start["attempt"], "starting", now, now, start)
        self.tasks[name] = hosted

    def note_sent(self, hosted: Hosted) -> None:
        """Note that a start is on its way; it may take effect at any time."""
        sent = hosted._replace(state="unsure", settled=timedelta.max)
        self.tasks[hosted.task] = sent

    def note_doubt(self, hosted: Hosted) -> None:
        """Leave a start whose answer was lost to the next inventory."""
        now = self._clock.monotonic()
        self.tasks[hosted.task] = hosted._replace(settled=now)

    def has_doubts(self) -> bool:
        """Tell whether a start whose answer was lost still isn't settled."""
        return any(
            hosted.state == "unsure" and hosted.settled != timedelta.max
            for hosted in self.tasks.values()
        )

    def note_renewed(self, tasks: Iterable[str], is_answered: bool) -> None:
        """Note that leases were renewed, or may have been."""
        now = self._clock.monotonic()
        for name in tasks:
            hosted = self.tasks.get(name)
            if hosted is not None:
                until = now if is_answered else max(now, hosted.until)
                until = max(hosted.until, until + self._lease)
                self.tasks[name] = hosted._replace(until=until)

    def absorb(self, report: TaskReport) -> None:
        """Take in what the worker says of a task."""
        hosted = self.tasks.get(report.task)
        if hosted is not None and hosted.attempt > report.attempt:
            return
        state = report.state.value
        is_known = hosted is not None and hosted.attempt == report.attempt
        if is_known and (hosted.state == state or hosted.state not in OPEN_STATES):
            return
        now = self._clock.monotonic()
        if not is_known:
            until = now + self._adoption
            hosted = Hosted(report.task, report.attempt, state, until, now)
            if state == "running":
                self._adopt(report)
        hosted = hosted._replace(until=max(hosted.until, now + self._lease))
        self.note(hosted, state, result=report.result, checkpoint=report.checkpoint)

    def list_missing(self, present: set[str], sent: timedelta) -> list[Hosted]:
        """List what a whole inventory, asked for at ``sent``, should have shown."""
        return [
            hosted
            for hosted in self.list_open()
            if hosted.task not in present and hosted.settled <= sent
        ]

    def drop_lapsed(self, margin: timedelta = defaults.LEASE_MARGIN) -> None:
        """Report running tasks as lost once their leases must have lapsed."""
        limit = self._clock.monotonic() - margin
        for hosted in self.list_open():
            if hosted.state == "running" and hosted.until <= limit:
                self.note(hosted, "lost", code="worker_lost")

    def note(
        self,
        hosted: Hosted,
        state: str,
        code: str = "",
        result: bytes = b"",
        checkpoint: str = "",
    ) -> None:
        """Give an attempt a new state and tell its keeper."""
        now = self._clock.monotonic()
        self.tasks[hosted.task] = hosted._replace(state=state, settled=now)
        if state != "running":
            self._release(hosted.task)
            self._record_end(self._worker, hosted.task, state)
        if state in ("stopped", "checkpointed"):
            code = hosted.cause
        news = TaskUpdate(
            task=hosted.task,
            attempt=hosted.attempt,
            worker=self._worker,
            state=state,
        )
        if code:
            news["code"] = code
        if result:
            news["result"] = result
        if checkpoint:
            news["checkpoint"] = checkpoint
        self._put_news(news)

    def set_cause(self, hosted: Hosted, cause: str) -> None:
        """Remember why a task is being stopped."""
        self.tasks[hosted.task] = hosted._replace(cause=cause)

    def _adopt(self, report: TaskReport) -> None:
        """Set its room aside; it isn't stopped before its keeper tells of it.

        Room that the same task has on another worker of this owner, as for an
        attempt that isn't settled, doesn't count for this one.
        """
        held = self._accounts.find(report.task)
        name = report.task if held is None else self._name_other(report.task)
        need = TaskNeed(
            name,
            report.size,
            urgency=Urgency.URGENT,
            idempotent=False,
            started=self._clock.monotonic(),
        )
        outcome = self._accounts.adopt(need, self._worker)
        if not isinstance(outcome, Reserved):
            count_refusal("workers", "adoption")
            _log.warn("A running task has no room.", task=report.task)

    def _release(self, task: str) -> None:
        for name in (task, self._name_other(task)):
            held = self._accounts.find(name)
            if held is not None and held.worker == self._worker:
                self._accounts.release(name)

    def _name_other(self, task: str) -> str:
        return f"{task}@{self._worker}"
