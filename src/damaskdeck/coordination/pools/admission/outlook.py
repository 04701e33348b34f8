"""The owner's outlook: how long a job that is accepted now would wait.

The wait is a lower bound: the work that certainly goes first, divided by the rate at
which work is finished. It is reported only for pools that are full.

An owner without enough processor time starts tasks more slowly than pools could take
them. Then tasks are counted in place of work, as each takes as much of its time. What
was accepted has to be started, also what is late or follows other steps, so all of it
counts towards the backlog, by which patient queues are refused first.
"""

import heapq
import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, TypedDict

from damaskdeck.coordination.pools.admission.returns import (
    ReturningJobs,
    hash_job,
)
from damaskdeck.coordination.pools.admission.work import (
    NO_WORK,
    Work,
    estimate_work,
    measure_seconds,
)
from damaskdeck.coordination.pools.availability import (
    CONTENDED_SHARE,
    find_full_pools,
    measure_used_shares,
)
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.overload import StartPace
from damaskdeck.coordination.pools.pending import RankedStep
from damaskdeck.coordination.pools.urgency import DeadlineStatus
from damaskdeck.logs import get_logger
from damaskdeck.protocol.poolmessages import ReportOutlook
from damaskdeck.protocol.queues import Queue, QueueTable
from damaskdeck.state.pooljobs import JobIndex, Step

# The rate at which work is finished is measured over this time: longer than most tasks
# take, and shorter than most bursts last.
RATE_SECONDS = 5.0
# By how much more a backlog counts for the most patient queue than for the most urgent.
PATIENT_FACTOR = 0.25
# The most queues and accounts that one report names, and the most ranks of queues that
# it doesn't name: each daemon gets two reports a second.
MAX_REPORTED_QUEUES = 24
MAX_REPORTED_RANKS = 24
# A job with more tasks waits for pools, and not for the owner.
MAX_BACKLOG_TASKS = 1000
MAX_REPORTED_ACCOUNTS = 24
# The rate of starts differs by a multiple from one report to the next.
AVERAGED_REPORTS = 6
# After starts were limited, a longer backlog still counts for some time, while less
# than this share of the pools is used.
LIMITED_BACKLOG_SECONDS = 4.0
LIMITED_SECONDS = 3.0
IDLE_SHARE = 0.6
# The outlook is logged at most this often, with this many of its queues.
LOG_INTERVAL_SECONDS = 1.0
MAX_LOGGED_QUEUES = 4

_log = get_logger("admission")

# A queue with its two waits and the interval of returns, in milliseconds.
_Row = tuple[str, int, int, int]


class _OtherQueues(TypedDict, total=False):
    """The part of a report about queues that it doesn't name."""

    others: list[tuple[str, int, int, int, int]]


class OutlookOwner(Protocol):
    """What the outlook needs from the owner of the jobs."""

    contacts: dict[str, WorkerContact]
    job_index: JobIndex

    def get_table(self) -> QueueTable | None:
        """Return the declared queues in force."""

    def find_pool(self, step: Step) -> str:
        """Return the pool that is declared for a step's queue at present."""


class _Finished(NamedTuple):
    at: float
    pool: str
    work: Work


