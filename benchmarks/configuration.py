"""Time until a configuration is in force everywhere, and what the relay costs."""

import asyncio
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import Any

import msgspec

from damaskdeck.coordination.configuration.relay import ConfigurationRelay
from damaskdeck.coordination.configuration.writes import Declared
from damaskdeck.coordination.members.membership import Membership
from damaskdeck.defaults import HISTORY_LIMIT
from damaskdeck.protocol.members import Member
from damaskdeck.protocol.ports import Event
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.state.changehistory import HistoryReader
from damaskdeck.state.configuration import Configuration
from damaskdeck.state.versions import encode_resource, make_key
from damaskdeck.transport.api.streams import stream_lines
from standins.loops import LoopClock, run_virtual
from standins.peers import PeerSwitch
from standins.store import MemoryStore

LINK_DELAY = timedelta(milliseconds=1)
STORE_DELAY = timedelta(milliseconds=5)
STEP = 0.02
LIMIT = 30.0
CUT_SECONDS = 45
IDLE_SECONDS = 40
TRIALS = 5
CHANGES = 50


class CountedStore:
    """A client of the store that counts calls by operation."""

    def __init__(self, client: Any, calls: Counter[str]) -> None:
        self._client = client
        self._calls = calls

    def __getattr__(self, name: str) -> Any:
        """Return the client's operation, counted."""
        operation = getattr(self._client, name)

        async def call(*args: Any, **kwargs: Any) -> Any:
            self._calls[name] += 1
            return await operation(*args, **kwargs)

        return call


class Node:
    """Membership and configuration of one daemon."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, relays: bool) -> None:
        region = f"r{int(zone[1:]) // 3}"
        member = Member(name, zone, region, name, name, f"{name}-{time.monotonic_ns()}")
        peers = fleet.switch.connect(name)
        client = fleet.store.connect(name)
        self.name = name
        self.zone = zone
        self.members = Membership(member, peers, client, fleet.clock)
        self.configuration = Configuration()
        self.relay = ConfigurationRelay(
            self.configuration,
            self.members,
            peers,
            CountedStore(client, fleet.calls),
            fleet.clock,
        )
        runs = [self.members.run(), *([self.relay.run()] if relays else [])]
        self.tasks = [asyncio.ensure_future(run) for run in runs]

    @property
    def weight(self) -> float | None:
        """The weight of the team that is written in the trials."""
        team = self.configuration.get(Kind.TEAM, "maps")
        return team["spec"]["weight"] if team else None

    async def put(self, weight: float) -> Any:
        """Declare the team."""
        resource = {
            "kind": "team",
            "metadata": {"name": "maps"},
            "spec": {"quota": {"processors": 1}, "weight": weight},
        }
        return await self.relay.put(Kind.TEAM, resource, None)


class Fleet:
    """Daemons in zones; three zones make a region."""

    def __init__(
        self, zones: int, daemons: int, relays: bool = True, seed: int = 0
    ) -> None:
        self.random = Random(seed)
        self.clock = LoopClock()
        self.switch = PeerSwitch(self.clock)
        self.switch.delay = self.switch.jitter = LINK_DELAY
        self.store = MemoryStore(self.clock)
        self.store.faults.delay = STORE_DELAY
        self.calls: Counter[str] = Counter()
        self.nodes: dict[str, Node] = {}
        for zone in range(zones):
            for number in range(daemons):
                name = f"d{zone}{number}"
                self.nodes[name] = Node(self, name, f"z{zone}", relays)

    def stop(self) -> None:
        """End all daemons."""
        for name in list(self.nodes):
            self.kill(name)

    def kill(self, name: str) -> None:
        """End a daemon without a word."""
        for task in self.nodes.pop(name).tasks:
            task.cancel()
        self.switch.disconnect(name)

    def list_zone(self, zone: str) -> list[Node]:
        """Return the daemons of a zone."""
        return [node for node in self.nodes.values() if node.zone == zone]

    def cut_off(self, zone: str, from_peers: bool) -> None:
        """Cut a zone off from the store, and from the other zones if asked."""
        inside = [node.name for node in self.list_zone(zone)]
        self.store.faults.cut_off.update(inside)
        for name in inside if from_peers else ():
            for other in self.nodes.values():
                if other.zone != zone:
                    self.switch.cut_both(name, other.name)

    def heal(self) -> None:
        """Let everything be reached again."""
        self.store.faults.cut_off.clear()
        self.switch.heal_all()

    async def measure(self, weight: float) -> dict[str, float]:
        """Return the seconds until ``weight`` is in force, and told so, everywhere."""
        loop = asyncio.get_running_loop()
        start, found = loop.time(), {}
        while loop.time() - start < LIMIT:
            passed = round(loop.time() - start, 3)
            nodes = self.nodes.values()
            if all(node.weight == weight for node in nodes):
                found.setdefault("in_force", passed)
            asked = next(iter(nodes)).relay.read_in_force(self.lowest)
            if (await asked).is_everywhere and "in_force" in found:
                return {"in_force": found["in_force"], "told": passed}
            await asyncio.sleep(STEP)
        return {"in_force": found.get("in_force", LIMIT), "told": LIMIT}

    async def wait(self, seconds: float) -> None:
        """Wait, and up to two seconds more, so that phases differ."""
        await asyncio.sleep(seconds + 2 * self.random.random())

    async def write(self, name: str, weight: float) -> None:
        """Write on one daemon and note the revision."""
        done = await self.nodes[name].put(weight)
        assert isinstance(done, Declared), done
        self.lowest = done.resource["metadata"]["revision"]


Scenario = Callable[[Fleet], Awaitable[dict[str, float]]]
SCENARIOS: dict[str, Scenario] = {}


def scenario(function: Scenario) -> Scenario:
    """Register a scenario under its function's name."""
    SCENARIOS[function.__name__] = function
    return function


