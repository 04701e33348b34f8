"""Effects of failures at full size: moves, messages, store calls, recovery time.

Adds its figures to docs/capacity.json, for the page docs/CAPACITY.md.
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
from benchmarks.capacity import SHORT, fill
from benchmarks.fleets import Fleet, Load, Sample
from standins.faults import FaultKind, Faults
from standins.waiting import wait_until

POLL_SECONDS = 0.25
LIMIT_SECONDS = 60
CUT_SECONDS = 20
RACK = 8
ZONE = "zone-1"
STORE_RATE = 20
STARTS = 50


class Plan(NamedTuple):
    """The size of the fleet that is exposed to the failures."""

    zones: int
    daemons: int
    workers: int
    tasks: int
    window: float


QUICK = Plan(zones=2, daemons=2, workers=12, tasks=100, window=2)
FULL = Plan(zones=4, daemons=3, workers=300, tasks=4000, window=6)


class TestedFleet(NamedTuple):
    """A running fleet, and its usage while nothing fails."""

    fleet: Fleet
    plan: Plan
    idle: Sample


FailureScenario = Callable[[TestedFleet], Awaitable[dict[str, Any]]]
_failure_scenarios: list[FailureScenario] = []


def failure_scenario(function: FailureScenario) -> FailureScenario:
    """Register a failure; failures run in order of definition."""
    _failure_scenarios.append(function)
    return function


def add_up(sample: Sample, names: Collection[str] = ()) -> dict[str, float]:
    """Return the sums of the figures of the named daemons, or of all."""
    count = len(names or sample.daemons)
    return {
        name: sample.average(name, () if name in sample.fleet else names) * count
        for name in sample.list_figures()
    }


async def watch(
    tested: TestedFleet,
    act: Callable[[], Awaitable[Any]],
    is_settled: Callable[[], Awaitable[bool]],
) -> dict[str, Any]:
    """Cause a failure and measure until the fleet has recovered.

    :returns: the seconds, and the usage of the remaining daemons beyond their
        usage while nothing fails.
    """
    fleet = tested.fleet
    before = await fleet.read(is_first=True)
    await act()
    is_done = False
    while not is_done and time.monotonic() - before.time < LIMIT_SECONDS:
        is_done = await is_settled()
        await asyncio.sleep(POLL_SECONDS)
    seconds = time.monotonic() - before.time
    after = await fleet.read(is_first=False)
    sample = fleets.compare(before, after)
    stayed = [name for name in sample.daemons if name in tested.idle.daemons]
    spent, idle = add_up(sample, stayed), add_up(tested.idle, stayed)
    lasted = after.time - before.time

    def exceed(*names: str) -> float:
        grown = sum(spent.get(n, 0.0) - idle.get(n, 0.0) for n in names)
        return round(grown * lasted, 1)

    return {
        "settled": is_done,
        "seconds": round(seconds, 2),
        "tasks started": exceed("task starts"),
        "peer messages": exceed("peer_messages out"),
        "peer KB": round(exceed("peer_bytes out") / 1000, 1),
        "store writes": exceed("store put", "store delete", "store grant_lease"),
        "store reads": exceed("store watch", "store list", "store get"),
        "worker calls": exceed(
            "worker follow", "worker start", "worker inventory", "worker renew"
        ),
        "overlaps": len(fleet.platform.runs.overlaps),
    }


async def is_owned(tested: TestedFleet) -> bool:
    """Return whether each worker and target has a live owner.

    Daemons call each other for the answer, so this must not be used while messages
    are counted.
    """
    owned = await tested.fleet.count_owned()
    return owned >= tested.fleet.count_listed()


class Moves:
    """Workers that get a new owner, detected by the epochs that they receive."""

    def __init__(self, tested: TestedFleet, names: Collection[str]) -> None:
        workers = tested.fleet.platform.workers
        self._workers = [workers[name] for name in names]
        self._before = [worker.epoch for worker in self._workers]

    async def has_moved(self, count: int) -> bool:
        """Return whether at least ``count`` workers have a new owner."""
        epochs = zip(self._workers, self._before, strict=True)
        return sum(worker.epoch > before for worker, before in epochs) >= count


async def list_owned(tested: TestedFleet, daemon: str) -> list[str]:
    """List the workers that a daemon owns."""
    reply = await tested.fleet.clients[daemon].call("GET", "/v1/status")
    shards = reply.read_json()["owned"]["worker"]
    return [shard.partition("/")[2] or shard for shard in shards]


async def lose_daemon(
    tested: TestedFleet, end: Callable[[str], Awaitable[None]]
) -> dict[str, Any]:
    """End a daemon and wait until its workers have new owners."""
    name = f"entry-{ZONE[-1]}0"
    held = await list_owned(tested, name)
    moves = Moves(tested, held)
    found = await watch(tested, partial(end, name), partial(moves.has_moved, len(held)))
    return {**found, "workers moved": len(held)}


@failure_scenario
async def fail_daemon(tested: TestedFleet) -> dict[str, Any]:
    """An entry instance fails."""
    return await lose_daemon(tested, tested.fleet.drop_daemon)


@failure_scenario
async def replace_daemon(tested: TestedFleet) -> dict[str, Any]:
    """An entry instance comes, and gets its share of the zone."""
    fleet, name = tested.fleet, f"entry-{ZONE[-1]}0"
    near = [n for n, w in fleet.platform.workers.items() if w.instance.zone == ZONE]
    share = len(near) // tested.plan.daemons // 2
    moves = Moves(tested, near)
    found = await watch(
        tested, partial(fleet.add_daemon, name, ZONE), partial(moves.has_moved, share)
    )
    return {**found, "workers moved": share}


@failure_scenario
async def shut_down_daemon(tested: TestedFleet) -> dict[str, Any]:
    """An entry instance is shut down gracefully."""
    found = await lose_daemon(tested, tested.fleet.stop_daemon)
    await tested.fleet.add_daemon(f"entry-{ZONE[-1]}0", ZONE)
    await tested.fleet.wait_settled()
    return found


async def remove_workers(tested: TestedFleet, count: int) -> dict[str, Any]:
    """Remove workers of one zone and wait until all tasks run again."""
    fleet = tested.fleet
    running = fleet.count_running()
    near = [
        name
        for name, worker in fleet.platform.workers.items()
        if worker.instance.zone == ZONE and worker.list_running()
    ]

    async def remove() -> None:
        for name in near[:count]:
            fleet.platform.remove(name)

    async def runs_again() -> bool:
        return fleet.count_running() >= running

    return await watch(tested, remove, runs_again)


@failure_scenario
async def fail_worker(tested: TestedFleet) -> dict[str, Any]:
    """A worker fails and leaves the list; its tasks run elsewhere."""
    return await remove_workers(tested, 1)


@failure_scenario
async def fail_rack(tested: TestedFleet) -> dict[str, Any]:
    """A rack of eight workers fails."""
    return await remove_workers(tested, RACK)


@failure_scenario
async def cut_off_zone(tested: TestedFleet) -> dict[str, Any]:
    """A zone's daemons lose the store and the list for twenty seconds."""
    fleet = tested.fleet
    names = [name for name, zone in fleet.zones.items() if zone == ZONE]
    running = fleet.count_running()

    async def cut() -> None:
        for name in names:
            fleet.platform.cut_off(name, "store", "instances")
        await asyncio.sleep(CUT_SECONDS)
        for name in names:
            fleet.platform.reconnect(name, "store", "instances")

    async def has_ended() -> bool:
        return True

    found = await watch(tested, cut, has_ended)
    lost = running - fleet.count_running()
    return {**found, "tasks lost": lost, "cut seconds": CUT_SECONDS}


