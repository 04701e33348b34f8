"""When the lease of a task must have lapsed, by this daemon's monotonic clock."""

from datetime import timedelta

from damaskdeck import defaults


def compute_bound(
    lease: timedelta = defaults.TASK_LEASE,
    drift: float = defaults.CLOCK_DRIFT,
    margin: timedelta = defaults.LEASE_MARGIN,
) -> timedelta:
    """Return how long after sending a renewal its lease must have lapsed.

    Promise: "No task is ever running in two places at once." The worker counts
    the lease from when the renewal arrived, on a clock that may be slower.

    :param drift: greatest relative difference between two clocks.
    """
    return lease * (1 + drift) + margin
