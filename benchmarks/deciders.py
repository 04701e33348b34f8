"""Simulates how long jobs wait if one owner, or several, decide for a pool.

The pool and its load are those of the smaller of the users' sites as it is simulated:
24 workers of 16 cores, three queues with gangs among them, and an advisor that
consents to a third to two thirds of the workers for each step. A decider knows its
part of the workers only, and each job belongs to the decider that a hash of its name
selects; here the decider is drawn at random. Jobs are placed by rank and age with best
fit; smaller jobs may start before a gang that doesn't fit.
"""

import heapq
import itertools
import math
import random
import statistics
from typing import NamedTuple

WORKER_MILLICORES = 16_000
WORKERS = 24
DURATION_SECONDS = 600
SEED = 11
# Number of deciders that share the workers: one for all, one for each availability
# zone, one for each instance.
DECIDER_COUNTS = {"one_for_all": 1, "one_a_zone": 3, "one_an_instance": 6}


class QueueProfile(NamedTuple):
    """The distribution of a queue's jobs.

    Tuples hold the mean, the coefficient of variation and the maximum of a log-normal
    distribution.

    :param rate: jobs per second.
    :param task_count: distribution of the number of tasks of a job.
    :param millicores: distribution of the size of a task.
    :param seconds: distribution of the run time.
    :param gang_share: share of the jobs that are gangs.
    :param consent_share: share of the workers that the advisor consents to.
    """

    rank: int
    rate: float
    task_count: tuple[float, float, float]
    millicores: tuple[float, float, float]
    seconds: tuple[float, float, float]
    gang_share: float
    consent_share: float


QUEUE_PROFILES = {
    "urgent": QueueProfile(
        0, 15.4, (2, 0.8, 12), (1400, 0.45, 4200), (1.0, 0.5, 2.5), 0.3, 0.7
    ),
    "gangs": QueueProfile(
        1, 0.737, (6.4, 0.6, 32), (4500, 0.4, 7600), (6.2, 0.5, 16), 1.0, 0.35
    ),
    "wide": QueueProfile(
        2, 2.18, (10, 0.8, 60), (980, 0.45, 2900), (3.4, 0.5, 8.4), 0.0, 0.45
    ),
}


class WaitingJob(NamedTuple):
    """A job with tasks that haven't started.

    :param remaining: number of those tasks.
    :param allowed_workers: indexes of the workers that the advisor consents to.
    """

    rank: int
    arrived: float
    number: int
    queue_name: str
    remaining: int
    millicores: int
    seconds: float
    is_gang: bool
    allowed_workers: frozenset[int]


def run(quick: bool = False) -> dict:
    """Return the waits from arrival to the start of a job's last task.

    :returns: figures by the number of deciders and by queue.
    """
    seconds = DURATION_SECONDS // 10 if quick else DURATION_SECONDS
    return {
        name: _simulate(decider_count, seconds)
        for name, decider_count in DECIDER_COUNTS.items()
    }


def _draw(rng: random.Random, distribution: tuple[float, float, float]) -> float:
    mean, variation, maximum = distribution
    sigma = math.sqrt(math.log(1 + variation * variation))
    drawn = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return min(drawn, maximum)


def _draw_arrivals(rng: random.Random, seconds: int) -> list[WaitingJob]:
    numbers = itertools.count()
    jobs = []
    for name, profile in QUEUE_PROFILES.items():
        now = rng.expovariate(profile.rate)
        while now < seconds:
            workers = range(WORKERS)
            allowed_workers = frozenset(
                w for w in workers if rng.random() < profile.consent_share
            )
            jobs.append(
                WaitingJob(
                    profile.rank,
                    now,
                    next(numbers),
                    name,
                    max(1, round(_draw(rng, profile.task_count))),
                    int(_draw(rng, profile.millicores)),
                    _draw(rng, profile.seconds),
                    rng.random() < profile.gang_share,
                    allowed_workers,
                )
            )
            now += rng.expovariate(profile.rate)
    return sorted(jobs, key=lambda job: job.arrived)


def _simulate(decider_count: int, seconds: int) -> dict:
    rng = random.Random(SEED)
    arrivals = _draw_arrivals(rng, seconds)
    free = [WORKER_MILLICORES] * WORKERS
    queues: list[list[WaitingJob]] = [[] for _ in range(decider_count)]
    ends: list[tuple[float, int, int]] = []
    waits: dict[str, list[float]] = {name: [] for name in QUEUE_PROFILES}
    upcoming = iter(arrivals)
    job = next(upcoming, None)
    while job is not None or ends:
        if job is not None and (not ends or job.arrived <= ends[0][0]):
            now, decider = job.arrived, rng.randrange(decider_count)
            queues[decider].append(job)
            queues[decider].sort(key=lambda w: (w.rank, w.arrived))
            job = next(upcoming, None)
        else:
            now, worker, millicores = heapq.heappop(ends)
            free[worker] += millicores
            decider = worker % decider_count
        queues[decider] = _run_pass(
            queues[decider], decider, decider_count, free, ends, waits, now
        )
    unstarted = sum(len(queue) for queue in queues)
    return {
        "jobs_that_no_decider_could_start": unstarted,
        **{name: _summarize(found) for name, found in waits.items()},
    }


def _run_pass(
    queue: list[WaitingJob],
    decider: int,
    decider_count: int,
    free: list[int],
    ends: list[tuple[float, int, int]],
    waits: dict[str, list[float]],
    now: float,
) -> list[WaitingJob]:
    """Start tasks that fit, and return the jobs that still wait."""
    still_waiting = []
    for job in queue:
        own_workers = [w for w in job.allowed_workers if w % decider_count == decider]
        places = _place(job, own_workers, free)
        if job.is_gang and len(places) < job.remaining:
            places = []
        for worker in places:
            free[worker] -= job.millicores
            heapq.heappush(ends, (now + job.seconds, worker, job.millicores))
        if len(places) == job.remaining:
            waits[job.queue_name].append(now - job.arrived)
        else:
            still_waiting.append(job._replace(remaining=job.remaining - len(places)))
    return still_waiting


def _place(job: WaitingJob, own_workers: list[int], free: list[int]) -> list[int]:
    capacity = {worker: free[worker] for worker in own_workers}
    places = []
    for _ in range(job.remaining):
        fitting = [
            worker for worker in own_workers if capacity[worker] >= job.millicores
        ]
        if not fitting:
            break
        best = min(fitting, key=capacity.__getitem__)
        capacity[best] -= job.millicores
        places.append(best)
    return places


def _summarize(waits: list[float]) -> dict:
    waits = sorted(waits)
    if not waits:
        return {"started": 0}
    return {
        "started": len(waits),
        "mean_wait_seconds": round(statistics.fmean(waits), 3),
        "wait_of_95_in_100_seconds": round(waits[int(0.95 * (len(waits) - 1))], 3),
    }
