"""Waiting jobs, grouped by the properties that decide whether they fit."""

import heapq
from collections.abc import Set
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.quotas import scale_size

# A heap is rebuilt once its dead entries outnumber the live ones by more than this.
_DEAD_ENTRY_ALLOWANCE = 8


class Shape(NamedTuple):
    """The properties that decide whether a job fits.

    Jobs of the same shape fit on the same workers.

    :param size: the size of one task.
    :param tasks: number of tasks placed at once: all of a gang, else 1.
    :param constraint: anything else that placement depends on, such as the allowed
        availability zones.
    """

    size: Size
    tasks: int = 1
    constraint: str = ""


class WaitingJob(NamedTuple):
    """A job with the tasks that still wait for capacity.

    :param size: the size of one task.
    :param submitted: monotonic time of submission, also of a job that was put back.
    :param tasks: number of waiting tasks.
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
        """Number of tasks that are placed at once."""
        return self.tasks if self.gang else 1

    @property
    def shape(self) -> Shape:
        """The shape of the tasks that are placed at once."""
        return Shape(self.size, self.offered, self.constraint)

    @property
    def need(self) -> Size:
        """The total size of the tasks that are placed at once."""
        return scale_size(self.size, self.offered)

    @property
    def demand(self) -> Size:
        """The total size of all waiting tasks."""
        return scale_size(self.size, self.tasks)


class Entry:
    """A job in the queue, which is no longer alive once it was taken or removed.

    :param order: increases with each push, to break ties between equal times.
    """

    __slots__ = ("alive", "group", "job", "order")

    def __init__(self, job: WaitingJob, order: int, group: "Group") -> None:
        self.job = job
        self.order = order
        self.group = group
        self.alive = True


class EntryHeap:
    """Entries in order of a time; dead ones are removed lazily, in bulk."""

    __slots__ = ("_items", "live_count")

    def __init__(self) -> None:
        self._items: list[tuple[timedelta, int, Entry]] = []
        self.live_count = 0

    def push(self, time: timedelta, entry: Entry) -> None:
        """Add an entry."""
        heapq.heappush(self._items, (time, entry.order, entry))
        self.live_count += 1

    def peek(self, skipped: Set[str] = frozenset()) -> Entry | None:
        """Return the first live entry.

        :param skipped: names of jobs to ignore.
        """
        items = self._items
        while items and not items[0][2].alive:
            heapq.heappop(items)
        if not items:
            return None
        if not skipped or items[0][2].job.name not in skipped:
            return items[0][2]
        return self._find_unskipped(skipped)

    def remove_one(self) -> int:
        """Record that one entry is no longer alive.

        :returns: the number of steps of work; amortized, 2 for each call.
        """
        self.live_count -= 1
        entry_count = len(self._items)
        if entry_count <= 2 * self.live_count + _DEAD_ENTRY_ALLOWANCE:
            return 1
        self._items = [item for item in self._items if item[2].alive]
        heapq.heapify(self._items)
        return entry_count

    def _find_unskipped(self, skipped: Set[str]) -> Entry | None:
        """Search the heap in order for an entry that is neither dead nor skipped."""
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
        """Return the jobs of all live entries in order."""
        return [item[2].job for item in sorted(self._items) if item[2].alive]


class Group:
    """Jobs of one class, team and shape, in order of submission."""

    __slots__ = ("heap", "bucket", "team")

    def __init__(self, bucket: "Bucket", team: str) -> None:
        self.bucket = bucket
        self.team = team
        self.heap = EntryHeap()


class Bucket:
    """The groups of one class and shape, by team.

    :param rank: rank of the class; 0 is the most urgent.
    :param need: total size of the tasks that each job places at once.
    :ivar closed_within: generation of the failures of which one covers the bucket.
    :ivar closed_above: the same for teams that would exceed their quota.
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
    """Number of waiting jobs of a team, and a lower bound of their needs."""

    __slots__ = ("count", "least")

    def __init__(self) -> None:
        self.count = 0
        self.least = Size()

    def add(self, need: Size) -> None:
        """Count a job."""
        self.least = Size(*map(min, self.least, need)) if self.count else need
        self.count += 1

    def drop(self) -> bool:
        """Remove one job from the count; return whether it was the last."""
        self.count -= 1
        return not self.count
