"""The targets that this daemon owns: gained, lost, listed and probed."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.attempts import AnswerLost, NotRun, Result
from damaskdeck.coordination.requests.handover import SlotHandover
from damaskdeck.coordination.requests.health import TargetHealth, may_eject
from damaskdeck.coordination.requests.lanes import Lane
from damaskdeck.coordination.requests.loads import LoadTable
from damaskdeck.coordination.requests.sending import is_fault
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.coordination.requests.timers import Timers
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.outcomes import Completed
from damaskdeck.protocol.ports import (
    Instance,
    InstanceRole,
    InstanceState,
    TargetPort,
    Written,
)

SCOPE = "target"
GAIN_TIME = timedelta(milliseconds=10)
PROBE_INTERVAL = timedelta(milliseconds=500)
PROBE_TIMEOUT = timedelta(milliseconds=500)


class FleetReader(Protocol):
    """What the instance list says, as ``coordination.fleet`` keeps it."""

    def list(self, role: InstanceRole, zone: str = "") -> tuple[Instance, ...]:
        """List the instances of a role, of one zone or of all."""

    def get(self, name: str) -> Instance | None:
        """Return an instance by name."""

    def on_change(self, handler: Callable[..., None]) -> None:
        """Call ``handler`` whenever the list has changed."""


class OwnedTargets:
    """Fills lanes with the targets that ownership gives to this daemon.

    :param max_call_time: no request runs on a target for longer.
    :param margin: added to it where a slot must be free without an answer.
    :param queue_limit: waiters of one team and urgency class for a service.
    :param on_room: called when slots of a lane were given to all who wait.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        targets: TargetPort,
        fleet: FleetReader,
        clock: Clock,
        timers: Timers,
        loads: LoadTable,
        rng: random.Random,
        max_call_time: timedelta,
        margin: timedelta,
        queue_limit: int,
        on_room: Callable[[Lane], None],
    ) -> None:
        self.lanes: dict[str, Lane] = {}
        self._members = members
        self._ownership = ownership
        self._targets = targets
        self._fleet = fleet
        self._clock = clock
        self._timers = timers
        self._loads = loads
        self._random = rng
        self._longest = max_call_time
        self._hold = max_call_time + margin
        self._queue_limit = queue_limit
        self._on_room = on_room
        self._gained: dict[str, SlotPool] = {}
        self._unlisted: dict[str, int] = {}
        self._gains: set[asyncio.Task[None]] = set()
        self._handover = SlotHandover(
            members, ownership, peers, clock, max_call_time, margin, self._give_places
        )
        ownership.on_gain(SCOPE, self._gain)
        ownership.on_loss(SCOPE, self._lose)
        fleet.on_change(self._read_fleet)
        self._read_fleet()

    async def run(self) -> None:
        """Probe ejected targets, and let those return that live."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            for lane in list(self.lanes.values()):
                for health in lane.list_returning():
                    await self._probe(health)

    def get_lane(self, service: str) -> Lane:
        """Return the lane of a service, also when no target of it is owned."""
        lane = self.lanes.get(service)
        if lane is None:
            lane = self.lanes[service] = Lane(
                service,
                self._ownership,
                self._clock,
                self._random,
                self._longest,
                self._queue_limit,
                self._on_room,
            )
        return lane

    def note_result(self, pool: SlotPool, result: Result, seconds: float) -> None:
        """Learn from a call that has ended, and give its slot to the next.

        :param seconds: how long the call was open.
        """
        target = pool.target
        lane = self.get_lane(target.service)
        if isinstance(result, Completed):
            lane.durations.observe(seconds)
        self.note_health(pool, result, seconds)
        if isinstance(result, NotRun) and result.code == "target_leaving":
            lane.update_target(target._replace(state=InstanceState.LEAVING))
        lane.give_places()
        if isinstance(result, AnswerLost):
            until = self._clock.monotonic() + self._hold
            self._timers.call_at(until, lane.give_places)

    def note_health(self, pool: SlotPool, result: Result, seconds: float) -> None:
        """Learn from a result, or from silence, about a target's health."""
        lane = self.get_lane(pool.target.service)
        if result == AnswerLost("timeout") and seconds < lane.durations.high:
            return
        bad = lane.note_result(pool.target.name, not is_fault(result))
        if bad is not None and self._may_eject(lane):
            bad.eject()

    def _may_eject(self, lane: Lane) -> bool:
        others = self._loads.list_near(lane.service)
        ejected = lane.count_ejected() + sum(load["ejected"] for load in others)
        targets = len(lane.pools) + sum(load["targets"] for load in others)
        return may_eject(ejected, targets)

    def _give_places(self, pool: SlotPool) -> None:
        self.get_lane(pool.target.service).give_places()

    def _read_fleet(self, *_: object) -> None:
        zone = self._members.self.zone
        targets = self._fleet.list(InstanceRole.TARGET, zone)
        listed = {target.name: target for target in targets}
        for pool in self._gained.values():
            last = pool.target._replace(state=InstanceState.LEAVING)
            target = pool.target = listed.get(last.name, last)
            self.get_lane(target.service).update_target(target)
        if targets:
            self._ownership.set_shards(SCOPE, tuple(listed))
        for name in [name for name in self._unlisted if name in listed]:
            gain = self._gain(f"{SCOPE}/{name}", self._unlisted.pop(name))
            start_task(gain, self._gains)

    async def _gain(self, shard: str, epoch: int) -> None:
        name = shard.partition("/")[2]
        target = self._fleet.get(name)
        if target is None:
            self._unlisted[name] = epoch
            return
        pool = self._gained[name] = SlotPool(target, self._clock)
        await self._handover.fill(pool, epoch)
        if self._gained.get(name) is not pool:
            return
        lane = self.get_lane(target.service)
        lane.add_pool(pool)
        self._timers.call_at(self._clock.monotonic() + GAIN_TIME, lane.give_places)

    async def _lose(self, shard: str, epoch: int) -> None:
        target = shard.partition("/")[2]
        for lane in self.lanes.values():
            lane.remove_pool(target)
        self._unlisted.pop(target, None)
        pool = self._gained.pop(target, None)
        if pool is not None:
            self._handover.keep(pool, epoch)

    async def _probe(self, health: TargetHealth) -> None:
        """Let an ejected target come back when it says that it lives."""
        answer = await self._targets.probe(health.pool.target, PROBE_TIMEOUT)
        if isinstance(answer, Written):
            health.bring_back()
        else:
            health.postpone()
