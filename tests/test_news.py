"""Task updates in one batch or at the same time count as if one after another."""

import asyncio
import unittest
from unittest import mock

from damaskdeck import defaults
from damaskdeck.protocol import jobs
from damaskdeck.protocol.handlers import JobState, Submission
from standins.plane import Plane
from tests.virtual import virtual

RESULT = b'{"run_time": 600}'


class TestResults(unittest.TestCase):
    """The limit on the results of a job holds however they arrive."""

    async def run_job(self, split):
        """Run a job of three tasks and handle its updates in batches by ``split``."""
        plane = await Plane(workers=1).start()
        plane.declare(tasks=3, size={"processors": 1, "memory": 1})
        submission = Submission("batch", "team", RESULT)
        view = await plane.find("d1").ledger_owner.submit_job(submission)
        await asyncio.sleep(3)
        controller = plane.find("d1").ledger_owner.controllers["00"]
        updates = [
            jobs.TaskUpdate(
                task=task.name,
                attempt=task.attempt,
                worker=task.worker,
                state="succeeded",
                result=b"done",
            )
            for task in controller.ledger.table.tasks.values()
        ]
        with mock.patch.object(defaults, "MAX_TOTAL_RESULT_BYTES", 9):
            await asyncio.gather(
                *(controller.tracker.handle_updates(n) for n in split(updates))
            )
        return controller.ledger.table.jobs[view.name]

    @virtual
    async def test_results_of_one_batch_are_limited_together(self):
        job = await self.run_job(lambda updates: [updates])
        self.assertEqual((job.state, job.code), (JobState.FAILED, "result_too_large"))

    @virtual
    async def test_results_that_come_at_once_are_limited_together(self):
        job = await self.run_job(lambda updates: [[item] for item in updates])
        self.assertEqual((job.state, job.code), (JobState.FAILED, "result_too_large"))

    @virtual
    async def test_simultaneous_duplicate_updates_count_once(self):
        job = await self.run_job(
            lambda updates: [updates[:2], updates[:2], updates[:2]]
        )
        self.assertEqual((job.code, job.result_size), ("", 8))


class TestReplacedWorkers(unittest.TestCase):
    """The state of tracked workers doesn't grow as workers are replaced."""

    @virtual
    async def test_state_of_an_unlisted_empty_worker_is_removed(self):
        plane = await Plane(workers=2).start()
        plane.declare(tasks=2, size={"processors": 4, "memory": 1})
        submission = Submission("batch", "team", b'{"run_time": 5}')
        view = await plane.find("d1").ledger_owner.submit_job(submission)
        await plane.wait_for_end(view.name)
        tracker = plane.find("d1").ledger_owner.controllers["00"].tracker
        self.assertEqual(set(tracker._worker_tasks), {"w1", "w2"})
        plane.platform.remove("w1")
        await asyncio.sleep(60)
        known = (tracker._worker_tasks, tracker._epochs, tracker._unlisted_since)
        self.assertEqual([set(names) for names in known], [{"w2"}, {"w2"}, set()])


class TestCrashes(unittest.TestCase):
    """A task that crashes its workers ends.

    Guards against a task that is started again forever: on the users' platform, a
    task crashed each worker that started it, and its loss with the worker didn't
    count as a failure. A restarted worker reports no end of the task here either.
    """

    async def lose_with_workers(self, times: int, code: str = "worker_restarted"):
        """Report a task as lost with its worker several times; return its job."""
        plane = await Plane(workers=3).start()
        plane.declare()
        submission = Submission("batch", "team", RESULT)
        view = await plane.find("d1").ledger_owner.submit_job(submission)
        controller = plane.find("d1").ledger_owner.controllers["00"]
        for _ in range(times):
            (task,) = controller.ledger.table.tasks.values()
            while not task.worker:
                await asyncio.sleep(1)
                (task,) = controller.ledger.table.tasks.values()
            updates = jobs.TaskUpdate(
                task=task.name,
                attempt=task.attempt,
                worker=task.worker,
                state="lost",
                code=code,
            )
            await controller.tracker.handle_updates([updates])
        return controller.ledger.table.jobs[view.name]

    @virtual
    async def test_a_batch_task_ends_after_three_workers(self):
        job = await self.lose_with_workers(3)
        self.assertEqual((job.state, job.code), (JobState.FAILED, "workers_crashed"))

    @virtual
    async def test_two_crashes_do_not_end_a_task(self):
        job = await self.lose_with_workers(2)
        self.assertEqual(job.code, "")

    @virtual
    async def test_removed_workers_do_not_count_as_crashes(self):
        job = await self.lose_with_workers(4, code="worker_gone")
        self.assertEqual(job.code, "")


class TestUnconfirmedAttempts(unittest.TestCase):
    """Only updates of the unconfirmed attempt itself confirm it."""

    @virtual
    async def test_late_updates_of_an_earlier_attempt_confirm_nothing(self):
        plane = await Plane(workers=2).start()
        plane.declare()
        submission = Submission("batch", "team", RESULT)
        await plane.find("d1").ledger_owner.submit_job(submission)
        await asyncio.sleep(3)
        controller = plane.find("d1").ledger_owner.controllers["00"]
        (name,) = controller.ledger.table.tasks
        late = jobs.TaskUpdate(task=name, attempt=0, worker="w1", state="stopped")
        controller.tracker.mark_unconfirmed([name])
        await controller.tracker.handle_updates([late])
        self.assertIn(name, controller.tracker._unconfirmed)
