"""Whether it is durable which tasks each worker may run.

A start is recorded before it is ordered, so a successor knows what may run on a worker
that it can't read: the tasks there wait for the worker's lease, and nothing else does.

While the store is slow, each start would wait for it. Then the record is declared
incomplete first, and starts are recorded beside their orders. In an outage nothing can
be declared, but those members wait that let the owner go on without the store.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leases.memberlease import RETRY_DELAY
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.predecessors.workers import decode_inherited
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Found, Missing
from damaskdeck.protocol.transactions import TransactionalStore, Write
from damaskdeck.state.jobrecords import (
    RECORDING_KEY,
    RecordingRecord,
    encode_record,
)

if TYPE_CHECKING:
    from damaskdeck.coordination.pools.leadership import Leadership

# Starts don't wait for a store that usually takes longer than this for a commit.
SLOW_COMMIT_SECONDS = 0.05
# They wait for it again once it has taken less than this for a while.
FAST_COMMIT_SECONDS = 0.02
FAST_SECONDS = 1.0

_log = get_logger("owner")


class RunRecording:
    """Decides whether starts wait for their record, and declares whether all do.

    :param on_change: called when the declaration has to be written.
    :param flush: waits until all changes up to now are durable.
    :param knows_all_runs: returns whether this owner knows all runs of earlier owners.
    """

    def __init__(
        self,
        term: OwnerTerm,
        leadership: "Leadership",
        store: MonitoredStore,
        clock: Clock,
        on_change: Callable[[], None],
        flush: Callable[[], Awaitable[None]],
        knows_all_runs: Callable[[], bool],
    ) -> None:
        self._term = term
        self._leadership = leadership
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._flush = flush
        self._knows_all_runs = knows_all_runs
        # Whether the owners before had recorded all starts, but for those in an outage.
        self._is_inherited_complete = term.predecessor is None
        # Whether new starts wait for their record, and whether all others have one.
        self._waits = True
        self._are_recorded = True
        # How many starts were ordered in an outage without a record.
        self._skipped = 0
        # Whether the store shows the record as complete, whether it may show that, and
        # what the next write declares.
        self._is_declared = False
        self._may_be_declared = False
        self._declares = False
        self._slow_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()

    async def read(self, store: TransactionalStore) -> None:
        """Read what the previous owner has declared."""
        if self._term.predecessor is None:
            return
        while True:
            found = await store.read(RECORDING_KEY)
            if isinstance(found, Found | Missing):
                break
            await self._clock.sleep(RETRY_DELAY)
        record = decode_inherited(RecordingRecord, found)
        is_latest = record is not None and record.epoch == self._term.predecessor.epoch
        self._is_inherited_complete = is_latest and record.is_complete

    def close(self) -> None:
        """Cancel what waits for the journal."""
        for task in self._tasks:
            task.cancel()

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    @property
    def is_inherited_complete(self) -> bool:
        """Whether all runs that earlier owners may have started are on record.

        Those that were started in an outage have ended once the grants for it have.
        """
        bounds = self._leadership.find_grant_bounds()
        return self._is_inherited_complete and self._now() >= max(bounds)

    def must_wait(self) -> bool:
        """Whether a start has to be durable before it is ordered."""
        return self._waits and not self.may_skip()

    def may_skip(self) -> bool:
        """Whether starts may be ordered without a record, as the store is away."""
        return self._store.is_failing and self._leadership.limits.has_grant()

    def record_order(self, is_recorded: bool) -> None:
        """Record that a start is ordered."""
        if is_recorded or not self._waits:
            return
        # Whoever let this owner go on waits until such runs have ended.
        self._are_recorded = False
        self._skipped += 1
        self._leadership.limits.cap()

    def sweep(self) -> None:
        """Adapt to the speed of the store, and declare what has changed."""
        now, seconds = self._now(), self._store.usual_commit_seconds
        if seconds > FAST_COMMIT_SECONDS:
            self._slow_at = now
        is_slow = seconds > SLOW_COMMIT_SECONDS
        if self._waits and is_slow:
            if not self._may_be_declared and not self._declares:
                self._stop_waiting()
            else:
                self._declare(False)
        elif not self._waits and now - self._slow_at >= FAST_SECONDS:
            self._waits = True
        elif not self._are_recorded and self._waits and not self._tasks:
            start_task(self._record_all(), self._tasks)
        elif (
            self._waits
            and self._are_recorded
            and not self._is_declared
            and not is_slow
            and (self.is_inherited_complete or self._knows_all_runs())
        ):
            self._declare(True)

    def _stop_waiting(self) -> None:
        self._waits = self._are_recorded = False
        _log.info("Starts don't wait for their record, as the store is slow.")

    async def _record_all(self) -> None:
        """Wait until the starts that were ordered without a record have one."""
        skipped = self._skipped
        await self._flush()
        if self._waits and skipped == self._skipped:
            self._are_recorded = True
            self._leadership.limits.uncap()

    def _declare(self, is_complete: bool) -> None:
        if self._declares != is_complete:
            self._declares = is_complete
            self._on_change()

    def build_write(self) -> tuple[Write, Callable[[], bool]]:
        """Return the write of the declaration and what to call once it is durable."""
        is_complete = self._declares
        self._may_be_declared = self._may_be_declared or is_complete
        record = RecordingRecord(self._term.epoch, is_complete)

        def apply() -> bool:
            self._is_declared = self._may_be_declared = is_complete
            if not is_complete:
                # Successors hold jobs back now, whatever is on record.
                self._leadership.limits.uncap()
                if self._waits:
                    self._stop_waiting()
            return False

        return Write(RECORDING_KEY, encode_record(record)), apply
