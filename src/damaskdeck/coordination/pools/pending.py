"""The steps with tasks to start, kept as jobs change in place of searched for.

With some hundred open jobs a search through all steps costs milliseconds; what one
event changes is the steps of one job.
"""

from typing import NamedTuple

from damaskdeck.coordination.pools.relocation import may_have_copies
from damaskdeck.coordination.pools.urgency import (
    Deadlines,
    Urgency,
    find_deadlines,
    judge_deadlines,
)
from damaskdeck.state.pooljobs import Job, Step, Task


class PendingStep:
    """A step with tasks that wait for room.

    :ivar tasks: those that wait; of a gang all.
    :ivar is_tried: whether all workers were looked at for it since it last changed:
        then only those whose room has grown since can help.
    """

    __slots__ = ("deadlines", "is_tried", "name", "step", "tasks")

    def __init__(self, step: Step, tasks: list[Task], deadlines: Deadlines) -> None:
        self.step = step
        self.name = step.name
        self.tasks = tasks
        self.deadlines = deadlines
        self.is_tried = False


class RankedStep(NamedTuple):
    """A pending step with its place in the order of urgency."""

    urgency: Urgency
    name: str
    pending: PendingStep


class PendingSteps:
    """All pending steps of an owner's jobs."""

    def __init__(self) -> None:
        self._steps: dict[str, dict[str, PendingStep]] = {}
        self._touched: dict[str, Job] = {}

    def mark_changed(self, job: Job) -> None:
        """Take note that a job's steps may have changed."""
        self._touched[job.identifier] = job

    def retry(self, step: Step) -> None:
        """Let all workers be looked at again for a step."""
        pending = self._steps.get(step.job.identifier, {}).get(step.name)
        if pending is not None:
            pending.is_tried = False

    def retry_all(self) -> None:
        """Let all workers be looked at again for every step."""
        for steps in self._steps.values():
            for pending in steps.values():
                pending.is_tried = False

    def rank(self, now: float) -> list[RankedStep]:
        """List what is pending, most urgent first."""
        touched, self._touched = self._touched, {}
        for job in touched.values():
            self._renew(job)
        ranked = [
            RankedStep(
                judge_deadlines(pending.step, pending.deadlines, now), name, pending
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
        if not job.has_unconfirmed_runs or may_have_copies(step)
        if step.is_due and (tasks := step.list_waiting())
    }
