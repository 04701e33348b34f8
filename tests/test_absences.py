"""Tests when a silent worker counts as crashed, and when its tasks must wait."""

import unittest

from damaskdeck.coordination.pools.absences import (
    AbandonedRun,
    AbsenceOutcome,
    Absences,
)
from damaskdeck.coordination.pools.crashes import MAX_ABSENCE_SECONDS, Crashes
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import QueueJobState, TaskName
from damaskdeck.state.crashcounts import MAX_CRASHES, CrashCounts
from damaskdeck.state.jobrecords import JobRecord, StartsRecord, UnconfirmedCrash
from damaskdeck.state.pooljobs import Job, JobIndex, Task
from tests.poolcluster import SIZE, make_job, make_queue

ADDRESS = "10.0.0.1:1"
TASK = TaskName("j1", 0, 0, 0)


def make_crash(attempt: int) -> UnconfirmedCrash:
    """Return an unconfirmed crash under the task."""
    return UnconfirmedCrash(TASK, attempt, f"w{attempt}", f"10.0.0.{attempt}:1")


def make_absences() -> Absences:
    """Return the absence of w1 since the 10th second."""
    absences = Absences()
    absences.add("w1", ADDRESS, AbandonedRun(Task(None, TASK), 1), 10.0)
    return absences


class TestAbsences(unittest.TestCase):
    """Silence proves nothing; a registration or a long absence does."""

    def find_outcomes(self, worker: str, address: str, reported_at: float) -> list:
        """Return the workers whose absence a registration ends, with outcomes."""
        ended = make_absences().take_registered(worker, address, reported_at)
        return [(absence.worker, outcome) for absence, outcome in ended]

    def test_a_worker_that_registers_again_is_alive(self):
        outcomes = self.find_outcomes("w1", ADDRESS, 11.0)
        self.assertEqual(outcomes, [("w1", AbsenceOutcome.ALIVE)])

    def test_another_incarnation_at_the_address_replaces_it(self):
        outcomes = self.find_outcomes("w1+1", ADDRESS, 11.0)
        self.assertEqual(outcomes, [("w1", AbsenceOutcome.REPLACED)])

    def test_another_address_says_nothing(self):
        self.assertEqual(self.find_outcomes("w2", "10.0.0.2:1", 11.0), [])

    def test_registrations_from_before_the_absence_say_nothing(self):
        self.assertEqual(self.find_outcomes("w1", ADDRESS, 9.0), [])
        self.assertEqual(self.find_outcomes("w0", ADDRESS, 9.0), [])

    def test_absence_is_told_by_its_begin(self):
        absences = make_absences()
        self.assertTrue(absences.is_absent_since("w1", 10.0))
        self.assertFalse(absences.is_absent_since("w1", 9.0))
        self.assertFalse(absences.is_absent_since("w2", 10.0))

    def test_absences_without_needed_runs_are_removed(self):
        absences = make_absences()
        absences.retain(lambda run: run.attempt == 1)
        self.assertTrue(absences)
        absences.retain(lambda run: run.attempt == 2)
        self.assertFalse(absences)

    def test_an_absence_ends_once(self):
        absences = make_absences()
        self.assertEqual(absences.take("w1").runs[0].attempt, 1)
        self.assertIsNone(absences.take("w1"))
        self.assertEqual(absences.take_registered("w1+1", ADDRESS, 11.0), [])


class TestCrashCounts(unittest.TestCase):
    """Unconfirmed crashes hold a task and fail no job."""

    def make_counts(self, crashes: int, unconfirmed: int) -> CrashCounts:
        """Return the counts of a task with index 0."""
        counts = CrashCounts()
        for attempt in range(crashes):
            counts.record(0, attempt, False)
        for attempt in range(crashes, crashes + unconfirmed):
            counts.record_unconfirmed(make_crash(attempt))
        return counts

    def test_only_confirmed_crashes_reach_the_limit(self):
        self.assertTrue(self.make_counts(MAX_CRASHES, 0).is_at_limit(0))
        self.assertFalse(self.make_counts(MAX_CRASHES - 1, 9).is_at_limit(0))

    def test_a_task_is_held_if_all_of_its_crashes_would_reach_the_limit(self):
        self.assertTrue(self.make_counts(1, MAX_CRASHES - 1).is_held(0))
        self.assertFalse(self.make_counts(1, MAX_CRASHES - 2).is_held(0))
        self.assertFalse(self.make_counts(1, MAX_CRASHES - 1).is_held(1))

    def test_a_refuted_crash_releases_the_task(self):
        counts = self.make_counts(1, MAX_CRASHES - 1)
        self.assertTrue(counts.discard_unconfirmed(0, 1))
        self.assertFalse(counts.discard_unconfirmed(0, 1))
        self.assertFalse(counts.is_held(0))

    def test_a_confirmed_crash_counts_once(self):
        counts = self.make_counts(0, 2)
        counts.record(0, 0, False)
        self.assertFalse(counts.record_unconfirmed(make_crash(0)))
        self.assertEqual((counts.count(0), len(counts.unconfirmed[0])), (1, 1))


