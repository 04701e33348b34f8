"""Routes callers' requests to slots of targets, here or at another daemon."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from damaskdeck.clock import Clock
from damaskdeck.coordination.lanes import Lane, Place, name_thing
from damaskdeck.coordination.slots import SlotPool
from damaskdeck.defaults import LEASE_MARGIN, REQUEST_TIMEOUT
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, count_refusal, count_retry
from damaskdeck.protocol.forwarding import (
    ForwardOutcome,
    ForwardRequest,
    read_outcome,
    write_outcome,
)
from damaskdeck.protocol.handlers import KeyMemory, ServiceRequest
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.outcomes import (
    Completed,
    Failed,
    Outcome,
    Refused,
    Unknown,
)
from damaskdeck.protocol.ports import (
    Instance,
    InstanceRole,
    Lost,
    Rejected,
    TargetAnswer,
    TargetCall,
    TargetPort,
)
from damaskdeck.protocol.resources import Urgency

PART = "routing"
RETRY_HINT = timedelta(seconds=1)
ATTEMPT_LIMIT = 3

_log = get_logger(PART)


class FleetReader(Protocol):
    """What the instance list says, as :mod:`coordination.fleet` keeps it."""

    def list(self, role: InstanceRole, zone: str = "") -> tuple[Instance, ...]:
        """List the instances of a role, of one zone or of all."""

    def get(self, name: str) -> Instance | None:
        """Return an instance by name."""

    def on_change(self, handler: Callable[..., None]) -> None:
        """Call ``handler`` whenever the list has changed."""


class NotRun(NamedTuple):
    """An attempt is proved to have run nothing; another may be made."""

    code: str


class Gone(NamedTuple):
    """An attempt's answer is lost; the request may have run."""

    code: str


