"""Measures the time until a change is in force everywhere, and the relay's cost."""

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

PEER_DELAY = timedelta(milliseconds=1)
STORE_DELAY = timedelta(milliseconds=5)
POLL_SECONDS = 0.02
WAIT_LIMIT_SECONDS = 30.0
CUT_OFF_SECONDS = 45
IDLE_SECONDS = 40
TRIALS = 5
CHANGE_COUNT = 50


class CountingStore:
    """A client of the store that counts calls by operation."""

    def __init__(self, client: Any, calls: Counter[str]) -> None:
        self._client = client
        self._calls = calls

    def __getattr__(self, name: str) -> Any:
        """Return the client's operation of that name, with its calls counted."""
        operation = getattr(self._client, name)

        async def call(*args: Any, **kwargs: Any) -> Any:
            self._calls[name] += 1
            return await operation(*args, **kwargs)

        return call


class Node:
    """The membership and the configuration of one daemon.

    :param has_relay: whether the daemon runs its configuration relay.
    """

    def __init__(self, fleet: "Fleet", name: str, zone: str, has_relay: bool) -> None:
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
            CountingStore(client, fleet.calls),
            fleet.clock,
        )
        runs = [self.members.run(), *([self.relay.run()] if has_relay else [])]
        self.tasks = [asyncio.ensure_future(run) for run in runs]

    @property
    def weight(self) -> float | None:
        """The weight in force of the team that the scenarios write, None before."""
        team = self.configuration.get(Kind.TEAM, "maps")
        return team["spec"]["weight"] if team else None

    async def put(self, weight: float) -> Any:
        """Declare the team with a weight."""
        resource = {
            "kind": "team",
            "metadata": {"name": "maps"},
            "spec": {"quota": {"processors": 1}, "weight": weight},
        }
        return await self.relay.put(Kind.TEAM, resource, None)


class Fleet:
    """Daemons in zones, with three zones in each region."""

    def __init__(
        self, zones: int, daemons: int, has_relay: bool = True, seed: int = 0
    ) -> None:
        self.random = Random(seed)
        self.clock = LoopClock()
        self.switch = PeerSwitch(self.clock)
        self.switch.delay = self.switch.jitter = PEER_DELAY
        self.store = MemoryStore(self.clock)
        self.store.faults.delay = STORE_DELAY
        self.calls: Counter[str] = Counter()
        self.nodes: dict[str, Node] = {}
        for zone in range(zones):
            for number in range(daemons):
                name = f"d{zone}{number}"
                self.nodes[name] = Node(self, name, f"z{zone}", has_relay)

    def stop(self) -> None:
        """Kill all daemons."""
        for name in list(self.nodes):
            self.kill(name)

    def kill(self, name: str) -> None:
        """Kill a daemon without a graceful shutdown."""
        for task in self.nodes.pop(name).tasks:
            task.cancel()
        self.switch.disconnect(name)

    def list_zone(self, zone: str) -> list[Node]:
        """Return the daemons of a zone."""
        return [node for node in self.nodes.values() if node.zone == zone]

    def cut_off(self, zone: str, from_peers: bool) -> None:
        """Disconnect a zone from the store.

        :param from_peers: whether to disconnect it from the other zones as well.
        """
        zone_daemons = [node.name for node in self.list_zone(zone)]
        self.store.faults.cut_off.update(zone_daemons)
        for name in zone_daemons if from_peers else ():
            for other in self.nodes.values():
                if other.zone != zone:
                    self.switch.cut_both(name, other.name)

    def heal(self) -> None:
        """Reconnect the store and all peers."""
        self.store.faults.cut_off.clear()
        self.switch.heal_all()

    async def measure(self, weight: float) -> dict[str, float]:
        """Return the seconds until ``weight`` is in force everywhere.

        :returns: the seconds until all daemons have it (``in_force``), and until a
            daemon reports so (``told``); at most ``WAIT_LIMIT_SECONDS``.
        """
        loop = asyncio.get_running_loop()
        start, found = loop.time(), {}
        while loop.time() - start < WAIT_LIMIT_SECONDS:
            elapsed = round(loop.time() - start, 3)
            nodes = self.nodes.values()
            if all(node.weight == weight for node in nodes):
                found.setdefault("in_force", elapsed)
            status_request = next(iter(nodes)).relay.read_in_force(
                self.written_revision
            )
            if (await status_request).is_everywhere and "in_force" in found:
                return {"in_force": found["in_force"], "told": elapsed}
            await asyncio.sleep(POLL_SECONDS)
        return {
            "in_force": found.get("in_force", WAIT_LIMIT_SECONDS),
            "told": WAIT_LIMIT_SECONDS,
        }

    async def wait(self, seconds: float) -> None:
        """Wait, with up to two seconds of jitter so that trials differ in phase."""
        await asyncio.sleep(seconds + 2 * self.random.random())

    async def write(self, name: str, weight: float) -> None:
        """Write through one daemon and store the revision."""
        reply = await self.nodes[name].put(weight)
        assert isinstance(reply, Declared), reply
        self.written_revision = reply.resource["metadata"]["revision"]


