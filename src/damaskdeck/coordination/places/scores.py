"""Scores, which rank the workers that may run a task; higher is better."""

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


def register_score(name: str) -> Callable[[Prepare], Prepare]:
    """Register a score whose measures return values between 0 and 1.

    :param name: the key of its weight in a policy.
    :raises ValueError: if the name is already registered.
    """

    def register(prepare: Prepare) -> Prepare:
        if name in _scores:
            raise ValueError(f"score {name!r} is registered twice")
        _scores[name] = prepare
        return prepare

    return register


def select_scores(weights: Mapping[str, float]) -> list[WeightedScore]:
    """Return the scores with a nonzero weight; unknown names are ignored."""
    return [
        WeightedScore(weight, _scores[name])
        for name, weight in weights.items()
        if weight and name in _scores
    ]


def prepare_measure(
    need: TaskNeed, accounts: WorkerAccounts, scores: Iterable[WeightedScore]
) -> Measure:
    """Return a function for the weighted sum of the scores that apply to a need."""
    measures = []
    for weight, prepare in scores:
        measure = prepare(need, accounts)
        if measure is not None:
            measures.append((weight, measure))
    if len(measures) == 2:
        (weight_a, a), (weight_b, b) = measures
        return lambda account: weight_a * a(account) + weight_b * b(account)

    def compute_sum(account: WorkerAccount) -> float:
        total = 0.0
        for weight, measure in measures:
            total += weight * measure(account)
        return total

    return compute_sum


@register_score("best_fit")
def prepare_best_fit(need: TaskNeed, accounts: WorkerAccounts) -> Measure:
    """Prefer the worker with the least capacity left, relative to its size."""
    millicores, memory, accelerators = need.size

    def measure(account: WorkerAccount) -> float:
        free, size = account.free, account.size
        remaining = (free[0] - millicores) / (size[0] or 1)
        remaining += (free[1] - memory) / (size[1] or 1)
        if size[2]:
            return 1 - (remaining + (free[2] - accelerators) / size[2]) / 3
        return 1 - remaining / 2

    return measure


@register_score("balance")
def prepare_balance(need: TaskNeed, accounts: WorkerAccounts) -> Measure:
    """Prefer the worker whose processors and memory are then equally used."""
    millicores, memory, _ = need.size

    def measure(account: WorkerAccount) -> float:
        free, size = account.free, account.size
        remaining = (free[0] - millicores) / (size[0] or 1)
        return 1 - abs(remaining - (free[1] - memory) / (size[1] or 1))

    return measure


@register_score("keep_accelerators")
def prepare_keep_accelerators(
    need: TaskNeed, accounts: WorkerAccounts
) -> Measure | None:
    """Reserve workers with accelerators for the tasks that need them."""
    if need.size[2]:
        return None

    def measure(account: WorkerAccount) -> float:
        total = account.size[2]
        return 0.5 - 0.5 * account.free[2] / total if total else 1.0

    return measure


@register_score("spread")
def prepare_spread(need: TaskNeed, accounts: WorkerAccounts) -> Measure | None:
    """Spread a group over availability zones, then racks, then workers."""
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


@register_score("affinity")
def prepare_affinity(need: TaskNeed, accounts: WorkerAccounts) -> Measure | None:
    """Prefer the availability zones in ``near``, such as those of the data."""
    near = need.near
    if not near:
        return None
    return lambda account: float(account.instance.zone in near)