@scenario
async def all_well(fleet: Fleet) -> dict[str, float]:
    """Nothing fails."""
    await fleet.write("d00", 2.0)
    return await fleet.measure(2.0)


@scenario
async def writer_dead(fleet: Fleet) -> dict[str, float]:
    """The accepting daemon dies before it tells anybody; the store alone knows."""
    for other in fleet.nodes.values():
        fleet.switch.cut_both("d00", other.name)
    await fleet.write("d00", 2.0)
    fleet.kill("d00")
    return await fleet.measure(2.0)


@scenario
async def one_watcher_dead(fleet: Fleet) -> dict[str, float]:
    """One watcher of another zone dies at the moment of the write."""
    fleet.kill(next(n.name for n in fleet.list_zone("z1") if n.relay.is_watcher()))
    await fleet.write("d00", 2.0)
    return await fleet.measure(2.0)


@scenario
async def both_watchers_dead(fleet: Fleet) -> dict[str, float]:
    """Both watchers of another zone die at the moment of the write."""
    for node in fleet.list_zone("z1"):
        if node.relay.is_watcher():
            fleet.kill(node.name)
    await fleet.write("d00", 2.0)
    return await fleet.measure(2.0)


@scenario
async def watchers_and_writer_dead(fleet: Fleet) -> dict[str, float]:
    """The same, and the accepting daemon dies before it tells anybody."""
    for node in fleet.list_zone("z1"):
        if node.relay.is_watcher():
            fleet.kill(node.name)
    return await writer_dead(fleet)


@scenario
async def zone_without_store(fleet: Fleet) -> dict[str, float]:
    """A zone doesn't reach the store, but its peers."""
    fleet.cut_off("z1", from_peers=False)
    await fleet.wait(CUT_SECONDS)
    await fleet.write("d00", 2.0)
    return await fleet.measure(2.0)


@scenario
async def zone_healed(fleet: Fleet) -> dict[str, float]:
    """A zone was cut off from everything while others wrote; counted from healing."""
    fleet.cut_off("z1", from_peers=True)
    for weight in (2.0, 3.0, 4.0):
        await fleet.write("d00", weight)
        await fleet.wait(CUT_SECONDS / 3)
    fleet.heal()
    return await fleet.measure(4.0)


@scenario
async def after_outage(fleet: Fleet) -> dict[str, float]:
    """The store was down; a write follows at once when it is back."""
    fleet.store.faults.outage = True
    await fleet.wait(CUT_SECONDS)
    fleet.store.faults.outage = False
    await fleet.write("d00", 2.0)
    return await fleet.measure(2.0)


