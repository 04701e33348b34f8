"""The decision of each daemon whether to store a job.

A job is refused only if it is known that it can't end while it is still useful, by
the lower bounds of its wait and of its work. In doubt it is accepted: if the outlook
is old or missing. What was known of an owner that can't start tasks fast enough isn't
in doubt until its successor knows better.
"""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.admission.returns import hash_job
from damaskdeck.coordination.pools.urgency import (
    LATE_MULTIPLE,
    compute_objective,
    measure_critical_path,
)
from damaskdeck.coordination.pools.zoneconfinement import ZoneCapacity
from damaskdeck.protocol.poolmessages import (
    ReportCapacity,
    ReportLoading,
    ReportOutlook,
)
from damaskdeck.protocol.queues import JobSpec, Queue

# An older outlook decides nothing. The owner reports twice a second.
OUTLOOK_MAX_AGE = timedelta(milliseconds=1500)
# That of an owner without enough processor time decides for as long as a successor may
# need: nothing is started without an owner, so the backlog doesn't get smaller.
LIMITED_OUTLOOK_MAX_AGE = timedelta(seconds=15)
# A successor knows after this time whether it can't start tasks fast enough either.
SUCCESSOR_PERIOD = timedelta(seconds=4)
# An owner without enough processor time refuses what would wait for longer than this,
# though it could still be in time.
MAX_OWNER_WAIT_SECONDS = 5.0
# It accepts no more than it starts within this time: it has to have caught up soon
# after a burst.
MAX_OWNER_BACKLOG_SECONDS = 8.0
# Over this part of it fewer and fewer jobs are accepted: each daemon learns only from
# the next report what the others have accepted.
SHARED_BACKLOG_SECONDS = 5.0
# Work may be shorter than estimated by this factor; estimates are off by up to a half.
MIN_WORK_FACTOR = 0.5
MIN_RETRY = timedelta(seconds=1)
MAX_RETRY = timedelta(seconds=10)
# When callers return that were refused while an owner loads the jobs.
LOADING_RETRY = timedelta(seconds=2)


class AdmissionRefusal(NamedTuple):
    """A job is not stored; its caller should return after ``retry``.

    :param wait: the expected wait until it would have started.
    """

    wait: timedelta
    retry: timedelta


class _QueueOutlook(NamedTuple):
    """What was reported of a queue, in seconds.

    :param first_wait: lower bound of the wait of a job that goes first among those of
        its rank.
    :param last_wait: lower bound of the wait of a job that goes last among them. While
        the owner limits jobs, the backlog, weighted by the rank of the queue.
    :param return_interval: time between two callers that this daemon lets return.
    """

    first_wait: float
    last_wait: float
    return_interval: float


