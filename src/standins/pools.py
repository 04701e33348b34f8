"""In-process stand-ins of what the pools need: workers, advisor, operator.

The store is in :mod:`standins.poolstore`. All are written from the platform's pages
and inject what those name: refusals, lost answers, writes and orders that are carried
out late, revoked keys, silence.
"""

import asyncio
import itertools
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.pools import (
    Advice,
    Consent,
    DeclaredQueues,
    Declined,
    Done,
    EndedTask,
    EndKind,
    PoolWorker,
    RefusalCode,
    RegisteredWorkers,
    RegistryChange,
    RegistryChanges,
    Replaced,
    RunningTask,
    TaskStart,
    WorkerTasks,
)
from damaskdeck.protocol.ports import (
    Entry,
    Events,
    Found,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
)
from damaskdeck.protocol.queues import QueueTable, TaskName
from damaskdeck.protocol.transactions import Unchanged, read_all
from standins.faults import FaultKind, Faults
from standins.poolstore import PoolStoreClient

LOSS_WAIT = timedelta(milliseconds=400)
# Before its deadline has passed, or it would only ever be refused.
ORDER_LATE_BY = timedelta(milliseconds=700)


class Work(NamedTuple):
    """How a task behaves: for how long, and how it ends.

    :param startup: a task that lasts is at work, at 100 percent, after so long;
        ``None`` for one that works towards its end.
    :param crash_after: the life of its worker ends so long after the start, ``None``
        for one that harms nobody.
    """

    duration: timedelta = timedelta(seconds=1)
    kind: EndKind = EndKind.COMPLETED
    startup: timedelta | None = None
    crash_after: timedelta | None = None


class _Running(NamedTuple):
    attempt: int
    began: timedelta
    work: Work
    payload: str


