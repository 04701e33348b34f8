"""What the owner of a worker does with it, from taking it over to losing it."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.leases import compute_takeover_bound
from damaskdeck.coordination.rooms import Rooms
from damaskdeck.coordination.rosters import OPEN_STATES, Hosted, Roster
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry
from damaskdeck.protocol.jobs import Start, TaskNews
from damaskdeck.protocol.ports import (
    Accepted,
    Instance,
    Inventory,
    Lost,
    Rejected,
    StartOrder,
    WorkerPort,
)
from damaskdeck.protocol.sizes import ZERO_SIZE
from damaskdeck.state.accounts import Accounts

FOLLOW_WAIT = timedelta(seconds=20)
RETRY_INTERVAL = timedelta(milliseconds=500)
GAIN_INTERVAL = timedelta(milliseconds=20)

Order = Callable[[], Awaitable[None]]

_log = get_logger("workers")


class Session:
    """Serves one worker under one epoch; its loops end with :meth:`run`.

    Promise: "No task is ever running in two places at once": every call names
    the epoch, the inventory comes before the first placement, and a task is
    reported lost only when its lease must have lapsed.

    ``inventoried`` is the monotonic time when the last whole inventory that
    came was asked for.

    :param worker: as the platform lists it; set anew when that changes.
    :param may_act: tells whether this daemon still owns the worker.
    :param put_news: takes news for the keepers.
    :param rooms: learns of ends and of use.
    :param grace: how long to wait before the first placement, for workers that
        don't check epochs.
    """

    def __init__(
        self,
        worker: Instance,
        epoch: int,
        port: WorkerPort,
        accounts: Accounts,
        clock: Clock,
        may_act: Callable[[], bool],
        put_news: Callable[[TaskNews], None],
        rooms: Rooms,
        grace: timedelta = timedelta(),
        lease: timedelta = defaults.TASK_LEASE,
        renewal: timedelta = defaults.TASK_RENEWAL,
    ) -> None:
        self.worker = worker
        self.epoch = epoch
        self.is_ready = False
        self.roster = Roster(
            worker.name, accounts, clock, put_news, rooms.note_end, lease
        )
        self._rooms = rooms
        self._port = port
        self._accounts = accounts
        self._clock = clock
        self._may_act = may_act
        self._grace = grace
        self._lease = lease
        self._renewal = renewal
        self._bound = compute_takeover_bound(lease)
        self._gained = clock.monotonic()
        self.inventoried = timedelta.min
        self._is_asked = False
        self._is_doubtful = False
        self._is_deposed = False
        self._forgotten: set[str] = set()
        self._sequence = 0
        self._orders: asyncio.Queue[Order] = asyncio.Queue()

    async def run(self) -> None:
        """Take inventory, then follow, renew and order until cancelled."""
        await self._take_over()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_all())
            group.create_task(self._renew_all())
            group.create_task(self._order_all())

    @property
    def has_lapsed(self) -> bool:
        """Whether all leases given before this session must have lapsed."""
        return self._clock.monotonic() - self._gained >= self._bound

    def order_start(self, start: Start) -> None:
        """Start a task that has its reservation."""
        self.roster.enter(start)
        self._orders.put_nowait(lambda: self._start(start))

    @property
    def tasks(self) -> dict[str, Hosted]:
        """The attempts on this worker by task."""
        return self.roster.tasks

    def order_preemption(self, task: str, checkpoint: bool) -> None:
        """Stop a running task, or checkpoint it, to make room for others."""
        hosted = self.roster.tasks.get(task)
        if hosted is not None and hosted.state == "running":
            self.roster.set_cause(hosted, "preempted")
            self.order_stop(task, hosted.attempt, checkpoint)

    def order_stop(self, task: str, attempt: int, checkpoint: bool = False) -> None:
        """Stop a task, or checkpoint it first."""
        hosted = self.roster.find(task, attempt)
        if hosted is not None and hosted.state == "starting":
            self.roster.note(hosted, "unstarted", code="stopped")
            return
        self._orders.put_nowait(lambda: self._stop(task, attempt, checkpoint))

    def order_inventory(self) -> None:
        """Take inventory soon, as some attempt is in doubt."""
        if not self._is_asked:
            self._is_asked = True
            self._orders.put_nowait(self._take_inventory)

    def order_forget(self, task: str, attempt: int) -> None:
        """Let the worker forget an ended task that its keeper has noted."""
        hosted = self.roster.find(task, attempt)
        if hosted is None or hosted.state in OPEN_STATES:
            return
        del self.roster.tasks[task]
        if not self._forgotten:
            self._orders.put_nowait(self._forget_all)
        self._forgotten.add(task)

    def refuse_waiting(self) -> None:
        """Report the starts that were not sent yet; they won't be any more."""
        for hosted in self.roster.list_open():
            if hosted.state == "starting":
                self.roster.note(hosted, "unstarted", code="owner_changed")

    async def abandon(self) -> None:
        """Report all tasks of a worker that is gone, once they have lapsed."""
        await self._clock.sleep(self._bound)
        for hosted in self.roster.list_open():
            self.roster.note(hosted, "lost", code="worker_gone")

    # Taking over -----------------------------------------------------------------

    async def _take_over(self) -> None:
        while not self._may_act():
            await self._clock.sleep(GAIN_INTERVAL)
        while not await self._read_inventory():
            await self._clock.sleep(RETRY_INTERVAL)
        waited = self._clock.monotonic() - self._gained
        if self._grace > waited:
            await self._clock.sleep(self._grace - waited)
            while not await self._read_inventory():
                await self._clock.sleep(RETRY_INTERVAL)
        self.is_ready = True
        self._accounts.close_worker(self.worker.name, "")
        _log.info("Took a worker over.", worker=self.worker.name, epoch=self.epoch)

    async def _take_inventory(self) -> None:
        if not await self._read_inventory():
            self._is_asked = False

    async def _read_inventory(self) -> bool:
        if not self._may_act():
            return False
        sent = self._clock.monotonic()
        found = await self._port.read_inventory(self.worker, self.epoch)
        if not self._absorb(found, sent, True):
            return False
        self.inventoried = sent
        self._is_asked = False
        return True

    # Following and renewing ------------------------------------------------------

    async def _follow_all(self) -> None:
        while True:
            is_heard = False
            if self._may_act():
                sent = self._clock.monotonic()
                found = await self._port.follow(
                    self.worker, self.epoch, self._sequence, FOLLOW_WAIT
                )
                is_heard = self._absorb(found, sent, False)
            if not is_heard:
                await self._clock.sleep(RETRY_INTERVAL)

    async def _renew_all(self) -> None:
        while True:
            wait = RETRY_INTERVAL if self._is_doubtful else self._renewal
            await self._clock.sleep(wait)
            if self._is_doubtful:
                self._set_doubtful(not await self._read_inventory())
            if not self._is_doubtful and self._may_act():
                await self._renew()
            self.roster.drop_lapsed()

    async def _renew(self) -> None:
        names = self.roster.list_running()
        if not names:
            return
        sent = self._clock.monotonic()
        found = await self._port.renew(self.worker, self.epoch, names, self._lease)
        if not isinstance(found, Rejected):
            self.roster.note_renewed(names, isinstance(found, Inventory))
        self._set_doubtful(not self._absorb(found, sent, True))

    def _absorb(
        self, found: Inventory | Rejected | Lost, sent: timedelta, is_whole: bool
    ) -> bool:
        if not isinstance(found, Inventory):
            count_retry("workers", found.code)
            self._note_rejected(found.code)
            return False
        if found.sequence < self._sequence:
            self._set_doubtful(True)
        self._sequence = found.sequence
        self._rooms.observe(found.usage)
        for report in found.tasks:
            self.roster.absorb(report)
        if is_whole:
            present = {report.task for report in found.tasks}
            for hosted in self.roster.list_missing(present, sent):
                self._settle_missing(hosted)
        return True

    def _settle_missing(self, hosted: Hosted) -> None:
        """Settle an attempt that the worker doesn't know, as after a restart."""
        if hosted.state == "running":
            self.roster.note(hosted, "lost", code="worker_restarted")
        elif hosted.state == "unsure":
            self._repeat_start(hosted)

    def _repeat_start(self, hosted: Hosted) -> None:
        """Start the same attempt on the same worker again, if that is harmless."""
        start = hosted.start
        if start is None or not start.get("idempotent"):
            self.roster.note(hosted, "lost", code="start_lost")
            return
        hosted = hosted._replace(is_repeat=True)
        self.roster.note_sent(hosted)
        self._orders.put_nowait(lambda: self._send_start(hosted))

    def _note_rejected(self, code: str) -> None:
        """Place no more on a worker that has seen a newer owner than this one."""
        if code == "stale_epoch":
            self._is_deposed = True
            self._accounts.close_worker(self.worker.name, code)

    def _set_doubtful(self, is_doubtful: bool) -> None:
        if is_doubtful != self._is_doubtful and not self._is_deposed:
            self._is_doubtful = is_doubtful
            code = "unreachable" if is_doubtful else ""
            self._accounts.close_worker(self.worker.name, code)

    # Orders ----------------------------------------------------------------------

    async def _order_all(self) -> None:
        while True:
            order = await self._orders.get()
            await order()

    async def _start(self, start: Start) -> None:
        hosted = self.roster.find(start["task"], start["attempt"])
        if hosted is None or hosted.state != "starting":
            return
        if not self._may_act():
            self.roster.note(hosted, "unstarted", code="owner_changed")
            return
        self.roster.note_sent(hosted)
        await self._send_start(hosted)

    async def _send_start(self, hosted: Hosted) -> None:
        answer: Accepted | Rejected | Lost = Lost("owner_changed")
        if self._may_act():
            order = self._make_order(hosted.start)
            answer = await self._port.start(self.worker, self.epoch, order)
        hosted = self.roster.find(hosted.task, hosted.attempt)
        if hosted is None or hosted.state != "unsure":
            return
        if isinstance(answer, Accepted):
            self.roster.absorb(answer.report)
        elif isinstance(answer, Rejected) and not hosted.is_repeat:
            self._note_rejected(answer.code)
            self.roster.note(hosted, "unstarted", code=answer.code)
        else:
            count_retry("workers", "start_lost")
            self.roster.note_doubt(hosted)
            self._set_doubtful(True)

    async def _stop(self, task: str, attempt: int, checkpoint: bool) -> None:
        hosted = self.roster.find(task, attempt)
        if hosted is None or hosted.state != "running" or not self._may_act():
            return
        call = self._port.checkpoint if checkpoint else self._port.stop
        answer = await call(self.worker, self.epoch, task)
        if isinstance(answer, Accepted):
            self.roster.absorb(answer.report)
        elif isinstance(answer, Lost):
            self._set_doubtful(True)

    async def _forget_all(self) -> None:
        names = tuple(n for n in self._forgotten if n not in self.roster.tasks)
        self._forgotten.clear()
        if names and self._may_act():
            await self._port.acknowledge(self.worker, self.epoch, names)

    def _make_order(self, start: Start) -> StartOrder:
        held = self._accounts.find(start["task"])
        return StartOrder(
            start["task"],
            start["attempt"],
            held.need.size if held else ZERO_SIZE,
            self._lease,
            start["payload"],
            start.get("resume", ""),
        )
