"""Daemons for tests of the configuration, with a shared clock, switch and store."""

import asyncio
from collections import defaultdict
from collections.abc import Coroutine, Mapping
from datetime import timedelta
from typing import Any

from damaskdeck.coordination.configuration.relay import ConfigurationRelay
from damaskdeck.protocol.members import Member, Report
from damaskdeck.protocol.ports import Events, Listing
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.state.configuration import Configuration
from standins.clock import ManualClock, settle
from standins.peers import PeerSwitch
from standins.store import MemoryStore


def make_team(name: str = "maps", weight: float = 1.0) -> dict[str, Any]:
    """Return a team as an operator declares it."""
    quota = {"processors": 100, "memory": 100_000, "accelerators": 8}
    spec = {"quota": quota, "weight": weight}
    return {"kind": "team", "metadata": {"name": name}, "spec": spec}


def make_workload(name: str = "tiles", **fields: Any) -> dict[str, Any]:
    """Return a workload as an operator declares it."""
    size = {"processors": 1, "memory": 512}
    spec = {"team": "maps", "type": "batch", "size": size, **fields}
    return {"kind": "workload", "metadata": {"name": name}, "spec": spec}


class HeartbeatBoard:
    """Delivers the reports in heartbeats to the other daemons, unless a link is cut."""

    def __init__(self, switch: PeerSwitch, clock: ManualClock) -> None:
        self.switch = switch
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.dead: set[str] = set()
        self.reports: dict[str, dict[str, dict[str, Report]]] = defaultdict(
            lambda: defaultdict(dict)
        )

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether heartbeats of ``sender`` arrive at ``receiver``."""
        cuts = self.switch._cuts
        return sender not in self.dead and (sender, receiver) not in cuts


class HeartbeatBoardMembers:
    """Implements ``Members`` over a :class:`HeartbeatBoard`; cuts show at once."""

    def __init__(self, board: HeartbeatBoard, name: str) -> None:
        self._board = board
        self._name = name

    @property
    def self(self) -> Member:
        return self._board.members[self._name]

    def list_live(self, zone: str = "") -> tuple[Member, ...]:
        members = sorted(self._board.members.items())
        return tuple(m for n, m in members if self.is_alive(n) and zone in ("", m.zone))

    def is_alive(self, name: str) -> bool:
        return name == self._name or (
            name in self._board.members and self._board.reaches(name, self._name)
        )

    def publish(self, topic: str, value: bytes) -> None:
        report = Report(self._name, value, self._board.clock.monotonic())
        for receiver in self._board.members:
            if self._board.reaches(self._name, receiver):
                self._board.reports[receiver][topic][self._name] = report

    def read_reports(self, topic: str) -> Mapping[str, Report]:
        reports = self._board.reports[self._name][topic]
        return {name: r for name, r in reports.items() if self.is_alive(name)}


class LaggingStore:
    """A store client whose lists may be stale.

    :param old: the answer to all lists while it is set.
    """

    def __init__(self, client: Any) -> None:
        self._client = client
        self.old: Listing | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    async def list(self, prefix: str) -> Any:
        found = await self._client.list(prefix)
        return self.old if self.old and isinstance(found, Listing) else found

    async def watch(self, prefix: str, revision: int, wait: timedelta) -> Any:
        if self.old is not None:
            await self._client.watch(prefix, 1 << 40, wait)
            return Events((), self.old.revision)
        return await self._client.watch(prefix, revision, wait)


class Daemon:
    """One daemon's configuration and relay."""

    def __init__(self, cluster: "Cluster", name: str, zone: str) -> None:
        self.cluster = cluster
        self.name = name
        self.zone = zone
        board = cluster.board
        board.members[name] = Member(name, zone, "r", name, name, "1")
        board.dead.discard(name)
        for topics in board.reports.values():
            for reports in topics.values():
                reports.pop(name, None)
        board.reports.pop(name, None)
        self.store = LaggingStore(cluster.store.connect(name))
        self.members = HeartbeatBoardMembers(board, name)
        self.configuration = Configuration()
        self.seen: list[int] = []
        self.weights: list[float] = []
        self.configuration.subscribe(self._record_change)
        self.relay = ConfigurationRelay(
            self.configuration,
            self.members,
            cluster.switch.connect(name),
            self.store,
            cluster.clock,
        )
        self.task = asyncio.ensure_future(self.relay.run())

    def _record_change(self, kind: Kind, name: str, resource: Resource | None) -> None:
        self.seen.append(self.configuration.revision)
        if resource is not None and kind is Kind.TEAM:
            self.weights.append(resource["spec"]["weight"])

    @property
    def weight(self) -> float | None:
        """The weight of team ``maps`` that is in force here."""
        team = self.configuration.get(Kind.TEAM, "maps")
        return team["spec"]["weight"] if team else None

    async def put_weight(self, weight: float, expected: int | None = None) -> Any:
        """Declare team ``maps`` with a weight."""
        return await self.relay.put(Kind.TEAM, make_team(weight=weight), expected)

    async def kill(self) -> None:
        """Kill the process."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.cluster.switch.disconnect(self.name)
        self.cluster.board.dead.add(self.name)


class Cluster:
    """Daemons in zones, over one switch and one store."""

    def __init__(self, *zones: int) -> None:
        self.clock = ManualClock()
        self.switch = PeerSwitch(self.clock)
        self.board = HeartbeatBoard(self.switch, self.clock)
        self.store = MemoryStore(self.clock)
        self.daemons: dict[str, Daemon] = {}
        for index, count in enumerate(zones):
            for number in range(count):
                self.start(f"d{index}{number}", f"z{index}")

    def __getitem__(self, name: str) -> Daemon:
        return self.daemons[name]

    def start(self, name: str, zone: str) -> Daemon:
        """Start a daemon without any state."""
        self.daemons[name] = Daemon(self, name, zone)
        return self.daemons[name]

    async def pass_time(self, seconds: float) -> None:
        """Advance the clock."""
        await self.clock.advance(timedelta(seconds=seconds))

    async def finish(self, work: Coroutine[Any, Any, Any], seconds: float) -> Any:
        """Return the result of ``work``, which must end within ``seconds``."""
        task = asyncio.ensure_future(work)
        await self.pass_time(seconds)
        return task.result()

    async def stop(self) -> None:
        """Stop all daemons."""
        for daemon in self.daemons.values():
            if not daemon.task.done():
                await daemon.kill()

    def cut_off_from_store(self, zone: str) -> None:
        """Make the store unreachable from a zone."""
        names = {d.name for d in self.daemons.values() if d.zone == zone}
        self.store.faults.cut_off.update(names)

    def cut_off(self, zone: str) -> None:
        """Cut a zone off from the other zones."""
        for first in self.daemons.values():
            for second in self.daemons.values():
                if first.zone == zone != second.zone:
                    self.switch.cut_both(first.name, second.name)

    def find_watchers(self, zone: str) -> list[Daemon]:
        """Return the daemons of a zone that watch the store."""
        live = [d for d in self.daemons.values() if not d.task.done()]
        return [d for d in live if d.zone == zone and d.relay.is_watcher()]

    async def measure(
        self, weight: float, step: float = 0.1, limit: float = 10
    ) -> float:
        """Return how many seconds pass until all live daemons have ``weight``."""
        passed = 0.0
        await settle()
        while not all(
            d.weight == weight for d in self.daemons.values() if not d.task.done()
        ):
            if passed >= limit:
                raise AssertionError(f"not in force after {limit} s")
            await self.pass_time(step)
            passed += step
        return round(passed, 3)
