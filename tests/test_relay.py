"""Relay of the configuration between daemons, under failures."""

import asyncio
import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.coordination.configuration.tombstones import remove_tombstones
from damaskdeck.coordination.configuration.writes import (
    Absent,
    Declared,
    Deleted,
    Invalid,
    Outdated,
)
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.protocol.ports import Found, Missing
from damaskdeck.protocol.resources import Kind
from damaskdeck.state.versions import encode_resource
from standins.clock import settle
from standins.faults import FaultKind
from tests.cluster import Cluster, LaggingStore, make_team, make_workload

LOSE_ANSWER, LOSE_CALL = FaultKind.LOSE_ANSWER, FaultKind.LOSE_CALL
IN_FORCE_LIMIT = 7.0


class ClusterCase(unittest.IsolatedAsyncioTestCase):
    """Three zones of three daemons with a configuration in force."""

    zones = (3, 3, 3)

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.cluster = Cluster(*self.zones)
        await self.cluster.pass_time(3)
        await self.cluster["d00"].put_weight(1.0)
        await self.cluster.pass_time(1)

    async def asyncTearDown(self) -> None:
        await self.cluster.stop()

    def assert_all(self, weight: float | None) -> None:
        """Check that every live daemon has ``weight`` in force."""
        live = [d for d in self.cluster.daemons.values() if not d.task.done()]
        self.assertEqual(
            {d.name: d.weight for d in live},
            dict.fromkeys([d.name for d in live], weight),
        )

    def assert_never_lower(self) -> None:
        """Check that no daemon went back; the weights in these tests only rise."""
        for daemon in self.cluster.daemons.values():
            self.assertEqual(daemon.weights, sorted(daemon.weights), daemon.name)
            self.assertEqual(daemon.seen, sorted(daemon.seen), daemon.name)


