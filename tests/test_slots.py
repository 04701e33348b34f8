"""No target gets more requests than it has slots, under any owner and failure."""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.errors import InvariantError
from damaskdeck.protocol.outcomes import Completed, Refused
from damaskdeck.protocol.ports import Instance, InstanceRole
from standins.clock import ManualClock
from standins.faults import FaultKind
from standins.requests import Layout, RequestDeployment
from standins.targets import make_constant_time
from tests.test_routing import play

ONE = Layout(entries=3, targets=1, slots=2)
SLOW = make_constant_time(timedelta(seconds=5))
TARGET = "target/target-0-0"
LONG = timedelta(seconds=9.5)


def make_pool(clock: ManualClock, slots: int = 2, connections: int = 64) -> SlotPool:
    target = Instance(
        "t", InstanceRole.TARGET, "z", "", slots=slots, connections=connections
    )
    return SlotPool(target, clock)


class TestSlotPool(unittest.TestCase):
    def test_slots_and_connections_bound_what_is_taken(self):
        self.assertEqual(make_pool(ManualClock(), slots=8).count_free(), 8)
        pool = make_pool(ManualClock(), slots=8, connections=1)
        pool.take(LONG)
        self.assertEqual(pool.count_free(), 0)
        self.assertRaises(InvariantError, pool.take, LONG)

    def test_a_slot_is_given_back_once(self):
        pool = make_pool(ManualClock())
        number = pool.take(LONG)
        pool.free(number)
        self.assertRaises(InvariantError, pool.free, number)
        self.assertEqual(pool.count_free(), 2)

    def test_a_held_slot_is_free_after_its_time(self):
        clock = ManualClock()
        pool = make_pool(clock)
        pool.hold(pool.take(LONG), LONG)
        clock.move(LONG - timedelta(microseconds=1))
        self.assertEqual(pool.count_free(), 1)
        clock.move(timedelta(microseconds=1))
        self.assertEqual(pool.count_free(), 2)

    def test_inherited_slots_are_replaced_and_not_added(self):
        pool = make_pool(ManualClock())
        pool.inherit("a", (LONG, LONG))
        self.assertEqual(pool.count_free(), 0)
        pool.inherit("a", (LONG,))
        self.assertEqual(pool.count_free(), 1)


