"""Where the tasks of a step go: best fit over the workers that may run them."""

from collections import Counter

from damaskdeck.coordination.pools.candidates import Candidate
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import Size, fits, subtract_sizes
from damaskdeck.state.pooljobs import Step, Task

Plan = list[tuple[Task, Candidate]]

# More tasks than any rack is asked for.
UNBOUNDED = 1_000_000


def is_suitable(spec: StepSpec, worker: PoolWorker) -> bool:
    """Tell whether a worker's kind lets it run a step, room aside."""
    return not spec.label or spec.label in worker.labels


def count_on_workers(step: Step) -> Counter[str]:
    """Count the step's runs on each worker."""
    return Counter(run.worker for run in step.list_runs())


def has_rack_preference(spec: StepSpec) -> bool:
    """Tell whether the racks that a step runs on change how long it takes."""
    return spec.needs_one_rack or bool(spec.near)


def fits_preferred_rack(step: Step, workers: list[PoolWorker]) -> bool:
    """Tell whether a choosy step could run on the racks that it runs best on.

    :param workers: those that may run it, room aside.
    """
    spec = step.spec
    racks: Counter[str] = Counter()
    for worker in workers:
        if not spec.near or worker.rack == spec.near:
            racks[worker.rack] += count_fitting(spec, worker.size)
    needed = len(step.tasks) if spec.is_gang else 1
    most = max(racks.values(), default=0)
    return most >= needed


def count_fitting(spec: StepSpec, size: Size) -> int:
    """Return how many tasks of a step find room in ``size``.

    None where a worker that has shrunk holds more than it may: that takes no room
    from the others.
    """
    pairs = zip(spec.size, size, strict=True)
    counts = [max(0, room) // need for need, room in pairs if need > 0]
    fitting = min(counts, default=UNBOUNDED)
    return min(fitting, spec.spread) if spec.spread else fitting


def plan_step(
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    may_go_far: bool,
    zones: frozenset[str] = frozenset(),
) -> Plan:
    """Place tasks of a step; of a gang all, or none.

    :param candidates: those that suit the step and may run it; not changed. Those
        without room may be left out unless the step is choosy.
    :param may_go_far: a choosy step is placed beside its best racks too.
    :param zones: in which the step runs already.
    """
    if not has_rack_preference(step.spec):
        return _plan_tasks(step, tasks, candidates, zones)
    plan = _plan_on_best_rack(step, tasks, candidates)
    if not may_go_far or len(plan) == len(tasks):
        return plan
    if step.spec.needs_one_rack and (plan or any(step.list_runs())):
        # All of it slows down as soon as a part runs elsewhere.
        return plan
    return _plan_tasks(step, tasks, candidates)


def _plan_on_best_rack(
    step: Step, tasks: list[Task], candidates: list[Candidate]
) -> Plan:
    running = {run.worker for run in step.list_runs()}
    racks = {candidate.rack for candidate in candidates if candidate.key in running}
    if not (racks and step.spec.needs_one_rack):
        racks = {candidate.rack for candidate in candidates}
    if step.spec.near:
        racks &= {step.spec.near}
    best: Plan = []
    for rack in sorted(racks):
        plan = _plan_tasks(step, tasks, [s for s in candidates if s.rack == rack])
        if len(plan) > len(best):
            best = plan
    return best


def _plan_tasks(
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    zones: frozenset[str] = frozenset(),
) -> Plan:
    spec = step.spec
    if spec.is_gang and _count_room(spec, candidates) < len(tasks):
        return []
    room = _Room(step, candidates)
    for group in _list_groups(step, len(tasks), candidates, zones):
        room.place(tasks, group)
        if len(room.plan) == len(tasks):
            return room.plan
    room.place(tasks, candidates, is_last=True)
    is_whole = len(room.plan) == len(tasks)
    return room.plan if is_whole or not spec.is_gang else []


def _count_room(spec: StepSpec, candidates: list[Candidate]) -> int:
    """Return how many tasks of a step find room."""
    return sum(count_fitting(spec, candidate.free) for candidate in candidates)


def _list_groups(
    step: Step, needed: int, candidates: list[Candidate], running: frozenset[str]
) -> list[list[Candidate]]:
    """Group sound candidates by availability zone, best first.

    What hits a zone, or a rack of it, then hits the fewest jobs: a job is late as
    soon as one of its tasks is. Zones where the step runs already come first, then
    those that hold all of it, those with the most room before others.
    """
    if has_rack_preference(step.spec):
        return []
    zones: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        if not candidate.is_slow:
            zones.setdefault(candidate.zone, []).append(candidate)

    def rank(group: list[Candidate]) -> tuple[bool, bool, int]:
        holds = _count_room(step.spec, group)
        return group[0].zone not in running, holds < needed, -holds

    return sorted(zones.values(), key=rank)


class _Room:
    """The room that a plan leaves, and the plan."""

    def __init__(self, step: Step, candidates: list[Candidate]) -> None:
        self.plan: Plan = []
        self._spec = step.spec
        self._left = {candidate.key: candidate.free for candidate in candidates}
        self._counts = count_on_workers(step) if step.spec.spread else Counter()
        self._placed: set[Task] = set()

    def place(
        self, tasks: list[Task], candidates: list[Candidate], is_last: bool = False
    ) -> None:
        """Place what fits of the tasks that have no place yet.

        :param is_last: a task goes even to where it has failed.
        """
        for task in tasks:
            if task in self._placed:
                continue
            candidate = self._choose(task, candidates, is_last)
            if candidate is None:
                if is_last or not task.failed_on:
                    return
                continue
            self._left[candidate.key] = subtract_sizes(
                self._left[candidate.key], self._spec.size
            )
            self._counts[candidate.key] += 1
            self._placed.add(task)
            self.plan.append((task, candidate))

    def _choose(
        self, task: Task, candidates: list[Candidate], is_last: bool
    ) -> Candidate | None:
        """Return the candidate that is left with the least.

        One where the task has failed before comes last, slow ones before it, one far
        from its data after those near it; of the others those of faster workers come
        first, and for tasks that last those of slower ones, which they don't mind.
        """
        spec = self._spec
        best, best_score = None, (True, True, True, 0, 0)
        for candidate in candidates:
            left = self._left[candidate.key]
            if not fits(spec.size, left) or (
                spec.spread and self._counts[candidate.key] >= spec.spread
            ):
                continue
            is_far = bool(spec.near) and candidate.rack != spec.near
            has_failed = candidate.key in task.failed_on
            if has_failed and not is_last:
                continue
            pace = -candidate.pace if spec.is_long_running else candidate.pace
            score = (has_failed, candidate.is_slow, is_far, pace, left.millicores)
            if best is None or score < best_score:
                best, best_score = candidate, score
        return best
