"""Measures a takeover: reading the store, replaying the jobs, memory."""

import asyncio
import gc
import time
import tracemalloc
from datetime import timedelta
from typing import Any

from damaskdeck.state import records
from damaskdeck.state.jobmodel import TaskState
from damaskdeck.state.jobtable import JobTable
from damaskdeck.state.ledger import Committed, Ledger, Opened
from damaskdeck.state.names import build_task_name
from damaskdeck.state.replay import apply_record
from standins.loops import LoopClock, run_virtual
from standins.store import MemoryStore

Figures = dict[str, Any]

LATENCY = timedelta(milliseconds=5)
JOBS = 4_000
TASKS = 13_000
CHUNK = 20
EPOCH = 7


def run(quick: bool) -> Figures:
    """Measure the takeover of one ledger with all jobs, and of one of four.

    :param quick: a tenth of the jobs.
    """
    share = 10 if quick else 1
    return {
        "one ledger with all": measure_takeover(JOBS // share, TASKS // share),
        "one ledger of four": measure_takeover(JOBS // share // 4, TASKS // share // 4),
    }


def measure_takeover(jobs: int, tasks: int) -> Figures:
    """Fill a ledger, then open it as a new keeper and rebuild the table.

    Calls and their latency are counted in virtual time, work in real time.
    """
    store = run_virtual(_fill(jobs, tasks))
    size = sum(len(entry.value) for entry in store.list("ledger/").entries)
    waited, calls = run_virtual(_time_opening(store))
    gc.collect()
    begun = time.perf_counter()
    opened = run_virtual(_open(store, EPOCH + 2))
    read = time.perf_counter() - begun
    begun = time.perf_counter()
    table = _replay(opened)
    replayed = time.perf_counter() - begun
    begun = time.perf_counter()
    tuple(table.snapshot())
    taken = time.perf_counter() - begun
    table, kept, peak = _measure_memory(store)
    running = sum(t.state is TaskState.RUNNING for t in table.tasks.values())
    assert (len(table.jobs), running) == (jobs, tasks), (len(table.jobs), running)
    return {
        "jobs": jobs,
        "running tasks": tasks,
        "MB in the store": round(size / 1e6, 2),
        "snapshot records": len(opened.snapshot),
        "log records": len(opened.records),
        "store calls": calls,
        "waiting for the store ms": round(waited.total_seconds() * 1000, 1),
        "decoding ms": round(read * 1000, 1),
        "replaying ms": round(replayed * 1000, 1),
        "total s": round(waited.total_seconds() + read + replayed, 3),
        "taking a snapshot ms": round(taken * 1000, 1),
        "kept MB": round(kept / 1e6, 1),
        "peak MB": round(peak / 1e6, 1),
    }


async def _fill(jobs: int, tasks: int) -> MemoryStore:
    clock = LoopClock()
    store = MemoryStore(clock)
    table = JobTable()

    def apply(encoded: tuple[bytes, ...]) -> None:
        for record in encoded:
            apply_record(table, record)

    ledger = Ledger(
        "00", store.connect("old"), clock, lambda: tuple(table.snapshot()), apply
    )
    assert isinstance(await ledger.open(EPOCH), Opened)
    counts = [tasks // jobs + (n < tasks % jobs) for n in range(jobs)]
    for start in range(0, jobs, CHUNK):
        numbers = range(start, min(start + CHUNK, jobs))
        for batch in zip(*(_describe_job(n, counts[n]) for n in numbers), strict=True):
            assert isinstance(await ledger.commit(batch), Committed)
    await asyncio.sleep(60)
    await ledger.close()
    return store


def _describe_job(number: int, tasks: int) -> tuple[bytes, bytes, bytes]:
    job = f"00-job-{number:06d}"
    names = [build_task_name(job, index) for index in range(tasks)]
    submitted = records.Submitted(
        job=job,
        workload=f"workload-{number % 300}",
        team=f"team-{number % 120}",
        key=f"key-{number:032d}",
        digest=bytes(32),
        payload=bytes(64),
        spec={
            "team": f"team-{number % 120}",
            "type": "batch",
            "size": {"processors": 1.0, "memory": 2048},
            "tasks": tasks,
            "idempotent": True,
        },
        at=1.0,
    )
    placed = records.Placed(
        tasks=[
            records.Placement(
                task=name, attempt=1, worker=f"worker-{number % 790}", epoch=3
            )
            for name in names
        ]
    )
    started = records.Started(
        tasks=[records.Attempt(task=name, attempt=1) for name in names]
    )
    return (
        records.encode_record(submitted, records.Submitted),
        records.encode_record(placed, records.Placed),
        records.encode_record(started, records.Started),
    )


async def _open(store: MemoryStore, epoch: int) -> Opened:
    clock = LoopClock()
    store.clock = clock
    ledger = Ledger("00", store.connect("new"), clock, tuple, _ignore)
    opened = await ledger.open(epoch)
    assert isinstance(opened, Opened), opened
    return opened


async def _time_opening(store: MemoryStore) -> tuple[timedelta, dict[str, int]]:
    store.faults.delay = LATENCY
    before = store.calls.copy()
    begun = LoopClock().monotonic()
    await _open(store, EPOCH + 1)
    store.faults.delay = timedelta()
    return LoopClock().monotonic() - begun, dict(store.calls - before)


def _replay(opened: Opened) -> JobTable:
    table = JobTable()
    for record in opened.snapshot + opened.records:
        apply_record(table, record)
    return table


def _measure_memory(store: MemoryStore) -> tuple[JobTable, int, int]:
    tracemalloc.start()
    table = _replay(run_virtual(_open(store, EPOCH + 3)))
    gc.collect()
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return table, kept, peak


def _ignore(records: tuple[bytes, ...]) -> None:
    """Take no part in commits."""
