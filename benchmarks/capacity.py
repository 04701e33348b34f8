"""What daemons spend by role, at several sizes; writes docs/capacity.json.

The page docs/CAPACITY.md is worked out from its slopes by benchmarks/pages.py.
"""

import asyncio
import json
import platform as machine
import subprocess
import sys
import tempfile
from collections.abc import Collection
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import psutil
import xxhash

from benchmarks import fleets, pages
from benchmarks.fleets import Fleet, Load, Sample
from benchmarks.slopes import fit_line

FIGURES = Path(__file__).parents[1] / "docs" / "capacity.json"
OWNER_ZONE = "zone-0"
LONG = 36_000.0
SHORT = 0.5
WATCHERS = 2
PLATFORM = "platform"
LIBRARIES = (
    "asyncio",
    "msgspec",
    "sortedcontainers",
    "xxhash",
    "yaml",
    "logbook",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
    "grpclib.client, grpclib.server",
    "aiohttp",
    "starlette.applications",
    "uvicorn",
)


class Plan(NamedTuple):
    """Sizes of one run of the benchmark; see :class:`Roles` for the daemons.

    :param window: seconds of each measurement.
    :param zones: numbers of zones, of ``daemons`` daemons each.
    :param target_workers: workers of the whole fleet that the model is checked
        against; 0 leaves the check out.
    """

    window: float
    workers: tuple[int, ...]
    tasks: tuple[int, ...]
    starts: tuple[float, ...]
    changes: tuple[float, ...]
    requests: tuple[float, ...]
    daemons: int
    zones: tuple[int, ...]
    target_workers: int = 0
    target_tasks: int = 0
    target_starts: tuple[float, ...] = ()


QUICK = Plan(
    window=1,
    workers=(6, 24),
    tasks=(200,),
    starts=(0, 25),
    changes=(0, 5),
    requests=(0, 40),
    daemons=2,
    zones=(),
)
FULL = Plan(
    window=5,
    workers=(24, 100, 300),
    tasks=(400, 1200, 3600),
    starts=(0, 15, 30, 60),
    changes=(0, 1, 4, 10),
    requests=(0, 20, 60, 120),
    daemons=3,
    zones=(1, 2, 4, 9),
    target_workers=790,
    target_tasks=13_000,
    target_starts=(100, 200),
)


class Roles(NamedTuple):
    """Which daemons of the first zone and of the second do what.

    :param owners: own all workers and targets, and keep no ledger.
    :param entries: own nothing.
    :param keeper: keeps the only ledger.
    """

    owners: tuple[str, ...]
    entries: tuple[str, ...]
    keeper: str

    @classmethod
    async def find(cls, fleet: Fleet) -> "Roles":
        """Find out who does what."""
        keepers = await fleet.list_owners("ledger")
        free = [name for name in fleet.clients if name not in keepers]
        near = [name for name in free if fleet.zones[name] == OWNER_ZONE]
        far = [name for name in free if fleet.zones[name] != OWNER_ZONE]
        return cls(tuple(near), tuple(far), keepers[0])


class Points:
    """Measured points by experiment, role and figure."""

    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}
        self.bench = 0.0

    def add(
        self,
        experiment: str,
        role: str,
        driver: float,
        sample: Sample,
        names: Collection[str],
    ) -> None:
        """Add a sample's figures for the daemons of a role.

        Those of the platform are of all daemons together and have a role of
        their own.
        """
        self.bench = max(self.bench, sample.bench)
        for figure in sample.list_figures():
            is_platform = figure in sample.fleet
            if is_platform != (role == PLATFORM) or "waiting_time" in figure:
                continue
            name = f"{experiment}/{role}/{figure}"
            value = round(sample.average(figure, names), 4)
            self.points.setdefault(name, []).append((round(driver, 3), value))

    def fit(self) -> dict[str, dict[str, Any]]:
        """Fit a line through the points of each figure."""
        drivers: dict[str, list[float]] = {}
        for name, points in self.points.items():
            known = drivers.setdefault(name.rpartition("/")[0], [])
            known += [x for x, _ in points if x not in known]
        lines = {}
        for name, points in self.points.items():
            measured = dict(points)
            whole = [
                (x, measured.get(x, 0.0)) for x in drivers[name.rpartition("/")[0]]
            ]
            if len(whole) > 1 and any(y for _, y in whole):
                lines[name] = _show_line(whole)
        return lines


def _show_line(points: list[tuple[float, float]]) -> dict[str, Any]:
    line = fit_line(points)
    return {
        "slope": float(f"{line.slope:.6g}"),
        "intercept": float(f"{line.intercept:.6g}"),
        "residual": float(f"{line.residual:.3g}"),
        "points": [list(point) for point in points],
    }


