"""Capacity that is being freed, held for the steps that it is freed for.

A stop frees capacity only once the end of the run is listed. Until its step starts,
other steps get only what is free on a worker beyond the hold.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskdeck.coordination.places.preemption import Claim, ClaimedCapacity
from damaskdeck.coordination.pools.candidates import Candidate
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import has_rack_preference
from damaskdeck.protocol.sizes import (
    ZERO_SIZE,
    Size,
    add_sizes,
    fits,
    subtract_sizes,
)
from damaskdeck.state.pooljobs import Run, Step
from damaskdeck.state.quotas import scale_size


class Hold(NamedTuple):
    """Capacity that is held for a step.

    :ivar tasks: how many of its tasks each worker is to hold.
    :ivar until: when the hold is released at the latest, in monotonic seconds.
    """

    step: Step
    tasks: dict[str, int]
    until: float


class _LimitedCandidate(Candidate):
    """A candidate whose free capacity is partly held for another step."""

    __slots__ = ("free",)

    def __init__(self, candidate: Candidate, free: Size) -> None:
        for name in Candidate.__slots__:
            setattr(self, name, getattr(candidate, name))
        self.free = free


class Holds:
    """All holds, by step and worker, and the runs that are stopped for them."""

    def __init__(self) -> None:
        self._holds: dict[str, Hold] = {}
        self._victims: dict[str, dict[Run, Claim]] = {}
        self._held = ClaimedCapacity()
        # What the victims use that have not ended yet.
        self._ending = ClaimedCapacity()

    def find(self, step: Step) -> Hold | None:
        """Return the hold of a step, ``None`` if it has none."""
        return self._holds.get(step.name)

    def list_workers(self, step: Step) -> frozenset[str]:
        """Return the workers on which capacity is held for a step."""
        hold = self._holds.get(step.name)
        return frozenset(hold.tasks) if hold is not None else frozenset()

    def is_held_for_other(self, worker: str, step: Step) -> bool:
        """Whether capacity of a worker is held for another step."""
        return any(
            worker in hold.tasks
            for hold in self._holds.values()
            if hold.step is not step
        )

    def find_capacity(self, contact: WorkerContact, step: Step) -> Size:
        """Return what is free for a step on a worker once all victims have ended."""
        ending = self._ending.get(contact.info.identifier)
        return add_sizes(self._find_free(contact, step), ending)

    def _find_free(self, contact: WorkerContact, step: Step) -> Size:
        worker = contact.info.identifier
        others = self._held.get(worker)
        if step.name in self._holds:
            others = subtract_sizes(others, self._get_own(worker, step))
        return subtract_sizes(contact.free, others)

    def limit(self, step: Step, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates with the capacity that a step may use now.

        Those on which nothing is left for a task are left out, except for steps with a
        rack preference, for which they show the racks.
        """
        if not self._held:
            return candidates
        keeps_all = has_rack_preference(step.spec)
        limited = []
        for candidate in candidates:
            if candidate.key in self._held:
                free = self._find_free(candidate.contact, step)
                if not keeps_all and not fits(step.spec.size, free):
                    continue
                candidate = _LimitedCandidate(candidate, free)
            limited.append(candidate)
        return limited

    def _get_own(self, worker: str, step: Step) -> Size:
        hold = self._holds.get(step.name)
        tasks = hold.tasks.get(worker, 0) if hold is not None else 0
        return scale_size(step.spec.size, tasks) if tasks else ZERO_SIZE

    def add(self, hold: Hold, victims: Iterable[Run]) -> None:
        """Add the hold of a step, which replaces an earlier one."""
        self.release(hold.step)
        self._holds[hold.step.name] = hold
        for worker, tasks in hold.tasks.items():
            self._held.adjust(_make_claim(hold.step, worker, tasks), 1)
        for run in victims:
            claim = Claim(run.worker, run.task.step.spec.size)
            self._victims.setdefault(run.worker, {})[run] = claim
            self._ending.adjust(claim, 1)

    def release(self, step: Step) -> None:
        """Release the hold of a step: what its victims free is then for all steps."""
        hold = self._holds.pop(step.name, None)
        for worker, tasks in hold.tasks.items() if hold is not None else ():
            self._held.adjust(_make_claim(step, worker, tasks), -1)

    def record_start(self, step: Step, workers: Iterable[str]) -> None:
        """Reduce the hold of a step by the tasks that were ordered."""
        hold = self._holds.get(step.name)
        if hold is None:
            return
        for worker in workers:
            if worker in hold.tasks:
                self._reduce(hold, worker, 1)
        if not hold.tasks or step.spec.is_gang:
            self.release(step)

    def _reduce(self, hold: Hold, worker: str, tasks: int) -> None:
        self._held.adjust(_make_claim(hold.step, worker, tasks), -1)
        hold.tasks[worker] -= tasks
        if not hold.tasks[worker]:
            del hold.tasks[worker]

    def refresh(self, contact: WorkerContact) -> None:
        """Count the victims of a worker that have ended as free capacity."""
        victims = self._victims.get(contact.info.identifier, {})
        for run in list(victims):
            if (run.task.name, run.attempt) not in contact.runs:
                self._ending.adjust(victims.pop(run), -1)

    def sweep(
        self, contacts: dict[str, WorkerContact], now: float
    ) -> list[tuple[Step, str]]:
        """Release the holds whose time has passed or that have lost a worker.

        :returns: the steps with the reason, ``hold_expired`` or ``worker_lost``.
        """
        for worker in list(self._victims):
            self._sweep_victims(worker, contacts.get(worker))
        released = []
        for hold in list(self._holds.values()):
            reason = "hold_expired" if now >= hold.until else ""
            found = [contacts.get(worker) for worker in hold.tasks]
            if any(c is None or not c.is_synchronized for c in found):
                reason = "worker_lost"
            if reason:
                self.release(hold.step)
                released.append((hold.step, reason))
        return released

    def _sweep_victims(self, worker: str, contact: WorkerContact | None) -> None:
        if contact is not None:
            self.refresh(contact)
        else:
            for claim in self._victims[worker].values():
                self._ending.adjust(claim, -1)
            self._victims[worker].clear()
        if not self._victims[worker]:
            del self._victims[worker]


def _make_claim(step: Step, worker: str, tasks: int) -> Claim:
    return Claim(worker, scale_size(step.spec.size, tasks))
