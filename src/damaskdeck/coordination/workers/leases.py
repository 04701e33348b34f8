"""Upper bounds for the end of task leases, by this daemon's monotonic clock.

A paused worker may delay a renewal, which then takes effect after this daemon has
stopped waiting for the answer, but never after the lease has expired. Therefore an
answered call bounds the lease from the time of its answer, and an unanswered call
extends the bound by one lease.
"""

from datetime import timedelta

from damaskdeck import defaults


def compute_max_lease(
    lease: timedelta = defaults.TASK_LEASE, drift: float = defaults.CLOCK_DRIFT
) -> timedelta:
    """Return the longest time that a lease may last by this daemon's clock.

    :param drift: greatest relative difference between two clocks.
    """
    return lease * (1 + drift)


def compute_takeover_bound(
    lease: timedelta = defaults.TASK_LEASE, margin: timedelta = defaults.LEASE_MARGIN
) -> timedelta:
    """Return how long after a change of owner all earlier leases have expired.

    The former owner's last renewal was answered before the change, and at most one
    more was in flight.
    """
    return 2 * compute_max_lease(lease) + margin
