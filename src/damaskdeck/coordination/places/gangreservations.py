"""Capacity that a worker owner reserves for a gang that has waited too long."""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.backfill import Backfill, Estimate
from damaskdeck.coordination.places.filters import Predicate
from damaskdeck.coordination.places.preemption import RANKS, FindRefusal
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.jobs import GangRequest
from damaskdeck.state.names import parse_job_name
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccounts

# A reservation expires this long after the last request of a ledger owner.
REQUEST_TTL = timedelta(seconds=5)
# Maximum duration of a reservation; afterwards the gang gets no other one for the
# cooldown.
RESERVATION_LIMIT = timedelta(hours=1)
COOLDOWN = timedelta(minutes=10)

_Priority = tuple[int, int, str]


class _GangReservation(NamedTuple):
    """The gang that capacity is reserved for.

    :param priority: the lowest goes first; all owners compute the same one for a
        gang.
    :param count: the number of tasks that the gang requested capacity for.
    :param since: monotonic time when the reservation began.
    :param until: monotonic time when it expires unless the request is repeated.
    """

    job: str
    priority: _Priority
    count: int
    since: timedelta
    until: timedelta


class GangReservations:
    """Reserves capacity for one gang at a time, the first in order of priority.

    Gangs of different ledgers can't block each other: no gang waits for capacity
    reserved for another, and all owners order gangs alike, by urgency class, time
    of submission and name. The capacity isn't yet assigned to the gang's tasks;
    they get their holds all at once. If the ledger owner dies, the only thing
    left is a deadline.

    :param estimate: returns the expected run time of a task, from its start.
    """

    def __init__(
        self,
        accounts: WorkerAccounts,
        clock: Clock,
        estimate: Estimate,
        find_refusal: FindRefusal,
        reservation_limit: timedelta = RESERVATION_LIMIT,
    ) -> None:
        self._backfill = Backfill(accounts, clock, estimate, find_refusal)
        self._clock = clock
        self._limit = reservation_limit
        self._reservation: _GangReservation | None = None
        self._cooldowns: dict[str, timedelta] = {}

    @property
    def job(self) -> str:
        """The job of the gang that capacity is reserved for, or an empty string."""
        return self._reservation.job if self._reservation else ""

    def reserve(self, need: TaskNeed, gang: GangRequest) -> None:
        """Reserve capacity for a gang or extend its reservation.

        Nothing changes while a gang that goes before this one has a reservation, or
        during the cooldown of this gang.
        """
        now = self._clock.monotonic()
        self.expire()
        job = parse_job_name(need.task)
        priority = (RANKS[need.urgency], gang["submitted"], job)
        reservation = self._reservation
        if job in self._cooldowns or (
            reservation is not None and reservation.priority < priority
        ):
            return
        if reservation is None or reservation.job != job:
            self._cancel()
            reservation = _GangReservation(job, priority, 0, now, now)
        if self._backfill.plan is None or reservation.count != gang["count"]:
            self._make_plan(job, need, gang["count"])
        self._reservation = reservation._replace(
            count=gang["count"], until=now + REQUEST_TTL
        )

    def covers(self, task: str, gang: GangRequest) -> bool:
        """Return whether the reserved capacity includes this task of a gang."""
        plan = self._backfill.plan
        if plan is None or plan.job != parse_job_name(task):
            return False
        return gang["index"] < len(plan.needs)

    def prepare(self, need: TaskNeed) -> Predicate | None:
        """Refuse planned workers to tasks that would delay the gang; a filter."""
        if self._is_reserved_for(need.task):
            return None
        return self._backfill.prepare(need)

    def record_start(self, need: TaskNeed, worker: str) -> None:
        """Record that capacity on a worker was assigned to a task."""
        if not self._is_reserved_for(need.task):
            self._backfill.record_start(need, worker)

    def release(self, task: str) -> None:
        """Release the reservation of a task's gang, which starts or can't start yet."""
        if self._is_reserved_for(task):
            self._cancel()

    def expire(self) -> None:
        """End a reservation that is no longer requested or has lasted too long."""
        now = self._clock.monotonic()
        self._cooldowns = {job: t for job, t in self._cooldowns.items() if t > now}
        reservation = self._reservation
        if reservation is None:
            return
        if now - reservation.since >= self._limit:
            count_refusal("gangs", "kept_too_long")
            self._cooldowns[reservation.job] = now + COOLDOWN
            self._cancel()
        elif reservation.until <= now:
            count_refusal("gangs", "not_asked_again")
            self._cancel()
        else:
            self._backfill.refresh()

    def _is_reserved_for(self, task: str) -> bool:
        return (
            self._reservation is not None
            and self._reservation.job == parse_job_name(task)
        )

    def _make_plan(self, job: str, need: TaskNeed, count: int) -> None:
        count = min(count, self._backfill.count_within_horizon(need))
        if count:
            self._backfill.make_plan(job, (need,) * count)
        else:
            self._backfill.drop_plan(job)

    def _cancel(self) -> None:
        if self._reservation is not None:
            self._backfill.drop_plan(self._reservation.job)
            self._reservation = None