class OutlookReporter:
    """Measures the load of one owner's pools and builds its reports.

    :param is_limited: returns whether jobs of other accounts precede a step, as its
        account is above its share or beyond its declared rate.
    :param returning: the jobs whose callers were told to return.
    :param pace: how many starts the owner allows and makes.
    """

    def __init__(
        self,
        owner: OutlookOwner,
        is_limited: Callable[[Step], bool],
        returning: ReturningJobs,
        pace: StartPace,
    ) -> None:
        self._pace = pace
        self._owner = owner
        self._is_limited = is_limited
        self._returning = returning
        self._finished: deque[_Finished] = deque()
        self._rates: dict[str, Work] = {}
        self._measured_since: float | None = None
        self._start_rates: deque[float] = deque(maxlen=AVERAGED_REPORTS)
        self._logged_at = self._limiting_at = float("-inf")

    @property
    def is_limit_known(self) -> bool:
        """Whether starts are limited, and at what rate they are made is known."""
        return bool(self._start_rates)

    def record_completion(self, step: Step, now: float) -> None:
        """Count a task of a step that has completed."""
        if self._measured_since is None:
            self._measured_since = now
        work = estimate_work(step.spec, 1)
        pool = self._owner.find_pool(step)
        self._finished.append(_Finished(now, pool, work))
        self._rates[pool] = self._rates.get(pool, NO_WORK).plus(work)
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        finished = self._finished
        while finished and finished[0].at < now - RATE_SECONDS:
            _, pool, work = finished.popleft()
            total = self._rates[pool]
            self._rates[pool] = Work(
                total.processors - work.processors, total.memory - work.memory
            )

    def _measure_rate(self, pool: str, now: float) -> Work | None:
        """Return the work finished per second, ``None`` while that is not known."""
        self._drop_old(now)
        since = self._measured_since
        if since is None or now - since < RATE_SECONDS or pool not in self._rates:
            return None
        total = self._rates[pool]
        return Work(total.processors / RATE_SECONDS, total.memory / RATE_SECONDS)

    def build(
        self, waiting: Callable[[], list[RankedStep]], members: int, now: float
    ) -> ReportOutlook | None:
        """Return the report, ``None`` if nothing limits jobs.

        :param waiting: returns the pending steps; called only if something does.
        :param members: the number of daemons that may refuse jobs.
        """
        used = measure_used_shares(self._owner.contacts.values())
        outlook = self._build(used, waiting, members, now)
        self._log(used, outlook, now)
        return outlook

    def _log(
        self, used: dict[str, float], outlook: ReportOutlook | None, now: float
    ) -> None:
        """Log what daemons refuse jobs by, or that a pool is nearly full without it."""
        is_contended = max(used.values(), default=0.0) > CONTENDED_SHARE
        if now - self._logged_at < LOG_INTERVAL_SECONDS or not (
            outlook or is_contended
        ):
            return
        self._logged_at = now
        report: ReportOutlook = outlook or {
            "queues": [],
            "accounts": [],
            "returning": [],
        }
        _log.info(
            "The outlook for jobs.",
            used={pool: round(share, 3) for pool, share in used.items()},
            is_owner_limiting=report.get("is_owner_limiting", False),
            queues=report["queues"][:MAX_LOGGED_QUEUES],
            limited=len(report["accounts"]),
            returning=len(report["returning"]),
        )

    def _build(
        self,
        used: dict[str, float],
        waiting: Callable[[], list[RankedStep]],
        members: int,
        now: float,
    ) -> ReportOutlook | None:
        """Return the report on full pools, or on an owner that limits starts."""
        table, full = self._owner.get_table(), find_full_pools(used)
        rates = {
            pool: rate
            for pool in full
            if (rate := self._measure_rate(pool, now)) is not None
        }
        due = self._returning.list_due(now)
        if table is not None and not full and self._is_owner_limiting(used, now):
            return self._build_limited(table, waiting(), due, members, now)
        if table is None or not rates:
            return {"queues": [], "accounts": [], "returning": due} if due else None
        steps = waiting()
        for entry in steps:
            self._returning.discard(hash_job(entry.pending.step.job.identifier))
        rows = [
            self._build_row(queue, rates[queue.pool], steps, members, now)
            for queue in table.queues
            if queue.pool in rates
        ]
        rows = [row for row in rows if row[2]]
        named = _select_named(rows)
        limited = {
            account
            for entry in steps
            if (account := entry.pending.step.job.record.account)
            and self._is_limited(entry.pending.step)
        }
        return {
            "queues": named,
            "accounts": sorted(limited)[:MAX_REPORTED_ACCOUNTS],
            "returning": due,
            **_describe_others(table, rows, named),
        }

    def _build_limited(
        self,
        table: QueueTable,
        steps: list[RankedStep],
        due: list[int],
        members: int,
        now: float,
    ) -> ReportOutlook | None:
        """Return the report of an owner that can't start tasks fast enough."""
        latest = self._pace.measure_rate(now)
        if latest is not None:
            self._start_rates.append(latest)
        if not self._start_rates:
            return None
        rate = self._average_rate()
        waiting: Counter[int] = Counter()
        jobs: Counter[str] = Counter()
        tasks: Counter[str] = Counter()
        for urgency, _, pending in steps:
            if urgency.deadline_status is DeadlineStatus.ON_TIME:
                waiting[urgency.rank] += pending.waiting
            name = pending.step.job.queue.name
            jobs[name] += 1
            tasks[name] += pending.waiting
        backlog = self.count_backlog() / rate
        factors = _rank_factors(table)
        rows = []
        for queue in table.queues:
            ahead = sum(n for rank, n in waiting.items() if rank <= queue.rank)
            each = tasks[queue.name] / max(jobs[queue.name], 1) / rate
            rows.append(
                (
                    queue.name,
                    _to_milliseconds(ahead / rate),
                    _to_milliseconds(backlog * factors[queue.rank]),
                    _to_milliseconds(each * members),
                )
            )
        named = _select_named(rows)
        return {
            "queues": named,
            "accounts": [],
            "returning": due,
            "is_owner_limiting": True,
            **_describe_others(table, rows, named),
        }

    def count_backlog(self) -> int:
        """Count the tasks of accepted jobs that still have to be started."""
        return sum(
            min(job.count_unstarted(), MAX_BACKLOG_TASKS)
            for job in self._owner.job_index.open_jobs.values()
        )

    def _is_owner_limiting(self, used: dict[str, float], now: float) -> bool:
        """Whether what was accepted waits for the owner.

        It does so for a while after starts were limited, if much capacity is free and
        there is more to start than usual.
        """
        if self._pace.is_limiting(now):
            self._limiting_at = now
            return True
        is_idle = max(used.values(), default=1.0) <= IDLE_SHARE
        if not is_idle or now - self._limiting_at > LIMITED_SECONDS:
            self._start_rates.clear()
            return False
        if not self._start_rates:
            return False
        return self.count_backlog() > LIMITED_BACKLOG_SECONDS * self._average_rate()

    def _average_rate(self) -> float:
        """Return the starts per second, as an average over the last reports."""
        return sum(self._start_rates) / len(self._start_rates)

    def _build_row(
        self,
        queue: Queue,
        rate: Work,
        steps: Iterable[RankedStep],
        members: int,
        now: float,
    ) -> tuple[str, int, int, int]:
        """Return the queue, its two waits and the interval of returns of one daemon.

        Jobs of accounts within their share go before everything that is late. For those
        of other accounts, all that waits and can still be useful goes first.
        """
        first, all_useful = NO_WORK, self._returning.sum_work(now)
        tasks_work, jobs = NO_WORK, 0
        for urgency, _, pending in steps:
            step = pending.step
            if self._owner.find_pool(step) != queue.pool:
                continue
            work = estimate_work(step.spec, pending.waiting)
            if step.job.queue.name == queue.name:
                tasks_work, jobs = tasks_work.plus(work), jobs + 1
            if urgency.rank > queue.rank:
                continue
            if urgency.deadline_status is DeadlineStatus.LOST:
                continue
            all_useful = all_useful.plus(work)
            if urgency.deadline_status is DeadlineStatus.ON_TIME:
                first = first.plus(work)
        seconds_each = measure_seconds(tasks_work, rate) / jobs if jobs else 0.0
        return (
            queue.name,
            _to_milliseconds(measure_seconds(first, rate)),
            _to_milliseconds(measure_seconds(all_useful, rate)),
            _to_milliseconds(seconds_each * members),
        )


