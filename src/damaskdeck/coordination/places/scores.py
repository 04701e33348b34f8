"""Scores: which of the workers that may take a task should; higher is better."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccount, WorkerAccounts

Measure = Callable[[WorkerAccount], float]
Prepare = Callable[[TaskNeed, WorkerAccounts], Measure | None]


class WeightedScore(NamedTuple):
    """A score with its weight in a policy."""

    weight: float
    prepare: Prepare


_scores: dict[str, Prepare] = {}


def score(name: str) -> Callable[[Prepare], Prepare]:
    """Register a score; its measures lie between 0 and 1.

    :param name: its key among the weights of a policy.
    """

    def register(prepare: Prepare) -> Prepare:
        if name in _scores:
            raise ValueError(f"score {name!r} is registered twice")
        _scores[name] = prepare
        return prepare

    return register


def select_scores(weights: Mapping[str, float]) -> list[WeightedScore]:
    """Select the scores that a policy gives a weight; unknown names are ignored."""
    return [
        WeightedScore(weight, _scores[name])
        for name, weight in weights.items()
        if weight and name in _scores
    ]


def prepare_measure(
    need: TaskNeed, accounts: WorkerAccounts, scores: Iterable[WeightedScore]
) -> Measure:
    """Prepare the weighted sum of the scores that speak about a need."""
    measures = []
    for weight, prepare in scores:
        measure = prepare(need, accounts)
        if measure is not None:
            measures.append((weight, measure))
    if len(measures) == 2:
        (weight_a, a), (weight_b, b) = measures
        return lambda account: weight_a * a(account) + weight_b * b(account)

    def add_up(account: WorkerAccount) -> float:
        total = 0.0
        for weight, measure in measures:
            total += weight * measure(account)
        return total

    return add_up


@score("best_fit")
def prepare_best_fit(need: TaskNeed, accounts: WorkerAccounts) -> Measure:
    """Prefer the worker that has least left over, as a share of its size."""
    millicores, memory, accelerators = need.size

    def measure(account: WorkerAccount) -> float:
        free, size = account.free, account.size
        rest = (free[0] - millicores) / (size[0] or 1)
        rest += (free[1] - memory) / (size[1] or 1)
        if size[2]:
            return 1 - (rest + (free[2] - accelerators) / size[2]) / 3
        return 1 - rest / 2

    return measure


@score("balance")
def prepare_balance(need: TaskNeed, accounts: WorkerAccounts) -> Measure:
    """Prefer the worker whose processors and memory then run out together."""
    millicores, memory, _ = need.size

    def measure(account: WorkerAccount) -> float:
        free, size = account.free, account.size
        rest = (free[0] - millicores) / (size[0] or 1)
        return 1 - abs(rest - (free[1] - memory) / (size[1] or 1))

    return measure


@score("keep_accelerators")
def prepare_keep_accelerators(
    need: TaskNeed, accounts: WorkerAccounts
) -> Measure | None:
    """Leave workers with accelerators to those who need them."""
    if need.size[2]:
        return None

    def measure(account: WorkerAccount) -> float:
        total = account.size[2]
        return 0.5 - 0.5 * account.free[2] / total if total else 1.0

    return measure


@score("spread")
def prepare_spread(need: TaskNeed, accounts: WorkerAccounts) -> Measure | None:
    """Spread a group over zones, then racks, then workers."""
    counts = accounts.count_group(need.group) if need.group else None
    if not counts:
        return None
    get = counts.get

    def measure(account: WorkerAccount) -> float:
        zone, rack, worker = account.places
        return (
            0.6 / (1 + get(zone, 0))
            + 0.3 / (1 + get(rack, 0))
            + 0.1 / (1 + get(worker, 0))
        )

    return measure


@score("affinity")
def prepare_affinity(need: TaskNeed, accounts: WorkerAccounts) -> Measure | None:
    """Prefer the zones named as near, as those of the task's data."""
    near = need.near
    if not near:
        return None
    return lambda account: float(account.instance.zone in near)
