"""Ownership: at most one daemon decides about a shard, and few shards move."""

import asyncio
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from damaskdeck.coordination.members.membership import (
    NEWCOMER_DELAY,
    OUTAGE_LEASE_GRANT,
)
from damaskdeck.coordination.members.mirrors import Mirror
from damaskdeck.coordination.members.rendezvous import assign_shards
from damaskdeck.coordination.members.tables import OwnerChange, OwnerEntry, Table
from standins.clock import ManualClock, settle
from standins.faults import FaultKind
from standins.store import MemoryStore
from tests.daemons import SHARDS, WORKERS, Deployment

NAMES = ("a", "b", "c")


class OwnershipCase(unittest.IsolatedAsyncioTestCase):
    """Three daemons of one zone that share six workers and two ledgers."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.deployment = Deployment()
        for name in NAMES:
            self.deployment.add(name)
        await self.deployment.advance(4)
        self.daemons = self.deployment.daemons
        self.faults = self.deployment.store.faults

    async def asyncTearDown(self):
        await self.deployment.close()

    def count_owned(self):
        """Return how many workers each daemon decides about."""
        return {name: len(daemon.list_owned()) for name, daemon in self.daemons.items()}

    def assert_all_owned(self):
        """Check that every shard has exactly one decider."""
        for shard in SHARDS:
            self.assertEqual(len(self.deployment.find_deciders(shard)), 1, shard)


class TestTakeover(OwnershipCase):
    """Takeover of the shards of an owner that is dead, paused or cut off."""

    async def test_shards_of_a_dead_owner_get_higher_epochs_elsewhere(self):
        shard = "worker/" + self.daemons["a"].list_owned()[0].partition("/")[2]
        before = self.daemons["a"].ownership.get_epoch(shard)
        self.deployment.kill("a")
        await self.deployment.advance(5)
        self.assert_all_owned()
        (after,) = self.deployment.find_deciders(shard).values()
        self.assertGreater(after, before)

    async def test_takeover_of_all_shards_is_one_write_per_new_owner(self):
        self.deployment.kill("a")
        writes = self.deployment.store.calls["put"]
        await self.deployment.advance(5)
        self.assert_all_owned()
        self.assertLessEqual(self.deployment.store.calls["put"] - writes, 2 * 2)

    async def test_paused_owner_decides_nothing_after_its_lease(self):
        owned = self.daemons["a"].list_owned()
        self.assertTrue(owned)
        self.deployment.pause("a")
        await self.deployment.advance(6)
        self.assertEqual(self.daemons["a"].list_owned(), ())
        self.assert_all_owned()
        self.deployment.resume("a")
        await self.deployment.advance(1)
        self.assertTrue(set(owned) <= set(self.daemons["a"].losses))
        await self.deployment.advance(9)
        self.assert_all_owned()

    async def test_short_pause_moves_nothing(self):
        before = self.count_owned()
        self.deployment.pause("a")
        await self.deployment.advance(1.5)
        self.deployment.resume("a")
        await self.deployment.advance(5)
        self.assertEqual(self.count_owned(), before)
        self.assertEqual(self.daemons["a"].losses, [])

    async def test_owner_cut_off_alone_stops_before_others_take_over(self):
        owned = self.daemons["a"].list_owned()
        self.deployment.isolate("a")
        await self.deployment.advance(6)
        self.assertEqual(self.daemons["a"].list_owned(), ())
        for shard in owned:
            self.assertEqual(len(self.deployment.find_deciders(shard)), 1)

    async def test_owner_cut_off_from_the_store_goes_on_with_lease_grants(self):
        before = {shard: self.deployment.find_deciders(shard) for shard in SHARDS[:6]}
        self.faults.cut_off.add("a")
        await self.deployment.advance(20)
        after = {shard: self.deployment.find_deciders(shard) for shard in SHARDS[:6]}
        self.assertEqual(after, before)

    async def test_one_way_cut_between_owners_moves_nothing_while_the_store_works(self):
        before = self.count_owned()
        self.deployment.switch.cut("a", "b")
        await self.deployment.advance(10)
        self.assertEqual(self.count_owned(), before)

    async def test_lease_grant_holds_until_the_owner_has_stopped(self):
        owned = self.daemons["a"].list_owned()
        self.faults.cut_off.add("a")
        await self.deployment.advance(6)
        self.assertEqual(self.daemons["a"].list_owned(), owned)
        self.deployment.isolate("a")
        await self.deployment.advance(6)
        for shard in owned:
            self.assertEqual(len(self.deployment.find_deciders(shard)), 1)

    async def test_lease_grant_counts_from_before_its_request(self):
        self.deployment.switch.delay = timedelta(milliseconds=600)
        await self.deployment.advance(2)
        owned = self.daemons["a"].list_owned()
        self.faults.cut_off.add("a")
        await self.deployment.advance(6)
        self.assertEqual(self.daemons["a"].list_owned(), owned)
        for other in ("b", "c"):
            self.deployment.switch.cut("a", other)
        await self.deployment.advance(6)
        for shard in owned:
            self.assertEqual(len(self.deployment.find_deciders(shard)), 1)

    async def test_newcomer_takes_nothing_from_an_owner_that_does_not_know_it(self):
        owned = self.daemons["a"].list_owned()
        self.faults.cut_off.add("a")
        await self.deployment.advance(5)
        self.deployment.switch.cut_both("a", "d")
        self.deployment.add("d")
        await self.deployment.advance(8)
        self.assertEqual(self.daemons["a"].list_owned(), owned)
        self.deployment.switch.heal_all()
        await self.deployment.advance(8)
        self.assert_all_owned()

    async def test_old_process_keeps_the_name_while_its_lease_lasts(self):
        old = self.daemons["a"]
        self.deployment.pause("a")
        await self.deployment.advance(0.25)
        new = self.deployment.add("a")
        for _ in range(40):
            await self.deployment.advance(0.25)
            both = set(old.list_owned("ledger")) & set(new.list_owned("ledger"))
            self.assertEqual(both, set())
        self.assert_all_owned()
        old.stop()

    async def test_restarted_owner_regains_its_shards_with_higher_epochs(self):
        owned = self.daemons["a"].list_owned()
        before = {shard: self.deployment.find_deciders(shard)["a"] for shard in owned}
        self.deployment.kill("a")
        self.deployment.add("a")
        await self.deployment.advance(12)
        self.assert_all_owned()
        for shard, epoch in before.items():
            (after,) = self.deployment.find_deciders(shard).values()
            self.assertGreater(after, epoch)


class TestOutage(OwnershipCase):
    """Long outages of the store."""

    async def test_owners_of_workers_go_on_through_an_outage_and_after_it(self):
        before = {shard: self.deployment.find_deciders(shard) for shard in SHARDS[:6]}
        self.faults.outage = True
        for _ in range(15):
            await self.deployment.advance(2)
            now = {shard: self.deployment.find_deciders(shard) for shard in SHARDS[:6]}
            self.assertEqual(now, before)
        self.faults.outage = False
        await self.deployment.advance(5)
        now = {shard: self.deployment.find_deciders(shard) for shard in SHARDS[:6]}
        self.assertEqual(now, before)

    async def test_ledgers_wait_for_the_store_and_come_back_with_new_epochs(self):
        before = {shard: self.deployment.find_deciders(shard) for shard in SHARDS[6:]}
        self.faults.outage = True
        await self.deployment.advance(5)
        for shard in SHARDS[6:]:
            self.assertEqual(self.deployment.find_deciders(shard), {})
        self.faults.outage = False
        await self.deployment.advance(5)
        for shard in SHARDS[6:]:
            (after,) = self.deployment.find_deciders(shard).values()
            self.assertGreater(after, *before[shard].values())

    async def test_owner_cut_off_alone_in_an_outage_stops_and_the_rest_stop_too(self):
        self.faults.outage = True
        for other in ("b", "c"):
            self.deployment.switch.cut_both("a", other)
        await self.deployment.advance(4 + OUTAGE_LEASE_GRANT.total_seconds())
        self.assertEqual(self.count_owned(), {"a": 0, "b": 0, "c": 0})
        self.deployment.switch.heal_all()
        self.faults.outage = False
        await self.deployment.advance(5)
        self.assert_all_owned()

    async def test_owners_go_on_when_a_peer_restarts_in_an_outage(self):
        before = self.count_owned()
        self.faults.outage = True
        await self.deployment.advance(10)
        self.deployment.kill("c")
        await self.deployment.advance(20)
        self.deployment.add("c")
        for _ in range(10):
            await self.deployment.advance(6)
            self.assertEqual(self.count_owned(), {**before, "c": 0})
        self.faults.outage = False
        await self.deployment.advance(5)
        self.assert_all_owned()

    async def test_long_promise_of_an_outage_is_kept_after_it(self):
        self.faults.outage = True
        await self.deployment.advance(10)
        owned = self.daemons["a"].list_owned()
        self.faults.outage = False
        self.deployment.isolate("a")
        for name in ("b", "c"):
            self.daemons[name].members._newcomer_delay = NEWCOMER_DELAY
        await self.deployment.advance(OUTAGE_LEASE_GRANT.total_seconds() + 6)
        for shard in owned:
            self.assertEqual(len(self.deployment.find_deciders(shard)), 1)
        self.assertEqual(self.daemons["a"].list_owned(), ())

    async def test_earlier_lease_grants_bind_a_member_that_returns(self):
        self.deployment.pause("c")
        self.faults.cut_off.add("a")
        await self.deployment.advance(18)
        self.deployment.resume("c")
        await self.deployment.advance(2)
        self.faults.cut_off.clear()
        self.assertTrue(self.daemons["b"].list_owned())
        self.deployment.pause("b")
        await self.deployment.advance(45)
        self.assert_all_owned()

    async def test_only_member_of_a_zone_goes_on(self):
        for name in ("b", "c"):
            await self.drain(name)
        self.faults.outage = True
        await self.deployment.advance(20)
        self.assertEqual(self.count_owned(), {"a": 6})

    async def test_outage_during_a_takeover_leaves_no_two_owners(self):
        self.deployment.pause("a")
        await self.deployment.advance(2.5)
        self.faults.outage = True
        await self.deployment.advance(3)
        self.deployment.resume("a")
        await self.deployment.advance(3)
        self.faults.outage = False
        await self.deployment.advance(8)
        self.assert_all_owned()

    async def test_member_that_left_decides_nothing_though_it_handed_over_nothing(self):
        await self.daemons["a"].members.leave()
        self.assertEqual(self.daemons["a"].list_owned(), ())
        await self.deployment.advance(6)
        self.assert_all_owned()

    async def drain(self, name):
        """Let a daemon hand over all its shards and leave."""
        daemon = self.daemons[name]
        await daemon.ownership.drain()
        await daemon.members.leave()
        self.deployment.kill(name)
        await self.deployment.advance(2)


class TestHandover(OwnershipCase):
    """Handovers when daemons drain and join."""

    async def test_drain_hands_over_without_the_clock_moving(self):
        owned = self.daemons["a"].list_owned()
        started_at = self.deployment.clock.monotonic()
        await self.daemons["a"].ownership.drain()
        await settle()
        self.deployment.check()
        self.assert_all_owned()
        self.assertEqual(self.deployment.clock.monotonic(), started_at)
        self.assertEqual(self.daemons["a"].list_owned(), ())
        self.assertTrue(set(owned) <= set(self.daemons["a"].losses))

    async def test_loss_handlers_return_before_the_successor_may_decide(self):
        deciders = []

        async def note(shard, epoch):
            await settle()
            deciders.append(self.deployment.find_deciders(shard))

        self.daemons["a"].ownership.on_loss("worker", note)
        await self.daemons["a"].ownership.drain()
        self.assertTrue(deciders)
        self.assertEqual([found for found in deciders if found], [])

    async def test_gaining_daemon_decides_only_after_its_handlers_returned(self):
        gate = asyncio.Event()

        async def wait(shard, epoch):
            await gate.wait()

        for name in ("b", "c"):
            self.daemons[name].ownership.on_gain("worker", wait)
        owned = self.daemons["a"].list_owned()
        await self.daemons["a"].ownership.drain()
        await self.deployment.advance(1)
        for shard in owned:
            self.assertEqual(self.deployment.find_deciders(shard), {})
        gate.set()
        await self.deployment.advance(0.25)
        self.assert_all_owned()

    async def test_join_moves_few_shards_and_none_twice(self):
        before = {shard: self.deployment.find_deciders(shard) for shard in SHARDS}
        self.deployment.add("d")
        await self.deployment.advance(10)
        self.assert_all_owned()
        after = {shard: self.deployment.find_deciders(shard) for shard in SHARDS}
        moved = [shard for shard in SHARDS if before[shard] != after[shard]]
        self.assertTrue(any("d" in after[shard] for shard in moved))
        self.assertLessEqual(len(moved), 4)
        for shard in moved:
            (old,), (new,) = before[shard].values(), after[shard].values()
            self.assertEqual(new, old + 1)

    async def test_change_that_arrives_during_a_handover_gives_nothing_back(self):
        gate = asyncio.Event()
        daemon = self.daemons["a"]

        async def wait(shard, epoch):
            await gate.wait()

        daemon.ownership.on_loss("worker", wait)
        owned = daemon.list_owned()
        drain = asyncio.ensure_future(daemon.ownership.drain())
        await self.deployment.advance(0)
        self.daemons["b"].ownership.set_shards("worker", (*WORKERS, "w9"))
        self.daemons["c"].ownership.set_shards("worker", (*WORKERS, "w9"))
        await self.deployment.advance(3)
        self.assertEqual(daemon.list_owned(), ())
        gate.set()
        await drain
        await self.deployment.advance(1)
        for shard in owned:
            self.assertEqual(len(self.deployment.find_deciders(shard)), 1)

    async def test_removed_shard_returns_with_a_higher_epoch(self):
        (before,) = self.deployment.find_deciders("worker/w0").values()
        for daemon in self.daemons.values():
            daemon.ownership.set_shards("worker", WORKERS[1:])
        await self.deployment.advance(13)
        self.assertEqual(self.deployment.find_deciders("worker/w0"), {})
        for daemon in self.daemons.values():
            daemon.ownership.set_shards("worker", WORKERS)
        await self.deployment.advance(2)
        (after,) = self.deployment.find_deciders("worker/w0").values()
        self.assertGreater(after, before)


class TestWrites(OwnershipCase):
    """Writes of the ownership table that race or lose their answer."""

    async def test_lost_answer_of_a_takeover_that_took_effect(self):
        await self.lose_puts(FaultKind.LOSE_ANSWER)

    async def test_lost_takeover_that_took_no_effect(self):
        await self.lose_puts(FaultKind.LOSE_CALL)

    async def lose_puts(self, kind):
        """Lose the writes of a takeover; the epoch of each shard still rises by one."""
        owned = self.daemons["a"].list_owned()
        before = {shard: self.deployment.find_deciders(shard)["a"] for shard in owned}
        self.deployment.kill("a")
        self.faults.plan("put", kind, kind)
        await self.deployment.advance(6)
        self.assertEqual(self.faults.planned["put"], [])
        self.assert_all_owned()
        for shard, epoch in before.items():
            (after,) = self.deployment.find_deciders(shard).values()
            self.assertEqual(after, epoch + 1)

    async def test_lost_answer_of_a_handover_leaves_one_decider(self):
        self.faults.plan("put", FaultKind.LOSE_ANSWER)
        drain = asyncio.ensure_future(self.daemons["a"].ownership.drain())
        await settle()
        self.assertEqual(self.daemons["a"].list_owned(), ())
        await self.deployment.advance(2)
        await drain
        self.assert_all_owned()
        self.assertEqual(self.daemons["a"].list_owned(), ())

    async def test_drain_tries_again_when_a_write_is_refused_or_overtaken(self):
        for kind in (FaultKind.REFUSE, FaultKind.LOSE_CALL):
            self.faults.plan("put", kind)
        self.daemons["a"].tasks.pop().cancel()
        drain = asyncio.ensure_future(self.daemons["a"].ownership.drain())
        await self.deployment.advance(2)
        await drain
        self.assertEqual(self.daemons["a"].list_owned(), ())
        self.assert_all_owned()

    async def test_drain_in_an_outage_ends_and_keeps_what_it_cannot_hand_over(self):
        before = self.count_owned()
        self.faults.outage = True
        drain = asyncio.ensure_future(self.daemons["a"].ownership.drain())
        await self.deployment.advance(2)
        await drain
        self.assertEqual(self.count_owned(), before)

    async def test_racing_claims_of_new_shards_have_one_winner(self):
        self.faults.delay = timedelta(milliseconds=100)
        for index, daemon in enumerate(self.daemons.values()):
            names = (*WORKERS, *(f"x{number}" for number in range(index, index + 4)))
            daemon.ownership.set_shards("worker", names)
        await self.deployment.advance(5)
        deciders = self.deployment.find_deciders("worker/x2")
        self.assertEqual(len(deciders), 1)

    async def test_refused_handover_leaves_the_shard_with_its_owner(self):
        owned = self.daemons["a"].list_owned()
        self.faults.plan("put", FaultKind.REFUSE, FaultKind.REFUSE)
        self.deployment.add("d")
        await self.deployment.advance(10)
        self.assert_all_owned()
        self.assertTrue(owned)


class TestTable(unittest.IsolatedAsyncioTestCase):
    """Compare-and-swap on one table by two writers."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.tables = []
        for name in ("a", "b"):
            client = self.store.connect(name)
            mirror = Mirror(client, "ownership/")
            self.tables.append(Table("ownership/x", mirror, client, self.clock))
        self.first, self.second = self.tables
        self.claims = [
            {"w0": OwnerChange(None, OwnerEntry(name, f"{name}.1", 1))}
            for name in ("a", "b")
        ]

    async def test_second_of_two_claims_is_refused_and_shown_the_first(self):
        self.assertTrue(await self.first.commit(self.claims[0]))
        self.assertFalse(await self.second.commit(self.claims[1]))
        self.assertEqual(self.second.owners["w0"].instance, "a")

    async def test_change_of_something_else_than_expected_writes_nothing(self):
        self.assertTrue(await self.first.commit(self.claims[0]))
        before = self.store.revision
        stale = {
            "w0": OwnerChange(OwnerEntry("a", "a.0", 1), OwnerEntry("b", "b.1", 2))
        }
        self.assertFalse(await self.first.commit(stale))
        self.assertEqual(self.store.revision, before)

    async def test_lost_write_overtaken_by_another_is_distinguished_from_a_made_one(
        self,
    ):
        for kind, is_made in (
            (FaultKind.LOSE_ANSWER, True),
            (FaultKind.LOSE_CALL, False),
        ):
            entry = self.first.owners.get("w0")
            mine = {"w0": OwnerChange(entry, OwnerEntry("a", "a.1", 7))}
            theirs = {
                "w1": OwnerChange(self.second.owners.get("w1"), OwnerEntry("b", "b", 2))
            }
            self.store.faults.plan("put", kind)
            commit = asyncio.ensure_future(self.first.commit(mine))
            await settle()
            await self.second._mirror.refresh()
            self.assertTrue(await self.second.commit(theirs))
            await self.clock.advance(timedelta(seconds=1))
            self.assertEqual(await commit, is_made)
            self.assertEqual("w0" in self.first.owners, is_made)
            self.assertEqual(self.first.owners["w1"].instance, "b")
            await self.asyncSetUp()


