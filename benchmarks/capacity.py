"""Measures the cost of daemons by role at several sizes; writes docs/capacity.json.

The module benchmarks/pages.py computes the page docs/CAPACITY.md from its slopes.
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
LONG_RUN_SECONDS = 36_000.0
SHORT_RUN_SECONDS = 0.5
WATCHERS_PER_ZONE = 2
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
    """Sizes and rates of one run of the benchmark; :class:`Roles` lists the daemons.

    :param window: seconds of each measurement.
    :param workers: numbers of workers to measure at; the same goes for ``tasks``.
    :param starts: task starts per second to measure at; the same goes for ``changes``
        and ``requests``.
    :param zones: numbers of zones to measure at, with ``daemons`` daemons each.
    :param target_workers: workers of the whole fleet that the predictions are checked
        against; 0 skips this check.
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
    """The roles of the daemons in the first and in the second zone.

    :param owners: daemons that own all workers and targets, but not the ledger.
    :param entries: daemons that own nothing.
    :param ledger_owner: daemon that owns the only ledger.
    """

    owners: tuple[str, ...]
    entries: tuple[str, ...]
    ledger_owner: str

    @classmethod
    async def find(cls, fleet: Fleet) -> "Roles":
        """Ask the daemons for their roles."""
        ledger_owners = await fleet.list_owners("ledger")
        without_ledger = [name for name in fleet.clients if name not in ledger_owners]
        owner_zone_daemons = [
            name for name in without_ledger if fleet.zones[name] == OWNER_ZONE
        ]
        other_daemons = [
            name for name in without_ledger if fleet.zones[name] != OWNER_ZONE
        ]
        return cls(tuple(owner_zone_daemons), tuple(other_daemons), ledger_owners[0])


class Points:
    """Measured points by experiment, role and figure.

    :ivar points: pairs of driver and value, by ``experiment/role/figure``.
    :ivar benchmark_core_share: highest share of a core that the benchmark's own
        process used.
    """

    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}
        self.benchmark_core_share = 0.0

    def add(
        self,
        experiment: str,
        role: str,
        driver: float,
        sample: Sample,
        names: Collection[str],
    ) -> None:
        """Add a sample's figures for the daemons of a role.

        Figures of the platform are totals of all daemons, under a role of their own.
        """
        self.benchmark_core_share = max(
            self.benchmark_core_share, sample.benchmark_core_share
        )
        for figure in sample.list_figures():
            is_platform = figure in sample.fleet
            if is_platform != (role == PLATFORM) or "waiting_time" in figure:
                continue
            name = f"{experiment}/{role}/{figure}"
            value = round(sample.average(figure, names), 4)
            self.points.setdefault(name, []).append((round(driver, 3), value))

    def fit(self) -> dict[str, dict[str, Any]]:
        """Fit a line through the points of each figure, by name of the figure.

        A figure that is missing at a driver counts as 0 there.
        """
        drivers: dict[str, list[float]] = {}
        for name, points in self.points.items():
            known_drivers = drivers.setdefault(name.rpartition("/")[0], [])
            known_drivers += [x for x, _ in points if x not in known_drivers]
        lines = {}
        for name, points in self.points.items():
            measured = dict(points)
            all_points = [
                (x, measured.get(x, 0.0)) for x in drivers[name.rpartition("/")[0]]
            ]
            if len(all_points) > 1 and any(y for _, y in all_points):
                lines[name] = _format_line(all_points)
        return lines


def _format_line(points: list[tuple[float, float]]) -> dict[str, Any]:
    line = fit_line(points)
    return {
        "slope": float(f"{line.slope:.6g}"),
        "intercept": float(f"{line.intercept:.6g}"),
        "residual": float(f"{line.residual:.3g}"),
        "points": [list(point) for point in points],
    }


async def measure_roles(plan: Plan, points: Points) -> dict[str, Any]:
    """Measure owners, entries, the ledger owner and watchers in a small fleet."""
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
                "keeper owns workers": fleet.zones[roles.ledger_owner] == OWNER_ZONE,
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
    owner_zone_daemons = _list_owners(fleet)
    watchers = pick_watchers(owner_zone_daemons)
    followers_only = [name for name in owner_zone_daemons if name not in watchers]
    other_daemons = [name for name in fleet.zones if name not in owner_zone_daemons]
    writer, followers = other_daemons[:1], followers_only or watchers
    for rate in plan.changes:
        load = Load(fleet, rate, fleets.change, writer) if rate else None
        sample = await fleet.measure(plan.window, load)
        points.add("changes", "watcher", rate, sample, watchers)
        points.add("changes", "follower", rate, sample, followers)
        points.add("changes", "writer", rate, sample, writer)
        points.add("changes", PLATFORM, rate, sample, writer)


def pick_watchers(names: Collection[str]) -> list[str]:
    """Return the daemons of a zone that watch the store, as the relay selects them."""
    by_hash = sorted(names, key=lambda name: xxhash.xxh64_intdigest(name.encode()))
    return by_hash[:WATCHERS_PER_ZONE]


