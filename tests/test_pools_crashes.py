"""Tests tasks that crash the workers that start them.

Such a task used to be started again and again while its job existed, each time crashing
a worker with everything that ran there. Only the ends that a worker reports counted
against a task, and a worker that crashes reports none. The log showed one confirmed run
after another that was lost with its worker.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.coordination.pools.crashes import WARM_UP_SECONDS
from damaskdeck.protocol.queues import QueueJobState, StepSpec, TaskName
from damaskdeck.state.crashcounts import MAX_CRASHES
from standins.pools import StandinRegistry, StandinWorker, Work, WorkersClient
from tests.poolcluster import SECOND, SIZE, SMALL, PoolCase, make_job
from tests.virtual import virtual

# In the observed failure a worker was gone about 10 ms after the order to start.
CRASH_DELAY = timedelta(milliseconds=10)
# Twice the time of five starts with three seconds between them.
FAILURE_TIMEOUT_SECONDS = 40
LONG_RUNNING = StepSpec(1, SMALL, SECOND, is_long_running=True)

# More cuts than the crashes under one task that fail its job.
CUTS = 6

Behaviour = Callable[[TaskName, int], Work]


def crash_under(
    *jobs: str, after: timedelta = CRASH_DELAY, duration: timedelta = SECOND
) -> Behaviour:
    """Return a behaviour in which the first task of each given job crashes workers."""

    def behave(task: TaskName, attempt: int) -> Work:
        is_faulty = task.job in jobs and (task.step, task.index) == (0, 0)
        return Work(duration, crash_after=after if is_faulty else None)

    return behave


def run_for(duration: timedelta) -> Behaviour:
    """Return a behaviour in which all tasks run for the duration."""
    return lambda task, attempt: Work(duration)


def run_for_long(task: TaskName, attempt: int) -> Work:
    """Let all tasks run for an hour."""
    return Work(timedelta(hours=1), startup=SECOND / 4)


class TestCrashes(PoolCase):
    """A job whose task crashes workers fails, and other jobs do not."""

    @virtual
    async def test_a_job_whose_task_crashes_its_workers_fails(self):
        cluster = await self.begin(workers=6, behave=crash_under("bad"))
        await cluster.submit("bad", make_job())
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=FAILURE_TIMEOUT_SECONDS
        )
        self.assertLessEqual(len(cluster.list_starts("bad")), 5)
        self.end()

    @virtual
    async def test_tasks_beside_it_are_completed(self):
        cluster = await self.begin(workers=3, behave=crash_under("bad"))
        await cluster.submit("good", make_job(StepSpec(14, SMALL, SECOND)))
        await cluster.submit("bad", make_job())
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=FAILURE_TIMEOUT_SECONDS
        )
        await cluster.wait_for_state("good", QueueJobState.COMPLETED)
        self.assertGreater(len(cluster.list_starts("good")), 14)
        self.end()

    @virtual
    async def test_a_job_whose_task_crashes_its_workers_later_fails(self):
        delay = timedelta(seconds=2)
        behave = crash_under("bad", after=delay, duration=3 * SECOND)
        cluster = await self.begin(workers=6, behave=behave)
        await cluster.submit("bad", make_job())
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=FAILURE_TIMEOUT_SECONDS
        )
        self.end()

    @virtual
    async def test_a_job_with_a_gang_that_crashes_workers_fails(self):
        behave = crash_under("bad", duration=20 * SECOND)
        cluster = await self.begin(workers=6, behave=behave)
        step = StepSpec(4, SIZE, SECOND, is_gang=True)
        await cluster.submit("bad", make_job(step))
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=FAILURE_TIMEOUT_SECONDS
        )
        self.end()

    @virtual
    async def test_a_job_with_a_long_running_task_that_crashes_at_its_start_fails(self):
        cluster = await self.begin(workers=6, behave=crash_under("bad"))
        await cluster.submit("bad", make_job(LONG_RUNNING))
        await cluster.wait_for_state(
            "bad", QueueJobState.FAILED, seconds=FAILURE_TIMEOUT_SECONDS
        )
        self.end()


class TestUnrelatedCrashes(PoolCase):
    """Workers that crash for their own reasons don't count against tasks."""

    @virtual
    async def test_a_long_running_task_survives_any_number_of_crashes(self):
        cluster = await self.begin(workers=2, behave=run_for_long)
        await cluster.submit("j1", make_job(LONG_RUNNING))
        for _ in range(8):
            await asyncio.sleep(16)
            cluster.crash(cluster.find_host("j1"))
        await asyncio.sleep(8)
        await cluster.wait_for_state("j1", QueueJobState.RUNNING)
        self.end()

    @virtual
    async def test_crashes_long_after_the_start_do_not_count(self):
        cluster = await self.begin(workers=4, behave=run_for(5 * SECOND))
        await cluster.submit("j1", make_job())
        for _ in range(MAX_CRASHES - 1):
            await cluster.wait(lambda: cluster.find_host("j1") is not None)
            await asyncio.sleep(2)
            cluster.crash(cluster.find_host("j1"))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    @virtual
    async def test_a_worker_that_crashes_repeatedly_fails_no_task(self):
        cluster = await self.begin(workers=1, behave=run_for(SECOND / 2))
        await cluster.submit("j1", make_job())
        for _ in range(MAX_CRASHES - 1):
            await cluster.wait(lambda: cluster.find_host("j1") is not None)
            cluster.crash(cluster.find_host("j1"))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # A job failed although its first run had ended, unseen, before its worker crashed.
    @virtual
    async def test_a_worker_that_registers_while_silent_did_not_crash_at_the_start(
        self,
    ):
        cluster = await self.begin(workers=3, behave=run_for(SECOND / 2))
        await asyncio.sleep(WARM_UP_SECONDS)
        await cluster.submit("j1", make_job())
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        silent = cluster.find_host("j1")
        for daemon in cluster.daemons.values():
            daemon.workers.cut_off.add(silent.info.identifier)
        await asyncio.sleep(3)
        cluster.crash(silent)
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        cluster.crash(cluster.find_host("j1"))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    @virtual
    async def test_workers_that_have_left_do_not_count_as_crashed(self):
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


