"""Each time of the pools, worked out from the bounds that the settings give."""

from datetime import timedelta
from typing import NamedTuple

# A worker's steady clock may run so much slower than ours (the platform's bound).
CLOCK_SLOWNESS = 0.02
# A document is taken for the newest for so much less than the bound allows: an order
# takes a tenth of a second at most where workers answer.
SURENESS_MARGIN = timedelta(milliseconds=250)
# The same for a worker's room, which a slow store may take a while to write.
ROOM_MARGIN = timedelta(milliseconds=500)


class PoolBounds(NamedTuple):
    """What the platform promises and asks.

    :param max_worker_lease: longest lease that a worker grants.
    :param min_store_lease: shortest lease of the store.
    :param grace: time from the order to stop until a daemon is killed.
    :param status_retention: states of ended jobs are asked for at least so long.
    :param remote_factor: a step takes so many times as long away from its best racks.
    :param max_stop_time: a run that is told to stop takes so long at most.
    :param in_force: a document is in force so long after it was acknowledged.
    :param contact: a worker whose room has shrunk may have orders by its old room for
        so long, and one heartbeat.
    :param heartbeat: workers register anew so often.
    :param revocation: what shows a key that was taken away longer ago is served by
        nobody; ``None`` where that is only asked of daemons in touch.
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


class PoolTimes(NamedTuple):
    """The times that the pools work with; :func:`derive_times` gives the sums."""

    member_ttl: timedelta
    member_renewal: timedelta
    control_wait: timedelta
    tenure: timedelta
    lease: timedelta
    lease_expiry: timedelta
    succession: timedelta
    poll_wait: timedelta
    start_window: timedelta
    start_timeout: timedelta
    accept_timeout: timedelta
    unready_after: timedelta
    discard_after: timedelta
    batch_delay: timedelta
    remote_factor: float
    max_stop_time: timedelta
    keys_max_age: timedelta | None
    document_max_age: timedelta
    capacity_max_age: timedelta


def derive_times(bounds: PoolBounds) -> PoolTimes:
    """Work the times out.

    The sums that safety rests on: a worker's tasks have ended ``lease_expiry``
    after the last renewal reached it, and a deposed owner renews nothing once
    ``tenure`` has passed since it last saw itself named in the store, so
    ``succession`` after a takeover nothing that the old owner ordered runs on a
    worker that did not answer.
    """
    lease = bounds.max_worker_lease
    lease_expiry = lease / (1 - CLOCK_SLOWNESS)
    # As long as a lease: an owner that the store leaves alone for so long lets
    # its workers' leases run out, which doubles what an outage may last.
    tenure = lease
    member_ttl = max(bounds.min_store_lease, timedelta(milliseconds=1200))
    # A worker that goes dark is noticed within this and a little.
    poll_wait = min(timedelta(milliseconds=500), lease / 8)
    return PoolTimes(
        member_ttl=member_ttl,
        # Three renewals may be lost before the lease is.
        member_renewal=member_ttl / 4,
        # An owner sees itself named at least so often.
        control_wait=timedelta(milliseconds=1500),
        tenure=tenure,
        lease=lease,
        lease_expiry=lease_expiry,
        succession=tenure + lease_expiry,
        poll_wait=poll_wait,
        # An order that the network keeps longer is refused as late.
        start_window=timedelta(milliseconds=1200),
        start_timeout=timedelta(milliseconds=600),
        # A store that answers a hundred times slower than usual is waited for.
        accept_timeout=timedelta(milliseconds=900),
        # Callers are better off with daemons that the store answers.
        unready_after=timedelta(milliseconds=400),
        discard_after=bounds.status_retention * 1.5,
        # Ends of one moment share a commit and a look.
        batch_delay=timedelta(milliseconds=35),
        remote_factor=bounds.remote_factor,
        max_stop_time=bounds.max_stop_time,
        keys_max_age=bounds.revocation and bounds.revocation - SURENESS_MARGIN,
        # Also an order that is under way begins within the bound.
        document_max_age=bounds.in_force - SURENESS_MARGIN,
        capacity_max_age=bounds.contact + bounds.heartbeat - ROOM_MARGIN,
    )
