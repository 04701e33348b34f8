"""Placement: chooses a worker for a task among those this daemon owns."""

from collections.abc import Mapping
from typing import NamedTuple

from damaskdeck.coordination.places.filters import Prepare, find_refusal, list_filters
from damaskdeck.coordination.places.index import WorkerIndex
from damaskdeck.coordination.places.scores import prepare_measure, select_scores
from damaskdeck.defaults import WEIGHTS
from damaskdeck.metrics import count_refusal
from damaskdeck.state.workeraccounts import (
    InsufficientCapacity,
    TaskNeed,
    WorkerAccount,
    WorkerAccounts,
)

_CANDIDATES = 8
_SPREAD_CANDIDATES = 12


class Placed(NamedTuple):
    """``worker`` is the best that can hold the task now; nothing is reserved yet."""

    worker: str
    score: float


class Impossible(NamedTuple):
    """No worker of the fleet could ever hold it; ``dimension`` is what fails."""

    dimension: str


class Placer:
    """Chooses workers by filters, then weighted scores.

    :param accounts: the workers to choose from; followed by an index.
    :param weights: by score's name, as in a declared policy.
    """

    def __init__(
        self, accounts: WorkerAccounts, weights: Mapping[str, float] = WEIGHTS
    ) -> None:
        self._accounts = accounts
        self._index = WorkerIndex(accounts)
        self._filters = [item.prepare for item in list_filters() if not item.is_indexed]
        self._added: dict[str, Prepare] = {}
        self.set_weights(weights)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Score by other weights from now on."""
        self._scores = select_scores(weights)
        self._mix_classes = not weights.get("keep_accelerators")

    def add_filter(self, name: str, prepare: Prepare) -> None:
        """Add a filter of this placer only, as one that keeps claimed room."""
        self._added[name] = prepare

    def find_refusal(self, need: TaskNeed, account: WorkerAccount) -> str | None:
        """Name the filter that keeps a task off a worker now, if any."""
        refusal = find_refusal(need, account)
        if refusal not in (None, "fits"):
            return refusal
        for name, prepare in self._added.items():
            predicate = prepare(need)
            if predicate is not None and not predicate(account):
                return name
        return refusal

    def place(self, need: TaskNeed) -> Placed | InsufficientCapacity | Impossible:
        """Choose a worker for ``need``; the caller then reserves it.

        :returns: ``InsufficientCapacity`` when some worker could hold it later; it
            names a dimension, a filter, or ``workers`` when there is none.
        """
        best = self._choose(need)
        if best is not None:
            return best
        dimension = self._index.find_impossible_dimension(need)
        if dimension is not None:
            count_refusal("placement", f"impossible_{dimension}")
            return Impossible(dimension)
        return InsufficientCapacity(self._name_lack(need))

    def _name_lack(self, need: TaskNeed) -> str:
        """Name what lacks, or the filter that refuses a worker with room."""
        for account in self._index.find_candidates(need, 1):
            refusal = self.find_refusal(need, account)
            if refusal is not None:
                return refusal
        return self._index.name_lack(need)

    def _choose(self, need: TaskNeed) -> Placed | None:
        candidates = self._list_candidates(need)
        if not candidates:
            return None
        measure = prepare_measure(need, self._accounts, self._scores)
        ratings = [measure(account) for account in candidates]
        best = max(ratings)
        return Placed(candidates[ratings.index(best)].name, best)

    def _list_candidates(self, need: TaskNeed) -> list[WorkerAccount]:
        limit = _SPREAD_CANDIDATES if need.group else _CANDIDATES
        predicates = []
        for prepare in (*self._filters, *self._added.values()):
            predicate = prepare(need)
            if predicate is not None:
                predicates.append(predicate)
        return self._index.find_candidates(need, limit, predicates, self._mix_classes)
