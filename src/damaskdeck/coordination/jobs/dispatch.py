"""Dispatch: takes waiting tasks from the queue and launches them on workers."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.deferrals import Deferrals
from damaskdeck.coordination.jobs.impossible import ImpossibleJobs
from damaskdeck.coordination.jobs.launches import Assignment, Launcher
from damaskdeck.coordination.jobs.needs import (
    get_size,
    get_urgency,
    make_gang_request,
    make_need,
    make_request,
)
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.shapes import WorkerShapes
from damaskdeck.coordination.queues.passes import Pass
from damaskdeck.coordination.queues.queueing import RANKS, JobQueue
from damaskdeck.coordination.queues.starvinggangs import REQUEST_INTERVAL, StarvingGangs
from damaskdeck.coordination.queues.waiting import WaitingJob
from damaskdeck.coordination.workers.owners import OwnerSelector
from damaskdeck.metrics import count_refusal, observe_wait
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobmodel import FINAL_TASK_STATES, Job, Task, TaskState

PASS_INTERVAL = timedelta(milliseconds=20)
IDLE_INTERVAL = timedelta(milliseconds=250)
BATCH_LIMIT = 500
REFUSAL_BACKOFF = timedelta(milliseconds=200)
PREEMPTION_BACKOFF = timedelta(milliseconds=50)
PLACED_STATES = (TaskState.PLACED, TaskState.RUNNING)


class Dispatcher:
    """Synchronizes the queue of one owned ledger with its table and processes it.

    :param queue: the queue; its quotas are charged for placed tasks.
    :param watch: called with each launch once it has ended.
    """

    def __init__(
        self,
        ledger: OwnedLedger,
        owners: OwnerSelector,
        shapes: WorkerShapes,
        launcher: Launcher,
        queue: JobQueue,
        clock: Clock,
        watch: Callable[[asyncio.Task[None]], None],
    ) -> None:
        self._ledger = ledger
        self._owners = owners
        self._shapes = shapes
        self._watch = watch
        self._impossible = ImpossibleJobs(ledger, shapes, clock)
        self._deferrals = Deferrals(clock)
        self._launcher = launcher
        self._queue = queue
        self._clock = clock
        self._waiting: dict[str, dict[str, None]] = {}
        self._charged: dict[str, tuple[str, Size, int]] = {}
        self._launching_tasks: set[str] = set()
        self._starving_gangs = StarvingGangs(
            queue, clock, lambda job: self._impossible.find_reason(job) is not None
        )
        self._changed = asyncio.Event()
        self._launches: set[asyncio.Task[None]] = set()
        ledger.on_change(self.handle_changes)

    async def run(self) -> None:
        """Place waiting tasks until cancelled."""
        try:
            while True:
                await self._place_all()
                await self._wait()
        finally:
            for launch in self._launches:
                launch.cancel()

    def request_pass(self) -> None:
        """Request another pass, for example after a change of the fleet."""
        self._changed.set()

    def handle_changes(self, tasks: tuple[str, ...]) -> None:
        """Synchronize with the changed tasks of the table."""
        jobs = {}
        for name in tasks:
            self._sync_charge(name)
            job = self._sync_waiting(name)
            jobs[job] = None
        for job in jobs:
            self._sync_queue(job)
        self._changed.set()

    def explain(self, job: Job) -> tuple[str, ...]:
        """Return the reasons why a job waits, for people to read."""
        reason = self._impossible.find_reason(job.name)
        reasons = self._queue.describe(job.name)
        return (*reasons, reason) if reason else reasons

    # Synchronization with the table ----------------------------------------------

    def _sync_charge(self, name: str) -> None:
        """Charge the team for exactly the tasks on workers and in launches."""
        task = self._ledger.table.tasks.get(name)
        must_charge = name in self._launching_tasks
        must_charge = must_charge or (task is not None and task.state in PLACED_STATES)
        if not must_charge and name in self._charged:
            charged = self._charged.pop(name)
            self._queue.quotas.release(*charged)
            self._queue.unblock_fitting(charged[1])
        elif must_charge and name not in self._charged:
            job = self._ledger.table.jobs[task.job]
            rank = RANKS[get_urgency(job.spec)]
            self._charged[name] = (job.team, get_size(job.spec), rank)
            self._queue.quotas.charge(*self._charged[name])

    def _sync_waiting(self, name: str) -> str:
        task = self._ledger.table.tasks.get(name)
        job = task.job if task else name.rpartition("-")[0]
        waiting = self._waiting.setdefault(job, {})
        if task is not None and self._is_waiting(task):
            waiting[name] = None
        else:
            waiting.pop(name, None)
        if task is None or task.state in FINAL_TASK_STATES:
            self._deferrals.discard(name)
            self._owners.discard(name)
        return job

    def _is_waiting(self, task: Task) -> bool:
        if task.state is not TaskState.QUEUED or task.name in self._launching_tasks:
            return False
        return not self._ledger.table.jobs[
            task.job
        ].stopping and not self._deferrals.is_deferred(task)

    def _sync_queue(self, name: str) -> None:
        job = self._ledger.table.jobs.get(name)
        waiting = self._waiting.get(name)
        if not waiting:
            self._waiting.pop(name, None)
        if job is None or not waiting or not self._is_complete(job, waiting):
            self._queue.remove(name)
            self._starving_gangs.discard(name)
            return
        entry = self._make_entry(job, len(waiting))
        if entry.gang:
            self._starving_gangs.add(name)
        if self._queue.get(name) != entry:
            self._queue.push(entry)

    def _is_complete(self, job: Job, waiting: dict[str, None]) -> bool:
        """Return whether all unfinished tasks of a gang wait; true for other jobs."""
        return job.spec["type"] != "gang" or len(waiting) == job.unsettled

    def _make_entry(self, job: Job, count: int) -> WaitingJob:
        waited = timedelta(seconds=self._ledger.get_time() - job.submitted)
        existing = self._queue.get(job.name)
        submitted = existing.submitted if existing else self._clock.monotonic() - waited
        return WaitingJob(
            name=job.name,
            team=job.team,
            urgency=get_urgency(job.spec),
            size=get_size(job.spec),
            submitted=submitted,
            tasks=count,
            gang=job.spec["type"] == "gang",
            constraint=",".join(sorted(job.spec.get("zones", ()))),
        )

    # Placement -------------------------------------------------------------------

    async def _wait(self) -> None:
        await self._clock.sleep(PASS_INTERVAL)
        if self._changed.is_set():
            self._changed.clear()
            return
        await self._clock.sleep(IDLE_INTERVAL - PASS_INTERVAL)

    async def _place_all(self) -> None:
        due = self._deferrals.pop_due()
        if due:
            self.handle_changes(due)
        await self._impossible.update(self._waiting)
        if not len(self._queue):
            return
        if self._owners.refresh():
            self._queue.unblock_fitting(self._shapes.capacity)
        groups: dict[str, list[Assignment]] = {}
        queue_pass = Pass(self._queue)
        for offer in self._starving_gangs.list():
            self._try_gang(queue_pass, offer)
        for _ in range(BATCH_LIMIT):
            offer = queue_pass.next()
            if offer is None:
                break
            reason = self._impossible.find_reason(offer.name)
            if reason is not None:
                queue_pass.skip(offer, reason)
            elif offer.gang:
                self._try_gang(queue_pass, offer)
            else:
                self._try_single(queue_pass, offer, groups)
        for assignments in groups.values():
            self._start_launch(self._launcher.launch(assignments), assignments)

    def _try_single(
        self, queue_pass: Pass, offer: WaitingJob, groups: dict[str, list[Assignment]]
    ) -> None:
        job = self._ledger.table.jobs[offer.name]
        task = self._ledger.table.tasks[next(iter(self._waiting[offer.name]))]
        owner = self._owners.choose(make_need(job, task))
        if owner is None:
            queue_pass.fail(offer, "no worker has enough of it free")
            return
        assignment = Assignment(
            owner, make_request(job, task, self._deferrals.is_pressed(task))
        )
        self._record_assignments(offer, [assignment])
        queue_pass.take(offer)
        groups.setdefault(owner, []).append(assignment)

    def _try_gang(self, queue_pass: Pass, offer: WaitingJob) -> None:
        job = self._ledger.table.jobs[offer.name]
        tasks = [self._ledger.table.tasks[name] for name in self._waiting[offer.name]]
        need = make_need(job, tasks[0])
        is_starving = self._starving_gangs.is_starving(offer)
        list_owners = (
            self._owners.list_capable if is_starving else self._owners.list_fitting
        )
        owners = list_owners(need)
        if not owners:
            queue_pass.fail(offer, "no worker has enough of it free")
            return
        assignments = [Assignment("", make_request(job, task, True)) for task in tasks]
        if is_starving:
            for assignment in assignments:
                assignment.request["gang"] = make_gang_request(job)
        self._record_assignments(offer, assignments)
        queue_pass.take(offer)
        self._start_launch(self._launcher.launch_gang(assignments, owners), assignments)

    def _record_assignments(
        self, offer: WaitingJob, assignments: list[Assignment]
    ) -> None:
        waiting = self._waiting[offer.name]
        for assignment in assignments:
            del waiting[assignment.task]
            self._launching_tasks.add(assignment.task)
            rank = RANKS[offer.urgency]
            self._charged[assignment.task] = (offer.team, offer.size, rank)

    def _start_launch(
        self, launch: Coroutine[Any, Any, dict[str, str]], assignments: list[Assignment]
    ) -> None:
        task = asyncio.ensure_future(self._launch(launch, assignments))
        self._launches.add(task)
        task.add_done_callback(self._end_launch)

    def _end_launch(self, task: asyncio.Task[None]) -> None:
        self._launches.discard(task)
        self._watch(task)

    async def _launch(
        self, launch: Coroutine[Any, Any, dict[str, str]], assignments: list[Assignment]
    ) -> None:
        refused = await launch
        for assignment in assignments:
            self._launching_tasks.discard(assignment.task)
            code = refused.get(assignment.task)
            if code is None:
                self._observe_wait(assignment.task)
            else:
                self._handle_refusal(assignment, code)
        self.handle_changes(tuple(assignment.task for assignment in assignments))

    def _observe_wait(self, name: str) -> None:
        """Record the waiting time of a task before its first start as a metric."""
        task = self._ledger.table.tasks.get(name)
        if task is None or task.attempt > 1:
            return
        job = self._ledger.table.jobs[task.job]
        waited = timedelta(seconds=max(0.0, self._ledger.get_time() - job.submitted))
        observe_wait("jobs", get_urgency(job.spec).value, waited)

    def _handle_refusal(self, assignment: Assignment, code: str) -> None:
        count_refusal("dispatch", code)
        task = self._ledger.table.tasks.get(assignment.task)
        if task is None:
            return
        delay = REQUEST_INTERVAL if "gang" in assignment.request else REFUSAL_BACKOFF
        if code == "making_room" and assignment.owner:
            self._owners.record_preemption(assignment.owner, assignment.task)
            delay = PREEMPTION_BACKOFF
        elif assignment.owner:
            need = make_need(self._ledger.table.jobs[task.job], task)
            self._owners.record_refusal(assignment.owner, need)
        self._deferrals.pause(assignment.task, delay)
