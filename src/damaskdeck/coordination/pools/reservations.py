"""Capacity reserved for gangs: EASY backfilling on the workers that they may run on.

A gang needs all its capacity at one moment. In a full pool capacity is freed in pieces
that other steps take at once, so a wide gang would wait until the load ends. Therefore
the workers that will first have enough free capacity are reserved for the gang. Until
it can start, other steps may start only tasks there that will have ended by then.
"""

import bisect
import heapq
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import count_fitting
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import add_sizes
from damaskdeck.state.pooljobs import Run, Step

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
# Nothing is reserved in a pool with a smaller used share, as its capacity suffices for
# all steps.
CONTENDED_SHARE = 0.6


EstimateRemaining = Callable[[Run, float], float]


class Reservation(NamedTuple):
    """Workers that are reserved for a step.

    :param starts_at: when the step should find its capacity there, in monotonic
        seconds.
    """

    step: Step
    workers: frozenset[str]
    starts_at: float


class _Availability(NamedTuple):
    at: float
    worker: str
    tasks: int


class Reservations:
    """All reservations, by gang and by worker.

    :param estimate_remaining: Returns the seconds until a run ends at a given time.
    """

    def __init__(self, estimate_remaining: EstimateRemaining) -> None:
        self._estimate_remaining = estimate_remaining
        self._steps: dict[str, Reservation] = {}
        self._workers: dict[str, Reservation] = {}

    def find(self, worker: str) -> Reservation | None:
        """Return the reservation of a worker, ``None`` if it has none."""
        return self._workers.get(worker)

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
        fleet: list[WorkerContact],
        now: float,
    ) -> None:
        """Reserve the workers that will first have capacity for a gang.

        :param contacts: the workers that the gang may run on.
        :param fleet: all workers of its pool.
        """
        self.release(step)
        eligible = [c for c in contacts if c.info.identifier not in self._workers]
        max_per_worker = max(
            (count_fitting(step.spec, c.info.size) for c in eligible), default=0
        )
        if not max_per_worker:
            return
        reserved = sum(contact.info.identifier in self._workers for contact in fleet)
        share = RESERVED_SHARE if reserved else FIRST_RESERVED_SHARE
        limit = min(
            math.ceil(SPREAD_FACTOR * len(step.tasks) / max_per_worker),
            int(share * len(fleet)) - reserved,
        )
        availabilities = sorted(
            availability
            for contact in eligible
            for availability in _list_availabilities(
                step, contact, now, self._estimate_remaining
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
            return
        chosen = _choose_workers(availabilities[:count_needed], len(step.tasks), limit)
        reservation = Reservation(
            step, frozenset(chosen), availabilities[count_needed - 1].at
        )
        self._steps[step.name] = reservation
        self._workers.update(dict.fromkeys(chosen, reservation))


def _choose_workers(
    availabilities: list[_Availability], needed: int, limit: int
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


def is_contended(contacts: Iterable[WorkerContact]) -> bool:
    """Whether a pool uses so much of its processors that gangs may lack capacity."""
    total = used = 0
    for contact in contacts:
        total += contact.info.size.millicores
        used += contact.used.millicores
    return used > CONTENDED_SHARE * total


def _list_availabilities(
    step: Step,
    contact: WorkerContact,
    now: float,
    estimate_remaining: EstimateRemaining,
) -> list[_Availability]:
    """List how many tasks of a step a worker can hold as its runs end."""
    spec: StepSpec = step.spec
    name, free = contact.info.identifier, contact.free
    tasks = count_fitting(spec, free)
    availabilities = [_Availability(now, name, tasks)] if tasks else []
    ends = _list_run_ends(contact, now, estimate_remaining)
    for at, run in sorted(ends, key=lambda end: end[0]):
        free = add_sizes(free, run.task.step.spec.size)
        fitting = count_fitting(spec, free)
        if fitting > tasks:
            tasks = fitting
            availabilities.append(_Availability(at, name, tasks))
    return availabilities


def _list_run_ends(
    contact: WorkerContact, now: float, estimate_remaining: EstimateRemaining
) -> list[tuple[float, Run]]:
    return [
        (now + max(0.0, estimate_remaining(run, now)), run)
        for run in contact.runs.values()
        if not run.task.step.spec.is_long_running
    ]
