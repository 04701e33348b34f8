"""Daemons that accept requests (entries) and targets, all in one process."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.routing import Router
from damaskdeck.protocol.handlers import IdempotencyKeys, RequestHandler, ServiceRequest
from damaskdeck.protocol.members import Member, Owner, OwnershipHandler, Report
from damaskdeck.protocol.outcomes import Outcome
from damaskdeck.protocol.ports import (
    Instance,
    InstanceRole,
    InstanceState,
    TargetPort,
)
from standins.peers import PeerSwitch
from standins.targets import (
    ExecutionLog,
    MemoryTarget,
    ServiceTime,
    TargetsClient,
    make_constant_time,
)

SERVICE = "orders"
NEAR_DELAY = timedelta(milliseconds=0.1)
FAR_DELAY = timedelta(milliseconds=1)


class Layout(NamedTuple):
    """The size of a deployment.

    :param entries: number of daemons per zone.
    :param targets: number of targets per zone.
    :param slots: slots of each target.
    :param connections: limit of connections of each target.
    """

    zones: int = 1
    entries: int = 2
    targets: int = 2
    slots: int = 8
    connections: int = 64


SMALL_LAYOUT = Layout()
DEFAULT_SERVICE_TIME = make_constant_time(timedelta(milliseconds=50))


class ZonedSwitch(PeerSwitch):
    """A switch whose links are slower between availability zones.

    :ivar zones: zone of each daemon, by name.
    """

    zones: dict[str, str]

    async def transfer(self, sender: str, receiver: str, size: int) -> bool:
        """Transfer one message over a link and return whether it arrived."""
        is_near = self.zones.get(sender) == self.zones.get(receiver)
        self.delay = NEAR_DELAY if is_near else FAR_DELAY
        return await super().transfer(sender, receiver, size)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether messages from ``sender`` to ``receiver`` are dropped."""
        return (sender, receiver) in self._cuts


class RequestDeployment:
    """Routers on the entries of all zones, and targets that count what they run.

    Targets complete every request that they start. By default they do not refuse
    requests beyond their slots, so that each overfill is counted.

    :param keys: idempotency keys, shared by all routers.
    :param connect: returns the client through which an entry calls the targets, to
        replace the default one.
    """

    def __init__(
        self,
        clock: Clock,
        layout: Layout = SMALL_LAYOUT,
        service_time: ServiceTime = DEFAULT_SERVICE_TIME,
        keys: IdempotencyKeys | None = None,
        seed: int = 0,
        connect: Callable[[str], TargetPort] | None = None,
    ) -> None:
        self.clock = clock
        self.switch = ZonedSwitch(clock, seed)
        self.log = ExecutionLog()
        self.targets: dict[str, MemoryTarget] = {}
        for number, instance in enumerate(_list_targets(layout)):
            target = MemoryTarget(instance, clock, self.log, service_time, number)
            target.refuses_when_full = False
            self.targets[instance.name] = target
        self.fleet = MemoryFleet(tuple(t.instance for t in self.targets.values()))
        self.table = OwnershipTable()
        self.members = MemberTable(clock, self.switch)
        self.switch.zones = {}
        self.routers: dict[str, Router] = {}
        self._connect = connect or self._connect_target
        self._keys = keys
        self._seed = seed
        self._router_tasks: dict[str, asyncio.Task[None]] = {}
        for zone in range(layout.zones):
            for number in range(layout.entries):
                self.add_entry(f"entry-{zone}-{number}", f"zone-{zone}")

    def add_entry(self, name: str, zone: str) -> Router:
        """Add a daemon, or replace the one of the same name."""
        self.switch.zones[name] = zone
        self.members.dead.discard(name)
        for other in self.routers:
            self.switch.heal(name, other)
        self.routers[name] = Router(
            self.members.connect(name, zone),
            self.table.connect(name),
            self.switch.connect(name),
            self._connect(name),
            self.fleet,
            self.clock,
            keys=self._keys,
            rng=Random(f"{self._seed}/{name}"),
        )
        return self.routers[name]

    async def start(self) -> None:
        """Assign each target to an owner in its zone, round-robin; run all routers."""
        for number, target in enumerate(self.targets.values()):
            zone = target.instance.zone
            names = [m.name for m in self.members.list_live(zone)]
            owner = names[number % len(names)]
            await self.table.assign(f"target/{target.instance.name}", owner)
        for _ in range(2):
            for name in self.routers:
                self.run_entry(name)
            await self.clock.sleep(timedelta(milliseconds=1))

    def run_entry(self, name: str) -> None:
        """Start the loops of a router, stopping earlier ones."""
        self.stop_entry(name)
        self._router_tasks[name] = asyncio.ensure_future(self.routers[name].run())

    def stop_entry(self, name: str) -> None:
        """Stop the loops of a router."""
        if name in self._router_tasks:
            self._router_tasks.pop(name).cancel()

    def kill_entry(self, name: str) -> None:
        """Kill a daemon: it becomes unreachable for all others."""
        self.stop_entry(name)
        self.table.views[name].owned.clear()
        self.switch.disconnect(name)
        for other in self.routers:
            self.switch.cut_both(name, other)
        self.members.dead.add(name)

    async def submit(
        self,
        entry: str,
        identifier: str,
        handler: RequestHandler | None = None,
        **changes: Any,
    ) -> Outcome:
        """Send a request to one entry; the request's body is its identifier.

        :param handler: handles the request instead of the entry's router.
        :param changes: fields of the request that differ from the defaults.
        """
        request = ServiceRequest(
            identifier, SERVICE, "team", identifier.encode(), timedelta(seconds=1)
        )
        handler = handler or self.routers[entry]
        return await handler.handle_request(request._replace(**changes))

    def _connect_target(self, name: str) -> TargetPort:
        return TargetsClient(self.targets, name)

    def count_overfills(self) -> int:
        """Return how often any target was sent a request when its slots were full."""
        return sum(t.slot_overfills for t in self.targets.values())


