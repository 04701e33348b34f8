"""What failures set off at size: moves, messages, store calls, time to settle.

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
    """The size of the fleet that meets the failures."""

    zones: int
    daemons: int
    workers: int
    tasks: int
    window: float


QUICK = Plan(zones=2, daemons=2, workers=12, tasks=100, window=2)
FULL = Plan(zones=4, daemons=3, workers=300, tasks=4000, window=6)


class Stage(NamedTuple):
    """A running fleet, and what it spends while nothing fails."""

    fleet: Fleet
    plan: Plan
    idle: Sample


Scene = Callable[[Stage], Awaitable[dict[str, Any]]]
_scenes: list[Scene] = []


def scene(function: Scene) -> Scene:
    """Register a failure; they happen in order of definition."""
    _scenes.append(function)
    return function


def add_up(sample: Sample, names: Collection[str] = ()) -> dict[str, float]:
    """Return the figures of the named daemons together, or of all."""
    count = len(names or sample.daemons)
    return {
        name: sample.average(name, () if name in sample.fleet else names) * count
        for name in sample.list_figures()
    }


async def watch(
    stage: Stage,
    act: Callable[[], Awaitable[Any]],
    is_settled: Callable[[], Awaitable[bool]],
) -> dict[str, Any]:
    """Let something fail and measure until it has settled.

    :returns: the seconds, and what the daemons that stayed spent beyond what
        they spend while nothing fails.
    """
    fleet = stage.fleet
    before = await fleet.read(is_first=True)
    await act()
    is_done = False
    while not is_done and time.monotonic() - before.time < LIMIT_SECONDS:
        is_done = await is_settled()
        await asyncio.sleep(POLL_SECONDS)
    seconds = time.monotonic() - before.time
    after = await fleet.read(is_first=False)
    sample = fleets.compare(before, after)
    stayed = [name for name in sample.daemons if name in stage.idle.daemons]
    spent, idle = add_up(sample, stayed), add_up(stage.idle, stayed)
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


async def is_owned(stage: Stage) -> bool:
    """Tell whether each worker and target has an owner that lives.

    Daemons ask each other for the answer, so this isn't for use while the
    messages are counted.
    """
    owned = await stage.fleet.count_owned()
    return owned >= stage.fleet.count_listed()


class Moves:
    """Workers that get a new owner, told by the epochs that they see."""

    def __init__(self, stage: Stage, names: Collection[str]) -> None:
        workers = stage.fleet.platform.workers
        self._workers = [workers[name] for name in names]
        self._before = [worker.epoch for worker in self._workers]

    async def has_moved(self, count: int) -> bool:
        """Tell whether so many have a new owner."""
        epochs = zip(self._workers, self._before, strict=True)
        return sum(worker.epoch > before for worker, before in epochs) >= count


async def list_owned(stage: Stage, daemon: str) -> list[str]:
    """List the workers that a daemon owns."""
    reply = await stage.fleet.clients[daemon].call("GET", "/v1/status")
    shards = reply.read_json()["owned"]["worker"]
    return [shard.partition("/")[2] or shard for shard in shards]


async def lose_daemon(
    stage: Stage, end: Callable[[str], Awaitable[None]]
) -> dict[str, Any]:
    """End a daemon and wait until its workers have new owners."""
    name = f"entry-{ZONE[-1]}0"
    held = await list_owned(stage, name)
    moves = Moves(stage, held)
    found = await watch(stage, partial(end, name), partial(moves.has_moved, len(held)))
    return {**found, "workers moved": len(held)}


@scene
async def fail_daemon(stage: Stage) -> dict[str, Any]:
    """An entry instance fails."""
    return await lose_daemon(stage, stage.fleet.drop_daemon)


@scene
async def replace_daemon(stage: Stage) -> dict[str, Any]:
    """An entry instance comes, and gets its share of the zone."""
    fleet, name = stage.fleet, f"entry-{ZONE[-1]}0"
    near = [n for n, w in fleet.platform.workers.items() if w.instance.zone == ZONE]
    share = len(near) // stage.plan.daemons // 2
    moves = Moves(stage, near)
    found = await watch(
        stage, partial(fleet.add_daemon, name, ZONE), partial(moves.has_moved, share)
    )
    return {**found, "workers moved": share}


@scene
async def shut_down_daemon(stage: Stage) -> dict[str, Any]:
    """An entry instance is shut down gracefully."""
    found = await lose_daemon(stage, stage.fleet.stop_daemon)
    await stage.fleet.add_daemon(f"entry-{ZONE[-1]}0", ZONE)
    await stage.fleet.wait_settled()
    return found


async def remove_workers(stage: Stage, count: int) -> dict[str, Any]:
    """Take workers of one zone off, and wait until all tasks run again."""
    fleet = stage.fleet
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

    return await watch(stage, remove, runs_again)


@scene
async def fail_worker(stage: Stage) -> dict[str, Any]:
    """A worker fails and leaves the list; its tasks run elsewhere."""
    return await remove_workers(stage, 1)


@scene
async def fail_rack(stage: Stage) -> dict[str, Any]:
    """A rack of eight workers fails."""
    return await remove_workers(stage, RACK)


@scene
async def cut_off_zone(stage: Stage) -> dict[str, Any]:
    """A zone's daemons lose the store and the list for twenty seconds."""
    fleet = stage.fleet
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

    found = await watch(stage, cut, has_ended)
    lost = running - fleet.count_running()
    return {**found, "tasks lost": lost, "cut seconds": CUT_SECONDS}


