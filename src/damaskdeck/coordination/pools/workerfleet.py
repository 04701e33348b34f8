"""The workers of all pools as an owner knows them: registered, rostered, contacted."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.cordons import Cordons
from damaskdeck.coordination.pools.inventories import ContactOwner
from damaskdeck.coordination.pools.leadership import RETRY_DELAY, Leadership
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.delays import LoopDelay
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.protocol.clientaccounts import UNLIMITED_SIZE
from damaskdeck.protocol.pools import (
    PoolWorker,
    PoolWorkers,
    RegisteredWorkers,
    RegistryChange,
    RegistryChanges,
    WorkerRegistry,
)
from damaskdeck.protocol.ports import Found, Missing, RevisionTooOld
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import TransactionalStore, Write
from damaskdeck.state.jobrecords import (
    CORDONS_KEY,
    ROSTER_KEY,
    CordonedRun,
    CordonsRecord,
    RosterRecord,
    decode_record,
    encode_record,
)

WATCH_WAIT = timedelta(seconds=1)
# Stands for the workers of a roster that can't be read; no worker has this name.
_UNREADABLE = ""
# Of workers that nothing is known of.
UNBOUNDED = UNLIMITED_SIZE
# Registrations change with each heartbeat; gathering them saves calls.
REGISTRY_INTERVAL = timedelta(milliseconds=200)

T = TypeVar("T")

_log = get_logger("workforce")


class FleetDependencies(NamedTuple):
    """What a workforce works with.

    :param is_pool_declared: tells whether the operators have declared a pool.
    :param delay: how late this process is.
    :param find_write_time: returns the earliest time at which a revision of the store
        was written.
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


class WorkforceEvents(NamedTuple):
    """Whom a workforce tells.

    :param change: which workers may be used has changed.
    :param roster: the roster has to be written.
    :param account: all workers of another availability zone that a predecessor
        may have used are accounted for.
    :param cordons: the cordons have to be written.
    :param crash: what a predecessor had written of a worker went with its life.
    """

    change: Callable[[], None]
    roster: Callable[[], None]
    account: Callable[[], None]
    cordons: Callable[[], None]
    crash: Callable[[tuple[CordonedRun, ...]], None]


class Inherited(NamedTuple):
    """What a takeover finds.

    :param roster: ``None`` where it can't be read.
    """

    registered: RegisteredWorkers
    roster: RosterRecord | None
    cordons: CordonsRecord


