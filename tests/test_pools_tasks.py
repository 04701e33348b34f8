"""Tests that a step of many tasks costs what of them runs, waits again or went wrong.

Pattern: sparse state, a set of ranges beside the few objects that differ.
"""

import random
import tracemalloc
import unittest

from damaskdeck.coordination.pools.crashes import MAX_LISTED_TASKS
from damaskdeck.coordination.pools.pending import PendingSteps
from damaskdeck.coordination.pools.speeds.ranks import MAX_SAMPLES, SpeedRanks
from damaskdeck.coordination.pools.speeds.samples import StepSamples
from damaskdeck.protocol.queues import QueueJobState, StepSpec, TaskName
from damaskdeck.state.jobrecords import (
    PROGRESS_PREFIX,
    STARTS_PREFIX,
    JobRecord,
    encode_record,
)
from damaskdeck.state.pooljobs import CheckpointRoom, Job, Run, Step
from damaskdeck.state.recordedstarts import ALL, RecordedStarts
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, PoolCase, make_job, make_queue
from tests.test_pools_steps import count_calls, make_pool_job
from tests.virtual import virtual

MANY = 100_000
MAX_JOB_BYTES = 60_000
MAX_PROGRESS_BYTES = 4000


def make_step(tasks: int, **fields) -> Step:
    """Return the only step of a job."""
    job = make_pool_job(StepSpec(tasks, SMALL, SECOND, **fields))
    return job.occurrences[0][0]


class TestCost(unittest.TestCase):
    """What a step with many tasks needs doesn't depend on their number."""

    def test_a_job_of_many_tasks_needs_little_memory(self):
        # Guards against owners that exceed their memory, one after the other.
        tracemalloc.start()
        try:
            step = make_step(MANY)
            pending = PendingSteps()
            pending.mark_changed(step.job)
            (entry,) = pending.rank(0.0)
            used, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual(entry.pending.waiting, MANY)
        self.assertLess(used, MAX_JOB_BYTES)

    def measure(self, tasks: int) -> int:
        """Return the calls for a start and an end of a task of many."""
        step = make_step(tasks)
        pending = PendingSteps()
        pending.mark_changed(step.job)
        pending.rank(0.0)

        def change() -> None:
            (task,) = step.list_waiting(1)
            run = Run(task, "w0", 1, 0.0)
            task.add_run(run)
            task.remove_run(run)
            step.complete(task)
            pending.mark_changed(step.job)
            pending.rank(1.0)
            step.job.summarize()
            step.job.count_unstarted()

        return count_calls(change)

    def test_a_start_and_an_end_cost_the_same_in_a_wide_step(self):
        self.assertLess(self.measure(MANY), 1.2 * self.measure(100))

    def test_speeds_are_learned_from_a_part_of_many_tasks(self):
        step = make_step(10 * MAX_SAMPLES)
        samples, ranks = StepSamples(step), SpeedRanks()
        for number, task in enumerate(step.list_waiting(MAX_SAMPLES)):
            self.assertFalse(samples.is_ready)
            run = Run(task, f"w{number % 2}", 1, 0.0)
            samples.record_completion(run, 1.0 + number % 2)
            ranks.record_completion(run, 1.0 + number % 2)
        self.assertTrue(samples.is_ready)
        self.assertEqual([ranks.rank("w0"), ranks.rank("w1")], [-1, 1])


class TestModel(unittest.TestCase):
    """Random starts and ends have the effect that they have on a list of tasks."""

    def play(self, seed: int, **fields) -> None:
        """Start, end and complete random tasks, and compare what waits."""
        rng = random.Random(seed)
        step = make_step(12, **fields)
        waiting, running, done = set(range(12)), {}, set()
        for attempt in range(1, 200):
            action = rng.choice(("start", "lose", "complete", "touch"))
            if action == "start" and waiting:
                task = rng.choice(step.list_waiting(rng.randint(1, 12)))
                task.attempt = attempt
                task.add_run(Run(task, "w0", attempt, 0.0))
                waiting.discard(task.name.index)
                running[task.name.index] = attempt
            elif action == "touch":
                step.tasks[rng.randrange(12)].failed_on.add("w1")
            elif running:
                index = rng.choice(sorted(running))
                task = step.tasks[index]
                self.assertEqual(task.attempt, running.pop(index))
                task.remove_run(task.runs[0])
                if action == "complete" and rng.random() < 0.5:
                    step.complete(task)
                    done.add(index)
                else:
                    waiting.add(index)
            listed = [task.name.index for task in step.list_waiting()]
            self.assertEqual(listed, sorted(waiting))
            self.assertEqual(step.count_waiting(), len(waiting))
            self.assertEqual(
                sorted(run.task.name.index for run in step.list_runs()), sorted(running)
            )
            self.assertEqual(step.completed, len(done))
            known = {task.name.index for task in step.tasks.list_known()}
            self.assertFalse(known & done)

    def test_random_changes(self):
        for seed in range(30):
            self.play(seed)

    def test_a_copy_of_a_completed_task_is_known_until_it_is_over(self):
        step = make_step(3)
        task = step.tasks[1]
        runs = [Run(task, worker, 1, 0.0) for worker in ("w0", "w1")]
        for run in runs:
            task.add_run(run)
        task.remove_run(runs[0])
        step.complete(task)
        self.assertEqual(list(step.list_runs()), [runs[1]])
        self.assertIs(step.tasks[1], task)
        task.remove_run(runs[1])
        self.assertEqual(step.tasks.list_known(), [])
        self.assertTrue(step.tasks[1].is_completed)

    def test_a_gang_starts_as_a_whole_and_shares_its_checkpoint(self):
        step = make_step(4, is_gang=True)
        tasks = step.list_waiting()
        for task in tasks:
            task.add_run(Run(task, "w0", 1, 0.0))
        tasks[2].remove_run(tasks[2].runs[0])
        self.assertEqual((step.list_waiting(), step.count_waiting()), ([], 0))
        step.store_checkpoint(tasks[2], "half")
        self.assertEqual({task.checkpoint for task in step.tasks}, {"half"})
        other = make_step(4, is_gang=True)
        other.restore(step.summarize(CheckpointRoom()))
        self.assertEqual(other.tasks[3].checkpoint, "half")


