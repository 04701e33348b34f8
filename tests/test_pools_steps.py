"""Tests that a job of many steps costs what of it waits for its turn and runs.

Pattern: incremental evaluation of a graph of steps, with a bounded window.
"""

import random
import sys
import unittest
from collections.abc import Callable
from datetime import timedelta
from itertools import pairwise

from damaskdeck.coordination.pools.pending import PendingSteps
from damaskdeck.coordination.pools.pending.steps import ALL_STEPS, MAX_RENEWED_STEPS
from damaskdeck.coordination.pools.urgency import find_deadlines, list_due_soon
from damaskdeck.errors import MessageError
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.state.jobrecords import (
    PROGRESS_PREFIX,
    JobRecord,
    ProgressRecord,
    StepProgress,
    decode_job,
    encode_record,
)
from damaskdeck.state.pooljobs import MAX_WAITING_STEPS, Job, Run, RunPhase
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

STEP = StepSpec(1, SMALL, SECOND)
WIDE_STEPS = 2000
MAX_PROGRESS_BYTES = 8000


def make_pool_job(*steps: StepSpec) -> Job:
    """Return a job as an owner knows it."""
    return Job(JobRecord("j1", make_queue(), make_job(*steps), 1, 0.0), 0.0)


def run_to_the_end(job: Job, number: int) -> None:
    """Let the task of a step run, most of which is done at 0.9 s."""
    run = Run(job.occurrences[0][number].tasks[0], "w0", 1, 0.0)
    run.phase = RunPhase.RUNNING
    run.record_progress(0, 0.0)
    run.record_progress(90, 0.9)
    run.task.add_run(run)


