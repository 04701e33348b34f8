"""The availability zones that a job is confined to when it is accepted.

After a takeover the new owner knows what runs in the zones that it can reach. A job
that is confined to these zones can't run anywhere else, so it continues at once. While
a zone is cut off, a job that may run anywhere has to wait for the workers that don't
answer.
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

# An older report says nothing about the free capacity any more. The owner sends one
# twice a second.
CAPACITY_MAX_AGE = timedelta(seconds=2)
# A job's zones should have this multiple of the capacity that its widest step needs,
# because the advisor refuses some workers, free capacity is fragmented and other jobs
# arrive in the meantime.
CAPACITY_MARGIN = 2.0


class ZoneCapacity(NamedTuple):
    """The free capacity of an availability zone in millicores and MiB."""

    millicores: int
    memory: int


class ZoneCapacities:
    """The free capacity of each zone, as the owner last reported it to this daemon.

    :param lease: The duration of a worker's lease. A job that can wait this long for
        workers that don't answer is not confined, because it would only run out of
        capacity sooner.
    """

    def __init__(self, clock: Clock, lease: timedelta) -> None:
        self._clock = clock
        self._lease = lease
        self._reported_at = timedelta()
        self._epoch = 0
        self._pools: dict[str, dict[str, ZoneCapacity]] = {}

    def update(self, message: ReportCapacity) -> None:
        """Store the report of an owner, unless a newer owner has reported before."""
        if message["epoch"] < self._epoch:
            return
        self._epoch = message["epoch"]
        self._reported_at = self._clock.monotonic()
        self._pools = {}
        for pool, zone, millicores, memory in message["zones"]:
            self._pools.setdefault(pool, {})[zone] = ZoneCapacity(millicores, memory)

    def choose(self, queue: Queue, identifier: str, spec: JobSpec) -> tuple[str, ...]:
        """Return the fewest zones that should hold a job, empty for all zones.

        :param identifier: The identifier of the job, which seeds the choice between
            zones.
        """
        zones = self._pools.get(queue.pool, {})
        is_old = self._clock.monotonic() - self._reported_at > CAPACITY_MAX_AGE
        if is_old or spec.repeats or not all(map(_may_be_confined, spec.steps)):
            return ()
        slack = compute_objective(queue, spec) - measure_critical_path(spec)
        if slack > self._lease.total_seconds():
            return ()
        millicores = (
            max(s.tasks * s.size.millicores for s in spec.steps) * CAPACITY_MARGIN
        )
        memory = max(s.tasks * s.size.memory for s in spec.steps) * CAPACITY_MARGIN
        chosen: list[str] = []
        for zone in _shuffle(zones, identifier):
            chosen.append(zone)
            millicores -= zones[zone].millicores
            memory -= zones[zone].memory
            if millicores <= 0 and memory <= 0:
                break
        is_enough = millicores <= 0 and memory <= 0
        return tuple(sorted(chosen)) if is_enough and len(chosen) < len(zones) else ()


def _may_be_confined(step: StepSpec) -> bool:
    """Whether a step benefits from running in few zones.

    A long-running step is better spread over zones, and a step with a rack preference
    goes to its racks.
    """
    return not (step.is_long_running or step.label or has_rack_preference(step))


def _shuffle(zones: dict[str, ZoneCapacity], identifier: str) -> list[str]:
    """Order zones at random, weighted by their free capacity."""
    random = Random(identifier)
    # The times are exponentially distributed with the capacities as rates. A zone
    # comes first with a probability equal to its share of the capacity, so that
    # daemons with the same report don't all choose the same zone.
    times = {
        zone: random.expovariate(1.0) / max(1, capacity.millicores)
        for zone, capacity in sorted(zones.items())
    }
    return sorted(times, key=lambda zone: times[zone])


def measure_zone_capacities(
    contacts: Iterable[WorkerContact], now: float
) -> list[tuple[str, str, int, int]]:
    """Return pool, zone and the free millicores and MiB that orders may use there."""
    capacities: dict[tuple[str, str], ZoneCapacity] = {}
    for contact in contacts:
        key = contact.info.pool, contact.info.zone
        capacity = capacities.setdefault(key, ZoneCapacity(0, 0))
        if contact.is_usable(now):
            capacities[key] = ZoneCapacity(
                capacity.millicores + max(0, contact.free.millicores),
                capacity.memory + max(0, contact.free.memory),
            )
    return [(*key, *capacity) for key, capacity in sorted(capacities.items())]
