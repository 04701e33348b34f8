"""Documents that take as long to read over a narrow link as they may be late."""

import asyncio
import itertools
import json
import unittest
from datetime import timedelta
from types import SimpleNamespace

from damaskdeck.coordination.pools.authorization import AuthorizedCall, CallAuthorizer
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.submitter import JobSubmitter
from damaskdeck.coordination.pools.times import PoolBounds, derive_times
from damaskdeck.platform import PlatformQueues, PlatformStore
from damaskdeck.protocol.callresults import CallRejected, CallRejectionCode
from standins.loops import LoopClock
from standins.narrow import NarrowClient
from standins.wire import WireStore
from tests.poolcluster import make_job
from tests.virtual import virtual

SECOND = timedelta(seconds=1)
BOUNDS = PoolBounds(
    10 * SECOND,
    SECOND,
    6 * SECOND,
    120 * SECOND,
    in_force=3 * SECOND,
    revocation=5 * SECOND,
)
# 5 Mbit/s, in bytes a second.
NARROW_RATE = 625_000.0
# What a daemon may receive for control, bytes a second.
CONTROL_RATE = 23_000.0
FEW, MANY = 45, 2845
# Makes a document as wide as a value of the store may be, a megabyte.
MOST = 4080
HOST = "a.example"
DOCUMENT = "op/config"


def build_document(version: int, queues: int) -> bytes:
    """Return an operators' document in which the first queue is public."""
    advice = {"decide_ms": 14.9, "period_ms": 0.13, "valid_ms": 2500}
    routes = [
        {
            "name": f"r-{number:07}",
            "host": HOST,
            "path_prefix": f"/queue{number}/",
            "kind": "non_idempotent",
            "target_latency_ms": 306,
            "priority": 0,
            "service": "hub",
            "max_attempts": 4,
            "slack_factor": 1.5,
            "advice": advice,
            "public": number == 0,
        }
        for number in range(queues)
    ]
    tenants = [{"name": "kiosk", "api_keys": ["key-1"], "weight": 8}]
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": "hub"}],
        "tenants": tenants,
    }
    return json.dumps(document, separators=(",", ":")).encode()


class _Daemon:
    """What of one daemon follows the document and stores jobs."""

    def __init__(self, rate: float = NARROW_RATE) -> None:
        self.clock = LoopClock()
        self.wire = WireStore(self.clock)
        self.client = NarrowClient(self.wire, self.clock, rate)
        self.store = MonitoredStore(PlatformStore(self.client, "store"), self.clock)
        self.times = derive_times(BOUNDS)
        self.declarations = self._build_declarations()
        self.authorizer = CallAuthorizer(self.declarations)
        self._numbers = itertools.count()
        self.storing = JobSubmitter(
            self.store,
            SimpleNamespace(register=lambda kind, take: None),
            SimpleNamespace(owner=None, owner_revision=0, refresh=lambda entry: None),
            self.clock,
            self.times,
            self.declarations,
            SimpleNamespace(choose=lambda count: []),
            SimpleNamespace(choose=lambda queue, identifier, spec: ()),
        )

    def _build_declarations(self) -> Declarations:
        queues = PlatformQueues(self.store, needs_keys=True)
        return Declarations(
            queues,
            self.clock,
            self.times.keys_max_age,
            self.times.document_max_age,
            self.store.measure_silence,
        )

    def write(self, version: int, queues: int) -> None:
        """Let the operators write a document."""
        self.wire.store.set(DOCUMENT, build_document(version, queues))

    @property
    def version(self) -> int:
        """Of the document in force."""
        return self.declarations.table.version if self.declarations.table else 0

    def authorize(
        self, queue: int, key: bytes | None = b"key-1"
    ) -> AuthorizedCall | CallRejected:
        """Judge a call to a queue."""
        return self.authorizer.authorize(HOST, f"/queue{queue}/00000000000000aa", key)

    async def hand_in(self, identifier: str = "") -> None:
        """Hand a job in, as a caller with a key does."""
        judged = self.authorize(1)
        if isinstance(judged, AuthorizedCall):
            identifier = identifier or f"{next(self._numbers):016x}"
            await self.storing.submit(
                judged.queue, identifier, make_job(), judged.caller
            )


class WideDocumentCase(unittest.TestCase):
    """Runs a daemon with its usual traffic beside the test."""

    async def begin(self, queues: int, rate: float = NARROW_RATE) -> _Daemon:
        """Start with a document in force."""
        daemon = _Daemon(rate)
        self._running = [
            asyncio.ensure_future(daemon.declarations.run()),
            asyncio.ensure_future(self._renew(daemon)),
        ]
        self.addCleanup(self.end)
        daemon.write(1, queues)
        await asyncio.sleep(5)
        return daemon

    async def _renew(self, daemon: _Daemon) -> None:
        lease = await daemon.store.grant_lease(60 * SECOND)
        while True:
            await daemon.store.renew_lease(lease.lease)
            await asyncio.sleep(0.3)

    def start_callers(self, daemon: _Daemon, pause: float = 0.2) -> None:
        """Let callers hand jobs in for as long as the test lasts."""

        async def call() -> None:
            calls = set()
            while True:
                calls.add(asyncio.ensure_future(daemon.hand_in()))
                await asyncio.sleep(pause)

        self._running.append(asyncio.ensure_future(call()))

    def end(self) -> None:
        """Stop."""
        for task in self._running:
            task.cancel()


