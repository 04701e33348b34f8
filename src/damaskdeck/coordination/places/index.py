"""An index of workers by free capacity, so that best fit needs no full scan.

Workers are stored in the cells of a grid, free processors by free memory, in
steps of about a quarter of an octave. There is one grid for each number of free
accelerators. Bit masks mark the cells in use, so the cost of finding the tightest
cells doesn't depend on the number of workers.
"""

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import NamedTuple

from damaskdeck.coordination.places.filters import Predicate
from damaskdeck.protocol.sizes import Size, find_exceeded_dimension
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccount, WorkerAccounts

ANY_ZONE = ""
_WORKERS_PER_CELL = 4
_ROWS_PER_BATCH = 5
_WORKERS_PER_RACK = 2
_RACK_SCAN_LIMIT = 64
# Number of availability zones considered for the next task of a group.
_SPREAD_ZONES = 2


class _GridPosition(NamedTuple):
    """The grid and the cell that hold a worker."""

    zone: str
    is_accelerated: bool
    accelerators: int
    row: int
    column: int


class _Grid:
    """Workers with the same number of free accelerators.

    :ivar cells: workers by row and column, that is by the levels of their free
        processors and memory.
    :ivar columns: by row, a bit mask of the columns in use.
    :ivar rows: a bit mask of the rows in use.
    """

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
        """Yield cells from ``row`` and ``column`` on, the tightest of a batch first.

        :param is_thorough: whether to yield all cells. Otherwise, each row ends
            with its first cell in which every worker has enough capacity.
        """
        rows = self.rows >> row << row
        while rows:
            found = []
            for _ in range(_ROWS_PER_BATCH):
                lowest = rows & -rows
                rows ^= lowest
                found += self._list_row(
                    lowest.bit_length() - 1, row, column, is_thorough
                )
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
            lowest = columns & -columns
            columns ^= lowest
            cell_column = lowest.bit_length() - 1
            found.append((at + cell_column, at, cell_column))
            if at > row and cell_column > column and not is_thorough:
                break
        return found


