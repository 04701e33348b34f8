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
# By how much the limit of a reply is extended at most: an owner that is later than this
# can hardly renew the leases of its workers.
MAX_EXTENSION = timedelta(seconds=2)
# A shorter lateness is not worth another timer.
MIN_EXTENSION = timedelta(milliseconds=5)


class LoopDelay:
    """Measures how late timers of the event loop fire.

    :ivar seconds: recent maximum of the delay, which decays over time.
    :ivar latest: the last measured delay in seconds.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.latest = 0.0
        self._lost_seconds = 0.0
        # When the current measurement should end, by the event loop's time.
        self._due_at = float("inf")

    async def run(self, clock: Clock, is_used: Callable[[], bool]) -> None:
        """Measure until cancelled.

        :param is_used: returns whether anything depends on the delay now.
        """
        loop = asyncio.get_running_loop()
        while True:
            before = clock.monotonic()
            interval = MEASUREMENT_INTERVAL if is_used() else IDLE_MEASUREMENT_INTERVAL
            self._due_at = loop.time() + interval.total_seconds()
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
        self.latest = max(lateness.total_seconds(), 0.0)
        self._lost_seconds += self.latest

    def measure_lost(self, now: float) -> float:
        """Return for how many seconds in all the loop was late until a time.

        :param now: by the event loop's time.
        """
        return self._lost_seconds + max(now - self._due_at, 0.0)


class ReplyLimit:
    """Limits how long a reply is waited for, by the time in which it could be read.

    It is an asynchronous context manager that raises ``TimeoutError``. The time in
    which the event loop was late doesn't count, up to :data:`MAX_EXTENSION`: a reply
    may have arrived in it that this process hasn't read yet.

    :param delay: of this process's event loop.
    """

    def __init__(self, timeout: timedelta, delay: LoopDelay) -> None:
        self._seconds = timeout.total_seconds()
        self._delay = delay
        self._extension = 0.0
        self._lost_before = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> "ReplyLimit":
        await self._timeout.__aenter__()
        loop = asyncio.get_running_loop()
        self._lost_before = self._delay.measure_lost(loop.time())
        self._timer = loop.call_later(self._seconds, self._check)
        return self

    async def __aexit__(self, kind, error, traceback) -> bool | None:
        if self._timer is not None:
            self._timer.cancel()
        return await self._timeout.__aexit__(kind, error, traceback)

    def _check(self) -> None:
        """Expire, unless the loop was late since the limit was last extended."""
        loop = asyncio.get_running_loop()
        lost = self._delay.measure_lost(loop.time()) - self._lost_before
        extension = min(lost, MAX_EXTENSION.total_seconds())
        if extension - self._extension > MIN_EXTENSION.total_seconds():
            seconds = extension - self._extension
            self._extension = extension
            self._timer = loop.call_later(seconds, self._check)
        else:
            self._timeout.reschedule(loop.time())
