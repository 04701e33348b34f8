"""News of tasks, taken together or at the same time, count as one after another."""

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
    """The results of a job are limited together, however they come."""

    async def run_job(self, split):
        """Run a job of three tasks, whose news come in batches as ``split`` says."""
        plane = await Plane(workers=1).start()
        plane.declare(tasks=3, size={"processors": 1, "memory": 1})
        submission = Submission("batch", "team", RESULT)
        view = await plane.find("d1").ledger_owner.submit_job(submission)
        await asyncio.sleep(3)
        controller = plane.find("d1").ledger_owner.controllers["00"]
        news = [
            jobs.TaskUpdate(
                task=task.name,
                attempt=task.attempt,
                worker=task.worker,
                state="succeeded",
                result=b"done",
            )
            for task in controller.ledger.table.tasks.values()
        ]
        with mock.patch.object(defaults, "RESULTS_LIMIT", 9):
            await asyncio.gather(
                *(controller.tracker.take_news(n) for n in split(news))
            )
        return controller.ledger.table.jobs[view.name]

    @virtual
    async def test_results_of_one_batch_are_limited_together(self):
        job = await self.run_job(lambda news: [news])
        self.assertEqual((job.state, job.code), (JobState.FAILED, "result_too_large"))

    @virtual
    async def test_results_that_come_at_once_are_limited_together(self):
        job = await self.run_job(lambda news: [[item] for item in news])
        self.assertEqual((job.state, job.code), (JobState.FAILED, "result_too_large"))

    @virtual
    async def test_news_that_come_twice_at_once_count_once(self):
        job = await self.run_job(lambda news: [news[:2], news[:2], news[:2]])
        self.assertEqual((job.code, job.result_size), ("", 8))


class TestReplacedWorkers(unittest.TestCase):
    """What is remembered of workers doesn't grow as they are replaced."""

    @virtual
    async def test_worker_that_is_gone_and_empty_is_forgotten(self):
        plane = await Plane(workers=2).start()
        plane.declare(tasks=2, size={"processors": 4, "memory": 1})
        submission = Submission("batch", "team", b'{"run_time": 5}')
        view = await plane.find("d1").ledger_owner.submit_job(submission)
        await plane.wait_for_end(view.name)
        tracker = plane.find("d1").ledger_owner.controllers["00"].tracker
        self.assertEqual(set(tracker._on_worker), {"w1", "w2"})
        plane.platform.remove("w1")
        await asyncio.sleep(60)
        known = (tracker._on_worker, tracker._epochs, tracker._gone)
        self.assertEqual([set(names) for names in known], [{"w2"}, {"w2"}, set()])


class TestCrashes(unittest.TestCase):
    """A task that takes its workers down ends.

    Seen on the users' platform: a task crashes each worker that starts it, and its
    loss with the worker counted for nothing. A worker that restarts here tells no end
    either.
    """

    async def lose(self, times: int, code: str = "worker_restarted"):
        """Let a task be lost with its workers; return its job."""
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
            news = jobs.TaskUpdate(
                task=task.name,
                attempt=task.attempt,
                worker=task.worker,
                state="lost",
                code=code,
            )
            await controller.tracker.take_news([news])
        return controller.ledger.table.jobs[view.name]

    @virtual
    async def test_a_batch_task_ends_after_three_workers(self):
        job = await self.lose(3)
        self.assertEqual((job.state, job.code), (JobState.FAILED, "workers_crashed"))

    @virtual
    async def test_two_may_be_chance(self):
        job = await self.lose(2)
        self.assertEqual(job.code, "")

    @virtual
    async def test_workers_that_were_taken_away_speak_against_no_task(self):
        job = await self.lose(4, code="worker_gone")
        self.assertEqual(job.code, "")


class TestDoubts(unittest.TestCase):
    """Only news of the attempt in doubt end the doubt."""

    @virtual
    async def test_late_news_of_an_earlier_attempt_leave_the_next_in_doubt(self):
        plane = await Plane(workers=2).start()
        plane.declare()
        submission = Submission("batch", "team", RESULT)
        await plane.find("d1").ledger_owner.submit_job(submission)
        await asyncio.sleep(3)
        controller = plane.find("d1").ledger_owner.controllers["00"]
        (name,) = controller.ledger.table.tasks
        late = jobs.TaskUpdate(task=name, attempt=0, worker="w1", state="stopped")
        controller.tracker.doubt([name])
        await controller.tracker.take_news([late])
        self.assertIn(name, controller.tracker._doubts)