class StandinWorker:
    """One life of a worker, as the platform's pages describe it.

    :param behave: tells how a task's attempt behaves.
    :ivar hangs: its tasks stand still.
    :ivar slowness: its tasks take so many times as long.
    :ivar on_crash: called when one of its tasks ends its life.
    """

    def __init__(
        self,
        info: PoolWorker,
        clock: Clock,
        behave: Callable[[TaskName, int], Work],
        lease_longest: timedelta,
    ) -> None:
        self.info = info
        self.faults = Faults()
        self.is_up = True
        self.hangs = False
        self.slowness = 1.0
        self.on_crash: Callable[[], None] = self.kill
        self.token = 0
        self.lease_ends = timedelta()
        self.running: dict[TaskName, _Running] = {}
        self.ends: list[EndedTask] = []
        self.starts: list[tuple[timedelta, TaskName, int, int]] = []
        self.history: list[tuple[TaskName, int, EndKind, timedelta, timedelta]] = []
        # Ends that nobody took note of before this life or its lease was over.
        self.lost: set[tuple[TaskName, int]] = set()
        self._lapsed_at = timedelta(-1)
        self._end_times: dict[int, timedelta] = {}
        self._clock = clock
        self._behave = behave
        self._lease_longest = lease_longest
        self._barred: dict[TaskName, int] = {}
        self._numbers = itertools.count(1)
        self._ended = asyncio.Event()

    def _now(self) -> timedelta:
        return self._clock.monotonic()

    def settle(self) -> None:
        """Let what has come to its end by now end."""
        now = self._now()
        if self.lease_ends <= now:
            self._lapsed_at = self.lease_ends
            for task in list(self.running):
                self._end(task, EndKind.LAPSED, self.lease_ends)
        if self.hangs:
            return
        for task, run in list(self.running.items()):
            if run.began + run.work.duration <= now:
                self._end(task, run.work.kind, run.began + run.work.duration)

    def _end(self, task: TaskName, kind: EndKind, at: timedelta) -> None:
        run = self.running.pop(task)
        self._barred[task] = max(self._barred.get(task, 0), run.attempt)
        end = EndedTask(next(self._numbers), task, run.attempt, kind, "")
        self.ends.append(end)
        self._end_times[end.number] = at
        self.history.append((task, run.attempt, kind, run.began, at))
        self._ended.set()
        self._ended = asyncio.Event()

    def kill(self) -> None:
        """Let the life end: everything is gone."""
        self.settle()
        now = self._now()
        for task, run in self.running.items():
            row = (task, run.attempt, EndKind.LAPSED, run.began, now)
            self.history.append(row)
        self.running.clear()
        self.lost.update((end.task, end.attempt) for end in self.ends)
        self.is_up = False

    def _fence(self, epoch: int) -> Declined | None:
        if epoch < self.token:
            return Declined(RefusalCode.STALE_EPOCH, self._now())
        self.token = epoch
        return None

    def start(self, epoch: int, order: TaskStart) -> Done | Declined:
        """Carry out an order to start."""
        self.settle()
        now = self._now()
        refusal = self._fence(epoch)
        if refusal is not None:
            return refusal
        if order.deadline <= now:
            return Declined(RefusalCode.LATE, now)
        self._extend(order.deadline)
        current = self.running.get(order.task)
        if current is not None and current.attempt == order.attempt:
            return Done(now)
        if current is not None or order.attempt <= self._barred.get(order.task, 0):
            return Declined(RefusalCode.STALE_ATTEMPT, now)
        work = self._behave(order.task, order.attempt)
        work = work._replace(duration=work.duration * self.slowness)
        self.running[order.task] = _Running(order.attempt, now, work, order.payload)
        self.starts.append((now, order.task, order.attempt, epoch))
        if work.crash_after is not None:
            self._crash_later(order.task, order.attempt, work.crash_after)
        return Done(now)

    def _crash_later(self, task: TaskName, attempt: int, delay: timedelta) -> None:
        def crash() -> None:
            run = self.running.get(task)
            if self.is_up and run is not None and run.attempt == attempt:
                self.on_crash()

        asyncio.get_running_loop().call_later(delay.total_seconds(), crash)

    def stop(self, epoch: int, task: TaskName, attempt: int) -> Done | Declined:
        """Carry out an order to stop."""
        self.settle()
        refusal = self._fence(epoch)
        if refusal is not None:
            return refusal
        self._barred[task] = max(self._barred.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run.attempt == attempt:
            self._end(task, EndKind.STOPPED, self._now())
        return Done(self._now())

    def _extend(self, deadline: timedelta) -> None:
        longest = self._now() + self._lease_longest
        self.lease_ends = max(self.lease_ends, min(deadline, longest))

    async def poll(
        self, epoch: int, observed: int, deadline: timedelta | None, wait: timedelta
    ) -> WorkerTasks | Declined:
        """Extend the lease, wait for an end and list everything."""
        self.settle()
        refusal = self._fence(epoch)
        if refusal is not None:
            return refusal
        self.lost.update(
            (end.task, end.attempt)
            for end in self.ends
            if end.number <= observed and self._end_times[end.number] <= self._lapsed_at
        )
        if deadline is not None:
            self._extend(deadline)
        self.ends = [end for end in self.ends if end.number > observed]
        ends = self._now() + wait
        while not self.ends and self._now() < ends:
            await self._clock.sleep(timedelta(milliseconds=10))
            self.settle()
        rows = tuple(
            RunningTask(task, run.attempt, "", self._measure(run))
            for task, run in self.running.items()
        )
        return WorkerTasks(self._now(), rows, tuple(self.ends))

    def _measure(self, run: _Running) -> int:
        if self.hangs:
            return 30
        if run.work.startup is not None:
            done = (self._now() - run.began) / run.work.startup
            return min(100, int(100 * done))
        done = (self._now() - run.began) / run.work.duration
        return min(99, int(100 * done))


class WorkersClient:
    """One daemon's way to the workers.

    :ivar cut_off: identifiers of workers that this daemon can't reach.
    :ivar late: orders that meet ``LOSE_ANSWER`` are carried out late.
    """

    def __init__(self, workers: dict[str, StandinWorker], clock: Clock) -> None:
        self.cut_off: set[str] = set()
        self.faults = Faults()
        self.late = False
        self._workers = workers
        self._clock = clock
        self._later: set[asyncio.Task[None]] = set()

    async def _reach(
        self, info: PoolWorker
    ) -> StandinWorker | Replaced | Rejected | Lost:
        if info.identifier in self.cut_off:
            await self._clock.sleep(LOSS_WAIT)
            return Lost("timeout")
        await self._clock.sleep(timedelta(milliseconds=1))
        living = {w.info.address: w for w in self._workers.values() if w.is_up}
        worker = living.get(info.address)
        if worker is None:
            await self._clock.sleep(LOSS_WAIT)
            return Lost("timeout")
        return worker if worker.info.identifier == info.identifier else Replaced()

    async def start(self, worker: PoolWorker, epoch: int, order: TaskStart):
        """Order a start."""
        found = await self._reach(worker)
        if not isinstance(found, StandinWorker):
            return found
        kind = self.faults.take("start")
        if kind is FaultKind.REFUSE:
            return Declined(RefusalCode.UNHEALTHY)
        if kind is FaultKind.LOSE_ANSWER:
            if self.late:
                self._do_later(found, lambda: found.start(epoch, order))
            else:
                found.start(epoch, order)
            await self._clock.sleep(LOSS_WAIT)
            return Lost("timeout")
        return found.start(epoch, order)

    def _do_later(self, worker: StandinWorker, order: Callable[[], object]) -> None:
        async def wait() -> None:
            await self._clock.sleep(ORDER_LATE_BY)
            if worker.is_up:
                order()

        task = asyncio.ensure_future(wait())
        self._later.add(task)
        task.add_done_callback(self._later.discard)

    async def stop(self, worker: PoolWorker, epoch: int, task: TaskName, attempt: int):
        """Order a stop."""
        found = await self._reach(worker)
        if not isinstance(found, StandinWorker):
            return found
        return found.stop(epoch, task, attempt)

    async def poll(
        self,
        worker: PoolWorker,
        epoch: int,
        observed: int,
        deadline: timedelta | None,
        wait: timedelta,
    ):
        """Hold a worker's lease."""
        found = await self._reach(worker)
        if not isinstance(found, StandinWorker):
            return found
        answer = await found.poll(epoch, observed, deadline, wait)
        is_away = worker.identifier in self.cut_off or not found.is_up
        return Lost("timeout") if is_away else answer


class StandinRegistry:
    """Where the stand-in workers are registered, below a prefix of the store."""

    prefix = "workers/"

    def __init__(self, store: PoolStoreClient, workers: dict[str, StandinWorker]):
        self._store = store
        self._workers = workers

    async def list_workers(self) -> RegisteredWorkers | Rejected | Lost:
        """Read all workers."""
        found = await read_all(self._store, self.prefix)
        if isinstance(found, Rejected | Lost):
            return found
        entries, revision = found
        names = (entry.key.removeprefix(self.prefix) for entry in entries)
        return RegisteredWorkers(
            tuple(self._workers[name].info for name in names),
            revision,
            tuple(entry.revision for entry in entries),
        )

    async def follow_workers(
        self, revision: int, wait: timedelta
    ) -> RegistryChanges | RevisionTooOld | Rejected | Lost:
        """Follow the registrations."""
        found = await self._store.watch(self.prefix, revision, wait)
        if not isinstance(found, Events):
            return found
        changes = []
        for event in found.events:
            name = event.key.removeprefix(self.prefix)
            worker = self._workers[name].info if event.value is not None else None
            changes.append(RegistryChange(name, worker, event.revision))
        return RegistryChanges(tuple(changes), found.revision)


class StandinAdvisor:
    """Consents to the workers that ``allow`` names; one call at a time."""

    def __init__(
        self, clock: Clock, allow: Callable[[str, str], bool] = lambda s, w: True
    ) -> None:
        self.calls: list[tuple[str, tuple[str, ...]]] = []
        self.faults = Faults()
        self._clock = clock
        self._allow = allow

    async def ask(
        self, step: str, workers: tuple[str, ...], timeout: timedelta
    ) -> Advice | Rejected | Lost:
        """Give tickets for the workers that may run a step."""
        self.calls.append((step, workers))
        await self._clock.sleep(timedelta(milliseconds=5))
        if self.faults.take("ask") is FaultKind.REFUSE:
            return Rejected("busy")
        good = (w for w in workers if self._allow(step, w))
        return Advice(tuple(Consent(w, f"ticket-{step}-{w}") for w in good))


class StandinQueues:
    """The operators' document as one daemon finds it in the store.

    The store holds its version; what that says is in ``tables``.
    """

    key = "operator/queues"

    def __init__(self, store: PoolStoreClient, tables: dict[int, QueueTable]) -> None:
        self._store = store
        self._tables = tables

    async def read_queues(self, known: int = 0) -> DeclaredQueues | Rejected | Lost:
        """Read the document."""
        found = await self._store.read_changed(self.key, known)
        if isinstance(found, Unchanged):
            return DeclaredQueues(None, found.revision, known)
        if isinstance(found, Missing):
            return DeclaredQueues(None, found.revision)
        return self.decode(found.entry) if isinstance(found, Found) else found

    def decode(self, entry: Entry) -> DeclaredQueues:
        """Return what the document's entry says."""
        table = self._tables.get(int(entry.value))
        return DeclaredQueues(table, entry.revision, entry.revision)

    async def follow_queues(
        self, revision: int, wait: timedelta
    ) -> DeclaredQueues | RevisionTooOld | Rejected | Lost:
        """Wait for a newer document."""
        found = await self._store.watch(self.key, revision, wait)
        if not isinstance(found, Events):
            return found
        if not found.events:
            return DeclaredQueues(None, found.revision)
        newest = found.events[-1]
        table = self._tables.get(int(newest.value))
        return DeclaredQueues(table, found.revision, newest.revision)
