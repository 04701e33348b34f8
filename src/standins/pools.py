"""In-process stand-ins for what the pools use: workers, advisor, operators' queues.

The store is in :mod:`standins.poolstore`. All follow the platform's documentation
and inject the faults that it names: refusals, lost answers, writes and orders that
are executed late, revoked keys and silent machines.
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
    WorkerIncarnation,
    WorkerTasks,
)
from damaskdeck.protocol.ports import (
    OTHER_CONNECTION,
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
from standins.limits import (
    ADVISOR_LIMITS,
    WORKER_LIMITS,
    AdvisorLimits,
    LimitExceededError,
    WorkerLimits,
    check_limit,
)
from standins.poolstore import PoolStoreClient

LOST_CALL_DELAY = timedelta(milliseconds=400)
# Shorter than an order's deadline, or the worker would refuse every late order.
LATE_ORDER_DELAY = timedelta(milliseconds=700)


class Work(NamedTuple):
    """How a task behaves: how long it runs and how it ends.

    :param startup: time after which a long-running task reports 100 percent;
        ``None`` for a task whose percentage is its share of ``duration``.
    :param crash_after: time after the start at which the task crashes its worker's
        incarnation; ``None`` for a task that does not crash it.
    """

    duration: timedelta = timedelta(seconds=1)
    kind: EndKind = EndKind.COMPLETED
    startup: timedelta | None = None
    crash_after: timedelta | None = None


class _Running(NamedTuple):
    attempt: int
    started_at: timedelta
    work: Work
    payload: str


class StandinWorker:
    """One incarnation of a worker, as the platform's documentation describes it.

    :param behave: returns how an attempt of a task behaves.
    :param clock_offset: what the worker's own clock is ahead of ``clock``.
    :ivar is_hung: whether its tasks make no progress and never end.
    :ivar slowdown: factor by which its tasks take longer.
    :ivar on_crash: called when one of its tasks crashes it.
    """

    def __init__(
        self,
        info: PoolWorker,
        clock: Clock,
        behave: Callable[[TaskName, int], Work],
        limits: WorkerLimits = WORKER_LIMITS,
        clock_offset: timedelta = timedelta(),
    ) -> None:
        self.info = info
        self.incarnation = WorkerIncarnation.parse(info.identifier)
        self.faults = Faults()
        self.is_up = True
        self.is_hung = False
        self.slowdown = 1.0
        self.on_crash: Callable[[], None] = self.kill
        self.highest_epoch = 0
        self.lease_expires_at = timedelta()
        self.running: dict[TaskName, _Running] = {}
        self.ends: list[EndedTask] = []
        self.starts: list[tuple[timedelta, TaskName, int, int]] = []
        self.history: list[tuple[TaskName, int, EndKind, timedelta, timedelta]] = []
        # Ends that were lost: this incarnation ended before they were observed, or
        # they were observed only after the lease had lapsed.
        self.lost: set[tuple[TaskName, int]] = set()
        self._lapsed_at = timedelta(-1)
        self._end_times: dict[int, timedelta] = {}
        self._clock = clock
        self._behave = behave
        self._limits = limits
        self._clock_offset = clock_offset
        self._observed = 0
        self._barred_attempts: dict[TaskName, int] = {}
        self._end_numbers = itertools.count(1)
        self._ended = asyncio.Event()

    def _now(self) -> timedelta:
        return self._clock.monotonic()

    def _read_own_clock(self) -> timedelta:
        return self._now() + self._clock_offset

    def settle(self) -> None:
        """End the tasks whose lease or duration is over by now."""
        now = self._now()
        self._end_completed(min(now, self.lease_expires_at))
        if self.lease_expires_at <= now:
            self._lapsed_at = self.lease_expires_at
            for task in list(self.running):
                self._end(task, EndKind.LAPSED, self.lease_expires_at)

    def _end_completed(self, until: timedelta) -> None:
        """End the tasks whose duration is over by a time."""
        if self.is_hung:
            return
        for task, run in list(self.running.items()):
            if run.started_at + run.work.duration <= until:
                self._end(task, run.work.kind, run.started_at + run.work.duration)

    def _end(self, task: TaskName, kind: EndKind, at: timedelta) -> None:
        run = self.running.pop(task)
        self._barred_attempts[task] = max(
            self._barred_attempts.get(task, 0), run.attempt
        )
        end = EndedTask(next(self._end_numbers), task, run.attempt, kind, "")
        self.ends.append(end)
        self._end_times[end.number] = at
        self.history.append((task, run.attempt, kind, run.started_at, at))
        self._ended.set()
        self._ended = asyncio.Event()

    def kill(self) -> None:
        """End this incarnation; its tasks and unobserved ends are lost."""
        self.settle()
        now = self._now()
        for task, run in self.running.items():
            row = (task, run.attempt, EndKind.LAPSED, run.started_at, now)
            self.history.append(row)
        self.running.clear()
        self.lost.update((end.task, end.attempt) for end in self.ends)
        self.is_up = False

    def _check_epoch(self, epoch: int) -> Declined | None:
        if epoch < self.highest_epoch:
            return Declined(RefusalCode.STALE_EPOCH, self._read_own_clock())
        self.highest_epoch = epoch
        return None

    def start(self, epoch: int, order: TaskStart) -> Done | Declined:
        """Execute an order to start a task."""
        self.settle()
        now, own_time = self._now(), self._read_own_clock()
        refusal = self._check_epoch(epoch)
        if refusal is not None:
            return refusal
        if order.deadline <= own_time:
            return Declined(RefusalCode.LATE, own_time)
        self._extend(order.deadline)
        current = self.running.get(order.task)
        if current is not None and current.attempt == order.attempt:
            return Done(own_time)
        if current is not None or order.attempt <= self._barred_attempts.get(
            order.task, 0
        ):
            return Declined(RefusalCode.STALE_ATTEMPT, own_time)
        work = self._behave(order.task, order.attempt)
        work = work._replace(duration=work.duration * self.slowdown)
        self.running[order.task] = _Running(order.attempt, now, work, order.payload)
        self.starts.append((now, order.task, order.attempt, epoch))
        if work.crash_after is not None:
            self._schedule_crash(order.task, order.attempt, work.crash_after)
        return Done(own_time)

    def _schedule_crash(self, task: TaskName, attempt: int, delay: timedelta) -> None:
        def crash() -> None:
            run = self.running.get(task)
            if self.is_up and run is not None and run.attempt == attempt:
                self.on_crash()

        asyncio.get_running_loop().call_later(delay.total_seconds(), crash)

    def stop(self, epoch: int, task: TaskName, attempt: int) -> Done | Declined:
        """Execute an order to stop a task."""
        self.settle()
        refusal = self._check_epoch(epoch)
        if refusal is not None:
            return refusal
        self._barred_attempts[task] = max(self._barred_attempts.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run.attempt == attempt:
            self._end(task, EndKind.STOPPED, self._now())
        return Done(self._read_own_clock())

    def _extend(self, deadline: timedelta) -> None:
        longest = self._now() + self._limits.lease
        until = min(deadline - self._clock_offset, longest)
        self.lease_expires_at = max(self.lease_expires_at, until)

    async def poll(
        self, epoch: int, observed: int, deadline: timedelta | None, wait: timedelta
    ) -> WorkerTasks | Declined:
        """Extend the lease, wait for a task to end and list the tasks.

        Ends up to ``observed`` are forgotten, also those that are yet to come. Of the
        others the first are listed, up to the limit.

        :raises LimitExceededError: if the wait is too long.
        """
        check_limit("poll_wait", wait, self._limits.poll_wait)
        self.settle()
        refusal = self._check_epoch(epoch)
        if refusal is not None:
            return refusal
        self._observed = max(self._observed, observed)
        self._forget_observed_ends()
        if deadline is not None:
            self._extend(deadline)
        poll_until = self._now() + wait
        while not self.ends and self._now() < poll_until:
            await self._clock.sleep(timedelta(milliseconds=10))
            self.settle()
            self._forget_observed_ends()
        rows = tuple(
            RunningTask(task, run.attempt, "", self._compute_percent(run))
            for task, run in self.running.items()
        )
        ends = tuple(self.ends[: self._limits.listed_ends])
        return WorkerTasks(
            self._read_own_clock(),
            rows,
            ends,
            self.incarnation.born,
            # A full list doesn't show whether there are more.
            len(ends) == self._limits.listed_ends,
        )

    def _forget_observed_ends(self) -> None:
        self.lost.update(
            (end.task, end.attempt)
            for end in self.ends
            if end.number <= self._observed
            and self._end_times[end.number] <= self._lapsed_at
        )
        self.ends = [end for end in self.ends if end.number > self._observed]

    def _compute_percent(self, run: _Running) -> int:
        if self.is_hung:
            return 30
        if run.work.startup is not None:
            done = (self._now() - run.started_at) / run.work.startup
            return min(100, int(100 * done))
        done = (self._now() - run.started_at) / run.work.duration
        return min(99, int(100 * done))


class WorkersClient:
    """One daemon's client of the workers; implements the port ``PoolWorkers``.

    :ivar cut_off: names of the workers that this daemon cannot reach.
    :ivar executes_late: whether orders with the fault ``LOSE_ANSWER`` are executed
        late instead of at once.
    """

    def __init__(self, workers: dict[str, StandinWorker], clock: Clock) -> None:
        self.cut_off: set[str] = set()
        self.faults = Faults()
        self.executes_late = False
        self._workers = workers
        self._clock = clock
        self._late_orders: set[asyncio.Task[None]] = set()

    async def _find_reachable(
        self, info: PoolWorker
    ) -> StandinWorker | Replaced | Rejected | Lost:
        name = WorkerIncarnation.parse(info.identifier).name
        if name in self.cut_off:
            await self._clock.sleep(LOST_CALL_DELAY)
            return Lost("timeout")
        connected = self._find_living(info)
        await self._clock.sleep(timedelta(milliseconds=1))
        worker = self._find_living(info)
        if worker is not None and worker.incarnation.name != name:
            return Replaced()
        # A connection ends with the worker's process, also while this one is frozen.
        is_broken = connected is not None and worker is not connected
        if worker is None or is_broken:
            await self._clock.sleep(LOST_CALL_DELAY)
            return Lost("timeout")
        return worker

    def _find_living(self, info: PoolWorker) -> StandinWorker | None:
        living = {w.info.address: w for w in self._workers.values() if w.is_up}
        return living.get(info.address)

    async def start(self, worker: PoolWorker, epoch: int, order: TaskStart):
        """Send an order to start a task."""
        found = await self._find_reachable(worker)
        if not isinstance(found, StandinWorker):
            return found
        kind = self.faults.take("start")
        if kind is FaultKind.REFUSE:
            return Declined(RefusalCode.UNHEALTHY)
        if kind is FaultKind.LOSE_ANSWER:
            if self.executes_late:
                self._execute_late(worker, epoch, order)
            else:
                found.start(epoch, order)
            await self._clock.sleep(LOST_CALL_DELAY)
            return Lost("timeout")
        return found.start(epoch, order)

    def _execute_late(self, info: PoolWorker, epoch: int, order: TaskStart) -> None:
        """Start a task late, on the next incarnation if the name is the same."""
        name = WorkerIncarnation.parse(info.identifier).name

        async def wait() -> None:
            await self._clock.sleep(LATE_ORDER_DELAY)
            worker = self._find_living(info)
            if worker is not None and worker.incarnation.name == name:
                worker.start(epoch, order)

        task = asyncio.ensure_future(wait())
        self._late_orders.add(task)
        task.add_done_callback(self._late_orders.discard)

    async def stop(self, worker: PoolWorker, epoch: int, task: TaskName, attempt: int):
        """Send an order to stop a task."""
        found = await self._find_reachable(worker)
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
        connection: object = None,
    ):
        """Extend a worker's lease and list its tasks.

        A connection ends with the worker's process, so the process stands for it.
        """
        found = await self._find_reachable(worker)
        if not isinstance(found, StandinWorker):
            return found
        if connection not in (None, found):
            return Rejected(OTHER_CONNECTION)
        try:
            answer = await found.poll(epoch, observed, deadline, wait)
        except LimitExceededError:
            return Declined(RefusalCode.INVALID)
        is_unreachable = found.incarnation.name in self.cut_off or not found.is_up
        if is_unreachable:
            return Lost("timeout")
        if isinstance(answer, WorkerTasks):
            return answer._replace(connection=found)
        return answer


class StandinRegistry:
    """The registry of the workers, below a prefix of the store.

    It implements the port ``WorkerRegistry``.
    """

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
        return RegisteredWorkers(
            tuple(self._find(entry.key, entry.value) for entry in entries),
            revision,
            tuple(entry.revision for entry in entries),
        )

    async def follow_workers(
        self, revision: int, wait: timedelta
    ) -> RegistryChanges | RevisionTooOld | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one."""
        found = await self._store.watch(self.prefix, revision, wait)
        if not isinstance(found, Events):
            return found
        changes = []
        for event in found.events:
            name = event.key.removeprefix(self.prefix)
            worker = None
            if event.value is not None:
                worker = self._find(event.key, event.value)
            changes.append(RegistryChange(name, worker, event.revision))
        return RegistryChanges(tuple(changes), found.revision)

    def _find(self, key: str, value: bytes) -> PoolWorker:
        """Return the worker of an entry; with a birth its value is the identifier."""
        worker = self._workers.get(value.decode())
        return (worker or self._workers[key.removeprefix(self.prefix)]).info


