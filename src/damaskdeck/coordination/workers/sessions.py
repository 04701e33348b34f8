"""Session of a worker's owner with the worker, from takeover to loss."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.places.allocator import CapacityAllocator
from damaskdeck.coordination.queues.pressure import Checkpoint, Throttle
from damaskdeck.coordination.workers.leases import compute_takeover_bound
from damaskdeck.coordination.workers.orders import Orders
from damaskdeck.coordination.workers.rosters import HostedTask, Roster
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
OWNERSHIP_POLL_INTERVAL = timedelta(milliseconds=20)

Order = Callable[[], Awaitable[None]]

_log = get_logger("workers")


class WorkerSession:
    """Manages one worker under one epoch; its loops end with :meth:`run`.

    Guarantee: "No task is ever running in two places at once": every call carries
    the epoch, the inventory is read before the first placement, and a task is
    reported lost only when its lease must have expired.

    :param worker: as listed by the platform; replaced when that changes.
    :param may_act: returns whether this daemon still owns the worker.
    :param put_update: called with updates for the ledger owners.
    :param allocator: is notified of ends and usage.
    :param grace: how long to wait before the first placement, for workers that
        don't check epochs.
    :ivar incarnation: the worker's incarnation, as of the last full inventory.
    :ivar inventory_sent_at: monotonic time at which the last full inventory that
        arrived was requested.
    :ivar takeover_bound: how long leases of earlier owners may last.
    :ivar is_unconfirmed: whether the state of the worker is unconfirmed, so that
        an inventory is needed.
    :ivar is_overfull: whether the worker runs more than its account can hold.
    """

    def __init__(
        self,
        worker: Instance,
        epoch: int,
        port: WorkerPort,
        accounts: WorkerAccounts,
        clock: Clock,
        may_act: Callable[[], bool],
        put_update: Callable[[TaskUpdate], None],
        allocator: CapacityAllocator,
        grace: timedelta = timedelta(),
        lease: timedelta = defaults.TASK_LEASE,
        renewal: timedelta = defaults.TASK_RENEWAL,
    ) -> None:
        self.worker = worker
        self.epoch = epoch
        self.is_ready = False
        self.roster = Roster(
            worker.name, accounts, clock, put_update, allocator.record_end, lease
        )
        self._allocator = allocator
        self.port = port
        self.accounts = accounts
        self._clock = clock
        self.may_act = may_act
        self._grace = grace
        self._lease = lease
        self._renewal = renewal
        self.incarnation = ""
        self.takeover_bound = compute_takeover_bound(lease)
        self._gained_at = clock.monotonic()
        self.inventory_sent_at = timedelta.min
        self.is_unconfirmed = False
        self.is_overfull = False
        self._is_deposed = False
        self._sequence = 0
        self.orders = Orders(self, lease)

    async def run(self) -> None:
        """Read the inventory, then follow, renew and send orders until cancelled."""
        await self._take_over()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_all())
            group.create_task(self._renew_all())
            group.create_task(self.orders.run())

    @property
    def tasks(self) -> dict[str, HostedTask]:
        """The attempts on this worker, by task."""
        return self.roster.tasks

    def reject_unsent_starts(self, code: str = "owner_changed") -> None:
        """Report starts that were not sent as unstarted, as they never will be."""
        for hosted in self.roster.list_open():
            if hosted.state == "starting":
                self.roster.set_state(hosted, "unstarted", code=code)

    async def report_lost_tasks(self) -> None:
        """Report each task of a removed worker as lost once its lease has expired."""
        deadline = self._clock.monotonic() + self.takeover_bound
        while self.roster.list_open() and self._clock.monotonic() < deadline:
            self.roster.report_expired()
            await self._clock.sleep(RETRY_INTERVAL)
        for hosted in self.roster.list_open():
            self.roster.set_state(hosted, "lost", code="worker_gone")

    # Takeover --------------------------------------------------------------------

    async def _take_over(self) -> None:
        while not self.may_act():
            await self._clock.sleep(OWNERSHIP_POLL_INTERVAL)
        while not await self.read_inventory():
            await self._clock.sleep(RETRY_INTERVAL)
        waited = self._clock.monotonic() - self._gained_at
        if self._grace > waited:
            await self._clock.sleep(self._grace - waited)
            while not await self.read_inventory():
                await self._clock.sleep(RETRY_INTERVAL)
        self.is_ready = True
        self._update_admission()
        _log.info("Took over a worker.", worker=self.worker.name, epoch=self.epoch)

    async def read_inventory(self) -> bool:
        """Read a full inventory; return whether it arrived."""
        if not self.may_act():
            return False
        sent_at = self._clock.monotonic()
        found = await self.port.read_inventory(self.worker, self.epoch)
        if not self._merge_inventory(found, sent_at, True):
            return False
        self.inventory_sent_at = sent_at
        return True

    # Updates and renewals --------------------------------------------------------

    async def _follow_all(self) -> None:
        while True:
            is_answered = False
            if self.may_act():
                sent_at = self._clock.monotonic()
                found = await self.port.follow(
                    self.worker, self.epoch, self._sequence, FOLLOW_WAIT
                )
                is_answered = self._merge_inventory(found, sent_at, False)
            if not is_answered:
                await self._clock.sleep(RETRY_INTERVAL)

    async def _renew_all(self) -> None:
        while True:
            wait = RETRY_INTERVAL if self.is_unconfirmed else self._renewal
            await self._clock.sleep(wait)
            if self.is_unconfirmed or self.roster.has_unconfirmed():
                self.set_unconfirmed(not await self.read_inventory())
            if not self.is_unconfirmed and self.may_act():
                await self._renew()
            self.roster.report_expired()

    async def _renew(self) -> None:
        names = self.roster.list_running()
        if not names:
            return
        sent_at = self._clock.monotonic()
        try:
            found = await self.port.renew(self.worker, self.epoch, names, self._lease)
        except asyncio.CancelledError:
            self.roster.record_renewal(names, False)
            raise
        if not isinstance(found, Rejected):
            self.roster.record_renewal(names, isinstance(found, Inventory))
        self.set_unconfirmed(not self._merge_inventory(found, sent_at, True))

    def _merge_inventory(
        self, found: Inventory | Rejected | Lost, sent_at: timedelta, is_whole: bool
    ) -> bool:
        if not isinstance(found, Inventory):
            count_retry("workers", found.code)
            self.handle_rejection(found.code)
            return False
        if found.incarnation != self.incarnation:
            if not is_whole:
                # The changes since the last inventory of another incarnation are not
                # all that the worker runs.
                self.set_unconfirmed(True)
                return False
            self._begin_incarnation(found.incarnation)
        self._sequence = found.sequence
        self._handle_pressure(found.usage)
        if is_whole:
            # What is gone must release its capacity before other tasks are adopted.
            present = {report.task for report in found.tasks}
            for hosted in self.roster.list_missing(present, sent_at):
                self._resolve_missing(hosted)
        for report in found.tasks:
            self.roster.merge_report(report, found.incarnation)
        self._set_overfull(self.roster.has_unreserved())
        return True

    def _begin_incarnation(self, incarnation: str) -> None:
        """Give up the capacity that was granted on an earlier incarnation."""
        if self.incarnation:
            _log.warn(
                "A worker has restarted.",
                worker=self.worker.name,
                epoch=self.epoch,
                incarnation=incarnation,
                former=self.incarnation,
                tasks=len(self.roster.list_open()),
            )
            self.reject_unsent_starts("stale_incarnation")
            self._allocator.release_holds(self.worker.name)
        self.incarnation = incarnation

    def _handle_pressure(self, usage: tuple[Usage, ...]) -> None:
        """Throttle or stop tasks of a worker whose usage approaches its size."""
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

    def _resolve_missing(self, hosted: HostedTask) -> None:
        """Handle an attempt that the worker doesn't list, as after a restart."""
        if hosted.state == "running":
            code = "worker_restarted" if self._has_restarted(hosted) else "not_listed"
            self.roster.set_state(hosted, "lost", code=code)
        elif hosted.state == "unsure" and hosted.incarnation != self.incarnation:
            self.roster.set_state(hosted, "lost", code="start_lost")
        elif hosted.state == "unsure":
            self.orders.retry_start(hosted)

    def _has_restarted(self, hosted: HostedTask) -> bool:
        """Return whether the worker has restarted since it ran an attempt.

        A worker that names no incarnation counts as restarted.
        """
        return not self.incarnation or hosted.incarnation != self.incarnation

    def handle_rejection(self, code: str) -> None:
        """Place no more tasks on a worker that has restarted or seen a newer owner."""
        if code == "stale_epoch":
            self._is_deposed = True
            self.accounts.close_worker(self.worker.name, code)
        elif code == "stale_incarnation":
            self.set_unconfirmed(True)

    def set_unconfirmed(self, is_unconfirmed: bool) -> None:
        """Close the worker while its state is unconfirmed, and request inventories."""
        if is_unconfirmed != self.is_unconfirmed and not self._is_deposed:
            self.is_unconfirmed = is_unconfirmed
            self._update_admission()

    def _set_overfull(self, is_overfull: bool) -> None:
        """Close the worker while it runs more than its account can hold."""
        if is_overfull != self.is_overfull and not self._is_deposed:
            self.is_overfull = is_overfull
            if self.is_ready:
                self._update_admission()

    def _update_admission(self) -> None:
        code = "overfull" if self.is_overfull else ""
        code = "unreachable" if self.is_unconfirmed else code
        self.accounts.close_worker(self.worker.name, code)
