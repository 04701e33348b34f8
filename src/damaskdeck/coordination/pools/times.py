"""All times of the pools, derived from the bounds in the settings."""

from datetime import timedelta
from typing import NamedTuple

# Fraction by which a worker's steady clock may be slower than the local one (the
# platform's bound).
CLOCK_SLOWNESS = 0.02
# Share of the longest lease that workers are granted. Everything on a worker that can't
# be read has ended within such a lease of a takeover, which leaves time to notice the
# loss of the owner and to start the tasks elsewhere.
LEASE_SHARE = 2 / 3
# A document counts as current for this much less than its bound allows, as an order
# takes at most a tenth of a second on workers that answer.
FRESHNESS_MARGIN = timedelta(milliseconds=250)
# The same margin for a worker's capacity, which a slow store may delay longer.
CAPACITY_MARGIN = timedelta(milliseconds=500)


class PoolBounds(NamedTuple):
    """Guarantees and requirements of the platform.

    :param max_worker_lease: the longest lease that a worker grants.
    :param min_store_lease: the shortest lease of the store.
    :param grace: time from the stop signal until a daemon is killed.
    :param status_retention: how long states of ended jobs are queried at least.
    :param remote_factor: how many times as long a step takes away from its best racks.
    :param max_stop_time: the longest time that a run needs to stop.
    :param in_force: how long after its acknowledgement a document is in force at the
        latest.
    :param contact: how long a worker whose capacity has shrunk may get orders for its
        old capacity, in addition to one heartbeat.
    :param heartbeat: the interval at which workers renew their registrations.
    :param revocation: no daemon serves a caller whose key was revoked longer ago than
        this; ``None`` if that is required only of daemons that are not cut off.
    :param restore_time: what a start from a checkpoint costs.
    """

    max_worker_lease: timedelta
    min_store_lease: timedelta
    grace: timedelta
    status_retention: timedelta
    remote_factor: float = 2.0
    max_stop_time: timedelta = timedelta(seconds=1)
    in_force: timedelta = timedelta(seconds=3)
    contact: timedelta = timedelta(seconds=3)
    heartbeat: timedelta = timedelta(milliseconds=1500)
    revocation: timedelta | None = None
    restore_time: timedelta = timedelta(milliseconds=500)


class PoolTimes(NamedTuple):
    """The times that the pools work with; :func:`derive_times` documents the sums."""

    member_ttl: timedelta
    member_renewal: timedelta
    control_wait: timedelta
    owner_wait: timedelta
    owner_lease: timedelta
    lease: timedelta
    lease_expiry: timedelta
    longest_lease_expiry: timedelta
    outage_grant: timedelta
    outage_lease: timedelta
    newcomer_wait: timedelta
    member_gap: timedelta
    member_memory: timedelta
    takeover_wait: timedelta
    poll_wait: timedelta
    longest_poll_wait: timedelta
    start_window: timedelta
    start_timeout: timedelta
    accept_timeout: timedelta
    unready_after: timedelta
    discard_after: timedelta
    batch_delay: timedelta
    remote_factor: float
    max_stop_time: timedelta
    restore_time: timedelta
    keys_max_age: timedelta | None
    document_max_age: timedelta
    capacity_max_age: timedelta


def derive_times(bounds: PoolBounds) -> PoolTimes:
    """Derive all times.

    Safety rests on these sums. No lease that an owner grants to a worker outlasts
    ``lease_expiry`` after the last call that showed it named in the store, so nothing
    that it ordered runs ``lease_expiry`` after a takeover. The exception is an outage
    of the store for all members: while each of them has granted it that for
    ``outage_grant``, an owner extends leases until ``outage_lease`` after it last knew
    all members. A member that has granted it waits for the grant and for
    ``lease_expiry`` after that; one that the owner may not have known waits until
    ``newcomer_wait`` after it became a member.

    Owners of earlier versions extend leases to the longest one for ``owner_lease``
    after that call, so ``takeover_wait`` is the wait for these.
    """
    lease = bounds.max_worker_lease * LEASE_SHARE
    lease_expiry = lease / (1 - CLOCK_SLOWNESS)
    longest_lease_expiry = bounds.max_worker_lease / (1 - CLOCK_SLOWNESS)
    owner_lease = bounds.max_worker_lease
    # With the lease after that, tasks survive an outage of twice the longest lease.
    outage_lease = 2 * bounds.max_worker_lease - lease
    newcomer_wait = outage_lease + lease_expiry
    member_ttl = max(bounds.min_store_lease, timedelta(milliseconds=1200))
    # A worker that stops answering is noticed within little more than this time.
    poll_wait = min(timedelta(milliseconds=500), lease / 8)
    return PoolTimes(
        member_ttl=member_ttl,
        # Three renewals may be lost before the lease expires.
        member_renewal=member_ttl / 4,
        # The maximum time between two confirmations of the owner by the store.
        control_wait=timedelta(milliseconds=1500),
        # The same for the owner, whose worker leases count from such a confirmation.
        owner_wait=timedelta(milliseconds=350),
        owner_lease=owner_lease,
        lease=lease,
        lease_expiry=lease_expiry,
        longest_lease_expiry=longest_lease_expiry,
        # Two requests for a grant may get no reply.
        outage_grant=timedelta(milliseconds=1500),
        outage_lease=outage_lease,
        newcomer_wait=newcomer_wait,
        # Owners go on asking a member for grants while its key is away, and for as long
        # after this gap as they may act without having seen it again.
        member_gap=newcomer_wait,
        member_memory=newcomer_wait + outage_lease,
        takeover_wait=owner_lease + longest_lease_expiry,
        poll_wait=poll_wait,
        # One lost answer later the lease can still be extended in time.
        longest_poll_wait=min(3 * poll_wait, lease * 3 / 8),
        # An order that is delayed longer by the network is refused as late.
        start_window=timedelta(milliseconds=1200),
        start_timeout=timedelta(milliseconds=600),
        # Long enough for a store that answers a hundred times slower than usual.
        accept_timeout=timedelta(milliseconds=900),
        # Callers are better served by daemons that the store answers.
        unready_after=timedelta(milliseconds=400),
        discard_after=bounds.status_retention * 1.5,
        # Ends that arrive together share a commit and a poll.
        batch_delay=timedelta(milliseconds=35),
        remote_factor=bounds.remote_factor,
        max_stop_time=bounds.max_stop_time,
        restore_time=bounds.restore_time,
        keys_max_age=bounds.revocation and bounds.revocation - FRESHNESS_MARGIN,
        # The margin lets an order that is already in flight start within the bound.
        document_max_age=bounds.in_force - FRESHNESS_MARGIN,
        capacity_max_age=bounds.contact + bounds.heartbeat - CAPACITY_MARGIN,
    )
