"""Requests run at most once, at owners of targets, and callers get true outcomes."""

import asyncio
import itertools
import sys
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from damaskdeck.protocol.forwarding import (
    ForwardRequest,
    OfferSlots,
    ReportWaitingRequests,
)
from damaskdeck.protocol.handlers import ClaimedKey, KnownKey
from damaskdeck.protocol.outcomes import Completed, Failed, Refused, Unknown
from damaskdeck.protocol.ports import InstanceState, Lost, TargetAnswer, TargetCall
from standins.faults import FaultKind
from standins.loops import LoopClock, run_virtual
from standins.requests import SERVICE, Layout, RequestDeployment
from standins.targets import make_constant_time

SECOND = timedelta(seconds=1)

Scenario = Callable[[RequestDeployment], Awaitable[Any]]


def start_requests(deployment: Any, prefix: str, count: int) -> list[asyncio.Task[Any]]:
    """Start requests at the first entry, named ``prefix`` and a number from 0."""
    requests = [deployment.submit("entry-0-0", f"{prefix}{i}") for i in range(count)]
    return [asyncio.ensure_future(request) for request in requests]


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


class TestForwarding(unittest.TestCase):
    def test_an_entry_without_free_slots_forwards_to_an_owner(self):
        async def scenario(deployment):
            requests = [deployment.submit("entry-0-0", f"r{i}") for i in range(4)]
            outcomes = await asyncio.gather(*requests)
            peaks = [t.peak_running for t in deployment.targets.values()]
            return outcomes, peaks

        outcomes, peaks = play(scenario)
        self.assertEqual(outcomes, [Completed(f"r{i}".encode()) for i in range(4)])
        self.assertEqual(peaks, [2, 2])

    def test_a_request_is_forwarded_once_at_most(self):
        async def scenario(deployment):
            for name in ("target-0-0", "target-0-1"):
                await deployment.table.drop(f"target/{name}")
            outcome = await deployment.submit("entry-0-0", "r")
            return outcome, deployment.switch.messages["entry-0-1"]

        outcome, sent = play(scenario)
        self.assertIsInstance(outcome, Refused)
        self.assertIsNotNone(outcome.retry_after)
        self.assertLessEqual(sent, 1)

    def test_a_quiet_owner_is_still_known_after_a_long_time(self):
        async def scenario(deployment):
            await deployment.table.drop("target/target-0-0")
            await asyncio.sleep(60)
            return await deployment.submit("entry-0-0", "r")

        self.assertEqual(play(scenario), Completed(b"r"))

    def test_other_zones_are_used_only_without_free_slots_in_the_own(self):
        async def scenario(deployment):
            first = await asyncio.gather(
                *(deployment.submit("entry-0-0", f"a{i}") for i in range(4))
            )
            far = [t for n, t in deployment.targets.items() if "-1-" in n]
            before = sum(t.peak_running for t in far)
            second = await asyncio.gather(
                *(deployment.submit("entry-0-0", f"b{i}") for i in range(8))
            )
            return first + second, before, sum(t.peak_running for t in far)

        outcomes, before, after = play(scenario, Layout(zones=2, slots=2))
        self.assertEqual({type(o) for o in outcomes}, {Completed})
        self.assertEqual((before, after), (0, 4))


class TestSharing(unittest.TestCase):
    def test_each_of_many_owners_is_notified_of_waiting_requests(self):
        async def scenario(deployment):
            notified = set()
            send = deployment.switch.find("entry-0-0").send

            def record(instance, message, kind):
                if kind is ReportWaitingRequests:
                    notified.add(instance)
                return send(instance, message, kind)

            deployment.switch.find("entry-0-0").send = record
            requests = []
            for number in range(200):
                request = deployment.submit("entry-0-0", f"r{number}")
                requests.append(asyncio.ensure_future(request))
                await asyncio.sleep(0.005)
            await asyncio.gather(*requests)
            return notified

        layout = Layout(zones=12, entries=1, targets=1, slots=1)
        slow = make_constant_time(timedelta(seconds=0.2))
        self.assertEqual(len(play(scenario, layout, service_time=slow)), 11)


