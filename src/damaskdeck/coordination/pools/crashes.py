"""Detection of tasks that crash the workers that start them.

A worker that crashes reports no ends of its runs, so the only evidence against a task
is that another incarnation has taken the worker's place. The tasks beside the faulty
one are lost as well, and workers also crash for reasons of their own. A task is
therefore suspect only if it was among the last that the worker was ordered to start,
and if the worker hardly answered after that.

Runs that are abandoned on a silent worker count once it is known that the worker has
crashed. Until then they only delay a further start that might exceed the limit. If that
takes too long, the workers that are still absent are presumed to have crashed.
"""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from damaskdeck.coordination.pools.absences import (
    AbandonedRun,
    Absence,
    AbsenceOutcome,
    Absences,
)
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, count_retry
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import QueueJobState, TaskName
from damaskdeck.state.jobrecords import CordonedRun, RecordedStart, UnconfirmedCrash
from damaskdeck.state.pooljobs import Job, JobIndex, Run, RunPhase, Task
from damaskdeck.state.recordedstarts import ALL

# A worker that was seen for longer after a start did not crash because of it.
EARLY_CRASH_SECONDS = 1.0
# Orders within this time can't be told apart, as a worker may crash before it gets its
# next order.
SIMULTANEOUS_SECONDS = 0.02
# A worker that was restarted just now may crash again for its own reasons.
WARM_UP_SECONDS = 3.0
# A worker that has been absent for this long is presumed to have crashed if a task
# waits for it. A network partition rarely lasts longer.
MAX_ABSENCE_SECONDS = 30.0
# A long-running task that has run for this long does not crash workers by its start.
STABLE_SECONDS = 10.0
# The starts of all tasks of a step are recorded where more of them have to be.
MAX_LISTED_TASKS = 64

_log = get_logger("crashes")


class CrashOwner(Protocol):
    """What crash detection needs from the owner of the jobs."""

    job_index: JobIndex

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """Set the final state of a job."""

    def mark_dirty(self, job: Job) -> None:
        """Write the progress of a job with the next commit."""

    def requeue(self, job: Job) -> None:
        """Let the waiting tasks of a job be placed again."""


class _MovedRun(NamedTuple):
    """An order that the next incarnation of its worker may carry out.

    :param origin: The contact to the incarnation that it was sent to.
    :param counts: Whether it counts as lost with that incarnation, unless the next one
        is found to have carried it out.
    """

    origin: WorkerContact
    counts: bool
    is_suspected: bool


