"""Tests declared client accounts, the authorization of keys and their freshness."""

import asyncio
import json
import unittest
from datetime import timedelta

from logbook import TestHandler

from damaskdeck.coordination.pools.authorization import AuthorizedCall, CallAuthorizer
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.platform import PlatformQueues
from damaskdeck.platform.nodes import parse_node_settings
from damaskdeck.protocol.callresults import Caller, CallRejected, CallRejectionCode
from damaskdeck.protocol.clientaccounts import (
    UNLIMITED,
    ClientAccount,
    ClientAccounts,
    digest_key,
)
from damaskdeck.protocol.pools import DeclaredQueues
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import QueueTable
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import Mismatch
from standins.loops import LoopClock
from standins.pools import StandinQueues
from standins.poolstore import PoolStore, PoolStoreClient
from tests.poolcluster import make_account, make_queue
from tests.virtual import virtual

SECOND = timedelta(seconds=1)
LIMIT = 4 * SECOND
ROUTE = {
    "name": "r-plans",
    "host": "a.example",
    "path_prefix": "/plans/",
    "service": "hub",
    "public": False,
}
TENANT = {
    "name": "kiosk",
    "api_keys": ["key-1", "key-2"],
    "priority": 1,
    "weight": 28,
    "cap": {"cpu": 4000, "mem_mb": 0, "gpu": 2},
}


async def read_accounts(*tenants, needs_keys: bool = True, **fields) -> QueueTable:
    """Return the table of a document that declares the accounts."""
    store = PoolStoreClient(PoolStore(LoopClock()), LoopClock())
    document = {"version": 7, "routes": [ROUTE], "tenants": tenants, **fields}
    store._store.set("op/config", json.dumps(document).encode())
    return (await PlatformQueues(store, needs_keys).read_queues()).table


class TestDeclaredAccounts(unittest.TestCase):
    """Accounts as operators declare them."""

    @virtual
    async def test_an_account_is_decoded_without_its_keys(self):
        table = await read_accounts(TENANT)
        account = table.accounts.get("kiosk")
        self.assertEqual((account.weight, account.rank), (28, 1))
        self.assertEqual(account.quota, Size(4000, UNLIMITED, 2))
        self.assertIs(table.accounts.find(digest_key(b"key-2")), account)
        self.assertIsNone(table.accounts.find(digest_key(b"key-3")))
        self.assertNotIn("key-1", repr(table) + repr(list(table.accounts)))
        self.assertFalse(table.queues[0].is_public)

    @virtual
    async def test_without_keys_every_queue_is_public(self):
        table = await read_accounts(TENANT, needs_keys=False)
        self.assertTrue(table.queues[0].is_public)
        self.assertEqual(len(table.accounts), 0)

    @virtual
    async def test_invalid_accounts_are_skipped(self):
        invalid = ({"name": ""}, 7, {"name": "x", "api_keys": [1]}, {"cap": {}})
        with TestHandler() as handler:
            table = await read_accounts(*invalid, TENANT)
        self.assertEqual([a.name for a in table.accounts], ["kiosk"])
        self.assertEqual(len(handler.records), len(invalid))

    @virtual
    async def test_a_key_of_two_accounts_belongs_to_none(self):
        other = {**TENANT, "name": "other", "api_keys": ["key-2", "key-4"]}
        with TestHandler() as handler:
            table = await read_accounts(TENANT, other)
        self.assertIsNone(table.accounts.find(digest_key(b"key-2")))
        self.assertEqual(table.accounts.find(digest_key(b"key-4")).name, "other")
        self.assertEqual(handler.records[0].extra["code"], "ambiguous_key")

    @virtual
    async def test_unusable_keys_are_skipped(self):
        with TestHandler() as handler:
            table = await read_accounts(
                {**TENANT, "api_keys": ["", "k" * 1_000_000, "key-1"]}
            )
        account = table.accounts.get("kiosk")
        self.assertEqual(account.digests, {digest_key(b"key-1")})
        self.assertEqual(handler.records[0].extra["code"], "unusable_key")
        self.assertNotIn("kkkk", handler.records[0].message)

    @virtual
    async def test_a_document_without_accounts_is_logged(self):
        with TestHandler() as handler:
            table = await read_accounts(tenants=None)
        self.assertEqual(len(table.accounts), 0)
        self.assertEqual(handler.records[0].extra["code"], "no_accounts")

    def test_the_cost_of_a_lookup_does_not_depend_on_the_number_of_accounts(self):
        accounts = ClientAccounts(
            make_account(f"a{n}", *(f"a{n}-{k}" for k in range(10))) for n in range(120)
        )
        # Accounts are looked up by digest, without a search.
        self.assertEqual(len(accounts._accounts_by_digest), 1200)
        self.assertEqual(accounts.find(digest_key(b"a119-9")).name, "a119")

    def test_settings_define_whether_keys_are_required(self):
        with open("tests/node.conf") as file:
            text = file.read()
        self.assertFalse(parse_node_settings(text).needs_keys)
        more = (
            "\ncontracts=base,tenants\nbounds.strict_revocation=true\n"
            "bounds.revoke_ms=4000\nbounds.config_apply_ms=2000\n"
        )
        settings = parse_node_settings(text + more)
        self.assertTrue(settings.needs_keys)
        self.assertEqual(settings.bounds.revocation, 4 * SECOND)
        self.assertEqual(settings.bounds.in_force, 2 * SECOND)
        lenient = parse_node_settings(text + more.replace("=true", "=false"))
        self.assertIsNone(lenient.bounds.revocation)