class TestSilentWorkers(PoolCase):
    """Workers that are only cut off have not crashed; they return as they were."""

    async def cut_off_hosts(
        self, after: float, count: int = CUTS, is_owner_killed: bool = False
    ) -> None:
        """Cut the hosts of j1 off one after the other until their leases are over.

        :param after: the seconds from a start to the cut.
        :param is_owner_killed: whether the owner is killed during each cut.
        """
        cluster = self.cluster
        for _ in range(count):
            await cluster.wait(
                lambda: cluster.find_host("j1") is not None or self.has_ended("j1")
            )
            await asyncio.sleep(after)
            hosts = [w for w in cluster.workers.values() if w.running]
            for host in hosts:
                cluster.isolate(host.info.identifier)
            if is_owner_killed:
                await asyncio.sleep(2)
                self.replace_owner()
            await self.wait_for_lapse(hosts)
            for host in hosts:
                loop = asyncio.get_running_loop()
                loop.call_later(3, cluster.rejoin, host.info.identifier)

    async def wait_for_lapse(self, workers: list[StandinWorker]) -> None:
        """Wait until the leases of workers have expired."""
        await self.cluster.wait(lambda: not any(map(self.has_runs, workers)))

    def has_ended(self, job: str) -> bool:
        """Whether the owner knows a final state of a job."""
        daemon = self.cluster.find_owner()
        known = daemon.owner.job_index.jobs.get(job) if daemon is not None else None
        return known is not None and known.is_final

    def replace_owner(self) -> None:
        """Kill the owner, and start its daemon again."""
        owner = self.cluster.find_owner()
        owner.kill()
        self.cluster.add_daemon(owner.name).start()

    def has_runs(self, worker: StandinWorker) -> bool:
        """Whether a worker runs anything."""
        worker.settle()
        return bool(worker.running)

    async def begin_long_job(self, *steps: StepSpec) -> None:
        """Start a cluster whose workers are warm, and a job of half a minute."""
        cluster = await self.begin(workers=6, behave=run_for(30 * SECOND))
        await asyncio.sleep(WARM_UP_SECONDS + 1)
        await cluster.submit("j1", make_job(*steps))

    # A job failed although none of its workers had crashed: each was cut off until its
    # lease was over, and returned as the same incarnation.
    @virtual
    async def test_a_job_whose_workers_were_cut_off_is_completed(self):
        await self.begin_long_job()
        await self.cut_off_hosts(after=2)
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=90)
        self.end()

    # The same right after the start, for which two silent workers sufficed.
    @virtual
    async def test_a_job_whose_workers_were_cut_off_at_its_start_is_completed(self):
        await self.begin_long_job()
        await self.cut_off_hosts(after=0.05)
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=90)
        self.end()

    # The same for a gang, whose members each counted.
    @virtual
    async def test_a_gang_whose_workers_were_cut_off_is_completed(self):
        await self.begin_long_job(StepSpec(3, SMALL, SECOND, is_gang=True))
        await self.cut_off_hosts(after=0.3)
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=90)
        self.end()

    # The same under changing owners, which count what their predecessors stored.
    @virtual
    async def test_a_job_whose_workers_were_cut_off_survives_changes_of_owner(self):
        await self.begin_long_job()
        await self.cut_off_hosts(after=2, is_owner_killed=True)
        await self.cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=90)
        self.end()

    # Starts that never reached their workers counted as crashes as well.
    @virtual
    async def test_starts_that_reach_no_worker_fail_no_job(self):
        cluster = await self.begin(workers=6, behave=run_for(SECOND))
        cut_off: list[str] = []
        for daemon in cluster.daemons.values():
            self.cut_off_at_starts(daemon.workers, cut_off)
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=90)
        self.assertEqual(len(cut_off), CUTS)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        self.end()

    def cut_off_at_starts(self, client: WorkersClient, cut_off: list[str]) -> None:
        """Cut workers off right before the first starts, for longer than a lease."""
        send, cluster = client.start, self.cluster
        seconds = cluster.times.lease_expiry.total_seconds() + 3

        async def start(worker, epoch, order):
            name = worker.identifier
            if len(cut_off) < CUTS:
                cut_off.append(name)
                cluster.isolate(name)
                loop = asyncio.get_running_loop()
                loop.call_later(seconds, cluster.rejoin, name)
            return await send(worker, epoch, order)

        client.start = start

    # Workers that stay away may have crashed: a further start might exceed the bound.
    @virtual
    async def test_a_task_waits_for_silent_workers_and_does_not_fail(self):
        await self.begin_long_job()
        cluster = self.cluster
        hosts: list[StandinWorker] = []
        for _ in range(MAX_CRASHES):
            hosts.append(await self.wait_for_host(hosts))
            cluster.isolate(hosts[-1].info.identifier)
            await self.wait_for_lapse(hosts)
        await asyncio.sleep(5)
        self.assertEqual(len(cluster.list_starts("j1")), MAX_CRASHES)
        self.assertTrue(cluster.is_open("j1"))
        cluster.rejoin(hosts[0].info.identifier)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    async def wait_for_host(self, known: list[StandinWorker]) -> StandinWorker:
        """Wait until a worker that is not known yet runs something."""
        others = [w for w in self.cluster.workers.values() if w not in known]
        await self.cluster.wait(lambda: any(map(self.has_runs, others)))
        return next(filter(self.has_runs, others))

    # What a silent worker may have crashed under is told once it is replaced.
    @virtual
    async def test_a_worker_that_is_replaced_after_its_lease_has_crashed(self):
        cluster = await self.begin(workers=2, behave=run_for(30 * SECOND))
        await cluster.submit("j1", make_job())
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        host = cluster.find_host("j1")
        cluster.isolate(host.info.identifier)
        await asyncio.sleep(1)
        host.kill()
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        step = next(cluster.find_owner().owner.job_index.jobs["j1"].list_steps())
        self.assertEqual(step.crashes, {})
        cluster.add_worker("next", host.info.address)
        await cluster.wait(lambda: step.crashes == {0: {1}})
        self.end()


