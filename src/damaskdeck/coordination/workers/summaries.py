"""Bounded summaries of owners' workers, and the choice of an owner by them.

A ledger's keeper doesn't see the workers. It picks an owner whose summary has
room, asks it, and takes what it asked for off its copy of the summary until
the next one comes.
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
_SLICES = 16
# A summary of this age counts for 1/e of a fresh one.
_TRUST_TIME = timedelta(seconds=2)
# So many owners are drawn; the one that the task fits tightest is asked.
_DRAWN = 3
# So many owners are looked at first; all of them when none of these has room.
_SAMPLED = 9


def summarize_workers(accounts: WorkerAccounts, zone: str) -> WorkerSummary:
    """Summarize the open workers of an owner; about 1 KiB when encoded at most."""
    opened = [account for account in accounts.workers.values() if not account.closed]
    parts = [[a for a in opened if not a.size[2]], [a for a in opened if a.size[2]]]
    return WorkerSummary(
        zone=zone,
        classes=[_summarize_class(part) for part in parts],
        preemptible=[list(size) for size in _sum_preemptible(opened)],
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
    """Choose the workers with most free, in turn by each dimension."""
    orders = [
        sorted(accounts, key=lambda account: account.free[index], reverse=True)
        for index in range(3)
    ]
    chosen: dict[str, Size] = {}
    for rank in range(len(accounts)):
        for order in orders:
            chosen[order[rank].name] = order[rank].free
        if len(chosen) >= _SLICES:
            break
    return list(chosen.values())[:_SLICES]


def _sum_preemptible(accounts: Iterable[WorkerAccount]) -> Iterator[Size]:
    """Yield what each class of urgency could clear, the most urgent first."""
    sums: dict[tuple[Urgency, bool], list[int]] = {}
    for account in accounts:
        for held in account.reservations.values():
            running = held.need
            if running.checkpoint or running.idempotent:
                key = running.urgency, running.checkpoint
                total = sums.setdefault(key, [0, 0, 0])
                for index, amount in enumerate(running.size):
                    total[index] += amount
    for urgency in Urgency:
        taker = TaskNeed("", ZERO_SIZE, urgency=urgency)
        cleared = ZERO_SIZE
        for (held_urgency, checkpoint), total in sums.items():
            victim = TaskNeed("", ZERO_SIZE, "", held_urgency, True, checkpoint)
            if may_preempt(taker, victim):
                cleared = add_sizes(cleared, Size(*total))
        yield cleared


class OwnerView:
    """A keeper's copy of an owner's summary, less what it asked for since.

    :param received: monotonic time when the summary came.
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

    def is_able(self, need: TaskNeed) -> bool:
        """Tell whether the owner's workers may hold ``need`` when empty."""
        return any(fits(need.size, size) for size in self.largest)

    def find_tightest(self, need: TaskNeed) -> tuple[int, int] | None:
        """Return class and place of the smallest slice that holds ``need``."""
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
        """Take what was asked for off the tightest slice."""
        found = self.find_tightest(need)
        if found is not None:
            slices = self.classes[found[0]]
            slices[found[1]] = subtract_sizes(slices[found[1]], need.size)

    def record_refusal(self, need: TaskNeed) -> None:
        """Forget the slices that hold ``need``: the summary was wrong."""
        self.classes = [
            [size for size in part if not fits(need.size, size)]
            for part in self.classes
        ]


class Choice(NamedTuple):
    """An owner worth asking.

    :param is_accelerated: whether only workers with accelerators have room.
    :param rest: what its tightest slice would have left, in millicores.
    """

    view: OwnerView
    is_accelerated: bool
    rest: int


def choose_owner(
    views: Iterable[OwnerView], need: TaskNeed, rng: random.Random, now: timedelta
) -> OwnerView | None:
    """Pick an owner to ask for ``need``; ``None`` when no summary has room.

    A few owners are drawn by how many of their slices hold the task and how
    fresh their summaries are, so that keepers don't all ask the same one; the
    one that it fits tightest is taken.
    """
    allowed = [view for view in views if not need.zones or view.zone in need.zones]
    if len(allowed) > _SAMPLED:
        choices, weights = _list_choices(rng.sample(allowed, _SAMPLED), need, now)
        if choices:
            return _draw(choices, weights, need, rng)
    choices, weights = _list_choices(allowed, need, now)
    return _draw(choices, weights, need, rng) if choices else None


def _list_choices(
    views: Iterable[OwnerView], need: TaskNeed, now: timedelta
) -> tuple[list[Choice], list[float]]:
    choices, weights = [], []
    for view in views:
        found = view.find_tightest(need)
        if found is None:
            continue
        rest = view.classes[found[0]][found[1]][0] - need.size[0]
        choices.append(Choice(view, found[0] == 1 and not need.size[2], rest))
        weights.append(view.count_fitting(need) * _weigh_age(view, now))
    return choices, weights


def _draw(
    choices: list[Choice], weights: list[float], need: TaskNeed, rng: random.Random
) -> OwnerView:
    drawn = rng.choices(choices, weights, k=_DRAWN)
    best = min(drawn, key=lambda c: (c.is_accelerated, _is_far(c, need), c.rest))
    return best.view


def list_preemptible(
    views: Iterable[OwnerView], need: TaskNeed, rng: random.Random, limit: int
) -> list[OwnerView]:
    """List owners that may clear room for ``need``, in random order."""
    rank = RANKS[need.urgency]
    found = [
        view
        for view in views
        if (not need.zones or view.zone in need.zones)
        and fits(need.size, view.preemptible[rank])
    ]
    rng.shuffle(found)
    return list(islice(found, limit))


def _is_far(choice: Choice, need: TaskNeed) -> bool:
    return bool(need.near) and choice.view.zone not in need.near


def _weigh_age(view: OwnerView, now: timedelta) -> float:
    return math.exp(-max(now - view.received, timedelta()) / _TRUST_TIME)
