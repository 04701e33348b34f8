"""Leases of workers through outages of the store, and who waits for them afterwards."""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.times import derive_times
from damaskdeck.coordination.pools.workerlease import WorkerLease
from damaskdeck.protocol.poolmessages import CheckOutageGrants, RequestOutageGrant
from damaskdeck.protocol.ports import Entry
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.state.jobrecords import MEMBERS_PREFIX
from standins.pools import Work
from tests.poolcluster import BOUNDS, SECOND, SMALL, ClusterDaemon, PoolCase, make_job
from tests.virtual import virtual

# Longer than a lease, and shorter than what tasks survive.
OUTAGE = 9 * SECOND
LASTING = StepSpec(1, SMALL, SECOND, is_long_running=True)


class OutageCase(PoolCase):
    """A lasting task runs on a worker while the store is away."""

    async def prepare(self, daemons: int = 4) -> ClusterDaemon:
        """Start the task and return the owner."""
        cluster = await self.begin(
            daemons=daemons,
            workers=2,
            behave=lambda task, attempt: Work(300 * SECOND, startup=SECOND),
        )
        await cluster.submit("j1", make_job(LASTING))
        await cluster.wait(lambda: len(cluster.list_starts()) == 1)
        await asyncio.sleep(2)
        self.host = cluster.list_starts()[0][3]
        return cluster.find_owner()

    def cut_off(self, owner: ClusterDaemon) -> None:
        """Let the owner reach the worker only, and let no other daemon reach that."""
        owner.workers.cut_off |= self.cluster.workers.keys() - {self.host}
        for daemon in self.cluster.daemons.values():
            if daemon is not owner:
                self.cluster.switch.cut_both(owner.name, daemon.name)
                daemon.workers.cut_off.add(self.host)

    async def check_one_run_at_a_time(self, owner: ClusterDaemon) -> None:
        """Check that the task starts elsewhere, and only once it has ended here.

        A successor expects the worker's lease to end no earlier than it does.

        :param owner: the earlier owner.
        """
        cluster, worker = self.cluster, self.cluster.workers[self.host]
        margins = []
        until = cluster.clock.monotonic() + 40 * SECOND
        while len(cluster.list_starts()) < 2 and cluster.clock.monotonic() < until:
            await asyncio.sleep(0.02)
            others = (d for d in cluster.daemons.values() if d is not owner)
            successors = [d for d in others if d.owner and d.owner.is_loaded]
            for successor in successors:
                contact = successor.owner.contacts[self.host]
                expected = timedelta(seconds=contact.lease_until)
                margins.append(expected - worker.lease_expires_at)
        self.assertGreater(min(margins), timedelta())
        await asyncio.sleep(5)
        self.end()


