"""How long accepted jobs stand still after a change of the owner beside lost workers.

The platform calls a job lost that has nothing running for 3 s, after 4 s without a
disruption, though the turn of a task has come and there is room.
"""

import asyncio
from datetime import timedelta
from random import Random

from damaskdeck.protocol.queues import AdvisorTiming, StepSpec
from damaskdeck.protocol.sizes import Size
from standins.pools import Work
from tests.poolcluster import (
    SECOND,
    SMALL,
    ClusterDaemon,
    PoolCase,
    make_job,
    make_queue,
)
from tests.virtual import virtual

# From the takeover until everything that lost workers may have run is started again.
RECONCILED_WITHIN = 6 * SECOND
# From the takeover until a job that has nothing on lost workers goes on.
UNAFFECTED_WITHIN = SECOND
LONG = 300 * SECOND
FREEZE = 4 * SECOND
TASKS = 6
LARGE = Size(3000, 3000, 0)
# How many small tasks fit beside the large ones on eight workers.
FREE = 14


class SuccessionCase(PoolCase):
    """Some of the workers are lost, and then the owner is."""

    def behave(self, task, attempt) -> Work:
        """Let tasks outlast the test, but for those of the job ``first``."""
        if task.job == "first":
            return Work(SECOND)
        return Work(LONG, startup=SECOND)

    async def prepare(self, wide: int = 0, lost: int = 1) -> None:
        """Run tasks, and lose workers for good that run some of them.

        The job ``lost`` has a task on each of six workers, and two more are idle.

        :param wide: the tasks of the job ``wide``, which uses all that is then free.
        """
        cluster = await self.begin(daemons=5, workers=8, behave=self.behave)
        cluster.restart_delay = None
        lasting = StepSpec(1, SMALL, SECOND, is_long_running=True)
        await cluster.submit(
            "lost", make_job(lasting._replace(tasks=TASKS, size=LARGE))
        )
        await cluster.wait(lambda: len(cluster.list_starts("lost")) == TASKS)
        hosts = [row[3] for row in cluster.list_starts("lost")]
        if wide:
            await cluster.submit("wide", make_job(lasting._replace(tasks=wide)))
            await cluster.wait(lambda: len(cluster.list_starts("wide")) == FREE)
        await asyncio.sleep(2)
        for name in hosts[:lost]:
            cluster.workers[name].kill()
        self.host = hosts[0]
        self.lost = lost

    async def wait_for_takeover(self, former: ClusterDaemon) -> None:
        """Wait for the next owner and store when it was elected."""
        cluster = self.cluster
        epochs = len(cluster.epochs)
        rest = [d for d in cluster.daemons.values() if d is not former]
        await cluster.wait(lambda: any(d.owner is not None for d in rest), seconds=10)
        self.assertGreaterEqual(len(cluster.epochs), epochs)
        self.taken_over_at = cluster.clock.monotonic()

    async def measure_restart(self) -> timedelta:
        """Return the time from the takeover until the lost tasks run elsewhere."""
        cluster = self.cluster
        expected = TASKS + self.lost
        await cluster.wait(lambda: len(cluster.list_starts("lost")) >= expected, 30)
        return cluster.list_starts("lost")[-1][0] - self.taken_over_at

    async def check_restart(self) -> None:
        """Check that the lost tasks run elsewhere in time, and each only once."""
        self.assertLess(await self.measure_restart(), RECONCILED_WITHIN)
        self.cluster.heal()
        await asyncio.sleep(10)
        self.end()


