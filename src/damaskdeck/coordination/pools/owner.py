"""The pools' owner: knows all jobs on queues and all workers, and decides.

It lives as long as its mandate. Its memory is filled from the store and from the
workers' inventories; a task that a predecessor may have started on a worker that
doesn't answer waits until nothing can run there any more.
"""

import asyncio
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.accountmetrics import AccountMetrics
from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.ceilings import Ceilings
from damaskdeck.coordination.pools.changeset import ChangeKind, ChangeSet
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.crashes import Crashes
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.coordination.pools.delegatedcommits import DelegatingStore
from damaskdeck.coordination.pools.dispatcher import Dispatcher
from damaskdeck.coordination.pools.intake import Intake
from damaskdeck.coordination.pools.journal import Journal
from damaskdeck.coordination.pools.supervision import Supervisor
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.workerfleet import (
    FleetDependencies,
    Workforce,
    WorkforceEvents,
)
from damaskdeck.coordination.pools.zoneconfinement import measure_zone_capacities
from damaskdeck.logs import get_logger
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.poolmessages import ReportCapacity
from damaskdeck.protocol.pools import (
    EndedTask,
    EndKind,
    RunningTask,
)
from damaskdeck.protocol.queues import QueueJobState, QueueTable
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import Write
from damaskdeck.state.pooljobs import Job, JobIndex, Run, Step, Task

SWEEP_INTERVAL = timedelta(milliseconds=100)
# A few messages a second for each daemon; room changes with each second's jobs.
ROOM_INTERVAL = timedelta(milliseconds=500)
# How long a contact waits for the store before it looks at its worker again: so much
# later at most a next step starts while the store is slow or away.
DURABLE_WAIT = timedelta(milliseconds=100)
# Attempts of a later epoch start above those of the ones before.
ATTEMPTS_OF_EPOCH = 100

_log = get_logger("owner")


class OwnerDependencies(NamedTuple):
    """What an owner works with.

    :param basis: what it shares with its workforce.
    :param declarations: the queues and accounts in force on this daemon.
    :param commits: makes the owner's commits.
    """

    basis: FleetDependencies
    peers: Peers
    declarations: Declarations
    commits: DelegatingStore


