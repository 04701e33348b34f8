"""Measures learnt sizes: packing despite wrong declarations, overfills, and cost."""

import math
import random
import time
import tracemalloc
from collections import Counter
from datetime import timedelta
from typing import Any, NamedTuple

from damaskdeck.coordination.places.estimates import MARGIN, Estimates
from damaskdeck.coordination.places.placement import Placed, Placer
from damaskdeck.coordination.queues.pressure import (
    ObservedTask,
    Throttle,
    choose_pressure_action,
)
from damaskdeck.protocol.ports import Instance, InstanceRole
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.workeraccounts import TaskNeed, WorkerAccounts

Figures = dict[str, Any]
SEED = 1
WORKERS = 24
WORKER_SIZE = Size(64_000, 256 * 1024, 0)
WORKLOADS = 60
WAITING_TASKS = 100
TICK_SECONDS = 2
REPORT_TICKS = 2
LAG_TICKS = 5
# Share of a task's run time after which its memory has grown to the peak.
MEMORY_GROWTH_SHARE = 0.25


class Workload(NamedTuple):
    """A workload with the actual peak usage of its tasks and the declared size.

    :param used: actual peak usage of a task.
    :param run_time: mean run time in seconds.
    """

    name: str
    used: Size
    declared: Size
    run_time: float
    urgency: Urgency
    idempotent: bool
    checkpoint: bool


class TaskRun:
    """One run of a task, with its actual usage over time.

    :ivar limit: millicores to which the run is throttled, if it is.
    :ivar done: seconds of its run time that are done.
    :ivar history: usage at each tick.
    """

    def __init__(self, name: str, workload: Workload, rng: random.Random) -> None:
        noise = rng.uniform(0.85, 1.0)
        self.name = name
        self.workload = workload
        self.peak = Size(*(round(amount * noise) for amount in workload.used))
        self.run_time = workload.run_time * rng.uniform(0.7, 1.3)
        self.reserved = workload.declared
        self.worker = ""
        self.limit: int | None = None
        self.done = 0.0
        self.started = 0
        self.history: list[Size] = []

    def compute_usage(self) -> Size:
        """Return the current usage."""
        grown = min(1.0, 0.1 + self.done / (MEMORY_GROWTH_SHARE * self.run_time))
        millicores = self.peak.millicores
        if self.limit is not None:
            millicores = min(millicores, self.limit)
        return Size(millicores, round(self.peak.memory * grown), 0)

    def advance(self) -> None:
        """Run for one tick, at a lower speed if throttled."""
        usage = self.compute_usage()
        self.history.append(usage)
        self.done += TICK_SECONDS * usage.millicores / max(self.peak.millicores, 1)

    def get_reported_usage(self, age: int = 0) -> Size | None:
        """Return the usage in the report of ``age`` ticks ago; reports lag behind.

        :returns: None before the first report.
        """
        index = len(self.history) - 1 - LAG_TICKS - age
        return self.history[index] if index >= 0 else None