class TestLostTasks(SuccessionCase):
    """Tasks of lost workers run elsewhere in time, however the owner was lost."""

    # The successor waited for the owner lease of the removed owner, and for the lease
    # of the worker after that.
    @virtual
    async def test_an_owner_that_was_removed_for_good(self):
        await self.prepare()
        owner = self.cluster.find_owner()
        await asyncio.sleep(0.3)
        owner.kill()
        await self.wait_for_takeover(owner)
        await self.check_restart()

    @virtual
    async def test_an_owner_that_returns(self):
        await self.prepare()
        owner = self.cluster.find_owner()
        await asyncio.sleep(0.3)
        owner.kill()
        await self.wait_for_takeover(owner)
        await asyncio.sleep(1)
        self.cluster.add_daemon(owner.name).start()
        await self.check_restart()

    @virtual
    async def test_an_owner_that_was_frozen(self):
        await self.prepare()
        owner = self.cluster.find_owner()
        await asyncio.sleep(0.3)
        owner.freeze()
        self.cluster.switch.disconnect(owner.name)
        await self.wait_for_takeover(owner)
        asyncio.get_running_loop().call_later(FREEZE.total_seconds(), owner.thaw)
        await self.check_restart()

    # It reaches the workers that the successor can't read, and extends their leases as
    # long as it may.
    @virtual
    async def test_an_owner_that_alone_reaches_the_workers(self):
        await self.prepare(lost=0)
        cluster = self.cluster
        owner = cluster.find_owner()
        owner.store.faults.outage = True
        for daemon in cluster.daemons.values():
            if daemon is not owner:
                cluster.switch.cut_both(owner.name, daemon.name)
                daemon.workers.cut_off.add(self.host)
        await self.wait_for_takeover(owner)
        self.lost = 1
        await self.check_restart()

    @virtual
    async def test_three_owners_that_were_removed_in_series(self):
        await self.prepare()
        for _ in range(3):
            await asyncio.sleep(0.5)
            owner = self.cluster.find_owner()
            owner.kill()
            await self.wait_for_takeover(owner)
        await self.check_restart()


class TestAdvice(SuccessionCase):
    """Advice about the tasks of lost workers is there when they may start again."""

    slow = make_queue(
        advice=AdvisorTiming(
            timedelta(milliseconds=400), timedelta(milliseconds=5), 2.5 * SECOND
        )
    )

    async def lose_worker(self) -> None:
        """Lose a worker that runs one of two tasks of a step that needs advice."""
        cluster = await self.begin(
            daemons=5, workers=8, behave=self.behave, queues=(self.slow,)
        )
        cluster.restart_delay = None
        for daemon in cluster.daemons.values():
            daemon.advisor.duration = self.slow.advice.base
        lasting = StepSpec(2, LARGE, SECOND, is_long_running=True)
        await cluster.submit("lost", make_job(lasting))
        await cluster.wait(lambda: len(cluster.list_starts("lost")) == 2)
        await asyncio.sleep(4)
        worker = cluster.workers[cluster.list_starts("lost")[0][3]]
        worker.kill()
        # By the owner's clock the lease may last a little longer.
        self.expected = worker.lease_expires_at + timedelta(milliseconds=100)

    async def check_restart_time(self) -> None:
        """Check that the task starts again as soon as its lease is over."""
        cluster = self.cluster
        await cluster.wait(lambda: len(cluster.list_starts("lost")) == 3, 30)
        started_at = cluster.list_starts("lost")[-1][0]
        self.assertLess(started_at - self.expected, timedelta(milliseconds=400))
        self.end()

    # The advisor was asked only once the lease was over.
    @virtual
    async def test_the_same_owner_asks_before_the_lease_is_over(self):
        await self.lose_worker()
        await self.check_restart_time()

    @virtual
    async def test_a_new_owner_asks_before_the_lease_is_over(self):
        await self.lose_worker()
        owner = self.cluster.find_owner()
        owner.kill()
        await self.wait_for_takeover(owner)
        self.expected = self.taken_over_at + self.cluster.times.lease_expiry
        await self.check_restart_time()


