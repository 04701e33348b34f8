"""Backfilling: capacity is planned for a large job while smaller work runs.

A job that needs more than is free would starve behind small tasks. Workers are
therefore planned for it from the earliest time when enough of their tasks are
expected to have ended. Until then they accept only tasks that are expected to
end before that time, or that fit beside the job.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.filters import Predicate, find_refusal
from damaskdeck.coordination.places.preemption import RANKS, FindRefusal
from damaskdeck.protocol.sizes import Size, add_sizes, fits, subtract_sizes
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccount, WorkerAccounts

# A task that has exceeded its estimate is expected to run for another share of
# the time that it has run so far.
_OVERRUN_SHARE = 0.25
_REPLAN_INTERVAL = timedelta(seconds=5)
# No plan starts further ahead than this, for example behind services that never end.
_PLANNING_HORIZON = timedelta(days=1)

Estimate = Callable[[TaskNeed], timedelta]


class Plan(NamedTuple):
    """The capacity that is planned for a job.

    :param needs: the needs of its tasks, which are alike and start together.
    :param start: monotonic time when all of them are expected to fit.
    :param latest_end: tasks expected to end by this monotonic time are accepted
        on the planned workers. It never moves later, because tasks whose run
        time is declared too short would otherwise postpone the start forever.
    :param spare: by planned worker, the capacity that remains beside the job at
        ``start``.
    """

    job: str
    needs: tuple[TaskNeed, ...]
    start: timedelta
    latest_end: timedelta
    spare: dict[str, Size]


class Backfill:
    """Plans capacity for one job at a time and backfills with other tasks.

    :param accounts: the workers and the tasks that run on them.
    :param estimate: returns the expected run time of a task, from its start.
    :param find_refusal: returns the name of the filter that refuses a worker for
        a task, or ``None``.
    """

    def __init__(
        self,
        accounts: WorkerAccounts,
        clock: Clock,
        estimate: Estimate,
        find_refusal: FindRefusal = find_refusal,
    ) -> None:
        self._accounts = accounts
        self._clock = clock
        self._estimate = estimate
        self._find_refusal = find_refusal
        self._plan: Plan | None = None
        self._planned_tasks: frozenset[str] = frozenset()
        self._planned_at = timedelta()

    @property
    def plan(self) -> Plan | None:
        """The current plan."""
        return self._plan

    def make_plan(self, job: str, needs: tuple[TaskNeed, ...]) -> Plan | None:
        """Plan capacity for tasks that are alike, replacing any other plan.

        :returns: ``None`` when too few tasks are expected to end within a day.
        """
        now = self._clock.monotonic()
        need, count = needs[0], len(needs)
        free_by_worker = self._collect_free_capacity(need)
        counts = {
            name: count_slices(need.size, capacity)
            for name, capacity in free_by_worker.items()
        }
        total = sum(counts.values())
        start = now
        for end, name, size in self._predict_ends(free_by_worker, now):
            if total >= count or end > now + _PLANNING_HORIZON:
                break
            start = end
            free_by_worker[name] = add_sizes(free_by_worker[name], size)
            slices = count_slices(need.size, free_by_worker[name])
            total += slices - counts[name]
            counts[name] = slices
        previous = self._plan if self._plan and self._plan.job == job else None
        self._planned_at = now
        self._plan = None
        self._planned_tasks = frozenset(need.task for need in needs)
        if total >= count:
            planned_before = previous.spare if previous else {}
            order = sorted(
                counts, key=lambda name: (name not in planned_before, -counts[name])
            )
            spare = _choose_workers(need.size, count, free_by_worker, counts, order)
            latest_end = min(start, previous.latest_end) if previous else start
            self._plan = Plan(job, needs, start, latest_end, spare)
        return self._plan

    def count_within_horizon(self, need: TaskNeed) -> int:
        """Return how many tasks like ``need`` should fit at once within a day."""
        now = self._clock.monotonic()
        free_by_worker = self._collect_free_capacity(need)
        for end, name, size in self._predict_ends(free_by_worker, now):
            if end <= now + _PLANNING_HORIZON:
                free_by_worker[name] = add_sizes(free_by_worker[name], size)
        return sum(
            count_slices(need.size, capacity) for capacity in free_by_worker.values()
        )

    def refresh(self) -> None:
        """Renew the plan once it is old, because tasks end early or late."""
        plan = self._plan
        if plan and self._clock.monotonic() - self._planned_at >= _REPLAN_INTERVAL:
            self.make_plan(plan.job, plan.needs)

    def drop_plan(self, job: str) -> None:
        """Remove the plan of a job that has started or no longer waits."""
        if self._plan is not None and self._plan.job == job:
            self._plan = None

    def record_start(self, need: TaskNeed, worker: str) -> None:
        """Deduct a task from the spare capacity if it may delay the plan."""
        plan = self._plan
        if plan is None or worker not in plan.spare:
            return
        if not self._ends_in_time(need, plan):
            plan.spare[worker] = subtract_sizes(plan.spare[worker], need.size)

    def prepare(self, need: TaskNeed) -> Predicate | None:
        """Refuse planned workers to tasks that would delay the plan; a filter."""
        plan = self._plan
        if plan is None or RANKS[need.urgency] < RANKS[plan.needs[0].urgency]:
            return None
        if self._ends_in_time(need, plan) or need.task in self._planned_tasks:
            return None
        spare, size = plan.spare, need.size

        def predicate(account: WorkerAccount) -> bool:
            remaining = spare.get(account.name)
            return remaining is None or fits(size, remaining)

        return predicate

    def _ends_in_time(self, need: TaskNeed, plan: Plan) -> bool:
        return self._clock.monotonic() + self._estimate(need) <= plan.latest_end

    def _collect_free_capacity(self, need: TaskNeed) -> dict[str, Size]:
        """Return the free capacity of the workers that may ever run ``need``."""
        return {
            account.name: account.free
            for account in self._accounts.workers.values()
            if self._find_refusal(need, account) in (None, "fits")
        }

    def _predict_ends(
        self, names: Iterable[str], now: timedelta
    ) -> list[tuple[timedelta, str, Size]]:
        """Return the expected ends of running tasks in order of time.

        :returns: for each task its end in monotonic time, its worker and its size.
        """
        ends = []
        for name in names:
            for reservation in self._accounts.workers[name].reservations.values():
                need = reservation.need
                end = need.started + self._estimate(need)
                if end <= now:
                    end = now + _OVERRUN_SHARE * (now - need.started)
                ends.append((end, name, need.size))
        ends.sort()
        return ends


def count_slices(size: Size, capacity: Size) -> int:
    """Return how many times ``size`` fits into ``capacity``."""
    counts = [free // part for part, free in zip(size, capacity, strict=True) if part]
    return max(0, min(counts, default=1 << 20))


def _choose_workers(
    size: Size,
    count: int,
    free_by_worker: dict[str, Size],
    counts: dict[str, int],
    order: list[str],
) -> dict[str, Size]:
    """Choose workers in ``order`` and compute the spare capacity of each."""
    spare = {}
    remaining = count
    for name in order:
        taken = min(remaining, counts[name])
        if not taken:
            continue
        remaining -= taken
        used = Size(size[0] * taken, size[1] * taken, size[2] * taken)
        spare[name] = subtract_sizes(free_by_worker[name], used)
    return spare
