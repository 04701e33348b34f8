"""Replays arrivals against a scheduler as a discrete-event simulation.

The events are arrivals of jobs and ends of tasks. The simulation knows what the
scheduler can't know (actual run times, failing workers), and sums up waiting times
and the use of workers.
"""

import heapq
import itertools
from collections import Counter
from datetime import timedelta
from typing import NamedTuple, Protocol

from benchmarks.arrivals import Arrival, Mix
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, subtract_sizes
from damaskdeck.state.workeraccounts import TaskNeed

ZERO = timedelta()
FAILURE_TIME = timedelta(seconds=1)
CHECKPOINT_TIME = timedelta(milliseconds=500)
STOP_TIME = timedelta(milliseconds=100)
MAX_ATTEMPTS = 10
STEP_INTERVAL = timedelta(seconds=2)
_SAMPLES = 200


class Task:
    """One task of a submitted job.

    :ivar remaining: run time that is left.
    :ivar waited: time from the arrival to the first start; None before it.
    :ivar version: changes with each new event, so that older ones are ignored.
    :ivar avoid: names of workers on which the task has failed.
    """

    __slots__ = (
        "arrival", "attempts", "avoid", "remaining", "name", "size", "started",
        "state", "version", "waited", "worker",
    )  # fmt: skip

    def __init__(self, arrival: Arrival, number: int) -> None:
        self.arrival = arrival
        self.name = f"{arrival.job}/{number}"
        self.remaining = arrival.run_time
        self.size = arrival.declared
        self.state = "waiting"
        self.worker = ""
        self.started = ZERO
        self.waited: timedelta | None = None
        self.attempts = 0
        self.version = 0
        self.avoid: frozenset[str] = frozenset()

    def make_need(self, size: Size | None = None) -> TaskNeed:
        """Return the task's requirements as the scheduler sees them."""
        arrival = self.arrival
        is_service = arrival.type == "service"
        return TaskNeed(
            self.name,
            size or self.size,
            arrival.workload if is_service else "",
            arrival.urgency,
            arrival.idempotent,
            arrival.checkpoint,
            arrival.zones,
            avoid=self.avoid,
            started=self.started,
        )


class Scheduler(Protocol):
    """The scheduler under test.

    :ivar interval: minimum time between two calls of :meth:`step`.
    """

    interval: timedelta

    def submit(self, cell: "Cell", tasks: list[Task]) -> None:
        """Accept the tasks of one job."""

    def end(self, cell: "Cell", task: Task, has_failed: bool) -> None:
        """Handle the end of a task's run; ``task.state`` says whether it waits."""

    def step(self, cell: "Cell") -> None:
        """Start and stop tasks by calling the methods of ``cell``."""


class ContentionTotals(NamedTuple):
    """Totals over the time during which tasks waited.

    :param time: seconds.
    :param binding: integral of the share in use of the most used dimension.
    :param shares: integrals of the share in use, by dimension.
    """

    time: float = 0.0
    binding: float = 0.0
    shares: tuple[float, float, float] = (0.0, 0.0, 0.0)


