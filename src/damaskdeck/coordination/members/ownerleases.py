"""How long this daemon may act as an owner, by its own monotonic clock."""

from datetime import timedelta

from damaskdeck.defaults import CLOCK_DRIFT

NEVER = timedelta(days=-36500)


class OwnerLease:
    """The time during which shards that are bound to one session may be decided on.

    While the lease in the store is valid, the session is visible to all members.
    After it, lease grants of all other live members of the zone extend the time,
    but only without a gap: once the lease in the store has expired and one of the
    grants has ended, a member may have taken over. Later grants must not make the
    owner lease valid again then. A renewal of the lease in the store may do so, as
    it proves that the session was visible all the time.

    :param session: names the lease in the store; never reused for another lease.
    :param revision: the store's revision from which on the session is visible.
    """

    def __init__(self, session: str, lease: str, revision: int) -> None:
        self.session = session
        self.lease = lease
        self.revision = revision
        self.has_expired = False
        self._lease_expires_at = NEVER
        self._granted_until = NEVER

    def is_leased(self, now: timedelta) -> bool:
        """Return whether the lease in the store must still be valid."""
        return now < self._lease_expires_at

    def is_valid(self, now: timedelta) -> bool:
        """Return whether the lease in the store or the lease grants are still valid."""
        return now < self._lease_expires_at or now < self._granted_until

    def get_grant_time_left(self, now: timedelta) -> timedelta:
        """Return how long the lease grants of the others are still valid."""
        return max(self._granted_until - now, timedelta())

    def renew(self, before: timedelta, ttl: timedelta) -> None:
        """Record a renewal of the lease in the store.

        :param before: the monotonic time before the renewal was sent.
        """
        until = before + ttl * (1 - CLOCK_DRIFT)
        self._lease_expires_at = max(self._lease_expires_at, until)

    def extend(self, until: timedelta, now: timedelta) -> None:
        """Record that every other member has granted the lease until ``until``."""
        if self.is_valid(now):
            self._granted_until = max(self._granted_until, until)

    def mark_expired(self) -> None:
        """Record that the store no longer knows the lease."""
        self.has_expired = True
        self._lease_expires_at = NEVER

    def end(self) -> None:
        """End the lease at once because its holder leaves."""
        self.mark_expired()
        self._granted_until = NEVER