def _list_targets(layout: Layout) -> list[Instance]:
    return [
        Instance(
            f"target-{zone}-{number}",
            InstanceRole.TARGET,
            f"zone-{zone}",
            "",
            service=SERVICE,
            slots=layout.slots,
            connections=layout.connections,
        )
        for zone in range(layout.zones)
        for number in range(layout.targets)
    ]


class MemoryFleet:
    """An instance list without lag, which tests modify directly."""

    def __init__(self, instances: tuple[Instance, ...]) -> None:
        self._instances = {instance.name: instance for instance in instances}
        self._handlers: list[Callable[..., None]] = []

    def list(self, role: InstanceRole, zone: str = "") -> tuple[Instance, ...]:
        """List the instances of a role, in one zone or in all."""
        return tuple(
            instance
            for instance in self._instances.values()
            if instance.role is role and zone in ("", instance.zone)
        )

    def get(self, name: str) -> Instance | None:
        """Return an instance by name."""
        return self._instances.get(name)

    def on_change(self, handler: Callable[..., None]) -> None:
        """Call ``handler`` whenever the list has changed."""
        self._handlers.append(handler)

    def put(self, instance: Instance) -> None:
        """Add an instance, replacing an earlier one of the same name."""
        self._instances[instance.name] = instance
        self._notify_handlers()

    def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        del self._instances[name]
        self._notify_handlers()

    def mark_leaving(self, name: str) -> None:
        """List an instance as leaving."""
        self.put(self._instances[name]._replace(state=InstanceState.LEAVING))

    def _notify_handlers(self) -> None:
        for handler in self._handlers:
            handler()


class OwnershipTable:
    """The owners of all shards, as the platform's store would record them."""

    def __init__(self) -> None:
        self.owners: dict[str, Owner] = {}
        self.views: dict[str, OwnershipView] = {}

    def connect(self, instance: str) -> "OwnershipView":
        """Return one daemon's view of the ownership."""
        view = self.views[instance] = OwnershipView(self, instance)
        return view

    async def assign(self, shard: str, instance: str) -> None:
        """Assign a shard to a daemon without notifying the previous owner."""
        previous = self.owners.get(shard, Owner("", 0))
        self.owners[shard] = Owner(instance, previous.epoch + 1)
        if previous.instance in self.views:
            self.views[previous.instance].owned.discard(shard)
        view = self.views[instance]
        for handler in view.gain_handlers:
            await handler(shard, previous.epoch + 1)
        view.owned.add(shard)

    async def hand_over(self, shard: str, instance: str) -> None:
        """Make the owner release a shard, and then assign it to a daemon."""
        await self.drop(shard)
        await self.assign(shard, instance)

    async def drop(self, shard: str) -> None:
        """Notify the owner of a shard that it has lost it."""
        owner = self.owners[shard]
        await self.lose(owner.instance, shard, owner.epoch)

    async def lose(self, instance: str, shard: str, epoch: int) -> None:
        """Notify a daemon that it has lost a shard, possibly long after the loss."""
        view = self.views[instance]
        view.owned.discard(shard)
        for handler in view.loss_handlers:
            await handler(shard, epoch)


