"""Takeovers and handovers of pools with crashes, cuts, late and lost answers."""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.predecessors import FormerOwners
from damaskdeck.errors import MessageError
from damaskdeck.protocol.ports import Lost, Written
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.state.jobrecords import (
    FIRST_EPOCH,
    LEAD_KEY,
    OWNER_KEY,
    FormerOwner,
    FormerOwnersRecord,
    OwnerRecord,
    encode_record,
)
from standins.pools import Work
from tests.poolcluster import (
    SECOND,
    SMALL,
    ClusterDaemon,
    PoolCase,
    PoolCluster,
    make_job,
)
from tests.virtual import virtual

HALF = timedelta(milliseconds=500)


class TestTakeover(PoolCase):
    """A successor takes over the jobs and runs of its predecessor."""

    @virtual
    async def test_running_tasks_are_adopted_and_their_ends_are_kept(self):
        cluster = await self.begin(behave=lambda t, a: Work(timedelta(seconds=4)))
        await cluster.submit("j1", make_job(StepSpec(6, SMALL, SECOND)))
        await asyncio.sleep(1)
        cluster.find_owner().kill()
        survivor = cluster.find_other_daemon().name
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, survivor)
        self.assertEqual(len(cluster.list_starts()), 6)
        self.end()

    @virtual
    async def test_ends_that_were_listed_but_not_stored_are_not_lost(self):
        cluster = await self.begin()
        owner = cluster.find_owner()
        await cluster.submit("j1", make_job(StepSpec(6, SMALL, SECOND)))
        await asyncio.sleep(0.5)
        owner.store.faults.outage = True
        await asyncio.sleep(1)
        owner.kill()
        survivor = cluster.find_other_daemon().name
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, survivor)
        self.assertEqual(len(cluster.list_starts()), 6)
        self.end()

    @virtual
    async def test_workers_known_from_the_roster_get_tasks_from_the_successor(self):
        cluster = await self.begin()
        await cluster.run_first_job()
        cluster.find_owner().kill()
        survivor = cluster.find_other_daemon().name
        await cluster.wait(lambda: cluster.find_owner() is not None)
        await cluster.submit("j1", make_job(StepSpec(8, SMALL, SECOND)), survivor)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, survivor, 5)
        self.end()

    @virtual
    async def test_a_successor_starts_within_three_seconds_of_a_death(self):
        cluster = await self.begin()
        await cluster.run_first_job()
        other = cluster.find_other_daemon().name
        cluster.find_owner().kill()
        died = cluster.clock.monotonic()
        await cluster.submit("j1", make_job(), other)
        await cluster.wait(lambda: bool(cluster.list_starts("j1")))
        started_at = cluster.list_starts("j1")[0][0]
        self.assertLess(started_at - died, 3 * SECOND)
        self.end()

    @virtual
    async def test_daemons_that_reach_no_owner_do_not_wait_for_its_lease(self):
        cluster = await self.begin(daemons=5)
        other = cluster.find_other_daemon().name
        cluster.find_owner().kill()
        died = cluster.clock.monotonic()
        await cluster.submit("j1", make_job(), other)
        await cluster.wait(lambda: bool(cluster.list_starts("j1")))
        started_at = cluster.list_starts("j1")[0][0]
        self.assertLess(started_at - died, SECOND)
        self.end()

    @virtual
    async def test_an_owner_whose_process_has_ended_is_succeeded_at_once(self):
        cluster = await self.begin(daemons=5)
        await cluster.run_first_job()
        cluster.find_owner().kill()
        died = cluster.clock.monotonic()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        duration = cluster.clock.monotonic() - died
        self.assertLess(duration, timedelta(milliseconds=250))
        self.end()

    @virtual
    async def test_the_strongest_daemon_succeeds(self):
        self.cluster = cluster = PoolCluster(daemons=3)
        strong = cluster.add_daemon("d9", power=2.0)
        await cluster.start()
        await asyncio.sleep(1)
        owner = cluster.find_owner()
        if owner is not strong:
            self.assertEqual(owner.leadership.find_stronger_member(), "d9")
            await owner.owner.drain()
            await owner.leadership.release(is_leaving=False)
        await cluster.wait(lambda: cluster.find_owner() is strong)
        self.assertEqual(strong.leadership.find_stronger_member(), "")
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    @virtual
    async def test_of_equal_daemons_the_last_started_succeeds(self):
        cluster = await self.begin(daemons=3)
        owner = cluster.find_owner()
        young = cluster.add_daemon("d7", started_at=100.0)
        cluster.add_daemon("d8", started_at=50.0).start()
        young.start()
        await asyncio.sleep(1)
        self.assertIs(cluster.find_owner(), owner)
        await owner.stop()
        del cluster.daemons[owner.name]
        await cluster.wait(lambda: cluster.find_owner() is not None, seconds=2)
        self.assertIs(cluster.find_owner(), young)
        self.end()

    @virtual
    async def test_daemons_cut_off_with_the_owner_are_not_waited_for(self):
        cluster = await self.begin(daemons=7, zones=3, workers=6)
        await cluster.run_first_job()
        owner = cluster.find_owner()
        # The daemons whose turn would come first.
        successors = owner.leadership.list_successors()
        inside = [name for name in successors if name != owner.name][:2]
        cluster.cut_zone("z0", (owner.name, *inside))
        cut_at = cluster.clock.monotonic()

        def find_successor() -> bool:
            rest = (d for d in cluster.daemons.values() if d is not owner)
            return any(d.owner is not None and d.owner.is_loaded for d in rest)

        await cluster.wait(find_successor, seconds=3)
        duration = cluster.clock.monotonic() - cut_at
        self.assertLess(duration, timedelta(milliseconds=560))
        cluster.heal()
        await asyncio.sleep(2)
        self.end()

    @virtual
    async def test_a_minority_that_is_cut_off_takes_over_nothing(self):
        cluster = await self.begin(daemons=5)
        owner = cluster.find_owner()
        minority = [d for d in cluster.daemons.values() if d is not owner][:2]
        for daemon in cluster.daemons.values():
            for cut in minority:
                if daemon not in minority:
                    cluster.switch.cut_both(daemon.name, cut.name)
        await asyncio.sleep(5)
        self.assertIs(cluster.find_owner(), owner)
        self.assertEqual([d.terms for d in minority], [[], []])
        self.end()

    @virtual
    async def test_an_explicit_handover_takes_less_than_a_third_of_a_second(self):
        cluster = await self.begin()
        await cluster.run_first_job()
        owner, other = cluster.find_owner(), cluster.find_other_daemon().name
        left = cluster.clock.monotonic()
        await owner.stop()
        del cluster.daemons[owner.name]
        await cluster.submit("j1", make_job(), other)
        await cluster.wait(lambda: bool(cluster.list_starts("j1")))
        started_at = cluster.list_starts("j1")[0][0]
        self.assertLess(started_at - left, timedelta(milliseconds=300))
        self.end()

    @virtual
    async def test_a_worker_that_left_empty_does_not_delay_a_successor(self):
        cluster = await self.begin(
            workers=2, behave=lambda t, a: Work(timedelta(seconds=3))
        )
        await cluster.run_first_job()
        cluster.retire("w1")
        await asyncio.sleep(1)
        cluster.workers["w1"].kill()
        cluster.store.set("workers/w1", None)
        await cluster.submit("j1", make_job(StepSpec(4, SMALL, SECOND)))
        await cluster.submit("j2", make_job(StepSpec(4, SMALL, SECOND)))
        await asyncio.sleep(1.5)
        cluster.find_owner().kill()
        died = cluster.clock.monotonic()
        await cluster.wait(lambda: bool(cluster.list_starts("j2")))
        self.assertLess(cluster.clock.monotonic() - died, timedelta(seconds=3))
        self.end()

    @virtual
    async def test_a_successor_reads_a_slow_store_concurrently(self):
        cluster = await self.begin()
        await cluster.run_first_job()
        owner, other = cluster.find_owner(), cluster.find_other_daemon()
        for daemon in cluster.daemons.values():
            daemon.store.faults.delay = timedelta(milliseconds=200)
        await asyncio.sleep(2)
        left = cluster.clock.monotonic()
        await owner.stop()
        del cluster.daemons[owner.name]
        await cluster.wait(lambda: cluster.find_owner() is not None)
        # Release, takeover and load take three consecutive calls.
        duration = cluster.clock.monotonic() - left
        self.assertLess(duration, timedelta(milliseconds=900))
        await cluster.submit("j1", make_job(), other.name)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, other.name)
        self.end()

    @virtual
    async def test_a_takeover_with_an_outdated_fence_retries_with_the_current_one(self):
        cluster = await self.begin()
        owner = cluster.find_owner()
        await owner.owner.drain()
        await owner.leadership.release(fence=1, is_leaving=False)
        await cluster.wait(lambda: len(cluster.epochs) > 1)
        await cluster.wait(lambda: cluster.find_owner() is not None)
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    @virtual
    async def test_a_task_on_an_unreachable_worker_waits_for_its_lease(self):
        cluster = await self.begin(
            workers=1, behave=lambda t, a: Work(timedelta(seconds=60))
        )
        await cluster.submit("j1", make_job())
        await asyncio.sleep(0.5)
        owner = cluster.find_owner()
        cluster.add_worker("w9", "10.0.0.9:1")
        for daemon in cluster.daemons.values():
            if daemon is not owner:
                daemon.workers.cut_off.add("w0")
        cluster.switch.cut_both(owner.name, cluster.find_other_daemon().name)
        owner.store.faults.pause()
        await cluster.wait(
            lambda: any(task.job == "j1" for task in cluster.workers["w9"].running)
        )
        self.assertNotEqual(cluster.find_owner(), None)
        self.end()

    @virtual
    async def test_a_deposed_owner_without_the_store_stops_by_its_clock(self):
        cluster = await self.begin(behave=lambda t, a: Work(timedelta(seconds=60)))
        await cluster.submit("j1", make_job())
        await asyncio.sleep(0.5)
        owner = cluster.find_owner()
        owner.store.faults.pause()
        await asyncio.sleep(cluster.times.owner_lease.total_seconds() + 2)
        self.assertFalse(owner.leadership.may_decide())
        self.end()

    @virtual
    async def test_a_late_answer_to_an_overtaken_takeover_is_ignored(self):
        cluster = await self.begin(daemons=4)
        owner = cluster.find_owner()
        preferred_successor = cluster.daemons[
            cluster.find_other_daemon().leadership.list_successors()[0]
        ]
        commit = preferred_successor.store.commit

        async def commit_slowly(transaction, timeout=None, max_reply_bytes=None):
            done = await commit(transaction, timeout)
            if any(write.key == OWNER_KEY for write in transaction.writes):
                await asyncio.sleep(3)
            return done

        preferred_successor.store.commit = commit_slowly
        owner.kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        successor = cluster.find_owner()
        self.assertIsNot(successor, preferred_successor)
        await asyncio.sleep(5)
        self.assertEqual(preferred_successor.terms, [])
        self.assertIs(cluster.find_owner(), successor)
        self.end()

    @virtual
    async def test_a_takeover_that_was_carried_out_late_leaves_no_vacancy(self):
        self.cluster = cluster = PoolCluster(daemons=1)
        daemon = cluster.daemons["d0"]
        commit = daemon.store.commit
        delayed = []

        async def commit_late(transaction, timeout=None, max_reply_bytes=None):
            is_takeover = any(write.key == OWNER_KEY for write in transaction.writes)
            if delayed or not is_takeover:
                return await commit(transaction, timeout)
            delayed.append(transaction)
            daemon.store.faults.outage = True
            return Lost("timeout")

        daemon.store.commit = commit_late
        daemon.start()
        await cluster.wait(lambda: bool(delayed))
        await asyncio.sleep(0.4)
        self.assertIsInstance(cluster.store.commit(delayed[0]), Written)
        daemon.store.faults.outage = False
        await cluster.wait(lambda: cluster.find_owner() is not None, seconds=5)
        self.assertEqual([m.epoch for m in daemon.terms], [2])
        self.end()

    @virtual
    async def test_a_revoked_lead_key_stops_no_work(self):
        cluster = await self.begin()
        for number in range(3):
            cluster.store.revoke(LEAD_KEY)
            await cluster.submit(f"j{number}", make_job())
            await cluster.wait_for_state(f"j{number}", QueueJobState.COMPLETED)
        self.assertEqual(len(cluster.list_starts()), 3)
        self.end()

    @virtual
    async def test_starts_resume_within_four_seconds_after_all_daemons_were_killed(
        self,
    ):
        cluster = await self.begin(behave=lambda t, a: Work(timedelta(seconds=3)))
        await cluster.submit("j1", make_job(StepSpec(40, SMALL, SECOND)))
        await asyncio.sleep(1)
        for name in list(cluster.daemons):
            cluster.daemons[name].kill()
        await asyncio.sleep(1)
        before = len(cluster.list_starts())
        for name in list(cluster.daemons):
            cluster.add_daemon(name)
        back = cluster.clock.monotonic()
        await cluster.start()
        await cluster.wait(lambda: len(cluster.list_starts()) > before)
        self.assertLess(cluster.clock.monotonic() - back, 4 * SECOND)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()


