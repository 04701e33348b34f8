"""Capacity reserved for gangs: EASY backfilling on the workers that they may run on.

A gang needs all its capacity at one moment. In a full pool capacity is freed in pieces
that other steps take at once, so a wide gang would wait until the load ends. Therefore
the workers that will first have enough free capacity are reserved for the gang. Until
it can start, other steps may start only tasks there that will have ended by then.
"""

import bisect
import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple

from damaskdeck.coordination.pools.availability import (
    Availability,
    CapacityForecast,
)
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import count_fitting
from damaskdeck.state.pooljobs import Step

# Share of the workers that may be reserved at a time; the most urgent gang alone may
# have twice that. Reserved workers are half idle: with a half instead of a quarter of
# 270 workers, 1,100 instead of 560 of 4,320 cores were idle, and gangs and other steps
# started later.
RESERVED_SHARE = 0.25
FIRST_RESERVED_SHARE = 0.5
# A gang may be spread over this many times the workers that could hold it alone. With
# fewer workers, less capacity is idle until the last of them is free, and the gang
# waits little longer.
SPREAD_FACTOR = 1.5
# Reserved workers are exchanged for others only if the gang should start earlier there
# by more than this.
MIN_GAIN_SECONDS = 0.5


class Reservation(NamedTuple):
    """Workers that are reserved for a step.

    :param starts_at: when the step should find its capacity there, in monotonic
        seconds.
    """

    step: Step
    workers: frozenset[str]
    starts_at: float


class Reservations:
    """All reservations, by gang and by worker.

    :param forecast: When the runs of workers should end.
    """

    def __init__(self, forecast: CapacityForecast) -> None:
        self._forecast = forecast
        self._steps: dict[str, Reservation] = {}
        self._workers: dict[str, Reservation] = {}

    def find(self, worker: str) -> Reservation | None:
        """Return the reservation of a worker, ``None`` if it has none."""
        return self._workers.get(worker)

    def get(self, step: Step) -> Reservation | None:
        """Return the reservation of a step, ``None`` if it has none."""
        return self._steps.get(step.name)

    def list_workers(self, step: Step) -> frozenset[str]:
        """Return the workers that are reserved for a step."""
        reservation = self._steps.get(step.name)
        return reservation.workers if reservation is not None else frozenset()

    def may_use(self, worker: str, step: Step, now: float) -> bool:
        """Whether a step may start on a worker without delaying its reservation."""
        reservation = self._workers.get(worker)
        if reservation is None or reservation.step is step:
            return True
        spec = step.spec
        if spec.is_long_running:
            return False
        return now + spec.estimate.total_seconds() <= reservation.starts_at

    def release(self, step: Step) -> None:
        """Release the reservation of a step."""
        reservation = self._steps.pop(step.name, None)
        for worker in reservation.workers if reservation is not None else ():
            del self._workers[worker]

    def retain(self, names: Iterable[str]) -> None:
        """Release the reservations of all other steps."""
        for name in self._steps.keys() - set(names):
            self.release(self._steps[name].step)

    def reserve(
        self,
        step: Step,
        contacts: list[WorkerContact],
        fleet_size: int,
        now: float,
    ) -> None:
        """Reserve the workers that will first have capacity for a gang.

        Workers that are reserved for it already stay reserved unless others will have
        the capacity much earlier: others would take what has become free on workers
        that are released.

        :param contacts: the workers that the gang may run on.
        :param fleet_size: the number of workers of its pool.
        """
        existing = self._steps.get(step.name)
        self.release(step)
        eligible = [c for c in contacts if c.info.identifier not in self._workers]
        kept = self._keep(existing, eligible, now) if existing is not None else None
        if kept is not None and kept.starts_at - now <= MIN_GAIN_SECONDS:
            self._add(kept)
            return
        found = self._find(step, eligible, fleet_size, now)
        if kept is not None and (
            found is None or found.starts_at > kept.starts_at - MIN_GAIN_SECONDS
        ):
            found = kept
        if found is not None:
            self._add(found)

    def _add(self, reservation: Reservation) -> None:
        self._steps[reservation.step.name] = reservation
        self._workers.update(dict.fromkeys(reservation.workers, reservation))

    def _find(
        self, step: Step, eligible: list[WorkerContact], fleet_size: int, now: float
    ) -> Reservation | None:
        """Return the earliest reservation on workers without one."""
        max_per_worker = max(
            (count_fitting(step.spec, c.info.size) for c in eligible), default=0
        )
        if not max_per_worker:
            return None
        reserved = len(self._workers)
        share = RESERVED_SHARE if reserved else FIRST_RESERVED_SHARE
        limit = min(
            math.ceil(SPREAD_FACTOR * len(step.tasks) / max_per_worker),
            int(share * fleet_size) - reserved,
        )
        availabilities = sorted(
            availability
            for contact in eligible
            for availability in self._forecast.list_availabilities(
                step.spec, contact, now
            )
        )
        count_needed = bisect.bisect_left(
            range(len(availabilities) + 1),
            True,
            key=lambda count: bool(
                _choose_workers(availabilities[:count], len(step.tasks), limit)
            ),
        )
        if count_needed > len(availabilities):
            return None
        chosen = _choose_workers(availabilities[:count_needed], len(step.tasks), limit)
        return Reservation(step, frozenset(chosen), availabilities[count_needed - 1].at)

    def _keep(
        self, existing: Reservation, eligible: list[WorkerContact], now: float
    ) -> Reservation | None:
        """Return a reservation with its expected start as of now.

        The result is ``None`` if its workers can't hold the gang any more.
        """
        step = existing.step
        contacts = [c for c in eligible if c.info.identifier in existing.workers]
        starts_at = self._forecast.find_start(step, len(step.tasks), contacts, now)
        if starts_at is None:
            return None
        return Reservation(step, existing.workers, starts_at)


def _choose_workers(
    availabilities: list[Availability], needed: int, limit: int
) -> list[str]:
    """Return the fewest workers that hold the needed tasks, none if above the limit."""
    capacities = {
        availability.worker: availability.tasks for availability in availabilities
    }
    chosen: list[str] = []
    for worker in heapq.nlargest(limit, capacities, key=lambda name: capacities[name]):
        chosen.append(worker)
        needed -= capacities[worker]
        if needed <= 0:
            return chosen
    return []
