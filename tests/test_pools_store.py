"""Tests how one daemon handles a store that is slow, hangs or returns.

The store answers 40 to 80 times more slowly than its usual 4 ms, or it is silent for
4 s, so that calls hang until they time out. Commits time out after four times the usual
reply time, but not before 0.3 s and not after 1.5 s.
"""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.monitoredstore import (
    MAX_RETRY_DELAY,
    MAX_TIMEOUT,
    MIN_TIMEOUT,
    MonitoredStore,
)
from damaskdeck.protocol.ports import Entry, Events, Lost, Rejected, Written
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.protocol.transactions import Page, Transaction, read_all
from standins.loops import LoopClock
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, PoolCase, make_job
from tests.virtual import virtual

MILLISECOND = timedelta(milliseconds=1)
LOST = Lost("timeout")


class ScriptedStore:
    """Answers commits after a delay, unless they time out before."""

    entry_limit = 32

    def __init__(self, clock: LoopClock) -> None:
        self.clock = clock
        self.delay = 4 * MILLISECOND
        self.is_silent = False
        self.limits: list[timedelta] = []
        self.watches = 0

    async def commit(self, transaction: Transaction, timeout=None, longest=None):
        """Commit after the delay."""
        self.limits.append(timeout)
        if self.is_silent or self.delay > timeout:
            await self.clock.sleep(timeout)
            return LOST
        await self.clock.sleep(self.delay)
        return Written(1)

    async def watch(self, prefix: str, revision: int, wait: timedelta, longest=None):
        """Wait; a watch that was sent while the store is silent is never answered."""
        self.watches += 1
        if self.is_silent:
            await self.clock.sleep(timedelta(minutes=1))
        await self.clock.sleep(wait)
        return Events((), revision)

    async def read(self, key: str):
        """Reject the read."""
        return Rejected("busy")


class TestMonitoredStore(unittest.TestCase):
    """What a daemon learns about the store from its calls."""

    def setUp(self) -> None:
        self.clock = LoopClock()
        self.scripted = ScriptedStore(self.clock)
        self.store = MonitoredStore(self.scripted, self.clock)

    @virtual
    async def test_a_commit_that_hangs_times_out_soon(self):
        await self.store.commit(Transaction())
        self.assertEqual(self.store.commit_timeout, MIN_TIMEOUT)

    @virtual
    async def test_a_slow_store_gets_a_longer_timeout(self):
        self.scripted.delay = 240 * MILLISECOND
        for _ in range(8):
            self.assertIsInstance(await self.store.commit(Transaction()), Written)
        self.assertGreater(self.store.commit_timeout, 3 * self.scripted.delay)
        self.assertLessEqual(self.store.commit_timeout, MAX_TIMEOUT)

    @virtual
    async def test_a_store_that_becomes_very_slow_is_still_reached(self):
        self.scripted.delay = 320 * MILLISECOND
        results = [await self.store.commit(Transaction()) for _ in range(4)]
        self.assertIsInstance(results[-1], Written)
        self.assertFalse(self.store.is_failing)

    @virtual
    async def test_a_callers_own_timeout_applies(self):
        await self.store.commit(Transaction(), 50 * MILLISECOND)
        self.assertEqual(self.scripted.limits, [50 * MILLISECOND])

    @virtual
    async def test_a_failed_call_sent_before_an_answer_does_not_count(self):
        self.scripted.is_silent = True
        hanging = [asyncio.ensure_future(self.store.commit(Transaction()))]
        hanging.append(asyncio.ensure_future(self.store.commit(Transaction())))
        await asyncio.sleep(0.1)
        self.scripted.is_silent = False
        await self.store.commit(Transaction())
        self.assertEqual(await asyncio.gather(*hanging), [LOST, LOST])
        self.assertFalse(self.store.is_failing)

    @virtual
    async def test_a_watch_from_before_an_outage_is_abandoned(self):
        self.scripted.is_silent = True
        watch = asyncio.ensure_future(self.store.watch("a", 1, SECOND))
        for _ in range(2):
            await self.store.commit(Transaction())
        self.assertTrue(self.store.is_failing)
        self.scripted.is_silent = False
        started = self.clock.monotonic()
        await self.store.commit(Transaction())
        self.assertEqual(await watch, Lost("outage_over"))
        self.assertLess(self.clock.monotonic() - started, 50 * MILLISECOND)
        self.assertFalse(self.store.is_failing)

    @virtual
    async def test_watches_wait_for_the_return_of_a_refusing_store(self):
        # Each loop that watches used to send ten watches a second in vain.
        for _ in range(2):
            await self.store.read("a")
        watch = asyncio.ensure_future(self.store.watch("a", 1, SECOND))
        await asyncio.sleep(0.5)
        self.assertEqual(self.scripted.watches, 0)
        await self.store.commit(Transaction())
        self.assertEqual(await watch, Lost("outage_over"))
        self.assertEqual(self.scripted.watches, 0)

    @virtual
    async def test_a_watch_is_sent_if_nothing_else_notices_the_return(self):
        # A daemon without a lease sends no renewals that would notice it.
        for _ in range(2):
            await self.store.read("a")
        self.assertIsInstance(await self.store.watch("a", 1, SECOND), Events)
        self.assertFalse(self.store.is_failing)

    @virtual
    async def test_calls_are_repeated_less_often_in_a_longer_outage(self):
        shortest = 100 * MILLISECOND
        self.assertEqual(self.store.find_retry_delay(shortest), shortest)
        for _ in range(2):
            await self.store.read("a")
        self.assertEqual(self.store.find_retry_delay(shortest), shortest)
        await asyncio.sleep(4)
        self.assertEqual(self.store.find_retry_delay(shortest), shortest)
        await asyncio.sleep(6)
        self.assertEqual(self.store.find_retry_delay(shortest), 2 * shortest)
        await asyncio.sleep(600)
        self.assertEqual(self.store.find_retry_delay(shortest), MAX_RETRY_DELAY)
        await self.store.commit(Transaction())
        self.assertEqual(self.store.find_retry_delay(shortest), shortest)

    @virtual
    async def test_rejections_in_a_row_are_an_outage(self):
        await self.store.read("a")
        self.assertFalse(self.store.is_failing)
        await self.store.read("a")
        self.assertTrue(self.store.is_failing)


