"""Entries, their ownership of targets, and targets, all in one process."""

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
    take_constant_time,
)

SERVICE = "orders"
NEAR_DELAY = timedelta(milliseconds=0.1)
FAR_DELAY = timedelta(milliseconds=1)


class Layout(NamedTuple):
    """How large a deployment is; entries and targets are counted by zone."""

    zones: int = 1
    entries: int = 2
    targets: int = 2
    slots: int = 8
    connections: int = 64


SMALL = Layout()
STEADY = take_constant_time(timedelta(milliseconds=50))


class ZonedSwitch(PeerSwitch):
    """Links that take longer between availability zones."""

    zones: dict[str, str]

    async def carry(self, sender: str, receiver: str, size: int) -> bool:
        """Take one message over a link; tell whether it arrived."""
        is_near = self.zones.get(sender) == self.zones.get(receiver)
        self.delay = NEAR_DELAY if is_near else FAR_DELAY
        return await super().carry(sender, receiver, size)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Tell whether what ``sender`` sends to ``receiver`` is lost."""
        return (sender, receiver) in self._cuts


class RequestDeployment:
    """Routers on entries of all zones, over targets that count what they run.

    Targets run to its end what they began, and by default don't refuse what is
    too much, so that each overfill shows.

    :param connect: gives an entry its way to the targets, in place of these.
    """

    def __init__(
        self,
        clock: Clock,
        layout: Layout = SMALL,
        service_time: ServiceTime = STEADY,
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
        self.fleet = ListedFleet(tuple(t.instance for t in self.targets.values()))
        self.table = OwnershipTable()
        self.members = MemberTable(clock, self.switch)
        self.switch.zones = {}
        self.routers: dict[str, Router] = {}
        self._connect = connect or self._connect_target
        self._keys = keys
        self._seed = seed
        self._loops: dict[str, asyncio.Task[None]] = {}
        for zone in range(layout.zones):
            for number in range(layout.entries):
                self.add_entry(f"entry-{zone}-{number}", f"zone-{zone}")

    def add_entry(self, name: str, zone: str) -> Router:
        """Add a daemon, or put a new one in place of one of its name."""
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
        """Give each target an owner in its zone, in turn, and run all routers."""
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
        """Run the loops of a router afresh."""
        self.stop_entry(name)
        self._loops[name] = asyncio.ensure_future(self.routers[name].run())

    def stop_entry(self, name: str) -> None:
        """End the loops of a router."""
        if name in self._loops:
            self._loops.pop(name).cancel()

    def kill_entry(self, name: str) -> None:
        """Let a daemon die: nobody hears of it any more."""
        self.stop_entry(name)
        self.table.views[name].held.clear()
        self.switch.disconnect(name)
        for other in self.routers:
            self.switch.cut_both(name, other)
        self.members.dead.add(name)

    async def ask(
        self,
        entry: str,
        identifier: str,
        handler: RequestHandler | None = None,
        **changes: Any,
    ) -> Outcome:
        """Send a request to one entry; its body is its identifier.

        :param handler: answers in place of the entry's router.
        """
        request = ServiceRequest(
            identifier, SERVICE, "team", identifier.encode(), timedelta(seconds=1)
        )
        handler = handler or self.routers[entry]
        return await handler.handle_request(request._replace(**changes))

    def _connect_target(self, name: str) -> TargetPort:
        return TargetsClient(self.targets, name)

    def count_overfills(self) -> int:
        """Return how often a target got more than its slots."""
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


class ListedFleet:
    """An instance list that tests change at once."""

    def __init__(self, instances: tuple[Instance, ...]) -> None:
        self._instances = {instance.name: instance for instance in instances}
        self._handlers: list[Callable[..., None]] = []

    def list(self, role: InstanceRole, zone: str = "") -> tuple[Instance, ...]:
        """List the instances of a role, of one zone or of all."""
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
        """List an instance, in place of an earlier one of its name."""
        self._instances[instance.name] = instance
        self._tell()

    def remove(self, name: str) -> None:
        """Take an instance off the list."""
        del self._instances[name]
        self._tell()

    def mark_leaving(self, name: str) -> None:
        """List an instance as leaving."""
        self.put(self._instances[name]._replace(state=InstanceState.LEAVING))

    def _tell(self) -> None:
        for handler in self._handlers:
            handler()


class OwnershipTable:
    """Who owns what, as the platform's store would say."""

    def __init__(self) -> None:
        self.owners: dict[str, Owner] = {}
        self.views: dict[str, OwnershipView] = {}

    def connect(self, instance: str) -> "OwnershipView":
        """Return one daemon's view."""
        view = self.views[instance] = OwnershipView(self, instance)
        return view

    async def assign(self, shard: str, instance: str) -> None:
        """Give a thing to a daemon; the earlier owner isn't told."""
        earlier = self.owners.get(shard, Owner("", 0))
        self.owners[shard] = Owner(instance, earlier.epoch + 1)
        if earlier.instance in self.views:
            self.views[earlier.instance].held.discard(shard)
        view = self.views[instance]
        for handler in view.gain_handlers:
            await handler(shard, earlier.epoch + 1)
        view.held.add(shard)

    async def hand_over(self, shard: str, instance: str) -> None:
        """Let the owner give a thing up, and then give it to a daemon."""
        await self.drop(shard)
        await self.assign(shard, instance)

    async def drop(self, shard: str) -> None:
        """Let the owner of a thing learn that it has lost it."""
        owner = self.owners[shard]
        await self.lose(owner.instance, shard, owner.epoch)

    async def lose(self, instance: str, shard: str, epoch: int) -> None:
        """Let a daemon learn that it has lost a thing, however late."""
        view = self.views[instance]
        view.held.discard(shard)
        for handler in view.loss_handlers:
            await handler(shard, epoch)


