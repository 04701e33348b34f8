"""Requests run once, at the owners of targets, and callers learn the truth."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from damaskdeck.protocol.outcomes import Completed, Failed, Refused, Unknown
from damaskdeck.protocol.ports import InstanceState
from standins.faults import FaultKind
from standins.loops import LoopClock, run_virtual
from standins.requests import Layout, RequestDeployment

SECOND = timedelta(seconds=1)

Scenario = Callable[[RequestDeployment], Awaitable[Any]]


def play(scenario: Scenario, layout: Layout | None = None, **options: Any) -> Any:
    """Run ``scenario(deployment)`` in virtual time."""

    async def run() -> Any:
        chosen = layout or Layout(slots=2)
        deployment = RequestDeployment(LoopClock(), chosen, **options)
        await deployment.start()
        try:
            return await scenario(deployment)
        finally:
            for name in list(deployment.routers):
                deployment.stop_entry(name)

    return run_virtual(run())


async def pause(seconds: float) -> None:
    await asyncio.sleep(seconds)


class TestForwarding(unittest.TestCase):
    def test_an_entry_without_room_forwards_to_an_owner(self):
        async def scenario(deployment):
            asks = [deployment.ask("entry-0-0", f"r{i}") for i in range(4)]
            outcomes = await asyncio.gather(*asks)
            peaks = [t.most_running for t in deployment.targets.values()]
            return outcomes, peaks

        outcomes, peaks = play(scenario)
        self.assertEqual(outcomes, [Completed(f"r{i}".encode()) for i in range(4)])
        self.assertEqual(peaks, [2, 2])

    def test_a_request_is_forwarded_once_at_most(self):
        async def scenario(deployment):
            for name in ("target-0-0", "target-0-1"):
                await deployment.table.drop(f"target/{name}")
            outcome = await deployment.ask("entry-0-0", "r")
            return outcome, deployment.switch.messages["entry-0-1"]

        outcome, sent = play(scenario)
        self.assertIsInstance(outcome, Refused)
        self.assertIsNotNone(outcome.retry_after)
        self.assertLessEqual(sent, 1)

    def test_other_zones_are_used_only_without_room_in_the_own(self):
        async def scenario(deployment):
            first = await asyncio.gather(
                *(deployment.ask("entry-0-0", f"a{i}") for i in range(4))
            )
            far = [t for n, t in deployment.targets.items() if "-1-" in n]
            before = sum(t.most_running for t in far)
            second = await asyncio.gather(
                *(deployment.ask("entry-0-0", f"b{i}") for i in range(8))
            )
            return first + second, before, sum(t.most_running for t in far)

        outcomes, before, after = play(scenario, Layout(zones=2, slots=2))
        self.assertEqual({type(o) for o in outcomes}, {Completed})
        self.assertEqual((before, after), (0, 4))


class TestOutcomes(unittest.TestCase):
    def test_a_lost_answer_of_a_non_idempotent_request_is_unknown(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.faults.plan("send", FaultKind.LOSE_ANSWER)
            outcome = await deployment.ask("entry-0-0", "r")
            return outcome, deployment.log.counts["r"]

        self.assertEqual(play(scenario), (Unknown("timeout"), 1))

    def test_a_lost_answer_of_an_idempotent_request_is_retried(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.faults.plan("send", FaultKind.LOSE_ANSWER)
            outcome = await deployment.ask("entry-0-0", "r", idempotent=True)
            return outcome, deployment.log.counts["r"]

        outcome, count = play(scenario)
        self.assertEqual(outcome, Completed(b"r"))
        self.assertIn(count, (2, 3))

    def test_what_no_target_took_is_refused_and_did_not_run(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.die()
            outcome = await deployment.ask("entry-0-0", "r")
            return outcome, deployment.log.counts["r"]

        outcome, count = play(scenario)
        self.assertIsInstance(outcome, Refused)
        self.assertEqual(count, 0)

    def test_a_refusal_after_a_lost_answer_is_still_unknown(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.faults.plan("send", FaultKind.LOSE_ANSWER)
                target.faults.plan("send", *[FaultKind.REFUSE] * 10)
            return await deployment.ask("entry-0-0", "r", idempotent=True)

        self.assertIsInstance(play(scenario), Unknown)

    def test_a_target_that_fails_the_request_says_so(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.fails_everything = True
            return await deployment.ask("entry-0-0", "r")

        self.assertEqual(play(scenario), Failed("status_500"))


class TestLeavingTargets(unittest.TestCase):
    def test_a_leaving_target_gets_nothing_new_at_the_lists_word(self):
        async def scenario(deployment):
            deployment.fleet.mark_leaving("target-0-0")
            for number in range(10):
                await deployment.ask("entry-0-0", f"r{number}")
            return {e.target for e in deployment.log.executions}

        self.assertEqual(play(scenario), {"target-0-1"})

    def test_a_target_that_refuses_as_leaving_is_asked_once(self):
        async def scenario(deployment):
            target = deployment.targets["target-0-0"]
            target.is_leaving = True
            outcomes = [await deployment.ask("entry-0-0", f"{i}") for i in range(10)]
            state = deployment.fleet.get("target-0-0").state
            return outcomes, target.refused_leaving, state

        outcomes, refused, state = play(scenario)
        self.assertEqual({type(o) for o in outcomes}, {Completed})
        self.assertEqual((refused, state), (1, InstanceState.LIVE))