class TestRecordedStarts(unittest.TestCase):
    """The starts of all tasks of a step can be recorded by one entry."""

    def test_all_tasks_of_a_step_are_recorded(self):
        starts, task = RecordedStarts(), TaskName("j1", 0, 2, 7)
        starts.require(task._replace(index=ALL))
        self.assertTrue(starts.is_required(task))
        self.assertFalse(starts.is_required(task._replace(step=3)))
        starts.record(task, 5, "w0")
        restored = RecordedStarts()
        restored.restore(starts.summarize(()))
        self.assertEqual(restored.list_unsettled(), starts.list_unsettled())
        self.assertTrue(restored.clear(task, 5))
        self.assertEqual(len(restored.summarize(()).starts), 1)
        self.assertTrue(restored.is_required(task))

    def test_all_tasks_of_a_job_are_recorded(self):
        starts = RecordedStarts()
        self.assertFalse(starts.is_required(TaskName("j1", 4, 2, 7)))
        starts.require(TaskName("j1", ALL, ALL, ALL))
        self.assertTrue(starts.is_required(TaskName("j1", 4, 2, 7)))


class TestWideStep(PoolCase):
    """Jobs of many tasks beside small ones."""

    @virtual
    async def test_the_owner_knows_only_what_it_starts(self):
        cluster = await self.begin(behave=lambda t, a: Work(0.5 * SECOND))
        for number in range(6):
            await cluster.submit(
                f"wide{number}", make_job(StepSpec(MANY, SMALL, SECOND))
            )
        await cluster.wait(lambda: len(cluster.list_starts()) > 100)
        for _ in range(2):
            await cluster.submit("small", make_job())
            await cluster.wait_for_state("small", QueueJobState.COMPLETED, seconds=8)
            owner = cluster.find_owner()
            known = [
                task
                for job in owner.owner.job_index.jobs.values()
                for step in job.list_steps()
                for task in step.tasks.list_known()
            ]
            self.assertLess(len(known), 100)
            for entry in cluster.store.entries.values():
                if entry.key.startswith(PROGRESS_PREFIX):
                    self.assertLess(len(entry.value), MAX_PROGRESS_BYTES)
            owner.kill()
            await cluster.wait(lambda: cluster.find_owner() is not None)
            started = len(cluster.list_starts())
            await cluster.wait(lambda n=started: len(cluster.list_starts()) > n + 50)
        starts = [task for _, task, _, _ in cluster.list_starts()]
        self.assertEqual(len(set(starts)), len(starts))
        self.end()

    @virtual
    async def test_the_record_of_starts_stays_small_if_a_worker_is_not_read(self):
        cluster = await self.begin(workers=6, behave=lambda t, a: Work(0.5 * SECOND))
        await cluster.submit("wide", make_job(StepSpec(MANY, SMALL, SECOND)))
        await cluster.wait(lambda: len(cluster.list_starts()) > 3 * MAX_LISTED_TASKS)
        host = cluster.find_host("wide")
        host.kill()
        cluster.forget_recording()
        cluster.find_owner().kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        key = STARTS_PREFIX + "wide"
        await cluster.wait(lambda: key in cluster.store.entries, 30)
        started = len(cluster.list_starts())
        await cluster.wait(lambda: len(cluster.list_starts()) > started + 200)
        self.assertLess(len(cluster.store.entries[key].value), MAX_PROGRESS_BYTES)
        self.end()


class TestStoredTasks(unittest.TestCase):
    """Completed tasks are stored as ranges."""

    def test_many_completed_tasks_need_few_bytes(self):
        step = make_step(MANY)
        for task in step.list_waiting(5000):
            step.complete(task)
        progress = step.job.summarize()
        self.assertLess(len(encode_record(progress)), 100)
        record: JobRecord = step.job.record
        other = Job(record, 0.0)
        other.restore(progress, 0.0)
        self.assertEqual(other.queue, make_queue())
        self.assertEqual(other.occurrences[0][0].completed, 5000)
        (task,) = other.occurrences[0][0].list_waiting(1)
        self.assertEqual(task.name.index, 5000)
