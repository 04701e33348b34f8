"""Measures the effects of failures in a large fleet.

These are changes of owners, messages, calls to the store and the time to settle. A
full run adds its figures to docs/capacity.json, for the page docs/CAPACITY.md.
"""

import asyncio
import json
import tempfile
import time
from collections.abc import Awaitable, Callable, Collection
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks import fleets, pages
from benchmarks.capacity import SHORT_RUN_SECONDS, fill
from benchmarks.fleets import Fleet, Load, Sample
from standins.faults import FaultKind, Faults
from standins.waiting import wait_until

POLL_SECONDS = 0.25
SETTLE_LIMIT_SECONDS = 60
CUT_OFF_SECONDS = 20
RACK_WORKERS = 8
ZONE = "zone-1"
STORE_CALLS_PER_SECOND = 20
STARTS_PER_SECOND = 50


class Plan(NamedTuple):
    """The size of the fleet, and the seconds of a measurement."""

    zones: int
    daemons: int
    workers: int
    tasks: int
    window: float


QUICK = Plan(zones=2, daemons=2, workers=12, tasks=100, window=2)
FULL = Plan(zones=4, daemons=3, workers=300, tasks=4000, window=6)


class Context(NamedTuple):
    """A running fleet, and a sample taken while nothing fails."""

    fleet: Fleet
    plan: Plan
    idle: Sample


Scenario = Callable[[Context], Awaitable[dict[str, Any]]]
_scenarios: list[Scenario] = []


def scenario(function: Scenario) -> Scenario:
    """Register a scenario; scenarios run in order of definition.

    The first line of its docstring labels its figures in docs/capacity.json.
    """
    _scenarios.append(function)
    return function


def sum_figures(sample: Sample, names: Collection[str] = ()) -> dict[str, float]:
    """Return the sum of each figure over the named daemons, or over all."""
    count = len(names or sample.daemons)
    return {
        name: sample.average(name, () if name in sample.fleet else names) * count
        for name in sample.list_figures()
    }


async def measure_until_settled(
    context: Context,
    cause_failure: Callable[[], Awaitable[Any]],
    is_settled: Callable[[], Awaitable[bool]],
) -> dict[str, Any]:
    """Cause a failure and measure until the fleet has settled.

    :returns: the seconds, and the use of resources by the surviving daemons in excess
        of what they use while nothing fails.
    """
    fleet = context.fleet
    before = await fleet.read(is_first=True)
    await cause_failure()
    is_settled_now = False
    while not is_settled_now and time.monotonic() - before.time < SETTLE_LIMIT_SECONDS:
        is_settled_now = await is_settled()
        await asyncio.sleep(POLL_SECONDS)
    seconds = time.monotonic() - before.time
    after = await fleet.read(is_first=False)
    sample = fleets.compare(before, after)
    survivors = [name for name in sample.daemons if name in context.idle.daemons]
    used, idle = sum_figures(sample, survivors), sum_figures(context.idle, survivors)
    elapsed = after.time - before.time

    def compute_excess(*names: str) -> float:
        excess = sum(used.get(n, 0.0) - idle.get(n, 0.0) for n in names)
        return round(excess * elapsed, 1)

    return {
        "settled": is_settled_now,
        "seconds": round(seconds, 2),
        "tasks started": compute_excess("task starts"),
        "peer messages": compute_excess("peer_messages out"),
        "peer KB": round(compute_excess("peer_bytes out") / 1000, 1),
        "store writes": compute_excess(
            "store put", "store delete", "store grant_lease"
        ),
        "store reads": compute_excess("store watch", "store list", "store get"),
        "worker calls": compute_excess(
            "worker follow", "worker start", "worker inventory", "worker renew"
        ),
        "overlaps": len(fleet.platform.runs.overlaps),
    }


async def is_owned(context: Context) -> bool:
    """Return whether each worker and target has an owner that is alive.

    Daemons send each other messages to answer this, so it must not be called while
    messages are counted.
    """
    owned = await context.fleet.count_owned()
    return owned >= context.fleet.count_listed()


