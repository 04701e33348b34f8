"""Tests that a schedule costs what runs of it, not what its text declares.

Pattern: lazy expansion of declared work, with a bounded window of what is expanded.
"""

import unittest
from datetime import timedelta

from damaskdeck.errors import MessageError
from damaskdeck.protocol.queues import JobSpec, QueueJobState, StepSpec, TaskName
from damaskdeck.state.jobrecords import (
    PROGRESS_PREFIX,
    JobRecord,
    StepProgress,
    decode_progress,
    encode_record,
)
from damaskdeck.state.pooljobs import MAX_WAITING_STEPS, Job
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, PoolCase, PoolCluster, make_job, make_queue
from tests.virtual import virtual

MINUTE = timedelta(minutes=1)
LATE_OCCURRENCES = 100_000
# A task of each step that waits, and what is under way on the workers beside it.
MAX_OPEN = 2 * MAX_WAITING_STEPS
MAX_PROGRESS_BYTES = 4000


def begin_late(cluster: PoolCluster, occurrences: int, **fields) -> JobSpec:
    """Return a schedule of which a number of occurrences are due."""
    wall = cluster.clock.now()
    start_at = timedelta(seconds=wall.timestamp()) - (occurrences - 1) * MINUTE
    return make_job(
        StepSpec(1, SMALL, SECOND),
        **{"repeats": occurrences, **fields},
        start_at=start_at,
        interval=MINUTE,
    )


class TestLateSchedule(PoolCase):
    """A schedule whose first occurrences were due long ago."""

    def find_job(self, cluster: PoolCluster, identifier: str = "j1") -> Job:
        """Return a job as its owner knows it."""
        return cluster.find_owner().owner.job_index.jobs[identifier]

    @virtual
    async def test_the_owner_opens_only_what_may_start_soon(self):
        # Guards against owners that exceed their memory, one after the other.
        cluster = await self.begin()
        spec = begin_late(cluster, LATE_OCCURRENCES, repeats=10 * LATE_OCCURRENCES)
        await cluster.submit("j1", spec)
        await cluster.wait(lambda: len(cluster.list_starts("j1")) > 20)
        self.assertLessEqual(len(self.find_job(cluster).occurrences), MAX_OPEN)
        await cluster.submit("j2", make_job())
        await cluster.wait(lambda: bool(cluster.list_starts("j2")), 3)
        cluster.find_owner().kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        started = len(cluster.list_starts("j1"))
        await cluster.wait(lambda: len(cluster.list_starts("j1")) > started + 20)
        self.assertLessEqual(len(self.find_job(cluster).occurrences), MAX_OPEN)
        self.end()

    @virtual
    async def test_completed_occurrences_are_kept_as_their_number(self):
        # Guards against progress that grows with each occurrence that has ended.
        cluster = await self.begin(workers=12, behave=lambda t, a: Work(0.1 * SECOND))
        await cluster.submit("j1", begin_late(cluster, 2000))
        await cluster.wait(lambda: len(cluster.list_starts("j1")) > 1000)
        self.assertLessEqual(len(self.find_job(cluster).occurrences), MAX_OPEN)
        value = cluster.store.entries[PROGRESS_PREFIX + "j1"].value
        self.assertLess(len(value), MAX_PROGRESS_BYTES)
        cluster.find_owner().kill()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=120)
        starts = [task for _, task, _, _ in cluster.list_starts("j1")]
        self.assertEqual(len(set(starts)), 2000)
        self.end()

    @virtual
    async def test_an_occurrence_is_due_at_its_own_time(self):
        cluster = await self.begin(workers=0)
        await cluster.submit("j1", begin_late(cluster, 10))
        jobs = cluster.find_owner().owner.job_index.jobs
        await cluster.wait(lambda: "j1" in jobs and len(jobs["j1"].occurrences) == 10)
        job = jobs["j1"]
        ages = [
            cluster.find_owner().owner.now() - occurrence.due_at
            for _, occurrence in sorted(job.occurrences.items())
        ]
        for number, age in enumerate(ages):
            self.assertAlmostEqual(age, 60.0 * (9 - number), delta=2.0)
        self.end()


class TestStoredProgress(unittest.TestCase):
    """Completed occurrences survive a change of the owner."""

    def build(self, *steps: StepProgress, repeats: int = 1000) -> Job:
        """Return a schedule with stored progress."""
        spec = make_job(repeats=repeats, interval=SECOND)
        job = Job(JobRecord("j1", make_queue(), spec, 1, 0.0), 0.0)
        job.update_schedule(0.0, 10_000.0)
        record = job.summarize()._replace(steps=steps, has_started=True)
        job.restore(decode_progress(encode_record(record)), 0.0)
        return job

    def test_what_is_stored_can_be_restored(self):
        for count in (3, 900):
            job = self.build()
            for number in range(count):
                step = job.open_occurrence(number)[0]
                step.complete(step.tasks[0])
            restored = self.build(*job.summarize().steps)
            self.assertEqual(list(restored.completed), list(range(count)))
            self.assertEqual(restored.occurrences, {})
            restored.fill_window()
            self.assertEqual(min(restored.occurrences), count)

    def test_a_schedule_has_completed_once_all_occurrences_have(self):
        job = self.build(StepProgress(-1, -1, (0, -2)), repeats=3)
        self.assertTrue(job.close_if_completed(1.0))
        self.assertFalse(
            self.build(StepProgress(-1, -1, (0, -1)), repeats=3).close_if_completed(1.0)
        )

    def test_a_late_report_about_a_completed_occurrence_opens_nothing(self):
        job = self.build(StepProgress(-1, -1, (0, -899)))
        task = job.find_task(TaskName("j1", 17, 0, 0))
        self.assertTrue(task.is_completed)
        self.assertEqual(job.occurrences, {})

    def test_occurrences_that_the_schedule_lacks_are_rejected(self):
        with self.assertRaises(MessageError):
            self.build(StepProgress(-1, -1, (0, -5000)))
