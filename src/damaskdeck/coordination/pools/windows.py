"""How many orders may be without an answer at a time: a window that learns.

Orders carry their job's payload. Sent all at once, those of a few wide steps fill a
slow link, or the process that has to take the answers, for longer than an answer is
waited for: each is then in doubt, has to be settled by looks and stops, and all that
comes on top of the load that caused it.
"""

import asyncio
import heapq
import itertools
from collections import deque
from statistics import median

# Orders that may wait for an answer at first: 24 KB, a tenth of a second on the slowest
# links, 2 Mbit/s; with answers after 10 ms they are 1,600 starts a second.
FIRST_LIMIT = 16.0
LEAST_LIMIT = 4.0
MOST_LIMIT = 512.0
# An answer is waited for 0.3 s; from half of that on fewer orders are sent, below a
# sixth more. What half of the last answers took tells, as single workers may be dark.
SLOW_SECONDS = 0.15
QUICK_SECONDS = 0.05
ANSWERS = 15
# Less by a quarter after so many answers, more by one: as TCP does.
DECREASE = 0.75


class OrderWindow:
    """Lets orders go in their turn.

    :ivar limit: how many may be without an answer now.
    """

    def __init__(self) -> None:
        self.limit = FIRST_LIMIT
        self._open = 0
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._took: deque[float] = deque(maxlen=ANSWERS)
        self._until_next = 0

    async def enter(self, rank: int) -> None:
        """Wait for a turn.

        :param rank: lower ones go first, equal ones as they came.
        """
        if self._open < self.limit and not self._waiting:
            self._open += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, next(self._numbers), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._leave()
            raise

    def leave(self, took: float) -> None:
        """Take note of an answer, or that none came.

        :param took: seconds.
        """
        self._took.append(took)
        self._adapt()
        self._leave()

    def _leave(self) -> None:
        self._open -= 1
        while self._waiting and self._open < self.limit:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done():
                self._open += 1
                turn.set_result(None)

    def _adapt(self) -> None:
        self._until_next -= 1
        if self._until_next > 0 or len(self._took) < ANSWERS:
            return
        usual = median(self._took)
        if usual > SLOW_SECONDS:
            self.limit = max(LEAST_LIMIT, self.limit * DECREASE)
        elif usual < QUICK_SECONDS:
            self.limit = min(MOST_LIMIT, self.limit + 1)
        else:
            return
        self._until_next = ANSWERS
