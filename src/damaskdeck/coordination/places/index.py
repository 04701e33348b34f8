"""An index of workers by what they have free, so that best fit needs no scan.

Workers stand in cells of a grid: free processors by free memory, in steps of
about a quarter of an octave, one grid for each number of free accelerators. Bit
masks tell which cells are in use, so that the search for the tightest cells
costs the same whatever the number of workers.
"""

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import NamedTuple

from damaskdeck.coordination.places.filters import Predicate
from damaskdeck.protocol.sizes import Size, find_exceeded_dimension
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccount, WorkerAccounts

ANY_ZONE = ""
_CELL_SAMPLE = 4
_ROWS_AT_ONCE = 5
_RACK_SAMPLE = 2
_RACK_SCAN = 64
# A group's next task is offered workers of so many zones.
_SPREAD_ZONES = 2


class _Place(NamedTuple):
    zone: str
    is_accelerated: bool
    accelerators: int
    row: int
    column: int


class _Grid:
    """Workers with the same number of free accelerators."""

    __slots__ = ("cells", "columns", "rows")

    def __init__(self) -> None:
        self.cells: dict[tuple[int, int], dict[str, WorkerAccount]] = {}
        self.columns: dict[int, int] = {}
        self.rows = 0

    def add(self, row: int, column: int, account: WorkerAccount) -> None:
        cell = self.cells.get((row, column))
        if cell is None:
            cell = self.cells[row, column] = {}
            self.columns[row] = self.columns.get(row, 0) | 1 << column
            self.rows |= 1 << row
        cell[account.name] = account

    def remove(self, row: int, column: int, name: str) -> None:
        cell = self.cells[row, column]
        del cell[name]
        if cell:
            return
        del self.cells[row, column]
        self.columns[row] &= ~(1 << column)
        if not self.columns[row]:
            del self.columns[row]
            self.rows &= ~(1 << row)

    def iterate_cells(
        self, row: int, column: int, is_thorough: bool
    ) -> Iterator[tuple[int, int]]:
        """Yield cells from ``row`` and ``column`` on, the tightest of some rows first.

        :param is_thorough: whether to yield all cells, not only those of a row up
            to the first in which every worker has room.
        """
        rows = self.rows >> row << row
        while rows:
            found = []
            for _ in range(_ROWS_AT_ONCE):
                low = rows & -rows
                rows ^= low
                found += self._list_row(low.bit_length() - 1, row, column, is_thorough)
                if not rows:
                    break
            found.sort()
            for _, cell_row, cell_column in found:
                yield cell_row, cell_column

    def _list_row(
        self, at: int, row: int, column: int, is_thorough: bool
    ) -> list[tuple[int, int, int]]:
        found = []
        columns = self.columns[at] >> column << column
        while columns:
            low = columns & -columns
            columns ^= low
            cell_column = low.bit_length() - 1
            found.append((at + cell_column, at, cell_column))
            if at > row and cell_column > column and not is_thorough:
                break
        return found


