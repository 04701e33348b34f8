"""The runs that earlier owners may have started, and the jobs that wait for them.

A job whose runs are all on record goes on at once: what it runs on a worker that can't
be read is known. Any other job starts nothing until all its workers are reconciled.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.predecessors.recording import RunRecording
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.logs import get_logger
from damaskdeck.protocol.queues import TaskName
from damaskdeck.state.jobrecords import RUNS_PREFIX, RunsRecord, encode_record
from damaskdeck.state.pooljobs import Job, JobIndex, Run, RunPhase, Task, UnplacedRun

_log = get_logger("owner")


class RunsOwner(Protocol):
    """What inherited runs need from the owner of the jobs."""

    term: OwnerTerm
    job_index: JobIndex
    account_limits: AccountLimits

    @property
    def contacts(self) -> dict[str, WorkerContact]:
        """The contacts to workers, by the identifier of the worker's incarnation."""

    @property
    def recording(self) -> RunRecording:
        """Whether starts wait for their record."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""


class InheritedRuns:
    """Restores the runs of earlier owners, and tells which jobs may have others.

    :param are_reconciled: returns whether all runs of a job on the workers of the given
        availability zones must be known.
    :param on_unknown_worker: called for a recorded run on a worker that isn't known.
    :param on_release: called with a job, which may have ended, that has no unknown runs
        any more.
    """

    def __init__(
        self,
        owner: RunsOwner,
        are_reconciled: Callable[[frozenset[str], str], bool],
        on_unknown_worker: Callable[[], None],
        on_release: Callable[[Job], None],
    ) -> None:
        self._owner = owner
        self._are_reconciled = are_reconciled
        self._on_unknown_worker = on_unknown_worker
        self._on_release = on_release
        # The jobs with unconfirmed runs, ended ones too.
        self._held: dict[str, Job] = {}

    def restore(self, recorded: Mapping[str, RunsRecord]) -> None:
        """Restore the recorded runs; the lists of their workers confirm them or not.

        :param recorded: the records by job.
        """
        for identifier, record in recorded.items():
            job = self._owner.job_index.jobs.get(identifier)
            if job is None:
                continue
            job.are_runs_recorded = record.is_complete
            job.has_complete_record = record.is_complete
            job.stored[RUNS_PREFIX] = encode_record(record)
            for *place, attempt, position in record.runs:
                task = job.find_task(TaskName(identifier, *place))
                contact = self._owner.contacts.get(record.workers[position])
                if task is None:
                    continue
                if contact is not None:
                    self._restore_run(task, contact, attempt)
                    continue
                self._record_unplaced(task, record.workers[position], attempt)

    def _restore_run(self, task: Task, contact: WorkerContact, attempt: int) -> None:
        run = self.add(task, contact, attempt)
        run.phase = RunPhase.RUNNING
        contact.add_run(run)
        if task.step.job.is_final or task.is_completed:
            contact.stop(run)

    def _record_unplaced(self, task: Task, worker: str, attempt: int) -> None:
        """Record a run on a worker that neither the roster nor the registry lists."""
        job = task.step.job
        _log.warn(
            "The worker of a recorded run isn't known.",
            id=job.identifier,
            task=task.name[1:],
            attempt=attempt,
            worker=worker,
        )
        task.attempt = max(task.attempt, attempt)
        job.are_runs_recorded = False
        job.unplaced_runs.append(UnplacedRun(task.name, attempt, worker))
        self._on_unknown_worker()

    def add(self, task: Task, contact: WorkerContact, attempt: int) -> Run:
        """Add a run that an earlier owner has started, and return it."""
        run = Run(task, contact.info.identifier, attempt, self._owner.now())
        run.is_adopted = True
        task.attempt = max(task.attempt, attempt)
        task.add_run(run)
        if not contact.is_reconciled:
            self._owner.account_limits.record_inherited_run(run)
        return run

    def hold_jobs(self) -> None:
        """Hold back the jobs that may have runs unknown to this owner."""
        self._held.clear()
        for job in self._owner.job_index.jobs.values():
            self.hold_if_unconfirmed(job)

    def hold_if_unconfirmed(self, job: Job) -> None:
        """Hold a job back if it may have runs unknown to this owner."""
        job.has_unconfirmed_runs = self.may_exist(job)
        if job.has_unconfirmed_runs:
            self._held[job.identifier] = job

    def may_exist(self, job: Job) -> bool:
        """Whether a job may have runs of a predecessor that this owner doesn't know.

        They can only be on workers of the zones that the job was confined to when this
        owner's takeover ended the commits of its predecessor.
        """
        is_older = job.record.epoch < self._owner.term.epoch
        if not is_older:
            return False
        if job.are_runs_recorded and self._owner.recording.is_inherited_complete:
            return False
        return not self._are_reconciled(job.zones, job.identifier)

    def list_unconfirmed_jobs(self) -> Iterator[Job]:
        """Yield the jobs, ended ones too, that may have runs unknown to this owner."""
        return filter(self.may_exist, self._owner.job_index.jobs.values())

    def sweep(self) -> None:
        """Release jobs once the record of their runs is known to be complete."""
        if self._held and self._owner.recording.is_inherited_complete:
            self.release_jobs()

    def release_jobs(self) -> None:
        """Let jobs start tasks once no worker can hold unknown runs of them."""
        for job in list(self._held.values()):
            if self.may_exist(job):
                continue
            del self._held[job.identifier]
            job.has_unconfirmed_runs = False
            job.unplaced_runs.clear()
            job.confirmed_at = self._owner.now()
            self._on_release(job)
