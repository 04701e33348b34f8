"""Placement: chooses a worker for a task among those this daemon owns."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from damaskdeck.coordination.filters import Prepare, find_refusal, list_filters
from damaskdeck.coordination.index import WorkerIndex
from damaskdeck.coordination.scores import prepare_scores, rate
from damaskdeck.defaults import WEIGHTS
from damaskdeck.metrics import count_refusal
from damaskdeck.state.accounts import Accounts, NoRoom, TaskNeed, WorkerAccount

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
        self, accounts: Accounts, weights: Mapping[str, float] = WEIGHTS
    ) -> None:
        self._accounts = accounts
        self._index = WorkerIndex(accounts)
        self._filters = [item.prepare for item in list_filters() if not item.is_indexed]
        self._added: dict[str, Prepare] = {}
        self.weights = dict(weights)

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

    def place(self, need: TaskNeed) -> Placed | NoRoom | Impossible:
        """Choose a worker for ``need``; the caller then reserves it.

        :returns: ``NoRoom`` when some worker could hold it later.
        """
        best = self._choose(need)
        if best is not None:
            return best
        dimension = self._index.name_impossible(need)
        if dimension is not None:
            count_refusal("placement", f"impossible_{dimension}")
            return Impossible(dimension)
        return NoRoom(self._index.name_lack(need))

    def _choose(self, need: TaskNeed) -> Placed | None:
        candidates = self._list_candidates(need)
        best = next(candidates, None)
        if best is None:
            return None
        measures = prepare_scores(need, self._accounts, self.weights)
        best_score = rate(best, measures)
        for account in candidates:
            value = rate(account, measures)
            if value > best_score:
                best, best_score = account, value
        return Placed(best.name, best_score)

    def _list_candidates(self, need: TaskNeed) -> Iterator[WorkerAccount]:
        limit = _SPREAD_CANDIDATES if need.group else _CANDIDATES
        predicates = [
            prepare(need) for prepare in (*self._filters, *self._added.values())
        ]
        return self._index.find_candidates(
            need,
            limit,
            [predicate for predicate in predicates if predicate is not None],
            not self.weights.get("keep_accelerators"),
        )
