"""Client accounts: how they are declared, whose a key is, how sure a document is."""

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
    """Return the table of a document with these accounts."""
    store = PoolStoreClient(PoolStore(LoopClock()), LoopClock())
    document = {"version": 7, "routes": [ROUTE], "tenants": tenants, **fields}
    store._store.set("op/config", json.dumps(document).encode())
    return (await PlatformQueues(store, needs_keys).read_queues()).table


class TestDeclaredAccounts(unittest.TestCase):
    """Accounts as operators write them."""

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
    async def test_where_no_keys_are_shown_every_queue_is_open(self):
        table = await read_accounts(TENANT, needs_keys=False)
        self.assertTrue(table.queues[0].is_public)
        self.assertEqual(len(table.accounts), 0)

    @virtual
    async def test_accounts_that_make_no_sense_leave_the_others(self):
        odd = ({"name": ""}, 7, {"name": "x", "api_keys": [1]}, {"cap": {}})
        with TestHandler() as handler:
            table = await read_accounts(*odd, TENANT)
        self.assertEqual([a.name for a in table.accounts], ["kiosk"])
        self.assertEqual(len(handler.records), len(odd))

    @virtual
    async def test_a_key_of_two_accounts_is_nobodys(self):
        other = {**TENANT, "name": "other", "api_keys": ["key-2", "key-4"]}
        with TestHandler() as handler:
            table = await read_accounts(TENANT, other)
        self.assertIsNone(table.accounts.find(digest_key(b"key-2")))
        self.assertEqual(table.accounts.find(digest_key(b"key-4")).name, "other")
        self.assertEqual(handler.records[0].extra["code"], "ambiguous_key")

    @virtual
    async def test_keys_that_nobody_can_show_are_left_out(self):
        with TestHandler() as handler:
            table = await read_accounts(
                {**TENANT, "api_keys": ["", "k" * 1_000_000, "key-1"]}
            )
        account = table.accounts.get("kiosk")
        self.assertEqual(account.digests, {digest_key(b"key-1")})
        self.assertEqual(handler.records[0].extra["code"], "unusable_key")
        self.assertNotIn("kkkk", handler.records[0].message)

    @virtual
    async def test_a_document_without_accounts_is_told_of(self):
        with TestHandler() as handler:
            table = await read_accounts(tenants=None)
        self.assertEqual(len(table.accounts), 0)
        self.assertEqual(handler.records[0].extra["code"], "no_accounts")

    def test_a_look_up_costs_the_same_at_any_number(self):
        accounts = ClientAccounts(
            make_account(f"a{n}", *(f"a{n}-{k}" for k in range(10))) for n in range(120)
        )
        # One step of a table by digest, whoever calls: no account is searched.
        self.assertEqual(len(accounts._digests), 1200)
        self.assertEqual(accounts.find(digest_key(b"a119-9")).name, "a119")

    def test_the_settings_tell_whether_keys_are_shown(self):
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
        lax = parse_node_settings(text + more.replace("=true", "=false"))
        self.assertIsNone(lax.bounds.revocation)


class _Site:
    """One daemon's declarations on a store of its own."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.store = PoolStore(self.clock)
        self.client = PoolStoreClient(self.store, self.clock)
        self.tables: dict[int, QueueTable] = {}
        self.source = StandinQueues(self.client, self.tables)
        self.declarations = Declarations(self.source, self.clock, LIMIT)
        self.authorizer = CallAuthorizer(self.declarations)

    def declare(self, *accounts: ClientAccount, is_public: bool = False) -> None:
        """Put a document in the store."""
        version = len(self.tables) + 1
        queue = make_queue(is_public=is_public)
        self.tables[version] = QueueTable(
            version, (queue,), frozenset({"hub"}), 1000, ClientAccounts(accounts)
        )
        self.store.set(StandinQueues.key, str(version).encode())

    def authorize(self, key: bytes | None = b"key-1") -> AuthorizedCall | CallRejected:
        """Judge a call."""
        return self.authorizer.authorize("a.example", "/plans/00000000000000aa", key)


class DeclarationsCase(unittest.TestCase):
    """Runs a site's declarations beside the test."""

    async def begin(self) -> _Site:
        """Start with one account in force."""
        site = _Site()
        self.site = site
        site.declare(make_account("kiosk", "key-1"))
        self.running = asyncio.ensure_future(site.declarations.run())
        await asyncio.sleep(0.1)
        return site

    def end(self) -> None:
        """Stop."""
        self.running.cancel()


class TestAdmission(DeclarationsCase):
    """Who may call what."""

    @virtual
    async def test_before_any_document_nobody_is_admitted(self):
        self.assertEqual(
            _Site().authorize(), CallRejected(CallRejectionCode.NO_DOCUMENT)
        )

    @virtual
    async def test_a_key_tells_whose_call_it_is(self):
        site = await self.begin()
        admitted = site.authorize()
        wanted = Caller("kiosk", "plans", digest_key(b"key-1"))
        self.assertEqual(admitted.caller, wanted)
        self.assertEqual(
            site.authorize(b"key-2"), CallRejected(CallRejectionCode.UNKNOWN_KEY)
        )
        self.assertEqual(
            site.authorize(None), CallRejected(CallRejectionCode.MISSING_KEY)
        )
        self.assertEqual(
            site.authorize(b""), CallRejected(CallRejectionCode.MISSING_KEY)
        )
        no_queue = site.authorizer.authorize("a.example", "/none/1", b"key-1")
        self.assertEqual(no_queue, CallRejected(CallRejectionCode.NO_QUEUE))
        self.end()

    @virtual
    async def test_a_public_queue_needs_no_key(self):
        site = await self.begin()
        site.declare(is_public=True)
        await asyncio.sleep(0.1)
        self.assertEqual(site.authorize(None).caller, Caller(queue="plans"))
        self.end()

    @virtual
    async def test_a_line_names_the_account_and_never_the_key(self):
        site = await self.begin()
        with TestHandler() as handler:
            site.authorize(b"a-secret-that-is-wrong")
        record = next(r for r in handler.records if r.message == "Turned away.")
        self.assertEqual(record.extra["code"], CallRejectionCode.UNKNOWN_KEY)
        self.assertEqual(record.extra["id"], "00000000000000aa")
        self.assertNotIn("secret", str(record.extra) + record.message)
        self.end()


