"""The clock, passed in wherever time matters."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Tells the time and waits."""

    def now(self) -> datetime:
        """Return the time of day in UTC; it may jump."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never goes back.

        Leases are judged by this value only.
        """

    async def sleep(self, duration: timedelta) -> None:
        """Wait for ``duration``."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the machine's monotonic time."""
        return timedelta(seconds=time.monotonic())

    async def sleep(self, duration: timedelta) -> None:
        """Wait for ``duration`` on the event loop."""
        await asyncio.sleep(duration.total_seconds())


async def wait_for_event(
    event: asyncio.Event, timeout: timedelta, clock: Clock
) -> bool:
    """Wait until ``event`` is set, at most for ``timeout``.

    :returns: whether it is set.
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