class TestAssignment(unittest.TestCase):
    """Assignment of shards to members."""

    def test_spread_is_even_and_moves_are_few(self):
        names = [f"w{index}" for index in range(88)]
        members = ["a", "b", "c"]
        before = assign_shards(names, members)
        after = assign_shards(names, [*members, "d"])
        moved = [name for name in names if before[name] != after[name]]
        self.assertLessEqual(max(Counter(before.values()).values()), 33)
        self.assertLessEqual(max(Counter(after.values()).values()), 25)
        self.assertLessEqual(len(moved), 2 * 22)


class OwnershipMachine(RuleBasedStateMachine):
    """Faults in any order; two daemons never decide about one thing."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.run(self.begin())

    def run(self, coroutine):
        """Run a coroutine on the machine's loop."""
        return self.loop.run_until_complete(coroutine)

    async def begin(self):
        """Start three daemons."""
        self.deployment = Deployment()
        for name in NAMES:
            self.deployment.add(name)
        await self.deployment.advance(3)

    @rule(seconds=st.sampled_from((0.25, 1, 2.75, 4)))
    def advance(self, seconds):
        self.run(self.deployment.advance(seconds))

    @rule(seconds=st.sampled_from((6, 20, 33)))
    def advance_far(self, seconds):
        self.run(self.deployment.advance(seconds))

    @rule(sender=st.sampled_from(NAMES), receiver=st.sampled_from(NAMES))
    def cut(self, sender, receiver):
        self.deployment.switch.cut(sender, receiver)

    @rule(name=st.sampled_from(NAMES))
    def isolate(self, name):
        self.deployment.isolate(name)

    @rule()
    def heal(self):
        self.deployment.switch.heal_all()
        self.deployment.store.faults.cut_off.clear()

    @rule(name=st.sampled_from(NAMES))
    def cut_off(self, name):
        self.deployment.store.faults.cut_off.add(name)

    @rule()
    def toggle_outage(self):
        faults = self.deployment.store.faults
        faults.outage = not faults.outage

    @rule(seconds=st.sampled_from((0, 0.1, 1.5, 6)))
    def delay_store(self, seconds):
        self.deployment.store.faults.delay = timedelta(seconds=seconds)

    @rule(seconds=st.sampled_from((0, 0.4, 3)))
    def delay_peers(self, seconds):
        self.deployment.switch.jitter = timedelta(seconds=seconds)

    @rule(
        operation=st.sampled_from(("put", "renew_lease", "grant_lease")),
        kind=st.sampled_from(FaultKind),
    )
    def fail_call(self, operation, kind):
        self.deployment.store.faults.plan(operation, kind)

    @rule(name=st.sampled_from(NAMES))
    def pause(self, name):
        self.deployment.pause(name)

    @rule(name=st.sampled_from(NAMES))
    def resume(self, name):
        self.deployment.resume(name)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.run(self.replace(name))

    async def replace(self, name):
        """Kill a daemon and start it again."""
        if name in self.deployment.daemons:
            self.deployment.resume(name)
            self.deployment.kill(name)
        self.deployment.add(name)

    @rule()
    def join(self):
        if "d" not in self.deployment.daemons:
            self.run(self.replace("d"))

    @rule(name=st.sampled_from(NAMES))
    def drain(self, name):
        daemon = self.deployment.daemons[name]
        daemon.tasks.append(self.loop.create_task(daemon.ownership.drain()))

    @invariant()
    def one_decider(self):
        self.run(self.deployment.advance(0.5))

    def teardown(self):
        self.run(self.deployment.close())
        self.loop.close()


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=8, stateful_step_count=20
)
