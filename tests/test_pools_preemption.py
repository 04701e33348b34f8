"""Preemption in the pools: gangs in a pool that small patient tasks keep full.

The load: patient tasks with checkpoints use all workers, and a gang that must start
within a few seconds finds no capacity. On 176 workers such gangs waited 10 to 30 s.
"""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.places.preemption import PreemptionBudget
from damaskdeck.coordination.pools.candidates import Candidate
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.preemption import (
    Hold,
    Holds,
    VictimIndex,
    choose_victims,
    name_task,
)
from damaskdeck.coordination.pools.preemption.needs import (
    is_too_late,
    measure_longest_wait,
)
from damaskdeck.coordination.pools.speeds import StepExpectation
from damaskdeck.coordination.pools.times import derive_times
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.delays import LoopDelay
from damaskdeck.protocol.callresults import JobAccepted
from damaskdeck.protocol.pools import EndKind, PoolWorker
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, Run, RunPhase
from standins.clock import ManualClock
from standins.pools import Work
from tests.poolcluster import (
    BOUNDS,
    SECOND,
    SIZE,
    SMALL,
    PoolCase,
    make_job,
    make_queue,
)
from tests.virtual import virtual

GANGS = make_queue("gangs", rank=1, slack=2.2, allowance=SECOND)
PATIENT = make_queue("patient", rank=2, slack=4.0, allowance=3 * SECOND)
STRICT = make_queue("strict", rank=2, slack=1.0, allowance=SECOND)
TIMES = derive_times(BOUNDS)
PATIENT_STEP = StepSpec(4, SMALL, 10 * SECOND, is_checkpointing=True)


class ContactOwner:
    """The part of an owner that contacts with runs use."""

    def charge(self, run: Run) -> None:
        """Do nothing."""

    def release(self, run: Run) -> None:
        """Do nothing."""


class Pool:
    """Workers with runs, at second 100, without calls."""

    def __init__(self, workers: int = 2) -> None:
        self.clock = ManualClock()
        self.clock.move(100 * SECOND)
        self.now = 100.0
        self.contacts: dict[str, WorkerContact] = {}
        self.preempted: set[str] = set()
        for number in range(workers):
            self.add_worker(f"w{number}")

    def add_worker(self, name: str) -> None:
        """Add a worker that may get orders."""
        info = PoolWorker(name, "hub", f"{name}:1", "z0", SIZE)
        contact = WorkerContact(
            info,
            OwnerTerm(1, 1, 1, None),
            ContactOwner(),
            None,
            None,
            self.clock,
            TIMES,
            lambda: 0.0,
            LoopDelay(),
        )
        contact.is_synchronized = contact.is_rostered = True
        contact.capacity_reported_at = self.now
        self.contacts[name] = contact

    def make_step(self, name: str, queue, spec: StepSpec):
        """Return the step of a job that arrived at second 98."""
        job = Job(JobRecord(name, queue, make_job(spec), 1, 0.0), self.now - 2)
        return job.occurrences[0][0]

    def run_step(self, name: str, queue, spec: StepSpec, workers: str, age=2.0):
        """Start the tasks of a step on the workers of the given numbers."""
        step = self.make_step(name, queue, spec)
        for task, number in zip(step.tasks, workers, strict=True):
            run = Run(task, f"w{number}", 1, self.now - age)
            run.phase = RunPhase.RUNNING
            task.add_run(run)
            self.contacts[run.worker].add_run(run)
        return step

    def build_index(self) -> VictimIndex:
        """Return the index of victims as of now."""
        return VictimIndex(
            self.contacts,
            TIMES,
            self.now,
            lambda task: task not in self.preempted,
            lambda step: 0.5,
            {},
        )

    def list_victims(self, worker: str = "w0", rank: int = 1) -> list[str]:
        """List the names of the victims on a worker."""
        return [v.name for v in self.build_index().list_victims(worker, rank)]