class TestLostWithTheOwner(PoolCase):
    """Workers are lost, and the owner is killed before it has noticed that."""

    # The platform's bound for tasks that last and aren't running.
    limit = 9 * SECOND

    async def lose_both(self, kills: int = 1) -> None:
        """Lose a worker and 0.3 s later the owner, which is back after 0.7 s."""
        cluster = await self.begin(
            workers=3, behave=lambda t, a: Work(120 * SECOND, startup=SECOND)
        )
        cluster.restart_delay = None
        lasting = StepSpec(2, SMALL, SECOND, is_long_running=True)
        await cluster.submit("j1", make_job(lasting))
        await cluster.wait(lambda: len(cluster.list_starts()) == 2)
        await asyncio.sleep(2)
        cluster.find_host("j1").kill()
        self.lost_at = cluster.clock.monotonic()
        await asyncio.sleep(0.3)
        for _ in range(kills):
            owner = cluster.find_owner()
            owner.kill()
            await asyncio.sleep(0.7)
            cluster.add_daemon(owner.name).start()
            await cluster.wait(lambda: cluster.find_owner() is not None)

    async def wait_for_restart(self) -> timedelta:
        """Return the time from the loss to the start of both tasks elsewhere."""
        cluster = self.cluster
        await cluster.wait(lambda: len(cluster.list_starts()) == 4)
        self.end()
        return cluster.list_starts()[-1][0] - self.lost_at

    # The successor waited for the owner lease of a process that had ended.
    @virtual
    async def test_the_wait_is_shortened_once_the_old_process_has_ended(self):
        await self.lose_both()
        self.assertLess(await self.wait_for_restart(), self.limit)

    # Each change of the owner begins a wait of its own, but only for a worker's lease.
    @virtual
    async def test_the_wait_is_shortened_after_each_takeover(self):
        await self.lose_both(kills=2)
        self.assertLess(await self.wait_for_restart(), self.limit)

    # A process that hasn't come back may be cut off only.
    @virtual
    async def test_an_owner_that_does_not_return_is_waited_for(self):
        cluster = await self.begin(
            workers=3, behave=lambda t, a: Work(120 * SECOND, startup=SECOND)
        )
        cluster.restart_delay = None
        await cluster.submit("j1", make_job(StepSpec(2, SMALL, SECOND)))
        await cluster.wait(lambda: len(cluster.list_starts()) == 2)
        cluster.find_host("j1").kill()
        self.lost_at = cluster.clock.monotonic()
        cluster.find_owner().kill()
        waited = await self.wait_for_restart()
        self.assertGreater(waited, cluster.times.lease_expiry)
        self.assertLess(waited, self.limit)


