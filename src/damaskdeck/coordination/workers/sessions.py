"""What the owner of a worker does with it, from taking it over to losing it."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.places.allocator import CapacityAllocator
from damaskdeck.coordination.queues.pressure import Checkpoint, Throttle
from damaskdeck.coordination.workers.leases import compute_takeover_bound
from damaskdeck.coordination.workers.orders import Orders
from damaskdeck.coordination.workers.rosters import Hosted, Roster
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry
from damaskdeck.protocol.jobs import TaskUpdate
from damaskdeck.protocol.ports import (
    Instance,
    Inventory,
    Lost,
    Rejected,
    Usage,
    WorkerPort,
)
from damaskdeck.state.workeraccounts import WorkerAccounts

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
    came was asked for; ``bound`` is how long leases of earlier owners may last.

    :param worker: as the platform lists it; set anew when that changes.
    :param may_act: tells whether this daemon still owns the worker.
    :param put_news: takes news for the keepers.
    :param allocator: learns of ends and of use.
    :param grace: how long to wait before the first placement, for workers that
        don't check epochs.
    """

    def __init__(
        self,
        worker: Instance,
        epoch: int,
        port: WorkerPort,
        accounts: WorkerAccounts,
        clock: Clock,
        may_act: Callable[[], bool],
        put_news: Callable[[TaskUpdate], None],
        allocator: CapacityAllocator,
        grace: timedelta = timedelta(),
        lease: timedelta = defaults.TASK_LEASE,
        renewal: timedelta = defaults.TASK_RENEWAL,
    ) -> None:
        self.worker = worker
        self.epoch = epoch
        self.is_ready = False
        self.roster = Roster(
            worker.name, accounts, clock, put_news, allocator.record_end, lease
        )
        self._allocator = allocator
        self.port = port
        self.accounts = accounts
        self._clock = clock
        self.may_act = may_act
        self._grace = grace
        self._lease = lease
        self._renewal = renewal
        self.bound = compute_takeover_bound(lease)
        self._gained = clock.monotonic()
        self.inventoried = timedelta.min
        self.is_doubtful = False
        self._is_deposed = False
        self._sequence = 0
        self.orders = Orders(self, lease)

    async def run(self) -> None:
        """Take inventory, then follow, renew and order until cancelled."""
        await self._take_over()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_all())
            group.create_task(self._renew_all())
            group.create_task(self.orders.run())

    @property
    def tasks(self) -> dict[str, Hosted]:
        """The attempts on this worker by task."""
        return self.roster.tasks

    def refuse_waiting(self) -> None:
        """Report the starts that were not sent yet; they won't be any more."""
        for hosted in self.roster.list_open():
            if hosted.state == "starting":
                self.roster.note(hosted, "unstarted", code="owner_changed")

    async def abandon(self) -> None:
        """Report each task of a worker that is gone, once it has lapsed."""
        deadline = self._clock.monotonic() + self.bound
        while self.roster.list_open() and self._clock.monotonic() < deadline:
            self.roster.drop_lapsed()
            await self._clock.sleep(RETRY_INTERVAL)
        for hosted in self.roster.list_open():
            self.roster.note(hosted, "lost", code="worker_gone")

    # Taking over -----------------------------------------------------------------

    async def _take_over(self) -> None:
        while not self.may_act():
            await self._clock.sleep(GAIN_INTERVAL)
        while not await self.read_inventory():
            await self._clock.sleep(RETRY_INTERVAL)
        waited = self._clock.monotonic() - self._gained
        if self._grace > waited:
            await self._clock.sleep(self._grace - waited)
            while not await self.read_inventory():
                await self._clock.sleep(RETRY_INTERVAL)
        self.is_ready = True
        self.accounts.close_worker(self.worker.name, "")
        _log.info("Took a worker over.", worker=self.worker.name, epoch=self.epoch)

    async def read_inventory(self) -> bool:
        """Take in a whole inventory; false when it didn't come."""
        if not self.may_act():
            return False
        sent = self._clock.monotonic()
        found = await self.port.read_inventory(self.worker, self.epoch)
        if not self._absorb(found, sent, True):
            return False
        self.inventoried = sent
        return True

    # Following and renewing ------------------------------------------------------

    async def _follow_all(self) -> None:
        while True:
            is_heard = False
            if self.may_act():
                sent = self._clock.monotonic()
                found = await self.port.follow(
                    self.worker, self.epoch, self._sequence, FOLLOW_WAIT
                )
                is_heard = self._absorb(found, sent, False)
            if not is_heard:
                await self._clock.sleep(RETRY_INTERVAL)

    async def _renew_all(self) -> None:
        while True:
            wait = RETRY_INTERVAL if self.is_doubtful else self._renewal
            await self._clock.sleep(wait)
            if self.is_doubtful or self.roster.has_doubts():
                self.set_doubtful(not await self.read_inventory())
            if not self.is_doubtful and self.may_act():
                await self._renew()
            self.roster.drop_lapsed()

    async def _renew(self) -> None:
        names = self.roster.list_running()
        if not names:
            return
        sent = self._clock.monotonic()
        try:
            found = await self.port.renew(self.worker, self.epoch, names, self._lease)
        except asyncio.CancelledError:
            self.roster.note_renewed(names, False)
            raise
        if not isinstance(found, Rejected):
            self.roster.note_renewed(names, isinstance(found, Inventory))
        self.set_doubtful(not self._absorb(found, sent, True))

    def _absorb(
        self, found: Inventory | Rejected | Lost, sent: timedelta, is_whole: bool
    ) -> bool:
        if not isinstance(found, Inventory):
            count_retry("workers", found.code)
            self.note_rejected(found.code)
            return False
        if found.sequence < self._sequence:
            self.set_doubtful(True)
        self._sequence = found.sequence
        self._relieve(found.usage)
        for report in found.tasks:
            self.roster.absorb(report)
        if is_whole:
            present = {report.task for report in found.tasks}
            for hosted in self.roster.list_missing(present, sent):
                self._settle_missing(hosted)
        return True

    def _relieve(self, usage: tuple[Usage, ...]) -> None:
        """Throttle or stop tasks of a worker whose use nears its size."""
        tasks = self.roster.tasks
        staying = [
            item for item in usage if item.task in tasks and not tasks[item.task].cause
        ]
        for action in self._allocator.observe(self.worker.name, staying):
            if isinstance(action, Throttle):
                self.orders.throttle(action.task, action.millicores)
            else:
                checkpoint = isinstance(action, Checkpoint)
                self.orders.preempt(action.task, checkpoint, "worker_full")

    def _settle_missing(self, hosted: Hosted) -> None:
        """Settle an attempt that the worker doesn't know, as after a restart."""
        if hosted.state == "running":
            self.roster.note(hosted, "lost", code="worker_restarted")
        elif hosted.state == "unsure":
            self.orders.repeat_start(hosted)

    def note_rejected(self, code: str) -> None:
        """Place no more on a worker that has seen a newer owner than this one."""
        if code == "stale_epoch":
            self._is_deposed = True
            self.accounts.close_worker(self.worker.name, code)

    def set_doubtful(self, is_doubtful: bool) -> None:
        """Close the worker while it can't be reached, and ask for inventories."""
        if is_doubtful != self.is_doubtful and not self._is_deposed:
            self.is_doubtful = is_doubtful
            code = "unreachable" if is_doubtful else ""
            self.accounts.close_worker(self.worker.name, code)
