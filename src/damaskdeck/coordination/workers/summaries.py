"""Summaries of owners' workers, bounded in size, and the choice of an owner by them.

A ledger owner doesn't see the workers. It chooses an owner whose summary has free
capacity, sends the request, and deducts it from its copy of the summary until
the next one arrives.
"""

import math
import random
from collections.abc import Iterable, Iterator
from datetime import timedelta
from itertools import islice
from typing import NamedTuple

from damaskdeck.coordination.places.preemption import RANKS, may_preempt
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, fits, subtract_sizes
from damaskdeck.protocol.summaries import ClassSummary, WorkerSummary
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccount, WorkerAccounts

# Topic of the reports that members attach to their heartbeats.
TOPIC = "workers"
_SLICE_LIMIT = 16
# A summary of this age has 1/e of the weight of a fresh one.
_AGE_DECAY_TIME = timedelta(seconds=2)
# Number of owners to draw; of these, the one that the task fits tightest is asked.
_DRAW_COUNT = 3
# Number of owners to consider first; all of them if none of these has capacity.
_SAMPLE_SIZE = 9


def summarize_workers(accounts: WorkerAccounts, zone: str) -> WorkerSummary:
    """Summarize the open workers of an owner; at most about 1 KiB when encoded."""
    open_accounts = [
        account for account in accounts.workers.values() if not account.closed
    ]
    parts = [
        [a for a in open_accounts if not a.size[2]],
        [a for a in open_accounts if a.size[2]],
    ]
    return WorkerSummary(
        zone=zone,
        classes=[_summarize_class(part) for part in parts],
        preemptible=[list(size) for size in _sum_preemptible(open_accounts)],
    )


def _summarize_class(accounts: list[WorkerAccount]) -> ClassSummary:
    free = ZERO_SIZE
    for account in accounts:
        free = add_sizes(free, account.free)
    return ClassSummary(
        workers=len(accounts),
        free=list(free),
        slices=[list(size) for size in _choose_slices(accounts)],
        largest=[max((a.size[i] for a in accounts), default=0) for i in range(3)],
    )


def _choose_slices(accounts: list[WorkerAccount]) -> list[Size]:
    """Return the largest free capacities, alternating between the dimensions."""
    orders = [
        sorted(accounts, key=lambda account: account.free[index], reverse=True)
        for index in range(3)
    ]
    chosen: dict[str, Size] = {}
    for rank in range(len(accounts)):
        for order in orders:
            chosen[order[rank].name] = order[rank].free
        if len(chosen) >= _SLICE_LIMIT:
            break
    return list(chosen.values())[:_SLICE_LIMIT]


def _sum_preemptible(accounts: Iterable[WorkerAccount]) -> Iterator[Size]:
    """Yield what each urgency class could preempt, the most urgent first."""
    sums: dict[tuple[Urgency, bool], list[int]] = {}
    for account in accounts:
        for reservation in account.reservations.values():
            need = reservation.need
            if need.checkpoint or need.idempotent:
                key = need.urgency, need.checkpoint
                total = sums.setdefault(key, [0, 0, 0])
                for index, amount in enumerate(need.size):
                    total[index] += amount
    for urgency in Urgency:
        preemptor = TaskNeed("", ZERO_SIZE, urgency=urgency)
        preemptible = ZERO_SIZE
        for (victim_urgency, checkpoint), total in sums.items():
            victim = TaskNeed("", ZERO_SIZE, "", victim_urgency, True, checkpoint)
            if may_preempt(preemptor, victim):
                preemptible = add_sizes(preemptible, Size(*total))
        yield preemptible


