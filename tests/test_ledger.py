"""The ledger: group commit, lost answers, outages, takeovers and compaction."""

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


class Bench:
    """A store, its clock and keepers whose state is the list of all records."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.states: dict[Ledger, list[bytes]] = {}
        self.epoch = 0
        self._calls: list[asyncio.Task] = []
        self._numbers = itertools.count(1)

    def make(self, store=None, **limits) -> Ledger:
        """Return a keeper's ledger; its state follows what it applies."""
        state: list[bytes] = []
        limits.setdefault("slots", SLOTS)
        ledger = Ledger(
            "03",
            store or self.store.connect(f"keeper-{next(self._numbers)}"),
            self.clock,
            lambda: tuple(state),
            state.extend,
            identify=lambda: f"id-{next(self._numbers)}",
            **limits,
        )
        self.states[ledger] = state
        return ledger

    async def open(self, epoch: int, store=None, **limits) -> Ledger:
        """Open a keeper's ledger and replay it."""
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
        """Let the time pass until ``call`` has ended."""
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
        """List the parts that the head names."""
        return Keys("03").list_parts(self.read_head())

    def read_head(self) -> Head:
        """Return the head in the store."""
        return decode_head(self.store.get(Keys("03").head).entry.value)

    async def replay(self) -> list[bytes]:
        """Return what a newcomer with the next epoch reads."""
        self.store.faults.planned.clear()
        self.store.faults.outage = False
        self.store.capacity = 1 << 30
        return self.states[await self.open(self.epoch + 1)]


