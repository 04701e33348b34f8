"""The answer to a caller after the reply of a ledger owner was lost."""

import asyncio
import unittest

from damaskdeck.protocol.handlers import JobView, Submission
from damaskdeck.protocol.outcomes import Unknown
from standins.plane import Plane
from tests.virtual import virtual


class TestLostReplyAndLostOwner(unittest.TestCase):
    """A refusal of the repeated call doesn't decide the outcome of the first one."""

    async def submit(self, change_plane):
        """Submit with a key; the first reply is lost."""
        plane = await Plane().start()
        plane.declare()
        plane.switch.lose_replies("d2", "d1")
        submission = Submission("batch", "team", b"{}", "k")
        ledger_owner = plane.find("d2").ledger_owner
        task = asyncio.ensure_future(ledger_owner.submit_job(submission))
        await asyncio.sleep(1)
        change_plane(plane)
        answer = await task
        self.assertEqual(
            len(plane.find("d1").ledger_owner.controllers["00"].ledger.table.jobs), 1
        )
        return answer

    @virtual
    async def test_accepted_job_is_not_refused_when_its_owner_is_gone(self):
        answer = await self.submit(lambda p: p.registry.owners.pop("ledger/00"))
        self.assertEqual(answer.code, "answer_lost")
        self.assertIsInstance(answer, Unknown)

    @virtual
    async def test_accepted_job_is_found_by_the_repeated_call(self):
        answer = await self.submit(lambda p: None)
        self.assertIsInstance(answer, JobView)
