"""The load of the event loop is measured and reported while it is high."""

import asyncio
import time
import unittest

from logbook import TestHandler

from damaskdeck.looploads import LoadReporter, LoopLoad, MeasuredSelector
from standins.clock import ManualClock

BUSY_SECONDS = 0.05


class TestMeasuredSelector(unittest.TestCase):
    """Measurement of an event loop on the real clock."""

    def measure(self, work) -> LoopLoad:
        """Return the load of a loop that runs ``work``."""
        selector = MeasuredSelector()
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            runner.run(work())
            return selector.take_load()

    def test_a_long_iteration_is_measured(self):
        async def work() -> None:
            time.sleep(BUSY_SECONDS)  # noqa: ASYNC251
            await asyncio.sleep(0)

        self.assertGreaterEqual(self.measure(work).longest, BUSY_SECONDS)

    def test_waiting_does_not_count_as_busy(self):
        selector = MeasuredSelector()
        selector.take_load()
        selector.select(BUSY_SECONDS)
        waiting = selector.take_load()
        time.sleep(BUSY_SECONDS)
        selector.select(0)
        working = selector.take_load()
        self.assertLess(waiting.busy, working.busy)
        self.assertEqual(waiting.iterations, 1)


class TestLoadReporter(unittest.TestCase):
    """Lines while the loop is saturated."""

    def report(self, *shares: float) -> list[str]:
        """Return the lines for a series of loads."""
        reporter = LoadReporter(MeasuredSelector(), ManualClock())
        with TestHandler() as handler:
            for busy in shares:
                reporter.report(LoopLoad(busy, 0.2, 10), lambda: {"jobs": 3})
            return [record.message for record in handler.records]

    def test_an_idle_loop_is_not_reported(self):
        self.assertEqual(self.report(0.1, 0.8), [])

    def test_a_saturated_loop_is_reported_until_it_is_relieved(self):
        lines = self.report(0.95, 0.8, 0.5, 0.1)
        self.assertEqual(len(lines), 3)
        self.assertIn("no longer", lines[-1])
