"""Tests that an owner's records stay within what the store takes for a value.

Pattern: graceful degradation, what can be lost gives way to what can't.
"""

import unittest

from damaskdeck.coordination.pools.changeset import MAX_STARTS_BYTES, ChangeSet
from damaskdeck.protocol.queues import StepSpec, TaskName
from damaskdeck.state.jobrecords import (
    PROGRESS_PREFIX,
    STARTS_PREFIX,
    JobRecord,
    StartsRecord,
    UnconfirmedCrash,
    decode_progress,
    decode_record,
)
from damaskdeck.state.pooljobs import Job, JobIndex
from tests.poolcluster import SECOND, SMALL, make_job, make_queue

VALUE_LIMIT = 1 << 20
TASKS = 600
CHECKPOINT = "c" * 3000


class IdleJournal:
    """Takes no notice of changes."""

    def wake(self) -> None:
        """Do nothing."""


class TestProgress(unittest.TestCase):
    """The progress of a job that has failed in many tasks."""

    def setUp(self) -> None:
        spec = make_job(StepSpec(TASKS, SMALL, SECOND, is_checkpointing=True))
        self.job = Job(JobRecord("j1", make_queue(), spec, 1, 0.0), 0.0)
        self.index = JobIndex()
        self.index.add(self.job)

    def write(self, limit: int) -> bytes:
        """Return the value of the progress that is written."""
        changes = ChangeSet(
            self.index, IdleJournal, lambda kind: None, lambda: None, print, limit
        )
        changes.record_job_change(self.job)
        self.job.stored.clear()
        batch = changes.gather()
        values = {write.key: write.value for write in batch.writes}
        return values[PROGRESS_PREFIX + "j1"]

    def restore(self, value: bytes):
        """Return the step as a successor knows it."""
        other = Job(self.job.record, 0.0)
        other.restore(decode_progress(value), 0.0)
        return other.occurrences[0][0]

    def fail_all(self, checkpoint: str) -> None:
        """Let each task but the first ten, which complete, fail once."""
        step = self.job.occurrences[0][0]
        for task in step.list_waiting():
            if task.name.index < 10:
                step.complete(task)
            else:
                known = step.tasks[task.name.index]
                step.store_checkpoint(known, checkpoint)
                step.fail(known, 1)

    def test_checkpoints_beyond_the_limit_of_a_value_are_left_out(self):
        # Guards against a commit that the store refuses for good, so that nothing of
        # any job becomes durable.
        self.fail_all(CHECKPOINT)
        value = self.write(VALUE_LIMIT)
        self.assertLess(len(value), VALUE_LIMIT)
        step = self.restore(value)
        kept = [task for task in step.tasks if task.checkpoint]
        self.assertGreater(len(kept), 100)
        self.assertLess(len(kept), TASKS - 10)
        self.assertEqual(step.completed, 10)
        self.assertEqual(len(step.failures), TASKS - 10)

    def test_short_checkpoints_are_all_durable(self):
        self.fail_all("c" * 16)
        step = self.restore(self.write(VALUE_LIMIT))
        self.assertEqual(sum(bool(t.checkpoint) for t in step.tasks), TASKS - 10)

    def test_completed_tasks_are_durable_where_nothing_else_fits(self):
        self.fail_all(CHECKPOINT)
        value = self.write(500)
        self.assertLess(len(value), 500)
        step = self.restore(value)
        self.assertEqual(step.completed, 10)
        self.assertEqual(step.failures, {})


class TestStarts(unittest.TestCase):
    """The recorded starts of a wide job that was abandoned on silent workers."""

    tasks = 6000

    def setUp(self) -> None:
        spec = make_job(StepSpec(self.tasks, SMALL, SECOND))
        self.job = Job(JobRecord("j1", make_queue(), spec, 1, 0.0), 0.0)
        self.index = JobIndex()
        self.index.add(self.job)

    def abandon(self, index: int, *attempts: int) -> None:
        """Abandon attempts of a task, and start it again."""
        name = TaskName("j1", 0, 0, index)
        task = self.job.find_task(name)
        for attempt in attempts:
            crash = UnconfirmedCrash(name, attempt, f"w{attempt}", "10.0.0.1:8000")
            task.step.crash_counts.record_unconfirmed(crash)
        self.job.recorded_starts.require(name)
        self.job.recorded_starts.record(name, attempts[-1] + 1, "w9")

    def restore(self) -> tuple[int, Job]:
        """Return the size of the record, and the job as a successor knows it."""
        changes = ChangeSet(
            self.index, IdleJournal, lambda kind: None, lambda: None, print
        )
        changes.record_job_change(self.job)
        batch = changes.gather()
        values = {write.key: write.value for write in batch.writes}
        value = values[STARTS_PREFIX + "j1"]
        other = Job(self.job.record, 0.0)
        other.restore_starts(decode_record(StartsRecord, value))
        return len(value), other

    # Otherwise the store refuses the commit for good, and nothing is started any more.
    def test_a_record_stays_within_its_limit(self):
        for index in range(self.tasks):
            self.abandon(index, 1, 2)
        size, other = self.restore()
        self.assertLessEqual(size, MAX_STARTS_BYTES)
        self.assertGreater(size, MAX_STARTS_BYTES - 200)
        for index in (0, 5999):
            name = TaskName("j1", 0, 0, index)
            self.assertTrue(other.recorded_starts.is_required(name))

    # These would be started more often than allowed by a successor that knew less.
    def test_the_tasks_with_most_possible_crashes_stay_in_the_record(self):
        for index in range(self.tasks):
            self.abandon(index, *((1, 2, 3) if index % 100 == 50 else (1,)))
        _, other = self.restore()
        counts = other.occurrences[0][0].crash_counts.unconfirmed
        for index in range(50, self.tasks, 100):
            self.assertEqual(sorted(counts[index]), [1, 2, 3])

    def test_a_record_within_its_limit_is_whole(self):
        for index in range(200):
            self.abandon(index, 1)
        _, other = self.restore()
        self.assertEqual(len(other.recorded_starts.list_unsettled()), 200)
        name = TaskName("j1", 0, 0, 300)
        self.assertFalse(other.recorded_starts.is_required(name))
