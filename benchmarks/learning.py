"""Measures learnt sizes: packing with wrong declarations, overfills, and cost."""

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
WAITING = 100
TICK = 2
REPORT_TICKS = 2
LAG_TICKS = 5
# Share of its run time in which a task's memory grows to its peak.
GROWTH = 0.25


class Load(NamedTuple):
    """A workload: what its tasks truly use at most, and what is declared."""

    name: str
    used: Size
    declared: Size
    run_time: float
    urgency: Urgency
    idempotent: bool
    checkpoint: bool


class Run:
    """A task, with its true use over time."""

    def __init__(self, name: str, load: Load, rng: random.Random) -> None:
        noise = rng.uniform(0.85, 1.0)
        self.name = name
        self.load = load
        self.peak = Size(*(round(amount * noise) for amount in load.used))
        self.run_time = load.run_time * rng.uniform(0.7, 1.3)
        self.reserved = load.declared
        self.worker = ""
        self.limit: int | None = None
        self.done = 0.0
        self.started = 0
        self.history: list[Size] = []

    def find_use(self) -> Size:
        """Return what it uses now."""
        grown = min(1.0, 0.1 + self.done / (GROWTH * self.run_time))
        millicores = self.peak.millicores
        if self.limit is not None:
            millicores = min(millicores, self.limit)
        return Size(millicores, round(self.peak.memory * grown), 0)

    def advance(self) -> None:
        """Run on for a tick, slower where it is throttled."""
        use = self.find_use()
        self.history.append(use)
        self.done += TICK * use.millicores / max(self.peak.millicores, 1)

    def find_reported(self, age: int = 0) -> Size | None:
        """Return what the lagging report of ``age`` ticks ago said."""
        index = len(self.history) - 1 - LAG_TICKS - age
        return self.history[index] if index >= 0 else None