class Fleet:
    """Simulates workers that always have more waiting tasks than they can run.

    :param sizing: how sizes are set: ``declared``, ``learnt`` or ``known``.
    :param ticks: duration of the simulation.
    """

    def __init__(self, sizing: str, ticks: int) -> None:
        self.sizing = sizing
        self.ticks = ticks
        self.rng = random.Random(SEED)
        self.workloads = [
            _draw_workload(self.rng, number) for number in range(WORKLOADS)
        ]
        self.accounts = WorkerAccounts()
        self.placer = Placer(self.accounts)
        self.estimates = Estimates()
        self.counts: Counter[str] = Counter()
        self.waiting: list[TaskRun] = []
        self.running: dict[str, TaskRun] = {}
        self.packing = [0.0, 0.0]
        for number in range(WORKERS):
            name = f"w{number}"
            self.accounts.set_worker(
                Instance(name, InstanceRole.WORKER, "zone-a", "", size=WORKER_SIZE)
            )

    def run(self) -> Figures:
        """Simulate all ticks and return the figures.

        Averages leave out the first quarter of the ticks.
        """
        for tick in range(self.ticks):
            self._fill(tick)
            for run in list(self.running.values()):
                run.advance()
                if run.done >= run.run_time:
                    self._end(
                        run, timedelta(seconds=TICK_SECONDS * (tick - run.started))
                    )
                    self.counts["completed"] += 1
            self._record_usage(tick)
            if tick % REPORT_TICKS == 0:
                self._report_usage()
        measured_ticks = max(self.ticks - self.ticks // 4, 1)
        return {
            "memory_used": round(self.packing[1] / measured_ticks, 4),
            "processors_used": round(self.packing[0] / measured_ticks, 4),
            "overfilled_worker_ticks": self.counts["overfilled"],
            "contended_worker_ticks": self.counts["contended"],
            "completed": self.counts["completed"],
            "throttled": self.counts["Throttle"],
            "checkpointed": self.counts["Checkpoint"],
            "stopped": self.counts["Stop"],
        }

    def _fill(self, tick: int) -> None:
        while len(self.waiting) < WAITING_TASKS:
            self.counts["made"] += 1
            workload = self.rng.choice(self.workloads)
            self.waiting.append(TaskRun(f"t{self.counts['made']}", workload, self.rng))
        still_waiting = []
        for run in self.waiting:
            if not self._start_if_fits(run, tick):
                still_waiting.append(run)
        self.waiting = still_waiting

    def _start_if_fits(self, run: TaskRun, tick: int) -> bool:
        run.reserved = self._choose_size(run)
        workload = run.workload
        need = TaskNeed(
            run.name, run.reserved, "", workload.urgency, workload.idempotent
        )
        outcome = self.placer.place(need)
        if not isinstance(outcome, Placed):
            return False
        self.accounts.reserve(need, outcome.worker)
        run.worker, run.started = outcome.worker, tick
        self.running[run.name] = run
        return True

    def _choose_size(self, run: TaskRun) -> Size:
        workload = run.workload
        size = workload.declared
        if self.sizing == "learnt":
            size = self.estimates.estimate_size(workload.name, workload.declared)
        elif self.sizing == "known":
            size = Size(*(round(amount * (1 + MARGIN)) for amount in workload.used))
        return Size(*map(min, size, WORKER_SIZE))

    def _end(self, run: TaskRun, run_time: timedelta | None) -> None:
        del self.running[run.name]
        self.accounts.release(run.name)
        self.estimates.observe_end(run.workload.name, run.name, run_time)

    def _record_usage(self, tick: int) -> None:
        used: dict[str, list[int]] = {}
        for run in self.running.values():
            total = used.setdefault(run.worker, [0, 0])
            usage = run.compute_usage()
            total[0] += usage.millicores
            total[1] += usage.memory
        for total in used.values():
            self.counts["contended"] += total[0] > WORKER_SIZE.millicores
            self.counts["overfilled"] += total[1] > WORKER_SIZE.memory
            if tick >= self.ticks // 4:
                for index in (0, 1):
                    share = min(1.0, total[index] / WORKER_SIZE[index])
                    self.packing[index] += share / WORKERS

    def _report_usage(self) -> None:
        tasks: dict[str, dict[str, ObservedTask]] = {}
        for run in self.running.values():
            usage = run.get_reported_usage()
            if usage is not None:
                self.estimates.observe_use(run.workload.name, run.name, usage)
                self._resize(run)
            tasks.setdefault(run.worker, {})[run.name] = self._observe(run, usage)
        for observed in tasks.values():
            self._relieve_pressure(observed)

    def _resize(self, run: TaskRun) -> None:
        if self.sizing == "learnt":
            size = self.estimates.estimate_running(
                run.workload.name, run.name, run.reserved
            )
            if size != run.reserved:
                self.accounts.resize(run.name, size)
                run.reserved = self.accounts.find(run.name).need.size

    def _observe(self, run: TaskRun, usage: Size | None) -> ObservedTask:
        before = run.get_reported_usage(REPORT_TICKS)
        growth = 0
        if usage is not None and before is not None:
            ahead = (LAG_TICKS + 2 * REPORT_TICKS) / REPORT_TICKS
            growth = max(0, round((usage.memory - before.memory) * ahead))
        workload = run.workload
        return ObservedTask(
            run.name,
            workload.urgency,
            run.reserved,
            usage or run.reserved,
            timedelta(seconds=TICK_SECONDS * run.started),
            growth,
            workload.idempotent,
            workload.checkpoint,
            run.limit,
        )

    def _relieve_pressure(self, tasks: dict[str, ObservedTask]) -> None:
        while action := choose_pressure_action(WORKER_SIZE, list(tasks.values())):
            self.counts[type(action).__name__] += 1
            run = self.running[action.task]
            if isinstance(action, Throttle):
                run.limit = action.millicores
                tasks[action.task] = tasks[action.task]._replace(limit=run.limit)
                continue
            del tasks[action.task]
            self._end(run, None)
            restarted = TaskRun(run.name, run.workload, self.rng)
            restarted.peak, restarted.run_time = run.peak, run.run_time
            restarted.done = run.done if run.workload.checkpoint else 0.0
            self.waiting.append(restarted)


def run(quick: bool) -> Figures:
    """Compare declared, learnt and known sizes, and measure the cost of learning.

    :param quick: whether to simulate a shorter time.
    """
    ticks = 900 if quick else 3600
    figures: Figures = {
        sizing: Fleet(sizing, ticks).run() for sizing in ("declared", "learnt", "known")
    }
    learnt, declared = figures["learnt"], figures["declared"]
    figures["learnt_to_declared"] = {
        name: round(learnt[name] / max(declared[name], 1e-9), 3)
        for name in ("memory_used", "processors_used", "completed")
    }
    figures["cost"] = measure_cost()
    return figures


def measure_cost(workloads: int = 4000, running: int = 13_000) -> Figures:
    """Measure the memory and processor time of estimates at the target size."""
    rng = random.Random(SEED)
    uses = [Size(rng.randint(100, 9000), rng.randint(100, 90_000)) for _ in range(5000)]
    tracemalloc.start()
    estimates = Estimates()
    for number in range(workloads):
        for task in range(16):
            usage = uses[(number * 16 + task) % len(uses)]
            estimates.observe_use(f"load-{number}", "t", usage)
            estimates.observe_end(f"load-{number}", "t", timedelta(seconds=60))
    learnt = tracemalloc.get_traced_memory()[0]
    for number in range(running):
        estimates.observe_use(f"load-{number % workloads}", f"t{number}", uses[0])
    total = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.process_time()
    for number in range(running):
        estimates.observe_use(f"load-{number % workloads}", f"t{number}", uses[1])
    reporting_seconds = time.process_time() - started
    started = time.process_time()
    for number in range(workloads):
        estimates.estimate_size(f"load-{number}", Size(1000, 1000))
    estimating_seconds = time.process_time() - started
    return {
        "bytes_per_workload": round(learnt / workloads),
        "bytes_per_running_task": round((total - learnt) / running),
        "report_us": round(1e6 * reporting_seconds / running, 2),
        "estimate_us": round(1e6 * estimating_seconds / workloads, 2),
    }


def _draw_workload(rng: random.Random, number: int) -> Workload:
    used = Size(
        round(math.exp(rng.uniform(math.log(1000), math.log(12_000)))),
        round(math.exp(rng.uniform(math.log(4096), math.log(48 * 1024)))),
    )
    misjudged = [amount * 4 ** rng.uniform(-1, 1) for amount in used]
    declared = Size(
        *(min(round(a), b) for a, b in zip(misjudged, WORKER_SIZE, strict=True))
    )
    kind = rng.random()
    return Workload(
        f"load-{number}",
        used,
        declared,
        math.exp(rng.uniform(math.log(120), math.log(900))),
        rng.choice(list(Urgency)),
        kind < 0.8,
        kind < 0.5,
    )