class TestRelay(ClusterCase):
    """Choice of the watchers, and distribution of changes."""

    async def test_two_daemons_of_a_zone_watch_and_an_idle_watch_is_one_call(self):
        for zone in ("z0", "z1", "z2"):
            self.assertEqual(len(self.cluster.find_watchers(zone)), 2)
        before = self.cluster.store.calls["watch"]
        await self.cluster.pass_time(60)
        calls = self.cluster.store.calls["watch"] - before
        self.assertLessEqual(calls, 6 * 2)
        self.assertEqual(self.cluster.store.waiting_watches, 6)

    async def test_every_daemon_reports_the_revision_in_force(self):
        done = await self.cluster["d11"].put_weight(2.0)
        revision = done.resource["metadata"]["revision"]
        relay = self.cluster["d22"].relay
        status = await relay.read_in_force(revision)
        self.assertTrue(status.is_everywhere)
        self.assertEqual(len(status.revisions), 9)
        await self.cluster.pass_time(0.1)
        status = await relay.read_in_force(revision + 1)
        self.assertFalse(status.is_everywhere)
        self.assertEqual(set(status.revisions.values()), {revision})

    async def test_a_daemon_that_does_not_answer_counts_by_its_last_heartbeat(self):
        done = await self.cluster["d11"].put_weight(2.0)
        revision = done.resource["metadata"]["revision"]
        self.cluster.switch.cut("d22", "d00")
        reading = self.cluster["d22"].relay.read_in_force(revision)
        status = await self.cluster.finish(reading, 1.5)
        self.assertEqual(len(status.revisions), 9)
        self.assertTrue(status.is_everywhere)

    async def test_a_revision_that_a_daemon_lacks_is_not_in_force_everywhere(self):
        self.cluster.cut_off_from_store("z0")
        for daemon in self.cluster.daemons.values():
            if daemon.name != "d00":
                self.cluster.switch.cut(daemon.name, "d00")
        done = await self.cluster["d11"].put_weight(2.0)
        reading = self.cluster["d22"].relay.read_in_force(
            done.resource["metadata"]["revision"]
        )
        status = await self.cluster.finish(reading, 1.5)
        self.assertFalse(status.is_everywhere)

    async def test_a_write_past_the_daemons_reaches_all_through_the_store(self):
        await self.write_past_daemons(2.0)
        self.assertLessEqual(await self.cluster.measure(2.0), 0.1)

    async def test_a_lost_relay_message_is_detected_and_pulled(self):
        watchers = self.cluster.find_watchers("z0")
        (other,) = [
            d
            for d in self.cluster.daemons.values()
            if d.zone == "z0" and d not in watchers
        ]
        for watcher in watchers:
            self.cluster.switch._cuts.add((watcher.name, other.name))
        await self.write_past_daemons(2.0)
        self.cluster.switch.heal_all()
        await self.write_past_daemons(3.0)
        self.assertLessEqual(await self.cluster.measure(3.0), 2.0)
        self.assertEqual(other.configuration.revision, self.cluster.store.revision)

    async def test_a_dead_watcher_is_replaced(self):
        dead = self.cluster.find_watchers("z1")[0]
        await dead.kill()
        await self.write_past_daemons(2.0)
        self.assertLessEqual(await self.cluster.measure(2.0), IN_FORCE_LIMIT)
        self.assertEqual(len(self.cluster.find_watchers("z1")), 2)

    async def test_both_watchers_of_a_zone_may_die(self):
        for dead in self.cluster.find_watchers("z1"):
            await dead.kill()
        await self.write_past_daemons(2.0)
        self.assertLessEqual(await self.cluster.measure(2.0), IN_FORCE_LIMIT)

    async def test_watchers_that_lost_the_store_are_joined_by_others(self):
        cut = self.cluster.find_watchers("z1")
        for watcher in cut:
            self.cluster.store.faults.cut_off.add(watcher.name)
        await self.write_past_daemons(2.0)
        self.assertLessEqual(await self.cluster.measure(2.0), IN_FORCE_LIMIT)
        await self.cluster.pass_time(40)
        self.assertEqual(len(self.cluster.find_watchers("z1")), 3)

    async def test_a_zone_without_the_store_takes_changes_from_other_zones(self):
        self.cluster.cut_off_from_store("z2")
        await self.cluster.pass_time(40)
        await self.write_past_daemons(2.0)
        self.assertLessEqual(await self.cluster.measure(2.0), IN_FORCE_LIMIT)
        await self.cluster.pass_time(1)
        self.assertFalse(self.cluster["d20"].relay.reaches_store)
        self.assertTrue(self.cluster["d00"].relay.reaches_store)

    async def test_a_cut_off_zone_keeps_its_state_and_catches_up_once_healed(self):
        self.cluster.cut_off("z2")
        self.cluster.cut_off_from_store("z2")
        for weight in (2.0, 3.0, 4.0):
            await self.cluster["d00"].put_weight(weight)
            await self.cluster.pass_time(20)
        self.assertEqual(self.cluster["d21"].weight, 1.0)
        self.assertEqual(self.cluster["d00"].weight, 4.0)
        self.cluster.switch.heal_all()
        self.cluster.store.faults.cut_off.clear()
        self.assertLessEqual(await self.cluster.measure(4.0), IN_FORCE_LIMIT)
        self.assert_never_lower()

    async def test_history_too_short_for_a_pull_is_made_up_by_a_snapshot(self):
        for daemon in self.cluster.daemons.values():
            daemon.configuration.history._limit = 2
        self.cluster.cut_off("z2")
        self.cluster.cut_off_from_store("z2")
        for weight in (2.0, 3.0, 4.0, 5.0):
            await self.cluster["d00"].put_weight(weight)
        await self.cluster["d00"].relay.put(Kind.TEAM, make_team("b"), None)
        await self.cluster["d00"].relay.delete(Kind.TEAM, "b", None)
        self.cluster.switch.heal_all()
        self.assertLessEqual(await self.cluster.measure(5.0), IN_FORCE_LIMIT)
        await self.cluster.pass_time(2)
        self.assertEqual(
            {d.configuration.revision for d in self.cluster.daemons.values()},
            {self.cluster.store.revision},
        )

    async def test_a_snapshot_larger_than_a_message_comes_in_parts(self):
        label = "x" * 30_000
        for number in range(20):
            team = make_team(f"team-{number}")
            team["metadata"]["labels"] = {"note": label}
            await self.cluster["d00"].relay.put(Kind.TEAM, team, 0)
        await self.cluster.pass_time(1)
        self.cluster.store.faults.outage = True
        newcomer = self.cluster.start("d03", "z0")
        await self.cluster.pass_time(3)
        self.assertEqual(len(newcomer.configuration.list(Kind.TEAM)), 21)
        self.assertTrue(newcomer.relay.is_ready)

    async def write_past_daemons(self, weight: float) -> None:
        """Write to the store as a client that notifies no daemon."""
        key = "config/team/maps"
        value = encode_resource(make_team(weight=weight))
        client = self.cluster.store.connect("elsewhere")
        await client.put(key, value, None)


