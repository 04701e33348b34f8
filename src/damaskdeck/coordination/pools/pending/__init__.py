"""The steps with tasks to start, and the order in which they get capacity."""

from damaskdeck.coordination.pools.pending.steps import (
    MAX_WAITING_STEPS,
    PendingStep,
    PendingSteps,
    RankedStep,
)
from damaskdeck.coordination.pools.pending.turns import is_overdue, list_overdue

__all__ = [
    "MAX_WAITING_STEPS",
    "PendingStep",
    "PendingSteps",
    "RankedStep",
    "is_overdue",
    "list_overdue",
]
