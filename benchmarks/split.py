"""Placement that is split over owners, each of which sees its own workers only."""

import random
from collections.abc import Callable, Mapping
from datetime import timedelta

from benchmarks.policy import Policy
from benchmarks.replay import Cell
from damaskdeck.coordination.places.filters import Prepare
from damaskdeck.coordination.places.placement import Impossible, Placed, Placer
from damaskdeck.coordination.workers.summaries import (
    OwnerView,
    choose_owner,
    summarize_workers,
)
from damaskdeck.state.workeraccounts import (
    AccountHandler,
    InsufficientCapacity,
    TaskNeed,
    WorkerAccount,
    WorkerAccounts,
)

REPORT_INTERVAL = timedelta(milliseconds=500)
MAX_OWNERS_ASKED = 4


class OwnedAccounts:
    """The worker accounts that one owner sees."""

    def __init__(self, accounts: WorkerAccounts, names: tuple[str, ...]) -> None:
        self._accounts = accounts
        self._names = names
        self._owned_names = frozenset(names)

    @property
    def workers(self) -> Mapping[str, WorkerAccount]:
        """The accounts of the owner's workers, by name."""
        workers = self._accounts.workers
        return {name: workers[name] for name in self._names if name in workers}

    def subscribe(self, handler: AccountHandler) -> None:
        """Call ``handler`` for changes of the owner's workers."""

        def handle(account: WorkerAccount, is_present: bool) -> None:
            if account.name in self._owned_names:
                handler(account, is_present)

        self._accounts.subscribe(handle)

    def count_group(self, group: str) -> Mapping[str, int]:
        """Count a group's tasks on all workers, as a ledger owner knows them."""
        return self._accounts.count_group(group)


class SplitPlacer(Placer):
    """Chooses an owner by its summary, then calls the placer of that owner.

    :param owners: names of the workers of each owner.
    :ivar requests: number of placements requested from owners.
    :ivar refusals: number of those that failed.
    """

    def __init__(
        self,
        accounts: WorkerAccounts,
        weights: Mapping[str, float],
        owners: Mapping[str, tuple[str, ...]],
        read_clock: Callable[[], timedelta],
    ) -> None:
        super().__init__(accounts, weights)
        self._read_clock = read_clock
        self._rng = random.Random(1)
        self._accounts_by_owner = {
            name: OwnedAccounts(accounts, names) for name, names in owners.items()
        }
        self._placers = {
            name: Placer(owned, weights)
            for name, owned in self._accounts_by_owner.items()
        }
        self._views: dict[str, OwnerView] = {}
        self.requests = self.refusals = 0

    def add_filter(self, name: str, prepare: Prepare) -> None:
        """Add a filter to the placer of every owner."""
        super().add_filter(name, prepare)
        for placer in self._placers.values():
            placer.add_filter(name, prepare)

    def place(self, need: TaskNeed) -> Placed | InsufficientCapacity | Impossible:
        """Try a few owners, one after another."""
        now = self._read_clock()
        for _ in range(MAX_OWNERS_ASKED):
            view = choose_owner(self._read_views(now), need, self._rng, now)
            if view is None:
                break
            self.requests += 1
            outcome = self._placers[view.name].place(need)
            if isinstance(outcome, Placed):
                view.deduct(need)
                return outcome
            self.refusals += 1
            view.record_refusal(need)
        dimension = self._index.find_impossible_dimension(need)
        return Impossible(dimension) if dimension else InsufficientCapacity("summaries")

    def _read_views(self, now: timedelta) -> list[OwnerView]:
        """Refresh the summaries that are due; each owner reports at its own phase."""
        for number, (name, owned) in enumerate(self._accounts_by_owner.items()):
            view = self._views.get(name)
            if view is not None and now - view.received < REPORT_INTERVAL:
                continue
            phase = REPORT_INTERVAL * (number / len(self._accounts_by_owner))
            received = now - (now - phase) % REPORT_INTERVAL
            zone = next(iter(owned.workers.values())).instance.zone
            summary = summarize_workers(owned, zone)
            self._views[name] = OwnerView(name, summary, received)
        return list(self._views.values())


def make_split(cell: Cell, count: int = 27) -> Policy:
    """Make a policy with the workers of each zone split over several owners.

    :param count: number of owners in all zones together.
    """
    zones: dict[str, list[str]] = {}
    for worker in cell.mix.workers:
        zones.setdefault(worker.zone, []).append(worker.name)
    owners_per_zone = max(1, count // len(zones))
    owners = {
        f"{zone}-{part}": tuple(names[part::owners_per_zone])
        for zone, names in zones.items()
        for part in range(owners_per_zone)
        if names[part::owners_per_zone]
    }

    def make(accounts: WorkerAccounts, weights: Mapping[str, float]) -> SplitPlacer:
        return SplitPlacer(accounts, weights, owners, lambda: cell.now)

    return Policy(cell, make_placer=make)
