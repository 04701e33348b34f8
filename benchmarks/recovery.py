"""Measures the takeover of a ledger: store reads, replay of jobs, and memory."""

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

STORE_LATENCY = timedelta(milliseconds=5)
JOBS = 4_000
TASKS = 13_000
JOBS_PER_COMMIT = 20
EPOCH = 7


def run(quick: bool) -> Figures:
    """Measure the takeover of one ledger with all jobs, and of one of four.

    :param quick: whether to use a tenth of the jobs only.
    """
    divisor = 10 if quick else 1
    return {
        "one ledger with all": measure_takeover(JOBS // divisor, TASKS // divisor),
        "one ledger of four": measure_takeover(
            JOBS // divisor // 4, TASKS // divisor // 4
        ),
    }


def measure_takeover(jobs: int, tasks: int) -> Figures:
    """Fill a ledger, then open it as a new owner and rebuild the table.

    Calls to the store are timed in virtual time, and the replay in real time.
    """
    store = run_virtual(_build_store(jobs, tasks))
    stored_bytes = sum(len(entry.value) for entry in store.list("ledger/").entries)
    store_wait, calls = run_virtual(_time_opening(store))
    gc.collect()
    started_at = time.perf_counter()
    opened = run_virtual(_open(store, EPOCH + 2))
    decode_seconds = time.perf_counter() - started_at
    started_at = time.perf_counter()
    table = _replay(opened)
    replay_seconds = time.perf_counter() - started_at
    started_at = time.perf_counter()
    tuple(table.snapshot())
    snapshot_seconds = time.perf_counter() - started_at
    table, retained_bytes, peak_bytes = _measure_memory(store)
    running = sum(t.state is TaskState.RUNNING for t in table.tasks.values())
    assert (len(table.jobs), running) == (jobs, tasks), (len(table.jobs), running)
    return {
        "jobs": jobs,
        "running tasks": tasks,
        "MB in the store": round(stored_bytes / 1e6, 2),
        "snapshot records": len(opened.snapshot),
        "log records": len(opened.records),
        "store calls": calls,
        "waiting for the store ms": round(store_wait.total_seconds() * 1000, 1),
        "decoding ms": round(decode_seconds * 1000, 1),
        "replaying ms": round(replay_seconds * 1000, 1),
        "total s": round(
            store_wait.total_seconds() + decode_seconds + replay_seconds, 3
        ),
        "taking a snapshot ms": round(snapshot_seconds * 1000, 1),
        "kept MB": round(retained_bytes / 1e6, 1),
        "peak MB": round(peak_bytes / 1e6, 1),
    }


async def _build_store(jobs: int, tasks: int) -> MemoryStore:
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
    task_counts = [tasks // jobs + (n < tasks % jobs) for n in range(jobs)]
    for start in range(0, jobs, JOBS_PER_COMMIT):
        numbers = range(start, min(start + JOBS_PER_COMMIT, jobs))
        for batch in zip(
            *(_encode_job(n, task_counts[n]) for n in numbers), strict=True
        ):
            assert isinstance(await ledger.commit(batch), Committed)
    await asyncio.sleep(60)
    await ledger.close()
    return store


def _encode_job(number: int, tasks: int) -> tuple[bytes, bytes, bytes]:
    job = f"00-job-{number:06d}"
    task_names = [build_task_name(job, index) for index in range(tasks)]
    submitted_record = records.Submitted(
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
    placed_record = records.Placed(
        tasks=[
            records.Placement(
                task=task_name, attempt=1, worker=f"worker-{number % 790}", epoch=3
            )
            for task_name in task_names
        ]
    )
    started_record = records.Started(
        tasks=[records.Attempt(task=task_name, attempt=1) for task_name in task_names]
    )
    return (
        records.encode_record(submitted_record, records.Submitted),
        records.encode_record(placed_record, records.Placed),
        records.encode_record(started_record, records.Started),
    )


async def _open(store: MemoryStore, epoch: int) -> Opened:
    clock = LoopClock()
    store.clock = clock
    ledger = Ledger("00", store.connect("new"), clock, tuple, _ignore)
    opened = await ledger.open(epoch)
    assert isinstance(opened, Opened), opened
    return opened


async def _time_opening(store: MemoryStore) -> tuple[timedelta, dict[str, int]]:
    store.faults.delay = STORE_LATENCY
    before = store.calls.copy()
    started_at = LoopClock().monotonic()
    await _open(store, EPOCH + 1)
    store.faults.delay = timedelta()
    return LoopClock().monotonic() - started_at, dict(store.calls - before)


def _replay(opened: Opened) -> JobTable:
    table = JobTable()
    for record in opened.snapshot + opened.records:
        apply_record(table, record)
    return table


def _measure_memory(store: MemoryStore) -> tuple[JobTable, int, int]:
    tracemalloc.start()
    table = _replay(run_virtual(_open(store, EPOCH + 3)))
    gc.collect()
    retained_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return table, retained_bytes, peak_bytes


def _ignore(records: tuple[bytes, ...]) -> None:
    """Ignore committed records."""
