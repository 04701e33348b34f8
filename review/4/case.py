"""A schedule that began in the past takes every daemon over its memory."""

import asyncio
import time
from datetime import timedelta
from pathlib import Path
from typing import Any

from site2 import MemoryGuard, Site, has_trouble, measure_memory, run_case

from damaskdeck.protocol.queues import TaskName
from standins.pools import Work

SCHEDULE = "5c00000000000001"
# Once a minute; it began a year ago, or begins now.
INTERVAL_MS = 60_000
REPEATS = 1_000_000
PAST_MS = 365 * 24 * 3600 * 1000
STEP = {"task_count": 1, "cpu": 1000, "mem_mb": 256, "estimated_ms": 1000}
SMALL_STEP = {"task_count": 2, "cpu": 1400, "mem_mb": 2600, "estimated_ms": 300}
SMALL_JOBS = 8
FINISH_SECONDS = 14


def behave(task: TaskName, attempt: int) -> Work:
    """Let all tasks take a second."""
    return Work(timedelta(seconds=1))


async def submit(site: Site, job: str, step: dict[str, Any]) -> bool:
    """Submit a job; each retry reaches another daemon."""
    for attempt in range(5):
        body = {"spec": "s", "steps": [step]}
        status, _ = await site.call("POST", job, body, attempt % len(site.daemons))
        if status == 200:
            return True
        await asyncio.sleep(0.5)
    return False


async def play(site: Site) -> str:
    """Submit the schedule, then small jobs."""
    guard = MemoryGuard()
    site.run(guard.run(site))
    begin = round(time.time() * 1000) - (PAST_MS if has_trouble() else 0)
    schedule = {
        "spec": "s",
        "steps": [STEP],
        "repeat_count": REPEATS,
        "start_at_ms": begin,
        "interval_ms": INTERVAL_MS,
    }
    status, _ = await site.call("POST", SCHEDULE, schedule)
    if status != 200:
        raise RuntimeError("the schedule was not accepted")
    accepted = []
    for number in range(SMALL_JOBS):
        job = f"5a11{number:012}"
        if await submit(site, job, SMALL_STEP):
            accepted.append(job)
        await asyncio.sleep(1)
    await asyncio.sleep(FINISH_SECONDS)
    site.observe()
    for daemon in site.daemons:
        site.record.write(f"{daemon.name} uses {measure_memory(daemon):.0f} MB")
    broken = [
        f"LOST: {job} has had nothing running since its ack"
        for job in accepted
        if not site.list_ends(job) and not site.find_running(job)
    ]
    if guard.is_fault:
        broken.insert(0, f"Fault: over their memory, times: {guard.kills}")
    return "; ".join(broken)


run_case(Path(__file__).parent, behave, play)
