"""Jobs with many tasks take every daemon over its memory, one after the other."""

import asyncio
from datetime import timedelta
from pathlib import Path

from site2 import MemoryGuard, Site, has_trouble, measure_memory, run_case

from damaskdeck.protocol.queues import TaskName
from standins.pools import Work

JOBS = 6
TASKS = 100_000
FEW_TASKS = 1000
STEP = {"cpu": 1000, "mem_mb": 256, "estimated_ms": 1000}
SMALL_STEP = {"task_count": 2, "cpu": 1400, "mem_mb": 2600, "estimated_ms": 300}
SMALL_JOBS = 8
FINISH_SECONDS = 14


def behave(task: TaskName, attempt: int) -> Work:
    """Let all tasks take a second."""
    return Work(timedelta(seconds=1))


async def submit(site: Site, job: str, step: dict[str, int]) -> bool:
    """Submit a job; each retry reaches another daemon."""
    for attempt in range(5):
        body = {"spec": "s", "steps": [step]}
        status, _ = await site.call("POST", job, body, attempt % len(site.daemons))
        if status == 200:
            return True
        await asyncio.sleep(0.5)
    return False


async def play(site: Site) -> str:
    """Submit jobs with many tasks, then small jobs."""
    guard = MemoryGuard()
    site.run(guard.run(site))
    tasks = TASKS if has_trouble() else FEW_TASKS
    for number in range(JOBS):
        await submit(site, f"b1{number:014}", {"task_count": tasks, **STEP})
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