class OwnerChanges:
    """Counts workers that get a new owner, by the epochs that the workers see."""

    def __init__(self, context: Context, names: Collection[str]) -> None:
        workers = context.fleet.platform.workers
        self._workers = [workers[name] for name in names]
        self._before = [worker.epoch for worker in self._workers]

    async def have_moved(self, count: int) -> bool:
        """Return whether at least ``count`` workers have a new owner."""
        epochs = zip(self._workers, self._before, strict=True)
        return sum(worker.epoch > before for worker, before in epochs) >= count


async def list_owned(context: Context, daemon: str) -> list[str]:
    """Return the names of the workers that a daemon owns."""
    reply = await context.fleet.clients[daemon].call("GET", "/v1/status")
    shards = reply.read_json()["owned"]["worker"]
    return [shard.partition("/")[2] or shard for shard in shards]


async def measure_daemon_loss(
    context: Context, end_daemon: Callable[[str], Awaitable[None]]
) -> dict[str, Any]:
    """End a daemon and wait until its workers have new owners."""
    name = f"entry-{ZONE[-1]}0"
    owned = await list_owned(context, name)
    owner_changes = OwnerChanges(context, owned)
    figures = await measure_until_settled(
        context,
        partial(end_daemon, name),
        partial(owner_changes.have_moved, len(owned)),
    )
    return {**figures, "workers moved": len(owned)}


@scenario
async def fail_daemon(context: Context) -> dict[str, Any]:
    """An entry instance fails."""
    return await measure_daemon_loss(context, context.fleet.kill_daemon)


@scenario
async def replace_daemon(context: Context) -> dict[str, Any]:
    """An entry instance comes, and gets its share of the zone."""
    fleet, name = context.fleet, f"entry-{ZONE[-1]}0"
    zone_workers = [
        n for n, w in fleet.platform.workers.items() if w.instance.zone == ZONE
    ]
    share = len(zone_workers) // context.plan.daemons // 2
    owner_changes = OwnerChanges(context, zone_workers)
    figures = await measure_until_settled(
        context,
        partial(fleet.add_daemon, name, ZONE),
        partial(owner_changes.have_moved, share),
    )
    return {**figures, "workers moved": share}


@scenario
async def shut_down_daemon(context: Context) -> dict[str, Any]:
    """An entry instance is shut down gracefully."""
    figures = await measure_daemon_loss(context, context.fleet.stop_daemon)
    await context.fleet.add_daemon(f"entry-{ZONE[-1]}0", ZONE)
    await context.fleet.wait_settled()
    return figures


async def remove_workers(context: Context, count: int) -> dict[str, Any]:
    """Remove workers of one zone, and wait until as many tasks run as before."""
    fleet = context.fleet
    running = fleet.count_running()
    zone_workers = [
        name
        for name, worker in fleet.platform.workers.items()
        if worker.instance.zone == ZONE and worker.list_running()
    ]

    async def remove() -> None:
        for name in zone_workers[:count]:
            fleet.platform.remove(name)

    async def runs_again() -> bool:
        return fleet.count_running() >= running

    return await measure_until_settled(context, remove, runs_again)


@scenario
async def fail_worker(context: Context) -> dict[str, Any]:
    """A worker fails and leaves the list; its tasks run elsewhere."""
    return await remove_workers(context, 1)


@scenario
async def fail_rack(context: Context) -> dict[str, Any]:
    """A rack of eight workers fails."""
    return await remove_workers(context, RACK_WORKERS)


@scenario
async def cut_off_zone(context: Context) -> dict[str, Any]:
    """A zone's daemons lose the store and the list for twenty seconds."""
    fleet = context.fleet
    names = [name for name, zone in fleet.zones.items() if zone == ZONE]
    running = fleet.count_running()

    async def cut() -> None:
        for name in names:
            fleet.platform.cut_off(name, "store", "instances")
        await asyncio.sleep(CUT_OFF_SECONDS)
        for name in names:
            fleet.platform.reconnect(name, "store", "instances")

    async def has_ended() -> bool:
        return True

    figures = await measure_until_settled(context, cut, has_ended)
    lost = running - fleet.count_running()
    return {**figures, "tasks lost": lost, "cut seconds": CUT_OFF_SECONDS}


