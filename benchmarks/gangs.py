"""A gang of most of the cell under a steady stream of small tasks.

Three daemons, one ledger and 24 workers of 16 cores in virtual time; small tasks
of 20 s come faster than they can run. With and without room that is kept. Workers
report no usage, so that sizes stay as declared.
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
CORES = 16
SECOND = timedelta(seconds=1)
STEP = SECOND / 2
SMALL = b'{"run_time": 20}'
GANG = b'{"run_time": 60}'
SMALL_RATE = 24
LIMIT = 180


def count_running(plane: Plane) -> tuple[int, int]:
    """Count the running tasks of gangs, and all others."""
    names = [n for w in plane.platform.workers.values() for n in w.list_running()]
    gangs = sum(name.startswith("gang") for name in names)
    return gangs, len(names) - gangs


async def stream(plane: Plane) -> None:
    """Submit small tasks without end."""
    ledger_owner = plane.find("d2").ledger_owner
    while True:
        small = Submission("small", "team", SMALL)
        calls = [ledger_owner.submit_job(small) for _ in range(SMALL_RATE)]
        await asyncio.gather(*calls)
        await plane.clock.sleep(SECOND)


async def measure(tasks: int) -> dict[str, Any]:
    """Return how long a gang waits and how full the cell is meanwhile."""
    size = Size(CORES * 1000, 64_000, 0)
    plane = await Plane(daemons=3, workers=WORKERS, size=size).start()
    for worker in plane.platform.workers.values():
        worker.usage_lag = timedelta(days=1)
    plane.declare("small")
    plane.declare("gang", type="gang", tasks=tasks)
    await plane.clock.sleep(2 * SECOND)
    running = asyncio.ensure_future(stream(plane))
    await plane.clock.sleep(60 * SECOND)
    await plane.find("d2").ledger_owner.submit_job(Submission("gang", "team", GANG))
    began = plane.clock.monotonic()
    shares = []
    while plane.clock.monotonic() - began < LIMIT * SECOND:
        gangs, others = count_running(plane)
        if gangs == tasks:
            break
        shares.append((gangs + others) / (WORKERS * CORES))
        await plane.clock.sleep(STEP)
    waited = (plane.clock.monotonic() - began) / SECOND
    running.cancel()
    return {
        "tasks": tasks,
        "started": gangs == tasks,
        "waited_seconds": round(waited, 1),
        "used_share": round(sum(shares) / len(shares), 3),
        "least_share": round(min(shares), 3),
    }


def run(quick: bool = False) -> dict[str, Any]:
    """Measure gangs of different sizes, without and with kept room."""
    sizes = (300,) if quick else (200, 360)
    kept = [run_virtual(measure(tasks)) for tasks in sizes]
    never = timedelta(days=1)
    with mock.patch.object(starvinggangs, "STARVATION_LIMIT", never):
        unkept = [run_virtual(measure(tasks)) for tasks in sizes]
    return {"kept_room": kept, "no_kept_room": unkept}
