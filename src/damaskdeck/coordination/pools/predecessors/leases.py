"""The leases that earlier owners may have granted to workers that can't be read."""

from typing import TYPE_CHECKING

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.predecessors.owners import make_former
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.logs import get_logger
from damaskdeck.state.jobrecords import FormerOwner

if TYPE_CHECKING:
    from damaskdeck.coordination.pools.leadership import Leadership

_log = get_logger("workforce")


class InheritedLeases:
    """Bounds the leases of earlier owners during one owner term.

    An owner that is only cut off extends leases until its owner lease has expired. It
    extends none once it has handed over or its process has ended, which may become
    known during the term. The owners before the predecessor had been deposed when this
    daemon first saw that one.

    All times are monotonic seconds.
    """

    def __init__(
        self, term: OwnerTerm, leadership: "Leadership", clock: Clock, times: PoolTimes
    ) -> None:
        self._predecessor = term.predecessor
        self._leadership = leadership
        self._clock = clock
        self._lease_expiry = times.lease_expiry.total_seconds()
        self._takeover_wait = times.takeover_wait.total_seconds()
        self._predecessor_ended_at: float | None = None
        self._earlier = term.earlier
        self._earlier_ended_at = float("-inf")
        self._earlier_until = term.predecessor_seen_at + self._takeover_wait

    def find_expiry(self, since: float, is_silent: bool = False) -> float:
        """Return when all leases on a worker that was not read have expired.

        The result becomes earlier once earlier owners are known to have ended.

        :param since: when this owner learned of the worker.
        :param is_silent: whether an earlier owner had read the worker, which therefore
            refuses the owners before, and had stopped extending its lease.
        """
        if self._predecessor is None:
            return since
        if is_silent:
            return since + self._lease_expiry
        ended_at = self._find_predecessor_end()
        if ended_at is None:
            until = since + self._takeover_wait
        else:
            until = max(since, ended_at) + self._lease_expiry
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
        return min(self._earlier_until, self._earlier_ended_at + self._lease_expiry)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()


def _log_end(owner: FormerOwner) -> None:
    _log.info(
        "The process of an earlier owner has ended.",
        owner=owner.instance,
        incarnation=owner.incarnation,
    )