class TestVictims(unittest.TestCase):
    """Runs that may not be stopped are no victims."""

    def check(self, expected: int, queue=PATIENT, rank=1, age=2.0, **fields) -> Pool:
        """Check the number of victims of a step on one worker."""
        pool = Pool()
        spec = PATIENT_STEP._replace(**fields)
        pool.run_step("p", queue, spec, "0000", age)
        self.assertEqual(len(pool.list_victims(rank=rank)), expected)
        return pool

    def test_only_steps_of_a_lower_rank_number_have_victims(self):
        self.check(4, rank=1)
        self.check(0, rank=2)

    def test_a_run_that_would_be_late_after_a_restart_is_no_victim(self):
        self.check(0, queue=STRICT)

    def test_work_without_checkpoints_is_only_lost_shortly_after_its_start(self):
        self.check(0, is_checkpointing=False)
        self.check(4, is_checkpointing=False, age=0.5)

    def test_long_running_tasks_are_no_victims(self):
        self.check(0, is_long_running=True)

    def test_a_task_is_no_victim_twice(self):
        pool = self.check(4)
        pool.preempted.add(pool.list_victims()[0])
        self.assertEqual(len(pool.list_victims()), 3)

    def test_unconfirmed_and_stopping_runs_are_no_victims(self):
        pool = self.check(4)
        first, second, *_ = pool.contacts["w0"].runs.values()
        first.phase, second.stopping_since = RunPhase.DOUBTFUL, 99.0
        self.assertEqual(len(pool.list_victims()), 2)

    def test_a_gang_is_a_victim_as_a_whole_or_not_at_all(self):
        for cordoned in (False, True):
            pool = Pool()
            spec = PATIENT_STEP._replace(is_gang=True)
            step = pool.run_step("p", PATIENT, spec, "0011")
            pool.contacts["w1"].is_cordoned = cordoned
            self.assertEqual(pool.list_victims(), [] if cordoned else [step.name] * 2)

    def test_the_least_work_lost_comes_first(self):
        pool = Pool()
        wide = StepSpec(1, Size(2000, 1000, 0), 10 * SECOND, is_checkpointing=True)
        pool.run_step("wide", PATIENT, wide, "0")
        small = pool.run_step("small", PATIENT, wide._replace(size=SMALL), "0")
        self.assertEqual(pool.list_victims()[0], name_task(small.tasks[0]))


class TestNeeds(unittest.TestCase):
    """Guards against stops for steps that would have started in time by themselves."""

    def setUp(self) -> None:
        spec = StepSpec(4, SMALL, 2 * SECOND, is_gang=True)
        self.step = Pool().make_step("gang", GANGS, spec)

    def test_a_forecast_within_its_error_of_the_slack_stops_nothing(self):
        longest = measure_longest_wait(self.step, 2.0, None)
        self.assertAlmostEqual(longest, 2.4)
        self.assertFalse(is_too_late(longest, 3.8))
        self.assertTrue(is_too_late(longest, 4.1))

    def test_a_step_may_wait_longer_where_fast_workers_shorten_it(self):
        expectation = StepExpectation(2.0, 0.0, 4.0, 0.7)
        longest = measure_longest_wait(self.step, 2.0, expectation)
        self.assertAlmostEqual(longest, 2.6)


class TestSearch(unittest.TestCase):
    """The choice of workers and victims for a step."""

    def choose(self, pool: Pool, spec: StepSpec):
        """Choose victims for a step of a gang's queue on all workers."""
        step = pool.make_step("g", GANGS, spec)
        return choose_victims(
            step,
            spec.tasks,
            pool.contacts.values(),
            pool.build_index(),
            lambda contact: contact.free,
        )

    def test_free_capacity_is_used_first_and_no_run_is_stopped_in_vain(self):
        pool = Pool()
        pool.run_step("p", PATIENT, PATIENT_STEP, "0000")
        pool.run_step("q", PATIENT, PATIENT_STEP._replace(tasks=3), "111")
        choice = self.choose(pool, StepSpec(3, SMALL, SECOND, is_gang=True))
        self.assertEqual(sum(choice.tasks.values()), 3)
        self.assertEqual(len(choice.victims), 2)

    def test_memory_is_freed_as_well_as_processors(self):
        pool = Pool(workers=1)
        wide = StepSpec(2, Size(1000, 4000, 0), 10 * SECOND, is_checkpointing=True)
        pool.run_step("p", PATIENT, wide, "00")
        gang = StepSpec(1, Size(1000, 5000, 0), SECOND, is_gang=True)
        self.assertEqual(len(self.choose(pool, gang).victims), 2)

    def test_a_step_gets_all_its_capacity_or_none(self):
        pool = Pool()
        pool.run_step("p", PATIENT, PATIENT_STEP, "0000")
        pool.run_step("s", STRICT, PATIENT_STEP, "1111")
        self.assertIsNone(self.choose(pool, StepSpec(5, SMALL, SECOND, is_gang=True)))

    def test_the_tasks_of_a_step_stay_spread(self):
        pool = Pool()
        pool.run_step("p", PATIENT, PATIENT_STEP, "0000")
        pool.run_step("q", PATIENT, PATIENT_STEP, "1111")
        choice = self.choose(pool, StepSpec(2, SMALL, SECOND, spread=1))
        self.assertEqual(choice.tasks, {"w0": 1, "w1": 1})


