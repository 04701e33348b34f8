"""Monitors through its ordinary calls whether the store answers this daemon."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.coordination.pools.revisions import RevisionTimes
from damaskdeck.delays import LoopDelay
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import (
    INVALID_CALL,
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

# One rejection may be due to a rate limit; this many failures in a row are an outage.
OUTAGE_FAILURES = 2
# A commit times out after this multiple of the usual reply time, within the bounds
# below. A commit that hangs is thus retried as soon as the store is back, and a store
# that takes 60 times its usual 4 ms still gets the time to reply.
TIMEOUT_FACTOR = 4.0
MIN_TIMEOUT = timedelta(milliseconds=300)
MAX_TIMEOUT = timedelta(milliseconds=1500)
# The timeout of a conditional read is doubled after each lost reply, at most this
# often.
MAX_DOUBLINGS = 3
# While the store is failing, a watch waits this long for its return before it is sent.
# Shorter calls notice the return, and a watch sent earlier would be abandoned then.
OUTAGE_WATCH_DELAY = timedelta(seconds=1)
# While the store is failing, calls are repeated after this share of the outage, within
# bounds. So the return after a long outage is noticed late by a fiftieth of it, and
# after one of up to 7 s as soon as ever.
RETRY_SHARE = 0.02
MAX_RETRY_DELAY = timedelta(milliseconds=500)
# The silence that is reported for a store that has never replied.
MAX_SILENCE_SECONDS = 1e6
# The weight of the last commit in the usual reply time.
LATEST_WEIGHT = 0.3

T = TypeVar("T")

_log = get_logger("store")


class MonitoredStore:
    """A transactional store that tracks the results of its calls.

    The lease of the member is renewed several times a second, so the return of the
    store is noticed almost at once.

    :param delay: Of this process's event loop, which says nothing about the store.
    :ivar write_times: The earliest times at which the store's revisions may have been
        written.
    """

    def __init__(
        self,
        store: TransactionalStore,
        clock: Clock,
        delay: LoopDelay | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._delay = delay if delay is not None else LoopDelay()
        self._failures = 0
        self._failing_since: float | None = None
        self._usual_seconds = 0.0
        # The conditional reads in a row that were lost, up to MAX_DOUBLINGS.
        self._lost_reads = 0
        self._answered_at = float("-inf")
        self.write_times = RevisionTimes()
        self._is_failing = asyncio.Event()
        # Set, and replaced, when the store answers again.
        self._recovered = asyncio.Event()

    @property
    def commit_timeout(self) -> timedelta:
        """How long to wait for a commit before it is retried."""
        wanted = timedelta(seconds=TIMEOUT_FACTOR * self._usual_seconds)
        return min(max(wanted, MIN_TIMEOUT), MAX_TIMEOUT)

    @property
    def usual_commit_seconds(self) -> float:
        """How long a commit usually takes, 0 before the first one."""
        return self._usual_seconds

    @property
    def entry_limit(self) -> int:
        """How many keys a transaction may name in total."""
        return self._store.entry_limit

    @property
    def is_failing(self) -> bool:
        """Whether the last calls were lost or rejected."""
        return self._failing_since is not None

    async def wait_until_failing(self) -> None:
        """Wait until the last calls were lost or rejected."""
        await self._is_failing.wait()

    def find_retry_delay(self, shortest: timedelta) -> timedelta:
        """Return how long to wait before a failed call is repeated.

        :param shortest: the delay while the outage is short.
        """
        return max(shortest, min(self.measure_outage() * RETRY_SHARE, MAX_RETRY_DELAY))

    def measure_outage(self) -> timedelta:
        """Return how long the store has been failing."""
        if self._failing_since is None:
            return timedelta()
        return timedelta(seconds=self._now() - self._failing_since)

    def measure_silence(self) -> timedelta:
        """Return the time since the last answer, very long if there was none."""
        silence = min(self._now() - self._answered_at, MAX_SILENCE_SECONDS)
        return timedelta(seconds=silence)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _record(self, answer: T, sent_at: float) -> T:
        """Record the answer to a call that was sent at ``sent_at``.

        A failed call says nothing about the store if another call, which was sent later
        or was in flight at the same time, has been answered since.
        """
        if isinstance(answer, Written | Unchanged):
            self.write_times.record(answer.revision, sent_at)
        is_answer = not isinstance(answer, Rejected | Lost)
        if is_answer or answer.code == INVALID_CALL:
            self._record_answer()
        elif sent_at >= self._answered_at:
            self._record_failure(answer)
        return answer

    async def _observe(self, call: Awaitable[T]) -> T:
        """Make a call and record its result."""
        sent_at = self._now()
        return self._record(await call, sent_at)

    def _record_answer(self) -> None:
        self._answered_at = self._now()
        self._failures = 0
        if self._failing_since is not None:
            _log.info("The store answers again.", away=str(self.measure_outage()))
            self._failing_since = None
            self._is_failing.clear()
            self._recovered.set()
            self._recovered = asyncio.Event()

    def _record_failure(self, answer: Rejected | Lost) -> None:
        self._failures += 1
        if self._failures >= OUTAGE_FAILURES and self._failing_since is None:
            self._failing_since = self._now()
            self._is_failing.set()
            _log.warn("The store does not answer.", reason=answer.code)

    async def read(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""
        return await self._observe(self._store.read(key))

    async def read_changed(
        self, key: str, revision: int
    ) -> Found | Missing | Unchanged | Rejected | Lost:
        """Read one key unless ``revision`` still is its last revision.

        The timeout is short, so that a lost reply is noticed soon. It doubles after
        each lost reply, and it doesn't apply once a reply has begun to arrive.
        """
        timeout = min(self.commit_timeout * 2**self._lost_reads, MAX_TIMEOUT)
        done = await self._observe(self._store.read_changed(key, revision, timeout))
        lost = self._lost_reads + 1 if isinstance(done, Lost) else 0
        self._lost_reads = min(lost, MAX_DOUBLINGS)
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
        limit = min(timeout or MAX_TIMEOUT, self.commit_timeout)
        sent_at, lost_before = self._now(), self._measure_lost()
        done = await self._observe(
            self._store.commit(transaction, limit, max_reply_bytes)
        )
        lost = self._measure_lost() - lost_before
        seconds = max(self._now() - sent_at - lost, 0.0)
        self._usual_seconds += LATEST_WEIGHT * (seconds - self._usual_seconds)
        return done

    def _measure_lost(self) -> float:
        return self._delay.measure_lost(asyncio.get_running_loop().time())

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait: timedelta,
        max_reply_bytes: int | None = None,
    ) -> Events | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Return the changes after ``revision``.

        A watch that was sent before or during an outage may never be answered, so it is
        abandoned as soon as the store answers another call. During an outage it is sent
        only after a delay in which the store has not returned.
        """
        if self.is_failing and await wait_for_event(
            self._recovered, OUTAGE_WATCH_DELAY, self._clock
        ):
            return Lost("outage_over")
        sent_at = self._now()
        call = asyncio.ensure_future(
            self._store.watch(prefix, revision, wait, max_reply_bytes)
        )
        recovered = asyncio.ensure_future(self._recovered.wait())
        try:
            await asyncio.wait({call, recovered}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                return Lost("outage_over")
            return self._record(call.result(), sent_at)
        finally:
            recovered.cancel()
            call.cancel()

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Open a lease."""
        return await self._observe(self._store.grant_lease(ttl))

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease."""
        return await self._observe(self._store.renew_lease(lease))
