"""Bounded queues that refuse requests which can't meet their deadline."""

import asyncio
import heapq
import itertools
import random
from datetime import timedelta
from typing import Any

from sortedcontainers import SortedList

from damaskdeck.coordination.requests.durations import Durations
from damaskdeck.defaults import QUEUE_LIMIT
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.outcomes import Refused
from damaskdeck.protocol.resources import Urgency

MAX_QUEUE_BYTES = 2_000_000
MIN_RETRY_AFTER_SECONDS = 0.2

_RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}
# Weight of one request in the moving average of each class's share.
_SHARE_WEIGHT = 0.01
_MIN_CAPACITY_SHARE = 0.02


class Waiter:
    """A request that waits for a slot.

    :param reserved_time: time before the deadline to reserve for the call, in seconds.
    :param avoided: targets and daemons that refused it or lost its answer before.
    :param is_local: whether its caller is on this daemon, so that it may be
        forwarded.
    :ivar latest_start: when it is refused unless it has a slot.
    """

    __slots__ = (
        "avoided",
        "deadline",
        "future",
        "is_local",
        "latest_start",
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
        reserved_time: float,
        avoided: frozenset[str] = frozenset(),
        is_local: bool = True,
    ) -> None:
        self.team = request.team
        self.rank = _RANKS[request.urgency]
        self.size = len(request.body)
        self.deadline = deadline
        self.latest_start = deadline - timedelta(seconds=reserved_time)
        self.avoided = avoided
        self.is_local = is_local
        self.order = (deadline, next(Waiter._numbers))
        self.future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()


class _TeamQueue:
    """A team's waiters of one urgency class, ordered by deadline."""

    def __init__(self, turns_taken: float) -> None:
        self.waiters: list[tuple[timedelta, int, Waiter]] = SortedList()
        self.turns_taken = turns_taken
        self.heap_key: tuple[int, tuple[timedelta, int, Waiter]] | None = None

    @property
    def key(self) -> tuple[int, tuple[timedelta, int, Waiter]]:
        """Sort key among the teams: turns taken, then the first waiter."""
        return int(self.turns_taken), self.waiters[0]


class _ClassQueue:
    """One urgency class, in which teams take turns of ``quantum`` requests.

    Within a turn requests are ordered by deadline, so that a few requests which
    arrived together don't wait behind those of other teams.

    The heap has an entry for the first waiter of each team, and stale entries that
    are removed when they reach the top.
    """

    def __init__(self) -> None:
        self.count = 0
        self.size = 0
        self.quantum = 1
        self._teams: dict[str, _TeamQueue] = {}
        self._heap: list[tuple[int, tuple[timedelta, int, Waiter], str]] = []
        self._turn = 0

    def get_length(self, team: str) -> int:
        queue = self._teams.get(team)
        return len(queue.waiters) if queue else 0

    def count_ahead(self, team: str, deadline: timedelta) -> int:
        """Estimate how many of this class are served before a new request."""
        queue = self._teams.get(team)
        own = queue.waiters.bisect_left((deadline,)) if queue else 0
        others = self.count - self.get_length(team)
        return own + min(others, (own + self.quantum) * len(self._teams))

    def add(self, waiter: Waiter) -> None:
        queue = self._teams.get(waiter.team)
        if queue is None:
            queue = self._teams[waiter.team] = _TeamQueue(self._turn)
        queue.waiters.add((*waiter.order, waiter))
        self.count += 1
        self.size += waiter.size
        self._push(waiter.team, queue)

    def remove(self, waiter: Waiter) -> bool:
        queue = self._teams.get(waiter.team)
        entry = (*waiter.order, waiter)
        if queue is None or entry not in queue.waiters:
            return False
        queue.waiters.remove(entry)
        self._update_after_removal(waiter, queue)
        return True

    def peek(self) -> Waiter | None:
        while self._heap:
            turn, first, team = self._heap[0]
            queue = self._teams.get(team)
            if queue is not None and queue.key == (turn, first):
                return first[2]
            heapq.heappop(self._heap)
        return None

    def pop(self) -> Waiter | None:
        waiter = self.peek()
        if waiter is not None:
            self._serve(waiter)
        return waiter

    def pop_local(self) -> Waiter | None:
        first = self.peek()
        if first is not None and not first.is_local:
            queues = sorted(self._teams.values(), key=lambda queue: queue.key)
            waiters = (entry[2] for queue in queues for entry in queue.waiters)
            first = next((w for w in waiters if w.is_local), None)
        if first is not None:
            self._serve(first)
        return first

    def pop_all(self) -> list[Waiter]:
        queues = list(self._teams.values())
        waiters = [entry[2] for queue in queues for entry in queue.waiters]
        for waiter in waiters:
            self.remove(waiter)
        return waiters

    def _serve(self, waiter: Waiter) -> None:
        queue = self._teams[waiter.team]
        self._turn = max(self._turn, int(queue.turns_taken))
        queue.turns_taken += 1 / self.quantum
        self.remove(waiter)

    def _update_after_removal(self, waiter: Waiter, queue: _TeamQueue) -> None:
        self.count -= 1
        self.size -= waiter.size
        if queue.waiters:
            self._push(waiter.team, queue)
        else:
            del self._teams[waiter.team]
        if not self._teams:
            self._heap.clear()

    def _push(self, team: str, queue: _TeamQueue) -> None:
        key = queue.key
        if key != queue.heap_key:
            queue.heap_key = key
            heapq.heappush(self._heap, (*key, team))


