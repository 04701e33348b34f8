"""Where the tasks of a step go: best fit over the workers that may run them."""

from collections import Counter

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import Size, fits, subtract_sizes
from damaskdeck.state.board import Step, Task


class Seat:
    """A worker with the room that a pass has left on it.

    :ivar free: room, lowered as the pass places tasks.
    :ivar pace: -1 for a fast worker, 1 for a slow one of the sound ones.
    """

    __slots__ = ("contact", "free", "is_slow", "key", "pace", "rack")

    def __init__(
        self, contact: WorkerContact, is_slow: bool = False, pace: int = 0
    ) -> None:
        self.pace = pace
        self.contact = contact
        self.key = contact.info.identifier
        self.free = contact.free
        self.rack = contact.info.rack
        self.is_slow = is_slow


Plan = list[tuple[Task, Seat]]

# More tasks than any rack is asked for.
UNBOUNDED = 1_000_000


def suits(spec: StepSpec, worker: PoolWorker) -> bool:
    """Tell whether a worker's kind lets it run a step, room aside."""
    return not spec.label or spec.label in worker.labels


def count_on_workers(step: Step) -> Counter[str]:
    """Count the step's runs on each worker."""
    return Counter(run.worker for run in step.list_runs())


def is_choosy(spec: StepSpec) -> bool:
    """Tell whether the racks that a step runs on change how long it takes."""
    return spec.needs_one_rack or bool(spec.near)


def has_best_rack(step: Step, workers: list[PoolWorker]) -> bool:
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
    """Return how many tasks of a step find room in ``size``."""
    pairs = zip(spec.size, size, strict=True)
    counts = [room // need for need, room in pairs if need > 0]
    fitting = min(counts, default=UNBOUNDED)
    return min(fitting, spec.spread) if spec.spread else fitting


def plan_step(
    step: Step, tasks: list[Task], seats: list[Seat], may_go_far: bool
) -> Plan:
    """Place tasks of a step; of a gang all, or none.

    :param seats: those that suit the step and may run it; not changed.
    :param may_go_far: a choosy step is placed beside its best racks too.
    """
    if not is_choosy(step.spec):
        return _plan_tasks(step, tasks, seats)
    plan = _plan_on_best_rack(step, tasks, seats)
    if not may_go_far or len(plan) == len(tasks):
        return plan
    if step.spec.needs_one_rack and (plan or any(step.list_runs())):
        # All of it slows down as soon as a part runs elsewhere.
        return plan
    return _plan_tasks(step, tasks, seats)


def _plan_on_best_rack(step: Step, tasks: list[Task], seats: list[Seat]) -> Plan:
    running = {run.worker for run in step.list_runs()}
    racks = {seat.rack for seat in seats if seat.key in running}
    if not (racks and step.spec.needs_one_rack):
        racks = {seat.rack for seat in seats}
    if step.spec.near:
        racks &= {step.spec.near}
    best: Plan = []
    for rack in sorted(racks):
        plan = _plan_tasks(step, tasks, [s for s in seats if s.rack == rack])
        if len(plan) > len(best):
            best = plan
    return best


def _plan_tasks(step: Step, tasks: list[Task], seats: list[Seat]) -> Plan:
    spec = step.spec
    room = _Room(step, seats)
    for group in _list_groups(step, len(tasks), seats):
        room.place(tasks, group)
        if len(room.plan) == len(tasks):
            return room.plan
    room.place(tasks, seats, is_last=True)
    is_whole = len(room.plan) == len(tasks)
    return room.plan if is_whole or not spec.is_gang else []


def _list_groups(step: Step, needed: int, seats: list[Seat]) -> list[list[Seat]]:
    """Group sound seats by availability zone, best first.

    What hits a zone, or a rack of it, then hits the fewest jobs: a job is late as
    soon as one of its tasks is. Zones where the step runs already come first, then
    those that hold all of it, those with the most room before others.
    """
    if is_choosy(step.spec):
        return []
    zones: dict[str, list[Seat]] = {}
    for seat in seats:
        if not seat.is_slow:
            zones.setdefault(seat.contact.info.zone, []).append(seat)
    running = {run.worker for run in step.list_runs()}

    def rank(group: list[Seat]) -> tuple[bool, bool, int]:
        holds = sum(count_fitting(step.spec, seat.free) for seat in group)
        is_elsewhere = not any(seat.key in running for seat in group)
        return is_elsewhere, holds < needed, -holds

    return sorted(zones.values(), key=rank)


class _Room:
    """The room that a plan leaves, and the plan."""

    def __init__(self, step: Step, seats: list[Seat]) -> None:
        self.plan: Plan = []
        self._spec = step.spec
        self._left = {seat.key: seat.free for seat in seats}
        self._counts = count_on_workers(step) if step.spec.spread else Counter()
        self._placed: set[Task] = set()

    def place(
        self, tasks: list[Task], seats: list[Seat], is_last: bool = False
    ) -> None:
        """Place what fits of the tasks that have no place yet.

        :param is_last: a task goes even to where it has failed.
        """
        for task in tasks:
            if task in self._placed:
                continue
            seat = self._find_seat(task, seats, is_last)
            if seat is None:
                if is_last or not task.failed_on:
                    return
                continue
            self._left[seat.key] = subtract_sizes(self._left[seat.key], self._spec.size)
            self._counts[seat.key] += 1
            self._placed.add(task)
            self.plan.append((task, seat))

    def _find_seat(self, task: Task, seats: list[Seat], is_last: bool) -> Seat | None:
        """Return the seat that is left with the least.

        One where the task has failed before comes last, slow ones before it, one far
        from its data after those near it; of the others those of faster workers come
        first, and for tasks that last those of slower ones, which they don't mind.
        """
        spec = self._spec
        best, best_score = None, (True, True, True, 0, 0)
        for seat in seats:
            left = self._left[seat.key]
            if not fits(spec.size, left) or (
                spec.spread and self._counts[seat.key] >= spec.spread
            ):
                continue
            is_far = bool(spec.near) and seat.rack != spec.near
            has_failed = seat.key in task.failed_on
            if has_failed and not is_last:
                continue
            pace = -seat.pace if spec.is_lasting else seat.pace
            score = (has_failed, seat.is_slow, is_far, pace, left.millicores)
            if best is None or score < best_score:
                best, best_score = seat, score
        return best


def take_seats(plan: Plan) -> None:
    """Lower the room of the seats that a plan uses."""
    for task, seat in plan:
        seat.free = subtract_sizes(seat.free, task.step.spec.size)
