"""In-memory workers that run tasks under leases."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar

import msgspec

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import (
    Accepted,
    Instance,
    Inventory,
    Lost,
    Rejected,
    StartOrder,
    TaskReport,
    TaskState,
    Usage,
)
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, fits
from standins.gateway import CALL_TIMEOUT, ChangeSignal, Gateway
from standins.runs import Overfill, RunLog, Start

DEFAULT_RUN_TIME = timedelta(seconds=1)
USAGE_LAG = timedelta(seconds=10)

T = TypeVar("T")


class Work(NamedTuple):
    """How a task runs, as described by its payload.

    :param run_time: duration at full speed; ``None`` runs until it is stopped.
    :param usage_factor: ratio of observed usage to the task's size; ``None`` uses
        the worker's factor, and without that, no usage is reported.
    """

    run_time: timedelta | None
    is_failing: bool
    result: bytes
    usage_factor: float | None = None


class Run:
    """A run of a task on a worker.

    :param epoch: epoch under which the task was started.
    :param lease_end: monotonic time.
    :ivar updated: monotonic time up to which ``progress`` is counted.
    :ivar sequence: worker's sequence number of the last change of this run.
    :ivar limit: processor limit in millicores when throttled, else ``None``.
    """

    def __init__(
        self,
        order: StartOrder,
        work: Work,
        epoch: int,
        start: Start,
        state: TaskState,
        lease_end: timedelta,
        progress: timedelta,
        updated: timedelta,
        checkpoint: str = "",
    ) -> None:
        self.order = order
        self.work = work
        self.epoch = epoch
        self.start = start
        self.state = state
        self.lease_end = lease_end
        self.progress = progress
        self.updated = updated
        self.sequence = 0
        self.limit: int | None = None
        self.checkpoint = checkpoint
        self.result = b""

    @property
    def speed(self) -> float:
        """Fraction of full speed."""
        if self.limit is None or not self.order.size.millicores:
            return 1.0
        return min(1.0, self.limit / self.order.size.millicores)

    def advance(self, time: timedelta) -> None:
        """Count the progress up to ``time``."""
        self.progress += (time - self.updated) * self.speed
        self.updated = time

    def predict_finish(self) -> timedelta | None:
        """Return the monotonic time at which it will finish by itself, if ever."""
        if self.work.run_time is None or not self.speed:
            return None
        return self.updated + (self.work.run_time - self.progress) / self.speed

    def report(self) -> TaskReport:
        """Return the worker's report of this run."""
        return TaskReport(
            self.order.task,
            self.order.attempt,
            self.state,
            self.order.size,
            self.epoch,
            self.result,
            self.checkpoint,
        )


