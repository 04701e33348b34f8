"""Routing of callers' requests to slots of targets, here or on another daemon."""

import asyncio
import functools
import random
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.attempts import (
    AnswerLost,
    NotRun,
    Redirect,
    RequestContext,
    Reroute,
    Result,
    TakenSlot,
)
from damaskdeck.coordination.requests.forwards import Forwarder
from damaskdeck.coordination.requests.keyed import KeyedRequests
from damaskdeck.coordination.requests.lanes import Lane
from damaskdeck.coordination.requests.loads import LoadTable, PeerChoice
from damaskdeck.coordination.requests.ownedtargets import FleetReader, OwnedTargets
from damaskdeck.coordination.requests.retries import (
    ATTEMPT_LIMIT,
    RetryBudget,
    draw_backoff,
)
from damaskdeck.coordination.requests.sending import TargetSender
from damaskdeck.coordination.requests.sharing import SlotSharing
from damaskdeck.coordination.requests.timers import Timers
from damaskdeck.defaults import (
    HEARTBEAT_INTERVAL,
    LEASE_MARGIN,
    QUEUE_LIMIT,
    REQUEST_TIMEOUT,
)
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal, count_retry, observe_wait
from damaskdeck.protocol.handlers import IdempotencyKeys, ServiceRequest
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.outcomes import (
    Completed,
    Failed,
    Outcome,
    Refused,
    Unknown,
)
from damaskdeck.protocol.ports import TargetPort

COMPONENT = "routing"
RETRY_AFTER = timedelta(seconds=1)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=5)
HOP_TIME_SECONDS = 0.001
CROSS_ZONE_HOP_TIME_SECONDS = 0.003

# A request that could wait for own slots isn't redirected any more after this many
# refusals elsewhere that cost no retry.
MAX_REDIRECTS_WITH_LOCAL_SLOTS = 2
FREE_RETRY_LIMIT = 16

# An idempotent request is retried after this many times what most requests need.
ATTEMPT_TIMEOUT_FACTOR = 4

# Refusals that would be the same on any other target or daemon.
FINAL_CODES = frozenset({"deadline_unmeetable", "queue_full", "deadline_passed"})

_log = get_logger(COMPONENT)


