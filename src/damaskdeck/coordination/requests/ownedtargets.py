"""Targets that this daemon owns: gain, loss, listing and probes."""

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
FIRST_ASSIGNMENT_DELAY = timedelta(milliseconds=10)
PROBE_INTERVAL = timedelta(milliseconds=500)
PROBE_TIMEOUT = timedelta(milliseconds=500)


class FleetReader(Protocol):
    """Read access to the instance list; ``workers.fleet.Fleet`` implements it."""

    def list(self, role: InstanceRole, zone: str = "") -> tuple[Instance, ...]:
        """List the instances of a role, of one zone or of all."""

    def get(self, name: str) -> Instance | None:
        """Return an instance by name."""

    def on_change(self, handler: Callable[..., None]) -> None:
        """Call ``handler`` whenever the list has changed."""


class OwnedTargets:
    """Keeps the lanes filled with the targets that this daemon owns.

    :param max_call_time: the longest time a request can run on a target.
    :param margin: added to it before a slot is free without an answer.
    :param queue_limit: maximum number of waiters of one team and urgency class per
        service.
    :param on_slots_available: called once all waiters of a lane have got slots, or no
        slot of it is left.
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
        on_slots_available: Callable[[Lane], None],
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
        self._max_call_time = max_call_time
        self._max_hold_time = max_call_time + margin
        self._queue_limit = queue_limit
        self._on_slots_available = on_slots_available
        self._owned_pools: dict[str, SlotPool] = {}
        self._unlisted: dict[str, int] = {}
        self._gain_tasks: set[asyncio.Task[None]] = set()
        self._handover = SlotHandover(
            members,
            ownership,
            peers,
            clock,
            max_call_time,
            margin,
            self._assign_free_slots,
        )
        ownership.on_gain(SCOPE, self._handle_gain)
        ownership.on_loss(SCOPE, self._handle_loss)
        fleet.on_change(self._handle_fleet_change)
        self._handle_fleet_change()

    async def run(self) -> None:
        """Probe ejected targets, and readmit those that answer."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            for lane in list(self.lanes.values()):
                for health in lane.list_probe_candidates():
                    await self._probe(health)

    def get_lane(self, service: str) -> Lane:
        """Return the lane of a service, even when no target of it is owned."""
        lane = self.lanes.get(service)
        if lane is None:
            lane = self.lanes[service] = Lane(
                service,
                self._ownership,
                self._clock,
                self._random,
                self._max_call_time,
                self._queue_limit,
                self._on_slots_available,
            )
        return lane

    def record_result(self, pool: SlotPool, result: Result, seconds: float) -> None:
        """Record a call that has ended, and assign its slot to the next waiter.

        :param seconds: how long the call was open.
        """
        target = pool.target
        lane = self.get_lane(target.service)
        if isinstance(result, Completed):
            lane.durations.observe(seconds)
        self.record_health(pool, result, seconds)
        if isinstance(result, NotRun) and result.code == "target_leaving":
            lane.update_target(target._replace(state=InstanceState.LEAVING))
        lane.assign_free_slots()
        if isinstance(result, AnswerLost):
            until = self._clock.monotonic() + self._max_hold_time
            self._timers.call_at(until, lane.assign_free_slots)

    def record_health(self, pool: SlotPool, result: Result, seconds: float) -> None:
        """Record a result, or a missing answer, for a target's health."""
        lane = self.get_lane(pool.target.service)
        if result == AnswerLost("timeout") and seconds < lane.durations.upper_estimate:
            return
        failing = lane.record_result(pool.target.name, not is_fault(result))
        if failing is not None and self._may_eject(lane):
            failing.eject()

    def _may_eject(self, lane: Lane) -> bool:
        others = self._loads.list_same_zone(lane.service)
        ejected = lane.count_ejected() + sum(load["ejected"] for load in others)
        targets = len(lane.pools) + sum(load["targets"] for load in others)
        return may_eject(ejected, targets)

    def _assign_free_slots(self, pool: SlotPool) -> None:
        self.get_lane(pool.target.service).assign_free_slots()

    def _handle_fleet_change(self, *_: object) -> None:
        zone = self._members.self.zone
        targets = self._fleet.list(InstanceRole.TARGET, zone)
        listed = {target.name: target for target in targets}
        for pool in self._owned_pools.values():
            last = pool.target._replace(state=InstanceState.LEAVING)
            target = pool.target = listed.get(last.name, last)
            self.get_lane(target.service).update_target(target)
        if targets:
            self._ownership.set_shards(SCOPE, tuple(listed))
        for name in [name for name in self._unlisted if name in listed]:
            gain = self._handle_gain(f"{SCOPE}/{name}", self._unlisted.pop(name))
            start_task(gain, self._gain_tasks)

    async def _handle_gain(self, shard: str, epoch: int) -> None:
        name = shard.partition("/")[2]
        target = self._fleet.get(name)
        if target is None:
            self._unlisted[name] = epoch
            return
        pool = self._owned_pools[name] = SlotPool(target, self._clock)
        await self._handover.hold_inherited(pool, epoch)
        if self._owned_pools.get(name) is not pool:
            return
        lane = self.get_lane(target.service)
        lane.add_pool(pool)
        self._timers.call_at(
            self._clock.monotonic() + FIRST_ASSIGNMENT_DELAY, lane.assign_free_slots
        )

    async def _handle_loss(self, shard: str, epoch: int) -> None:
        target = shard.partition("/")[2]
        for lane in self.lanes.values():
            lane.remove_pool(target)
        self._unlisted.pop(target, None)
        pool = self._owned_pools.pop(target, None)
        if pool is not None:
            self._handover.add_former_pool(pool, epoch)

    async def _probe(self, health: TargetHealth) -> None:
        """Readmit an ejected target when it answers a probe."""
        answer = await self._targets.probe(health.pool.target, PROBE_TIMEOUT)
        if isinstance(answer, Written):
            health.readmit()
        else:
            health.postpone_probe()
