"""Best-fit placement of the tasks of a step on the workers that may run them.

In an uneven pool, a step is placed by the expected end of all its tasks.
"""

from collections import Counter
from collections.abc import Iterable

from damaskdeck.coordination.pools.candidates import Candidate
from damaskdeck.coordination.pools.speeds import CLASS_WIDTH, StepExpectation
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import Size, fits, subtract_sizes
from damaskdeck.state.pooljobs import Step, Task

Plan = list[tuple[Task, Candidate]]

# More tasks than a step asks of any rack.
UNLIMITED_TASKS = 1_000_000


def is_suitable(spec: StepSpec, worker: PoolWorker) -> bool:
    """Whether the kind of a worker allows a step, regardless of capacity."""
    return not spec.label or spec.label in worker.labels


def count_on_workers(step: Step) -> Counter[str]:
    """Count the runs of a step on each worker."""
    return Counter(run.worker for run in step.list_runs())


def has_rack_preference(spec: StepSpec) -> bool:
    """Whether the duration of a step depends on the racks that it runs on."""
    return spec.needs_one_rack or bool(spec.near)


def fits_preferred_rack(step: Step, workers: list[PoolWorker]) -> bool:
    """Whether a step with a rack preference could run on its preferred racks.

    :param workers: the workers that may run it, regardless of capacity.
    """
    spec = step.spec
    racks: Counter[str] = Counter()
    for worker in workers:
        if not spec.near or worker.rack == spec.near:
            racks[worker.rack] += count_fitting(spec, worker.size)
    needed = len(step.tasks) if spec.is_gang else 1
    max_tasks = max(racks.values(), default=0)
    return max_tasks >= needed


