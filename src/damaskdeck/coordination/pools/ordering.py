"""In which order steps get room: by what can still be won, rank and slack."""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from damaskdeck.protocol.queues import JobSpec, Queue, StepSpec
from damaskdeck.state.board import Step

# A job earns less from its objective on, and nothing from this multiple of it on.
LATE_MULTIPLE = 3.0


class Outlook(IntEnum):
    """What a job can still be; lower comes first."""

    PUNCTUAL = 0
    LATE = 1
    LOST = 2


class Urgency(NamedTuple):
    """Sorts steps.

    :param rank: of the queue, 0 first.
    :param slack: seconds until the step must start to be punctual (or late).
    """

    outlook: Outlook
    rank: int
    slack: float


def measure_chain(steps: Iterable[Step]) -> float:
    """Return the longest chain of work that is left, in seconds, by estimates.

    :param steps: all those of one occurrence.
    """
    return _find_longest(
        (s.spec, 0.0 if s.is_completed else _estimate(s.spec)) for s in steps
    )


def measure_whole_chain(spec: JobSpec) -> float:
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
    return queue.slack * measure_whole_chain(spec) + queue.allowance.total_seconds()


def judge_step(step: Step, now: float) -> Urgency:
    """Return how urgent a step is.

    A task that lasts is missed for as long as it is away, however late it is.
    """
    job = step.job
    if step.spec.is_lasting:
        return Urgency(Outlook.PUNCTUAL, job.queue.rank, 0.0)
    objective = find_objective(job.queue, job.record.spec)
    chain = measure_chain(job.occurrences[step.occurrence])
    start_by = step.due_at + objective - chain
    if now <= start_by:
        return Urgency(Outlook.PUNCTUAL, job.queue.rank, start_by - now)
    late_by = start_by + (LATE_MULTIPLE - 1) * objective
    if now <= late_by:
        return Urgency(Outlook.LATE, job.queue.rank, late_by - now)
    return Urgency(Outlook.LOST, job.queue.rank, now - late_by)
