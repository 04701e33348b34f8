"""The advisor's verdicts: who asks, in which order, and what is remembered.

The advisor handles one call at a time for each calling instance, so the owner
spreads its questions over all daemons, short ones first, and leaves a part of the
daemons to the short ones.
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

# Workers that a question may name.
QUESTION_LIMIT = 100
# A ticket is used only if it lasts so much longer, for the way to the worker.
TICKET_MARGIN_SECONDS = 0.15
# A question that takes longer may not have all daemons.
LONG_QUESTION_SECONDS = 0.15
# How many daemons long questions leave alone at least, and which share of them.
RESERVED_ASKERS = 2
RESERVED_SHARE = 0.15
# Beyond what the advisor needs, for the ways between daemon and advisor.
ANSWER_SLACK = timedelta(milliseconds=700)
FAILURE_PAUSE_SECONDS = 0.5

_log = get_logger("advising")


class StepAdvice:
    """What is known of one step.

    :ivar tickets: by worker: ticket and until when it is good, monotonic seconds.
    :ivar refused: workers that may not run the step.
    :ivar asked: workers that a question names that is waiting or on its way.
    :ivar complete_until: nothing has to be asked before this time.
    """

    __slots__ = ("asked", "complete_until", "refused", "tickets")

    def __init__(self) -> None:
        self.tickets: dict[str, tuple[str, float]] = {}
        self.refused: set[str] = set()
        self.asked: set[str] = set()
        self.complete_until = 0.0

    def list_tickets(self, now: float, among: Iterable[str] | None) -> list[str]:
        """List the workers with a ticket that lasts long enough.

        :param among: whom to list; all when ``None``.
        """
        limit = now + TICKET_MARGIN_SECONDS
        tickets = self.tickets
        if among is None:
            return [worker for worker, (_, until) in tickets.items() if until > limit]
        none = ("", 0.0)
        return [worker for worker in among if tickets.get(worker, none)[1] > limit]

    def discard_ticket(self, worker: str) -> None:
        """Forget a ticket that was turned down; the verdict stays."""
        ticket, _ = self.tickets.get(worker, ("", 0.0))
        if ticket:
            self.tickets[worker] = (ticket, 0.0)
            self.complete_until = 0.0


class Consents(NamedTuple):
    """How many workers the advisor was asked about for a queue, and consented to.

    The first guess is a half, which a few answers outweigh.
    """

    asked: int = 4
    given: int = 2

    @property
    def share(self) -> float:
        """The share of workers that may run a step, above 0."""
        return max(self.given, 1) / self.asked


class _Question(NamedTuple):
    step: Step
    workers: tuple[str, ...]
    terms: AdvisorTiming

    @property
    def duration(self) -> timedelta:
        """What the advisor needs for it."""
        return self.terms.base + self.terms.per_worker * len(self.workers)


class AdviceScheduler:
    """Asks for verdicts through all daemons; lives as long as an owner's mandate.

    :param list_askers: names of the daemons that are up.
    :param wake: called with the step that an answer has come about, or none will.
    """

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        list_askers: Callable[[], list[str]],
        wake: Callable[[Step], None],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._list_askers = list_askers
        self._wake = wake
        self._verdicts: dict[str, StepAdvice] = {}
        self._consents: dict[str, Consents] = {}
        self._queue: list[tuple[float, int, _Question]] = []
        self._numbers = itertools.count()
        self._busy: dict[str, bool] = {}
        self._paused: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def get(self, step: Step) -> StepAdvice:
        """Return what is known of a step."""
        found = self._verdicts.get(step.name)
        if found is None:
            found = self._verdicts[step.name] = StepAdvice()
        return found

    def discard(self, step: Step) -> None:
        """Drop what is known of a step that needs no start any more."""
        self._verdicts.pop(step.name, None)

    def ask(self, step: Step, workers: list[str], urgency: float) -> None:
        """Queue a question.

        :param workers: at most :data:`QUESTION_LIMIT`.
        :param urgency: lower is asked first.
        """
        terms = step.job.queue.advice
        if not workers or terms is None:
            return
        self.get(step).asked.update(workers)
        question = _Question(step, tuple(workers[:QUESTION_LIMIT]), terms)
        entry = (urgency, next(self._numbers), question)
        heapq.heappush(self._queue, entry)
        self.dispatch()

    def count_free(self) -> int:
        """Count the daemons that could ask now, beyond the questions that wait."""
        now = self._clock.monotonic().total_seconds()
        free = sum(self._is_free(name, now) for name in self._list_askers())
        return max(0, free - len(self._queue))

    def find_consents(self, step: Step) -> Consents:
        """Return how often the advisor consents to workers for a step's queue."""
        return self._consents.get(step.job.queue.name, Consents())

    def dispatch(self) -> None:
        """Give waiting questions to daemons that have none."""
        left = []
        while self._queue:
            entry = heapq.heappop(self._queue)
            question = entry[2]
            if question.step.job.is_final or question.step.is_completed:
                self.get(question.step).asked.difference_update(question.workers)
                continue
            asker = self._find_asker(question)
            if asker is None:
                left.append(entry)
                if self._find_free() is None:
                    break
                continue
            self._busy[asker] = question.duration.total_seconds() > (
                LONG_QUESTION_SECONDS
            )
            start_task(self._send(asker, question), self._tasks)
        for entry in left:
            heapq.heappush(self._queue, entry)

    def _find_free(self) -> str | None:
        now = self._clock.monotonic().total_seconds()
        names = (name for name in self._list_askers() if self._is_free(name, now))
        return next(names, None)

    def _is_free(self, name: str, now: float) -> bool:
        return name not in self._busy and self._paused.get(name, 0.0) <= now

    def _find_asker(self, question: _Question) -> str | None:
        if question.duration.total_seconds() > LONG_QUESTION_SECONDS:
            long, askers = sum(self._busy.values()), len(self._list_askers())
            reserved = max(RESERVED_ASKERS, int(RESERVED_SHARE * askers))
            if long >= max(1, askers - reserved):
                return None
        return self._find_free()

    async def _send(self, asker: str, question: _Question) -> None:
        step, timeout = question.step, question.duration + ANSWER_SLACK
        message: GetAdvice = {
            "step": step.name,
            "workers": list(question.workers),
            "timeout": round(timeout / timedelta(milliseconds=1)),
        }
        sent = self._clock.monotonic().total_seconds()
        reply = await self._peers.call(asker, message, GetAdvice, timeout)
        del self._busy[asker]
        self.get(step).asked.difference_update(question.workers)
        now = self._clock.monotonic().total_seconds()
        observe_latency("advice", "ask", now - sent)
        if isinstance(reply, Answered) and not reply.message["code"]:
            if self._paused.pop(asker, None) is not None:
                _log.info("Advice comes again.", asker=asker)
            self._take(question, reply.message, now)
        else:
            code = reply.message["code"] if isinstance(reply, Answered) else reply.code
            _log.warn("No advice.", id=step.job.identifier, asker=asker, reason=code)
            count_retry("advice", code)
            self._paused[asker] = now + FAILURE_PAUSE_SECONDS
        self.dispatch()
        self._wake(step)

    def _take(self, question: _Question, reply: GetAdviceReply, now: float) -> None:
        step_advice = self.get(question.step)
        until = now + question.terms.ticket_validity.total_seconds()
        consents = dict(reply["consents"])
        queue = question.step.job.queue.name
        known = self._consents.get(queue, Consents())
        self._consents[queue] = Consents(
            known.asked + len(question.workers), known.given + len(consents)
        )
        for worker in question.workers:
            if worker in consents:
                step_advice.tickets[worker] = (consents[worker], until)
            else:
                step_advice.refused.add(worker)

    def close(self) -> None:
        """Stop asking."""
        for task in self._tasks:
            task.cancel()