class TestOutage(OutageCase):
    """No member reaches the store."""

    # Its leases count from the last call that showed it named, not from the last poll.
    @virtual
    async def test_an_owner_that_is_cut_off_extends_no_lease_beyond_the_wait(self):
        owner = await self.prepare()
        owner.store.faults.outage = True
        self.cut_off(owner)
        await self.check_one_run_at_a_time(owner)

    @virtual
    async def test_tasks_survive_an_outage_of_twice_a_lease(self):
        await self.prepare()
        self.cluster.begin_outage()
        await asyncio.sleep(OUTAGE.total_seconds())
        self.cluster.heal()
        await asyncio.sleep(5)
        self.assertEqual(len(self.cluster.list_starts()), 1)
        self.end()

    # A member that doesn't reply might reach the store.
    @virtual
    async def test_leases_end_while_a_member_does_not_reply(self):
        owner = await self.prepare()
        cluster = self.cluster
        other = next(d for d in cluster.daemons.values() if d is not owner)
        cluster.begin_outage()
        cluster.switch.cut_both(owner.name, other.name)
        await asyncio.sleep(5)
        worker = cluster.workers[self.host]
        worker.settle()
        self.assertEqual(worker.running, {})
        self.end()

    # The owner extends the lease until its grants expire.
    @virtual
    async def test_members_that_let_the_owner_go_on_wait_for_it(self):
        owner = await self.prepare()
        self.cluster.begin_outage()
        await asyncio.sleep(5)
        self.cut_off(owner)
        for daemon in self.cluster.daemons.values():
            daemon.store.faults.outage = daemon is owner
        await self.check_one_run_at_a_time(owner)

    # The owner needs no grant of a daemon that it doesn't know.
    @virtual
    async def test_a_new_daemon_waits_for_an_owner_that_may_not_know_it(self):
        owner = await self.prepare(daemons=1)
        cluster = self.cluster
        owner.store.faults.outage = True
        await asyncio.sleep(2)
        cluster.add_daemon("d9", power=2.0).start()
        self.cut_off(owner)
        await self.check_one_run_at_a_time(owner)

    # Otherwise an owner that sees the key vanish wouldn't ask that member any more.
    @virtual
    async def test_a_member_whose_key_has_vanished_writes_it_before_it_takes_over(self):
        owner = await self.prepare()
        cluster = self.cluster
        names = [name for name in cluster.daemons if name != owner.name]
        for name in names:
            cluster.store.revoke(MEMBERS_PREFIX + name)
        owner.kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        successor = cluster.find_owner()
        entry = cluster.store.entries[MEMBERS_PREFIX + successor.name]
        self.assertEqual(entry.revision, successor.leadership.registration.revision)
        self.end()


class TestMembers(OutageCase):
    """What a member promises, and for how long owners remember it."""

    def find_member(self, owner: ClusterDaemon) -> ClusterDaemon:
        """Return a daemon that isn't the owner."""
        return next(d for d in self.cluster.daemons.values() if d is not owner)

    async def request_grant(self, owner: ClusterDaemon, epoch: int) -> bool:
        """Return whether a member gives a grant to the owner of an epoch."""
        reply = await owner.peers.call(
            self.find_member(owner).name, {"epoch": epoch}, RequestOutageGrant, SECOND
        )
        return reply.message["is_given"]

    @virtual
    async def test_a_grant_needs_an_outage_at_the_member(self):
        owner = await self.prepare()
        self.assertFalse(await self.request_grant(owner, 1))
        self.cluster.begin_outage()
        await asyncio.sleep(1)
        self.assertTrue(await self.request_grant(owner, 1))
        self.end()

    # What it has reported to a successor must go on to hold.
    @virtual
    async def test_a_member_that_knows_a_newer_owner_gives_no_grant(self):
        owner = await self.prepare()
        self.cluster.begin_outage()
        await asyncio.sleep(1)
        name = self.find_member(owner).name
        await owner.peers.call(name, {"epoch": 2}, CheckOutageGrants, SECOND)
        self.assertFalse(await self.request_grant(owner, 1))
        self.assertTrue(await self.request_grant(owner, 2))
        self.end()

    # The process that registers may not be the one that gave the grant.
    @virtual
    async def test_grants_end_when_a_member_registers(self):
        owner = await self.prepare()
        leadership = owner.leadership
        key = MEMBERS_PREFIX + self.find_member(owner).name
        entry = self.cluster.store.entries[key]
        self.cluster.begin_outage()
        await asyncio.sleep(2)
        self.assertTrue(leadership.limits.has_grant())
        leadership.refresh(Entry(key, entry.value, entry.revision + 1, ""))
        self.assertFalse(leadership.limits.has_grant())
        await asyncio.sleep(1)
        self.assertTrue(leadership.limits.has_grant())
        self.end()

    # An owner forgets a member whose key has been away for long.
    @virtual
    async def test_a_long_absence_ends_a_membership(self):
        owner = await self.prepare()
        member = self.find_member(owner)
        before = member.leadership.registration
        for seconds, is_same in ((4, True), (15, False)):
            member.store.faults.outage = True
            await asyncio.sleep(seconds)
            member.store.faults.outage = False
            await asyncio.sleep(2)
            registration = member.leadership.registration
            self.assertGreater(registration.revision, before.revision)
            self.assertEqual(registration.membership == before.membership, is_same)
        self.end()

    # In a rolling restart, tasks ended one lease after the store had gone away.
    @virtual
    async def test_a_member_that_has_left_is_not_asked(self):
        owner = await self.prepare()
        await self.find_member(owner).stop()
        self.cluster.begin_outage()
        await asyncio.sleep(2)
        self.assertTrue(owner.leadership.limits.has_grant())
        await asyncio.sleep(5)
        worker = self.cluster.workers[self.host]
        worker.settle()
        self.assertEqual(len(worker.running), 1)
        self.end()

    # Its name may be that of a new process, which has to be asked again.
    @virtual
    async def test_a_member_that_returns_after_it_left_is_asked(self):
        owner = await self.prepare()
        name = self.find_member(owner).name
        await self.cluster.daemons[name].stop()
        self.assertNotIn(name, owner.leadership.members.list_remembered())
        self.cluster.add_daemon(name).start()
        await asyncio.sleep(1)
        self.assertIn(name, owner.leadership.members.list_remembered())
        self.end()

    @virtual
    async def test_an_owner_remembers_a_member_whose_key_has_vanished(self):
        owner = await self.prepare()
        member = self.find_member(owner)
        member.kill()
        await asyncio.sleep(4)
        self.assertNotIn(member.name, owner.leadership.list_members())
        self.assertIn(member.name, owner.leadership.members.list_remembered())
        await asyncio.sleep(18)
        self.assertNotIn(member.name, owner.leadership.members.list_remembered())
        self.end()


