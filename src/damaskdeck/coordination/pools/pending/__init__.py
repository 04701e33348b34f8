"""The steps with tasks to start, and the order in which they get capacity."""

from damaskdeck.coordination.pools.pending.steps import (
    PendingStep,
    PendingSteps,
    RankedStep,
)
from damaskdeck.coordination.pools.pending.turns import is_overdue, list_overdue

__all__ = [
    "PendingStep",
    "PendingSteps",
    "RankedStep",
    "is_overdue",
    "list_overdue",
]