class TestOutcomes(unittest.TestCase):
    def test_a_lost_answer_of_a_non_idempotent_request_is_unknown(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.faults.plan("send", FaultKind.LOSE_ANSWER)
            outcome = await deployment.submit("entry-0-0", "r")
            return outcome, deployment.log.counts["r"]

        self.assertEqual(play(scenario), (Unknown("timeout"), 1))

    def test_a_lost_answer_of_an_idempotent_request_is_retried(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.faults.plan("send", FaultKind.LOSE_ANSWER)
            outcome = await deployment.submit("entry-0-0", "r", idempotent=True)
            return outcome, deployment.log.counts["r"]

        outcome, count = play(scenario)
        self.assertEqual(outcome, Completed(b"r"))
        self.assertIn(count, (2, 3))

    def test_what_no_target_took_is_refused_and_did_not_run(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.die()
            outcome = await deployment.submit("entry-0-0", "r")
            return outcome, deployment.log.counts["r"]

        outcome, count = play(scenario)
        self.assertIsInstance(outcome, Refused)
        self.assertEqual(count, 0)

    def test_a_refusal_after_a_lost_answer_is_still_unknown(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.faults.plan("send", FaultKind.LOSE_ANSWER)
                target.faults.plan("send", *[FaultKind.REFUSE] * 10)
            return await deployment.submit("entry-0-0", "r", idempotent=True)

        self.assertIsInstance(play(scenario), Unknown)

    def test_a_target_that_fails_the_request_says_so(self):
        async def scenario(deployment):
            for target in deployment.targets.values():
                target.fails_everything = True
            return await deployment.submit("entry-0-0", "r")

        self.assertEqual(play(scenario), Failed("status_500"))


class TestLeavingTargets(unittest.TestCase):
    def test_a_target_listed_as_leaving_gets_no_new_requests(self):
        async def scenario(deployment):
            deployment.fleet.mark_leaving("target-0-0")
            for number in range(10):
                await deployment.submit("entry-0-0", f"r{number}")
            return {e.target for e in deployment.log.executions}

        self.assertEqual(play(scenario), {"target-0-1"})

    def test_an_unlisted_target_gets_no_requests_until_it_is_listed_again(self):
        async def scenario(deployment):
            instance = deployment.fleet.get("target-0-0")
            deployment.fleet.remove("target-0-0")
            await deployment.submit("entry-0-0", "r")
            await deployment.table.hand_over("target/target-0-0", "entry-0-1")
            for number in range(6):
                await deployment.submit("entry-0-1", f"r{number}")
            before = {e.target for e in deployment.log.executions}
            deployment.fleet.put(instance)
            await asyncio.sleep(1)
            for number in range(6, 12):
                await deployment.submit("entry-0-1", f"r{number}")
            return before, {e.target for e in deployment.log.executions}

        before, after = play(scenario)
        self.assertEqual((before, len(after)), ({"target-0-1"}, 2))

    def test_a_target_that_refuses_as_leaving_is_asked_once(self):
        async def scenario(deployment):
            target = deployment.targets["target-0-0"]
            target.is_leaving = True
            outcomes = [await deployment.submit("entry-0-0", f"{i}") for i in range(10)]
            state = deployment.fleet.get("target-0-0").state
            return outcomes, target.refused_leaving, state

        outcomes, refused, state = play(scenario)
        self.assertEqual({type(o) for o in outcomes}, {Completed})
        self.assertEqual((refused, state), (1, InstanceState.LIVE))


class TestOwnedTargets(unittest.TestCase):
    def test_a_lane_created_during_a_probe_does_not_end_the_probing(self):
        async def scenario(deployment):
            owned = deployment.routers["entry-0-0"]._owned
            owned.get_lane(SERVICE)._health["target-0-0"].eject()
            probed = []

            async def probe(target, timeout):
                probed.append(target.name)
                owned.get_lane("another")
                return Lost("timeout")

            owned._targets.probe = probe
            await asyncio.sleep(10)
            return len(probed), deployment._router_tasks["entry-0-0"].done()

        count, has_ended = play(scenario)
        self.assertFalse(has_ended)
        self.assertGreater(count, 1)

    def test_a_target_that_leaves_while_it_is_taken_over_is_known_to_leave(self):
        async def scenario(deployment):
            owned = deployment.routers["entry-0-0"]._owned
            target = deployment.targets["target-0-0"].instance
            await deployment.table.drop("target/target-0-0")
            hold_inherited = owned._handover.hold_inherited

            async def hold_slowly(pool, epoch):
                deployment.fleet.put(target._replace(state=InstanceState.LEAVING))
                await hold_inherited(pool, epoch)

            owned._handover.hold_inherited = hold_slowly
            await deployment.table.assign("target/target-0-0", "entry-0-0")
            return owned.get_lane(SERVICE).pools["target-0-0"].target.state

        self.assertEqual(play(scenario), InstanceState.LEAVING)


class TestDrain(unittest.TestCase):
    def test_what_was_accepted_is_finished_and_what_is_new_goes_elsewhere(self):
        async def scenario(deployment):
            router = deployment.routers["entry-0-0"]
            old = [
                asyncio.ensure_future(deployment.submit("entry-0-0", f"old{i}"))
                for i in range(20)
            ]
            await asyncio.sleep(0.01)
            drain = asyncio.ensure_future(router.drain())
            await asyncio.sleep(0.01)
            new = await deployment.submit("entry-0-0", "new")
            self.assertFalse(drain.done())
            await drain
            target = deployment.targets["target-0-0"]
            return [t.done() and t.result() for t in old], new, target.running

        old, new, running = play(scenario)
        self.assertEqual(old, [Completed(f"old{i}".encode()) for i in range(20)])
        self.assertEqual((new, running), (Completed(b"new"), 0))

    def test_peers_requests_are_refused_with_a_hint_when_nobody_else_is_left(self):
        async def scenario(deployment):
            await deployment.routers["entry-0-0"].drain()
            deployment.kill_entry("entry-0-1")
            await asyncio.sleep(1)
            return await deployment.submit("entry-0-0", "r")

        outcome = play(scenario)
        self.assertEqual((outcome.code, outcome.retry_after), ("draining", SECOND))

    def test_requests_that_wait_move_on_when_the_targets_are_handed_over(self):
        async def scenario(deployment):
            requests = [
                asyncio.ensure_future(deployment.submit("entry-0-0", f"r{i}"))
                for i in range(8)
            ]
            await asyncio.sleep(0.01)
            await deployment.table.hand_over("target/target-0-0", "entry-0-1")
            return await asyncio.gather(*requests), deployment.count_overfills()

        outcomes, overfills = play(scenario)
        self.assertEqual(outcomes, [Completed(f"r{i}".encode()) for i in range(8)])
        self.assertEqual(overfills, 0)

    def test_requests_that_move_are_served_before_those_with_more_time(self):
        async def scenario(deployment):
            soon = timedelta(seconds=0.3)
            requests = [deployment.submit("entry-0-1", f"b{i}") for i in range(30)]
            requests += [
                deployment.submit("entry-0-0", f"a{i}", timeout=soon) for i in "1234"
            ]
            requests = [asyncio.ensure_future(request) for request in requests]
            await asyncio.sleep(0.01)
            await deployment.table.hand_over("target/target-0-0", "entry-0-1")
            return {type(outcome) for outcome in await asyncio.gather(*requests)}

        self.assertEqual(play(scenario), {Completed})


class TestCancellation(unittest.TestCase):
    def test_mass_cancellation_costs_linear_work_and_no_store_call(self):
        small, few = self.count_work(1000)
        large, many = self.count_work(10_000)
        self.assertLess(large / small, 11)
        self.assertEqual((few, many), ([], []))

    def count_work(self, size: int) -> tuple[int, list[str]]:
        """Count the function calls of a mass cancellation, and list key calls."""
        keys = Keys()
        calls = 0

        def count(*_: object) -> None:
            nonlocal calls
            calls += 1

        async def scenario(deployment):
            requests = [
                asyncio.ensure_future(
                    deployment.submit("entry-0-0", f"r{i}", team=f"team-{i % 20}")
                )
                for i in range(size)
            ]
            await asyncio.sleep(0.01)
            sys.setprofile(count)
            for task in reversed(requests):
                task.cancel()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            sys.setprofile(None)
            self.assertTrue(all(task.cancelled() for task in requests))

        play(scenario, keys=keys)
        return calls, keys.calls

    def test_a_cancelled_caller_leaves_the_queue(self):
        async def scenario(deployment):
            requests = [
                asyncio.ensure_future(deployment.submit("entry-0-0", f"r{i}"))
                for i in range(12)
            ]
            await asyncio.sleep(0.01)
            for task in requests[:11]:
                task.cancel()
            last = await requests[11]
            return last, deployment.clock.monotonic(), deployment.log.counts

        last, time, counts = play(scenario)
        self.assertEqual(last, Completed(b"r11"))
        self.assertLess(time, timedelta(seconds=0.11))
        self.assertLessEqual(sum(counts.values()), 5)

    def test_a_slot_assigned_while_its_caller_is_cancelled_is_released(self):
        async def scenario(deployment):
            lane = deployment.routers["entry-0-0"]._owned.get_lane(SERVICE)
            pool = lane.pools["target-0-0"]
            first = start_requests(deployment, "a", 4)
            await asyncio.sleep(0.01)
            request = asyncio.ensure_future(deployment.submit("entry-0-0", "b"))
            await asyncio.sleep(0)
            pool.target = pool.target._replace(slots=3)
            lane.assign_free_slots()
            request.cancel()
            await asyncio.gather(*first, request, return_exceptions=True)
            return pool.busy

        self.assertEqual(play(scenario), 0)

    def test_a_slot_freed_while_a_caller_is_cancelled_is_not_lost(self):
        async def scenario(deployment):
            lane = deployment.routers["entry-0-0"]._owned.get_lane(SERVICE)
            pool = lane.pools["target-0-0"]
            first = start_requests(deployment, "a", 4)
            await asyncio.sleep(0.01)
            request = asyncio.ensure_future(deployment.submit("entry-0-0", "b"))
            await asyncio.sleep(0)
            pool.target = pool.target._replace(slots=3)
            request.cancel()
            lane.assign_free_slots()
            await asyncio.gather(*first, request, return_exceptions=True)
            return pool.busy

        self.assertEqual(play(scenario), 0)

    def test_an_offer_during_a_cancellation_goes_to_the_next_waiter(self):
        async def scenario(deployment):
            first = start_requests(deployment, "a", 4)
            await asyncio.sleep(0.01)
            requests = start_requests(deployment, "b", 2)
            await asyncio.sleep(0)
            requests[0].cancel()
            router = deployment.routers["entry-0-0"]
            offer = OfferSlots(service=SERVICE, count=1)
            await router._sharing._handle_offer("entry-0-1", offer)
            waiting = len(router._owned.get_lane(SERVICE).queue)
            await asyncio.gather(*first, return_exceptions=True)
            return waiting, await requests[1]

        self.assertEqual(play(scenario), (0, Completed(b"b1")))

    def test_a_forward_that_ends_long_after_its_deadline_leaves_no_entry(self):
        async def scenario(deployment):
            forwarder = deployment.routers["entry-0-0"]._forwarder
            served = []

            async def serve(context):
                served.append(context.request.identifier)
                await asyncio.sleep(5 if context.request.identifier == "a" else 0)
                return Completed(b"")

            forwarder._serve = serve
            counts = []
            forwards = [
                asyncio.ensure_future(self.forward(forwarder, "a")),
                asyncio.ensure_future(self.forward(forwarder, "b", 2.5)),
                asyncio.ensure_future(self.forward(forwarder, "a", 3)),
            ]
            await asyncio.sleep(4)
            counts.append(forwarder.received_count)
            await asyncio.gather(*forwards)
            await asyncio.sleep(10)
            await self.forward(forwarder, "c")
            return served, counts, len(forwarder._received)

        self.assertEqual(play(scenario), (["a", "b", "c"], [1], 1))

    async def forward(self, forwarder, identifier, wait=0.0):
        """Forward a request as a peer."""
        await asyncio.sleep(wait)
        message = ForwardRequest(
            identifier=identifier,
            attempt=1,
            service=SERVICE,
            team="team",
            body=b"",
            content_type="",
            urgency="normal",
            idempotent=False,
            timeout=1.0,
            patience=1.0,
            waiting=0,
        )
        return await forwarder._handle_forward("entry-0-1", message)

    def test_a_cancelled_forward_leaves_the_queue_of_the_owner(self):
        async def scenario(deployment):
            await deployment.table.drop("target/target-0-0")
            await asyncio.sleep(0.5)
            requests = [
                asyncio.ensure_future(deployment.submit("entry-0-0", f"r{i}"))
                for i in range(12)
            ]
            await asyncio.sleep(0.01)
            for task in requests:
                task.cancel()
            await asyncio.sleep(1)
            return deployment.log.counts

        counts = play(scenario)
        self.assertEqual(sum(counts.values()), 2)


class Answers:
    """Targets whose answers to two callers are late, duplicated and mixed up.

    :param picks: for each call in turn, the index of the call that is answered.
    """

    def __init__(self, picks: tuple[int, ...]) -> None:
        self.picks = list(picks)
        self.calls: list[TargetCall] = []
        self.true: set[str] = set()

    async def send(self, target, call, timeout):
        self.calls.append(call)
        await asyncio.sleep(0.01)
        pick = self.picks.pop(0) if self.picks else 0
        answered = self.calls[min(pick, len(self.calls) - 1)]
        if answered is call:
            self.true.add(call.request)
        body = answered.request.encode()
        return TargetAnswer(answered.request, answered.attempt, 200, body)


class TestAnswers(unittest.TestCase):
    def test_no_order_of_answers_mixes_up_two_callers(self):
        for picks in itertools.product(range(4), repeat=4):
            for idempotent in (True, False):
                self.check(picks, idempotent)

    def check(self, picks, idempotent):
        answers = Answers(picks)

        async def scenario(deployment):
            for router in deployment.routers.values():
                router._sender._targets = answers
            requests = (
                deployment.submit("entry-0-0", name, idempotent=idempotent)
                for name in ("a", "b")
            )
            return await asyncio.gather(*requests)

        outcomes = play(scenario)
        for name, outcome in zip(("a", "b"), outcomes, strict=True):
            own = Completed(name.encode())
            expected = own if name in answers.true else Unknown("answer_crossed")
            self.assertEqual(outcome, expected, picks)
        if not idempotent:
            self.assertEqual(sorted(c.request for c in answers.calls), ["a", "b"])

    def test_a_crossed_reply_of_a_peer_is_dropped(self):
        async def scenario(deployment):
            await deployment.table.drop("target/target-0-0")
            await asyncio.sleep(0.5)
            peers = deployment.switch.find("entry-0-1")
            handler = peers._handlers["forward_request"]

            async def cross(instance, message):
                return {**await handler(instance, message), "identifier": "another"}

            peers.register(ForwardRequest, cross)
            return await deployment.submit("entry-0-0", "r"), deployment.log.counts["r"]

        self.assertEqual(play(scenario), (Unknown("answer_crossed"), 1))

    def test_a_doubled_message_runs_once(self):
        async def scenario(deployment):
            await deployment.table.drop("target/target-0-0")
            await asyncio.sleep(0.5)
            peers = deployment.switch.find("entry-0-1")
            handler = peers._handlers["forward_request"]

            async def double(instance, message):
                first, second = await asyncio.gather(
                    handler(instance, message), handler(instance, message)
                )
                third = await handler(instance, message)
                self.assertEqual((second, third), (None, None))
                return first

            peers.register(ForwardRequest, double)
            return await deployment.submit("entry-0-0", "r"), deployment.log.counts["r"]

        self.assertEqual(play(scenario), (Completed(b"r"), 1))


class TestLinks(unittest.TestCase):
    """The first entry owns nothing and must forward to the second."""

    def play(self, scenario):
        async def run(deployment):
            await deployment.table.drop("target/target-0-0")
            await asyncio.sleep(0.5)
            outcome = await scenario(deployment)
            return outcome, deployment.log.counts["r"]

        return play(run)

    def test_a_request_lost_on_the_way_is_unknown(self):
        async def scenario(deployment):
            deployment.switch.cut("entry-0-0", "entry-0-1")
            return await deployment.submit("entry-0-0", "r")

        self.assertEqual(self.play(scenario), (Unknown("timeout"), 0))

    def test_a_reply_lost_on_the_way_is_unknown(self):
        async def scenario(deployment):
            deployment.switch.cut("entry-0-1", "entry-0-0")
            return await deployment.submit("entry-0-0", "r")

        self.assertEqual(self.play(scenario), (Unknown("timeout"), 1))

    def test_a_zone_cut_off_goes_on_with_its_own_targets(self):
        async def scenario(deployment):
            for name in deployment.routers:
                deployment.switch.cut_both("entry-0-1", name)
            await asyncio.sleep(2)
            requests = [deployment.submit("entry-0-1", f"r{i}") for i in range(20)]
            return {type(outcome) for outcome in await asyncio.gather(*requests)}

        self.assertEqual(self.play(scenario)[0], {Completed})

    def test_an_owner_that_dies_with_a_forwarded_request_is_unknown(self):
        async def scenario(deployment):
            request = asyncio.ensure_future(deployment.submit("entry-0-0", "r"))
            await asyncio.sleep(0.01)
            deployment.kill_entry("entry-0-1")
            return await request

        outcome, runs = self.play(scenario)
        self.assertEqual((type(outcome), runs), (Unknown, 1))


class Keys:
    """Stores keys in memory, counts calls and may be down."""

    def __init__(self) -> None:
        self.is_down = False
        self.calls: list[str] = []
        self.claimed: dict[str, Any] = {}

    async def claim_key(self, team, service, key, digest, timeout):
        self.calls.append("claim")
        if self.is_down:
            return Refused("store_down", retry_after=SECOND)
        if key in self.claimed:
            outcome = self.claimed[key]
            return KnownKey(outcome) if outcome else Refused("in_progress")
        self.claimed[key] = None
        return ClaimedKey()

    async def settle_key(self, team, service, key, outcome):
        self.calls.append("settle")
        self.claimed[key] = outcome
        return True


class TestKeys(unittest.TestCase):
    def play(self, scenario):
        keys = Keys()

        async def run(deployment):
            outcome = await scenario(deployment, keys)
            return outcome, deployment.log.counts

        return *play(run, keys=keys), keys

    def test_a_key_is_claimed_before_and_settled_after_the_request(self):
        async def scenario(deployment, keys):
            first = await deployment.submit("entry-0-0", "a", key="k")
            second = await deployment.submit("entry-0-1", "b", key="k")
            return first, second

        outcomes, counts, keys = self.play(scenario)
        self.assertEqual(outcomes, (Completed(b"a"), Completed(b"a")))
        self.assertEqual(counts, {"a": 1})
        self.assertEqual(keys.calls, ["claim", "settle", "claim"])

    def test_nothing_is_sent_when_the_key_cannot_be_claimed(self):
        async def scenario(deployment, keys):
            keys.is_down = True
            return await deployment.submit("entry-0-0", "a", key="k")

        outcome, counts, _ = self.play(scenario)
        self.assertEqual((outcome.code, counts), ("store_down", {}))

    def test_requests_without_a_key_never_ask_the_store(self):
        async def scenario(deployment, keys):
            keys.is_down = True
            requests = (deployment.submit("entry-0-0", f"r{i}") for i in range(30))
            return await asyncio.gather(*requests)

        outcomes, _, keys = self.play(scenario)
        self.assertEqual({type(o) for o in outcomes}, {Completed})
        self.assertEqual(keys.calls, [])

    def settle_slowly(self, keys):
        """Delay the settling of keys by 50 ms."""
        settle = keys.settle_key

        async def settle_late(*args):
            await asyncio.sleep(0.05)
            return await settle(*args)

        keys.settle_key = settle_late

    def test_an_outcome_is_stored_though_its_caller_is_cancelled(self):
        async def scenario(deployment, keys):
            self.settle_slowly(keys)
            request = asyncio.ensure_future(
                deployment.submit("entry-0-0", "a", key="k")
            )
            await asyncio.sleep(0.07)
            request.cancel()
            await asyncio.sleep(0.1)
            return await deployment.submit("entry-0-0", "b", key="k")

        outcome, counts, _ = self.play(scenario)
        self.assertEqual((outcome, counts), (Completed(b"a"), {"a": 1}))

    def test_a_key_claimed_during_a_cancellation_is_settled_as_not_run(self):
        async def scenario(deployment, keys):
            claim = keys.claim_key

            async def claim_slowly(*args):
                found = await claim(*args)
                await asyncio.sleep(0.05)
                return found

            keys.claim_key = claim_slowly
            request = asyncio.ensure_future(
                deployment.submit("entry-0-0", "a", key="k")
            )
            await asyncio.sleep(0.01)
            request.cancel()
            await asyncio.sleep(0.1)
            return await deployment.submit("entry-0-0", "b", key="k")

        outcome, counts, _ = self.play(scenario)
        self.assertEqual((outcome, counts), (Refused("cancelled"), {}))

    def test_draining_waits_until_outcomes_are_stored(self):
        async def scenario(deployment, keys):
            self.settle_slowly(keys)
            request = asyncio.ensure_future(
                deployment.submit("entry-0-0", "a", key="k")
            )
            await asyncio.sleep(0.01)
            request.cancel()
            await asyncio.sleep(0)
            await deployment.routers["entry-0-0"].drain()
            return keys.claimed["k"]

        outcome, _, _ = self.play(scenario)
        self.assertEqual(outcome, Completed(b"a"))

    def test_a_cancelled_keyed_request_is_settled_with_its_answer(self):
        async def scenario(deployment, keys):
            request = asyncio.ensure_future(
                deployment.submit("entry-0-0", "a", key="k")
            )
            await asyncio.sleep(0.01)
            request.cancel()
            await asyncio.sleep(0.1)
            return await deployment.submit("entry-0-0", "b", key="k")

        outcome, counts, _ = self.play(scenario)
        self.assertEqual((outcome, counts), (Completed(b"a"), {"a": 1}))