class Crashes:
    """Counts crashes against the tasks of one owner's jobs."""

    def __init__(self, owner: CrashOwner) -> None:
        self._owner = owner
        # Starts that the previous owner recorded, by the worker's incarnation.
        self._inherited: dict[str, list[RecordedStart]] = {}
        # Zones with a worker that this owner could not read.
        self._unread_zones: set[str] = set()
        self._absences = Absences()
        self._prune_at = 0.0
        # Tasks that must not start until an absence ends or has lasted too long.
        self._held: set[Task] = set()
        self._moved: dict[Run, _MovedRun] = {}
        # The suspected runs of workers that have returned under their name.
        self._suspected: dict[WorkerContact, list[Run]] = {}

    def record_replacement(self, contact: WorkerContact) -> None:
        """Record that a worker has returned under its name.

        The suspected runs are determined before some of them are moved to the next
        incarnation. A moved run counts once it is known that it is not there.
        """
        if contact.is_leaving:
            started: list[Run] = []
        else:
            started = [run for run in contact.runs.values() if _may_have_started(run)]
        suspected = _find_suspected(contact, started)
        moved = contact.list_unlisted_runs()
        if len(moved) < len(contact.runs):
            self._suspected[contact] = suspected
        for run in moved:
            if run not in self._moved:
                self._moved[run] = _MovedRun(contact, run in started, run in suspected)
                contact.moved_runs.add(run)

    def settle_moved_run(self, run: Run, is_lost: bool) -> None:
        """Handle the end of a run that may have been moved to another incarnation.

        :param is_lost: Whether it is gone without a reported end.
        """
        moved = self._moved.pop(run, None)
        if moved is None:
            return
        moved.origin.moved_runs.discard(run)
        has_run = run.is_listed or not is_lost
        if moved.counts and not has_run and not run.task.is_completed:
            self._count(run.task, run.attempt, moved.is_suspected)

    def record_loss(self, contact: WorkerContact, lost: Iterable[Run]) -> None:
        """Record the runs that were lost with a worker or abandoned on it.

        :param lost: The runs that the worker had started, or may have started.
        """
        started = [run for run in lost if _may_have_started(run)]
        suspected = self._suspected.pop(contact, None)
        if not started or contact.is_leaving:
            return
        if contact.is_gone:
            if suspected is None:
                suspected = _find_suspected(contact, started)
            self._record_crash(contact, started, suspected)
        else:
            self._record_silence(contact, started)

    def _record_crash(
        self, contact: WorkerContact, started: list[Run], suspected: list[Run]
    ) -> None:
        _log.warn(
            "A worker is gone with its runs.",
            worker=contact.info.identifier,
            runs=len(started),
            suspected=sorted({run.task.name.job for run in suspected}),
        )
        for run in started:
            if _has_run_well(contact, run):
                self._clear(run.task)
            else:
                self._count(run.task, run.attempt, run in suspected)

    def _record_silence(self, contact: WorkerContact, started: list[Run]) -> None:
        _log.warn(
            "Runs are abandoned on a silent worker.",
            worker=contact.info.identifier,
            runs=len(started),
            is_listed=contact.is_listed,
        )
        for run in started:
            if _has_run_well(contact, run):
                self._clear(run.task)
            else:
                self._record_unconfirmed(contact.info, run.task, run.attempt)

    def _clear(self, task: Task) -> None:
        """Clear the crashes of a long-running task that has run well."""
        job = task.step.job
        task.step.crash_counts.clear(task.name.index)
        job.recorded_starts.discard(task.name)
        self._owner.mark_dirty(job)

    def _record_unconfirmed(self, worker: PoolWorker, task: Task, attempt: int) -> None:
        """Record a run whose silent worker may have crashed under it."""
        counts, index = task.step.crash_counts, task.name.index
        crash = UnconfirmedCrash(task.name, attempt, worker.identifier, worker.address)
        if not counts.record_unconfirmed(crash):
            return
        self._absences.add(
            worker.identifier,
            worker.address,
            AbandonedRun(task, attempt),
            self._owner.now(),
        )
        job = task.step.job
        job.recorded_starts.require(task.name)
        self._owner.mark_dirty(job)
        if counts.is_held(index):
            _log.warn(
                "A task waits until it is known whether silent workers have crashed.",
                id=job.identifier,
                task=task.name[1:],
                crashes=counts.count(index),
                unconfirmed=len(counts.unconfirmed[index]),
            )
            self._held.add(task)
            self._owner.requeue(job)

    def handle_answer(self, contact: WorkerContact) -> None:
        """Handle an answer of a worker, which may have been silent."""
        self._resolve_worker(contact.info.identifier, AbsenceOutcome.ALIVE)

    def handle_replacement(self, contact: WorkerContact) -> None:
        """Handle the end of a worker's incarnation, which may have been silent."""
        self._resolve_worker(contact.info.identifier, AbsenceOutcome.REPLACED)

    def handle_registration(self, worker: PoolWorker, reported_at: float) -> None:
        """Handle a registration, which may be of a worker that was silent.

        :param reported_at: The earliest monotonic time in seconds at which the worker
            may have written it.
        """
        if not self._absences:
            return
        ended = self._absences.take_registered(
            worker.identifier, worker.address, reported_at
        )
        for absence, outcome in ended:
            self._resolve(absence, outcome)

    def sweep(self, now: float, followed_since: float) -> None:
        """Decide on tasks that have waited for absent workers for too long.

        :param followed_since: Monotonic seconds since which the registry has been
            followed without a failure. Absence can't be told before.
        """
        latest = now - MAX_ABSENCE_SECONDS
        for task in list(self._held):
            if not _is_held(task):
                self._held.discard(task)
            elif followed_since <= latest:
                self._presume_crashes(task, latest)
        if now >= self._prune_at:
            self._prune_at = now + MAX_ABSENCE_SECONDS
            self._absences.retain(lambda run: _is_open(run.task))

    def _presume_crashes(self, task: Task, latest: float) -> None:
        """Count the crashes under a task whose workers have been absent for long."""
        counts, index, job = task.step.crash_counts, task.name.index, task.step.job
        for crash in list(counts.unconfirmed[index].values()):
            if self._absences.is_absent_since(crash.worker, latest):
                count_retry("crashes", "gone")
                self._count(task, crash.attempt, False)
        self._owner.requeue(job)

    def _resolve_worker(self, worker: str, outcome: AbsenceOutcome) -> None:
        absence = self._absences.take(worker)
        if absence is not None:
            self._resolve(absence, outcome)

    def _resolve(self, absence: Absence, outcome: AbsenceOutcome) -> None:
        """Count the runs that were abandoned on a worker, or forget them."""
        _log.warn(
            "It is known whether a silent worker has crashed.",
            worker=absence.worker,
            outcome=outcome,
            runs=len(absence.runs),
            seconds=round(self._owner.now() - absence.since, 3),
        )
        count_retry("crashes", outcome)
        for task, attempt in absence.runs:
            counts, job = task.step.crash_counts, task.step.job
            if job.is_final or not counts.discard_unconfirmed(task.name.index, attempt):
                continue
            if outcome is AbsenceOutcome.REPLACED and not task.is_completed:
                self._count(task, attempt, False)
            self._owner.mark_dirty(job)
            self._owner.requeue(job)

    def load(self) -> None:
        """Find what the previous owner recorded, once jobs are loaded."""
        for job in self._owner.job_index.open_jobs.values():
            for start in job.recorded_starts.list_unsettled():
                self._inherited.setdefault(start.worker, []).append(start)
            self._load_unconfirmed(job)

    def _load_unconfirmed(self, job: Job) -> None:
        now = self._owner.now()
        for step in job.list_steps():
            for crash in step.crash_counts.list_unconfirmed():
                task = step.tasks[crash.task.index]
                run = AbandonedRun(task, crash.attempt)
                self._absences.add(crash.worker, crash.address, run, now)
                if _is_held(task):
                    self._held.add(task)

    def handle_reconciled(
        self, contact: WorkerContact, cordoned: tuple[CordonedRun, ...] | None
    ) -> None:
        """Handle a worker on which nothing unknown to this owner runs any more.

        If this owner could not read what the worker ran, a crash may have gone unseen.

        :param cordoned: The runs that the previous owner recorded with the worker's
            cordon, ``None`` if it had none.
        """
        if contact.is_reconciled:
            self._clear_unlisted(contact)
            return
        if cordoned is None:
            self._require_records(contact.info.zone)
        self._record_inherited(contact, cordoned or ())

    def _record_inherited(
        self, contact: WorkerContact, cordoned: tuple[CordonedRun, ...]
    ) -> None:
        """Record the runs that the previous owner stored for a worker.

        Long-running tasks are skipped, as it is not known how long they have run.
        """
        recorded = self._inherited.pop(contact.info.identifier, ())
        if contact.is_leaving:
            return
        for run in {*cordoned, *(CordonedRun(s.task, s.attempt) for s in recorded)}:
            task = self._owner.job_index.find_task(run.task)
            if task is None or not _is_open(task) or task.step.spec.is_long_running:
                continue
            self._owner.requeue(task.step.job)
            if contact.is_gone:
                self._count(task, run.attempt, False)
            else:
                self._record_unconfirmed(contact.info, task, run.attempt)

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
            if _require_records_of_waiting(job):
                self._owner.mark_dirty(job)

    def _count(self, task: Task, attempt: int, is_suspected: bool) -> None:
        """Count a crash, and fail the job if a limit is reached.

        In a gang, only the members that ran on that worker count. The others end with
        them, but crashed nothing.
        """
        counts, index, job = task.step.crash_counts, task.name.index, task.step.job
        counts.record(index, attempt, is_suspected)
        job.recorded_starts.require(task.name)
        self._owner.mark_dirty(job)
        crashes = counts.count(index)
        _log.warn(
            "A crash counts against a task.",
            id=job.identifier,
            task=task.name[1:],
            attempt=attempt,
            is_suspected=is_suspected,
            crashes=crashes,
            suspected=counts.count_suspected(index),
        )
        if counts.is_at_limit(index) and not job.is_final:
            reason = f"{crashes} workers crashed under task {task.name[1:]}"
            count_drop("crashes", "given_up")
            self._owner.end_job(job, QueueJobState.FAILED, reason)


