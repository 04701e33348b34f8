"""An event loop in virtual time: sleeps take no real time and are deterministic.

Processes that share the loop may each have a :class:`Processor`, so that their work
takes time, and what they do late depends on how much there is to do.
"""

import asyncio
import contextvars
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

from damaskdeck.priorities import is_urgent

T = TypeVar("T")

_processor: "contextvars.ContextVar[Processor | None]" = contextvars.ContextVar(
    "processor", default=None
)
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


class Processor:
    """The processor of one process, which runs one callback after the other.

    :param callback_time: how long a callback takes.
    :ivar busy_time: how long it has worked in all.
    :ivar spent: what the callback that runs takes beyond that so far.
    """

    def __init__(self, callback_time: timedelta) -> None:
        self.callback_time = callback_time
        self.busy_time = timedelta()
        self.spent = timedelta()
        self._queue: deque[asyncio.Handle] = deque()
        self._urgent: deque[asyncio.Handle] = deque()
        self._is_working = False

    def build_context(self) -> contextvars.Context:
        """Return a context whose tasks and callbacks run on this processor."""
        context = contextvars.Context()
        context.run(_processor.set, self)
        return context

    def enqueue(
        self, loop: "VirtualLoop", handle: asyncio.Handle, is_urgent: bool
    ) -> None:
        """Run a callback after those that wait already, or before if it is urgent."""
        queue = self._urgent if is_urgent else self._queue
        queue.append(handle)
        if not self._is_working:
            self._is_working = True
            loop.call_soon_at_once(self._work, loop)

    def _take(self) -> asyncio.Handle | None:
        for queue in (self._urgent, self._queue):
            while queue:
                handle = queue.popleft()
                if not handle.cancelled():
                    return handle
        return None

    def _work(self, loop: "VirtualLoop") -> None:
        handle = self._take()
        if handle is None:
            self._is_working = False
            return
        handle._run()
        used, self.spent = self.callback_time + self.spent, timedelta()
        self.busy_time += used
        ends_at = loop.time() + used.total_seconds()
        loop.call_at_once(ends_at, self._work, loop)


def spend(time: timedelta) -> None:
    """Let the callback that runs take longer, if it runs on a processor."""
    processor = _processor.get()
    if processor is not None:
        processor.spent += time


NO_PROCESSOR = contextvars.Context()


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time only advances to its own timers."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def call_soon(
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Call a function once the processor of its context is free."""
        processor = _processor.get() if context is None else context.get(_processor)
        if processor is None:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        processor.enqueue(self, handle, is_urgent(context))
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call a function at a time, or later if its processor is not free then."""
        processor = _processor.get() if context is None else context.get(_processor)
        if processor is None:
            return super().call_at(when, callback, *args, context=context)
        context = contextvars.copy_context() if context is None else context

        def run_unless_cancelled() -> None:
            if not timer.cancelled():
                callback(*args)

        timer = super().call_at(
            when,
            lambda: self.call_soon(run_unless_cancelled, context=context),
            context=NO_PROCESSOR,
        )
        return timer

    def call_soon_at_once(self, callback: Callable[..., Any], *args: Any) -> None:
        """Call a function soon without a processor."""
        super().call_soon(callback, *args, context=NO_PROCESSOR)

    def call_at_once(
        self, when: float, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Call a function at a time without a processor."""
        super().call_at(when, callback, *args, context=NO_PROCESSOR)

    def time(self) -> float:
        """Return the virtual time in seconds, as the running callback sees it."""
        processor = _processor.get()
        spent = processor.spent.total_seconds() if processor is not None else 0.0
        return self._virtual_selector.elapsed + spent


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
