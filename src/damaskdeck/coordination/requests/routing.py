"""Routes callers' requests to slots of targets, here or at another daemon."""

import asyncio
import functools
import random
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.attempts import (
    AnswerLost,
    Moved,
    NotRun,
    Place,
    Redirect,
    RequestContext,
    Result,
)
from damaskdeck.coordination.requests.forwards import Forwarder
from damaskdeck.coordination.requests.keyed import KeyedRequests
from damaskdeck.coordination.requests.lanes import Lane
from damaskdeck.coordination.requests.loads import Choice, LoadTable
from damaskdeck.coordination.requests.owned import FleetReader, OwnedTargets
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
RETRY_HINT = timedelta(seconds=1)
TICK = timedelta(milliseconds=5)
HOP_TIME = 0.001
FAR_HOP_TIME = 0.003

# How often a request with own slots to wait for is taken elsewhere in vain.
SEEK_LIMIT = 2
BOUNCE_LIMIT = 16

# An idempotent request is tried again after so many times what most need.
SILENCE_FACTOR = 4

# Refusals that no other place would answer otherwise.
FINAL_CODES = frozenset({"deadline_unmeetable", "queue_full", "deadline_passed"})

_log = get_logger(COMPONENT)


class Router:
    """Answers callers' requests; implements ``protocol.handlers.RequestHandler``.

    :param keys: remembers idempotency keys; without it keyed requests are refused.
    :param max_call_time: no call to a target is open for longer; a new owner waits as
        long for what a dead one may have in progress.
    :param margin: added to ``max_call_time`` where a slot must be free without an
        answer.
    :param queue_limit: waiters of one team and urgency class for a service.
    :param rng: seeded, for the same choices in each run of a test.
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
        self._open = 0
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
            self._offer,
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
            self._owned.note_result,
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
        """Publish loads, refuse what has become hopeless and probe targets."""
        await asyncio.gather(self._run_reports(), self._timers.run(), self._owned.run())

    async def drain(self) -> None:
        """Take no new requests and wait until the accepted ones have ended.

        Call it before ownership is handed over, so that those which wait here
        still get their slots.
        """
        self._is_draining = True
        self._publish_loads()
        while self._count_open():
            await self._clock.sleep(TICK)

    def _count_open(self) -> int:
        settling = self._keyed.count_settling if self._keyed else 0
        calls = len(self._sender.open_calls)
        return self._open + calls + self._forwarder.count_taken + settling

    async def handle_request(self, request: ServiceRequest) -> Outcome:
        """Serve a request; there is exactly one outcome.

        Cancelling the task gives up its place in the queue. A call that is open
        already goes on, as its slot stays filled until the target answers.
        """
        course = RequestContext(request, self._clock)
        self._open += 1
        try:
            serve = self._serve_keyed if request.key else self._serve
            outcome = await serve(course)
        finally:
            self._open -= 1
        if isinstance(outcome, Refused):
            count_refusal(COMPONENT, outcome.code)
        return outcome

    async def _serve_keyed(self, course: RequestContext) -> Outcome:
        refused = self._refuse_early(course)
        if refused is not None:
            return refused
        if self._keyed is None:
            return Refused("keys_unsupported")
        return await self._keyed.serve(course)

    async def _serve_peer(self, course: RequestContext) -> Outcome:
        if self._is_draining:
            return Refused("draining", retry_after=RETRY_HINT)
        return await self._serve(course)

    async def _serve(self, course: RequestContext) -> Outcome:
        """Make attempts until one of them, or their end, decides the outcome."""
        self._budget.earn()
        while True:
            place = self._choose_route(course)
            if place is None:
                place = await self._wait(course)
            if isinstance(place, Refused):
                return Unknown(course.lost) if course.lost else place
            if isinstance(place, Moved):
                continue
            result = await self._attempt(place, course)
            outcome = self._judge(result, course)
            if outcome is not None:
                return outcome
            if isinstance(result, NotRun | AnswerLost):
                await self._back_off(result, course)

    def _choose_route(
        self, course: RequestContext
    ) -> Place | Redirect | Refused | None:
        """Decide where a request goes now; ``None`` when it is to wait here."""
        service = course.request.service
        lane = self._owned.get_lane(service)
        if not (self._is_draining and course.may_forward):
            if not len(lane.queue):
                place = lane.take(course.avoided)
                if place is not None:
                    lane.queue.count_served_directly(course.request.urgency)
                    return place
            if not course.may_forward:
                return None if lane.count_slots() else Refused("not_owner")
        return self._find_peer(course, lane)

    def _find_peer(
        self, course: RequestContext, lane: Lane
    ) -> Redirect | Refused | None:
        service = course.request.service
        left = (course.deadline - self._clock.monotonic()).total_seconds()
        slots = 0 if self._is_draining else lane.count_slots()
        if slots and course.bounced >= SEEK_LIMIT:
            return None
        choices = []
        for near in (True, False):
            choice = self._loads.choose(service, course.avoided, near)
            if choice is None:
                continue
            if choice.free >= 1:
                return Redirect(choice.instance, _allow_wait(slots, choice, left))
            choices.append(choice)
        if slots:
            return None
        if choices:
            best = min(choices, key=_weigh)
            return Redirect(best.instance, left)
        code = "draining" if self._is_draining else "no_target"
        if course.last is not None:
            code = course.last.code
        return Refused(code, retry_after=RETRY_HINT)

    async def _wait(self, course: RequestContext) -> Place | Redirect | Refused | Moved:
        """Wait in the queue for a slot, here or wherever one is offered."""
        request = course.request
        lane = self._owned.get_lane(request.service)
        waiter = lane.make_waiter(course)
        now = self._clock.monotonic()
        slots = lane.count_slots()
        if course.patience is not None:
            wait = lane.queue.estimate_wait(waiter, slots)
            if wait > course.patience:
                return Refused("no_slot", retry_after=RETRY_HINT)
        refused = lane.queue.admit(waiter, now, slots)
        if refused is not None:
            return refused
        give_up = functools.partial(lane.give_up, waiter)
        timer = self._timers.call_at(waiter.give_up, give_up)
        if course.may_forward:
            self._sharing.tell_waiting(lane)
        try:
            place = await waiter.future
        except asyncio.CancelledError:
            self._abandon(lane, waiter.future)
            lane.queue.remove(waiter)
            raise
        finally:
            timer.cancel()
        wait_time = self._clock.monotonic() - now
        observe_wait(COMPONENT, request.urgency.value, wait_time)
        return place

    def _abandon(self, lane: Lane, future: "asyncio.Future[object]") -> None:
        """Give back a place that came while its caller went."""
        if not future.done() or future.cancelled():
            return
        place = future.result()
        if isinstance(place, Place):
            place.pool.free(place.number)
            lane.give_places()

    async def _attempt(self, place: Place | Redirect, course: RequestContext) -> Result:
        if isinstance(place, Redirect):
            course.call = None
            return await self._forwarder.forward(place, course)
        course.call = self._sender.start(place, course)
        start = self._clock.monotonic()
        until = self._choose_patience(course, start)
        result = await self._sender.wait(course.call, until)
        if not course.call.done():
            silence = (self._clock.monotonic() - start).total_seconds()
            self._owned.note_health(place.pool, result, silence)
        return result

    def _choose_patience(self, course: RequestContext, now: timedelta) -> timedelta:
        """Return when an attempt is given up; earlier while another may be made."""
        if not course.request.idempotent or course.retries + 1 >= ATTEMPT_LIMIT:
            return course.deadline
        durations = self._owned.get_lane(course.request.service).durations
        ample = timedelta(seconds=SILENCE_FACTOR * durations.high)
        return min(course.deadline, now + max(ample, (course.deadline - now) / 2))

    def _judge(self, result: Result, course: RequestContext) -> Outcome | None:
        """Return the outcome, or ``None`` when another attempt may be made."""
        if isinstance(result, Completed | Failed):
            return result
        if isinstance(result, AnswerLost):
            course.lost = result.code
            if not course.request.idempotent:
                return Unknown(result.code)
        else:
            course.last = result
        if self._may_retry(result, course):
            count_retry(COMPONENT, result.code)
            return None
        if course.lost:
            return Unknown(course.lost)
        hint = result.retry_after if isinstance(result, NotRun) else None
        return Refused(result.code, retry_after=hint or RETRY_HINT)

    def _may_retry(self, result: NotRun | AnswerLost, course: RequestContext) -> bool:
        if self._clock.monotonic() >= course.deadline:
            return False
        if isinstance(result, NotRun) and result.is_free:
            course.bounced += 1
            return course.bounced < BOUNCE_LIMIT
        if isinstance(result, NotRun) and result.code in FINAL_CODES:
            return False
        if isinstance(result, AnswerLost) and not course.may_forward:
            return False
        course.retries += 1
        return course.retries < ATTEMPT_LIMIT and self._budget.spend()

    async def _back_off(
        self, result: NotRun | AnswerLost, course: RequestContext
    ) -> None:
        if isinstance(result, NotRun) and result.is_free:
            return
        wait = draw_backoff(course.retries, self._random)
        left = course.deadline - self._clock.monotonic()
        await self._clock.sleep(min(wait, left))

    def _refuse_early(self, course: RequestContext) -> Refused | None:
        """Refuse what can't make its deadline before a key is claimed for it."""
        lane = self._owned.get_lane(course.request.service)
        slots = lane.count_slots()
        if not len(lane.queue) or not slots:
            return None
        waiter = lane.make_waiter(course)
        now = self._clock.monotonic()
        excess = lane.queue.estimate_excess(waiter, now, slots)
        if excess <= 0:
            return None
        return lane.queue.refuse("deadline_unmeetable", 0, slots, excess)

    def _offer(self, lane: Lane) -> None:
        self._sharing.offer(lane)

    async def _run_reports(self) -> None:
        while True:
            self._publish_loads()
            self._loads.refresh()
            await self._clock.sleep(HEARTBEAT_INTERVAL)

    def _publish_loads(self) -> None:
        loads = {} if self._is_draining else self._owned.lanes
        self._loads.publish({name: lane.read_load() for name, lane in loads.items()})


def _allow_wait(slots: int, choice: Choice, left: float) -> float:
    """Return how long a request may wait at the daemon that was chosen.

    :param slots: own slots, for which it could wait here as well.
    """
    if not slots:
        return left
    return HOP_TIME if choice.is_near else FAR_HOP_TIME


def _weigh(choice: Choice) -> float:
    return choice.wait + (HOP_TIME if choice.is_near else FAR_HOP_TIME)