class TestNewMembers(OutageCase):
    """Members that joined a moment ago don't wait longer where no grant can exist."""

    # All members are new after the start, but each owner has confirmed that it knows
    # them.
    @virtual
    async def test_a_new_member_that_the_owner_knows_waits_for_one_lease(self):
        owner = await self.prepare()
        cluster = self.cluster
        cluster.add_daemon("d9", power=2.0).start()
        await asyncio.sleep(1)
        cluster.workers[self.host].kill()
        cluster.restart_delay = None
        owner.kill()
        killed_at = cluster.clock.monotonic()
        await cluster.wait(lambda: len(cluster.list_starts()) == 2, 40)
        self.assertLess(cluster.clock.monotonic() - killed_at, 6 * SECOND)
        self.assertEqual(cluster.find_owner().name, "d9")
        self.end()


class TestLeaseLimit(unittest.TestCase):
    """A lease ends within the limit, also on a worker whose clock is slow."""

    def setUp(self) -> None:
        self.times = derive_times(BOUNDS)
        self.lease = WorkerLease(lambda: 0.0)
        self.lease.replace_inherited(0.0)
        self.lease.record_clock(timedelta(seconds=100), 10.0)

    def test_a_lease_within_the_limit_is_granted_in_full(self):
        deadline = self.lease.extend(11.0, 4 * SECOND, 30.0)
        self.assertEqual(deadline, timedelta(seconds=105))
        self.assertAlmostEqual(self.lease.expires_at, 10.0 + 5 / 0.98)

    def test_a_lease_beyond_the_limit_is_shortened(self):
        deadline = self.lease.extend(11.0, 4 * SECOND, 13.0)
        self.assertEqual(deadline, timedelta(seconds=100 + 3 * 0.98))
        self.assertAlmostEqual(self.lease.expires_at, 13.0)

    def test_nothing_is_granted_once_the_limit_is_reached(self):
        self.assertIsNone(self.lease.extend(13.0, 4 * SECOND, 13.0))
        self.assertLessEqual(self.lease.expires_at, 10.0)

    def test_a_successor_has_time_to_start_tasks_elsewhere(self):
        self.assertLess(self.times.lease_expiry, 5 * SECOND)
        self.assertGreater(
            self.times.outage_lease + self.times.lease_expiry,
            2 * BOUNDS.max_worker_lease,
        )