class Cell:
    """Simulates the workers of a mix, and the tasks that a scheduler starts there.

    :ivar waiting: number of waiting tasks.
    :ivar lost_core_seconds: core seconds of work that was stopped without a
        checkpoint.
    :ivar delivered: size times run time of useful work, by dimension.
    :ivar stranded: samples of the share of accelerators that are free but unusable.
    """

    def __init__(self, mix: Mix, scheduler: Scheduler | None = None) -> None:
        self.mix = mix
        self.now = ZERO
        self.tasks: dict[str, Task] = {}
        self.running: dict[str, Task] = {}
        self.waiting = 0
        self.counts: Counter[str] = Counter()
        self.lost_core_seconds = 0.0
        self.delivered = [0.0, 0.0, 0.0]
        self.contention = ContentionTotals()
        self.stranded: list[float] = []
        self.scheduler = scheduler
        self._events: list[tuple[timedelta, int, Task, int]] = []
        self._has_changes = False
        self._waiting_after_step = 0
        self._last_step = -STEP_INTERVAL
        self._sequence = itertools.count()
        self._used = ZERO_SIZE
        self._free = {worker.name: worker.size for worker in mix.workers}
        sizes = zip(*(worker.size for worker in mix.workers), strict=True)
        self._capacity = Size(*map(sum, sizes))
        self._reference_size = _compute_reference_size(mix)

    def run(self) -> None:
        """Replay all arrivals until the duration of the mix is over."""
        arrivals = iter([*self.mix.arrivals, None])
        arrival = next(arrivals)
        interval = self.mix.duration / _SAMPLES
        sample = interval
        while True:
            event = self._events[0][0] if self._events else self.mix.duration
            moment = min(event, arrival.time if arrival else self.mix.duration)
            moment = min(moment, self.mix.duration, sample)
            if self.waiting:
                moment = min(moment, self._last_step + STEP_INTERVAL)
            if self._has_changes:
                moment = min(moment, self._last_step + self.scheduler.interval)
                moment = max(moment, self.now)
            self._advance(moment)
            if moment >= self.mix.duration:
                break
            if moment == sample:
                sample += interval
                self._sample()
            while arrival and arrival.time <= moment:
                self._submit(arrival)
                arrival = next(arrivals)
            self._end_tasks()
            self._step()
        self._finish()

    def start(self, task: Task, worker: str) -> None:
        """Start a waiting task on a worker."""
        assert task.state == "waiting"
        task.state = "running"
        task.worker = worker
        task.started = self.now
        task.attempts += 1
        self.waiting -= 1
        if task.waited is None:
            task.waited = self.now - task.arrival.time
        self.running[task.name] = task
        self._update_usage(worker, task.size, 1)
        fails = worker in self.mix.failing
        self._schedule(task, FAILURE_TIME if fails else task.remaining)

    def stop(self, task: Task) -> None:
        """Stop a running task, after a checkpoint if the task supports it."""
        if task.state != "running":
            return
        done = self.now - task.started
        if task.arrival.checkpoint and task.worker not in self.mix.failing:
            self._deliver(task, done)
            task.remaining -= done
            self.counts["checkpointed"] += 1
        else:
            self.lost_core_seconds += done.total_seconds() * task.size.millicores / 1000
            self.counts["stopped"] += 1
        task.state = "stopping"
        can_checkpoint = task.arrival.checkpoint
        self._schedule(task, CHECKPOINT_TIME if can_checkpoint else STOP_TIME)

    def refuse(self, task: Task) -> None:
        """Record that the scheduler refused a task that can never run."""
        task.state = "refused"
        self.waiting -= 1
        self.counts["refused"] += 1

    def list_waits(self, urgency: Urgency) -> list[float]:
        """Return the sorted waiting times of the tasks of an urgency, in seconds.

        A task waits until its first start; one that never starts, until the end.
        """
        waits = []
        for task in self.tasks.values():
            if task.arrival.urgency == urgency and task.state != "refused":
                waited = task.waited
                if waited is None:
                    waited = self.mix.duration - task.arrival.time
                waits.append(waited.total_seconds())
        return sorted(waits)

    def _step(self) -> None:
        """Call the scheduler if something has changed or its interval is over."""
        passed = self.now - self._last_step
        is_due = self._has_changes and passed >= self.scheduler.interval
        if is_due or (self.waiting and passed >= STEP_INTERVAL):
            self._has_changes = False
            self._last_step = self.now
            self.scheduler.step(self)
            self._waiting_after_step = self.waiting

    def _submit(self, arrival: Arrival) -> None:
        tasks = [Task(arrival, number) for number in range(arrival.tasks)]
        self._has_changes = True
        self.tasks.update((task.name, task) for task in tasks)
        self.waiting += len(tasks)
        self.scheduler.submit(self, tasks)

    def _schedule(self, task: Task, delay: timedelta) -> None:
        task.version += 1
        event = (self.now + delay, next(self._sequence), task, task.version)
        heapq.heappush(self._events, event)

    def _end_tasks(self) -> None:
        while self._events and self._events[0][0] <= self.now:
            _, _, task, version = heapq.heappop(self._events)
            if version == task.version:
                self._has_changes = True
                self._end(task)

    def _end(self, task: Task) -> None:
        del self.running[task.name]
        self._update_usage(task.worker, task.size, -1)
        has_failed = task.state == "running" and task.worker in self.mix.failing
        if task.state == "stopping":
            self._requeue(task)
        elif has_failed and task.arrival.idempotent and task.attempts < MAX_ATTEMPTS:
            self.counts["retried"] += 1
            self._requeue(task)
        elif has_failed:
            self.counts["failed"] += 1
            task.state = "failed"
        else:
            self._deliver(task, self.now - task.started)
            self.counts["completed"] += 1
            task.state = "completed"
        self.scheduler.end(self, task, has_failed)

    def _requeue(self, task: Task) -> None:
        task.state = "waiting"
        self.waiting += 1

    def _update_usage(self, worker: str, size: Size, sign: int) -> None:
        change = add_sizes if sign > 0 else subtract_sizes
        free = subtract_sizes if sign > 0 else add_sizes
        self._used = change(self._used, size)
        rest = self._free[worker] = free(self._free[worker], size)
        if min(rest) < 0:
            raise AssertionError(f"{worker} holds more than its size: {rest}")

    def _deliver(self, task: Task, time: timedelta) -> None:
        if task.worker in self.mix.failing:
            return
        for index, amount in enumerate(task.arrival.declared):
            self.delivered[index] += amount * time.total_seconds()

    def _advance(self, moment: timedelta) -> None:
        duration = (moment - self.now).total_seconds()
        self.now = moment
        if not self._waiting_after_step or not duration:
            return
        shares = [
            used / whole if whole else 0.0
            for used, whole in zip(self._used, self._capacity, strict=True)
        ]
        contention = self.contention
        self.contention = ContentionTotals(
            contention.time + duration,
            contention.binding + duration * max(shares),
            tuple(
                total + duration * share
                for total, share in zip(contention.shares, shares, strict=True)
            ),
        )

    def _sample(self) -> None:
        """Record the share of accelerators that are free but can't be used.

        Those are on workers without the cores or memory for the reference size.
        """
        if not self.waiting or not self._capacity[2]:
            return
        stranded = sum(
            free[2]
            for free in self._free.values()
            if free[0] < self._reference_size[0] or free[1] < self._reference_size[1]
        )
        self.stranded.append(stranded / self._capacity[2])

    def _finish(self) -> None:
        for task in self.running.values():
            if task.state == "running":
                self._deliver(task, self.now - task.started)


def compute_fluid_bound(mix: Mix) -> list[float]:
    """Return an upper bound of the work that can be delivered, by dimension.

    It solves a relaxed problem: all healthy workers count as one, work is divisible,
    each dimension is considered alone, and a job may use all capacity at once.
    """
    end = mix.duration.total_seconds()
    healthy = [worker for worker in mix.workers if worker.name not in mix.failing]
    bound = []
    for index in range(3):
        capacity = sum(worker.size[index] for worker in healthy)
        backlog = served = now = 0.0
        for arrival in mix.arrivals:
            moment = arrival.time.total_seconds()
            done = min(backlog, capacity * (moment - now))
            served += done
            length = min(arrival.run_time.total_seconds(), end - moment)
            backlog += arrival.tasks * arrival.declared[index] * length - done
            now = moment
        bound.append(served + min(backlog, capacity * (end - now)))
    return bound


def _compute_reference_size(mix: Mix) -> Size:
    """Return the median declared size of the tasks that need one accelerator."""
    sizes = [arrival.declared for arrival in mix.arrivals if arrival.declared[2] == 1]
    if not sizes:
        return ZERO_SIZE
    middle = len(sizes) // 2
    return Size(*(sorted(size[index] for size in sizes)[middle] for index in range(3)))
