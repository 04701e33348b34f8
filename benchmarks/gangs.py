"""Measures how long a gang that needs most workers waits beside small tasks.

The simulation has three daemons, one ledger and 24 workers of 16 cores in virtual
time. Small tasks of 20 s arrive faster than they can run. The gang is measured with
and without capacity that is reserved for it. Workers report no usage, so that the
sizes of tasks stay as declared.
"""

import asyncio
from datetime import timedelta
from typing import Any
from unittest import mock

from damaskdeck.coordination.queues import starvinggangs
from damaskdeck.protocol.handlers import Submission
from damaskdeck.protocol.sizes import Size
from standins.loops import run_virtual
from standins.plane import Plane

WORKERS = 24
CORES_PER_WORKER = 16
SECOND = timedelta(seconds=1)
SAMPLE_INTERVAL = SECOND / 2
SMALL_PAYLOAD = b'{"run_time": 20}'
GANG_PAYLOAD = b'{"run_time": 60}'
SMALL_JOBS_PER_SECOND = 24
WAIT_LIMIT_SECONDS = 180


def count_running(plane: Plane) -> tuple[int, int]:
    """Return the numbers of running tasks of gangs, and of all others."""
    names = [n for w in plane.platform.workers.values() for n in w.list_running()]
    gang_tasks = sum(name.startswith("gang") for name in names)
    return gang_tasks, len(names) - gang_tasks


async def submit_small_jobs(plane: Plane) -> None:
    """Submit small jobs at a fixed rate until cancelled."""
    ledger_owner = plane.find("d2").ledger_owner
    while True:
        submission = Submission("small", "team", SMALL_PAYLOAD)
        calls = [
            ledger_owner.submit_job(submission) for _ in range(SMALL_JOBS_PER_SECOND)
        ]
        await asyncio.gather(*calls)
        await plane.clock.sleep(SECOND)


async def measure(tasks: int) -> dict[str, Any]:
    """Return how long a gang waits, and the share of cores in use meanwhile."""
    size = Size(CORES_PER_WORKER * 1000, 64_000, 0)
    plane = await Plane(daemons=3, workers=WORKERS, size=size).start()
    for worker in plane.platform.workers.values():
        worker.usage_lag = timedelta(days=1)
    plane.declare("small")
    plane.declare("gang", type="gang", tasks=tasks)
    await plane.clock.sleep(2 * SECOND)
    running = asyncio.ensure_future(submit_small_jobs(plane))
    await plane.clock.sleep(60 * SECOND)
    await plane.find("d2").ledger_owner.submit_job(
        Submission("gang", "team", GANG_PAYLOAD)
    )
    submitted_at = plane.clock.monotonic()
    shares = []
    while plane.clock.monotonic() - submitted_at < WAIT_LIMIT_SECONDS * SECOND:
        gang_tasks, other_tasks = count_running(plane)
        if gang_tasks == tasks:
            break
        shares.append((gang_tasks + other_tasks) / (WORKERS * CORES_PER_WORKER))
        await plane.clock.sleep(SAMPLE_INTERVAL)
    waited = (plane.clock.monotonic() - submitted_at) / SECOND
    running.cancel()
    return {
        "tasks": tasks,
        "started": gang_tasks == tasks,
        "waited_seconds": round(waited, 1),
        "used_share": round(sum(shares) / len(shares), 3),
        "least_share": round(min(shares), 3),
    }


def run(quick: bool = False) -> dict[str, Any]:
    """Measure gangs of different sizes, with and without reserved capacity."""
    sizes = (300,) if quick else (200, 360)
    with_reservation = [run_virtual(measure(tasks)) for tasks in sizes]
    never = timedelta(days=1)
    with mock.patch.object(starvinggangs, "STARVATION_LIMIT", never):
        without_reservation = [run_virtual(measure(tasks)) for tasks in sizes]
    return {"kept_room": with_reservation, "no_kept_room": without_reservation}