def count_fitting(spec: StepSpec, size: Size) -> int:
    """Return the number of tasks of a step that fit in ``size``.

    It is 0 if a worker that has shrunk holds more than it may; a negative number would
    reduce the capacity of other workers.
    """
    pairs = zip(spec.size, size, strict=True)
    counts = [max(0, available) // need for need, available in pairs if need > 0]
    fitting = min(counts, default=UNLIMITED_TASKS)
    return min(fitting, spec.spread) if spec.spread else fitting


def plan_step(
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    may_use_other_racks: bool,
    zones: frozenset[str] = frozenset(),
    expectation: StepExpectation | None = None,
) -> Plan:
    """Place the tasks of a step; of a gang all tasks or none.

    :param candidates: the workers that suit the step and may run it; not modified.
        Workers without free capacity may be left out unless the step has a rack
        preference.
    :param may_use_other_racks: whether a step with a rack preference may run off its
        preferred racks.
    :param zones: the zones in which the step already runs.
    :param expectation: what is expected of the step in an uneven pool, ``None`` if the
        speed ranks decide. Racks that a step prefers count more than speeds.
    """
    if expectation is not None and not has_rack_preference(step.spec):
        if step.spec.is_gang:
            return _plan_gang(step, tasks, candidates, zones, expectation)
        return _plan_by_expected_end(step, tasks, candidates, zones, expectation)
    if not has_rack_preference(step.spec):
        return _plan_tasks(step, tasks, candidates, zones)
    plan = _plan_on_preferred_rack(step, tasks, candidates)
    if not may_use_other_racks or len(plan) == len(tasks):
        return plan
    if step.spec.needs_one_rack and (plan or any(step.list_runs())):
        # The whole step slows down as soon as a part of it runs on another rack.
        return plan
    return _plan_tasks(step, tasks, candidates)


def _plan_on_preferred_rack(
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
    if spec.is_gang and _count_total_fitting(spec, candidates) < len(tasks):
        return []
    builder = _PlanBuilder(step, candidates)
    for group in _group_by_zone(step, len(tasks), candidates, zones):
        builder.place_tasks(tasks, group)
        if len(builder.plan) == len(tasks):
            return builder.plan
    builder.place_tasks(tasks, candidates, allow_failed=True)
    is_whole = len(builder.plan) == len(tasks)
    return builder.plan if is_whole or not spec.is_gang else []


def _plan_by_expected_end(
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    zones: frozenset[str],
    expectation: StepExpectation,
) -> Plan:
    """Place tasks on workers on which they end in time, the least fast of those first.

    Tasks that find none go to the fastest of the others, unless it is better to wait.
    """
    in_time: list[Candidate] = []
    late: list[Candidate] = []
    for candidate in candidates:
        is_in_time = not candidate.is_slow and expectation.ends_in_time(candidate.speed)
        (in_time if is_in_time else late).append(candidate)
    builder = _PlanBuilder(step, candidates)
    for group in _group_by_speed(in_time):
        for zone_group in _group_by_zone(step, len(tasks), group, zones):
            builder.place_tasks(tasks, zone_group)
            if len(builder.plan) == len(tasks):
                return builder.plan
    usable = [c for c in late if not expectation.should_wait(c.speed)]
    groups = [in_time, *reversed(_group_by_speed(usable))]
    for allow_failed in (False, True):
        for group in groups:
            if group and len(builder.plan) < len(tasks):
                builder.place_tasks(tasks, group, allow_failed)
    return builder.plan


def _plan_gang(
    step: Step,
    tasks: list[Task],
    candidates: list[Candidate],
    zones: frozenset[str],
    expectation: StepExpectation,
) -> Plan:
    """Place a gang on workers of about the same speed, the least fast in time first.

    All members hold their capacity until the slowest has ended. If no such workers have
    enough capacity, the gang takes workers of different speeds on which it ends in
    time, with as few fast ones as possible, else the fastest ones, unless it is better
    to wait for others.
    """
    failed_on = {worker for task in tasks for worker in task.failed_on}
    others = [c for c in candidates if c.key not in failed_on]
    if _count_total_fitting(step.spec, others) >= len(tasks):
        candidates = others
    ordered = sorted(candidates, key=lambda c: (not c.is_slow, c.speed.mean))
    fitting = [count_fitting(step.spec, c.free) for c in ordered]
    needed = len(tasks)
    if sum(fitting) < needed:
        return []
    preferred = [not c.is_slow and expectation.ends_in_time(c.speed) for c in ordered]
    acceptable = [not c.is_slow and expectation.is_acceptable(c.speed) for c in ordered]
    first = acceptable.index(True) if any(acceptable) else len(ordered)
    window = preferred.index(True) if any(preferred) else len(ordered)
    selected = (
        _find_window(ordered, fitting, window, needed)
        or _find_window(ordered, fitting, first, needed)
        or _cut_to_capacity(ordered[first:], step, needed)
    )
    if not selected:
        selected = _cut_to_capacity(ordered[::-1], step, needed)
        if any(expectation.should_wait(c.speed) for c in selected):
            return []
    return _plan_tasks(step, tasks, selected, zones)


def _find_window(
    ordered: list[Candidate], fitting: list[int], first: int, needed: int
) -> list[Candidate]:
    """Return the slowest workers of about the same speed that hold a whole gang.

    :param ordered: candidates in the order of their speed, slowest first.
    :param fitting: how many tasks each of them can hold.
    :param first: position of the first candidate to use.
    """
    end, held = first, 0
    for start in range(first, len(ordered)):
        fastest = ordered[start].speed.mean + CLASS_WIDTH
        while end < len(ordered) and ordered[end].speed.mean <= fastest:
            held += fitting[end]
            end += 1
        if held >= needed:
            return ordered[start:end]
        held -= fitting[start]
    return []


def _cut_to_capacity(
    ordered: list[Candidate], step: Step, needed: int
) -> list[Candidate]:
    """Return the first candidates that can hold a number of tasks, none if too few."""
    for count, candidate in enumerate(ordered, start=1):
        needed -= count_fitting(step.spec, candidate.free)
        if needed <= 0:
            return ordered[:count]
    return []


def _group_by_speed(candidates: Iterable[Candidate]) -> list[list[Candidate]]:
    """Group candidates of about the same speed, the slowest group first."""
    groups: list[list[Candidate]] = []
    for candidate in sorted(candidates, key=lambda c: c.speed.mean):
        slowest = groups[-1][0].speed.mean if groups else 0.0
        if not groups or candidate.speed.mean > slowest + CLASS_WIDTH:
            groups.append([])
        groups[-1].append(candidate)
    return groups


def _count_total_fitting(spec: StepSpec, candidates: list[Candidate]) -> int:
    """Return the number of tasks of a step that fit on all candidates together."""
    return sum(count_fitting(spec, candidate.free) for candidate in candidates)


def _group_by_zone(
    step: Step, needed: int, candidates: list[Candidate], running: frozenset[str]
) -> list[list[Candidate]]:
    """Group candidates that are not slow by availability zone, best first.

    A fault of a zone or a rack then affects the fewest jobs, as a job is late as soon
    as one of its tasks is. Zones in which the step already runs come first, then zones
    that hold the whole step, then those with the most capacity.
    """
    if has_rack_preference(step.spec):
        return []
    zones: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        if not candidate.is_slow:
            zones.setdefault(candidate.zone, []).append(candidate)

    def rank(group: list[Candidate]) -> tuple[bool, bool, int]:
        fitting = _count_total_fitting(step.spec, group)
        return group[0].zone not in running, fitting < needed, -fitting

    return sorted(zones.values(), key=rank)


class _PlanBuilder:
    """Builds a plan and tracks the capacity that it leaves."""

    def __init__(self, step: Step, candidates: list[Candidate]) -> None:
        self.plan: Plan = []
        self._spec = step.spec
        self._free = {candidate.key: candidate.free for candidate in candidates}
        self._counts = count_on_workers(step) if step.spec.spread else Counter()
        self._placed: set[Task] = set()

    def place_tasks(
        self, tasks: list[Task], candidates: list[Candidate], allow_failed: bool = False
    ) -> None:
        """Place the tasks that have no worker yet as far as they fit.

        :param allow_failed: whether a task may go to a worker on which it has failed.
        """
        for task in tasks:
            if task in self._placed:
                continue
            candidate = self._choose_candidate(task, candidates, allow_failed)
            if candidate is None:
                if allow_failed or not task.failed_on:
                    return
                continue
            self._free[candidate.key] = subtract_sizes(
                self._free[candidate.key], self._spec.size
            )
            self._counts[candidate.key] += 1
            self._placed.add(task)
            self.plan.append((task, candidate))

    def _choose_candidate(
        self, task: Task, candidates: list[Candidate], allow_failed: bool
    ) -> Candidate | None:
        """Return the best candidate with capacity for a task, ``None`` without one.

        Preferred in this order: candidates on which the task has not failed, candidates
        that are not slow, candidates near its data, faster workers, and those with the
        fewest free processors. Long-running tasks prefer slower workers, as speed does
        not matter for them.
        """
        spec = self._spec
        best, best_score = None, (True, True, True, 0, 0)
        for candidate in candidates:
            free = self._free[candidate.key]
            if not fits(spec.size, free) or (
                spec.spread and self._counts[candidate.key] >= spec.spread
            ):
                continue
            is_far = bool(spec.near) and candidate.rack != spec.near
            has_failed = candidate.key in task.failed_on
            if has_failed and not allow_failed:
                continue
            speed_rank = (
                -candidate.speed_rank if spec.is_long_running else candidate.speed_rank
            )
            score = (has_failed, candidate.is_slow, is_far, speed_rank, free.millicores)
            if best is None or score < best_score:
                best, best_score = candidate, score
        return best
