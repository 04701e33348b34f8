"""The pools' owner, which knows all queued jobs and all workers and decides.

An owner exists for one owner term. Its state is read from the store and from the
workers' inventories. A task that a predecessor may have started on a worker that does
not answer is not started again until nothing can still be running on that worker.
"""

import asyncio
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.accountmetrics import AccountMetrics
from damaskdeck.coordination.pools.admission import (
    DEFAULT_JOB_MEMORY,
    OutlookReporter,
    ReturningJobs,
    share_room,
)
from damaskdeck.coordination.pools.admission.work import Work
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
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.predecessors import AttemptNumbers
from damaskdeck.coordination.pools.predecessors.recording import RunRecording
from damaskdeck.coordination.pools.predecessors.runs import InheritedRuns
from damaskdeck.coordination.pools.speeds import read_speeds
from damaskdeck.coordination.pools.supervision import RunSupervisor
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.workerfleet import (
    FleetCallbacks,
    FleetDependencies,
    WorkerFleet,
)
from damaskdeck.coordination.pools.zoneconfinement import measure_zone_capacities
from damaskdeck.delays import ReplyLimit
from damaskdeck.logs import get_logger
from damaskdeck.metrics import set_job_memory
from damaskdeck.priorities import create_urgent_task
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.poolmessages import (
    ReportCapacity,
    ReportLoading,
    ReportRefusal,
)
from damaskdeck.protocol.pools import (
    EndedTask,
    EndKind,
    RunningTask,
)
from damaskdeck.protocol.queues import QueueJobState, QueueTable
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import Write
from damaskdeck.state.jobrecords import MIN_VALUE_BYTES
from damaskdeck.state.pooljobs import Job, JobIndex, Run, Step, Task

SWEEP_INTERVAL = timedelta(milliseconds=100)
# At most a few messages per second to each daemon; free capacity changes with the jobs
# of every second.
CAPACITY_REPORT_INTERVAL = timedelta(milliseconds=500)
# An owner that loads a backlog for longer can't start it soon either.
USUAL_LOAD_TIME = timedelta(seconds=1)
# Any owner can start this many tasks soon.
SMALL_BACKLOG_TASKS = 100
# Other daemons refuse jobs for a load of at most this time.
MAX_LOAD_TIME = timedelta(seconds=15)
# After this time it knows whether it can start tasks fast enough.
MEASUREMENT_TIME = timedelta(seconds=2)
# How long a contact waits for the store before it polls its worker again. While the
# store is slow or unavailable, this is the most by which the start of a following step
# is delayed.
DURABLE_WAIT_LIMIT = timedelta(milliseconds=100)

_log = get_logger("owner")


class OwnerDependencies(NamedTuple):
    """The components that an owner works with.

    :param shared: components that the owner shares with its worker fleet.
    :param declarations: the queues and accounts in force on this daemon.
    :param commits: makes the owner's commits.
    :param store: shows how fast the store is.
    :param job_memory: the bound on the memory of all jobs, in bytes.
    :param value_limit: the most bytes that the store takes for a value.
    """

    shared: FleetDependencies
    peers: Peers
    declarations: Declarations
    commits: DelegatingStore
    store: MonitoredStore
    job_memory: int = DEFAULT_JOB_MEMORY
    value_limit: int = MIN_VALUE_BYTES


