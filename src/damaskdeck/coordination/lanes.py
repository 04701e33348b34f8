"""The targets of one service that this daemon owns, and who waits for them."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.slots import SlotPool
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.ports import Instance, InstanceState


class Place(NamedTuple):
    """A slot taken on an own target.

    :param number: to give the slot back by.
    """

    pool: SlotPool
    number: int


def name_thing(target: str) -> str:
    """Return the name by which a target is owned."""
    return f"target/{target}"


class Lane:
    """One service on one daemon.

    :param ownership: asked before each slot is filled.
    """

    def __init__(self, service: str, ownership: Ownership, clock: Clock) -> None:
        self.service = service
        self.pools: dict[str, SlotPool] = {}
        self._ownership = ownership
        self._clock = clock

    def add_pool(self, pool: SlotPool) -> None:
        """Fill the slots of a target that was gained."""
        self.pools[pool.target.name] = pool

    def remove_pool(self, target: str) -> SlotPool | None:
        """Fill no more slots of a target; its open calls go on."""
        return self.pools.pop(target, None)

    def update_target(self, target: Instance) -> None:
        """Take over what the instance list says now of an own target."""
        pool = self.pools.get(target.name)
        if pool is not None:
            pool.target = target

    def count_slots(self) -> int:
        """Return how many slots the own targets have that take new work."""
        return sum(pool.capacity for pool in self.pools.values() if _is_open(pool))

    def count_free(self) -> int:
        """Return how many more requests the own targets bear now."""
        free = (p.count_free() for p in self.pools.values() if _is_open(p))
        return sum(count for count in free if count > 0)

    def take(
        self, deadline: timedelta, avoided: frozenset[str] = frozenset()
    ) -> Place | None:
        """Take a slot on the own target with the most free ones.

        :param deadline: when the call ends at the latest.
        :param avoided: targets that refused or lost this request before.
        """
        found = self._rank(lambda name: name not in avoided)
        for pool in found or self._rank(lambda name: True):
            if self._ownership.get_epoch(name_thing(pool.target.name)) is not None:
                return Place(pool, pool.take(deadline))
        return None

    def _rank(self, accepts: Callable[[str], bool]) -> list[SlotPool]:
        pools = [
            pool
            for name, pool in self.pools.items()
            if accepts(name) and _is_open(pool) and pool.count_free() > 0
        ]
        pools.sort(key=lambda pool: -pool.count_free())
        return pools


def _is_open(pool: SlotPool) -> bool:
    return pool.target.state is InstanceState.LIVE
