"""To which availability zones a job is confined when it is taken.

A takeover knows what runs in the zones that it reaches. A job that was confined to
those is sure to run nowhere else, so it goes on at once; one that may run anywhere
waits for the workers that don't answer, for as long as a zone is cut off.
"""

from collections.abc import Iterable
from datetime import timedelta
from random import Random
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import has_rack_preference
from damaskdeck.coordination.pools.urgency import (
    compute_objective,
    measure_critical_path,
)
from damaskdeck.protocol.poolmessages import ReportCapacity
from damaskdeck.protocol.queues import JobSpec, Queue, StepSpec

# What the owner told longer ago says nothing about room any more; it tells it twice
# a second.
ROOM_LASTS = timedelta(seconds=2)
# Room that a job is given beyond what its widest step needs: the advisor refuses some
# workers, what is left is in pieces, and others come meanwhile.
ROOM_MARGIN = 2.0


class Room(NamedTuple):
    """Free room of an availability zone, in millicores and MiB."""

    millicores: int
    memory: int


class ZoneCapacities:
    """What the owner told of the room in each zone, on one daemon.

    :param lease: a job that can wait for the leases of workers that don't answer
        is not confined: it would only lack room sooner.
    """

    def __init__(self, clock: Clock, lease: timedelta) -> None:
        self._clock = clock
        self._lease = lease
        self._told_at = timedelta()
        self._epoch = 0
        self._pools: dict[str, dict[str, Room]] = {}

    def take(self, message: ReportCapacity) -> None:
        """Take note of what an owner tells; an older one is not heard."""
        if message["epoch"] < self._epoch:
            return
        self._epoch = message["epoch"]
        self._told_at = self._clock.monotonic()
        self._pools = {}
        for pool, zone, millicores, memory in message["zones"]:
            self._pools.setdefault(pool, {})[zone] = Room(millicores, memory)

    def choose(self, queue: Queue, identifier: str, spec: JobSpec) -> tuple[str, ...]:
        """Return the fewest zones that should hold a job; none stands for all.

        :param identifier: of the job; equal zones are chosen between by it.
        """
        rooms = self._pools.get(queue.pool, {})
        is_old = self._clock.monotonic() - self._told_at > ROOM_LASTS
        if is_old or spec.repeats or not all(map(_may_be_confined, spec.steps)):
            return ()
        slack = compute_objective(queue, spec) - measure_critical_path(spec)
        if slack > self._lease.total_seconds():
            return ()
        millicores = max(s.tasks * s.size.millicores for s in spec.steps) * ROOM_MARGIN
        memory = max(s.tasks * s.size.memory for s in spec.steps) * ROOM_MARGIN
        chosen: list[str] = []
        for zone in _shuffle(rooms, identifier):
            chosen.append(zone)
            millicores -= rooms[zone].millicores
            memory -= rooms[zone].memory
            if millicores <= 0 and memory <= 0:
                break
        is_enough = millicores <= 0 and memory <= 0
        return tuple(sorted(chosen)) if is_enough and len(chosen) < len(rooms) else ()


def _may_be_confined(step: StepSpec) -> bool:
    """Tell whether a step gains from running in few zones.

    One that lasts is better spread, and one that is choosy goes to its racks.
    """
    return not (step.is_long_running or step.label or has_rack_preference(step))


def _shuffle(rooms: dict[str, Room], identifier: str) -> list[str]:
    """Order zones at random, those with more room earlier more often."""
    random = Random(identifier)
    # Exponential times with rates of the room: the first is each zone's with the
    # share of its room, so daemons that know the same don't choose the same.
    times = {
        zone: random.expovariate(1.0) / max(1, room.millicores)
        for zone, room in sorted(rooms.items())
    }
    return sorted(times, key=lambda zone: times[zone])


def measure_zone_capacities(
    contacts: Iterable[WorkerContact], now: float
) -> list[tuple[str, str, int, int]]:
    """Return pool, zone, millicores and MiB of the free room that orders may use."""
    rooms: dict[tuple[str, str], Room] = {}
    for contact in contacts:
        key = contact.info.pool, contact.info.zone
        room = rooms.setdefault(key, Room(0, 0))
        if contact.is_usable(now):
            rooms[key] = Room(
                room.millicores + max(0, contact.free.millicores),
                room.memory + max(0, contact.free.memory),
            )
    return [(*key, *room) for key, room in sorted(rooms.items())]
