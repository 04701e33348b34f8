"""Measures how soon failing workers are quarantined, and how many healthy ones."""

import heapq
import random
import time
from datetime import timedelta
from typing import Any

from damaskdeck.coordination.places.failures import FailureHistory
from damaskdeck.coordination.places.quarantine import Quarantine
from standins.clock import ManualClock

Figures = dict[str, Any]
SEED = 1
# A failing worker ends its tasks at once and so has free capacity more often; it is
# drawn this many times as often as a healthy one.
FAILING_WORKER_WEIGHT = 6
RUN_TIME_SECONDS = (20, 120)


class Cell:
    """Simulates workers that get random tasks of random workloads.

    :param failing: number of workers that fail every task.
    :param broken_workloads: number of workloads that fail on every worker.
    :ivar quarantined_at: second at which a failing worker was first quarantined.
    """

    def __init__(
        self, workers: int, failing: int, workloads: int, broken_workloads: int
    ) -> None:
        self.rng = random.Random(SEED)
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock, FailureHistory())
        self.workers = [f"w{number}" for number in range(workers)]
        self.quarantine.set_fleet(frozenset(self.workers))
        self.failing = frozenset(self.rng.sample(self.workers, failing))
        self.workloads = workloads
        self.broken_workloads = broken_workloads
        self.ends: list[tuple[int, int, str, str, bool]] = []
        self.started = 0
        self.starts_on_failing = 0
        self.healthy_quarantined: set[str] = set()
        self.quarantined_at: dict[str, int] = {}

    def run(self, duration: int, rate: int) -> Figures:
        """Start ``rate`` tasks per second for ``duration`` seconds."""
        weights = [
            FAILING_WORKER_WEIGHT if name in self.failing else 1
            for name in self.workers
        ]
        began = time.process_time()
        for second in range(duration):
            self.clock.move(timedelta(seconds=1))
            self._end(second)
            self._record_quarantined(second)
            for worker in self.rng.choices(self.workers, weights, k=rate):
                if self.quarantine.may_start(worker, True):
                    self._start(second, worker)
        spent = time.process_time() - began
        isolated = self.quarantine.isolated
        times = sorted(self.quarantined_at.values())
        return {
            "failing_held": f"{len(isolated & self.failing)} of {len(self.failing)}",
            "held_after_s_p50": times[len(times) // 2] if times else None,
            "held_after_s_most": times[-1] if times else None,
            "good_ever_held": len(self.healthy_quarantined),
            "good_held_at_end": len(isolated - self.failing),
            "cap": self.quarantine.cap,
            "starts": self.started,
            "starts_on_failing": self.starts_on_failing,
            "us_per_task": round(1e6 * spent / self.started, 1),
        }

    def _start(self, second: int, worker: str) -> None:
        self.started += 1
        workload = self.rng.randrange(self.workloads)
        will_succeed = workload >= self.broken_workloads and worker not in self.failing
        self.starts_on_failing += worker in self.failing
        task = f"task-{self.started}"
        self.quarantine.record_start(worker, task)
        end = second + (self.rng.randint(*RUN_TIME_SECONDS) if will_succeed else 1)
        entry = (end, self.started, worker, f"load-{workload}", will_succeed)
        heapq.heappush(self.ends, entry)

    def _end(self, second: int) -> None:
        while self.ends and self.ends[0][0] <= second:
            _, number, worker, workload, succeeded = heapq.heappop(self.ends)
            task = f"task-{number}"
            self.quarantine.record_end(worker, workload, task, task, succeeded)

    def _record_quarantined(self, second: int) -> None:
        for worker in self.quarantine.isolated:
            if worker in self.failing:
                self.quarantined_at.setdefault(worker, second)
            else:
                self.healthy_quarantined.add(worker)


def run(quick: bool) -> Figures:
    """Measure a fleet of the target size and one of an existing deployment's size.

    :param quick: whether to simulate a shorter time.
    """
    duration = 200 if quick else 600
    figures: Figures = {}
    for broken in (0, 5, 30, 60):
        for failing in (0, 40):
            name = f"790_workers_{failing}_failing_{broken}_of_100_workloads_broken"
            figures[name] = Cell(790, failing, 100, broken).run(duration, 100)
    for broken in (1, 4):
        name = f"24_workers_1_failing_{broken}_of_6_workloads_broken"
        figures[name] = Cell(24, 1, 6, broken).run(duration, 3)
    return figures