class Fleet:
    """Workers that are always offered more work than they hold.

    :param sizing: how sizes are set: ``declared``, ``learnt`` or ``known``.
    """

    def __init__(self, sizing: str, ticks: int) -> None:
        self.sizing = sizing
        self.ticks = ticks
        self.rng = random.Random(SEED)
        self.loads = [_draw_load(self.rng, number) for number in range(WORKLOADS)]
        self.accounts = WorkerAccounts()
        self.placer = Placer(self.accounts)
        self.estimates = Estimates()
        self.counts: Counter[str] = Counter()
        self.waiting: list[Run] = []
        self.running: dict[str, Run] = {}
        self.packing = [0.0, 0.0]
        for number in range(WORKERS):
            name = f"w{number}"
            self.accounts.set_worker(
                Instance(name, InstanceRole.WORKER, "zone-a", "", size=WORKER_SIZE)
            )

    def run(self) -> Figures:
        """Run for all ticks and return the figures."""
        for tick in range(self.ticks):
            self._fill(tick)
            for run in list(self.running.values()):
                run.advance()
                if run.done >= run.run_time:
                    self._end(run, timedelta(seconds=TICK * (tick - run.started)))
                    self.counts["completed"] += 1
            self._check(tick)
            if tick % REPORT_TICKS == 0:
                self._report()
        later = max(self.ticks - self.ticks // 4, 1)
        return {
            "memory_used": round(self.packing[1] / later, 4),
            "processors_used": round(self.packing[0] / later, 4),
            "overfilled_worker_ticks": self.counts["overfilled"],
            "contended_worker_ticks": self.counts["contended"],
            "completed": self.counts["completed"],
            "throttled": self.counts["Throttle"],
            "checkpointed": self.counts["Checkpoint"],
            "stopped": self.counts["Stop"],
        }

    def _fill(self, tick: int) -> None:
        while len(self.waiting) < WAITING:
            self.counts["made"] += 1
            load = self.rng.choice(self.loads)
            self.waiting.append(Run(f"t{self.counts['made']}", load, self.rng))
        kept = []
        for run in self.waiting:
            if not self._try(run, tick):
                kept.append(run)
        self.waiting = kept

    def _try(self, run: Run, tick: int) -> bool:
        run.reserved = self._find_size(run)
        load = run.load
        need = TaskNeed(run.name, run.reserved, "", load.urgency, load.idempotent)
        found = self.placer.place(need)
        if not isinstance(found, Placed):
            return False
        self.accounts.reserve(need, found.worker)
        run.worker, run.started = found.worker, tick
        self.running[run.name] = run
        return True

    def _find_size(self, run: Run) -> Size:
        load = run.load
        size = load.declared
        if self.sizing == "learnt":
            size = self.estimates.estimate_size(load.name, load.declared)
        elif self.sizing == "known":
            size = Size(*(round(amount * (1 + MARGIN)) for amount in load.used))
        return Size(*map(min, size, WORKER_SIZE))

    def _end(self, run: Run, run_time: timedelta | None) -> None:
        del self.running[run.name]
        self.accounts.release(run.name)
        self.estimates.observe_end(run.load.name, run.name, run_time)

    def _check(self, tick: int) -> None:
        used: dict[str, list[int]] = {}
        for run in self.running.values():
            total = used.setdefault(run.worker, [0, 0])
            use = run.find_use()
            total[0] += use.millicores
            total[1] += use.memory
        for total in used.values():
            self.counts["contended"] += total[0] > WORKER_SIZE.millicores
            self.counts["overfilled"] += total[1] > WORKER_SIZE.memory
            if tick >= self.ticks // 4:
                for index in (0, 1):
                    share = min(1.0, total[index] / WORKER_SIZE[index])
                    self.packing[index] += share / WORKERS

    def _report(self) -> None:
        tasks: dict[str, dict[str, ObservedTask]] = {}
        for run in self.running.values():
            use = run.find_reported()
            if use is not None:
                self.estimates.observe_use(run.load.name, run.name, use)
                self._resize(run)
            tasks.setdefault(run.worker, {})[run.name] = self._observe(run, use)
        for observed in tasks.values():
            self._relieve(observed)

    def _resize(self, run: Run) -> None:
        if self.sizing == "learnt":
            size = self.estimates.estimate_running(
                run.load.name, run.name, run.reserved
            )
            if size != run.reserved:
                self.accounts.resize(run.name, size)
                run.reserved = self.accounts.find(run.name).need.size

    def _observe(self, run: Run, use: Size | None) -> ObservedTask:
        before = run.find_reported(REPORT_TICKS)
        growth = 0
        if use is not None and before is not None:
            ahead = (LAG_TICKS + 2 * REPORT_TICKS) / REPORT_TICKS
            growth = max(0, round((use.memory - before.memory) * ahead))
        load = run.load
        return ObservedTask(
            run.name,
            load.urgency,
            run.reserved,
            use or run.reserved,
            timedelta(seconds=TICK * run.started),
            growth,
            load.idempotent,
            load.checkpoint,
            run.limit,
        )

    def _relieve(self, tasks: dict[str, ObservedTask]) -> None:
        while action := choose_pressure_action(WORKER_SIZE, list(tasks.values())):
            self.counts[type(action).__name__] += 1
            run = self.running[action.task]
            if isinstance(action, Throttle):
                run.limit = action.millicores
                tasks[action.task] = tasks[action.task]._replace(limit=run.limit)
                continue
            del tasks[action.task]
            self._end(run, None)
            again = Run(run.name, run.load, self.rng)
            again.peak, again.run_time = run.peak, run.run_time
            again.done = run.done if run.load.checkpoint else 0.0
            self.waiting.append(again)


def run(quick: bool) -> Figures:
    """Compare declared, learnt and known sizes, and measure the cost of learning.

    :param quick: a shorter time.
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
    """Measure memory and processor time of the estimates at the target size."""
    rng = random.Random(SEED)
    uses = [Size(rng.randint(100, 9000), rng.randint(100, 90_000)) for _ in range(5000)]
    tracemalloc.start()
    estimates = Estimates()
    for number in range(workloads):
        for task in range(16):
            use = uses[(number * 16 + task) % len(uses)]
            estimates.observe_use(f"load-{number}", "t", use)
            estimates.observe_end(f"load-{number}", "t", timedelta(seconds=60))
    learnt = tracemalloc.get_traced_memory()[0]
    for number in range(running):
        estimates.observe_use(f"load-{number % workloads}", f"t{number}", uses[0])
    total = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.process_time()
    for number in range(running):
        estimates.observe_use(f"load-{number % workloads}", f"t{number}", uses[1])
    reporting = time.process_time() - started
    started = time.process_time()
    for number in range(workloads):
        estimates.estimate_size(f"load-{number}", Size(1000, 1000))
    asking = time.process_time() - started
    return {
        "bytes_per_workload": round(learnt / workloads),
        "bytes_per_running_task": round((total - learnt) / running),
        "report_us": round(1e6 * reporting / running, 2),
        "estimate_us": round(1e6 * asking / workloads, 2),
    }


def _draw_load(rng: random.Random, number: int) -> Load:
    used = Size(
        round(math.exp(rng.uniform(math.log(1000), math.log(12_000)))),
        round(math.exp(rng.uniform(math.log(4096), math.log(48 * 1024)))),
    )
    wrong = [amount * 4 ** rng.uniform(-1, 1) for amount in used]
    declared = Size(
        *(min(round(a), b) for a, b in zip(wrong, WORKER_SIZE, strict=True))
    )
    kind = rng.random()
    return Load(
        f"load-{number}",
        used,
        declared,
        math.exp(rng.uniform(math.log(120), math.log(900))),
        rng.choice(list(Urgency)),
        kind < 0.8,
        kind < 0.5,
    )
