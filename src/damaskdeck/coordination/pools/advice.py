"""Queries to the advisor: how they are spread over daemons, and their results.

The advisor handles one call at a time for each calling instance. The owner therefore
spreads its queries over all daemons, short queries first, and reserves some of the
daemons for short queries.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry, observe_latency
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.poolmessages import GetAdvice, GetAdviceReply
from damaskdeck.protocol.queues import AdvisorTiming
from damaskdeck.state.pooljobs import Step

# The number of workers that one query may name.
MAX_QUERY_WORKERS = 100
# A ticket is used only if it is valid for at least this long, because the order has to
# reach the worker first.
TICKET_MARGIN_SECONDS = 0.15
# Queries that take longer may not occupy all daemons.
LONG_QUERY_SECONDS = 0.15
# The number and the share of daemons that stay reserved for short queries; the larger
# one applies.
MIN_RESERVED_DAEMONS = 2
RESERVED_SHARE = 0.15
# A long query that has waited for this long may use what the minimum reserves beyond
# the share, but for one daemon where there are three or more.
MAX_LONG_QUERY_WAIT_SECONDS = 1.0
# Added to the time that the advisor needs, for the network between daemon and advisor.
REPLY_SLACK = timedelta(milliseconds=700)
FAILURE_PAUSE_SECONDS = 0.5

_log = get_logger("advising")


class StepAdvice:
    """What the advisor has answered about one step.

    :ivar tickets: By worker, the ticket and the monotonic time in seconds until which
        it is valid.
    :ivar refused: The workers that may not run the step.
    :ivar requested: The workers named by queries that are queued or in flight.
    :ivar complete_until: No query is needed before this time.
    :ivar answered_at: When the advisor first consented to a worker, ``None`` before.
    :ivar examined_at: When workers were last searched for a query that the step's place
        in the order of urgency doesn't call for.
    """

    __slots__ = (
        "answered_at",
        "complete_until",
        "examined_at",
        "refused",
        "requested",
        "tickets",
    )

    def __init__(self) -> None:
        self.tickets: dict[str, tuple[str, float]] = {}
        self.refused: set[str] = set()
        self.requested: set[str] = set()
        self.complete_until = 0.0
        self.answered_at: float | None = None
        self.examined_at = float("-inf")

    def list_tickets(self, now: float, among: Iterable[str] | None) -> list[str]:
        """List the workers whose ticket stays valid long enough to be used.

        :param among: The workers to consider, all if ``None``.
        """
        limit = now + TICKET_MARGIN_SECONDS
        tickets = self.tickets
        if among is None:
            return [worker for worker, (_, until) in tickets.items() if until > limit]
        no_ticket = ("", 0.0)
        return [worker for worker in among if tickets.get(worker, no_ticket)[1] > limit]

    def discard_ticket(self, worker: str) -> None:
        """Expire a ticket that was declined.

        The worker itself still counts as one that may run the step.
        """
        ticket, _ = self.tickets.get(worker, ("", 0.0))
        if ticket:
            self.tickets[worker] = (ticket, 0.0)
            self.complete_until = 0.0


class ConsentCount(NamedTuple):
    """How many workers the advisor was queried about for a queue and consented to.

    The defaults are an initial estimate of one half, which a few replies outweigh.
    """

    requested: int = 4
    given: int = 2

    @property
    def share(self) -> float:
        """The share of workers that may run a step, always above 0."""
        return max(self.given, 1) / self.requested


class _Query(NamedTuple):
    step: Step
    workers: tuple[str, ...]
    timing: AdvisorTiming
    queued_at: float

    @property
    def duration(self) -> timedelta:
        """The time that the advisor needs for the query."""
        return self.timing.base + self.timing.per_worker * len(self.workers)

    @property
    def is_long(self) -> bool:
        """Whether the query may not occupy all daemons."""
        return self.duration.total_seconds() > LONG_QUERY_SECONDS


class AdviceScheduler:
    """Sends advisor queries through all daemons during one owner term.

    :param list_daemons: Returns the names of the daemons that are up.
    :param on_reply: Called with the step of a query that was answered or has failed.
    """

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        list_daemons: Callable[[], list[str]],
        on_reply: Callable[[Step], None],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._list_daemons = list_daemons
        self._on_reply = on_reply
        self._advice: dict[str, StepAdvice] = {}
        self._consent_counts: dict[str, ConsentCount] = {}
        self._queue: list[tuple[float, int, _Query]] = []
        self._numbers = itertools.count()
        # Whether the query in flight is a long one, by daemon.
        self._busy: dict[str, bool] = {}
        self._paused_until: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def get(self, step: Step) -> StepAdvice:
        """Return the advice about a step, empty if there is none yet."""
        advice = self._advice.get(step.name)
        if advice is None:
            advice = self._advice[step.name] = StepAdvice()
        return advice

    def discard(self, step: Step) -> None:
        """Remove the advice about a step that starts no more tasks."""
        self._advice.pop(step.name, None)

    def enqueue(self, step: Step, workers: list[str], patience: float) -> None:
        """Queue a query about a step.

        :param workers: At most :data:`MAX_QUERY_WORKERS`.
        :param patience: For how many seconds later queries of no patience go first.
        """
        timing = step.job.queue.advice
        if not workers or timing is None:
            return
        self.get(step).requested.update(workers)
        now = self._now()
        query = _Query(step, tuple(workers[:MAX_QUERY_WORKERS]), timing, now)
        entry = (now + patience, next(self._numbers), query)
        heapq.heappush(self._queue, entry)
        self.dispatch()

    def count_idle_daemons(self) -> int:
        """Count the daemons that could send a query beyond those in the queue."""
        now = self._now()
        idle = sum(self._is_idle(name, now) for name in self._list_daemons())
        return max(0, idle - len(self._queue))

    def count_daemons(self) -> int:
        """Count the daemons that are up."""
        return len(self._list_daemons())

    def get_consent_count(self, step: Step) -> ConsentCount:
        """Return how often the advisor consents to workers for a step's queue."""
        return self._consent_counts.get(step.job.queue.name, ConsentCount())

    def dispatch(self) -> None:
        """Assign queued queries to idle daemons."""
        remaining = []
        while self._queue:
            entry = heapq.heappop(self._queue)
            query = entry[2]
            if query.step.job.is_final or query.step.is_completed:
                self.discard(query.step)
                continue
            daemon = self._find_daemon(query, self._now())
            if daemon is None:
                remaining.append(entry)
                if self._find_idle() is None:
                    break
                continue
            self._busy[daemon] = query.is_long
            start_task(self._send(daemon, query), self._tasks)
        for entry in remaining:
            heapq.heappush(self._queue, entry)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _find_idle(self) -> str | None:
        now = self._now()
        names = (name for name in self._list_daemons() if self._is_idle(name, now))
        return next(names, None)

    def _is_idle(self, name: str, now: float) -> bool:
        return name not in self._busy and self._paused_until.get(name, 0.0) <= now

    def _find_daemon(self, query: _Query, now: float) -> str | None:
        if query.is_long and sum(self._busy.values()) >= self._count_for_long(
            query, now
        ):
            return None
        return self._find_idle()

    def _count_for_long(self, query: _Query, now: float) -> int:
        """Count the daemons that may have long queries in flight, this one included."""
        daemons = len(self._list_daemons())
        share = int(RESERVED_SHARE * daemons)
        if now - query.queued_at < MAX_LONG_QUERY_WAIT_SECONDS:
            return max(1, daemons - max(MIN_RESERVED_DAEMONS, share))
        # Of few daemons the minimum would reserve all but one, used or not.
        return max(2, daemons - max(1, share))

    async def _send(self, daemon: str, query: _Query) -> None:
        step, timeout = query.step, query.duration + REPLY_SLACK
        message: GetAdvice = {
            "step": step.name,
            "workers": list(query.workers),
            "timeout": round(timeout / timedelta(milliseconds=1)),
        }
        sent_at = self._now()
        self._record_wait(query, sent_at - query.queued_at)
        reply = await self._peers.call(daemon, message, GetAdvice, timeout)
        del self._busy[daemon]
        self.get(step).requested.difference_update(query.workers)
        now = self._now()
        observe_latency("advice", "ask", now - sent_at)
        if isinstance(reply, Answered) and not reply.message["code"]:
            if self._paused_until.pop(daemon, None) is not None:
                _log.info("Advisor queries succeed again.", asker=daemon)
            self._store(query, reply.message, now)
        else:
            code = reply.message["code"] if isinstance(reply, Answered) else reply.code
            _log.warn(
                "An advisor query failed.",
                id=step.job.identifier,
                asker=daemon,
                reason=code,
            )
            count_retry("advice", code)
            self._paused_until[daemon] = now + FAILURE_PAUSE_SECONDS
        if step.is_completed or step.job.is_final:
            self.discard(step)
        self.dispatch()
        self._on_reply(step)

    def _record_wait(self, query: _Query, seconds: float) -> None:
        """Record how long a query has waited for a daemon."""
        observe_latency("advice", "queued", seconds)
        if seconds >= MAX_LONG_QUERY_WAIT_SECONDS:
            _log.info(
                "An advisor query has waited for a daemon.",
                id=query.step.job.identifier,
                step=query.step.number,
                seconds=round(seconds, 3),
                is_long=query.is_long,
                queued=len(self._queue),
                daemons=len(self._list_daemons()),
            )

    def _store(self, query: _Query, reply: GetAdviceReply, now: float) -> None:
        advice = self.get(query.step)
        until = now + query.timing.ticket_validity.total_seconds()
        consents = dict(reply["consents"])
        if consents and advice.answered_at is None:
            advice.answered_at = now
        queue = query.step.job.queue.name
        count = self._consent_counts.get(queue, ConsentCount())
        self._consent_counts[queue] = ConsentCount(
            count.requested + len(query.workers), count.given + len(consents)
        )
        for worker in query.workers:
            if worker in consents:
                advice.tickets[worker] = (consents[worker], until)
            else:
                advice.refused.add(worker)

    def close(self) -> None:
        """Cancel all queries."""
        for task in self._tasks:
            task.cancel()
