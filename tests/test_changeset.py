"""Tests that an owner's records stay within what the store takes for a value.

Pattern: graceful degradation, what can be lost gives way to what can't.
"""

import unittest

from damaskdeck.coordination.pools.changeset import ChangeSet
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.state.jobrecords import PROGRESS_PREFIX, JobRecord, decode_progress
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
            self.index, IdleJournal, lambda kind: None, lambda: None, limit
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