class TestNarrowLink(WideDocumentCase):
    """A link that takes half of the bound to read the document once."""

    # A document was read from its beginning for ever, and none was ever in force.
    @virtual
    async def test_a_wide_document_is_in_force_within_the_bound(self):
        daemon = await self.begin(FEW)
        self.start_callers(daemon)
        daemon.write(2, MANY)
        await asyncio.sleep(BOUNDS.in_force.total_seconds())
        self.assertEqual(daemon.version, 2)
        self.end()

    @virtual
    async def test_the_widest_document_there_may_be_is_in_force_within_the_bound(self):
        daemon = await self.begin(FEW)
        self.start_callers(daemon)
        self.assertGreater(len(build_document(2, MOST)), 1_000_000)
        daemon.write(2, MOST)
        await asyncio.sleep(BOUNDS.in_force.total_seconds())
        self.assertEqual(daemon.version, 2)
        self.end()

    # The same for a small change of a document that is wide already.
    @virtual
    async def test_a_change_of_a_wide_document_is_in_force_within_the_bound(self):
        daemon = await self.begin(MANY)
        self.start_callers(daemon)
        daemon.write(2, MANY + 1)
        await asyncio.sleep(BOUNDS.in_force.total_seconds())
        self.assertEqual(daemon.version, 2)
        self.end()

    # Each look whether the document was the newest read all of it.
    @virtual
    async def test_a_wide_document_that_stays_costs_no_more_than_control_may(self):
        daemon = await self.begin(MANY)
        before, seconds = daemon.client.received, 20
        await asyncio.sleep(seconds)
        self.assertLess(daemon.client.received - before, CONTROL_RATE * seconds)
        self.assertIsInstance(daemon.authorize(1), AuthorizedCall)
        self.end()

    # A commit that was refused for another reason was answered with the document.
    @virtual
    async def test_a_job_that_is_handed_in_again_brings_no_document(self):
        daemon = await self.begin(MANY)
        await daemon.hand_in("00000000000000aa")
        before, seconds = daemon.client.received, 10
        for _ in range(5 * seconds):
            await daemon.hand_in("00000000000000aa")
            await asyncio.sleep(0.2)
        self.assertLess(daemon.client.received - before, CONTROL_RATE * seconds)
        self.end()

    # Documents that came faster than they could be read were all read in turn.
    @virtual
    async def test_of_documents_in_quick_succession_the_last_is_in_force_in_time(self):
        daemon = await self.begin(MANY)
        self.start_callers(daemon)
        for version in range(2, 22):
            daemon.write(version, MANY)
            await asyncio.sleep(0.3)
        await asyncio.sleep(BOUNDS.in_force.total_seconds() - 0.3)
        self.assertEqual(daemon.version, 21)
        self.end()


class TestLostAnswers(WideDocumentCase):
    """Answers that never come."""

    # A lost answer was waited for until the document could no longer be judged by.
    @virtual
    async def test_a_daemon_goes_on_where_every_other_answer_is_lost(self):
        daemon = await self.begin(FEW)
        numbers = itertools.count()
        daemon.client.loses = lambda path: path == "/kv-txn" and next(numbers) % 2 == 0
        for _ in range(300):
            await asyncio.sleep(0.1)
            self.assertIsInstance(daemon.authorize(1), AuthorizedCall)
        self.end()

    @virtual
    async def test_it_recovers_from_minutes_without_an_answer(self):
        daemon = await self.begin(FEW)
        daemon.client.loses = lambda path: True
        await asyncio.sleep(300)
        daemon.client.loses = lambda path: False
        daemon.write(2, FEW)
        await asyncio.sleep(2)
        self.assertEqual(daemon.version, 2)
        self.end()


class TestFence(WideDocumentCase):
    """Calls by a document that may have been replaced for longer than the bound."""

    # Queues without keys, dropped by a newer document, were served by the older one.
    @virtual
    async def test_no_call_is_judged_by_a_document_older_than_the_bound(self):
        daemon = await self.begin(FEW)
        daemon.client.rate = 5_000.0
        daemon.write(2, MANY)
        await asyncio.sleep(BOUNDS.in_force.total_seconds())
        calls = ((0, None), (1, b"key-1"), (FEW, b"key-1"))
        judged = [daemon.authorize(queue, key) for queue, key in calls]
        self.assertEqual(
            judged, [CallRejected(CallRejectionCode.STALE_DOCUMENT)] * len(calls)
        )
        self.end()

    @virtual
    async def test_a_daemon_that_the_store_does_not_answer_goes_on(self):
        daemon = await self.begin(FEW)
        daemon.client.is_cut = True
        for _ in range(100):
            await asyncio.sleep(0.1)
            self.assertIsInstance(daemon.authorize(0, None), AuthorizedCall)
        daemon.client.is_cut = False
        daemon.write(2, FEW)
        await asyncio.sleep(0.5)
        self.assertEqual(daemon.version, 2)
        self.end()
