"""How long this daemon may decide, judged by its own monotonic clock."""

from datetime import timedelta

from damaskdeck.defaults import CLOCK_DRIFT

NEVER = timedelta(days=-36500)


class OwnerLease:
    """The time during which what is bound to one session may be decided.

    While the lease is valid, the store shows the session to everybody. Past
    it, the promises of all other live members of the zone prolong the tenure,
    but only without a gap: once nobody vouches for it, a member may have taken
    over, and no later promise can bring it back. A renewed lease can, as the
    store proves by it that the session was visible all along.

    :param session: names the lease in the store; never used for another lease.
    :param revision: the store's revision since which the session is visible.
    """

    def __init__(self, session: str, lease: str, revision: int) -> None:
        self.session = session
        self.lease = lease
        self.revision = revision
        self.has_lapsed = False
        self._leased_until = NEVER
        self._promised_until = NEVER

    def is_leased(self, now: timedelta) -> bool:
        """Tell whether the lease must still be valid in the store."""
        return now < self._leased_until

    def is_valid(self, now: timedelta) -> bool:
        """Tell whether the lease or every promise still holds."""
        return now < self._leased_until or now < self._promised_until

    def get_promised(self, now: timedelta) -> timedelta:
        """Return for how long the promises of others still hold."""
        return max(self._promised_until - now, timedelta())

    def renew(self, before: timedelta, ttl: timedelta) -> None:
        """Note a renewed lease.

        :param before: the monotonic time before the renewal was sent.
        """
        until = before + ttl * (1 - CLOCK_DRIFT)
        self._leased_until = max(self._leased_until, until)

    def prolong(self, until: timedelta, now: timedelta) -> None:
        """Note that every other member has promised until ``until``."""
        if self.is_valid(now):
            self._promised_until = max(self._promised_until, until)

    def lapse(self) -> None:
        """Note that the store doesn't know the lease any more."""
        self.has_lapsed = True
        self._leased_until = NEVER

    def end(self) -> None:
        """End the tenure at once, as its holder leaves."""
        self.lapse()
        self._promised_until = NEVER
