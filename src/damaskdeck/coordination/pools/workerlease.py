"""One owner's estimate of a worker's clock and of the expiry of the worker's lease."""

from collections.abc import Callable
from datetime import timedelta

from damaskdeck.coordination.pools.times import CLOCK_SLOWNESS


class WorkerLease:
    """The lease under which a worker runs its tasks.

    All times are monotonic seconds.

    :param find_inherited_expiry: returns when the leases that earlier owners granted
        have expired at the latest, which may become earlier.
    """

    def __init__(self, find_inherited_expiry: Callable[[], float]) -> None:
        self._find_inherited_expiry: Callable[[], float] | None = find_inherited_expiry
        self._own_until = float("-inf")
        self._worker_clock: timedelta | None = None
        self._clock_read_at = 0.0

    @property
    def expires_at(self) -> float:
        """When all tasks of the worker have ended if it never answers again."""
        if self._find_inherited_expiry is None:
            return self._own_until
        return max(self._find_inherited_expiry(), self._own_until)

    def extend_until(self, until: float) -> None:
        """Record that the lease may last until then."""
        self._own_until = max(self._own_until, until)

    def replace_inherited(self, until: float) -> None:
        """Replace the bound by that on the leases of a worker which has answered.

        From now on it refuses earlier owners.
        """
        self._find_inherited_expiry = None
        self._own_until = until

    @property
    def is_synchronized(self) -> bool:
        """Whether the worker has reported its clock."""
        return self._worker_clock is not None

    def record_clock(self, clock: timedelta, now: float) -> timedelta:
        """Record the worker's steady clock; answers may arrive out of order.

        :returns: by how much the clock is behind the latest recorded one.
        """
        if self._worker_clock is None or clock >= self._worker_clock:
            self._worker_clock = clock
            self._clock_read_at = now
            return timedelta()
        return self._worker_clock - clock

    def estimate_clock(self, now: float) -> timedelta:
        """Return an upper bound of the worker's clock at a time."""
        assert self._worker_clock is not None
        return self._worker_clock + timedelta(seconds=now - self._clock_read_at)

    def extend(self, now: float, lease: timedelta, limit: float) -> timedelta | None:
        """Extend the lease to ``lease`` from now; bound its expiry by the local clock.

        :param limit: monotonic seconds beyond which the lease must not last, also if
            the worker's clock is slow.
        :returns: the end of the lease by the worker's clock, to be sent to the worker;
            ``None`` if nothing can be granted within the limit.
        """
        assert self._worker_clock is not None
        read_at, pace = self._clock_read_at, 1 - CLOCK_SLOWNESS
        elapsed = now - read_at
        duration = min(elapsed + lease.total_seconds(), (limit - read_at) * pace)
        if duration <= elapsed:
            return None
        self.extend_until(read_at + duration / pace)
        return self._worker_clock + timedelta(seconds=duration)
