"""Registration of this daemon in the store, and the list of registered members."""

from datetime import timedelta
from typing import NamedTuple

import msgspec

from damaskdeck.clock import Clock
from damaskdeck.coordination.members.mirrors import Mirror
from damaskdeck.coordination.members.ownerleases import NEVER, OwnerLease
from damaskdeck.coordination.members.peerstates import to_fields
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


class RegisteredMember(NamedTuple):
    """A member and its session as listed in the store."""

    member: Member
    session: str


class MemberRegistry:
    """Keeps this daemon's key under a lease and reads the keys of the others.

    An existing key of the same name is never overwritten: its lease must expire
    first.

    :ivar owner_lease: how long this daemon may act; ``None`` before it registers.
    :ivar session_started_at: when the current session began.
    :ivar registered: members as last read from the store, by name.
    :ivar unreadable: names of members whose values can't be decoded; they hold a
        lease nevertheless, so nothing may be taken over from them.
    :ivar refreshed_at: when the members were last read.
    """

    def __init__(
        self, member: Member, store: Store, clock: Clock, lease: timedelta
    ) -> None:
        self.owner_lease: OwnerLease | None = None
        self.session_started_at: timedelta = NEVER
        self.registered: dict[str, RegisteredMember] = {}
        self.unreadable: frozenset[str] = frozenset()
        self.refreshed_at: timedelta = NEVER
        self._member = member
        self._store = store
        self._clock = clock
        self._lease = lease
        self._mirror = Mirror(store, PREFIX)
        self._owner_leases: list[OwnerLease] = []
        self._session_count = 0
        self._has_left = False
        self._is_store_unreachable = False

    @property
    def revision(self) -> int:
        """The store's revision up to which registrations are known."""
        return self._mirror.revision

    @property
    def session(self) -> str:
        """The current session; empty when there is none."""
        return self.owner_lease.session if self.owner_lease else ""

    def can_write(self, now: timedelta) -> bool:
        """Return whether this daemon can write to the store, as far as it knows."""
        is_leased = self.owner_lease is not None and self.owner_lease.is_leased(now)
        return is_leased or not self._is_store_unreachable

    async def refresh(self) -> bool:
        """Read the registered members; return whether the store answered."""
        self._is_store_unreachable = not await self._mirror.refresh()
        if self._is_store_unreachable:
            return False
        self.refreshed_at = self._clock.monotonic()
        decoded = {
            key.rpartition("/")[2]: _decode_registration(entry.value)
            for key, entry in self._mirror.entries.items()
        }
        self.registered = {each.member.name: each for each in decoded.values() if each}
        unreadable = frozenset(name for name, each in decoded.items() if each is None)
        for name in unreadable - self.unreadable:
            count_drop("members", "invalid_registration")
            _log.error("A registration can't be decoded.", member=name)
        self.unreadable = unreadable
        return True

    def extend_owner_leases(self, until: timedelta, now: timedelta) -> None:
        """Extend the owner leases, as all others of the zone granted them.

        :param until: when the shortest grant ends, on the monotonic clock.
        """
        for owner_lease in self._owner_leases:
            if self._mirror.revision >= owner_lease.revision:
                owner_lease.extend(until, now)
        self._owner_leases = [
            owner_lease
            for owner_lease in self._owner_leases
            if owner_lease is self.owner_lease or owner_lease.is_valid(now)
        ]

    def get_grant_time_left(self, now: timedelta) -> timedelta:
        """Return how long lease grants still allow this daemon to act."""
        times_left = (
            owner_lease.get_grant_time_left(now) for owner_lease in self._owner_leases
        )
        return max(times_left, default=timedelta())

    async def leave(self) -> str:
        """End all owner leases and revoke the lease in the store.

        :returns: the last session, or an empty string.
        """
        self._has_left = True
        owner_lease, self.owner_lease = self.owner_lease, None
        for each in self._owner_leases:
            each.end()
        self._owner_leases.clear()
        if owner_lease is None:
            return ""
        await self._store.revoke_lease(owner_lease.lease)
        return owner_lease.session

    async def keep_registered(self) -> None:
        """Register and renew the lease until :meth:`leave` is called."""
        while not self._has_left:
            await self._renew()
            is_registered = (
                self.owner_lease is not None and not self.owner_lease.has_expired
            )
            await self._clock.sleep(
                self._lease / 3 if is_registered else RETRY_INTERVAL
            )

    async def _renew(self) -> None:
        owner_lease = self.owner_lease
        if owner_lease is not None and not owner_lease.has_expired:
            before = self._clock.monotonic()
            answer = await self._store.renew_lease(owner_lease.lease)
            if isinstance(answer, Granted):
                owner_lease.renew(before, answer.ttl)
            if not isinstance(answer, Lapsed):
                return
            _log.warn("The lease has expired.", session=owner_lease.session)
            owner_lease.mark_expired()
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
        self._owner_leases.append(owner_lease)
        self.session_started_at = self._clock.monotonic()


def _decode_registration(value: bytes) -> RegisteredMember | None:
    try:
        found = msgspec.msgpack.decode(value, type=Registration)
    except DECODE_ERRORS:
        return None
    return RegisteredMember(Member(**found.member), found.session)
