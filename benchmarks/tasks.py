"""Measures the cost of bursts of work in the task plane in commits and messages.

The simulation has three daemons, one ledger, 24 workers of 16 cores and a store that
answers in 5 ms, in virtual time. Processor time is that of the whole process.
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
ENDLESS_PAYLOAD = b'{"run_time": 86400}'
SHORT_PAYLOAD = b'{"run_time": 1}'

Burst = Callable[[Plane], Awaitable[dict[str, Any]]]


async def start_plane() -> Plane:
    """Start the simulated plane and wait until it has settled."""
    plane = await Plane(daemons=3, workers=WORKERS, size=WORKER_SIZE).start()
    plane.platform.store.faults.delay = STORE_DELAY
    plane.declare("job")
    plane.declare("blocker", size={"processors": 16, "memory": 1})
    await plane.clock.sleep(2 * SECOND)
    return plane


async def measure(plane: Plane, burst: Awaitable[Any]) -> dict[str, Any]:
    """Await a burst and return the time, calls and messages that it took."""
    store, switch = plane.platform.store, plane.switch
    puts_before = store.calls["put"]
    messages_before, bytes_before = (
        sum(switch.messages.values()),
        sum(switch.bytes.values()),
    )
    calls_before = count_worker_calls(plane)
    began, used = plane.clock.monotonic(), time.process_time()
    await burst
    return {
        "seconds": round((plane.clock.monotonic() - began) / SECOND, 2),
        "store_writes": store.calls["put"] - puts_before,
        "peer_messages": sum(switch.messages.values()) - messages_before,
        "peer_kilobytes": round((sum(switch.bytes.values()) - bytes_before) / 1000),
        "worker_calls": count_worker_calls(plane) - calls_before,
        "processor_seconds": round(time.process_time() - used, 2),
    }


def count_worker_calls(plane: Plane) -> int:
    """Count the calls that all workers have received."""
    return sum(sum(w.calls.values()) for w in plane.platform.workers.values())


def count_running(plane: Plane) -> int:
    """Count the running tasks."""
    return sum(len(w.list_running()) for w in plane.platform.workers.values())


async def submit_all(
    plane: Plane, workload: str, count: int, payload: bytes
) -> list[JobView]:
    """Submit jobs concurrently through a daemon that doesn't own the ledger.

    :returns: the accepted jobs.
    """
    ledger_owner = plane.find("d2").ledger_owner
    submission = Submission(workload, "team", payload)
    replies = await asyncio.gather(
        *(ledger_owner.submit_job(submission) for _ in range(count))
    )
    return [reply for reply in replies if isinstance(reply, JobView)]


async def wait_for_running(plane: Plane, count: int, limit: int = 300) -> None:
    """Wait until ``count`` tasks run, for ``limit`` seconds at most."""
    deadline = plane.clock.monotonic() + limit * SECOND
    while count_running(plane) < count and plane.clock.monotonic() < deadline:
        await plane.clock.sleep(SECOND / 10)


async def run_submissions(count: int) -> dict[str, Any]:
    """Measure ``count`` concurrent submissions until durable, and until they end."""
    plane = await start_plane()
    views: list[JobView] = []

    async def submit() -> None:
        views.extend(await submit_all(plane, "job", count, SHORT_PAYLOAD))

    durable_figures = await measure(plane, submit())
    end_figures = await measure(plane, wait_for_ends(plane, views))
    return {
        "submitted": len(views),
        "until_durable": durable_figures,
        "until_ended": end_figures,
    }


async def wait_for_ends(plane: Plane, views: list[JobView]) -> None:
    """Wait until the ledger has recorded the completion of all jobs."""
    table = plane.find("d1").ledger_owner.controllers["00"].ledger.table
    names = [view.name for view in views]
    while any(table.jobs[name].state is not JobState.COMPLETED for name in names):
        await plane.clock.sleep(SECOND / 10)


async def run_cancellations(count: int) -> dict[str, Any]:
    """Measure ``count`` concurrent cancellations of queued jobs."""
    plane = await start_plane()
    await submit_all(plane, "blocker", WORKERS, ENDLESS_PAYLOAD)
    await wait_for_running(plane, WORKERS)
    views = await submit_all(plane, "job", count, SHORT_PAYLOAD)
    ledger_owner = plane.find("d2").ledger_owner
    replies: list[Any] = []

    async def cancel() -> None:
        calls = (ledger_owner.cancel_job(view.name) for view in views)
        replies.extend(await asyncio.gather(*calls))

    figures = await measure(plane, cancel())
    refused = sum(getattr(a, "state", "") == JobState.REFUSED for a in replies)
    return {"queued": len(views), "cancelled": refused, **figures}


async def run_rack_loss() -> dict[str, Any]:
    """Measure the loss of a third of the workers, with a task for every second core."""
    plane = await start_plane()
    tasks = WORKERS * 16 // 2
    await submit_all(plane, "job", tasks, ENDLESS_PAYLOAD)
    await wait_for_running(plane, tasks)
    rack = list(plane.platform.workers)[: WORKERS // 3]
    lost = sum(len(plane.platform.workers[name].list_running()) for name in rack)
    for name in rack:
        plane.platform.remove(name)
    figures = await measure(plane, wait_for_running(plane, tasks))
    return {"lost": lost, "running": count_running(plane), **figures}


async def run_reconnection() -> dict[str, Any]:
    """Measure the recovery after all workers were unreachable for a minute."""
    plane = await start_plane()
    tasks = WORKERS * 16 // 2
    await submit_all(plane, "job", tasks, ENDLESS_PAYLOAD)
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
    """Measure all bursts.

    :param quick: whether to submit a tenth of the jobs only.
    """
    divisor = 10 if quick else 1
    return {
        "submissions": run_virtual(run_submissions(4000 // divisor)),
        "cancellations": run_virtual(run_cancellations(10_000 // divisor)),
        "rack_gone": run_virtual(run_rack_loss()),
        "all_workers_back": run_virtual(run_reconnection()),
    }
