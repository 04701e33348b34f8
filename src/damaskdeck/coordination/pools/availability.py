"""When workers will have capacity for the tasks of a step, as their runs end."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import count_fitting
from damaskdeck.coordination.pools.speeds import estimate_remaining
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import add_sizes
from damaskdeck.state.pooljobs import Run, Step

# A gang that doesn't fit on workers with a smaller used share is about to: reserved
# workers would keep other gangs from starting.
CONTENDED_SHARE = 0.8
# Below this used share of its capacity a pool is not full, and jobs wait for other
# reasons than for capacity.
FULL_SHARE = 0.85


def measure_used_shares(contacts: Iterable[WorkerContact]) -> dict[str, float]:
    """Return the used share of each pool, of its processors or of its memory."""
    totals: dict[str, list[int]] = {}
    for contact in contacts:
        if not contact.is_listed or contact.info.is_leaving:
            continue
        total = totals.setdefault(contact.info.pool, [0, 0, 0, 0])
        total[0] += contact.used.millicores
        total[1] += contact.info.size.millicores
        total[2] += contact.used.memory
        total[3] += contact.info.size.memory
    return {
        pool: max(processors / max(all_processors, 1), memory / max(all_memory, 1))
        for pool, (processors, all_processors, memory, all_memory) in totals.items()
    }


def find_full_pools(used_shares: Mapping[str, float]) -> set[str]:
    """Return the pools of whose processors or memory hardly anything is free.

    :param used_shares: as :func:`measure_used_shares` returns them.
    """
    return {pool for pool, share in used_shares.items() if share > FULL_SHARE}


class Availability(NamedTuple):
    """How many tasks of a step a worker can hold from a time on.

    :param at: monotonic seconds.
    """

    at: float
    worker: str
    tasks: int


class CapacityForecast:
    """When runs should end, and what fits on their workers then.

    :param estimate_remaining: returns the seconds until a run ends at a given time.
    """

    def __init__(
        self, estimate_remaining: Callable[[Run, float], float] = estimate_remaining
    ) -> None:
        self._estimate_remaining = estimate_remaining

    def find_end(self, run: Run, now: float) -> float:
        """Return when a run should end, in monotonic seconds."""
        return now + max(0.0, self._estimate_remaining(run, now))

    def list_availabilities(
        self, spec: StepSpec, contact: WorkerContact, now: float
    ) -> list[Availability]:
        """List how many tasks of a step a worker can hold as its runs end."""
        name, free = contact.info.identifier, contact.free
        tasks = count_fitting(spec, free)
        availabilities = [Availability(now, name, tasks)] if tasks else []
        ends = [
            (self.find_end(run, now), run)
            for run in contact.runs.values()
            if not run.task.step.spec.is_long_running
        ]
        ends.sort(key=lambda end: end[0])
        for at, run in ends:
            free = add_sizes(free, run.task.step.spec.size)
            fitting = count_fitting(spec, free)
            if fitting > tasks:
                tasks = fitting
                availabilities.append(Availability(at, name, tasks))
        return availabilities

    def find_start(
        self, step: Step, needed: int, contacts: list[WorkerContact], now: float
    ) -> float | None:
        """Return when enough runs should have ended for a step to start.

        :returns: monotonic seconds, ``None`` if the workers can't hold the step.
        """
        availabilities = sorted(
            availability
            for contact in contacts
            for availability in self.list_availabilities(step.spec, contact, now)
        )
        tasks: dict[str, int] = {}
        for at, worker, count in availabilities:
            needed -= count - tasks.get(worker, 0)
            tasks[worker] = count
            if needed <= 0:
                return at
        return None


def count_fitting_now(spec: StepSpec, contacts: Iterable[WorkerContact]) -> int:
    """Count the tasks of a step that fit in the free capacity of workers."""
    return sum(count_fitting(spec, contact.free) for contact in contacts)


def is_contended(step: Step, contacts: list[WorkerContact]) -> bool:
    """Whether a gang may wait because of what other steps use of its workers.

    It doesn't fit beside them in some dimension, however tasks are packed, or so little
    is free that it may not fit for long.
    """
    for dimension, needed in enumerate(step.spec.size):
        used = sum(contact.used[dimension] for contact in contacts)
        total = sum(contact.info.size[dimension] for contact in contacts)
        is_too_wide = used + needed * len(step.tasks) > total
        if needed and (is_too_wide or used > CONTENDED_SHARE * total):
            return True
    return False