async def measure_roles(plan: Plan, points: Points) -> dict[str, Any]:
    """Measure owners, entries, the keeper and watchers on a small fleet."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), {"ledgers": 1})
        await fleet.start()
        try:
            await fleet.grow(2, plan.daemons)
            roles = await Roles.find(fleet)
            await fleets.declare(fleet)
            await _measure_workers(plan, points, fleet, roles)
            await _measure_requests(plan, points, fleet, roles)
            await _measure_changes(plan, points, fleet)
            await _measure_starts(plan, points, fleet, roles)
            await _measure_tasks(plan, points, fleet, roles)
            return {
                "overlaps": len(fleet.platform.runs.overlaps),
                "keeper owns workers": fleet.zones[roles.keeper] == OWNER_ZONE,
                "owners": _count_owners(fleet),
            }
        finally:
            await fleet.close()


def _count_owners(fleet: Fleet) -> int:
    return sum(zone == OWNER_ZONE for zone in fleet.zones.values())


def _list_owners(fleet: Fleet) -> list[str]:
    return [name for name, zone in fleet.zones.items() if zone == OWNER_ZONE]


async def _measure_workers(
    plan: Plan, points: Points, fleet: Fleet, roles: Roles
) -> None:
    for count in plan.workers:
        fleet.add_workers(count, [OWNER_ZONE])
        await fleet.wait_settled()
        sample = await fleet.measure(plan.window)
        owned = count / _count_owners(fleet)
        points.add("workers", "owner", owned, sample, _list_owners(fleet))
        points.add("workers", "other", count, sample, roles.entries)
        points.add("workers", PLATFORM, count, sample, roles.entries[:1])


async def _measure_requests(
    plan: Plan, points: Points, fleet: Fleet, roles: Roles
) -> None:
    fleet.add_targets(4 * plan.daemons, [OWNER_ZONE])
    await fleet.wait_settled()
    for rate in plan.requests:
        load = Load(fleet, rate, fleets.request, roles.entries) if rate else None
        sample = await fleet.measure(plan.window, load)
        owners = _list_owners(fleet)
        points.add("requests", "owner", rate / len(owners), sample, owners)
        entries = roles.entries
        points.add("requests", "entry", rate / len(entries), sample, entries)
        points.add("requests", PLATFORM, rate, sample, entries[:1])


async def _measure_changes(plan: Plan, points: Points, fleet: Fleet) -> None:
    near = _list_owners(fleet)
    watchers = pick_watchers(near)
    others = [name for name in near if name not in watchers]
    far = [name for name in fleet.zones if name not in near]
    writer, followers = far[:1], others or watchers
    for rate in plan.changes:
        load = Load(fleet, rate, fleets.change, writer) if rate else None
        sample = await fleet.measure(plan.window, load)
        points.add("changes", "watcher", rate, sample, watchers)
        points.add("changes", "follower", rate, sample, followers)
        points.add("changes", "writer", rate, sample, writer)
        points.add("changes", PLATFORM, rate, sample, writer)


def pick_watchers(names: Collection[str]) -> list[str]:
    """Return the daemons of a zone that watch the store."""
    order = sorted(names, key=lambda name: xxhash.xxh64_intdigest(name.encode()))
    return order[:WATCHERS]


async def _measure_starts(
    plan: Plan, points: Points, fleet: Fleet, roles: Roles
) -> None:
    for rate in plan.starts:
        act = partial(_submit_short, SHORT)
        per_second = rate / fleets.TASKS_PER_JOB
        load = Load(fleet, per_second, act, roles.entries[:1]) if rate else None
        # Whole jobs only, so that the rate in the window is that of the load.
        window = max(plan.window, 2 / per_second if rate else 0)
        sample = await fleet.measure(min(window, 3 * plan.window), load)
        started = sample.fleet.get("task starts", 0.0)
        _add_task_roles(points, "starts", started, sample, fleet, roles)


async def _submit_short(seconds: float, client: Any, number: int) -> Any:
    return await fleets.submit(client, number, seconds)


async def _measure_tasks(
    plan: Plan, points: Points, fleet: Fleet, roles: Roles
) -> None:
    running = fleet.count_running()
    for count in (0, *plan.tasks):
        await fill(fleet, count)
        await asyncio.sleep(plan.window)
        running = fleet.count_running()
        sample = await fleet.measure(plan.window)
        _add_task_roles(points, "tasks", running, sample, fleet, roles)


async def fill(fleet: Fleet, count: int) -> int:
    """Submit long jobs until so many tasks run; returns how many do."""
    clients = list(fleet.clients.values())
    missing = (count - fleet.count_running()) // fleets.TASKS_PER_JOB
    for number in range(missing):
        client = clients[number % len(clients)]
        fleets.check(await fleets.submit(client, number, LONG))
    for _ in range(60):
        if fleet.count_running() >= count:
            break
        await asyncio.sleep(1)
    return fleet.count_running()


def _add_task_roles(
    points: Points,
    experiment: str,
    driver: float,
    sample: Sample,
    fleet: Fleet,
    roles: Roles,
) -> None:
    owned = driver / _count_owners(fleet)
    points.add(experiment, "owner", owned, sample, roles.owners)
    points.add(experiment, PLATFORM, driver, sample, roles.entries[:1])
    points.add(experiment, "keeper", driver, sample, [roles.keeper])
    points.add(experiment, "other", driver, sample, roles.entries)


async def measure_zones(plan: Plan, points: Points) -> dict[str, Any]:
    """Measure idle daemons as zones are added, then a fleet of the target size."""
    found: dict[str, Any] = {}
    if not plan.zones:
        return found
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        await fleet.start()
        try:
            for zones in plan.zones:
                await fleet.grow(zones, plan.daemons)
                await asyncio.sleep(plan.window)
                sample = await fleet.measure(plan.window)
                points.add("zones", "peer", zones, sample, fleet.clients)
                points.add("zones", PLATFORM, zones, sample, ["entry-00"])
            if plan.target_workers:
                found = await _measure_whole(plan, fleet)
        finally:
            await fleet.close()
    return found


async def _measure_whole(plan: Plan, fleet: Fleet) -> dict[str, Any]:
    """Measure a whole fleet, to check what the slopes foretell."""
    found = {}
    await fleets.declare(fleet)
    fleet.add_workers(plan.target_workers)
    settled = await fleet.wait_settled()
    await asyncio.sleep(plan.window)
    found["idle"] = _show_sample(await fleet.measure(plan.window), settled, 0)
    running = await fill(fleet, plan.target_tasks)
    await asyncio.sleep(plan.window)
    found["running"] = _show_sample(await fleet.measure(plan.window), settled, running)
    for rate in plan.target_starts:
        act = partial(_submit_short, SHORT)
        load = Load(fleet, rate / fleets.TASKS_PER_JOB, act)
        sample = await fleet.measure(2 * plan.window, load)
        label = f"{rate} starts/s asked for"
        found[label] = _show_sample(sample, settled, running)
        found[label]["statuses"] = dict(load.statuses)
    found["overlaps"] = len(fleet.platform.runs.overlaps)
    return found


def _show_sample(sample: Sample, settled: bool, running: int) -> dict[str, Any]:
    """Return the average daemon's figures, and the highest."""
    figures = {
        name: {
            "average": round(sample.average(name), 4),
            "highest": round(_find_highest(sample, name), 4),
        }
        for name in sample.list_figures()
        if "bucket" not in name and "waiting_time" not in name
    }
    return {
        "daemons": len(sample.daemons),
        "settled": settled,
        "running": running,
        "benchmark's share of a core": round(sample.bench, 3),
        "figures": figures,
    }


