"""Membership: liveness, reports, bounded messages and lease grants."""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.members.digests import MAX_DIGEST_BYTES, DigestWriter
from damaskdeck.coordination.members.membership import LEASE_GRANT, Membership
from damaskdeck.coordination.members.ownerleases import OwnerLease
from damaskdeck.coordination.members.rendezvous import choose_links
from damaskdeck.protocol.members import Member
from standins.clock import ManualClock, settle
from standins.peers import PeerSwitch
from standins.store import MemoryStore
from tests.daemons import Deployment

SECOND = timedelta(seconds=1)


class MembershipCase(unittest.IsolatedAsyncioTestCase):
    """Three zones with two members each."""

    NAMES = ("a1", "a2", "b1", "b2", "c1", "c2")

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.deployment = Deployment()
        for name in self.NAMES:
            self.deployment.add(name, zone=f"zone-{name[0]}")
        await self.deployment.advance(6)
        self.members = {
            name: daemon.members for name, daemon in self.deployment.daemons.items()
        }

    async def asyncTearDown(self):
        await self.deployment.close()

    def list_live(self, name, zone=""):
        """Return the names of the members that ``name`` considers live."""
        return [member.name for member in self.members[name].list_live(zone)]


class TestLiveness(MembershipCase):
    """Deaths, cuts and pauses as seen by the other members."""

    async def test_all_members_of_all_zones_are_found(self):
        for name in self.NAMES:
            self.assertEqual(self.list_live(name), list(self.NAMES))
        self.assertEqual(self.list_live("a1", "zone-b"), ["b1", "b2"])

    async def test_dead_member_is_detected_in_all_zones(self):
        self.deployment.kill("a2")
        await self.deployment.advance(2)
        self.assertEqual(self.list_live("a1", "zone-a"), ["a1"])
        await self.deployment.advance(6)
        for name in self.NAMES:
            if name != "a2":
                self.assertNotIn("a2", self.list_live(name))

    async def test_one_way_cut_is_recognised_on_both_sides(self):
        self.deployment.switch.cut("a1", "a2")
        await self.deployment.advance(5)
        self.assertFalse(self.members["a1"].is_alive("a2"))
        self.assertFalse(self.members["a2"].is_alive("a1"))
        self.deployment.switch.heal_all()
        await self.deployment.advance(2)
        self.assertTrue(self.members["a1"].is_alive("a2"))

    async def test_zones_stay_visible_when_one_of_their_links_is_cut(self):
        near = self.members["a1"]._list_heartbeat_peers() - {"a2"}
        for far in near:
            self.deployment.switch.cut_both("a1", far)
        await self.deployment.advance(10)
        linked = self.members["a2"]._list_heartbeat_peers() - {"a1"}
        self.assertTrue(linked - near)
        for far in linked - near:
            self.assertIn(far, self.list_live("a1"))

    async def test_own_pause_makes_no_other_member_look_dead(self):
        self.deployment.pause("a1")
        await self.deployment.advance(5)
        self.assertNotIn("a1", self.list_live("a2"))
        self.deployment.clock.move(SECOND)
        self.deployment.resume("a1")
        self.members["a1"].send_heartbeats()
        self.assertIn("a2", self.list_live("a1"))

    async def test_death_after_an_own_pause_is_detected_in_time(self):
        self.deployment.pause("a1")
        await self.deployment.advance(5)
        self.deployment.switch.resume("a1")
        await settle()
        self.deployment.resume("a1")
        await settle()
        self.deployment.kill("a2")
        await self.deployment.advance(2)
        self.assertNotIn("a2", self.list_live("a1"))

    async def test_zone_cut_off_from_the_rest_still_sees_itself(self):
        for inner in ("a1", "a2"):
            self.deployment.store.faults.cut_off.add(inner)
            for outer in self.NAMES[2:]:
                self.deployment.switch.cut_both(inner, outer)
        await self.deployment.advance(8)
        self.assertEqual(self.list_live("a1"), ["a1", "a2"])
        self.assertEqual(self.list_live("b1"), ["b1", "b2", "c1", "c2"])
        self.deployment.store.faults.cut_off.clear()
        self.deployment.switch.heal_all()
        await self.deployment.advance(8)
        self.assertEqual(self.list_live("b1"), list(self.NAMES))

    async def test_restarted_member_is_seen_with_its_new_incarnation(self):
        before = self.members["a2"].self.incarnation
        self.deployment.kill("a2")
        daemon = self.deployment.add("a2", zone="zone-a")
        await self.deployment.advance(5)
        (found,) = [m for m in self.members["a1"].list_live() if m.name == "a2"]
        self.assertEqual(found, daemon.members.self)
        self.assertNotEqual(found.incarnation, before)

    async def test_seeds_join_members_that_cannot_read_the_store(self):
        clock = ManualClock()
        switch, store = PeerSwitch(clock), MemoryStore(clock)
        store.faults.outage = True
        members = []
        for name, address in (
            ("x", "127.0.0.1:1"),
            ("seed/127.0.0.1:2", "127.0.0.1:2"),
        ):
            member = Member(name, "z", "r", address, "", name)
            peers, seeds = switch.connect(name), ("127.0.0.1:2",)
            members.append(
                Membership(member, peers, store.connect(name), clock, seeds=seeds)
            )
        runs = [asyncio.ensure_future(each.run()) for each in members]
        await clock.advance(3 * SECOND)
        for each in members:
            self.assertEqual(len(each.list_live()), 2)
        for run in runs:
            run.cancel()
        switch.close()