Scenario = Callable[[Fleet], Awaitable[dict[str, float]]]
SCENARIOS: dict[str, Scenario] = {}


def scenario(function: Scenario) -> Scenario:
    """Register a scenario; the name of its function labels its figures."""
    SCENARIOS[function.__name__] = function
    return function


@scenario
async def all_well(fleet: Fleet) -> dict[str, float]:
    """Nothing fails."""
    await fleet.write("d00", 2.0)
    return await fleet.measure(2.0)


@scenario
async def writer_dead(fleet: Fleet) -> dict[str, float]:
    """The accepting daemon dies before it notifies any peer; only the store knows."""
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
    """Both watchers of another zone die, and the accepting daemon as well."""
    for node in fleet.list_zone("z1"):
        if node.relay.is_watcher():
            fleet.kill(node.name)
    return await writer_dead(fleet)


@scenario
async def zone_without_store(fleet: Fleet) -> dict[str, float]:
    """A zone can reach its peers, but not the store."""
    fleet.cut_off("z1", from_peers=False)
    await fleet.wait(CUT_OFF_SECONDS)
    await fleet.write("d00", 2.0)
    return await fleet.measure(2.0)


@scenario
async def zone_healed(fleet: Fleet) -> dict[str, float]:
    """A zone was disconnected while others wrote; measured from its reconnection."""
    fleet.cut_off("z1", from_peers=True)
    for weight in (2.0, 3.0, 4.0):
        await fleet.write("d00", weight)
        await fleet.wait(CUT_OFF_SECONDS / 3)
    fleet.heal()
    return await fleet.measure(4.0)


@scenario
async def after_outage(fleet: Fleet) -> dict[str, float]:
    """The store was down, and a write follows as soon as it is up again."""
    fleet.store.faults.outage = True
    await fleet.wait(CUT_OFF_SECONDS)
    fleet.store.faults.outage = False
    await fleet.write("d00", 2.0)
    return await fleet.measure(2.0)


def run(quick: bool = False) -> dict[str, Any]:
    """Run all scenarios.

    Figures are seconds of virtual time, except for processor time.

    :param quick: whether to use fewer zones and trials.
    """
    zones, trials = (3, 2) if quick else (9, TRIALS)
    figures: dict[str, Any] = {"zones": zones, "daemons": 3 * zones, "trials": trials}
    for name, function in SCENARIOS.items():
        found = [run_virtual(_run_trial(function, zones, n)) for n in range(trials)]
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


async def _run_trial(function: Scenario, zones: int, trial: int) -> dict[str, float]:
    fleet = Fleet(zones, 3, seed=trial)
    await fleet.wait(15)
    await fleet.write("d00", 1.0)
    await fleet.wait(3)
    try:
        return await function(fleet)
    finally:
        fleet.stop()


def _measure_idle(zones: int) -> dict[str, Any]:
    """Return the relay's cost while nothing changes.

    Store calls are those of all daemons, processor time is that of one.
    """
    processor_seconds = {}
    for has_relay in (False, True):
        before = time.process_time()
        calls, outage = run_virtual(_count_idle_calls(zones, has_relay))
        processor_seconds[has_relay] = time.process_time() - before
    seconds = 2 * IDLE_SECONDS * 3 * zones
    return {
        "store_calls_a_second": sum(calls.values()) / IDLE_SECONDS,
        "store_calls_a_second_in_an_outage": sum(outage.values()) / IDLE_SECONDS,
        "processor_share_of_a_daemon": (
            processor_seconds[True] - processor_seconds[False]
        )
        / seconds,
    }


async def _count_idle_calls(
    zones: int, has_relay: bool
) -> tuple[Counter[str], Counter[str]]:
    fleet = Fleet(zones, 3, has_relay)
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


def _change_workloads(configuration: Configuration, count: int) -> None:
    """Change ``count`` workloads, one after another."""
    for _ in range(count):
        base = configuration.revision
        event = _make_event(f"w-{base % 100}", base + 1)
        configuration.apply_changes(base, [event], base + 1)


def _measure_memory(workloads: int) -> dict[str, float]:
    """Return the megabytes of a configuration, and of its complete history."""
    events = [_make_event(f"w-{n}", n + 1) for n in range(workloads)]
    tracemalloc.start()
    configuration = Configuration()
    configuration.apply_snapshot(events, workloads)
    configuration_bytes = tracemalloc.get_traced_memory()[0]
    _change_workloads(configuration, HISTORY_LIMIT)
    total_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "workloads": workloads,
        "configuration_mb": configuration_bytes / 1e6,
        "history_mb": (total_bytes - configuration_bytes) / 1e6,
    }


async def _measure_watches(readers: int) -> dict[str, float]:
    """Return the processor time per line that is sent to a watching client."""
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
    for _ in range(CHANGE_COUNT):
        _change_workloads(configuration, 1)
        for each in lines:
            line = await anext(each)
            while line["type"] == "BOOKMARK":
                line = await anext(each)
            sent += len(msgspec.json.encode(line)) > 0
    processor_seconds = time.process_time() - began
    return {"readers": readers, "us_a_line": 1e6 * processor_seconds / sent}
