"""Attempts on a worker, as known to the worker's owner."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.workers.leases import (
    compute_max_lease,
    compute_takeover_bound,
)
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.jobs import TaskToStart, TaskUpdate
from damaskdeck.protocol.ports import TaskReport
from damaskdeck.protocol.resources import Urgency
from damaskdeck.state.workeraccounts import (
    AlreadyReserved,
    Reserved,
    TaskNeed,
    WorkerAccounts,
)

# States of an attempt that isn't known to have ended.
OPEN_STATES = frozenset({"starting", "unsure", "running"})

_log = get_logger("workers")


class HostedTask(NamedTuple):
    """An attempt of a task on a worker, as its owner knows it.

    :param state: as in :class:`~damaskdeck.protocol.jobs.TaskUpdate`; ``starting``
        until its start is sent, then ``unsure`` until the start is answered.
    :param lease_end: monotonic time when its lease has expired at the latest.
    :param expected_from: inventories that were requested at this monotonic time or
        later must list it.
    :param start: the order by which it was started; ``None`` if by another owner.
    :param is_retry: whether an earlier start of this attempt may still arrive.
    :param cause: why its owner stops it, such as ``preempted``.
    :param incarnation: the worker's incarnation to which its start was sent, or which
        first listed it.
    """

    task: str
    attempt: int
    state: str
    lease_end: timedelta
    expected_from: timedelta
    start: TaskToStart | None = None
    is_retry: bool = False
    cause: str = ""
    incarnation: str = ""


class Roster:
    """The attempts on one worker under one epoch of its owner.

    :param worker: name of the worker.
    :param put_update: called with updates for the ledger owners.
    :param record_end: ``record_end(worker, task, state)`` is called at each end.
    """

    def __init__(
        self,
        worker: str,
        accounts: WorkerAccounts,
        clock: Clock,
        put_update: Callable[[TaskUpdate], None],
        record_end: Callable[[str, str, str], None],
        lease: timedelta = defaults.TASK_LEASE,
    ) -> None:
        self.tasks: dict[str, HostedTask] = {}
        # Running tasks for which the account has no free capacity.
        self._unreserved: dict[str, TaskReport] = {}
        self._worker = worker
        self._accounts = accounts
        self._clock = clock
        self._put_update = put_update
        self._record_end = record_end
        self._lease = compute_max_lease(lease)
        self._takeover_bound = compute_takeover_bound(lease)

    def find(self, task: str, attempt: int) -> HostedTask | None:
        """Return what is known of an attempt, or ``None``."""
        hosted = self.tasks.get(task)
        return hosted if hosted and hosted.attempt == attempt else None

    def list_open(self) -> list[HostedTask]:
        """List the attempts that aren't known to have ended."""
        return [h for h in self.tasks.values() if h.state in OPEN_STATES]

    def list_running(self) -> tuple[str, ...]:
        """List the tasks whose leases must be renewed."""
        return tuple(h.task for h in self.tasks.values() if h.state == "running")

    def add(self, start: TaskToStart) -> None:
        """Add a task that is about to be started."""
        now = self._clock.monotonic()
        name = start["task"]
        hosted = HostedTask(name, start["attempt"], "starting", now, now, start)
        self.tasks[name] = hosted

    def mark_sent(self, hosted: HostedTask, incarnation: str) -> HostedTask:
        """Record that a start is sent; it may take effect at any time.

        :param incarnation: the incarnation of the worker that the start is meant for.
        """
        sent = hosted._replace(
            state="unsure", expected_from=timedelta.max, incarnation=incarnation
        )
        self.tasks[hosted.task] = sent
        return sent

    def mark_unconfirmed(self, hosted: HostedTask) -> None:
        """Let the next inventory decide about a start whose answer was lost."""
        now = self._clock.monotonic()
        self.tasks[hosted.task] = hosted._replace(expected_from=now)

    def has_unconfirmed(self) -> bool:
        """Return whether a start whose answer was lost is still unconfirmed."""
        return any(
            hosted.state == "unsure" and hosted.expected_from != timedelta.max
            for hosted in self.tasks.values()
        )

    def has_unreserved(self) -> bool:
        """Return whether the worker runs more than its account can hold."""
        return bool(self._unreserved)

    def record_renewal(self, tasks: Iterable[str], is_answered: bool) -> None:
        """Record that leases were renewed, or may have been if there was no answer."""
        now = self._clock.monotonic()
        for name in tasks:
            hosted = self.tasks.get(name)
            if hosted is not None:
                lease_end = now if is_answered else max(now, hosted.lease_end)
                lease_end = max(hosted.lease_end, lease_end + self._lease)
                self.tasks[name] = hosted._replace(lease_end=lease_end)

    def merge_report(self, report: TaskReport, incarnation: str) -> None:
        """Apply a report of a task by an incarnation of the worker."""
        hosted = self.tasks.get(report.task)
        if hosted is not None and hosted.attempt > report.attempt:
            return
        state = report.state.value
        is_known = hosted is not None and hosted.attempt == report.attempt
        if is_known and (hosted.state == state or hosted.state not in OPEN_STATES):
            return
        now = self._clock.monotonic()
        if not is_known:
            lease_end = now + self._takeover_bound
            hosted = HostedTask(
                report.task,
                report.attempt,
                state,
                lease_end,
                now,
                incarnation=incarnation,
            )
            if state == "running":
                self._adopt(report)
        hosted = hosted._replace(lease_end=max(hosted.lease_end, now + self._lease))
        self.set_state(
            hosted, state, result=report.result, checkpoint=report.checkpoint
        )

    def list_missing(self, present: set[str], sent_at: timedelta) -> list[HostedTask]:
        """List what a full inventory, requested at ``sent_at``, should have listed."""
        return [
            hosted
            for hosted in self.list_open()
            if hosted.task not in present and hosted.expected_from <= sent_at
        ]

    def report_expired(self, margin: timedelta = defaults.LEASE_MARGIN) -> None:
        """Report running tasks as lost once their leases must have expired."""
        limit = self._clock.monotonic() - margin
        for hosted in self.list_open():
            if hosted.state == "running" and hosted.lease_end <= limit:
                self.set_state(hosted, "lost", code="worker_lost")

    def set_state(
        self,
        hosted: HostedTask,
        state: str,
        code: str = "",
        result: bytes = b"",
        checkpoint: str = "",
    ) -> None:
        """Set the state of an attempt and report it to the ledger owner."""
        now = self._clock.monotonic()
        self.tasks[hosted.task] = hosted._replace(state=state, expected_from=now)
        if state != "running":
            self._release(hosted.task)
            self._record_end(self._worker, hosted.task, state)
            self._reserve_remaining()
        if state in ("stopped", "checkpointed"):
            code = hosted.cause
        update = TaskUpdate(
            task=hosted.task,
            attempt=hosted.attempt,
            worker=self._worker,
            state=state,
        )
        if code:
            update["code"] = code
        if result:
            update["result"] = result
        if checkpoint:
            update["checkpoint"] = checkpoint
        self._put_update(update)

    def set_cause(self, hosted: HostedTask, cause: str) -> None:
        """Record why a task is being stopped."""
        self.tasks[hosted.task] = hosted._replace(cause=cause)

    def _adopt(self, report: TaskReport) -> None:
        """Reserve capacity for a task that another owner started.

        Until its ledger owner describes it, it can't be preempted. A reservation of
        the same task on another worker of this owner, as for an unconfirmed attempt,
        doesn't count for this one.
        """
        reservation = self._accounts.find(report.task)
        name = (
            report.task if reservation is None else self._make_adopted_name(report.task)
        )
        need = TaskNeed(
            name,
            report.size,
            urgency=Urgency.URGENT,
            idempotent=False,
            started=self._clock.monotonic(),
        )
        outcome = self._accounts.adopt(need, self._worker)
        if isinstance(outcome, Reserved | AlreadyReserved):
            self._unreserved.pop(report.task, None)
        elif report.task not in self._unreserved:
            self._unreserved[report.task] = report
            count_refusal("workers", "adoption")
            _log.warn("An adopted task exceeds the capacity.", task=report.task)

    def _reserve_remaining(self) -> None:
        """Reserve capacity for running tasks that did not fit before."""
        for report in list(self._unreserved.values()):
            self._adopt(report)

    def _release(self, task: str) -> None:
        self._unreserved.pop(task, None)
        for name in (task, self._make_adopted_name(task)):
            reservation = self._accounts.find(name)
            if reservation is not None and reservation.worker == self._worker:
                self._accounts.release(name)

    def _make_adopted_name(self, task: str) -> str:
        return f"{task}@{self._worker}"