class TestSureness(DeclarationsCase):
    """Until when a document may be taken for the newest."""

    @virtual
    async def test_a_daemon_that_is_cut_off_stops_in_time(self):
        site = await self.begin()
        site.client.faults.outage = True
        cut_at = site.clock.monotonic()
        site.declare()
        for _ in range(1000):
            if isinstance(site.authorize(), CallRejected):
                break
            await asyncio.sleep(0.01)
        # The bound counts from when the key was taken away, at the cut.
        self.assertLess(site.clock.monotonic() - cut_at, LIMIT)
        self.assertEqual(
            site.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        site.client.faults.outage = False
        await asyncio.sleep(0.5)
        self.assertEqual(site.authorize(), CallRejected(CallRejectionCode.UNKNOWN_KEY))
        self.end()

    @virtual
    async def test_it_recovers_by_itself(self):
        site = await self.begin()
        site.client.faults.outage = True
        await asyncio.sleep(6)
        self.assertEqual(
            site.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        site.client.faults.outage = False
        await asyncio.sleep(0.5)
        self.assertIsInstance(site.authorize(), AuthorizedCall)
        self.end()

    @virtual
    async def test_a_watch_that_hears_nothing_proves_nothing(self):
        site = await self.begin()

        async def hear_nothing(revision, wait):
            await asyncio.sleep(wait.total_seconds())
            return DeclaredQueues(None, revision + 1)

        async def get_no_answer(known=0):
            await asyncio.sleep(1.5)
            return Lost("timeout")

        site.source.follow_queues = hear_nothing
        site.source.read_queues = get_no_answer
        await asyncio.sleep(LIMIT.total_seconds() + 2.1)
        self.assertEqual(
            site.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        self.end()

    @virtual
    async def test_an_answer_counts_from_when_its_question_was_sent(self):
        site = await self.begin()
        site.client.faults.delay = 3 * SECOND
        await asyncio.sleep(7)
        # Each answer is 3 s old when it comes, and good for one second more.
        self.assertGreaterEqual(site.declarations.measure_age(), 3.0)
        self.end()

    @virtual
    async def test_a_commit_that_expected_the_document_confirms_it(self):
        site = await self.begin()
        site.client.faults.outage = True
        await asyncio.sleep(3.5)
        declarations = site.declarations
        declarations.confirm(declarations.expected, declarations._now())
        await asyncio.sleep(3.5)
        self.assertIsInstance(site.authorize(), AuthorizedCall)
        # What another document was expected by proves nothing of this one.
        declarations.confirm((("operator/queues", 1),), declarations._now())
        await asyncio.sleep(0.6)
        self.assertEqual(
            site.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        self.end()

    @virtual
    async def test_a_refused_commit_brings_the_newer_document(self):
        site = await self.begin()
        site.client.faults.outage = True
        site.declare(make_account("kiosk", "key-9"))
        declarations = site.declarations
        shown = Mismatch((site.store.entries[StandinQueues.key],))
        self.assertTrue(declarations.handle_mismatch(shown, declarations._now()))
        self.assertFalse(declarations.handle_mismatch(shown, declarations._now()))
        self.assertEqual(site.authorize(), CallRejected(CallRejectionCode.UNKNOWN_KEY))
        self.assertIsInstance(site.authorize(b"key-9"), AuthorizedCall)
        self.end()

    @virtual
    async def test_a_document_that_cannot_be_read_is_not_passed_over(self):
        site = await self.begin()
        site.store.set(StandinQueues.key, b"99")
        await asyncio.sleep(LIMIT.total_seconds() + 0.1)
        self.assertEqual(
            site.authorize(), CallRejected(CallRejectionCode.STALE_DOCUMENT)
        )
        self.end()

    @virtual
    async def test_a_storm_of_documents_leaves_the_last_in_force(self):
        site = await self.begin()
        for number in range(20):
            site.declare(make_account("kiosk", f"key-{number}"))
            await asyncio.sleep(0.3)
            self.assertIsInstance(
                site.authorize(f"key-{number}".encode()), AuthorizedCall
            )
            if number != 1:
                self.assertIsInstance(site.authorize(), CallRejected)
        self.end()

    @virtual
    async def test_nothing_is_asked_where_nothing_depends_on_it(self):
        site = _Site()
        free = Declarations(site.source, site.clock)
        site.declare()
        running = asyncio.ensure_future(free.run())
        await asyncio.sleep(10)
        self.assertTrue(free.can_verify_keys)
        self.assertEqual(free.expected, ())
        running.cancel()
