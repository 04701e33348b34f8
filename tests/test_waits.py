"""What the logs tell of the wait of a step's tasks before they are ordered."""

import unittest

from damaskdeck.coordination.pools.advice import StepAdvice
from damaskdeck.coordination.pools.pending import PendingSteps
from damaskdeck.coordination.pools.waits import (
    StepWait,
    WaitReason,
    WaitTracker,
    measure_wait,
)
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, Run, Step
from tests.poolcluster import SECOND, SMALL, make_job, make_queue


class TestStepWait(unittest.TestCase):
    """The parts of a wait add up to the time since the step's turn came."""

    def setUp(self) -> None:
        self.pending = PendingSteps()
        spec = make_job(StepSpec(2, SMALL, SECOND))
        self.job = Job(JobRecord("j", make_queue(), spec, 1, 0.0, ()), 0.0)
        self.step: Step = self.job.occurrences[0][0]
        self.advice = StepAdvice()

    def rank_at(self, now: float) -> None:
        """Let the changes of the job take effect at a time."""
        self.pending.mark_changed(self.job)
        self.pending.rank(now)

    def test_a_held_job_waits_for_workers_then_for_advice_then_for_room(self):
        self.job.has_unconfirmed_runs = True
        self.rank_at(10.0)
        self.job.has_unconfirmed_runs = False
        self.job.confirmed_at = 14.0
        self.rank_at(14.0)
        self.advice.answered_at = 15.5
        wait = measure_wait(self.step, self.advice, 16.0)
        self.assertEqual(wait, StepWait(4.0, 1.5, 0.5))
        self.assertEqual(
            wait.describe(),
            {"wait_held": 4.0, "wait_advised": 1.5, "wait_placed": 0.5},
        )

    def test_advice_that_came_before_the_turn_is_no_wait(self):
        self.advice.answered_at = 3.0
        self.rank_at(10.0)
        wait = measure_wait(self.step, self.advice, 10.25)
        self.assertEqual(wait, StepWait(0.0, 0.0, 0.25))

    def test_a_step_without_waiting_tasks_waits_for_nothing(self):
        self.rank_at(10.0)
        for task in self.step.tasks:
            task.add_run(Run(task, "w0", 1, 10.0))
        self.rank_at(11.0)
        self.assertIsNone(self.step.waiting_since)
        task = self.step.tasks[0]
        task.remove_run(task.runs[0])
        self.rank_at(12.0)
        self.assertEqual(self.step.waiting_since, 12.0)


class TestWaitTracker(unittest.TestCase):
    """For how long a step has waited for what."""

    def setUp(self) -> None:
        spec = make_job(StepSpec(2, SMALL, SECOND))
        job = Job(JobRecord("j", make_queue(), spec, 1, 0.0, ()), 0.0)
        self.step: Step = job.occurrences[0][0]
        self.tracker = WaitTracker()

    def test_seconds_are_counted_by_reason(self):
        self.tracker.record(self.step, WaitReason.ADVICE, 10.0)
        self.tracker.record(self.step, WaitReason.CAPACITY, 12.0)
        self.tracker.record(self.step, WaitReason.ADVICE, 12.5)
        seconds = self.tracker.end(self.step, 13.0)
        self.assertEqual(seconds, {"advice": 2.5, "capacity": 0.5})
        self.assertEqual(self.tracker.end(self.step, 14.0), {})

    def test_a_long_wait_is_reported_each_time_that_it_doubles(self):
        self.tracker.record(self.step, WaitReason.PACE, 0.0)
        reports = [
            second
            for second in range(1, 30)
            if self.tracker.take_report(self.step, float(second))
        ]
        self.assertEqual(reports, [3, 6, 12, 24])

    def test_a_discarded_step_is_forgotten(self):
        self.tracker.record(self.step, WaitReason.PACE, 0.0)
        self.tracker.discard(self.step)
        self.assertIsNone(self.tracker.take_report(self.step, 60.0))