async def _measure_starts(
    plan: Plan, points: Points, fleet: Fleet, roles: Roles
) -> None:
    for rate in plan.starts:
        submit_job = partial(_submit_short, SHORT_RUN_SECONDS)
        per_second = rate / fleets.TASKS_PER_JOB
        load = Load(fleet, per_second, submit_job, roles.entries[:1]) if rate else None
        # The window covers whole jobs, so that its rate of starts is that of the load.
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
    """Submit long jobs until ``count`` tasks run, and wait for 60 s at most.

    :returns: the number of running tasks.
    """
    clients = list(fleet.clients.values())
    missing = (count - fleet.count_running()) // fleets.TASKS_PER_JOB
    for number in range(missing):
        client = clients[number % len(clients)]
        fleets.check_reply(await fleets.submit(client, number, LONG_RUN_SECONDS))
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
    points.add(experiment, "keeper", driver, sample, [roles.ledger_owner])
    points.add(experiment, "other", driver, sample, roles.entries)


async def measure_zones(plan: Plan, points: Points) -> dict[str, Any]:
    """Measure idle daemons while zones are added, then a fleet of the target size."""
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
                found = await _measure_whole_fleet(plan, fleet)
        finally:
            await fleet.close()
    return found


async def _measure_whole_fleet(plan: Plan, fleet: Fleet) -> dict[str, Any]:
    """Measure a whole fleet, to check the predictions from the slopes."""
    found = {}
    await fleets.declare(fleet)
    fleet.add_workers(plan.target_workers)
    settled = await fleet.wait_settled()
    await asyncio.sleep(plan.window)
    found["idle"] = _format_sample(await fleet.measure(plan.window), settled, 0)
    running = await fill(fleet, plan.target_tasks)
    await asyncio.sleep(plan.window)
    found["running"] = _format_sample(
        await fleet.measure(plan.window), settled, running
    )
    for rate in plan.target_starts:
        submit_job = partial(_submit_short, SHORT_RUN_SECONDS)
        load = Load(fleet, rate / fleets.TASKS_PER_JOB, submit_job)
        sample = await fleet.measure(2 * plan.window, load)
        label = f"{rate} starts/s asked for"
        found[label] = _format_sample(sample, settled, running)
        found[label]["statuses"] = dict(load.statuses)
    found["overlaps"] = len(fleet.platform.runs.overlaps)
    return found


def _format_sample(sample: Sample, settled: bool, running: int) -> dict[str, Any]:
    """Return each figure's average and its highest value of any daemon."""
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
        "benchmark's share of a core": round(sample.benchmark_core_share, 3),
        "figures": figures,
    }


def _find_highest(sample: Sample, figure: str) -> float:
    """Return a figure's highest value of any daemon.

    For figures of the platform, only the average is known.
    """
    if figure in sample.fleet:
        return sample.average(figure)
    return max(figures.get(figure, 0.0) for figures in sample.daemons.values())


def measure_imports() -> dict[str, float]:
    """Return the resident megabytes of a process after each further import."""
    found = {"interpreter": _measure_import("sys")}
    imported_names = "sys"
    for library in LIBRARIES:
        imported_names = f"{imported_names}, {library}"
        found[library] = _measure_import(imported_names)
    found["daemon"] = _measure_import("damaskdeck.daemon")
    return found


def _measure_import(imported_names: str) -> float:
    program = (
        f"import {imported_names}\n"
        "print([l.split()[1] for l in open('/proc/self/status') if 'VmRSS' in l][0])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    )
    return round(int(completed.stdout) * 1024 / fleets.MEGABYTE, 1)


async def measure(plan: Plan) -> dict[str, Any]:
    """Run all measurements of a plan."""
    points = Points()
    imports = measure_imports()
    role_figures = await measure_roles(plan, points)
    fleet_figures = await measure_zones(plan, points)
    return {
        "measured": {
            "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M"),
            "machine": f"{machine.machine()}, {psutil.cpu_count()} cores, "
            f"Python {machine.python_version()}, loopback, shared with other jobs",
            "window seconds": plan.window,
            "benchmark's highest share of a core": round(
                points.benchmark_core_share, 3
            ),
            **role_figures,
        },
        "imports MB": imports,
        "lines": points.fit(),
        "whole": fleet_figures,
    }


def run(quick: bool = False) -> dict[str, Any]:
    """Run the benchmark; a full run writes the figures and the page's tables.

    :param quick: whether to measure a small fleet for a short time, writing nothing.
    """
    figures = asyncio.run(measure(QUICK if quick else FULL))
    if not quick:
        # The figures of failures are measured separately, by benchmarks.failures.
        failures = json.loads(FIGURES.read_text())["failures"]
        all_figures = {**figures, "failures": failures}
        FIGURES.write_text(json.dumps(all_figures, indent=1) + "\n")
        pages.write_page()
    return figures
