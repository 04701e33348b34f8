"""Tests the ceilings, which bound the usage on workers that don't answer a successor.

An availability zone with the owner and a third of the workers is cut off. An account
that was at its quota and has more jobs must continue with the rest of its quota.
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
from damaskdeck.state.jobrecords import (
    CEILINGS_KEY,
    RUNS_PREFIX,
    CeilingsRecord,
    decode_record,
)
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, make_job
from tests.test_pools_accounts import AccountsCase
from tests.virtual import virtual

LOW, HIGH = Size(1000, 1000, 0), Size(6000, 9000, 0)
KIOSK = Caller("kiosk", "plans", digest_key(b"key-1"))


class TestCeilings(unittest.TestCase):
    """Which part of a quota may be used, and since when."""

    def setUp(self) -> None:
        self.changes = 0
        self.ceilings = Ceilings(self.record_change)

    def record_change(self) -> None:
        """Count the changes."""
        self.changes += 1

    def limit(self, quota: Size, needed: Size, now: float = 10.0) -> Size:
        """Return the part of an account's quota that may be used."""
        return self.ceilings.limit("kiosk", quota, needed, now)

    def lower(self, quota: Size, used: Size, now: float = 20.0) -> None:
        """Lower the ceiling to a usage, long after more was needed."""
        self.ceilings.lower_to("kiosk", quota, used, now)

    def make_durable(self) -> CeilingsRecord:
        """Build the write, make it durable and return its record."""
        write, mark_durable = self.ceilings.build_write()
        mark_durable()
        return decode_record(CeilingsRecord, write.value)

    def test_nothing_starts_before_its_ceiling_is_durable(self):
        limit = self.limit(HIGH, LOW)
        self.assertEqual(limit, ZERO_SIZE)
        # The ceiling has headroom, so that not every start waits for a commit.
        self.assertEqual(self.make_durable().accounts, {"kiosk": Size(1750, 2125, 0)})
        limit = self.limit(HIGH, LOW)
        self.assertEqual(limit, Size(1750, 2125, 0))
        self.assertEqual(self.changes, 1)

    def test_a_ceiling_never_exceeds_the_quota(self):
        self.limit(LOW, HIGH)
        self.assertEqual(self.make_durable().accounts, {"kiosk": LOW})
        self.limit(LOW, HIGH)
        self.assertEqual(self.changes, 1)

    def test_a_lower_ceiling_applies_at_once(self):
        self.limit(HIGH, HIGH)
        self.make_durable()
        self.lower(HIGH, LOW)
        self.assertEqual(self.limit(HIGH, LOW), Size(1750, 2125, 0))

    def test_a_ceiling_in_flight_may_apply_already(self):
        self.limit(HIGH, HIGH)
        self.make_durable()
        self.lower(HIGH, LOW)
        _, mark_durable = self.ceilings.build_write()
        # The higher ceiling is wanted again, but a successor may find the lower one.
        low = Size(1750, 2125, 0)
        self.assertEqual(self.limit(HIGH, HIGH), low)
        mark_durable()
        self.assertEqual(self.limit(HIGH, HIGH), low)
        self.make_durable()
        self.assertEqual(self.limit(HIGH, HIGH), HIGH)

    def test_a_lower_ceiling_that_was_not_sent_can_be_raised_at_once(self):
        self.limit(HIGH, HIGH)
        self.make_durable()
        self.lower(HIGH, LOW)
        self.assertEqual(self.limit(HIGH, HIGH), HIGH)

    def test_a_ceiling_near_the_usage_stays(self):
        self.limit(HIGH, HIGH)
        self.lower(HIGH, Size(5000, 7000, 0))
        self.assertEqual(self.changes, 1)

    def test_a_ceiling_that_is_still_needed_stays(self):
        self.limit(HIGH, HIGH)
        for now in range(11, 30):
            self.lower(HIGH, LOW, now)
            self.limit(HIGH, HIGH, now)
        self.assertEqual(self.changes, 1)

    def test_a_ceiling_never_falls_below_the_usage(self):
        self.limit(HIGH, HIGH)
        self.lower(LOW, Size(3000, 3000, 0))
        written = self.make_durable().accounts["kiosk"]
        self.assertTrue(fits(Size(3000, 3000, 0), written))


