"""Ceilings: what a successor need not fear of workers that don't answer.

The load is that of an availability zone that is cut off with the owner in it, a third
of the workers: an account at its quota, with more to do, must go on with what is left.
"""

import asyncio
import unittest
from unittest import mock

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.ceilings import Ceilings
from damaskdeck.protocol.callresults import Caller
from damaskdeck.protocol.clientaccounts import digest_key
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, fits
from damaskdeck.state.jobrecords import CEILINGS_KEY, CeilingsRecord, decode_record
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, make_job
from tests.test_pools_accounts import AccountsCase
from tests.virtual import virtual

LOW, HIGH = Size(1000, 1000, 0), Size(6000, 9000, 0)
KIOSK = Caller("kiosk", "plans", digest_key(b"key-1"))


class TestCeilings(unittest.TestCase):
    """What holds of a quota, and from when on."""

    def setUp(self) -> None:
        self.changes = 0
        self.ceilings = Ceilings(self.note_change)

    def note_change(self) -> None:
        """Count."""
        self.changes += 1

    def limit(self, quota: Size, needed: Size, now: float = 10.0) -> Size:
        """Return what holds of an account's quota."""
        return self.ceilings.limit("kiosk", quota, needed, now)

    def lower(self, quota: Size, used: Size, now: float = 20.0) -> None:
        """Take note of what runs, long after more was needed."""
        self.ceilings.lower_to("kiosk", quota, used, now)

    def make_durable(self) -> CeilingsRecord:
        """Write, and take note that it is durable."""
        write, note_durable = self.ceilings.build_write()
        note_durable()
        return decode_record(CeilingsRecord, write.value)

    def test_nothing_starts_before_its_ceiling_is_durable(self):
        limit = self.limit(HIGH, LOW)
        self.assertEqual(limit, ZERO_SIZE)
        # With room for a little more, so that not each start waits.
        self.assertEqual(self.make_durable().accounts, {"kiosk": Size(1750, 2125, 0)})
        limit = self.limit(HIGH, LOW)
        self.assertEqual(limit, Size(1750, 2125, 0))
        self.assertEqual(self.changes, 1)

    def test_it_never_passes_the_quota(self):
        self.limit(LOW, HIGH)
        self.assertEqual(self.make_durable().accounts, {"kiosk": LOW})
        self.limit(LOW, HIGH)
        self.assertEqual(self.changes, 1)

    def test_a_lower_one_holds_from_when_it_is_wanted(self):
        self.limit(HIGH, HIGH)
        self.make_durable()
        self.lower(HIGH, LOW)
        self.assertEqual(self.limit(HIGH, LOW), Size(1750, 2125, 0))

    def test_one_that_is_on_its_way_may_hold_already(self):
        self.limit(HIGH, HIGH)
        self.make_durable()
        self.lower(HIGH, LOW)
        _, note_durable = self.ceilings.build_write()
        # Wanted high again, but a successor may find the low one.
        low = Size(1750, 2125, 0)
        self.assertEqual(self.limit(HIGH, HIGH), low)
        note_durable()
        self.assertEqual(self.limit(HIGH, HIGH), low)
        self.make_durable()
        self.assertEqual(self.limit(HIGH, HIGH), HIGH)

    def test_what_was_only_wanted_lower_is_had_at_once(self):
        self.limit(HIGH, HIGH)
        self.make_durable()
        self.lower(HIGH, LOW)
        self.assertEqual(self.limit(HIGH, HIGH), HIGH)

    def test_it_stays_while_it_is_near_what_runs(self):
        self.limit(HIGH, HIGH)
        self.lower(HIGH, Size(5000, 7000, 0))
        self.assertEqual(self.changes, 1)

    def test_it_stays_while_something_waits_for_as_much(self):
        self.limit(HIGH, HIGH)
        for now in range(11, 30):
            self.lower(HIGH, LOW, now)
            self.limit(HIGH, HIGH, now)
        self.assertEqual(self.changes, 1)

    def test_it_never_falls_below_what_runs(self):
        self.limit(HIGH, HIGH)
        self.lower(LOW, Size(3000, 3000, 0))
        written = self.make_durable().accounts["kiosk"]
        self.assertTrue(fits(Size(3000, 3000, 0), written))


