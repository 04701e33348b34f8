"""The queue of waiting jobs: urgency classes, fairness, aging and quotas."""

from collections.abc import Iterable, Iterator, Mapping
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.queues.blocks import Blocks
from damaskdeck.coordination.queues.fairness import FairShares
from damaskdeck.coordination.queues.waiting import (
    Bucket,
    Entry,
    Group,
    Shape,
    TeamNeed,
    WaitingJob,
)
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.quotas import Quotas

CLASSES = tuple(Urgency)
RANKS = {urgency: rank for rank, urgency in enumerate(CLASSES)}

# Time that a job of each class may wait before it is overdue.
WAIT_LIMITS = {
    Urgency.URGENT: timedelta(seconds=2),
    Urgency.HIGH: timedelta(minutes=2),
    Urgency.NORMAL: timedelta(minutes=15),
    Urgency.LOW: timedelta(hours=1),
}
# One of this many jobs taken in a row is the one that has been overdue longest.
OVERDUE_TURN = 8
# How long a shape that couldn't be placed isn't tried again, unless free capacity is
# reported earlier.
BLOCK_DURATION = timedelta(seconds=1)


class JobQueue:
    """Waiting jobs in the order in which they are to be placed.

    Classes are ordered by urgency. Within a class, the team with the lowest
    weighted dominant share goes first, and within a team the oldest job whose
    shape may fit. One of every ``overdue_turn`` jobs taken is the one that has
    been overdue longest, regardless of its class and team. So from the time when a
    job becomes overdue, and as long as it fits and its quota or borrowing allows it,
    at most ``overdue_turn`` x (n + 1) jobs are taken before it, where n is the number
    of jobs that were due before it.

    :param clock: determines which jobs are overdue.
    :param quotas: charged for jobs taken, and updated with the demand of waiting
        jobs.
    :param wait_limits: time after which a job of each class is overdue.
    :param overdue_turn: one of this many jobs taken is an overdue one.
    :param block_duration: how long a shape that couldn't be placed isn't tried.
    """

    def __init__(
        self,
        clock: Clock,
        quotas: Quotas,
        wait_limits: Mapping[Urgency, timedelta] = WAIT_LIMITS,
        overdue_turn: int = OVERDUE_TURN,
        block_duration: timedelta = BLOCK_DURATION,
    ) -> None:
        self.quotas = quotas
        self.shares = FairShares(quotas)
        self.blocks = Blocks(block_duration)
        self.overdue_turn = overdue_turn
        self._clock = clock
        self._limits = wait_limits
        self._entries: dict[str, Entry] = {}
        self._classes: tuple[dict[Shape, Bucket], ...] = tuple({} for _ in CLASSES)
        self._needs: dict[tuple[str, int], TeamNeed] = {}
        self._closed_classes = [-1] * len(CLASSES)
        self._reasons: dict[str, str] = {}
        self._order = 0
        self._since_overdue = 0
        self._work = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    @property
    def work(self) -> int:
        """Number of maintenance steps so far; linear in pushes and removals."""
        return self._work

    def get(self, name: str) -> WaitingJob | None:
        """Return a waiting job by name, or ``None``."""
        entry = self._entries.get(name)
        return entry.job if entry else None

    def push(self, job: WaitingJob) -> None:
        """Add a job, replacing one of the same name."""
        self.remove(job.name)
        self._order += 1
        entry = Entry(job, self._order, self._get_group(job))
        self._entries[job.name] = entry
        entry.group.heap.push(job.submitted, entry)
        self._closed_classes[entry.group.bucket.rank] = -1
        key = job.team, entry.group.bucket.rank
        self._needs.setdefault(key, TeamNeed()).add(entry.group.bucket.need)
        self.quotas.add_demand(job.team, job.demand, entry.group.bucket.rank)
        self._work += 1

    def push_all(self, jobs: Iterable[WaitingJob]) -> None:
        """Add several jobs."""
        for job in jobs:
            self.push(job)

    def remove(self, name: str) -> WaitingJob | None:
        """Remove a job without placing it, for example a cancelled one."""
        entry = self._entries.pop(name, None)
        if entry is None:
            return None
        self._remove_entry(entry)
        self.quotas.remove_demand(
            entry.job.team, entry.job.demand, entry.group.bucket.rank
        )
        return entry.job

    def remove_all(self, names: Iterable[str]) -> int:
        """Remove several jobs and return how many of them were waiting."""
        return sum(self.remove(name) is not None for name in names)

    def take(self, name: str, overdue: bool = False) -> None:
        """Remove the offered tasks of a job that were placed.

        The team is charged for them. The charge is returned by
        :meth:`Quotas.release` when they end, or by :meth:`put_back` if they could
        not start.

        :param overdue: whether the job was offered because it is overdue.
        """
        entry = self._entries[name]
        job = entry.job
        self._since_overdue = 0 if overdue else self._since_overdue + 1
        bucket = entry.group.bucket
        self.quotas.charge_demand(job.team, bucket.need, bucket.rank)
        if job.gang or job.tasks == 1:
            del self._entries[name]
            self._remove_entry(entry)
        else:
            entry.job = job._replace(tasks=job.tasks - 1)

    def put_back(self, job: WaitingJob) -> None:
        """Return tasks to the queue that were taken but could not start.

        :param job: the job as it was offered. It keeps its time of submission, so
            it also keeps its position.
        """
        self.quotas.release(job.team, job.need, RANKS[job.urgency])
        waiting = self.get(job.name)
        left = waiting.tasks if waiting else 0
        self.push(job._replace(tasks=left + job.offered))

    def unblock_fitting(self, capacity: Size) -> None:
        """Let shapes be tried again that may fit into ``capacity`` of one worker."""
        self.blocks.remove_fitting(capacity)

    def skip(self, name: str, reason: str) -> None:
        """Don't offer a job until the current failures expire.

        :param reason: the reason for people to read, returned by :meth:`describe`.
        """
        self.blocks.skipped.add(name)
        self._reasons[name] = reason

    def is_overdue(self, job: WaitingJob) -> bool:
        """Return whether ``job`` has waited longer than the limit of its class."""
        return self.find_due(job) <= self._clock.monotonic()

    def find_overdue_time(self, rank: int) -> timedelta:
        """Return the time of submission up to which jobs of a class are overdue now."""
        return self._clock.monotonic() - self._limits[CLASSES[rank]]

    def find_due(self, job: WaitingJob) -> timedelta:
        """Return the time at which ``job`` becomes overdue."""
        return job.submitted + self._limits[job.urgency]

    def find_longest_overdue(self) -> WaitingJob | None:
        """Return the job that has been overdue longest, to plan capacity for it.

        Jobs that the quota of their team doesn't allow now are ignored. This examines
        all groups, so call it every few seconds and not for each decision.
        """
        heads = [
            head.job
            for buckets in self._classes
            for bucket in buckets.values()
            for group in bucket.groups.values()
            if (head := group.heap.peek()) and self.is_overdue(head.job)
        ]
        allowed = (job for job in heads if not self.find_shortfall(job))
        return min(allowed, default=None, key=self.find_due)

    def is_overdue_turn(self) -> bool:
        """Return whether the next job taken should be an overdue one."""
        return self._since_overdue >= self.overdue_turn - 1

    def find_shortfall(self, job: WaitingJob) -> str | None:
        """Return the dimension in which its team's quota keeps a job out, if any.

        A job above the quota isn't kept out if the team can borrow idle capacity.
        """
        return self.quotas.find_shortfall(job.team, job.need, RANKS[job.urgency])

    def end_overdue_turn(self) -> None:
        """End the turn of overdue jobs, because those tried couldn't be placed."""
        self._since_overdue = 0

    def is_at_quota(self, team: str, rank: int, lend_claims: bool = False) -> bool:
        """Return whether a team's quota allows none of its jobs of a class.

        :param lend_claims: see :meth:`Quotas.find_shortfall`.
        """
        least = self._needs[team, rank].least
        shortfall = self.quotas.find_shortfall(team, least, rank, lend_claims)
        return shortfall is not None

    def list_open_buckets(self, rank: int) -> list[Bucket]:
        """Return the buckets of a class whose shape isn't known to fail."""
        generation = self.blocks.generation
        if self._closed_classes[rank] == generation:
            return []
        buckets = [
            bucket
            for bucket in self._classes[rank].values()
            if not self.is_closed(bucket, within_quota=True)
        ]
        if not buckets:
            self._closed_classes[rank] = generation
        return buckets

    def is_closed(self, bucket: Bucket, within_quota: bool) -> bool:
        """Return whether an earlier failure covers a bucket.

        :param within_quota: whether the team would stay within its quota.
        """
        generation = self.blocks.generation
        if bucket.closed_within == generation or (
            not within_quota and bucket.closed_above == generation
        ):
            return True
        if self.blocks.find(bucket.rank, within_quota, bucket.shape) is None:
            return False
        if within_quota:
            bucket.closed_within = generation
        else:
            bucket.closed_above = generation
        return True

    def describe(self, name: str) -> tuple[str, ...]:
        """Return the reasons why a job waits, for people to read.

        :returns: an empty tuple if the job doesn't wait.
        """
        job = self.get(name)
        if job is None:
            return ()
        return (self._describe_position(job), *self._describe_causes(job))

    def expire_blocks(self) -> None:
        """Remove the failures that have expired."""
        self.blocks.expire(self._clock.monotonic())

    def _describe_position(self, job: WaitingJob) -> str:
        buckets = self._classes[RANKS[job.urgency]].values()
        groups = [bucket.groups.get(job.team) for bucket in buckets]
        before = sum(
            other.submitted < job.submitted
            for group in groups
            if group is not None
            for other in group.heap.list_jobs()
        )
        waited = self._clock.monotonic() - job.submitted
        return (
            f"waits for {waited.total_seconds():.0f} s as number {before + 1} of team "
            f"{job.team} in class {job.urgency.value}"
        )

    def _describe_causes(self, job: WaitingJob) -> Iterator[str]:
        rank = RANKS[job.urgency]
        shortfall = self.find_shortfall(job)
        within_quota = self.quotas.is_within(job.team, job.need, rank)
        block = self.blocks.find(rank, within_quota, job.shape)
        if shortfall:
            yield f"the team's quota of {shortfall} is used and none is idle to borrow"
        if block:
            yield f"no worker has room: {block.reason}"
        if job.name in self._reasons:
            yield self._reasons[job.name]
        if not shortfall and not block:
            yield self._describe_order(job)

    def _describe_order(self, job: WaitingJob) -> str:
        share = self.shares.compute_share(job.team)
        buckets = self._classes[RANKS[job.urgency]].values()
        teams = {team for bucket in buckets for team in bucket.groups}
        ahead = sum(self.shares.compute_share(team) < share for team in teams)
        if not ahead:
            return "no team that waits in the class uses less of its share"
        teams_ahead = "1 team" if ahead == 1 else f"{ahead} teams"
        return (
            f"comes after {teams_ahead} of the class by fair share; team {job.team} "
            f"uses {share:.1%} by weight"
        )

    def _remove_entry(self, entry: Entry) -> None:
        entry.alive = False
        key = entry.job.team, entry.group.bucket.rank
        self._reasons.pop(entry.job.name, None)
        self._work += entry.group.heap.remove_one()
        if not entry.group.heap.live_count:
            self._remove_group(entry.group)
        if self._needs[key].drop():
            del self._needs[key]

    def _get_group(self, job: WaitingJob) -> Group:
        rank = RANKS[job.urgency]
        shape = job.shape
        bucket = self._classes[rank].get(shape)
        if bucket is None:
            bucket = self._classes[rank][shape] = Bucket(rank, shape, job.need)
        group = bucket.groups.get(job.team)
        if group is None:
            group = bucket.groups[job.team] = Group(bucket, job.team)
        return group

    def _remove_group(self, group: Group) -> None:
        bucket = group.bucket
        del bucket.groups[group.team]
        if not bucket.groups:
            del self._classes[bucket.rank][bucket.shape]
