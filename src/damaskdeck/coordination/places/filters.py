"""Filters: which workers may take a task at all."""

from collections.abc import Callable
from typing import NamedTuple

from damaskdeck.protocol.sizes import fits
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccount

Predicate = Callable[[WorkerAccount], bool]
Prepare = Callable[[TaskNeed], Predicate | None]


class Filter(NamedTuple):
    """A registered filter.

    :param prepare: returns the predicate for a need, or ``None`` when the
        filter has nothing to say about it.
    :param is_indexed: whether the index yields only workers that pass.
    """

    name: str
    prepare: Prepare
    is_indexed: bool


_filters: dict[str, Filter] = {}


def filter_(name: str, indexed: bool = False) -> Callable[[Prepare], Prepare]:
    """Register a filter under the code that a refusal by it carries."""

    def register(prepare: Prepare) -> Prepare:
        if name in _filters:
            raise ValueError(f"filter {name!r} is registered twice")
        _filters[name] = Filter(name, prepare, indexed)
        return prepare

    return register


def list_filters() -> tuple[Filter, ...]:
    """List all filters in the order in which they were registered."""
    return tuple(_filters.values())


def find_refusal(need: TaskNeed, account: WorkerAccount) -> str | None:
    """Return the name of the first filter that refuses the worker."""
    for item in _filters.values():
        predicate = item.prepare(need)
        if predicate is not None and not predicate(account):
            return item.name
    return None


@filter_("leaving", indexed=True)
def prepare_leaving(need: TaskNeed) -> Predicate | None:
    """Refuse workers that are leaving."""
    return lambda account: account.closed != "leaving"


@filter_("quarantined", indexed=True)
def prepare_quarantined(need: TaskNeed) -> Predicate | None:
    """Refuse workers closed for any other reason, as being quarantined."""
    return lambda account: account.closed in ("", "leaving")


@filter_("zone", indexed=True)
def prepare_zone(need: TaskNeed) -> Predicate | None:
    """Refuse workers outside the allowed availability zones."""
    zones = need.zones
    return (lambda account: account.instance.zone in zones) if zones else None


@filter_("avoided")
def prepare_avoided(need: TaskNeed) -> Predicate | None:
    """Refuse workers on which the task was seen failing."""
    avoid = need.avoid
    return (lambda account: account.name not in avoid) if avoid else None


@filter_("fits", indexed=True)
def prepare_fits(need: TaskNeed) -> Predicate | None:
    """Refuse workers without room in some dimension."""
    size = need.size
    return lambda account: fits(size, account.free)
