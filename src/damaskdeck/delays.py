"""Measurement of the event loop's delay.

On an overloaded instance, replies stay unread while the event loop is late. Without a
correction for this delay, the process would consider all its peers late and stop using
them at the very time it is overloaded.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock

MEASUREMENT_INTERVAL = timedelta(milliseconds=50)
# The interval while nothing depends on the delay. It shows a new owner how late its
# loop has been, and is short enough that sleeps are not extended to the common grid.
IDLE_MEASUREMENT_INTERVAL = timedelta(milliseconds=150)
# Share of an earlier delay that remains after each shorter interval: a tenth after a
# second.
DECAY_FACTOR = 0.9
# Upper bound on the correction, because callers wait for 3 s and gangs with
# unconfirmed runs for 1 s.
MAX_DELAY = timedelta(milliseconds=500)


class LoopDelay:
    """Measures how late timers of the event loop fire.

    :ivar seconds: recent maximum of the delay, which decays over time.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    async def run(self, clock: Clock, is_used: Callable[[], bool]) -> None:
        """Measure until cancelled.

        :param is_used: returns whether anything depends on the delay now.
        """
        while True:
            before = clock.monotonic()
            interval = MEASUREMENT_INTERVAL if is_used() else IDLE_MEASUREMENT_INTERVAL
            await clock.sleep(interval)
            self.record_lateness(clock.monotonic() - before - interval, interval)

    def record_lateness(
        self, lateness: timedelta, interval: timedelta = MEASUREMENT_INTERVAL
    ) -> None:
        """Update the delay with how late a timer fired.

        :param interval: for which the timer was set.
        """
        max_seconds = MAX_DELAY.total_seconds()
        decayed = DECAY_FACTOR ** (interval / MEASUREMENT_INTERVAL) * self.seconds
        self.seconds = min(max(lateness.total_seconds(), decayed), max_seconds)


def limit_reply_time(timeout: timedelta, delay: LoopDelay) -> asyncio.Timeout:
    """Return a context manager that limits how long a reply is waited for.

    :param delay: of this process's event loop, which doesn't count as lateness of the
        other side.
    """
    return asyncio.timeout(timeout.total_seconds() + delay.seconds)
