"""Preemption in the pools: stops patient runs for steps that would be late otherwise.

:class:`PoolPreemptor` is the interface to the dispatcher. Which steps are helped is in
:mod:`.needs`, which runs may be stopped in :mod:`.victims`, the choice among them in
:mod:`.search`, and the capacity that is being freed in :mod:`.holds`.
"""

from damaskdeck.coordination.pools.preemption.holds import Hold, Holds
from damaskdeck.coordination.pools.preemption.preemptor import PoolPreemptor
from damaskdeck.coordination.pools.preemption.search import Choice, choose_victims
from damaskdeck.coordination.pools.preemption.victims import (
    Victim,
    VictimIndex,
    name_task,
)

__all__ = [
    "Choice",
    "Hold",
    "Holds",
    "PoolPreemptor",
    "Victim",
    "VictimIndex",
    "choose_victims",
    "name_task",
]
