"""Weighted dominant resource fairness between teams."""

from damaskdeck.protocol.sizes import Size
from damaskdeck.state.quotas import Quotas


def compute_dominant_share(use: Size, capacity: Size) -> float:
    """Return the largest share of ``capacity`` that ``use`` takes in any dimension.

    Dimensions without any capacity are ignored.
    """
    return max(
        amount / total if total else 0.0
        for amount, total in zip(use, capacity, strict=True)
    )


class FairShares:
    """Ranks teams by weighted dominant share; the lowest share goes first.

    :param quotas: provides the usage and the weight of each team.
    """

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._cache: dict[str, tuple[Size, float, Size, float]] = {}

    def compute_share(self, team: str) -> float:
        """Return the dominant share of ``team``, divided by its weight."""
        use, weight = self._quotas.get_usage(team)
        capacity = self._quotas.capacity
        cached = self._cache.get(team)
        if (
            cached
            and cached[0] is use
            and cached[1] == weight
            and cached[2] is capacity
        ):
            return cached[3]
        share = compute_dominant_share(use, capacity) / weight
        self._cache[team] = (use, weight, capacity, share)
        return share