class TestHolds(unittest.TestCase):
    """Capacity that is being freed goes to the step that it is freed for."""

    def setUp(self):
        self.pool = Pool(workers=1)
        self.contact = self.pool.contacts["w0"]
        self.pool.run_step("p", PATIENT, PATIENT_STEP, "0000")
        self.gang = self.pool.make_step("g", GANGS, StepSpec(2, SMALL, SECOND))
        self.other = self.pool.make_step("o", PATIENT, PATIENT_STEP)
        self.holds = Holds()
        self.victims = list(self.contact.runs.values())[:3]
        self.holds.add(Hold(self.gang, {"w0": 2}, 102.0), self.victims)

    def find_free(self, step) -> int:
        """Return the millicores that a step may use now."""
        candidates = self.holds.limit(step, [Candidate(self.contact)])
        return candidates[0].free.millicores if candidates else 0

    def end(self, run: Run) -> None:
        """End a run, whose capacity is free from now on."""
        self.contact.remove_run(run)
        self.holds.refresh(self.contact)

    def test_others_get_only_what_is_freed_beyond_the_hold(self):
        expected = [(0, 0), (0, 1000), (0, 2000), (1000, 3000)]
        self.assertEqual(self.find_both(), expected[0])
        for run, free in zip(self.victims, expected[1:], strict=True):
            self.end(run)
            self.assertEqual(self.find_both(), free)

    def find_both(self) -> tuple[int, int]:
        """Return the millicores that others, and the gang, may use now."""
        return self.find_free(self.other), self.find_free(self.gang)

    def test_a_hold_ends_with_the_start(self):
        for run in self.victims:
            self.end(run)
        self.holds.record_start(self.gang, ["w0"])
        self.assertEqual(self.find_free(self.other), 2000)
        self.holds.record_start(self.gang, ["w0"])
        self.assertEqual(self.find_free(self.other), 3000)

    def test_a_hold_ends_when_its_time_has_passed(self):
        self.assertEqual(self.holds.sweep(self.pool.contacts, 101.0), [])
        released = self.holds.sweep(self.pool.contacts, 102.0)
        self.assertEqual(released, [(self.gang, "hold_expired")])
        for run in self.victims:
            self.end(run)
        self.assertEqual(self.find_free(self.other), 3000)

    def test_nothing_is_held_on_a_worker_that_is_gone(self):
        self.assertEqual(self.holds.sweep({}, 101.0), [(self.gang, "worker_lost")])
        self.assertEqual(self.find_free(self.other), self.contact.free.millicores)


class TestBudget(unittest.TestCase):
    """The budget follows the number of running tasks."""

    def test_a_changed_limit_neither_empties_nor_overfills_the_budget(self):
        clock = ManualClock()
        budget = PreemptionBudget(clock, 0, 2 * SECOND, per_task=1)
        budget.set_limit(10)
        self.assertTrue(budget.is_available(10))
        budget.spend(str(number) for number in range(10))
        budget.set_limit(4)
        self.assertFalse(budget.is_available(1))
        clock.move(60 * SECOND)
        self.assertTrue(budget.is_available(4))
        self.assertFalse(budget.is_available(5))