class PoolOwner:
    """Decides for all pools during one owner term.

    :ivar intake: receives new jobs.
    :ivar is_loaded: whether the jobs have been read from the store.
    :ivar attempts: chooses attempt numbers.
    """

    def __init__(self, term: OwnerTerm, dependencies: OwnerDependencies) -> None:
        self.term = term
        self.job_index = JobIndex()
        self.is_loaded = False
        shared = self._shared = dependencies.shared
        self._clock = shared.clock
        self._declarations = dependencies.declarations
        self._peers = dependencies.peers
        self._job_memory = dependencies.job_memory
        self._changes = ChangeSet(
            self.job_index,
            lambda: self._journal,
            self._build_write,
            lambda: self.dispatcher.request_full_pass(),
            self._fail_unstorable,
            dependencies.value_limit,
        )
        self._journal = Journal(
            term,
            shared.leadership,
            dependencies.commits,
            shared.clock,
            shared.times,
            self._changes.gather,
        )
        self.advice_scheduler = AdviceScheduler(
            dependencies.peers,
            shared.clock,
            shared.leadership.list_members,
            lambda step: self.dispatcher.handle_advice(step),
        )
        self.account_limits = AccountLimits(
            self, Ceilings(self._changes.record_ceiling_change)
        )
        self._account_metrics = AccountMetrics(
            self.job_index,
            lambda name: self.account_limits.get_usage(name).millicores,
            lambda: self.dispatcher.shares,
        )
        self.dispatcher = Dispatcher(
            self, shared.clock, shared.times, self.advice_scheduler, shared.delay
        )
        self._supervisor = RunSupervisor(
            self, self.dispatcher, shared.times, self.advice_scheduler
        )
        self._returning = ReturningJobs()
        self._outlook = OutlookReporter(
            self,
            self.dispatcher.shares.is_deferred,
            self._returning,
            self.dispatcher.pace,
        )
        self._crashes = Crashes(self)
        self._recording = RunRecording(
            term,
            shared.leadership,
            dependencies.store,
            shared.clock,
            self._changes.record_recording_change,
            self.flush,
            lambda: not self._fleet.unreconciled_count,
        )
        self.attempts = AttemptNumbers(term, self._changes.record_attempts_change)
        self.intake = Intake(self, shared.store, shared.leadership, shared.clock)
        self._inherited_runs = InheritedRuns(
            self,
            lambda zones, job: self._fleet.are_workers_reconciled(zones, job),
            lambda: self._fleet.wait_for_unknown_workers(),
            self._handle_release,
        )
        self._fleet = WorkerFleet(
            term,
            shared,
            self,
            FleetCallbacks(
                self.dispatcher.request_full_pass,
                self._changes.record_roster_change,
                self._handle_reconciled,
                self._changes.record_cordon_change,
                self._crashes.handle_reconciled,
                self._crashes.handle_registration,
                self._crashes.record_replacement,
            ),
        )

    @property
    def contacts(self) -> dict[str, WorkerContact]:
        """The contacts to workers, by the identifier of the worker's incarnation."""
        return self._fleet.contacts

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic().total_seconds()

    def get_table(self) -> QueueTable | None:
        """Return the declared queues in force on this daemon."""
        return self._declarations.table

    def are_quotas_fresh(self) -> bool:
        """Whether the document in force is fresh enough to apply its quotas."""
        return self._declarations.is_fresh(self._shared.times.document_max_age)

    def list_unreconciled(self) -> list[Size]:
        """List the sizes of the workers that may run tasks unknown to this owner."""
        return self._fleet.list_unreconciled()

    def list_unconfirmed_jobs(self) -> Iterator[Job]:
        """Yield the jobs, ended ones too, that may have runs unknown to this owner."""
        return self._inherited_runs.list_unconfirmed_jobs()

    def hold_if_unconfirmed(self, job: Job) -> None:
        """Hold a job back if it may have runs of a previous owner, unknown here."""
        self._inherited_runs.hold_if_unconfirmed(job)

    def may_decide(self) -> bool:
        """Whether the owner lease allows decisions at this moment."""
        return self._shared.leadership.may_decide()

    def may_order(self) -> bool:
        """Whether tasks may be ordered at this moment."""
        return self._shared.leadership.may_order()

    @property
    def recording(self) -> RunRecording:
        """Whether starts wait for their record."""
        return self._recording

    # Lifecycle ---------------------------------------------------------------

    async def run(self) -> None:
        """Load the state, then decide until cancelled."""
        loading = asyncio.ensure_future(self._report_loading())
        try:
            await self._load()
            self.is_loaded = True
            self.dispatcher.request_full_pass()
            await asyncio.gather(
                create_urgent_task(self._journal.run()),
                self.dispatcher.run(),
                self._fleet.run(),
                self.intake.follow(),
                self._sweep(),
                self._report_capacity(),
            )
        finally:
            loading.cancel()
            self.intake.close()
            self.advice_scheduler.close()
            self._recording.close()
            self.dispatcher.close()
            self._fleet.close()

    @property
    def fence(self) -> int:
        """Revision of the fence key as this owner last wrote it."""
        return self._journal.revision

    async def drain(self) -> None:
        """Stop ordering tasks and make everything that is known durable."""
        await self.dispatcher.drain()
        if self.is_loaded:
            await self._journal.flush()

    async def _load(self) -> None:
        # The jobs must be loaded before the contacts start, as an inventory is
        # interpreted against the known jobs.
        _, _, workers, speeds, *_ = await asyncio.gather(
            self.intake.load(),
            self.account_limits.ceilings.read(self._shared.store, self._clock),
            self._fleet.read(),
            read_speeds(self._shared.store, self._clock),
            self._recording.read(self._shared.store),
            self.attempts.read(self._shared.store, self._clock),
        )
        self.dispatcher.speeds.load(speeds)
        self._crashes.load()
        self._fleet.load(workers)
        self._inherited_runs.restore(self.intake.recorded_runs)
        self.intake.recorded_runs.clear()
        self._inherited_runs.hold_jobs()
        self._handle_reconciled()
        _log.info(
            "Loaded.",
            epoch=self.term.epoch,
            jobs=len(self.job_index.open_jobs),
            workers=len(self.contacts),
            unaccounted=self._fleet.unreconciled_count,
            **self.job_index.count_state(),
        )

    def describe_load(self) -> dict[str, int]:
        """Return the fields of a log line that tell what there is to do."""
        return {
            "jobs": len(self.job_index.open_jobs),
            "pending": self.dispatcher.count_pending(),
            "pace": self.dispatcher.pace.limit,
            "unanswered": sum(c.unanswered_count for c in self.contacts.values()),
            "commits": self._journal.take_commit_count(),
            **self.job_index.count_state(),
        }

    # Jobs --------------------------------------------------------------------

    def record_refusal(self, message: ReportRefusal) -> None:
        """Record a job that a daemon has refused, and when its caller returns."""
        due_at = self.now() + message["due"] / 1000
        work = Work(message["processors"], message["memory"])
        self._returning.add(message["job"], due_at, work)

    def find_pool(self, step: Step) -> str:
        """Return the pool that is declared for a step's queue at present."""
        return self.dispatcher.find_pool(step)

    def cancel(self, job: Job) -> None:
        """End a job as cancelled and stop its runs, unless it has already ended."""
        if not job.is_final:
            self.end_job(job, QueueJobState.CANCELLED, "cancelled by a caller")

    async def cancel_durably(self, job: Job) -> QueueJobState:
        """Cancel a job and return its state once that is durable."""
        self.cancel(job)
        if job.visible_state != job.final:
            await self._journal.flush()
        return job.visible_state

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """Set the final state of a job and stop its remaining runs."""
        job.close(state, self.now())
        _log.notice(
            "A job has ended.",
            id=job.identifier,
            queue=job.queue.name,
            state=state,
            reason=reason,
            age=round(job.final_at - job.arrived_at, 3),
            slack=job.queue.slack,
            allowance=job.queue.allowance.total_seconds(),
            **self.dispatcher.shares.describe(job),
        )
        self._account_metrics.record_end(job)
        self.job_index.close(job)
        self.dispatcher.mark_changed(job)
        self.mark_dirty(job)
        for step in job.list_steps():
            self.advice_scheduler.discard(step)
            self.dispatcher.discard(step)
        for run in list(job.runs):
            self.stop(run)

    def _fail_unstorable(self, job: Job) -> None:
        """End a job whose progress the store refuses for good, so that it is known."""
        if not job.is_final:
            reason = "its progress can't be stored"
            self.end_job(job, QueueJobState.FAILED, reason)

    def is_stored(self, job: Job) -> bool:
        """Whether the store has not refused a record of a job for good."""
        return self._changes.is_stored(job)

    def mark_dirty(self, job: Job) -> None:
        """Queue a job's progress for the next commit of the journal."""
        self._changes.record_job_change(job)

    def requeue(self, job: Job) -> None:
        """Let the waiting tasks of a job be placed again."""
        self.dispatcher.mark_changed(job)

    def stop(self, run: Run) -> None:
        """Request the worker of a run to end it."""
        contact = self.contacts.get(run.worker)
        if contact is not None:
            contact.stop(run)

    # Journal -----------------------------------------------------------------

    async def flush(self) -> None:
        """Wait until all changes up to now are durable."""
        await self._journal.flush()

    def _build_write(self, kind: ChangeKind) -> tuple[Write, Callable[[], bool]]:
        """Return the write of one kind and the function to call once it is durable.

        The function returns whether orders may now go to more workers.
        """
        if kind is ChangeKind.ROSTER:
            return self._fleet.build_roster_write()
        if kind is ChangeKind.CORDONS:
            return self._fleet.cordons.build_write()
        if kind is ChangeKind.RECORDING:
            return self._recording.build_write()
        if kind is ChangeKind.ATTEMPTS:
            return self.attempts.build_write()
        if kind is ChangeKind.SPEEDS:
            return self.dispatcher.speeds.build_write()
        return self.account_limits.ceilings.build_write()

    async def wait_until_durable(self, contact: WorkerContact) -> bool:
        """Wait for the ends received so far; ``False`` if they can't be stored now."""
        self._changes.record_worker_ends(contact)
        self._journal.wake()
        try:
            async with ReplyLimit(DURABLE_WAIT_LIMIT, self._shared.delay):
                while contact.last_durable_end < contact.last_received_end:
                    await self._journal.flush_batched()
        except TimeoutError:
            return False
        return True

    # Jobs that were held back, and their zones --------------------------------

    def _handle_reconciled(self) -> None:
        if not self._fleet.unreconciled_count:
            _log.info("All workers are reconciled.", epoch=self.term.epoch)
        self._inherited_runs.release_jobs()

    def _handle_release(self, job: Job) -> None:
        """Handle a job that has no unknown runs any more."""
        if not job.has_complete_record:
            self.mark_dirty(job)
        if job.is_final:
            return
        for step in job.list_steps():
            self.stop_if_incomplete(step)
        self.dispatcher.mark_changed(job)

    def widen_zones(self, job: Job, zones: frozenset[str]) -> None:
        """Allow workers of more zones to run a job, as soon as that is durable."""
        if not job.can_widen_zones:
            return
        job.wider_zones = job.zones | zones
        _log.info(
            "A job may run in more zones.",
            id=job.identifier,
            zones=sorted(job.wider_zones),
        )
        self.mark_dirty(job)
        self._journal.expedite()

    def stop_if_incomplete(self, step: Step) -> None:
        """Stop the runs of a gang that lacks a member."""
        if not step.spec.is_gang:
            return
        runs = list(step.list_runs())
        attempts = {run.attempt for run in runs}
        if runs and (len(attempts) > 1 or len(runs) < len(step.tasks)):
            for run in runs:
                self.stop(run)

    # Callbacks of the contacts -----------------------------------------------

    def adopt(self, contact: WorkerContact, row: RunningTask) -> Run | None:
        """Return a run for a task that a predecessor started."""
        task = self.job_index.find_task(row.task)
        if task is None:
            return None
        is_surplus = task.step.job.is_final or task.is_completed
        if task.runs and not task.step.spec.is_speculative:
            is_surplus = True
        run = self._inherited_runs.add(task, contact, row.attempt)
        # Its record must be durable before this owner declares that all runs have one.
        self.mark_dirty(task.step.job)
        self.dispatcher.mark_changed(task.step.job)
        if is_surplus:
            contact.stop(run)
        return run

    def charge(self, run: Run) -> None:
        """Count the capacity of a run towards its account."""
        self.account_limits.charge(run)

    def release(self, run: Run) -> None:
        """Stop counting the capacity of a run."""
        self.account_limits.release(run)

    def record_running(self, run: Run) -> None:
        """Record that a run was seen running."""
        job = run.task.step.job
        job.record_start()
        if job.is_final:
            self.stop(run)

    def handle_lost_run(self, contact: WorkerContact, run: Run) -> None:
        """Handle a run that is gone without a reported end."""
        task = run.task
        task.remove_run(run)
        self._clear_recorded_start(task, run.attempt)
        self._crashes.settle_moved_run(run, is_lost=True)
        self.dispatcher.worker_health.record_loss(run)
        task.step.store_checkpoint(task, run.checkpoint)
        if task.step.spec.is_gang:
            for other in list(task.step.list_runs()):
                self.stop(other)
        self.mark_dirty(task.step.job)
        self.dispatcher.mark_changed(task.step.job)
        self.dispatcher.handle_freed_capacity(contact)

    def record_loss(self, contact: WorkerContact, lost: list[Run]) -> None:
        """Record the runs that were lost with a worker or abandoned on it."""
        self._crashes.record_loss(contact, lost)

    def handle_next_incarnation(self, contact: WorkerContact, born: int) -> None:
        """Handle a list that the next incarnation of a contact's worker has sent."""
        self._fleet.handle_next_incarnation(contact, born)

    def handle_contact_change(self, contact: WorkerContact) -> None:
        """Handle a worker that has answered, or whose lease has expired."""
        if contact.is_synchronized:
            self._crashes.handle_answer(contact)
            is_known = contact.is_reconciled
        else:
            is_known = contact.is_gone or self.now() >= contact.lease_until
        if contact.is_gone:
            self._crashes.handle_replacement(contact)
        if is_known:
            self._fleet.mark_reconciled(contact)
        self.dispatcher.handle_contact_change(contact)

    def handle_end(
        self, contact: WorkerContact, end: EndedTask, run: Run | None
    ) -> None:
        """Handle the end of a run."""
        task = run.task if run is not None else self.job_index.find_task(end.task)
        self._changes.record_worker_ends(contact)
        self.dispatcher.handle_freed_capacity(contact)
        if task is None:
            return
        if run is not None:
            task.remove_run(run)
            self._crashes.settle_moved_run(run, is_lost=False)
        task.attempt = max(task.attempt, end.attempt)
        self._clear_recorded_start(task, end.attempt)
        step, job = task.step, task.step.job
        step.store_checkpoint(task, end.checkpoint)
        self.dispatcher.record_end(contact, task, end, run)
        if end.kind is EndKind.COMPLETED and not step.spec.is_long_running:
            self._outlook.record_completion(step, self.now())
            self._complete_task(step, task, run)
        elif end.kind is EndKind.FAILED and not step.spec.is_long_running:
            task.failed_on.add(contact.info.identifier)
            self._handle_failure(step, task, end.attempt)
        self.mark_dirty(job)
        self.dispatcher.mark_changed(job)

    def _clear_recorded_start(self, task: Task, attempt: int) -> None:
        job = task.step.job
        if job.recorded_starts.clear(task.name, attempt):
            self.mark_dirty(job)

    def _complete_task(self, step: Step, task: Task, run: Run | None) -> None:
        step.complete(task)
        if not step.spec.is_gang:
            for other in list(task.runs):
                self.stop(other)
        if step.is_completed:
            self.advice_scheduler.discard(step)
            self.dispatcher.discard(step)
            if not step.job.is_final and step.job.close_if_completed(self.now()):
                self.end_job(step.job, QueueJobState.COMPLETED, "all tasks completed")

    def _handle_failure(self, step: Step, task: Task, attempt: int) -> None:
        failed = step.fail(task, attempt)
        job = step.job
        if failed >= job.queue.attempts and not job.is_final:
            reason = f"task {task.name[1:]} failed {failed} times"
            self.end_job(job, QueueJobState.FAILED, reason)

    def next_attempt(self, tasks: list[Task]) -> int:
        """Return an attempt number above all earlier ones of the tasks."""
        return self.attempts.choose(task.attempt for task in tasks)

    # Loops -------------------------------------------------------------------

    async def _report_loading(self) -> None:
        """Tell the daemons that accept jobs of a backlog that takes long to load.

        What this owner can start isn't known for some time after that, either.
        """
        await self._clock.sleep(USUAL_LOAD_TIME)
        if self.is_loaded:
            return
        until = self._clock.monotonic() + MAX_LOAD_TIME
        message: ReportLoading = {"epoch": self.term.epoch}
        while self._clock.monotonic() < until and not self._outlook.is_limit_known:
            has_backlog = self._outlook.count_backlog() > SMALL_BACKLOG_TASKS
            is_cut_off = self._shared.leadership.is_cut_off()
            if has_backlog and self.may_decide() and not is_cut_off:
                for name in self._shared.leadership.list_members():
                    self._peers.send(name, message, ReportLoading)
            await self._clock.sleep(CAPACITY_REPORT_INTERVAL)
            if self.is_loaded:
                until = min(until, self._clock.monotonic() + MEASUREMENT_TIME)

    async def _report_capacity(self) -> None:
        """Report the free capacity to the daemons that accept jobs."""
        while True:
            await self._clock.sleep(CAPACITY_REPORT_INTERVAL)
            if self._shared.leadership.is_cut_off():
                # A capacity report also counts as a heartbeat of an owner that may
                # continue to decide.
                continue
            capacities = measure_zone_capacities(self.contacts.values(), self.now())
            members = self._shared.leadership.list_members()
            set_job_memory(self.job_index.footprint, self._job_memory)
            message: ReportCapacity = {
                "epoch": self.term.epoch,
                "zones": capacities,
                "job_bytes": share_room(
                    self._job_memory, self.job_index.footprint, len(members)
                ),
            }
            outlook = self._outlook.build(
                lambda: self.dispatcher.rank_pending(self.now()),
                len(members),
                self.now(),
            )
            if outlook is not None:
                message["outlook"] = outlook
            for name in members:
                self._peers.send(name, message, ReportCapacity)

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            now = self.now()
            self.advice_scheduler.dispatch()
            self._recording.sweep()
            self._inherited_runs.sweep()
            self._fleet.check_capacity_ages(now)
            self._supervisor.sweep(now)
            self._crashes.sweep(now, self._fleet.followed_since)
            self._fleet.cordons.sweep(
                now, may_add=not self._shared.leadership.is_cut_off()
            )
            self._discard_ended(now)
            self._account_metrics.publish(now)
            self.dispatcher.speeds.write_if_due(now, self._changes.record_speed_change)
            if not self._shared.leadership.is_cut_off():
                # A ceiling that is lowered without the store could not be raised again.
                self.account_limits.sweep()
            self.dispatcher.wake()

    def _discard_ended(self, now: float) -> None:
        limit = self._shared.times.discard_after.total_seconds()
        for job in list(self.job_index.jobs.values()):
            if not job.is_final or job.visible_state != job.final:
                # Jobs are ordered by their arrival.
                if now - job.arrived_at < limit:
                    break
                continue
            if now - job.final_at < limit:
                break
            if job.runs:
                continue
            self.job_index.remove(job)
            self._changes.record_job_removal(job)