class TestEarlierOwners(PoolCase):
    """An owner that was deposed long before may still extend a worker's lease.

    It is cut off from the store and from the other daemons, and it alone reaches a
    worker, so that the worker refuses no call of it.
    """

    async def isolate_owner(self) -> ClusterDaemon:
        """Cut the owner off and return its successor."""
        cluster = await self.begin(
            daemons=4, workers=2, behave=lambda t, a: Work(30 * SECOND)
        )
        await cluster.submit("j1", make_job(StepSpec(6, SMALL, SECOND)))
        await cluster.wait(lambda: len(cluster.list_starts()) == 6)
        former = cluster.find_owner()
        former.store.faults.outage = True
        former.workers.cut_off.add("w1")
        for daemon in cluster.daemons.values():
            if daemon is not former:
                cluster.switch.cut_both(former.name, daemon.name)
                daemon.workers.cut_off.add("w0")
        self.former = former
        return await self.wait_for_successor(former)

    async def wait_for_successor(self, *former: ClusterDaemon) -> ClusterDaemon:
        """Return the next owner once it has loaded."""
        daemons = self.cluster.daemons.values()

        def list_successors() -> list[ClusterDaemon]:
            return [
                d
                for d in daemons
                if d not in former and d.owner is not None and d.owner.is_loaded
            ]

        await self.cluster.wait(lambda: bool(list_successors()))
        return list_successors()[0]

    async def check_later_starts(self) -> None:
        """Check that the tasks on the worker start elsewhere after its lease."""
        cluster = self.cluster
        moved = len(cluster.workers["w0"].starts)
        await cluster.wait(lambda: len(cluster.list_starts()) == 6 + moved, 40)
        self.end()

    # A handover was taken for the end of all earlier owners, and the tasks were started
    # again 4 s before the worker's lease had expired.
    @virtual
    async def test_a_handover_says_nothing_of_owners_before(self):
        predecessor = await self.isolate_owner()
        await predecessor.stop()
        await self.wait_for_successor(self.former, predecessor)
        await self.check_later_starts()

    @virtual
    async def test_a_killed_predecessor_says_nothing_of_owners_before(self):
        predecessor = await self.isolate_owner()
        predecessor.kill()
        await self.wait_for_successor(self.former, predecessor)
        self.cluster.add_daemon(predecessor.name).start()
        self.cluster.daemons[predecessor.name].workers.cut_off.add("w0")
        await self.check_later_starts()

    # Two owners before the predecessor have ended, and a daemon that was started after
    # that takes over: it learns from the store that there is nobody to wait for.
    @virtual
    async def test_a_new_daemon_knows_of_owners_that_have_ended(self):
        cluster = await self.begin()
        for _ in range(3):
            owner = cluster.find_owner()
            owner.kill()
            cluster.add_daemon(owner.name, started_at=99.0).start()
            await cluster.wait(lambda: cluster.find_owner() is not None)
        term = cluster.find_owner().terms[-1]
        self.assertEqual(term.epoch, 4)
        self.assertLessEqual(len(term.earlier), 1)
        self.end()


