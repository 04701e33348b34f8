"""Accepted jobs are served within a bounded time, whatever is more urgent.

The load: more steps wait than the advisor is asked about in turn, because the most
urgent ones can't be placed; and a burst of which more is accepted than the owner has
processor time for.
"""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.pending.turns import TURN_SECONDS
from damaskdeck.coordination.pools.workerhealth import (
    MAX_QUARANTINE_PAUSE,
    QUARANTINE_PAUSE,
    WorkerHealth,
)
from damaskdeck.protocol.callresults import JobAccepted
from damaskdeck.protocol.pools import EndedTask, EndKind
from damaskdeck.protocol.queues import JobSpec, Queue, StepSpec, TaskName
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, Run
from standins.clock import ManualClock
from standins.loops import run_virtual
from standins.pools import Work
from tests.poolcluster import (
    ADVISOR_TIMING,
    SECOND,
    SIZE,
    SMALL,
    PoolCase,
    make_job,
    make_queue,
)
from tests.test_pools_saturation import (
    BURST_SECONDS,
    OVERLOAD_RATES,
    play_burst,
    play_load,
)
from tests.virtual import virtual

# The users' rule: a task whose turn has come may stand still for this long while there
# is capacity for it.
MAX_IDLE_SECONDS = 3.0
# The users ask for all accepted jobs this long after the load has ended.
FINISH_SECONDS = 14
# More steps than the advisor is asked about in the order of urgency.
BLOCKED_STEPS = 20
# Longer than a ticket is valid.
FULL_SECONDS = 6
BLOCKED_WORKER = "w0"
# More steps than their worker can run, for longer than a job may stand still.
STREAM_JOBS = 240
STREAM_INTERVAL_SECONDS = 0.12
STREAM_STEP_SECONDS = 0.3 * SECOND
# A worker that fails these is suspected time and again.
FAILING_JOBS = 40
FAILING_INTERVAL_SECONDS = 0.4
URGENT = make_queue("checks", rank=0, allowance=SECOND / 10, advice=ADVISOR_TIMING)
PATIENT = make_queue("plans", rank=2, allowance=60 * SECOND, advice=ADVISOR_TIMING)
# Of a job that can earn nothing soon after it was submitted.
HASTY = make_queue(
    "hasty", rank=2, slack=1.1, allowance=SECOND / 10, advice=ADVISOR_TIMING
)
# More than four workers can hold, and a job that soon earns nothing beside it.
FULL_POOL_JOBS = 200
FULL_POOL_INTERVAL_SECONDS = 0.2
FILLING = make_queue("renders", rank=0, allowance=600 * SECOND)
HURRIED = make_queue("hurried", rank=2, slack=1.1, allowance=SECOND / 10)
WHOLE_WORKER = StepSpec(1, SIZE, 600 * SECOND)
# Fits beside the tasks that fill the other workers only once these have ended.
WAITING = StepSpec(1, Size(2000, 2000, 0), 0.2 * SECOND)


def behave(task: TaskName, attempt: int) -> Work:
    """Let the tasks of ``full`` jobs end after a while, and of ``stuck`` ones never."""
    if task.job.startswith("full"):
        return Work(FULL_SECONDS * SECOND)
    return Work(600 * SECOND if task.job.startswith("stuck") else 0.2 * SECOND)


def allow(step: str, worker: str) -> bool:
    """Consent to one worker for the jobs that block, to the others for all others."""
    return (worker == BLOCKED_WORKER) == step.startswith(("blocked", "stuck"))


