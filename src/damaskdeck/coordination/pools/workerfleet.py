"""The workers of all pools as an owner knows them, with the contacts to them."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from functools import partial
from typing import Any, NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.births import EntryVerdict, KnownBirths
from damaskdeck.coordination.pools.capacityages import CapacityAges
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.cordons import Cordons
from damaskdeck.coordination.pools.inventories import ContactOwner
from damaskdeck.coordination.pools.leadership import RETRY_DELAY, Leadership
from damaskdeck.coordination.pools.namesakes import Namesakes
from damaskdeck.coordination.pools.passedorders import pass_orders
from damaskdeck.coordination.pools.predecessors import (
    InheritedLeases,
    InheritedWorkers,
    read_inherited_workers,
)
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.delays import LoopDelay
from damaskdeck.logs import get_logger
from damaskdeck.protocol.clientaccounts import UNLIMITED_SIZE
from damaskdeck.protocol.pools import (
    PoolWorker,
    PoolWorkers,
    RegisteredWorkers,
    RegistryChange,
    RegistryChanges,
    WorkerIncarnation,
    WorkerRegistry,
)
from damaskdeck.protocol.ports import Lost, Rejected, RevisionTooOld
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import TransactionalStore, Write
from damaskdeck.state.jobrecords import (
    ROSTER_KEY,
    CordonedRun,
    RosterRecord,
    encode_roster,
)

WATCH_WAIT = timedelta(seconds=1)
# Stands for the workers of an unreadable roster, and of records of runs that the roster
# lacks; no worker has this name.
_UNKNOWN_WORKERS = ""
# Assumed size of workers that nothing is known of.
UNKNOWN_WORKER_SIZE = UNLIMITED_SIZE
# Registrations change with each heartbeat; collecting changes for this time saves
# calls.
REGISTRY_INTERVAL = timedelta(milliseconds=200)

_log = get_logger("workforce")


class FleetDependencies(NamedTuple):
    """The components that a worker fleet works with.

    :param is_pool_declared: returns whether the operators have declared a pool.
    :param delay: the current delay of this process's event loop.
    :param find_write_time: returns the earliest time at which a revision of the store
        may have been written.
    """

    leadership: Leadership
    store: TransactionalStore
    workers: PoolWorkers
    registry: WorkerRegistry
    clock: Clock
    times: PoolTimes
    is_pool_declared: Callable[[str], bool]
    delay: LoopDelay
    find_write_time: Callable[[int], float]


class FleetCallbacks(NamedTuple):
    """The callbacks of a worker fleet.

    :param on_change: called when the set of usable workers has changed.
    :param on_roster_change: called when the roster has to be written.
    :param on_reconciled: called when all workers that a predecessor may have used,
        cordoned ones aside, are reconciled in one more availability zone, and when a
        cordoned worker is reconciled.
    :param on_cordon_change: called when the cordons have to be written.
    :param on_worker_reconciled: called with a worker before it counts as reconciled,
        and the runs that a predecessor recorded with its cordon, ``None`` without one.
    :param on_registration: called with a registration, and the earliest monotonic time
        in seconds at which the worker may have written it.
    :param on_replacement: called with a worker that has been replaced under its name,
        before the orders that the next incarnation may have are passed to that.
    """

    on_change: Callable[[], None]
    on_roster_change: Callable[[], None]
    on_reconciled: Callable[[], None]
    on_cordon_change: Callable[[], None]
    on_worker_reconciled: Callable[
        [WorkerContact, tuple[CordonedRun, ...] | None], None
    ]
    on_registration: Callable[[PoolWorker, float], None]
    on_replacement: Callable[[WorkerContact], None]


class WorkerFleet:
    """The contacts to all workers during one owner term.

    :param owner: receives the callbacks of the contacts.
    :ivar contacts: by the identifier of the worker's incarnation.
    :ivar followed_since: monotonic seconds since which the registry has been followed
        without a failure, infinite while it can't be followed.
    """

    def __init__(
        self,
        term: OwnerTerm,
        dependencies: FleetDependencies,
        owner: ContactOwner,
        callbacks: FleetCallbacks,
    ) -> None:
        self.contacts: dict[str, WorkerContact] = {}
        self._namesakes = Namesakes()
        self._births = KnownBirths()
        self._is_loaded = False
        self._term = term
        self._dependencies = dependencies
        self._inherited_leases = InheritedLeases(
            term, dependencies.leadership, dependencies.clock, dependencies.times
        )
        self._owner = owner
        self._callbacks = callbacks
        self._revision = 0
        self.followed_since = float("inf")
        self._capacity_ages = CapacityAges(self.contacts, owner.handle_contact_change)
        # The availability zone of each unreconciled worker, an empty string if it is
        # unknown.
        self._unreconciled: dict[str, str] = {}
        self.cordons = Cordons(self.contacts, callbacks.on_cordon_change)
        # Workers registered for a pool that is not declared yet, by name; they get no
        # orders.
        self._undeclared: dict[str, RegistryChange] = {}
        # Workers registered with a birth, by name, while they are still polled without.
        self._postponed: dict[str, RegistryChange] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._failure: asyncio.Future[None] | None = None

    def are_workers_reconciled(self, zones: frozenset[str], job: str) -> bool:
        """Whether all runs of a job on workers of the given zones must be known.

        :param zones: availability zones; all zones if empty.
        """
        for worker, zone in self._unreconciled.items():
            if zones and zone and zone not in zones:
                continue
            cordon = self.cordons.find(worker)
            if cordon is None or job in cordon.jobs:
                return False
        return True

    @property
    def unreconciled_count(self) -> int:
        """Number of workers that may run unknown tasks of a predecessor."""
        return len(self._unreconciled)

    def list_unreconciled(self) -> list[Size]:
        """List the maximum sizes of the unreconciled workers.

        A worker that has shrunk may still run tasks that fitted its earlier size.
        """
        return [
            contact.peak_size
            if (contact := self.contacts.get(name))
            else UNKNOWN_WORKER_SIZE
            for name in self._unreconciled
        ]

    def _now(self) -> float:
        return self._dependencies.clock.monotonic().total_seconds()

    async def read(self) -> InheritedWorkers:
        """Read the registry and the records of the previous owner."""
        dependencies = self._dependencies
        return await read_inherited_workers(
            dependencies.registry, dependencies.store, dependencies.clock
        )

    def load(self, inherited: InheritedWorkers) -> None:
        """Start contacts to all workers that :meth:`read` has found."""
        found, roster = inherited.registered, inherited.roster
        self._revision = found.revision
        silent = {c.worker for c in inherited.cordons.cordons if c.is_silent}
        for worker in roster.workers if roster is not None else ():
            contact = self._add_contact(worker, worker.identifier in silent)
            contact.is_listed = False
            contact.is_rostered = True
            self._births.record(contact.incarnation, worker.address)
        self._apply_all(found)
        if self._term.predecessor is not None:
            self._unreconciled = {
                name: contact.info.zone for name, contact in self.contacts.items()
            }
        if roster is None or not roster.is_complete:
            self.wait_for_unknown_workers()
        if roster is not None:
            self.cordons.load(inherited.cordons)

    def wait_for_unknown_workers(self) -> None:
        """Count the workers that the roster lacks as unreconciled, for one lease."""
        if _UNKNOWN_WORKERS not in self._unreconciled:
            self._unreconciled[_UNKNOWN_WORKERS] = ""
            self._start_task(self._reconcile_unknown_workers())

    async def _reconcile_unknown_workers(self) -> None:
        """Wait until nothing can run on workers that the roster lacks."""
        dependencies = self._dependencies
        find_expiry = self._bound_inherited_leases(may_have_returned=True)
        while self._now() < find_expiry():
            await dependencies.clock.sleep(RETRY_DELAY)
        while not await dependencies.leadership.is_confirmed_since(find_expiry()):
            await dependencies.clock.sleep(RETRY_DELAY)
        self._mark_reconciled(_UNKNOWN_WORKERS)
        self._callbacks.on_roster_change()

    async def run(self) -> None:
        """Follow the registry until cancelled.

        :raises Exception: the exception of a contact that failed.
        """
        self._failure = asyncio.get_running_loop().create_future()
        self._end_inherited()
        await asyncio.gather(self._failure, self._follow())

    def close(self) -> None:
        """Cancel all contacts."""
        for task in self._tasks:
            task.cancel()

    def mark_reconciled(self, contact: WorkerContact) -> None:
        """Record that a worker has no runs unknown to this owner any more."""
        identifier = contact.info.identifier
        if identifier in self._unreconciled:
            cordon = self.cordons.find(identifier)
            runs = cordon.runs if cordon is not None else None
            self._callbacks.on_worker_reconciled(contact, runs)
        self._mark_reconciled(identifier)

    def _mark_reconciled(self, identifier: str) -> None:
        if identifier in self._unreconciled:
            zone = self._unreconciled.pop(identifier)
            remaining_zones = (
                other
                for worker, other in self._unreconciled.items()
                if self.cordons.find(worker) is None
            )
            if zone not in remaining_zones or self.cordons.find(identifier) is not None:
                self._callbacks.on_reconciled()

    def build_roster_write(self) -> tuple[Write, Callable[[], bool]]:
        """Return the write of the roster and the function to call once it is durable.

        The function returns whether orders may now go to more workers.
        """
        # A successor must find the runs of a worker that is gone until they count.
        listed = [
            (contact, contact.peak_size)
            for contact in self.contacts.values()
            if contact.has_unsettled_runs or not contact.is_gone
        ]
        roster = RosterRecord(
            tuple(c.info._replace(size=peak_size) for c, peak_size in listed),
            # A successor has to wait for the workers that this roster lacks, too.
            is_complete=_UNKNOWN_WORKERS not in self._unreconciled,
        )

        def mark_durable() -> bool:
            for contact, peak_size in listed:
                contact.is_rostered = contact.peak_size == peak_size
            return bool(listed)

        return Write(ROSTER_KEY, encode_roster(roster)), mark_durable

    def _bound_inherited_leases(
        self, is_silent: bool = False, may_have_returned: bool = False
    ) -> Callable[[], float]:
        """Return a function that bounds the leases of a worker known from now on.

        The parameters are those of :meth:`InheritedLeases.find_expiry`.
        """
        return partial(
            self._inherited_leases.find_expiry,
            self._now(),
            is_silent,
            may_have_returned,
        )

    def _add_contact(
        self, worker: PoolWorker, is_silent: bool = False
    ) -> WorkerContact:
        dependencies = self._dependencies
        incarnation = WorkerIncarnation.parse(worker.identifier)
        may_have_returned = incarnation.born is not None
        contact = WorkerContact(
            worker,
            self._term,
            self._owner,
            dependencies.workers,
            dependencies.leadership,
            dependencies.clock,
            dependencies.times,
            self._bound_inherited_leases(is_silent, may_have_returned),
            dependencies.delay,
        )
        self.contacts[worker.identifier] = contact
        self._namesakes.add(contact)
        self._start_task(self._run_contact(contact))
        return contact

    async def _run_contact(self, contact: WorkerContact) -> None:
        await contact.run()
        self._namesakes.remove(contact, self._now())
        if self.contacts.get(contact.info.identifier) is contact:
            del self.contacts[contact.info.identifier]
            self.mark_reconciled(contact)
        self._callbacks.on_roster_change()
        postponed = self._postponed.get(contact.incarnation.name)
        if postponed is not None and self._apply_registration(
            postponed.worker, postponed.revision
        ):
            self._callbacks.on_change()

    # Incarnations of one name ------------------------------------------------

    def handle_next_incarnation(self, contact: WorkerContact, born: int) -> None:
        """Handle a list that the next incarnation of a contact's worker has sent.

        Its registration may not be known yet; it gets no orders until it is.
        """
        incarnation = WorkerIncarnation(contact.incarnation.name, born)
        self._births.record_listed(incarnation, contact.info.address)
        successor = self.contacts.get(incarnation.identifier)
        if successor is None or successor.is_gone:
            # One that is gone was ended by an entry with a birth that no list confirms.
            info = contact.info._replace(
                identifier=incarnation.identifier, is_leaving=False, remaining=None
            )
            successor = self._add_contact(info)
            successor.is_listed = False
        self._replace(contact, successor)

    def _replace(self, contact: WorkerContact, successor: WorkerContact) -> None:
        """End a contact's incarnation, as the next one under its name is known."""
        old, new = contact.info.identifier, successor.info.identifier
        _log.info("A worker has returned under its name.", worker=old, successor=new)
        self._births.record_end(contact.incarnation)
        contact.is_listed = False
        if old in self._unreconciled:
            # It may carry out what the previous owner ordered.
            self._unreconciled.setdefault(new, successor.info.zone)
        self._callbacks.on_replacement(contact)
        pass_orders(contact, successor, self._dependencies.times, self._now())
        contact.end_incarnation()
        self._callbacks.on_roster_change()

    def _end_inherited(self) -> None:
        """End the incarnations of the previous owner's roster that were replaced.

        The jobs that may have run there are known only once everything is loaded.
        """
        self._is_loaded = True
        for contact in list(self.contacts.values()):
            if not self._births.is_outdated(contact.incarnation):
                self._replace_earlier(contact)

    def _replace_earlier(self, contact: WorkerContact) -> None:
        """End the earlier incarnations of a contact's worker."""
        for other in self._namesakes.list_earlier(contact.incarnation):
            self._replace(other, contact)

    def _postpone(
        self, contact: WorkerContact, worker: PoolWorker, revision: int
    ) -> None:
        """Use a registration with a birth once the contact without one has ended."""
        name = contact.incarnation.name
        if name not in self._postponed:
            _log.info("A worker reports its birth now.", worker=worker.identifier)
        self._postponed[name] = RegistryChange(worker.identifier, worker, revision)
        contact.is_listed = False
        contact.info = contact.info._replace(address=worker.address)

    def _unlist(self, name: str) -> None:
        """Remove all incarnations of a name from the list."""
        self._undeclared.pop(name, None)
        self._postponed.pop(name, None)
        self._namesakes.unlist(name)

    # Registry ----------------------------------------------------------------

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and self._failure is not None and not self._failure.done():
            self._failure.set_exception(error)

    def _apply_all(self, found: RegisteredWorkers) -> None:
        for worker, revision in zip(found.workers, found.revisions, strict=True):
            self._apply_registration(worker, revision)

    def _apply_registration(self, worker: PoolWorker, revision: int) -> bool:
        """Apply a registration, and return whether it contains anything new."""
        incarnation = WorkerIncarnation.parse(worker.identifier)
        verdict = self._births.judge(worker, revision)
        if verdict is EntryVerdict.UNUSABLE:
            self._unlist(incarnation.name)
        if verdict is not EntryVerdict.USABLE:
            return False
        reported_at = self._dependencies.find_write_time(revision)
        self._callbacks.on_registration(worker, reported_at)
        without_birth = self._namesakes.find_without_birth(incarnation)
        if without_birth is not None:
            self._postpone(without_birth, worker, revision)
            return False
        self._postponed.pop(incarnation.name, None)
        contact = self.contacts.get(worker.identifier)
        is_declared = self._dependencies.is_pool_declared(worker.pool)
        if (
            contact is None
            and not is_declared
            and not self._namesakes.list_earlier(incarnation)
        ):
            self._record_undeclared(worker, revision)
            return False
        self._undeclared.pop(incarnation.name, None)
        if contact is None:
            contact = self._add_contact(worker)
            contact.update(worker, reported_at)
            if self._is_loaded:
                self._replace_earlier(contact)
            self._callbacks.on_roster_change()
            return True
        is_new = not contact.is_listed or contact.info != worker
        was_in_roster = contact.is_rostered
        contact.update(worker, reported_at)
        self._capacity_ages.record_report(contact, self._now())
        if was_in_roster and not contact.is_rostered:
            self._callbacks.on_roster_change()
        return is_new

    def check_capacity_ages(self, now: float) -> None:
        """Find workers whose capacity reports became too old, and notify the owner."""
        self._capacity_ages.check(now)

    def _record_undeclared(self, worker: PoolWorker, revision: int) -> None:
        name = WorkerIncarnation.parse(worker.identifier).name
        if name not in self._undeclared:
            _log.warn(
                "A worker's pool isn't declared.",
                code="unknown_pool",
                worker=worker.identifier,
                pool=worker.pool,
            )
        self._undeclared[name] = RegistryChange(worker.identifier, worker, revision)

    async def _follow(self) -> None:
        registry = self._dependencies.registry
        while True:
            for change in list(self._undeclared.values()):
                self._apply_registration(change.worker, change.revision)
            answer = await registry.follow_workers(self._revision, WATCH_WAIT)
            if isinstance(answer, Rejected | Lost):
                self.followed_since = float("inf")
            else:
                self.followed_since = min(self.followed_since, self._now())
            if isinstance(answer, RegistryChanges):
                self._revision = answer.revision
                is_new = False
                for change in answer.changes:
                    if change.worker is not None:
                        is_new = (
                            self._apply_registration(change.worker, change.revision)
                            or is_new
                        )
                    else:
                        self._unlist(change.identifier)
                if is_new:
                    # A heartbeat changes only the time of a registration.
                    self._callbacks.on_change()
            elif isinstance(answer, RevisionTooOld):
                await self._relist()
            await self._dependencies.clock.sleep(REGISTRY_INTERVAL)

    async def _relist(self) -> None:
        found = await self._dependencies.registry.list_workers()
        if isinstance(found, RegisteredWorkers):
            self._revision = found.revision
            present = {worker.identifier for worker in found.workers}
            names = {WorkerIncarnation.parse(name).name for name in present}
            for gone in {*self._undeclared, *self._postponed} - names:
                self._unlist(gone)
            for identifier, contact in self.contacts.items():
                contact.is_listed = identifier in present
            self._apply_all(found)