class TestOutage(ClusterCase):
    """The store is down or returns stale reads."""

    zones = (3, 2)

    async def test_what_was_accepted_just_before_an_outage_is_in_force_everywhere(self):
        for zone in ("z0", "z1"):
            for watcher in self.cluster.find_watchers(zone):
                self.cluster.store.faults.cut_off.add(watcher.name)
        (writer,) = [
            d
            for d in self.cluster.daemons.values()
            if d.name not in self.cluster.store.faults.cut_off
        ]
        await writer.put_weight(2.0)
        self.cluster.store.faults.outage = True
        self.assertLessEqual(await self.cluster.measure(2.0), 0.1)

    async def test_an_accepted_write_delayed_by_a_cut_is_pulled_in_an_outage(self):
        self.cluster.cut_off("z1")
        self.cluster.cut_off_from_store("z1")
        done = await self.cluster["d00"].put_weight(2.0)
        self.cluster.store.faults.outage = True
        self.cluster.switch.heal_all()
        self.assertLessEqual(await self.cluster.measure(2.0), IN_FORCE_LIMIT)
        await self.cluster.pass_time(1)
        revision = done.resource["metadata"]["revision"]
        status = await self.cluster["d10"].relay.read_in_force(revision)
        self.assertTrue(status.is_everywhere)

    async def test_a_newcomer_takes_the_highest_of_its_peers(self):
        await self.cluster["d00"].put_weight(2.0)
        await self.cluster.pass_time(1)
        self.cluster.store.faults.outage = True
        await self.cluster["d01"].kill()
        newcomer = self.cluster.start("d01", "z0")
        self.assertFalse(newcomer.relay.is_ready)
        await self.cluster.pass_time(2)
        self.assertTrue(newcomer.relay.is_ready)
        self.assertEqual(newcomer.weight, 2.0)

    async def test_a_newcomer_without_store_and_peers_stays_unready(self):
        self.cluster.store.faults.outage = True
        for daemon in list(self.cluster.daemons.values()):
            await daemon.kill()
        newcomer = self.cluster.start("d05", "z0")
        await self.cluster.pass_time(30)
        self.assertFalse(newcomer.relay.is_ready)
        self.cluster.store.faults.outage = False
        await self.cluster.pass_time(5)
        self.assertTrue(newcomer.relay.is_ready)
        self.assertEqual(newcomer.weight, 1.0)

    async def test_a_newcomer_is_not_ready_with_an_older_read(self):
        old = self.cluster.store.list("config/")
        await self.cluster["d00"].put_weight(2.0)
        await self.cluster.pass_time(1)
        name = self.cluster.find_watchers("z0")[0].name
        await self.cluster[name].kill()
        newcomer = self.cluster.start(name, "z0")
        newcomer.store.old = old
        ready_with = []
        for _ in range(40):
            await self.cluster.pass_time(0.1)
            if newcomer.relay.is_ready:
                ready_with.append(newcomer.weight)
        self.assertEqual(set(ready_with), {2.0})

    async def test_an_older_read_never_sets_a_running_daemon_back(self):
        old = self.cluster.store.list("config/")
        await self.cluster["d00"].put_weight(2.0)
        await self.cluster.pass_time(1)
        for daemon in self.cluster.daemons.values():
            daemon.store.old = old
        self.cluster.store._compacted_revision = self.cluster.store.revision + 5
        await self.cluster.pass_time(90)
        self.assert_all(2.0)
        self.assert_never_lower()

    async def test_an_outage_is_reported_and_writes_are_refused(self):
        self.cluster.store.faults.outage = True
        answer = await self.cluster["d00"].put_weight(2.0)
        self.assertEqual((type(answer), answer.code), (Refused, "store_unavailable"))
        self.assertGreater(answer.retry_after, timedelta())
        await self.cluster.pass_time(40)
        self.assertFalse(self.cluster["d00"].relay.reaches_store)
        self.assert_all(1.0)
        self.cluster.store.faults.outage = False
        await self.cluster.pass_time(3)
        self.assertTrue(self.cluster["d00"].relay.reaches_store)

    async def test_an_outage_costs_few_calls(self):
        self.cluster.store.faults.outage = True
        watches = []
        for daemon in self.cluster.daemons.values():
            real = daemon.store._client.watch
            daemon.store._client.watch = lambda *a, real=real: (
                watches.append(1) or real(*a)
            )
        await self.cluster.pass_time(60)
        self.assertLessEqual(len(watches), 5 * 60 / 2 + 5 * 4)


