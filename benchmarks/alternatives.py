"""Alternative ways to share slots between entries, simulated in virtual time.

The benchmark of requests compares the router with them.
"""

import asyncio
import heapq
from collections import deque
from collections.abc import Coroutine
from random import Random
from typing import Any

from benchmarks.services import NAIROBI, Arrival
from standins.loops import run_virtual
from standins.requests import FAR_DELAY, NEAR_DELAY

MAX_BORROW_PAUSE_SECONDS = 0.005

_ENTRY_COUNT = NAIROBI.zones * NAIROBI.entries
_SLOTS_PER_ENTRY = NAIROBI.zones * NAIROBI.targets * NAIROBI.slots // _ENTRY_COUNT


def share_fixed(arrivals: list[Arrival]) -> dict[str, float]:
    """Simulate entries that each have a fixed share of all slots.

    :returns: seconds that each request waits, by name.
    """
    shares = [[0.0] * _SLOTS_PER_ENTRY for _ in range(_ENTRY_COUNT)]
    waits = {}
    for arrival in arrivals:
        free = shares[arrival.entry]
        start = max(arrival.time, heapq.heappop(free))
        heapq.heappush(free, start + arrival.duration)
        waits[arrival.name] = start - arrival.time
    return waits


class LendingEntry:
    """An entry that holds credits for slots and borrows more when it has none."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.credits = _SLOTS_PER_ENTRY
        self.queue: deque[tuple[Arrival, float]] = deque()
        self.borrow_requests = 0
        self.is_borrowing = False

    def lend(self) -> int:
        """Give away half of the unused credits, at least one.

        :returns: the number of credits; 0 if requests wait here or none are left.
        """
        if self.queue or not self.credits:
            return 0
        amount = (self.credits + 1) // 2
        self.credits -= amount
        return amount


class CreditLending:
    """Simulates entries that borrow credits from two others drawn at random.

    :ivar waits: seconds that each request waited, by name.
    """

    def __init__(self, seed: int) -> None:
        self.waits: dict[str, float] = {}
        self.entries = [LendingEntry(number) for number in range(_ENTRY_COUNT)]
        self._random = Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def replay(self, arrivals: list[Arrival]) -> None:
        """Replay all arrivals and wait until the last request has ended."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for arrival in arrivals:
            await asyncio.sleep(begin + arrival.time - loop.time())
            entry = self.entries[arrival.entry]
            entry.queue.append((arrival, loop.time()))
            self._serve(entry)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _serve(self, entry: LendingEntry) -> None:
        now = asyncio.get_running_loop().time()
        while entry.queue and entry.credits:
            arrival, arrived_at = entry.queue.popleft()
            entry.credits -= 1
            self.waits[arrival.name] = now - arrived_at
            self._start(self._run(entry, arrival))
        if entry.queue and not entry.is_borrowing:
            entry.is_borrowing = True
            self._start(self._borrow(entry))

    async def _run(self, entry: LendingEntry, arrival: Arrival) -> None:
        await asyncio.sleep(arrival.duration)
        entry.credits += 1
        self._serve(entry)

    async def _borrow(self, entry: LendingEntry) -> None:
        while entry.queue and not entry.credits:
            other_entries = [other for other in self.entries if other is not entry]
            for other in self._random.sample(other_entries, 2):
                is_near = (
                    other.number // NAIROBI.entries == entry.number // NAIROBI.entries
                )
                delay = (NEAR_DELAY if is_near else FAR_DELAY).total_seconds()
                await asyncio.sleep(delay)
                amount = other.lend()
                await asyncio.sleep(delay)
                entry.credits += amount
                entry.borrow_requests += 1
                if amount:
                    break
            if not entry.credits:
                await asyncio.sleep(MAX_BORROW_PAUSE_SECONDS * self._random.random())
        entry.is_borrowing = False
        self._serve(entry)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def lend_credits(arrivals: list[Arrival], seed: int) -> CreditLending:
    """Replay arrivals with entries that lend credits on demand."""
    model = CreditLending(seed)
    run_virtual(model.replay(arrivals))
    return model
