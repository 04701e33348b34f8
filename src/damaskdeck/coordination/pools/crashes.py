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
from damaskdeck.metrics import count_drop, count_retry
from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.state.jobrecords import CordonedRun, RecordedStart
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
# suspect. Users accept five starts, and one crash may go unseen. A start that was never
# confirmed counts too, so with fewer a task would fail that hardly ran.
MAX_CRASHES = 4
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
        # Starts that the previous owner recorded, by the worker's incarnation.
        self._inherited: dict[str, list[RecordedStart]] = {}
        # Zones with a worker that this owner could not read.
        self._unread_zones: set[str] = set()
        # Incarnations that were silent when their runs were recorded.
        self._given_up: set[str] = set()

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
            evidence="replaced" if contact.is_gone else "not_listed",
        )
        if not contact.is_gone:
            self._given_up.add(contact.info.identifier)
        for run in started:
            step = run.task.step
            if (
                step.spec.is_long_running
                and _measure_time_seen(contact, run) >= STABLE_SECONDS
            ):
                step.clear_crashes(run.task)
                step.job.recorded_starts.discard(run.task.name)
                self._owner.mark_dirty(step.job)
            else:
                self._count(step, run.task, run.attempt, run in suspected)

    def handle_answer(self, contact: WorkerContact) -> None:
        """Handle an answer of a worker, which may have been given up before."""
        if contact.info.identifier in self._given_up:
            self._given_up.discard(contact.info.identifier)
            _log.warn(
                "A worker that was given up answers.", worker=contact.info.identifier
            )
            count_retry("crashes", "answers")

    def record_inherited(self, worker: str, runs: Iterable[CordonedRun]) -> None:
        """Record the runs that the previous owner stored for a worker that is gone.

        Long-running tasks are skipped, as it is not known how long they have run.

        :param worker: The worker's incarnation.
        :param runs: The runs that its cordon names.
        """
        recorded = self._inherited.pop(worker, ())
        for run in {*runs, *(CordonedRun(s.task, s.attempt) for s in recorded)}:
            task = self._owner.job_index.find_task(run.task)
            if task is None or task.is_completed or task.step.spec.is_long_running:
                continue
            self._count(task.step, task, run.attempt, False)

    def load(self) -> None:
        """Find the starts that the previous owner recorded, once jobs are loaded."""
        for job in self._owner.job_index.open_jobs.values():
            for start in job.recorded_starts.list_unsettled():
                self._inherited.setdefault(start.worker, []).append(start)

    def handle_reconciled(self, contact: WorkerContact, is_cordoned: bool) -> None:
        """Handle a worker on which nothing unknown to this owner runs any more.

        If this owner could not read what the worker ran, a crash may have gone unseen.

        :param is_cordoned: Whether the previous owner recorded what the worker ran.
        """
        if contact.is_reconciled:
            self._clear_unlisted(contact)
        elif not is_cordoned:
            self._require_records(contact.info.zone)

    def _clear_unlisted(self, contact: WorkerContact) -> None:
        """Clear the recorded starts that a worker doesn't list."""
        for start in self._inherited.pop(contact.info.identifier, ()):
            job = self._owner.job_index.open_jobs.get(start.task.job)
            is_listed = (start.task, start.attempt) in contact.runs
            if job is not None and not is_listed:
                job.recorded_starts.clear(start.task, start.attempt)
                self._owner.mark_dirty(job)

    def _require_records(self, zone: str) -> None:
        """Record further starts of the tasks that may have run in a zone."""
        if zone in self._unread_zones:
            return
        self._unread_zones.add(zone)
        for job in self._owner.job_index.open_jobs.values():
            if not job.has_unconfirmed_runs or not job.may_run_in(zone):
                continue
            waiting = _list_waiting(job)
            for task in waiting:
                job.recorded_starts.require(task.name)
            if waiting:
                self._owner.mark_dirty(job)

    def _count(self, step: Step, task: Task, attempt: int, is_suspected: bool) -> None:
        step.record_crash(task, attempt, is_suspected)
        job = step.job
        job.recorded_starts.require(task.name)
        self._owner.mark_dirty(job)
        count = CrashCount(*step.count_crashes(task))
        _log.warn(
            "A crash counts against a task.",
            id=job.identifier,
            task=task.name[1:],
            attempt=attempt,
            is_suspected=is_suspected,
            crashes=count.crashes,
            suspected=count.suspected,
        )
        if count.is_at_limit and not job.is_final:
            reason = f"{count.crashes} workers crashed under task {task.name[1:]}"
            count_drop("crashes", "given_up")
            self._owner.end_job(job, QueueJobState.FAILED, reason)


def _list_waiting(job: Job) -> list[Task]:
    """List the tasks that may have been started before and are not running."""
    return [
        task
        for step in job.list_steps()
        if step.is_due and not step.spec.is_long_running
        for task in step.tasks
        if task.is_waiting
    ]


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
