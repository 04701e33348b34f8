"""A job of many small steps stops the scheduling of all other jobs."""

import asyncio
from datetime import timedelta
from pathlib import Path

from site2 import Site, has_trouble, run_case

from damaskdeck.protocol.queues import TaskName
from standins.pools import Work

WIDE = "f1de000000000001"
TASKS = 2000
STEP = {"cpu": 100, "mem_mb": 64, "estimated_ms": 1000}
SMALL_STEP = {"task_count": 2, "cpu": 1400, "mem_mb": 2600, "estimated_ms": 300}
SMALL_JOBS = 10
FIRST = "f125000000000001"
RETRIES = 4
FINISH_SECONDS = 14
# The rule has 3 s.
LONGEST_SECONDS = 6


def behave(task: TaskName, attempt: int) -> Work:
    """Let the wide job's tasks take a second, and those of small jobs 0.3 s."""
    return Work(timedelta(seconds=1 if task.job == WIDE else 0.3))


async def submit_anywhere(site: Site, job: str) -> bool:
    """Submit a small job; each retry reaches another daemon."""
    for attempt in range(RETRIES + 1):
        daemon = attempt % len(site.daemons)
        body = {"spec": "s", "steps": [SMALL_STEP]}
        status, _ = await site.call("POST", job, body, daemon)
        if status == 200:
            return True
        if status:
            await asyncio.sleep(0.5)
    return False


async def submit_small(site: Site, accepted: dict[str, float]) -> None:
    """Submit small jobs, one every two seconds."""
    for number in range(SMALL_JOBS):
        job = f"5a11{number:012}"

        async def submit(job: str = job) -> None:
            if await submit_anywhere(site, job):
                accepted[job] = site.record.now()

        site.run(submit())
        await asyncio.sleep(2)


class Gap:
    """For how long nothing of the wide job has run, until it is done."""

    def __init__(self) -> None:
        self.seconds = 0.0

    async def measure(self, site: Site) -> None:
        """Look at the minions until the job is done."""
        seen = site.record.now()
        while site.list_ends(WIDE).count("completed") < TASKS:
            if site.find_running(WIDE):
                seen = site.record.now()
            self.seconds = site.record.now() - seen
            await asyncio.sleep(0.2)
        self.seconds = 0.0


async def play(site: Site) -> str:
    """Submit the wide job, as many steps or as one step, beside small jobs."""
    accepted: dict[str, float] = {}
    if not await submit_anywhere(site, FIRST):
        raise RuntimeError("the first job was not accepted")
    accepted[FIRST] = site.record.now()
    if has_trouble():
        steps = [{"task_count": 1, **STEP} for _ in range(TASKS)]
    else:
        steps = [{"task_count": TASKS, **STEP}]
    if await site.submit(WIDE, steps) != 200:
        raise RuntimeError("the job was not accepted")
    gap = Gap()
    site.run(gap.measure(site))
    await submit_small(site, accepted)
    ended_at = site.record.now()
    await asyncio.sleep(FINISH_SECONDS)
    broken = []
    site.observe()
    if gap.seconds > LONGEST_SECONDS:
        broken.append(f"LOST: {WIDE} has had nothing running for {gap.seconds:.0f} s")
    for job, at in sorted(accepted.items()):
        if at < ended_at and not site.list_ends(job) and not site.find_running(job):
            waited = site.record.now() - at
            broken.append(
                f"LOST: {job} has nothing running {waited:.0f} s after its ack"
            )
    state = await read_anywhere(site, FIRST)
    if state in ("0", "503"):
        broken.append(f"LOST: {FIRST} gets no answer from any daemon")
    ends = site.list_ends(WIDE)
    site.record.write(
        f"{ends.count('completed')} of {TASKS} tasks of the wide job have completed, "
        f"{len(site.find_running(WIDE))} are running"
    )
    return "; ".join(broken)


async def read_anywhere(site: Site, job: str) -> str:
    """Read a job's state from the first daemon that tells it."""
    state = "0"
    for daemon in range(len(site.daemons)):
        state = await site.read_state(job, daemon)
        if state not in ("0", "503"):
            break
    return state


run_case(Path(__file__).parent, behave, play)
