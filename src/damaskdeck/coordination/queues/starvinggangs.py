"""Gangs that have waited so long that room is to be kept for them."""

from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.queues.queueing import RANKS, JobQueue
from damaskdeck.coordination.queues.waiting import WaitingJob
from damaskdeck.protocol.sizes import Size, add_sizes, fits, subtract_sizes

# A gang that has waited so long has room kept for it.
STARVATION_LIMIT = timedelta(seconds=30)
# So many gangs of a ledger ask for it, each once in such an interval.
GANG_LIMIT = 4
ASK_INTERVAL = timedelta(seconds=1)


class StarvingGangs:
    """The waiting gangs of one ledger, and which of them ask for room first.

    They don't wait for their turn: smaller tasks that found no room would always
    stand in their way. Nor do they wait until something is idle to borrow, which
    needn't ever be enough at once.

    :param is_impossible: tells of a job whether it can't run on any workers.
    """

    def __init__(
        self, queue: JobQueue, clock: Clock, is_impossible: Callable[[str], bool]
    ) -> None:
        self._queue = queue
        self._clock = clock
        self._is_impossible = is_impossible
        self._names: set[str] = set()

    def add(self, name: str) -> None:
        """Note that a gang stands in the queue."""
        self._names.add(name)

    def discard(self, name: str) -> None:
        """Note that a job doesn't stand in the queue any more."""
        self._names.discard(name)

    def is_late(self, job: WaitingJob) -> bool:
        """Tell whether room is to be kept for a gang."""
        return self._clock.monotonic() - job.submitted >= STARVATION_LIMIT

    def list(self) -> list[WaitingJob]:
        """List the first late gangs, the most urgent and oldest first."""
        jobs = [self._queue.get(name) for name in self._names]
        late = [job for job in jobs if job is not None and self.is_late(job)]
        late.sort(key=lambda job: (RANKS[job.urgency], job.submitted))
        possible = [job for job in late if not self._is_impossible(job.name)]
        return [job for job in possible[:GANG_LIMIT] if self._may_ask(job)]

    def _may_ask(self, job: WaitingJob) -> bool:
        """Tell whether a gang needs no more than its quota or what others borrow."""
        if not self._queue.find_shortfall(job):
            return True
        return fits(job.need, self._count_unclaimed(job.team))

    def _count_unclaimed(self, team: str) -> Size:
        """Return what other teams neither use nor claim of their own quotas."""
        quotas = self._queue.quotas
        left = quotas.capacity
        for name in quotas.list_teams():
            if name != team:
                state = quotas.read(name)
                total = add_sizes(state.use, state.want)
                left = subtract_sizes(left, Size(*map(min, total, state.quota)))
        return left
