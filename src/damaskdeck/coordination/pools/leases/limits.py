"""Until when the owner may grant leases to workers."""

from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.times import PoolTimes


class LeaseLimits:
    """What the owner's leases and decisions count from.

    All times are monotonic seconds.

    :ivar get_grant: returns until when all members that are known let this owner act
        without the store.
    :ivar get_last_grant: returns until when those did that were known then.
    :ivar confirmed_at: when the last call was sent that showed this owner named.
    """

    def __init__(self, clock: Clock, times: PoolTimes) -> None:
        self.get_grant: Callable[[], float] = lambda: float("-inf")
        self.get_last_grant: Callable[[], float] = lambda: float("-inf")
        self.confirmed_at = float("-inf")
        self._clock = clock
        self._owner_lease = times.owner_lease.total_seconds()
        self._outage_lease = times.outage_lease.total_seconds()
        self._lease_expiry = times.lease_expiry.total_seconds()
        self._members_known_at = float("-inf")
        self._are_capped = False

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def confirm(self, since: float) -> None:
        """Record that the store named this daemon as the owner.

        :param since: when the call that returned it was sent.
        """
        self.confirmed_at = max(self.confirmed_at, since)

    def record_members(self, since: float) -> None:
        """Record that all members are known that were registered at a time."""
        self._members_known_at = max(self._members_known_at, since)

    def is_confirmed(self) -> bool:
        """Whether the owner lease is valid, which decisions need."""
        return self._now() - self.confirmed_at < self._owner_lease

    def measure_age(self) -> timedelta:
        """Return how long ago the last call was sent that showed this owner named."""
        return timedelta(seconds=self._now() - self.confirmed_at)

    def has_grant(self) -> bool:
        """Whether all members let this owner act without the store."""
        now = self._now()
        if now >= min(
            self.get_last_grant(), self._members_known_at + self._outage_lease
        ):
            return False
        # Comparing the members with those that gave it takes longer.
        return now < self.get_grant()

    def find_limit(self) -> float:
        """Return the time beyond which no lease may be granted to a worker.

        Whoever takes over waits until leases within this limit have expired, whether
        or not this daemon is known to have ended.
        """
        limit = self.confirmed_at + self._lease_expiry
        if self.has_grant():
            limit = max(limit, self._now() + self._lease_expiry)
        if self._are_capped:
            limit = min(limit, self.get_last_grant() + self._lease_expiry)
        return limit

    @property
    def are_capped(self) -> bool:
        """Whether something has been ordered that is not on record yet."""
        return self._are_capped

    def cap(self) -> None:
        """Let no lease outlast what the members' grants allow for.

        They allow for what has been ordered without a record.
        """
        self._are_capped = True

    def uncap(self) -> None:
        """Undo :meth:`cap`, as everything is recorded, or a new term begins."""
        self._are_capped = False
