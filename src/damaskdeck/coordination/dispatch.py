"""Dispatch: takes waiting tasks in order and launches them where they fit."""

import asyncio
import heapq
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.kept import KeptLedger
from damaskdeck.coordination.launches import Launcher, Pick
from damaskdeck.coordination.needs import (
    get_size,
    get_urgency,
    make_need,
    make_request,
)
from damaskdeck.coordination.owners import Owners
from damaskdeck.coordination.passes import Pass
from damaskdeck.coordination.queueing import JobQueue
from damaskdeck.coordination.shapes import Shapes
from damaskdeck.coordination.waiting import WaitingJob
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.sizes import Size
from damaskdeck.state import records
from damaskdeck.state.jobs import Job, Task, TaskState

PASS_INTERVAL = timedelta(milliseconds=20)
IDLE_INTERVAL = timedelta(milliseconds=250)
BATCH_LIMIT = 500
BACKOFF = timedelta(seconds=1)
BACKOFF_LIMIT = timedelta(seconds=60)
PRESSED_AFTER = timedelta(seconds=5)
REFUSED_PAUSE = timedelta(milliseconds=200)
ROOM_PAUSE = timedelta(milliseconds=50)
IMPOSSIBLE_LIMIT = timedelta(seconds=60)
ON_WORKER = (TaskState.PLACED, TaskState.RUNNING)

_log = get_logger("dispatch")


class Impossible(NamedTuple):
    """Since when no listed worker could ever hold a job, and what they lack."""

    since: timedelta
    lack: str

    @property
    def reason(self) -> str:
        """Plain words for people."""
        return f"no worker of the fleet has enough {self.lack}"


class Dispatcher:
    """Keeps the queue of one kept ledger in step with its table, and empties it.

    :param queue: charged for what is placed.
    :param watch: called with each launch once it has ended.
    """

    def __init__(
        self,
        kept: KeptLedger,
        owners: Owners,
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
        self._judged: frozenset[str] | None = None
        self._next_refusal = timedelta()
        self._impossible: dict[str, Impossible] = {}
        self._pauses: dict[str, timedelta] = {}
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
        found = self._impossible.get(job.name)
        reasons = self._queue.describe(job.name)
        return (*reasons, found.reason) if found else reasons

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
        """Tell whether a task that failed or was refused must wait longer."""
        now = self._clock.monotonic()
        if self._pauses.get(task.name, now) > now:
            return True
        self._pauses.pop(task.name, None)
        if not task.failures:
            return False
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
        if self._owners.refresh():
            self._queue.note_room(self._shapes.capacity)
        await self._judge_impossible()
        if not len(self._queue):
            return
        groups: dict[str, list[Pick]] = {}
        turn = Pass(self._queue)
        for _ in range(BATCH_LIMIT):
            offer = turn.next()
            if offer is None:
                break
            if offer.name in self._impossible:
                turn.skip(offer, self._impossible[offer.name].reason)
            elif offer.gang:
                self._try_gang(turn, offer)
            else:
                self._try_single(turn, offer, groups)
        for picks in groups.values():
            self._start_launch(self._launcher.launch(picks), picks)

    def _wake_deferred(self) -> None:
        now = self._clock.monotonic()
        due = []
        while self._deferred and self._deferred[0][0] <= now:
            due.append(heapq.heappop(self._deferred)[1])
        if due:
            self.follow(tuple(due))

    def _try_single(
        self, turn: Pass, offer: WaitingJob, groups: dict[str, list[Pick]]
    ) -> None:
        job = self._kept.table.jobs[offer.name]
        task = self._kept.table.tasks[next(iter(self._waiting[offer.name]))]
        owner = self._owners.choose(make_need(job, task))
        if owner is None:
            turn.fail(offer, "no worker has enough of it free")
            return
        pick = Pick(owner, make_request(job, task, self._is_pressed(task)))
        self._note_picks(offer, [pick])
        turn.take(offer)
        groups.setdefault(owner, []).append(pick)

    def _try_gang(self, turn: Pass, offer: WaitingJob) -> None:
        job = self._kept.table.jobs[offer.name]
        tasks = [self._kept.table.tasks[name] for name in self._waiting[offer.name]]
        owners = self._owners.list_fitting(make_need(job, tasks[0]))
        if not owners:
            turn.fail(offer, "no worker has enough of it free")
            return
        picks = [Pick("", make_request(job, task, True)) for task in tasks]
        self._note_picks(offer, picks)
        turn.take(offer)
        self._start_launch(self._launcher.launch_gang(picks, owners), picks)

    def _is_pressed(self, task: Task) -> bool:
        """Tell whether a task has waited long for a worker it hasn't failed on."""
        _, until = self._deferrals.get(task.name, (0, timedelta()))
        return self._clock.monotonic() - until >= PRESSED_AFTER

    def _note_picks(self, offer: WaitingJob, picks: list[Pick]) -> None:
        waiting = self._waiting[offer.name]
        for pick in picks:
            del waiting[pick.task]
            self._launching.add(pick.task)
            self._charged[pick.task] = (offer.team, offer.size)

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
            if code is not None:
                self._note_refused(pick, code)
        self.follow(tuple(pick.task for pick in picks))

    def _note_refused(self, pick: Pick, code: str) -> None:
        count_refusal("dispatch", code)
        task = self._kept.table.tasks.get(pick.task)
        if task is None:
            return
        delay = REFUSED_PAUSE
        if code == "making_room" and pick.owner:
            self._owners.note_making_room(pick.owner, pick.task)
            delay = ROOM_PAUSE
        elif pick.owner:
            need = make_need(self._kept.table.jobs[task.job], task)
            self._owners.note_refused(pick.owner, need)
        until = self._clock.monotonic() + delay
        self._pauses[pick.task] = until
        heapq.heappush(self._deferred, (until, pick.task))

    # Jobs that can never run -----------------------------------------------------

    async def _judge_impossible(self) -> None:
        """Tell jobs that no listed worker can hold, and refuse them after a while.

        A rack that is being replaced doesn't cost the jobs that wait for it.
        """
        now = self._clock.monotonic()
        if self._judged is self._shapes.names and now < self._next_refusal:
            return
        self._judged = self._shapes.names
        self._next_refusal = now + IMPOSSIBLE_LIMIT / 10
        found: dict[str, Impossible] = {}
        for name in self._waiting:
            job = self._kept.table.jobs.get(name)
            lack = self._shapes.find_impossible(job.spec) if job else None
            if lack is not None:
                known = self._impossible.get(name)
                found[name] = Impossible(known.since if known else now, lack)
        self._impossible = found
        late = [n for n, i in found.items() if now - i.since >= IMPOSSIBLE_LIMIT]
        await self._refuse_all(late)

    async def _refuse_all(self, names: list[str]) -> None:
        changes: list[tuple[object, type]] = []
        for name in names:
            _log.info("A job can never run.", job=name)
            refused = records.RefusedJobs(
                jobs=[name],
                code="impossible",
                detail=self._impossible[name].reason,
                at=self._kept.get_time(),
            )
            changes.append((refused, records.RefusedJobs))
        if changes:
            await self._kept.commit(*changes)
