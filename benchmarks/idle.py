"""Measures what daemons of the pools use while there are no jobs.

They are measured at rest, while the store accepts calls and doesn't answer, and while
it refuses them. Calls to the store are those that the daemons count themselves.
"""

import asyncio
from collections import Counter

from benchmarks.nodes import (
    NodeFleet,
    Usage,
    read_resident_megabytes,
    read_usage,
    run_fleet,
    use_compiled_package,
)
from standins.nodes import NodeProcess

SETTLE_SECONDS = 4
REST_SECONDS = 20
# Shorter than the owner's lease on workers, so that it polls them all the time.
OUTAGE_SECONDS = 5
WORKERS = 20


def run(quick: bool = False) -> dict:
    """Return processor time, wake-ups and store calls per second and daemon."""
    daemons, repeats = (3, 1) if quick else (6, 3)
    with use_compiled_package():
        return asyncio.run(_measure(daemons, repeats))


async def _measure(daemons: int, repeats: int) -> dict:
    async with run_fleet(WORKERS) as fleet:
        for _ in range(daemons):
            await fleet.start_node()
        faults = fleet.platform.store.faults
        seconds = REST_SECONDS * repeats
        figures = {"at_rest": await _measure_phase(fleet, seconds)}
        rounds: dict[str, list[dict]] = {"silent_store": [], "refusing_store": []}
        for _ in range(repeats):
            faults.pause()
            rounds["silent_store"].append(await _measure_phase(fleet, OUTAGE_SECONDS))
            faults.resume()
            await _settle(fleet)
            faults.outage = True
            rounds["refusing_store"].append(await _measure_phase(fleet, OUTAGE_SECONDS))
            faults.outage = False
            await _settle(fleet)
        for name, measured in rounds.items():
            figures[name] = {role: _average(measured, role) for role in measured[0]}
        memory = [read_resident_megabytes(node.process.pid) for node in fleet.nodes]
        figures["resident_mb"] = {"least": min(memory), "most": max(memory)}
        return figures


async def _settle(fleet: NodeFleet) -> None:
    for node in fleet.nodes:
        while not await fleet.is_ready(node):  # noqa: ASYNC110
            await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_SECONDS)


async def _measure_phase(fleet: NodeFleet, seconds: float) -> dict:
    """Return the figures of the owner and the means of the others, per second."""
    # The first scrape loads the exporter, whose cost must not count.
    calls_before = [await fleet.read_store_calls(node) for node in fleet.nodes]
    before = [read_usage(node.process.pid) for node in fleet.nodes]
    loop = asyncio.get_running_loop()
    began = loop.time()
    await asyncio.sleep(seconds)
    after = [read_usage(node.process.pid) for node in fleet.nodes]
    seconds = loop.time() - began
    calls_after = [await fleet.read_store_calls(node) for node in fleet.nodes]
    owner = fleet.find_owner()
    rows: dict[str, list[dict]] = {"owner": [], "others": []}
    for index, node in enumerate(fleet.nodes):
        calls = calls_after[index] - calls_before[index]
        row = _build_row(before[index], after[index], calls, seconds)
        rows[_name_role(node, owner)].append(row)
    return {role: _average([{"_": row} for row in rows[role]], "_") for role in rows}


def _name_role(node: NodeProcess, owner: NodeProcess) -> str:
    return "owner" if node is owner else "others"


def _build_row(
    before: Usage, after: Usage, calls: Counter[str], seconds: float
) -> dict[str, float]:
    return {
        "processor_ms_per_second": (after.processor - before.processor) * 1e3 / seconds,
        "wakeups_per_second": (after.wakeups - before.wakeups) / seconds,
        **{f"{kind}_calls_per_second": n / seconds for kind, n in calls.items()},
    }


def _average(phases: list[dict], role: str) -> dict[str, float]:
    rows = [phase[role] for phase in phases]
    names = sorted({name for row in rows for name in row})
    return {
        name: round(sum(row.get(name, 0.0) for row in rows) / len(rows), 2)
        for name in names
    }
