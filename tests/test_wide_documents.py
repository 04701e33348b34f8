"""Tests documents so wide that reading them over a narrow link takes up the bound."""

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
from standins.bandwidth import BandwidthLimitedClient
from standins.loops import LoopClock
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
# 5 Mbit/s in bytes per second.
NARROW_RATE = 625_000.0
# The bytes per second that a daemon may receive for control traffic.
CONTROL_RATE = 23_000.0
FEW_QUEUES, MANY_QUEUES = 45, 2845
# Makes a document of a megabyte, the largest value that the store allows.
MAX_QUEUES = 4080
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
    """The parts of a daemon that follow the document and store jobs."""

    def __init__(self, rate: float = NARROW_RATE) -> None:
        self.clock = LoopClock()
        self.wire = WireStore(self.clock)
        self.client = BandwidthLimitedClient(self.wire, self.clock, rate)
        self.store = MonitoredStore(PlatformStore(self.client, "store"), self.clock)
        self.times = derive_times(BOUNDS)
        self.declarations = self._build_declarations()
        self.authorizer = CallAuthorizer(self.declarations)
        self._numbers = itertools.count()
        self.storing = JobSubmitter(
            self.store,
            SimpleNamespace(register=lambda kind, handler: None),
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
        """Store a document as the operators do."""
        self.wire.store.set(DOCUMENT, build_document(version, queues))

    @property
    def version(self) -> int:
        """The version of the document in force."""
        return self.declarations.table.version if self.declarations.table else 0

    def authorize(
        self, queue: int, key: bytes | None = b"key-1"
    ) -> AuthorizedCall | CallRejected:
        """Authorize a call to a queue."""
        return self.authorizer.authorize(HOST, f"/queue{queue}/00000000000000aa", key)

    async def submit_job(self, identifier: str = "") -> None:
        """Submit a job with a key, as a caller does."""
        result = self.authorize(1)
        if isinstance(result, AuthorizedCall):
            identifier = identifier or f"{next(self._numbers):016x}"
            await self.storing.submit(
                result.queue, identifier, make_job(), result.caller
            )


class WideDocumentCase(unittest.TestCase):
    """Runs a daemon with its usual traffic in the background of a test."""

    async def begin(self, queues: int, rate: float = NARROW_RATE) -> _Daemon:
        """Start a daemon and put a document in force."""
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
        """Let callers submit jobs until the test ends."""

        async def call() -> None:
            calls = set()
            while True:
                calls.add(asyncio.ensure_future(daemon.submit_job()))
                await asyncio.sleep(pause)

        self._running.append(asyncio.ensure_future(call()))

    def end(self) -> None:
        """Stop."""
        for task in self._running:
            task.cancel()


class TestNarrowLink(WideDocumentCase):
    """A link on which reading the document once takes half of the bound."""

    # The document was read from its beginning again and again and never in force.
    @virtual
    async def test_a_wide_document_is_in_force_within_the_bound(self):
        daemon = await self.begin(FEW_QUEUES)
        self.start_callers(daemon)
        daemon.write(2, MANY_QUEUES)
        await asyncio.sleep(BOUNDS.in_force.total_seconds())
        self.assertEqual(daemon.version, 2)
        self.end()

    @virtual
    async def test_the_widest_document_is_in_force_within_the_bound(self):
        daemon = await self.begin(FEW_QUEUES)
        self.start_callers(daemon)
        self.assertGreater(len(build_document(2, MAX_QUEUES)), 1_000_000)
        daemon.write(2, MAX_QUEUES)
        await asyncio.sleep(BOUNDS.in_force.total_seconds())
        self.assertEqual(daemon.version, 2)
        self.end()

    # The same failure for a small change of a document that is already wide.
    @virtual
    async def test_a_change_of_a_wide_document_is_in_force_within_the_bound(self):
        daemon = await self.begin(MANY_QUEUES)
        self.start_callers(daemon)
        daemon.write(2, MANY_QUEUES + 1)
        await asyncio.sleep(BOUNDS.in_force.total_seconds())
        self.assertEqual(daemon.version, 2)
        self.end()

    # Each check whether the document was the newest read all of it.
    @virtual
    async def test_an_unchanged_wide_document_stays_within_the_control_rate(self):
        daemon = await self.begin(MANY_QUEUES)
        before, seconds = daemon.client.received, 20
        await asyncio.sleep(seconds)
        self.assertLess(daemon.client.received - before, CONTROL_RATE * seconds)
        self.assertIsInstance(daemon.authorize(1), AuthorizedCall)
        self.end()

    # The reply to a commit that was refused for another reason had the document.
    @virtual
    async def test_a_job_that_is_submitted_again_transfers_no_document(self):
        daemon = await self.begin(MANY_QUEUES)
        await daemon.submit_job("00000000000000aa")
        before, seconds = daemon.client.received, 10
        for _ in range(5 * seconds):
            await daemon.submit_job("00000000000000aa")
            await asyncio.sleep(0.2)
        self.assertLess(daemon.client.received - before, CONTROL_RATE * seconds)
        self.end()

    # Documents that changed faster than they could be read were all read in turn.
    @virtual
    async def test_of_frequent_documents_the_last_is_in_force_in_time(self):
        daemon = await self.begin(MANY_QUEUES)
        self.start_callers(daemon)
        for version in range(2, 22):
            daemon.write(version, MANY_QUEUES)
            await asyncio.sleep(0.3)
        await asyncio.sleep(BOUNDS.in_force.total_seconds() - 0.3)
        self.assertEqual(daemon.version, 21)
        self.end()


class TestLostAnswers(WideDocumentCase):
    """Answers that are lost."""

    # The wait for a lost answer lasted until the document was stale.
    @virtual
    async def test_a_daemon_continues_when_every_other_answer_is_lost(self):
        daemon = await self.begin(FEW_QUEUES)
        numbers = itertools.count()
        daemon.client.loses_reply = lambda path: (
            path == "/kv-txn" and next(numbers) % 2 == 0
        )
        for _ in range(300):
            await asyncio.sleep(0.1)
            self.assertIsInstance(daemon.authorize(1), AuthorizedCall)
        self.end()

    @virtual
    async def test_a_daemon_recovers_from_minutes_without_an_answer(self):
        daemon = await self.begin(FEW_QUEUES)
        daemon.client.loses_reply = lambda path: True
        await asyncio.sleep(300)
        daemon.client.loses_reply = lambda path: False
        daemon.write(2, FEW_QUEUES)
        await asyncio.sleep(2)
        self.assertEqual(daemon.version, 2)
        self.end()


class TestStaleDocuments(WideDocumentCase):
    """Documents that may have been replaced for longer than the bound."""

    # Queues without keys that a newer document removed were served by the older one.
    @virtual
    async def test_no_call_is_authorized_by_a_document_older_than_the_bound(self):
        daemon = await self.begin(FEW_QUEUES)
        daemon.client.rate = 5_000.0
        daemon.write(2, MANY_QUEUES)
        await asyncio.sleep(BOUNDS.in_force.total_seconds())
        calls = ((0, None), (1, b"key-1"), (FEW_QUEUES, b"key-1"))
        result = [daemon.authorize(queue, key) for queue, key in calls]
        self.assertEqual(
            result, [CallRejected(CallRejectionCode.STALE_DOCUMENT)] * len(calls)
        )
        self.end()

    @virtual
    async def test_a_daemon_that_the_store_does_not_answer_continues(self):
        daemon = await self.begin(FEW_QUEUES)
        daemon.client.is_cut = True
        for _ in range(100):
            await asyncio.sleep(0.1)
            self.assertIsInstance(daemon.authorize(0, None), AuthorizedCall)
        daemon.client.is_cut = False
        daemon.write(2, FEW_QUEUES)
        await asyncio.sleep(0.5)
        self.assertEqual(daemon.version, 2)
        self.end()
