"""A clock that only moves when a test advances it."""

import asyncio
import heapq
import itertools
from datetime import UTC, datetime, timedelta

_START = datetime(2026, 1, 1, tzinfo=UTC)
_SETTLE_ROUNDS = 50


class ManualClock:
    """A clock for tests and benchmarks; it wakes sleepers in deadline order.

    :param start: initial time of day.
    """

    def __init__(self, start: datetime = _START) -> None:
        self._start = start
        self._elapsed = timedelta()
        self._count = itertools.count()
        self._sleepers: list[tuple[timedelta, int, asyncio.Future[None]]] = []

    def now(self) -> datetime:
        """Return the time of day."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the time that has passed on this clock since it was created."""
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Wait until :meth:`advance` has moved the clock by ``duration``."""
        if duration <= timedelta():
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        deadline = self._elapsed + duration
        heapq.heappush(self._sleepers, (deadline, next(self._count), future))
        await future

    def move(self, duration: timedelta) -> None:
        """Jump ahead without waking sleepers, as a paused process experiences it."""
        self._elapsed += duration

    async def advance(self, duration: timedelta) -> None:
        """Move ahead from deadline to deadline; let woken tasks run at each."""
        end = self._elapsed + duration
        await settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            deadline, _, future = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, deadline)
            if not future.done():
                future.set_result(None)
                await settle()
        self._elapsed = max(self._elapsed, end)
        await settle()


async def settle() -> None:
    """Run the tasks that are ready until they wait for something."""
    for _ in range(_SETTLE_ROUNDS):
        await asyncio.sleep(0)