class Router:
    """Serves callers' requests; implements ``protocol.handlers.RequestHandler``.

    :param keys: store of idempotency keys; without it keyed requests are refused.
    :param max_call_time: the longest time a call to a target can be open; a new
        owner waits as long for calls that a dead one may have in progress.
    :param margin: added to ``max_call_time`` before a slot is free without an answer.
    :param queue_limit: maximum number of waiters of one team and urgency class per
        service.
    :param rng: a seeded generator, for the same choices in each run of a test.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        targets: TargetPort,
        fleet: FleetReader,
        clock: Clock,
        keys: IdempotencyKeys | None = None,
        max_call_time: timedelta = REQUEST_TIMEOUT,
        margin: timedelta = LEASE_MARGIN,
        rng: random.Random | None = None,
        queue_limit: int = QUEUE_LIMIT,
    ) -> None:
        self._clock = clock
        self._random = rng or random.Random()
        self._timers = Timers(clock)
        self._budget = RetryBudget()
        self._open_requests = 0
        self._is_draining = False
        self._keyed = KeyedRequests(keys, self._serve) if keys else None
        self._loads = LoadTable(members, clock, self._random)
        self._owned = OwnedTargets(
            members,
            ownership,
            peers,
            targets,
            fleet,
            clock,
            self._timers,
            self._loads,
            self._random,
            max_call_time,
            margin,
            queue_limit,
            self._offer_slots,
        )
        self._sharing = SlotSharing(
            peers,
            self._loads,
            clock,
            self._timers,
            self._owned.get_lane,
            self._random,
        )
        self._sender = TargetSender(
            ownership,
            targets,
            clock,
            max_call_time,
            margin,
            self._timers,
            self._owned.record_result,
        )
        self._forwarder = Forwarder(
            peers,
            self._loads,
            self._sharing,
            clock,
            self._owned.get_lane,
            self._serve_peer,
        )

    async def run(self) -> None:
        """Publish loads, run timers and probe targets until cancelled."""
        await asyncio.gather(self._run_reports(), self._timers.run(), self._owned.run())

    async def drain(self) -> None:
        """Accept no new requests and wait until the accepted ones have ended.

        Call it before ownership is handed over, so that requests that wait here still
        get their slots.
        """
        self._is_draining = True
        self._publish_loads()
        while self._count_open():
            await self._clock.sleep(DRAIN_POLL_INTERVAL)

    def _count_open(self) -> int:
        settling = self._keyed.settling_count if self._keyed else 0
        calls = len(self._sender.open_calls)
        return self._open_requests + calls + self._forwarder.received_count + settling

    async def handle_request(self, request: ServiceRequest) -> Outcome:
        """Serve a request; there is exactly one outcome.

        A cancelled request leaves the queue. A call that is already open
        continues, as its slot stays filled until the target answers.
        """
        context = RequestContext(request, self._clock)
        self._open_requests += 1
        try:
            serve = self._serve_keyed if request.key else self._serve
            outcome = await serve(context)
        finally:
            self._open_requests -= 1
        if isinstance(outcome, Refused):
            count_refusal(COMPONENT, outcome.code)
        return outcome

    async def _serve_keyed(self, context: RequestContext) -> Outcome:
        refused = self._refuse_early(context)
        if refused is not None:
            return refused
        if self._keyed is None:
            return Refused("keys_unsupported")
        return await self._keyed.serve(context)

    async def _serve_peer(self, context: RequestContext) -> Outcome:
        if self._is_draining:
            return Refused("draining", retry_after=RETRY_AFTER)
        return await self._serve(context)

    async def _serve(self, context: RequestContext) -> Outcome:
        """Make attempts until there is an outcome or no more attempt is allowed."""
        self._budget.earn()
        while True:
            route = self._choose_route(context)
            if route is None:
                route = await self._wait(context)
            if isinstance(route, Refused):
                return Unknown(context.lost_code) if context.lost_code else route
            if isinstance(route, Reroute):
                continue
            result = await self._attempt(route, context)
            outcome = self._decide_outcome(result, context)
            if outcome is not None:
                return outcome
            if isinstance(result, NotRun | AnswerLost):
                await self._back_off(result, context)

    def _choose_route(
        self, context: RequestContext
    ) -> TakenSlot | Redirect | Refused | None:
        """Return where a request goes now; ``None`` when it has to wait here."""
        service = context.request.service
        lane = self._owned.get_lane(service)
        if not (self._is_draining and context.may_forward):
            if not len(lane.queue):
                slot = lane.take(context.avoided)
                if slot is not None:
                    lane.queue.count_served_directly(context.request.urgency)
                    return slot
            if not context.may_forward:
                return None if lane.count_slots() else Refused("not_owner")
        return self._find_peer(context, lane)

    def _find_peer(
        self, context: RequestContext, lane: Lane
    ) -> Redirect | Refused | None:
        service = context.request.service
        remaining = (context.deadline - self._clock.monotonic()).total_seconds()
        slots = 0 if self._is_draining else lane.count_slots()
        if slots and context.free_retries >= MAX_REDIRECTS_WITH_LOCAL_SLOTS:
            return None
        choices = []
        for same_zone in (True, False):
            choice = self._loads.choose(service, context.avoided, same_zone)
            if choice is None:
                continue
            if choice.free >= 1:
                return Redirect(
                    choice.instance, _compute_wait_limit(slots, choice, remaining)
                )
            choices.append(choice)
        if slots:
            return None
        if choices:
            best = min(choices, key=_estimate_total_wait)
            return Redirect(best.instance, remaining)
        code = "draining" if self._is_draining else "no_target"
        if context.last_refusal is not None:
            code = context.last_refusal.code
        return Refused(code, retry_after=RETRY_AFTER)

    async def _wait(
        self, context: RequestContext
    ) -> TakenSlot | Redirect | Refused | Reroute:
        """Wait in the queue for a slot, here or on a daemon that offers one."""
        request = context.request
        lane = self._owned.get_lane(request.service)
        waiter = lane.make_waiter(context)
        now = self._clock.monotonic()
        slots = lane.count_slots()
        if context.wait_limit is not None:
            wait = lane.queue.estimate_wait(waiter, slots)
            if wait > context.wait_limit:
                return Refused("no_slot", retry_after=RETRY_AFTER)
        refused = lane.queue.admit(waiter, now, slots)
        if refused is not None:
            return refused
        reject_late = functools.partial(lane.reject_late, waiter)
        timer = self._timers.call_at(waiter.latest_start, reject_late)
        if context.may_forward:
            self._sharing.announce_waiting(lane)
        try:
            route = await waiter.future
        except asyncio.CancelledError:
            self._return_unused_slot(lane, waiter.future)
            lane.queue.remove(waiter)
            raise
        finally:
            timer.cancel()
        wait_time = self._clock.monotonic() - now
        observe_wait(COMPONENT, request.urgency.value, wait_time)
        return route

    def _return_unused_slot(self, lane: Lane, future: "asyncio.Future[object]") -> None:
        """Release a slot that was assigned while its caller was cancelled."""
        if not future.done() or future.cancelled():
            return
        slot = future.result()
        if isinstance(slot, TakenSlot):
            slot.pool.free(slot.number)
            lane.assign_free_slots()

    async def _attempt(
        self, route: TakenSlot | Redirect, context: RequestContext
    ) -> Result:
        if isinstance(route, Redirect):
            context.call = None
            return await self._forwarder.forward(route, context)
        context.call = self._sender.start(route, context)
        start = self._clock.monotonic()
        until = self._choose_attempt_deadline(context, start)
        result = await self._sender.wait(context.call, until)
        if not context.call.done():
            silence = (self._clock.monotonic() - start).total_seconds()
            self._owned.record_health(route.pool, result, silence)
        return result

    def _choose_attempt_deadline(
        self, context: RequestContext, now: timedelta
    ) -> timedelta:
        """Return when an attempt times out; earlier while another may be made."""
        if not context.request.idempotent or context.retries + 1 >= ATTEMPT_LIMIT:
            return context.deadline
        durations = self._owned.get_lane(context.request.service).durations
        usual = timedelta(seconds=ATTEMPT_TIMEOUT_FACTOR * durations.upper_estimate)
        return min(context.deadline, now + max(usual, (context.deadline - now) / 2))

    def _decide_outcome(
        self, result: Result, context: RequestContext
    ) -> Outcome | None:
        """Return the outcome, or ``None`` when another attempt may be made."""
        if isinstance(result, Completed | Failed):
            return result
        if isinstance(result, AnswerLost):
            context.lost_code = result.code
            if not context.request.idempotent:
                return Unknown(result.code)
        else:
            context.last_refusal = result
        if self._may_retry(result, context):
            count_retry(COMPONENT, result.code)
            return None
        if context.lost_code:
            return Unknown(context.lost_code)
        hint = result.retry_after if isinstance(result, NotRun) else None
        return Refused(result.code, retry_after=hint or RETRY_AFTER)

    def _may_retry(self, result: NotRun | AnswerLost, context: RequestContext) -> bool:
        if self._clock.monotonic() >= context.deadline:
            return False
        if isinstance(result, NotRun) and result.is_free_retry:
            context.free_retries += 1
            return context.free_retries < FREE_RETRY_LIMIT
        if isinstance(result, NotRun) and result.code in FINAL_CODES:
            return False
        if isinstance(result, AnswerLost) and not context.may_forward:
            return False
        context.retries += 1
        return context.retries < ATTEMPT_LIMIT and self._budget.spend()

    async def _back_off(
        self, result: NotRun | AnswerLost, context: RequestContext
    ) -> None:
        if isinstance(result, NotRun) and result.is_free_retry:
            return
        wait = draw_backoff(context.retries, self._random)
        remaining = context.deadline - self._clock.monotonic()
        await self._clock.sleep(min(wait, remaining))

    def _refuse_early(self, context: RequestContext) -> Refused | None:
        """Before a key is claimed, refuse a request that can't meet its deadline."""
        lane = self._owned.get_lane(context.request.service)
        slots = lane.count_slots()
        if not len(lane.queue) or not slots:
            return None
        waiter = lane.make_waiter(context)
        now = self._clock.monotonic()
        excess = lane.queue.estimate_excess(waiter, now, slots)
        if excess <= 0:
            return None
        return lane.queue.refuse("deadline_unmeetable", 0, slots, excess)

    def _offer_slots(self, lane: Lane) -> None:
        self._sharing.offer(lane)

    async def _run_reports(self) -> None:
        while True:
            self._publish_loads()
            self._loads.refresh()
            await self._clock.sleep(HEARTBEAT_INTERVAL)

    def _publish_loads(self) -> None:
        loads = {} if self._is_draining else self._owned.lanes
        self._loads.publish({name: lane.read_load() for name, lane in loads.items()})


def _compute_wait_limit(slots: int, choice: PeerChoice, remaining: float) -> float:
    """Return how many seconds a request may wait at the chosen daemon.

    :param slots: own slots, for which the request could wait here as well.
    """
    if not slots:
        return remaining
    return HOP_TIME_SECONDS if choice.is_same_zone else CROSS_ZONE_HOP_TIME_SECONDS


def _estimate_total_wait(choice: PeerChoice) -> float:
    return choice.wait + (
        HOP_TIME_SECONDS if choice.is_same_zone else CROSS_ZONE_HOP_TIME_SECONDS
    )
