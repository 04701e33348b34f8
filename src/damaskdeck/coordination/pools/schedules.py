"""The jobs with a schedule, whose occurrences are due at set times."""

from collections.abc import Callable
from typing import Protocol

from damaskdeck.clock import Clock
from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.state.pooljobs import Job


class ScheduleOwner(Protocol):
    """What schedules need from the owner of the jobs."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """Set the final state of a job."""


class Schedules:
    """Lets the occurrences of one owner's jobs take their turn once they are due.

    :param mark_changed: called with a job of which more occurrences are due.
    """

    def __init__(
        self,
        owner: ScheduleOwner,
        clock: Clock,
        mark_changed: Callable[[Job], None],
    ) -> None:
        self._owner = owner
        self._clock = clock
        self._mark_changed = mark_changed
        # The jobs with occurrences that aren't due yet.
        self._jobs: dict[str, Job] = {}

    def add(self, job: Job) -> None:
        """Add a job, if it has a schedule."""
        if job.record.spec.repeats and not job.is_final:
            self._jobs[job.identifier] = job

    def update(self) -> None:
        """Let the occurrences that have become due take their turn."""
        if not self._jobs:
            return
        now = self._owner.now()
        offset = now - self._clock.now().timestamp()
        for identifier, job in list(self._jobs.items()):
            if job.is_final:
                del self._jobs[identifier]
                continue
            first_due_at = job.record.spec.start_at.total_seconds() + offset
            if job.update_schedule(first_due_at, now):
                self._mark_changed(job)
            if job.is_schedule_due:
                del self._jobs[identifier]
                if job.close_if_completed(now):
                    reason = "all tasks completed"
                    self._owner.end_job(job, QueueJobState.COMPLETED, reason)
