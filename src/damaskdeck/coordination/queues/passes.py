"""A pass over the queue: which waiting job to try next."""

import heapq
import math
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

from damaskdeck.coordination.queues.blocks import Block
from damaskdeck.coordination.queues.queueing import CLASSES, RANKS, JobQueue
from damaskdeck.coordination.queues.waiting import Group, WaitingJob
from damaskdeck.protocol.sizes import Size

# How many offers of one pass may fail.
TRIES = 32
# How many overdue offers of one turn may fail before urgent work goes on.
OVERDUE_TRIES = 8
# A group's oldest job: its time, its order among equals, and the group.
_Head = tuple[timedelta, int, Group]
FindTime = Callable[[WaitingJob], timedelta]
_ENDLESS = (math.inf, math.inf, math.inf)


class Pass:
    """Offers waiting jobs in order until nothing more may fit.

    Once each job that its quota allows was offered, what is claimed by those
    that found no room is lent: it would stand idle. So all go over the queue a
    second time, now only kept from using more than there is.

    Answer each offer of :meth:`next` by one of :meth:`take`, :meth:`fail` and
    :meth:`skip` before the next call, unless the job was removed. Work is
    bounded by the jobs taken, ``tries`` and the groups whose shape may find
    room, not by the jobs waiting. Jobs that come during a pass may have to wait
    for the next one.

    :param queue: what is passed over; one pass at a time.
    :param tries: how many offers may fail.
    :param overdue_tries: how many overdue ones in a turn, if urgent work may be
        placed. Each is due before any that is found later, so the bound of
        :class:`JobQueue` on what is taken before an overdue job holds.
    """

    def __init__(
        self, queue: JobQueue, tries: int = TRIES, overdue_tries: int = OVERDUE_TRIES
    ) -> None:
        self._queue = queue
        self._tries = tries
        self._overdue_tries = overdue_tries
        self._vain = 0
        self._is_overdue = False
        self._offered_team = ""
        self._start(lends_claims=False)
        queue.expire_blocks()

    def next(self) -> WaitingJob | None:
        """Return the job to try now; for one that isn't a gang, one task of it."""
        self._push_team()
        if self._tries <= 0:
            return None
        return self._choose() or self._choose_lent()

    def take(self, job: WaitingJob) -> None:
        """Note that ``job`` was placed."""
        self._queue.take(job.name, self._is_overdue)

    def fail(self, job: WaitingJob, reason: str) -> None:
        """Note that there is no room for the shape of ``job``.

        :param reason: plain words, as the dimension that fails.
        """
        self._note_vain()
        rank = RANKS[job.urgency]
        within = self._queue.quotas.is_within(job.team, job.need, rank)
        block = Block(rank, within, job.shape, reason)
        self._queue.blocks.add(block)

    def skip(self, job: WaitingJob, reason: str) -> None:
        """Note that only this job can't be placed now; its likes may."""
        self._note_vain()
        self._queue.skip(job.name, reason)

    def _start(self, lends_claims: bool) -> None:
        """Begin with the most urgent class."""
        self._lends_claims = lends_claims
        self._rank = -1
        self._teams: list[tuple[float, str]] = []
        self._groups: dict[str, list[Group]] = {}
        self._heads: dict[str, list[_Head]] = {}
        self._late: list[_Head] | None = None
        self._open: dict[int, list[Group]] = {}
        self._at_quota: dict[tuple[str, int], bool] = {}
        self._short: dict[tuple[str, int], tuple[float, ...]] = {}

    def _choose(self) -> WaitingJob | None:
        job = self._find_overdue() if self._is_overdue_turn() else None
        self._is_overdue = job is not None
        return job or self._find_next()

    def _is_overdue_turn(self) -> bool:
        """Tell whether an overdue job goes first; enough in vain end its turn."""
        if not self._queue.is_overdue_turn():
            return False
        if self._vain < self._overdue_tries or not self._has_urgent():
            return True
        self._queue.end_overdue_turn()
        self._vain = 0
        return False

    def _has_urgent(self) -> bool:
        """Tell whether the pass still has a job of the most urgent class."""
        if self._rank < 0:
            self._rank = 0
            self._open_class()
        if self._rank > 0:
            return False
        return any(
            self._find_first(self._get_heads(team), _get_submitted)
            for _, team in self._teams
        )

    def _note_vain(self) -> None:
        self._tries -= 1
        self._vain += self._is_overdue

    def _choose_lent(self) -> WaitingJob | None:
        """Return the next job when claims that found no room are lent."""
        if self._lends_claims or not any(self._queue.quotas.claims):
            return None
        if not self._short and not any(self._at_quota.values()):
            return None
        self._start(lends_claims=True)
        return self._choose()

    def _push_team(self) -> None:
        """Let the team of the last offer be chosen again."""
        if self._offered_team:
            share = self._queue.shares.compute_share(self._offered_team)
            heapq.heappush(self._teams, (share, self._offered_team))
            self._offered_team = ""

    def _pop_team(self) -> str:
        """Pop the team with the least share, which may have grown meanwhile."""
        while True:
            noted, team = heapq.heappop(self._teams)
            share = self._queue.shares.compute_share(team)
            if share <= noted:
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
            self._open_class()

    def _open_class(self) -> None:
        self._groups = {}
        self._heads = {}
        for group in self._list_groups(self._rank):
            self._groups.setdefault(group.team, []).append(group)
        compute_share = self._queue.shares.compute_share
        self._teams = [(compute_share(team), team) for team in self._groups]
        heapq.heapify(self._teams)

    def _get_heads(self, team: str) -> list[_Head]:
        heads = self._heads.get(team)
        if heads is None:
            heads = self._heads[team] = _list_heads(self._groups[team], _get_submitted)
        return heads

    def _find_overdue(self) -> WaitingJob | None:
        """Return the longest overdue job that may be placed now."""
        queue = self._queue
        if self._late is None:
            groups = (g for rank in range(len(CLASSES)) for g in self._list_late(rank))
            self._late = _list_heads(groups, queue.find_due)
        job = self._find_first(self._late, queue.find_due)
        return job if job and queue.is_overdue(job) else None

    def _list_late(self, rank: int) -> Iterator[Group]:
        """Yield the open groups of a class whose oldest job is overdue."""
        latest = self._queue.find_overdue_time(rank)
        for group in self._list_groups(rank):
            entry = group.heap.peek()
            if entry is not None and entry.job.submitted <= latest:
                yield group

    def _list_groups(self, rank: int) -> list[Group]:
        """List the groups of a class that neither room nor quota closes."""
        groups = self._open.get(rank)
        if groups is None:
            groups = self._open[rank] = [
                group
                for line in self._queue.list_open_lines(rank)
                for team, group in line.groups.items()
                if not self._is_at_quota(team, rank)
            ]
        return groups

    def _is_at_quota(self, team: str, rank: int) -> bool:
        is_at_quota = self._at_quota.get((team, rank))
        if is_at_quota is None:
            is_at_quota = self._queue.is_at_quota(team, rank, self._lends_claims)
            self._at_quota[team, rank] = is_at_quota
        return is_at_quota

    def _find_first(self, heads: list[_Head], find_time: FindTime) -> WaitingJob | None:
        """Return the first job of a heap of groups that may be placed now.

        A group stands there with its oldest job as it was when last looked at.
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
        """Tell whether neither the quota nor an earlier failure is in the way."""
        team, need, rank = group.team, group.line.need, group.line.rank
        short = self._short.get((team, rank), _ENDLESS)
        if short is not _ENDLESS and any(map(_reaches, need, short)):
            return False
        quotas = self._queue.quotas
        within = quotas.is_within(team, need, rank)
        dimension = (
            None
            if within
            else quotas.find_shortfall(team, need, rank, self._lends_claims)
        )
        if dimension is None:
            return not self._queue.is_closed(group.line, within)
        index = Size._fields.index(dimension)
        limits = *short[:index], need[index], *short[index + 1 :]
        self._short[team, rank] = limits
        return False


def _list_heads(groups: Iterable[Group], find_time: FindTime) -> list[_Head]:
    """Make a heap of the groups that have a job."""
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


def _reaches(need: int, limit: float) -> bool:
    return need >= limit