class OwnerView:
    """A ledger owner's copy of a summary, less what was requested since.

    :param received: monotonic time when the summary arrived.
    """

    __slots__ = ("classes", "largest", "name", "preemptible", "received", "zone")

    def __init__(self, name: str, summary: WorkerSummary, received: timedelta) -> None:
        self.name = name
        self.zone = summary["zone"]
        self.received = received
        self.preemptible = [Size(*size) for size in summary["preemptible"]]
        self.classes = [
            [Size(*size) for size in part["slices"]] for part in summary["classes"]
        ]
        self.largest = [Size(*part["largest"]) for part in summary["classes"]]

    def could_hold(self, need: TaskNeed) -> bool:
        """Return whether the owner's workers could hold ``need`` when empty."""
        return any(fits(need.size, size) for size in self.largest)

    def find_tightest(self, need: TaskNeed) -> tuple[int, int] | None:
        """Return class and index of the smallest slice that holds ``need``, if any."""
        for index in (1,) if need.size[2] else (0, 1):
            slices = self.classes[index]
            fitting = [i for i, size in enumerate(slices) if fits(need.size, size)]
            if fitting:
                return index, min(fitting, key=slices.__getitem__)
        return None

    def count_fitting(self, need: TaskNeed) -> int:
        """Count the slices that hold ``need``."""
        return sum(fits(need.size, size) for part in self.classes for size in part)

    def deduct(self, need: TaskNeed) -> None:
        """Deduct ``need`` from the slice that it fits tightest."""
        found = self.find_tightest(need)
        if found is not None:
            slices = self.classes[found[0]]
            slices[found[1]] = subtract_sizes(slices[found[1]], need.size)

    def record_refusal(self, need: TaskNeed) -> None:
        """Remove the slices that hold ``need``, as the summary was wrong."""
        self.classes = [
            [size for size in part if not fits(need.size, size)]
            for part in self.classes
        ]


class OwnerChoice(NamedTuple):
    """An owner that may be asked.

    :param is_accelerated: whether only workers with accelerators have capacity.
    :param millicores_left: what would be left of its tightest slice.
    """

    view: OwnerView
    is_accelerated: bool
    millicores_left: int


def choose_owner(
    views: Iterable[OwnerView], need: TaskNeed, rng: random.Random, now: timedelta
) -> OwnerView | None:
    """Return an owner to ask for ``need``; ``None`` when no summary has capacity.

    A few owners are drawn, weighted by how many of their slices hold the task and by
    how recent their summaries are, so that ledger owners don't all ask the same one.
    Of these, the one that the task fits tightest is returned.
    """
    allowed = [view for view in views if not need.zones or view.zone in need.zones]
    if len(allowed) > _SAMPLE_SIZE:
        choices, weights = _list_choices(rng.sample(allowed, _SAMPLE_SIZE), need, now)
        if choices:
            return _draw(choices, weights, need, rng)
    choices, weights = _list_choices(allowed, need, now)
    return _draw(choices, weights, need, rng) if choices else None


def _list_choices(
    views: Iterable[OwnerView], need: TaskNeed, now: timedelta
) -> tuple[list[OwnerChoice], list[float]]:
    choices, weights = [], []
    for view in views:
        found = view.find_tightest(need)
        if found is None:
            continue
        millicores_left = view.classes[found[0]][found[1]][0] - need.size[0]
        choices.append(
            OwnerChoice(view, found[0] == 1 and not need.size[2], millicores_left)
        )
        weights.append(view.count_fitting(need) * _weigh_age(view, now))
    return choices, weights


def _draw(
    choices: list[OwnerChoice], weights: list[float], need: TaskNeed, rng: random.Random
) -> OwnerView:
    drawn = rng.choices(choices, weights, k=_DRAW_COUNT)
    best = min(
        drawn,
        key=lambda c: (
            c.is_accelerated,
            _is_outside_preferred_zones(c, need),
            c.millicores_left,
        ),
    )
    return best.view


def list_preemptible(
    views: Iterable[OwnerView], need: TaskNeed, rng: random.Random, limit: int
) -> list[OwnerView]:
    """List owners that could preempt tasks for ``need``, in random order."""
    rank = RANKS[need.urgency]
    found = [
        view
        for view in views
        if (not need.zones or view.zone in need.zones)
        and fits(need.size, view.preemptible[rank])
    ]
    rng.shuffle(found)
    return list(islice(found, limit))


def _is_outside_preferred_zones(choice: OwnerChoice, need: TaskNeed) -> bool:
    return bool(need.near) and choice.view.zone not in need.near


def _weigh_age(view: OwnerView, now: timedelta) -> float:
    return math.exp(-max(now - view.received, timedelta()) / _AGE_DECAY_TIME)
