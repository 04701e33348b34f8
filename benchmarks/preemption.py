"""Measures how long gangs wait for capacity in a pool that small tasks keep full.

The pools' dispatcher, advice, contacts and owner rules are the real ones; workers and
the advisor are simulated in virtual time. The load is that of the deployment with
uneven workers on the page about hard load: two thirds of the workers need 0.7 times a
task's nominal time and one third 1.7 times, gangs may use 35 % of the workers, and
patient tasks (rank 2) keep the rest of the pool full. A stop takes 0.2 to 0.9 s.
"""

import asyncio
import itertools
import math
import random
import time
from collections.abc import Iterator
from datetime import timedelta

from benchmarks.hardload import LOADS, Load
from benchmarks.owners import UnlimitedLeadership, UnstoredOwner
from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.ceilings import Ceilings
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.dispatcher import Dispatcher
from damaskdeck.coordination.pools.times import PoolBounds, derive_times
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.urgency import compute_objective
from damaskdeck.delays import LoopDelay
from damaskdeck.protocol.messages import Answered
from damaskdeck.protocol.pools import Done, EndedTask, EndKind, PoolWorker
from damaskdeck.protocol.queues import (
    JobSpec,
    QueueJobState,
    QueueTable,
    StepSpec,
    TaskName,
)
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, JobIndex, Run, RunPhase, Step
from standins.loops import LoopClock, run_virtual

SEED = 17
WORKERS = 176
SIMULATED_SECONDS = 40.0
# Figures count jobs that arrived after the pool has filled.
WARM_UP_SECONDS = 6.0
WORKER_SIZE = Size(16_000, 64_000, 0)
DAEMONS = [f"d{number}" for number in range(32)]
SPEED_FACTORS = (0.7, 0.7, 1.7)
STOP_SECONDS = (0.2, 0.9)
RESTORE_SECONDS = 0.25
CALL_SECONDS = 0.004
PROGRESS_INTERVAL = 0.5
# In the scenario with the page's arrivals, load oscillates by this share.
AMPLITUDE = 0.55
PERIOD_SECONDS = 17.0
# In the full pool fewer gangs arrive, as patient tasks take what they leave.
FULL_POOL_GANG_RATE = 1.0
# Patient tasks that wait, as a share of those that run.
BACKLOG_SHARE = 0.1
PATIENT_TASKS_PER_WORKER = 9
BOUNDS = PoolBounds(
    max_worker_lease=timedelta(seconds=6),
    min_store_lease=timedelta(seconds=1),
    grace=timedelta(seconds=6),
    status_retention=timedelta(120),
    max_stop_time=timedelta(milliseconds=900),
)


class _Counts:
    """What the simulation measures.

    :ivar used: core-seconds that runs have held.
    :ivar lost: core-seconds of work that was done again, with restores.
    """

    def __init__(self) -> None:
        self.used = self.lost = self.stopping = 0.0
        self.stops = 0
        self.pass_seconds: list[float] = []
        self.advised_at: dict[str, float] = {}
        self.started_at: dict[str, float] = {}


class _Port:
    """A client of the workers, which run tasks in virtual time."""

    def __init__(self, simulation: "Simulation") -> None:
        self._simulation = simulation

    async def start(self, worker: PoolWorker, epoch: int, order) -> Done:
        await asyncio.sleep(CALL_SECONDS)
        self._simulation.begin(worker.identifier, order.task, order.attempt)
        return Done(timedelta())

    async def stop(
        self, worker: PoolWorker, epoch: int, task: TaskName, attempt: int
    ) -> Done:
        await asyncio.sleep(CALL_SECONDS)
        self._simulation.begin_stop(worker.identifier, task, attempt)
        return Done(timedelta())


class _Peers:
    """Daemons that pass queries on to the advisor."""

    def __init__(self, simulation: "Simulation") -> None:
        self._simulation = simulation

    async def call(self, daemon: str, message, kind, timeout) -> Answered:
        load = self._simulation.find_load(message["step"])
        timing, workers = load.queue.advice, message["workers"]
        await asyncio.sleep(
            (timing.base + timing.per_worker * len(workers)).total_seconds()
        )
        consents = [
            (worker, "ticket")
            for worker in workers
            if random.Random(message["step"] + worker).random() < load.consents
        ]
        counts = self._simulation.counts
        counts.advised_at.setdefault(message["step"], self._simulation.now())
        return Answered({"code": "", "consents": consents})


