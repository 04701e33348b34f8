"""Other ways to share slots between entries, in virtual time, for comparison."""

import asyncio
import heapq
from collections import deque
from collections.abc import Coroutine
from random import Random
from typing import Any

from benchmarks.services import NAIROBI, Arrival
from standins.loops import run_virtual
from standins.requests import FAR_DELAY, NEAR_DELAY

ASK_PAUSE = 0.005

_ENTRIES = NAIROBI.zones * NAIROBI.entries
_SHARE = NAIROBI.zones * NAIROBI.targets * NAIROBI.slots // _ENTRIES


def share_fixed(arrivals: list[Arrival]) -> dict[str, float]:
    """Return the waits when each entry has a fixed share of all slots."""
    shares = [[0.0] * _SHARE for _ in range(_ENTRIES)]
    waits = {}
    for arrival in arrivals:
        free = shares[arrival.entry]
        start = max(arrival.time, heapq.heappop(free))
        heapq.heappush(free, start + arrival.duration)
        waits[arrival.name] = start - arrival.time
    return waits


class Lender:
    """An entry that has credits for slots and borrows those that it lacks."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.credits = _SHARE
        self.queue: deque[tuple[Arrival, float]] = deque()
        self.asks = 0
        self.is_asking = False

    def lend(self) -> int:
        """Give away half of the credits that nobody needs here, at least one."""
        if self.queue or not self.credits:
            return 0
        amount = (self.credits + 1) // 2
        self.credits -= amount
        return amount


class LentCredits:
    """Waits when entries borrow credits from two others drawn at random."""

    def __init__(self, seed: int) -> None:
        self.waits: dict[str, float] = {}
        self.lenders = [Lender(number) for number in range(_ENTRIES)]
        self._random = Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    async def replay(self, arrivals: list[Arrival]) -> None:
        """Send all arrivals and wait until the last one has ended."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for arrival in arrivals:
            await asyncio.sleep(begin + arrival.time - loop.time())
            lender = self.lenders[arrival.entry]
            lender.queue.append((arrival, loop.time()))
            self._serve(lender)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _serve(self, lender: Lender) -> None:
        now = asyncio.get_running_loop().time()
        while lender.queue and lender.credits:
            arrival, came = lender.queue.popleft()
            lender.credits -= 1
            self.waits[arrival.name] = now - came
            self._start(self._run(lender, arrival))
        if lender.queue and not lender.is_asking:
            lender.is_asking = True
            self._start(self._borrow(lender))

    async def _run(self, lender: Lender, arrival: Arrival) -> None:
        await asyncio.sleep(arrival.duration)
        lender.credits += 1
        self._serve(lender)

    async def _borrow(self, lender: Lender) -> None:
        while lender.queue and not lender.credits:
            others = [other for other in self.lenders if other is not lender]
            for other in self._random.sample(others, 2):
                is_near = (
                    other.number // NAIROBI.entries == lender.number // NAIROBI.entries
                )
                delay = (NEAR_DELAY if is_near else FAR_DELAY).total_seconds()
                await asyncio.sleep(delay)
                amount = other.lend()
                await asyncio.sleep(delay)
                lender.credits += amount
                lender.asks += 1
                if amount:
                    break
            if not lender.credits:
                await asyncio.sleep(ASK_PAUSE * self._random.random())
        lender.is_asking = False
        self._serve(lender)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def lend_credits(arrivals: list[Arrival], seed: int) -> LentCredits:
    """Replay arrivals with credits that are lent on demand."""
    model = LentCredits(seed)
    run_virtual(model.replay(arrivals))
    return model