def run(quick: bool = False) -> dict[str, Any]:
    """Run all scenarios; seconds of virtual time, except processor time."""
    zones, trials = (3, 2) if quick else (9, TRIALS)
    figures: dict[str, Any] = {"zones": zones, "daemons": 3 * zones, "trials": trials}
    for name, function in SCENARIOS.items():
        found = [run_virtual(_try(function, zones, n)) for n in range(trials)]
        figures[name] = {
            key: {
                "p50": statistics.median(each[key] for each in found),
                "max": max(each[key] for each in found),
            }
            for key in ("in_force", "told")
        }
    figures["idle"] = _measure_idle(zones)
    figures["memory"] = _measure_memory(500 if quick else 2000)
    figures["watches"] = run_virtual(_measure_watches(50 if quick else 200))
    return figures


async def _try(function: Scenario, zones: int, trial: int) -> dict[str, float]:
    fleet = Fleet(zones, 3, seed=trial)
    await fleet.wait(15)
    await fleet.write("d00", 1.0)
    await fleet.wait(3)
    try:
        return await function(fleet)
    finally:
        fleet.stop()


def _measure_idle(zones: int) -> dict[str, Any]:
    """Return what the relay costs while nothing changes, for each daemon."""
    spent = {}
    for relays in (False, True):
        before = time.process_time()
        calls, outage = run_virtual(_idle(zones, relays))
        spent[relays] = time.process_time() - before
    seconds = 2 * IDLE_SECONDS * 3 * zones
    return {
        "store_calls_a_second": sum(calls.values()) / IDLE_SECONDS,
        "store_calls_a_second_in_an_outage": sum(outage.values()) / IDLE_SECONDS,
        "processor_share_of_a_daemon": (spent[True] - spent[False]) / seconds,
    }


async def _idle(zones: int, relays: bool) -> tuple[Counter[str], Counter[str]]:
    fleet = Fleet(zones, 3, relays)
    await asyncio.sleep(15)
    fleet.calls.clear()
    await asyncio.sleep(IDLE_SECONDS)
    calls = fleet.calls.copy()
    fleet.store.faults.outage = True
    await asyncio.sleep(IDLE_SECONDS)
    outage = fleet.calls - calls
    fleet.stop()
    return calls, outage


def _make_event(name: str, revision: int) -> Event:
    size = {"processors": 1, "memory": 512}
    spec = {"team": "maps", "type": "batch", "size": size, "tasks": 4}
    metadata = {"name": name, "labels": {"revision": str(revision)}}
    resource = Resource(kind="workload", metadata=metadata, spec=spec)
    key = make_key(Kind.WORKLOAD, name)
    return Event(key, encode_resource(resource), revision)


def _change(configuration: Configuration, count: int) -> None:
    """Change one workload after the other."""
    for _ in range(count):
        base = configuration.revision
        event = _make_event(f"w-{base % 100}", base + 1)
        configuration.apply_changes(base, [event], base + 1)


def _measure_memory(workloads: int) -> dict[str, float]:
    """Return the megabytes of a configuration, and of its full history."""
    events = [_make_event(f"w-{n}", n + 1) for n in range(workloads)]
    tracemalloc.start()
    configuration = Configuration()
    configuration.apply_snapshot(events, workloads)
    whole = tracemalloc.get_traced_memory()[0]
    _change(configuration, HISTORY_LIMIT)
    both = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "workloads": workloads,
        "configuration_mb": whole / 1e6,
        "history_mb": (both - whole) / 1e6,
    }


async def _measure_watches(readers: int) -> dict[str, float]:
    """Return the processor time for each line that a watcher is sent."""
    configuration, clock = Configuration(), LoopClock()
    configuration.apply_snapshot((), 0)
    lines = [
        stream_lines(
            HistoryReader(configuration.history, 0, clock),
            Kind.WORKLOAD,
            lambda _: True,
            "",
        )
        for _ in range(readers)
    ]
    sent = 0
    began = time.process_time()
    for _ in range(CHANGES):
        _change(configuration, 1)
        for each in lines:
            line = await anext(each)
            while line["type"] == "BOOKMARK":
                line = await anext(each)
            sent += len(msgspec.json.encode(line)) > 0
    spent = time.process_time() - began
    return {"readers": readers, "us_a_line": 1e6 * spent / sent}
