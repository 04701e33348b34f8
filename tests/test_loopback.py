"""Messages of a daemon to itself."""

import asyncio
import unittest
from datetime import timedelta
from typing import TypedDict

from damaskdeck.clock import SystemClock
from damaskdeck.protocol.messages import Answered, Unanswered, Unsent, message
from damaskdeck.transport.peers import PeerNetwork

SECOND = timedelta(seconds=1)


@message("test_question")
class Question(TypedDict):
    """Sent by the tests."""

    text: str


class TestLoopback(unittest.IsolatedAsyncioTestCase):
    """Messages of a daemon to itself need no stream and no address."""

    def setUp(self) -> None:
        self.network = PeerNetwork(
            "entry-1", "127.0.0.1", 0, "token", SystemClock(), lambda name: None
        )

    async def call_itself(self, timeout: timedelta = SECOND):
        """Send a question from the daemon to itself."""
        question = Question(text="here?")
        return await self.network.call("entry-1", question, Question, timeout)

    async def test_handler_is_called_and_its_reply_consists_of_built_in_types(self):
        async def answer(instance: str, question: Question) -> tuple[str, str]:
            return instance, question["text"]

        self.network.register(Question, answer)
        self.assertEqual(await self.call_itself(), Answered(["entry-1", "here?"]))

    async def test_message_without_handler_is_unsent(self):
        self.assertEqual(await self.call_itself(), Unsent("unsupported"))

    async def test_failing_handler_leaves_the_call_unanswered(self):
        async def fail(instance: str, question: Question) -> None:
            raise ValueError(question["text"])

        self.network.register(Question, fail)
        self.assertEqual(await self.call_itself(), Unanswered("handler_failed"))

    async def test_handler_continues_after_its_caller_timed_out(self):
        may_end, has_ended = asyncio.Event(), asyncio.Event()

        async def answer(instance: str, question: Question) -> None:
            await may_end.wait()
            has_ended.set()

        self.network.register(Question, answer)
        self.assertEqual(await self.call_itself(timedelta()), Unanswered("timeout"))
        may_end.set()
        await has_ended.wait()
