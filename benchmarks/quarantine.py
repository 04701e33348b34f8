"""Measures quarantine: how soon failing workers are held, and good ones by mistake."""

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
# A failing worker ends everything at once, so it has room more often.
DRAW = 6
RUN_TIME = (20, 120)


class Cell:
    """Workers that get random tasks of random workloads.

    :param failing: how many workers fail whatever they start.
    :param broken: how many workloads fail wherever they run.
    """

    def __init__(self, workers: int, failing: int, loads: int, broken: int) -> None:
        self.rng = random.Random(SEED)
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock, FailureHistory())
        self.workers = [f"w{number}" for number in range(workers)]
        self.quarantine.set_fleet(frozenset(self.workers))
        self.failing = frozenset(self.rng.sample(self.workers, failing))
        self.loads = loads
        self.broken = broken
        self.ends: list[tuple[int, int, str, str, bool]] = []
        self.started = 0
        self.wasted = 0
        self.held_good: set[str] = set()
        self.first_held: dict[str, int] = {}

    def run(self, duration: int, rate: int) -> Figures:
        """Start ``rate`` tasks a second for ``duration`` seconds."""
        weights = [DRAW if name in self.failing else 1 for name in self.workers]
        began = time.process_time()
        for second in range(duration):
            self.clock.move(timedelta(seconds=1))
            self._end(second)
            self._note_held(second)
            for worker in self.rng.choices(self.workers, weights, k=rate):
                if self.quarantine.may_start(worker, True):
                    self._start(second, worker)
        spent = time.process_time() - began
        isolated = self.quarantine.isolated
        times = sorted(self.first_held.values())
        return {
            "failing_held": f"{len(isolated & self.failing)} of {len(self.failing)}",
            "held_after_s_p50": times[len(times) // 2] if times else None,
            "held_after_s_most": times[-1] if times else None,
            "good_ever_held": len(self.held_good),
            "good_held_at_end": len(isolated - self.failing),
            "cap": self.quarantine.cap,
            "starts": self.started,
            "starts_on_failing": self.wasted,
            "us_per_task": round(1e6 * spent / self.started, 1),
        }

    def _start(self, second: int, worker: str) -> None:
        self.started += 1
        load = self.rng.randrange(self.loads)
        ends_well = load >= self.broken and worker not in self.failing
        self.wasted += worker in self.failing
        task = f"task-{self.started}"
        self.quarantine.record_start(worker, task)
        end = second + (self.rng.randint(*RUN_TIME) if ends_well else 1)
        entry = (end, self.started, worker, f"load-{load}", ends_well)
        heapq.heappush(self.ends, entry)

    def _end(self, second: int) -> None:
        while self.ends and self.ends[0][0] <= second:
            _, number, worker, load, ended_well = heapq.heappop(self.ends)
            task = f"task-{number}"
            self.quarantine.record_end(worker, load, task, task, ended_well)

    def _note_held(self, second: int) -> None:
        for worker in self.quarantine.isolated:
            if worker in self.failing:
                self.first_held.setdefault(worker, second)
            else:
                self.held_good.add(worker)


def run(quick: bool) -> Figures:
    """Measure the target size and a cell of today.

    :param quick: a shorter time.
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