class LedgerTestCase(unittest.IsolatedAsyncioTestCase):
    """Makes benches and keeps them until the test ends."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self._benches: list[Bench] = []

    def make_bench(self) -> Bench:
        """Return a new bench."""
        self._benches.append(Bench())
        return self._benches[-1]


class TestGroupCommit(LedgerTestCase):
    """Many commits ride on few appends, in the order of their callers."""

    async def test_commits_that_meet_share_one_append(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        bench.store.faults.delay = timedelta(milliseconds=5)
        before = bench.store.calls.copy()
        calls = [ledger.commit((b"%d" % number,)) for number in range(100)]
        outcomes = await bench.finish(asyncio.gather(*calls))
        self.assertEqual({type(outcome) for outcome in outcomes}, {Committed})
        self.assertLessEqual((bench.store.calls - before).total(), 2)
        expected = [b"%d" % number for number in range(100)]
        self.assertEqual(bench.states[ledger], expected)
        self.assertEqual(await bench.replay(), expected)

    async def test_one_append_is_in_flight_and_the_rest_waits_for_the_next(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        bench.store.faults.delay = timedelta(milliseconds=5)
        before = bench.store.calls["put"]
        calls = []
        for number in range(20):
            call = ledger.commit((b"%d" % number,))
            calls.append(asyncio.ensure_future(call))
            await bench.clock.advance(timedelta(milliseconds=5))
        outcomes = await bench.finish(asyncio.gather(*calls))
        self.assertEqual({type(outcome) for outcome in outcomes}, {Committed})
        self.assertEqual(bench.store.calls["put"] - before, 4)
        self.assertEqual(bench.states[ledger], [b"%d" % n for n in range(20)])

    async def test_appends_are_paced_but_the_first_after_idle_goes_at_once(self):
        bench = self.make_bench()
        ledger = await bench.open(1, slots=512)
        await bench.clock.advance(SECOND)
        for _ in range(3):
            call = asyncio.ensure_future(ledger.commit((b"x",)))
            await settle()
            self.assertTrue(call.done())
            await bench.clock.advance(SECOND)
        before = bench.store.calls["put"]
        for _ in range(200):
            asyncio.ensure_future(ledger.commit((b"y",)))
            await bench.clock.advance(timedelta(milliseconds=5))
        self.assertLessEqual(bench.store.calls["put"] - before, 27)

    async def test_no_reads_are_made_after_opening(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        before = bench.store.calls.copy()
        for number in range(4 * SLOTS):
            await bench.commit(ledger, b"%d" % number)
        calls = bench.store.calls - before
        self.assertEqual(set(calls), {"put", "delete"})

    async def test_a_cancelled_caller_leaves_the_others_alone(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        bench.store.faults.delay = timedelta(milliseconds=5)
        calls = [asyncio.ensure_future(ledger.commit((b"%d" % n,))) for n in range(3)]
        await settle()
        calls[1].cancel()
        late = asyncio.ensure_future(ledger.commit((b"late",)))
        await settle()
        late.cancel()
        outcomes = await bench.finish(asyncio.gather(calls[0], calls[2]))
        self.assertEqual(outcomes, [Committed(2), Committed(2)])
        await bench.clock.advance(SECOND)
        self.assertEqual(bench.states[ledger], [b"0", b"1", b"2"])
        self.assertEqual(await bench.replay(), bench.states[ledger])


class TestSizes(LedgerTestCase):
    """Values stay under the limit, and a refusal leaves nothing behind."""

    async def test_a_large_batch_is_split_between_commits(self):
        bench = self.make_bench()
        ledger = await bench.open(1, value_limit=1000)
        records = [b"%d" % n * 300 for n in range(9)]
        calls = [ledger.commit((record,)) for record in records]
        outcomes = await bench.finish(asyncio.gather(*calls))
        self.assertEqual([o.sequence for o in outcomes], [2, 2, 3, 3, 4, 4, 5, 5, 6])
        self.assertEqual(await bench.replay(), records)

    async def test_a_record_over_the_limit_is_refused_alone(self):
        bench = self.make_bench()
        ledger = await bench.open(1, value_limit=1000)
        calls = [ledger.commit((r,)) for r in (b"a", b"b" * 1000, b"c")]
        first, second, third = await bench.finish(asyncio.gather(*calls))
        self.assertEqual((first, third), (Committed(2), Committed(2)))
        self.assertEqual((type(second), second.code), (Rejected, "value_too_large"))
        self.assertEqual(await bench.replay(), [b"a", b"c"])

    async def test_a_large_commit_counts_only_once_its_last_part_is_written(self):
        bench = self.make_bench()
        ledger = await bench.open(1, value_limit=1000)
        large = tuple(b"%d" % n * 400 for n in range(4))
        gate = bench.store.faults
        bench.store.capacity = bench.store.written_bytes + 1500
        outcome = await bench.commit(ledger, *large)
        self.assertEqual((type(outcome), outcome.code), (Rejected, "store_full"))
        bench.store.capacity = 1 << 30
        self.assertIsInstance(await bench.commit(ledger, b"small"), Committed)
        gate.plan("put", FaultKind.LOSE_ANSWER, FaultKind.LOSE_CALL)
        self.assertIsInstance(await bench.commit(ledger, *large), Committed)
        self.assertEqual(bench.states[ledger], [b"small", *large])
        self.assertEqual(await bench.replay(), [b"small", *large])

    async def test_a_full_store_refuses_and_recovers(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        bench.store.capacity = 0
        outcome = await bench.commit(ledger, b"lost")
        self.assertEqual(outcome, Rejected("store_full"))
        bench.store.capacity = 1 << 30
        self.assertIsInstance(await bench.commit(ledger, b"kept"), Committed)
        self.assertEqual(await bench.replay(), [b"kept"])

    async def test_a_log_that_cannot_be_compacted_refuses_before_it_is_full(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        kept = []
        for number in range(2 * SLOTS):
            # Room for a segment, but none for a snapshot.
            bench.store.capacity = bench.store._size + 60
            record = b"%02d" % number * 10
            outcome = await bench.finish(ledger.commit((record,)))
            if not isinstance(outcome, Committed):
                break
            kept.append(record)
        self.assertEqual(outcome, Rejected("ledger_full"))
        self.assertEqual(await bench.replay(), kept)
        bench.store.capacity = 1 << 30
        later = await bench.open(bench.epoch + 1)
        self.assertIsInstance(await bench.commit(later, b"on"), Committed)
        self.assertEqual(await bench.replay(), [*kept, b"on"])

    async def test_the_queue_is_bounded(self):
        bench = self.make_bench()
        ledger = await bench.open(1, queue_limit=5)
        calls = [ledger.commit((b"%d" % n,)) for n in range(8)]
        outcomes = await bench.finish(asyncio.gather(*calls))
        self.assertEqual(outcomes[5:], [Rejected("queue_full")] * 3)
        self.assertEqual(bench.states[ledger], [b"0", b"1", b"2", b"3", b"4"])


class TestLostAnswers(LedgerTestCase):
    """A lost answer is resolved by the write's identifier."""

    async def test_a_write_that_took_effect_is_not_repeated(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        before = bench.store.calls.copy()
        bench.store.faults.plan("put", FaultKind.LOSE_ANSWER)
        self.assertEqual(await bench.commit(ledger, b"a"), Committed(2))
        self.assertEqual(bench.store.calls - before, {"put": 1, "get": 1})
        self.assertEqual(await bench.replay(), [b"a"])

    async def test_a_write_that_was_lost_is_made_again(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        before = bench.store.calls.copy()
        bench.store.faults.plan("put", FaultKind.LOSE_CALL, FaultKind.LOSE_CALL)
        self.assertEqual(await bench.commit(ledger, b"a"), Committed(2))
        self.assertEqual(bench.store.calls - before, {"put": 3, "get": 2})
        self.assertEqual(await bench.replay(), [b"a"])

    async def test_a_lost_call_that_arrives_late_takes_effect_once(self):
        bench = self.make_bench()
        late = LateStore(bench.store.connect("late"))
        ledger = await bench.open(1, late)
        late.hold_next = True
        late.stays_linked = True
        self.assertEqual(await bench.commit(ledger, b"a"), Committed(2))
        await bench.commit(ledger, b"b")
        await late.release()
        await bench.commit(ledger, b"c")
        self.assertEqual(await bench.replay(), [b"a", b"b", b"c"])

    async def test_nothing_is_appended_before_the_doubt_is_resolved(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        store = bench.store
        store.faults.plan("put", FaultKind.LOSE_ANSWER)
        store.faults.plan("get", *[FaultKind.LOSE_CALL] * 20)
        first = asyncio.ensure_future(ledger.commit((b"a",)))
        await bench.clock.advance(3 * SECOND)
        second = asyncio.ensure_future(ledger.commit((b"b",)))
        await bench.clock.advance(2 * SECOND)
        self.assertEqual((await first).code, "answer_lost")
        self.assertIsInstance(await first, Lost)
        self.assertFalse(second.done())
        outcome = await bench.finish(second)
        self.assertEqual(outcome, Rejected("store_unavailable"))
        await bench.clock.advance(30 * SECOND)
        self.assertEqual(bench.states[ledger], [b"a"])
        self.assertEqual(await bench.commit(ledger, b"c"), Committed(3))
        self.assertEqual(await bench.replay(), [b"a", b"c"])


class TestOutage(LedgerTestCase):
    """While the store is down, commits wait a stated time and tell the truth."""

    async def test_a_short_outage_only_delays(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        bench.store.faults.outage = True
        call = asyncio.ensure_future(ledger.commit((b"a",)))
        await bench.clock.advance(2 * SECOND)
        bench.store.faults.outage = False
        self.assertEqual(await bench.finish(call), Committed(2))

    async def test_a_long_outage_refuses_what_was_not_written(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        bench.store.faults.outage = True
        start = bench.clock.monotonic()
        outcome = await bench.commit(ledger, b"a")
        self.assertEqual(outcome, Rejected("store_unavailable", "unreachable"))
        self.assertLessEqual(bench.clock.monotonic() - start, 4.1 * SECOND)
        bench.store.faults.outage = False
        self.assertEqual(await bench.commit(ledger, b"b"), Committed(2))
        self.assertEqual(await bench.replay(), [b"b"])

    async def test_a_busy_store_is_tried_again_and_then_named(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        bench.store.faults.plan("put", FaultKind.REFUSE)
        self.assertEqual(await bench.commit(ledger, b"a"), Committed(2))
        bench.store.faults.plan("put", *[FaultKind.REFUSE] * 20)
        self.assertEqual(await bench.commit(ledger, b"b"), Rejected("store_busy"))
        self.assertEqual(await bench.replay(), [b"a"])

    async def test_an_outage_with_a_write_in_doubt_ends_as_lost(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        bench.store.faults.plan("put", FaultKind.LOSE_ANSWER)
        bench.store.faults.delay = timedelta(milliseconds=5)
        call = asyncio.ensure_future(ledger.commit((b"a",)))
        await bench.clock.advance(timedelta(milliseconds=5))
        bench.store.faults.outage = True
        self.assertIsInstance(await bench.finish(call), Lost)
        bench.store.faults.outage = False
        self.assertEqual(await bench.commit(ledger, b"b"), Committed(3))
        self.assertEqual(bench.states[ledger], [b"a", b"b"])

    async def test_a_used_up_quota_of_calls_is_named(self):
        bench = self.make_bench()
        limited = LateStore(bench.store.connect("limited"))
        ledger = await bench.open(1, limited)
        limited.refusal = Rejected("quota_reached")
        self.assertEqual(await bench.commit(ledger, b"a"), Rejected("quota_reached"))
        limited.refusal = None
        self.assertIsInstance(await bench.commit(ledger, b"b"), Committed)
        self.assertEqual(await bench.replay(), [b"b"])

    async def test_opening_in_an_outage_is_refused_and_may_be_repeated(self):
        bench = self.make_bench()
        bench.store.faults.outage = True
        ledger = bench.make()
        outcome = await bench.finish(ledger.open(1))
        self.assertEqual(outcome, Rejected("store_unavailable", "unreachable"))
        bench.store.faults.outage = False
        self.assertEqual(await bench.finish(ledger.open(1)), Opened((), ()))

    async def test_closing_lets_waiting_commits_end(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        calls = [asyncio.ensure_future(ledger.commit((b"%d" % n,))) for n in range(3)]
        await settle()
        await bench.finish(ledger.close())
        self.assertEqual([(await call).sequence for call in calls], [2, 2, 2])
        self.assertEqual(await ledger.commit((b"x",)), Rejected("not_open"))


class TestTakeover(LedgerTestCase):
    """A keeper of a lower epoch is stopped where it acts."""

    async def test_an_old_keeper_learns_that_it_was_deposed(self):
        bench = self.make_bench()
        old = await bench.open(1)
        await bench.commit(old, b"a")
        new = await bench.open(2)
        self.assertEqual(bench.states[new], [b"a"])
        self.assertEqual(await bench.commit(old, b"b"), Deposed(2))
        self.assertEqual(await bench.commit(old, b"c"), Deposed(2))
        await bench.commit(new, b"d")
        self.assertEqual(await bench.replay(), [b"a", b"d"])

    async def test_a_write_held_up_on_its_way_is_not_believed_after_compaction(self):
        for late_by in (1, SLOTS // 2, SLOTS, 3 * SLOTS):
            bench = self.make_bench()
            late = LateStore(bench.store.connect("late"))
            old = await bench.open(1, late)
            await bench.commit(old, b"a")
            await bench.clock.advance(SECOND)
            late.hold_next = True
            call = asyncio.ensure_future(old.commit((b"old",)))
            await settle()
            new = await bench.open(2)
            for number in range(late_by):
                await bench.commit(new, b"%d" % number)
            await late.release()
            outcome = await bench.finish(call)
            self.assertIn(type(outcome), (Deposed, Lost), late_by)
            self.assertEqual(await bench.commit(old, b"x"), Deposed(2))
            expected = [b"a", *(b"%d" % number for number in range(late_by))]
            self.assertEqual(bench.states[new], expected)
            self.assertEqual(await bench.replay(), expected)

    async def test_a_keeper_paused_since_before_a_compaction_is_deposed(self):
        bench = self.make_bench()
        old = await bench.open(1)
        new = await bench.open(2)
        records = [b"%d" % number for number in range(3 * SLOTS)]
        for record in records:
            await bench.commit(new, record)
        self.assertEqual(await bench.commit(old, b"old"), Deposed(2))
        self.assertEqual(await bench.replay(), records)

    async def test_a_record_in_doubt_is_lost_if_its_slot_was_used_again(self):
        bench = self.make_bench()
        late = LateStore(bench.store.connect("late"))
        old = await bench.open(1, late)
        await bench.clock.advance(SECOND)
        bench.store.faults.plan("put", FaultKind.LOSE_ANSWER)
        call = asyncio.ensure_future(old.commit((b"old",)))
        late.is_cut_off = "read"
        await settle()
        new = await bench.open(2)
        expected = [b"old", *(b"%d" % number for number in range(SLOTS))]
        for record in expected[1:]:
            await bench.commit(new, record)
        late.is_cut_off = False
        self.assertIsInstance(await bench.finish(call), Lost)
        self.assertEqual(await bench.commit(old, b"x"), Deposed(2))
        self.assertEqual(await bench.replay(), expected)

    async def test_a_lower_epoch_may_not_open(self):
        bench = self.make_bench()
        await bench.open(3)
        outcome = await bench.finish(bench.make().open(2))
        self.assertEqual((type(outcome), outcome.code), (Rejected, "epoch_passed"))

    async def test_takeovers_without_commits_do_not_use_up_the_slots(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        records = [b"%d" % number for number in range(SLOTS // 2)]
        for record in records:
            await bench.commit(ledger, record)
        for epoch in range(2, 4 * SLOTS):
            ledger = await bench.open(epoch)
            self.assertEqual(bench.states[ledger], records)
        self.assertGreater(bench.read_head().parts, 0)
        opened = await bench.finish(bench.make().open(epoch))
        self.assertEqual(opened, Opened((), tuple(records)))
        ledger = await bench.open(epoch)
        await bench.commit(ledger, b"on")
        await bench.clock.advance(5 * SECOND)
        self.assertEqual(bench.list_parts(), bench.list_named_parts())
        self.assertEqual(await bench.replay(), [*records, b"on"])

    async def test_a_death_while_making_room_loses_nothing(self):
        for number in range(1, 11):
            for takes_effect in (False, True):
                bench = self.make_bench()
                ledger = await bench.open(1, value_limit=600)
                records = [b"%d" % place * 200 for place in range(4)]
                await bench.commit(ledger, *records)
                for epoch in range(2, 9):
                    await bench.open(epoch, value_limit=600)
                self.assertEqual(bench.list_parts(), [])
                mortal = MortalStore(bench.store.connect("m"), number, takes_effect)
                bench.start(bench.make(mortal, value_limit=600).open(12))
                await bench.clock.advance(SECOND)
                new = await bench.open(13, value_limit=600)
                self.assertEqual(bench.states[new], records)
                await bench.commit(new, b"on")
                await bench.clock.advance(5 * SECOND)
                self.assertEqual(bench.list_parts(), bench.list_named_parts())
                self.assertEqual(await bench.replay(), [*records, b"on"])

    async def test_a_keeper_paused_while_making_room_changes_nothing_later(self):
        bench = self.make_bench()
        await self._fill_with_takeovers(bench)
        await bench.open(11)
        resumed = asyncio.Event()
        client = bench.store.connect("paused")
        paused = HookedStore(client, (Keys("03").head,), 1, resumed.wait)
        call = bench.start(bench.make(paused).open(20))
        await bench.clock.advance(SECOND)
        new = await bench.open(21)
        await bench.commit(new, b"new")
        await bench.clock.advance(5 * SECOND)
        resumed.set()
        outcome = await bench.finish(call)
        self.assertEqual((type(outcome), outcome.code), (Rejected, "epoch_passed"))
        self.assertEqual(await bench.replay(), [b"first", b"new"])

    async def test_making_room_does_not_cut_a_large_commit_in_progress(self):
        bench = self.make_bench()
        await self._fill_with_takeovers(bench)
        go_on = asyncio.Event()
        held = (Keys("03").slot(14, SLOTS), Keys("03").snapshots)
        client = bench.store.connect("old")
        old = await bench.open(15, HookedStore(client, held, 0, go_on.wait))
        large = (b"a" * 600_000, b"b" * 600_000)
        call = bench.start(old.commit(large))
        await bench.clock.advance(SECOND)

        async def let_go_on() -> None:
            go_on.set()
            await settle()

        client = bench.store.connect("new")
        new_store = HookedStore(client, (Keys("03").head,), 1, let_go_on)
        new = await bench.open(16, new_store)
        self.assertIsInstance(await bench.finish(call), Committed)
        self.assertEqual(bench.states[new], [b"first", *large])
        self.assertEqual(await bench.replay(), [b"first", *large])

    async def _fill_with_takeovers(self, bench: Bench) -> None:
        """Use eleven slots of sixteen, one below making room."""
        await bench.commit(await bench.open(1), b"first")
        for epoch in range(2, 11):
            await bench.open(epoch)

    async def test_opening_takes_one_read_and_two_writes(self):
        bench = self.make_bench()
        old = await bench.open(1)
        await bench.commit(old, b"a")
        before = bench.store.calls.copy()
        await bench.open(2)
        self.assertEqual(bench.store.calls - before, {"list": 1, "put": 2})

    async def test_a_read_that_is_older_than_the_last_writes_is_harmless(self):
        bench = self.make_bench()
        old = await bench.open(1)
        await bench.commit(old, b"a")
        stale = LateStore(bench.store.connect("stale"))
        stale.listing = bench.store.list(Keys("03").prefix)
        await bench.commit(old, b"b")
        await bench.commit(old, b"c")
        new = await bench.open(2, stale)
        self.assertEqual(bench.states[new], [b"a", b"b", b"c"])
        self.assertEqual(await bench.commit(old, b"d"), Deposed(2))

    async def test_answers_lost_while_opening_are_resolved(self):
        for kind in (FaultKind.LOSE_ANSWER, FaultKind.LOSE_CALL):
            for count in (1, 2, 3):
                bench = self.make_bench()
                old = await bench.open(1)
                await bench.commit(old, b"a")
                bench.store.faults.plan("put", *[kind] * count)
                new = await bench.open(2)
                await bench.commit(new, b"b")
                self.assertEqual(await bench.commit(old, b"c"), Deposed(2))
                self.assertEqual(await bench.replay(), [b"a", b"b"])


class TestCompaction(LedgerTestCase):
    """A snapshot replaces the covered part of the log, whole or not at all."""

    async def test_the_store_holds_a_bounded_number_of_keys(self):
        bench = self.make_bench()
        ledger = await bench.open(1, value_limit=1000)
        records = [b"%03d" % n * 20 for n in range(5 * SLOTS)]
        for record in records:
            await bench.commit(ledger, record)
        await bench.clock.advance(10 * SECOND)
        self.assertEqual(len(bench.list_keys("log/")), SLOTS)
        self.assertEqual(bench.list_parts(), bench.list_named_parts())
        self.assertGreater(len(bench.list_parts()), 3)
        self.assertEqual(await bench.replay(), records)

    async def test_a_death_at_any_store_call_loses_and_leaves_nothing(self):
        calls = await self._run_to_death(None, False)
        self.assertGreater(calls, 3 + SLOTS + 8)
        for number in range(1, calls + 1):
            for takes_effect in (False, True):
                with self.subTest(number=number, takes_effect=takes_effect):
                    await self._run_to_death(number, takes_effect)

    async def _run_to_death(self, number: int | None, takes_effect: bool) -> int:
        bench = self.make_bench()
        mortal = MortalStore(bench.store.connect("mortal"), number, takes_effect)
        old = bench.make(mortal, value_limit=600)
        opening = bench.start(old.open(1))
        await bench.clock.advance(SECOND)
        calls = []
        for place in range(SLOTS + 4 if opening.done() else 0):
            calls.append(bench.start(old.commit((b"%02d" % place * 20,))))
            await bench.clock.advance(timedelta(milliseconds=100))
        await bench.clock.advance(3 * SECOND)
        told = [c.result() for c in calls if c.done()]
        acknowledged = sum(isinstance(outcome, Committed) for outcome in told)
        new = await bench.open(2, value_limit=600)
        kept = list(bench.states[new])
        self.assertEqual(kept, [b"%02d" % n * 20 for n in range(len(kept))])
        self.assertIn(len(kept), (acknowledged, acknowledged + 1))
        await bench.commit(new, b"new")
        await bench.clock.advance(5 * SECOND)
        self.assertEqual(bench.list_parts(), bench.list_named_parts())
        for place in range(SLOTS):
            await bench.commit(new, b"more %d" % place)
        more = [b"new", *(b"more %d" % place for place in range(SLOTS))]
        self.assertEqual(await bench.replay(), kept + more)
        return mortal.count

    async def test_a_snapshot_taken_amid_a_large_commit_does_not_cut_it(self):
        bench = self.make_bench()
        ledger = await bench.open(1, value_limit=600)
        records = [b"%02d" % number * 100 for number in range(SLOTS // 2 + 4)]
        for record in records[: SLOTS // 2]:
            await bench.commit(ledger, record)
        bench.store.faults.delay = timedelta(milliseconds=300)
        bench.store.faults.plan("put", None, FaultKind.REFUSE)
        await bench.commit(ledger, *records[SLOTS // 2 :])
        await bench.clock.advance(5 * SECOND)
        self.assertEqual(bench.read_head().base, SLOTS // 2 + 1)
        self.assertEqual(await bench.replay(), records)

    async def test_large_commits_that_fail_do_not_use_up_the_slots(self):
        bench = self.make_bench()
        ledger = await bench.open(1, value_limit=600)
        large = [b"%d" % number * 300 for number in range(4)]
        for _ in range(SLOTS):
            size = sum(len(e.value) for e in bench.store.list("").entries)
            bench.store.capacity = size + 1000
            outcome = await bench.commit(ledger, *large)
            self.assertEqual(outcome.code, "store_full")
            bench.store.capacity = 1 << 30
            await bench.clock.advance(SECOND)
            if len(bench.list_keys("log/")) == SLOTS:
                break
        self.assertIsInstance(await bench.commit(ledger, b"on"), Committed)
        self.assertEqual(await bench.replay(), [b"on"])

    async def test_a_commit_that_needs_too_many_slots_is_refused_alone(self):
        bench = self.make_bench()
        ledger = await bench.open(1, value_limit=600)
        outcome = await bench.commit(ledger, *[bytes(300)] * (SLOTS // 4 + 1))
        self.assertEqual(outcome.code, "value_too_large")
        self.assertEqual(await bench.commit(ledger, b"on"), Committed(2))

    async def test_a_paused_compaction_cannot_replace_a_newer_snapshot(self):
        bench = self.make_bench()
        late = LateStore(bench.store.connect("late"))
        old = await bench.open(1, late)
        late.held_key = Keys("03").head
        records = [b"%d" % number for number in range(SLOTS // 2 + 1)]
        for record in records:
            await bench.commit(old, record)
        await bench.clock.advance(SECOND)
        self.assertFalse(late.held_key)
        new = await bench.open(2)
        await bench.commit(new, b"new")
        await bench.clock.advance(5 * SECOND)
        await late.release()
        await bench.clock.advance(30 * SECOND)
        self.assertEqual(await bench.commit(old, b"old"), Deposed(2))
        self.assertEqual(bench.list_parts(), bench.list_named_parts())
        self.assertEqual(await bench.replay(), [*records, b"new"])

    async def test_a_store_that_is_full_for_a_while_only_delays_compaction(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        for number in range(SLOTS // 2 + 2):
            bench.store.capacity = bench.store._size + 60
            await bench.commit(ledger, b"%02d" % number * 10)
        self.assertEqual(bench.list_parts(), [])
        bench.store.capacity = 1 << 30
        await bench.clock.advance(3 * SECOND)
        self.assertEqual(bench.list_parts(), bench.list_named_parts())
        self.assertEqual(len(bench.list_parts()), 1)

    async def test_large_slots_are_emptied_once_a_snapshot_covers_them(self):
        for loss in (None, FaultKind.LOSE_ANSWER, FaultKind.LOSE_CALL):
            bench = self.make_bench()
            state = [b"small"]
            ledger = Ledger(
                "03",
                bench.store.connect("large"),
                bench.clock,
                lambda state=state: tuple(state),
                lambda records, state=state: None,
                slots=SLOTS,
            )
            await bench.finish(ledger.open(1))
            for _ in range(SLOTS // 2 + 1):
                await bench.commit(ledger, bytes(900_000))
            if loss is not None:
                bench.store.faults.plan("put", None, None, loss, loss)
            await bench.clock.advance(5 * SECOND)
            entries = bench.store.list(Keys("03").prefix).entries
            self.assertLess(sum(len(entry.value) for entry in entries), 2_000_000)
            for number in range(2 * SLOTS):
                outcome = await bench.commit(ledger, b"%d" % number)
                self.assertIsInstance(outcome, Committed)
            self.assertIsInstance(await bench.finish(bench.make().open(2)), Opened)

    async def test_a_slot_emptied_late_by_an_old_keeper_is_no_obstacle(self):
        bench = self.make_bench()
        old = await bench.open(1)
        for number in range(SLOTS // 2 + 1):
            await bench.commit(old, b"%d" % number)
        await bench.clock.advance(SECOND)
        new = await bench.open(2)
        for key in bench.list_keys("log/")[:4]:
            await old._log.trim(key)
        for number in range(2 * SLOTS):
            await bench.commit(new, b"new %d" % number)
        expected = bench.states[old] + [b"new %d" % n for n in range(2 * SLOTS)]
        self.assertEqual(await bench.replay(), expected)


class TestReplay(LedgerTestCase):
    """What is replayed is what was committed, in the same order."""

    async def test_replay_equals_the_committed_order(self):
        bench = self.make_bench()
        expected = []
        for epoch in range(1, 6):
            ledger = await bench.open(epoch)
            for round_number in range(7):
                records = [b"%d-%d-%d" % (epoch, round_number, n) for n in range(5)]
                calls = [ledger.commit((record,)) for record in records]
                await bench.finish(asyncio.gather(*calls))
                expected += records
            self.assertEqual(bench.states[ledger], expected)
        self.assertEqual(await bench.replay(), expected)

    async def test_a_fault_of_the_state_reaches_every_caller(self):
        bench = self.make_bench()
        ledger = await bench.open(1)
        ledger._apply = lambda records: bytes(records[0], "none")
        calls = [bench.start(ledger.commit((b"%d" % n,))) for n in range(2)]
        await bench.clock.advance(SECOND)
        calls.append(bench.start(ledger.commit((b"later",))))
        await settle()
        self.assertEqual([type(call.exception()) for call in calls], [TypeError] * 3)

    async def test_a_key_lost_by_the_store_is_a_broken_invariant(self):
        for lost, count in (("log/00002", 4), ("snapshot/", SLOTS)):
            bench = self.make_bench()
            ledger = await bench.open(1)
            for number in range(count):
                await bench.commit(ledger, b"%d" % number)
            await bench.clock.advance(5 * SECOND)
            key = bench.list_keys(lost)[0]
            bench.store.delete(key, None)
            with self.assertRaises(InvariantError):
                await bench.finish(bench.make().open(2))


class MortalStore:
    """Wraps a client of a daemon that dies at one of its calls.

    :param number: of the last call; ``None`` to live on.
    :param takes_effect: whether the last call still does.
    """

    def __init__(self, client, number: int | None, takes_effect: bool) -> None:
        self._client = client
        self._number = number
        self._takes_effect = takes_effect
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
    """Wraps a client; calls ``wait`` before some of its writes.

    :param prefixes: of the keys concerned.
    :param skip: how many writes to them go first.
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


class LateStore:
    """Wraps a client; may hold a write back, refuse writes or read late."""

    def __init__(self, client) -> None:
        self._client = client
        self._held = None
        self.hold_next = False
        self.held_key = ""
        self.is_cut_off = False
        self.stays_linked = False
        self.refusal = None
        self.listing = None

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def get(self, key):
        """Read a key, unless cut off."""
        return Lost("timeout") if self.is_cut_off else await self._client.get(key)

    async def list(self, prefix):
        """Read the keys below a prefix, or answer once with an older listing."""
        listing, self.listing = self.listing, None
        return listing or await self._client.list(prefix)

    async def put(self, *arguments):
        """Write a key, or hold the call back and lose its answer."""
        if self.refusal is not None:
            return self.refusal
        if self.hold_next or arguments[0] == self.held_key:
            self.hold_next = False
            self.held_key = ""
            self.is_cut_off = not self.stays_linked
            self._held = arguments
            return Lost("timeout")
        if self.is_cut_off is True:
            return Lost("timeout")
        return await self._client.put(*arguments)

    async def release(self):
        """Deliver the held write, whose answer nobody hears, and heal the link."""
        self.is_cut_off = False
        return await self._client.put(*self._held)


if __name__ == "__main__":
    unittest.main()
