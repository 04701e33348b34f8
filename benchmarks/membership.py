"""Measures the cost of membership and ownership, and the gaps between two owners.

Messages, bytes and times are those of the real modules with a manual clock and
simulated platform and peers. Processor time is measured with real streams on loopback
and the system clock, with all daemons in one process.
"""

import asyncio
import itertools
import statistics
import time
from collections import Counter
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

from damaskdeck.clock import Clock, SystemClock
from damaskdeck.coordination.members.membership import Membership
from damaskdeck.coordination.members.ownership import StoreOwnership
from damaskdeck.protocol.members import Member
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.ports import Store
from damaskdeck.transport.peers import PeerNetwork
from standins.clock import ManualClock
from standins.peers import PeerSwitch
from standins.store import MemoryStore

MEMBER_COUNTS = (3, 6, 12, 27)
DAEMONS_PER_ZONE = 3
WORKERS_PER_ZONE = 88
TARGETS_PER_ZONE = 3
LEDGER_COUNT = 4
REPORT_BYTES = 1024
STORE_DELAY = timedelta(milliseconds=5)
PEER_DELAY = timedelta(milliseconds=1)
WARM_UP = timedelta(seconds=15)
TOKEN = "token-of-the-benchmark"


class Daemon(NamedTuple):
    """The measured parts of a daemon."""

    members: Membership
    ownership: StoreOwnership
    tasks: list[asyncio.Task[None]]


class Deployment:
    """Daemons in zones of three, with workers, targets and ledgers."""

    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.store.faults.delay = STORE_DELAY
        self.switch = PeerSwitch(self.clock)
        self.switch.delay = PEER_DELAY
        self.daemons = [
            start_daemon(
                member, self.switch.connect(member.name), self.store, self.clock
            )
            for member in make_members(size)
        ]

    async def advance(self, duration: timedelta) -> None:
        """Advance the clock; each daemon publishes a new report every second."""
        for _ in range(round(duration / timedelta(seconds=1))):
            publish(self.daemons)
            await self.clock.advance(timedelta(seconds=1))

    async def measure_gap(
        self, owner: Daemon, shards: tuple[str, ...], step: timedelta
    ) -> float:
        """Return the seconds during which some of ``shards`` had no owner.

        :param owner: the daemon that stops, or hands its shards over.
        :param step: resolution of the measurement.
        """
        others = [daemon for daemon in self.daemons if daemon is not owner]
        started_at = self.clock.monotonic()
        while not have_owners(others, shards):
            if not owner.tasks[0].cancelling() and have_owners([owner], shards):
                started_at = self.clock.monotonic()
            await self.clock.advance(step)
        return (self.clock.monotonic() - started_at).total_seconds()

    async def close(self) -> None:
        """Stop all daemons."""
        stop(self.daemons)
        self.switch.close()
        await asyncio.sleep(0)


def have_owners(daemons: list[Daemon], shards: tuple[str, ...]) -> bool:
    """Return whether each of ``shards`` has an owner among the daemons."""
    return all(
        any(daemon.ownership.get_epoch(shard) is not None for daemon in daemons)
        for shard in shards
    )


def make_members(size: int) -> Iterator[Member]:
    """Yield ``size`` members in zones of three."""
    for index in range(size):
        zone = f"zone-{index // DAEMONS_PER_ZONE}"
        name = f"entry-{index:02}"
        address = f"10.0.{index}.1:7400"
        yield Member(name, zone, "region-1", address, address, f"{name}-1a2b3c4d")


def start_daemon(
    member: Member, peers: Peers, store: MemoryStore, clock: Clock
) -> Daemon:
    """Start the membership and ownership of one daemon."""
    client: Store = store.connect(member.name)
    members = Membership(member, peers, client, clock)
    ownership = StoreOwnership(members, peers, client, clock)
    scopes = {"worker": WORKERS_PER_ZONE, "target": TARGETS_PER_ZONE}
    for scope, count in scopes.items():
        names = tuple(f"{member.zone}-{scope}-{index:03}" for index in range(count))
        ownership.set_shards(scope, names)
    ownership.set_shards(
        "ledger", tuple(f"{index:02}" for index in range(LEDGER_COUNT))
    )
    runs = (members.run(), ownership.run())
    return Daemon(members, ownership, [asyncio.ensure_future(run) for run in runs])


def publish(daemons: list[Daemon]) -> None:
    """Publish a new report of each daemon."""
    for daemon in daemons:
        stamp = str(time.monotonic_ns()).encode()
        daemon.members.publish("load", stamp.ljust(REPORT_BYTES, b"."))


def stop(daemons: list[Daemon]) -> None:
    """Cancel all tasks of the daemons."""
    for daemon in daemons:
        for task in daemon.tasks:
            task.cancel()


async def measure_traffic(size: int, duration: timedelta) -> dict[str, Any]:
    """Measure messages, bytes and calls to the store per daemon and second."""
    deployment = Deployment(size)
    await deployment.advance(WARM_UP)
    switch, store = deployment.switch, deployment.store
    messages, sent = Counter(switch.messages), Counter(switch.bytes)
    calls = Counter(store.calls)
    await deployment.advance(duration)
    seconds = duration.total_seconds()
    names = [daemon.members.self.name for daemon in deployment.daemons]
    rates = [(switch.messages[name] - messages[name]) / seconds for name in names]
    sizes = [(switch.bytes[name] - sent[name]) / seconds for name in names]
    live = min(len(daemon.members.list_live()) for daemon in deployment.daemons)
    await deployment.close()
    return {
        "messages_per_second_mean": round(statistics.mean(rates), 1),
        "messages_per_second_max": round(max(rates), 1),
        "bytes_per_second_mean": round(statistics.mean(sizes)),
        "bytes_per_second_max": round(max(sizes)),
        "store_calls_per_second": {
            kind: round((count - calls[kind]) / seconds / size, 2)
            for kind, count in sorted(store.calls.items())
            if count > calls[kind]
        },
        "live_members_seen_min": live,
    }


