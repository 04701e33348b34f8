"""State machine test: ledger owners that crash, pause, race and lose replies."""

import asyncio
import itertools
import unittest
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from damaskdeck.protocol.ports import Lost
from damaskdeck.state.ledger import Ledger, Opened
from standins.clock import ManualClock, settle
from standins.faults import FaultKind
from standins.store import MemoryStore
from tests.ledger_checks import LedgerChecker

SLOTS = 16
DAEMON_COUNT = 3
MILLISECOND = timedelta(milliseconds=1)
DAEMON_INDEXES = st.integers(0, DAEMON_COUNT - 1)
WAITS = st.sampled_from([0, 5, 50, 300])


class Link:
    """Wraps a client; while paused, calls or their replies are delayed.

    :param client: client of the store.
    """

    def __init__(self, client) -> None:
        self._client = client
        self._running = asyncio.Event()
        self._running.set()
        self.lose_next = False
        self._held: list[asyncio.Future] = []

    def pause(self) -> None:
        """Delay all calls that have not started, and all replies."""
        self._running.clear()

    def resume(self) -> None:
        """Deliver the delayed calls and replies."""
        self._running.set()

    def __getattr__(self, operation):
        async def call(*arguments):
            await self._running.wait()
            if operation == "put" and self.lose_next:
                self.lose_next = False
                self._held.append(asyncio.ensure_future(self._arrive(*arguments)))
                return Lost("timeout")
            answer = await getattr(self._client, operation)(*arguments)
            await self._running.wait()
            return answer

        return call

    async def _arrive(self, *arguments) -> None:
        self.pause()
        await self._running.wait()
        await self._client.put(*arguments)


class Daemon:
    """A ledger with the state that results from the records it applied."""

    def __init__(self, store: MemoryStore, clock: ManualClock, number: int) -> None:
        self.state: list[bytes] = []
        self.is_open = False
        self.link = Link(store.connect(f"daemon-{number}"))
        numbers = itertools.count()
        self.ledger = Ledger(
            "03",
            self.link,
            clock,
            lambda: tuple(self.state),
            self.state.extend,
            slots=SLOTS,
            value_limit=600,
            generate_id=lambda: f"{number}-{next(numbers)}",
        )

    async def open(self, epoch: int) -> None:
        """Open the ledger and replay it."""
        self.opened = opened = await self.ledger.open(epoch)
        if isinstance(opened, Opened):
            self.state += [*opened.snapshot, *opened.records]
            self.is_open = True