class MemoryWorker:
    """One worker; each call first applies the time that has passed to its state.

    :param log: records the runs on all workers.
    :ivar checks_epochs: whether calls under an older epoch are refused.
    :ivar fails_everything: whether every task fails at once.
    :ivar usage_factor: ratio of observed usage to a task's size; ``None`` for no
        usage reports.
    :ivar usage_lag: age of the reported usage.
    """

    def __init__(self, instance: Instance, clock: Clock, log: RunLog) -> None:
        self.instance = instance
        self.clock = clock
        self.log = log
        self.gateway = Gateway(clock, "worker_busy")
        self.faults = self.gateway.faults
        self.calls = self.gateway.calls
        self.checks_epochs = True
        self.is_leaving = False
        self.is_dead = False
        self.fails_everything = False
        self.usage_factor: float | None = None
        self.usage_lag = USAGE_LAG
        self.peak_usage = ZERO_SIZE
        self.epoch = 0
        self.restarts = 0
        self.changed = ChangeSignal()
        self._runs: dict[str, Run] = {}
        self._running: dict[str, Run] = {}
        self._sequence = 0

    @property
    def incarnation(self) -> str:
        """Identifies the machine between two restarts."""
        return f"{self.instance.name}+{self.restarts}"

    def start(self, epoch: int, order: StartOrder) -> Accepted | Rejected:
        """Start a task, even beyond the capacity, which is recorded as an overfill."""
        if order.incarnation not in ("", self.incarnation):
            return Rejected("stale_incarnation")
        existing = self._runs.get(order.task)
        if existing is not None and existing.order.attempt == order.attempt:
            return Accepted(existing.report())
        if existing is not None and existing.order.attempt > order.attempt:
            return Rejected("stale_attempt")
        if order.task in self._running:
            return Rejected("already_running")
        if self.is_leaving:
            return Rejected("worker_leaving")
        now = self.clock.monotonic()
        start = Start(order.task, order.attempt, self.instance.name, now)
        run = Run(
            order=order,
            work=self._decode_work(order.payload),
            epoch=epoch,
            start=start,
            state=TaskState.RUNNING,
            lease_end=now + order.lease,
            progress=_parse_checkpoint(order.checkpoint),
            updated=now,
            checkpoint=order.checkpoint,
        )
        self.log.begin(start, self.apply_elapsed_time)
        self._runs[order.task] = self._running[order.task] = run
        self._record_change(run)
        self._record_usage()
        self.apply_elapsed_time()
        return Accepted(run.report())

    def stop(self, task: str) -> Accepted | Rejected:
        """Stop a task."""
        run = self._runs.get(task)
        if run is None:
            return Rejected("no_such_task")
        if run.state is TaskState.RUNNING:
            self._end(run, TaskState.STOPPED, self.clock.monotonic())
        return Accepted(run.report())

    def checkpoint(self, task: str) -> Accepted | Rejected:
        """Stop a task and return a checkpoint reference that encodes its progress."""
        run = self._runs.get(task)
        if run is None:
            return Rejected("no_such_task")
        if run.state is TaskState.RUNNING:
            run.advance(self.clock.monotonic())
            run.checkpoint = f"{task}@{run.progress.total_seconds():.6f}"
            self._end(run, TaskState.CHECKPOINTED, run.updated)
        return Accepted(run.report())

    def throttle(self, task: str, millicores: int) -> Accepted | Rejected:
        """Limit a task's processors, which slows it down in proportion."""
        run = self._runs.get(task)
        if run is None:
            return Rejected("no_such_task")
        if run.state is TaskState.RUNNING:
            run.advance(self.clock.monotonic())
            run.limit = millicores
            self._record_change(run)
        return Accepted(run.report())

    def renew(self, tasks: tuple[str, ...], lease: timedelta) -> Inventory:
        """Renew the leases of running tasks; ended tasks are left unchanged."""
        deadline = self.clock.monotonic() + lease
        for task in tasks:
            if task in self._running:
                self._running[task].lease_end = deadline
        return self.read_inventory()

    def read_inventory(self, after: int = 0) -> Inventory:
        """List the tasks that changed after sequence number ``after``."""
        tasks = [run for run in self._runs.values() if run.sequence > after]
        tasks.sort(key=lambda run: run.sequence)
        reports = tuple(run.report() for run in tasks)
        return Inventory(reports, self._read_usage(), self._sequence, self.incarnation)

    def acknowledge(self, tasks: tuple[str, ...]) -> Inventory:
        """Remove ended tasks; running ones are kept."""
        for task in tasks:
            if task not in self._running:
                self._runs.pop(task, None)
        return self.read_inventory()

    def admit_epoch(self, epoch: int) -> bool:
        """Return whether ``epoch`` may act; from then on, lower epochs are refused."""
        if self.checks_epochs and epoch < self.epoch:
            return False
        self.epoch = max(self.epoch, epoch)
        return True

    def apply_elapsed_time(self) -> None:
        """End the tasks that have finished or lapsed by now, in order of time.

        While a worker is paused its tasks make no progress, but their leases lapse.
        """
        now = self.clock.monotonic()
        ends = (self._find_end(run) for run in self._running.values())
        for time, task, state in sorted(end for end in ends if end[0] <= now):
            self._end(self._running[task], state, time)

    def find_next_end(self) -> timedelta | None:
        """Return the monotonic time at which the next task ends by itself, if any."""
        ends = (self._find_end(run) for run in self._running.values())
        return min((end[0] for end in ends), default=None)

    def list_running(self) -> tuple[str, ...]:
        """List the tasks that run now."""
        self.apply_elapsed_time()
        return tuple(self._running)

    def pause(self) -> None:
        """Freeze the instance and its tasks; their leases still lapse."""
        self.apply_elapsed_time()
        for run in self._running.values():
            run.advance(self.clock.monotonic())
        self.faults.pause()

    def resume(self) -> None:
        """Unfreeze; tasks whose lease lapsed meanwhile have ended."""
        self.apply_elapsed_time()
        now = self.clock.monotonic()
        for run in self._running.values():
            run.updated = now
        self.faults.resume()
        self.changed.wake()

    def die(self) -> None:
        """Fail: lose all tasks and become unreachable."""
        self.apply_elapsed_time()
        for run in self._running.values():
            self.log.end(run.start)
        self._runs.clear()
        self._running.clear()
        self.is_dead = True
        self.faults.outage = True
        self.gateway.drop_calls()
        self.changed.wake()

    def replace(self) -> None:
        """Restart as a new machine of the same name, without any state."""
        self.epoch = 0
        self.restarts += 1
        self._sequence = 0
        self.is_dead = False
        self.is_leaving = False
        self.faults.outage = False

    def _decode_work(self, payload: bytes) -> Work:
        if self.fails_everything:
            return Work(timedelta(), True, b"worker fault")
        return _decode_work(payload)

    def _find_end(self, run: Run) -> tuple[timedelta, str, TaskState]:
        lapse = (run.lease_end, run.order.task, TaskState.LAPSED)
        finish = None if self.faults.is_paused else run.predict_finish()
        if finish is None or run.lease_end < finish:
            return lapse
        state = TaskState.FAILED if run.work.is_failing else TaskState.SUCCEEDED
        return finish, run.order.task, state

    def _end(self, run: Run, state: TaskState, time: timedelta) -> None:
        run.advance(max(time, run.updated))
        run.state = state
        if state in (TaskState.SUCCEEDED, TaskState.FAILED):
            run.result = run.work.result
        del self._running[run.order.task]
        self.log.end(run.start)
        self._record_change(run)

    def _record_change(self, run: Run) -> None:
        self._sequence += 1
        run.sequence = self._sequence
        self.changed.wake()

    def _record_usage(self) -> None:
        used = ZERO_SIZE
        for run in self._running.values():
            used = add_sizes(used, run.order.size)
        self.peak_usage = Size(*map(max, used, self.peak_usage))
        if not fits(used, self.instance.size):
            now = self.clock.monotonic()
            self.log.overfills.append(Overfill(self.instance.name, used, now))

    def _read_usage(self) -> tuple[Usage, ...]:
        settled = self.clock.monotonic() - self.usage_lag
        return tuple(
            Usage(run.order.task, self._scale_usage(run, factor), self.usage_lag)
            for run in self._running.values()
            if run.start.time <= settled
            and (factor := run.work.usage_factor or self.usage_factor)
        )

    def _scale_usage(self, run: Run, factor: float) -> Size:
        declared = run.order.size
        millicores = round(declared.millicores * factor)
        if run.limit is not None:
            millicores = min(millicores, run.limit)
        memory = round(declared.memory * factor)
        return Size(millicores, memory, declared.accelerators)


