"""Placement: chooses a worker for a task among those that this daemon owns."""

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
    """The best worker for a task; nothing is reserved yet."""

    worker: str
    score: float


class Impossible(NamedTuple):
    """No worker of the fleet could ever hold the task.

    :param dimension: the dimension in which the task exceeds every worker.
    """

    dimension: str


class Placer:
    """Chooses workers by filters, then by weighted scores.

    :param accounts: the workers to choose from; an index subscribes to them.
    :param weights: weights by the name of a score, as in a declared policy.
    """

    def __init__(
        self, accounts: WorkerAccounts, weights: Mapping[str, float] = WEIGHTS
    ) -> None:
        self._accounts = accounts
        self._index = WorkerIndex(accounts)
        self._filters = [item.prepare for item in list_filters() if not item.is_indexed]
        self._extra_filters: dict[str, Prepare] = {}
        self.set_weights(weights)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights of the scores."""
        self._scores = select_scores(weights)
        self._include_accelerated = not weights.get("keep_accelerators")

    def add_filter(self, name: str, prepare: Prepare) -> None:
        """Add a filter to this placer only, for example one for claimed capacity."""
        self._extra_filters[name] = prepare

    def find_refusal(self, need: TaskNeed, account: WorkerAccount) -> str | None:
        """Return the name of the filter that refuses the worker now, if any."""
        refusal = find_refusal(need, account)
        if refusal not in (None, "fits"):
            return refusal
        for name, prepare in self._extra_filters.items():
            predicate = prepare(need)
            if predicate is not None and not predicate(account):
                return name
        return refusal

    def place(self, need: TaskNeed) -> Placed | InsufficientCapacity | Impossible:
        """Choose a worker for ``need``; the caller then reserves it.

        :returns: ``InsufficientCapacity`` if some worker could hold the task later.
            It names a dimension, a filter, or ``workers`` if there is no worker.
        """
        best = self._choose(need)
        if best is not None:
            return best
        dimension = self._index.find_impossible_dimension(need)
        if dimension is not None:
            count_refusal("placement", f"impossible_{dimension}")
            return Impossible(dimension)
        return InsufficientCapacity(self._find_lack(need))

    def _find_lack(self, need: TaskNeed) -> str:
        """Return the short dimension, or the filter that refuses a fitting worker."""
        for account in self._index.find_candidates(need, 1):
            refusal = self.find_refusal(need, account)
            if refusal is not None:
                return refusal
        return self._index.find_lacking_dimension(need)

    def _choose(self, need: TaskNeed) -> Placed | None:
        candidates = self._list_candidates(need)
        if not candidates:
            return None
        measure = prepare_measure(need, self._accounts, self._scores)
        scores = [measure(account) for account in candidates]
        best = max(scores)
        return Placed(candidates[scores.index(best)].name, best)

    def _list_candidates(self, need: TaskNeed) -> list[WorkerAccount]:
        limit = _SPREAD_CANDIDATES if need.group else _CANDIDATES
        predicates = []
        for prepare in (*self._filters, *self._extra_filters.values()):
            predicate = prepare(need)
            if predicate is not None:
                predicates.append(predicate)
        return self._index.find_candidates(
            need, limit, predicates, self._include_accelerated
        )