class TestWrites(ClusterCase):
    """Operators' writes."""

    zones = (2,)

    async def test_an_accepted_write_is_in_force_at_once_on_its_daemon(self):
        done = await self.cluster["d00"].put_weight(2.0)
        self.assertIsInstance(done, Declared)
        self.assertEqual(self.cluster["d00"].weight, 2.0)

    async def test_of_racing_operators_one_wins_and_the_others_see_its_revision(self):
        revision = self.cluster.store.revision
        answers = await asyncio.gather(
            *(
                self.cluster[name].put_weight(weight, revision)
                for name, weight in (("d00", 2.0), ("d01", 3.0), ("d00", 4.0))
            )
        )
        won = [a for a in answers if isinstance(a, Declared)]
        lost = [a for a in answers if isinstance(a, Outdated)]
        self.assertEqual((len(won), len(lost)), (1, 2))
        for answer in lost:
            self.assertEqual(answer.current, won[0].resource)

    async def test_a_creation_does_not_write_over_what_there_is(self):
        for name in ("d00", "d01"):
            answer = await self.cluster[name].put_weight(2.0, 0)
            self.assertIsInstance(answer, Outdated)
            self.assertEqual(answer.current["spec"]["weight"], 1.0)
        self.assert_all(1.0)

    async def test_unconditional_writes_all_succeed(self):
        weights = [2.0, 3.0, 4.0]
        answers = await asyncio.gather(
            *(self.cluster["d00"].put_weight(weight) for weight in weights)
        )
        self.assertEqual({type(a) for a in answers}, {Declared})

    async def test_a_lost_answer_is_resolved_to_accepted(self):
        self.cluster.store.faults.plan("put", LOSE_ANSWER)
        answer, writes = await self.resolve(2.0)
        self.assertIsInstance(answer, Declared)
        self.assertEqual(writes, 1)

    async def test_a_lost_call_is_sent_again(self):
        self.cluster.store.faults.plan("put", LOSE_CALL)
        answer, writes = await self.resolve(2.0)
        self.assertIsInstance(answer, Declared)
        self.assertEqual(writes, 1)

    async def test_a_lost_answer_is_resolved_though_another_write_followed(self):
        revision = self.cluster.store.revision
        self.cluster.store.faults.plan("put", LOSE_ANSWER)
        first = asyncio.ensure_future(self.cluster["d00"].put_weight(2.0, revision))
        await settle()
        second = await self.cluster["d01"].put_weight(3.0, revision + 1)
        await self.cluster.pass_time(2)
        self.assertIsInstance(second, Declared)
        self.assertIsInstance(first.result(), Declared)
        self.assertEqual(first.result().resource["metadata"]["revision"], revision + 1)
        self.assertEqual(self.cluster["d00"].weight, 3.0)

    async def test_a_write_that_lost_its_answer_and_the_race_is_outdated(self):
        revision = self.cluster.store.revision
        self.cluster.store.faults.plan("put", LOSE_CALL)
        first = asyncio.ensure_future(self.cluster["d00"].put_weight(2.0, revision))
        await settle()
        await self.cluster["d01"].put_weight(3.0, revision)
        await self.cluster.pass_time(2)
        self.assertIsInstance(first.result(), Outdated)
        self.assertEqual(self.cluster["d00"].weights, [1.0, 3.0])

    async def test_a_write_whose_end_cannot_be_learned_is_unknown(self):
        self.cluster.store.faults.plan("put", LOSE_ANSWER)
        task = asyncio.ensure_future(self.cluster["d00"].put_weight(2.0))
        await settle()
        self.cluster.store.faults.outage = True
        await self.cluster.pass_time(15)
        self.assertEqual(task.result().code, "answer_lost")
        self.assertIsInstance(task.result(), Unknown)

    async def test_calls_that_a_paused_store_carries_out_later_write_once(self):
        faults, before = self.cluster.store.faults, self.cluster.store.revision
        faults.pause()
        task = asyncio.ensure_future(self.cluster["d00"].put_weight(2.0))
        await self.cluster.pass_time(7)
        self.assertFalse(task.done())
        faults.resume()
        await self.cluster.pass_time(3)
        self.assertIsInstance(task.result(), Declared)
        self.assertEqual(self.cluster.store.revision, before + 1)
        self.assert_all(2.0)

    async def test_a_write_reported_as_unknown_may_take_effect_later(self):
        self.cluster.store.faults.pause()
        task = asyncio.ensure_future(self.cluster["d00"].put_weight(2.0))
        await self.cluster.pass_time(20)
        self.assertIsInstance(task.result(), Unknown)
        self.assert_all(1.0)
        self.cluster.store.faults.resume()
        await self.cluster.pass_time(5)
        self.assert_all(2.0)

    async def test_a_delayed_creation_does_not_bring_back_what_was_deleted(self):
        relay = self.cluster["d00"].relay
        self.cluster.store.faults.plan("put", LOSE_CALL)
        client = self.cluster.store.connect("late")
        created = asyncio.ensure_future(relay.put(Kind.TEAM, make_team("b"), 0))
        await self.cluster.pass_time(1)
        self.assertIsInstance(created.result(), Declared)
        value = self.cluster.store.get("config/team/b").entry.value
        self.assertIsInstance(await relay.delete(Kind.TEAM, "b", None), Deleted)
        await client.put("config/team/b", value, 0)
        await self.cluster.pass_time(2)
        for daemon in self.cluster.daemons.values():
            self.assertIsNone(daemon.configuration.get(Kind.TEAM, "b"))

    async def test_a_deleted_name_can_be_created_again(self):
        relay = self.cluster["d01"].relay
        await relay.put(Kind.TEAM, make_team("b"), 0)
        await self.cluster.pass_time(1)
        self.assertIsInstance(await relay.delete(Kind.TEAM, "b", None), Deleted)
        self.assertIsInstance(await relay.delete(Kind.TEAM, "b", None), Absent)
        again = await self.cluster["d00"].relay.put(Kind.TEAM, make_team("b"), 0)
        self.assertIsInstance(again, Declared)
        self.assertIsInstance(await relay.put(Kind.TEAM, make_team("b"), 0), Outdated)

    async def test_a_lost_answer_of_a_deletion_is_resolved(self):
        relay = self.cluster["d00"].relay
        self.cluster.store.faults.plan("put", LOSE_ANSWER)
        task = asyncio.ensure_future(relay.delete(Kind.TEAM, "maps", None))
        await self.cluster.pass_time(2)
        self.assertIsInstance(task.result(), Deleted)
        self.assert_all(None)

    async def test_old_tombstones_are_removed_from_the_store(self):
        await self.cluster["d00"].relay.delete(Kind.TEAM, "maps", None)
        self.cluster.clock.move(timedelta(hours=23))
        await self.cluster.pass_time(1)
        self.assertIsInstance(self.cluster.store.get("config/team/maps"), Found)
        self.cluster.clock.move(timedelta(hours=2))
        await self.cluster.pass_time(1)
        self.assertIsInstance(self.cluster.store.get("config/team/maps"), Missing)
        await self.cluster["d00"].put_weight(5.0, 0)
        await self.cluster.pass_time(2)
        self.assert_all(5.0)

    async def test_a_store_whose_revision_went_back_is_reported(self):
        self.cluster.store._revision = -5
        answer = await self.cluster["d00"].put_weight(2.0)
        self.assertEqual(answer.code, "store_set_back")

    async def test_a_team_accepted_elsewhere_a_moment_ago_is_found(self):
        self.cluster.switch.cut_both("d00", "d01")
        await self.cluster["d00"].relay.put(Kind.TEAM, make_team("new"), 0)
        workload = make_workload(team="new")
        done = await self.cluster["d01"].relay.put(Kind.WORKLOAD, workload, 0)
        self.assertIsInstance(done, Declared)

    async def test_all_faults_are_reported_together_and_nothing_is_written(self):
        before = self.cluster.store.revision
        cases = [
            (
                Kind.TEAM,
                {"kind": "workload"},
                {"missing_field", "wrong_type", "wrong_kind"},
            ),
            (
                Kind.WORKLOAD,
                make_workload(team="none", type="gang", size={}, zones=["a", "a"]),
                {"no_such_team", "missing_field", "empty_size", "repeated"},
            ),
            (
                Kind.WORKLOAD,
                make_workload(size={"accelerators": 9}),
                {"above_quota"},
            ),
            (
                Kind.POLICY,
                {
                    "kind": "policy",
                    "metadata": {"name": "p"},
                    "spec": {"weights": {"x": 1}},
                },
                {"unknown_field"},
            ),
            (Kind.TEAM, "text", {"wrong_type"}),
        ]
        for kind, resource, codes in cases:
            answer = await self.cluster["d00"].relay.put(kind, resource, None)
            self.assertIsInstance(answer, Invalid)
            self.assertEqual({fault.code for fault in answer.faults}, codes)
        self.assertEqual(self.cluster.store.revision, before)

    async def test_a_team_with_workloads_stays(self):
        relay = self.cluster["d00"].relay
        await relay.put(Kind.WORKLOAD, make_workload(), 0)
        answer = await relay.delete(Kind.TEAM, "maps", None)
        self.assertEqual([fault.code for fault in answer.faults], ["in_use"])

    async def resolve(self, weight: float):
        """Write, let time pass, and return the answer and how many writes it took."""
        before = self.cluster.store.revision
        task = asyncio.ensure_future(self.cluster["d00"].put_weight(weight))
        await self.cluster.pass_time(3)
        self.assert_all(weight)
        return task.result(), self.cluster.store.revision - before


