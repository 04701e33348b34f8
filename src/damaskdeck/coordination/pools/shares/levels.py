"""The fair level of a full pool, by progressive filling.

All accounts rise together, each in proportion to its weight, until it has all that it
wants or one dimension of the capacity is used up. What some accounts leave is thereby
divided by weight among those that want more. The result depends on present use and
demand only, so an account that was idle has neither credit nor debt.
"""

from collections.abc import Sequence
from typing import NamedTuple

from damaskdeck.protocol.sizes import Size
from damaskdeck.state.quotas import DIMENSIONS, TeamState

UNLIMITED_LEVEL = float("inf")


class Want(NamedTuple):
    """What an account runs and waits for.

    :param size: In all dimensions.
    :param level: Its dominant share of the capacity, divided by its weight.
    """

    size: tuple[float, float, float]
    level: float


def measure_want(state: TeamState, capacity: Size) -> Want | None:
    """Return what an account wants, ``None`` if it has no work.

    Demand that its quota holds back is left out.
    """
    use, demand, quota = state.use, state.demand, state.quota
    admitted = 1.0
    for index in DIMENSIONS:
        if use[index] + demand[index] > quota[index] and demand[index]:
            free = max(0, quota[index] - use[index])
            admitted = min(admitted, free / demand[index])
    size = (
        use[0] + admitted * demand[0],
        use[1] + admitted * demand[1],
        use[2] + admitted * demand[2],
    )
    share = max(
        size[index] / capacity[index] if capacity[index] else 0.0
        for index in DIMENSIONS
    )
    return Want(size, share / state.weight) if share else None


def compute_level(wants: Sequence[Want], free: Size) -> float:
    """Return the weighted dominant share above which an account has too much.

    It is unlimited while all wants fit.

    :param free: The capacity that is left for these accounts.
    """
    ordered = sorted(wants, key=lambda want: want.level)
    return min(
        (_fill(ordered, index, free[index]) for index in DIMENSIONS),
        default=UNLIMITED_LEVEL,
    )


def _fill(ordered: Sequence[Want], index: int, free: int) -> float:
    """Return the level at which one dimension is used up.

    :param ordered: By level.
    """
    if sum(want.size[index] for want in ordered) <= max(free, 0):
        return UNLIMITED_LEVEL
    satisfied = 0.0
    # What one unit of the level adds for the accounts that are not satisfied yet.
    slope = sum(want.size[index] / want.level for want in ordered)
    for want in ordered:
        level = max(0.0, free - satisfied) / slope
        if level <= want.level:
            return level
        satisfied += want.size[index]
        slope -= want.size[index] / want.level
    # Only rounding leads here: all wants are satisfied at the last level.
    return ordered[-1].level
