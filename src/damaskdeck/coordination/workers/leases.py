"""When the lease of a task must have lapsed, by this daemon's monotonic clock.

A renewal may wait inside a paused worker and take effect later than its answer
was given up; but not after the lease has lapsed meanwhile. So an answered call
bounds the lease from when its answer came, and an unanswered one adds a lease.
"""

from datetime import timedelta

from damaskdeck import defaults


def stretch_lease(
    lease: timedelta = defaults.TASK_LEASE, drift: float = defaults.CLOCK_DRIFT
) -> timedelta:
    """Return how long a lease lasts at most by this daemon's clock.

    :param drift: greatest relative difference between two clocks.
    """
    return lease * (1 + drift)


def compute_takeover_bound(
    lease: timedelta = defaults.TASK_LEASE, margin: timedelta = defaults.LEASE_MARGIN
) -> timedelta:
    """Return how long after a change of owner all earlier leases have lapsed.

    The former owner's last renewal was answered before the change, and at most
    one more was on its way.
    """
    return 2 * stretch_lease(lease) + margin
