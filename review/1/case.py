"""A minion that was cut off lists more ends than one list holds."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import HOST, ZONES, CannotRunError, Deployment  # noqa: E402
from minion import Minion  # noqa: E402
from record import Record  # noqa: E402

# On two minions, 600 to 800 on each.
JOBS = 28
TASKS = 50
CUT_SECONDS = 5.0
CAPACITY = {"cpu": 16000, "mem_mb": 65536, "gpu": 0}
# 700 tasks fit on one minion at once: 14 of 16 cores, 35 of 64 GB.
STEP = {
    "task_count": TASKS,
    "cpu": 20,
    "mem_mb": 50,
    "estimated_ms": 5000,
    "constraints": "b",
}


def find_double_runs(events: list[dict[str, Any]]) -> list[str]:
    """List the starts that break TWICE as it is written.

    It is broken by a start after a run of the task has ended `done`, if that end was
    taken note of then or later, or by two runs of a task at the same time. No lease
    lapses here: that would be recorded.
    """
    noted = {
        (e["task"], e["run"])
        for e in events
        if e["event"] == "noted" and e["how"] == "done"
    }
    done: dict[str, int] = {}
    running: set[str] = set()
    broken = []
    for event in events:
        kind, task = event["event"], event.get("task", "")
        if kind == "start":
            if (task, done.get(task, 0)) in noted or task in running:
                broken.append(f"{task} run {event['run']} at {event['at']}")
            running.add(task)
        elif kind in ("done", "failed", "stopped", "lapsed", "lost"):
            running.discard(task)
            if kind == "done":
                done[task] = event["run"]
    return broken


async def wait_for_end(deployment: Deployment, path: str) -> None:
    """Ask for a job's state until it is final."""
    for _ in range(80):
        _, answer = await deployment.request("GET", path)
        if answer and answer.get("state") in ("done", "failed"):
            return
        await asyncio.sleep(0.25)


async def play(deployment: Deployment, record: Record, has_trouble: bool) -> None:
    """Run 28 jobs of 50 tasks each, and cut one minion off for five seconds."""
    route = {
        "name": "batch",
        "host": HOST,
        "path_prefix": "/batch/",
        "service": "hub",
        "target_latency_ms": 3000,
        "priority": 2,
        "max_attempts": 3,
        "slack_factor": 4.0,
    }
    minions = [
        Minion(
            deployment.store,
            record,
            "hub",
            ZONES[number % len(ZONES)],
            ["b" if number < 2 else "a", f"r{number % 3}-1"],
            CAPACITY,
        )
        for number in range(6)
    ]
    await deployment.start([route], "hub")
    for minion in minions:
        await minion.start()
    await asyncio.sleep(3.0)
    job = {"spec": "work=5000 ms", "steps": [STEP]}
    paths = [f"/batch/{number:016x}" for number in range(1, JOBS + 1)]
    for path in paths:
        await deployment.submit(path, job)
        await asyncio.sleep(0.05)
    target = minions[0]
    for _ in range(300):
        if sum(minion.running for minion in minions) >= JOBS * TASKS:
            break
        await asyncio.sleep(0.01)
    record.write(
        "before",
        running=[minion.running for minion in minions],
        channels_refused=sum(minion.server.refused for minion in minions),
    )
    if has_trouble:
        record.write("cut", minion=target.id)
        target.is_cut = True
        await asyncio.sleep(CUT_SECONDS)
        target.is_cut = False
        record.write("back", minion=target.id, unnoted=target.unnoted)
    for path in paths:
        await wait_for_end(deployment, path)
    await asyncio.sleep(3.0)


async def main() -> int:
    """Play the case and check the rule."""
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record)
    try:
        async with asyncio.timeout(110):
            await play(deployment, record, os.environ.get("TROUBLE", "1") != "0")
        broken = find_double_runs(record.events)
        lapsed = sum(event["event"] == "lapsed" for event in record.events)
        record.write("result", broken=len(broken), lapsed=lapsed, first=broken[:5])
        print(f"TWICE: {len(broken)} starts; leases lapsed: {lapsed}; {broken[:3]}")
        return 1 if broken else 0
    except (CannotRunError, TimeoutError) as error:
        print(f"the case couldn't run: {error!r}")
        return 2
    finally:
        deployment.keep_logs()
        await deployment.close()
        record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
