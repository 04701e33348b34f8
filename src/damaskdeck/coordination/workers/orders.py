"""Orders of a worker's owner, sent to the worker one at a time."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

from damaskdeck.coordination.workers.rosters import OPEN_STATES, HostedTask, Roster
from damaskdeck.metrics import count_retry
from damaskdeck.protocol.jobs import TaskToStart
from damaskdeck.protocol.ports import (
    Accepted,
    Instance,
    Lost,
    Rejected,
    StartOrder,
    WorkerPort,
)
from damaskdeck.protocol.sizes import ZERO_SIZE
from damaskdeck.state.workeraccounts import WorkerAccounts

Order = Callable[[], Awaitable[None]]


class OrderSession(Protocol):
    """What orders need from the session in which they are sent."""

    roster: Roster
    accounts: WorkerAccounts
    port: WorkerPort
    worker: Instance
    epoch: int
    incarnation: str
    is_unconfirmed: bool
    is_overfull: bool

    def may_act(self) -> bool:
        """Return whether this daemon owns the worker."""

    def handle_rejection(self, code: str) -> None:
        """Handle the worker's rejection of a start."""

    def set_unconfirmed(self, is_unconfirmed: bool) -> None:
        """Set whether the state of an attempt is unconfirmed."""

    async def read_inventory(self) -> bool:
        """Read a full inventory; return whether it arrived."""


class Orders:
    """Starts, stops and acknowledges tasks on the worker of a session.

    :param lease: granted to each task at its start.
    """

    def __init__(self, session: OrderSession, lease: timedelta) -> None:
        self._session = session
        self._roster = session.roster
        self._lease = lease
        self._queue: asyncio.Queue[Order] = asyncio.Queue()
        self._acknowledged: set[str] = set()
        self._is_inventory_requested = False

    async def run(self) -> None:
        """Send orders until cancelled."""
        while True:
            order = await self._queue.get()
            await order()

    def start(self, start: TaskToStart) -> None:
        """Start a task that has a reservation."""
        self._roster.add(start)
        self._queue.put_nowait(lambda: self._start(start))

    def retry_start(self, hosted: HostedTask) -> None:
        """Start the same attempt on the same worker again, if the task is idempotent.

        Otherwise report it as lost.
        """
        start = hosted.start
        if start is None or not start.get("idempotent"):
            self._roster.set_state(hosted, "lost", code="start_lost")
            return
        retried = hosted._replace(is_retry=True)
        sent = self._roster.mark_sent(retried, self._session.incarnation)
        self._queue.put_nowait(lambda: self._send_start(sent))

    def preempt(self, task: str, checkpoint: bool, cause: str = "preempted") -> None:
        """Stop a running task, or checkpoint it, to free capacity for others."""
        hosted = self._roster.tasks.get(task)
        if hosted is not None and hosted.state == "running":
            self._roster.set_cause(hosted, cause)
            self.stop(task, hosted.attempt, checkpoint)

    def throttle(self, task: str, millicores: int) -> None:
        """Limit the processor use of a running task."""
        self._queue.put_nowait(lambda: self._throttle(task, millicores))

    def stop(self, task: str, attempt: int, checkpoint: bool = False) -> None:
        """Stop a task, with a checkpoint first if requested."""
        hosted = self._roster.find(task, attempt)
        if hosted is not None and hosted.state == "starting":
            self._roster.set_state(hosted, "unstarted", code="stopped")
            return
        self._queue.put_nowait(lambda: self._stop(task, attempt, checkpoint))

    def request_inventory(self) -> None:
        """Read an inventory soon because the state of an attempt is unconfirmed."""
        if not self._is_inventory_requested:
            self._is_inventory_requested = True
            self._queue.put_nowait(self._read_inventory)

    def acknowledge(self, task: str, attempt: int) -> None:
        """Let the worker discard an ended task that its ledger owner has recorded."""
        hosted = self._roster.find(task, attempt)
        if hosted is None or hosted.state in OPEN_STATES:
            return
        del self._roster.tasks[task]
        if not self._acknowledged:
            self._queue.put_nowait(self._send_acknowledgements)
        self._acknowledged.add(task)

    async def _start(self, start: TaskToStart) -> None:
        hosted = self._roster.find(start["task"], start["attempt"])
        if hosted is None or hosted.state != "starting":
            return
        session = self._session
        if not session.may_act() or session.is_unconfirmed or session.is_overfull:
            self._roster.set_state(hosted, "unstarted", code=self._explain_refusal())
            return
        await self._send_start(self._roster.mark_sent(hosted, session.incarnation))

    def _explain_refusal(self) -> str:
        if self._session.is_unconfirmed:
            return "unreachable"
        return "overfull" if self._session.is_overfull else "owner_changed"

    async def _send_start(self, hosted: HostedTask) -> None:
        session = self._session
        answer: Accepted | Rejected | Lost = Lost("owner_changed")
        if session.may_act():
            order = self._make_order(hosted)
            answer = await session.port.start(session.worker, session.epoch, order)
        hosted = self._roster.find(hosted.task, hosted.attempt)
        if hosted is None or hosted.state != "unsure":
            return
        if isinstance(answer, Accepted):
            self._roster.merge_report(answer.report, hosted.incarnation)
        elif isinstance(answer, Rejected) and not hosted.is_retry:
            session.handle_rejection(answer.code)
            self._roster.set_state(hosted, "unstarted", code=answer.code)
        else:
            count_retry("workers", "start_lost")
            self._roster.mark_unconfirmed(hosted)
            session.set_unconfirmed(True)

    async def _stop(self, task: str, attempt: int, checkpoint: bool) -> None:
        hosted = self._roster.find(task, attempt)
        session = self._session
        if hosted is None or hosted.state != "running" or not session.may_act():
            return
        call = session.port.checkpoint if checkpoint else session.port.stop
        answer = await call(session.worker, session.epoch, task)
        if isinstance(answer, Accepted):
            self._roster.merge_report(answer.report, hosted.incarnation)
            return
        self._clear_cause(task, attempt)
        if isinstance(answer, Lost):
            session.set_unconfirmed(True)

    def _clear_cause(self, task: str, attempt: int) -> None:
        """Clear the cause after a stop had no effect, so that it can be repeated."""
        hosted = self._roster.find(task, attempt)
        if hosted is not None:
            self._roster.set_cause(hosted, "")

    async def _throttle(self, task: str, millicores: int) -> None:
        session = self._session
        hosted = self._roster.tasks.get(task)
        if hosted is not None and hosted.state == "running" and session.may_act():
            await session.port.throttle(session.worker, session.epoch, task, millicores)

    async def _read_inventory(self) -> None:
        await self._session.read_inventory()
        self._is_inventory_requested = False

    async def _send_acknowledgements(self) -> None:
        names = tuple(n for n in self._acknowledged if n not in self._roster.tasks)
        self._acknowledged.clear()
        session = self._session
        if names and session.may_act():
            await session.port.acknowledge(session.worker, session.epoch, names)

    def _make_order(self, hosted: HostedTask) -> StartOrder:
        start = hosted.start
        reservation = self._session.accounts.find(start["task"])
        return StartOrder(
            start["task"],
            start["attempt"],
            reservation.need.size if reservation else ZERO_SIZE,
            self._lease,
            start["payload"],
            start.get("resume", ""),
            hosted.incarnation,
        )