class TestFormerOwners(unittest.TestCase):
    """Which earlier owners a takeover has to reckon with, by the store's record."""

    first, second = FormerOwner("d1", "d1-1"), FormerOwner("d2", "d2-1")
    owner = OwnerRecord(3, "d3", "d3-1")

    def setUp(self):
        self.gone: set[tuple[str, str]] = set()
        self.former = FormerOwners(
            lambda *process: process in self.gone, FormerOwner("d9", "d9-1")
        )

    def apply(self, epoch: int, *owners: FormerOwner) -> None:
        """Apply a record that a takeover has written."""
        self.former.apply(encode_record(FormerOwnersRecord(epoch, owners)))

    def test_recorded_owners_count_until_they_have_ended(self):
        self.apply(3, self.first, self.second)
        self.gone.add(self.first)
        self.assertEqual(self.former.list_earlier(self.owner, False), (self.second,))

    # An owner of an earlier version leaves the record of the owner before as it is.
    def test_a_record_of_another_epoch_says_nothing(self):
        self.apply(2, self.first)
        self.assertIsNone(self.former.list_earlier(self.owner, False))

    def test_a_lost_record_says_nothing(self):
        self.assertIsNone(self.former.list_earlier(self.owner, False))

    def test_an_older_record_is_ignored(self):
        self.apply(3, self.second)
        self.apply(2, self.first)
        self.assertEqual(self.former.list_earlier(self.owner, False), (self.second,))

    def test_nobody_counts_once_all_owner_leases_have_expired(self):
        self.assertEqual(self.former.list_earlier(self.owner, True), ())

    def test_there_is_nobody_before_the_first_owner(self):
        first = OwnerRecord(FIRST_EPOCH, "d1", "d1-1")
        self.assertEqual(self.former.list_earlier(first, False), ())

    def test_a_successor_records_its_predecessor_unless_it_has_handed_over(self):
        released = self.owner._replace(is_released=True)
        self.assertEqual(
            self.former.list_all(self.owner, (self.first,)),
            (self.first, FormerOwner("d3", "d3-1")),
        )
        self.assertEqual(self.former.list_all(released, (self.first,)), (self.first,))
        self.assertIsNone(self.former.list_all(self.owner, None))

    def test_an_unreadable_record_has_an_error(self):
        with self.assertRaises(MessageError):
            self.former.apply(b"\x00")