class Simulation(UnstoredOwner):
    """The owner's rules around a dispatcher, with workers in virtual time."""

    def __init__(self, workers: int, seconds: float, is_full: bool) -> None:
        self.counts = _Counts()
        self._is_full = is_full
        self.term = OwnerTerm(1, 1, 1, None)
        self.job_index = JobIndex()
        self.contacts: dict[str, WorkerContact] = {}
        self.jobs: list[tuple[Load, Job]] = []
        self._clock = LoopClock()
        self._seconds = seconds
        self._scale = workers / WORKERS
        self._workers = workers
        self._rng = random.Random(SEED)
        # Each queue draws its own jobs, so that these don't depend on what runs when.
        self._load_rngs = {
            load.queue.name: random.Random(f"{SEED} {load.queue.name}")
            for load in LOADS
        }
        self.numbers = itertools.count()
        self._table = QueueTable(
            1, tuple(load.queue for load in LOADS), frozenset({"hub"}), 100_000
        )
        self._queues = {load.queue.name: load for load in LOADS}
        self.account_limits = AccountLimits(self, Ceilings(lambda: None))
        self.advice_scheduler = AdviceScheduler(
            _Peers(self),
            self._clock,
            lambda: DAEMONS,
            lambda step: self.dispatcher.handle_advice(step),
        )
        self.dispatcher = Dispatcher(
            self, self._clock, derive_times(BOUNDS), self.advice_scheduler
        )
        # The work of each task in nominal seconds, and what is left of it.
        self._work: dict[TaskName, float] = {}
        self._left: dict[TaskName, float] = {}
        # By run, its start and the work with which it began.
        self._begun: dict[Run, tuple[float, float]] = {}
        self._ends: dict[Run, asyncio.TimerHandle] = {}
        self._factors: dict[str, float] = {}
        port = _Port(self)
        for number in range(workers):
            self._add_contact(number, port)
        dispatcher, run_pass = self.dispatcher, self.dispatcher._pass

        def measure_pass() -> None:
            began = time.process_time()
            run_pass()
            self.counts.pass_seconds.append(time.process_time() - began)

        dispatcher._pass = measure_pass

    def _add_contact(self, number: int, port: _Port) -> None:
        name = f"w{number}"
        rack = f"r{number % 9}"
        info = PoolWorker(
            name, "hub", f"{name}:1", f"z{number % 4}", WORKER_SIZE, rack=rack
        )
        contact = WorkerContact(
            info,
            self.term,
            self,
            port,
            UnlimitedLeadership(),
            self._clock,
            derive_times(BOUNDS),
            lambda: float("-inf"),
            LoopDelay(),
        )
        contact.is_synchronized = contact.is_rostered = True
        contact.capacity_reported_at = float("inf")
        contact._lease.record_clock(timedelta(), 0.0)
        self.contacts[name] = contact
        self._factors[name] = self._rng.choice(SPEED_FACTORS)

    # Interface of the owner --------------------------------------------------

    def now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def get_table(self) -> QueueTable:
        return self._table

    def are_quotas_fresh(self) -> bool:
        return True

    def list_unreconciled(self) -> list[Size]:
        return []

    def record_running(self, run: Run) -> None:
        run.task.step.job.record_start()

    def stop(self, run: Run) -> None:
        self.contacts[run.worker].stop(run)

    def handle_lost_run(self, contact: WorkerContact, run: Run) -> None:
        raise RuntimeError("no start is declined in this simulation")

    # Workers -----------------------------------------------------------------

    def find_load(self, step: str) -> Load:
        """Return the load of the queue of a step."""
        return self._queues[step.split("-")[0]]

    def begin(self, worker: str, name: TaskName, attempt: int) -> None:
        """Start a run; a gang ends when its last member has done its work."""
        run = self.contacts[worker].runs[name, attempt]
        restore = RESTORE_SECONDS if self._left[name] < self._work[name] else 0.0
        self.counts.lost += restore * self._get_cores(run)
        self._begun[run] = (self.now() + restore, self._left[name])
        self.counts.started_at.setdefault(run.task.step.name, self.now())
        step = run.task.step
        runs = [run]
        if step.spec.is_gang:
            runs = list(step.list_runs())
            if any(member not in self._begun for member in runs):
                return
        end = max(self._find_end(member) for member in runs)
        for member in runs:
            self._schedule_end(member, end, EndKind.COMPLETED)

    def _find_end(self, run: Run) -> float:
        since, left = self._begun[run]
        return since + left * self._factors[run.worker]

    def _schedule_end(self, run: Run, at: float, kind: EndKind) -> None:
        loop = asyncio.get_running_loop()
        if run in self._ends:
            self._ends[run].cancel()
        self._ends[run] = loop.call_at(at, self._end, run, kind)

    def begin_stop(self, worker: str, name: TaskName, attempt: int) -> None:
        """Stop a run, which writes a checkpoint first."""
        run = self.contacts[worker].runs.get((name, attempt))
        if run is None or run.stopped_at is not None:
            return
        since, left = self._begun[run]
        done = min(left, max(0.0, self.now() - since) / self._factors[worker])
        is_kept = run.task.step.spec.is_checkpointing
        if is_kept:
            self._left[name] = max(0.01, left - done)
        else:
            self.counts.lost += done * self._factors[worker] * self._get_cores(run)
        seconds = self._rng.uniform(*STOP_SECONDS)
        self.counts.stops += 1
        self.counts.stopping += seconds * self._get_cores(run)
        self._schedule_end(run, self.now() + seconds, EndKind.STOPPED)

    def _end(self, run: Run, kind: EndKind) -> None:
        contact, task = self.contacts[run.worker], run.task
        del self._ends[run], self._begun[run]
        self.counts.used += (self.now() - run.ordered_at) * self._get_cores(run)
        contact.remove_run(run)
        task.remove_run(run)
        step, job = task.step, task.step.job
        is_kept = kind is EndKind.STOPPED and step.spec.is_checkpointing
        checkpoint = "kept" if is_kept else ""
        step.store_checkpoint(task, checkpoint)
        self.dispatcher.handle_freed_capacity(contact)
        end = EndedTask(1, task.name, run.attempt, kind, checkpoint)
        self.dispatcher.record_end(contact, task, end, run)
        if kind is EndKind.COMPLETED:
            step.complete(task)
            if step.is_completed and job.close_if_completed(self.now()):
                self.end_job(job, QueueJobState.COMPLETED, "")
        self.dispatcher.mark_changed(job)

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        job.close(state, self.now())
        self.job_index.close(job)
        for step in job.list_steps():
            self.advice_scheduler.discard(step)
            self.dispatcher.discard(step)

    def _get_cores(self, run: Run) -> float:
        return run.task.step.spec.size.millicores / 1000

    # Load --------------------------------------------------------------------

    def submit(self, load: Load) -> None:
        """Submit a job of a queue, drawn at random."""
        rng = self._load_rngs[load.queue.name]
        count, variation, most = load.tasks
        tasks = min(most, max(1, round(_draw(rng, count, variation))))
        is_gang = rng.random() < load.gang_share
        work = _draw(rng, load.seconds, 0.4)
        estimate = work * rng.lognormvariate(0, load.error)
        size = Size(
            min(8000, round(_draw(rng, load.millicores, 0.3))),
            min(33_000, round(_draw(rng, load.memory, 0.3))),
            0,
        )
        spec = StepSpec(
            tasks,
            size,
            timedelta(seconds=estimate),
            is_gang=is_gang,
            is_checkpointing=rng.random() < load.checkpoint_share,
        )
        name = f"{load.queue.name}-{next(self.numbers)}"
        record = JobRecord(name, load.queue, JobSpec("", (spec,)), 1, 0.0)
        job = Job(record, self.now())
        for task in job.occurrences[0][0].tasks:
            seconds = work * rng.lognormvariate(0, load.spread)
            self._work[task.name] = self._left[task.name] = seconds
        self.job_index.add(job)
        self.jobs.append((load, job))
        self.dispatcher.add_job(job)

    async def _send(self, load: Load) -> None:
        while True:
            rng = self._load_rngs[load.queue.name]
            rate = load.rate * self._scale * (1 + AMPLITUDE)
            await asyncio.sleep(rng.expovariate(rate))
            phase = 2 * math.pi * self.now() / PERIOD_SECONDS
            share = (1 + AMPLITUDE * math.sin(phase)) / (1 + AMPLITUDE)
            if self._is_full:
                share = 1 / (1 + AMPLITUDE)
                if load.queue.rank == 1:
                    share *= FULL_POOL_GANG_RATE / load.rate
            if rng.random() < share:
                self.submit(load)

    async def _keep_waiting(self, load: Load) -> None:
        """Submit jobs so that some of their tasks always wait."""
        backlog = BACKLOG_SHARE * PATIENT_TASKS_PER_WORKER * self._workers
        while True:
            while self._count_waiting(load) < backlog:
                self.submit(load)
            await asyncio.sleep(0.02)

    def _count_waiting(self, load: Load) -> int:
        return sum(
            len(step.list_waiting())
            for job in self.job_index.open_jobs.values()
            if job.queue is load.queue
            for step in job.list_steps()
        )

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL)
            for run, (since, left) in self._begun.items():
                if run.phase is not RunPhase.RUNNING:
                    continue
                work = self._work[run.task.name]
                done = max(0.0, self.now() - since) / self._factors[run.worker]
                percent = int(100 * (work - left + done) / work)
                run.record_progress(min(99, percent), self.now())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.advice_scheduler.dispatch()
            self.dispatcher.speeds.update(self.contacts, self.now())
            self.dispatcher.wake()

    async def run(self) -> dict:
        """Simulate the load, and return the figures."""
        loops = [
            self._keep_waiting(load)
            if self._is_full and load.queue.rank == 2
            else self._send(load)
            for load in LOADS
        ]
        loops += [self.dispatcher.run(), self._report_progress(), self._sweep()]
        tasks = [asyncio.ensure_future(loop) for loop in loops]
        await asyncio.sleep(self._seconds)
        for task in tasks:
            task.cancel()
        for task in tasks:
            if task.done() and not task.cancelled():
                task.result()
        self.advice_scheduler.close()
        return self._summarize()

    # Figures -----------------------------------------------------------------

    def _summarize(self) -> dict:
        counts = self.counts
        capacity = self._seconds * self._workers * WORKER_SIZE.millicores / 1000
        figures: dict = {load.queue.name: self._summarize_queue(load) for load in LOADS}
        costs = sorted(counts.pass_seconds)
        return {
            **figures,
            "used_share": round(counts.used / capacity, 3),
            "lost_share": round(counts.lost / capacity, 4),
            "stopping_share": round(counts.stopping / capacity, 4),
            "stops": counts.stops,
            "pass_milliseconds": {
                "mean": round(1000 * sum(costs) / len(costs), 2),
                "p99": round(1000 * costs[int(0.99 * len(costs))], 2),
                "share_of_time": round(sum(costs) / self._seconds, 3),
            },
        }

    def _summarize_queue(self, load: Load) -> dict:
        now = self.now()
        on_time = late = started_by = 0
        waits: list[float] = []
        for step in self._list_steps(load):
            job = step.job
            objective = compute_objective(job.queue, job.record.spec)
            ends_by = job.arrived_at + objective
            if job.is_final and job.final_at <= ends_by:
                on_time += 1
            elif job.is_final or now > ends_by:
                late += 1
            since = self.counts.advised_at.get(step.name)
            started_at = self.counts.started_at.get(step.name)
            latest = ends_by - step.spec.estimate.total_seconds()
            is_counted = job.is_final or now > ends_by
            started_by += is_counted and (started_at or now) <= latest
            if since is not None and (started_at is not None or now - since > 2.5):
                waits.append((started_at or now) - since)
        waits.sort()
        return {
            "jobs": on_time + late,
            "started_by_latest_start": round(started_by / max(1, on_time + late), 3),
            "on_time": round(on_time / max(1, on_time + late), 3),
            "started_within_2.5_s": _share(waits, 2.5),
            "wait_after_advice": [_pick(waits, q) for q in (0.5, 0.95, 1.0)],
        }

    def _list_steps(self, load: Load) -> Iterator[Step]:
        for other, job in self.jobs:
            if other is load and job.arrived_at >= WARM_UP_SECONDS:
                yield from job.list_steps()


def _draw(rng: random.Random, mean: float, deviation: float) -> float:
    return rng.lognormvariate(math.log(mean) - deviation**2 / 2, deviation)


def _share(waits: list[float], limit: float) -> float:
    within = sum(wait <= limit for wait in waits)
    return round(within / max(1, len(waits)), 3)


def _pick(waits: list[float], quantile: float) -> float:
    at = min(len(waits) - 1, int(quantile * len(waits)))
    return round(waits[at], 2) if waits else 0.0


async def _simulate(workers: int, seconds: float, is_full: bool) -> dict:
    return await Simulation(workers, seconds, is_full).run()


def run(quick: bool = False) -> dict:
    """Return waits, jobs in time and lost work by scenario and queue."""
    workers, seconds = (60, 20.0) if quick else (WORKERS, SIMULATED_SECONDS)
    return {
        "full_pool": run_virtual(_simulate(workers, seconds, True)),
        "oscillating_load": run_virtual(_simulate(workers, seconds, False)),
    }
