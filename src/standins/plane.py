"""Task planes of several daemons in one process, whose owners are given."""

import asyncio
from datetime import timedelta

from damaskdeck.coordination.fleet import Fleet
from damaskdeck.coordination.hosting import WorkerHost
from damaskdeck.coordination.keeper import Keeper
from damaskdeck.protocol.members import Member, Owner, Report
from damaskdeck.protocol.resources import Kind
from damaskdeck.protocol.sizes import Size
from standins.loops import LoopClock
from standins.peers import PeerSwitch
from standins.platform import Platform

WORKER_SIZE = Size(4000, 8000, 0)


class Registry:
    """Who owns what, decided by the test."""

    def __init__(self):
        self.owners = {}
        self.daemons = {}

    async def grant(self, thing, name):
        """Let a daemon own a thing under the next epoch."""
        former = self.owners.get(thing)
        epoch = former.epoch + 1 if former else 1
        self.owners[thing] = Owner(name, epoch)
        await self.daemons[name].ownership.gain(thing, epoch)

    async def usurp(self, thing, name):
        """Give a thing away while its owner, paused, still believes it owns it."""
        await self.grant(thing, name)

    async def hand_over(self, thing, name):
        """Let the present owner lose a thing first."""
        former = self.owners[thing]
        if former.instance in self.daemons:
            await self.daemons[former.instance].ownership.lose(thing)
        await self.grant(thing, name)


class FixedOwnership:
    """One daemon's view of a :class:`Registry`; implements ``Ownership``."""

    def __init__(self, registry):
        self.registry = registry
        self.held = {}
        self.gains = {}
        self.losses = {}

    def get_epoch(self, thing):
        return self.held.get(thing)

    def find_owner(self, thing):
        return self.registry.owners.get(thing)

    def list_held(self, scope):
        return tuple(t for t in self.held if t.startswith(f"{scope}/"))

    def set_things(self, scope, names):
        pass

    def on_gain(self, scope, handler):
        self.gains[scope] = handler

    def on_loss(self, scope, handler):
        self.losses[scope] = handler

    async def gain(self, thing, epoch):
        """Tell of a gain; it lasts while the store can't be reached."""
        task = asyncio.ensure_future(self.finish_gain(thing, epoch))
        await asyncio.wait({task}, timeout=1)

    async def finish_gain(self, thing, epoch):
        await self.gains[thing.partition("/")[0]](thing, epoch)
        self.held[thing] = max(epoch, self.held.get(thing, 0))

    async def lose(self, thing):
        epoch = self.held.pop(thing, None)
        if epoch is not None:
            await self.losses[thing.partition("/")[0]](thing, epoch)


class FixedMembers:
    """The members of a :class:`Registry`; implements ``Members``."""

    def __init__(self, name, zone, plane):
        self.self = Member(name, zone, "r", "", "", "1")
        self.plane = plane

    def list_live(self, zone=""):
        found = [d.members.self for d in self.plane.registry.daemons.values()]
        return tuple(m for m in found if zone in ("", m.zone))

    def is_live(self, name):
        return name in self.plane.registry.daemons

    def publish(self, topic, value):
        now = self.plane.clock.monotonic()
        reports = self.plane.reports.setdefault(topic, {})
        reports[self.self.name] = Report(self.self.name, value, now)

    def read_reports(self, topic):
        return self.plane.reports.get(topic, {})


class FixedConfiguration:
    """Declared resources; implements ``ConfigurationReader``."""

    def __init__(self):
        self.resources = {}
        self.handlers = []
        self.revision = 1

    def get(self, kind, name):
        return self.resources.get((kind, name))

    def list(self, kind):
        return tuple(r for (k, _), r in sorted(self.resources.items()) if k is kind)

    def subscribe(self, handler):
        self.handlers.append(handler)

    def declare(self, kind, name, spec):
        resource = {"kind": kind.value, "metadata": {"name": name}, "spec": spec}
        self.resources[kind, name] = resource if spec is not None else None
        if spec is None:
            del self.resources[kind, name]
        for handler in self.handlers:
            handler(kind, name, resource if spec is not None else None)


