"""The fair levels of a full pool, by progressive filling.

All accounts rise together, each in proportion to its weight, until it has all that it
wants or a dimension that it wants is used up. What some accounts leave is thereby
divided by weight among those that want more. Each dimension has its own level, so that
work for scarce accelerators doesn't limit accounts that want none. The result depends
on present use and demand only, so an account that was idle has neither credit nor debt.
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


def compute_levels(
    wants: Sequence[Want], free: Size, capacity: Size
) -> tuple[float, ...]:
    """Return the levels at which the dimensions are used up.

    A level is a weighted dominant share; it is unlimited while all wants fit. So it is
    in a dimension without any capacity, which dominant shares ignore as well.

    :param free: The part of the capacity that is left for these accounts.
    """
    ordered = sorted(wants, key=lambda want: want.level)
    return tuple(
        _fill([want for want in ordered if want.size[index]], index, free[index])
        if capacity[index]
        else UNLIMITED_LEVEL
        for index in DIMENSIONS
    )


def find_level(levels: Sequence[float], want: Want) -> float:
    """Return the lowest of the levels in the dimensions that an account wants."""
    return min(levels[index] for index in DIMENSIONS if want.size[index])


def _fill(ordered: Sequence[Want], index: int, free: int) -> float:
    """Return the level at which one dimension is used up.

    :param ordered: The accounts that want it, by level.
    """
    if sum(want.size[index] for want in ordered) <= max(free, 0):
        return UNLIMITED_LEVEL
    left = float(max(free, 0))
    # What one unit of the level adds for the accounts that are not satisfied yet. That
    # of the last account is a lower bound, which rounding must not pass.
    least = ordered[-1].size[index] / ordered[-1].level
    slope = sum(want.size[index] / want.level for want in ordered)
    for want in ordered:
        level = max(0.0, left) / slope
        if level <= want.level:
            return level
        left -= want.size[index]
        slope = max(least, slope - want.size[index] / want.level)
    return ordered[-1].level
