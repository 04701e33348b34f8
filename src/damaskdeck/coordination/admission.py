"""Bounded queues that refuse at once what can't be answered in time."""

import asyncio
import heapq
import itertools
import random
from datetime import timedelta
from typing import Any

from sortedcontainers import SortedList

from damaskdeck.coordination.durations import Durations
from damaskdeck.defaults import QUEUE_LIMIT
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.outcomes import Refused
from damaskdeck.protocol.resources import Urgency

QUEUE_BYTES = 2_000_000
SHORTEST_HINT = 0.2

_RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}
_SHARE_WEIGHT = 0.01
_LEAST_SHARE = 0.02


class Waiter:
    """A request that waits for a place.

    :param need: time in a slot to keep back for it, in seconds.
    :param avoided: targets and daemons that refused or lost it before.
    :param is_local: whether its caller is here, so that it may go elsewhere.
    """

    __slots__ = (
        "avoided",
        "deadline",
        "future",
        "give_up",
        "is_local",
        "order",
        "rank",
        "size",
        "team",
    )
    _numbers = itertools.count()

    def __init__(
        self,
        request: ServiceRequest,
        deadline: timedelta,
        need: float,
        avoided: frozenset[str] = frozenset(),
        is_local: bool = True,
    ) -> None:
        self.team = request.team
        self.rank = _RANKS[request.urgency]
        self.size = len(request.body)
        self.deadline = deadline
        self.give_up = deadline - timedelta(seconds=need)
        self.avoided = avoided
        self.is_local = is_local
        self.order = (self.give_up, next(Waiter._numbers))
        self.future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()


def _get_order(waiter: Waiter) -> tuple[timedelta, int]:
    return waiter.order


class _TeamQueue:
    """A team's waiters of one urgency class, the shortest slack first."""

    def __init__(self) -> None:
        self.waiters: list[tuple[timedelta, int, Waiter]] = SortedList()
        self.served = 0.0
        self.is_listed = False


class _ClassQueue:
    """One urgency class; teams take turns."""

    def __init__(self) -> None:
        self.count = 0
        self.size = 0
        self._teams: dict[str, _TeamQueue] = {}
        self._turns: list[tuple[float, str]] = []
        self._turn = 0.0

    def get_length(self, team: str) -> int:
        queue = self._teams.get(team)
        return len(queue.waiters) if queue else 0

    def count_ahead(self, team: str, give_up: timedelta) -> int:
        """Estimate how many of this class are served before a newcomer."""
        queue = self._teams.get(team)
        if queue is None:
            return min(self.count, max(0, len(self._teams)))
        own = queue.waiters.bisect_left((give_up,))
        others = self.count - len(queue.waiters)
        return own + min(others, (own + 1) * (len(self._teams) - 1))

    def add(self, waiter: Waiter) -> None:
        queue = self._teams.get(waiter.team)
        if queue is None:
            queue = self._teams[waiter.team] = _TeamQueue()
            queue.served = self._turn
        queue.waiters.add((*waiter.order, waiter))
        self.count += 1
        self.size += waiter.size
        if not queue.is_listed:
            queue.is_listed = True
            heapq.heappush(self._turns, (queue.served, waiter.team))

    def remove(self, waiter: Waiter) -> bool:
        queue = self._teams.get(waiter.team)
        entry = (*waiter.order, waiter)
        if queue is None or entry not in queue.waiters:
            return False
        queue.waiters.remove(entry)
        self.count -= 1
        self.size -= waiter.size
        return True

    def pop(self) -> Waiter | None:
        while self._turns:
            served, team = self._turns[0]
            queue = self._teams[team]
            if not queue.waiters:
                heapq.heappop(self._turns)
                del self._teams[team]
                continue
            self._turn = served
            queue.served = served + 1
            heapq.heapreplace(self._turns, (queue.served, team))
            return self._take_first(queue)
        return None

    def pop_local(self) -> Waiter | None:
        for _, team in sorted(self._turns):
            queue = self._teams[team]
            for _, _, waiter in queue.waiters:
                if waiter.is_local:
                    self.remove(waiter)
                    return waiter
        return None

    def pop_all(self) -> list[Waiter]:
        queues = self._teams.values()
        return [self._take_first(queue) for queue in queues for _ in [*queue.waiters]]

    def _take_first(self, queue: _TeamQueue) -> Waiter:
        waiter = queue.waiters.pop(0)[2]
        self.count -= 1
        self.size -= waiter.size
        return waiter


