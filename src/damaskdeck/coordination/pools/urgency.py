"""The order in which steps get capacity: by deadline status, rank and slack."""

import math
from collections.abc import Container, Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from damaskdeck.coordination.pools.speeds import estimate_remaining
from damaskdeck.protocol.queues import AdvisorTiming, JobSpec, Queue, StepSpec
from damaskdeck.state.pooljobs import (
    MAX_WAITING_STEPS,
    Job,
    Occurrence,
    RunPhase,
    Step,
)

# The advisor is queried about a step when the steps before it need at most this time
# and the time of the advisor's answer. When the step can start, a fifth of the validity
# of its tickets has passed.
ADVICE_LEAD_SECONDS = 0.5
# A job earns less once its objective has passed, and nothing from this multiple of the
# objective on.
LATE_MULTIPLE = 3.0
# Share of the wait that an objective allows, up to which the owner's delay counts.
MAX_LEAD_SHARE = 0.5


class DeadlineStatus(IntEnum):
    """Whether a job can be on time, earns less, or earns nothing; lower comes first."""

    ON_TIME = 0
    LATE = 1
    LOST = 2


class Urgency(NamedTuple):
    """Sort key of a step.

    :param rank: of the queue, 0 first.
    :param slack: seconds until the step must start for its job to be on time (or to
        earn anything, if it is late). It is negative for a job that can earn nothing,
        of which those go first that have been so for longest.
    """

    deadline_status: DeadlineStatus
    rank: int
    slack: float


class Deadlines(NamedTuple):
    """The latest start times of a step, in monotonic seconds.

    :param on_time_start: latest start for the job to be on time.
    :param last_useful_start: latest start for the job to earn anything.
    :param max_lead: by how many seconds the owner's own delay may move them.
    """

    on_time_start: float
    last_useful_start: float
    max_lead: float = 0.0

    def find_lead(self, delay: float) -> float:
        """Return how much earlier a step must be ordered for it to start in time.

        :param delay: seconds that the owner needs for a start and for its end.
        """
        return min(delay, self.max_lead)


def measure_critical_path(spec: JobSpec) -> float:
    """Return the length of a job's critical path in seconds, by estimates."""
    return _measure_longest_path((step, _get_estimate(step)) for step in spec.steps)


def _get_estimate(spec: StepSpec) -> float:
    return spec.estimate.total_seconds()


def _measure_longest_path(steps: Iterable[tuple[StepSpec, float]]) -> float:
    """Return the length of the longest chain of steps in seconds.

    :param steps: each step with its work in seconds.
    """
    ends: list[float] = []
    for spec, work in steps:
        begin = max((ends[n] for n in spec.after if n < len(ends)), default=0.0)
        ends.append(begin + work)
    return max(ends, default=0.0)


def compute_objective(queue: Queue, spec: JobSpec) -> float:
    """Return the number of seconds after its arrival by which a job should be done."""
    return queue.slack * measure_critical_path(spec) + queue.allowance.total_seconds()


def find_objective(job: Job) -> float:
    """Return the objective of a job, as :func:`compute_objective` does."""
    queue = job.queue
    return queue.slack * job.graph.critical_path + queue.allowance.total_seconds()


def find_deadlines(step: Step) -> Deadlines:
    """Return the latest start times of a step; they change as steps of its job end."""
    job = step.job
    if step.spec.is_long_running:
        return Deadlines(0.0, 0.0)
    objective = find_objective(job)
    remaining = step.siblings.measure_remaining_path()
    on_time_start = step.due_at + objective - remaining
    last_useful_start = on_time_start + (LATE_MULTIPLE - 1) * objective
    # A job whose wait may hardly be longer than the delay would else be late at once.
    allowed_wait = objective - job.graph.critical_path
    return Deadlines(
        on_time_start, last_useful_start, max(0.0, MAX_LEAD_SHARE * allowed_wait)
    )


def compute_urgency(step: Step, deadlines: Deadlines, now: float) -> Urgency:
    """Return the urgency of a step from its deadlines.

    A long-running task is missed for as long as it is down, so it always counts as on
    time.

    :param deadlines: of the step.
    """
    rank = step.job.queue.rank
    if step.spec.is_long_running:
        return Urgency(DeadlineStatus.ON_TIME, rank, 0.0)
    on_time_start, last_useful_start, _ = deadlines
    if now <= on_time_start:
        return Urgency(DeadlineStatus.ON_TIME, rank, on_time_start - now)
    if now <= last_useful_start:
        return Urgency(DeadlineStatus.LATE, rank, last_useful_start - now)
    return Urgency(DeadlineStatus.LOST, rank, last_useful_start - now)


def measure_urgency(step: Step, now: float) -> Urgency:
    """Return the urgency of a step."""
    return compute_urgency(step, find_deadlines(step), now)


def measure_available_slack(urgency: Urgency) -> float:
    """Return the seconds until a step must start to earn what it still can.

    They are infinite for a step that can earn nothing.
    """
    is_lost = urgency.deadline_status is DeadlineStatus.LOST
    return math.inf if is_lost else urgency.slack


def list_due_soon(job: Job, terms: AdvisorTiming, now: float) -> Iterator[Step]:
    """Yield steps that will be due shortly, as those before them run and end.

    :param terms: timing of the advice that the job's tasks need.
    """
    if not job.graph.dependents:
        return
    limit = ADVICE_LEAD_SECONDS + terms.base.total_seconds()
    running = dict.fromkeys(run.task.step for run in job.runs)
    ending = {
        step: None
        for step in running
        if not step.is_completed and _ends_within(step, limit, now)
    }
    found = 0
    following = dict.fromkeys(
        (step.siblings, number)
        for step in ending
        for number in job.graph.dependents.get(step.number, ())
    )
    for steps, number in following:
        if _follows_only(steps, number, ending):
            yield steps[number]
            found += 1
            if found >= MAX_WAITING_STEPS:
                return


def _follows_only(
    steps: Occurrence, number: int, ending: Container[Step | None]
) -> bool:
    """Whether each step before a step has completed or is among those that end."""
    return all(
        steps.has_completed(earlier) or steps.find(earlier) in ending
        for earlier in steps.job.record.spec.steps[number].after
    )


def _ends_within(step: Step, limit: float, now: float) -> bool:
    """Whether all remaining tasks of a step run and end within ``limit`` seconds."""
    if step.has_waiting:
        return False
    runs = [run for run in step.list_runs() if run.phase is RunPhase.RUNNING]
    return bool(runs) and all(estimate_remaining(run, now) <= limit for run in runs)