def count_calls(work: Callable[[], object]) -> int:
    """Return the number of calls of functions that some work makes."""
    calls = 0

    def count(frame: object, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls


class TestCost(unittest.TestCase):
    """One change of a job costs the same, however many steps the job has."""

    def measure(self, steps: int) -> int:
        """Return the calls for the end of a step of a job with many."""
        job = make_pool_job(*[STEP] * steps)
        pending = PendingSteps()
        pending.mark_changed(job)
        pending.rank(0.0)
        first = job.occurrences[0][0]

        def change() -> None:
            first.complete(first.tasks[0])
            pending.mark_changed(job)
            pending.rank(1.0)
            job.summarize()

        return count_calls(change)

    def test_the_end_of_a_step_costs_the_same_in_a_wide_job(self):
        # Guards against a job whose changes block the event loop of each owner.
        self.assertLess(self.measure(4000), 1.2 * self.measure(500))

    def test_a_pass_updates_a_bounded_number_of_steps(self):
        pending = PendingSteps()
        jobs = [
            Job(
                JobRecord(f"j{number}", make_queue(), make_job(*[STEP] * 500), 1, 0.0),
                0.0,
            )
            for number in range(400)
        ]
        for job in jobs:
            pending.mark_changed(job)
        passes = 0
        while pending.has_changes:
            before = len(pending)
            pending.rank(0.0)
            passes += 1
            self.assertLessEqual(
                len(pending) - before, MAX_RENEWED_STEPS + MAX_WAITING_STEPS
            )
        self.assertGreater(passes, 1)
        self.assertLess(len(pending), 2 * ALL_STEPS)
        self.assertTrue(all(job.waiting for job in jobs))

    def measure_early_advice(self, steps: int) -> int:
        """Return the calls to find the step that follows many which end."""
        last = STEP._replace(after=tuple(range(steps)))
        job = make_pool_job(*[STEP] * steps, last)
        for number in range(steps):
            run_to_the_end(job, number)
        return count_calls(lambda: list(list_due_soon(job, ADVISOR_TIMING, 0.9)))

    def test_a_step_that_follows_many_is_looked_at_once(self):
        few, many = self.measure_early_advice(200), self.measure_early_advice(800)
        self.assertLess(many, 5 * few)

    def test_equal_steps_of_a_stored_job_are_one_object(self):
        spec = make_job(*[STEP] * 100)
        record = decode_job(encode_record(JobRecord("j1", make_queue(), spec, 1, 0.0)))
        self.assertEqual(len({id(step) for step in record.spec.steps}), 1)


class TestGraph(unittest.TestCase):
    """What is kept up to date by each change equals what the definition says."""

    def build(self, rng: random.Random) -> Job:
        """Return a job of random steps."""
        steps = [
            STEP._replace(
                tasks=rng.randint(1, 2),
                estimate=timedelta(seconds=rng.randint(0, 9)),
                after=tuple(
                    rng.randrange(number) for _ in range(rng.choice((0, 0, 1, 2, 3)))
                )
                if number
                else (),
            )
            for number in range(12)
        ]
        return make_pool_job(*steps)

    def measure_path(self, job: Job, done: set[int]) -> float:
        """Return the longest remaining chain of steps by its definition."""
        ends: list[float] = []
        for number, step in enumerate(job.record.spec.steps):
            work = 0.0 if number in done else step.estimate.total_seconds()
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(begin + work)
        return max(ends)

    def test_random_jobs_run_in_the_order_of_their_steps(self):
        for seed in range(50):
            rng = random.Random(seed)
            job, done = self.build(rng), set()
            steps = job.record.spec.steps
            while not job.close_if_completed(1.0):
                due = {
                    number
                    for number, step in enumerate(steps)
                    if number not in done and done.issuperset(step.after)
                }
                job.fill_window()
                self.assertEqual({step.number for step in job.waiting}, due)
                remaining = self.measure_path(job, done)
                step = rng.choice(sorted(job.waiting, key=lambda step: step.number))
                objective = 3.0 * self.measure_path(job, set()) + 1.0
                self.assertAlmostEqual(
                    find_deadlines(step).on_time_start, objective - remaining
                )
                for task in list(step.tasks):
                    step.complete(task)
                done.add(step.number)
            self.assertEqual(len(done), len(steps))

    def test_what_is_stored_of_a_random_job_can_be_restored(self):
        for seed in range(50):
            rng = random.Random(seed)
            job = self.build(rng)
            for _ in range(rng.randrange(12)):
                job.fill_window()
                if job.waiting:
                    step = rng.choice(sorted(job.waiting, key=lambda step: step.number))
                    step.complete(step.tasks[0])
            other = Job(job.record, 0.0)
            other.restore(job.summarize(), 0.0)
            job.fill_window()
            other.fill_window()
            self.assertEqual(
                sorted((step.number, step.completed) for step in other.waiting),
                sorted((step.number, step.completed) for step in job.waiting),
            )
            self.assertEqual(other.count_unstarted(), job.count_unstarted())
            self.assertEqual(other.measure_unknown_use(), job.measure_unknown_use())

    def test_advice_is_requested_for_a_step_whose_predecessors_all_end(self):
        job = make_pool_job(STEP, STEP, STEP._replace(after=(0, 1)))
        for number in (0, 1):
            self.assertEqual(list(list_due_soon(job, ADVISOR_TIMING, 0.0)), [])
            run_to_the_end(job, number)
        (step,) = list_due_soon(job, ADVISOR_TIMING, 0.9)
        self.assertEqual(step.number, 2)


class TestStoredSteps(unittest.TestCase):
    """Completed steps are stored as ranges, and wrong ones are rejected."""

    def test_many_completed_steps_need_few_bytes(self):
        job = make_pool_job(*[STEP] * 3000)
        for number in range(2500):
            step = job.occurrences[0][number]
            step.complete(step.tasks[0])
        progress = job.summarize()
        self.assertLess(len(encode_record(progress)), 100)
        other = make_pool_job(*[STEP] * 3000)
        other.restore(progress, 0.0)
        other.fill_window()
        numbers = sorted(step.number for step in other.waiting)
        self.assertEqual(numbers, list(range(2500, 2500 + MAX_WAITING_STEPS)))

    def test_steps_that_a_job_lacks_are_rejected(self):
        for row in (
            StepProgress(0, -1, (0, -5)),
            StepProgress(3, -1, (0,)),
            StepProgress(0, 7, (0,)),
            StepProgress(-1, -1, (0,)),
        ):
            with self.assertRaises(MessageError):
                make_pool_job(STEP, STEP).restore(ProgressRecord("", True, (row,)), 0.0)


class TestWideJob(PoolCase):
    """Jobs of many steps beside small ones."""

    @virtual
    async def test_a_wide_job_runs_beside_small_ones_and_across_a_takeover(self):
        cluster = await self.begin(workers=12, behave=lambda t, a: Work(0.3 * SECOND))
        await cluster.submit("wide", make_job(*[STEP] * WIDE_STEPS))
        for number in range(3):
            await cluster.submit(f"small{number}", make_job())
            await cluster.wait_for_state(
                f"small{number}", QueueJobState.COMPLETED, seconds=3
            )
        await cluster.wait(lambda: len(cluster.list_starts("wide")) > WIDE_STEPS // 2)
        owner = cluster.find_owner()
        steps = list(owner.owner.job_index.jobs["wide"].list_steps())
        self.assertLess(len(steps), 2 * MAX_WAITING_STEPS)
        value = cluster.store.entries[PROGRESS_PREFIX + "wide"].value
        self.assertLess(len(value), MAX_PROGRESS_BYTES)
        owner.kill()
        await cluster.wait_for_state("wide", QueueJobState.COMPLETED, seconds=60)
        starts = [task for _, task, _, _ in cluster.list_starts("wide")]
        self.assertEqual(len(set(starts)), WIDE_STEPS)
        self.assertEqual(len(starts), WIDE_STEPS)
        self.end()

    @virtual
    async def test_steps_without_a_worker_let_others_of_their_job_start(self):
        cluster = await self.begin()
        nowhere = STEP._replace(label="none")
        steps = [nowhere] * (3 * MAX_WAITING_STEPS) + [STEP] * 10
        await cluster.submit("j1", make_job(*steps))
        await cluster.wait(lambda: len(cluster.list_starts("j1")) == 10, 8)
        self.end()

    @virtual
    async def test_a_chain_of_many_steps_runs_in_order(self):
        cluster = await self.begin(behave=lambda t, a: Work(0.05 * SECOND))
        steps = [STEP, *(STEP._replace(after=(number,)) for number in range(150))]
        await cluster.submit("j1", make_job(*steps))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=90)
        numbers = [task.step for _, task, _, _ in sorted(cluster.list_starts("j1"))]
        self.assertTrue(all(a < b for a, b in pairwise(numbers)))
        self.end()
