"""Registration of this daemon in the store, and who else is registered."""

from datetime import timedelta
from typing import NamedTuple

import msgspec

from damaskdeck.clock import Clock
from damaskdeck.coordination.members.contacts import to_fields
from damaskdeck.coordination.members.mirrors import Mirror
from damaskdeck.coordination.members.tenures import NEVER, OwnerLease
from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, count_retry
from damaskdeck.protocol.heartbeats import MemberFields
from damaskdeck.protocol.members import Member
from damaskdeck.protocol.ports import Granted, Lapsed, Store, Written

PREFIX = "member/"
RETRY_INTERVAL = timedelta(milliseconds=500)

_log = get_logger("members")


class Registration(msgspec.Struct):
    """The value of a member's key in the store."""

    member: MemberFields
    session: str


class Registered(NamedTuple):
    """A member as the store shows it."""

    member: Member
    session: str


class Registry:
    """Keeps this daemon's key under a lease and reads the others' keys.

    A key of the same name is never overwritten: its lease must lapse first.

    :ivar owner_lease: the time in which this daemon may decide; ``None`` at first.
    :ivar since: when the present session began.
    :ivar registered: the members as the store showed them last, by name.
    :ivar unreadable: names of members whose values can't be read; they have a
        lease nevertheless, so that nothing may be taken over from them.
    :ivar refreshed: when the store last told them.
    """

    def __init__(
        self, member: Member, store: Store, clock: Clock, lease: timedelta
    ) -> None:
        self.owner_lease: OwnerLease | None = None
        self.since: timedelta = NEVER
        self.registered: dict[str, Registered] = {}
        self.unreadable: frozenset[str] = frozenset()
        self.refreshed: timedelta = NEVER
        self._member = member
        self._store = store
        self._clock = clock
        self._lease = lease
        self._mirror = Mirror(store, PREFIX)
        self._tenures: list[OwnerLease] = []
        self._session_count = 0
        self._has_left = False
        self._is_out = False

    @property
    def revision(self) -> int:
        """The store's revision up to which registrations are known."""
        return self._mirror.revision

    @property
    def session(self) -> str:
        """The present session, empty when there is none."""
        return self.owner_lease.session if self.owner_lease else ""

    def can_write(self, now: timedelta) -> bool:
        """Tell whether this daemon may write to the store, as far as it knows."""
        is_leased = self.owner_lease is not None and self.owner_lease.is_leased(now)
        return is_leased or not self._is_out

    async def refresh(self) -> bool:
        """Read who is registered; tell whether the store answered."""
        self._is_out = not await self._mirror.refresh()
        if self._is_out:
            return False
        self.refreshed = self._clock.monotonic()
        decoded = {
            key.rpartition("/")[2]: _decode_registration(entry.value)
            for key, entry in self._mirror.entries.items()
        }
        self.registered = {each.member.name: each for each in decoded.values() if each}
        unreadable = frozenset(name for name, each in decoded.items() if each is None)
        for name in unreadable - self.unreadable:
            count_drop("members", "invalid_registration")
            _log.error("A registration can't be read.", member=name)
        self.unreadable = unreadable
        return True

    def prolong(self, until: timedelta, now: timedelta) -> None:
        """Prolong the tenures, as all others of the zone promised until ``until``."""
        for owner_lease in self._tenures:
            if self._mirror.revision >= owner_lease.revision:
                owner_lease.prolong(until, now)
        self._tenures = [
            owner_lease
            for owner_lease in self._tenures
            if owner_lease is self.owner_lease or owner_lease.is_valid(now)
        ]

    def get_promised(self, now: timedelta) -> timedelta:
        """Return for how long promises let this daemon decide from now on."""
        promised = (owner_lease.get_promised(now) for owner_lease in self._tenures)
        return max(promised, default=timedelta())

    async def leave(self) -> str:
        """End all tenures and revoke the lease; return the last session."""
        self._has_left = True
        owner_lease, self.owner_lease = self.owner_lease, None
        for each in self._tenures:
            each.end()
        self._tenures.clear()
        if owner_lease is None:
            return ""
        await self._store.revoke_lease(owner_lease.lease)
        return owner_lease.session

    async def keep(self) -> None:
        """Register and renew the lease until :meth:`leave`."""
        while not self._has_left:
            await self._renew()
            is_in = self.owner_lease is not None and not self.owner_lease.has_lapsed
            await self._clock.sleep(self._lease / 3 if is_in else RETRY_INTERVAL)

    async def _renew(self) -> None:
        owner_lease = self.owner_lease
        if owner_lease is not None and not owner_lease.has_lapsed:
            before = self._clock.monotonic()
            answer = await self._store.renew_lease(owner_lease.lease)
            if isinstance(answer, Granted):
                owner_lease.renew(before, answer.ttl)
            if not isinstance(answer, Lapsed):
                return
            _log.warn("The lease lapsed.", session=owner_lease.session)
            owner_lease.lapse()
        await self._register()

    async def _register(self) -> None:
        before = self._clock.monotonic()
        granted = await self._store.grant_lease(self._lease)
        if not isinstance(granted, Granted):
            return
        self._session_count += 1
        session = f"{self._member.incarnation}.{self._session_count}"
        value = msgspec.msgpack.encode(Registration(to_fields(self._member), session))
        key = f"{PREFIX}{self._member.zone}/{self._member.name}"
        written = await self._store.put(key, value, 0, granted.lease)
        if not isinstance(written, Written) or self._has_left:
            count_retry("members", "registration")
            await self._store.revoke_lease(granted.lease)
            return
        owner_lease = OwnerLease(session, granted.lease, written.revision)
        owner_lease.renew(before, granted.ttl)
        self.owner_lease = owner_lease
        self._tenures.append(owner_lease)
        self.since = self._clock.monotonic()


def _decode_registration(value: bytes) -> Registered | None:
    try:
        found = msgspec.msgpack.decode(value, type=Registration)
    except DECODE_ERRORS:
        return None
    return Registered(Member(**found.member), found.session)
