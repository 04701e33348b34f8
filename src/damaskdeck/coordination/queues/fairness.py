"""Fairness between teams by dominant resource, weighted."""

from damaskdeck.protocol.sizes import Size
from damaskdeck.state.quotas import Quotas


def compute_dominant_share(use: Size, capacity: Size) -> float:
    """Return the greatest share that ``use`` takes of ``capacity``.

    A dimension of which there is no capacity doesn't count.
    """
    return max(
        amount / whole if whole else 0.0
        for amount, whole in zip(use, capacity, strict=True)
    )


class FairShares:
    """Ranks teams: who has least of what it is due goes first.

    :param quotas: the use and the weight of each team.
    """

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._known: dict[str, tuple[Size, float, Size, float]] = {}

    def compute_share(self, team: str) -> float:
        """Return the dominant share of ``team``, divided by its weight."""
        use, weight = self._quotas.get_usage(team)
        capacity = self._quotas.capacity
        known = self._known.get(team)
        if known and known[0] is use and known[1] == weight and known[2] is capacity:
            return known[3]
        share = compute_dominant_share(use, capacity) / weight
        self._known[team] = (use, weight, capacity, share)
        return share
