"""Gangs that have waited so long that capacity is reserved for them."""

from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.queues.queueing import RANKS, JobQueue
from damaskdeck.coordination.queues.waiting import WaitingJob
from damaskdeck.protocol.sizes import Size, add_sizes, fits, subtract_sizes

# Capacity is reserved for a gang that has waited this long.
STARVATION_LIMIT = timedelta(seconds=30)
# Number of gangs of one ledger that request capacity, each once per interval.
MAX_GANGS = 4
REQUEST_INTERVAL = timedelta(seconds=1)


class StarvingGangs:
    """The waiting gangs of one ledger, and which of them request capacity.

    Starving gangs don't wait for their turn in the queue, because smaller tasks
    that couldn't be placed would always be ahead of them. They don't wait for idle
    quota to borrow either, because there may never be enough of it at one time.

    :param is_impossible: returns whether a job can't run on any workers.
    """

    def __init__(
        self, queue: JobQueue, clock: Clock, is_impossible: Callable[[str], bool]
    ) -> None:
        self._queue = queue
        self._clock = clock
        self._is_impossible = is_impossible
        self._names: set[str] = set()

    def add(self, name: str) -> None:
        """Add a gang that waits in the queue."""
        self._names.add(name)

    def discard(self, name: str) -> None:
        """Remove a job that no longer waits in the queue."""
        self._names.discard(name)

    def is_starving(self, job: WaitingJob) -> bool:
        """Return whether capacity is to be reserved for a gang."""
        return self._clock.monotonic() - job.submitted >= STARVATION_LIMIT

    def list(self) -> list[WaitingJob]:
        """Return the first starving gangs, the most urgent and oldest first."""
        jobs = [self._queue.get(name) for name in self._names]
        starving = [job for job in jobs if job is not None and self.is_starving(job)]
        starving.sort(key=lambda job: (RANKS[job.urgency], job.submitted))
        possible = [job for job in starving if not self._is_impossible(job.name)]
        return [job for job in possible[:MAX_GANGS] if self._may_reserve(job)]

    def _may_reserve(self, job: WaitingJob) -> bool:
        """Return whether a gang fits its quota or what other teams don't claim."""
        if not self._queue.find_shortfall(job):
            return True
        return fits(job.need, self._compute_unclaimed(job.team))

    def _compute_unclaimed(self, team: str) -> Size:
        """Return the capacity that other teams neither use nor claim by quota."""
        quotas = self._queue.quotas
        unclaimed = quotas.capacity
        for name in quotas.list_teams():
            if name != team:
                state = quotas.read(name)
                total = add_sizes(state.use, state.demand)
                unclaimed = subtract_sizes(
                    unclaimed, Size(*map(min, total, state.quota))
                )
        return unclaimed
