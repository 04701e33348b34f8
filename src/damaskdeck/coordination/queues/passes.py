"""A pass over the queue, which decides the waiting job to try next."""

import heapq
import math
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

from damaskdeck.coordination.queues.blocks import Block
from damaskdeck.coordination.queues.queueing import CLASSES, RANKS, JobQueue
from damaskdeck.coordination.queues.waiting import Group, WaitingJob
from damaskdeck.protocol.sizes import Size

# Number of offers of one pass that may fail.
MAX_FAILED_OFFERS = 32
# Number of overdue offers in one turn that may fail before urgent jobs continue.
MAX_FAILED_OVERDUE_OFFERS = 8
# A group with its oldest job: the time of the job, its order among equal times,
# and the group.
_GroupHead = tuple[timedelta, int, Group]
FindTime = Callable[[WaitingJob], timedelta]
_UNLIMITED = (math.inf, math.inf, math.inf)


class Pass:
    """Offers waiting jobs in order until no other job may fit.

    Once every job that its quota allows has been offered, the claims of jobs that
    couldn't be placed are lent to others, because the capacity would otherwise be
    idle. For this, the queue is processed a second time, limited only by the
    capacity that exists.

    Each offer of :meth:`next` must be answered by :meth:`take`, :meth:`fail` or
    :meth:`skip` before the next call, unless the job was removed. The work is
    bounded by the jobs taken, ``max_failures`` and the groups whose shape may fit,
    not by the number of waiting jobs. Jobs that arrive during a pass may have to
    wait for the next one.

    :param queue: the queue; it can have only one pass at a time.
    :param max_failures: number of offers that may fail.
    :param max_overdue_failures: number of overdue offers in one turn that may fail
        if urgent jobs may be placed. Each of them is due before any found later,
        so the bound of :class:`JobQueue` on the jobs taken before an overdue job
        still holds.
    """

    def __init__(
        self,
        queue: JobQueue,
        max_failures: int = MAX_FAILED_OFFERS,
        max_overdue_failures: int = MAX_FAILED_OVERDUE_OFFERS,
    ) -> None:
        self._queue = queue
        self._failures_left = max_failures
        self._max_overdue_failures = max_overdue_failures
        self._overdue_failures = 0
        self._is_overdue = False
        self._offered_team = ""
        self._start_round(lend_claims=False)
        queue.expire_blocks()

    def next(self) -> WaitingJob | None:
        """Return the job to try next.

        Unless the job is a gang, the offer is for one of its tasks.
        """
        self._push_team()
        if self._failures_left <= 0:
            return None
        return self._choose() or self._choose_lent()

    def take(self, job: WaitingJob) -> None:
        """Record that ``job`` was placed."""
        self._queue.take(job.name, self._is_overdue)

    def fail(self, job: WaitingJob, reason: str) -> None:
        """Record that the shape of ``job`` can't be placed.

        :param reason: the reason for people to read, such as the short dimension.
        """
        self._record_failure()
        rank = RANKS[job.urgency]
        within_quota = self._queue.quotas.is_within(job.team, job.need, rank)
        block = Block(rank, within_quota, job.shape, reason)
        self._queue.blocks.add(block)

    def skip(self, job: WaitingJob, reason: str) -> None:
        """Record that this job can't be placed now, unlike others of its shape."""
        self._record_failure()
        self._queue.skip(job.name, reason)

    def _start_round(self, lend_claims: bool) -> None:
        """Start at the most urgent class.

        ``_refused_needs`` has, by team and class, the least amount of each dimension
        that the quota refused in this round.
        """
        self._lend_claims = lend_claims
        self._rank = -1
        self._teams: list[tuple[float, str]] = []
        self._groups: dict[str, list[Group]] = {}
        self._heads: dict[str, list[_GroupHead]] = {}
        self._overdue_heads: list[_GroupHead] | None = None
        self._open_groups: dict[int, list[Group]] = {}
        self._at_quota: dict[tuple[str, int], bool] = {}
        self._refused_needs: dict[tuple[str, int], tuple[float, ...]] = {}

    def _choose(self) -> WaitingJob | None:
        job = self._find_overdue() if self._is_overdue_turn() else None
        self._is_overdue = job is not None
        return job or self._find_next()

    def _is_overdue_turn(self) -> bool:
        """Return whether an overdue job goes first.

        The turn ends early after too many failures if urgent jobs wait.
        """
        if not self._queue.is_overdue_turn():
            return False
        if (
            self._overdue_failures < self._max_overdue_failures
            or not self._has_urgent()
        ):
            return True
        self._queue.end_overdue_turn()
        self._overdue_failures = 0
        return False

    def _has_urgent(self) -> bool:
        """Return whether the pass still has a job of the most urgent class."""
        if self._rank < 0:
            self._rank = 0
            self._enter_class()
        if self._rank > 0:
            return False
        return any(
            self._find_first(self._get_heads(team), _get_submitted)
            for _, team in self._teams
        )

    def _record_failure(self) -> None:
        self._failures_left -= 1
        self._overdue_failures += self._is_overdue

    def _choose_lent(self) -> WaitingJob | None:
        """Start the second round, which lends unused claims, and return its first job.

        :returns: ``None`` if it is already running or would not allow any other job.
        """
        if self._lend_claims or not any(self._queue.quotas.claims):
            return None
        if not self._refused_needs and not any(self._at_quota.values()):
            return None
        self._start_round(lend_claims=True)
        return self._choose()

    def _push_team(self) -> None:
        """Make the team of the last offer available again."""
        if self._offered_team:
            share = self._queue.shares.compute_share(self._offered_team)
            heapq.heappush(self._teams, (share, self._offered_team))
            self._offered_team = ""

    def _pop_team(self) -> str:
        """Remove and return the team with the lowest share.

        Shares may have grown since they were recorded.
        """
        while True:
            recorded, team = heapq.heappop(self._teams)
            share = self._queue.shares.compute_share(team)
            if share <= recorded:
                return team
            heapq.heappush(self._teams, (share, team))

    def _find_next(self) -> WaitingJob | None:
        while True:
            while self._teams:
                heads = self._get_heads(self._pop_team())
                job = self._find_first(heads, _get_submitted)
                if job is not None:
                    self._offered_team = job.team
                    return job
            if self._rank == len(CLASSES) - 1:
                return None
            self._rank += 1
            self._enter_class()

    def _enter_class(self) -> None:
        self._groups = {}
        self._heads = {}
        for group in self._list_groups(self._rank):
            self._groups.setdefault(group.team, []).append(group)
        compute_share = self._queue.shares.compute_share
        self._teams = [(compute_share(team), team) for team in self._groups]
        heapq.heapify(self._teams)

    def _get_heads(self, team: str) -> list[_GroupHead]:
        heads = self._heads.get(team)
        if heads is None:
            heads = self._heads[team] = _list_heads(self._groups[team], _get_submitted)
        return heads

    def _find_overdue(self) -> WaitingJob | None:
        """Return the job that has been overdue longest and may be placed now."""
        queue = self._queue
        if self._overdue_heads is None:
            groups = (
                g for rank in range(len(CLASSES)) for g in self._list_overdue(rank)
            )
            self._overdue_heads = _list_heads(groups, queue.find_due)
        job = self._find_first(self._overdue_heads, queue.find_due)
        return job if job and queue.is_overdue(job) else None

    def _list_overdue(self, rank: int) -> Iterator[Group]:
        """Yield the open groups of a class whose oldest job is overdue."""
        latest = self._queue.find_overdue_time(rank)
        for group in self._list_groups(rank):
            entry = group.heap.peek()
            if entry is not None and entry.job.submitted <= latest:
                yield group

    def _list_groups(self, rank: int) -> list[Group]:
        """Return the groups of a class that may fit and are not at their quota."""
        groups = self._open_groups.get(rank)
        if groups is None:
            groups = self._open_groups[rank] = [
                group
                for bucket in self._queue.list_open_buckets(rank)
                for team, group in bucket.groups.items()
                if not self._is_at_quota(team, rank)
            ]
        return groups

    def _is_at_quota(self, team: str, rank: int) -> bool:
        is_at_quota = self._at_quota.get((team, rank))
        if is_at_quota is None:
            is_at_quota = self._queue.is_at_quota(team, rank, self._lend_claims)
            self._at_quota[team, rank] = is_at_quota
        return is_at_quota

    def _find_first(
        self, heads: list[_GroupHead], find_time: FindTime
    ) -> WaitingJob | None:
        """Return the first job of a heap of groups that may be placed now.

        Each group is ordered by its oldest job at the time of the last check, so
        the entry is updated first if that job has changed.
        """
        while heads:
            _, order, group = heads[0]
            entry = group.heap.peek(self._queue.blocks.skipped)
            if entry is None:
                heapq.heappop(heads)
            elif entry.order != order:
                head = (find_time(entry.job), entry.order, group)
                heapq.heapreplace(heads, head)
            elif self._may_fit(group):
                return entry.job
            else:
                heapq.heappop(heads)
        return None

    def _may_fit(self, group: Group) -> bool:
        """Return whether neither the quota nor an earlier failure excludes a group."""
        team, need, rank = group.team, group.bucket.need, group.bucket.rank
        refused = self._refused_needs.get((team, rank), _UNLIMITED)
        if refused is not _UNLIMITED and any(map(_is_at_least, need, refused)):
            return False
        quotas = self._queue.quotas
        within_quota = quotas.is_within(team, need, rank)
        dimension = (
            None
            if within_quota
            else quotas.find_shortfall(team, need, rank, self._lend_claims)
        )
        if dimension is None:
            return not self._queue.is_closed(group.bucket, within_quota)
        index = Size._fields.index(dimension)
        limits = *refused[:index], need[index], *refused[index + 1 :]
        self._refused_needs[team, rank] = limits
        return False


def _list_heads(groups: Iterable[Group], find_time: FindTime) -> list[_GroupHead]:
    """Return a heap of the groups that have a job."""
    entries = ((group, group.heap.peek()) for group in groups)
    heads = [
        (find_time(entry.job), entry.order, group)
        for group, entry in entries
        if entry is not None
    ]
    heapq.heapify(heads)
    return heads


def _get_submitted(job: WaitingJob) -> timedelta:
    return job.submitted


def _is_at_least(need: int, limit: float) -> bool:
    return need >= limit
