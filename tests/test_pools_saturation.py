"""An owner without enough processor time serves what it can and stays in office.

The load: a burst of jobs that needs more of the owner's processor than there is. The
owner did late what keeps it in office and took its own lateness for that of others:
answers that had arrived counted as time-outs, starts were polled, stopped and repeated,
its lease in the store ended, and each successor loaded all jobs and workers and was as
late. So next to nothing was served, also after the burst.
"""

import asyncio
import itertools
import unittest
from datetime import timedelta
from functools import cache
from typing import NamedTuple

from damaskdeck.background import start_task
from damaskdeck.protocol.pools import EndKind
from damaskdeck.protocol.queues import StepSpec, TaskName
from standins.loops import run_virtual
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, make_job, make_queue
from tests.saturation import SaturableCluster

# At 10 jobs of 3 tasks a second the owner has hardly any processor time left.
CALLBACK_TIME = timedelta(microseconds=1200)
CALM_RATES = (2.0, 0.2)
OVERLOAD_RATES = (14.0, 1.0)
BURST_SECONDS = 14
# What callers need: under overload at least this share of the best throughput is kept,
# and this long after a burst jobs are served in time again.
MIN_THROUGHPUT_SHARE = 0.8
RECOVERY_SECONDS = 10
CALM_SECONDS = 16
URGENT = make_queue("checks", rank=0, allowance=0.25 * SECOND)
# Of an urgent job: the slack of its queue times its work, and the allowance.
OBJECTIVE_SECONDS = 3.0 * 0.8 + 0.25
PATIENT = make_queue("plans", rank=2, allowance=3 * SECOND)
CHECK = make_job(StepSpec(3, SMALL, 0.8 * SECOND))
PLAN = make_job(StepSpec(20, SMALL, 2 * SECOND))


def behave(task: TaskName, attempt: int) -> Work:
    """Run tasks for as long as they are estimated to."""
    return Work(2 * SECOND if task.job.startswith("p") else 0.8 * SECOND)


class Play(NamedTuple):
    """What a play of load has shown.

    :param epochs: of the takeovers during the play.
    :param starts: all starts of tasks.
    :param tasks: how many tasks were started.
    :param completions: when each run completed, in seconds.
    :param durations: of each urgent job, from when it was accepted, by that time;
        infinite if it never ended.
    :param accepted: when each job was accepted, and its duration.
    :param violations: of the invariants.
    """

    epochs: list[int]
    starts: int
    tasks: int
    completions: list[float]
    durations: list[tuple[float, float]]
    accepted: dict[str, tuple[float, float]]
    violations: list[str]

    def measure_throughput(self, since: float, until: float) -> float:
        """Return the runs that completed per second in a time."""
        completed = sum(since <= at < until for at in self.completions)
        return completed / (until - since)

    def list_durations(self, since: float, until: float = float("inf")) -> list[float]:
        """Return the durations of the urgent jobs that were accepted in a time."""
        return [duration for at, duration in self.durations if since <= at < until]


class Load:
    """Submits urgent and patient jobs to a cluster."""

    def __init__(self, cluster: SaturableCluster) -> None:
        self._cluster = cluster
        self._numbers = itertools.count()
        self._submissions: set[asyncio.Task[None]] = set()

    async def press(self, rates: tuple[float, float], seconds: float) -> None:
        """Submit urgent and patient jobs at rates per second."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        due = [
            (number / rate, prefix)
            for rate, prefix in zip(rates, "cp", strict=True)
            for number in range(int(rate * seconds))
        ]
        for at, prefix in sorted(due):
            await asyncio.sleep(max(0.0, began_at + at - loop.time()))
            start_task(self._submit(prefix, next(self._numbers)), self._submissions)
        await asyncio.sleep(max(0.0, began_at + seconds - loop.time()))

    async def _submit(self, prefix: str, number: int) -> None:
        daemons = self._cluster.daemons
        names = sorted(name for name in daemons if not daemons[name].is_killed)
        queue, spec = (URGENT, CHECK) if prefix == "c" else (PATIENT, PLAN)
        name = names[number % len(names)]
        await self._cluster.offer(name, queue, f"{prefix}{number}", spec)


async def play_load(
    phases: tuple[tuple[tuple[float, float], float], ...], rest_seconds: float = 3
) -> Play:
    """Play phases of load, each with its rates and seconds, and a rest without any."""
    cluster = SaturableCluster(
        CALLBACK_TIME,
        daemons=6,
        workers=24,
        behave=behave,
        queues=(URGENT, PATIENT),
    )
    await cluster.start()
    await asyncio.sleep(1)
    cluster.epochs.clear()
    began_at = asyncio.get_running_loop().time()
    load = Load(cluster)
    for rates, seconds in phases:
        await load.press(rates, seconds)
    await asyncio.sleep(rest_seconds)
    accepted = {}
    for job, accepted_at in cluster.accepted_at.items():
        ended_at = cluster.find_completion(job)
        duration = (
            float("inf")
            if ended_at is None
            else (ended_at - accepted_at).total_seconds()
        )
        accepted[job] = accepted_at.total_seconds() - began_at, duration
    starts = cluster.list_starts()
    play = Play(
        list(cluster.epochs),
        len(starts),
        len({task for _, task, _, _ in starts}),
        [
            ended_at.total_seconds() - began_at
            for worker in cluster.workers.values()
            for _, _, kind, _, ended_at in worker.history
            if kind is EndKind.COMPLETED
        ],
        [times for job, times in accepted.items() if job.startswith("c")],
        accepted,
        cluster.find_violations(),
    )
    cluster.close()
    return play


@cache
def play_burst() -> Play:
    """Play a burst of more load than the owner can serve, and the calm after it."""
    return run_virtual(
        play_load(((OVERLOAD_RATES, BURST_SECONDS), (CALM_RATES, CALM_SECONDS)))
    )


@cache
def measure_best_throughput() -> float:
    """Return the highest throughput of loads from well below to above capacity."""
    best = 0.0
    for share in (0.3, 0.5, 0.7, 1.0):
        rates = (OVERLOAD_RATES[0] * share, OVERLOAD_RATES[1] * share)
        play = run_virtual(play_load(((rates, 6),)))
        best = max(best, play.measure_throughput(2, 6))
    return best


class TestBurst(unittest.TestCase):
    """A burst of more load than the owner has processor time for."""

    def test_throughput_stays_near_the_best(self):
        throughput = play_burst().measure_throughput(2, BURST_SECONDS)
        limit = MIN_THROUGHPUT_SHARE * measure_best_throughput()
        self.assertGreaterEqual(throughput, limit)

    def test_jobs_are_served_in_time_soon_after_the_burst(self):
        durations = play_burst().list_durations(BURST_SECONDS + RECOVERY_SECONDS)
        self.assertTrue(durations)
        self.assertLess(max(durations), OBJECTIVE_SECONDS)

    def test_most_urgent_jobs_are_served_in_time_during_the_burst(self):
        durations = play_burst().list_durations(0, BURST_SECONDS)
        in_time = sum(duration < OBJECTIVE_SECONDS for duration in durations)
        self.assertGreater(in_time, len(durations) / 2)

    def test_the_owner_stays_in_office(self):
        self.assertEqual(play_burst().epochs, [])

    def test_hardly_any_start_is_repeated(self):
        play = play_burst()
        self.assertLess(play.starts, 1.05 * play.tasks)

    def test_nothing_runs_twice(self):
        self.assertEqual(play_burst().violations, [])
