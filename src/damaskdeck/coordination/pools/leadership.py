"""Election of the daemon that owns the pools, agreed on through the store.

Every daemon holds a store lease that its member key is bound to. The owner's record
names the owner and its epoch and is bound to no lease, as a key with a lease may vanish
at any time. The lead key is bound to the owner's store lease; its absence is only a
hint that a takeover is due. A takeover is safe at any time: workers refuse the older
epoch, and the fence key makes the store refuse the older owner's writes.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leases.limits import LeaseLimits
from damaskdeck.coordination.pools.leases.memberlease import (
    RETRY_DELAY,
    MemberLease,
    Registration,
)
from damaskdeck.coordination.pools.leases.members import Members
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.predecessors import FormerOwners
from damaskdeck.coordination.pools.succession import (
    DeposedOwners,
    find_stronger_member,
    interleave_zones,
    rank_successors,
)
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import (
    NO_GRANTS,
    GrantBounds,
    OwnerTerm,
    build_release,
    build_takeover,
)
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.priorities import create_urgent_task
from damaskdeck.protocol.ports import (
    Entry,
    Events,
    Found,
    Lapsed,
    RevisionTooOld,
    Written,
)
from damaskdeck.protocol.transactions import (
    CommitResult,
    Mismatch,
    Transaction,
    Write,
    read_all,
)
from damaskdeck.state.jobrecords import (
    BOUNDED_LEASES,
    CONTROL_PREFIX,
    FENCE_KEY,
    FIRST_EPOCH,
    FORMER_OWNERS_KEY,
    LEAD_KEY,
    MEMBERS_PREFIX,
    OWNER_KEY,
    TERM_KEY,
    FormerOwner,
    MemberRecord,
    OwnerRecord,
    TermRecord,
    decode_record,
    encode_record,
)

# Daemons stand for election one after the other, so that one takeover is not undone by
# the next.
RANK_DELAY = timedelta(milliseconds=120)
# After an outage of the store, the owner has this time to rewrite its lead key first.
RETURN_DELAY = timedelta(milliseconds=500)

# One attempt with the fence as last seen, and one with the fence that the store
# reports.
MAX_TAKEOVER_ATTEMPTS = 2
# The store may refuse a third of the daemons together with the owner; among six other
# daemons at least one is served.
MAX_RELEASE_DELEGATES = 6

_log = get_logger("leadership")


class Leadership:
    """Membership of this daemon and election of the owner.

    :param member: what this daemon publishes about itself.
    :param on_elected: called with the :class:`OwnerTerm` when this daemon becomes
        owner.
    :param on_deposed: called when this daemon is no longer the owner.
    :ivar limits: until when this daemon may act while it is the owner.
    :ivar members: the daemons that are registered.
    """

    def __init__(
        self,
        member: MemberRecord,
        store: MonitoredStore,
        clock: Clock,
        times: PoolTimes,
        on_elected: Callable[[OwnerTerm], None],
        on_deposed: Callable[[], None],
    ) -> None:
        self._member = member
        self._store = store
        self._clock = clock
        self._times = times
        self._on_elected = on_elected
        self._on_deposed = on_deposed
        self._member_lease = MemberLease(
            member, store, clock, times, lambda: self._wakeup.set()
        )
        self.limits = LeaseLimits(clock, times)
        self.members = Members(member.instance, clock, times)
        self._owner: OwnerRecord | None = None
        self._owner_revision = 0
        self._owner_seen_at = 0.0
        self._deposed_owners = DeposedOwners()
        self._former_owners = FormerOwners(
            self.is_gone, FormerOwner(member.instance, member.incarnation)
        )
        self._has_lead = False
        self._is_synced = False
        self._store_failed_at = float("-inf")
        self._guarantees: dict[int, tuple[str, ...]] = {}
        self._wakeup = asyncio.Event()
        self._changed = asyncio.Event()
        self._suspected_epoch = 0
        self._absent: frozenset[str] = frozenset()
        self._owner_read: asyncio.Future[None] | None = None
        self._is_leaving = False
        self._term: OwnerTerm | None = None
        # Whether the owner was seen alive recently; set by the monitor of the owner.
        self.is_owner_alive: Callable[[], bool] = lambda: False
        # Until when earlier owners' leases may last because of grants: by what this
        # member has granted, and by what others report; set by the outage grants.
        self.find_own_bounds: Callable[[int, Registration], GrantBounds] = (
            lambda predecessor, registration: NO_GRANTS
        )
        self.find_grant_bounds: Callable[[], GrantBounds] = lambda: NO_GRANTS

    @property
    def instance(self) -> str:
        """The name of this daemon."""
        return self._member.instance

    @property
    def owner(self) -> OwnerRecord | None:
        """The owner as last seen in the store."""
        return self._owner

    @property
    def owner_revision(self) -> int:
        """Revision of the owner's record, 0 if there is none."""
        return self._owner_revision

    @property
    def is_synced(self) -> bool:
        """Whether the control keys have been read since the start."""
        return self._is_synced

    @property
    def term(self) -> OwnerTerm | None:
        """The term that this daemon holds, ``None`` if it is not the owner."""
        return self._term

    def list_members(self) -> list[str]:
        """List the daemons that were last seen alive."""
        return sorted(self.members.records)

    def list_successors(self) -> list[str]:
        """List the members in the order in which they should succeed the owner."""
        own, owner = self._member.instance, self._owner
        members = {**self.members.records, own: self._member}
        if owner is not None and owner.instance != own:
            members.pop(owner.instance, None)
        if owner is not None and owner.epoch == self._suspected_epoch:
            for name in self._absent - {own}:
                members.pop(name, None)
        return rank_successors(members, owner.epoch if owner is not None else 0)

    def list_interleaved(self) -> list[str]:
        """List the members alternating between their availability zones."""
        return interleave_zones(self.members.records)

    def find_address(self, instance: str) -> str | None:
        """Return the peer address of a daemon, ``None`` if it is unknown."""
        member = self.members.records.get(instance)
        return member.address if member else None

    def is_gone(self, instance: str, incarnation: str) -> bool:
        """Whether a later incarnation's member key proves that a process has ended."""
        if instance == self._member.instance:
            return incarnation != self._member.incarnation
        member = self.members.records.get(instance)
        return member is not None and member.incarnation != incarnation

    def is_cut_off(self) -> bool:
        """Whether the store has been silent for the lifetime of the member lease."""
        return self._store.measure_silence() > self._times.member_ttl

    def may_decide(self) -> bool:
        """Whether this daemon is the owner by a recent enough confirmation.

        The store must have named it in a call sent less than ``owner_lease`` ago.
        """
        return self._term is not None and self.limits.is_confirmed()

    def find_lease_limit(self) -> float:
        """Return the monotonic time beyond which no lease may be granted to a worker.

        See :class:`.LeaseLimits`.
        """
        return self.limits.find_limit() if self._term is not None else float("-inf")

    def may_order(self) -> bool:
        """Whether workers may be sent orders, see :meth:`find_lease_limit`."""
        return self.may_decide() and self._now() < self.find_lease_limit()

    def measure_store_silence(self) -> timedelta:
        """Return the time since the store last answered this daemon."""
        return self._store.measure_silence()

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def has_guarantee(self, epoch: int, name: str) -> bool:
        """Whether the owner of an epoch is known to have given a guarantee."""
        return name in self._guarantees.get(epoch, ())

    @property
    def registration(self) -> Registration:
        """How this daemon's member key was last written."""
        return self._member_lease.registration

    async def is_registered(self, registration: Registration) -> bool:
        """Whether the member key is still in the store as it was written."""
        found = await self._store.read(self._member_lease.key)
        return (
            isinstance(found, Found)
            and found.entry.revision == registration.revision
            and self.registration == registration
        )

    def confirm(self, since: float) -> None:
        """Record that the store named this daemon as the owner.

        :param since: when the call that returned it was sent, in monotonic seconds.
        """
        self.limits.confirm(since)

    async def is_confirmed_since(self, earliest: float) -> bool:
        """Whether a store call sent since ``earliest`` named this daemon as the owner.

        The store is read if no call has confirmed that yet; concurrent callers share
        one read.

        :param earliest: monotonic seconds.
        """
        if self._term is not None and self.limits.confirmed_at < earliest:
            if self._owner_read is None or self._owner_read.done():
                self._owner_read = asyncio.ensure_future(self._read_owner())
            await asyncio.shield(self._owner_read)
        return self._term is not None and self.limits.confirmed_at >= earliest

    async def _read_owner(self) -> None:
        sent_at = self._clock.monotonic().total_seconds()
        found = await self._store.read(OWNER_KEY)
        if isinstance(found, Found):
            self.refresh(found.entry)
            if self._term is not None and self._is_this_process(self._owner):
                self.confirm(sent_at)

    def refresh(self, entry: Entry | None) -> None:
        """Apply the owner's record as a store call returned it."""
        if entry is not None:
            self._apply(entry.key, entry.value, entry.revision)

    def suspect(self, epoch: int, absent: frozenset[str] = frozenset()) -> None:
        """Stand for election, as no daemon reaches the owner of an epoch.

        :param absent: daemons that the election does not wait for.
        """
        self._suspected_epoch = max(self._suspected_epoch, epoch)
        self._absent = absent
        self._wakeup.set()

    def step_down(self, reason: str) -> None:
        """Stop deciding, as there is another owner."""
        if self._term is not None:
            _log.info("Deposed.", epoch=self._term.epoch, reason=reason)
            self._term = None
            self._on_deposed()
        self._wakeup.set()
        self._changed.set()

    async def wait_for_change(self) -> None:
        """Wait until a member, the owner or this daemon's term changes."""
        self._changed.clear()
        await self._changed.wait()

    async def run(self) -> None:
        """Maintain the member lease, follow the control keys and join elections."""
        await asyncio.gather(
            create_urgent_task(self._member_lease.run()),
            create_urgent_task(self._follow_control_keys()),
            self._run_elections(),
        )

    # Control keys ------------------------------------------------------------

    async def _follow_control_keys(self) -> None:
        revision = 0
        has_failed = False
        while True:
            sent_at = self._clock.monotonic().total_seconds()
            if not revision:
                revision = await self._list_control_keys(sent_at)
                continue
            # After a failure, the first answer tells whether this owner is still named.
            wait = timedelta() if has_failed else self._find_control_wait()
            events = await self._store.watch(CONTROL_PREFIX, revision, wait)
            has_failed = not isinstance(events, Events)
            if isinstance(events, Events):
                for event in events.events:
                    self._apply(event.key, event.value, event.revision)
                revision = events.revision
                self._record_contact(sent_at)
                if self._term is not None:
                    await self._guarantee_bounded_leases(self._term)
            elif isinstance(events, RevisionTooOld):
                revision = 0
            else:
                self._store_failed_at = self._clock.monotonic().total_seconds()
                await self._clock.sleep(RETRY_DELAY)

    def _find_control_wait(self) -> timedelta:
        is_owner = self._term is not None
        return self._times.owner_wait if is_owner else self._times.control_wait

    async def _list_control_keys(self, sent_at: float) -> int:
        found = await read_all(self._store, CONTROL_PREFIX)
        if not isinstance(found, tuple) or not isinstance(found[0], tuple):
            self._store_failed_at = self._clock.monotonic().total_seconds()
            await self._clock.sleep(self._store.find_retry_delay(RETRY_DELAY))
            return 0
        entries, revision = found
        present = {entry.key for entry in entries}
        names = {key.removeprefix(MEMBERS_PREFIX) for key in present}
        if self.members.retain(names):
            self._changed.set()
        for entry in entries:
            self._apply(entry.key, entry.value, entry.revision)
        self._has_lead = LEAD_KEY in present
        self._is_synced = True
        self._record_contact(sent_at)
        return revision

    def _record_contact(self, sent_at: float) -> None:
        self.limits.record_members(sent_at)
        if self._term is not None:
            self.confirm(sent_at)
        self._wakeup.set()

    async def _guarantee_bounded_leases(self, term: OwnerTerm) -> None:
        """Record the guarantee once the leases of earlier versions have expired."""
        if self.has_guarantee(term.epoch, BOUNDED_LEASES):
            return
        if self._now() < term.begun_at + self._times.takeover_wait.total_seconds():
            return
        record = TermRecord(term.epoch, (BOUNDED_LEASES,))
        await self._store.commit(
            Transaction(
                ((OWNER_KEY, term.revision),), (Write(TERM_KEY, encode_record(record)),)
            )
        )

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        try:
            self._changed.set()
            if key == OWNER_KEY:
                self._apply_owner(value, revision)
            elif key == LEAD_KEY:
                self._has_lead = value is not None
            elif key == FORMER_OWNERS_KEY:
                self._former_owners.apply(value)
            elif key == TERM_KEY and value is not None:
                record = decode_record(TermRecord, value)
                self._guarantees[record.epoch] = record.guarantees
            elif key.startswith(MEMBERS_PREFIX):
                self.members.apply(key.removeprefix(MEMBERS_PREFIX), value, revision)
        except MessageError as error:
            _log.error("A control key can't be read.", key=key, error=str(error))

    def _apply_owner(self, value: bytes | None, revision: int) -> None:
        if value is None or revision < self._owner_revision:
            return
        owner = decode_record(OwnerRecord, value)
        if revision > self._owner_revision:
            # A takeover writes the lead key in the same commit, and the watch reports
            # when it vanishes. A daemon that learns of the owner from a refused commit
            # may not have seen the lead key yet.
            self._has_lead = not owner.is_released
        self._deposed_owners.record_owner_change(
            self._owner, owner, self._clock.monotonic()
        )
        if self._owner is None or owner.epoch != self._owner.epoch:
            self._owner_seen_at = self._clock.monotonic().total_seconds()
        self._owner = owner
        self._owner_revision = revision
        if self._term is not None and not self._is_this_process(self._owner):
            self.step_down("the store names another owner")

    def count_deposed(self, window: timedelta) -> int:
        """Count the owners deposed within a time window that are still alive."""
        since = self._clock.monotonic() - window
        return self._deposed_owners.count_alive_deposed(self.members.records, since)

    def _is_this_process(self, owner: OwnerRecord) -> bool:
        is_self = owner.incarnation == self._member.incarnation
        return is_self and not owner.is_released

    # Election ----------------------------------------------------------------

    async def _run_elections(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if (
                self._is_leaving
                or not self._is_synced
                or not self._member_lease.is_registered
            ):
                continue
            if self._term is not None:
                if not self._has_lead:
                    await self._rewrite_lead_key()
            elif self._is_vacant():
                fence = await self._wait_for_turn()
                if self._is_vacant() and not self._is_leaving:
                    await self._take_over(fence)
            elif not self._has_lead:
                # An owner that is overloaded has let its store lease expire.
                await self._clock.sleep(RETRY_DELAY)
                self._wakeup.set()

    def _is_vacant(self) -> bool:
        owner = self._owner
        if owner is None or owner.is_released:
            return True
        if self._suspected_epoch == owner.epoch:
            return True
        if not self._has_lead and not self.is_owner_alive():
            return True
        if owner.incarnation == self._member.incarnation:
            # This daemon holds no term: a takeover took effect after it was taken for
            # lost.
            return True
        return self.is_gone(owner.instance, owner.incarnation)

    def _compute_delay(self) -> timedelta:
        owner = self._owner
        own = self._member.instance
        if owner is not None and owner.is_released and owner.successor == own:
            return timedelta()
        rank = self.list_successors().index(own)
        since_failure = self._clock.monotonic().total_seconds() - self._store_failed_at
        base = RETURN_DELAY if since_failure < 1.0 else timedelta()
        if owner is not None and owner.is_released:
            base = RETURN_DELAY
        return base + rank * RANK_DELAY

    def choose_successor(self, epoch: int, absent: frozenset[str]) -> str:
        """Return the member that should succeed an unreachable owner of an epoch."""
        self.suspect(epoch, absent)
        return self.list_successors()[0]

    def find_stronger_member(self) -> str:
        """Return a member that should replace this owner, an empty string if none."""
        return find_stronger_member(self.members.records.values(), self._member.power)

    async def read_fence_revision(self) -> int:
        """Return the revision of the fence key, 0 if it is unknown."""
        found = await self._store.read(FENCE_KEY)
        return found.entry.revision if isinstance(found, Found) else 0

    async def _wait_for_turn(self) -> int:
        """Wait for this daemon's turn and return the revision of the fence key."""
        owner, delay = self._owner, self._compute_delay()
        if owner is not None and owner.is_released and owner.fence and not delay:
            return owner.fence
        _, fence = await asyncio.gather(
            self._clock.sleep(delay), self.read_fence_revision()
        )
        return fence

    async def _take_over(self, fence: int) -> None:
        """Take over, expecting the owner's record as last seen.

        :param fence: revision of the fence key. If it is outdated because the old owner
            is still writing, the store's refusal contains the current one.
        """
        # The epoch is derived from the record that the commit expects, as another
        # daemon may take over while the fence is read.
        old, revision = self._owner, self._owner_revision
        epoch = old.epoch + 1 if old else FIRST_EPOCH
        record = OwnerRecord(epoch, self._member.instance, self._member.incarnation)
        earlier = self._list_earlier_owners()
        former = self._former_owners.list_all(old, earlier)
        term = OwnerTerm(epoch, 0, 0, old, self._owner_seen_at, earlier)
        is_bounded = old is None or self.has_guarantee(old.epoch, BOUNDED_LEASES)
        guarantees = (BOUNDED_LEASES,) if is_bounded else ()
        registration = self.registration
        for _ in range(MAX_TAKEOVER_ATTEMPTS):
            sent_at = self._clock.monotonic().total_seconds()
            result = await self._store.commit(
                build_takeover(
                    record,
                    guarantees,
                    former,
                    revision,
                    fence,
                    (self._member_lease.key, registration.revision),
                    self._member_lease.lease,
                )
            )
            if isinstance(result, Written):
                self._begin_term(record, term, registration, result.revision, sent_at)
                return
            if not isinstance(result, Mismatch):
                break
            found = result.find(OWNER_KEY)
            if (found.revision if found is not None else 0) != revision:
                self.refresh(found)
                return
            member = result.find(self._member_lease.key)
            if (member.revision if member is not None else 0) != registration.revision:
                # Owners may not know this daemon, so it counts as a new member.
                await self._member_lease.restore_key()
                self._wakeup.set()
                return
            entry = result.find(FENCE_KEY)
            fence = entry.revision if entry is not None else 0
        if isinstance(result, Lapsed):
            self._member_lease.discard_lease()
        await self._check_takeover(record, term, registration)

    def _list_earlier_owners(self) -> tuple[FormerOwner, ...] | None:
        """List the owners before the present one that may still extend leases."""
        if self._owner is None:
            return ()
        owned_for = self._clock.monotonic().total_seconds() - self._owner_seen_at
        has_long_owned = owned_for >= self._times.takeover_wait.total_seconds()
        return self._former_owners.list_earlier(self._owner, has_long_owned)

    async def _check_takeover(
        self, record: OwnerRecord, term: OwnerTerm, registration: Registration
    ) -> None:
        """Read whether a takeover without an answer took effect."""
        sent_at = self._clock.monotonic().total_seconds()
        found = await self._store.read(OWNER_KEY)
        if isinstance(found, Found):
            entry: Entry = found.entry
            self._apply(OWNER_KEY, entry.value, entry.revision)
            if self._owner == record:
                self._begin_term(record, term, registration, entry.revision, sent_at)
                return
        await self._clock.sleep(RETRY_DELAY)
        self._wakeup.set()

    def _begin_term(
        self,
        record: OwnerRecord,
        term: OwnerTerm,
        registration: Registration,
        revision: int,
        sent_at: float,
    ) -> None:
        """Begin a term.

        :param term: the term without its revisions.
        :param registration: of this daemon when it took over.
        :param revision: of the commit that the term begins with.
        :param sent_at: when the call that showed it was sent, in monotonic seconds.
        """
        if self._owner_revision > revision:
            _log.info("Another takeover came first.", epoch=record.epoch)
            return
        self._deposed_owners.record_owner_change(
            self._owner, record, self._clock.monotonic()
        )
        self._owner, self._owner_revision = record, revision
        self._has_lead = True
        self.confirm(sent_at)
        self.limits.uncap()
        self._term = term._replace(
            revision=revision,
            fence=revision,
            begun_at=self._now(),
            grant_bounds=self.find_own_bounds(record.epoch - 1, registration),
        )
        self._changed.set()
        _log.info("Owner of the pools.", epoch=record.epoch, revision=revision)
        self._on_elected(self._term)

    async def _rewrite_lead_key(self) -> None:
        """Rewrite the lead key after it vanished, unless another daemon took over."""
        assert self._term is not None
        value = encode_record(self._term.epoch)
        result = await self._store.commit(
            Transaction(
                ((OWNER_KEY, self._owner_revision),),
                (Write(LEAD_KEY, value, self._member_lease.lease),),
            )
        )
        if isinstance(result, Written):
            self._has_lead = True
        elif isinstance(result, Lapsed):
            self._member_lease.discard_lease()

    # Handover and departure --------------------------------------------------

    async def release(self, fence: int = 0, is_leaving: bool = True) -> None:
        """Hand over, so that no daemon waits for the lease; order no task after this.

        :param fence: revision of the fence key, which saves the successor a call.
        :param is_leaving: this daemon takes part in no further election.
        """
        self._is_leaving = self._is_leaving or is_leaving
        term = self._term
        if term is None:
            return
        self.step_down("handover")
        successors = self._list_other_successors()
        successor = successors[0] if successors else ""
        await self._store.commit(build_release(term, self._member, successor, fence))

    async def release_via_delegate(
        self,
        fence: int,
        commit_via_delegate: Callable[[str, Transaction], Awaitable[CommitResult]],
    ) -> None:
        """Hand over by a commit that the first successor served by the store makes.

        :param commit_via_delegate: makes a commit through another daemon.
        """
        term = self._term
        if term is None:
            return
        self.step_down("handover")
        for successor in self._list_other_successors()[:MAX_RELEASE_DELEGATES]:
            release = build_release(term, self._member, successor, fence)
            if isinstance(
                await commit_via_delegate(successor, release), Written | Mismatch
            ):
                return

    def _list_other_successors(self) -> list[str]:
        return [
            name for name in self.list_successors() if name != self._member.instance
        ]

    async def leave(self) -> bool:
        """Remove the member key, so that no peer forwards to this daemon.

        :returns: whether it is known to be gone; no takeover succeeds after that.
        """
        self._is_leaving = True
        return await self._member_lease.leave()