class TestCluster(PoolCase):
    """The whole path from the decision to the start, with failures between."""

    async def begin_full(self, patient=PATIENT, workers: int = 12) -> None:
        """Start a cluster whose workers are full of patient tasks of 10 s."""
        self.cluster = await self.begin(
            workers=workers,
            behave=lambda task, attempt: Work(
                SECOND if task.job == "gang" else 10 * SECOND
            ),
            queues=(GANGS, patient),
        )
        self.patient = patient
        self.jobs = [f"p{number}" for number in range(workers)]
        for name in self.jobs:
            await self.submit(patient, name, PATIENT_STEP)
        await self.cluster.wait(
            lambda: len(self.cluster.list_starts()) == 4 * workers, seconds=5
        )
        await asyncio.sleep(1)

    async def submit(self, queue, name: str, spec: StepSpec) -> None:
        """Submit a job to a queue."""
        self.cluster.specs[name] = make_job(spec)
        daemon = self.cluster.find_owner()
        done = await daemon.frontend.submit(queue, name, make_job(spec))
        self.assertEqual(done, JobAccepted())

    async def submit_gang(self, tasks: int = 4) -> timedelta:
        """Submit a gang, and return the time."""
        gang = StepSpec(tasks, SMALL, 2 * SECOND, is_gang=True)
        await self.submit(GANGS, "gang", gang)
        return self.cluster.clock.monotonic()

    async def wait_for_gang(self, seconds: float = 2.5) -> None:
        """Wait until all members of the gang have started."""
        await self.cluster.wait(
            lambda: len(self.cluster.list_starts("gang")) >= 4, seconds
        )

    def list_stopped(self) -> list[str]:
        """List the jobs of the runs that were stopped."""
        return [
            row[0].job
            for worker in self.cluster.workers.values()
            for row in worker.history
            if row[2] is EndKind.STOPPED
        ]

    async def finish(self) -> None:
        """Wait until all jobs have completed, and check the invariants."""
        await self.cluster.wait(
            lambda: not any(map(self.cluster.is_open, ["gang", *self.jobs]))
        )
        self.end()

    @virtual
    async def test_a_gang_starts_in_time_and_patient_jobs_end_in_time(self):
        await self.begin_full()
        # These wait, and would take what is freed for the gang.
        for number in range(4):
            await self.submit(PATIENT, f"late{number}", PATIENT_STEP)
        await self.submit_gang()
        await self.wait_for_gang()
        self.assertEqual(len(self.list_stopped()), 4)
        owner = self.cluster.find_owner().owner
        await self.finish()
        jobs = [owner.job_index.jobs[name] for name in self.jobs]
        self.assertTrue(all(job.final is QueueJobState.COMPLETED for job in jobs))
        self.assertLess(max(job.final_at - job.arrived_at for job in jobs), 43)

    @virtual
    async def test_no_run_is_stopped_that_would_be_late_then(self):
        await self.begin_full(STRICT)
        await self.submit_gang()
        await asyncio.sleep(5)
        self.assertEqual(self.list_stopped(), [])
        await self.finish()

    @virtual
    async def test_no_run_is_stopped_beyond_the_budget(self):
        await self.begin_full()
        await self.submit_gang(tasks=8)
        await asyncio.sleep(5)
        self.assertEqual(self.list_stopped(), [])
        self.end()

    @virtual
    async def test_a_restarted_task_gets_its_checkpoint(self):
        await self.begin_full()
        checkpoints = []
        client = self.cluster.find_owner().workers
        stop, start = client.stop, client.start

        async def stop_with_checkpoint(info, epoch, task, attempt):
            answer = await stop(info, epoch, task, attempt)
            worker = self.cluster.workers[info.identifier]
            worker.ends[:] = [end._replace(checkpoint="kept") for end in worker.ends]
            return answer

        async def record_start(info, epoch, order):
            checkpoints.append(order.checkpoint)
            return await start(info, epoch, order)

        client.stop, client.start = stop_with_checkpoint, record_start
        await self.submit_gang()
        await self.wait_for_gang()
        await self.finish()
        self.assertEqual(checkpoints.count("kept"), 4)

    @virtual
    async def test_the_owner_dies_between_a_stop_and_the_start(self):
        await self.begin_full()
        daemon = self.cluster.find_owner()
        stop = daemon.workers.stop

        async def stop_and_die(*order):
            answer = await stop(*order)
            asyncio.get_running_loop().call_soon(daemon.kill)
            return answer

        daemon.workers.stop = stop_and_die
        await self.submit_gang()
        await self.cluster.wait(lambda: daemon.is_killed, seconds=2.5)
        self.assertEqual(self.cluster.list_starts("gang"), [])
        await self.cluster.wait(lambda: self.cluster.find_owner() is not None)
        await self.finish()

    @virtual
    async def test_a_stop_without_an_answer_is_repeated(self):
        await self.begin_full()
        client = self.cluster.find_owner().workers
        stop, lost = client.stop, []

        async def lose_first(info, epoch, task, attempt):
            if task not in lost:
                lost.append(task)
                return Lost("timeout")
            return await stop(info, epoch, task, attempt)

        client.stop = lose_first
        await self.submit_gang()
        await self.wait_for_gang()
        self.assertEqual(len(lost), 4)
        await self.finish()

    @virtual
    async def test_a_worker_crashes_that_holds_victims(self):
        await self.begin_full()
        client = self.cluster.find_owner().workers
        stop, crashed = client.stop, []

        async def crash_first(info, epoch, task, attempt):
            if not crashed:
                crashed.append(info.identifier)
                self.cluster.crash(self.cluster.workers[info.identifier])
            return await stop(info, epoch, task, attempt)

        client.stop = crash_first
        await self.submit_gang()
        await self.cluster.wait(
            lambda: len(self.cluster.list_starts("gang")) >= 4, seconds=4
        )
        self.assertEqual(len(crashed), 1)
        await self.finish()

    @virtual
    async def test_nothing_is_stopped_in_a_pool_with_room(self):
        await self.begin_full()
        for number in range(2):
            self.cluster.add_worker(f"new{number}", f"10.0.1.{number}:1")
        await asyncio.sleep(2)
        submitted_at = await self.submit_gang()
        await self.wait_for_gang(0.5)
        starts = self.cluster.list_starts("gang")
        self.assertLess(starts[-1][0] - submitted_at, SECOND / 4)
        self.assertEqual(self.list_stopped(), [])
        await self.finish()
