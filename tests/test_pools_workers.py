"""Pool workers under faults: silent, lost, replaced and suspect ones."""

import asyncio
from datetime import timedelta

from damaskdeck.protocol.pools import EndKind
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from standins.faults import FaultKind
from standins.pools import Work
from tests.poolcluster import (
    ADVISOR_TIMING,
    SECOND,
    SMALL,
    PoolCase,
    make_job,
    make_queue,
)
from tests.virtual import virtual

HALF = timedelta(milliseconds=500)


class TestWorkers(PoolCase):
    """Workers that crash, fall silent or carry orders out late."""

    @virtual
    async def test_an_order_without_an_answer_is_confirmed_by_the_inventory(self):
        cluster = await self.begin()
        cluster.find_owner().workers.faults.plan("start", FaultKind.LOSE_ANSWER)
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        self.assertEqual(len(cluster.list_starts()), 1)
        self.end()

    @virtual
    async def test_an_order_that_is_carried_out_late_runs_nothing_twice(self):
        cluster = await self.begin()
        owner = cluster.find_owner()
        owner.workers.executes_late = True
        owner.workers.faults.plan("start", *[FaultKind.LOSE_ANSWER] * 3)
        await cluster.submit("j1", make_job(StepSpec(3, SMALL, SECOND)))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=8)
        await asyncio.sleep(5)
        self.assertEqual(len(cluster.list_starts()), 3)
        self.end()

    @virtual
    async def test_tasks_of_a_replaced_worker_start_again_at_once(self):
        cluster = await self.begin(
            workers=1, behave=lambda t, a: Work(timedelta(seconds=5))
        )
        await cluster.submit("j1", make_job(StepSpec(2, SMALL, SECOND)))
        await asyncio.sleep(1)
        cluster.workers["w0"].kill()
        cluster.add_worker("w0b", "10.0.0.0:1")
        crashed = cluster.clock.monotonic()
        await cluster.wait(lambda: len(cluster.workers["w0b"].starts) == 2)
        self.assertLess(cluster.clock.monotonic() - crashed, 3 * SECOND)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    @virtual
    async def test_tasks_of_a_silent_worker_start_elsewhere_after_its_lease(self):
        cluster = await self.begin(
            workers=2, behave=lambda t, a: Work(timedelta(seconds=20))
        )
        await cluster.submit("j1", make_job(StepSpec(8, SMALL, SECOND)))
        await asyncio.sleep(1)
        owner = cluster.find_owner()
        owner.workers.cut_off.add("w0")
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=90)
        self.end()

    @virtual
    async def test_worker_leases_are_renewed_during_a_store_outage(self):
        cluster = await self.begin(behave=lambda t, a: Work(timedelta(seconds=9)))
        await cluster.submit("j1", make_job(StepSpec(4, SMALL, SECOND)))
        await asyncio.sleep(0.5)
        for daemon in cluster.daemons.values():
            daemon.store.faults.outage = True
        await asyncio.sleep(5)
        for daemon in cluster.daemons.values():
            daemon.store.faults.outage = False
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts()), 4)
        self.end()

    @virtual
    async def test_a_truncated_history_is_replaced_by_a_full_read(self):
        cluster = await self.begin()
        cluster.store.discard_history()
        await cluster.submit("j1", make_job(), cluster.find_other_daemon().name)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        cluster.add_worker("w9", "10.0.0.9:1")
        cluster.store.discard_history()
        await cluster.submit("j2", make_job(StepSpec(30, SMALL, SECOND)))
        await cluster.wait_for_state("j2", QueueJobState.COMPLETED)
        self.assertTrue(cluster.workers["w9"].starts)
        self.end()


