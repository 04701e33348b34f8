"""Room that an owner of workers keeps for a gang which has waited long."""

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

# Room is kept so long after a keeper last asked for it.
ASK_LIFE = timedelta(seconds=5)
# Room is kept for one gang for so long at a time, and then not for a while.
KEEP_LIMIT = timedelta(hours=1)
REST_TIME = timedelta(minutes=10)

_Order = tuple[int, int, str]


class _Kept(NamedTuple):
    """The gang that room is kept for.

    :param order: the same for a gang at all owners; the least goes first.
    :param since: monotonic time when its room was first kept.
    :param until: monotonic time when this ends unless a keeper asks again.
    """

    job: str
    order: _Order
    count: int
    since: timedelta
    until: timedelta


class GangRooms:
    """Keeps room for one gang at a time, the first of those that ask.

    Nobody waits for kept room of another gang and all owners order gangs alike,
    by class, time of submission and name, so gangs of different ledgers can't
    block each other. Kept room is no reservation: the gang's tasks get their
    holds all at once, and nothing but a deadline is left when a keeper dies.

    :param estimate: run time of a task as learnt, from its start.
    """

    def __init__(
        self,
        accounts: WorkerAccounts,
        clock: Clock,
        estimate: Estimate,
        find_refusal: FindRefusal,
        keep_limit: timedelta = KEEP_LIMIT,
    ) -> None:
        self._backfill = Backfill(accounts, clock, estimate, find_refusal)
        self._clock = clock
        self._limit = keep_limit
        self._kept: _Kept | None = None
        self._rests: dict[str, timedelta] = {}

    @property
    def job(self) -> str:
        """The job of the gang that room is kept for; empty if there is none."""
        return self._kept.job if self._kept else ""

    def ask(self, need: TaskNeed, gang: GangRequest) -> None:
        """Keep room for a gang, or go on keeping it, unless another goes first."""
        now = self._clock.monotonic()
        self.expire()
        job = parse_job_name(need.task)
        order = (RANKS[need.urgency], gang["submitted"], job)
        kept = self._kept
        if job in self._rests or (kept is not None and kept.order < order):
            return
        if kept is None or kept.job != job:
            self._end()
            kept = _Kept(job, order, 0, now, now)
        if self._backfill.plan is None or kept.count != gang["count"]:
            self._make_plan(job, need, gang["count"])
        self._kept = kept._replace(count=gang["count"], until=now + ASK_LIFE)

    def covers(self, task: str, gang: GangRequest) -> bool:
        """Tell whether room is kept for this task of a gang."""
        plan = self._backfill.plan
        if plan is None or plan.job != parse_job_name(task):
            return False
        return gang["index"] < len(plan.needs)

    def prepare(self, need: TaskNeed) -> Predicate | None:
        """Keep off planned workers what would delay the gang; a filter."""
        if self._is_kept_for(need.task):
            return None
        return self._backfill.prepare(need)

    def record_start(self, need: TaskNeed, worker: str) -> None:
        """Note that a task got room on a worker."""
        if not self._is_kept_for(need.task):
            self._backfill.record_start(need, worker)

    def drop(self, task: str) -> None:
        """Keep no more room for the gang of a task: it starts, or can't yet."""
        if self._is_kept_for(task):
            self._end()

    def expire(self) -> None:
        """End what no keeper asks for any more, or what was kept too long."""
        now = self._clock.monotonic()
        self._rests = {job: t for job, t in self._rests.items() if t > now}
        kept = self._kept
        if kept is None:
            return
        if now - kept.since >= self._limit:
            count_refusal("gangs", "kept_too_long")
            self._rests[kept.job] = now + REST_TIME
            self._end()
        elif kept.until <= now:
            count_refusal("gangs", "not_asked_again")
            self._end()
        else:
            self._backfill.refresh()

    def _is_kept_for(self, task: str) -> bool:
        return self._kept is not None and self._kept.job == parse_job_name(task)

    def _make_plan(self, job: str, need: TaskNeed, count: int) -> None:
        count = min(count, self._backfill.count_within_horizon(need))
        if count:
            self._backfill.make_plan(job, (need,) * count)
        else:
            self._backfill.drop_plan(job)

    def _end(self) -> None:
        if self._kept is not None:
            self._backfill.drop_plan(self._kept.job)
            self._kept = None
