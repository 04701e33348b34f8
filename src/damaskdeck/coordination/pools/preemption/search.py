"""The choice of workers and victims that loses the least work for a step."""

import heapq
from collections.abc import Callable, Iterable
from itertools import islice
from typing import NamedTuple

from damaskdeck.coordination.places.preemption import select_covering
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import count_fitting, count_on_workers
from damaskdeck.coordination.pools.preemption.victims import Victim, VictimIndex
from damaskdeck.protocol.sizes import Size, subtract_sizes
from damaskdeck.state.pooljobs import Step
from damaskdeck.state.quotas import scale_size

# The workers that are searched for one step: some, and for each task more, but not
# above the maximum. A gang of 20 tasks needs 7 to 20 workers.
MIN_WORKERS_SEARCHED = 8
WORKERS_SEARCHED_PER_TASK = 2
MAX_WORKERS_SEARCHED = 64


class Choice(NamedTuple):
    """Victims for a step, and where its tasks are to start.

    :param tasks: the number of tasks by worker.
    """

    tasks: dict[str, int]
    victims: tuple[Victim, ...]

    @property
    def lost(self) -> float:
        """The work lost in core-seconds."""
        return sum(victim.lost for victim in self.victims)


class _Option(NamedTuple):
    """A number of tasks of the step on one worker, and the victims that it takes."""

    cost: float
    tasks: int
    victims: tuple[Victim, ...]


def choose_victims(
    step: Step,
    needed: int,
    contacts: Iterable[WorkerContact],
    index: VictimIndex,
    find_capacity: Callable[[WorkerContact], Size],
) -> Choice | None:
    """Choose the cheapest victims that make room for a step.

    Tasks are added one at a time where the next one costs the least. A gang is a victim
    as a whole; what its members free on other workers is not counted on.

    :param needed: the number of tasks that wait.
    :param contacts: the workers that the step may run on; the first
        :data:`MAX_WORKERS_SEARCHED` are searched.
    :param find_capacity: returns what the step can use without victims.
    :returns: ``None`` if there are not enough victims.
    """
    search = _Search(step, index, find_capacity)
    heap: list[tuple[float, int, WorkerContact, _Option]] = []
    searched = min(
        MAX_WORKERS_SEARCHED, MIN_WORKERS_SEARCHED + WORKERS_SEARCHED_PER_TASK * needed
    )
    for number, contact in enumerate(islice(contacts, searched)):
        option = search.extend(contact, _Option(0.0, 0, ()))
        if option is not None:
            heapq.heappush(heap, (option.cost, number, contact, option))
    chosen: dict[str, _Option] = {}
    remaining = needed
    while heap and remaining:
        _, number, contact, option = heapq.heappop(heap)
        chosen[contact.info.identifier] = option
        remaining -= 1
        following = search.extend(contact, option)
        if following is not None:
            cost = following.cost - option.cost
            heapq.heappush(heap, (cost, number, contact, following))
    if remaining:
        return None
    victims = {
        victim.name: victim for option in chosen.values() for victim in option.victims
    }
    tasks = {worker: option.tasks for worker, option in chosen.items()}
    return Choice(tasks, tuple(victims.values()))


class _Search:
    def __init__(
        self,
        step: Step,
        index: VictimIndex,
        find_capacity: Callable[[WorkerContact], Size],
    ) -> None:
        self._step = step
        self._index = index
        self._find_capacity = find_capacity
        self._running = count_on_workers(step) if step.spec.spread else {}

    def extend(self, contact: WorkerContact, option: _Option) -> _Option | None:
        """Return the option with one more task on a worker, ``None`` if none fits."""
        spec, worker = self._step.spec, contact.info.identifier
        tasks = option.tasks + 1
        running = self._running.get(worker, 0)
        if tasks + running > count_fitting(spec, contact.info.size):
            return None
        shortfall = subtract_sizes(
            scale_size(spec.size, tasks), self._find_capacity(contact)
        )
        victims = self._index.list_victims(worker, self._step.job.queue.rank)
        chosen = select_covering(shortfall, victims, lambda victim: victim.size)
        if chosen is None:
            return None
        cost = sum(victim.lost for victim in chosen)
        return _Option(cost, tasks, tuple(chosen))