class WorkerIndex:
    """The open workers of some accounts, by availability zone and free capacity.

    :param accounts: the index subscribes to their changes.
    """

    def __init__(self, accounts: WorkerAccounts) -> None:
        self._grids: dict[str, tuple[dict[int, _Grid], dict[int, _Grid]]] = {}
        self._positions: dict[str, _GridPosition] = {}
        self._shape_counts: dict[tuple[str, Size], int] = {}
        self._worker_shapes: dict[str, tuple[str, Size]] = {}
        self._accounts = accounts
        accounts.subscribe(self._handle_account)

    def find_candidates(
        self,
        need: TaskNeed,
        limit: int,
        predicates: Sequence[Predicate] = (),
        include_accelerated: bool = False,
    ) -> list[WorkerAccount]:
        """Return open workers that can hold ``need``, roughly the tightest first.

        :param limit: approximate number of workers from each zone, separately for
            workers with and without accelerators.
        :param predicates: additional conditions that workers must meet.
        :param include_accelerated: for needs without accelerators, include workers
            with accelerators even if there are others.
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
                if len(found) > before and not include_accelerated:
                    break
            found_zones += len(found) > before
            if found_zones == _SPREAD_ZONES:
                break
        return found

    def find_lacking_dimension(self, need: TaskNeed) -> str:
        """Return a dimension that is short on all open workers allowed for ``need``."""
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
        """Return the dimension in which ``need`` exceeds every worker, even if empty.

        :returns: ``None`` if some worker could hold it or no worker is known.
        """
        shortfalls = []
        for zone, size in self._shape_counts:
            if need.zones and zone not in need.zones:
                continue
            shortfall = find_exceeded_dimension(need.size, size)
            if shortfall is None:
                return None
            shortfalls.append((size, shortfall))
        if not shortfalls:
            return "zone" if self._shape_counts else None
        for index, name in enumerate(Size._fields):
            if all(need.size[index] > size[index] for size, _ in shortfalls):
                return name
        return max(shortfalls)[1]

    def _list_zones(self, need: TaskNeed) -> Iterable[str]:
        """Return the zones to search, those preferred by affinity and spread first."""
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
        """Search workers with or without accelerators; for a group, over many racks."""
        if not need.group:
            return _search_cells(grids, need.size, limit, predicates, _WORKERS_PER_CELL)
        found = _search_cells(grids, need.size, _RACK_SCAN_LIMIT, predicates, None)
        return list(islice(_limit_racks(found), limit))

    def _handle_account(self, account: WorkerAccount, is_present: bool) -> None:
        position = (
            self._compute_position(account)
            if is_present and not account.closed
            else None
        )
        previous = self._positions.get(account.name)
        if position != previous:
            self._move_worker(account, previous, position)
        shape = self._worker_shapes.get(account.name)
        if not is_present or shape != (account.instance.zone, account.size):
            self._update_shape(account, is_present)

    def _compute_position(self, account: WorkerAccount) -> _GridPosition:
        millicores, memory, accelerators = account.free
        return _GridPosition(
            account.instance.zone,
            account.size[2] > 0,
            accelerators,
            get_level(millicores),
            get_level(memory),
        )

    def _move_worker(
        self,
        account: WorkerAccount,
        previous: _GridPosition | None,
        position: _GridPosition | None,
    ) -> None:
        if previous is not None:
            for zone in (ANY_ZONE, previous.zone):
                grids = self._grids[zone][previous.is_accelerated]
                grid = grids[previous.accelerators]
                grid.remove(previous.row, previous.column, account.name)
                if not grid.rows:
                    del grids[previous.accelerators]
            del self._positions[account.name]
        if position is not None:
            for zone in (ANY_ZONE, position.zone):
                grids = self._grids.setdefault(zone, ({}, {}))[position.is_accelerated]
                grid = grids.setdefault(position.accelerators, _Grid())
                grid.add(position.row, position.column, account)
            self._positions[account.name] = position

    def _update_shape(self, account: WorkerAccount, is_present: bool) -> None:
        previous = self._worker_shapes.pop(account.name, None)
        if previous is not None:
            self._shape_counts[previous] -= 1
            if not self._shape_counts[previous]:
                del self._shape_counts[previous]
        if is_present:
            shape = (account.instance.zone, account.size)
            self._shape_counts[shape] = self._shape_counts.get(shape, 0) + 1
            self._worker_shapes[account.name] = shape


def _search_cells(
    grids: dict[int, _Grid],
    size: Size,
    limit: int,
    predicates: Sequence[Predicate],
    cell_limit: int | None,
) -> list[WorkerAccount]:
    """Return workers that can hold ``size``, roughly the tightest first.

    :param cell_limit: maximum number of workers from one cell; ``None`` for all.
    """
    row, column = get_level(size[0]), get_level(size[1])
    found: list[WorkerAccount] = []
    # Filters rarely refuse all workers of the nearest cells. The other cells are
    # searched only in that case.
    for is_thorough in (False, True) if predicates else (False,):
        for accelerators in sorted(grids):
            if accelerators < size[2]:
                continue
            grid = grids[accelerators]
            for cell in grid.iterate_cells(row, column, is_thorough):
                accounts = grid.cells[cell].values()
                if predicates or cell[0] == row or cell[1] == column:
                    found += islice(
                        _select_fitting(accounts, size, predicates), cell_limit
                    )
                else:
                    found += islice(accounts, cell_limit)
                if len(found) >= limit:
                    return found
        if found:
            break
    return found


def _select_fitting(
    accounts: Iterable[WorkerAccount], size: Size, predicates: Sequence[Predicate]
) -> Iterator[WorkerAccount]:
    """Yield the workers with enough processors and memory that pass all predicates."""
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
    """Yield at most ``_WORKERS_PER_RACK`` workers of each rack."""
    counts: dict[str, int] = {}
    for account in accounts:
        rack = account.instance.rack
        counts[rack] = counts.get(rack, 0) + 1
        if counts[rack] <= _WORKERS_PER_RACK:
            yield account


def get_level(amount: int) -> int:
    """Return the level of ``amount`` on a scale with four levels for each octave."""
    length = amount.bit_length()
    if length < 3:
        return amount
    return 4 * (length - 2) + (amount >> (length - 3) & 3)