class TestAdviceBehindOthers(PoolCase):
    """More urgent steps wait for a worker that stays full."""

    async def fill(self) -> None:
        """Fill all workers, one of them for good, and let more steps wait for it."""
        cluster = await self.begin(
            workers=3, behave=behave, allow=allow, queues=(URGENT, PATIENT, HASTY)
        )
        await self.offer(URGENT, "stuck", make_job(WHOLE_WORKER))
        for number in range(2):
            await self.offer(URGENT, f"full{number}", make_job(WHOLE_WORKER))
        await cluster.wait(lambda: len(cluster.list_starts()) == 3)
        for number in range(BLOCKED_STEPS):
            await self.offer(URGENT, f"blocked{number}", make_job(WHOLE_WORKER))

    async def offer(self, queue: Queue, job: str, spec: JobSpec) -> None:
        """Submit a job to a queue."""
        self.cluster.specs[job] = spec
        answer = await self.cluster.daemons["d0"].frontend.submit(queue, job, spec)
        self.assertEqual(answer, JobAccepted())

    async def expect_start(self, job: str, since: timedelta) -> None:
        """Wait for a job, which may stand still for no longer than the users allow."""
        cluster = self.cluster
        await cluster.wait(lambda: bool(cluster.list_starts(job)))
        idle = (cluster.list_starts(job)[0][0] - since).total_seconds()
        self.assertLess(idle, MAX_IDLE_SECONDS)

    async def wait_for_capacity(self) -> timedelta:
        """Wait until the workers that fill up have capacity; return when that was."""

        def find_ends() -> list[timedelta]:
            return [
                row[4]
                for worker in self.cluster.workers.values()
                for row in worker.history
                if row[0].job.startswith("full") and row[2] is EndKind.COMPLETED
            ]

        await self.cluster.wait(lambda: len(find_ends()) == 2)
        return max(find_ends())

    # LOST on svetloba-scene: accepted jobs stood still for up to 24 s, with room on the
    # workers that the advisor admits, as tickets were renewed for the first steps only.
    @virtual
    async def test_expired_tickets_are_renewed_behind_steps_that_cannot_be_placed(self):
        await self.fill()
        await self.offer(PATIENT, "patient", make_job(WAITING))
        await self.expect_start("patient", await self.wait_for_capacity())
        self.end()

    # LOST on svetloba-scene: a successor asked the advisor for the first steps only.
    @virtual
    async def test_a_job_that_earns_nothing_more_gets_advice_from_a_new_owner(self):
        await self.fill()
        await self.offer(HASTY, "hasty", make_job(WAITING))
        await asyncio.sleep(1)
        owner = self.cluster.find_owner()
        owner.kill()
        full_until = await self.wait_for_capacity()
        await self.expect_start("hasty", full_until)
        self.end()


class TestFewWorkersForAStep(PoolCase):
    """More urgent steps take the worker that the advisor admits; others are idle."""

    async def stream(self) -> None:
        """Keep more urgent steps waiting for that worker."""
        for number in range(STREAM_JOBS):
            spec = make_job(StepSpec(1, Size(2000, 2000, 0), STREAM_STEP_SECONDS))
            await self.offer(URGENT, f"blocked{number}", spec)
            await asyncio.sleep(STREAM_INTERVAL_SECONDS)

    async def offer(self, queue: Queue, job: str, spec: JobSpec) -> None:
        """Submit a job to a queue."""
        self.cluster.specs[job] = spec
        answer = await self.cluster.daemons["d0"].frontend.submit(queue, job, spec)
        self.assertEqual(answer, JobAccepted())

    async def measure_idle(self, spec: JobSpec) -> float:
        """Return the seconds until a job starts that waits for the same worker."""
        cluster = await self.begin(
            workers=6,
            behave=lambda task, attempt: Work(STREAM_STEP_SECONDS),
            allow=allow,
            queues=(URGENT, PATIENT, HASTY),
        )
        stream = asyncio.ensure_future(self.stream())
        await asyncio.sleep(2)
        await self.offer(HASTY, "blocked-late", spec)
        since = cluster.clock.monotonic()
        await cluster.wait(lambda: bool(cluster.list_starts("blocked-late")), 40)
        idle = cluster.list_starts("blocked-late")[0][0] - since
        stream.cancel()
        self.end()
        return idle.total_seconds()

    # LOST on svetloba-scene: a job that earns nothing more waited for the workers that
    # it may use until the load ended, while most of the pool was idle.
    @virtual
    async def test_a_step_that_earns_nothing_more_gets_its_turn(self):
        idle = await self.measure_idle(make_job(WAITING))
        self.assertLess(idle, TURN_SECONDS + MAX_IDLE_SECONDS)

    # LOST on svetloba-scene: others took each piece of the capacity of a gang.
    @virtual
    async def test_a_gang_that_earns_nothing_more_gets_its_turn(self):
        gang = StepSpec(4, SMALL, SECOND / 5, is_gang=True)
        idle = await self.measure_idle(make_job(gang))
        self.assertLess(idle, TURN_SECONDS + MAX_IDLE_SECONDS)


