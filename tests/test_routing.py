"""Requests run once, at the owners of targets, and callers learn the truth."""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.routing import Router
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.outcomes import Completed, Refused, Unknown
from damaskdeck.protocol.ports import Instance, InstanceRole
from standins.loops import LoopClock, run_virtual
from standins.peers import PeerSwitch
from standins.requests import (
    ListedFleet,
    MemberTable,
    OwnershipTable,
    SlottedTargets,
)

SLOTS = 2


class Deployment:
    """Two entries in one zone, each the owner of one target."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.switch = PeerSwitch(self.clock)
        self.switch.delay = timedelta(milliseconds=0.5)
        self.targets = SlottedTargets(self.clock, lambda random: 0.05)
        self.fleet = ListedFleet(tuple(self._make_target(i) for i in range(2)))
        self.table = OwnershipTable()
        self.members = MemberTable(self.clock)
        self.routers = [self._make_router(f"entry-{i}") for i in range(2)]

    async def start(self) -> "Deployment":
        for index in range(2):
            await self.table.assign(f"target/target-{index}", f"entry-{index}")
        return self

    async def ask(self, entry: int, name: str, **changes: object):
        request = ServiceRequest(name, "orders", "team", b"", timedelta(seconds=1))
        return await self.routers[entry].handle_request(request._replace(**changes))

    def _make_target(self, index: int) -> Instance:
        return Instance(
            f"target-{index}",
            InstanceRole.TARGET,
            "zone-1",
            "",
            service="orders",
            slots=SLOTS,
            connections=8 * SLOTS,
        )

    def _make_router(self, name: str) -> Router:
        return Router(
            self.members.connect(name, "zone-1"),
            self.table.connect(name),
            self.switch.connect(name),
            self.targets,
            self.fleet,
            self.clock,
        )


class TestForwarding(unittest.TestCase):
    def test_an_entry_without_room_forwards_to_an_owner(self):
        async def run():
            deployment = await Deployment().start()
            asks = [deployment.ask(0, f"r{i}") for i in range(2 * SLOTS)]
            return deployment, await asyncio.gather(*asks)

        deployment, outcomes = run_virtual(run())
        bodies = [f"answer to r{i}".encode() for i in range(2 * SLOTS)]
        self.assertEqual(outcomes, [Completed(body) for body in bodies])
        self.assertEqual(set(deployment.targets.peak.values()), {SLOTS})

    def test_a_lost_answer_of_a_non_idempotent_request_is_unknown(self):
        async def run():
            deployment = await Deployment().start()
            deployment.targets.planned = ["lose_answer"]
            return deployment, await deployment.ask(0, "r")

        deployment, outcome = run_virtual(run())
        self.assertEqual(outcome, Unknown("timeout"))
        self.assertEqual(deployment.targets.runs["r"], 1)

    def test_what_no_target_took_is_refused(self):
        async def run():
            deployment = await Deployment().start()
            deployment.targets.dead = {"target-0", "target-1"}
            return deployment, await deployment.ask(0, "r")

        deployment, outcome = run_virtual(run())
        self.assertIsInstance(outcome, Refused)
        self.assertEqual(deployment.targets.runs["r"], 0)
