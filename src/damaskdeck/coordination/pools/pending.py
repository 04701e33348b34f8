"""The steps with tasks to start, updated as jobs change.

With some hundred open jobs, a search through all steps would take milliseconds, whereas
one event changes the steps of one job only.
"""

from typing import NamedTuple

from damaskdeck.coordination.pools.relocation import may_run_copies
from damaskdeck.coordination.pools.urgency import (
    Deadlines,
    Urgency,
    compute_urgency,
    find_deadlines,
)
from damaskdeck.state.pooljobs import Job, Step, Task


class PendingStep:
    """A step with tasks that wait for capacity.

    :ivar tasks: the waiting tasks; of a gang all tasks.
    :ivar is_tried: whether all workers were tried since the step last changed. Then
        only workers whose free capacity has grown since need to be tried.
    """

    __slots__ = ("deadlines", "is_tried", "name", "step", "tasks")

    def __init__(self, step: Step, tasks: list[Task], deadlines: Deadlines) -> None:
        self.step = step
        self.name = step.name
        self.tasks = tasks
        self.deadlines = deadlines
        self.is_tried = False


class RankedStep(NamedTuple):
    """A pending step with its sort key."""

    urgency: Urgency
    name: str
    pending: PendingStep


class PendingSteps:
    """All pending steps of an owner's jobs."""

    def __init__(self) -> None:
        self._steps: dict[str, dict[str, PendingStep]] = {}
        self._changed_jobs: dict[str, Job] = {}

    def mark_changed(self, job: Job) -> None:
        """Record that the steps of a job may have changed."""
        self._changed_jobs[job.identifier] = job

    def retry(self, step: Step) -> None:
        """Let the next pass try all workers again for a step."""
        pending = self._steps.get(step.job.identifier, {}).get(step.name)
        if pending is not None:
            pending.is_tried = False

    def retry_all(self) -> None:
        """Let the next pass try all workers again for every step."""
        for steps in self._steps.values():
            for pending in steps.values():
                pending.is_tried = False

    def rank(self, now: float) -> list[RankedStep]:
        """List the pending steps, most urgent first."""
        changed_jobs, self._changed_jobs = self._changed_jobs, {}
        for job in changed_jobs.values():
            self._renew(job)
        ranked = [
            RankedStep(
                compute_urgency(pending.step, pending.deadlines, now), name, pending
            )
            for steps in self._steps.values()
            for name, pending in steps.items()
        ]
        ranked.sort(key=lambda entry: entry[:2])
        return ranked

    def _renew(self, job: Job) -> None:
        steps = {} if job.is_final else _list_pending(job)
        if steps:
            self._steps[job.identifier] = steps
        else:
            self._steps.pop(job.identifier, None)


def _list_pending(job: Job) -> dict[str, PendingStep]:
    return {
        step.name: PendingStep(step, tasks, find_deadlines(step))
        for step in job.list_steps()
        if not job.has_unconfirmed_runs or may_run_copies(step)
        if step.is_due and (tasks := step.list_waiting())
    }
