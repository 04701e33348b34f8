"""Many timers on one task: adding and cancelling them wakes nobody."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock, wait_for_event

GRAIN = timedelta(milliseconds=2)
IDLE_TIME = timedelta(seconds=60)


class Timer:
    """A callback at a time; cancelling it lets go of what it holds."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Don't call back."""
        self.callback = None


class Timers:
    """Calls back in order of time, at most :data:`GRAIN` late."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[timedelta, int, Timer]] = []
        self._numbers = itertools.count()
        self._waits_until = timedelta.min
        self._wake = asyncio.Event()

    def call_at(self, time: timedelta, callback: Callable[[], None]) -> Timer:
        """Call back at a time of the monotonic clock."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (time, next(self._numbers), timer))
        if time < self._waits_until:
            self._wake.set()
        return timer

    async def run(self) -> None:
        """Call back until cancelled."""
        while True:
            self._wake.clear()
            self._call_due()
            now = self._clock.monotonic()
            next_time = self._heap[0][0] if self._heap else now + IDLE_TIME
            self._waits_until = next_time
            await wait_for_event(self._wake, next_time - now, self._clock)
            await self._clock.sleep(GRAIN)

    def _call_due(self) -> None:
        now = self._clock.monotonic()
        while self._heap and self._heap[0][0] <= now:
            callback = heapq.heappop(self._heap)[2].callback
            if callback is not None:
                callback()