class WorkerIndex:
    """The open workers of some accounts, by zone and free size.

    :param accounts: followed from now on.
    """

    def __init__(self, accounts: WorkerAccounts) -> None:
        self._grids: dict[str, tuple[dict[int, _Grid], dict[int, _Grid]]] = {}
        self._places: dict[str, _Place] = {}
        self._shapes: dict[tuple[str, Size], int] = {}
        self._shape_of: dict[str, tuple[str, Size]] = {}
        self._accounts = accounts
        accounts.subscribe(self._update)

    def find_candidates(
        self,
        need: TaskNeed,
        limit: int,
        predicates: Sequence[Predicate] = (),
        mix_classes: bool = False,
    ) -> list[WorkerAccount]:
        """List open workers that can hold ``need``, roughly the tightest first.

        :param limit: about how many workers to list of each class and zone.
        :param predicates: that workers must pass besides.
        :param mix_classes: for needs without accelerators, list workers that
            have some even when there are others.
        """
        found: list[WorkerAccount] = []
        found_zones = 0
        for zone in self._list_zones(need):
            classes = self._grids.get(zone)
            if classes is None:
                continue
            before = len(found)
            for is_accelerated in (True,) if need.size[2] else (False, True):
                found += self._search(classes[is_accelerated], need, limit, predicates)
                if len(found) > before and not mix_classes:
                    break
            found_zones += len(found) > before
            if found_zones == _SPREAD_ZONES:
                break
        return found

    def name_lack(self, need: TaskNeed) -> str:
        """Name a dimension that all open workers allowed to ``need`` lack."""
        lack = "accelerators" if need.size[2] else "workers"
        row = get_level(need.size[0])
        for zone in self._list_zones(need):
            for grids in self._grids.get(zone, ()):
                for accelerators, grid in grids.items():
                    if accelerators < need.size[2]:
                        continue
                    if grid.rows >> row:
                        return "memory"
                    if grid.rows:
                        lack = "millicores"
        return lack

    def find_impossible_dimension(self, need: TaskNeed) -> str | None:
        """Name the dimension for which no worker, even if empty, holds ``need``.

        :returns: ``None`` when some worker could, or when none is known.
        """
        shortfalls = []
        for zone, size in self._shapes:
            if need.zones and zone not in need.zones:
                continue
            shortfall = find_exceeded_dimension(need.size, size)
            if shortfall is None:
                return None
            shortfalls.append((size, shortfall))
        if not shortfalls:
            return "zone" if self._shapes else None
        for index, name in enumerate(Size._fields):
            if all(need.size[index] > size[index] for size, _ in shortfalls):
                return name
        return max(shortfalls)[1]

    def _list_zones(self, need: TaskNeed) -> Iterable[str]:
        """List zones to search, those that spread and affinity prefer first."""
        if not (need.zones or need.group or need.near):
            return (ANY_ZONE,)
        zones = need.zones or self._grids.keys() - {ANY_ZONE}
        counts = self._accounts.count_group(need.group)
        return sorted(
            zones, key=lambda zone: (zone not in need.near, counts.get(zone, 0), zone)
        )

    def _search(
        self,
        grids: dict[int, _Grid],
        need: TaskNeed,
        limit: int,
        predicates: Sequence[Predicate],
    ) -> list[WorkerAccount]:
        """List workers of one class; a group's from as many racks as possible."""
        if not need.group:
            return _search_cells(grids, need.size, limit, predicates, _CELL_SAMPLE)
        found = _search_cells(grids, need.size, _RACK_SCAN, predicates, None)
        return list(islice(_limit_racks(found), limit))

    def _update(self, account: WorkerAccount, is_present: bool) -> None:
        place = (
            self._choose_route(account) if is_present and not account.closed else None
        )
        former = self._places.get(account.name)
        if place != former:
            self._move(account, former, place)
        shape = self._shape_of.get(account.name)
        if not is_present or shape != (account.instance.zone, account.size):
            self._change_shape(account, is_present)

    def _choose_route(self, account: WorkerAccount) -> _Place:
        millicores, memory, accelerators = account.free
        return _Place(
            account.instance.zone,
            account.size[2] > 0,
            accelerators,
            get_level(millicores),
            get_level(memory),
        )

    def _move(
        self, account: WorkerAccount, former: _Place | None, place: _Place | None
    ) -> None:
        if former is not None:
            for zone in (ANY_ZONE, former.zone):
                grids = self._grids[zone][former.is_accelerated]
                grid = grids[former.accelerators]
                grid.remove(former.row, former.column, account.name)
                if not grid.rows:
                    del grids[former.accelerators]
            del self._places[account.name]
        if place is not None:
            for zone in (ANY_ZONE, place.zone):
                grids = self._grids.setdefault(zone, ({}, {}))[place.is_accelerated]
                grid = grids.setdefault(place.accelerators, _Grid())
                grid.add(place.row, place.column, account)
            self._places[account.name] = place

    def _change_shape(self, account: WorkerAccount, is_present: bool) -> None:
        former = self._shape_of.pop(account.name, None)
        if former is not None:
            self._shapes[former] -= 1
            if not self._shapes[former]:
                del self._shapes[former]
        if is_present:
            shape = (account.instance.zone, account.size)
            self._shapes[shape] = self._shapes.get(shape, 0) + 1
            self._shape_of[account.name] = shape


def _search_cells(
    grids: dict[int, _Grid],
    size: Size,
    limit: int,
    predicates: Sequence[Predicate],
    sample: int | None,
) -> list[WorkerAccount]:
    row, column = get_level(size[0]), get_level(size[1])
    found: list[WorkerAccount] = []
    # Filters seldom refuse all of the nearest cells; only then look at the rest.
    for is_thorough in (False, True) if predicates else (False,):
        for accelerators in sorted(grids):
            if accelerators < size[2]:
                continue
            grid = grids[accelerators]
            for cell in grid.iterate_cells(row, column, is_thorough):
                accounts = grid.cells[cell].values()
                if predicates or cell[0] == row or cell[1] == column:
                    found += islice(_pick(accounts, size, predicates), sample)
                else:
                    found += islice(accounts, sample)
                if len(found) >= limit:
                    return found
        if found:
            break
    return found


def _pick(
    accounts: Iterable[WorkerAccount], size: Size, predicates: Sequence[Predicate]
) -> Iterator[WorkerAccount]:
    millicores, memory, _ = size
    for account in accounts:
        free = account.free
        if free[0] < millicores or free[1] < memory:
            continue
        for predicate in predicates:
            if not predicate(account):
                break
        else:
            yield account


def _limit_racks(accounts: Iterable[WorkerAccount]) -> Iterator[WorkerAccount]:
    seen: dict[str, int] = {}
    for account in accounts:
        rack = account.instance.rack
        seen[rack] = seen.get(rack, 0) + 1
        if seen[rack] <= _RACK_SAMPLE:
            yield account


def get_level(amount: int) -> int:
    """Return the step of ``amount`` on a scale with four steps for each octave."""
    length = amount.bit_length()
    if length < 3:
        return amount
    return 4 * (length - 2) + (amount >> (length - 3) & 3)
