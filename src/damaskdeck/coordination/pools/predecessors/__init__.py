"""What a new owner takes over from the owners before it.

Workers that they may have used are read from the store; those that can't be read are
waited for until the leases that earlier owners may have granted have expired. What they
may run there is on record, and so is it for the next owner.
"""

from damaskdeck.coordination.pools.predecessors.attempts import AttemptNumbers
from damaskdeck.coordination.pools.predecessors.leases import InheritedLeases
from damaskdeck.coordination.pools.predecessors.owners import FormerOwners
from damaskdeck.coordination.pools.predecessors.recording import RunRecording
from damaskdeck.coordination.pools.predecessors.workers import (
    InheritedWorkers,
    read_inherited_workers,
)

__all__ = [
    "AttemptNumbers",
    "FormerOwners",
    "InheritedLeases",
    "InheritedWorkers",
    "RunRecording",
    "read_inherited_workers",
]
