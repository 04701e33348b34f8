"""The clock interface and the system clock.

Code that depends on time receives a clock as a parameter, so that tests can replace it.
"""

import asyncio
import math
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

# Sleeps of at least MIN_ALIGNED_SLEEP_SECONDS are extended so that they end at a
# multiple of SLEEP_GRID_SECONDS on the monotonic clock. For shorter ones a tenth of a
# second would be too large a change.
SLEEP_GRID_SECONDS = 0.1
MIN_ALIGNED_SLEEP_SECONDS = 0.2


class Clock(Protocol):
    """Returns the current time and sleeps."""

    def now(self) -> datetime:
        """Return the time of day in UTC, which may jump."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start, which never goes back.

        Leases are checked with this value only.
        """

    async def sleep(self, duration: timedelta) -> None:
        """Sleep for ``duration`` or somewhat longer."""


class SystemClock:
    """The clock of the operating system.

    Long sleeps end on a common grid so that the loops of a daemon wake up together,
    because each wake-up costs a system call and an iteration of the event loop.
    """

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since the machine started, including suspended time.

        With a clock that stops while the machine is suspended, a process would rely on
        leases that have expired in the meantime.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, duration: timedelta) -> None:
        """Sleep for ``duration`` on the event loop, aligned to the grid."""
        seconds = duration.total_seconds()
        await asyncio.sleep(align_sleep(time.monotonic(), seconds))


def align_sleep(now: float, seconds: float) -> float:
    """Return how many seconds to sleep so that a long sleep ends on the grid.

    :param now: monotonic time in seconds.
    :param seconds: minimum time to sleep.
    """
    if seconds < MIN_ALIGNED_SLEEP_SECONDS:
        return seconds
    ticks = math.ceil((now + seconds) / SLEEP_GRID_SECONDS)
    return max(seconds, ticks * SLEEP_GRID_SECONDS - now)


async def wait_for_event(
    event: asyncio.Event, timeout: timedelta, clock: Clock
) -> bool:
    """Wait until ``event`` is set, for at most ``timeout``.

    :returns: whether the event is set.
    """
    if event.is_set():
        return True
    waiter = asyncio.ensure_future(event.wait())
    timer = asyncio.ensure_future(clock.sleep(timeout))
    try:
        await asyncio.wait({waiter, timer}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        waiter.cancel()
        timer.cancel()
    return event.is_set()