class AdmissionControl:
    """Decides by the latest outlook that the owner has reported to this daemon.

    :ivar is_owner_limiting: whether tasks wait for the owner, and not for capacity.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._epoch = 0
        self._succeeded_at = self._loading_until = timedelta()
        self._reported_at: timedelta | None = None
        self._queues: dict[str, _QueueOutlook] = {}
        # The same of queues that the report doesn't name, by pool and rank.
        self._others: dict[tuple[str, int], _QueueOutlook] = {}
        self._limited_accounts: frozenset[str] = frozenset()
        self._returning: frozenset[int] = frozenset()
        self._free: dict[str, ZoneCapacity] = {}
        self.is_owner_limiting = False
        # How many jobs the shares of those before have added up to and not admitted.
        self._credit = 1.0
        # When the last refused caller of each queue was told to return.
        self._last_returns: dict[str, timedelta] = {}

    def update(self, message: ReportCapacity) -> None:
        """Store the report of an owner, unless a newer owner has reported before."""
        if message["epoch"] < self._epoch:
            return
        now = self._clock.monotonic()
        if message["epoch"] > self._epoch:
            self._epoch = message["epoch"]
            self._succeeded_at = now
        outlook: ReportOutlook | None = message.get("outlook")
        is_limiting = outlook is not None and outlook.get("is_owner_limiting", False)
        if is_limiting:
            self._loading_until = timedelta()
        elif self.is_owner_limiting and now - self._succeeded_at < SUCCESSOR_PERIOD:
            return
        self.is_owner_limiting = is_limiting
        if outlook is None:
            self._reported_at = None
            return
        self._reported_at = now
        self._queues = {
            name: _QueueOutlook(first / 1000, last / 1000, interval / 1000)
            for name, first, last, interval in outlook["queues"]
        }
        self._others = {
            (pool, rank): _QueueOutlook(first / 1000, last / 1000, interval / 1000)
            for pool, rank, first, last, interval in outlook.get("others", ())
        }
        self._limited_accounts = frozenset(outlook["accounts"])
        self._returning = frozenset(outlook["returning"])
        self._free = {}
        if is_limiting:
            # Free capacity is of no use while the owner can't start more tasks.
            return
        for pool, _, millicores, memory in message["zones"]:
            free = self._free.get(pool, ZoneCapacity(0, 0))
            self._free[pool] = ZoneCapacity(
                free.millicores + millicores, free.memory + memory
            )

    def record_loading(self, message: ReportLoading) -> None:
        """Record that an owner has a backlog and starts nothing of it yet.

        It doesn't count if a newer owner has reported.
        """
        if message["epoch"] >= self._epoch:
            self._loading_until = self._clock.monotonic() + OUTLOOK_MAX_AGE

    @property
    def is_loading(self) -> bool:
        """Whether an owner loads a backlog."""
        return self._clock.monotonic() < self._loading_until

    def measure_age(self) -> timedelta | None:
        """Return the age of the outlook, ``None`` if there is none."""
        if self._reported_at is None:
            return None
        return self._clock.monotonic() - self._reported_at

    def check(
        self, queue: Queue, identifier: str, spec: JobSpec, account: str
    ) -> AdmissionRefusal | None:
        """Return the refusal of a job, ``None`` if it may be stored.

        :param account: the caller's account, an empty string without one.
        """
        if spec.repeats or _has_long_running(spec):
            return None
        if self.is_loading:
            wait = LOADING_RETRY.total_seconds()
            retry = self._schedule_return(queue.name, wait, 0.0)
            return AdmissionRefusal(LOADING_RETRY, retry)
        age = self.measure_age()
        if age is None or age > self._find_max_age():
            return None
        return self._check_outlook(queue, identifier, spec, account, age)

    def _check_outlook(
        self,
        queue: Queue,
        identifier: str,
        spec: JobSpec,
        account: str,
        age: timedelta,
    ) -> AdmissionRefusal | None:
        """Return the refusal of a job by the outlook."""
        outlook = self._queues.get(queue.name) or self._find_other(queue)
        if outlook is None:
            return None
        is_expected = hash_job(identifier) in self._returning
        # A caller that returns finds a pool with capacity, but not an owner that has
        # caught up.
        if (is_expected and not self.is_owner_limiting) or self._is_capacity_free(
            queue.pool, spec
        ):
            return None
        is_within_share = account and account not in self._limited_accounts
        if is_within_share and not self.is_owner_limiting:
            return None
        if self.is_owner_limiting:
            wait, excess = _measure_limited_excess(queue, spec, outlook, age)
            backlog = _measure_backlog(outlook, age)
            if excess <= 0 and not self._is_next_admitted(_find_share(backlog)):
                wait, excess = outlook.last_wait, backlog
        else:
            wait = outlook.last_wait if account else outlook.first_wait
            excess = _measure_excess(queue, spec, wait - age.total_seconds())
        if excess <= 0:
            return None
        retry = self._schedule_return(queue.name, excess, outlook.return_interval)
        return AdmissionRefusal(timedelta(seconds=wait), retry)

    def _find_max_age(self) -> timedelta:
        """Return up to which age the outlook decides."""
        return LIMITED_OUTLOOK_MAX_AGE if self.is_owner_limiting else OUTLOOK_MAX_AGE

    def _is_next_admitted(self, share: float) -> bool:
        """Whether the next job is one of an even share that is admitted."""
        if share <= 0:
            return False
        self._credit = min(self._credit, 1.0) + share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _find_other(self, queue: Queue) -> _QueueOutlook | None:
        """Return what was reported of the queues of a pool and rank.

        That of the next more urgent rank is a lower bound.
        """
        ranks = [
            rank
            for pool, rank in self._others
            if pool == queue.pool and rank <= queue.rank
        ]
        return self._others[queue.pool, max(ranks)] if ranks else None

    def _is_capacity_free(self, pool: str, spec: JobSpec) -> bool:
        """Whether the first steps of a job may fit into the free capacity."""
        free = self._free.get(pool, ZoneCapacity(0, 0))
        needed = [
            (
                (step.tasks if step.is_gang else 1) * step.size.millicores,
                (step.tasks if step.is_gang else 1) * step.size.memory,
            )
            for step in spec.steps
            if not step.after
        ]
        return any(
            millicores <= free.millicores and memory <= free.memory
            for millicores, memory in needed
        )

    def _schedule_return(self, queue: str, excess: float, interval: float) -> timedelta:
        """Return when the caller should come back.

        The backlog has to shrink first. Callers return in the order in which they were
        refused, no faster than jobs of the queue are worked off.
        """
        now = self._clock.monotonic()
        earliest = now + max(MIN_RETRY, timedelta(seconds=excess))
        last = self._last_returns.get(queue)
        if last is not None:
            earliest = max(earliest, last + timedelta(seconds=interval))
        at = min(earliest, now + MAX_RETRY)
        self._last_returns[queue] = at
        return at - now


def _measure_excess(queue: Queue, spec: JobSpec, wait: float) -> float:
    """Return by how many seconds a job would end too late to be useful."""
    path, objective = measure_critical_path(spec), compute_objective(queue, spec)
    return wait + MIN_WORK_FACTOR * path - LATE_MULTIPLE * objective


def _measure_limited_excess(
    queue: Queue, spec: JobSpec, outlook: _QueueOutlook, age: timedelta
) -> tuple[float, float]:
    """Return the wait and the excess of a job that an owner at its limit would get.

    What would be late would make others late as well, and what is accepted beyond the
    backlog that can be started soon would stand still.
    """
    allowed = compute_objective(queue, spec) - measure_critical_path(spec)
    late = outlook.first_wait - age.total_seconds()
    late -= min(allowed, MAX_OWNER_WAIT_SECONDS)
    beyond = _measure_backlog(outlook, age) - MAX_OWNER_BACKLOG_SECONDS
    wait = outlook.first_wait if late >= beyond else outlook.last_wait
    return wait, max(late, beyond)


def _measure_backlog(outlook: _QueueOutlook, age: timedelta) -> float:
    """Return how long an owner at its limit still needs for what was accepted.

    It gets shorter until the next report is due. When none comes there is no owner, and
    nothing is started.
    """
    silence = age - OUTLOOK_MAX_AGE
    elapsed = age if silence <= timedelta() else OUTLOOK_MAX_AGE - silence
    return outlook.last_wait - elapsed.total_seconds()


def _find_share(backlog: float) -> float:
    """Return the share of jobs that is admitted, which falls as the backlog grows.

    All daemons know the same backlog, so the room that is left is not for each of them.

    :param backlog: in seconds.
    """
    room = MAX_OWNER_BACKLOG_SECONDS - backlog
    return min(1.0, room / SHARED_BACKLOG_SECONDS)


def _has_long_running(spec: JobSpec) -> bool:
    return any(step.is_long_running for step in spec.steps)