class TestTurnsInFullPools(PoolCase):
    """More urgent steps keep a pool full, in which some capacity is free at times."""

    async def stream(self) -> None:
        """Keep more steps waiting that are on time than the workers can hold."""
        for number in range(FULL_POOL_JOBS):
            await self.offer(FILLING, f"fill{number}")
            await asyncio.sleep(FULL_POOL_INTERVAL_SECONDS)

    async def offer(self, queue: Queue, job: str) -> None:
        """Submit a job of a few small tasks to a queue."""
        spec = make_job(StepSpec(4, SMALL, SECOND))
        self.cluster.specs[job] = spec
        await self.cluster.daemons["d0"].frontend.submit(queue, job, spec)

    # LOST's margin on brolga-tv-grown: what could earn nothing any more stood still for
    # up to 60 s, until the load ended, in pools that were neither idle nor limited.
    @virtual
    async def test_a_step_that_earns_nothing_more_gets_its_turn(self):
        cluster = await self.begin(
            workers=4,
            behave=lambda task, attempt: Work(SECOND),
            queues=(HURRIED, FILLING),
        )
        stream = asyncio.ensure_future(self.stream())
        await asyncio.sleep(4)
        await self.offer(HURRIED, "late")
        since = cluster.clock.monotonic()
        await cluster.wait(lambda: bool(cluster.list_starts("late")), 60)
        idle = cluster.list_starts("late")[0][0] - since
        stream.cancel()
        self.assertLess(idle.total_seconds(), TURN_SECONDS + MAX_IDLE_SECONDS)
        self.end()


class TestSuspectWorkers(PoolCase):
    """The only worker that the advisor admits is in quarantine."""

    async def isolate(self) -> None:
        """Let one worker fail every task of several jobs."""

        def fail(task: TaskName, attempt: int) -> Work:
            is_failing = task.job.startswith("blocked")
            return Work(
                SECOND / 10, EndKind.FAILED if is_failing else EndKind.COMPLETED
            )

        await self.begin(workers=3, behave=fail, allow=allow, queues=(URGENT, PATIENT))
        frontend = self.cluster.daemons["d0"].frontend
        for job in ("sound0", "sound1", *(f"blocked{n}" for n in range(FAILING_JOBS))):
            self.cluster.specs[job] = make_job(WAITING)
            await frontend.submit(URGENT, job, self.cluster.specs[job])
            await asyncio.sleep(FAILING_INTERVAL_SECONDS)
        await self.cluster.wait(self.is_isolated)

    def is_isolated(self) -> bool:
        """Whether the worker is in quarantine."""
        health = self.cluster.find_owner().owner.dispatcher.worker_health
        return BLOCKED_WORKER in health.isolated

    async def expect_start(self, job: str, spec: JobSpec) -> None:
        """Submit a job, which may stand still for no longer than the users allow."""
        cluster = self.cluster
        cluster.specs[job] = spec
        await cluster.daemons["d0"].frontend.submit(PATIENT, job, spec)
        submitted_at = cluster.clock.monotonic()
        await cluster.wait(lambda: bool(cluster.list_starts(job)))
        idle = (cluster.list_starts(job)[0][0] - submitted_at).total_seconds()
        self.assertLess(idle, MAX_IDLE_SECONDS)

    # LOST on svetloba-scene: a task that lasts stood still, as the workers that the
    # advisor admits had failed other tasks.
    @virtual
    async def test_a_lasting_task_starts_on_a_suspect_worker_rather_than_on_none(self):
        await self.isolate()
        lasting = StepSpec(1, SMALL, SECOND, is_long_running=True)
        await self.expect_start("blocked-lasting", make_job(lasting))
        self.end()

    @virtual
    async def test_a_task_starts_on_a_suspect_worker_of_an_idle_pool(self):
        await self.isolate()
        await self.expect_start("blocked-patient", make_job(WAITING))
        self.end()


