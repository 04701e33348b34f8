"""A process whose event loop is late does not consider the workers late.

The load: an owner with a tenth of a core, whose loop runs 0.3 s late. It received the
answers to orders 0.3 s late and considered workers late after 0.15 s. So half of its
orders were unconfirmed, and no worker got further orders.
"""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.clock import MIN_ALIGNED_SLEEP_SECONDS
from damaskdeck.delays import (
    IDLE_MEASUREMENT_INTERVAL,
    MAX_DELAY,
    MEASUREMENT_INTERVAL,
    LoopDelay,
)
from damaskdeck.platform import PlatformClient, PlatformWorkers
from damaskdeck.protocol.pools import PoolWorker, TaskStart
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import ZERO_SIZE
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


class TestOrders(unittest.IsolatedAsyncioTestCase):
    """Answers to orders."""

    async def measure(self, late: timedelta) -> timedelta:
        """Return the timeout of an order."""
        client, delay, waits = PlatformClient(), LoopDelay(), []

        async def call(*args, **options):
            waits.append(args[3])
            return Lost("timeout")

        client.call = call
        delay.record_lateness(late)
        order = TaskStart(TaskName("a", 0, 0, 0), 1, "", SECOND, "", "")
        await PlatformWorkers(client, delay, 1024).start(WORKER, 1, order)
        return waits[0]

    async def test_the_timeout_of_an_order_grows_by_the_delay_of_the_loop(self):
        self.assertEqual(
            await self.measure(LATE) - await self.measure(timedelta()), LATE
        )


class TestContacts(PoolCase):
    """Which workers get orders."""

    @virtual
    async def test_a_worker_does_not_count_as_late_while_the_loop_is_late(self):
        cluster = await self.begin(workers=1)
        owner = cluster.find_owner()
        await cluster.submit("j1", make_job())
        await asyncio.sleep(0.1)
        contact = owner.owner.contacts["w0"]
        overdue = contact._answer_due + LATE.total_seconds() - 0.05
        self.assertFalse(contact.is_usable(overdue))
        owner.delay.record_lateness(LATE)
        self.assertTrue(contact.is_usable(overdue))
        self.end()