class StandinAdvisor:
    """An advisor that consents to the workers that ``allow`` accepts.

    It implements the port ``Advisor``.

    :param allow: whether a step may run on a worker.
    :ivar duration: how long it takes to answer.
    """

    def __init__(
        self,
        clock: Clock,
        allow: Callable[[str, str], bool] = lambda s, w: True,
        limits: AdvisorLimits = ADVISOR_LIMITS,
    ) -> None:
        self.calls: list[tuple[str, tuple[str, ...]]] = []
        self.faults = Faults()
        self.duration = timedelta(milliseconds=5)
        self._clock = clock
        self._allow = allow
        self._limits = limits
        self._waiting_calls = 0

    async def request_advice(
        self, step: str, workers: tuple[str, ...], timeout: timedelta
    ) -> Advice | Rejected | Lost:
        """Return tickets for the workers that may run a step."""
        if len(workers) > self._limits.workers:
            return Lost("unexpected_status", "400")
        if self._waiting_calls >= self._limits.waiting_calls:
            return Rejected("busy")
        self.calls.append((step, workers))
        self._waiting_calls += 1
        try:
            await self._clock.sleep(self.duration)
        finally:
            self._waiting_calls -= 1
        if self.faults.take("ask") is FaultKind.REFUSE:
            return Rejected("busy")
        consenting = (w for w in workers if self._allow(step, w))
        return Advice(tuple(Consent(w, f"ticket-{step}-{w}") for w in consenting))


