"""Dispatch: takes waiting tasks in order and launches them where they fit."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.deferrals import Deferrals
from damaskdeck.coordination.jobs.impossible import ImpossibleJobs
from damaskdeck.coordination.jobs.launches import Launcher, Pick
from damaskdeck.coordination.jobs.needs import (
    get_size,
    get_urgency,
    make_gang,
    make_need,
    make_request,
)
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.shapes import Shapes
from damaskdeck.coordination.queues.passes import Pass
from damaskdeck.coordination.queues.queueing import RANKS, JobQueue
from damaskdeck.coordination.queues.starvinggangs import ASK_INTERVAL, StarvingGangs
from damaskdeck.coordination.queues.waiting import WaitingJob
from damaskdeck.coordination.workers.owners import OwnerSelector
from damaskdeck.metrics import count_refusal, observe_wait
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobmodel import FINAL_TASK_STATES, Job, Task, TaskState

PASS_INTERVAL = timedelta(milliseconds=20)
IDLE_INTERVAL = timedelta(milliseconds=250)
BATCH_LIMIT = 500
REFUSED_PAUSE = timedelta(milliseconds=200)
ROOM_PAUSE = timedelta(milliseconds=50)
ON_WORKER = (TaskState.PLACED, TaskState.RUNNING)


class Dispatcher:
    """Keeps the queue of one kept ledger in step with its table, and empties it.

    :param queue: charged for what is placed.
    :param watch: called with each launch once it has ended.
    """

    def __init__(
        self,
        kept: OwnedLedger,
        owners: OwnerSelector,
        shapes: Shapes,
        launcher: Launcher,
        queue: JobQueue,
        clock: Clock,
        watch: Callable[[asyncio.Task[None]], None],
    ) -> None:
        self._kept = kept
        self._owners = owners
        self._shapes = shapes
        self._watch = watch
        self._impossible = ImpossibleJobs(kept, shapes, clock)
        self._deferrals = Deferrals(clock)
        self._launcher = launcher
        self._queue = queue
        self._clock = clock
        self._waiting: dict[str, dict[str, None]] = {}
        self._charged: dict[str, tuple[str, Size, int]] = {}
        self._launching: set[str] = set()
        self._gangs = StarvingGangs(
            queue, clock, lambda job: self._impossible.find_reason(job) is not None
        )
        self._changed = asyncio.Event()
        self._launches: set[asyncio.Task[None]] = set()
        kept.on_change(self.follow)

    async def run(self) -> None:
        """Place what waits until cancelled."""
        try:
            while True:
                await self._place_all()
                await self._wait()
        finally:
            for launch in self._launches:
                launch.cancel()

    def wake(self) -> None:
        """Look again, as after a change of the fleet."""
        self._changed.set()

    def follow(self, tasks: tuple[str, ...]) -> None:
        """Take over changes of the table."""
        jobs = {}
        for name in tasks:
            self._sync_charge(name)
            job = self._sync_waiting(name)
            jobs[job] = None
        for job in jobs:
            self._sync_queue(job)
        self._changed.set()

    def explain(self, job: Job) -> tuple[str, ...]:
        """Tell in plain words why a job waits."""
        reason = self._impossible.find_reason(job.name)
        reasons = self._queue.describe(job.name)
        return (*reasons, reason) if reason else reasons

    # Keeping in step -------------------------------------------------------------

    def _sync_charge(self, name: str) -> None:
        """Charge the team for exactly what is on workers or being launched."""
        task = self._kept.table.tasks.get(name)
        is_due = name in self._launching
        is_due = is_due or (task is not None and task.state in ON_WORKER)
        if not is_due and name in self._charged:
            charged = self._charged.pop(name)
            self._queue.quotas.release(*charged)
            self._queue.unblock_fitting(charged[1])
        elif is_due and name not in self._charged:
            job = self._kept.table.jobs[task.job]
            rank = RANKS[get_urgency(job.spec)]
            self._charged[name] = (job.team, get_size(job.spec), rank)
            self._queue.quotas.charge(*self._charged[name])

    def _sync_waiting(self, name: str) -> str:
        task = self._kept.table.tasks.get(name)
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
        if task.state is not TaskState.QUEUED or task.name in self._launching:
            return False
        return not self._kept.table.jobs[
            task.job
        ].stopping and not self._deferrals.is_deferred(task)

    def _sync_queue(self, name: str) -> None:
        job = self._kept.table.jobs.get(name)
        waiting = self._waiting.get(name)
        if not waiting:
            self._waiting.pop(name, None)
        if job is None or not waiting or not self._is_complete(job, waiting):
            self._queue.remove(name)
            self._gangs.discard(name)
            return
        entry = self._make_entry(job, len(waiting))
        if entry.gang:
            self._gangs.add(name)
        if self._queue.get(name) != entry:
            self._queue.push(entry)

    def _is_complete(self, job: Job, waiting: dict[str, None]) -> bool:
        """Tell whether a gang's tasks are all there; others needn't be."""
        return job.spec["type"] != "gang" or len(waiting) == job.unsettled

    def _make_entry(self, job: Job, count: int) -> WaitingJob:
        waited = timedelta(seconds=self._kept.get_time() - job.submitted)
        known = self._queue.get(job.name)
        submitted = known.submitted if known else self._clock.monotonic() - waited
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

    # Placing ---------------------------------------------------------------------

    async def _wait(self) -> None:
        await self._clock.sleep(PASS_INTERVAL)
        if self._changed.is_set():
            self._changed.clear()
            return
        await self._clock.sleep(IDLE_INTERVAL - PASS_INTERVAL)

    async def _place_all(self) -> None:
        due = self._deferrals.take_due()
        if due:
            self.follow(due)
        await self._impossible.judge(self._waiting)
        if not len(self._queue):
            return
        if self._owners.refresh():
            self._queue.unblock_fitting(self._shapes.capacity)
        groups: dict[str, list[Pick]] = {}
        turn = Pass(self._queue)
        for offer in self._gangs.list():
            self._try_gang(turn, offer)
        for _ in range(BATCH_LIMIT):
            offer = turn.next()
            if offer is None:
                break
            reason = self._impossible.find_reason(offer.name)
            if reason is not None:
                turn.skip(offer, reason)
            elif offer.gang:
                self._try_gang(turn, offer)
            else:
                self._try_single(turn, offer, groups)
        for picks in groups.values():
            self._start_launch(self._launcher.launch(picks), picks)

    def _try_single(
        self, turn: Pass, offer: WaitingJob, groups: dict[str, list[Pick]]
    ) -> None:
        job = self._kept.table.jobs[offer.name]
        task = self._kept.table.tasks[next(iter(self._waiting[offer.name]))]
        owner = self._owners.choose(make_need(job, task))
        if owner is None:
            turn.fail(offer, "no worker has enough of it free")
            return
        pick = Pick(owner, make_request(job, task, self._deferrals.is_pressed(task)))
        self._note_picks(offer, [pick])
        turn.take(offer)
        groups.setdefault(owner, []).append(pick)

    def _try_gang(self, turn: Pass, offer: WaitingJob) -> None:
        job = self._kept.table.jobs[offer.name]
        tasks = [self._kept.table.tasks[name] for name in self._waiting[offer.name]]
        need = make_need(job, tasks[0])
        is_late = self._gangs.is_late(offer)
        list_owners = (
            self._owners.list_capable if is_late else self._owners.list_fitting
        )
        owners = list_owners(need)
        if not owners:
            turn.fail(offer, "no worker has enough of it free")
            return
        picks = [Pick("", make_request(job, task, True)) for task in tasks]
        if is_late:
            for pick in picks:
                pick.request["gang"] = make_gang(job)
        self._note_picks(offer, picks)
        turn.take(offer)
        self._start_launch(self._launcher.launch_gang(picks, owners), picks)

    def _note_picks(self, offer: WaitingJob, picks: list[Pick]) -> None:
        waiting = self._waiting[offer.name]
        for pick in picks:
            del waiting[pick.task]
            self._launching.add(pick.task)
            rank = RANKS[offer.urgency]
            self._charged[pick.task] = (offer.team, offer.size, rank)

    def _start_launch(
        self, launch: Coroutine[Any, Any, dict[str, str]], picks: list[Pick]
    ) -> None:
        task = asyncio.ensure_future(self._launch(launch, picks))
        self._launches.add(task)
        task.add_done_callback(self._end_launch)

    def _end_launch(self, task: asyncio.Task[None]) -> None:
        self._launches.discard(task)
        self._watch(task)

    async def _launch(
        self, launch: Coroutine[Any, Any, dict[str, str]], picks: list[Pick]
    ) -> None:
        refused = await launch
        for pick in picks:
            self._launching.discard(pick.task)
            code = refused.get(pick.task)
            if code is None:
                self._observe_wait(pick.task)
            else:
                self._note_refused(pick, code)
        self.follow(tuple(pick.task for pick in picks))

    def _observe_wait(self, name: str) -> None:
        """Record how long a task waited before its first start."""
        task = self._kept.table.tasks.get(name)
        if task is None or task.attempt > 1:
            return
        job = self._kept.table.jobs[task.job]
        waited = timedelta(seconds=max(0.0, self._kept.get_time() - job.submitted))
        observe_wait("jobs", get_urgency(job.spec).value, waited)

    def _note_refused(self, pick: Pick, code: str) -> None:
        count_refusal("dispatch", code)
        task = self._kept.table.tasks.get(pick.task)
        if task is None:
            return
        delay = ASK_INTERVAL if "gang" in pick.request else REFUSED_PAUSE
        if code == "making_room" and pick.owner:
            self._owners.record_preemption(pick.owner, pick.task)
            delay = ROOM_PAUSE
        elif pick.owner:
            need = make_need(self._kept.table.jobs[task.job], task)
            self._owners.record_refusal(pick.owner, need)
        self._deferrals.pause(pick.task, delay)