class TestLeaving(PoolCase):
    """Workers that announce how long they stay."""

    async def run_and_retire(self, step: StepSpec, seconds: float) -> None:
        """Run a step on one worker, and let it announce its departure after 2 s."""
        cluster = await self.begin(
            workers=1, behave=lambda t, a: Work(timedelta(seconds=6))
        )
        await cluster.submit("j1", make_job(step))
        await asyncio.sleep(2)
        cluster.add_worker("w9", "10.0.0.9:1")
        cluster.retire("w0", timedelta(seconds=seconds))
        self.retired_at = cluster.clock.monotonic()

    def list_stops(self) -> list[float]:
        """List the times from the announcement to the stops on the departing worker."""
        history = self.cluster.workers["w0"].history
        return [
            (ended - self.retired_at).total_seconds()
            for _, _, kind, _, ended in history
            if kind is EndKind.STOPPED
        ]

    @virtual
    async def test_a_run_that_would_be_cut_off_starts_elsewhere_at_once(self):
        await self.run_and_retire(StepSpec(2, SMALL, timedelta(seconds=6)), 2)
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=8)
        stops = self.list_stops()
        self.assertEqual(len(stops), 2)
        self.assertLess(max(stops), 0.8)
        self.end()

    @virtual
    async def test_a_run_with_checkpoints_continues_until_its_worker_leaves(self):
        step = StepSpec(2, SMALL, timedelta(seconds=6), is_checkpointing=True)
        await self.run_and_retire(step, 2)
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=10)
        stops = self.list_stops()
        self.assertEqual(len(stops), 2)
        self.assertGreater(min(stops), 0.6)
        self.assertLess(max(stops), 1.0)
        self.end()

    @virtual
    async def test_a_run_that_ends_in_time_is_not_stopped(self):
        await self.run_and_retire(StepSpec(2, SMALL, timedelta(seconds=6)), 6)
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=8)
        self.assertEqual(self.list_stops(), [])
        self.assertEqual(len(self.cluster.list_starts()), 2)
        self.end()

    @virtual
    async def test_a_gang_is_stopped_as_a_whole(self):
        gang = StepSpec(4, SMALL, timedelta(seconds=6), is_gang=True)
        await self.run_and_retire(gang, 2)
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=8)
        self.assertEqual(len(self.list_stops()), 4)
        self.end()


class TestTrust(PoolCase):
    """Workers that fail every task, or on which all runs stall."""

    @virtual
    async def test_a_worker_that_fails_every_task_is_quarantined(self):
        cluster = await self.begin(queues=(make_queue(attempts=6),))
        await cluster.submit("first", make_job(StepSpec(16, SMALL, SECOND)))
        await cluster.wait_for_state("first", QueueJobState.COMPLETED)
        bad = cluster.workers["w1"]
        bad._behave = lambda task, attempt: Work(
            timedelta(milliseconds=100), EndKind.FAILED
        )
        for number in range(60):
            await cluster.submit(f"j{number}", make_job(StepSpec(2, SMALL, SECOND)))
            await asyncio.sleep(0.1)
        for number in range(60):
            await cluster.wait_for_state(f"j{number}", QueueJobState.COMPLETED)
        failed = sum(row[2] is EndKind.FAILED for row in bad.history)
        self.assertGreater(failed, 3)
        self.assertLess(failed, 15)
        self.end()

    @virtual
    async def test_tasks_on_a_stalled_worker_start_elsewhere(self):
        cluster = await self.begin()
        for worker in cluster.workers.values():
            worker.is_hung = worker.info.identifier == "w0"
        await cluster.submit("j1", make_job(StepSpec(8, SMALL, SECOND)))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        stopped = [row[2] for row in cluster.workers["w0"].history]
        self.assertTrue(stopped)
        self.assertEqual(set(stopped), {EndKind.STOPPED})
        self.end()

    @virtual
    async def test_a_run_that_has_done_its_work_does_not_count_as_stalled(self):
        cluster = await self.begin(
            workers=1, behave=lambda t, a: Work(timedelta(seconds=4))
        )
        worker = cluster.workers["w0"]
        worker._compute_percent = lambda run: 100
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts()), 1)
        self.end()

    @virtual
    async def test_a_stalled_run_with_much_progress_is_not_stopped_at_once(self):
        cluster = await self.begin(
            workers=1, behave=lambda t, a: Work(timedelta(seconds=8))
        )
        long = StepSpec(1, SMALL, timedelta(seconds=8))
        await cluster.submit("j1", make_job(long))
        await asyncio.sleep(4)
        cluster.workers["w0"].is_hung = True
        await asyncio.sleep(1.5)
        cluster.workers["w0"].is_hung = False
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts()), 1)
        self.end()