class OwnershipView:
    """What one daemon may decide about; implements ``Ownership``."""

    def __init__(self, table: OwnershipTable, instance: str) -> None:
        self.held: set[str] = set()
        self.shards: dict[str, tuple[str, ...]] = {}
        self.gain_handlers: list[OwnershipHandler] = []
        self.loss_handlers: list[OwnershipHandler] = []
        self._table = table
        self._instance = instance

    def get_epoch(self, shard: str) -> int | None:
        """Return the epoch when this daemon may decide about ``shard`` now."""
        return self._table.owners[shard].epoch if shard in self.held else None

    def find_owner(self, shard: str) -> Owner | None:
        """Return the owner of ``shard``."""
        return self._table.owners.get(shard)

    def list_owned(self, scope: str) -> tuple[str, ...]:
        """List the things of ``scope`` that this daemon may decide about."""
        return tuple(t for t in sorted(self.held) if t.startswith(f"{scope}/"))

    def set_shards(self, scope: str, names: tuple[str, ...]) -> None:
        """Note which things of ``scope`` exist."""
        self.shards[scope] = names

    def on_gain(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` once a thing was gained."""
        self.gain_handlers.append(handler)

    def on_loss(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(shard, epoch)`` when a thing is lost or handed over."""
        self.loss_handlers.append(handler)


class MemberTable:
    """Which daemons live; their reports arrive over links that aren't cut.

    As in the real membership, a report that says the same again isn't sent.
    """

    def __init__(self, clock: Clock, switch: ZonedSwitch) -> None:
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.dead: set[str] = set()
        self._switch = switch
        self._views: dict[str, MemberView] = {}

    def connect(self, name: str, zone: str) -> "MemberView":
        """Return one daemon's view."""
        self.members[name] = Member(name, zone, "region-1", "", "", "1")
        view = self._views[name] = MemberView(self, name)
        return view

    def tell(self, name: str, topic: str, value: bytes) -> None:
        """Bring a report of a member to all others."""
        report = Report(name, value, self.clock.monotonic())
        for other, view in self._views.items():
            known = view.reports.get((topic, name))
            is_news = known is None or known.value != value
            if is_news and not self._switch.is_cut(name, other):
                view.reports[topic, name] = report

    def is_heard(self, name: str, other: str) -> bool:
        """Tell whether a member lives and no link to or from it is cut."""
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
        return tuple(m for m in self._table.list_live(zone) if self.is_live(m.name))

    def is_live(self, name: str) -> bool:
        """Tell whether a member lives."""
        return self._table.is_heard(name, self._name)

    def publish(self, topic: str, value: bytes) -> None:
        """Show a report to the others at once."""
        self._table.tell(self._name, topic, value)

    def read_reports(self, topic: str) -> dict[str, Report]:
        """Return the latest report of each live member, by name."""
        return {
            name: report
            for (kind, name), report in self.reports.items()
            if kind == topic and self.is_live(name)
        }
