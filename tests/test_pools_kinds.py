"""Special kinds of steps: long-running, timed, near their data, on one rack."""

import asyncio
from datetime import timedelta

from damaskdeck.coordination.pools.urgency import DeadlineStatus, measure_urgency
from damaskdeck.protocol.pools import Declined, EndKind, RefusalCode
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord, ProgressRecord, StepProgress
from damaskdeck.state.pooljobs import Job
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, PoolCase, make_job, make_queue
from tests.virtual import virtual

WHOLE = Size(4000, 8000, 0)
LONG = timedelta(seconds=8)


def make_pool_job(spec, arrived_at: float = 0.0) -> Job:
    """Return a job as the owner holds it."""
    return Job(JobRecord("j1", make_queue(), spec, 1, 0.0), arrived_at)


class TestLongRunning(PoolCase):
    """Tasks that run until their job is cancelled."""

    @virtual
    async def test_a_long_running_task_is_restarted_however_it_ends(self):
        kinds = [EndKind.FAILED, EndKind.COMPLETED, EndKind.FAILED, EndKind.FAILED]
        cluster = await self.begin(
            behave=lambda t, a: Work(SECOND, kinds[a % len(kinds)], SECOND / 2)
        )
        long_running = StepSpec(2, SMALL, is_long_running=True)
        await cluster.submit("j1", make_job(long_running))
        await asyncio.sleep(12)
        self.assertGreaterEqual(len(cluster.list_starts()), 16)
        await cluster.wait_for_state("j1", QueueJobState.RUNNING)
        self.cluster.close()

    @virtual
    async def test_a_long_running_task_outlives_its_owner_and_ends_with_its_job(self):
        cluster = await self.begin(
            behave=lambda t, a: Work(timedelta(hours=1), startup=SECOND / 2)
        )
        await cluster.submit("j1", make_job(StepSpec(3, SMALL, is_long_running=True)))
        await asyncio.sleep(1)
        cluster.find_owner().kill()
        survivor = cluster.find_other_daemon()
        await asyncio.sleep(10)
        self.assertEqual(len(cluster.list_starts()), 3)
        await survivor.frontend.cancel("j1")
        await asyncio.sleep(3)
        running = [task for w in cluster.workers.values() for task in w.running]
        self.assertEqual(running, [])
        self.end()

    @virtual
    async def test_a_long_running_task_is_always_on_time(self):
        job = make_pool_job(make_job(StepSpec(1, SMALL, SECOND, is_long_running=True)))
        urgency = measure_urgency(next(job.list_steps()), 10_000.0)
        self.assertEqual(urgency.deadline_status, DeadlineStatus.ON_TIME)


class TestTimed(PoolCase):
    """Jobs that run at set times."""

    @virtual
    async def test_the_urgency_of_an_occurrence_counts_from_its_due_time(self):
        spec = make_job(repeats=2, start_at=SECOND, interval=SECOND)
        job = make_pool_job(spec, arrived_at=0.0)
        job.open_occurrence(1, due_at=500.0)
        step = job.occurrences[1][0]
        self.assertEqual(
            measure_urgency(step, 500.0).deadline_status, DeadlineStatus.ON_TIME
        )
        self.assertEqual(
            measure_urgency(step, 560.0).deadline_status, DeadlineStatus.LOST
        )

    @virtual
    async def test_the_urgency_of_an_occurrence_ignores_the_work_of_others(self):
        spec = make_job(repeats=2, start_at=SECOND, interval=SECOND)
        job = make_pool_job(spec)
        job.open_occurrence(0, due_at=100.0)
        job.open_occurrence(1, due_at=101.0)
        first, second = job.occurrences[0][0], job.occurrences[1][0]
        before = measure_urgency(second, 101.0)
        first.complete(first.tasks[0])
        self.assertEqual(measure_urgency(second, 101.0), before)

    @virtual
    async def test_an_occurrence_between_restored_ones_is_not_skipped(self):
        cluster = await self.begin(daemons=1, workers=2)
        owner = cluster.find_owner().owner
        wall = cluster.clock.now().timestamp()
        spec = make_job(
            repeats=3, start_at=timedelta(seconds=wall - 30), interval=SECOND
        )
        steps = (StepProgress(0, 0, (0,)), StepProgress(2, 0, (0,)))
        record = JobRecord("j1", make_queue(), spec, 1, wall - 30)
        job = Job(record, owner.now())
        job.restore(ProgressRecord("", True, steps), owner.now())
        owner.job_index.add(job)
        owner.dispatcher.add_job(job)
        await cluster.wait(lambda: bool(cluster.list_starts("j1")), 5)
        self.assertEqual(cluster.list_starts("j1")[0][1].occurrence, 1)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()