class _Fixture:
    """The declarations of one daemon with its own store."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.store = PoolStore(self.clock)
        self.client = PoolStoreClient(self.store, self.clock)
        self.tables: dict[int, QueueTable] = {}
        self.source = StandinQueues(self.client, self.tables)
        self.declarations = Declarations(self.source, self.clock, LIMIT)
        self.authorizer = CallAuthorizer(self.declarations)

    def declare(self, *accounts: ClientAccount, is_public: bool = False) -> None:
        """Store a document."""
        version = len(self.tables) + 1
        queue = make_queue(is_public=is_public)
        self.tables[version] = QueueTable(
            version, (queue,), frozenset({"hub"}), 1000, ClientAccounts(accounts)
        )
        self.store.set(StandinQueues.key, str(version).encode())

    def authorize(self, key: bytes | None = b"key-1") -> AuthorizedCall | CallRejected:
        """Authorize a call."""
        return self.authorizer.authorize("a.example", "/plans/00000000000000aa", key)


class DeclarationsCase(unittest.TestCase):
    """Runs the declarations in the background of a test."""

    async def begin(self) -> _Fixture:
        """Start with one account in force."""
        fixture = _Fixture()
        self.fixture = fixture
        fixture.declare(make_account("kiosk", "key-1"))
        self.running = asyncio.ensure_future(fixture.declarations.run())
        await asyncio.sleep(0.1)
        return fixture

    def end(self) -> None:
        """Stop."""
        self.running.cancel()


class TestAdmission(DeclarationsCase):
    """Which calls are authorized."""

    @virtual
    async def test_before_any_document_all_calls_are_rejected(self):
        self.assertEqual(
            _Fixture().authorize(), CallRejected(CallRejectionCode.NO_DOCUMENT)
        )

    @virtual
    async def test_a_key_identifies_the_account(self):
        fixture = await self.begin()
        admitted = fixture.authorize()
        caller = Caller("kiosk", "plans", digest_key(b"key-1"))
        self.assertEqual(admitted.caller, caller)
        self.assertEqual(
            fixture.authorize(b"key-2"), CallRejected(CallRejectionCode.UNKNOWN_KEY)
        )
        self.assertEqual(
            fixture.authorize(None), CallRejected(CallRejectionCode.MISSING_KEY)
        )
        self.assertEqual(
            fixture.authorize(b""), CallRejected(CallRejectionCode.MISSING_KEY)
        )
        no_queue = fixture.authorizer.authorize("a.example", "/none/1", b"key-1")
        self.assertEqual(no_queue, CallRejected(CallRejectionCode.NO_QUEUE))
        self.end()

    @virtual
    async def test_a_public_queue_needs_no_key(self):
        fixture = await self.begin()
        fixture.declare(is_public=True)
        await asyncio.sleep(0.1)
        self.assertEqual(fixture.authorize(None).caller, Caller(queue="plans"))
        self.end()

    @virtual
    async def test_a_log_line_names_the_job_and_never_the_key(self):
        fixture = await self.begin()
        with TestHandler() as handler:
            fixture.authorize(b"a-secret-that-is-wrong")
        record = next(r for r in handler.records if r.message == "A call was rejected.")
        self.assertEqual(record.extra["code"], CallRejectionCode.UNKNOWN_KEY)
        self.assertEqual(record.extra["id"], "00000000000000aa")
        self.assertNotIn("secret", str(record.extra) + record.message)
        self.end()


class TestSureness(DeclarationsCase):
    """How long a document counts as the newest."""

    @virtual
    async def test_a_daemon_that_is_cut_off_stops_in_time(self):
        fixture = await self.begin()
        fixture.client.faults.outage = True
        cut_at = fixture.clock.monotonic()
        fixture.declare()
        for _ in range(1000):
            if isinstance(fixture.authorize(), CallRejected):
                break
            await asyncio.sleep(0.01)
        # The bound counts from the cut, when the key was revoked.
        self.assertLess(fixture.clock.monotonic() - cut_at, LIMIT)
        self.assertEqual(
            fixture.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        fixture.client.faults.outage = False
        await asyncio.sleep(0.5)
        self.assertEqual(
            fixture.authorize(), CallRejected(CallRejectionCode.UNKNOWN_KEY)
        )
        self.end()

    @virtual
    async def test_it_recovers_by_itself(self):
        fixture = await self.begin()
        fixture.client.faults.outage = True
        await asyncio.sleep(6)
        self.assertEqual(
            fixture.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        fixture.client.faults.outage = False
        await asyncio.sleep(0.5)
        self.assertIsInstance(fixture.authorize(), AuthorizedCall)
        self.end()

    @virtual
    async def test_a_silent_watch_confirms_nothing(self):
        fixture = await self.begin()

        async def report_nothing(revision, wait):
            await asyncio.sleep(wait.total_seconds())
            return DeclaredQueues(None, revision + 1)

        async def lose_answer(known_revision=0):
            await asyncio.sleep(1.5)
            return Lost("timeout")

        fixture.source.follow_queues = report_nothing
        fixture.source.read_queues = lose_answer
        await asyncio.sleep(LIMIT.total_seconds() + 2.1)
        self.assertEqual(
            fixture.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        self.end()

    @virtual
    async def test_the_age_counts_from_when_the_request_was_sent(self):
        fixture = await self.begin()
        fixture.client.faults.delay = 3 * SECOND
        await asyncio.sleep(7)
        # Each answer is 3 s old when it arrives and valid for one more second.
        self.assertGreaterEqual(fixture.declarations.measure_age(), 3.0)
        self.end()

    @virtual
    async def test_a_commit_that_expected_the_document_confirms_it(self):
        fixture = await self.begin()
        fixture.client.faults.outage = True
        await asyncio.sleep(3.5)
        declarations = fixture.declarations
        declarations.confirm(declarations.expected, declarations._now())
        await asyncio.sleep(3.5)
        self.assertIsInstance(fixture.authorize(), AuthorizedCall)
        # A commit that expected another document confirms nothing about this one.
        declarations.confirm((("operator/queues", 1),), declarations._now())
        await asyncio.sleep(0.6)
        self.assertEqual(
            fixture.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        self.end()

    @virtual
    async def test_a_refused_commit_provides_the_newer_document(self):
        fixture = await self.begin()
        fixture.client.faults.outage = True
        fixture.declare(make_account("kiosk", "key-9"))
        declarations = fixture.declarations
        mismatch = Mismatch((fixture.store.entries[StandinQueues.key],))
        self.assertTrue(declarations.handle_mismatch(mismatch, declarations._now()))
        self.assertFalse(declarations.handle_mismatch(mismatch, declarations._now()))
        self.assertEqual(
            fixture.authorize(), CallRejected(CallRejectionCode.UNKNOWN_KEY)
        )
        self.assertIsInstance(fixture.authorize(b"key-9"), AuthorizedCall)
        self.end()

    @virtual
    async def test_an_unreadable_document_is_not_skipped(self):
        fixture = await self.begin()
        fixture.store.set(StandinQueues.key, b"99")
        await asyncio.sleep(LIMIT.total_seconds() + 0.1)
        self.assertEqual(
            fixture.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        self.end()

    @virtual
    async def test_of_frequent_documents_the_last_is_in_force(self):
        fixture = await self.begin()
        for number in range(20):
            fixture.declare(make_account("kiosk", f"key-{number}"))
            await asyncio.sleep(0.3)
            self.assertIsInstance(
                fixture.authorize(f"key-{number}".encode()), AuthorizedCall
            )
            if number != 1:
                self.assertIsInstance(fixture.authorize(), CallRejected)
        self.end()

    @virtual
    async def test_no_confirmation_is_read_without_a_limit(self):
        fixture = _Fixture()
        free = Declarations(fixture.source, fixture.clock)
        fixture.declare()
        running = asyncio.ensure_future(free.run())
        await asyncio.sleep(10)
        self.assertTrue(free.can_verify_keys)
        self.assertEqual(free.expected, ())
        running.cancel()
