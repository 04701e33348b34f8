"""The queue of waiting jobs: urgency classes, fairness, ageing and quotas."""

from collections.abc import Iterable, Iterator, Mapping
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.queues.blocks import Blocks
from damaskdeck.coordination.queues.fairness import FairShares
from damaskdeck.coordination.queues.waiting import (
    Entry,
    Group,
    Line,
    Shape,
    TeamNeed,
    WaitingJob,
)
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.quotas import Quotas

CLASSES = tuple(Urgency)
RANKS = {urgency: rank for rank, urgency in enumerate(CLASSES)}

# How long a job of each class may wait before it is overdue.
WAIT_LIMITS = {
    Urgency.URGENT: timedelta(seconds=2),
    Urgency.HIGH: timedelta(minutes=2),
    Urgency.NORMAL: timedelta(minutes=15),
    Urgency.LOW: timedelta(hours=1),
}
# Of so many jobs taken in a row, one is the longest overdue.
OVERDUE_TURN = 8
# How long a shape that found no room isn't tried again, if nobody tells of room.
BLOCK_DURATION = timedelta(seconds=1)


class JobQueue:
    """Waiting jobs in the order in which they are to be placed.

    Classes go by urgency. Within a class the team with the least weighted
    dominant share goes first; within a team the oldest job whose shape may
    fit. Of each ``overdue_turn`` jobs taken one is the longest overdue,
    whatever its class and team. So once a job is overdue, and as long as it
    fits and its quota allows it, at most ``overdue_turn`` x (n + 1) jobs are
    taken before it, where n counts the jobs that were due before it.

    :param clock: judges which jobs are overdue.
    :param quotas: charged for jobs taken, and told what the waiting ones want.
    :param wait_limits: how long a job of each class waits before it is overdue.
    :param block_duration: how long a shape that found no room isn't tried.
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
        self._classes: tuple[dict[Shape, Line], ...] = tuple({} for _ in CLASSES)
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
        """Steps of upkeep done so far; linear in pushes and removals."""
        return self._work

    def get(self, name: str) -> WaitingJob | None:
        """Return a waiting job by name."""
        entry = self._entries.get(name)
        return entry.job if entry else None

    def push(self, job: WaitingJob) -> None:
        """Let a job wait; one of the same name is replaced."""
        self.remove(job.name)
        self._order += 1
        entry = Entry(job, self._order, self._get_group(job))
        self._entries[job.name] = entry
        entry.group.heap.push(job.submitted, entry)
        self._closed_classes[entry.group.line.rank] = -1
        key = job.team, entry.group.line.rank
        self._needs.setdefault(key, TeamNeed()).add(entry.group.line.need)
        self.quotas.add_demand(job.team, job.want, entry.group.line.rank)
        self._work += 1

    def push_all(self, jobs: Iterable[WaitingJob]) -> None:
        """Let many jobs wait."""
        for job in jobs:
            self.push(job)

    def remove(self, name: str) -> WaitingJob | None:
        """Take a job out without placing it, as one that was cancelled."""
        entry = self._entries.pop(name, None)
        if entry is None:
            return None
        self._drop_entry(entry)
        self.quotas.remove_demand(entry.job.team, entry.job.want, entry.group.line.rank)
        return entry.job

    def remove_all(self, names: Iterable[str]) -> int:
        """Take out many jobs; returns how many had been waiting."""
        return sum(self.remove(name) is not None for name in names)

    def take(self, name: str, overdue: bool = False) -> None:
        """Take what was offered of a job: it was placed.

        The team is charged for it; give it back by :meth:`Quotas.release`
        when it ends, or by :meth:`put_back` when it could not start.
        """
        entry = self._entries[name]
        job = entry.job
        self._since_overdue = 0 if overdue else self._since_overdue + 1
        line = entry.group.line
        self.quotas.charge_demand(job.team, line.need, line.rank)
        if job.gang or job.tasks == 1:
            del self._entries[name]
            self._drop_entry(entry)
        else:
            entry.job = job._replace(tasks=job.tasks - 1)

    def put_back(self, job: WaitingJob) -> None:
        """Let wait again what was taken of ``job`` but could not start.

        :param job: as it was offered; it keeps its place by its time.
        """
        self.quotas.release(job.team, job.need, RANKS[job.urgency])
        waiting = self.get(job.name)
        left = waiting.tasks if waiting else 0
        self.push(job._replace(tasks=left + job.offered))

    def unblock_fitting(self, room: Size) -> None:
        """Note that one worker now has ``room``, so that its jobs are tried."""
        self.blocks.open(room)

    def skip(self, name: str, reason: str) -> None:
        """Don't offer a job until the failures of now are forgotten.

        :param reason: plain words, told by :meth:`describe`.
        """
        self.blocks.skipped.add(name)
        self._reasons[name] = reason

    def is_overdue(self, job: WaitingJob) -> bool:
        """Tell whether ``job`` has waited longer than its class should."""
        return self.find_due(job) <= self._clock.monotonic()

    def find_overdue_time(self, rank: int) -> timedelta:
        """Return when the latest jobs that are overdue now were submitted."""
        return self._clock.monotonic() - self._limits[CLASSES[rank]]

    def find_due(self, job: WaitingJob) -> timedelta:
        """Return the time at which ``job`` becomes overdue."""
        return job.submitted + self._limits[job.urgency]

    def find_longest_overdue(self) -> WaitingJob | None:
        """Return the job that room should be planned for, if any is overdue.

        Jobs that their team's quota doesn't allow now are left out. Looks at
        all groups, so call it every few seconds, not for each decision.
        """
        heads = [
            head.job
            for lines in self._classes
            for line in lines.values()
            for group in line.groups.values()
            if (head := group.heap.peek()) and self.is_overdue(head.job)
        ]
        allowed = (job for job in heads if not self.find_shortfall(job))
        return min(allowed, default=None, key=self.find_due)

    def is_overdue_turn(self) -> bool:
        """Tell whether the next job taken should be an overdue one."""
        return self._since_overdue >= self.overdue_turn - 1

    def find_shortfall(self, job: WaitingJob) -> str | None:
        """Tell in which dimension its team's quota keeps a job out, if any."""
        return self.quotas.find_shortfall(job.team, job.need, RANKS[job.urgency])

    def end_overdue_turn(self) -> None:
        """Let others go on, as the overdue jobs tried found no room."""
        self._since_overdue = 0

    def is_at_quota(self, team: str, rank: int, lends_claims: bool = False) -> bool:
        """Tell whether a team's quota allows none of its jobs of a class.

        :param lends_claims: see :meth:`Quotas.find_shortfall`.
        """
        least = self._needs[team, rank].least
        shortfall = self.quotas.find_shortfall(team, least, rank, lends_claims)
        return shortfall is not None

    def list_open_lines(self, rank: int) -> list[Line]:
        """List the lines of a class whose shape isn't known to find no room."""
        epoch = self.blocks.epoch
        if self._closed_classes[rank] == epoch:
            return []
        lines = [
            line
            for line in self._classes[rank].values()
            if not self.is_closed(line, within=True)
        ]
        if not lines:
            self._closed_classes[rank] = epoch
        return lines

    def is_closed(self, line: Line, within: bool) -> bool:
        """Tell whether an earlier failure covers a line.

        :param within: whether the team would stay within its quota.
        """
        epoch = self.blocks.epoch
        if line.closed_within == epoch or (not within and line.closed_above == epoch):
            return True
        if self.blocks.find(line.rank, within, line.shape) is None:
            return False
        if within:
            line.closed_within = epoch
        else:
            line.closed_above = epoch
        return True

    def describe(self, name: str) -> tuple[str, ...]:
        """Explain in plain words why a job waits; empty when it doesn't wait."""
        job = self.get(name)
        if job is None:
            return ()
        return (self._describe_place(job), *self._describe_causes(job))

    def expire_blocks(self) -> None:
        """Forget failures that are too old to be believed."""
        self.blocks.expire(self._clock.monotonic())

    def _describe_place(self, job: WaitingJob) -> str:
        lines = self._classes[RANKS[job.urgency]].values()
        groups = [line.groups.get(job.team) for line in lines]
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
        within = self.quotas.is_within(job.team, job.need, rank)
        block = self.blocks.find(rank, within, job.shape)
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
        lines = self._classes[RANKS[job.urgency]].values()
        teams = {team for line in lines for team in line.groups}
        ahead = sum(self.shares.compute_share(team) < share for team in teams)
        if not ahead:
            return "no team that waits in the class uses less of its share"
        teams_ahead = "1 team" if ahead == 1 else f"{ahead} teams"
        return (
            f"comes after {teams_ahead} of the class by fair share; team {job.team} "
            f"uses {share:.1%} by weight"
        )

    def _drop_entry(self, entry: Entry) -> None:
        entry.alive = False
        key = entry.job.team, entry.group.line.rank
        self._reasons.pop(entry.job.name, None)
        self._work += entry.group.heap.discount()
        if not entry.group.heap.live:
            self._drop_group(entry.group)
        if self._needs[key].drop():
            del self._needs[key]

    def _get_group(self, job: WaitingJob) -> Group:
        rank = RANKS[job.urgency]
        shape = job.shape
        line = self._classes[rank].get(shape)
        if line is None:
            line = self._classes[rank][shape] = Line(rank, shape, job.need)
        group = line.groups.get(job.team)
        if group is None:
            group = line.groups[job.team] = Group(line, job.team)
        return group

    def _drop_group(self, group: Group) -> None:
        line = group.line
        del line.groups[group.team]
        if not line.groups:
            del self._classes[line.rank][line.shape]
