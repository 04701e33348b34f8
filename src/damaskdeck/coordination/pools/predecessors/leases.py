"""The leases that earlier owners may have granted to workers that can't be read."""

from typing import TYPE_CHECKING

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.predecessors.owners import make_former
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.defaults import CLOCK_DRIFT
from damaskdeck.logs import get_logger
from damaskdeck.state.jobrecords import BOUNDED_LEASES, FormerOwner

if TYPE_CHECKING:
    from damaskdeck.coordination.pools.leadership import Leadership

_log = get_logger("workforce")


class InheritedLeases:
    """Bounds the leases of earlier owners during one owner term.

    An owner grants leases within a limit that counts from the last call which showed it
    named, and so from before the takeover, unless this daemon or all others let it go
    on without the store. It grants none once it has handed over or its process has
    ended, which may become known during the term.

    Owners of earlier versions extend leases until their owner lease has expired; those
    before the predecessor had been deposed when this daemon first saw that one.

    All times are monotonic seconds.
    """

    def __init__(
        self, term: OwnerTerm, leadership: "Leadership", clock: Clock, times: PoolTimes
    ) -> None:
        self._predecessor = term.predecessor
        self._begun_at = term.begun_at
        self._leadership = leadership
        self._clock = clock
        # The clock of the daemon that has granted a lease may be slower.
        self._lease_expiry = times.lease_expiry.total_seconds() * (1 + CLOCK_DRIFT)
        self._longest_expiry = times.longest_lease_expiry.total_seconds()
        self._start_window = times.start_window.total_seconds()
        self._takeover_wait = times.takeover_wait.total_seconds()
        self._predecessor_ended_at: float | None = None
        self._earlier = term.earlier
        self._earlier_ended_at = float("-inf")
        self._earlier_until = term.predecessor_seen_at + self._takeover_wait

    def find_expiry(
        self, since: float, is_silent: bool = False, may_have_returned: bool = False
    ) -> float:
        """Return when all leases on a worker that was not read have expired.

        The result becomes earlier once earlier owners are known to have ended.

        :param since: when this owner learned of the worker.
        :param is_silent: whether an earlier owner had read the worker, which therefore
            refuses the owners before, and had stopped extending its lease.
        :param may_have_returned: whether another incarnation may have its name, whose
            clock doesn't show that an order or a lease has expired.
        """
        if self._predecessor is None:
            return since
        if not self._leadership.has_guarantee(self._predecessor.epoch, BOUNDED_LEASES):
            return self._find_unbounded_expiry(since, is_silent)
        extra = 0.0
        if may_have_returned:
            extra = self._start_window + self._longest_expiry - self._lease_expiry
        return self._find_bounded_expiry() + extra

    def _find_bounded_expiry(self) -> float:
        bounds = self._leadership.find_grant_bounds()
        predecessor, earlier = bounds
        if (ended_at := self._find_predecessor_end()) is not None:
            predecessor = min(predecessor, ended_at + self._lease_expiry)
        self._find_earlier_expiry()
        if self._earlier is not None and not self._earlier:
            earlier = min(earlier, self._earlier_ended_at + self._lease_expiry)
        return max(self._begun_at + self._lease_expiry, predecessor, earlier)

    def _find_unbounded_expiry(self, since: float, is_silent: bool) -> float:
        """Return when the leases of owners of earlier versions have expired."""
        if is_silent:
            return since + self._longest_expiry
        ended_at = self._find_predecessor_end()
        if ended_at is None:
            until = since + self._takeover_wait
        else:
            until = max(since, ended_at) + self._longest_expiry
        return max(until, self._find_earlier_expiry())

    def _find_predecessor_end(self) -> float | None:
        """Return when the predecessor was known to extend no more leases."""
        old = self._predecessor
        if self._predecessor_ended_at is None and old is not None:
            if old.is_released:
                self._predecessor_ended_at = self._now()
            elif self._leadership.is_gone(old.instance, old.incarnation):
                self._predecessor_ended_at = self._now()
                _log_end(make_former(old))
        return self._predecessor_ended_at

    def _find_earlier_expiry(self) -> float:
        """Return when the leases of the owners before the predecessor have expired."""
        if self._earlier is None:
            return self._earlier_until
        gone = [owner for owner in self._earlier if self._leadership.is_gone(*owner)]
        if gone:
            self._earlier = tuple(o for o in self._earlier if o not in gone)
            self._earlier_ended_at = self._now()
            for owner in gone:
                _log_end(owner)
        if self._earlier:
            return self._earlier_until
        return min(self._earlier_until, self._earlier_ended_at + self._longest_expiry)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()


def _log_end(owner: FormerOwner) -> None:
    _log.info(
        "The process of an earlier owner has ended.",
        owner=owner.instance,
        incarnation=owner.incarnation,
    )
