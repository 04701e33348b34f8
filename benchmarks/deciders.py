"""How long jobs wait when one owner decides for a pool, and when several share it.

The pool and its load are those of the smaller of the users' sites as it is played: 24
workers of 16 cores, three queues, gangs among them, an advisor that consents to a
third to two thirds of the workers for each step. A decider knows its part of the
workers only; each job goes to the decider that a hash of its name picks. Placement is
best fit by rank and age, with smaller jobs going before a gang that finds no room.
"""

import heapq
import itertools
import math
import random
import statistics
from typing import NamedTuple

CORES = 16_000
WORKERS = 24
SECONDS = 600
SEED = 11
# How many deciders share the workers: one for all, one for each availability zone,
# one for each instance.
PARTS = {"one_for_all": 1, "one_a_zone": 3, "one_an_instance": 6}


class Kind(NamedTuple):
    """A queue's jobs: mean figures with their spreads, and what they need.

    :param consents: share of workers that the advisor consents to.
    """

    rank: int
    rate: float
    width: tuple[float, float, float]
    cores: tuple[float, float, float]
    seconds: tuple[float, float, float]
    gangs: float
    consents: float


KINDS = {
    "urgent": Kind(
        0, 15.4, (2, 0.8, 12), (1400, 0.45, 4200), (1.0, 0.5, 2.5), 0.3, 0.7
    ),
    "gangs": Kind(
        1, 0.737, (6.4, 0.6, 32), (4500, 0.4, 7600), (6.2, 0.5, 16), 1.0, 0.35
    ),
    "wide": Kind(2, 2.18, (10, 0.8, 60), (980, 0.45, 2900), (3.4, 0.5, 8.4), 0.0, 0.45),
}


class Waiting(NamedTuple):
    """A job that has not started whole."""

    rank: int
    arrived: float
    number: int
    kind: str
    left: int
    cores: int
    seconds: float
    is_gang: bool
    allowed: frozenset[int]


def run(quick: bool = False) -> dict:
    """Return waits from arrival to the start of a job's last task, by deciders."""
    seconds = SECONDS // 10 if quick else SECONDS
    return {name: _play(parts, seconds) for name, parts in PARTS.items()}


def _draw(rng: random.Random, shape: tuple[float, float, float]) -> float:
    mean, spread, most = shape
    sigma = math.sqrt(math.log(1 + spread * spread))
    drawn = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return min(drawn, most)


def _draw_arrivals(rng: random.Random, seconds: int) -> list[Waiting]:
    numbers = itertools.count()
    jobs = []
    for name, kind in KINDS.items():
        now = rng.expovariate(kind.rate)
        while now < seconds:
            workers = range(WORKERS)
            allowed = frozenset(w for w in workers if rng.random() < kind.consents)
            jobs.append(
                Waiting(
                    kind.rank,
                    now,
                    next(numbers),
                    name,
                    max(1, round(_draw(rng, kind.width))),
                    int(_draw(rng, kind.cores)),
                    _draw(rng, kind.seconds),
                    rng.random() < kind.gangs,
                    allowed,
                )
            )
            now += rng.expovariate(kind.rate)
    return sorted(jobs, key=lambda job: job.arrived)


def _play(parts: int, seconds: int) -> dict:
    rng = random.Random(SEED)
    arrivals = _draw_arrivals(rng, seconds)
    free = [CORES] * WORKERS
    queues: list[list[Waiting]] = [[] for _ in range(parts)]
    ends: list[tuple[float, int, int]] = []
    waits: dict[str, list[float]] = {name: [] for name in KINDS}
    coming = iter(arrivals)
    job = next(coming, None)
    while job is not None or ends:
        if job is not None and (not ends or job.arrived <= ends[0][0]):
            now, part = job.arrived, rng.randrange(parts)
            queues[part].append(job)
            queues[part].sort(key=lambda w: (w.rank, w.arrived))
            job = next(coming, None)
        else:
            now, worker, cores = heapq.heappop(ends)
            free[worker] += cores
            part = worker % parts
        queues[part] = _pass(queues[part], part, parts, free, ends, waits, now)
    unstarted = sum(len(queue) for queue in queues)
    return {
        "jobs_that_no_decider_could_start": unstarted,
        **{name: _summarize(found) for name, found in waits.items()},
    }


def _pass(
    queue: list[Waiting],
    part: int,
    parts: int,
    free: list[int],
    ends: list[tuple[float, int, int]],
    waits: dict[str, list[float]],
    now: float,
) -> list[Waiting]:
    """Start what finds room; return the jobs that still wait."""
    left = []
    for job in queue:
        own = [w for w in job.allowed if w % parts == part]
        places = _place(job, own, free)
        if job.is_gang and len(places) < job.left:
            places = []
        for worker in places:
            free[worker] -= job.cores
            heapq.heappush(ends, (now + job.seconds, worker, job.cores))
        if len(places) == job.left:
            waits[job.kind].append(now - job.arrived)
        else:
            left.append(job._replace(left=job.left - len(places)))
    return left


def _place(job: Waiting, own: list[int], free: list[int]) -> list[int]:
    room = {worker: free[worker] for worker in own}
    places = []
    for _ in range(job.left):
        fitting = [worker for worker in own if room[worker] >= job.cores]
        if not fitting:
            break
        best = min(fitting, key=room.__getitem__)
        room[best] -= job.cores
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
