"""Forwarding of requests between daemons."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.attempts import (
    ATTEMPTS_PER_HOP,
    FREE_RETRY_CODES,
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
# How long after its deadline a forwarded request is kept, to drop duplicates.
DEDUPLICATION_TIME = timedelta(seconds=1)

_URGENCIES = {urgency.value: urgency for urgency in Urgency}

# Key of a forwarded request: the peer, the identifier and the attempt.
_Key = tuple[str, str, int]
Serve = Callable[[RequestContext], Awaitable[Outcome]]


class Forwarder:
    """Forwards requests over at most one hop, and serves requests of peers.

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
        self._received: dict[_Key, asyncio.Task[Outcome] | None] = {}
        self._deadlines: deque[tuple[timedelta, _Key]] = deque()
        peers.register(ForwardRequest, self._handle_forward)
        peers.register(CancelForwardedRequest, self._handle_cancel)

    @property
    def received_count(self) -> int:
        """Number of requests of peers that are in progress here."""
        return sum(task is not None for task in self._received.values())

    async def forward(self, redirect: Redirect, context: RequestContext) -> Result:
        """Forward a request to another daemon and wait for its outcome."""
        remaining = context.deadline - self._clock.monotonic()
        if remaining <= timedelta():
            return NotRun("deadline_passed")
        instance = redirect.instance
        attempt = context.begin_attempt(instance)
        message = self._make_message(context, attempt, remaining, redirect.wait_limit)
        self._loads.count_sent(instance, context.request.service)
        context.is_sent = True
        try:
            reply = await self._peers.call(instance, message, ForwardRequest, remaining)
        except asyncio.CancelledError:
            name = context.request.identifier
            cancel = CancelForwardedRequest(identifier=name, attempt=attempt)
            self._peers.send(instance, cancel, CancelForwardedRequest)
            raise
        if isinstance(reply, Unsent):
            self._loads.mark_unavailable(instance)
            return NotRun(reply.code, is_free_retry=True)
        if not isinstance(reply, Answered):
            return AnswerLost(reply.code)
        return self._read_reply(instance, context.request, attempt, reply.message)

    def _make_message(
        self,
        context: RequestContext,
        attempt: int,
        remaining: timedelta,
        wait_limit: float,
    ) -> ForwardRequest:
        request = context.request
        return ForwardRequest(
            identifier=request.identifier,
            attempt=attempt,
            service=request.service,
            team=request.team,
            body=request.body,
            content_type=request.content_type,
            urgency=request.urgency.value,
            idempotent=request.idempotent,
            timeout=remaining.total_seconds(),
            patience=wait_limit,
            waiting=len(self._get_lane(request.service).queue),
        )

    def _read_reply(
        self, instance: str, request: ServiceRequest, attempt: int, answer: Any
    ) -> Result:
        if not answer:
            return AnswerLost("no_outcome")
        if (answer["identifier"], answer["attempt"]) != (request.identifier, attempt):
            count_drop(COMPONENT, "answer_crossed")
            return AnswerLost("answer_crossed")
        if "load" in answer:
            self._loads.record(instance, request.service, answer["load"])
        outcome = parse_outcome(answer["outcome"])
        if isinstance(outcome, Refused):
            is_free_retry = outcome.code in FREE_RETRY_CODES
            return NotRun(outcome.code, outcome.retry_after, is_free_retry)
        if isinstance(outcome, Unknown):
            return AnswerLost(outcome.code)
        return outcome

    async def _handle_forward(
        self, instance: str, message: ForwardRequest
    ) -> ForwardRequestReply | None:
        key = (instance, message["identifier"], message["attempt"])
        self._remove_old()
        if key in self._received:
            count_drop(COMPONENT, "request_doubled")
            return None
        service = message["service"]
        self._sharing.consume_offer(service)
        self._sharing.record_waiting(instance, service, message["waiting"])
        context = self._read_context(message)
        task = asyncio.ensure_future(self._serve(context))
        self._received[key] = task
        self._deadlines.append((context.deadline, key))
        try:
            outcome = await task
        except asyncio.CancelledError:
            outcome = Unknown("cancelled")
        finally:
            self._received[key] = None
        return ForwardRequestReply(
            identifier=message["identifier"],
            attempt=message["attempt"],
            outcome=build_outcome_data(outcome),
            load=self._get_lane(service).read_load(),
        )

    async def _handle_cancel(
        self, instance: str, message: CancelForwardedRequest
    ) -> None:
        key = (instance, message["identifier"], message["attempt"])
        task = self._received.get(key)
        if task is not None:
            task.cancel()

    def _remove_old(self) -> None:
        now = self._clock.monotonic()
        while self._deadlines and self._deadlines[0][0] + DEDUPLICATION_TIME < now:
            _, key = self._deadlines.popleft()
            if self._received[key] is None:
                del self._received[key]
            else:
                self._deadlines.append((now, key))

    def _read_context(self, message: ForwardRequest) -> RequestContext:
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
        base = message["attempt"] * ATTEMPTS_PER_HOP
        return RequestContext(request, self._clock, base, False, message["patience"])