class StandinQueues:
    """The operators' queue document as one daemon reads it from the store.

    The store only holds the document's version. It implements the port
    ``QueueSource``.

    :param tables: content of each version of the document.
    """

    key = "operator/queues"

    def __init__(self, store: PoolStoreClient, tables: dict[int, QueueTable]) -> None:
        self._store = store
        self._tables = tables

    async def read_queues(
        self, known_revision: int = 0
    ) -> DeclaredQueues | Rejected | Lost:
        """Read the document, unless its revision is still ``known_revision``."""
        found = await self._store.read_changed(self.key, known_revision)
        if isinstance(found, Unchanged):
            return DeclaredQueues(None, found.revision, known_revision)
        if isinstance(found, Missing):
            return DeclaredQueues(None, found.revision)
        return self.decode(found.entry) if isinstance(found, Found) else found

    def decode(self, entry: Entry) -> DeclaredQueues:
        """Return the queues that the document's entry declares."""
        table = self._tables.get(int(entry.value))
        return DeclaredQueues(table, entry.revision, entry.revision)

    async def follow_queues(
        self, revision: int, wait: timedelta
    ) -> DeclaredQueues | RevisionTooOld | Rejected | Lost:
        """Return the newest document after ``revision``, waiting for one."""
        found = await self._store.watch(self.key, revision, wait)
        if not isinstance(found, Events):
            return found
        if not found.events:
            return DeclaredQueues(None, found.revision)
        newest = found.events[-1]
        table = self._tables.get(int(newest.value))
        return DeclaredQueues(table, found.revision, newest.revision)
