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

    def compute_share(self, team: str) -> float:
        """Return the dominant share of ``team``, divided by its weight."""
        state = self._quotas.read(team)
        return compute_dominant_share(state.use, self._quotas.capacity) / state.weight
