"""Simulates a queue over one pool of resources, without placement.

The benchmark of queueing measures waiting times and fairness with it.
"""

import heapq
import math
import random
from collections import deque
from collections.abc import Iterator
from datetime import timedelta
from typing import NamedTuple, Protocol

from damaskdeck.coordination.queues.fairness import compute_dominant_share
from damaskdeck.coordination.queues.passes import Pass
from damaskdeck.coordination.queues.queueing import RANKS, JobQueue
from damaskdeck.coordination.queues.waiting import WaitingJob
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size, add_sizes, fits, subtract_sizes
from damaskdeck.state.quotas import Quotas

TEAMS = 120
CAPACITY = Size(4_000_000, 16_000_000, 200)
# Share of the jobs, and minimum and maximum run time in seconds, by urgency.
CLASSES = {
    Urgency.URGENT: (0.35, 1, 5),
    Urgency.HIGH: (0.15, 5, 30),
    Urgency.NORMAL: (0.3, 10, 60),
    Urgency.LOW: (0.2, 10, 60),
}


class PoolJob(NamedTuple):
    """A job with its actual run time, which the queue doesn't see."""

    waiting: WaitingJob
    run_time: timedelta


class Pool:
    """Simulates the time and the resources that a queue shares out.

    :ivar running: ends of the running jobs, a number that orders equal ends, jobs.
    :ivar use: resources in use by each team.
    :ivar waits: seconds that jobs waited, by urgency.
    """

    def __init__(self, capacity: Size = CAPACITY) -> None:
        self.now = timedelta()
        self.capacity = capacity
        self.free = capacity
        self.running: list[tuple[timedelta, int, PoolJob]] = []
        self.use: dict[str, Size] = {}
        self.waits: dict[Urgency, list[float]] = {urgency: [] for urgency in Urgency}
        self._order = 0

    def monotonic(self) -> timedelta:
        """Return the simulated time, so that the pool serves as a clock."""
        return self.now

    def start(self, job: PoolJob) -> None:
        """Start a job."""
        waiting = job.waiting
        self._order += 1
        end = self.now + job.run_time
        heapq.heappush(self.running, (end, self._order, job))
        self.free = subtract_sizes(self.free, waiting.size)
        used = self.use.get(waiting.team, Size())
        self.use[waiting.team] = add_sizes(used, waiting.size)
        wait = (self.now - waiting.submitted).total_seconds()
        self.waits[waiting.urgency].append(wait)

    def end(self) -> PoolJob:
        """End the running job whose end is next, and return it."""
        job = heapq.heappop(self.running)[2]
        size = job.waiting.size
        self.free = add_sizes(self.free, size)
        used = self.use[job.waiting.team]
        self.use[job.waiting.team] = subtract_sizes(used, size)
        return job


class TestedQueue(Protocol):
    """A queue under comparison."""

    def push(self, job: PoolJob) -> None:
        """Add a job."""

    def end(self, job: PoolJob) -> None:
        """Handle the end of a job."""

    def step(self, pool: Pool) -> None:
        """Start jobs that fit."""

    def list_waiting(self) -> Iterator[WaitingJob]:
        """Yield the waiting jobs."""


class ArrivalOrder:
    """Starts jobs strictly in order of arrival; the first one blocks the rest."""

    def __init__(self, pool: Pool, quotas: Quotas) -> None:
        self._jobs: deque[PoolJob] = deque()

    def push(self, job: PoolJob) -> None:
        """Append a job."""
        self._jobs.append(job)

    def end(self, job: PoolJob) -> None:
        """Do nothing."""

    def step(self, pool: Pool) -> None:
        """Start jobs from the head of the queue while they fit."""
        while self._jobs and fits(self._jobs[0].waiting.size, pool.free):
            pool.start(self._jobs.popleft())

    def list_waiting(self) -> Iterator[WaitingJob]:
        """Yield the waiting jobs."""
        return (job.waiting for job in self._jobs)


class DamaskdeckQueue:
    """The job queue of damaskdeck."""

    def __init__(self, pool: Pool, quotas: Quotas) -> None:
        self._quotas = quotas
        self._queue = JobQueue(pool, quotas)
        self._jobs: dict[str, PoolJob] = {}

    def push(self, job: PoolJob) -> None:
        """Add a job."""
        self._jobs[job.waiting.name] = job
        self._queue.push(job.waiting)

    def end(self, job: PoolJob) -> None:
        """Release the job's share of its team's quota."""
        waiting = job.waiting
        self._quotas.release(waiting.team, waiting.need, RANKS[waiting.urgency])

    def step(self, pool: Pool) -> None:
        """Run one pass over the waiting jobs."""
        self._queue.unblock_fitting(pool.free)
        offers = Pass(self._queue)
        while (waiting := offers.next()) is not None:
            if fits(waiting.size, pool.free):
                offers.take(waiting)
                pool.start(self._jobs.pop(waiting.name))
            else:
                offers.fail(waiting, "room")

    def list_waiting(self) -> Iterator[WaitingJob]:
        """Yield the waiting jobs."""
        return (job.waiting for job in self._jobs.values())


