"""Retries stay within a budget and a deadline, and failing targets are ejected."""

import asyncio
import random
import unittest
from datetime import timedelta

from damaskdeck.coordination.requests.health import (
    CONSECUTIVE_FAILURE_LIMIT,
    EJECTION_TIME,
    TargetHealth,
    may_eject,
)
from damaskdeck.coordination.requests.retries import (
    BACKOFF,
    BACKOFF_LIMIT,
    RETRY_BURST,
    RETRY_SHARE,
    RetryBudget,
    draw_backoff,
)
from damaskdeck.protocol.outcomes import Completed, Refused, Unknown
from standins.clock import ManualClock
from standins.faults import FaultKind
from standins.requests import Layout
from tests.test_routing import SECOND, play
from tests.test_slots import make_pool


class TestRetryBudget(unittest.TestCase):
    def test_retries_are_a_share_of_the_requests(self):
        budget = RetryBudget(share=0.1, burst=3)
        made = 0
        for _ in range(1000):
            budget.earn()
            made += budget.spend()
        self.assertAlmostEqual(made, 1000 * 0.1 + 3, delta=1)

    def test_the_budget_saves_no_more_than_the_burst(self):
        budget = RetryBudget(share=0.1, burst=3)
        for _ in range(1000):
            budget.earn()
        self.assertEqual(sum(budget.spend() for _ in range(10)), 3)

    def test_backoffs_are_spread_from_nothing_to_a_doubling_limit(self):
        source = random.Random(1)
        for retry, limit in ((1, BACKOFF), (3, BACKOFF * 4), (30, BACKOFF_LIMIT)):
            waits = [draw_backoff(retry, source) for _ in range(200)]
            self.assertLessEqual(max(waits), limit)
            self.assertLess(min(waits), limit / 10)
            self.assertGreater(max(waits), limit * 0.9)


