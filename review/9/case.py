"""A rolling restart starts tasks again that still run on a minion that is cut off."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "tools-3"))

from deployment import Deployment  # noqa: E402
from minions import Minion, Run  # noqa: E402

TASKS = 4_120
TASK_SECONDS = 45.0
# Of these tasks one ends each tenth of a second from then on.
EARLY_TASKS, FIRST_END, END_INTERVAL = 80, 12.0, 0.1
# The rolling restart: the pause between two SIGTERM.
GAP_SECONDS = 1.8
# How long before it one minion is cut off, and for how long.
CUT_BEFORE = 0.3
CUT_SECONDS = 5.5


def find_seconds(task: str, number: int) -> float:
    """Return how long a run takes."""
    index = int(task.rpartition(".")[2])
    if index < EARLY_TASKS:
        return FIRST_END + END_INTERVAL * index
    return TASK_SECONDS


def list_intervals(
    minions: list[Minion],
) -> dict[str, list[tuple[float, float, Run, str]]]:
    """List from when to when each task ran, and where."""
    now = time.monotonic()
    found: dict[str, list] = {}
    for minion in minions:
        for ended in minion.history:
            row = (ended.run.began_at, ended.at, ended.run, minion.name)
            found.setdefault(ended.run.task, []).append(row)
        for run in minion.running.values():
            row = (run.began_at, now, run, minion.name)
            found.setdefault(run.task, []).append(row)
    return found


def count_doubles(deployment: Deployment) -> int:
    """Count and record the tasks that ran twice at the same time."""
    doubles = 0
    for task, rows in sorted(list_intervals(deployment.minions).items()):
        rows.sort(key=lambda row: row[0])
        for (_, end, run, name), (start, _, other, place) in zip(
            rows, rows[1:], strict=False
        ):
            if start < end:
                doubles += 1
                deployment.record(
                    f"{task}: run {other.number} began on {place} while run "
                    f"{run.number} was on {name} for {end - start:.3f} s more"
                )
    return doubles


async def roll(deployment: Deployment) -> bool:
    """Stop the owner and then its successor; return whether others took over."""
    for number in range(2):
        owner = deployment.find_owner()
        deployment.record(f"SIGTERM to {owner.name}, the owner")
        sent_at = time.monotonic()
        owner.signal(signal.SIGTERM)
        following = await deployment.wait_for_other_owner(owner, 6)
        if following is None:
            return False
        deployment.record(f"{following.name} is the owner")
        if number == 0:
            await asyncio.sleep(max(0.0, sent_at + GAP_SECONDS - time.monotonic()))
    return True


async def play(deployment: Deployment) -> int:
    """Play the case; return 1 if the rule was broken."""
    await deployment.start()
    await asyncio.sleep(2)
    step = {"task_count": TASKS, "cpu": 90, "mem_mb": 8, "estimated_ms": 45_000}
    await deployment.submit([step])
    until = time.monotonic() + 45
    running = 0
    while time.monotonic() < until and running < TASKS - EARLY_TASKS:
        await asyncio.sleep(0.2)
        running = sum(len(minion.running) for minion in deployment.minions)
    deployment.record(f"{running} tasks run")
    if running < TASKS - EARLY_TASKS:
        return 2
    await asyncio.sleep(11.5)
    ended = sum(len(minion.history) for minion in deployment.minions)
    deployment.record(f"{ended} runs have ended")
    if deployment.has_trouble:
        cut = max(deployment.minions, key=lambda minion: len(minion.running))
        cut.is_cut = True
        deployment.record(f"{cut.name} is cut off with {len(cut.running)} tasks")
        await asyncio.sleep(CUT_BEFORE)
        has_rolled = await roll(deployment)
        if not has_rolled:
            deployment.record("no other daemon became the owner")
            return 2
        await asyncio.sleep(CUT_SECONDS - CUT_BEFORE - GAP_SECONDS)
        cut.is_cut = False
        deployment.record(f"{cut.name} is reached again")
    await asyncio.sleep(3)
    doubles = count_doubles(deployment)
    deployment.record(f"{doubles} tasks ran twice at the same time")
    return int(doubles > 0)


async def main() -> int:
    """Play the case and end everything."""
    deployment = Deployment(FOLDER, 3, 24, find_seconds)
    try:
        async with asyncio.timeout(110):
            return await play(deployment)
    except (Exception, asyncio.CancelledError) as error:
        deployment.record(f"the case could not run: {error!r}")
        return 2
    finally:
        await deployment.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
