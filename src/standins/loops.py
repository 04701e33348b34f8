"""An event loop in virtual time: sleeps take no real time and are deterministic."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

T = TypeVar("T")

_START = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time to the next timer instead of waiting for it."""

    elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError(
                "deadlock in virtual time: no timer is left that could wake a task"
            )
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time only advances to its own timers."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.elapsed


class LoopClock:
    """The clock of the running event loop, in virtual or real time."""

    def now(self) -> datetime:
        """Return a fixed date plus the loop's time."""
        return _START + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the time of the running loop."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: timedelta) -> None:
        """Sleep on the running loop."""
        await asyncio.sleep(duration.total_seconds())


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
