"""The leases of members and workers: for how long a daemon may act as the owner.

An owner acts within limits that count from what the store and the other members have
last told it, because its successor waits for no more than that.
"""

from damaskdeck.coordination.pools.leases.limits import LeaseLimits
from damaskdeck.coordination.pools.leases.memberlease import (
    RETRY_DELAY,
    MemberLease,
    Registration,
)
from damaskdeck.coordination.pools.leases.members import Members
from damaskdeck.coordination.pools.leases.outagegrants import OutageGrants

__all__ = [
    "RETRY_DELAY",
    "LeaseLimits",
    "MemberLease",
    "Members",
    "OutageGrants",
    "Registration",
]