class TestZoneCut(AccountsCase):
    """An owner is cut off with a third of the workers."""

    async def cut_owner_off(self, shrinks: bool = False, is_recorded: bool = False):
        """Cut off the owner's zone while an account is at its quota.

        :param shrinks: Whether the workers there shrink below their usage before.
        :param is_recorded: Whether the successor finds the runs on record, or has to
            assume what the workers there may run.
        """
        cluster = await self.begin_accounts(
            HIGH, workers=6, zones=3, behave=lambda task, attempt: Work(3 * SECOND)
        )
        for number in range(20):
            spec = make_job(StepSpec(1, SMALL, 3 * SECOND))
            await self.submit(f"j{number}", spec)
        await asyncio.sleep(1)
        owner = cluster.find_owner()
        # The zone of the first run is cut off, so that both sides have runs.
        (*_, used), *_ = cluster.list_starts()
        zone = cluster.workers[used].info.zone
        if shrinks:
            for name, worker in cluster.workers.items():
                if worker.info.zone == zone:
                    cluster.resize(name, Size(100, 100, 0))
            await asyncio.sleep(0.5)
        if not is_recorded:
            cluster.forget_recording()
            for number in range(20):
                cluster.store.set(f"{RUNS_PREFIX}j{number}", None)
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

    def count_new_starts(self, cluster) -> int:
        """Count the starts of the jobs submitted after the takeover."""
        return sum(task.job.startswith("n") for _, task, *_ in cluster.list_starts())

    async def check_quota_until_healed(self) -> None:
        """Check the quota now, and once the zone is back and all tasks have ended."""
        self.assert_within_quota()
        await asyncio.sleep(20)
        self.cluster.heal()
        await asyncio.sleep(10)
        self.assert_within_quota()
        self.end()

    @virtual
    async def test_an_account_continues_with_the_rest_of_its_quota(self):
        cluster = await self.cut_owner_off()
        await asyncio.sleep(4)
        # Four of six runs were found after the takeover, and as many may follow them.
        self.assertGreaterEqual(self.count_new_starts(cluster), 3)
        await self.check_quota_until_healed()

    # The tasks that waited start at once, and what is on record counts.
    @virtual
    async def test_an_account_continues_beside_its_recorded_runs(self):
        cluster = await self.cut_owner_off(is_recorded=True)
        await asyncio.sleep(4)
        ordered = sum(attempt > 100 for _, _, attempt, _ in cluster.list_starts())
        self.assertGreaterEqual(ordered, 3)
        await self.check_quota_until_healed()

    @virtual
    async def test_shrunk_workers_may_still_run_what_they_held(self):
        cluster = await self.cut_owner_off(shrinks=True)
        await asyncio.sleep(4)
        self.assert_within_quota()
        cluster.close()

    @virtual
    async def test_the_checker_detects_a_successor_that_assumes_too_little(self):
        without_bound = mock.patch.object(
            AccountLimits, "_measure_missing", lambda self, account: ZERO_SIZE
        )
        with without_bound:
            cluster = await self.cut_owner_off()
            await asyncio.sleep(1)
        self.assertNotEqual(self.find_overuse(), [])
        cluster.close()

    @virtual
    async def test_the_stored_ceiling_is_near_the_usage(self):
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
    async def test_unreadable_ceilings_do_not_block_accounts_for_good(self):
        cluster = await self.begin_accounts(HIGH)
        cluster.store.set(CEILINGS_KEY, b"\xc1")
        cluster.find_owner().kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        daemon = cluster.find_owner().name
        await self.submit("j1", daemon=daemon)
        await asyncio.sleep(1)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        self.end()
