"""Detection of tasks that crash the workers that start them.

A worker that crashes reports no ends of its runs, so the only evidence against a task
is that the worker is gone. The tasks beside the faulty one are lost as well, and
workers also crash for reasons of their own. A task is therefore suspect only if it was
among the last that the worker was ordered to start, and if the worker hardly answered
after that.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.state.jobrecords import CordonedRun
from damaskdeck.state.pooljobs import Job, JobIndex, Run, RunPhase, Step, Task

# A worker that was seen for longer after a start did not crash because of it.
EARLY_CRASH_SECONDS = 1.0
# Orders within this time can't be told apart, as a worker may crash before it gets its
# next order.
SIMULTANEOUS_SECONDS = 0.02
# A worker that was restarted just now may crash again for its own reasons.
WARM_UP_SECONDS = 3.0
# A job fails when one of its tasks was suspect this often, because the task would
# crash more workers.
MAX_SUSPECTED_CRASHES = 2
# A job also fails after this many crashes under one task, even if other tasks were
# suspect. Users accept two more starts after that, and crashes may go unseen while
# there is no owner.
MAX_CRASHES = 3
# A long-running task that has run for this long does not crash workers by its start.
STABLE_SECONDS = 10.0

_log = get_logger("crashes")


class CrashOwner(Protocol):
    """What crash detection needs from the owner of the jobs."""

    job_index: JobIndex

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """Set the final state of a job."""

    def mark_dirty(self, job: Job) -> None:
        """Write the progress of a job with the next commit."""


class CrashCount(NamedTuple):
    """The evidence against a task.

    :param crashes: The number of workers that crashed while they ran it or may have run
        it.
    :param suspected: The number of these crashes for which no other task was as likely
        the cause.
    """

    crashes: int
    suspected: int

    @property
    def is_at_limit(self) -> bool:
        """Whether the task has reached a limit, so that its job fails."""
        return self.suspected >= MAX_SUSPECTED_CRASHES or self.crashes >= MAX_CRASHES


class Crashes:
    """Counts crashes against the tasks of one owner's jobs."""

    def __init__(self, owner: CrashOwner) -> None:
        self._owner = owner

    def record_crash(self, contact: WorkerContact, lost: Iterable[Run]) -> None:
        """Record the runs that were lost with a worker.

        :param lost: The runs that the worker had started, or may have started.
        """
        started = [run for run in lost if _may_have_started(run)]
        if not started or contact.is_leaving:
            return
        suspected = _find_suspected(contact, started)
        _log.warn(
            "A worker is gone with its runs.",
            worker=contact.info.identifier,
            runs=len(started),
            suspected=sorted({run.task.name.job for run in suspected}),
        )
        for run in started:
            step = run.task.step
            if (
                step.spec.is_long_running
                and _measure_time_seen(contact, run) >= STABLE_SECONDS
            ):
                step.clear_crashes(run.task)
                self._owner.mark_dirty(step.job)
            else:
                self._count(step, run.task, run.attempt, run in suspected)

    def record_inherited(self, runs: Iterable[CordonedRun]) -> None:
        """Record the runs that the previous owner stored for a worker that is gone.

        Long-running tasks are skipped, as it is not known how long they have run.
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
        if count.is_at_limit and not job.is_final:
            reason = f"{count.crashes} workers crashed under task {task.name[1:]}"
            count_drop("crashes", "given_up")
            self._owner.end_job(job, QueueJobState.FAILED, reason)


def _may_have_started(run: Run) -> bool:
    """Whether a worker may have started a run of a task that is still needed."""
    return run.phase is not RunPhase.ORDERED and not run.task.is_completed


def _find_suspected(contact: WorkerContact, started: list[Run]) -> list[Run]:
    """Return the runs that are the most likely cause of a worker's crash.

    These are confirmed runs of the last orders after which the worker was hardly seen.
    The result is empty for a worker that was restarted just now. Runs that this owner
    adopted are left out, because it doesn't know when they were started.
    """
    confirmed = [run for run in started if run.phase is RunPhase.RUNNING]
    if not confirmed or contact.age < WARM_UP_SECONDS:
        return []
    last = max(run.ordered_at for run in confirmed)
    return [
        run
        for run in confirmed
        if not run.is_adopted
        and last - run.ordered_at <= SIMULTANEOUS_SECONDS
        and _measure_time_seen(contact, run) <= EARLY_CRASH_SECONDS
    ]


def _measure_time_seen(contact: WorkerContact, run: Run) -> float:
    """Return the seconds from a run's order until its worker was last seen.

    A worker that is cut off from its owner may still renew its registration.
    """
    last_seen_at = max(contact.polled_at, run.settled_at, contact.capacity_reported_at)
    return last_seen_at - run.ordered_at
