"""Ranking of healthy workers by speed, learned from completed steps.

The load: healthy workers at 0.8, 1 and 1.25 of the usual speed, tasks of a step that
differ by a third, and estimates that are off by half for all tasks of a step alike.
"""

import math
import unittest
from random import Random

from damaskdeck.coordination.pools.speeds.ranks import MIN_RUNS, SpeedRanks
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, Run
from tests.poolcluster import SECOND, SMALL, make_job, make_queue

SPEEDS = {"slow": 0.8, "usual": 1.0, "fast": 1.25}


def make_step(number: int, tasks: int = 6, **fields):
    """Return a step of a new job."""
    spec = make_job(StepSpec(tasks, SMALL, SECOND, **fields))
    return Job(JobRecord(f"j{number}", make_queue(), spec, 1, 0.0), 0.0).occurrences[0][
        0
    ]


class TestSpeedRanks(unittest.TestCase):
    """Relative speeds of workers."""

    def setUp(self) -> None:
        self.random = Random(7)
        self.ranks = SpeedRanks()

    def complete_steps(self, steps: int, first: int = 0, **fields) -> None:
        """Complete steps on workers of all speeds."""
        for number in range(steps):
            step = make_step(first + number, **fields)
            work = math.exp(self.random.gauss(0, 0.5))
            for task in step.tasks:
                worker = self.random.choice(list(SPEEDS))
                run = Run(task, worker, 1, 0.0)
                uneven = math.exp(self.random.gauss(0, 0.3))
                self.ranks.record_completion(run, work * uneven / SPEEDS[worker])

    def test_worker_kinds_are_ranked_after_some_tens_of_steps(self):
        self.complete_steps(60)
        self.assertEqual([self.ranks.rank(name) for name in SPEEDS], [1, 0, -1])

    def test_a_few_runs_rank_no_worker(self):
        self.complete_steps(2)
        self.assertLess(12 / len(SPEEDS), MIN_RUNS)
        self.assertEqual({self.ranks.rank(name) for name in SPEEDS}, {0})

    def test_gangs_end_together_and_rank_no_worker(self):
        self.complete_steps(60, is_gang=True)
        self.assertEqual({self.ranks.rank(name) for name in SPEEDS}, {0})

    def test_a_worker_that_is_gone_is_discarded(self):
        self.complete_steps(60)
        self.ranks.retain_workers(frozenset({"fast"}))
        self.assertEqual(self.ranks.rank("fast"), -1)
        self.assertEqual(self.ranks.rank("slow"), 0)

    def test_a_step_that_ends_early_leaves_nothing_behind(self):
        step = make_step(1)
        self.ranks.record_completion(Run(step.tasks[0], "fast", 1, 0.0), 1.0)
        self.ranks.discard(step)
        self.assertEqual(self.ranks._durations, {})
