"""Waiting jobs, grouped by what decides whether they fit."""

import heapq
from collections.abc import Set
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.quotas import scale_size

# Dead entries that a heap keeps before it is worth cleaning up.
_SLACK = 8


class Shape(NamedTuple):
    """What decides whether a job fits: where one fits, so does another.

    :param size: of one task.
    :param tasks: tasks placed at once: all of a gang's, else 1.
    :param constraint: whatever else placement looks at, as the zones allowed.
    """

    size: Size
    tasks: int = 1
    constraint: str = ""


class WaitingJob(NamedTuple):
    """A job, or what is left of it, that waits for room.

    :param size: of one task.
    :param submitted: monotonic time; a job put back keeps its own.
    :param tasks: how many tasks wait.
    :param gang: whether all of them must start at once.
    :param constraint: see :class:`Shape`.
    """

    name: str
    team: str
    urgency: Urgency
    size: Size
    submitted: timedelta
    tasks: int = 1
    gang: bool = False
    constraint: str = ""

    @property
    def offered(self) -> int:
        """How many tasks are placed at once."""
        return self.tasks if self.gang else 1

    @property
    def shape(self) -> Shape:
        """What is placed at once."""
        return Shape(self.size, self.offered, self.constraint)

    @property
    def need(self) -> Size:
        """What it uses more once it is placed the next time."""
        return scale_size(self.size, self.offered)

    @property
    def want(self) -> Size:
        """What all of its waiting tasks want together."""
        return scale_size(self.size, self.tasks)


class Entry:
    """A job in the queue; no longer alive once it was taken or removed.

    :param order: rises with each push; breaks ties of time.
    """

    __slots__ = ("alive", "group", "job", "order")

    def __init__(self, job: WaitingJob, order: int, group: "Group") -> None:
        self.job = job
        self.order = order
        self.group = group
        self.alive = True


class EntryHeap:
    """Entries in order of a time; dead ones are dropped late, many at once."""

    __slots__ = ("_items", "live")

    def __init__(self) -> None:
        self._items: list[tuple[timedelta, int, Entry]] = []
        self.live = 0

    def push(self, time: timedelta, entry: Entry) -> None:
        """Add an entry."""
        heapq.heappush(self._items, (time, entry.order, entry))
        self.live += 1

    def peek(self, skipped: Set[str] = frozenset()) -> Entry | None:
        """Return the first living entry.

        :param skipped: names of jobs to look past.
        """
        items = self._items
        while items and not items[0][2].alive:
            heapq.heappop(items)
        if not items:
            return None
        if not skipped or items[0][2].job.name not in skipped:
            return items[0][2]
        return self._find_past(skipped)

    def discount(self) -> int:
        """Note that an entry died.

        :returns: steps of work done, 2 on average over many calls.
        """
        self.live -= 1
        held = len(self._items)
        if held <= 2 * self.live + _SLACK:
            return 1
        self._items = [item for item in self._items if item[2].alive]
        heapq.heapify(self._items)
        return held

    def _find_past(self, skipped: Set[str]) -> Entry | None:
        """Walk the heap in order, as far as entries are dead or skipped."""
        items = self._items
        frontier = [(items[0][:2], 0)]
        while frontier:
            _, index = heapq.heappop(frontier)
            entry = items[index][2]
            if entry.alive and entry.job.name not in skipped:
                return entry
            for child in range(2 * index + 1, min(2 * index + 3, len(items))):
                heapq.heappush(frontier, (items[child][:2], child))
        return None

    def list_jobs(self) -> list[WaitingJob]:
        """List the jobs of all living entries in order."""
        return [item[2].job for item in sorted(self._items) if item[2].alive]


class Group:
    """Jobs of one class, team and shape, in order of submission."""

    __slots__ = ("heap", "line", "team")

    def __init__(self, line: "Line", team: str) -> None:
        self.line = line
        self.team = team
        self.heap = EntryHeap()


class Line:
    """The groups of one class and shape, by team.

    :param rank: of the class; 0 is the most urgent.
    :param need: what the next offer of any of its jobs uses.
    :param closed_within: epoch of the failures of which one covers the line.
    :param closed_above: the same for teams that would be above their quota.
    """

    __slots__ = ("closed_above", "closed_within", "groups", "need", "rank", "shape")

    def __init__(self, rank: int, shape: Shape, need: Size) -> None:
        self.rank = rank
        self.shape = shape
        self.need = need
        self.groups: dict[str, Group] = {}
        self.closed_within = -1
        self.closed_above = -1


class TeamNeed:
    """How many jobs of a team wait, and a size that none of them is below."""

    __slots__ = ("count", "least")

    def __init__(self) -> None:
        self.count = 0
        self.least = Size()

    def add(self, need: Size) -> None:
        """Count a job."""
        self.least = Size(*map(min, self.least, need)) if self.count else need
        self.count += 1

    def drop(self) -> bool:
        """Count one job less; returns whether it was the last."""
        self.count -= 1
        return not self.count
