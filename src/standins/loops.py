"""An event loop in virtual time: sleeping costs nothing and is deterministic."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

T = TypeVar("T")

_START = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.SelectSelector):
    """Jumps to the next timer in place of waiting for it."""

    elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is left that could wake a task")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is moved by its own timers only."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.elapsed


class LoopClock:
    """The clock of the running event loop, virtual or not."""

    def now(self) -> datetime:
        """Return a time of day that follows the loop's time."""
        return _START + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the loop's time."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: timedelta) -> None:
        """Wait on the loop."""
        await asyncio.sleep(duration.total_seconds())


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