class LedgerMachine(RuleBasedStateMachine):
    """Random events in three daemons, in the store and between them."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.checker = LedgerChecker(self.store, "03")
        self.numbers = itertools.count(1)
        self.epochs = itertools.count(1)
        self.tasks: list[asyncio.Task] = []
        self.all_daemons: list[Daemon] = []
        self.daemons: list[Daemon] = []
        self.run(self._start_daemons())

    def run(self, call) -> None:
        """Run one step to its end."""
        self.loop.run_until_complete(call)

    async def _start_daemons(self) -> None:
        self.daemons = [self._make_daemon() for _ in range(DAEMON_COUNT)]
        await self._take_over(0, False)

    def _make_daemon(self) -> Daemon:
        daemon = Daemon(self.store, self.clock, next(self.numbers))
        self.all_daemons.append(daemon)
        return daemon

    @rule(index=DAEMON_INDEXES, is_late=st.booleans(), wait=WAITS)
    def take_over(self, index, is_late, wait):
        """Restart a daemon and let it open with a new epoch, now or later."""
        self.run(self._take_over(index, is_late))
        self.run(self.clock.advance(wait * MILLISECOND))

    async def _take_over(self, index: int, is_late: bool) -> None:
        daemon = self.daemons[index] = self._make_daemon()
        if is_late:
            daemon.link.pause()
        self.tasks.append(asyncio.ensure_future(daemon.open(next(self.epochs))))
        await settle()

    @rule(
        pick=DAEMON_INDEXES, size=st.integers(1, 3), count=st.integers(1, 8), wait=WAITS
    )
    def commit(self, pick, size, count, wait):
        """Start commits at an open daemon; three records need two segments."""
        ready = [daemon for daemon in self.daemons if daemon.is_open]
        if ready:
            self.run(self._commit(ready[pick % len(ready)], size, count))
        self.run(self.clock.advance(wait * MILLISECOND))

    @rule(index=DAEMON_INDEXES, count=st.integers(4, 12))
    def commit_one_by_one(self, index, count):
        """Let a daemon append often enough to compact."""
        for _ in range(count if self.daemons[index].is_open else 0):
            self.run(self._commit(self.daemons[index], 1, 1))
            self.run(self.clock.advance(60 * MILLISECOND))

    async def _commit(self, daemon: Daemon, size: int, count: int) -> None:
        for _ in range(count):
            records = tuple(b"%d." % next(self.numbers) * 30 for _ in range(size))
            call = self._commit_and_record(daemon, records)
            self.tasks.append(asyncio.ensure_future(call))
        await settle()

    async def _commit_and_record(
        self, daemon: Daemon, records: tuple[bytes, ...]
    ) -> None:
        self.checker.outcomes[records] = None
        self.checker.outcomes[records] = await daemon.ledger.commit(records)

    @rule(duration=st.sampled_from([300, 2000, 9000]))
    def wait(self, duration):
        """Advance the clock."""
        self.run(self.clock.advance(duration * MILLISECOND))

    @rule(index=DAEMON_INDEXES)
    def pause(self, index):
        """Pause a daemon between a call and its reply, or before a call."""
        self.daemons[index].link.pause()

    @rule(index=DAEMON_INDEXES)
    def resume(self, index):
        """Resume a daemon."""
        self.daemons[index].link.resume()
        self.run(settle())

    @rule(index=DAEMON_INDEXES)
    def delay_a_write(self, index):
        """Lose the next reply, and let its call arrive after the next resume."""
        self.daemons[index].link.lose_next = True

    @rule(
        operation=st.sampled_from(["put", "put", "get", "list", "delete"]),
        kinds=st.lists(st.sampled_from(list(FaultKind)), min_size=1, max_size=3),
    )
    def plan_faults(self, operation, kinds):
        """Let the next calls of an operation fail."""
        self.store.faults.plan(operation, *kinds)

    @rule(duration=st.sampled_from([100, 1000, 9000]))
    def fail_store(self, duration):
        """Stop the store for a time, during any activity."""
        self.store.faults.outage = True
        self.run(self.clock.advance(duration * MILLISECOND))
        self.store.faults.outage = False

    @rule(delay=st.sampled_from([0, 5, 5, 700]))
    def slow_store(self, delay):
        """Make the store slow, or fast again."""
        self.store.faults.delay = delay * MILLISECOND

    @rule(spare=st.sampled_from([0, 200, 1 << 20, 1 << 20]))
    def limit_store(self, spare):
        """Leave little or much free space in the store."""
        used = sum(len(entry.value) for entry in self.store.list("").entries)
        self.store.capacity = used + spare

    @invariant()
    def guarantees_hold(self):
        """Check the outcomes of all callers."""
        for task in self.tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()
        self.checker.check(daemon.state for daemon in self.all_daemons)

    def teardown(self):
        """Remove all faults; then every unconfirmed commit must be resolved."""
        self.store.faults.outage = False
        self.store.faults.planned.clear()
        self.store.faults.delay = timedelta()
        self.store.capacity = 1 << 30
        self.run(self._end())
        self.loop.close()

    async def _end(self) -> None:
        try:
            await self._resolve()
        finally:
            me = asyncio.current_task()
            for task in asyncio.all_tasks() - {me}:
                task.cancel()
            await settle()

    async def _resolve(self) -> None:
        for daemon in self.all_daemons:
            daemon.link.resume()
        for _ in range(3):
            await self.clock.advance(timedelta(seconds=9))
        self.guarantees_hold()
        await self._take_over(0, False)
        await self.clock.advance(timedelta(seconds=9))
        assert self.daemons[0].is_open, self.daemons[0].opened
        assert self.daemons[0].state == self.checker.replay()


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)


if __name__ == "__main__":
    unittest.main()