class TestTargetHealth(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.pool = make_pool(self.clock, slots=8)
        self.health = TargetHealth(self.pool, self.clock, random.Random(1))

    def test_consecutive_failures_eject_and_one_good_answer_resets_them(self):
        for _ in range(CONSECUTIVE_FAILURE_LIMIT - 1):
            self.health.record_failure()
        self.health.record_success()
        self.health.record_failure()
        self.assertFalse(self.health.should_eject)
        for _ in range(CONSECUTIVE_FAILURE_LIMIT - 1):
            self.health.record_failure()
        self.assertTrue(self.health.should_eject)

    def test_an_ejected_target_gets_nothing_and_returns_slot_by_slot(self):
        self.health.eject()
        self.assertEqual(self.pool.count_free(), 0)
        self.health.readmit()
        free = []
        for _ in range(8):
            free.append(self.pool.count_free())
            self.health.record_success()
        self.assertEqual(free, [1, 2, 3, 4, 5, 6, 7, 8])

    def test_a_target_that_fails_again_on_return_stays_away_longer(self):
        waits = []
        for _ in range(3):
            self.health.eject()
            waits.append(self.health.ejected_until - self.clock.monotonic())
            self.health.readmit()
            self.health.record_failure()
            self.assertTrue(self.health.should_eject)
        self.assertGreaterEqual(waits[0], EJECTION_TIME)
        self.assertGreater(waits[2], 2 * waits[0])

    def test_no_more_than_a_share_is_ejected(self):
        self.assertTrue(may_eject(0, 1))
        self.assertFalse(may_eject(1, 2))
        allowed = sum(may_eject(ejected, 24) for ejected in range(24))
        self.assertEqual(allowed, 8)


class TestRetries(unittest.TestCase):
    def test_an_outage_of_all_targets_causes_no_retry_storm(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.faults.plan("send", *[FaultKind.REFUSE] * 10_000)
            requests = []
            for number in range(400):
                requests.append(
                    asyncio.ensure_future(
                        deployment.submit("entry-0-0", f"r{number}", idempotent=True)
                    )
                )
                await asyncio.sleep(0.02)
            await asyncio.gather(*requests)
            return sum(t.calls["send"] for t in deployment.targets.values())

        sends = play(scenario, Layout(entries=1))
        self.assertLess(sends, 400 * (1 + RETRY_SHARE) + RETRY_BURST + 1)

    def test_targets_that_recover_are_not_overloaded(self):
        async def scenario(deployment):
            async def ask_for(seconds):
                requests = []
                for _ in range(int(seconds * 250)):
                    name = f"r{deployment.clock.monotonic()}"
                    request = deployment.submit("entry-0-0", name, idempotent=True)
                    requests.append(asyncio.ensure_future(request))
                    await asyncio.sleep(0.004)
                return await asyncio.gather(*requests)

            await ask_for(1)
            for target in deployment.targets.values():
                target.faults.outage = True
            await ask_for(5)
            for target in deployment.targets.values():
                target.faults.outage = False
                target.calls.clear()
            outcomes = await ask_for(5)
            sends = sum(t.calls["send"] for t in deployment.targets.values())
            return outcomes, sends

        outcomes, sends = play(scenario, Layout(entries=1))
        self.assertLess(sends, 1250 * (1 + RETRY_SHARE) + RETRY_BURST + 1)
        late = outcomes[750:]
        done = sum(isinstance(outcome, Completed) for outcome in late)
        self.assertEqual(done, len(late))

    def test_a_failing_target_is_left_alone_while_another_serves(self):
        async def scenario(deployment):
            deployment.targets["target-0-0"].fails_everything = True
            for number in range(200):
                await deployment.submit("entry-0-0", f"r{number}")
            return deployment.log.executions

        executions = play(scenario, Layout(entries=1))
        late = [e.target for e in executions[50:]]
        self.assertLess(late.count("target-0-0"), 0.1 * len(late))

    def test_the_ejection_limit_keeps_most_targets_when_all_fail(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.fails_everything = True
            for number in range(200):
                await deployment.submit("entry-0-0", f"r{number}")
            return {e.target for e in deployment.log.executions[150:]}

        self.assertGreaterEqual(len(play(scenario, Layout(entries=1, targets=6))), 4)

    def test_a_silent_target_costs_an_idempotent_request_a_part_of_its_time(self):
        async def scenario(deployment):
            for name in ("a", "b", "c"):
                await deployment.submit("entry-0-0", name)
            deployment.targets["target-0-0"].pause()
            return [
                await deployment.submit("entry-0-0", f"r{i}", idempotent=True)
                for i in range(3)
            ]

        outcomes = play(scenario, Layout(entries=1))
        self.assertEqual({type(outcome) for outcome in outcomes}, {Completed})

    def test_the_deadline_covers_each_hop_and_retry(self):
        async def scenario(deployment):
            await deployment.table.drop("target/target-0-0")
            await asyncio.sleep(0.5)
            for target in deployment.targets.values():
                target.pause()
            start = deployment.clock.monotonic()
            outcome = await deployment.submit("entry-0-0", "r", idempotent=True)
            return outcome, deployment.clock.monotonic() - start

        outcome, time = play(scenario)
        self.assertIsInstance(outcome, Unknown)
        self.assertLess(time, SECOND + timedelta(milliseconds=10))

    def test_a_refusal_of_one_target_sends_the_request_to_another(self):
        async def scenario(deployment):
            deployment.targets["target-0-0"].faults.outage = True
            outcomes = [await deployment.submit("entry-0-0", f"r{i}") for i in range(5)]
            return outcomes, deployment.log.counts

        outcomes, counts = play(scenario, Layout(entries=1))
        self.assertEqual({type(outcome) for outcome in outcomes}, {Completed})
        self.assertEqual(set(counts.values()), {1})

    def test_a_request_past_its_deadline_is_not_sent(self):
        async def scenario(deployment):
            outcome = await deployment.submit("entry-0-0", "r", timeout=timedelta())
            return outcome, sum(t.calls["send"] for t in deployment.targets.values())

        outcome, sends = play(scenario)
        self.assertIsInstance(outcome, Refused)
        self.assertEqual(sends, 0)
