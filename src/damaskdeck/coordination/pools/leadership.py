"""Which daemon owns the pools, agreed on through the store.

Every daemon holds a lease with its member key. The owner's record names the owner
and its epoch without a lease, as a key that is bound to one may vanish at any
time; the lead key is bound to the owner's lease and is a hint that somebody
should take over. Taking over is safe at any time: workers refuse the older epoch,
and the fence key refuses the older owner's writes.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.memberlease import RETRY_DELAY, Membership
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.succession import (
    DeposedOwners,
    find_stronger_member,
    interleave_zones,
    rank_successors,
)
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import (
    OwnerTerm,
    build_release,
    build_takeover,
)
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
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
    CONTROL_PREFIX,
    FENCE_KEY,
    LEAD_KEY,
    MEMBERS_PREFIX,
    OWNER_KEY,
    MemberRecord,
    OwnerRecord,
    decode_record,
    encode_record,
)

# Daemons try one after the other, so that one takeover isn't undone by the next.
RANK_DELAY = timedelta(milliseconds=120)
# After the store was away, the owner gets the first turn to renew its hint.
RETURN_DELAY = timedelta(milliseconds=500)

# One of them with the fence as it was last seen, one as the store then tells it.
TAKEOVER_TRIES = 2
# A third of the daemons may be turned away with an owner; of so many one is not.
HEIRS_ASKED = 6

_log = get_logger("leadership")


class Leadership:
    """Membership of this daemon and the election of the owner.

    :param member: what this daemon tells of itself.
    :param take: called with a :class:`OwnerTerm` when this daemon becomes owner.
    :param lose: called when it no longer is.
    """

    def __init__(
        self,
        member: MemberRecord,
        store: MonitoredStore,
        clock: Clock,
        times: PoolTimes,
        take: Callable[[OwnerTerm], None],
        lose: Callable[[], None],
    ) -> None:
        self._member = member
        self._store = store
        self._clock = clock
        self._times = times
        self._take = take
        self._lose = lose
        self._membership = Membership(
            member, store, clock, times, lambda: self._wakeup.set()
        )
        self._members: dict[str, MemberRecord] = {}
        self._owner: OwnerRecord | None = None
        self._owner_revision = 0
        self._successions = DeposedOwners()
        self._has_lead = False
        self._is_synced = False
        self._lost_contact_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._wakeup = asyncio.Event()
        self._suspected_epoch = 0
        self._absent: frozenset[str] = frozenset()
        self._asking: asyncio.Future[None] | None = None
        self._is_leaving = False
        self._mandate: OwnerTerm | None = None
        # Whether the owner was heard lately; whoever listens to it says so.
        self.is_owner_alive: Callable[[], bool] = lambda: False

    @property
    def owner(self) -> OwnerRecord | None:
        """The owner as last seen in the store."""
        return self._owner

    @property
    def owner_revision(self) -> int:
        """Revision of the owner's record, 0 while there is none."""
        return self._owner_revision

    @property
    def is_synced(self) -> bool:
        """Whether the store's view has been read since the start."""
        return self._is_synced

    @property
    def term(self) -> OwnerTerm | None:
        """The mandate that this daemon holds."""
        return self._mandate

    def list_members(self) -> list[str]:
        """List the daemons that are up, as last seen."""
        return sorted(self._members)

    def list_heirs(self) -> list[str]:
        """List the members by who should own next, the best first."""
        own, owner = self._member.instance, self._owner
        members = {**self._members, own: self._member}
        if owner is not None and owner.instance != own:
            members.pop(owner.instance, None)
        if owner is not None and owner.epoch == self._suspected_epoch:
            for name in self._absent - {own}:
                members.pop(name, None)
        return rank_successors(members, owner.epoch if owner is not None else 0)

    def list_spread(self) -> list[str]:
        """List the members by turns of their availability zones."""
        return interleave_zones(self._members)

    def find_address(self, instance: str) -> str | None:
        """Return the peers' address of a daemon, ``None`` when it isn't known."""
        member = self._members.get(instance)
        return member.address if member else None

    def is_gone(self, instance: str, incarnation: str) -> bool:
        """Whether a process is proved dead by its successor's member key."""
        if instance == self._member.instance:
            return incarnation != self._member.incarnation
        member = self._members.get(instance)
        return member is not None and member.incarnation != incarnation

    def is_cut_off(self) -> bool:
        """Whether the store has been silent for as long as our lease lasts."""
        return self._store.measure_silence() > self._times.member_ttl

    def may_decide(self) -> bool:
        """Whether this daemon's belief to be owner is fresh enough to act on."""
        if self._mandate is None:
            return False
        age = self._clock.monotonic().total_seconds() - self._confirmed_at
        return age < self._times.tenure.total_seconds()

    def confirm(self, since: float) -> None:
        """Take note that the store showed this daemon as owner.

        :param since: when the call that showed it was sent, monotonic seconds.
        """
        self._confirmed_at = max(self._confirmed_at, since)

    async def is_confirmed_since(self, moment: float) -> bool:
        """Whether the store names this daemon in a call sent at ``moment`` or later.

        It is asked if no call has told yet; those who ask at a time share a call.

        :param moment: monotonic seconds.
        """
        if self._mandate is not None and self._confirmed_at < moment:
            if self._asking is None or self._asking.done():
                self._asking = asyncio.ensure_future(self._ask_for_owner())
            await asyncio.shield(self._asking)
        return self._mandate is not None and self._confirmed_at >= moment

    async def _ask_for_owner(self) -> None:
        sent = self._clock.monotonic().total_seconds()
        found = await self._store.read(OWNER_KEY)
        if isinstance(found, Found):
            self.refresh(found.entry)
            if self._mandate is not None and self._is_own(self._owner):
                self.confirm(sent)

    def refresh(self, entry: Entry | None) -> None:
        """Take note of the owner's record as a call to the store showed it."""
        if entry is not None:
            self._apply(entry.key, entry.value, entry.revision)

    def suspect(self, epoch: int, absent: frozenset[str] = frozenset()) -> None:
        """Stand for election, as nobody hears the owner of that epoch.

        :param absent: daemons that nobody has to wait for.
        """
        self._suspected_epoch = max(self._suspected_epoch, epoch)
        self._absent = absent
        self._wakeup.set()

    def step_down(self, reason: str) -> None:
        """Stop deciding, as another owner was heard of."""
        if self._mandate is not None:
            _log.info("Deposed.", epoch=self._mandate.epoch, reason=reason)
            self._mandate = None
            self._lose()
        self._wakeup.set()

    async def run(self) -> None:
        """Hold the member's lease, follow the control keys and stand for election."""
        await asyncio.gather(self._membership.run(), self._follow(), self._stand())

    # Watch -------------------------------------------------------------------

    async def _follow(self) -> None:
        revision = 0
        while True:
            sent = self._clock.monotonic().total_seconds()
            if not revision:
                revision = await self._list(sent)
                continue
            events = await self._store.watch(
                CONTROL_PREFIX, revision, self._times.control_wait
            )
            if isinstance(events, Events):
                for event in events.events:
                    self._apply(event.key, event.value, event.revision)
                revision = events.revision
                self._note_contact(sent)
            elif isinstance(events, RevisionTooOld):
                revision = 0
            else:
                self._lost_contact_at = self._clock.monotonic().total_seconds()
                await self._clock.sleep(RETRY_DELAY)

    async def _list(self, sent: float) -> int:
        found = await read_all(self._store, CONTROL_PREFIX)
        if not isinstance(found, tuple) or not isinstance(found[0], tuple):
            self._lost_contact_at = self._clock.monotonic().total_seconds()
            await self._clock.sleep(RETRY_DELAY)
            return 0
        entries, revision = found
        present = {entry.key for entry in entries}
        for name in list(self._members):
            if MEMBERS_PREFIX + name not in present:
                del self._members[name]
        for entry in entries:
            self._apply(entry.key, entry.value, entry.revision)
        self._has_lead = LEAD_KEY in present
        self._is_synced = True
        self._note_contact(sent)
        return revision

    def _note_contact(self, sent: float) -> None:
        if self._mandate is not None:
            self.confirm(sent)
        self._wakeup.set()

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        try:
            if key == OWNER_KEY:
                self._apply_owner(value, revision)
            elif key == LEAD_KEY:
                self._has_lead = value is not None
            elif key.startswith(MEMBERS_PREFIX):
                self._apply_member(key.removeprefix(MEMBERS_PREFIX), value)
        except MessageError as error:
            _log.error("A control key can't be read.", key=key, error=str(error))

    def _apply_member(self, name: str, value: bytes | None) -> None:
        if value is None:
            self._members.pop(name, None)
        else:
            self._members[name] = decode_record(MemberRecord, value)

    def _apply_owner(self, value: bytes | None, revision: int) -> None:
        if value is None or revision < self._owner_revision:
            return
        owner = decode_record(OwnerRecord, value)
        if revision > self._owner_revision:
            # A takeover writes its hint with it; the watch tells when that goes. Who
            # learns of the owner by a refused commit may not have seen the hint yet.
            self._has_lead = not owner.is_released
        self._successions.record_owner_change(
            self._owner, owner, self._clock.monotonic()
        )
        self._owner = owner
        self._owner_revision = revision
        if self._mandate is not None and not self._is_own(self._owner):
            self.step_down("the store names another owner")

    def count_deposed(self, lately: timedelta) -> int:
        """Count the owners that were deposed lately though they are alive."""
        since = self._clock.monotonic() - lately
        return self._successions.count_alive_deposed(self._members, since)

    def _is_own(self, owner: OwnerRecord) -> bool:
        is_self = owner.incarnation == self._member.incarnation
        return is_self and not owner.is_released

    # Election ----------------------------------------------------------------

    async def _stand(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if self._is_leaving or not self._is_synced or not self._membership.lease:
                continue
            if self._mandate is not None:
                if not self._has_lead:
                    await self._renew_lead()
            elif self._is_vacant():
                fence = await self._wait_for_turn()
                if self._is_vacant() and not self._is_leaving:
                    await self._take_over(fence)
            elif not self._has_lead:
                # An owner that is behind has let its lease run out.
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
            # Without a mandate: a takeover was carried out after it seemed lost.
            return True
        return self.is_gone(owner.instance, owner.incarnation)

    def _find_delay(self) -> timedelta:
        owner = self._owner
        own = self._member.instance
        if owner is not None and owner.is_released and owner.successor == own:
            return timedelta()
        rank = self.list_heirs().index(own)
        away = self._clock.monotonic().total_seconds() - self._lost_contact_at
        base = RETURN_DELAY if away < 1.0 else timedelta()
        if owner is not None and owner.is_released:
            base = RETURN_DELAY
        return base + rank * RANK_DELAY

    def find_heir(self, epoch: int, absent: frozenset[str]) -> str:
        """Return who should succeed the owner of an epoch that nobody hears."""
        self.suspect(epoch, absent)
        return self.list_heirs()[0]

    def find_stronger_member(self) -> str:
        """Return a member that should own in this daemon's place, or nothing."""
        return find_stronger_member(self._members.values(), self._member.power)

    async def find_fence(self) -> int:
        """Return the revision of the fence key, 0 when it isn't known."""
        found = await self._store.read(FENCE_KEY)
        return found.entry.revision if isinstance(found, Found) else 0

    async def _wait_for_turn(self) -> int:
        """Wait until this daemon may stand; returns the revision of the fence key."""
        owner, delay = self._owner, self._find_delay()
        if owner is not None and owner.is_released and owner.fence and not delay:
            return owner.fence
        _, fence = await asyncio.gather(self._clock.sleep(delay), self.find_fence())
        return fence

    async def _take_over(self, fence: int) -> None:
        """Take over, expecting the owner's record as it was seen.

        :param fence: revision of the fence key. When it is an older one the store's
            refusal tells the newer, as the old owner may have been writing.
        """
        # The epoch follows from the record that the commit expects: another may take
        # over while the fence is read.
        old, revision = self._owner, self._owner_revision
        epoch = (old.epoch if old else 0) + 1
        record = OwnerRecord(epoch, self._member.instance, self._member.incarnation)
        for _ in range(TAKEOVER_TRIES):
            sent = self._clock.monotonic().total_seconds()
            done = await self._store.commit(
                build_takeover(record, revision, fence, self._membership.lease)
            )
            if isinstance(done, Written):
                self._begin(record, done.revision, sent, old)
                return
            if not isinstance(done, Mismatch):
                break
            found = done.find(OWNER_KEY)
            if (found.revision if found is not None else 0) != revision:
                self.refresh(found)
                return
            entry = done.find(FENCE_KEY)
            fence = entry.revision if entry is not None else 0
        if isinstance(done, Lapsed):
            self._membership.note_lapse()
        await self._settle_takeover(record, old)

    async def _settle_takeover(
        self, record: OwnerRecord, old: OwnerRecord | None
    ) -> None:
        """Look whether a takeover without an answer took effect."""
        sent = self._clock.monotonic().total_seconds()
        found = await self._store.read(OWNER_KEY)
        if isinstance(found, Found):
            entry: Entry = found.entry
            self._apply(OWNER_KEY, entry.value, entry.revision)
            if self._owner == record:
                self._begin(record, entry.revision, sent, old)
                return
        await self._clock.sleep(RETRY_DELAY)
        self._wakeup.set()

    def _begin(
        self,
        record: OwnerRecord,
        revision: int,
        sent: float,
        old: OwnerRecord | None,
    ) -> None:
        if self._owner_revision > revision:
            _log.info("Overtaken before it began.", epoch=record.epoch)
            return
        self._successions.record_owner_change(
            self._owner, record, self._clock.monotonic()
        )
        self._owner, self._owner_revision = record, revision
        self._has_lead = True
        self.confirm(sent)
        self._mandate = OwnerTerm(record.epoch, revision, revision, old)
        _log.info("Owner of the pools.", epoch=record.epoch, revision=revision)
        self._take(self._mandate)

    async def _renew_lead(self) -> None:
        """Write the hint again after it vanished, unless another took over."""
        assert self._mandate is not None
        value = encode_record(self._mandate.epoch)
        done = await self._store.commit(
            Transaction(
                ((OWNER_KEY, self._owner_revision),),
                (Write(LEAD_KEY, value, self._membership.lease),),
            )
        )
        if isinstance(done, Written):
            self._has_lead = True
        elif isinstance(done, Lapsed):
            self._membership.note_lapse()

    # Leaving -----------------------------------------------------------------

    async def release(self, fence: int = 0, is_leaving: bool = True) -> None:
        """Hand over: nobody has to wait for the lease. Order nothing after this.

        :param fence: revision of the fence key, which saves the heir a call.
        :param is_leaving: this daemon stands for no election any more.
        """
        self._is_leaving = self._is_leaving or is_leaving
        term = self._mandate
        if term is None:
            return
        self.step_down("handover")
        heirs = self._list_other_heirs()
        successor = heirs[0] if heirs else ""
        await self._store.commit(build_release(term, self._member, successor, fence))

    async def release_via_delegate(
        self,
        fence: int,
        commit_via_delegate: Callable[[str, Transaction], Awaitable[CommitResult]],
    ) -> None:
        """Hand over to the first heir that the store answers, by a commit of its own.

        :param commit_via_delegate: lets a daemon make a commit.
        """
        term = self._mandate
        if term is None:
            return
        self.step_down("handover")
        for successor in self._list_other_heirs()[:HEIRS_ASKED]:
            release = build_release(term, self._member, successor, fence)
            if isinstance(
                await commit_via_delegate(successor, release), Written | Mismatch
            ):
                return

    def _list_other_heirs(self) -> list[str]:
        return [name for name in self.list_heirs() if name != self._member.instance]

    async def leave(self) -> None:
        """Take the member's key away, so that nobody forwards here."""
        self._is_leaving = True
        await self._membership.leave()
