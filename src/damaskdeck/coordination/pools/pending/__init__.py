"""The steps with tasks to start, and the order in which they get capacity."""

from damaskdeck.coordination.pools.pending.steps import (
    MAX_KEPT_TASKS,
    PendingStep,
    PendingSteps,
    RankedStep,
)
from damaskdeck.coordination.pools.pending.turns import (
    find_turn_seconds,
    is_overdue,
    list_overdue,
)

__all__ = [
    "MAX_KEPT_TASKS",
    "PendingStep",
    "PendingSteps",
    "RankedStep",
    "find_turn_seconds",
    "is_overdue",
    "list_overdue",
]