class AdmissionQueue:
    """Who waits for a place: by urgency, fair between teams, then by slack.

    Slack is the time left until a request must be in a slot to make its
    deadline, so the order is that of deadlines for requests of equal need.

    :param durations: learned time in a slot.
    :param limit: waiters of one team and urgency class.
    :param size_limit: bytes of the bodies of one urgency class.
    """

    def __init__(
        self,
        durations: Durations,
        chooser: random.Random,
        limit: int = QUEUE_LIMIT,
        size_limit: int = QUEUE_BYTES,
    ) -> None:
        self._durations = durations
        self._random = chooser
        self._limit = limit
        self._size_limit = size_limit
        self._classes = [_ClassQueue() for _ in _RANKS]
        self._shares = [0.0 for _ in _RANKS]

    def __len__(self) -> int:
        return sum(queue.count for queue in self._classes)

    def admit(self, waiter: Waiter, now: timedelta, slots: int) -> Refused | None:
        """Let a request wait, or refuse it at once.

        :param slots: how many slots the waiters share.
        """
        queue = self._classes[waiter.rank]
        if queue.get_length(waiter.team) >= self._limit:
            return self.refuse("queue_full", queue.count, slots)
        if queue.count and queue.size + waiter.size > self._size_limit:
            return self.refuse("queue_full", queue.count, slots)
        excess = self.estimate_excess(waiter, now, slots)
        if excess > 0:
            return self.refuse("deadline_unmeetable", 0, slots, excess)
        queue.add(waiter)
        return None

    def estimate_excess(self, waiter: Waiter, now: timedelta, slots: int) -> float:
        """Return by how many seconds a newcomer would miss its deadline."""
        wait = self.estimate_wait(waiter.rank, waiter.team, waiter.give_up, slots)
        return wait - (waiter.give_up - now).total_seconds()

    def estimate_wait(
        self, rank: int, team: str, give_up: timedelta, slots: int
    ) -> float:
        """Return how many seconds a newcomer would wait."""
        ahead = self._classes[rank].count_ahead(team, give_up)
        for queue in self._classes[:rank]:
            ahead += queue.count
        share = max(_LEAST_SHARE, 1 - sum(self._shares[:rank]))
        return (ahead + 1) * self._durations.mean / max(slots, 1) / share

    def pop(self) -> Waiter | None:
        """Take out whoever is next."""
        for rank, queue in enumerate(self._classes):
            if queue.count:
                self._count_served(rank)
                return queue.pop()
        return None

    def pop_local(self) -> Waiter | None:
        """Take out the next one that may go to another daemon."""
        for queue in self._classes:
            waiter = queue.pop_local() if queue.count else None
            if waiter is not None:
                return waiter
        return None

    def pop_all(self) -> list[Waiter]:
        """Take out everybody."""
        return [w for queue in self._classes for w in queue.pop_all()]

    def remove(self, waiter: Waiter) -> bool:
        """Take out one whose caller has gone; tell whether it was waiting."""
        return self._classes[waiter.rank].remove(waiter)

    def count_served_directly(self, urgency: Urgency) -> None:
        """Learn of a request that found a slot without waiting."""
        self._count_served(_RANKS[urgency])

    def _count_served(self, served: int) -> None:
        for rank in range(len(self._shares)):
            self._shares[rank] *= 1 - _SHARE_WEIGHT
        self._shares[served] += _SHARE_WEIGHT

    def refuse(self, code: str, ahead: int, slots: int, excess: float = 0.0) -> Refused:
        """Return a refusal with a hint when to come back.

        :param ahead: requests to be served first.
        :param excess: seconds by which a deadline would be missed.
        """
        wait = excess + ahead * self._durations.mean / max(slots, 1)
        spread = 1 + self._random.random()
        hint = timedelta(seconds=max(wait, SHORTEST_HINT) * spread)
        return Refused(code, retry_after=hint)