def _require_records_of_waiting(job: Job) -> bool:
    """Record further starts of the tasks that may have been started before.

    :returns: whether there are any.
    """
    steps = [step for step in job.waiting if not step.spec.is_long_running]
    for step in steps:
        name = TaskName(job.identifier, step.occurrence, step.number, ALL)
        if step.tasks.count_waiting() > MAX_LISTED_TASKS:
            job.recorded_starts.require(name)
            continue
        for index in step.tasks.list_waiting_indexes():
            job.recorded_starts.require(name._replace(index=index))
    if job.has_more:
        job.recorded_starts.require(TaskName(job.identifier, ALL, ALL, ALL))
    return bool(steps) or job.has_more


def _is_open(task: Task) -> bool:
    """Whether a task may still be started."""
    return not (task.is_completed or task.step.job.is_final)


def _is_held(task: Task) -> bool:
    """Whether a task must not start until an unconfirmed crash is resolved."""
    return _is_open(task) and task.step.crash_counts.is_held(task.name.index)


def _may_have_started(run: Run) -> bool:
    """Whether a worker may have started a run of a task that is still needed."""
    return run.phase is not RunPhase.ORDERED and not run.task.is_completed


def _has_run_well(contact: WorkerContact, run: Run) -> bool:
    """Whether a long-running task ran too long to have crashed its worker."""
    is_long_running = run.task.step.spec.is_long_running
    return is_long_running and _measure_time_seen(contact, run) >= STABLE_SECONDS


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