class TestSlowness(PoolCase):
    """Workers on which every task takes several times as long."""

    async def run_with_slow_worker(self, step: StepSpec, jobs: int, **terms) -> None:
        """Run all tasks of some jobs on four workers of which one is slow."""
        cluster = await self.begin(
            behave=lambda t, a: Work(timedelta(seconds=2)),
            queues=(make_queue(slack=1.5, **terms),),
        )
        await cluster.submit("first", make_job(StepSpec(8, SMALL, 2 * SECOND)))
        await cluster.wait_for_state("first", QueueJobState.COMPLETED)
        cluster.workers["w0"].slowdown = 8.0
        for number in range(jobs):
            await cluster.submit(f"j{number}", make_job(step))
        for number in range(jobs):
            await cluster.wait_for_state(f"j{number}", QueueJobState.COMPLETED)

    @virtual
    async def test_a_run_that_would_be_late_on_a_slow_worker_starts_elsewhere(self):
        step = StepSpec(3, SMALL, timedelta(seconds=2))
        await self.run_with_slow_worker(step, 4)
        duration = self.cluster.clock.monotonic()
        self.assertLess(duration, timedelta(seconds=12))
        kinds = {row[2] for row in self.cluster.workers["w0"].history}
        self.assertIn(EndKind.STOPPED, kinds)
        self.end()

    @virtual
    async def test_a_slow_worker_gets_tasks_last(self):
        cluster = await self.begin(behave=lambda t, a: Work(timedelta(seconds=9)))
        cluster.workers["w0"].slowdown = 8.0
        wide = StepSpec(8, SMALL, timedelta(seconds=9), spread=2)
        await cluster.submit("wide", make_job(wide))
        await asyncio.sleep(2.5)
        starts = len(cluster.workers["w0"].starts)
        await cluster.submit("late", make_job(StepSpec(4, SMALL, 2 * SECOND)))
        await asyncio.sleep(0.5)
        self.assertEqual(len(cluster.list_starts("late")), 4)
        self.assertEqual(len(cluster.workers["w0"].starts), starts)
        self.end()

    @virtual
    async def test_wrong_estimates_mark_no_worker_as_slow(self):
        cluster = await self.begin(behave=lambda t, a: Work(timedelta(seconds=9)))
        step = StepSpec(3, SMALL, SECOND)
        for number in range(4):
            await cluster.submit(f"j{number}", make_job(step))
        for number in range(4):
            await cluster.wait_for_state(f"j{number}", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts()), 12)
        self.end()

    @virtual
    async def test_a_gang_is_moved_as_a_whole(self):
        gang = StepSpec(6, SMALL, timedelta(seconds=2), is_gang=True)
        await self.run_with_slow_worker(gang, 1)
        attempts = {}
        for _, task, attempt, _ in self.cluster.list_starts():
            attempts.setdefault(task.job, {}).setdefault(attempt, set()).add(task)
        del attempts["first"]
        self.assertGreater(max(map(len, attempts.values())), 1)
        for runs in attempts.values():
            self.assertEqual({len(tasks) for tasks in runs.values()}, {6})
        self.end()

    @virtual
    async def test_a_speculative_step_gets_a_copy_beside_the_slow_run(self):
        step = StepSpec(3, SMALL, timedelta(seconds=2), is_speculative=True)
        await self.run_with_slow_worker(step, 1)
        cluster = self.cluster
        self.assertLess(cluster.clock.monotonic(), timedelta(seconds=9))
        slow = cluster.workers["w0"].history[-1]
        self.assertIs(slow[2], EndKind.STOPPED)
        copies = [row for row in cluster.list_starts("j0") if row[2] > 1]
        self.assertEqual(len(copies), 3)
        self.assertLess(max(row[0] for row in copies), slow[4])
        cluster.close()

    @virtual
    async def test_a_copy_gets_a_fresh_ticket(self):
        step = StepSpec(3, SMALL, timedelta(seconds=2), is_speculative=True)
        brief = ADVISOR_TIMING._replace(ticket_validity=timedelta(milliseconds=400))
        await self.run_with_slow_worker(step, 1, advice=brief)
        self.assertLess(self.cluster.clock.monotonic(), timedelta(seconds=9))
        copies = [row for row in self.cluster.list_starts("j0") if row[2] > 1]
        self.assertEqual(len(copies), 3)
        self.cluster.close()