class TestUnaffectedJobs(SuccessionCase):
    """Jobs that have nothing on lost workers go on as soon as there is a new owner."""

    async def check_start(self, job: str, tasks: int, before: int = 0) -> None:
        """Check that tasks of a job start within the limit after the takeover."""
        cluster = self.cluster
        await cluster.wait(lambda: len(cluster.list_starts(job)) >= before + tasks, 30)
        started_at = cluster.list_starts(job)[before + tasks - 1][0]
        self.assertLess(started_at - self.taken_over_at, UNAFFECTED_WITHIN)
        await asyncio.sleep(10)
        self.end()

    # Its first step ended under the new owner, so the old one can't have started the
    # next.
    @virtual
    async def test_a_step_whose_turn_comes_after_the_takeover(self):
        await self.prepare(lost=0)
        cluster = self.cluster
        first = StepSpec(2, SMALL, SECOND)
        await cluster.submit("first", make_job(first, first._replace(after=(0,))))
        await cluster.wait(lambda: len(cluster.list_starts("first")) == 2)
        hosts = {row[3] for row in cluster.list_starts("first")}
        victim = next(r[3] for r in cluster.list_starts("lost") if r[3] not in hosts)
        cluster.workers[victim].kill()
        owner = cluster.find_owner()
        await asyncio.sleep(0.3)
        owner.kill()
        await self.wait_for_takeover(owner)
        # The tasks of the first step take a second and end after the takeover.
        self.taken_over_at += SECOND
        await self.check_start("first", 4)

    # Nothing of it had been started, as there was no room until the takeover.
    @virtual
    async def test_a_job_that_had_not_begun(self):
        await self.prepare(wide=FREE)
        cluster = self.cluster
        await cluster.submit("waits", make_job())
        await asyncio.sleep(0.3)
        self.assertEqual(cluster.list_starts("waits"), [])
        owner = cluster.find_owner()
        cluster.add_worker("w8", "10.0.0.8:1")
        cluster.add_worker("w9", "10.0.0.9:1")
        owner.kill()
        await self.wait_for_takeover(owner)
        await self.check_start("waits", 1)

    # Some of its tasks run, and the others had not been started.
    @virtual
    async def test_a_job_that_runs_and_waits_for_room(self):
        await self.prepare(wide=2 * FREE)
        cluster = self.cluster
        await asyncio.sleep(0.3)
        owner = cluster.find_owner()
        cluster.add_worker("w9", "10.0.0.9:1")
        owner.kill()
        await self.wait_for_takeover(owner)
        await self.check_start("wide", 1, before=FREE)


class TestDrawnIncidents(SuccessionCase):
    """Whatever is lost with the owner, jobs with room go on within the limits."""

    def draw_fate(self, random: Random, owner: ClusterDaemon) -> None:
        """Let an owner be removed, return, freeze or be cut off."""
        cluster, loop = self.cluster, asyncio.get_running_loop()
        fate = random.choice(("removed", "returns", "frozen", "alone"))
        if fate in ("removed", "returns"):
            owner.kill()
        if fate == "returns":
            loop.call_later(0.6, lambda: cluster.add_daemon(owner.name).start())
        if fate == "frozen":
            owner.freeze()
            owner.store.faults.pause()
            cluster.switch.disconnect(owner.name)
            loop.call_later(FREEZE.total_seconds(), owner.thaw)
        if fate == "alone":
            owner.store.faults.outage = True
            for daemon in cluster.daemons.values():
                if daemon is not owner:
                    cluster.switch.cut_both(owner.name, daemon.name)

    async def play(self, seed: int) -> list[str]:
        """Return the jobs that stand still for too long after the last incident."""
        random = Random(seed)
        await self.prepare(wide=FREE, lost=0)
        cluster = self.cluster
        for number in range(6):
            steps = StepSpec(random.randint(1, 3), SMALL, SECOND)
            await cluster.submit(f"j{number}", make_job(steps))
        names = list(cluster.workers)
        for name in random.sample(names, random.randint(1, 3)):
            cluster.workers[name].kill()
        for _ in range(random.randint(1, 2)):
            await asyncio.sleep(random.uniform(0.1, 0.8))
            owner = cluster.find_owner()
            self.draw_fate(random, owner)
            await self.wait_for_takeover(owner)
        for number in range(12):
            cluster.add_worker(f"new{number}", f"10.0.1.{number}:1")
        await asyncio.sleep(UNAFFECTED_WITHIN.total_seconds())
        late = [f"j{n}" for n in range(6) if not cluster.list_starts(f"j{n}")]
        waits = RECONCILED_WITHIN - (cluster.clock.monotonic() - self.taken_over_at)
        await asyncio.sleep(waits.total_seconds())
        running = sum(
            task.job == "lost" for w in cluster.workers.values() for task in w.running
        )
        late += ["lost"] * (TASKS - running)
        violations = cluster.find_violations()
        cluster.close()
        return late + violations

    # Single workers, single owners and calm stores were tested, but not all at once.
    @virtual
    async def test_no_job_stands_still_on_drawn_incidents(self):
        for seed in range(24):
            with self.subTest(seed=seed):
                self.assertEqual(await self.play(seed), [])