@failure_scenario
async def fail_zone(tested: TestedFleet) -> dict[str, Any]:
    """A zone fails with its daemons and workers."""
    fleet = tested.fleet
    names = [name for name, zone in fleet.zones.items() if zone == ZONE]
    gone = [
        name
        for name, worker in fleet.platform.workers.items()
        if worker.instance.zone == ZONE
    ]
    running = fleet.count_running()

    async def fail() -> None:
        for name in names:
            await fleet.drop_daemon(name)
        for name in gone:
            fleet.platform.remove(name)

    async def runs_again() -> bool:
        return fleet.count_running() >= running

    return await watch(tested, fail, runs_again)


class RateLimit(Faults):
    """Refuses calls beyond a rate, as a service at its limit does.

    :param rate: calls per second that are admitted, not counting waiting watches.
    """

    def __init__(self, rate: float) -> None:
        super().__init__()
        self.refused = 0
        self._rate = rate
        self._tokens = rate
        self._filled = time.monotonic()

    def take(self, operation: str) -> FaultKind | None:
        """Refuse a call that exceeds the rate."""
        now = time.monotonic()
        grown = (now - self._filled) * self._rate
        self._tokens = min(self._rate, self._tokens + grown)
        self._filled = now
        if self._tokens < 1:
            self.refused += 1
            return FaultKind.REFUSE
        self._tokens -= 1
        return None


