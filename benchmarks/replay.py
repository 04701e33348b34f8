"""Replays recorded arrivals against a scheduler on a clock that jumps.

A loop over arrivals and ends of tasks: it knows what the scheduler may not
(real run times, failing workers) and adds up waiting time and use.
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
ATTEMPTS = 10
TICK = timedelta(seconds=2)
_SAMPLES = 200


class Task:
    """One task of an arrived job."""

    __slots__ = (
        "arrival", "attempts", "avoid", "left", "name", "size", "started", "state",
        "version", "waited", "worker",
    )  # fmt: skip

    def __init__(self, arrival: Arrival, number: int) -> None:
        self.arrival = arrival
        self.name = f"{arrival.job}/{number}"
        self.left = arrival.run_time
        self.size = arrival.declared
        self.state = "waiting"
        self.worker = ""
        self.started = ZERO
        self.waited: timedelta | None = None
        self.attempts = 0
        self.version = 0
        self.avoid: frozenset[str] = frozenset()

    def make_need(self, size: Size | None = None) -> TaskNeed:
        """Make what a scheduler is told of the task."""
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
    """What is measured.

    :param interval: the least time between two calls of :meth:`step`.
    """

    interval: timedelta

    def submit(self, cell: "Cell", tasks: list[Task]) -> None:
        """Take the tasks of one job."""

    def end(self, cell: "Cell", task: Task, has_failed: bool) -> None:
        """Note that a task no longer runs; ``task.state`` says whether it waits."""

    def step(self, cell: "Cell") -> None:
        """Start and stop what should be, by the methods of ``cell``."""


class Stretch(NamedTuple):
    """Sums over the time while work waited, in seconds."""

    time: float = 0.0
    binding: float = 0.0
    shares: tuple[float, float, float] = (0.0, 0.0, 0.0)


class Cell:
    """Runs tasks on the workers of a mix for a scheduler.

    :param waits: by class, how long each task waited for its first start; for
        those that never started, until the end.
    :param delivered: size times run time that was of use, by dimension.
    """

    def __init__(self, mix: Mix, scheduler: Scheduler | None = None) -> None:
        self.mix = mix
        self.now = ZERO
        self.tasks: dict[str, Task] = {}
        self.running: dict[str, Task] = {}
        self.waiting = 0
        self.counts: Counter[str] = Counter()
        self.lost = 0.0
        self.delivered = [0.0, 0.0, 0.0]
        self.stretch = Stretch()
        self.stranded: list[float] = []
        self.scheduler = scheduler
        self._events: list[tuple[timedelta, int, Task, int]] = []
        self._has_news = False
        self._left = 0
        self._stepped = -TICK
        self._order = itertools.count()
        self._used = ZERO_SIZE
        self._free = {worker.name: worker.size for worker in mix.workers}
        sizes = zip(*(worker.size for worker in mix.workers), strict=True)
        self._capacity = Size(*map(sum, sizes))
        self._reference = _find_reference(mix)

    def run(self) -> None:
        """Replay all arrivals up to the end of the mix."""
        arrivals = iter([*self.mix.arrivals, None])
        arrival = next(arrivals)
        interval = self.mix.duration / _SAMPLES
        sample = interval
        while True:
            event = self._events[0][0] if self._events else self.mix.duration
            moment = min(event, arrival.time if arrival else self.mix.duration)
            moment = min(moment, self.mix.duration, sample)
            if self.waiting:
                moment = min(moment, self._stepped + TICK)
            if self._has_news:
                moment = min(moment, self._stepped + self.scheduler.interval)
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
        self._close()

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
        self._use(worker, task.size, 1)
        fails = worker in self.mix.failing
        self._schedule(task, FAILURE_TIME if fails else task.left)

    def stop(self, task: Task) -> None:
        """Let a running task save its progress, if it can, and stop it."""
        if task.state != "running":
            return
        done = self.now - task.started
        if task.arrival.checkpoint and task.worker not in self.mix.failing:
            self._deliver(task, done)
            task.left -= done
            self.counts["checkpointed"] += 1
        else:
            self.lost += done.total_seconds() * task.size.millicores / 1000
            self.counts["stopped"] += 1
        task.state = "stopping"
        is_saved = task.arrival.checkpoint
        self._schedule(task, CHECKPOINT_TIME if is_saved else STOP_TIME)

    def refuse(self, task: Task) -> None:
        """Note that the scheduler says that a task can never run."""
        task.state = "refused"
        self.waiting -= 1
        self.counts["refused"] += 1

    def list_waits(self, urgency: Urgency) -> list[float]:
        """List how long the tasks of a class waited, in seconds, sorted."""
        waits = []
        for task in self.tasks.values():
            if task.arrival.urgency == urgency and task.state != "refused":
                waited = task.waited
                if waited is None:
                    waited = self.mix.duration - task.arrival.time
                waits.append(waited.total_seconds())
        return sorted(waits)

    def _step(self) -> None:
        """Let the scheduler decide, if something is new or its tick has come."""
        passed = self.now - self._stepped
        is_due = self._has_news and passed >= self.scheduler.interval
        if is_due or (self.waiting and passed >= TICK):
            self._has_news = False
            self._stepped = self.now
            self.scheduler.step(self)
            self._left = self.waiting

    def _submit(self, arrival: Arrival) -> None:
        tasks = [Task(arrival, number) for number in range(arrival.tasks)]
        self._has_news = True
        self.tasks.update((task.name, task) for task in tasks)
        self.waiting += len(tasks)
        self.scheduler.submit(self, tasks)

    def _schedule(self, task: Task, delay: timedelta) -> None:
        task.version += 1
        event = (self.now + delay, next(self._order), task, task.version)
        heapq.heappush(self._events, event)

    def _end_tasks(self) -> None:
        while self._events and self._events[0][0] <= self.now:
            _, _, task, version = heapq.heappop(self._events)
            if version == task.version:
                self._has_news = True
                self._end(task)

    def _end(self, task: Task) -> None:
        del self.running[task.name]
        self._use(task.worker, task.size, -1)
        has_failed = task.state == "running" and task.worker in self.mix.failing
        if task.state == "stopping":
            self._requeue(task)
        elif has_failed and task.arrival.idempotent and task.attempts < ATTEMPTS:
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

    def _use(self, worker: str, size: Size, sign: int) -> None:
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
        if not self._left or not duration:
            return
        shares = [
            used / whole if whole else 0.0
            for used, whole in zip(self._used, self._capacity, strict=True)
        ]
        stretch = self.stretch
        self.stretch = Stretch(
            stretch.time + duration,
            stretch.binding + duration * max(shares),
            tuple(
                total + duration * share
                for total, share in zip(stretch.shares, shares, strict=True)
            ),
        )

    def _sample(self) -> None:
        """Note the share of accelerators that are free but can't be used."""
        if not self.waiting or not self._capacity[2]:
            return
        stranded = sum(
            free[2]
            for free in self._free.values()
            if free[0] < self._reference[0] or free[1] < self._reference[1]
        )
        self.stranded.append(stranded / self._capacity[2])

    def _close(self) -> None:
        for task in self.running.values():
            if task.state == "running":
                self._deliver(task, self.now - task.started)


def compute_fluid_bound(mix: Mix) -> list[float]:
    """Return the most work that could be delivered, by dimension.

    A relaxation: the good workers are one, work is divisible, each dimension
    is looked at alone, and a job may use as much at a time as there is.
    """
    end = mix.duration.total_seconds()
    good = [worker for worker in mix.workers if worker.name not in mix.failing]
    bound = []
    for index in range(3):
        capacity = sum(worker.size[index] for worker in good)
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


def _find_reference(mix: Mix) -> Size:
    """Return the median declared size of the tasks that need one accelerator."""
    sizes = [arrival.declared for arrival in mix.arrivals if arrival.declared[2] == 1]
    if not sizes:
        return ZERO_SIZE
    middle = len(sizes) // 2
    return Size(*(sorted(size[index] for size in sizes)[middle] for index in range(3)))
