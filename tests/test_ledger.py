"""The ledger: group commit, lost replies, outages, takeovers and compaction."""

import asyncio
import itertools
import unittest
from datetime import timedelta

from damaskdeck.errors import InvariantError
from damaskdeck.protocol.ports import Lost, Rejected
from damaskdeck.state.ledger import Committed, Deposed, Ledger, Opened
from damaskdeck.state.segments import Head, Keys, decode_head
from standins.clock import ManualClock, settle
from standins.faults import FaultKind
from standins.store import MemoryStore

SLOTS = 16
SECOND = timedelta(seconds=1)


class LedgerHarness:
    """A store, its clock and ledger owners whose state is the list of all records."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.states: dict[Ledger, list[bytes]] = {}
        self.epoch = 0
        self._calls: list[asyncio.Task] = []
        self._numbers = itertools.count(1)

    def make(self, store=None, **limits) -> Ledger:
        """Return an owner's ledger; its state is updated as it applies records."""
        state: list[bytes] = []
        limits.setdefault("slots", SLOTS)
        ledger = Ledger(
            "03",
            store or self.store.connect(f"owner-{next(self._numbers)}"),
            self.clock,
            lambda: tuple(state),
            state.extend,
            generate_id=lambda: f"id-{next(self._numbers)}",
            **limits,
        )
        self.states[ledger] = state
        return ledger

    async def open(self, epoch: int, store=None, **limits) -> Ledger:
        """Open an owner's ledger and replay it."""
        ledger = self.make(store, **limits)
        self.epoch = max(self.epoch, epoch)
        opened = await self.finish(ledger.open(epoch))
        assert isinstance(opened, Opened), opened
        self.states[ledger] += [*opened.snapshot, *opened.records]
        return ledger

    def start(self, call) -> asyncio.Task:
        """Start a call that may never end."""
        self._calls.append(asyncio.ensure_future(call))
        return self._calls[-1]

    async def commit(self, ledger: Ledger, *records: bytes):
        """Commit and wait for the outcome."""
        return await self.finish(ledger.commit(records))

    async def finish(self, call, limit: timedelta = 60 * SECOND):
        """Advance the clock until ``call`` has ended."""
        task = asyncio.ensure_future(call)
        await settle()
        end = self.clock.monotonic() + limit
        while not task.done() and self.clock.monotonic() < end:
            await self.clock.advance(timedelta(milliseconds=10))
        return await asyncio.wait_for(task, 1)

    def list_keys(self, prefix: str) -> list[str]:
        """List the ledger's keys in the store below ``prefix``."""
        listing = self.store.list(Keys("03").prefix + prefix)
        return [entry.key for entry in listing.entries]

    def list_parts(self) -> list[str]:
        """List the parts of snapshots in the store."""
        return self.list_keys("snapshot/")

    def list_named_parts(self) -> list[str]:
        """List the parts that the head refers to."""
        return Keys("03").list_parts(self.read_head())

    def read_head(self) -> Head:
        """Return the head in the store."""
        return decode_head(self.store.get(Keys("03").head).entry.value)

    async def replay(self) -> list[bytes]:
        """Return what a new owner with the next epoch reads."""
        self.store.faults.planned.clear()
        self.store.faults.outage = False
        self.store.capacity = 1 << 30
        return self.states[await self.open(self.epoch + 1)]


