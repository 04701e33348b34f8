"""A pass over the queue: which waiting job to try next."""

import heapq
from datetime import timedelta

from damaskdeck.coordination.blocks import Block
from damaskdeck.coordination.queueing import CLASSES, RANKS, JobQueue
from damaskdeck.coordination.waiting import Entry, Group, WaitingJob

# How many offers of one pass may fail.
TRIES = 32


class Pass:
    """Offers waiting jobs in order until nothing more may fit.

    Answer each offer of :meth:`next` by one of :meth:`take`, :meth:`fail` and
    :meth:`skip` before the next call, unless the job was removed. Work is
    bounded by the jobs taken, ``tries`` and the groups waiting, not by the jobs
    waiting.

    :param queue: what is passed over; one pass at a time.
    :param tries: how many offers may fail.
    """

    def __init__(self, queue: JobQueue, tries: int = TRIES) -> None:
        self._queue = queue
        self._tries = tries
        self._rank = -1
        self._teams: list[tuple[float, str]] = []
        self._late: list[tuple[timedelta, int, Group]] | None = None
        self._closed: set[Group] = set()
        self._is_overdue = False
        self._offered_team = ""
        queue.expire_blocks()

    def next(self) -> WaitingJob | None:
        """Return the job to try now; for one that isn't a gang, one task of it."""
        self._push_team()
        if self._tries <= 0:
            return None
        job = self._find_overdue() if self._queue.is_overdue_turn() else None
        self._is_overdue = job is not None
        return job or self._find_next()

    def take(self, job: WaitingJob) -> None:
        """Note that ``job`` was placed."""
        self._queue.take(job.name, self._is_overdue)

    def fail(self, job: WaitingJob, reason: str) -> None:
        """Note that there is no room for the shape of ``job``.

        :param reason: plain words, as the dimension that fails.
        """
        self._tries -= 1
        within = self._queue.quotas.is_within(job.team, job.need)
        block = Block(RANKS[job.urgency], within, job.shape, reason)
        self._queue.blocks.add(block)

    def skip(self, job: WaitingJob, reason: str) -> None:
        """Note that only this job can't be placed now; its likes may."""
        self._tries -= 1
        self._queue.skip(job.name, reason)

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
                job = self._find_job(self._pop_team())
                if job is not None:
                    self._offered_team = job.team
                    return job
            if self._rank == len(CLASSES) - 1:
                return None
            self._rank += 1
            self._open_class()

    def _open_class(self) -> None:
        compute_share = self._queue.shares.compute_share
        teams = self._queue.list_teams(self._rank)
        self._teams = [(compute_share(team), team) for team in teams]
        heapq.heapify(self._teams)

    def _find_job(self, team: str) -> WaitingJob | None:
        best: tuple[timedelta, int, WaitingJob] | None = None
        for group in self._queue.list_teams(self._rank).get(team, {}).values():
            entry = self._find_head(group)
            if entry is not None:
                head = (entry.job.submitted, entry.order, entry.job)
                best = head if best is None or head[:2] < best[:2] else best
        return best[2] if best else None

    def _find_overdue(self) -> WaitingJob | None:
        if self._late is None:
            self._late = [
                (self._queue.find_due(entry.job), entry.order, group)
                for group in self._queue.list_overdue()
                if (entry := self._find_head(group))
            ]
            heapq.heapify(self._late)
        while self._late:
            due, _, group = self._late[0]
            entry = self._find_head(group)
            if entry is None or not self._queue.is_overdue(entry.job):
                heapq.heappop(self._late)
            elif (later := self._queue.find_due(entry.job)) > due:
                heapq.heapreplace(self._late, (later, entry.order, group))
            else:
                return entry.job
        return None

    def _find_head(self, group: Group) -> Entry | None:
        """Return the oldest job of a group, if it may be placed now."""
        if group in self._closed:
            return None
        head = group.heap.peek(self._queue.blocks.skipped)
        if head is None:
            return None
        if self._may_fit(head[1].job, group):
            return head[1]
        self._closed.add(group)
        return None

    def _may_fit(self, job: WaitingJob, group: Group) -> bool:
        quotas = self._queue.quotas
        if quotas.find_shortfall(job.team, job.need):
            return False
        within = quotas.is_within(job.team, job.need)
        return self._queue.blocks.find(group.rank, within, group.shape) is None
