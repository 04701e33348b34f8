"""Amounts of work, by the submitters' estimates."""

from typing import NamedTuple

from damaskdeck.protocol.queues import JobSpec, StepSpec


class Work(NamedTuple):
    """Work in each dimension of capacity that the load of a pool may exhaust.

    :param processors: in millicore-seconds.
    :param memory: in MiB-seconds.
    """

    processors: float = 0.0
    memory: float = 0.0

    def plus(self, other: "Work") -> "Work":
        """Return the sum of two amounts."""
        return Work(self.processors + other.processors, self.memory + other.memory)


NO_WORK = Work()


def estimate_work(spec: StepSpec, tasks: int) -> Work:
    """Return the work of a number of tasks of a step.

    Long-running tasks have no work that could be finished.
    """
    if spec.is_long_running:
        return NO_WORK
    seconds = spec.estimate.total_seconds() * tasks
    return Work(spec.size.millicores * seconds, spec.size.memory * seconds)


def estimate_job_work(spec: JobSpec) -> Work:
    """Return the work of one occurrence of a job."""
    total = NO_WORK
    for step in spec.steps:
        total = total.plus(estimate_work(step, step.tasks))
    return total


def measure_seconds(work: Work, rate: Work) -> float:
    """Return the seconds that ``work`` takes at ``rate``, its units per second.

    A dimension without a rate is ignored, as nothing is known of it.
    """
    return max(
        amount / speed if speed > 0 else 0.0
        for amount, speed in zip(work, rate, strict=True)
    )
