"""Entry point of a stand-in: applies the injected faults to every call."""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeVar

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import Lost, Rejected
from standins.faults import FaultKind, Faults

CALL_TIMEOUT = timedelta(seconds=5)

T = TypeVar("T")


class ChangeSignal:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def wake(self) -> None:
        """Set the event that :meth:`next` returned, and start a new one."""
        self._event.set()
        self._event = asyncio.Event()

    def next(self) -> asyncio.Event:
        """Return the event of the next change.

        Get it before reading the state, or a change in between is missed.
        """
        return self._event


class Gateway:
    """Passes calls of clients to one stand-in.

    :param busy_code: code with which the fault ``REFUSE`` rejects a call.
    """

    def __init__(self, clock: Clock, busy_code: str) -> None:
        self.clock = clock
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.waiting = 0
        self._busy_code = busy_code
        self._pending_calls: set[asyncio.Task[Any]] = set()

    def is_cut_off(self, client: str) -> bool:
        """Whether calls of ``client`` fail to arrive now."""
        return self.faults.outage or client in self.faults.cut_off

    async def call(
        self,
        client: str,
        operation: str,
        action: Callable[[], T],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> T | Rejected | Lost:
        """Perform ``action``, unless a fault prevents it.

        A call that arrives during a pause is held and takes effect after it, even
        if its caller has timed out by then.

        :param timeout: how long the client waits for a call that is held.
        """
        if self.faults.delay:
            await self.clock.sleep(self.faults.delay)
        if self.is_cut_off(client):
            return Rejected("unreachable")
        if not self.faults.is_paused:
            return self._perform(operation, action)
        pending_call = asyncio.ensure_future(
            self._perform_after_resume(operation, action)
        )
        self._pending_calls.add(pending_call)
        pending_call.add_done_callback(self._pending_calls.discard)
        return await self.wait_for(pending_call, timeout)

    def drop_calls(self) -> None:
        """Drop the calls that a pause holds, as when the machine fails, and resume."""
        for call in self._pending_calls:
            call.cancel()
        self.faults.resume()

    async def wait_for(self, task: "asyncio.Task[T]", timeout: timedelta) -> T | Lost:
        """Wait for ``task`` until the client times out; the task continues anyway."""
        timer = asyncio.ensure_future(self.clock.sleep(timeout))
        try:
            await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
        if not task.done():
            return Lost("timeout")
        return Lost("reset") if task.cancelled() else task.result()

    async def poll(
        self,
        client: str,
        read: Callable[[], T],
        is_empty: Callable[[T], bool],
        signal: ChangeSignal,
        wait: timedelta,
        find_next_change: Callable[[], timedelta | None],
    ) -> T | Lost:
        """Return what ``read`` finds, waiting up to ``wait`` for a non-empty answer.

        It re-reads on each ``signal`` and whenever the clock alone changes the state.


        :param find_next_change: returns the monotonic time at which the clock alone
            changes the state next, or ``None``.
        """
        deadline = self.clock.monotonic() + wait
        self.waiting += 1
        try:
            while True:
                change = signal.next()
                answer = read()
                now = self.clock.monotonic()
                if not is_empty(answer) or deadline <= now:
                    return answer
                next_change = find_next_change()
                until = deadline if next_change is None else min(deadline, next_change)
                await self._wait_for_change(change, until - now)
                if self.faults.is_paused or self.is_cut_off(client):
                    return Lost("timeout")
        finally:
            self.waiting -= 1

    async def _wait_for_change(self, change: asyncio.Event, limit: timedelta) -> None:
        timer = asyncio.ensure_future(self.clock.sleep(limit))
        changed = asyncio.ensure_future(change.wait())
        try:
            await asyncio.wait({timer, changed}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            changed.cancel()

    def _perform(self, operation: str, action: Callable[[], T]) -> T | Rejected | Lost:
        self.calls[operation] += 1
        fault = self.faults.take(operation)
        if fault is FaultKind.REFUSE:
            return Rejected(self._busy_code)
        if fault is FaultKind.LOSE_CALL:
            return Lost("timeout")
        answer = action()
        return Lost("timeout") if fault is FaultKind.LOSE_ANSWER else answer

    async def _perform_after_resume(
        self, operation: str, action: Callable[[], T]
    ) -> T | Rejected | Lost:
        await self.faults.resumed.wait()
        return self._perform(operation, action)