class TestReturn(PoolCase):
    """A store that was unavailable for all daemons."""

    @virtual
    async def test_its_return_is_noticed_within_a_fifth_of_a_second(self):
        cluster = await self.begin()
        await cluster.run_first_job()
        for daemon in cluster.daemons.values():
            daemon.store.faults.pause()
        await asyncio.sleep(4)
        stores = [daemon.frontend._store for daemon in cluster.daemons.values()]
        self.assertTrue(all(store.is_failing for store in stores))
        for daemon in cluster.daemons.values():
            daemon.store.faults.resume()
        await asyncio.sleep(0.2)
        self.assertFalse(any(store.is_failing for store in stores))
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=3)
        self.end()


class TestRefusal(PoolCase):
    """A store that refuses every call for a while."""

    @virtual
    async def test_daemons_send_few_calls_while_it_refuses(self):
        # Every daemon used to send 30 calls a second in vain.
        cluster = await self.begin(workers=2)
        await cluster.run_first_job()
        counts = {name: 0 for name in cluster.daemons}
        for name, daemon in cluster.daemons.items():
            daemon.store.faults.outage = True
            refuse = daemon.store._apply_faults

            async def count(operation: str, name=name, refuse=refuse):
                counts[name] += 1
                return await refuse(operation)

            daemon.store._apply_faults = count
        await asyncio.sleep(5)
        # The stand-in of the owner's registry watches the store without a monitor.
        owner = cluster.find_owner()
        for name, count in counts.items():
            if name != owner.name:
                self.assertLess(count / 5, 20, name)
        for daemon in cluster.daemons.values():
            daemon.store.faults.outage = False
        await asyncio.sleep(0.2)
        await cluster.submit("j1", make_job())
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=3)
        self.end()


class TestSlowStore(PoolCase):
    """A store that is sixty times slower than usual."""

    @virtual
    async def test_later_steps_do_not_wait_for_the_ends_before_them(self):
        def behave(task, attempt: int) -> Work:
            return Work(SECOND / 2 + task.index * 40 * MILLISECOND)

        cluster = await self.begin(behave=behave)
        await cluster.run_first_job()
        for daemon in cluster.daemons.values():
            daemon.store.faults.delay = 240 * MILLISECOND
        steps = [StepSpec(4, SMALL, SECOND, tuple(range(n))) for n in range(4)]
        await cluster.submit("j1", make_job(*steps))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=10)
        starts = {row[1].step: row[0] for row in cluster.list_starts("j1")}
        longest = SECOND / 2 + 3 * 40 * MILLISECOND
        gaps = [starts[n + 1] - starts[n] - longest for n in range(3)]
        self.assertLess(max(gaps), 130 * MILLISECOND)
        self.end()


class PagedStore:
    """Returns the given pages one after the other."""

    def __init__(self, *pages: Page) -> None:
        self._pages = iter(pages)

    async def read_page(self, prefix: str, after: str) -> Page:
        """Return the next page."""
        return next(self._pages)


class TestLists(unittest.TestCase):
    """Lists that the store returns in pages."""

    # Keys that such a list lacks were taken for keys that don't exist.
    @virtual
    async def test_a_list_that_cannot_be_continued_is_not_complete(self):
        first = Page((Entry("a/1", b"1", 3),), True, 7)
        found = await read_all(PagedStore(first, Page((), True, 8)), "a/")
        self.assertEqual(found.code, "incomplete_list")

    @virtual
    async def test_a_list_has_the_revision_of_its_first_page(self):
        first = Page((Entry("a/1", b"1", 3),), True, 7)
        last = Page((Entry("a/2", b"2", 8),), False, 9)
        entries, revision = await read_all(PagedStore(first, last), "a/")
        self.assertEqual([entry.key for entry in entries], ["a/1", "a/2"])
        self.assertEqual(revision, 7)