class TestZoneCut(AccountsCase):
    """An owner is cut off with a third of the workers."""

    async def cut_owner_off(self, shrinks: bool = False):
        """Cut a zone off with the owner while an account is at its quota.

        :param shrinks: the workers there have shrunk below what they run.
        """
        cluster = await self.begin_accounts(
            HIGH, workers=6, zones=3, behave=lambda task, attempt: Work(3 * SECOND)
        )
        for number in range(20):
            spec = make_job(StepSpec(1, SMALL, 3 * SECOND))
            await self.submit(f"j{number}", spec)
        await asyncio.sleep(1)
        owner = cluster.find_owner()
        # The zone of the first of its runs, so that some run on either side.
        (*_, used), *_ = cluster.list_starts()
        zone = cluster.workers[used].info.zone
        if shrinks:
            for name, worker in cluster.workers.items():
                if worker.info.zone == zone:
                    cluster.resize(name, Size(100, 100, 0))
            await asyncio.sleep(0.5)
        cluster.cut_zone(zone, (owner.name,))
        others = [d for d in cluster.daemons.values() if d is not owner]
        await cluster.wait(
            lambda: any(d.owner is not None and d.owner.is_loaded for d in others)
        )
        successor = next(d for d in others if d.owner is not None)
        for number in range(6):
            spec = make_job(StepSpec(1, SMALL, 3 * SECOND))
            await self.submit(f"n{number}", spec, successor.name)
        return cluster

    def count_new(self, cluster) -> int:
        """Count the starts of the jobs that came after the takeover."""
        return sum(task.job.startswith("n") for _, task, *_ in cluster.list_starts())

    @virtual
    async def test_an_account_goes_on_with_what_is_left(self):
        cluster = await self.cut_owner_off()
        await asyncio.sleep(4)
        # Four of six ran where they were found; so many may run in their place.
        self.assertGreaterEqual(self.count_new(cluster), 3)
        self.assert_within_quota()
        await asyncio.sleep(20)
        cluster.heal()
        await asyncio.sleep(10)
        self.assert_within_quota()
        self.end()

    @virtual
    async def test_workers_that_have_shrunk_may_run_what_they_held(self):
        cluster = await self.cut_owner_off(shrinks=True)
        await asyncio.sleep(4)
        self.assert_within_quota()
        cluster.close()

    @virtual
    async def test_the_checker_sees_a_successor_that_fears_too_little(self):
        careless = mock.patch.object(
            AccountLimits, "_measure_rest", lambda self, account: ZERO_SIZE
        )
        with careless:
            cluster = await self.cut_owner_off()
            await asyncio.sleep(1)
        self.assertNotEqual(self.find_overuse(), [])
        cluster.close()

    @virtual
    async def test_what_is_written_is_near_what_runs(self):
        cluster = await self.begin_accounts(HIGH)

        def read() -> Size:
            stored = cluster.store.entries[CEILINGS_KEY].value
            return decode_record(CeilingsRecord, stored).accounts["kiosk"]

        await self.submit("j1", make_job(StepSpec(5, SMALL, SECOND)))
        await asyncio.sleep(0.5)
        self.assertTrue(fits(Size(5000, 5000, 0), read()))
        await asyncio.sleep(2)
        self.assertTrue(fits(read(), Size(1500, 2250, 0)))
        self.end()

    @virtual
    async def test_ceilings_that_cannot_be_read_hold_nobody_up_for_good(self):
        cluster = await self.begin_accounts(HIGH)
        cluster.store.set(CEILINGS_KEY, b"\xc1")
        cluster.find_owner().kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        daemon = cluster.find_owner().name
        await self.submit("j1", daemon=daemon)
        await asyncio.sleep(1)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        self.end()