class TestRacks(PoolCase):
    """Steps that run faster near their data or on one rack."""

    @virtual
    async def test_a_step_runs_near_its_data(self):
        cluster = await self.begin()
        await cluster.submit("j1", make_job(StepSpec(4, SMALL, LONG, near="r1")))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertLessEqual({row[3] for row in cluster.list_starts()}, {"w1", "w3"})
        self.end()

    @virtual
    async def test_a_step_waits_a_little_for_capacity_near_its_data(self):
        cluster = await self.begin()
        full = StepSpec(2, WHOLE, SECOND, label="r1")
        await cluster.submit("j0", make_job(full))
        await cluster.wait(lambda: len(cluster.list_starts("j0")) == 2)
        await cluster.submit("j1", make_job(StepSpec(2, SMALL, LONG, near="r1")))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        started = {row[3] for row in cluster.list_starts("j1")}
        self.assertLessEqual(started, {"w1", "w3"})
        self.end()

    @virtual
    async def test_a_step_runs_on_other_racks_if_none_near_its_data_is_freed(self):
        cluster = await self.begin(behave=lambda t, a: Work(LONG))
        await cluster.submit("j0", make_job(StepSpec(2, WHOLE, LONG, label="r1")))
        await cluster.wait(lambda: len(cluster.list_starts("j0")) == 2)
        started_at = cluster.clock.monotonic()
        await cluster.submit("j1", make_job(StepSpec(2, SMALL, LONG, near="r1")))
        await cluster.wait(lambda: len(cluster.list_starts("j1")) == 2)
        self.assertLess(cluster.clock.monotonic() - started_at, 3 * SECOND)
        self.end()

    @virtual
    async def test_a_step_whose_rack_does_not_exist_runs_elsewhere_at_once(self):
        cluster = await self.begin()
        started_at = cluster.clock.monotonic()
        await cluster.submit("j1", make_job(StepSpec(2, SMALL, LONG, near="r7")))
        await cluster.wait(lambda: len(cluster.list_starts("j1")) == 2)
        self.assertLess(cluster.clock.monotonic() - started_at, SECOND)
        self.end()

    @virtual
    async def test_a_step_that_needs_one_rack_runs_on_one(self):
        cluster = await self.begin()
        step = StepSpec(6, SMALL, SECOND, needs_one_rack=True)
        await cluster.submit("j1", make_job(step))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        racks = {cluster.workers[row[3]].info.rack for row in cluster.list_starts()}
        self.assertEqual(len(racks), 1)
        self.end()

    @virtual
    async def test_a_gang_that_no_rack_can_hold_runs_on_several(self):
        cluster = await self.begin()
        gang = StepSpec(12, SMALL, SECOND, is_gang=True, needs_one_rack=True)
        await cluster.submit("j1", make_job(gang))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        self.end()

    @virtual
    async def test_a_gang_runs_on_several_racks_if_none_is_freed(self):
        long = timedelta(seconds=30)
        cluster = await self.begin(
            behave=lambda t, a: Work(long if t.job == "j0" else SECOND)
        )
        await cluster.submit("j0", make_job(StepSpec(2, WHOLE, long, spread=1)))
        await cluster.wait(lambda: len(cluster.list_starts("j0")) == 2)
        taken = {row[3] for row in cluster.list_starts("j0")}
        self.assertEqual(len(taken), 2)
        gang = StepSpec(8, SMALL, LONG, is_gang=True, needs_one_rack=True)
        await cluster.submit("j1", make_job(gang))
        await cluster.wait(lambda: len(cluster.list_starts("j1")) == 8, 4)
        self.end()


class TestGuards(PoolCase):
    """Workers that refuse orders that do not fit."""

    @virtual
    async def test_a_worker_without_capacity_is_not_ordered_repeatedly(self):
        cluster = await self.begin(workers=1)
        worker = cluster.workers["w0"]
        asked = []

        def refuse(epoch, order):
            asked.append(order)
            return Declined(RefusalCode.NO_ROOM, cluster.clock.monotonic())

        start, worker.start = worker.start, refuse
        await cluster.submit("j1", make_job())
        await asyncio.sleep(2)
        self.assertLess(len(asked), 10)
        worker.start = start
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()
