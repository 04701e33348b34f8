"""Room planned for work that needs much at once, with other work beneath it.

Work that needs more than is free would wait for ever behind small work. So
workers are planned for it at the earliest time when enough of their tasks
should have ended; until then they take only what should end before, or fits
beside it.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.filters import Predicate, find_refusal
from damaskdeck.coordination.places.preemption import RANKS, FindRefusal
from damaskdeck.protocol.sizes import Size, add_sizes, fits, subtract_sizes
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccount, WorkerAccounts

# A task that outran its estimate is reckoned to run on for this share of the
# time that it has run.
_OVERRUN = 0.25
_REPLAN_INTERVAL = timedelta(seconds=5)
# Nothing is planned further ahead, as behind services that don't end.
_HORIZON = timedelta(days=1)

Estimate = Callable[[TaskNeed], timedelta]


class Plan(NamedTuple):
    """Room planned for a job.

    :param needs: of its tasks, which are alike and start at once.
    :param start: the monotonic time when all of them should fit.
    :param limit: what should end by then is let in; it never moves later, or
        work declared too short would put the start off for ever.
    :param spare: by worker, what will be left beside them at ``start``.
    """

    job: str
    needs: tuple[TaskNeed, ...]
    start: timedelta
    limit: timedelta
    spare: dict[str, Size]


class Backfill:
    """Plans room for one job at a time and lets other work in beneath.

    :param accounts: the workers and what runs on them.
    :param estimate: run time of a task as learnt, from its start.
    :param find_refusal: names the filter that keeps a task off a worker.
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
        self._tasks: frozenset[str] = frozenset()
        self._made = timedelta()

    @property
    def plan(self) -> Plan | None:
        """The plan in force."""
        return self._plan

    def make_plan(self, job: str, needs: tuple[TaskNeed, ...]) -> Plan | None:
        """Plan room for tasks that are alike; replaces another plan.

        :returns: ``None`` when too little will end within a day.
        """
        now = self._clock.monotonic()
        need, count = needs[0], len(needs)
        rooms = self._list_rooms(need)
        counts = {name: count_slices(need.size, room) for name, room in rooms.items()}
        total = sum(counts.values())
        start = now
        for end, name, size in self._list_ends(rooms, now):
            if total >= count or end > now + _HORIZON:
                break
            start = end
            rooms[name] = add_sizes(rooms[name], size)
            slices = count_slices(need.size, rooms[name])
            total += slices - counts[name]
            counts[name] = slices
        former = self._plan if self._plan and self._plan.job == job else None
        self._made = now
        self._plan = None
        self._tasks = frozenset(need.task for need in needs)
        if total >= count:
            kept = former.spare if former else {}
            order = sorted(counts, key=lambda name: (name not in kept, -counts[name]))
            spare = _choose_workers(need.size, count, rooms, counts, order)
            limit = min(start, former.limit) if former else start
            self._plan = Plan(job, needs, start, limit, spare)
        return self._plan

    def count_within_horizon(self, need: TaskNeed) -> int:
        """Count how many tasks like ``need`` should fit at once within a day."""
        now = self._clock.monotonic()
        rooms = self._list_rooms(need)
        for end, name, size in self._list_ends(rooms, now):
            if end <= now + _HORIZON:
                rooms[name] = add_sizes(rooms[name], size)
        return sum(count_slices(need.size, room) for room in rooms.values())

    def refresh(self) -> None:
        """Plan anew once the plan is old, as tasks end early or late."""
        plan = self._plan
        if plan and self._clock.monotonic() - self._made >= _REPLAN_INTERVAL:
            self.make_plan(plan.job, plan.needs)

    def drop_plan(self, job: str) -> None:
        """Note that a job has started or waits no more."""
        if self._plan is not None and self._plan.job == job:
            self._plan = None

    def record_start(self, need: TaskNeed, worker: str) -> None:
        """Note that a task was let in on a planned worker."""
        plan = self._plan
        if plan is None or worker not in plan.spare:
            return
        if not self._ends_in_time(need, plan):
            plan.spare[worker] = subtract_sizes(plan.spare[worker], need.size)

    def prepare(self, need: TaskNeed) -> Predicate | None:
        """Keep off planned workers what would delay the plan; a filter."""
        plan = self._plan
        if plan is None or RANKS[need.urgency] < RANKS[plan.needs[0].urgency]:
            return None
        if self._ends_in_time(need, plan) or need.task in self._tasks:
            return None
        spare, size = plan.spare, need.size

        def predicate(account: WorkerAccount) -> bool:
            left = spare.get(account.name)
            return left is None or fits(size, left)

        return predicate

    def _ends_in_time(self, need: TaskNeed, plan: Plan) -> bool:
        return self._clock.monotonic() + self._estimate(need) <= plan.limit

    def _list_rooms(self, need: TaskNeed) -> dict[str, Size]:
        """List what is free on the workers that may take ``need`` at some time."""
        return {
            account.name: account.free
            for account in self._accounts.workers.values()
            if self._find_refusal(need, account) in (None, "fits")
        }

    def _list_ends(
        self, names: Iterable[str], now: timedelta
    ) -> list[tuple[timedelta, str, Size]]:
        ends = []
        for name in names:
            for held in self._accounts.workers[name].reservations.values():
                need = held.need
                end = need.started + self._estimate(need)
                if end <= now:
                    end = now + _OVERRUN * (now - need.started)
                ends.append((end, name, need.size))
        ends.sort()
        return ends


def count_slices(size: Size, room: Size) -> int:
    """Count how many times ``size`` fits into ``room``."""
    counts = [free // part for part, free in zip(size, room, strict=True) if part]
    return max(0, min(counts, default=1 << 20))


def _choose_workers(
    size: Size,
    count: int,
    rooms: dict[str, Size],
    counts: dict[str, int],
    order: list[str],
) -> dict[str, Size]:
    """Choose workers in ``order`` and work out what each will have left."""
    spare = {}
    left = count
    for name in order:
        taken = min(left, counts[name])
        if not taken:
            continue
        left -= taken
        used = Size(size[0] * taken, size[1] * taken, size[2] * taken)
        spare[name] = subtract_sizes(rooms[name], used)
    return spare