class TestOwners(unittest.TestCase):
    """Requests take 5 s; targets accept everything and count overfills."""

    def play(self, scenario):
        async def run(deployment: RequestDeployment):
            result = await scenario(deployment)
            self.assertEqual(deployment.count_overfills(), 0)
            return result

        return play(run, ONE, service_time=SLOW)

    def start_request(self, deployment, entry, name, timeout=LONG):
        request = deployment.submit(entry, name, timeout=timeout)
        return asyncio.ensure_future(request)

    def test_a_successor_waits_for_the_slots_still_filled(self):
        async def scenario(deployment):
            first = [
                self.start_request(deployment, "entry-0-0", f"a{i}") for i in range(2)
            ]
            await asyncio.sleep(1)
            await deployment.table.hand_over(TARGET, "entry-0-1")
            second = [
                self.start_request(deployment, "entry-0-1", f"b{i}") for i in range(2)
            ]
            return await asyncio.gather(*first, *second)

        outcomes = self.play(scenario)
        self.assertEqual({type(o) for o in outcomes}, {Completed})

    def test_a_successor_of_an_idle_owner_starts_at_once(self):
        async def scenario(deployment):
            await deployment.table.hand_over(TARGET, "entry-0-1")
            await deployment.submit("entry-0-1", "r", timeout=LONG)
            return deployment.clock.monotonic()

        self.assertLess(self.play(scenario), timedelta(seconds=5.2))

    def test_slots_are_not_filled_twice_when_two_owners_follow_one_another(self):
        async def scenario(deployment):
            first = [
                self.start_request(deployment, "entry-0-0", f"a{i}") for i in range(2)
            ]
            await asyncio.sleep(1)
            await deployment.table.hand_over(TARGET, "entry-0-1")
            await deployment.table.hand_over(TARGET, "entry-0-0")
            second = [
                self.start_request(deployment, "entry-0-0", f"b{i}") for i in range(2)
            ]
            return await asyncio.gather(*first, *second)

        outcomes = self.play(scenario)
        self.assertEqual({type(o) for o in outcomes}, {Completed})

    def test_a_dead_owners_calls_keep_their_slots_until_they_have_ended(self):
        async def scenario(deployment):
            for number in range(2):
                self.start_request(deployment, "entry-0-0", f"a{number}")
            await asyncio.sleep(1)
            deployment.kill_entry("entry-0-0")
            await deployment.table.assign(TARGET, "entry-0-1")
            early = await deployment.submit("entry-0-1", "early", timeout=LONG)
            await asyncio.sleep(12)
            late = await deployment.submit("entry-0-1", "late", timeout=LONG)
            return early, late, deployment.log.counts["early"]

        early, late, runs = self.play(scenario)
        self.assertIsInstance(early, Refused)
        self.assertEqual((late, runs), (Completed(b"late"), 0))

    def test_a_second_takeover_still_waits_for_the_first_owners_calls(self):
        async def scenario(deployment):
            for number in range(2):
                self.start_request(deployment, "entry-0-0", f"a{number}")
            await asyncio.sleep(1)
            deployment.kill_entry("entry-0-0")
            await deployment.table.assign(TARGET, "entry-0-1")
            await deployment.table.hand_over(TARGET, "entry-0-2")
            return await deployment.submit("entry-0-2", "b", timeout=LONG)

        self.assertIsInstance(self.play(scenario), Refused)

    def test_an_owner_that_lost_its_lease_in_a_pause_sends_nothing(self):
        async def scenario(deployment):
            view = deployment.table.views["entry-0-0"]
            place = self.start_request(deployment, "entry-0-0", "r")
            view.owned.clear()
            return await place, deployment.log.counts["r"]

        outcome, runs = self.play(scenario)
        self.assertIsInstance(outcome, Refused)
        self.assertEqual(runs, 0)

    def test_a_former_owner_reports_to_its_successor_after_a_pause(self):
        async def scenario(deployment):
            paused = self.start_request(deployment, "entry-0-0", "a")
            await asyncio.sleep(1)
            deployment.switch.pause("entry-0-0")
            await deployment.table.assign(TARGET, "entry-0-1")
            await asyncio.sleep(1)
            deployment.switch.resume("entry-0-0")
            await deployment.table.lose("entry-0-0", TARGET, 1)
            second = self.start_request(deployment, "entry-0-1", "b")
            return await paused, await second, deployment.clock.monotonic()

        *outcomes, time = self.play(scenario)
        self.assertEqual(outcomes, [Completed(b"a"), Completed(b"b")])
        self.assertLess(time, timedelta(seconds=8))

    def test_a_cancelled_caller_leaves_the_slot_filled_until_the_answer(self):
        async def scenario(deployment):
            first = [
                self.start_request(deployment, "entry-0-0", f"a{i}") for i in range(2)
            ]
            await asyncio.sleep(1)
            for task in first:
                task.cancel()
            second = [
                self.start_request(deployment, "entry-0-0", f"b{i}") for i in range(2)
            ]
            outcomes = await asyncio.gather(*second)
            return outcomes, deployment.clock.monotonic()

        outcomes, time = self.play(scenario)
        self.assertEqual({type(o) for o in outcomes}, {Completed})
        self.assertLess(time, timedelta(seconds=10.1))

    def test_a_lost_answer_holds_the_slot_until_the_request_has_ended(self):
        async def scenario(deployment):
            target = deployment.targets["target-0-0"]
            target.faults.plan("send", FaultKind.LOSE_ANSWER, FaultKind.LOSE_ANSWER)
            for number in range(2):
                await deployment.submit("entry-0-0", f"a{number}", timeout=LONG)
            requests = [
                self.start_request(deployment, "entry-0-0", f"b{i}") for i in range(2)
            ]
            return await asyncio.gather(*requests)

        outcomes = self.play(scenario)
        self.assertEqual({type(o) for o in outcomes}, {Refused})

    def test_a_target_that_dies_loses_what_it_ran_and_no_more(self):
        async def scenario(deployment):
            first = [
                self.start_request(deployment, "entry-0-0", f"a{i}") for i in range(2)
            ]
            await asyncio.sleep(1)
            deployment.targets["target-0-0"].die()
            outcomes = await asyncio.gather(*first)
            refused = await deployment.submit("entry-0-0", "b", timeout=LONG)
            return outcomes, refused, deployment.log.counts

        outcomes, refused, counts = self.play(scenario)
        self.assertEqual([o.code for o in outcomes], ["reset", "reset"])
        self.assertIsInstance(refused, Refused)
        self.assertEqual(counts, {"a0": 1, "a1": 1})
