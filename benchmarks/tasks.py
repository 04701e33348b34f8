"""Waves against the task plane: what they cost in commits and messages.

Three daemons, one ledger, 24 workers of 16 cores and a store that answers in
5 ms, in virtual time; processor time is that of the whole process.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from damaskdeck.protocol.handlers import JobState, JobView, Submission
from damaskdeck.protocol.sizes import Size
from standins.loops import run_virtual
from standins.plane import Plane

WORKERS = 24
WORKER_SIZE = Size(16_000, 64_000, 0)
STORE_DELAY = timedelta(milliseconds=5)
SECOND = timedelta(seconds=1)
ENDLESS = b'{"run_time": 86400}'
SHORT = b'{"run_time": 1}'

Wave = Callable[[Plane], Awaitable[dict[str, Any]]]


async def start_plane() -> Plane:
    """Start the plane and let it settle."""
    plane = await Plane(daemons=3, workers=WORKERS, size=WORKER_SIZE).start()
    plane.platform.store.faults.delay = STORE_DELAY
    plane.declare("job")
    plane.declare("blocker", size={"processors": 16, "memory": 1})
    await plane.clock.sleep(2 * SECOND)
    return plane


async def measure(plane: Plane, wave: Awaitable[Any]) -> dict[str, Any]:
    """Await a wave and count what it cost."""
    store, switch = plane.platform.store, plane.switch
    puts = store.calls["put"]
    messages, size = sum(switch.messages.values()), sum(switch.bytes.values())
    calls = count_worker_calls(plane)
    began, used = plane.clock.monotonic(), time.process_time()
    await wave
    return {
        "seconds": round((plane.clock.monotonic() - began) / SECOND, 2),
        "store_writes": store.calls["put"] - puts,
        "peer_messages": sum(switch.messages.values()) - messages,
        "peer_kilobytes": round((sum(switch.bytes.values()) - size) / 1000),
        "worker_calls": count_worker_calls(plane) - calls,
        "processor_seconds": round(time.process_time() - used, 2),
    }


def count_worker_calls(plane: Plane) -> int:
    """Count the calls that all workers got."""
    return sum(sum(w.calls.values()) for w in plane.platform.workers.values())


def count_running(plane: Plane) -> int:
    """Count the tasks that run now."""
    return sum(len(w.list_running()) for w in plane.platform.workers.values())


async def submit_all(
    plane: Plane, workload: str, count: int, payload: bytes
) -> list[JobView]:
    """Submit many jobs at once, from an entry that doesn't keep the ledger."""
    ledger_owner = plane.find("d2").ledger_owner
    submission = Submission(workload, "team", payload)
    answers = await asyncio.gather(
        *(ledger_owner.submit_job(submission) for _ in range(count))
    )
    return [answer for answer in answers if isinstance(answer, JobView)]


async def wait_for_running(plane: Plane, count: int, limit: int = 300) -> None:
    """Wait until so many tasks run."""
    deadline = plane.clock.monotonic() + limit * SECOND
    while count_running(plane) < count and plane.clock.monotonic() < deadline:
        await plane.clock.sleep(SECOND / 10)


async def run_submissions(count: int) -> dict[str, Any]:
    """Measure ``count`` submissions at once, and their way to the workers."""
    plane = await start_plane()
    views: list[JobView] = []

    async def submit() -> None:
        views.extend(await submit_all(plane, "job", count, SHORT))

    taken = await measure(plane, submit())
    ended = await measure(plane, wait_for_ends(plane, views))
    return {"submitted": len(views), "until_durable": taken, "until_ended": ended}


async def wait_for_ends(plane: Plane, views: list[JobView]) -> None:
    """Wait until the ledger holds the ends of all jobs."""
    table = plane.find("d1").ledger_owner.controllers["00"].ledger.table
    names = [view.name for view in views]
    while any(table.jobs[name].state is not JobState.COMPLETED for name in names):
        await plane.clock.sleep(SECOND / 10)


async def run_cancellations(count: int) -> dict[str, Any]:
    """Measure ``count`` cancellations of queued jobs at once."""
    plane = await start_plane()
    await submit_all(plane, "blocker", WORKERS, ENDLESS)
    await wait_for_running(plane, WORKERS)
    views = await submit_all(plane, "job", count, SHORT)
    ledger_owner = plane.find("d2").ledger_owner
    answers: list[Any] = []

    async def cancel() -> None:
        calls = (ledger_owner.cancel_job(view.name) for view in views)
        answers.extend(await asyncio.gather(*calls))

    figures = await measure(plane, cancel())
    refused = sum(getattr(a, "state", "") == JobState.REFUSED for a in answers)
    return {"queued": len(views), "cancelled": refused, **figures}


async def run_rack_loss() -> dict[str, Any]:
    """Measure the loss of a third of the workers, two thirds in use."""
    plane = await start_plane()
    tasks = WORKERS * 16 // 2
    await submit_all(plane, "job", tasks, ENDLESS)
    await wait_for_running(plane, tasks)
    rack = list(plane.platform.workers)[: WORKERS // 3]
    lost = sum(len(plane.platform.workers[name].list_running()) for name in rack)
    for name in rack:
        plane.platform.remove(name)
    figures = await measure(plane, wait_for_running(plane, tasks))
    return {"lost": lost, "running": count_running(plane), **figures}


async def run_return() -> dict[str, Any]:
    """Measure all workers coming back after a minute out of reach."""
    plane = await start_plane()
    tasks = WORKERS * 16 // 2
    await submit_all(plane, "job", tasks, ENDLESS)
    await wait_for_running(plane, tasks)
    for name in plane.names:
        plane.platform.cut_off(name, *plane.platform.workers)
    await plane.clock.sleep(60 * SECOND)
    for name in plane.names:
        plane.platform.reconnect(name, *plane.platform.workers)
    figures = await measure(plane, wait_for_running(plane, tasks))
    overlaps = len(plane.platform.runs.overlaps)
    return {"running": count_running(plane), "overlaps": overlaps, **figures}


def run(quick: bool) -> dict[str, Any]:
    """Measure all waves.

    :param quick: a tenth of the jobs.
    """
    part = 10 if quick else 1
    return {
        "submissions": run_virtual(run_submissions(4000 // part)),
        "cancellations": run_virtual(run_cancellations(10_000 // part)),
        "rack_gone": run_virtual(run_rack_loss()),
        "all_workers_back": run_virtual(run_return()),
    }