def _select_named(rows: list[_Row]) -> list[_Row]:
    """Return the rows of the queues with the longest waits, as many as are reported."""
    return heapq.nlargest(MAX_REPORTED_QUEUES, rows, key=lambda row: (row[2], row[0]))


def _describe_others(
    table: QueueTable, rows: list[_Row], named: list[_Row]
) -> _OtherQueues:
    """Return the waits of the queues that are not named, by pool and rank.

    They depend on nothing else, except for the interval of returns. Of many ranks, a
    part is reported: the wait of a more urgent rank is a lower bound.
    """
    known = {row[0] for row in named}
    others: dict[tuple[str, int], tuple[int, int, int]] = {}
    for name, first, last, interval in rows:
        queue = table.get(name)
        if name in known or queue is None:
            continue
        key = queue.pool, queue.rank
        longest = max(interval, others.get(key, (0, 0, 0))[2])
        others[key] = first, last, longest
    if not others:
        return {}
    step = math.ceil(len(others) / MAX_REPORTED_RANKS)
    return {"others": [(*key, *others[key]) for key in sorted(others)[::step]]}


def _rank_factors(table: QueueTable) -> dict[int, float]:
    """Return by rank how much the backlog counts, least for the most urgent."""
    ranks = sorted({queue.rank for queue in table.queues})
    return {
        rank: 1.0 + PATIENT_FACTOR * position / max(len(ranks) - 1, 1)
        for position, rank in enumerate(ranks)
    }


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