class TestLostWorkers(PoolCase):
    """The bound holds if crashed workers return late or never."""

    async def check_bound(self, delay: timedelta | None) -> None:
        """Check that a job that crashes workers fails in time.

        :param delay: after which a crashed worker returns, ``None`` for never.
        """
        cluster = await self.begin(workers=8, behave=crash_under("bad"))
        cluster.restart_delay = delay
        await cluster.submit("bad", make_job())
        await cluster.wait_for_state("bad", QueueJobState.FAILED, seconds=180)
        self.assertLessEqual(len(cluster.list_starts("bad")), 5)
        self.end()

    @virtual
    async def test_workers_that_return_after_their_lease_are_bounded(self):
        await self.check_bound(15 * SECOND)

    @virtual
    async def test_workers_that_never_return_are_bounded(self):
        await self.check_bound(None)

    # A successor counted nothing under a silent worker that never came back.
    @virtual
    async def test_workers_that_never_return_are_bounded_across_owners(self):
        cluster = await self.begin(workers=8, behave=crash_under("bad"))
        cluster.restart_delay = None
        await cluster.submit("bad", make_job())
        for count in range(8):
            await cluster.wait(
                lambda n=count: len(cluster.crashes) > n or not cluster.is_open("bad"),
                seconds=90,
            )
            await asyncio.sleep(2)
            owner = cluster.find_owner()
            owner.kill()
            cluster.add_daemon(owner.name).start()
            await cluster.wait(lambda: cluster.find_owner() is not None)
            if not cluster.is_open("bad"):
                break
        name = cluster.find_owner().name
        await cluster.wait_for_state("bad", QueueJobState.FAILED, name, seconds=180)
        self.assertLessEqual(len(cluster.list_starts("bad")), 5)
        self.end()