class TestReports(MembershipCase):
    """Reports in heartbeats, within the zone and across zones."""

    async def test_report_reaches_all_zones(self):
        self.members["a1"].publish("load", b"7")
        await self.deployment.advance(6)
        for name in self.NAMES:
            report = self.members[name].read_reports("load")["a1"]
            self.assertEqual((report.instance, report.value), ("a1", b"7"))

    async def test_unchanged_report_stays_fresh_without_being_sent_again(self):
        self.members["a1"].publish("load", bytes(4000))
        await self.deployment.advance(1)
        before = self.members["a2"].read_reports("load")["a1"].received
        sent = self.deployment.switch.bytes["a1"]
        await self.deployment.advance(1)
        after = self.members["a2"].read_reports("load")["a1"].received
        self.assertGreaterEqual(after - before, SECOND / 2)
        self.assertLess(self.deployment.switch.bytes["a1"] - sent, 4000 * 2)

    async def test_report_of_a_dead_member_is_not_read(self):
        self.members["a1"].publish("load", b"7")
        await self.deployment.advance(1)
        self.deployment.kill("a1")
        await self.deployment.advance(2)
        self.assertNotIn("a1", self.members["a2"].read_reports("load"))

    async def test_too_large_report_is_dropped_and_the_last_one_kept(self):
        self.members["a1"].publish("load", b"7")
        self.members["a1"].publish("load", bytes(5000))
        self.assertEqual(self.members["a1"].read_reports("load")["a1"].value, b"7")


class TestBounds(unittest.IsolatedAsyncioTestCase):
    """The number and size of messages are bounded as the fleet grows."""

    def test_links_of_a_zone_depend_on_the_number_of_zones_only(self):
        for size in (3, 30):
            zones = {
                f"zone-{index}": [f"z{index}-{number}" for number in range(size)]
                for index in range(9)
            }
            links = [choose_links(name, "zone-0", zones, 2) for name in zones["zone-0"]]
            self.assertLessEqual(sum(map(len, links)), 2 * 8)

    def test_both_ends_of_a_link_choose_each_other(self):
        zones = {"x": ["x1", "x2", "x3"], "y": ["y1", "y2"]}
        for zone, members in zones.items():
            for name in members:
                for other in choose_links(name, zone, zones, 2):
                    far = "y" if zone == "x" else "x"
                    self.assertIn(name, choose_links(other, far, zones, 2))

    async def test_digests_stay_below_their_limit_and_rotate(self):
        deployment = Deployment()
        daemon = deployment.add("a1", zone="zone-a")
        far = [f"b{index:03}" for index in range(300)]
        for name in far:
            member = Member(name, "zone-b", "r", "127.0.0.1:1", "", name)
            heartbeat = {"member": member._asdict(), "number": 1, "session": name}
            heartbeat["reports"] = {"load": {"version": 1, "value": bytes(200)}}
            await daemon.members._handle_heartbeat(name, heartbeat)
        seen = set()
        digest_writer, relayed = (
            DigestWriter(),
            daemon.members._list_relayed(True, timedelta()),
        )
        for _ in range(80):
            digests = digest_writer.write_digests(relayed, timedelta())
            size = sum(len(digest["reports"].get("load", b"")) for digest in digests)
            self.assertLess(size, MAX_DIGEST_BYTES)
            seen.update(digest["member"]["name"] for digest in digests)
        self.assertEqual(len(seen), 300)
        await deployment.close()


class TestOwnerLease(unittest.TestCase):
    """How long a daemon may act as an owner."""

    def setUp(self):
        self.owner_lease = OwnerLease("s", "lease-1", 1)
        self.owner_lease.renew(timedelta(), 3 * SECOND)

    def test_lease_ends_early_by_the_drift_of_clocks(self):
        self.assertTrue(self.owner_lease.is_leased(2.9 * SECOND))
        self.assertFalse(self.owner_lease.is_leased(2.98 * SECOND))

    def test_grants_extend_it_only_without_a_gap(self):
        self.owner_lease.extend(4 * SECOND, 2 * SECOND)
        self.assertTrue(self.owner_lease.is_valid(3.5 * SECOND))
        self.assertFalse(self.owner_lease.is_leased(3.5 * SECOND))
        self.owner_lease.extend(6 * SECOND, 4.5 * SECOND)
        self.assertFalse(self.owner_lease.is_valid(5 * SECOND))

    def test_renewed_store_lease_makes_it_valid_again(self):
        self.assertFalse(self.owner_lease.is_valid(3.5 * SECOND))
        self.owner_lease.renew(3.4 * SECOND, 3 * SECOND)
        self.assertTrue(self.owner_lease.is_valid(3.5 * SECOND))

    def test_ended_owner_lease_is_invalid_at_once(self):
        self.owner_lease.extend(SECOND + LEASE_GRANT, SECOND)
        self.owner_lease.end()
        self.assertFalse(self.owner_lease.is_valid(SECOND))
