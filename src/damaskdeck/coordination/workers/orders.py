"""Orders of one worker's owner, sent to the worker one after another."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

from damaskdeck.coordination.workers.rosters import OPEN_STATES, Hosted, Roster
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
    """What orders need of the session that they are sent in."""

    roster: Roster
    accounts: WorkerAccounts
    port: WorkerPort
    worker: Instance
    epoch: int
    is_doubtful: bool

    def may_act(self) -> bool:
        """Whether this daemon owns the worker."""

    def note_rejected(self, code: str) -> None:
        """Take note that the worker turned a start down."""

    def set_doubtful(self, is_doubtful: bool) -> None:
        """Take note of whether an attempt is in doubt."""

    async def read_inventory(self) -> bool:
        """Take in a whole inventory; false when it didn't come."""


class Orders:
    """Starts, stops and acknowledges tasks on the worker of a session.

    :param lease: given to each task at its start.
    """

    def __init__(self, session: OrderSession, lease: timedelta) -> None:
        self._session = session
        self._roster = session.roster
        self._lease = lease
        self._waiting: asyncio.Queue[Order] = asyncio.Queue()
        self._forgotten: set[str] = set()
        self._is_asked = False

    async def run(self) -> None:
        """Carry orders out until cancelled."""
        while True:
            order = await self._waiting.get()
            await order()

    def start(self, start: TaskToStart) -> None:
        """Start a task that has its reservation."""
        self._roster.enter(start)
        self._waiting.put_nowait(lambda: self._start(start))

    def repeat_start(self, hosted: Hosted) -> None:
        """Start the same attempt on the same worker again, if that is harmless."""
        start = hosted.start
        if start is None or not start.get("idempotent"):
            self._roster.note(hosted, "lost", code="start_lost")
            return
        hosted = hosted._replace(is_repeat=True)
        self._roster.note_sent(hosted)
        self._waiting.put_nowait(lambda: self._send_start(hosted))

    def preempt(self, task: str, checkpoint: bool, cause: str = "preempted") -> None:
        """Stop a running task, or checkpoint it, to make room for others."""
        hosted = self._roster.tasks.get(task)
        if hosted is not None and hosted.state == "running":
            self._roster.set_cause(hosted, cause)
            self.stop(task, hosted.attempt, checkpoint)

    def throttle(self, task: str, millicores: int) -> None:
        """Bound the processors of a running task."""
        self._waiting.put_nowait(lambda: self._throttle(task, millicores))

    def stop(self, task: str, attempt: int, checkpoint: bool = False) -> None:
        """Stop a task, or checkpoint it first."""
        hosted = self._roster.find(task, attempt)
        if hosted is not None and hosted.state == "starting":
            self._roster.note(hosted, "unstarted", code="stopped")
            return
        self._waiting.put_nowait(lambda: self._stop(task, attempt, checkpoint))

    def take_inventory(self) -> None:
        """Take inventory soon, as some attempt is in doubt."""
        if not self._is_asked:
            self._is_asked = True
            self._waiting.put_nowait(self._take_inventory)

    def forget(self, task: str, attempt: int) -> None:
        """Let the worker forget an ended task that its keeper has noted."""
        hosted = self._roster.find(task, attempt)
        if hosted is None or hosted.state in OPEN_STATES:
            return
        del self._roster.tasks[task]
        if not self._forgotten:
            self._waiting.put_nowait(self._forget_all)
        self._forgotten.add(task)

    async def _start(self, start: TaskToStart) -> None:
        hosted = self._roster.find(start["task"], start["attempt"])
        if hosted is None or hosted.state != "starting":
            return
        session = self._session
        if not session.may_act() or session.is_doubtful:
            code = "unreachable" if session.is_doubtful else "owner_changed"
            self._roster.note(hosted, "unstarted", code=code)
            return
        self._roster.note_sent(hosted)
        await self._send_start(hosted)

    async def _send_start(self, hosted: Hosted) -> None:
        session = self._session
        answer: Accepted | Rejected | Lost = Lost("owner_changed")
        if session.may_act():
            order = self._make_order(hosted.start)
            answer = await session.port.start(session.worker, session.epoch, order)
        hosted = self._roster.find(hosted.task, hosted.attempt)
        if hosted is None or hosted.state != "unsure":
            return
        if isinstance(answer, Accepted):
            self._roster.absorb(answer.report)
        elif isinstance(answer, Rejected) and not hosted.is_repeat:
            session.note_rejected(answer.code)
            self._roster.note(hosted, "unstarted", code=answer.code)
        else:
            count_retry("workers", "start_lost")
            self._roster.note_doubt(hosted)
            session.set_doubtful(True)

    async def _stop(self, task: str, attempt: int, checkpoint: bool) -> None:
        hosted = self._roster.find(task, attempt)
        session = self._session
        if hosted is None or hosted.state != "running" or not session.may_act():
            return
        call = session.port.checkpoint if checkpoint else session.port.stop
        answer = await call(session.worker, session.epoch, task)
        if isinstance(answer, Accepted):
            self._roster.absorb(answer.report)
            return
        self._forget_cause(task, attempt)
        if isinstance(answer, Lost):
            session.set_doubtful(True)

    def _forget_cause(self, task: str, attempt: int) -> None:
        """Let a task be stopped again after a call that came to nothing."""
        hosted = self._roster.find(task, attempt)
        if hosted is not None:
            self._roster.set_cause(hosted, "")

    async def _throttle(self, task: str, millicores: int) -> None:
        session = self._session
        hosted = self._roster.tasks.get(task)
        if hosted is not None and hosted.state == "running" and session.may_act():
            await session.port.throttle(session.worker, session.epoch, task, millicores)

    async def _take_inventory(self) -> None:
        await self._session.read_inventory()
        self._is_asked = False

    async def _forget_all(self) -> None:
        names = tuple(n for n in self._forgotten if n not in self._roster.tasks)
        self._forgotten.clear()
        session = self._session
        if names and session.may_act():
            await session.port.acknowledge(session.worker, session.epoch, names)

    def _make_order(self, start: TaskToStart) -> StartOrder:
        held = self._session.accounts.find(start["task"])
        return StartOrder(
            start["task"],
            start["attempt"],
            held.need.size if held else ZERO_SIZE,
            self._lease,
            start["payload"],
            start.get("resume", ""),
        )
