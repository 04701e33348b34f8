"""Event loop on which some tasks go before all others.

An event loop runs what is ready in turn. If there is much of it, each step of a call
waits for all the rest, and a call to the store takes ten steps. What keeps a process in
office, and what many other tasks wait for, must not wait for those.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from selectors import BaseSelector
from typing import Any, TypeVar

T = TypeVar("T")

# After this many urgent callbacks the others that are ready get their turn.
MAX_URGENT_STREAK = 64

_is_urgent: ContextVar[bool] = ContextVar("is_urgent", default=False)
_PLAIN = Context()


def is_urgent(context: Context | None = None) -> bool:
    """Whether what runs in a context, the current one by default, goes first."""
    return _is_urgent.get() if context is None else context.get(_is_urgent, False)


def create_urgent_task(work: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
    """Start a task that goes before others, with the tasks that it starts itself."""
    context = copy_context()
    context.run(_is_urgent.set, True)
    return asyncio.get_running_loop().create_task(work, context=context)


class PriorityLoop(asyncio.SelectorEventLoop):
    """An event loop that runs the callbacks of urgent tasks first, in their order."""

    def __init__(self, selector: BaseSelector | None = None) -> None:
        super().__init__(selector)
        self._urgent: deque[asyncio.Handle] = deque()
        self._urgent_count = 0

    def call_soon(
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Call a function in this iteration if it is urgent, else in the next one."""
        if not is_urgent(context):
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        self._urgent.append(handle)
        super().call_soon(self._run_urgent, context=_PLAIN)
        self._urgent_count += 1
        if self._urgent_count % MAX_URGENT_STREAK:
            # Callbacks are taken from the left, as many as were ready at first.
            self._ready.rotate(1)
        return handle

    def _run_urgent(self) -> None:
        handle = self._urgent.popleft()
        if not handle.cancelled():
            handle._run()
