"""The owned targets of one service, and the requests that wait for them."""

import math
import random
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.admission import AdmissionQueue, Waiter
from damaskdeck.coordination.requests.attempts import RequestContext, Reroute, TakenSlot
from damaskdeck.coordination.requests.durations import Durations
from damaskdeck.coordination.requests.health import TargetHealth
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.protocol.forwarding import ServiceLoad
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.ports import Instance

# A team's turn in the queue, as a share of the slots.
TEAM_TURN_SHARE = 0.5

NO_TARGETS: frozenset[str] = frozenset()


def name_shard(target: str) -> str:
    """Return the name of a target's shard."""
    return f"target/{target}"


class Lane:
    """One service on one daemon: its owned targets and its queue.

    :param ownership: checked before each slot is filled.
    :param max_call_time: the longest time a call to a target can be open.
    :param queue_limit: maximum number of waiters of one team and urgency class.
    :param on_slots_available: called once all waiters have got slots, or no slot is
        left.
    """

    def __init__(
        self,
        service: str,
        ownership: Ownership,
        clock: Clock,
        rng: random.Random,
        max_call_time: timedelta,
        queue_limit: int,
        on_slots_available: Callable[["Lane"], None],
    ) -> None:
        self.service = service
        self.pools: dict[str, SlotPool] = {}
        self.durations = Durations()
        self.queue = AdmissionQueue(self.durations, rng, queue_limit)
        self._health: dict[str, TargetHealth] = {}
        self._ownership = ownership
        self._clock = clock
        self._random = rng
        self._max_call_time = max_call_time
        self._on_slots_available = on_slots_available

    def add_pool(self, pool: SlotPool) -> None:
        """Start to fill the slots of a target that was gained."""
        name = pool.target.name
        self.pools[name] = pool
        self._health[name] = TargetHealth(pool, self._clock, self._random)
        self._update_slots()

    def remove_pool(self, target: str) -> None:
        """Fill no more slots of a target; its open calls continue."""
        self._health.pop(target, None)
        if self.pools.pop(target, None) is not None:
            self._update_slots()

    def update_target(self, target: Instance) -> None:
        """Apply a change of an owned target in the instance list."""
        pool = self.pools.get(target.name)
        if pool is not None:
            pool.target = target
            self._update_slots()

    def _update_slots(self) -> None:
        """Adapt the queue to the slots; without any, waiters choose another route."""
        slots = self.count_slots()
        self.queue.set_quantum(int(slots * TEAM_TURN_SHARE))
        if not slots:
            for waiter in self.queue.pop_all():
                _resolve(waiter, Reroute())

    def count_slots(self) -> int:
        """Return how many slots the owned targets have that accept new work."""
        return sum(pool.capacity for pool in self.pools.values() if pool.is_open)

    def count_free(self) -> int:
        """Return how many more requests the owned targets can run now."""
        free = (p.count_free() for p in self.pools.values() if p.is_open)
        return sum(count for count in free if count > 0)

    def count_available(self, ahead: float) -> int:
        """Return how many more requests would get a slot within ``ahead`` seconds."""
        mean = self.durations.mean
        slots = self.count_slots()
        soon = min(math.ceil(slots * ahead / mean), slots // 8) if mean else 0
        return self.count_free() + soon - len(self.queue)

    def count_ejected(self) -> int:
        """Return how many owned targets are ejected."""
        return sum(health.ejected_until is not None for health in self._health.values())

    def read_load(self) -> ServiceLoad:
        """Return the load to publish to other daemons."""
        return ServiceLoad(
            slots=self.count_slots(),
            free=self.count_free(),
            queued=len(self.queue),
            service_time=self.durations.mean,
            targets=len(self.pools),
            ejected=self.count_ejected(),
        )

    def take(self, avoided: frozenset[str] = NO_TARGETS) -> TakenSlot | None:
        """Take a slot on the owned target that has the most free ones.

        Among equals, the target that was chosen least recently is taken, so that few
        requests spread over all targets and keep their health known.

        :param avoided: targets to leave out unless there is no other.
        """
        pool = self._find_pool(avoided)
        if pool is None and avoided:
            pool = self._find_pool(NO_TARGETS)
        if pool is None:
            return None
        name = pool.target.name
        self.pools[name] = self.pools.pop(name)
        return TakenSlot(pool, pool.take(self._clock.monotonic() + self._max_call_time))

    def assign_free_slots(self) -> None:
        """Assign the free slots to waiters in their order."""
        while len(self.queue):
            if self._find_pool(NO_TARGETS) is None:
                break
            waiter = self.queue.pop()
            if waiter is None:
                break
            if not waiter.future.done():
                waiter.future.set_result(self.take(waiter.avoided))
        self._on_slots_available(self)

    def reject_late(self, waiter: Waiter) -> None:
        """Refuse a waiter that can no longer meet its deadline."""
        if self.queue.remove(waiter):
            count, slots = len(self.queue), self.count_slots()
            _resolve(waiter, self.queue.refuse("deadline_unmeetable", count, slots))

    def make_waiter(self, context: RequestContext) -> Waiter:
        """Return a waiter for a request, with reserved time for its call."""
        remaining = (context.deadline - self._clock.monotonic()).total_seconds()
        reserved_time = min(self.durations.upper_estimate, max(remaining, 0.0) / 2)
        return Waiter(
            context.request,
            context.deadline,
            reserved_time,
            context.avoided,
            context.may_forward,
        )

    def record_result(self, target: str, is_good: bool) -> TargetHealth | None:
        """Record a call's result for the health of an owned target.

        :returns: the target's health when it should be ejected.
        """
        health = self._health.get(target)
        if health is None:
            return None
        if is_good:
            health.record_success()
            return None
        health.record_failure()
        return health if health.should_eject else None

    def list_probe_candidates(self) -> list[TargetHealth]:
        """List the ejected targets whose ejection time is over."""
        now = self._clock.monotonic()
        return [
            health
            for health in self._health.values()
            if health.ejected_until is not None and health.ejected_until <= now
        ]

    def _find_pool(self, avoided: frozenset[str]) -> SlotPool | None:
        best, most = None, 0
        for name, pool in self.pools.items():
            free = pool.count_free()
            if free > most and name not in avoided and self._is_usable(pool):
                best, most = pool, free
        return best

    def _is_usable(self, pool: SlotPool) -> bool:
        name = name_shard(pool.target.name)
        return pool.is_open and self._ownership.get_epoch(name) is not None


def _resolve(waiter: Waiter, result: object) -> None:
    if not waiter.future.done():
        waiter.future.set_result(result)
