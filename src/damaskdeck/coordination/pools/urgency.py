"""In which order steps get room: by what can still be won, rank and slack."""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from damaskdeck.coordination.pools.departures import measure_rest
from damaskdeck.protocol.queues import AdvisorTiming, JobSpec, Queue, StepSpec
from damaskdeck.state.pooljobs import RunPhase, Step

# The advisor is asked about a step while the steps before it have so long to go, and
# what its answer takes: a fifth of the time that its tickets last is then gone.
AHEAD_SECONDS = 0.5
# A job earns less from its objective on, and nothing from this multiple of it on.
LATE_MULTIPLE = 3.0


class DeadlineStatus(IntEnum):
    """What a job can still be; lower comes first."""

    ON_TIME = 0
    LATE = 1
    LOST = 2


class Urgency(NamedTuple):
    """Sorts steps.

    :param rank: of the queue, 0 first.
    :param slack: seconds until the step must start to be punctual (or late).
    """

    deadline_status: DeadlineStatus
    rank: int
    slack: float


class Deadlines(NamedTuple):
    """Until when a step must start, in monotonic seconds.

    :param start_by: for its job to be punctual.
    :param late_by: for its job to earn anything.
    """

    start_by: float
    late_by: float


def measure_chain(steps: Iterable[Step]) -> float:
    """Return the longest chain of work that is left, in seconds, by estimates.

    :param steps: all those of one occurrence.
    """
    return _find_longest(
        (s.spec, 0.0 if s.is_completed else _estimate(s.spec)) for s in steps
    )


def measure_critical_path(spec: JobSpec) -> float:
    """Return the longest chain of work of the whole job, in seconds."""
    return _find_longest((step, _estimate(step)) for step in spec.steps)


def _estimate(spec: StepSpec) -> float:
    return spec.estimate.total_seconds()


def _find_longest(steps: Iterable[tuple[StepSpec, float]]) -> float:
    """Return the longest chain of steps with their work, in seconds."""
    ends: list[float] = []
    for spec, work in steps:
        begin = max((ends[n] for n in spec.after if n < len(ends)), default=0.0)
        ends.append(begin + work)
    return max(ends, default=0.0)


def find_objective(queue: Queue, spec: JobSpec) -> float:
    """Return how many seconds after its arrival a job should be done."""
    return queue.slack * measure_critical_path(spec) + queue.allowance.total_seconds()


def find_deadlines(step: Step) -> Deadlines:
    """Return until when a step must start; changes when steps of its job end."""
    job = step.job
    if step.spec.is_long_running:
        return Deadlines(0.0, 0.0)
    objective = find_objective(job.queue, job.record.spec)
    chain = measure_chain(job.occurrences[step.occurrence])
    start_by = step.due_at + objective - chain
    return Deadlines(start_by, start_by + (LATE_MULTIPLE - 1) * objective)


def judge_deadlines(step: Step, deadlines: Deadlines, now: float) -> Urgency:
    """Return how urgent a step is.

    A task that lasts is missed for as long as it is away, however late it is.

    :param deadlines: those of the step.
    """
    rank = step.job.queue.rank
    if step.spec.is_long_running:
        return Urgency(DeadlineStatus.ON_TIME, rank, 0.0)
    start_by, late_by = deadlines
    if now <= start_by:
        return Urgency(DeadlineStatus.ON_TIME, rank, start_by - now)
    if now <= late_by:
        return Urgency(DeadlineStatus.LATE, rank, late_by - now)
    return Urgency(DeadlineStatus.LOST, rank, now - late_by)


def measure_urgency(step: Step, now: float) -> Urgency:
    """Return how urgent a step is."""
    return judge_deadlines(step, find_deadlines(step), now)


def is_due_soon(step: Step, terms: AdvisorTiming, now: float) -> bool:
    """Tell whether the steps before one will have completed in a moment.

    :param terms: of the advice that its tasks need.
    """
    steps = step.job.occurrences[step.occurrence]
    earlier = [steps[n] for n in step.spec.after if not steps[n].is_completed]
    if not earlier or step.is_completed:
        return False
    limit = AHEAD_SECONDS + terms.base.total_seconds()
    return all(_ends_within(before, limit, now) for before in earlier)


def _ends_within(step: Step, limit: float, now: float) -> bool:
    """Tell whether what is left of a step runs, and needs no more than ``limit``."""
    if any(task.is_waiting for task in step.tasks):
        return False
    runs = [run for run in step.list_runs() if run.phase is RunPhase.RUNNING]
    return bool(runs) and all(measure_rest(run, now) <= limit for run in runs)