class PoolOwner:
    """Decides for all pools under one mandate.

    :ivar intake: how jobs come to it.
    :ivar is_loaded: whether the jobs have been read from the store.
    """

    def __init__(self, term: OwnerTerm, parts: OwnerDependencies) -> None:
        self.term = term
        self.job_index = JobIndex()
        self.is_loaded = False
        basis = self._basis = parts.basis
        self._clock = basis.clock
        self._declarations = parts.declarations
        self._peers = parts.peers
        self._changes = ChangeSet(
            self.job_index,
            lambda: self._journal,
            self._write_workers,
            lambda: self.dispatcher.request_full_pass(),
        )
        self._journal = Journal(
            term,
            basis.leadership,
            parts.commits,
            basis.clock,
            basis.times,
            self._changes.gather,
        )
        self.advice_scheduler = AdviceScheduler(
            parts.peers,
            basis.clock,
            basis.leadership.list_members,
            lambda step: self.dispatcher.handle_advice(step),
        )
        self.account_limits = AccountLimits(
            self, Ceilings(self._changes.record_ceiling_change)
        )
        self._account_metrics = AccountMetrics(
            self.job_index, lambda name: self.account_limits.get_usage(name).millicores
        )
        self.dispatcher = Dispatcher(
            self, basis.clock, basis.times, self.advice_scheduler
        )
        self._supervisor = Supervisor(
            self, self.dispatcher, basis.times, self.advice_scheduler
        )
        self._crashes = Crashes(self)
        self.intake = Intake(self, basis.store, basis.leadership, basis.clock)
        self._workforce = Workforce(
            term,
            basis,
            self,
            WorkforceEvents(
                self.dispatcher.request_full_pass,
                self._changes.record_roster_change,
                self._make_sure,
                self._changes.record_cordon_change,
                self._crashes.record_inherited,
            ),
        )

    @property
    def contacts(self) -> dict[str, WorkerContact]:
        """Contacts to workers, by the identifier of their life."""
        return self._workforce.contacts

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.monotonic().total_seconds()

    def get_table(self) -> QueueTable | None:
        """Return the declared queues in force here."""
        return self._declarations.table

    def are_quotas_fresh(self) -> bool:
        """Whether the document in force is fresh enough to start work by it."""
        return self._declarations.is_fresh(self._basis.times.document_max_age)

    def list_unreconciled(self) -> list[Size]:
        """List the sizes of the workers that may run what isn't known."""
        return self._workforce.list_unreconciled()

    def list_unconfirmed_jobs(self) -> Iterator[Job]:
        """Yield the jobs that may run without our knowing, ended ones too."""
        return filter(self.may_have_started, self.job_index.jobs.values())

    def may_decide(self) -> bool:
        """Whether the mandate is fresh enough to act on."""
        return self._basis.leadership.may_decide()

    # Life --------------------------------------------------------------------

    async def run(self) -> None:
        """Load, then decide until cancelled."""
        try:
            await self._load()
            self.is_loaded = True
            self.dispatcher.request_full_pass()
            await asyncio.gather(
                self._journal.run(),
                self.dispatcher.run(),
                self._workforce.run(),
                self.intake.follow(),
                self._sweep(),
                self._tell_room(),
            )
        finally:
            self.intake.close()
            self.advice_scheduler.close()
            self.dispatcher.close()
            self._workforce.close()

    @property
    def fence(self) -> int:
        """Revision of the fence key as this owner last wrote it."""
        return self._journal.revision

    async def drain(self) -> None:
        """Order nothing any more and make all that is known durable."""
        await self.dispatcher.drain()
        if self.is_loaded:
            await self._journal.flush()

    async def _load(self) -> None:
        # Jobs come first: an inventory can only be read by who knows the jobs.
        _, _, workers = await asyncio.gather(
            self.intake.load(),
            self.account_limits.ceilings.read(self._basis.store, self._clock),
            self._workforce.read(),
        )
        self._workforce.load(workers)
        self._mark_unsure()
        _log.info(
            "Loaded.",
            epoch=self.term.epoch,
            jobs=len(self.job_index.open_jobs),
            workers=len(self.contacts),
            unaccounted=self._workforce.unaccounted,
        )

    # Jobs --------------------------------------------------------------------

    def cancel(self, job: Job) -> None:
        """End a job as cancelled, unless it has ended; its runs are stopped."""
        if not job.is_final:
            self.end_job(job, QueueJobState.CANCELLED, "cancelled by a caller")

    async def cancel_durably(self, job: Job) -> QueueJobState:
        """Cancel a job and return its state once that is durable."""
        self.cancel(job)
        if job.visible_state != job.final:
            await self._journal.flush()
        return job.visible_state

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """Give a job its final state and stop what still runs of it."""
        job.close(state, self.now())
        _log.info(
            "A job has ended.",
            id=job.identifier,
            queue=job.queue.name,
            state=state,
            reason=reason,
            age=round(job.final_at - job.arrived_at, 3),
            slack=job.queue.slack,
            allowance=job.queue.allowance.total_seconds(),
        )
        self._account_metrics.record_end(job)
        self.job_index.close(job)
        self.dispatcher.mark_changed(job)
        self.mark_dirty(job)
        for step in job.list_steps():
            self.advice_scheduler.discard(step)
            self.dispatcher.discard(step)
            for run in list(step.list_runs()):
                self.stop(run)

    def mark_dirty(self, job: Job) -> None:
        """Let the journal write a job's progress."""
        self._changes.record_job_change(job)

    def stop(self, run: Run) -> None:
        """Tell a run's worker to end it."""
        contact = self.contacts.get(run.worker)
        if contact is not None:
            contact.stop(run)

    # Journal -----------------------------------------------------------------

    def _write_workers(self, kind: ChangeKind) -> tuple[Write, Callable[[], bool]]:
        """Return what to write of one kind, and what to call once it is durable.

        The call tells whether orders may go to more workers.
        """
        if kind is ChangeKind.ROSTER:
            return self._workforce.write_roster()
        if kind is ChangeKind.CORDONS:
            return self._workforce.cordons.build_write()
        return self.account_limits.ceilings.build_write()

    async def wait_until_durable(self, contact: WorkerContact) -> bool:
        """Wait for the ends taken so far; ``False`` while they can't be stored."""
        self._changes.record_worker_ends(contact)
        self._journal.wake()
        try:
            async with asyncio.timeout(DURABLE_WAIT.total_seconds()):
                while contact.observed < contact.processed:
                    await self._journal.flush_batched()
        except TimeoutError:
            return False
        return True

    # Doubt left by predecessors ------------------------------------------------

    def _mark_unsure(self) -> None:
        for job in self.job_index.open_jobs.values():
            job.has_unconfirmed_runs = self.may_have_started(job)
        self._make_sure()

    def may_have_started(self, job: Job) -> bool:
        """Whether a predecessor may have started a job without our knowing.

        Only on workers of the zones that the job was confined to when this owner's
        takeover ended the commits of the one before.
        """
        is_older = job.record.epoch < self.term.epoch
        return is_older and not self._workforce.is_accounted(job.zones, job.identifier)

    def _make_sure(self) -> None:
        """Let the jobs start of which all workers have told what they run."""
        if not self._workforce.unaccounted:
            _log.info("All workers are accounted for.", epoch=self.term.epoch)
        for job in self.job_index.open_jobs.values():
            if not job.has_unconfirmed_runs or self.may_have_started(job):
                continue
            job.has_unconfirmed_runs = False
            for step in job.list_steps():
                self.stop_if_incomplete(step)
            self.dispatcher.mark_changed(job)

    def widen_zones(self, job: Job, zones: frozenset[str]) -> None:
        """Let workers of more zones run a job, as soon as that is durable."""
        if not job.can_widen_zones:
            return
        job.wider_zones = job.zones | zones
        _log.info(
            "A job is let into more zones.",
            id=job.identifier,
            zones=sorted(job.wider_zones),
        )
        self.mark_dirty(job)
        self._journal.expedite()

    def stop_if_incomplete(self, step: Step) -> None:
        """Stop the runs of a gang of which a member is missing."""
        if not step.spec.is_gang:
            return
        runs = list(step.list_runs())
        attempts = {run.attempt for run in runs}
        if runs and (len(attempts) > 1 or len(runs) < len(step.tasks)):
            for run in runs:
                self.stop(run)

    # What contacts tell --------------------------------------------------------

    def adopt(self, contact: WorkerContact, row: RunningTask) -> Run | None:
        """Return a run for a task that a predecessor started."""
        task = self.job_index.find_task(row.task)
        if task is None:
            return None
        run = Run(task, contact.info.identifier, row.attempt, self.now())
        run.is_adopted = True
        task.attempt = max(task.attempt, row.attempt)
        is_unwanted = task.step.job.is_final or task.is_completed
        if task.runs and not task.step.spec.is_speculative:
            is_unwanted = True
        task.runs.append(run)
        if not contact.is_reconciled:
            self.account_limits.record_inherited_run(run)
        self.dispatcher.mark_changed(task.step.job)
        if is_unwanted:
            contact.stop(run)
        return run

    def charge(self, run: Run) -> None:
        """Count a run that takes room."""
        self.account_limits.charge(run)

    def release(self, run: Run) -> None:
        """Count a run no longer."""
        self.account_limits.release(run)

    def record_running(self, run: Run) -> None:
        """Take note that a run was seen to run."""
        job = run.task.step.job
        job.record_start()
        if job.is_final:
            self.stop(run)

    def handle_lost_run(self, contact: WorkerContact, run: Run) -> None:
        """Take note that a run is gone without an end."""
        task = run.task
        if run in task.runs:
            task.runs.remove(run)
        task.step.store_checkpoint(task, run.checkpoint)
        if task.step.spec.is_gang:
            for other in list(task.step.list_runs()):
                self.stop(other)
        self.dispatcher.mark_changed(task.step.job)
        self.dispatcher.handle_freed_capacity(contact)

    def record_crash(self, contact: WorkerContact, lost: list[Run]) -> None:
        """Take note of the runs that went with a worker's life."""
        self._crashes.record_crash(contact, lost)

    def handle_contact_change(self, contact: WorkerContact) -> None:
        """Take note that a worker has answered, or that its lease is over."""
        is_over = contact.is_gone or self.now() >= contact.lease_until
        if contact.is_synchronized or is_over:
            self._workforce.account(contact)
        self.dispatcher.handle_contact_change(contact)

    def handle_end(
        self, contact: WorkerContact, end: EndedTask, run: Run | None
    ) -> None:
        """Take note of an end."""
        task = run.task if run is not None else self.job_index.find_task(end.task)
        self._changes.record_worker_ends(contact)
        self.dispatcher.handle_freed_capacity(contact)
        if task is None:
            return
        if run is not None and run in task.runs:
            task.runs.remove(run)
        task.attempt = max(task.attempt, end.attempt)
        step, job = task.step, task.step.job
        step.store_checkpoint(task, end.checkpoint)
        self.dispatcher.record_end(contact, task, end, run)
        if end.kind is EndKind.COMPLETED and not step.spec.is_long_running:
            self._complete(step, task, run)
        elif end.kind is EndKind.FAILED and not step.spec.is_long_running:
            task.failed_on.add(contact.info.identifier)
            self._fail(step, task, end.attempt)
        if job.is_final or end.kind in (EndKind.COMPLETED, EndKind.FAILED):
            self.mark_dirty(job)
        self.dispatcher.mark_changed(job)

    def _complete(self, step: Step, task: Task, run: Run | None) -> None:
        step.complete(task)
        for member in step.tasks:
            if member.is_completed and not step.spec.is_gang:
                for other in list(member.runs):
                    self.stop(other)
        if step.is_completed:
            self.advice_scheduler.discard(step)
            if not step.job.is_final and step.job.close_if_completed(self.now()):
                self.end_job(step.job, QueueJobState.COMPLETED, "all tasks completed")

    def _fail(self, step: Step, task: Task, attempt: int) -> None:
        failed = step.fail(task, attempt)
        job = step.job
        if failed >= job.queue.attempts and not job.is_final:
            reason = f"task {task.name[1:]} failed {failed} times"
            self.end_job(job, QueueJobState.FAILED, reason)

    def next_attempt(self, tasks: list[Task]) -> int:
        """Return an attempt number above all that the tasks had."""
        least = (self.term.epoch - 1) * ATTEMPTS_OF_EPOCH
        return max(least, *(task.attempt for task in tasks)) + 1

    # Loops -------------------------------------------------------------------

    async def _tell_room(self) -> None:
        """Let the daemons that take jobs know where there is room."""
        while True:
            await self._clock.sleep(ROOM_INTERVAL)
            if self._basis.leadership.is_cut_off():
                # It is a sign of life, too, of an owner that may go on deciding.
                continue
            rooms = measure_zone_capacities(self.contacts.values(), self.now())
            message: ReportCapacity = {"epoch": self.term.epoch, "zones": rooms}
            for name in self._basis.leadership.list_members():
                self._peers.send(name, message, ReportCapacity)

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            now = self.now()
            self.advice_scheduler.dispatch()
            self._workforce.sweep_rooms(now)
            self._supervisor.sweep(now)
            self._workforce.cordons.sweep(
                now, may_add=not self._basis.leadership.is_cut_off()
            )
            self._forget_ended(now)
            self._account_metrics.publish(now)
            if not self._basis.leadership.is_cut_off():
                # What is lowered now could not be raised again.
                self.account_limits.sweep()
            self.dispatcher.wake()

    def _forget_ended(self, now: float) -> None:
        limit = self._basis.times.discard_after.total_seconds()
        for job in list(self.job_index.jobs.values()):
            if not job.is_final or job.visible_state != job.final:
                # Jobs stand in the order in which they came.
                if now - job.arrived_at < limit:
                    break
                continue
            if now - job.final_at < limit:
                break
            if any(step.tasks and any(step.list_runs()) for step in job.list_steps()):
                continue
            self.job_index.remove(job)
            self._changes.record_job_removal(job)