async def measure_gaps(
    trials: int, stop_owner: Callable[[Deployment, Daemon], None], step: timedelta
) -> dict[str, float]:
    """Measure the seconds from an owner's end until other daemons own its shards.

    Each trial stops the owner in another phase of its heartbeats.

    :param stop_owner: ends the owner.
    """
    gaps = []
    for trial in range(trials):
        deployment = Deployment(DAEMONS_PER_ZONE)
        await deployment.advance(WARM_UP)
        await deployment.clock.advance(timedelta(milliseconds=137 * trial))
        daemon = deployment.daemons[trial % DAEMONS_PER_ZONE]
        owner = daemon.ownership
        shards = owner.list_owned("worker") + owner.list_owned("ledger")
        stop_owner(deployment, daemon)
        gaps.append(await deployment.measure_gap(daemon, shards, step))
        await deployment.close()
    return {"median": statistics.median(gaps), "max": max(gaps), "trials": trials}


def kill(deployment: Deployment, daemon: Daemon) -> None:
    """Kill a daemon without a graceful shutdown."""
    stop([daemon])
    deployment.switch.disconnect(daemon.members.self.name)


def drain(deployment: Deployment, daemon: Daemon) -> None:
    """Start the handover of all shards of a daemon."""
    daemon.tasks.append(asyncio.ensure_future(daemon.ownership.drain()))


async def measure_processor(size: int, seconds: float) -> dict[str, Any]:
    """Measure the processor time per daemon with real streams on loopback."""
    clock = SystemClock()
    store = MemoryStore(clock)
    daemons: list[Daemon] = []
    networks = []
    for member in make_members(size):
        network = PeerNetwork(
            member.name, "127.0.0.1", 0, TOKEN, clock, _make_finder(daemons, networks)
        )
        await network.start()
        networks.append(network)
        member = member._replace(peer_address=network.address)
        daemons.append(start_daemon(member, network, store, clock))
    await asyncio.sleep(seconds)
    started_at, used = time.monotonic(), time.process_time()
    for _ in range(int(seconds)):
        publish(daemons)
        await asyncio.sleep(1)
    share = (time.process_time() - used) / (time.monotonic() - started_at) / size
    live = min(len(daemon.members.list_live()) for daemon in daemons)
    stop(daemons)
    await asyncio.gather(*(network.close() for network in networks))
    return {
        "processor_percent_per_daemon": round(100 * share, 2),
        "live_members_seen_min": live,
    }


def _make_finder(
    daemons: list[Daemon], networks: list[PeerNetwork]
) -> Callable[[str], str | None]:
    index = len(networks)
    return lambda name: daemons[index].members.find_address(name)


def measure_heartbeat(rounds: int) -> dict[str, float]:
    """Measure the processor time of writing and of handling one heartbeat."""

    async def measure() -> dict[str, float]:
        deployment = Deployment(27)
        await deployment.advance(WARM_UP)
        one, other = (daemon.members for daemon in deployment.daemons[:2])
        peer_state = one._peer_states[other.self.name]
        now = deployment.clock.monotonic()
        writing_us = _measure_microseconds(
            lambda: one._write_heartbeat(peer_state, now), rounds
        )
        heartbeat = one._write_heartbeat(peer_state, now)
        started_at = time.process_time()
        for sequence_number in itertools.islice(itertools.count(10_000), rounds):
            heartbeat["number"] = sequence_number
            await other._handle_heartbeat(one.self.name, heartbeat)
        handling_us = (time.process_time() - started_at) / rounds * 1e6
        await deployment.close()
        return {"write_us": round(writing_us, 1), "take_us": round(handling_us, 1)}

    return asyncio.run(measure())


def _measure_microseconds(operation: Callable[[], object], rounds: int) -> float:
    started_at = time.process_time()
    for _ in range(rounds):
        operation()
    return (time.process_time() - started_at) / rounds * 1e6


def run(quick: bool) -> dict[str, Any]:
    """Run all measurements, in less than 30 s, or less than 10 s if quick.

    :param quick: whether to measure fewer members and trials.
    """
    sizes = MEMBER_COUNTS[:2] if quick else MEMBER_COUNTS
    duration = timedelta(seconds=10 if quick else 20)
    trials = 3 if quick else 12
    return {
        "traffic_by_members": {
            str(size): asyncio.run(measure_traffic(size, duration)) for size in sizes
        },
        "processor_by_members": {
            str(size): asyncio.run(measure_processor(size, 2 if quick else 5))
            for size in (sizes[0], sizes[-1])
        },
        "heartbeat": measure_heartbeat(200 if quick else 2000),
        "takeover_seconds": asyncio.run(
            measure_gaps(trials, kill, timedelta(milliseconds=50))
        ),
        "handover_seconds": asyncio.run(
            measure_gaps(trials, drain, timedelta(milliseconds=1))
        ),
    }