@failure_scenario
async def limit_store(tested: TestedFleet) -> dict[str, Any]:
    """The store lets in fewer calls than the daemons make."""
    fleet = tested.fleet
    store = fleet.platform.store
    load = Load(fleet, STARTS / fleets.TASKS_PER_JOB, _submit_short)
    free = add_up(await fleet.measure(tested.plan.window, load))
    limit = RateLimit(STORE_RATE)
    store.gateway.faults = limit
    load = Load(fleet, STARTS / fleets.TASKS_PER_JOB, _submit_short)
    sample = await fleet.measure(2 * tested.plan.window, load)
    store.gateway.faults = store.faults
    started_at = time.monotonic()
    await wait_until(partial(is_owned, tested), lambda is_done: is_done, LIMIT_SECONDS)
    tight = add_up(sample)
    prefixes = ("store", "refusals", "retries", "task starts", "drops")
    return {
        "limit": STORE_RATE,
        "refused": limit.refused,
        "answers to submissions": dict(load.statuses),
        "seconds until all is owned again": round(time.monotonic() - started_at, 2),
        "without limit": _pick(free, prefixes),
        "with limit": _pick(tight, prefixes),
        "overlaps": len(fleet.platform.runs.overlaps),
    }


def _pick(figures: dict[str, float], prefixes: tuple[str, ...]) -> dict[str, float]:
    return {
        name: round(value, 2)
        for name, value in figures.items()
        if value and name.startswith(prefixes) and "store_calls" not in name
    }


async def _submit_short(client: Any, number: int) -> Any:
    return await fleets.submit(client, number, SHORT)


async def measure(plan: Plan) -> dict[str, Any]:
    """Run all failures."""
    found: dict[str, Any] = {"plan": plan._asdict(), "scenes": {}}
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        await fleet.start()
        try:
            await fleet.grow(plan.zones, plan.daemons)
            await fleets.declare(fleet)
            fleet.add_workers(plan.workers)
            await fleet.wait_settled()
            found["running"] = await fill(fleet, plan.tasks)
            await asyncio.sleep(plan.window)
            idle = await fleet.measure(2 * plan.window)
            tested = TestedFleet(fleet, plan, idle)
            for act in _failure_scenarios:
                label = act.__doc__.splitlines()[0]
                found["scenes"][label] = await act(tested)
        finally:
            await fleet.close()
    return found


def run(quick: bool = False) -> dict[str, Any]:
    """Measure; a full run adds its figures to those of the page."""
    found = asyncio.run(measure(QUICK if quick else FULL))
    if not quick:
        figures = json.loads(pages.FIGURES.read_text())
        figures["failures"] = found
        pages.FIGURES.write_text(json.dumps(figures, indent=1) + "\n")
        pages.write_page()
    return found