@scene
async def fail_zone(stage: Stage) -> dict[str, Any]:
    """A zone fails with its daemons and workers."""
    fleet = stage.fleet
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

    return await watch(stage, fail, runs_again)


class RateLimit(Faults):
    """Refuses calls beyond a rate, as a service at its limit does.

    :param rate: calls a second that are let in; waiting watches aside.
    """

    def __init__(self, rate: float) -> None:
        super().__init__()
        self.refused = 0
        self._rate = rate
        self._room = rate
        self._filled = time.monotonic()

    def take(self, operation: str) -> FaultKind | None:
        """Refuse a call when there is no room for it."""
        now = time.monotonic()
        grown = (now - self._filled) * self._rate
        self._room = min(self._rate, self._room + grown)
        self._filled = now
        if self._room < 1:
            self.refused += 1
            return FaultKind.REFUSE
        self._room -= 1
        return None


@scene
async def limit_store(stage: Stage) -> dict[str, Any]:
    """The store lets in fewer calls than the daemons make."""
    fleet = stage.fleet
    store = fleet.platform.store
    load = Load(fleet, STARTS / fleets.TASKS_PER_JOB, _submit_short)
    free = add_up(await fleet.measure(stage.plan.window, load))
    limit = RateLimit(STORE_RATE)
    store.gateway.faults = limit
    load = Load(fleet, STARTS / fleets.TASKS_PER_JOB, _submit_short)
    sample = await fleet.measure(2 * stage.plan.window, load)
    store.gateway.faults = store.faults
    begin = time.monotonic()
    await wait_until(partial(is_owned, stage), lambda is_done: is_done, LIMIT_SECONDS)
    tight = add_up(sample)
    kept = ("store", "refusals", "retries", "task starts", "drops")
    return {
        "limit": STORE_RATE,
        "refused": limit.refused,
        "answers to submissions": dict(load.statuses),
        "seconds until all is owned again": round(time.monotonic() - begin, 2),
        "without limit": _pick(free, kept),
        "with limit": _pick(tight, kept),
        "overlaps": len(fleet.platform.runs.overlaps),
    }


def _pick(figures: dict[str, float], kept: tuple[str, ...]) -> dict[str, float]:
    return {
        name: round(value, 2)
        for name, value in figures.items()
        if value and name.startswith(kept) and "store_calls" not in name
    }


async def _submit_short(client: Any, number: int) -> Any:
    return await fleets.submit(client, number, SHORT)


async def measure(plan: Plan) -> dict[str, Any]:
    """Let everything fail that can."""
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
            stage = Stage(fleet, plan, idle)
            for act in _scenes:
                label = act.__doc__.splitlines()[0]
                found["scenes"][label] = await act(stage)
        finally:
            await fleet.close()
    return found


def run(quick: bool = False) -> dict[str, Any]:
    """Measure; a full run adds its figures to the page's."""
    found = asyncio.run(measure(QUICK if quick else FULL))
    if not quick:
        figures = json.loads(pages.FIGURES.read_text())
        figures["failures"] = found
        pages.FIGURES.write_text(json.dumps(figures, indent=1) + "\n")
        pages.write_page()
    return found
