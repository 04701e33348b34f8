"""Filters, which decide whether a worker may run a task at all."""

from collections.abc import Callable
from typing import NamedTuple

from damaskdeck.protocol.sizes import fits
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccount

Predicate = Callable[[WorkerAccount], bool]
Prepare = Callable[[TaskNeed], Predicate | None]


class Filter(NamedTuple):
    """A registered filter.

    :param name: the code that a refusal by this filter carries.
    :param prepare: returns the predicate for a need, or ``None`` if the filter
        doesn't apply to it.
    :param is_indexed: whether the worker index yields only workers that pass.
    """

    name: str
    prepare: Prepare
    is_indexed: bool


_filters: dict[str, Filter] = {}


def register_filter(name: str, indexed: bool = False) -> Callable[[Prepare], Prepare]:
    """Register a filter under the code that its refusals carry.

    :raises ValueError: if the name is already registered.
    """

    def register(prepare: Prepare) -> Prepare:
        if name in _filters:
            raise ValueError(f"filter {name!r} is registered twice")
        _filters[name] = Filter(name, prepare, indexed)
        return prepare

    return register


def list_filters() -> tuple[Filter, ...]:
    """Return all filters in the order of their registration."""
    return tuple(_filters.values())


def find_refusal(need: TaskNeed, account: WorkerAccount) -> str | None:
    """Return the name of the first filter that refuses the worker."""
    for item in _filters.values():
        predicate = item.prepare(need)
        if predicate is not None and not predicate(account):
            return item.name
    return None


@register_filter("leaving", indexed=True)
def prepare_leaving(need: TaskNeed) -> Predicate | None:
    """Refuse workers that are leaving."""
    return lambda account: account.closed != "leaving"


@register_filter("quarantined", indexed=True)
def prepare_quarantined(need: TaskNeed) -> Predicate | None:
    """Refuse workers closed for any other reason, such as quarantine."""
    return lambda account: account.closed in ("", "leaving")


@register_filter("zone", indexed=True)
def prepare_zone(need: TaskNeed) -> Predicate | None:
    """Refuse workers outside the allowed availability zones."""
    zones = need.zones
    return (lambda account: account.instance.zone in zones) if zones else None


@register_filter("avoided")
def prepare_avoided(need: TaskNeed) -> Predicate | None:
    """Refuse workers on which the task has failed."""
    avoid = need.avoid
    return (lambda account: account.name not in avoid) if avoid else None


@register_filter("fits", indexed=True)
def prepare_fits(need: TaskNeed) -> Predicate | None:
    """Refuse workers without enough free capacity in some dimension."""
    size = need.size
    return lambda account: fits(size, account.free)