class Workforce:
    """Contacts to all workers, for one mandate.

    :param owner: whom the contacts tell.
    :ivar contacts: by the identifier of a worker's life.
    """

    def __init__(
        self,
        term: OwnerTerm,
        parts: FleetDependencies,
        owner: ContactOwner,
        events: WorkforceEvents,
    ) -> None:
        self.contacts: dict[str, WorkerContact] = {}
        self._mandate = term
        self._parts = parts
        self._owner = owner
        self._events = events
        self._revision = 0
        # Those whose room may have shrunk too long ago, as last looked at.
        self._unsure: set[str] = set()
        self._are_rooms_unsure = False
        # With the availability zone of each, an empty string where it isn't known.
        self._unaccounted: dict[str, str] = {}
        self.cordons = Cordons(self.contacts, events.cordons)
        # Registered for a pool that isn't declared yet: no orders go there.
        self._undeclared: dict[str, RegistryChange] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._broken: asyncio.Future[None] | None = None

    def is_accounted(self, zones: frozenset[str], job: str) -> bool:
        """Whether nothing unknown of a job can run on workers of availability zones.

        :param zones: all when empty.
        """
        for worker, zone in self._unaccounted.items():
            if zones and zone and zone not in zones:
                continue
            cordon = self.cordons.find(worker)
            if cordon is None or job in cordon.jobs:
                return False
        return True

    @property
    def unaccounted(self) -> int:
        """How many workers may run what a predecessor ordered without our knowing."""
        return len(self._unaccounted)

    def list_unreconciled(self) -> list[Size]:
        """List what the workers that are not accounted for yet may hold at most.

        One that has shrunk may run what it was given before.
        """
        return [
            contact.peak_size if (contact := self.contacts.get(name)) else UNBOUNDED
            for name in self._unaccounted
        ]

    def _now(self) -> float:
        return self._parts.clock.monotonic().total_seconds()

    async def read(self) -> "Inherited":
        """Read what the registry tells and the owner before has written."""
        parts = self._parts
        while True:
            found, roster, cordons = await asyncio.gather(
                parts.registry.list_workers(),
                parts.store.read(ROSTER_KEY),
                parts.store.read(CORDONS_KEY),
            )
            answers = roster, cordons
            if isinstance(found, RegisteredWorkers) and all(
                isinstance(answer, Found | Missing) for answer in answers
            ):
                break
            await parts.clock.sleep(RETRY_DELAY)
        return Inherited(
            found,
            _decode(RosterRecord, roster),
            # Where nothing can be told of them, no worker counts as cordoned.
            _decode(CordonsRecord, cordons) or CordonsRecord(),
        )

    def load(self, inherited: "Inherited") -> None:
        """Begin to contact all workers that :meth:`read` has found."""
        found, roster = inherited.registered, inherited.roster
        self._revision = found.revision
        silent = {c.worker for c in inherited.cordons.cordons if c.is_silent}
        for worker in roster.workers if roster is not None else ():
            contact = self._add(worker, worker.identifier in silent)
            contact.is_listed = False
            contact.is_rostered = True
        self._list_all(found)
        if self._mandate.predecessor is not None:
            self._unaccounted = {
                name: contact.info.zone for name, contact in self.contacts.items()
            }
        if roster is None:
            self._unaccounted[_UNREADABLE] = ""
            self._spawn(self._wait_for_unknown())
        else:
            self.cordons.load(inherited.cordons)

    async def _wait_for_unknown(self) -> None:
        """Wait until nothing runs on workers that an unreadable roster named."""
        parts, bound = self._parts, self._find_bound()
        await parts.clock.sleep(timedelta(seconds=bound - self._now()))
        while not await parts.leadership.is_confirmed_since(bound):
            await parts.clock.sleep(RETRY_DELAY)
        self._account(_UNREADABLE)

    async def run(self) -> None:
        """Follow the registry until cancelled.

        :raises Exception: that of a contact that broke.
        """
        self._broken = asyncio.get_running_loop().create_future()
        await asyncio.gather(self._broken, self._follow())

    def close(self) -> None:
        """End all contacts."""
        for task in self._tasks:
            task.cancel()

    def account(self, contact: WorkerContact) -> None:
        """Take note that nothing unknown runs on a worker any more."""
        self._account(contact.info.identifier)

    def _account(self, identifier: str) -> None:
        if identifier in self._unaccounted:
            zone = self._unaccounted.pop(identifier)
            left = (
                other
                for worker, other in self._unaccounted.items()
                if self.cordons.find(worker) is None
            )
            if zone not in left or self.cordons.find(identifier) is not None:
                self._events.account()

    def write_roster(self) -> tuple[Write, Callable[[], bool]]:
        """Return the roster to write, and what to call once that is durable.

        The call tells whether orders may go to more workers.
        """
        listed = [(c, c.peak_size) for c in self.contacts.values() if not c.is_gone]
        roster = RosterRecord(
            tuple(c.info._replace(size=peak_size) for c, peak_size in listed)
        )

        def note_durable() -> bool:
            for contact, peak_size in listed:
                contact.is_rostered = contact.peak_size == peak_size
            return bool(listed)

        return Write(ROSTER_KEY, encode_record(roster)), note_durable

    def _find_bound(self, is_silent: bool = False) -> float:
        """Return when a lease that a predecessor granted is over at the latest.

        :param is_silent: the predecessor had ceased to extend it before.
        """
        parts, old = self._parts, self._mandate.predecessor
        now = self._now()
        if old is None:
            return now
        is_gone = parts.leadership.is_gone(old.instance, old.incarnation)
        is_over = old.is_released or is_gone or is_silent
        lasts = parts.times.lease_expiry if is_over else parts.times.succession
        return now + lasts.total_seconds()

    def _add(self, worker: PoolWorker, is_silent: bool = False) -> WorkerContact:
        parts = self._parts
        contact = WorkerContact(
            worker,
            self._mandate,
            self._owner,
            parts.workers,
            parts.leadership,
            parts.clock,
            parts.times,
            self._find_bound(is_silent),
            parts.delay,
        )
        self.contacts[worker.identifier] = contact
        self._spawn(self._keep(contact))
        return contact

    async def _keep(self, contact: WorkerContact) -> None:
        await contact.run()
        cordon = self.cordons.find(contact.info.identifier)
        if contact.is_gone and not contact.is_reconciled and cordon is not None:
            # Its runs are known to nobody else any more.
            self._events.crash(cordon.runs)
        self.contacts.pop(contact.info.identifier, None)
        self.account(contact)
        self._events.roster()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and self._broken is not None and not self._broken.done():
            self._broken.set_exception(error)

    def _list_all(self, found: RegisteredWorkers) -> None:
        for worker, revision in zip(found.workers, found.revisions, strict=True):
            self._list(worker, revision)

    def _list(self, worker: PoolWorker, revision: int) -> bool:
        """Take note of a registration; tell whether it says anything new."""
        told_at = self._parts.find_write_time(revision)
        contact = self.contacts.get(worker.identifier)
        if contact is None and not self._parts.is_pool_declared(worker.pool):
            self._note_undeclared(worker, revision)
            return False
        self._undeclared.pop(worker.identifier, None)
        if contact is None:
            self._add(worker).update(worker, told_at)
            self._events.roster()
            return True
        is_new = not contact.is_listed or contact.info != worker
        was_rostered = contact.is_rostered
        contact.update(worker, told_at)
        if worker.identifier in self._unsure and contact.is_capacity_fresh(self._now()):
            self._unsure.discard(worker.identifier)
            self._owner.handle_contact_change(contact)
        if was_rostered and not contact.is_rostered:
            self._events.roster()
        return is_new

    def sweep_rooms(self, now: float) -> None:
        """Look which rooms have become too old to go by, and tell of it."""
        unsure = {
            name
            for name, contact in self.contacts.items()
            if contact.is_listed and not contact.is_capacity_fresh(now)
        }
        for name in unsure - self._unsure:
            self._owner.handle_contact_change(self.contacts[name])
        if bool(unsure) is not self._are_rooms_unsure:
            self._are_rooms_unsure = bool(unsure)
            if unsure:
                _log.warn("Rooms aren't known for sure.", workers=len(unsure))
            else:
                _log.warn("Rooms are known again.")
        self._unsure = unsure

    def _note_undeclared(self, worker: PoolWorker, revision: int) -> None:
        if worker.identifier not in self._undeclared:
            _log.warn(
                "A worker's pool isn't declared.",
                code="unknown_pool",
                worker=worker.identifier,
                pool=worker.pool,
            )
        self._undeclared[worker.identifier] = RegistryChange(
            worker.identifier, worker, revision
        )

    async def _follow(self) -> None:
        registry = self._parts.registry
        while True:
            for change in list(self._undeclared.values()):
                self._list(change.worker, change.revision)
            answer = await registry.follow_workers(self._revision, WATCH_WAIT)
            if isinstance(answer, RegistryChanges):
                self._revision = answer.revision
                is_new = False
                for change in answer.changes:
                    if change.worker is not None:
                        is_new = self._list(change.worker, change.revision) or is_new
                    elif change.identifier in self.contacts:
                        self.contacts[change.identifier].is_listed = False
                    else:
                        self._undeclared.pop(change.identifier, None)
                if is_new:
                    # Heartbeats change a registration's time alone.
                    self._events.change()
            elif isinstance(answer, RevisionTooOld):
                await self._list_anew()
            await self._parts.clock.sleep(REGISTRY_INTERVAL)

    async def _list_anew(self) -> None:
        found = await self._parts.registry.list_workers()
        if isinstance(found, RegisteredWorkers):
            self._revision = found.revision
            present = {worker.identifier for worker in found.workers}
            for gone in self._undeclared.keys() - present:
                del self._undeclared[gone]
            for identifier, contact in self.contacts.items():
                contact.is_listed = identifier in present
            self._list_all(found)


def _decode(kind: type[T], answer: Found | Missing) -> T | None:
    """Return a record, an empty one where there is none, ``None`` if unreadable."""
    if isinstance(answer, Missing):
        return kind()
    try:
        return decode_record(kind, answer.entry.value)
    except MessageError as error:
        _log.error(
            "What the owner before wrote can't be read.",
            code=error.code,
            key=answer.entry.key,
            error=str(error),
        )
        return None