@scenario
async def fail_zone(context: Context) -> dict[str, Any]:
    """A zone fails with its daemons and workers."""
    fleet = context.fleet
    daemon_names = [name for name, zone in fleet.zones.items() if zone == ZONE]
    worker_names = [
        name
        for name, worker in fleet.platform.workers.items()
        if worker.instance.zone == ZONE
    ]
    running = fleet.count_running()

    async def fail() -> None:
        for name in daemon_names:
            await fleet.kill_daemon(name)
        for name in worker_names:
            fleet.platform.remove(name)

    async def runs_again() -> bool:
        return fleet.count_running() >= running

    return await measure_until_settled(context, fail, runs_again)


class RateLimit(Faults):
    """A token bucket that refuses calls beyond a rate, as an overloaded service does.

    :param rate: accepted calls per second, without waiting watches.
    :ivar refused: number of refused calls.
    """

    def __init__(self, rate: float) -> None:
        super().__init__()
        self.refused = 0
        self._rate = rate
        self._tokens = rate
        self._refilled_at = time.monotonic()

    def take(self, operation: str) -> FaultKind | None:
        """Refuse a call if the bucket is empty."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._rate, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.refused += 1
            return FaultKind.REFUSE
        self._tokens -= 1
        return None


@scenario
async def limit_store(context: Context) -> dict[str, Any]:
    """The store lets in fewer calls than the daemons make."""
    fleet = context.fleet
    store = fleet.platform.store
    load = Load(fleet, STARTS_PER_SECOND / fleets.TASKS_PER_JOB, _submit_short)
    without_limit = sum_figures(await fleet.measure(context.plan.window, load))
    limit = RateLimit(STORE_CALLS_PER_SECOND)
    store.gateway.faults = limit
    load = Load(fleet, STARTS_PER_SECOND / fleets.TASKS_PER_JOB, _submit_short)
    sample = await fleet.measure(2 * context.plan.window, load)
    store.gateway.faults = store.faults
    begin = time.monotonic()
    await wait_until(
        partial(is_owned, context),
        lambda is_done: is_done,
        SETTLE_LIMIT_SECONDS,
    )
    with_limit = sum_figures(sample)
    prefixes = ("store", "refusals", "retries", "task starts", "drops")
    return {
        "limit": STORE_CALLS_PER_SECOND,
        "refused": limit.refused,
        "answers to submissions": dict(load.statuses),
        "seconds until all is owned again": round(time.monotonic() - begin, 2),
        "without limit": _select_figures(without_limit, prefixes),
        "with limit": _select_figures(with_limit, prefixes),
        "overlaps": len(fleet.platform.runs.overlaps),
    }


def _select_figures(
    figures: dict[str, float], prefixes: tuple[str, ...]
) -> dict[str, float]:
    return {
        name: round(value, 2)
        for name, value in figures.items()
        if value and name.startswith(prefixes) and "store_calls" not in name
    }


async def _submit_short(client: Any, number: int) -> Any:
    return await fleets.submit(client, number, SHORT_RUN_SECONDS)


async def measure(plan: Plan) -> dict[str, Any]:
    """Run all scenarios on one fleet."""
    figures: dict[str, Any] = {"plan": plan._asdict(), "scenes": {}}
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        await fleet.start()
        try:
            await fleet.grow(plan.zones, plan.daemons)
            await fleets.declare(fleet)
            fleet.add_workers(plan.workers)
            await fleet.wait_settled()
            figures["running"] = await fill(fleet, plan.tasks)
            await asyncio.sleep(plan.window)
            idle = await fleet.measure(2 * plan.window)
            context = Context(fleet, plan, idle)
            for scenario_function in _scenarios:
                label = scenario_function.__doc__.splitlines()[0]
                figures["scenes"][label] = await scenario_function(context)
        finally:
            await fleet.close()
    return figures


def run(quick: bool = False) -> dict[str, Any]:
    """Run the benchmark; a full run adds its figures to those of the page.

    :param quick: whether to use a small fleet and write nothing.
    """
    found = asyncio.run(measure(QUICK if quick else FULL))
    if not quick:
        figures = json.loads(pages.FIGURES.read_text())
        figures["failures"] = found
        pages.FIGURES.write_text(json.dumps(figures, indent=1) + "\n")
        pages.write_page()
    return found
