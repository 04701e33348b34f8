"""Measurement of how busy the event loop is.

A process without enough processor time shows it here first: its loop hardly waits any
more, and each of its iterations takes long, so that timers fire late and answers that
have arrived stay unread.
"""

import resource
import selectors
import time
from collections.abc import Callable, Mapping
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.logs import get_logger
from damaskdeck.metrics import observe_latency, set_loop_load, set_process_memory

MEASUREMENT_INTERVAL = timedelta(seconds=1)
# Above the first share the loop counts as saturated, until it is below the second one.
SATURATED_SHARE = 0.9
RELIEVED_SHARE = 0.75

_log = get_logger("loop")


class LoopLoad(NamedTuple):
    """The load of an event loop over a time.

    :param busy: share of the time in which it did not wait, from 0 to 1.
    :param longest: the longest iteration, in seconds.
    :param iterations: their number.
    """

    busy: float
    longest: float
    iterations: int


class MeasuredSelector(selectors.DefaultSelector):
    """A selector that measures for how long its event loop waits in it."""

    def __init__(self) -> None:
        super().__init__()
        self._started_at = self._returned_at = time.monotonic()
        self._waited = 0.0
        self._longest = 0.0
        self._iterations = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events."""
        entered_at = time.monotonic()
        self._longest = max(self._longest, entered_at - self._returned_at)
        self._iterations += 1
        events = super().select(timeout)
        self._returned_at = time.monotonic()
        self._waited += self._returned_at - entered_at
        return events

    def take_load(self) -> LoopLoad:
        """Return the load since the last call."""
        now = time.monotonic()
        elapsed = max(now - self._started_at, 1e-9)
        busy = min(max(1.0 - self._waited / elapsed, 0.0), 1.0)
        load = LoopLoad(busy, self._longest, self._iterations)
        self._started_at, self._waited = now, 0.0
        self._longest, self._iterations = 0.0, 0
        return load


def measure_memory() -> int:
    """Return the resident memory of this process in bytes, 0 if it can't be read."""
    try:
        pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1]
    except OSError as error:
        _log.debug("The memory of the process can't be read.", error=str(error))
        return 0
    return int(pages) * resource.getpagesize()


class LoadReporter:
    """Reports the load of the event loop in metrics, and in logs while it is high.

    :ivar is_saturated: whether the loop hardly waited in the last second.
    """

    def __init__(self, selector: MeasuredSelector, clock: Clock) -> None:
        self._selector = selector
        self._clock = clock
        self.is_saturated = False

    async def run(self, describe: Callable[[], Mapping[str, object]]) -> None:
        """Report until cancelled.

        :param describe: returns further fields of the log lines.
        """
        while True:
            await self._clock.sleep(MEASUREMENT_INTERVAL)
            self.report(self._selector.take_load(), describe)

    def report(
        self, load: LoopLoad, describe: Callable[[], Mapping[str, object]]
    ) -> None:
        """Report a load."""
        set_loop_load(load.busy, load.longest)
        memory = measure_memory()
        set_process_memory(memory)
        observe_latency("loop", "iteration", load.longest)
        limit = RELIEVED_SHARE if self.is_saturated else SATURATED_SHARE
        was_saturated, self.is_saturated = self.is_saturated, load.busy >= limit
        if not (was_saturated or self.is_saturated):
            return
        message = (
            "The event loop is saturated."
            if self.is_saturated
            else "The event loop is no longer saturated."
        )
        _log.info(
            message,
            busy=round(load.busy, 3),
            longest=round(load.longest, 3),
            iterations=load.iterations,
            memory_mib=memory >> 20,
            **describe(),
        )
