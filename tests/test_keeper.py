"""The keeper's path of a job: submitted, placed, started, ended, read."""

import unittest

from damaskdeck.protocol.handlers import JobState, Submission
from damaskdeck.protocol.outcomes import Refused
from tests.plane import Plane, virtual

RESULT = b'{"run_time": 2, "result": "done"}'


class TestWholePath(unittest.TestCase):
    """From submission to outcome, from any daemon."""

    @virtual
    async def test_job_is_submitted_run_and_read_from_any_daemon(self):
        plane = await Plane().start()
        plane.declare(tasks=2)
        view = await plane.find("d2").keeper.submit_job(
            Submission("batch", "team", RESULT)
        )
        self.assertEqual(view.state, JobState.QUEUED)
        ended = await plane.wait_for_end(view.name, at="d2")
        self.assertEqual(ended.state, JobState.COMPLETED)
        self.assertEqual(ended.results, (b"done", b"done"))
        self.assertEqual(len(plane.platform.runs.starts), 2)

    @virtual
    async def test_repeated_key_meets_the_first_job(self):
        plane = await Plane().start()
        plane.declare()
        first = await plane.find("d1").keeper.submit_job(
            Submission("batch", "team", RESULT, "k1")
        )
        again = await plane.find("d2").keeper.submit_job(
            Submission("batch", "team", RESULT, "k1")
        )
        other = await plane.find("d2").keeper.submit_job(
            Submission("batch", "team", b"{}", "k1")
        )
        self.assertEqual(again.name, first.name)
        self.assertEqual(other.code, "key_reused")
        await plane.wait_for_end(first.name)
        self.assertEqual(len(plane.platform.runs.starts), 1)

    @virtual
    async def test_job_too_large_for_every_worker_is_refused_with_the_dimension(self):
        plane = await Plane().start()
        plane.declare(size={"processors": 1, "memory": 9000})
        answer = await plane.find("d1").keeper.submit_job(Submission("batch", "team"))
        self.assertIsInstance(answer, Refused)
        self.assertEqual(answer.code, "impossible")
        self.assertIn("memory", answer.detail)
