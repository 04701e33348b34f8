"""The stand-ins keep the limits that the platform's documentation sets.

A stand-in that is more generous than the platform hides faults: a list of more than 500
ends could be met by no test, as the stand-in of a worker listed all of them. Each test
sends a stand-in what is just within a limit and what is just beyond it.
"""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.platform import PlatformAdvisor, PlatformClient, PlatformStore
from damaskdeck.protocol.pools import (
    Advice,
    Declined,
    PoolWorker,
    RefusalCode,
    TaskStart,
)
from damaskdeck.protocol.ports import (
    INVALID_CALL,
    Events,
    Granted,
    Lost,
    Rejected,
    Written,
)
from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import Transaction, Write, read_all
from standins.limits import ADVISOR_LIMITS, STORE_LIMITS, WORKER_LIMITS
from standins.loops import LoopClock
from standins.pools import StandinAdvisor, StandinWorker, Work, WorkersClient
from standins.poolstore import PoolStore, PoolStoreClient
from standins.wire import WirePlatform
from tests.virtual import virtual

MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
MINUTE = timedelta(minutes=1)
REFUSED = Lost("unexpected_status", "400")
REFUSED_COMMIT = Rejected(INVALID_CALL, "400")
FORBIDDEN = Rejected(INVALID_CALL, "403")


class TestStoreLimits(unittest.TestCase):
    """Transactions, lists, watches and leases of the store."""

    def connect(self, **limits) -> PoolStoreClient:
        """Return a client of a store, whose limits may be scaled."""
        clock = LoopClock()
        self.store = PoolStore(clock, STORE_LIMITS._replace(**limits))
        return PoolStoreClient(self.store, clock)

    @virtual
    async def test_a_transaction_names_32_keys(self):
        client = self.connect()
        writes = tuple(Write(f"a/{number}", b"") for number in range(30))
        allowed = Transaction((("b", 0),), writes, ("c",))
        self.assertIsInstance(await client.commit(allowed), Written)
        refused = allowed._replace(removals=("c", "d"))
        self.assertEqual(await client.commit(refused), REFUSED_COMMIT)
        self.assertEqual(len(client.refusals), 1)

    @virtual
    async def test_a_key_has_200_bytes(self):
        client = self.connect()
        allowed = Transaction(writes=(Write("é" * 100, b""),))
        self.assertIsInstance(await client.commit(allowed), Written)
        refused = Transaction(writes=(Write("é" * 100 + "e", b""),))
        self.assertEqual(await client.commit(refused), REFUSED_COMMIT)

    @virtual
    async def test_a_value_has_a_mebibyte(self):
        client = self.connect()
        allowed = Transaction(writes=(Write("a", b"x" * STORE_LIMITS.value_bytes),))
        self.assertIsInstance(await client.commit(allowed), Written)
        value = b"x" * (STORE_LIMITS.value_bytes + 1)
        refused = Transaction(writes=(Write("a", value), Write("b", b"")))
        self.assertEqual(await client.commit(refused), REFUSED_COMMIT)
        self.assertNotIn("b", self.store.entries)

    @virtual
    async def test_keys_of_the_platform_are_not_written(self):
        client = self.connect()
        for prefix in STORE_LIMITS.protected:
            with self.subTest(prefix=prefix):
                write = Transaction(writes=(Write(f"{prefix}a", b""),))
                self.assertEqual(await client.commit(write), FORBIDDEN)
                removal = Transaction(removals=(f"{prefix}a",))
                self.assertEqual(await client.commit(removal), FORBIDDEN)

    @virtual
    async def test_a_page_has_500_entries(self):
        client = self.connect()
        for number in range(STORE_LIMITS.page_entries):
            self.store.set(f"a/{number:03}", b"")
        self.assertFalse((await client.read_page("a/", "")).has_more)
        self.store.set("a/more", b"")
        page = await client.read_page("a/", "")
        self.assertEqual(len(page.entries), STORE_LIMITS.page_entries)
        self.assertTrue(page.has_more)
        entries, _ = await read_all(client, "a/")
        self.assertEqual(len(entries), STORE_LIMITS.page_entries + 1)

    @virtual
    async def test_a_page_has_a_megabyte(self):
        client = self.connect()
        for number in range(4):
            self.store.set(f"a/{number}", b"x" * 400_000)
        page = await client.read_page("a/", "")
        self.assertEqual((len(page.entries), page.has_more), (2, True))
        entries, _ = await read_all(client, "a/")
        self.assertEqual(len(entries), 4)

    @virtual
    async def test_a_page_has_one_entry_however_large(self):
        client = self.connect(page_bytes=10)
        self.store.set("a/1", b"x" * 100)
        self.store.set("a/2", b"x" * 100)
        entries, _ = await read_all(client, "a/")
        self.assertEqual(len(entries), 2)

    @virtual
    async def test_a_watch_waits_for_30_seconds(self):
        client = self.connect()
        longest = STORE_LIMITS.watch_wait
        self.assertIsInstance(await client.watch("a/", 1, longest), Events)
        self.assertEqual(await client.watch("a/", 1, longest + MILLISECOND), REFUSED)

    @virtual
    async def test_leases_are_brought_within_their_bounds(self):
        client = self.connect()
        shortest, longest = STORE_LIMITS.min_ttl, STORE_LIMITS.max_ttl
        for requested, granted in (
            (shortest - MILLISECOND, shortest),
            (shortest + MILLISECOND, shortest + MILLISECOND),
            (longest + MILLISECOND, longest),
        ):
            with self.subTest(requested=requested):
                found = await client.grant_lease(requested)
                self.assertEqual(found, Granted(found.lease, granted))
                self.assertEqual(self.store.renew(found.lease), granted)


