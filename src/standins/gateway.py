"""The way into a stand-in: every call passes here and meets its faults."""

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


class Signal:
    """Wakes everybody who waits for the next change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def wake(self) -> None:
        """Wake all who hold the event of :meth:`next`."""
        self._event.set()
        self._event = asyncio.Event()

    def next(self) -> asyncio.Event:
        """Return the event of the next change; take it before looking."""
        return self._event


class Gateway:
    """Lets calls of clients into one stand-in.

    :param busy: code of a call that the fault ``REFUSE`` turns away.
    """

    def __init__(self, clock: Clock, busy: str) -> None:
        self.clock = clock
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.waiting = 0
        self._busy = busy
        self._arrived: set[asyncio.Task[Any]] = set()

    def is_cut_off(self, client: str) -> bool:
        """Tell whether calls of ``client`` don't arrive now."""
        return self.faults.outage or client in self.faults.cut_off

    async def call(
        self,
        client: str,
        operation: str,
        act: Callable[[], T],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> T | Rejected | Lost:
        """Let ``act`` happen, unless a fault forbids it.

        While the stand-in is paused the call waits inside it: it takes effect
        after the pause, though its caller may have given up by then.
        """
        if self.faults.delay:
            await self.clock.sleep(self.faults.delay)
        if self.is_cut_off(client):
            return Rejected("unreachable")
        if not self.faults.is_paused:
            return self._act(operation, act)
        arrived = asyncio.ensure_future(self._act_once_resumed(operation, act))
        self._arrived.add(arrived)
        arrived.add_done_callback(self._arrived.discard)
        return await self.wait_for(arrived, timeout)

    def drop_calls(self) -> None:
        """Lose the calls that wait in a pause, as when the machine dies."""
        for call in self._arrived:
            call.cancel()
        self.faults.resume()

    async def wait_for(self, task: "asyncio.Task[T]", timeout: timedelta) -> T | Lost:
        """Wait for ``task`` as long as a client waits; it goes on regardless."""
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
        signal: Signal,
        wait: timedelta,
        find_due: Callable[[], timedelta | None],
    ) -> T | Lost:
        """Answer once ``read`` finds something or ``wait`` has passed.

        :param find_due: when something changes by the clock alone.
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
                due = find_due()
                until = deadline if due is None else min(deadline, due)
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

    def _act(self, operation: str, act: Callable[[], T]) -> T | Rejected | Lost:
        self.calls[operation] += 1
        fault = self.faults.take(operation)
        if fault is FaultKind.REFUSE:
            return Rejected(self._busy)
        if fault is FaultKind.LOSE_CALL:
            return Lost("timeout")
        answer = act()
        return Lost("timeout") if fault is FaultKind.LOSE_ANSWER else answer

    async def _act_once_resumed(
        self, operation: str, act: Callable[[], T]
    ) -> T | Rejected | Lost:
        await self.faults.resumed.wait()
        return self._act(operation, act)