class AdmissionQueue:
    """Requests that wait for a slot.

    They are ordered by urgency, then fairly between teams, then by deadline.

    :param durations: measured time in a slot.
    :param limit: maximum number of waiters of one team and urgency class.
    :param size_limit: maximum bytes of the bodies of one urgency class.
    """

    def __init__(
        self,
        durations: Durations,
        rng: random.Random,
        limit: int = QUEUE_LIMIT,
        size_limit: int = MAX_QUEUE_BYTES,
    ) -> None:
        self._durations = durations
        self._random = rng
        self._limit = limit
        self._size_limit = size_limit
        self._classes = [_ClassQueue() for _ in _RANKS]
        self._served_shares = [0.0 for _ in _RANKS]

    def __len__(self) -> int:
        return sum(queue.count for queue in self._classes)

    def set_quantum(self, requests: int) -> None:
        """Set how many requests a team may have served in one turn."""
        for queue in self._classes:
            queue.quantum = max(1, requests)

    def admit(self, waiter: Waiter, now: timedelta, slots: int) -> Refused | None:
        """Enqueue a request, or return why it is refused.

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
        """Return by how many seconds a new request would miss its latest start."""
        wait = self.estimate_wait(waiter, slots)
        return wait - (waiter.latest_start - now).total_seconds()

    def estimate_wait(self, waiter: Waiter, slots: int) -> float:
        """Return how many seconds a new request would wait."""
        rank = waiter.rank
        ahead = self._classes[rank].count_ahead(waiter.team, waiter.deadline)
        for queue in self._classes[:rank]:
            ahead += queue.count
        share = max(_MIN_CAPACITY_SHARE, 1 - sum(self._served_shares[:rank]))
        return (ahead + 1) * self._durations.mean / max(slots, 1) / share

    def pop(self) -> Waiter | None:
        """Remove and return the next waiter, if any."""
        for rank, queue in enumerate(self._classes):
            if queue.count:
                self._count_served(rank)
                return queue.pop()
        return None

    def peek(self) -> Waiter | None:
        """Return the next waiter without removing it, if any."""
        for queue in self._classes:
            if queue.count:
                return queue.peek()
        return None

    def pop_local(self) -> Waiter | None:
        """Remove and return the next waiter that may be forwarded, if any."""
        for queue in self._classes:
            waiter = queue.pop_local() if queue.count else None
            if waiter is not None:
                return waiter
        return None

    def pop_all(self) -> list[Waiter]:
        """Remove and return all waiters."""
        return [w for queue in self._classes for w in queue.pop_all()]

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter whose caller is gone; return whether it was waiting."""
        return self._classes[waiter.rank].remove(waiter)

    def count_served_directly(self, urgency: Urgency) -> None:
        """Count a request that got a slot without waiting."""
        self._count_served(_RANKS[urgency])

    def _count_served(self, served_rank: int) -> None:
        for rank in range(len(self._served_shares)):
            self._served_shares[rank] *= 1 - _SHARE_WEIGHT
        self._served_shares[served_rank] += _SHARE_WEIGHT

    def refuse(self, code: str, ahead: int, slots: int, excess: float = 0.0) -> Refused:
        """Return a refusal with a hint when to retry.

        :param ahead: requests that are served first.
        :param excess: seconds by which a deadline would be missed.
        """
        wait = excess + ahead * self._durations.mean / max(slots, 1)
        spread = 1 + self._random.random()
        hint = timedelta(seconds=max(wait, MIN_RETRY_AFTER_SECONDS) * spread)
        return Refused(code, retry_after=hint)
