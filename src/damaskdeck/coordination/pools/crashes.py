"""Tasks that crash the workers that start them: which they are, and when one ends.

A worker that crashes lists no end of what it ran, so nothing but its going speaks
against a task. What ran beside the guilty one is lost as well, and workers crash for
their own reasons, too: so what a worker was last told to start is suspected, and
only as long as it had hardly been heard since.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.state.jobrecords import CordonedRun
from damaskdeck.state.pooljobs import Job, JobIndex, Run, RunPhase, Step, Task

# A worker that was heard for longer after a start didn't crash because of it.
EARLY_SECONDS = 1.0
# What was ordered within so long can't be told apart: a crash may come sooner than the
# next order to the same worker.
AT_ONCE_SECONDS = 0.02
# A worker that has only just come back may go again for its own reasons.
WARM_UP_SECONDS = 3.0
# A task that was suspected so often is given up: it would take more workers down.
MOST_SUSPECTED = 2
# So is one under which so many have crashed, whatever spoke against others: the users
# allow two more starts then, and crashes may go unseen while nobody owns.
MOST_CRASHES = 3
# A lasting task that had been at work for so long is none that its start crashes.
WELL_SECONDS = 10.0

_log = get_logger("crashes")


class CrashOwner(Protocol):
    """What is asked of the owner whose tasks crash workers."""

    job_index: JobIndex

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """Give a job its final state."""

    def mark_dirty(self, job: Job) -> None:
        """Let the journal write a job's progress."""


class CrashCount(NamedTuple):
    """What speaks against a task.

    :param crashes: workers that have crashed under it.
    :param suspected: those of them for which nothing else was as likely the cause.
    """

    crashes: int
    suspected: int

    @property
    def is_enough(self) -> bool:
        """Whether the task is given up."""
        return self.suspected >= MOST_SUSPECTED or self.crashes >= MOST_CRASHES


class Crashes:
    """Counts crashes against the tasks of one owner's jobs."""

    def __init__(self, owner: CrashOwner) -> None:
        self._owner = owner

    def record_crash(self, contact: WorkerContact, lost: Iterable[Run]) -> None:
        """Take note of what went with a worker that is gone.

        :param lost: runs that it had taken, or may have.
        """
        taken = [run for run in lost if _may_have_crashed(run)]
        if not taken or contact.is_leaving:
            return
        suspected = _find_suspected(contact, taken)
        _log.warn(
            "A worker is gone with what it ran.",
            worker=contact.info.identifier,
            runs=len(taken),
            suspected=sorted({run.task.name.job for run in suspected}),
        )
        for run in taken:
            step = run.task.step
            if (
                step.spec.is_long_running
                and _measure_life(contact, run) >= WELL_SECONDS
            ):
                step.clear_crashes(run.task)
                self._owner.mark_dirty(step.job)
            else:
                self._count(step, run.task, run.attempt, run in suspected)

    def record_inherited(self, runs: Iterable[CordonedRun]) -> None:
        """Take note of what the owner before has written of a worker that is gone.

        Of a task that lasts it isn't known how long it had been at work.
        """
        for run in runs:
            task = self._owner.job_index.find_task(run.task)
            if task is None or task.is_completed or task.step.spec.is_long_running:
                continue
            self._count(task.step, task, run.attempt, False)

    def _count(self, step: Step, task: Task, attempt: int, is_suspected: bool) -> None:
        step.record_crash(task, attempt, is_suspected)
        job = step.job
        self._owner.mark_dirty(job)
        count = CrashCount(*step.count_crashes(task))
        if count.is_enough and not job.is_final:
            reason = f"{count.crashes} workers crashed under task {task.name[1:]}"
            count_drop("crashes", "given_up")
            self._owner.end_job(job, QueueJobState.FAILED, reason)


def _may_have_crashed(run: Run) -> bool:
    """Whether a worker may have begun a run of a task that is still wanted."""
    return run.phase is not RunPhase.ORDERED and not run.task.is_completed


def _find_suspected(contact: WorkerContact, taken: list[Run]) -> list[Run]:
    """Return the runs that a worker may have crashed under, and hardly others.

    Of what was ordered last; an owner can't tell when a run began that it found.
    """
    confirmed = [run for run in taken if run.phase is RunPhase.RUNNING]
    if not confirmed or contact.age < WARM_UP_SECONDS:
        return []
    last = max(run.ordered_at for run in confirmed)
    return [
        run
        for run in confirmed
        if not run.is_adopted
        and last - run.ordered_at <= AT_ONCE_SECONDS
        and _measure_life(contact, run) <= EARLY_SECONDS
    ]


def _measure_life(contact: WorkerContact, run: Run) -> float:
    """Return for how many seconds a run's worker was heard after its order."""
    heard_at = max(contact.polled_at, run.settled_at)
    return heard_at - run.ordered_at