class TestProbes(unittest.TestCase):
    """Probes of a suspect worker that tell nothing of it."""

    def setUp(self):
        self.clock = ManualClock()
        self.health = WorkerHealth(self.clock)
        self.health.retain_workers(frozenset(f"w{number}" for number in range(8)))
        self.end("w1", "other", EndKind.COMPLETED)
        for number in range(4):
            self.end(BLOCKED_WORKER, f"j{number}", EndKind.FAILED)
        self.clock.move(QUARANTINE_PAUSE)

    def make_run(self, job: str, is_lasting: bool = False) -> Run:
        """Return a run of the only task of a job on the suspect worker."""
        spec = make_job(StepSpec(1, SMALL, SECOND, is_long_running=is_lasting))
        record = JobRecord(job, make_queue(), spec, 1, 0.0, ())
        task = Job(record, 0.0).occurrences[0][0].tasks[0]
        return Run(task, BLOCKED_WORKER, 1, 0.0)

    def end(self, worker: str, job: str, kind: EndKind) -> None:
        """Record how the only run of a job has ended."""
        task = self.make_run(job).task
        self.health.record_end(worker, task, EndedTask(1, task.name, 1, kind, ""))

    def may_start(self) -> bool:
        """Whether a task of another job may start on the suspect worker."""
        return self.health.may_start(BLOCKED_WORKER, self.make_run("next").task.step)

    def test_one_probe_at_a_time_is_made(self):
        self.assertTrue(self.may_start())
        self.health.record_start(self.make_run("probe"))
        self.assertFalse(self.may_start())

    # A probe whose start was declined, or that was lost, kept its worker isolated.
    def test_a_probe_without_an_end_lets_another_one_start(self):
        probe = self.make_run("probe")
        self.health.record_start(probe)
        self.health.record_loss(probe)
        self.assertTrue(self.may_start())

    # A lasting task as a probe kept its worker isolated for as long as it ran.
    def test_a_lasting_probe_lets_another_one_start(self):
        self.health.record_start(self.make_run("probe", is_lasting=True))
        self.assertTrue(self.may_start())

    def test_a_pause_is_no_longer_than_a_fault_lasts(self):
        for number in range(6):
            probe = self.make_run(f"probe{number}")
            self.health.record_start(probe)
            end = EndedTask(1, probe.task.name, 1, EndKind.FAILED, "")
            self.health.record_end(BLOCKED_WORKER, probe.task, end)
            self.assertFalse(self.may_start())
            self.clock.move(MAX_QUARANTINE_PAUSE)
            self.assertTrue(self.may_start())


class TestAcceptedUnderLoad(unittest.TestCase):
    """A burst of more load than the owner has processor time for."""

    # LOST: 129 accepted jobs had never been ordered 14 s after the traffic.
    def test_all_accepted_jobs_have_ended_soon_after_the_burst(self):
        self.assertEqual(
            [
                job
                for job, (accepted_at, duration) in play_burst().accepted.items()
                if accepted_at < BURST_SECONDS
                and accepted_at + duration > BURST_SECONDS + FINISH_SECONDS
            ],
            [],
        )

    # The same where the traffic ends with the burst, as the users' rule has it.
    def test_all_accepted_jobs_have_ended_soon_after_the_load(self):
        play = run_virtual(
            play_load(((OVERLOAD_RATES, BURST_SECONDS),), FINISH_SECONDS)
        )
        unfinished = [
            job
            for job, (accepted_at, duration) in play.accepted.items()
            if accepted_at + duration > BURST_SECONDS + FINISH_SECONDS
        ]
        self.assertEqual(unfinished, [])
        self.assertEqual(play.epochs, [])
