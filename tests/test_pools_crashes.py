"""Tasks that crash the workers that start them.

Seen: a task was started for as long as its job was kept, and each start ended the life
of the worker that carried it out, with all that ran there. The worker was back seconds
later, and the task was started on the next one. Cause: only ends that a worker lists
counted against a task, and a worker that crashes lists none. Proved by the owner's line
on what is lost with a worker: confirmed runs, one start after the other.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.coordination.pools.crashes import MOST_CRASHES
from damaskdeck.protocol.queues import QueueJobState, StepSpec, TaskName
from standins.pools import StandinRegistry, Work
from tests.poolcluster import SECOND, SIZE, SMALL, PoolCase, make_job
from tests.virtual import virtual

# As seen: a worker is gone some 10 ms after it was told to start the task.
AT_ONCE = timedelta(milliseconds=10)
# Five starts with three seconds between them, and as long again.
ENOUGH_SECONDS = 40
LASTING = StepSpec(1, SMALL, SECOND, is_long_running=True)

Behaviour = Callable[[TaskName, int], Work]


def crash_under(
    *jobs: str, after: timedelta = AT_ONCE, duration: timedelta = SECOND
) -> Behaviour:
    """Return the behaviour in which the first tasks of some jobs crash workers."""

    def behave(task: TaskName, attempt: int) -> Work:
        is_bad = task.job in jobs and (task.step, task.index) == (0, 0)
        return Work(duration, crash_after=after if is_bad else None)

    return behave


def run_for(duration: timedelta) -> Behaviour:
    """Return the behaviour in which all tasks run for so long."""
    return lambda task, attempt: Work(duration)


def last(task: TaskName, attempt: int) -> Work:
    """Let all tasks last."""
    return Work(timedelta(hours=1), startup=SECOND / 4)


class TestCrashes(PoolCase):
    """A task that crashes workers is given up, and others are not."""

    @virtual
    async def test_a_task_that_crashes_its_workers_is_given_up(self):
        cluster = await self.begin(workers=6, behave=crash_under("bad"))
        await cluster.submit("bad", make_job())
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=ENOUGH_SECONDS
        )
        self.assertLessEqual(len(cluster.list_starts("bad")), 5)
        self.end()

    @virtual
    async def test_what_ran_beside_it_is_completed(self):
        cluster = await self.begin(workers=3, behave=crash_under("bad"))
        await cluster.submit("good", make_job(StepSpec(14, SMALL, SECOND)))
        await cluster.submit("bad", make_job())
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=ENOUGH_SECONDS
        )
        await cluster.wait_for_state("good", QueueJobState.COMPLETED)
        self.assertGreater(len(cluster.list_starts("good")), 14)
        self.end()

    @virtual
    async def test_one_that_crashes_them_later_is_given_up(self):
        late = timedelta(seconds=2)
        behave = crash_under("bad", after=late, duration=3 * SECOND)
        cluster = await self.begin(workers=6, behave=behave)
        await cluster.submit("bad", make_job())
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=ENOUGH_SECONDS
        )
        self.end()

    @virtual
    async def test_a_gang_of_which_one_crashes_workers_is_given_up(self):
        behave = crash_under("bad", duration=20 * SECOND)
        cluster = await self.begin(workers=6, behave=behave)
        step = StepSpec(4, SIZE, SECOND, is_gang=True)
        await cluster.submit("bad", make_job(step))
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=ENOUGH_SECONDS
        )
        self.end()

    @virtual
    async def test_a_lasting_task_that_crashes_them_at_its_start_is_given_up(self):
        cluster = await self.begin(workers=6, behave=crash_under("bad"))
        await cluster.submit("bad", make_job(LASTING))
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=ENOUGH_SECONDS
        )
        self.end()


class TestMisfortune(PoolCase):
    """Workers that crash for their own reasons speak against no task."""

    @virtual
    async def test_a_lasting_task_survives_any_number_of_crashes(self):
        cluster = await self.begin(workers=2, behave=last)
        await cluster.submit("j1", make_job(LASTING))
        for _ in range(8):
            await asyncio.sleep(16)
            cluster.crash(cluster.find_host("j1"))
        await asyncio.sleep(8)
        await cluster.wait_for_state("j1", QueueJobState.RUNNING)
        self.end()

    @virtual
    async def test_a_task_is_not_to_blame_for_what_happens_long_after_its_start(self):
        cluster = await self.begin(workers=4, behave=run_for(5 * SECOND))
        await cluster.submit("j1", make_job())
        for _ in range(MOST_CRASHES - 1):
            await cluster.wait(lambda: cluster.find_host("j1") is not None)
            await asyncio.sleep(2)
            cluster.crash(cluster.find_host("j1"))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    @virtual
    async def test_a_worker_that_goes_up_and_down_harms_its_own_tasks_alone(self):
        cluster = await self.begin(workers=1, behave=run_for(SECOND / 2))
        await cluster.submit("j1", make_job())
        for _ in range(MOST_CRASHES - 1):
            await cluster.wait(lambda: cluster.find_host("j1") is not None)
            cluster.crash(cluster.find_host("j1"))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    @virtual
    async def test_workers_that_have_left_have_not_crashed(self):
        cluster = await self.begin(workers=1, behave=run_for(5 * SECOND))
        await cluster.submit("j1", make_job())
        for number in range(5):
            await cluster.wait(lambda: cluster.find_host("j1") is not None)
            worker = cluster.find_host("j1")
            cluster.retire(worker.info.identifier, SECOND)
            await asyncio.sleep(0.3)
            worker.kill()
            cluster.add_worker(f"next{number}", worker.info.address)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()


class TestTakeovers(PoolCase):
    """What speaks against a task outlasts the owner that saw it."""

    @virtual
    async def test_what_left_under_the_owner_before_has_not_crashed(self):
        cluster = await self.begin(workers=1, behave=run_for(5 * SECOND))
        await cluster.submit("j1", make_job(), "d2")
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        worker = cluster.find_host("j1")
        cluster.retire(worker.info.identifier, 30 * SECOND)
        await asyncio.sleep(0.5)
        cluster.find_owner().kill()
        worker.kill()
        cluster.store.set(StandinRegistry.prefix + worker.info.identifier, None)
        cluster.add_worker("next", worker.info.address)
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        step = next(cluster.find_owner().owner.job_index.jobs["j1"].list_steps())
        self.assertEqual(step.crashes, {})
        self.end()

    @virtual
    async def test_what_fell_silent_under_the_owner_before_has(self):
        cluster = await self.begin(workers=2, behave=run_for(5 * SECOND))
        await cluster.submit("j1", make_job(), "d2")
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        await asyncio.sleep(1)
        cluster.crash(cluster.find_host("j1"))
        await asyncio.sleep(1.8)
        cluster.find_owner().kill()
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        step = next(cluster.find_owner().owner.job_index.jobs["j1"].list_steps())
        self.assertEqual(step.crashes, {0: {1}})
        self.end()

    @virtual
    async def test_crashes_are_counted_across_owners(self):
        cluster = await self.begin(daemons=6, workers=8, behave=crash_under("bad"))
        await cluster.submit("bad", make_job(), "d5")
        for _ in range(4):
            count = len(cluster.crashes)
            await self.wait_for_crash(count)
            await asyncio.sleep(1.5)
            if cluster.find_owner().name != "d5":
                cluster.find_owner().kill()
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, "d5", seconds=ENOUGH_SECONDS
        )
        self.assertLessEqual(len(cluster.list_starts("bad")), MOST_CRASHES)
        self.end()

    async def wait_for_crash(self, count: int) -> None:
        """Wait for one more crash, or the end of all."""
        cluster = self.cluster
        await cluster.wait(
            lambda: len(cluster.crashes) > count or not cluster.is_open("bad")
        )