class Router:
    """Answers callers' requests; implements ``protocol.handlers.RequestHandler``.

    :param keys: remembers idempotency keys; without it keyed requests are refused.
    :param longest: no call to a target is open for longer; a new owner waits as
        long for what a dead one may have in progress.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        targets: TargetPort,
        fleet: FleetReader,
        clock: Clock,
        keys: KeyMemory | None = None,
        longest: timedelta = REQUEST_TIMEOUT,
        margin: timedelta = LEASE_MARGIN,
        chooser: random.Random | None = None,
    ) -> None:
        self._members = members
        self._ownership = ownership
        self._peers = peers
        self._targets = targets
        self._fleet = fleet
        self._clock = clock
        self._keys = keys
        self._longest = longest
        self._margin = margin
        self._random = chooser or random.Random()
        self._lanes: dict[str, Lane] = {}
        self._calls: set[asyncio.Task[Any]] = set()
        peers.register(ForwardRequest, self._take_forward)
        ownership.on_gain("target", self._gain)
        ownership.on_loss("target", self._lose)
        fleet.on_change(self._read_fleet)
        self._read_fleet()

    async def handle_request(self, request: ServiceRequest) -> Outcome:
        """Serve a request; there is exactly one outcome."""
        deadline = self._clock.monotonic() + request.timeout
        outcome = await self._serve(request, deadline, may_forward=True)
        if isinstance(outcome, Refused):
            count_refusal(PART, outcome.code)
        return outcome

    async def _serve(
        self, request: ServiceRequest, deadline: timedelta, may_forward: bool
    ) -> Outcome:
        avoided: set[str] = set()
        lost = ""
        code = "no_slot"
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            result = await self._attempt(
                request, attempt, deadline, avoided, may_forward
            )
            if isinstance(result, Gone):
                lost = result.code
                if not request.idempotent:
                    break
            elif isinstance(result, NotRun):
                code = result.code
            else:
                return result
            count_retry(PART, result.code)
        if lost:
            return Unknown(lost)
        return Refused(code, retry_after=RETRY_HINT)

    async def _attempt(
        self,
        request: ServiceRequest,
        attempt: int,
        deadline: timedelta,
        avoided: set[str],
        may_forward: bool,
    ) -> Outcome | NotRun | Gone:
        lane = self._get_lane(request.service)
        place = lane.take(deadline, frozenset(avoided))
        if place is not None:
            avoided.add(place.pool.target.name)
            return await self._call_target(place, request, attempt, deadline)
        if may_forward:
            for name in self._list_owners(request.service):
                if name not in avoided:
                    avoided.add(name)
                    return await self._forward(name, request, attempt, deadline)
        return Refused("no_slot", retry_after=RETRY_HINT)

    def _list_owners(self, service: str) -> list[str]:
        zone = self._members.self.zone
        near, far = set(), set()
        for target in self._fleet.list(InstanceRole.TARGET):
            if target.service != service:
                continue
            owner = self._ownership.find_owner(name_thing(target.name))
            if owner is not None and self._members.is_live(owner.instance):
                (near if target.zone == zone else far).add(owner.instance)
        near.discard(self._members.self.name)
        first, second = sorted(near), sorted(far - near)
        self._random.shuffle(first)
        self._random.shuffle(second)
        return first + second

    async def _call_target(
        self, place: Place, request: ServiceRequest, attempt: int, deadline: timedelta
    ) -> Outcome | NotRun | Gone:
        task = asyncio.ensure_future(self._send(place, request, attempt, deadline))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return await asyncio.shield(task)

    async def _send(
        self, place: Place, request: ServiceRequest, attempt: int, deadline: timedelta
    ) -> Outcome | NotRun | Gone:
        pool = place.pool
        target = pool.target
        timeout = min(deadline - self._clock.monotonic(), self._longest)
        owned = self._ownership.get_epoch(name_thing(target.name)) is not None
        if not owned or timeout <= timedelta():
            pool.free(place.number)
            return NotRun("deadline_passed" if owned else "not_owner")
        call = TargetCall(
            request.identifier, attempt, request.body, request.content_type
        )
        until = self._clock.monotonic() + timeout + self._margin
        try:
            answer = await self._targets.send(target, call, timeout)
        except BaseException:
            pool.hold(place.number, until)
            raise
        if isinstance(answer, Rejected):
            pool.free(place.number)
            return NotRun(answer.code)
        if isinstance(answer, Lost):
            pool.hold(place.number, until)
            return Gone(answer.code)
        if (answer.request, answer.attempt) != (call.request, call.attempt):
            pool.hold(place.number, until)
            count_drop(PART, "answer_crossed")
            return Gone("answer_crossed")
        pool.free(place.number)
        return _read_answer(answer)

    async def _forward(
        self, instance: str, request: ServiceRequest, attempt: int, deadline: timedelta
    ) -> Outcome | NotRun | Gone:
        left = deadline - self._clock.monotonic()
        if left <= timedelta():
            return NotRun("deadline_passed")
        message = ForwardRequest(
            identifier=request.identifier,
            attempt=attempt,
            service=request.service,
            team=request.team,
            body=request.body,
            content_type=request.content_type,
            urgency=request.urgency.value,
            idempotent=request.idempotent,
            timeout=left.total_seconds(),
        )
        reply = await self._peers.call(instance, message, ForwardRequest, left)
        if isinstance(reply, Unsent):
            return NotRun(reply.code)
        if not isinstance(reply, Answered):
            return Gone(reply.code)
        answer = reply.message
        if (answer["identifier"], answer["attempt"]) != (request.identifier, attempt):
            count_drop(PART, "answer_crossed")
            return Gone("answer_crossed")
        outcome = read_outcome(answer)
        return NotRun(outcome.code) if isinstance(outcome, Refused) else outcome

    async def _take_forward(
        self, instance: str, message: ForwardRequest
    ) -> ForwardOutcome:
        request = ServiceRequest(
            message["identifier"],
            message["service"],
            message["team"],
            message["body"],
            timedelta(seconds=message["timeout"]),
            message["content_type"],
            urgency=Urgency(message["urgency"]),
            idempotent=message["idempotent"],
        )
        deadline = self._clock.monotonic() + request.timeout
        outcome = await self._serve(request, deadline, may_forward=False)
        return write_outcome(message["identifier"], message["attempt"], outcome)

    def _get_lane(self, service: str) -> Lane:
        lane = self._lanes.get(service)
        if lane is None:
            lane = self._lanes[service] = Lane(service, self._ownership, self._clock)
        return lane

    def _read_fleet(self, *_: object) -> None:
        zone = self._members.self.zone
        targets = self._fleet.list(InstanceRole.TARGET, zone)
        for target in targets:
            self._get_lane(target.service).update_target(target)
        self._ownership.set_things("target", tuple(t.name for t in targets))

    async def _gain(self, thing: str, epoch: int) -> None:
        target = self._fleet.get(thing.partition("/")[2])
        if target is None:
            return
        pool = SlotPool(target, self._clock)
        if epoch > 1:
            until = self._clock.monotonic() + self._longest + self._margin
            pool.inherit((until,) * pool.capacity)
        self._get_lane(target.service).add_pool(pool)

    async def _lose(self, thing: str, epoch: int) -> None:
        for lane in self._lanes.values():
            lane.remove_pool(thing.partition("/")[2])


def _read_answer(answer: TargetAnswer) -> Outcome:
    if answer.status >= 500:
        return Failed(f"status_{answer.status}")
    return Completed(answer.body, answer.content_type)
