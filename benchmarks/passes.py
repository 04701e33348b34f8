"""Measures the cost of a decision of the pools' dispatcher by number of workers.

The pool is full and fifty steps wait, as for an owner at peak load, so that each run
that ends frees capacity for one start. The time from the end to the order is
measured, without the cost of calls to workers.
"""

import asyncio
import itertools
import statistics
import time
from datetime import timedelta

from benchmarks.owners import UnlimitedLeadership, UnstoredOwner
from damaskdeck.clock import SystemClock
from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.ceilings import Ceilings
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.dispatcher import Dispatcher
from damaskdeck.coordination.pools.times import PoolBounds, derive_times
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.delays import LoopDelay
from damaskdeck.protocol.pools import Done, EndedTask, EndKind, PoolWorker
from damaskdeck.protocol.queues import (
    AdvisorTiming,
    JobSpec,
    Queue,
    QueueTable,
    StepSpec,
)
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord
from damaskdeck.state.pooljobs import Job, JobIndex, Run, RunPhase

FLEET_SIZES = (24, 175, 270, 790)
WAITING_STEPS = 50
DECISIONS = 400
# The advisor consents to one of this many workers for each step.
CONSENT_PERIOD = 3
WORKER_SIZE = Size(16_000, 64_000, 0)
TASK_SIZE = Size(4_000, 4_000, 0)
BOUNDS = PoolBounds(
    timedelta(seconds=6), timedelta(seconds=1), timedelta(seconds=6), timedelta(120)
)
ADVISOR_TIMING = AdvisorTiming(
    timedelta(milliseconds=20), timedelta(), timedelta(seconds=3600)
)
QUEUE = Queue(
    "quick",
    "a.example",
    "/quick/",
    "hub",
    0,
    3,
    3.0,
    timedelta(seconds=9),
    ADVISOR_TIMING,
)


def run(quick: bool = False) -> dict:
    """Return the median and mean microseconds of a decision by number of workers."""
    decisions = DECISIONS // 10 if quick else DECISIONS
    fleets = FLEET_SIZES[:2] if quick else FLEET_SIZES
    return {
        str(workers): asyncio.run(_measure(workers, decisions)) for workers in fleets
    }


class _Workers:
    """A worker client that confirms every order."""

    async def start(self, worker, epoch, order):
        return Done(timedelta())


class _Owner(UnstoredOwner):
    """The part of a pool owner that the dispatcher uses."""

    def __init__(self) -> None:
        self.term = OwnerTerm(1, 1, 1, None)
        self.job_index = JobIndex()
        self.contacts: dict[str, WorkerContact] = {}
        self._table = QueueTable(1, (QUEUE,), frozenset({"hub"}), 100_000)
        self.account_limits = AccountLimits(self, Ceilings(lambda: None))

    def now(self) -> float:
        return time.monotonic()

    def get_table(self) -> QueueTable:
        return self._table

    def record_running(self, run: Run) -> None:
        """Do nothing."""


async def _measure(workers: int, decisions: int) -> dict[str, float]:
    clock, owner = SystemClock(), _Owner()
    advice_scheduler = AdviceScheduler(None, clock, list, lambda step: None)
    dispatcher = Dispatcher(owner, clock, derive_times(BOUNDS), advice_scheduler)
    numbers = itertools.count()
    running = [
        run
        for n in range(workers)
        for run in _start_runs(_add_contact(owner, clock, n))
    ]
    jobs = [
        _submit(owner, dispatcher, advice_scheduler, f"{next(numbers):016x}")
        for _ in range(WAITING_STEPS)
    ]
    dispatcher._pass()
    costs = []
    for number in range(decisions):
        while sum(map(_is_waiting, jobs)) < WAITING_STEPS:
            jobs = [job for job in jobs if _is_waiting(job)]
            jobs.append(
                _submit(owner, dispatcher, advice_scheduler, f"{next(numbers):016x}")
            )
        dispatcher._pass()
        run = running[number * 7 % len(running)]
        contact = owner.contacts[run.worker]
        began = time.perf_counter()
        contact.remove_run(run)
        dispatcher.record_end(contact, run.task, _make_end(run), run)
        dispatcher.handle_freed_capacity(contact)
        dispatcher._pass()
        costs.append(1e6 * (time.perf_counter() - began))
        await asyncio.sleep(0)
        placed = next(iter(run for run in contact.runs.values() if run.worker), run)
        running[number * 7 % len(running)] = placed
    return {
        "median_us": round(statistics.median(costs), 1),
        "mean_us": round(statistics.mean(costs), 1),
    }


def _add_contact(owner: _Owner, clock: SystemClock, number: int) -> WorkerContact:
    info = PoolWorker(
        f"w{number}",
        "hub",
        f"10.0.0.1:{number}",
        f"z{number % 5}",
        WORKER_SIZE,
        frozenset(),
    )
    term, times = owner.term, derive_times(BOUNDS)
    contact = WorkerContact(
        info,
        term,
        owner,
        _Workers(),
        UnlimitedLeadership(),
        clock,
        times,
        lambda: float("-inf"),
        LoopDelay(),
    )
    contact.is_synchronized = contact.is_rostered = True
    contact.capacity_reported_at = float("inf")
    contact._lease.record_clock(timedelta(), owner.now())
    owner.contacts[info.identifier] = contact
    return contact


def _start_runs(contact: WorkerContact) -> list[Run]:
    """Fill a worker with running tasks of another job."""
    count = WORKER_SIZE.millicores // TASK_SIZE.millicores
    tasks = _make_job(f"full-{contact.info.identifier}", count).occurrences[0][0].tasks
    runs = []
    for task in tasks:
        run = Run(task, contact.info.identifier, 1, time.monotonic())
        run.phase = RunPhase.RUNNING
        task.add_run(run)
        contact.add_run(run)
        runs.append(run)
    return runs


def _is_waiting(job: Job) -> bool:
    return any(task.is_waiting for step in job.list_steps() for task in step.tasks)


def _make_job(identifier: str, tasks: int = 1) -> Job:
    spec = JobSpec("", (StepSpec(tasks, TASK_SIZE, timedelta(seconds=1)),))
    return Job(JobRecord(identifier, QUEUE, spec, 1, 0.0, ()), time.monotonic())


def _submit(
    owner: _Owner,
    dispatcher: Dispatcher,
    advice_scheduler: AdviceScheduler,
    identifier: str,
) -> Job:
    job = _make_job(identifier)
    owner.job_index.add(job)
    step_advice = advice_scheduler.get(job.occurrences[0][0])
    for number, worker in enumerate(owner.contacts):
        if (number + int(identifier, 16)) % CONSENT_PERIOD:
            step_advice.refused.add(worker)
        else:
            step_advice.tickets[worker] = ("ticket", time.monotonic() + 3600)
    dispatcher.add_job(job)
    return job


def _make_end(run: Run) -> EndedTask:
    return EndedTask(1, run.task.name, run.attempt, EndKind.COMPLETED, "")