class WorkersClient:
    """One client of all workers; implements the port ``WorkerPort``.

    :param workers: all workers by name.
    :param client: name by which this client can be cut off.
    :param timeout: how long a call waits for its answer.
    """

    def __init__(
        self,
        workers: dict[str, MemoryWorker],
        client: str,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self._workers = workers
        self._client = client
        self._timeout = timeout

    async def start(
        self, worker: Instance, epoch: int, order: StartOrder
    ) -> Accepted | Rejected | Lost:
        """Start a task."""
        return await self._call(worker, "start", epoch, lambda w: w.start(epoch, order))

    async def stop(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Stop a task."""
        return await self._call(worker, "stop", epoch, lambda w: w.stop(task))

    async def checkpoint(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Save a task's progress and stop the task."""
        return await self._call(
            worker, "checkpoint", epoch, lambda w: w.checkpoint(task)
        )

    async def throttle(
        self, worker: Instance, epoch: int, task: str, millicores: int
    ) -> Accepted | Rejected | Lost:
        """Limit a task's processors."""
        return await self._call(
            worker, "throttle", epoch, lambda w: w.throttle(task, millicores)
        )

    async def renew(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...], lease: timedelta
    ) -> Inventory | Rejected | Lost:
        """Renew the leases of ``tasks``."""
        return await self._call(worker, "renew", epoch, lambda w: w.renew(tasks, lease))

    async def read_inventory(
        self, worker: Instance, epoch: int
    ) -> Inventory | Rejected | Lost:
        """List all tasks."""
        return await self._call(
            worker, "read_inventory", epoch, lambda w: w.read_inventory()
        )

    async def follow(
        self, worker: Instance, epoch: int, after: int, wait: timedelta
    ) -> Inventory | Rejected | Lost:
        """Return the tasks changed after ``after``, waiting up to ``wait`` for one."""
        found = await self._call(
            worker, "follow", epoch, lambda w: w.read_inventory(after)
        )
        if not isinstance(found, Inventory) or found.sequence != after:
            return found
        stand_in = self._workers[worker.name]

        def read() -> Inventory:
            stand_in.apply_elapsed_time()
            return stand_in.read_inventory(after)

        return await stand_in.gateway.poll(
            self._client,
            read,
            lambda inventory: inventory.sequence == after,
            stand_in.changed,
            wait,
            stand_in.find_next_end,
        )

    async def acknowledge(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...]
    ) -> Inventory | Rejected | Lost:
        """Remove ended tasks from the worker."""
        return await self._call(
            worker, "acknowledge", epoch, lambda w: w.acknowledge(tasks)
        )

    async def _call(
        self,
        worker: Instance,
        operation: str,
        epoch: int,
        action: Callable[[MemoryWorker], T],
    ) -> T | Rejected | Lost:
        stand_in = self._workers.get(worker.name)
        if stand_in is None:
            return Rejected("unreachable")

        def perform() -> T | Rejected:
            stand_in.apply_elapsed_time()
            if not stand_in.admit_epoch(epoch):
                return Rejected("stale_epoch")
            return action(stand_in)

        return await stand_in.gateway.call(
            self._client, operation, perform, self._timeout
        )


def _decode_work(payload: bytes) -> Work:
    if not payload:
        return Work(None, False, b"")
    fields = _decode_fields(payload)
    if fields is None:
        return Work(timedelta(), True, b"bad payload")
    run_time = DEFAULT_RUN_TIME
    if "run_time" in fields:
        run_time = timedelta(seconds=fields["run_time"])
    result = str(fields.get("result", "")).encode()
    return Work(run_time, bool(fields.get("fail")), result, fields.get("usage"))


def _decode_fields(payload: bytes) -> dict[str, Any] | None:
    try:
        return msgspec.json.decode(payload, type=dict[str, Any])
    except msgspec.DecodeError:
        return None


def _parse_checkpoint(reference: str) -> timedelta:
    _, _, progress = reference.rpartition("@")
    return timedelta(seconds=float(progress)) if progress else timedelta()
