"""The cost of a pass depends on what has changed, not on the number of workers.

The load: a full pool with fifty waiting steps, as at the peak of 270 workers, in which
each run that ends allows one start. Trying all workers for each waiting step took 49 ms
per pass there, during which heartbeats, leases and ends waited.
"""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools import dispatcher
from damaskdeck.coordination.pools.candidates import Candidate, Candidates
from damaskdeck.coordination.pools.pending import PendingSteps
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, PoolCase, make_job, make_queue
from tests.virtual import virtual

WAITING = 50


class TestPending(unittest.TestCase):
    """Which steps are pending, and their order."""

    def setUp(self) -> None:
        self.pending = PendingSteps()

    def make(self, name: str, *steps: StepSpec) -> Job:
        """Return a job that is marked as changed."""
        record = JobRecord(name, make_queue(), make_job(*steps), 1, 0.0, ())
        job = Job(record, 0.0)
        self.pending.mark_changed(job)
        return job

    def list_names(self) -> list[str]:
        """List the names of the pending steps by urgency."""
        return [ranked.name for ranked in self.pending.rank(0.0)]

    def test_a_step_is_pending_once_the_steps_before_it_have_completed(self):
        second = StepSpec(1, SMALL, SECOND, after=(0,))
        job = self.make("j", StepSpec(1, SMALL, SECOND), second)
        self.assertEqual(self.list_names(), ["j.0.0"])
        first = job.occurrences[0][0]
        first.complete(first.tasks[0])
        self.pending.mark_changed(job)
        self.assertEqual(self.list_names(), ["j.0.1"])

    def test_a_job_that_is_not_marked_as_changed_keeps_its_steps(self):
        job = self.make("j")
        self.assertEqual(self.list_names(), ["j.0.0"])
        job.close(QueueJobState.CANCELLED, 0.0)
        self.assertEqual(self.list_names(), ["j.0.0"])
        self.pending.mark_changed(job)
        self.assertEqual(self.list_names(), [])

    # LOST on brolga-tv-grown: of the steps that can earn nothing any more, those that
    # had waited for longest came last.
    def test_late_steps_that_have_waited_for_longest_come_first(self):
        for name, arrived_at in (("old", 0.0), ("new", 20.0)):
            record = JobRecord(name, make_queue(), make_job(), 1, 0.0, ())
            self.pending.mark_changed(Job(record, arrived_at))
        names = [ranked.name for ranked in self.pending.rank(60.0)]
        self.assertEqual(names, ["old.0.0", "new.0.0"])

    def test_a_step_is_tried_again_when_its_job_changes(self):
        job = self.make("j")
        self.pending.rank(0.0)[0].pending.is_tried = True
        self.assertTrue(self.pending.rank(0.0)[0].pending.is_tried)
        self.pending.mark_changed(job)
        self.assertFalse(self.pending.rank(0.0)[0].pending.is_tried)

    def test_the_most_urgent_comes_first(self):
        self.make("long", StepSpec(1, SMALL, 20 * SECOND))
        self.make("short", StepSpec(1, SMALL, SECOND))
        self.assertEqual(self.list_names(), ["short.0.0", "long.0.0"])


class TestCost(PoolCase):
    """Number of workers that are examined when capacity is freed."""

    async def count_candidates(self, workers: int) -> float:
        """Return the number of examined workers per start in a full pool."""
        cluster = await self.begin(
            workers=workers, behave=lambda t, a: Work(timedelta(seconds=40))
        )
        await cluster.submit("full", make_job(StepSpec(4 * workers, SMALL, SECOND)))
        await cluster.wait(lambda: len(cluster.list_starts()) == 4 * workers)
        for number in range(WAITING):
            await cluster.submit(f"j{number}", make_job())
        await asyncio.sleep(1)
        before, examined = len(cluster.list_starts()), 0
        build = Candidates._build

        def count(candidates: Candidates, worker: str) -> Candidate | None:
            nonlocal examined
            examined += 1
            return build(candidates, worker)

        owner = cluster.find_owner().owner
        full_pass = dispatcher.FULL_PASS_SECONDS
        dispatcher.FULL_PASS_SECONDS = 1e6
        Candidates._build = count
        try:
            for run in list(owner.job_index.jobs["full"].occurrences[0][0].list_runs())[
                :8
            ]:
                owner.stop(run)
                await asyncio.sleep(0.02)
        finally:
            Candidates._build = build
            dispatcher.FULL_PASS_SECONDS = full_pass
        await asyncio.sleep(0.5)
        started = len(cluster.list_starts()) - before
        self.end()
        self.assertGreater(started, 0)
        return examined / started

    @virtual
    async def test_examined_workers_per_start_do_not_grow_with_the_pool(self):
        few = await self.count_candidates(8)
        many = await self.count_candidates(48)
        self.assertLess(many, 1.2 * few)
