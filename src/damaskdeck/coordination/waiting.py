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

    __slots__ = ("alive", "group", "job", "order", "overdue")

    def __init__(self, job: WaitingJob, order: int, group: "Group") -> None:
        self.job = job
        self.order = order
        self.group = group
        self.alive = True
        self.overdue = False


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

    def peek(self, skipped: Set[str] = frozenset()) -> tuple[timedelta, Entry] | None:
        """Return the first living entry and its time.

        :param skipped: names of jobs to look past.
        """
        items = self._items
        while items and not items[0][2].alive:
            heapq.heappop(items)
        if not items:
            return None
        if not skipped or items[0][2].job.name not in skipped:
            return items[0][0], items[0][2]
        return self._find_past(skipped)

    def pop(self) -> None:
        """Drop the entry that :meth:`peek` returned; it stays alive."""
        heapq.heappop(self._items)
        self.live -= 1

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

    def _find_past(self, skipped: Set[str]) -> tuple[timedelta, Entry] | None:
        """Walk the heap in order, as far as entries are dead or skipped."""
        items = self._items
        frontier = [(items[0][:2], 0)]
        while frontier:
            _, index = heapq.heappop(frontier)
            time, _, entry = items[index]
            if entry.alive and entry.job.name not in skipped:
                return time, entry
            for child in range(2 * index + 1, min(2 * index + 3, len(items))):
                heapq.heappush(frontier, (items[child][:2], child))
        return None

    def list_jobs(self) -> list[WaitingJob]:
        """List the jobs of all living entries in order."""
        return [item[2].job for item in sorted(self._items) if item[2].alive]


class Group:
    """Jobs of one class, team and shape, in order of submission.

    :param rank: of the class; 0 is the most urgent.
    """

    __slots__ = ("heap", "rank", "shape", "team")

    def __init__(self, rank: int, team: str, shape: Shape) -> None:
        self.rank = rank
        self.team = team
        self.shape = shape
        self.heap = EntryHeap()