class TestWorkerLimits(unittest.TestCase):
    """Lists, polls and leases of a worker."""

    def start(self) -> WorkersClient:
        """Start a worker whose tasks run for minutes, and return a client."""
        clock = self.clock = LoopClock()
        self.info = PoolWorker("w0", "hub", "10.0.0.0:1", "z0", Size(4000, 8000))
        self.worker = StandinWorker(self.info, clock, lambda t, a: Work(5 * MINUTE))
        return WorkersClient({"w0": self.worker}, clock)

    @virtual
    async def test_a_list_has_500_ends(self):
        client = self.start()
        for number in range(WORKER_LIMITS.listed_ends + 1):
            order = TaskStart(TaskName("j", 0, 0, number), 1, "", MINUTE)
            await client.start(self.info, 1, order)
            await client.stop(self.info, 1, order.task, 1)
        full = await client.poll(self.info, 1, 0, None, timedelta())
        self.assertEqual(len(full.ended), WORKER_LIMITS.listed_ends)
        self.assertTrue(full.has_more)
        below = await client.poll(self.info, 1, 2, None, timedelta())
        self.assertEqual(len(below.ended), WORKER_LIMITS.listed_ends - 1)
        self.assertFalse(below.has_more)

    @virtual
    async def test_a_poll_waits_for_two_seconds(self):
        client = self.start()
        longest = WORKER_LIMITS.poll_wait
        found = await client.poll(self.info, 1, 0, None, longest)
        self.assertEqual(found.running, ())
        refused = await client.poll(self.info, 1, 0, None, longest + MILLISECOND)
        self.assertEqual(refused, Declined(RefusalCode.INVALID))

    @virtual
    async def test_a_lease_is_shortened(self):
        client = self.start()
        longest = self.clock.monotonic() + WORKER_LIMITS.lease
        await client.poll(self.info, 1, 0, longest + MINUTE, timedelta())
        self.assertLess(self.worker.lease_expires_at - longest, SECOND)


class TestAdvisorLimits(unittest.TestCase):
    """Queries to the advisor."""

    @virtual
    async def test_a_query_names_100_workers(self):
        advisor = StandinAdvisor(LoopClock())
        names = tuple(f"w{number}" for number in range(ADVISOR_LIMITS.workers + 1))
        allowed = await advisor.request_advice("j.0.0", names[1:], SECOND)
        self.assertIsInstance(allowed, Advice)
        refused = await advisor.request_advice("j.0.0", names, SECOND)
        self.assertEqual(refused, REFUSED)

    @virtual
    async def test_32_calls_wait(self):
        advisor = StandinAdvisor(LoopClock())
        calls = [
            advisor.request_advice(f"j.0.{number}", ("w0",), SECOND)
            for number in range(ADVISOR_LIMITS.waiting_calls + 1)
        ]
        answers = await asyncio.gather(*calls)
        self.assertEqual(answers[-1], Rejected("busy"))
        self.assertTrue(all(isinstance(a, Advice) for a in answers[:-1]))


class TestWireLimits(unittest.IsolatedAsyncioTestCase):
    """The stand-ins over HTTP refuse the same calls with a status."""

    async def asyncSetUp(self) -> None:
        self.platform = WirePlatform(LoopClock(), workers=1)
        await self.platform.start()
        self.addCleanup(self.platform.close)
        self.client = PlatformClient()
        self.addAsyncCleanup(self.client.close)

    async def test_the_store_refuses_what_is_too_large_or_not_ours(self):
        address = self.platform.store.listener.address
        store = PlatformStore(self.client, address)
        large = Write("a", b"x" * (STORE_LIMITS.value_bytes + 1))
        self.assertEqual(
            await store.commit(Transaction(writes=(large,))), REFUSED_COMMIT
        )
        foreign = Write("op/config", b"")
        self.assertEqual(await store.commit(Transaction(writes=(foreign,))), FORBIDDEN)
        longest = await store.grant_lease(2 * STORE_LIMITS.max_ttl)
        self.assertEqual(longest.ttl, STORE_LIMITS.max_ttl)

    async def test_the_advisor_refuses_too_many_workers(self):
        advisor = PlatformAdvisor(self.client, self.platform.advisor.listener.address)
        names = tuple(f"w{number}" for number in range(ADVISOR_LIMITS.workers + 1))
        self.assertIsInstance(
            await advisor.request_advice("j.0.0", names[1:], SECOND), Advice
        )
        self.assertEqual(await advisor.request_advice("j.0.0", names, SECOND), REFUSED)