class OwnershipView:
    """The shards that one daemon owns; implements ``Ownership``."""

    def __init__(self, table: OwnershipTable, instance: str) -> None:
        self.owned: set[str] = set()
        self.shards: dict[str, tuple[str, ...]] = {}
        self.gain_handlers: list[OwnershipHandler] = []
        self.loss_handlers: list[OwnershipHandler] = []
        self._table = table
        self._instance = instance

    def get_epoch(self, shard: str) -> int | None:
        """Return the epoch if this daemon owns ``shard`` now, else ``None``."""
        return self._table.owners[shard].epoch if shard in self.owned else None

    def find_owner(self, shard: str) -> Owner | None:
        """Return the owner of ``shard``."""
        return self._table.owners.get(shard)

    def list_owned(self, scope: str) -> tuple[str, ...]:
        """List the shards of ``scope`` that this daemon owns."""
        return tuple(t for t in sorted(self.owned) if t.startswith(f"{scope}/"))

    def set_shards(self, scope: str, names: tuple[str, ...]) -> None:
        """Record which shards of ``scope`` exist."""
        self.shards[scope] = names

    def on_gain(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` when a shard is gained."""
        self.gain_handlers.append(handler)

    def on_loss(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` when a shard is lost or handed over."""
        self.loss_handlers.append(handler)


class MemberTable:
    """The live daemons, and their reports, which only arrive over intact links.

    As in the real membership, a report that repeats the last one is not sent.
    """

    def __init__(self, clock: Clock, switch: ZonedSwitch) -> None:
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.dead: set[str] = set()
        self._switch = switch
        self._views: dict[str, MemberView] = {}

    def connect(self, name: str, zone: str) -> "MemberView":
        """Return one daemon's view of the members."""
        self.members[name] = Member(name, zone, "region-1", "", "", "1")
        view = self._views[name] = MemberView(self, name)
        return view

    def deliver_report(self, name: str, topic: str, value: bytes) -> None:
        """Deliver a report of a member to all members that its links reach."""
        report = Report(name, value, self.clock.monotonic())
        for other, view in self._views.items():
            known = view.reports.get((topic, name))
            is_changed = known is None or known.value != value
            if is_changed and not self._switch.is_cut(name, other):
                view.reports[topic, name] = report

    def is_reachable(self, name: str, other: str) -> bool:
        """Whether a member is alive and its links with ``other`` are intact."""
        if name not in self.members or name in self.dead:
            return False
        cut = self._switch.is_cut
        return not (cut(name, other) or cut(other, name))

    def list_live(self, zone: str = "") -> tuple[Member, ...]:
        """List live members in order of name."""
        return tuple(
            member
            for name, member in sorted(self.members.items())
            if name not in self.dead and zone in ("", member.zone)
        )


class MemberView:
    """The members as one daemon sees them; implements ``Members``."""

    def __init__(self, table: MemberTable, name: str) -> None:
        self.reports: dict[tuple[str, str], Report] = {}
        self._table = table
        self._name = name

    @property
    def self(self) -> Member:
        """This daemon."""
        return self._table.members[self._name]

    def list_live(self, zone: str = "") -> tuple[Member, ...]:
        """List live members in order of name."""
        return tuple(m for m in self._table.list_live(zone) if self.is_alive(m.name))

    def is_alive(self, name: str) -> bool:
        """Whether a member is alive and reachable from this daemon."""
        return self._table.is_reachable(name, self._name)

    def publish(self, topic: str, value: bytes) -> None:
        """Deliver a report to the other members immediately."""
        self._table.deliver_report(self._name, topic, value)

    def read_reports(self, topic: str) -> dict[str, Report]:
        """Return the latest report of each live member, by name."""
        return {
            name: report
            for (kind, name), report in self.reports.items()
            if kind == topic and self.is_alive(name)
        }
