"""Dispatch: takes waiting tasks in order and launches them where they fit."""

import asyncio
import heapq
from datetime import timedelta
from itertools import islice

from damaskdeck.clock import Clock
from damaskdeck.coordination.fleetview import FleetView
from damaskdeck.coordination.kept import KeptLedger
from damaskdeck.coordination.launches import Launcher, Pick, get_size, make_pick
from damaskdeck.coordination.passes import Pass
from damaskdeck.coordination.placement import Impossible, Placed
from damaskdeck.coordination.queueing import JobQueue
from damaskdeck.coordination.waiting import WaitingJob
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.resources import Urgency, WorkloadSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state import records
from damaskdeck.state.accounts import TaskNeed
from damaskdeck.state.jobs import Job, Task, TaskState

PASS_INTERVAL = timedelta(milliseconds=20)
IDLE_INTERVAL = timedelta(milliseconds=250)
BATCH_LIMIT = 500
BACKOFF = timedelta(seconds=1)
BACKOFF_LIMIT = timedelta(seconds=60)
ON_WORKER = (TaskState.PLACED, TaskState.RUNNING)

_log = get_logger("dispatch")


class Dispatcher:
    """Keeps the queue of one kept ledger in step with its table, and empties it.

    :param queue: charged for what is placed.
    """

    def __init__(
        self,
        kept: KeptLedger,
        view: FleetView,
        launcher: Launcher,
        queue: JobQueue,
        clock: Clock,
    ) -> None:
        self._kept = kept
        self._view = view
        self._launcher = launcher
        self._queue = queue
        self._clock = clock
        self._waiting: dict[str, dict[str, None]] = {}
        self._charged: dict[str, tuple[str, Size]] = {}
        self._launching: set[str] = set()
        self._deferred: list[tuple[timedelta, str]] = []
        self._deferrals: dict[str, tuple[int, timedelta]] = {}
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
        return self._queue.describe(job.name)

    # Keeping in step -------------------------------------------------------------

    def _sync_charge(self, name: str) -> None:
        """Charge the team for exactly what is on workers or being launched."""
        task = self._kept.table.tasks.get(name)
        is_due = name in self._launching
        is_due = is_due or (task is not None and task.state in ON_WORKER)
        if not is_due and name in self._charged:
            team, size = self._charged.pop(name)
            self._queue.quotas.release(team, size)
            self._queue.note_room(size)
        elif is_due and name not in self._charged:
            job = self._kept.table.jobs[task.job]
            self._charged[name] = (job.team, get_size(job.spec))
            self._queue.quotas.charge(*self._charged[name])

    def _sync_waiting(self, name: str) -> str:
        task = self._kept.table.tasks.get(name)
        job = task.job if task else name.rpartition("-")[0]
        waiting = self._waiting.setdefault(job, {})
        if task is not None and self._is_waiting(task):
            waiting[name] = None
        else:
            waiting.pop(name, None)
        return job

    def _is_waiting(self, task: Task) -> bool:
        if task.state is not TaskState.QUEUED or task.name in self._launching:
            return False
        return not self._kept.table.jobs[task.job].stopping and not self._defer(task)

    def _defer(self, task: Task) -> bool:
        """Tell whether a task that failed must wait longer before its retry."""
        if not task.failures:
            return False
        now = self._clock.monotonic()
        failures, until = self._deferrals.get(task.name, (0, now))
        if failures != task.failures:
            delay = min(BACKOFF * 2 ** (task.failures - 1), BACKOFF_LIMIT)
            until = now + delay
            self._deferrals[task.name] = (task.failures, until)
            heapq.heappush(self._deferred, (until, task.name))
        return until > now

    def _sync_queue(self, name: str) -> None:
        job = self._kept.table.jobs.get(name)
        waiting = self._waiting.get(name)
        if not waiting:
            self._waiting.pop(name, None)
        if job is None or not waiting or not self._is_complete(job, waiting):
            self._queue.remove(name)
            return
        entry = self._make_entry(job, len(waiting))
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
        self._wake_deferred()
        for worker in self._view.refresh():
            self._queue.note_room(self._view.accounts.workers[worker].free)
        if not len(self._queue):
            return
        singles: list[Pick] = []
        impossible: list[tuple[str, str]] = []
        turn = Pass(self._queue)
        while len(singles) < BATCH_LIMIT and (offer := turn.next()) is not None:
            found = self._pick_all(offer)
            if isinstance(found, Impossible):
                impossible.append((offer.name, found.dimension))
                turn.skip(offer, f"no worker could ever hold it: {found.dimension}")
            elif isinstance(found, str):
                self._note_failure(turn, offer, found)
            else:
                turn.take(offer)
                self._note_picks(offer, found)
                if offer.gang:
                    self._start_launch(found, True)
                else:
                    singles += found
        for group in _group_by_owner(singles):
            self._start_launch(group, False)
        await self._refuse_all(impossible)

    def _wake_deferred(self) -> None:
        now = self._clock.monotonic()
        due = []
        while self._deferred and self._deferred[0][0] <= now:
            due.append(heapq.heappop(self._deferred)[1])
        if due:
            self.follow(tuple(due))

    def _pick_all(self, offer: WaitingJob) -> list[Pick] | Impossible | str:
        """Choose a worker for each task offered, or for none."""
        job = self._kept.table.jobs[offer.name]
        names = list(islice(self._waiting[offer.name], offer.offered))
        tasks = [self._kept.table.tasks[name] for name in names]
        found = self._pick_each(job, tasks)
        if isinstance(found, str) and any(self._may_ignore(job, t) for t in tasks):
            found = self._pick_each(job, [t._replace(avoid=()) for t in tasks])
        return found

    def _pick_each(self, job: Job, tasks: list[Task]) -> list[Pick] | Impossible | str:
        picks: list[Pick] = []
        for task in tasks:
            found = self._pick(job, task)
            if isinstance(found, Pick):
                picks.append(found)
                continue
            for pick in picks:
                self._view.drop(pick.task)
            return found
        return picks

    def _may_ignore(self, job: Job, task: Task) -> bool:
        """Tell whether a task must go back to a worker that it failed on."""
        if not task.avoid:
            return False
        return job.spec["type"] == "gang" or not self._view.has_other(
            make_need(job, task)
        )

    def _pick(self, job: Job, task: Task) -> Pick | Impossible | str:
        found = self._view.pick(make_need(job, task))
        if isinstance(found, Impossible):
            return found
        if not isinstance(found, Placed):
            return found.dimension
        owner = self._launcher.find_owner(found.worker)
        if owner is None:
            self._view.drop(task.name)
            self._view.close(found.worker, "no_owner")
            return "owner"
        return make_pick(task, found.worker, owner, get_size(job.spec))

    def _note_failure(self, turn: Pass, offer: WaitingJob, dimension: str) -> None:
        tasks = self._kept.table.tasks
        if any(tasks[name].avoid for name in self._waiting[offer.name]):
            others = "the workers that it has not failed on"
            turn.skip(offer, f"{others} have not enough {dimension} now")
        else:
            turn.fail(offer, dimension)

    def _note_picks(self, offer: WaitingJob, picks: list[Pick]) -> None:
        waiting = self._waiting[offer.name]
        for pick in picks:
            del waiting[pick.task]
            self._launching.add(pick.task)
            self._charged[pick.task] = (offer.team, offer.size)

    def _start_launch(self, picks: list[Pick], is_gang: bool) -> None:
        launch = asyncio.ensure_future(self._launch(picks, is_gang))
        self._launches.add(launch)
        launch.add_done_callback(self._launches.discard)

    async def _launch(self, picks: list[Pick], is_gang: bool) -> None:
        refused = await self._launcher.launch(picks, is_gang)
        for pick in picks:
            self._launching.discard(pick.task)
            code = refused.get(pick.task)
            if code is not None:
                count_refusal("dispatch", code)
                self._view.drop(pick.task)
                self._view.close(pick.worker, code)
        self.follow(tuple(pick.task for pick in picks))

    async def _refuse_all(self, impossible: list[tuple[str, str]]) -> None:
        if not impossible:
            return
        changes: list[tuple[object, type]] = []
        for name, dimension in impossible:
            _log.info("A job can never run.", job=name, dimension=dimension)
            refused = records.RefusedJobs(
                jobs=[name],
                code="impossible",
                detail=f"no worker of the fleet has enough {dimension}",
                at=self._kept.get_time(),
            )
            changes.append((refused, records.RefusedJobs))
        await self._kept.commit(*changes)


def get_urgency(spec: WorkloadSpec) -> Urgency:
    """Return the urgency class of a workload."""
    return Urgency(spec.get("urgency", Urgency.NORMAL.value))


def make_need(job: Job, task: Task) -> TaskNeed:
    """Return what a task needs of a worker."""
    spec = job.spec
    return TaskNeed(
        task=task.name,
        size=get_size(spec),
        group=job.workload if spec["type"] == "service" else "",
        urgency=get_urgency(spec),
        idempotent=spec.get("idempotent", False),
        checkpoint=spec.get("checkpoint", False),
        zones=frozenset(spec.get("zones", ())),
        avoid=frozenset(task.avoid),
    )


def _group_by_owner(picks: list[Pick]) -> list[list[Pick]]:
    groups: dict[str, list[Pick]] = {}
    for pick in picks:
        groups.setdefault(pick.owner, []).append(pick)
    return list(groups.values())
