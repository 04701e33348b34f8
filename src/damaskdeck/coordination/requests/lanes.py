"""The targets of one service that this daemon owns, and who waits for them."""

import math
import random
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.admission import AdmissionQueue, Waiter
from damaskdeck.coordination.requests.attempts import Moved, Place, RequestContext
from damaskdeck.coordination.requests.durations import Durations
from damaskdeck.coordination.requests.health import TargetHealth
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.protocol.forwarding import ServiceLoad
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.ports import Instance

# A team's turn, as a share of the slots.
TURN_SHARE = 0.5

NOBODY: frozenset[str] = frozenset()


def name_thing(target: str) -> str:
    """Return the name by which a target is owned."""
    return f"target/{target}"


class Lane:
    """One service on one daemon.

    :param ownership: asked before each slot is filled.
    :param max_call_time: no call to a target is open for longer.
    :param queue_limit: waiters of one team and urgency class.
    :param on_room: called when slots were given to all who wait, or none is left.
    """

    def __init__(
        self,
        service: str,
        ownership: Ownership,
        clock: Clock,
        rng: random.Random,
        max_call_time: timedelta,
        queue_limit: int,
        on_room: Callable[["Lane"], None],
    ) -> None:
        self.service = service
        self.pools: dict[str, SlotPool] = {}
        self.durations = Durations()
        self.queue = AdmissionQueue(self.durations, rng, queue_limit)
        self._health: dict[str, TargetHealth] = {}
        self._ownership = ownership
        self._clock = clock
        self._random = rng
        self._longest = max_call_time
        self._on_room = on_room

    def add_pool(self, pool: SlotPool) -> None:
        """Fill the slots of a target that was gained."""
        name = pool.target.name
        self.pools[name] = pool
        self._health[name] = TargetHealth(pool, self._clock, self._random)
        self._follow_slots()

    def remove_pool(self, target: str) -> None:
        """Fill no more slots of a target; its open calls go on."""
        self._health.pop(target, None)
        if self.pools.pop(target, None) is not None:
            self._follow_slots()

    def update_target(self, target: Instance) -> None:
        """Take over what the instance list says now of an own target."""
        pool = self.pools.get(target.name)
        if pool is not None:
            pool.target = target
            self._follow_slots()

    def _follow_slots(self) -> None:
        """Let the queue follow the slots; without any, waiters look elsewhere."""
        slots = self.count_slots()
        self.queue.set_quantum(int(slots * TURN_SHARE))
        if not slots:
            for waiter in self.queue.pop_all():
                _settle(waiter, Moved())

    def count_slots(self) -> int:
        """Return how many slots the own targets have that take new work."""
        return sum(pool.capacity for pool in self.pools.values() if pool.is_open)

    def count_free(self) -> int:
        """Return how many more requests the own targets bear now."""
        free = (p.count_free() for p in self.pools.values() if p.is_open)
        return sum(count for count in free if count > 0)

    def count_room(self, ahead: float) -> int:
        """Return how many more requests find a slot within ``ahead`` seconds."""
        mean = self.durations.mean
        slots = self.count_slots()
        soon = min(math.ceil(slots * ahead / mean), slots // 8) if mean else 0
        return self.count_free() + soon - len(self.queue)

    def count_ejected(self) -> int:
        """Return how many own targets are ejected now."""
        return sum(health.until is not None for health in self._health.values())

    def read_load(self) -> ServiceLoad:
        """Return the load to tell other daemons of."""
        return ServiceLoad(
            slots=self.count_slots(),
            free=self.count_free(),
            queued=len(self.queue),
            service_time=self.durations.mean,
            targets=len(self.pools),
            ejected=self.count_ejected(),
        )

    def take(self, avoided: frozenset[str] = NOBODY) -> Place | None:
        """Take a slot on the own target with the most free ones.

        Among equals it is the one that was taken longest ago, so that few
        requests spread over all targets and their health is known.

        :param avoided: targets to leave out, unless there is no other.
        """
        pool = self._find_pool(avoided)
        if pool is None and avoided:
            pool = self._find_pool(NOBODY)
        if pool is None:
            return None
        name = pool.target.name
        self.pools[name] = self.pools.pop(name)
        return Place(pool, pool.take(self._clock.monotonic() + self._longest))

    def give_places(self) -> None:
        """Give the free slots to those who wait, the next one first."""
        while len(self.queue):
            if self._find_pool(NOBODY) is None:
                break
            waiter = self.queue.pop()
            if waiter is None:
                break
            if not waiter.future.done():
                waiter.future.set_result(self.take(waiter.avoided))
        self._on_room(self)

    def give_up(self, waiter: Waiter) -> None:
        """Refuse one that can't make its deadline any more, at once."""
        if self.queue.remove(waiter):
            count, slots = len(self.queue), self.count_slots()
            _settle(waiter, self.queue.refuse("deadline_unmeetable", count, slots))

    def make_waiter(self, course: RequestContext) -> Waiter:
        """Return a waiter for a request, with the time it needs kept back."""
        left = (course.deadline - self._clock.monotonic()).total_seconds()
        need = min(self.durations.high, max(left, 0.0) / 2)
        return Waiter(
            course.request, course.deadline, need, course.avoided, course.may_forward
        )

    def note_result(self, target: str, is_good: bool) -> TargetHealth | None:
        """Learn from a call about the health of an own target.

        :returns: the target's health when it should be ejected.
        """
        health = self._health.get(target)
        if health is None:
            return None
        if is_good:
            health.note_good()
            return None
        health.note_bad()
        return health if health.is_bad else None

    def list_returning(self) -> list[TargetHealth]:
        """List the ejected targets whose time is up."""
        now = self._clock.monotonic()
        return [
            health
            for health in self._health.values()
            if health.until is not None and health.until <= now
        ]

    def _find_pool(self, avoided: frozenset[str]) -> SlotPool | None:
        best, most = None, 0
        for name, pool in self.pools.items():
            free = pool.count_free()
            if free > most and name not in avoided and self._is_usable(pool):
                best, most = pool, free
        return best

    def _is_usable(self, pool: SlotPool) -> bool:
        name = name_thing(pool.target.name)
        return pool.is_open and self._ownership.get_epoch(name) is not None


def _settle(waiter: Waiter, place: object) -> None:
    if not waiter.future.done():
        waiter.future.set_result(place)