class PlaneDaemon:
    """The task plane of one daemon."""

    def __init__(self, plane, name, zone):
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
        self.keeper = Keeper(
            self.members,
            self.ownership,
            self.peers,
            ports.store,
            plane.configuration,
            self.fleet,
            plane.clock,
            ledger_count=plane.ledgers,
        )
        self.tasks = []

    def die(self):
        """End everything at once, as a killed process does."""
        for task in self.tasks:
            task.cancel()
        for desk in self.keeper.desks.values():
            if desk._runner is not None:
                desk._runner.cancel()

    async def start(self):
        await self.fleet.poll()
        self.tasks = [
            asyncio.ensure_future(self.fleet.run()),
            asyncio.ensure_future(self.host.run()),
            asyncio.ensure_future(self.keeper.run()),
        ]


class Plane:
    """Daemons ``d1`` to ``dN``, workers ``w1`` to ``wN``, and few ledgers."""

    def __init__(self, daemons=2, workers=2, size=WORKER_SIZE, ledgers=1):
        self.clock = LoopClock()
        self.checks_epochs = True
        self.ledgers = ledgers
        self.platform = Platform(self.clock)
        self.switch = PeerSwitch(self.clock)
        self.configuration = FixedConfiguration()
        self.registry = Registry()
        self.reports = {}
        for index in range(workers):
            self.platform.add_worker(f"w{index + 1}", "z1", size, rack=f"r{index}")
        self.names = [f"d{index + 1}" for index in range(daemons)]

    async def start(self):
        """Start all daemons; the ledgers and workers are dealt out in turn."""
        for name in self.names:
            await self.add_daemon(name)
        for index, worker in enumerate(self.platform.workers):
            owner = self.names[index % len(self.names)]
            await self.registry.grant(f"worker/{worker}", owner)
        for index in range(self.ledgers):
            owner = self.names[index % len(self.names)]
            await self.registry.grant(f"ledger/{index:02d}", owner)
        return self

    async def add_daemon(self, name):
        daemon = PlaneDaemon(self, name, "z1")
        self.registry.daemons[name] = daemon
        await daemon.start()

    async def kill(self, name):
        """Let a daemon die; others take over once its lease has lapsed."""
        self.platform.cut_off(name)
        self.switch.disconnect(name)
        daemon = self.registry.daemons.pop(name)
        daemon.die()
        for reports in self.reports.values():
            reports.pop(name, None)
        await self.clock.sleep(timedelta(seconds=4))
        await self.redistribute(name)

    async def redistribute(self, name):
        """Give what a daemon owned to the others in turn."""
        others = sorted(other for other in self.registry.daemons if other != name)
        things = [t for t, o in self.registry.owners.items() if o.instance == name]
        for index, thing in enumerate(sorted(things)):
            await self.registry.grant(thing, others[index % len(others)])

    def declare(self, name="batch", team="team", **fields):
        """Declare a workload with one small task unless ``fields`` say more."""
        spec = {
            "team": team,
            "type": "batch",
            "idempotent": True,
            "size": {"processors": 1, "memory": 1000},
        }
        self.configuration.declare(Kind.WORKLOAD, name, spec | fields)

    def find(self, name):
        return self.registry.daemons[name]

    async def wait_for_end(self, job, seconds=120, at=None):
        """Read a job until it has ended."""
        keeper = self.find(at or self.names[0]).keeper
        view = None
        for _ in range(seconds * 10):
            view = await keeper.read_job(job)
            if getattr(view, "state", "") in (
                "completed",
                "failed",
                "refused",
                "unknown",
            ):
                return view
            await self.clock.sleep(timedelta(milliseconds=100))
        raise AssertionError(f"{job} has not ended: {view}")