class TestFaults(unittest.TestCase):
    """Faults of all kinds, in sequence and combined."""

    @settings(derandomize=True, deadline=None, max_examples=12)
    @given(
        steps=st.lists(
            st.tuples(st.integers(0, 8), st.integers(0, 5)), min_size=4, max_size=9
        )
    )
    def test_no_daemon_goes_back_and_all_converge(self, steps):
        asyncio.run(self.run_steps(steps))

    async def run_steps(self, steps) -> None:
        cluster = Cluster(3, 3)
        await cluster.pass_time(3)
        weight, accepted = 1.0, 0.0
        for action, which in steps:
            weight += 1
            name = f"d{which // 3}{which % 3}"
            write = await self.act(cluster, action, name, weight)
            await cluster.pass_time(1)
            is_done = write is not None and write.done()
            if is_done and isinstance(write.result(), Declared):
                accepted = weight
            self.check(cluster)
        cluster.store.faults.outage = False
        cluster.store.faults.cut_off.clear()
        cluster.switch.heal_all()
        for daemon in cluster.daemons.values():
            if daemon.task.done():
                cluster.start(daemon.name, daemon.zone)
        await cluster.pass_time(15)
        self.check(cluster)
        weights = {daemon.weight for daemon in cluster.daemons.values()}
        self.assertEqual(len(weights), 1)
        self.assertGreaterEqual(weights.pop() or 0.0, accepted)
        await cluster.stop()

    async def act(self, cluster, action, name, weight):
        faults, daemon = cluster.store.faults, cluster[name]
        if action == 0:
            faults.outage = not faults.outage
        elif action == 1:
            cluster.cut_off(daemon.zone)
        elif action == 2:
            cluster.switch.heal_all()
        elif action == 3:
            await daemon.kill()
        elif action == 4 and daemon.task.done():
            cluster.start(name, daemon.zone)
        elif action == 5:
            faults.cut_off.symmetric_difference_update({name})
        elif action == 6:
            faults.plan("put", LOSE_ANSWER)
            return asyncio.ensure_future(daemon.put_weight(weight))
        elif not daemon.task.done():
            return asyncio.ensure_future(daemon.put_weight(weight))
        return None

    def check(self, cluster) -> None:
        """Check that no daemon went back; the written weights only rise."""
        for daemon in cluster.daemons.values():
            self.assertEqual(daemon.weights, sorted(daemon.weights))
            self.assertEqual(daemon.seen, sorted(daemon.seen))


class TestTombstones(unittest.IsolatedAsyncioTestCase):
    """Removal of tombstones."""

    async def test_a_name_created_anew_meanwhile_is_left_alone(self):
        cluster = Cluster(1)
        await cluster.pass_time(3)
        await cluster["d00"].put_weight(1.0)
        await cluster["d00"].relay.delete(Kind.TEAM, "maps", None)
        deleted = cluster.store.list("config/")
        await cluster["d00"].put_weight(2.0)
        store = LaggingStore(cluster.store.connect("x"))
        store.old = deleted
        await cluster.pass_time(1)
        removing = remove_tombstones(store, cluster.clock, timedelta(0))
        removed = await cluster.finish(removing, 1)
        self.assertEqual(removed, 0)
        self.assertEqual(cluster["d00"].weight, 2.0)
        await cluster.stop()
