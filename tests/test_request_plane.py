"""Routers with the real membership, ownership and fleet, on stand-ins."""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.members.membership import Membership
from damaskdeck.coordination.members.ownership import StoreOwnership
from damaskdeck.coordination.requests.routing import Router
from damaskdeck.coordination.workers.fleet import Fleet
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.members import Member
from damaskdeck.protocol.outcomes import Completed
from damaskdeck.protocol.ports import Instance, InstanceRole
from standins.instances import MemoryInstanceList
from standins.loops import LoopClock, run_virtual
from standins.peers import PeerSwitch
from standins.store import MemoryStore
from standins.targets import (
    ExecutionLog,
    MemoryTarget,
    TargetsClient,
    make_constant_time,
)

SECOND = timedelta(seconds=1)
TARGETS = tuple(f"target-{number}" for number in range(4))


class Daemon:
    """The request plane of one daemon, without HTTP and network."""

    def __init__(self, plane: "Plane", name: str) -> None:
        member = Member(name, "z1", "r1", f"{name}:1", f"{name}:2", f"{name}/1")
        peers, store = plane.switch.connect(name), plane.store.connect(name)
        self.members = Membership(
            member, peers, store, plane.clock, newcomer_delay=SECOND
        )
        self.ownership = StoreOwnership(self.members, peers, store, plane.clock)
        self.fleet = Fleet(plane.instances.connect(name), plane.clock)
        self.router = Router(
            self.members,
            self.ownership,
            peers,
            TargetsClient(plane.targets, name),
            self.fleet,
            plane.clock,
        )
        parts = (self.members, self.ownership, self.fleet, self.router)
        self.tasks = [asyncio.ensure_future(part.run()) for part in parts]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


class Plane:
    """Three entries and four targets of one zone."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.switch = PeerSwitch(self.clock)
        self.store = MemoryStore(self.clock)
        self.instances = MemoryInstanceList(self.clock)
        self.log = ExecutionLog()
        self.targets: dict[str, MemoryTarget] = {}
        for name in TARGETS:
            instance = Instance(
                name,
                InstanceRole.TARGET,
                "z1",
                f"{name}:1",
                service="orders",
                slots=2,
                connections=64,
            )
            self.instances.put(instance)
            time = make_constant_time(SECOND / 2)
            target = MemoryTarget(instance, self.clock, self.log, time)
            target.refuses_when_full = False
            self.targets[name] = target
        self.daemons = {name: Daemon(self, name) for name in ("a", "b", "c")}

    async def send_request(self, daemon: str, name: str) -> object:
        request = ServiceRequest(name, "orders", "t", name.encode(), 5 * SECOND)
        return await self.daemons[daemon].router.handle_request(request)

    async def send_requests(self, daemon: str, names: list[str]) -> list[object]:
        return await asyncio.gather(
            *(self.send_request(daemon, name) for name in names)
        )

    def kill(self, name: str) -> None:
        daemon = self.daemons.pop(name)
        daemon.stop()
        self.switch.disconnect(name)
        for other in self.daemons:
            self.switch.cut_both(name, other)

    def count_owned(self) -> dict[str, int]:
        return {
            name: len(daemon.ownership.list_owned("target"))
            for name, daemon in self.daemons.items()
        }


class TestRequestPlane(unittest.TestCase):
    def play(self, scenario):
        async def run():
            plane = Plane()
            await asyncio.sleep(10)
            try:
                result = await scenario(plane)
            finally:
                for daemon in plane.daemons.values():
                    daemon.stop()
            overfills = sum(t.slot_overfills for t in plane.targets.values())
            self.assertEqual(overfills, 0)
            return result

        return run_virtual(run())

    def test_all_targets_have_owners_and_serve_whoever_asks(self):
        async def scenario(plane):
            owned = plane.count_owned()
            names = [f"r{number}" for number in range(8)]
            start = plane.clock.monotonic()
            outcomes = await plane.send_requests("a", names)
            return owned, outcomes, plane.clock.monotonic() - start

        owned, outcomes, time = self.play(scenario)
        self.assertEqual(sum(owned.values()), len(TARGETS))
        self.assertEqual(outcomes, [Completed(f"r{n}".encode()) for n in range(8)])
        self.assertLess(time, 0.6 * SECOND)

    def test_a_dead_owners_targets_serve_again_without_being_overfilled(self):
        async def scenario(plane):
            name = next(name for name, owned in plane.count_owned().items() if owned)
            interrupted = [
                asyncio.ensure_future(plane.send_request(name, f"d{number}"))
                for number in range(8)
            ]
            await asyncio.sleep(0.1)
            plane.kill(name)
            for task in interrupted:
                task.cancel()
            other = next(iter(plane.daemons))
            waited = 0
            while sum(plane.count_owned().values()) < len(TARGETS):
                waited += 1
                await asyncio.sleep(1)
            await asyncio.sleep(13)
            names = [f"r{number}" for number in range(8)]
            start = plane.clock.monotonic()
            outcomes = await plane.send_requests(other, names)
            return waited, outcomes, plane.clock.monotonic() - start

        waited, outcomes, time = self.play(scenario)
        self.assertLess(waited, 20)
        self.assertLess(time, 0.6 * SECOND)
        self.assertEqual({type(outcome) for outcome in outcomes}, {Completed})

    def test_a_daemon_that_shuts_down_hands_its_targets_over_at_once(self):
        async def scenario(plane):
            name = next(name for name, owned in plane.count_owned().items() if owned)
            daemon = plane.daemons[name]
            requests = [
                asyncio.ensure_future(plane.send_request(name, f"d{number}"))
                for number in range(12)
            ]
            await asyncio.sleep(0.1)
            await daemon.router.drain()
            await daemon.ownership.drain()
            done = await asyncio.gather(*requests)
            other = next(other for other in plane.daemons if other != name)
            await asyncio.sleep(2)
            start = plane.clock.monotonic()
            names = [f"r{number}" for number in range(8)]
            later = await plane.send_requests(other, names)
            return done + later, plane.clock.monotonic() - start

        outcomes, time = self.play(scenario)
        self.assertEqual({type(outcome) for outcome in outcomes}, {Completed})
        self.assertLess(time, 0.6 * SECOND)

    def test_requests_go_on_while_the_store_is_down(self):
        async def scenario(plane):
            plane.store.faults.outage = True
            await asyncio.sleep(60)
            calls = sum(plane.store.calls.values())
            names = [f"r{number}" for number in range(8)]
            outcomes = await plane.send_requests("a", names)
            return outcomes, sum(plane.store.calls.values()) - calls

        outcomes, calls = self.play(scenario)
        self.assertEqual({type(outcome) for outcome in outcomes}, {Completed})
        self.assertEqual(calls, 0)