class JobOwner:
    """The owner of one job whose task has unconfirmed crashes."""

    def __init__(self, unconfirmed: int) -> None:
        self.job_index = JobIndex()
        self.job = Job(JobRecord("j1", make_queue(), make_job(), 1, 0.0), 0.0)
        self.job_index.add(self.job)
        crashes = tuple(make_crash(attempt) for attempt in range(unconfirmed))
        self.job.restore_starts(StartsRecord((), crashes))
        self.crashes = Crashes(self)
        self.crashes.load()

    @property
    def startable(self) -> int:
        """The number of tasks that may start."""
        return sum(len(step.list_waiting()) for step in self.job.list_steps())

    def now(self) -> float:
        """Return the time at which the job was loaded."""
        return 0.0

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """End the job."""
        job.close(state, 0.0)

    def mark_dirty(self, job: Job) -> None:
        """Ignore a change of the job."""

    def requeue(self, job: Job) -> None:
        """Ignore that tasks may start."""


class TestHeldTasks(unittest.TestCase):
    """A task that waits for absent workers is decided on after a long absence."""

    def test_a_task_below_the_limit_is_not_held(self):
        owner = JobOwner(MAX_CRASHES - 1)
        self.assertEqual(owner.startable, 1)
        owner.crashes.sweep(10 * MAX_ABSENCE_SECONDS, 0.0)
        (step,) = owner.job.list_steps()
        self.assertEqual(step.crashes, {})

    def test_a_held_task_fails_after_a_long_absence(self):
        owner = JobOwner(MAX_CRASHES)
        self.assertEqual(owner.startable, 0)
        owner.crashes.sweep(MAX_ABSENCE_SECONDS - 0.1, 0.0)
        self.assertIsNone(owner.job.final)
        owner.crashes.sweep(MAX_ABSENCE_SECONDS, 0.0)
        self.assertEqual(owner.job.final, QueueJobState.FAILED)

    def test_absence_does_not_count_while_the_registry_is_not_followed(self):
        owner = JobOwner(MAX_CRASHES)
        owner.crashes.sweep(2 * MAX_ABSENCE_SECONDS, float("inf"))
        owner.crashes.sweep(2 * MAX_ABSENCE_SECONDS, MAX_ABSENCE_SECONDS + 1)
        self.assertIsNone(owner.job.final)
        owner.crashes.sweep(2 * MAX_ABSENCE_SECONDS + 1, MAX_ABSENCE_SECONDS + 1)
        self.assertEqual(owner.job.final, QueueJobState.FAILED)

    def test_a_worker_that_registers_releases_the_task(self):
        owner = JobOwner(MAX_CRASHES)
        worker = PoolWorker("w2", "hub", "10.0.0.2:1", "z0", SIZE, frozenset(), "r0")
        owner.crashes.handle_registration(worker, 1.0)
        self.assertEqual(owner.startable, 1)
        (step,) = owner.job.list_steps()
        self.assertEqual(step.crashes, {})
        owner.crashes.sweep(2 * MAX_ABSENCE_SECONDS, 0.0)
        self.assertIsNone(owner.job.final)


class TestRecords(unittest.TestCase):
    """A successor finds unconfirmed crashes, and an earlier version can go on."""

    def make_job(self) -> Job:
        """Return a job with one task."""
        record = JobRecord("j1", make_queue(), make_job(), 1, 0.0)
        return Job(record, 0.0)

    def test_unconfirmed_crashes_are_restored(self):
        job, other = self.make_job(), self.make_job()
        (step,) = job.list_steps()
        step.crash_counts.record_unconfirmed(make_crash(1))
        other.restore_starts(job.summarize_starts())
        (restored,) = other.list_steps()
        self.assertEqual(restored.crash_counts.list_unconfirmed(), [make_crash(1)])

    def test_crashes_of_unknown_tasks_are_ignored(self):
        job = self.make_job()
        crash = make_crash(1)._replace(task=TaskName("j1", 0, 0, 7))
        job.restore_starts(StartsRecord((), (crash,)))
        (step,) = job.list_steps()
        self.assertFalse(step.crash_counts)

    # A daemon that can't read the progress of a job ignores the job.
    def test_the_progress_does_not_contain_them(self):
        job = self.make_job()
        expected = job.summarize()
        (step,) = job.list_steps()
        step.crash_counts.record_unconfirmed(make_crash(1))
        self.assertEqual(job.summarize(), expected)

    def test_a_stored_record_is_replaced_once_it_is_empty(self):
        job = self.make_job()
        self.assertFalse(job.recorded_starts.must_store)
        job.recorded_starts.require(TASK)
        job.summarize_starts()
        job.recorded_starts.discard(TASK)
        self.assertTrue(job.recorded_starts.must_store)
        self.assertEqual(job.summarize_starts(), StartsRecord())
