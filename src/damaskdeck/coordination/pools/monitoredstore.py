"""Whether the store answers this daemon, told by all calls that are made anyway."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.revisions import RevisionTimes
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import (
    Events,
    Found,
    Granted,
    Lapsed,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
    Written,
)
from damaskdeck.protocol.transactions import (
    CommitResult,
    Page,
    ReplyTooLarge,
    Transaction,
    TransactionalStore,
    Unchanged,
)

# One refusal may be a full rate; so many one after the other are an outage.
FAILURES = 2
# A commit is given up after so many times what the last ones took, within these
# bounds: one that hangs is tried again at once when the store is back, and a store
# that answers 60 times as slowly as its usual 4 ms is still waited for.
TIMEOUT_FACTOR = 4.0
SHORTEST_TIMEOUT = timedelta(milliseconds=300)
LONGEST_TIMEOUT = timedelta(milliseconds=1500)
# The wait for a conditional read is doubled after each that was lost, so often.
MOST_DOUBLINGS = 3
# What is told of the silence of a store that has never answered.
SILENCE_LIMIT_SECONDS = 1e6
# Weight of a call in the usual time of an answer.
LATEST_SHARE = 0.3

T = TypeVar("T")

_log = get_logger("store")


class MonitoredStore:
    """A transactional store that remembers how its last calls went.

    Renewals of the member's lease are made several times a second, so a return of
    the store is noticed about as soon as it can be.

    :ivar write_times: from when on what the store shows was written.
    """

    def __init__(self, store: TransactionalStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._failures = 0
        self._failing_since: float | None = None
        self._usual = 0.0
        # Conditional reads without an answer, one after the other, up to a limit.
        self._lost_reads = 0
        self._answered_at = float("-inf")
        self.write_times = RevisionTimes()
        # Set, and replaced, when the store answers again.
        self._returned = asyncio.Event()

    @property
    def commit_timeout(self) -> timedelta:
        """How long to wait for a commit before it is tried again."""
        wanted = timedelta(seconds=TIMEOUT_FACTOR * self._usual)
        return min(max(wanted, SHORTEST_TIMEOUT), LONGEST_TIMEOUT)

    @property
    def entry_limit(self) -> int:
        """How many keys a transaction may name in all."""
        return self._store.entry_limit

    @property
    def is_failing(self) -> bool:
        """Whether the last calls had no answer or a refusal."""
        return self._failing_since is not None

    def measure_outage(self) -> timedelta:
        """Return for how long the store has been failing."""
        if self._failing_since is None:
            return timedelta()
        return timedelta(seconds=self._now() - self._failing_since)

    def measure_silence(self) -> timedelta:
        """Return the time since the last answer; very long before any."""
        silence = min(self._now() - self._answered_at, SILENCE_LIMIT_SECONDS)
        return timedelta(seconds=silence)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _note(self, answer: T, sent: float) -> T:
        """Take note of an answer to a call of then.

        That a call failed says nothing when another that was sent later, or was on
        its way at the same time, has been answered since.
        """
        if isinstance(answer, Written | Unchanged):
            self.write_times.record(answer.revision, sent)
        if not isinstance(answer, Rejected | Lost):
            self._note_answer()
        elif sent >= self._answered_at:
            self._note_failure(answer)
        return answer

    async def _observe(self, call: Awaitable[T]) -> T:
        """Make a call and take note of how it went."""
        sent = self._now()
        return self._note(await call, sent)

    def _note_answer(self) -> None:
        self._answered_at = self._now()
        self._failures = 0
        if self._failing_since is not None:
            _log.info("The store answers again.", away=str(self.measure_outage()))
            self._failing_since = None
            self._returned.set()
            self._returned = asyncio.Event()

    def _note_failure(self, answer: Rejected | Lost) -> None:
        self._failures += 1
        if self._failures >= FAILURES and self._failing_since is None:
            self._failing_since = self._now()
            _log.warn("The store does not answer.", reason=answer.code)

    async def read(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""
        return await self._observe(self._store.read(key))

    async def read_changed(
        self, key: str, revision: int
    ) -> Found | Missing | Unchanged | Rejected | Lost:
        """Read one key unless ``revision`` still is its last.

        A lost answer is soon noticed. A late one is waited for twice as long each
        time, and one that has begun for as long as it comes.
        """
        within = min(self.commit_timeout * 2**self._lost_reads, LONGEST_TIMEOUT)
        done = await self._observe(self._store.read_changed(key, revision, within))
        lost = self._lost_reads + 1 if isinstance(done, Lost) else 0
        self._lost_reads = min(lost, MOST_DOUBLINGS)
        return done

    async def read_page(self, prefix: str, after: str) -> Page | Rejected | Lost:
        """Read a page of keys."""
        return await self._observe(self._store.read_page(prefix, after))

    async def commit(
        self,
        transaction: Transaction,
        timeout: timedelta | None = None,
        max_reply_bytes: int | None = None,
    ) -> CommitResult | ReplyTooLarge:
        """Make changes that take effect together or not at all."""
        limit = min(timeout or LONGEST_TIMEOUT, self.commit_timeout)
        sent = self._now()
        done = await self._observe(
            self._store.commit(transaction, limit, max_reply_bytes)
        )
        self._usual += LATEST_SHARE * (self._now() - sent - self._usual)
        return done

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait: timedelta,
        max_reply_bytes: int | None = None,
    ) -> Events | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Return the changes after ``revision``.

        A watch that an outage has outlived may never be answered: it is given up as
        soon as the store answers another call.
        """
        sent = self._now()
        call = asyncio.ensure_future(
            self._store.watch(prefix, revision, wait, max_reply_bytes)
        )
        returned = asyncio.ensure_future(self._returned.wait())
        try:
            await asyncio.wait({call, returned}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                return Lost("outage_over")
            return self._note(call.result(), sent)
        finally:
            returned.cancel()
            call.cancel()

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Open a lease."""
        return await self._observe(self._store.grant_lease(ttl))

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease."""
        return await self._observe(self._store.renew_lease(lease))
