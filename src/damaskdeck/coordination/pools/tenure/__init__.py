"""For how long a daemon is a member, and may act as the owner.

An owner acts within limits that count from what the store and the other members have
last told it, because its successor waits for no more than that.
"""

from damaskdeck.coordination.pools.tenure.limits import LeaseLimits
from damaskdeck.coordination.pools.tenure.memberlease import (
    RETRY_DELAY,
    MemberLease,
    Registration,
)
from damaskdeck.coordination.pools.tenure.members import Members
from damaskdeck.coordination.pools.tenure.outagegrants import OutageGrants

__all__ = [
    "RETRY_DELAY",
    "LeaseLimits",
    "MemberLease",
    "Members",
    "OutageGrants",
    "Registration",
]
