"""Measures the queue: single operations, bursts, passes, waiting and fairness."""

import random
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from benchmarks.pool import (
    CAPACITY,
    TEAMS,
    ArrivalOrder,
    DamaskdeckQueue,
    FairnessMeter,
    Pool,
    make_jobs,
    make_quotas,
    replay,
)
from damaskdeck.coordination.queues.passes import Pass
from damaskdeck.coordination.queues.queueing import CLASSES, JobQueue
from damaskdeck.coordination.queues.waiting import WaitingJob
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size

Figures = dict[str, Any]
SEED = 1
WAITING_JOBS = 4000
CANCELLED_JOBS = 10_000


def run(quick: bool) -> Figures:
    """Run all measurements.

    :param quick: whether to replay a shorter time.
    """
    return {
        "operations": measure_operations(),
        "passes": measure_passes(),
        "waiting": compare_waiting(120 if quick else 600),
        "fairness": compare_fairness(120 if quick else 600),
    }


def measure_operations() -> Figures:
    """Measure single operations in bursts of submissions and cancellations.

    The bursts have the two sizes that the users' brief states.
    """
    figures: Figures = {}
    for count in (WAITING_JOBS, CANCELLED_JOBS):
        queue = JobQueue(Pool(), make_quotas(SEED))
        jobs = draw_jobs(count)
        tracemalloc.start()
        queue.push_all(jobs)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        queue.remove_all([job.name for job in jobs])
        pushing = _time(lambda: queue.push_all(jobs))  # noqa: B023
        work_before = queue.work
        names = [job.name for job in jobs]
        random.Random(SEED).shuffle(names)
        removing = _time(lambda: queue.remove_all(names))  # noqa: B023
        figures[f"wave_of_{count}"] = {
            "push_us": round(1e6 * pushing / count, 2),
            "remove_us": round(1e6 * removing / count, 2),
            "submissions_ms": round(1e3 * pushing, 1),
            "cancellations_ms": round(1e3 * removing, 1),
            "steps_per_cancellation": round((queue.work - work_before) / count, 2),
            "bytes_per_job": round(memory / count),
        }
    return figures


def measure_passes() -> Figures:
    """Measure passes over 4,000 waiting jobs of 120 teams."""
    figures: Figures = {}
    for shapes in (8, 64, 1000):
        pool, quotas = Pool(), make_quotas(SEED)
        queue = JobQueue(pool, quotas)
        queue.push_all(draw_jobs(WAITING_JOBS, shapes))
        first = _time(lambda: _fail_all(queue))  # noqa: B023
        next_one = min(_time(lambda: _fail_all(queue)) for _ in range(20))  # noqa: B023
        queue.unblock_fitting(Size(2000, 4096, 0))
        after_room = _time(lambda: _fail_all(queue))  # noqa: B023
        queue.unblock_fitting(Size(1 << 40, 1 << 40, 1 << 20))
        _take_all(queue, WAITING_JOBS)
        at_quota = min(_time(lambda: _take_all(queue, WAITING_JOBS)) for _ in range(5))  # noqa: B023
        for team in quotas.list_teams():
            quotas.set_quota(team, Size(1 << 40, 1 << 40, 1 << 20))
        started = time.process_time()
        taken = _take_all(queue, 2000)
        taking = time.process_time() - started
        figures[f"{shapes}_shapes"] = {
            "first_full_pass_us": round(1e6 * first),
            "repeated_pass_us": round(1e6 * next_one),
            "pass_after_room_us": round(1e6 * after_room),
            "pass_at_quota_us": round(1e6 * at_quota),
            "take_us": round(1e6 * taking / max(taken, 1), 1),
            "takes_per_s": round(taken / taking),
        }
    return figures


def compare_waiting(duration: float) -> Figures:
    """Compare waiting times by urgency with those of a queue in arrival order."""
    jobs = make_jobs(SEED, duration, 1.1, one_class=False)
    figures: Figures = {"jobs": len(jobs)}
    for name, make in (("ours", DamaskdeckQueue), ("arrival_order", ArrivalOrder)):
        pool = Pool()
        started = time.process_time()
        quotas = make_quotas(SEED)
        replay(jobs, pool, make(pool, quotas), FairnessMeter({}))
        figures[name] = {
            urgency.value: _summarize(pool.waits[urgency]) for urgency in Urgency
        }
        figures[name]["elapsed_s"] = round(time.process_time() - started, 2)
    ours, other = figures["ours"]["urgent"], figures["arrival_order"]["urgent"]
    figures["urgent_p99_ratio"] = round(ours["p99"] / max(other["p99"], 1e-9), 4)
    return figures


def compare_fairness(duration: float) -> Figures:
    """Compare the teams' shares with their fair shares, with quotas out of the way.

    Each team's quota is the whole capacity.
    """
    jobs = make_jobs(SEED, duration, 1.5, one_class=True)
    figures: Figures = {"teams": TEAMS, "jobs": len(jobs)}
    weights = {
        team: quotas.read(team).weight
        for quotas in [make_quotas(SEED)]
        for team in quotas.list_teams()
    }
    for name, make in (("ours", DamaskdeckQueue), ("arrival_order", ArrivalOrder)):
        pool, quotas = Pool(), make_quotas(SEED)
        for team, weight in weights.items():
            quotas.set_quota(team, CAPACITY, weight)
        meter = FairnessMeter(weights)
        replay(jobs, pool, make(pool, quotas), meter)
        shares = meter.list_shares()
        figures[name] = {
            "least_served_team": round(shares[0], 3),
            "tenth_of_teams": round(shares[len(shares) // 10], 3),
            "median_team": round(shares[len(shares) // 2], 3),
            "greatest_lack_at_once": round(meter.max_deficit, 4),
        }
    return figures


def draw_jobs(count: int, shapes: int = 64) -> list[WaitingJob]:
    """Draw waiting jobs of all teams and urgencies.

    :param shapes: number of different sizes.
    """
    rng = random.Random(SEED)
    sizes = [
        Size(
            rng.randint(1000, 32_000), rng.randint(2048, 131_072), rng.choice((0, 0, 1))
        )
        for _ in range(shapes)
    ]
    return [
        WaitingJob(
            f"job-{number}",
            f"team-{rng.randrange(TEAMS)}",
            rng.choice(CLASSES),
            rng.choice(sizes),
            timedelta(milliseconds=number),
        )
        for number in range(count)
    ]


def _fail_all(queue: JobQueue) -> None:
    offers = Pass(queue)
    while (job := offers.next()) is not None:
        offers.fail(job, "memory")


def _take_all(queue: JobQueue, count: int) -> int:
    offers = Pass(queue)
    taken = 0
    while taken < count and (job := offers.next()) is not None:
        offers.take(job)
        taken += 1
    return taken


def _summarize(waits: list[float]) -> Figures:
    waits = sorted(waits)
    if not waits:
        return {"jobs": 0}
    return {
        "jobs": len(waits),
        "p50": round(waits[len(waits) // 2], 3),
        "p99": round(waits[int(len(waits) * 0.99)], 3),
        "most": round(waits[-1], 3),
    }


def _time(action: Callable[[], object]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started
