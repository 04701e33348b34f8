"""A worker's clock as one owner knows it, and when its lease is over by ours."""

from datetime import timedelta

from damaskdeck.coordination.pools.times import CLOCK_SLOWNESS


class WorkerLease:
    """The lease of all that a worker runs.

    :param bound: when the leases that predecessors granted are over, monotonic
        seconds as all times here.
    :ivar expires_at: when all that it runs has ended if it never answers again.
    """

    def __init__(self, bound: float) -> None:
        self.expires_at = bound
        self._clock: timedelta | None = None
        self._clock_at = 0.0

    @property
    def is_synchronized(self) -> bool:
        """Whether the worker has told its clock."""
        return self._clock is not None

    def record_clock(self, clock: timedelta, now: float) -> None:
        """Take note of the worker's steady clock; answers may overtake each other."""
        if self._clock is None or clock >= self._clock:
            self._clock = clock
            self._clock_at = now

    def estimate_clock(self, now: float) -> timedelta:
        """Return the worker's clock at a time, at most."""
        assert self._clock is not None
        return self._clock + timedelta(seconds=now - self._clock_at)

    def extend(self, now: float, lease: timedelta) -> timedelta:
        """Bound when a lease until ``lease`` from now is over, by our clock.

        :returns: its end by the worker's clock, to be told to the worker.
        """
        since = now - self._clock_at
        longest = (since + lease.total_seconds()) / (1 - CLOCK_SLOWNESS)
        self.expires_at = max(self.expires_at, self._clock_at + longest)
        return self.estimate_clock(now) + lease
