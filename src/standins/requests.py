"""Entries, their ownership of targets, and targets, all in one process."""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random

from damaskdeck.clock import Clock
from damaskdeck.protocol.members import Member, Owner, OwnershipHandler, Report
from damaskdeck.protocol.ports import (
    Instance,
    InstanceRole,
    InstanceState,
    Lost,
    Rejected,
    TargetAnswer,
    TargetCall,
    Written,
)

ServiceTime = Callable[[Random], float]


class SlottedTargets:
    """Targets that run whatever they get and count it; implements ``TargetPort``.

    A request whose caller has gone runs to its end all the same.

    :param service_time: draws the seconds that a request takes.
    :param enforced: whether a full target refuses, or runs too much.
    """

    def __init__(self, clock: Clock, service_time: ServiceTime, seed: int = 0) -> None:
        self.clock = clock
        self.service_time = service_time
        self.random = Random(seed)
        self.enforced = False
        self.delay = timedelta()
        self.running: Counter[str] = Counter()
        self.peak: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.started: dict[str, timedelta] = {}
        self.leaving: set[str] = set()
        self.dead: set[str] = set()
        self.planned: list[str] = []
        self._work: set[asyncio.Task[TargetAnswer]] = set()

    async def send(
        self, target: Instance, call: TargetCall, timeout: timedelta
    ) -> TargetAnswer | Rejected | Lost:
        """Run a request, unless a fault forbids it.

        Faults of the next calls stand in ``planned``: ``refuse``,
        ``lose_answer``, ``lose_call``, ``cross_answer`` or an empty string.
        """
        if self.delay:
            await self.clock.sleep(self.delay)
        fault = self.planned.pop(0) if self.planned else ""
        if target.name in self.dead or fault == "refuse":
            return Rejected("unreachable")
        if target.name in self.leaving:
            return Rejected("target_leaving")
        if self.enforced and self.running[target.name] >= target.slots:
            return Rejected("target_full")
        if fault == "lose_call":
            await self.clock.sleep(timeout)
            return Lost("timeout")
        work = asyncio.ensure_future(self._work_on(target.name, call))
        self._work.add(work)
        work.add_done_callback(self._work.discard)
        done, _ = await asyncio.wait({work}, timeout=timeout.total_seconds())
        if not done or fault == "lose_answer" or target.name in self.dead:
            return Lost("timeout")
        answer = work.result()
        if fault == "cross_answer":
            return answer._replace(request="another", body=b"another")
        return answer

    async def probe(
        self, target: Instance, timeout: timedelta
    ) -> Written | Rejected | Lost:
        """Tell whether the target is alive."""
        return Lost("timeout") if target.name in self.dead else Written(0)

    async def _work_on(self, target: str, call: TargetCall) -> TargetAnswer:
        self.running[target] += 1
        self.peak[target] = max(self.peak[target], self.running[target])
        self.runs[call.request] += 1
        self.started.setdefault(call.request, self.clock.monotonic())
        try:
            await self.clock.sleep(timedelta(seconds=self.service_time(self.random)))
        finally:
            self.running[target] -= 1
        body = b"answer to " + call.request.encode()
        return TargetAnswer(call.request, call.attempt, 200, body)


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

    async def assign(self, thing: str, instance: str) -> None:
        """Give a thing to a daemon; the earlier owner isn't told."""
        earlier = self.owners.get(thing, Owner("", 0))
        self.owners[thing] = Owner(instance, earlier.epoch + 1)
        if earlier.instance in self.views:
            self.views[earlier.instance].held.discard(thing)
        view = self.views[instance]
        for handler in view.gain_handlers:
            await handler(thing, earlier.epoch + 1)
        view.held.add(thing)

    async def hand_over(self, thing: str, instance: str) -> None:
        """Let the owner give a thing up, and then give it to a daemon."""
        await self.drop(thing)
        await self.assign(thing, instance)

    async def drop(self, thing: str) -> None:
        """Let the owner of a thing learn that it has lost it."""
        owner = self.owners[thing]
        view = self.views[owner.instance]
        view.held.discard(thing)
        for handler in view.loss_handlers:
            await handler(thing, owner.epoch)


class OwnershipView:
    """What one daemon may decide about; implements ``Ownership``."""

    def __init__(self, table: OwnershipTable, instance: str) -> None:
        self.held: set[str] = set()
        self.things: dict[str, tuple[str, ...]] = {}
        self.gain_handlers: list[OwnershipHandler] = []
        self.loss_handlers: list[OwnershipHandler] = []
        self._table = table
        self._instance = instance

    def get_epoch(self, thing: str) -> int | None:
        """Return the epoch when this daemon may decide about ``thing`` now."""
        return self._table.owners[thing].epoch if thing in self.held else None

    def find_owner(self, thing: str) -> Owner | None:
        """Return the owner of ``thing``."""
        return self._table.owners.get(thing)

    def list_held(self, scope: str) -> tuple[str, ...]:
        """List the things of ``scope`` that this daemon may decide about."""
        return tuple(t for t in sorted(self.held) if t.startswith(f"{scope}/"))

    def set_things(self, scope: str, names: tuple[str, ...]) -> None:
        """Note which things of ``scope`` exist."""
        self.things[scope] = names

    def on_gain(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(thing, epoch)`` once a thing was gained."""
        self.gain_handlers.append(handler)

    def on_loss(self, scope: str, handler: OwnershipHandler) -> None:
        """Call ``handler(thing, epoch)`` when a thing is lost or handed over."""
        self.loss_handlers.append(handler)


class MemberTable:
    """Which daemons live, and their reports, which lag by ``interval``."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.interval = timedelta(milliseconds=500)
        self.members: dict[str, Member] = {}
        self.dead: set[str] = set()
        self.reports: dict[tuple[str, str], Report] = {}

    def connect(self, name: str, zone: str) -> "MemberView":
        """Return one daemon's view."""
        self.members[name] = Member(name, zone, "region-1", "", "", "1")
        return MemberView(self, name)


class MemberView:
    """The members as one daemon sees them; implements ``Members``."""

    def __init__(self, table: MemberTable, name: str) -> None:
        self._table = table
        self._name = name

    @property
    def self(self) -> Member:
        """This daemon."""
        return self._table.members[self._name]

    def list_live(self, zone: str = "") -> tuple[Member, ...]:
        """List live members in order of name."""
        return tuple(
            member
            for name, member in sorted(self._table.members.items())
            if name not in self._table.dead and zone in ("", member.zone)
        )

    def is_live(self, name: str) -> bool:
        """Tell whether a member lives."""
        return name in self._table.members and name not in self._table.dead

    def publish(self, topic: str, value: bytes) -> None:
        """Show a report to the others at once."""
        now = self._table.clock.monotonic()
        self._table.reports[topic, self._name] = Report(self._name, value, now)

    def read_reports(self, topic: str) -> dict[str, Report]:
        """Return the latest report of each live member, by name."""
        return {
            name: report
            for (kind, name), report in self._table.reports.items()
            if kind == topic and name not in self._table.dead
        }