def make_quotas(seed: int, capacity: Size = CAPACITY) -> Quotas:
    """Return equal quotas that add up to the capacity, with weights of 1 and 2."""
    rng = random.Random(seed)
    quotas = Quotas(capacity)
    for team in range(TEAMS):
        share = Size(*(amount // TEAMS for amount in capacity))
        quotas.set_quota(f"team-{team}", share, rng.choice((1.0, 2.0)))
    return quotas


def make_jobs(
    seed: int, duration: float, load: float, one_class: bool
) -> list[PoolJob]:
    """Draw jobs; the teams' demands differ widely.

    :param duration: seconds during which jobs arrive.
    :param load: arriving work as a share of the pool's capacity.
    :param one_class: whether all jobs have the urgency ``normal``.
    """
    rng = random.Random(seed)
    jobs, time, number = [], 0.0, 0
    rate = _compute_rate(load)
    while (time := time + rng.expovariate(rate)) < duration:
        number += 1
        urgency = rng.choices(list(CLASSES), [c[0] for c in CLASSES.values()])[0]
        _, least, most = CLASSES[urgency]
        team = min(int(rng.expovariate(6 / TEAMS)), TEAMS - 1)
        job = WaitingJob(
            f"job-{number}",
            f"team-{team}",
            Urgency.NORMAL if one_class else urgency,
            _draw_size(rng),
            timedelta(seconds=time),
        )
        run_time = math.exp(rng.uniform(math.log(least), math.log(most)))
        jobs.append(PoolJob(job, timedelta(seconds=run_time)))
    return jobs


class FairnessMeter:
    """Compares the teams' dominant shares with those of max-min fair sharing.

    :ivar max_deficit: highest deficit of any team in any sample, as a share of the
        capacity.
    """

    def __init__(self, weights: dict[str, float]) -> None:
        self.max_deficit = 0.0
        self._weights = weights
        self._fair_totals: dict[str, float] = {}
        self._received_totals: dict[str, float] = {}

    def sample(self, pool: Pool, queue: TestedQueue) -> None:
        """Compare the current dominant shares of all teams with the fair shares."""
        demand = dict(pool.use)
        for job in queue.list_waiting():
            demand[job.team] = add_sizes(demand.get(job.team, Size()), job.size)
        weights = {team: self._weights.get(team, 1.0) for team in demand}
        fair_shares = _fill_evenly(demand, weights, pool.capacity)
        for team, fair_share in fair_shares.items():
            received = compute_dominant_share(pool.use.get(team, Size()), pool.capacity)
            self._fair_totals[team] = self._fair_totals.get(team, 0.0) + fair_share
            self._received_totals[team] = self._received_totals.get(team, 0.0) + min(
                received, fair_share
            )
            self.max_deficit = max(self.max_deficit, fair_share - received)

    def list_shares(self) -> list[float]:
        """Return the sorted ratios of received to fair share over time, by team."""
        return sorted(
            self._received_totals[team] / fair_share
            for team, fair_share in self._fair_totals.items()
            if fair_share
        )


def replay(
    jobs: list[PoolJob], pool: Pool, queue: TestedQueue, meter: FairnessMeter
) -> None:
    """Replay all arrivals; jobs that never start count as waiting until the end."""
    sample = timedelta(seconds=60)
    end = jobs[-1].waiting.submitted
    arrivals = iter(jobs)
    arrival = next(arrivals, None)
    while arrival is not None or pool.now < end:
        moments = [pool.running[0][0]] if pool.running else []
        moments += [arrival.waiting.submitted] if arrival else []
        pool.now = min(*moments, sample) if moments else sample
        if pool.now >= sample:
            sample += timedelta(seconds=10)
            meter.sample(pool, queue)
        while arrival and arrival.waiting.submitted <= pool.now:
            queue.push(arrival)
            arrival = next(arrivals, None)
        while pool.running and pool.running[0][0] <= pool.now:
            queue.end(pool.end())
        queue.step(pool)
    for waiting in queue.list_waiting():
        pool.waits[waiting.urgency].append((end - waiting.submitted).total_seconds())


def _fill_evenly(
    demand: dict[str, Size], weights: dict[str, float], capacity: Size
) -> dict[str, float]:
    """Return the weighted max-min fair dominant shares by team.

    All shares grow together until a dimension is exhausted.
    """
    wanted = {team: compute_dominant_share(demand[team], capacity) for team in demand}
    low, high = 0.0, 1.0
    for _ in range(40):
        level = (low + high) / 2
        total = [0.0, 0.0, 0.0]
        for team, size in demand.items():
            part = min(1.0, level * weights[team] / wanted[team]) if wanted[team] else 0
            for index in range(3):
                total[index] += size[index] * part
        if all(a <= b for a, b in zip(total, capacity, strict=True)):
            low = level
        else:
            high = level
    return {team: min(wanted[team], low * weights[team]) for team in demand}


def _draw_size(rng: random.Random) -> Size:
    kind = rng.random()
    if kind < 0.1:
        return Size(4000, 32_000, rng.choice((1, 2, 4)))
    if kind < 0.55:
        return Size(rng.choice((8000, 16_000)), 16_000, 0)
    return Size(2000, rng.choice((32_000, 64_000)), 0)


def _compute_rate(load: float) -> float:
    rng = random.Random(0)
    work = [0.0, 0.0, 0.0]
    count = 4000
    for _ in range(count):
        urgency = rng.choices(list(CLASSES), [c[0] for c in CLASSES.values()])[0]
        _, least, most = CLASSES[urgency]
        run_time = math.exp(rng.uniform(math.log(least), math.log(most)))
        for index, amount in enumerate(_draw_size(rng)):
            work[index] += amount * run_time / count
    return load / max(a / b for a, b in zip(work, CAPACITY, strict=True))
