"""Room kept for gangs: EASY backfilling over the workers that they may run on.

A gang needs all its room at one moment. In a full pool room comes back in pieces, and
whoever needs a piece takes it, so a wide gang would wait until the load is over. The
workers from which its room will come first are kept for it: until it can start, others
get only what will have ended by then.
"""

import bisect
import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.departures import measure_rest
from damaskdeck.coordination.pools.planning import count_fitting
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import add_sizes
from damaskdeck.state.pooljobs import Run, Step

# So much of the workers may be kept at a time; the most urgent gang alone may have
# twice that. What is kept stands half empty: with a half in place of a quarter of 270
# workers, 1,100 in place of 560 of 4,320 cores did, and gangs and others started later.
KEPT_SHARE = 0.25
FIRST_SHARE = 0.5
# A gang's room may be spread over so many times the workers that would hold it alone:
# fewer are idle while the last of it comes, and the gang waits little longer.
SPREAD = 1.5
# In a pool of which less is used nothing is kept: there is room for all.
CROWDED_SHARE = 0.6


class Reservation(NamedTuple):
    """Workers that are kept for a step.

    :param starts_at: when it should find its room there, monotonic seconds.
    """

    step: Step
    workers: frozenset[str]
    starts_at: float


class _Opening(NamedTuple):
    at: float
    worker: str
    tasks: int


class Reservations:
    """What is kept for which gang."""

    def __init__(self) -> None:
        self._steps: dict[str, Reservation] = {}
        self._workers: dict[str, Reservation] = {}

    def find(self, worker: str) -> Reservation | None:
        """Return the reservation that a worker is kept for."""
        return self._workers.get(worker)

    def list_workers(self, step: Step) -> frozenset[str]:
        """Return the workers that are kept for a step."""
        kept = self._steps.get(step.name)
        return kept.workers if kept is not None else frozenset()

    def may_use(self, worker: str, step: Step, now: float) -> bool:
        """Whether a step may start on a worker without delaying whom it is kept for."""
        kept = self._workers.get(worker)
        if kept is None or kept.step is step:
            return True
        spec = step.spec
        if spec.is_long_running:
            return False
        return now + spec.estimate.total_seconds() <= kept.starts_at

    def release(self, step: Step) -> None:
        """Keep nothing for a step any more."""
        kept = self._steps.pop(step.name, None)
        for worker in kept.workers if kept is not None else ():
            del self._workers[worker]

    def retain(self, names: Iterable[str]) -> None:
        """Drop the reservations of all other steps."""
        for name in self._steps.keys() - set(names):
            self.release(self._steps[name].step)

    def reserve(
        self,
        step: Step,
        contacts: list[WorkerContact],
        fleet: list[WorkerContact],
        now: float,
    ) -> None:
        """Keep the workers from which a gang's room will come first.

        :param contacts: those that it may run on.
        :param fleet: all workers of its pool.
        """
        self.release(step)
        able = [c for c in contacts if c.info.identifier not in self._workers]
        most = max((count_fitting(step.spec, c.info.size) for c in able), default=0)
        if not most:
            return
        kept = sum(contact.info.identifier in self._workers for contact in fleet)
        share = KEPT_SHARE if kept else FIRST_SHARE
        limit = min(
            math.ceil(SPREAD * len(step.tasks) / most),
            int(share * len(fleet)) - kept,
        )
        openings = sorted(
            opening
            for contact in able
            for opening in _list_openings(step, contact, now)
        )
        first = bisect.bisect_left(
            range(len(openings) + 1),
            True,
            key=lambda count: bool(_choose(openings[:count], len(step.tasks), limit)),
        )
        if first > len(openings):
            return
        chosen = _choose(openings[:first], len(step.tasks), limit)
        reservation = Reservation(step, frozenset(chosen), openings[first - 1].at)
        self._steps[step.name] = reservation
        self._workers.update(dict.fromkeys(chosen, reservation))


def _choose(openings: list[_Opening], needed: int, limit: int) -> list[str]:
    """Return the fewest workers that hold so many tasks; none if more than a limit."""
    rooms = {opening.worker: opening.tasks for opening in openings}
    chosen: list[str] = []
    for worker in heapq.nlargest(limit, rooms, key=lambda name: rooms[name]):
        chosen.append(worker)
        needed -= rooms[worker]
        if needed <= 0:
            return chosen
    return []


def is_contended(contacts: Iterable[WorkerContact]) -> bool:
    """Whether so much of a pool's processors is used that gangs may lack room."""
    total = used = 0
    for contact in contacts:
        total += contact.info.size.millicores
        used += contact.used.millicores
    return used > CROWDED_SHARE * total


def _list_openings(step: Step, contact: WorkerContact, now: float) -> list[_Opening]:
    """List when a worker will hold how many tasks of a step, as its runs end."""
    spec: StepSpec = step.spec
    name, room = contact.info.identifier, contact.free
    tasks = count_fitting(spec, room)
    openings = [_Opening(now, name, tasks)] if tasks else []
    for at, run in sorted(_list_ends(contact, now), key=lambda end: end[0]):
        room = add_sizes(room, run.task.step.spec.size)
        fitting = count_fitting(spec, room)
        if fitting > tasks:
            tasks = fitting
            openings.append(_Opening(at, name, tasks))
    return openings


def _list_ends(contact: WorkerContact, now: float) -> list[tuple[float, Run]]:
    return [
        (now + max(0.0, measure_rest(run, now)), run)
        for run in contact.runs.values()
        if not run.task.step.spec.is_long_running
    ]
