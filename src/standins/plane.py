"""Task planes of several daemons in one process; the test assigns the owners."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, Self

from damaskdeck.coordination.jobs.ledgerowner import LedgerOwner
from damaskdeck.coordination.workers.fleet import Fleet
from damaskdeck.coordination.workers.hosting import WorkerHost
from damaskdeck.protocol.handlers import (
    FINAL_JOB_STATES,
    ConfigurationHandler,
    JobView,
)
from damaskdeck.protocol.members import Member, Owner, OwnershipHandler, Report
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.names import format_ledger_name
from standins.loops import LoopClock
from standins.peers import PeerSwitch
from standins.platform import Platform

WORKER_SIZE = Size(4000, 8000, 0)


class Registry:
    """The owners of all shards, as assigned by the test."""

    def __init__(self) -> None:
        self.owners: dict[str, Owner] = {}
        self.daemons: dict[str, PlaneDaemon] = {}

    async def grant(self, shard: str, name: str) -> None:
        """Make a daemon the owner of a shard, under the next epoch."""
        previous = self.owners.get(shard)
        epoch = previous.epoch + 1 if previous else 1
        self.owners[shard] = Owner(name, epoch)
        await self.daemons[name].ownership.gain(shard, epoch)

    async def take_over(self, shard: str, name: str) -> None:
        """Reassign a shard without notifying its owner.

        The owner still acts as if it owned it, as after a pause.
        """
        await self.grant(shard, name)

    async def hand_over(self, shard: str, name: str) -> None:
        """Reassign a shard after its current owner has released it."""
        previous = self.owners[shard]
        if previous.instance in self.daemons:
            await self.daemons[previous.instance].ownership.lose(shard)
        await self.grant(shard, name)


class FixedOwnership:
    """One daemon's view of a :class:`Registry`; implements ``Ownership``."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.owned_epochs: dict[str, int] = {}
        self.gain_handlers: dict[str, OwnershipHandler] = {}
        self.loss_handlers: dict[str, OwnershipHandler] = {}

    def get_epoch(self, shard: str) -> int | None:
        """Return the epoch of a shard that this daemon considers its own."""
        return self.owned_epochs.get(shard)

    def find_owner(self, shard: str) -> Owner | None:
        """Return the owner according to the registry."""
        return self.registry.owners.get(shard)

    def list_owned(self, scope: str) -> tuple[str, ...]:
        """List the shards of ``scope`` that this daemon considers its own."""
        return tuple(t for t in self.owned_epochs if t.startswith(f"{scope}/"))

    def set_shards(self, scope: str, names: tuple[str, ...]) -> None:
        """Do nothing: the test decides which shards exist."""

    def on_gain(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler`` when a shard of ``scope`` is gained."""
        self.gain_handlers[scope] = handler

    def on_loss(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler`` when a shard of ``scope`` is lost."""
        self.loss_handlers[scope] = handler

    async def gain(self, shard: str, epoch: int) -> None:
        """Gain a shard; wait at most a second for the handler, which runs on.

        The handler does not return while the store is unreachable.
        """
        task = asyncio.ensure_future(self._finish_gain(shard, epoch))
        await asyncio.wait({task}, timeout=1)

    async def _finish_gain(self, shard: str, epoch: int) -> None:
        await self.gain_handlers[shard.partition("/")[0]](shard, epoch)
        self.owned_epochs[shard] = max(epoch, self.owned_epochs.get(shard, 0))

    async def lose(self, shard: str) -> None:
        """Lose a shard; do nothing if this daemon does not consider it its own."""
        epoch = self.owned_epochs.pop(shard, None)
        if epoch is not None:
            await self.loss_handlers[shard.partition("/")[0]](shard, epoch)


class FixedMembers:
    """The members of a :class:`Registry`; implements ``Members``."""

    def __init__(self, name: str, zone: str, plane: Plane) -> None:
        self.self = Member(name, zone, "r", "", "", "1")
        self.plane = plane

    def list_live(self, zone: str = "") -> tuple[Member, ...]:
        """List the daemons that have not been killed."""
        found = [d.members.self for d in self.plane.registry.daemons.values()]
        return tuple(m for m in found if zone in ("", m.zone))

    def is_alive(self, name: str) -> bool:
        """Whether a daemon has not been killed."""
        return name in self.plane.registry.daemons

    def publish(self, topic: str, value: bytes) -> None:
        """Deliver a report to all daemons immediately."""
        now = self.plane.clock.monotonic()
        reports = self.plane.reports.setdefault(topic, {})
        reports[self.self.name] = Report(self.self.name, value, now)

    def read_reports(self, topic: str) -> Mapping[str, Report]:
        """Return the latest report of each daemon."""
        return self.plane.reports.get(topic, {})


class FixedConfiguration:
    """The declared resources; implements ``ConfigurationReader``."""

    def __init__(self) -> None:
        self.resources: dict[tuple[Kind, str], Resource] = {}
        self.handlers: list[ConfigurationHandler] = []
        self.revision = 1

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Return a declared resource."""
        return self.resources.get((kind, name))

    def list(self, kind: Kind) -> tuple[Resource, ...]:
        """List the declared resources of a kind, in order of name."""
        return tuple(r for (k, _), r in sorted(self.resources.items()) if k is kind)

    def subscribe(self, handler: ConfigurationHandler) -> None:
        """Call ``handler`` on each change."""
        self.handlers.append(handler)

    def declare(self, kind: Kind, name: str, spec: dict[str, Any] | None) -> None:
        """Apply a resource immediately; without a ``spec`` it is deleted."""
        resource = None
        if spec is None:
            del self.resources[kind, name]
        else:
            resource = Resource(kind=kind.value, metadata={"name": name}, spec=spec)
            self.resources[kind, name] = resource
        for handler in self.handlers:
            handler(kind, name, resource)


class PlaneDaemon:
    """The task plane of one daemon."""

    def __init__(self, plane: Plane, name: str, zone: str) -> None:
        self.name = name
        ports = plane.platform.connect(name)
        self.peers = plane.switch.connect(name)
        self.ownership = FixedOwnership(plane.registry)
        self.members = FixedMembers(name, zone, plane)
        self.fleet = Fleet(ports.instances, plane.clock)
        self.host = WorkerHost(
            self.members,
            self.ownership,
            self.peers,
            ports.workers,
            self.fleet,
            plane.clock,
            checks_epochs=plane.checks_epochs,
            configuration=plane.configuration,
        )
        self.ledger_owner = LedgerOwner(
            self.members,
            self.ownership,
            self.peers,
            ports.store,
            plane.configuration,
            self.fleet,
            plane.clock,
            ledger_count=plane.ledgers,
        )
        self.tasks: list[asyncio.Future[None]] = []

    def die(self) -> None:
        """Cancel all tasks at once, as when the process is killed."""
        for task in self.tasks:
            task.cancel()
        for controller in self.ledger_owner.controllers.values():
            if controller._runner is not None:
                controller._runner.cancel()

    async def start(self) -> None:
        """Read the instance list once and start all loops."""
        await self.fleet.poll()
        self.tasks = [
            asyncio.ensure_future(self.fleet.run()),
            asyncio.ensure_future(self.host.run()),
            asyncio.ensure_future(self.ledger_owner.run()),
        ]


class Plane:
    """Daemons ``d1`` to ``dN``, workers ``w1`` to ``wN``, and a few ledgers."""

    def __init__(
        self,
        daemons: int = 2,
        workers: int = 2,
        size: Size = WORKER_SIZE,
        ledgers: int = 1,
    ) -> None:
        self.clock = LoopClock()
        self.checks_epochs = True
        self.ledgers = ledgers
        self.platform = Platform(self.clock)
        self.switch = PeerSwitch(self.clock)
        self.configuration = FixedConfiguration()
        self.registry = Registry()
        self.reports: dict[str, dict[str, Report]] = {}
        for index in range(workers):
            self.platform.add_worker(f"w{index + 1}", "z1", size, rack=f"r{index}")
        self.names = [f"d{index + 1}" for index in range(daemons)]

    async def start(self) -> Self:
        """Start all daemons; distribute the ledgers and workers round-robin."""
        for name in self.names:
            await self.add_daemon(name)
        for index, worker in enumerate(self.platform.workers):
            owner = self.names[index % len(self.names)]
            await self.registry.grant(f"worker/{worker}", owner)
        for index in range(self.ledgers):
            owner = self.names[index % len(self.names)]
            await self.registry.grant(f"ledger/{format_ledger_name(index)}", owner)
        return self

    async def add_daemon(self, name: str) -> None:
        """Start a daemon that does not own anything yet."""
        daemon = PlaneDaemon(self, name, "z1")
        self.registry.daemons[name] = daemon
        await daemon.start()

    async def kill(self, name: str) -> None:
        """Kill a daemon; the others take over once its lease has lapsed."""
        self.platform.cut_off(name)
        self.switch.disconnect(name)
        daemon = self.registry.daemons.pop(name)
        daemon.die()
        for reports in self.reports.values():
            reports.pop(name, None)
        await self.clock.sleep(timedelta(seconds=4))
        await self.redistribute(name)

    async def redistribute(self, name: str) -> None:
        """Distribute the shards of a daemon over the others round-robin."""
        others = sorted(other for other in self.registry.daemons if other != name)
        shards = [t for t, o in self.registry.owners.items() if o.instance == name]
        for index, shard in enumerate(sorted(shards)):
            await self.registry.grant(shard, others[index % len(others)])

    def declare(self, name: str = "batch", team: str = "team", **fields: Any) -> None:
        """Declare a batch workload with one small task; ``fields`` extend its spec."""
        spec = {
            "team": team,
            "type": "batch",
            "idempotent": True,
            "size": {"processors": 1, "memory": 1000},
        }
        self.configuration.declare(Kind.WORKLOAD, name, spec | fields)

    def find(self, name: str) -> PlaneDaemon:
        """Return a daemon that has not been killed."""
        return self.registry.daemons[name]

    async def wait_for_end(
        self, job: str, seconds: int = 120, at: str | None = None
    ) -> JobView:
        """Read a job until it has ended.

        :param seconds: upper bound of the wait, by the loop's clock.
        :param at: daemon from which to read; by default the first one.
        :raises AssertionError: if the job has not ended by then.
        """
        ledger_owner = self.find(at or self.names[0]).ledger_owner
        view = None
        for _ in range(seconds * 10):
            view = await ledger_owner.read_job(job)
            if isinstance(view, JobView) and view.state in FINAL_JOB_STATES:
                return view
            await self.clock.sleep(timedelta(milliseconds=100))
        raise AssertionError(f"{job} has not ended: {view}")