class TestTakeovers(PoolCase):
    """The evidence against a task survives the owner that recorded it."""

    @virtual
    async def test_a_worker_that_left_under_the_previous_owner_has_not_crashed(self):
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
    async def test_a_worker_that_became_silent_under_the_previous_owner_has_crashed(
        self,
    ):
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
            "bad", QueueJobState.FAILED, "d5", seconds=FAILURE_TIMEOUT_SECONDS
        )
        self.assertLessEqual(len(cluster.list_starts("bad")), MAX_CRASHES)
        self.end()

    # Six starts and more: a crash right before a takeover was known to no successor.
    @virtual
    async def test_crashes_that_owners_have_not_stored_are_bounded(self):
        cluster = await self.begin(daemons=8, workers=8, behave=crash_under("bad"))
        await cluster.submit("bad", make_job())
        await cluster.wait(lambda: cluster.crashes)
        while cluster.is_open("bad") and len(cluster.crashes) < 7:
            cluster.find_owner().kill()
            await cluster.wait(lambda: cluster.find_owner() is not None)
            await self.wait_for_crash(len(cluster.crashes))
        await cluster.wait_for_state(
            "bad",
            QueueJobState.FAILED,
            cluster.find_owner().name,
            seconds=FAILURE_TIMEOUT_SECONDS,
        )
        self.assertLessEqual(len(cluster.list_starts("bad")), 5)
        self.end()

    @virtual
    async def test_a_start_that_can_not_be_recorded_waits_for_the_store(self):
        cluster = await self.begin(workers=2, behave=run_for(SECOND))
        await cluster.submit("j1", make_job())
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        cluster.crash(cluster.find_host("j1"))
        for daemon in cluster.daemons.values():
            daemon.store.faults.delay = 0.3 * SECOND
        owner = cluster.find_owner().owner
        step = next(owner.job_index.jobs["j1"].list_steps())
        await cluster.wait(lambda: step.crashes)
        cluster.begin_outage()
        await asyncio.sleep(2)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        cluster.heal()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    async def wait_for_crash(self, count: int) -> None:
        """Wait for one more crash or the end of the job."""
        cluster = self.cluster
        await cluster.wait(
            lambda: len(cluster.crashes) > count or not cluster.is_open("bad")
        )
