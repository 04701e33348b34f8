"""A process whose event loop is late does not consider the workers late.

The load: an owner with a tenth of a core, whose loop runs 0.3 s late. It received the
answers to orders 0.3 s late and considered workers late after 0.15 s. So half of its
orders were unconfirmed, and no worker got further orders.
"""

import asyncio
import unittest
from datetime import timedelta

import aiohttp

from damaskdeck.clock import MIN_ALIGNED_SLEEP_SECONDS
from damaskdeck.delays import (
    IDLE_MEASUREMENT_INTERVAL,
    MAX_DELAY,
    MAX_EXTENSION,
    MEASUREMENT_INTERVAL,
    LoopDelay,
    ReplyLimit,
)
from damaskdeck.platform import PlatformClient
from damaskdeck.platform.client import KEEPALIVE_SECONDS
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.sizes import ZERO_SIZE
from standins.loops import LoopClock, run_virtual
from tests.poolcluster import SECOND, PoolCase, make_job
from tests.virtual import virtual

LATE = timedelta(milliseconds=300)
WORKER = PoolWorker("w", "hub", "10.0.0.1:1", "z", ZERO_SIZE, frozenset())


class TestDelay(unittest.TestCase):
    """Measurement of the delay of the loop."""

    def test_a_delay_counts_for_about_a_second(self):
        delay = LoopDelay()
        delay.record_lateness(LATE)
        self.assertEqual(delay.seconds, LATE.total_seconds())
        for _ in range(int(SECOND / MEASUREMENT_INTERVAL)):
            delay.record_lateness(timedelta())
        self.assertLess(delay.seconds, LATE.total_seconds() / 5)

    def test_the_counted_delay_is_bounded(self):
        delay = LoopDelay()
        delay.record_lateness(60 * SECOND)
        self.assertEqual(delay.seconds, MAX_DELAY.total_seconds())


class TestInterval(unittest.IsolatedAsyncioTestCase):
    """How often the delay is measured."""

    def test_a_delay_decays_as_fast_at_longer_intervals(self):
        often, seldom = LoopDelay(), LoopDelay()
        for delay, interval in (
            (often, MEASUREMENT_INTERVAL),
            (seldom, IDLE_MEASUREMENT_INTERVAL),
        ):
            delay.record_lateness(LATE)
            for _ in range(round(3 * SECOND / interval)):
                delay.record_lateness(timedelta(), interval)
        self.assertAlmostEqual(often.seconds, seldom.seconds)

    async def test_a_delay_that_nothing_uses_is_measured_less_often(self):
        # Each measurement wakes the process, twenty times a second on every daemon.
        for is_used, expected in (
            (True, MEASUREMENT_INTERVAL),
            (False, IDLE_MEASUREMENT_INTERVAL),
        ):
            clock = _RecordingClock()
            with self.assertRaises(asyncio.CancelledError):
                await LoopDelay().run(clock, lambda is_used=is_used: is_used)
            self.assertEqual(clock.sleeps, [expected] * 3)

    def test_idle_measurements_are_not_aligned(self):
        # The extension to the grid would count as lateness.
        seconds = IDLE_MEASUREMENT_INTERVAL.total_seconds()
        self.assertLess(seconds, MIN_ALIGNED_SLEEP_SECONDS)


class _RecordingClock:
    """Records three sleeps and then ends the loop that sleeps."""

    def __init__(self) -> None:
        self.sleeps: list[timedelta] = []

    def monotonic(self) -> timedelta:
        """Return the time slept."""
        return sum(self.sleeps, timedelta())

    async def sleep(self, duration: timedelta) -> None:
        """Record a sleep."""
        if len(self.sleeps) == 3:
            raise asyncio.CancelledError
        self.sleeps.append(duration)


class TestReplyLimit(unittest.TestCase):
    """How long a reply is waited for."""

    def measure(self, late: timedelta, reply_after: timedelta) -> timedelta | None:
        """Return when a reply came, ``None`` if its limit of a second expired.

        :param late: by how much the loop was late meanwhile.
        """
        delay = LoopDelay()

        async def wait() -> timedelta | None:
            asyncio.get_running_loop().call_later(
                SECOND.total_seconds() / 2, lambda: delay.record_lateness(late)
            )
            try:
                async with ReplyLimit(SECOND, delay):
                    await asyncio.sleep(reply_after.total_seconds())
            except TimeoutError:
                return None
            return LoopClock().monotonic()

        return run_virtual(wait())

    def test_a_reply_is_waited_for_as_long_as_the_limit(self):
        self.assertEqual(self.measure(timedelta(), 0.9 * SECOND), 0.9 * SECOND)
        self.assertIsNone(self.measure(timedelta(), 1.1 * SECOND))

    def test_the_lateness_of_the_loop_meanwhile_is_added(self):
        self.assertIsNotNone(self.measure(LATE, SECOND + 0.9 * LATE))
        self.assertIsNone(self.measure(LATE, SECOND + 1.1 * LATE))

    def test_the_limit_is_extended_within_a_bound(self):
        self.assertIsNotNone(self.measure(60 * SECOND, SECOND + 0.9 * MAX_EXTENSION))
        self.assertIsNone(self.measure(60 * SECOND, SECOND + 1.1 * MAX_EXTENSION))

    def test_lateness_that_is_still_going_on_counts(self):
        delay = LoopDelay()
        delay._due_at = 1.0
        self.assertEqual(delay.measure_lost(3.5), 2.5)


class TestCalls(unittest.IsolatedAsyncioTestCase):
    """Calls to the platform."""

    async def test_calls_of_a_late_process_wait_longer(self):
        delay = LoopDelay()
        client = PlatformClient(delay)
        session = client._get_session(KEEPALIVE_SECONDS)

        async def request(*args, **options):
            delay.record_lateness(LATE)
            await asyncio.sleep(0.15)
            raise aiohttp.ClientError("answered")

        session.request = request
        timeout = timedelta(milliseconds=50)
        lost = await client.call("POST", WORKER.address, "/", timeout)
        self.assertEqual(lost.code, "broken_channel")
        delay = client._delay = LoopDelay()
        session.request = _never_answer
        lost = await client.call("POST", WORKER.address, "/", timeout)
        self.assertEqual(lost, Lost("timeout"))
        await client.close()


async def _never_answer(*args, **options) -> None:
    await asyncio.Event().wait()


class TestContacts(PoolCase):
    """Which workers get orders."""

    @virtual
    async def test_a_worker_does_not_count_as_late_while_the_loop_is_late(self):
        cluster = await self.begin(workers=1)
        owner = cluster.find_owner()
        await cluster.submit("j1", make_job())
        await asyncio.sleep(0.1)
        contact = owner.owner.contacts["w0"]
        overdue = contact._poller.answer_due + LATE.total_seconds() - 0.05
        self.assertFalse(contact.is_usable(overdue))
        owner.delay.record_lateness(LATE)
        self.assertTrue(contact.is_usable(overdue))
        self.end()
