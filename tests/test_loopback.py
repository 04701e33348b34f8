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
    """A daemon that keeps what it asks for needs no stream and no address."""

    def setUp(self) -> None:
        self.network = PeerNetwork(
            "entry-1", "127.0.0.1", 0, "token", SystemClock(), lambda name: None
        )

    async def ask(self, timeout: timedelta = SECOND):
        """Send a question to the daemon itself."""
        question = Question(text="here?")
        return await self.network.call("entry-1", question, Question, timeout)

    async def test_handler_is_asked_and_its_reply_is_plain_data(self):
        async def answer(instance: str, found: Question) -> tuple[str, str]:
            return instance, found["text"]

        self.network.register(Question, answer)
        self.assertEqual(await self.ask(), Answered(["entry-1", "here?"]))

    async def test_message_without_handler_is_proved_unsent(self):
        self.assertEqual(await self.ask(), Unsent("unsupported"))

    async def test_failing_handler_leaves_the_call_unanswered(self):
        async def fail(instance: str, found: Question) -> None:
            raise ValueError(found["text"])

        self.network.register(Question, fail)
        self.assertEqual(await self.ask(), Unanswered("handler_failed"))

    async def test_handler_goes_on_after_its_caller_gave_up(self):
        may_end, has_ended = asyncio.Event(), asyncio.Event()

        async def answer(instance: str, found: Question) -> None:
            await may_end.wait()
            has_ended.set()

        self.network.register(Question, answer)
        self.assertEqual(await self.ask(timedelta()), Unanswered("timeout"))
        may_end.set()
        await has_ended.wait()