class LedgerTestCase(unittest.IsolatedAsyncioTestCase):
    """Creates harnesses and keeps them until the test ends."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self._harnesses: list[LedgerHarness] = []

    def make_harness(self) -> LedgerHarness:
        """Return a new harness."""
        self._harnesses.append(LedgerHarness())
        return self._harnesses[-1]


class TestGroupCommit(LedgerTestCase):
    """Many commits share few appends, in the order of their calls."""

    async def test_concurrent_commits_share_one_append(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        harness.store.faults.delay = timedelta(milliseconds=5)
        before = harness.store.calls.copy()
        calls = [ledger.commit((b"%d" % number,)) for number in range(100)]
        outcomes = await harness.finish(asyncio.gather(*calls))
        self.assertEqual({type(outcome) for outcome in outcomes}, {Committed})
        self.assertLessEqual((harness.store.calls - before).total(), 2)
        expected = [b"%d" % number for number in range(100)]
        self.assertEqual(harness.states[ledger], expected)
        self.assertEqual(await harness.replay(), expected)

    async def test_commits_during_an_append_wait_for_the_next(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        harness.store.faults.delay = timedelta(milliseconds=5)
        before = harness.store.calls["put"]
        calls = []
        for number in range(20):
            call = ledger.commit((b"%d" % number,))
            calls.append(asyncio.ensure_future(call))
            await harness.clock.advance(timedelta(milliseconds=5))
        outcomes = await harness.finish(asyncio.gather(*calls))
        self.assertEqual({type(outcome) for outcome in outcomes}, {Committed})
        self.assertEqual(harness.store.calls["put"] - before, 4)
        self.assertEqual(harness.states[ledger], [b"%d" % n for n in range(20)])

    async def test_appends_are_rate_limited_except_the_first_after_idle(self):
        harness = self.make_harness()
        ledger = await harness.open(1, slots=512)
        await harness.clock.advance(SECOND)
        for _ in range(3):
            call = asyncio.ensure_future(ledger.commit((b"x",)))
            await settle()
            self.assertTrue(call.done())
            await harness.clock.advance(SECOND)
        before = harness.store.calls["put"]
        for _ in range(200):
            asyncio.ensure_future(ledger.commit((b"y",)))
            await harness.clock.advance(timedelta(milliseconds=5))
        self.assertLessEqual(harness.store.calls["put"] - before, 27)

    async def test_no_reads_are_made_after_opening(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        before = harness.store.calls.copy()
        for number in range(4 * SLOTS):
            await harness.commit(ledger, b"%d" % number)
        calls = harness.store.calls - before
        self.assertEqual(set(calls), {"put", "delete"})

    async def test_cancelled_caller_does_not_affect_the_others(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        harness.store.faults.delay = timedelta(milliseconds=5)
        calls = [asyncio.ensure_future(ledger.commit((b"%d" % n,))) for n in range(3)]
        await settle()
        calls[1].cancel()
        late = asyncio.ensure_future(ledger.commit((b"late",)))
        await settle()
        late.cancel()
        outcomes = await harness.finish(asyncio.gather(calls[0], calls[2]))
        self.assertEqual(outcomes, [Committed(2), Committed(2)])
        await harness.clock.advance(SECOND)
        self.assertEqual(harness.states[ledger], [b"0", b"1", b"2"])
        self.assertEqual(await harness.replay(), harness.states[ledger])


class TestSizes(LedgerTestCase):
    """Values stay below the limit, and refused commits leave nothing behind."""

    async def test_a_large_batch_is_split_between_commits(self):
        harness = self.make_harness()
        ledger = await harness.open(1, value_limit=1000)
        records = [b"%d" % n * 300 for n in range(9)]
        calls = [ledger.commit((record,)) for record in records]
        outcomes = await harness.finish(asyncio.gather(*calls))
        self.assertEqual([o.sequence for o in outcomes], [2, 2, 3, 3, 4, 4, 5, 5, 6])
        self.assertEqual(await harness.replay(), records)

    async def test_a_record_over_the_limit_is_refused_alone(self):
        harness = self.make_harness()
        ledger = await harness.open(1, value_limit=1000)
        calls = [ledger.commit((r,)) for r in (b"a", b"b" * 1000, b"c")]
        first, second, third = await harness.finish(asyncio.gather(*calls))
        self.assertEqual((first, third), (Committed(2), Committed(2)))
        self.assertEqual((type(second), second.code), (Rejected, "value_too_large"))
        self.assertEqual(await harness.replay(), [b"a", b"c"])

    async def test_large_commit_is_replayed_only_with_its_last_part(self):
        harness = self.make_harness()
        ledger = await harness.open(1, value_limit=1000)
        large = tuple(b"%d" % n * 400 for n in range(4))
        gate = harness.store.faults
        harness.store.capacity = harness.store.written_bytes + 1500
        outcome = await harness.commit(ledger, *large)
        self.assertEqual((type(outcome), outcome.code), (Rejected, "store_full"))
        harness.store.capacity = 1 << 30
        self.assertIsInstance(await harness.commit(ledger, b"small"), Committed)
        gate.plan("put", FaultKind.LOSE_ANSWER, FaultKind.LOSE_CALL)
        self.assertIsInstance(await harness.commit(ledger, *large), Committed)
        self.assertEqual(harness.states[ledger], [b"small", *large])
        self.assertEqual(await harness.replay(), [b"small", *large])

    async def test_a_full_store_refuses_and_recovers(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        harness.store.capacity = 0
        outcome = await harness.commit(ledger, b"lost")
        self.assertEqual(outcome, Rejected("store_full"))
        harness.store.capacity = 1 << 30
        self.assertIsInstance(await harness.commit(ledger, b"kept"), Committed)
        self.assertEqual(await harness.replay(), [b"kept"])

    async def test_a_log_that_cannot_be_compacted_refuses_before_it_is_full(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        committed = []
        for number in range(2 * SLOTS):
            # Enough space for a segment, but not for a snapshot.
            harness.store.capacity = harness.store._size + 60
            record = b"%02d" % number * 10
            outcome = await harness.finish(ledger.commit((record,)))
            if not isinstance(outcome, Committed):
                break
            committed.append(record)
        self.assertEqual(outcome, Rejected("ledger_full"))
        self.assertEqual(await harness.replay(), committed)
        harness.store.capacity = 1 << 30
        later = await harness.open(harness.epoch + 1)
        self.assertIsInstance(await harness.commit(later, b"on"), Committed)
        self.assertEqual(await harness.replay(), [*committed, b"on"])

    async def test_the_queue_is_bounded(self):
        harness = self.make_harness()
        ledger = await harness.open(1, queue_limit=5)
        calls = [ledger.commit((b"%d" % n,)) for n in range(8)]
        outcomes = await harness.finish(asyncio.gather(*calls))
        self.assertEqual(outcomes[5:], [Rejected("queue_full")] * 3)
        self.assertEqual(harness.states[ledger], [b"0", b"1", b"2", b"3", b"4"])


class TestLostAnswers(LedgerTestCase):
    """A lost reply is resolved by the write's identifier."""

    async def test_a_write_that_took_effect_is_not_repeated(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        before = harness.store.calls.copy()
        harness.store.faults.plan("put", FaultKind.LOSE_ANSWER)
        self.assertEqual(await harness.commit(ledger, b"a"), Committed(2))
        self.assertEqual(harness.store.calls - before, {"put": 1, "get": 1})
        self.assertEqual(await harness.replay(), [b"a"])

    async def test_a_write_that_was_lost_is_made_again(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        before = harness.store.calls.copy()
        harness.store.faults.plan("put", FaultKind.LOSE_CALL, FaultKind.LOSE_CALL)
        self.assertEqual(await harness.commit(ledger, b"a"), Committed(2))
        self.assertEqual(harness.store.calls - before, {"put": 3, "get": 2})
        self.assertEqual(await harness.replay(), [b"a"])

    async def test_a_lost_call_that_arrives_late_takes_effect_once(self):
        harness = self.make_harness()
        delaying = DelayingStore(harness.store.connect("delaying"))
        ledger = await harness.open(1, delaying)
        delaying.hold_next = True
        delaying.stays_connected = True
        self.assertEqual(await harness.commit(ledger, b"a"), Committed(2))
        await harness.commit(ledger, b"b")
        await delaying.release()
        await harness.commit(ledger, b"c")
        self.assertEqual(await harness.replay(), [b"a", b"b", b"c"])

    async def test_nothing_is_appended_before_a_lost_reply_is_resolved(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        store = harness.store
        store.faults.plan("put", FaultKind.LOSE_ANSWER)
        store.faults.plan("get", *[FaultKind.LOSE_CALL] * 20)
        first = asyncio.ensure_future(ledger.commit((b"a",)))
        await harness.clock.advance(3 * SECOND)
        second = asyncio.ensure_future(ledger.commit((b"b",)))
        await harness.clock.advance(2 * SECOND)
        self.assertEqual((await first).code, "answer_lost")
        self.assertIsInstance(await first, Lost)
        self.assertFalse(second.done())
        outcome = await harness.finish(second)
        self.assertEqual(outcome, Rejected("store_unavailable"))
        await harness.clock.advance(30 * SECOND)
        self.assertEqual(harness.states[ledger], [b"a"])
        self.assertEqual(await harness.commit(ledger, b"c"), Committed(3))
        self.assertEqual(await harness.replay(), [b"a", b"c"])


class TestOutage(LedgerTestCase):
    """In an outage commits wait for a bounded time and get a correct outcome."""

    async def test_a_short_outage_only_delays(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        harness.store.faults.outage = True
        call = asyncio.ensure_future(ledger.commit((b"a",)))
        await harness.clock.advance(2 * SECOND)
        harness.store.faults.outage = False
        self.assertEqual(await harness.finish(call), Committed(2))

    async def test_a_long_outage_refuses_what_was_not_written(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        harness.store.faults.outage = True
        start = harness.clock.monotonic()
        outcome = await harness.commit(ledger, b"a")
        self.assertEqual(outcome, Rejected("store_unavailable", "unreachable"))
        self.assertLessEqual(harness.clock.monotonic() - start, 4.1 * SECOND)
        harness.store.faults.outage = False
        self.assertEqual(await harness.commit(ledger, b"b"), Committed(2))
        self.assertEqual(await harness.replay(), [b"b"])

    async def test_busy_store_is_retried_and_then_reported(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        harness.store.faults.plan("put", FaultKind.REFUSE)
        self.assertEqual(await harness.commit(ledger, b"a"), Committed(2))
        harness.store.faults.plan("put", *[FaultKind.REFUSE] * 20)
        self.assertEqual(await harness.commit(ledger, b"b"), Rejected("store_busy"))
        self.assertEqual(await harness.replay(), [b"a"])

    async def test_outage_after_a_lost_reply_ends_as_lost(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        harness.store.faults.plan("put", FaultKind.LOSE_ANSWER)
        harness.store.faults.delay = timedelta(milliseconds=5)
        call = asyncio.ensure_future(ledger.commit((b"a",)))
        await harness.clock.advance(timedelta(milliseconds=5))
        harness.store.faults.outage = True
        self.assertIsInstance(await harness.finish(call), Lost)
        harness.store.faults.outage = False
        self.assertEqual(await harness.commit(ledger, b"b"), Committed(3))
        self.assertEqual(harness.states[ledger], [b"a", b"b"])

    async def test_exhausted_call_quota_is_reported(self):
        harness = self.make_harness()
        limited = DelayingStore(harness.store.connect("limited"))
        ledger = await harness.open(1, limited)
        limited.refusal = Rejected("quota_reached")
        self.assertEqual(await harness.commit(ledger, b"a"), Rejected("quota_reached"))
        limited.refusal = None
        self.assertIsInstance(await harness.commit(ledger, b"b"), Committed)
        self.assertEqual(await harness.replay(), [b"b"])

    async def test_opening_in_an_outage_is_refused_and_may_be_repeated(self):
        harness = self.make_harness()
        harness.store.faults.outage = True
        ledger = harness.make()
        outcome = await harness.finish(ledger.open(1))
        self.assertEqual(outcome, Rejected("store_unavailable", "unreachable"))
        harness.store.faults.outage = False
        self.assertEqual(await harness.finish(ledger.open(1)), Opened((), ()))

    async def test_close_waits_for_queued_commits(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        calls = [asyncio.ensure_future(ledger.commit((b"%d" % n,))) for n in range(3)]
        await settle()
        await harness.finish(ledger.close())
        self.assertEqual([(await call).sequence for call in calls], [2, 2, 2])
        self.assertEqual(await ledger.commit((b"x",)), Rejected("not_open"))


class TestTakeover(LedgerTestCase):
    """An owner with a lower epoch can't write any more."""

    async def test_old_owner_gets_deposed_on_commit(self):
        harness = self.make_harness()
        old = await harness.open(1)
        await harness.commit(old, b"a")
        new = await harness.open(2)
        self.assertEqual(harness.states[new], [b"a"])
        self.assertEqual(await harness.commit(old, b"b"), Deposed(2))
        self.assertEqual(await harness.commit(old, b"c"), Deposed(2))
        await harness.commit(new, b"d")
        self.assertEqual(await harness.replay(), [b"a", b"d"])

    async def test_delayed_write_of_an_old_owner_fails_after_compaction(self):
        for newer_commits in (1, SLOTS // 2, SLOTS, 3 * SLOTS):
            harness = self.make_harness()
            delaying = DelayingStore(harness.store.connect("delaying"))
            old = await harness.open(1, delaying)
            await harness.commit(old, b"a")
            await harness.clock.advance(SECOND)
            delaying.hold_next = True
            call = asyncio.ensure_future(old.commit((b"old",)))
            await settle()
            new = await harness.open(2)
            for number in range(newer_commits):
                await harness.commit(new, b"%d" % number)
            await delaying.release()
            outcome = await harness.finish(call)
            self.assertIn(type(outcome), (Deposed, Lost), newer_commits)
            self.assertEqual(await harness.commit(old, b"x"), Deposed(2))
            expected = [b"a", *(b"%d" % number for number in range(newer_commits))]
            self.assertEqual(harness.states[new], expected)
            self.assertEqual(await harness.replay(), expected)

    async def test_owner_paused_since_before_a_compaction_is_deposed(self):
        harness = self.make_harness()
        old = await harness.open(1)
        new = await harness.open(2)
        records = [b"%d" % number for number in range(3 * SLOTS)]
        for record in records:
            await harness.commit(new, record)
        self.assertEqual(await harness.commit(old, b"old"), Deposed(2))
        self.assertEqual(await harness.replay(), records)

    async def test_unconfirmed_record_is_lost_if_its_slot_was_overwritten(self):
        harness = self.make_harness()
        delaying = DelayingStore(harness.store.connect("delaying"))
        old = await harness.open(1, delaying)
        await harness.clock.advance(SECOND)
        harness.store.faults.plan("put", FaultKind.LOSE_ANSWER)
        call = asyncio.ensure_future(old.commit((b"old",)))
        delaying.is_cut_off = "read"
        await settle()
        new = await harness.open(2)
        expected = [b"old", *(b"%d" % number for number in range(SLOTS))]
        for record in expected[1:]:
            await harness.commit(new, record)
        delaying.is_cut_off = False
        self.assertIsInstance(await harness.finish(call), Lost)
        self.assertEqual(await harness.commit(old, b"x"), Deposed(2))
        self.assertEqual(await harness.replay(), expected)

    async def test_a_lower_epoch_may_not_open(self):
        harness = self.make_harness()
        await harness.open(3)
        outcome = await harness.finish(harness.make().open(2))
        self.assertEqual((type(outcome), outcome.code), (Rejected, "epoch_passed"))

    async def test_takeovers_without_commits_do_not_use_up_the_slots(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        records = [b"%d" % number for number in range(SLOTS // 2)]
        for record in records:
            await harness.commit(ledger, record)
        for epoch in range(2, 4 * SLOTS):
            ledger = await harness.open(epoch)
            self.assertEqual(harness.states[ledger], records)
        self.assertGreater(harness.read_head().parts, 0)
        opened = await harness.finish(harness.make().open(epoch))
        self.assertEqual(opened, Opened((), tuple(records)))
        ledger = await harness.open(epoch)
        await harness.commit(ledger, b"on")
        await harness.clock.advance(5 * SECOND)
        self.assertEqual(harness.list_parts(), harness.list_named_parts())
        self.assertEqual(await harness.replay(), [*records, b"on"])

    async def test_crash_while_moving_the_log_loses_nothing(self):
        for number in range(1, 11):
            for is_applied in (False, True):
                harness = self.make_harness()
                ledger = await harness.open(1, value_limit=600)
                records = [b"%d" % place * 200 for place in range(4)]
                await harness.commit(ledger, *records)
                for epoch in range(2, 9):
                    await harness.open(epoch, value_limit=600)
                self.assertEqual(harness.list_parts(), [])
                crashing = CrashingStore(harness.store.connect("m"), number, is_applied)
                harness.start(harness.make(crashing, value_limit=600).open(12))
                await harness.clock.advance(SECOND)
                new = await harness.open(13, value_limit=600)
                self.assertEqual(harness.states[new], records)
                await harness.commit(new, b"on")
                await harness.clock.advance(5 * SECOND)
                self.assertEqual(harness.list_parts(), harness.list_named_parts())
                self.assertEqual(await harness.replay(), [*records, b"on"])

    async def test_owner_paused_while_moving_the_log_changes_nothing_later(self):
        harness = self.make_harness()
        await self._fill_with_takeovers(harness)
        await harness.open(11)
        resumed = asyncio.Event()
        client = harness.store.connect("paused")
        paused = HookedStore(client, (Keys("03").head,), 1, resumed.wait)
        call = harness.start(harness.make(paused).open(20))
        await harness.clock.advance(SECOND)
        new = await harness.open(21)
        await harness.commit(new, b"new")
        await harness.clock.advance(5 * SECOND)
        resumed.set()
        outcome = await harness.finish(call)
        self.assertEqual((type(outcome), outcome.code), (Rejected, "epoch_passed"))
        self.assertEqual(await harness.replay(), [b"first", b"new"])

    async def test_moving_the_log_does_not_split_a_commit_in_progress(self):
        harness = self.make_harness()
        await self._fill_with_takeovers(harness)
        resume = asyncio.Event()
        held = (Keys("03").slot(14, SLOTS), Keys("03").snapshots)
        client = harness.store.connect("old")
        old = await harness.open(15, HookedStore(client, held, 0, resume.wait))
        large = (b"a" * 600_000, b"b" * 600_000)
        call = harness.start(old.commit(large))
        await harness.clock.advance(SECOND)

        async def resume_old() -> None:
            resume.set()
            await settle()

        client = harness.store.connect("new")
        new_store = HookedStore(client, (Keys("03").head,), 1, resume_old)
        new = await harness.open(16, new_store)
        self.assertIsInstance(await harness.finish(call), Committed)
        self.assertEqual(harness.states[new], [b"first", *large])
        self.assertEqual(await harness.replay(), [b"first", *large])

    async def _fill_with_takeovers(self, harness: LedgerHarness) -> None:
        """Use eleven of sixteen slots, one less than moves the log."""
        await harness.commit(await harness.open(1), b"first")
        for epoch in range(2, 11):
            await harness.open(epoch)

    async def test_opening_takes_one_read_and_two_writes(self):
        harness = self.make_harness()
        old = await harness.open(1)
        await harness.commit(old, b"a")
        before = harness.store.calls.copy()
        await harness.open(2)
        self.assertEqual(harness.store.calls - before, {"list": 1, "put": 2})

    async def test_opening_with_an_outdated_listing_loses_nothing(self):
        harness = self.make_harness()
        old = await harness.open(1)
        await harness.commit(old, b"a")
        stale = DelayingStore(harness.store.connect("stale"))
        stale.listing = harness.store.list(Keys("03").prefix)
        await harness.commit(old, b"b")
        await harness.commit(old, b"c")
        new = await harness.open(2, stale)
        self.assertEqual(harness.states[new], [b"a", b"b", b"c"])
        self.assertEqual(await harness.commit(old, b"d"), Deposed(2))

    async def test_answers_lost_while_opening_are_resolved(self):
        for kind in (FaultKind.LOSE_ANSWER, FaultKind.LOSE_CALL):
            for count in (1, 2, 3):
                harness = self.make_harness()
                old = await harness.open(1)
                await harness.commit(old, b"a")
                harness.store.faults.plan("put", *[kind] * count)
                new = await harness.open(2)
                await harness.commit(new, b"b")
                self.assertEqual(await harness.commit(old, b"c"), Deposed(2))
                self.assertEqual(await harness.replay(), [b"a", b"b"])


class TestCompaction(LedgerTestCase):
    """A snapshot replaces the covered part of the log atomically."""

    async def test_the_store_holds_a_bounded_number_of_keys(self):
        harness = self.make_harness()
        ledger = await harness.open(1, value_limit=1000)
        records = [b"%03d" % n * 20 for n in range(5 * SLOTS)]
        for record in records:
            await harness.commit(ledger, record)
        await harness.clock.advance(10 * SECOND)
        self.assertEqual(len(harness.list_keys("log/")), SLOTS)
        self.assertEqual(harness.list_parts(), harness.list_named_parts())
        self.assertGreater(len(harness.list_parts()), 3)
        self.assertEqual(await harness.replay(), records)

    async def test_crash_at_any_store_call_loses_and_leaves_nothing(self):
        calls = await self._run_until_crash(None, False)
        self.assertGreater(calls, 3 + SLOTS + 8)
        for number in range(1, calls + 1):
            for is_applied in (False, True):
                with self.subTest(number=number, is_applied=is_applied):
                    await self._run_until_crash(number, is_applied)

    async def _run_until_crash(self, number: int | None, is_applied: bool) -> int:
        harness = self.make_harness()
        crashing = CrashingStore(harness.store.connect("crashing"), number, is_applied)
        old = harness.make(crashing, value_limit=600)
        opening = harness.start(old.open(1))
        await harness.clock.advance(SECOND)
        calls = []
        for place in range(SLOTS + 4 if opening.done() else 0):
            calls.append(harness.start(old.commit((b"%02d" % place * 20,))))
            await harness.clock.advance(timedelta(milliseconds=100))
        await harness.clock.advance(3 * SECOND)
        outcomes = [c.result() for c in calls if c.done()]
        acknowledged = sum(isinstance(outcome, Committed) for outcome in outcomes)
        new = await harness.open(2, value_limit=600)
        replayed = list(harness.states[new])
        self.assertEqual(replayed, [b"%02d" % n * 20 for n in range(len(replayed))])
        self.assertIn(len(replayed), (acknowledged, acknowledged + 1))
        await harness.commit(new, b"new")
        await harness.clock.advance(5 * SECOND)
        self.assertEqual(harness.list_parts(), harness.list_named_parts())
        for place in range(SLOTS):
            await harness.commit(new, b"more %d" % place)
        more = [b"new", *(b"more %d" % place for place in range(SLOTS))]
        self.assertEqual(await harness.replay(), replayed + more)
        return crashing.count

    async def test_snapshot_during_a_large_commit_does_not_split_it(self):
        harness = self.make_harness()
        ledger = await harness.open(1, value_limit=600)
        records = [b"%02d" % number * 100 for number in range(SLOTS // 2 + 4)]
        for record in records[: SLOTS // 2]:
            await harness.commit(ledger, record)
        harness.store.faults.delay = timedelta(milliseconds=300)
        harness.store.faults.plan("put", None, FaultKind.REFUSE)
        await harness.commit(ledger, *records[SLOTS // 2 :])
        await harness.clock.advance(5 * SECOND)
        self.assertEqual(harness.read_head().base, SLOTS // 2 + 1)
        self.assertEqual(await harness.replay(), records)

    async def test_large_commits_that_fail_do_not_use_up_the_slots(self):
        harness = self.make_harness()
        ledger = await harness.open(1, value_limit=600)
        large = [b"%d" % number * 300 for number in range(4)]
        for _ in range(SLOTS):
            size = sum(len(e.value) for e in harness.store.list("").entries)
            harness.store.capacity = size + 1000
            outcome = await harness.commit(ledger, *large)
            self.assertEqual(outcome.code, "store_full")
            harness.store.capacity = 1 << 30
            await harness.clock.advance(SECOND)
            if len(harness.list_keys("log/")) == SLOTS:
                break
        self.assertIsInstance(await harness.commit(ledger, b"on"), Committed)
        self.assertEqual(await harness.replay(), [b"on"])

    async def test_a_commit_that_needs_too_many_slots_is_refused_alone(self):
        harness = self.make_harness()
        ledger = await harness.open(1, value_limit=600)
        outcome = await harness.commit(ledger, *[bytes(300)] * (SLOTS // 4 + 1))
        self.assertEqual(outcome.code, "value_too_large")
        self.assertEqual(await harness.commit(ledger, b"on"), Committed(2))

    async def test_a_paused_compaction_cannot_replace_a_newer_snapshot(self):
        harness = self.make_harness()
        delaying = DelayingStore(harness.store.connect("delaying"))
        old = await harness.open(1, delaying)
        delaying.held_key = Keys("03").head
        records = [b"%d" % number for number in range(SLOTS // 2 + 1)]
        for record in records:
            await harness.commit(old, record)
        await harness.clock.advance(SECOND)
        self.assertFalse(delaying.held_key)
        new = await harness.open(2)
        await harness.commit(new, b"new")
        await harness.clock.advance(5 * SECOND)
        await delaying.release()
        await harness.clock.advance(30 * SECOND)
        self.assertEqual(await harness.commit(old, b"old"), Deposed(2))
        self.assertEqual(harness.list_parts(), harness.list_named_parts())
        self.assertEqual(await harness.replay(), [*records, b"new"])

    async def test_temporarily_full_store_only_delays_compaction(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        for number in range(SLOTS // 2 + 2):
            harness.store.capacity = harness.store._size + 60
            await harness.commit(ledger, b"%02d" % number * 10)
        self.assertEqual(harness.list_parts(), [])
        harness.store.capacity = 1 << 30
        await harness.clock.advance(3 * SECOND)
        self.assertEqual(harness.list_parts(), harness.list_named_parts())
        self.assertEqual(len(harness.list_parts()), 1)

    async def test_large_slots_are_emptied_once_a_snapshot_covers_them(self):
        for loss in (None, FaultKind.LOSE_ANSWER, FaultKind.LOSE_CALL):
            harness = self.make_harness()
            state = [b"small"]
            ledger = Ledger(
                "03",
                harness.store.connect("large"),
                harness.clock,
                lambda state=state: tuple(state),
                lambda records, state=state: None,
                slots=SLOTS,
            )
            await harness.finish(ledger.open(1))
            for _ in range(SLOTS // 2 + 1):
                await harness.commit(ledger, bytes(900_000))
            if loss is not None:
                harness.store.faults.plan("put", None, None, loss, loss)
            await harness.clock.advance(5 * SECOND)
            entries = harness.store.list(Keys("03").prefix).entries
            self.assertLess(sum(len(entry.value) for entry in entries), 2_000_000)
            for number in range(2 * SLOTS):
                outcome = await harness.commit(ledger, b"%d" % number)
                self.assertIsInstance(outcome, Committed)
            self.assertIsInstance(await harness.finish(harness.make().open(2)), Opened)

    async def test_slot_emptied_late_by_an_old_owner_does_not_block_appends(self):
        harness = self.make_harness()
        old = await harness.open(1)
        for number in range(SLOTS // 2 + 1):
            await harness.commit(old, b"%d" % number)
        await harness.clock.advance(SECOND)
        new = await harness.open(2)
        for key in harness.list_keys("log/")[:4]:
            await old._log.trim(key)
        for number in range(2 * SLOTS):
            await harness.commit(new, b"new %d" % number)
        expected = harness.states[old] + [b"new %d" % n for n in range(2 * SLOTS)]
        self.assertEqual(await harness.replay(), expected)


class TestReplay(LedgerTestCase):
    """Replay returns what was committed, in the same order."""

    async def test_replay_equals_the_committed_order(self):
        harness = self.make_harness()
        expected = []
        for epoch in range(1, 6):
            ledger = await harness.open(epoch)
            for round_number in range(7):
                records = [b"%d-%d-%d" % (epoch, round_number, n) for n in range(5)]
                calls = [ledger.commit((record,)) for record in records]
                await harness.finish(asyncio.gather(*calls))
                expected += records
            self.assertEqual(harness.states[ledger], expected)
        self.assertEqual(await harness.replay(), expected)

    async def test_error_of_apply_is_raised_in_every_caller(self):
        harness = self.make_harness()
        ledger = await harness.open(1)
        ledger._apply = lambda records: bytes(records[0], "none")
        calls = [harness.start(ledger.commit((b"%d" % n,))) for n in range(2)]
        await harness.clock.advance(SECOND)
        calls.append(harness.start(ledger.commit((b"later",))))
        await settle()
        self.assertEqual([type(call.exception()) for call in calls], [TypeError] * 3)

    async def test_key_lost_by_the_store_raises_invariant_error(self):
        for lost, count in (("log/00002", 4), ("snapshot/", SLOTS)):
            harness = self.make_harness()
            ledger = await harness.open(1)
            for number in range(count):
                await harness.commit(ledger, b"%d" % number)
            await harness.clock.advance(5 * SECOND)
            key = harness.list_keys(lost)[0]
            harness.store.delete(key, None)
            with self.assertRaises(InvariantError):
                await harness.finish(harness.make().open(2))


class CrashingStore:
    """Wraps the client of a daemon that stops at one of its calls.

    :param number: number of the last call; ``None`` for no crash.
    :param is_applied: whether the last call still takes effect.
    """

    def __init__(self, client, number: int | None, is_applied: bool) -> None:
        self._client = client
        self._number = number
        self._takes_effect = is_applied
        self.count = 0

    def __getattr__(self, operation):
        async def call(*arguments):
            self.count += 1
            is_last = self.count == self._number
            if not is_last and self._number and self.count > self._number:
                await asyncio.Event().wait()
            if not is_last or self._takes_effect:
                answer = await getattr(self._client, operation)(*arguments)
            if is_last:
                await asyncio.Event().wait()
            return answer

        return call


class HookedStore:
    """Wraps a client; awaits ``wait`` before some of its writes.

    :param prefixes: prefixes of the affected keys.
    :param skip: number of writes to them that are not delayed.
    """

    def __init__(self, client, prefixes: tuple[str, ...], skip: int, wait) -> None:
        self._client = client
        self._prefixes = prefixes
        self._skip = skip
        self._wait = wait

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def put(self, key, *arguments):
        """Write a key, perhaps later."""
        if key.startswith(self._prefixes):
            self._skip -= 1
            if self._skip < 0:
                await self._wait()
        return await self._client.put(key, *arguments)


class DelayingStore:
    """Wraps a client; may delay a write, refuse writes or return an old listing."""

    def __init__(self, client) -> None:
        self._client = client
        self._held = None
        self.hold_next = False
        self.held_key = ""
        self.is_cut_off = False
        self.stays_connected = False
        self.refusal = None
        self.listing = None

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def get(self, key):
        """Read a key, unless cut off."""
        return Lost("timeout") if self.is_cut_off else await self._client.get(key)

    async def list(self, prefix):
        """Read the keys below a prefix, or return an older listing once."""
        listing, self.listing = self.listing, None
        return listing or await self._client.list(prefix)

    async def put(self, *arguments):
        """Write a key, or delay the call and lose its reply."""
        if self.refusal is not None:
            return self.refusal
        if self.hold_next or arguments[0] == self.held_key:
            self.hold_next = False
            self.held_key = ""
            self.is_cut_off = not self.stays_connected
            self._held = arguments
            return Lost("timeout")
        if self.is_cut_off is True:
            return Lost("timeout")
        return await self._client.put(*arguments)

    async def release(self):
        """Deliver the delayed write, discard its reply and restore the connection."""
        self.is_cut_off = False
        return await self._client.put(*self._held)


if __name__ == "__main__":
    unittest.main()
