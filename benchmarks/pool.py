"""Waiting and fairness of a queue over one pool of resources, without placement."""

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
# Share of the jobs, and least and most run time in seconds, of each class.
CLASSES = {
    Urgency.URGENT: (0.35, 1, 5),
    Urgency.HIGH: (0.15, 5, 30),
    Urgency.NORMAL: (0.3, 10, 60),
    Urgency.LOW: (0.2, 10, 60),
}


class PoolJob(NamedTuple):
    """A job with the run time that only the benchmark knows."""

    waiting: WaitingJob
    run_time: timedelta


class Pool:
    """A queue's surroundings: the time, and the room that is left."""

    def __init__(self, capacity: Size = CAPACITY) -> None:
        self.now = timedelta()
        self.capacity = capacity
        self.room = capacity
        self.running: list[tuple[timedelta, int, PoolJob]] = []
        self.use: dict[str, Size] = {}
        self.waits: dict[Urgency, list[float]] = {urgency: [] for urgency in Urgency}
        self._order = 0

    def monotonic(self) -> timedelta:
        """Return the time, for those who take a clock."""
        return self.now

    def start(self, job: PoolJob) -> None:
        """Run a job."""
        waiting = job.waiting
        self._order += 1
        end = self.now + job.run_time
        heapq.heappush(self.running, (end, self._order, job))
        self.room = subtract_sizes(self.room, waiting.size)
        used = self.use.get(waiting.team, Size())
        self.use[waiting.team] = add_sizes(used, waiting.size)
        wait = (self.now - waiting.submitted).total_seconds()
        self.waits[waiting.urgency].append(wait)

    def end(self) -> PoolJob:
        """End the job that ends next."""
        job = heapq.heappop(self.running)[2]
        size = job.waiting.size
        self.room = add_sizes(self.room, size)
        used = self.use[job.waiting.team]
        self.use[job.waiting.team] = subtract_sizes(used, size)
        return job


class PoolQueue(Protocol):
    """What is compared."""

    def push(self, job: PoolJob) -> None:
        """Let a job wait."""

    def end(self, job: PoolJob) -> None:
        """Note that a job has ended."""

    def step(self, pool: Pool) -> None:
        """Start what there is room for."""

    def list_waiting(self) -> Iterator[WaitingJob]:
        """Yield the jobs that wait."""


class ArrivalOrder:
    """Starts jobs in order of arrival; the first one waits for room."""

    def __init__(self, pool: Pool, quotas: Quotas) -> None:
        self._jobs: deque[PoolJob] = deque()

    def push(self, job: PoolJob) -> None:
        """Append a job."""
        self._jobs.append(job)

    def end(self, job: PoolJob) -> None:
        """Do nothing."""

    def step(self, pool: Pool) -> None:
        """Start the first jobs as long as they fit."""
        while self._jobs and fits(self._jobs[0].waiting.size, pool.room):
            pool.start(self._jobs.popleft())

    def list_waiting(self) -> Iterator[WaitingJob]:
        """Yield the jobs that wait."""
        return (job.waiting for job in self._jobs)


class Ours:
    """The queue of damaskdeck."""

    def __init__(self, pool: Pool, quotas: Quotas) -> None:
        self._quotas = quotas
        self._queue = JobQueue(pool, quotas)
        self._jobs: dict[str, PoolJob] = {}

    def push(self, job: PoolJob) -> None:
        """Let a job wait."""
        self._jobs[job.waiting.name] = job
        self._queue.push(job.waiting)

    def end(self, job: PoolJob) -> None:
        """Give back what the job used."""
        waiting = job.waiting
        self._quotas.release(waiting.team, waiting.need, RANKS[waiting.urgency])

    def step(self, pool: Pool) -> None:
        """Make one pass."""
        self._queue.unblock_fitting(pool.room)
        offers = Pass(self._queue)
        while (waiting := offers.next()) is not None:
            if fits(waiting.size, pool.room):
                offers.take(waiting)
                pool.start(self._jobs.pop(waiting.name))
            else:
                offers.fail(waiting, "room")

    def list_waiting(self) -> Iterator[WaitingJob]:
        """Yield the jobs that wait."""
        return (job.waiting for job in self._jobs.values())


def make_quotas(seed: int, capacity: Size = CAPACITY) -> Quotas:
    """Make equal quotas that use up the capacity, with weights of 1 and 2."""
    rng = random.Random(seed)
    quotas = Quotas(capacity)
    for team in range(TEAMS):
        share = Size(*(amount // TEAMS for amount in capacity))
        quotas.set_quota(f"team-{team}", share, rng.choice((1.0, 2.0)))
    return quotas


def make_jobs(
    seed: int, duration: float, load: float, one_class: bool
) -> list[PoolJob]:
    """Draw jobs of teams that ask for very different amounts.

    :param load: work that arrives, as a share of what the pool can do.
    :param one_class: give all jobs the class ``normal``.
    """
    rng = random.Random(seed)
    jobs, time, number = [], 0.0, 0
    rate = _find_rate(load)
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


class Service:
    """What each team got, against what filling up all evenly would give it.

    :param greatest_lack: of any team at any time, as a share of the capacity.
    """

    def __init__(self, weights: dict[str, float]) -> None:
        self.greatest_lack = 0.0
        self._weights = weights
        self._due: dict[str, float] = {}
        self._got: dict[str, float] = {}

    def sample(self, pool: Pool, queue: PoolQueue) -> None:
        """Compare the dominant shares of all teams with their fair ones now."""
        demand = dict(pool.use)
        for job in queue.list_waiting():
            demand[job.team] = add_sizes(demand.get(job.team, Size()), job.size)
        weights = {team: self._weights.get(team, 1.0) for team in demand}
        fair = _fill_evenly(demand, weights, pool.capacity)
        for team, due in fair.items():
            got = compute_dominant_share(pool.use.get(team, Size()), pool.capacity)
            self._due[team] = self._due.get(team, 0.0) + due
            self._got[team] = self._got.get(team, 0.0) + min(got, due)
            self.greatest_lack = max(self.greatest_lack, due - got)

    def list_shares(self) -> list[float]:
        """List which part of its fair share each team got over time, sorted."""
        return sorted(self._got[team] / due for team, due in self._due.items() if due)


def replay(jobs: list[PoolJob], pool: Pool, queue: PoolQueue, service: Service) -> None:
    """Run all arrivals, then count those that still wait as having waited."""
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
            service.sample(pool, queue)
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
    """Raise all weighted dominant shares together until a dimension is full."""
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


def _find_rate(load: float) -> float:
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