def _find_highest(sample: Sample, figure: str) -> float:
    """Return the busiest daemon's figure; the platform sees the average only."""
    if figure in sample.fleet:
        return sample.average(figure)
    return max(figures.get(figure, 0.0) for figures in sample.daemons.values())


def measure_imports() -> dict[str, float]:
    """Return the megabytes of a process that only imports, after each import."""
    found = {"interpreter": _measure_import("sys")}
    names = "sys"
    for library in LIBRARIES:
        names = f"{names}, {library}"
        found[library] = _measure_import(names)
    found["daemon"] = _measure_import("damaskdeck.daemon")
    return found


def _measure_import(names: str) -> float:
    program = (
        f"import {names}\n"
        "print([l.split()[1] for l in open('/proc/self/status') if 'VmRSS' in l][0])"
    )
    answer = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    )
    return round(int(answer.stdout) * 1024 / fleets.MEGABYTE, 1)


async def measure(plan: Plan) -> dict[str, Any]:
    """Measure everything of a plan."""
    points = Points()
    imports = measure_imports()
    small = await measure_roles(plan, points)
    whole = await measure_zones(plan, points)
    return {
        "measured": {
            "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M"),
            "machine": f"{machine.machine()}, {psutil.cpu_count()} cores, "
            f"Python {machine.python_version()}, loopback, shared with other jobs",
            "window seconds": plan.window,
            "benchmark's highest share of a core": round(points.bench, 3),
            **small,
        },
        "imports MB": imports,
        "lines": points.fit(),
        "whole": whole,
    }


def run(quick: bool = False) -> dict[str, Any]:
    """Measure; a full run writes the figures and the page's tables."""
    figures = asyncio.run(measure(QUICK if quick else FULL))
    if not quick:
        # Those of failures are measured apart, by benchmarks.failures.
        failures = json.loads(FIGURES.read_text())["failures"]
        kept = {**figures, "failures": failures}
        FIGURES.write_text(json.dumps(kept, indent=1) + "\n")
        pages.write_page()
    return figures
