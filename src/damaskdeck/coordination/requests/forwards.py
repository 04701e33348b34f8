"""Passes requests to other daemons and takes theirs."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.attempts import (
    FREE_CODES,
    HOP_FACTOR,
    AnswerLost,
    NotRun,
    Redirect,
    RequestContext,
    Result,
)
from damaskdeck.coordination.requests.lanes import Lane
from damaskdeck.coordination.requests.loads import LoadTable
from damaskdeck.coordination.requests.sharing import SlotSharing
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.conversions import build_outcome_data, parse_outcome
from damaskdeck.protocol.forwarding import (
    CancelForwardedRequest,
    ForwardRequest,
    ForwardRequestReply,
)
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.outcomes import Outcome, Refused, Unknown
from damaskdeck.protocol.resources import Urgency

COMPONENT = "forwards"
KEPT_TIME = timedelta(seconds=1)

_URGENCIES = {urgency.value: urgency for urgency in Urgency}

# A request that a peer passed on: the peer, the identifier and the attempt.
_Key = tuple[str, str, int]
Serve = Callable[[RequestContext], Awaitable[Outcome]]


class Forwarder:
    """Passes requests on, at most one hop, and serves those that peers pass.

    :param serve: serves a request on this daemon's own targets.
    """

    def __init__(
        self,
        peers: Peers,
        loads: LoadTable,
        sharing: SlotSharing,
        clock: Clock,
        get_lane: Callable[[str], Lane],
        serve: Serve,
    ) -> None:
        self._peers = peers
        self._loads = loads
        self._sharing = sharing
        self._clock = clock
        self._get_lane = get_lane
        self._serve = serve
        self._taken: dict[_Key, asyncio.Task[Outcome] | None] = {}
        self._deadlines: deque[tuple[timedelta, _Key]] = deque()
        peers.register(ForwardRequest, self._take)
        peers.register(CancelForwardedRequest, self._cancel)

    @property
    def count_taken(self) -> int:
        """Return how many requests of peers are in progress here."""
        return sum(task is not None for task in self._taken.values())

    async def forward(self, redirect: Redirect, course: RequestContext) -> Result:
        """Pass a request to another daemon and wait for its outcome."""
        left = course.deadline - self._clock.monotonic()
        if left <= timedelta():
            return NotRun("deadline_passed")
        instance = redirect.instance
        attempt = course.begin_attempt(instance)
        message = self._write(course, attempt, left, redirect.patience)
        self._loads.count_sent(instance, course.request.service)
        course.is_sent = True
        try:
            reply = await self._peers.call(instance, message, ForwardRequest, left)
        except asyncio.CancelledError:
            name = course.request.identifier
            cancel = CancelForwardedRequest(identifier=name, attempt=attempt)
            self._peers.send(instance, cancel, CancelForwardedRequest)
            raise
        if isinstance(reply, Unsent):
            self._loads.forget(instance)
            return NotRun(reply.code, is_free=True)
        if not isinstance(reply, Answered):
            return AnswerLost(reply.code)
        return self._read(instance, course.request, attempt, reply.message)

    def _write(
        self, course: RequestContext, attempt: int, left: timedelta, patience: float
    ) -> ForwardRequest:
        request = course.request
        return ForwardRequest(
            identifier=request.identifier,
            attempt=attempt,
            service=request.service,
            team=request.team,
            body=request.body,
            content_type=request.content_type,
            urgency=request.urgency.value,
            idempotent=request.idempotent,
            timeout=left.total_seconds(),
            patience=patience,
            waiting=len(self._get_lane(request.service).queue),
        )

    def _read(
        self, instance: str, request: ServiceRequest, attempt: int, answer: Any
    ) -> Result:
        if not answer:
            return AnswerLost("no_outcome")
        if (answer["identifier"], answer["attempt"]) != (request.identifier, attempt):
            count_drop(COMPONENT, "answer_crossed")
            return AnswerLost("answer_crossed")
        if "load" in answer:
            self._loads.note(instance, request.service, answer["load"])
        outcome = parse_outcome(answer["outcome"])
        if isinstance(outcome, Refused):
            is_free = outcome.code in FREE_CODES
            return NotRun(outcome.code, outcome.retry_after, is_free)
        if isinstance(outcome, Unknown):
            return AnswerLost(outcome.code)
        return outcome

    async def _take(
        self, instance: str, message: ForwardRequest
    ) -> ForwardRequestReply | None:
        key = (instance, message["identifier"], message["attempt"])
        self._forget_old()
        if key in self._taken:
            count_drop(COMPONENT, "request_doubled")
            return None
        service = message["service"]
        self._sharing.count_arrived(service)
        self._sharing.note_waiting(instance, service, message["waiting"])
        course = self._read_course(message)
        task = asyncio.ensure_future(self._serve(course))
        self._taken[key] = task
        self._deadlines.append((course.deadline, key))
        try:
            outcome = await task
        except asyncio.CancelledError:
            outcome = Unknown("cancelled")
        finally:
            self._taken[key] = None
        return ForwardRequestReply(
            identifier=message["identifier"],
            attempt=message["attempt"],
            outcome=build_outcome_data(outcome),
            load=self._get_lane(service).read_load(),
        )

    async def _cancel(self, instance: str, message: CancelForwardedRequest) -> None:
        key = (instance, message["identifier"], message["attempt"])
        task = self._taken.get(key)
        if task is not None:
            task.cancel()

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        while self._deadlines and self._deadlines[0][0] + KEPT_TIME < now:
            _, key = self._deadlines.popleft()
            if self._taken[key] is None:
                del self._taken[key]
            else:
                self._deadlines.append((now, key))

    def _read_course(self, message: ForwardRequest) -> RequestContext:
        request = ServiceRequest(
            message["identifier"],
            message["service"],
            message["team"],
            message["body"],
            timedelta(seconds=message["timeout"]),
            message["content_type"],
            urgency=_URGENCIES.get(message["urgency"], Urgency.NORMAL),
            idempotent=message["idempotent"],
        )
        base = message["attempt"] * HOP_FACTOR
        return RequestContext(request, self._clock, base, False, message["patience"])
