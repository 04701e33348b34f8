"""Many timers on one task: adding or cancelling one wakes up no task needlessly."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock, wait_for_event

RESOLUTION = timedelta(milliseconds=2)
MAX_SLEEP = timedelta(seconds=60)


class Timer:
    """A callback at a time; cancelling it releases the callback."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None


class Timers:
    """Runs callbacks in order of time, at most :data:`RESOLUTION` late."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[timedelta, int, Timer]] = []
        self._numbers = itertools.count()
        self._wakes_at = timedelta.min
        self._wake = asyncio.Event()

    def call_at(self, time: timedelta, callback: Callable[[], None]) -> Timer:
        """Schedule a callback at a time of the monotonic clock."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (time, next(self._numbers), timer))
        if time < self._wakes_at:
            self._wake.set()
        return timer

    async def run(self) -> None:
        """Run due callbacks until cancelled."""
        while True:
            self._wake.clear()
            self._call_due()
            now = self._clock.monotonic()
            next_time = self._heap[0][0] if self._heap else now + MAX_SLEEP
            self._wakes_at = next_time
            await wait_for_event(self._wake, next_time - now, self._clock)
            await self._clock.sleep(RESOLUTION)

    def _call_due(self) -> None:
        now = self._clock.monotonic()
        while self._heap and self._heap[0][0] <= now:
            callback = heapq.heappop(self._heap)[2].callback
            if callback is not None:
                callback()
