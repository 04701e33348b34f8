"""A durable log in the store with one owner at a time and group commit."""

import asyncio
import contextlib
import uuid
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.errors import LedgerError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.ports import Lost, Rejected, Store
from damaskdeck.state.backend import LedgerBackend
from damaskdeck.state.commits import Commit, CommitOutcome, CommitQueue, Committed
from damaskdeck.state.compaction import Compaction
from damaskdeck.state.contents import LedgerContents
from damaskdeck.state.log import PERMANENT_CODES, Appended, Deposed, Log
from damaskdeck.state.opening import Opening
from damaskdeck.state.ratelimiter import RateLimiter
from damaskdeck.state.segments import SEGMENT_OVERHEAD_BYTES, Keys, measure_records
from damaskdeck.state.writes import Backoff

__all__ = ["Committed", "Deposed", "Ledger", "Opened"]

COMMIT_TIMEOUT = timedelta(seconds=4)
MAX_QUEUED_COMMITS = 10_000
DEFAULT_SLOTS = 512
MIN_COMPACTION_BYTES = 8_000_000

Apply = Callable[[tuple[bytes, ...]], None]
TakeSnapshot = Callable[[], tuple[bytes, ...]]

_log = get_logger("ledger")


class Opened(NamedTuple):
    """This daemon may commit now.

    :param snapshot: records of the last snapshot, as ``take_snapshot`` returned them.
    :param records: records committed since, in order.
    """

    snapshot: tuple[bytes, ...]
    records: tuple[bytes, ...]


class Ledger:
    """A durable log with group commit: one append is in flight, other commits wait.

    The state that the records describe must change in ``apply`` only, so that a
    snapshot always matches the log.

    :param name: name of the ledger, as in ``03``.
    :param take_snapshot: returns records that describe the state after all records
        applied so far; must not block. It is not called before the first
        :meth:`commit`, so replay the result of :meth:`open` before that.
    :param apply: called with the records of each commit, in log order, once they
        are durable and before :meth:`commit` returns, even if the caller was
        cancelled; must not block. It is not called for the result of :meth:`open`.
    :param append_interval: minimum time between two appends under load. All
        ledgers together make ``count / append_interval`` store writes per second.
    :param commit_timeout: maximum time that :meth:`commit` waits.
    :param value_limit: size in bytes of the largest value that the store accepts.
    :param slots: number of keys of the log, if the ledger is new.
    :param queue_limit: maximum number of commits that wait.
    :param generate_id: returns a new unique identifier for a write.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        clock: Clock,
        take_snapshot: TakeSnapshot,
        apply: Apply,
        *,
        append_interval: timedelta = defaults.APPEND_INTERVAL,
        commit_timeout: timedelta = COMMIT_TIMEOUT,
        value_limit: int = defaults.MAX_VALUE_BYTES,
        slots: int = DEFAULT_SLOTS,
        queue_limit: int = MAX_QUEUED_COMMITS,
        generate_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self.name = name
        self._backend = LedgerBackend(
            store, clock, Keys(name), value_limit, generate_id
        )
        self._clock = clock
        self._take_snapshot = take_snapshot
        self._apply = apply
        self._limiter = RateLimiter(clock, append_interval)
        self._commit_timeout = commit_timeout
        self._slots = slots
        self._queue_limit = queue_limit
        self._queue = CommitQueue(clock)
        self._log: Log | None = None
        self._compaction: Compaction | None = None
        self._is_closing = False
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._failure: Exception | None = None
        self._unreadable: Rejected | None = None

    async def open(self, epoch: int) -> Opened | Rejected | Lost:
        """Fence all owners with lower epochs, then read what they committed.

        May be called again after ``Rejected`` or ``Lost``.

        :param epoch: the result of :meth:`Ownership.get_epoch`.
        :returns: ``Rejected("epoch_passed")`` if the ledger was opened with a higher
            epoch.
        """
        if self._log is not None:
            return Rejected("already_open")
        until = self._clock.monotonic() + self._commit_timeout
        contents = await Opening(self._backend, self._slots, epoch, until).run()
        if not isinstance(contents, LedgerContents):
            count_refusal("ledger", contents.code)
            return contents
        self._log = Log(self._backend, contents, epoch)
        self._compaction = Compaction(
            self._backend, self._log, self._take_snapshot, contents.orphaned_keys
        )
        _log.info("Opened.", ledger=self.name, epoch=epoch, sequence=contents.last)
        return Opened(contents.snapshot, contents.records)

    async def commit(self, records: tuple[bytes, ...]) -> CommitOutcome:
        """Make records durable, all or none of them.

        Guarantee: "When the system says a request was not run, it truly did not
        run." The records of a caller that is cancelled while it waits may be committed
        or not.

        :returns: ``Deposed`` and ``Rejected`` only if none of the records will ever be
            replayed; ``Lost`` if that is not known within the commit timeout.
        :raises Exception: when ``apply`` or an append has failed unexpectedly.
        """
        refusal = self._find_refusal(records)
        if refusal is None:
            commit = Commit(records, self._clock.monotonic() + self._commit_timeout)
            self._queue.add(commit)
            self._start("append", self._append_all)
            self._start("expire", self._queue.expire)
            return await commit.result
        if isinstance(refusal, Rejected):
            count_refusal("ledger", refusal.code)
        return refusal

    async def close(self) -> None:
        """Reject new commits, wait for the queued ones to end, and stop."""
        self._is_closing = True
        while waiting := self._queue.list_waiting():
            await asyncio.wait([commit.result for commit in waiting])
        for task in self._tasks.values():
            task.cancel()
        for task in self._tasks.values():
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def _find_refusal(self, records: tuple[bytes, ...]) -> Deposed | Rejected | None:
        if self._failure is not None:
            raise self._failure
        if self._unreadable is not None:
            return self._unreadable
        if self._log is None or self._is_closing:
            return Rejected("not_open")
        if self._log.deposed is not None:
            return self._log.deposed
        if len(self._queue) >= self._queue_limit:
            return Rejected("queue_full")
        limit = self._backend.value_limit - SEGMENT_OVERHEAD_BYTES
        if any(measure_records([record]) > limit for record in records):
            return Rejected("value_too_large", f"a record may have {limit} bytes")
        return None

    def _start(self, name: str, action: Callable[[], object]) -> None:
        task = self._tasks.get(name)
        if task is None or task.done():
            self._tasks[name] = asyncio.ensure_future(self._run_guarded(action))

    async def _run_guarded(self, action: Callable[[], object]) -> None:
        try:
            await action()
        except LedgerError as error:
            self._stop_unreadable(error)
        except Exception as error:
            _log.error(
                "The ledger failed unexpectedly.", ledger=self.name, fault=repr(error)
            )
            self._failure = failure = error
            self._queue.settle_all(lambda commit: commit.fail(failure))

    def _stop_unreadable(self, error: LedgerError) -> None:
        """Reject all commits, as other writers left the ledger unreadable."""
        _log.error(
            "The ledger is unreadable.",
            ledger=self.name,
            code=error.code,
            why=str(error),
        )
        refusal = self._unreadable = Rejected(error.code, str(error))
        lost = Lost(error.code, str(error))
        self._queue.settle_all(
            lambda commit: commit.settle(lost if commit.is_sent else refusal)
        )

    async def _append_all(self) -> None:
        backoff = Backoff(self._clock)
        while self._queue:
            await self._limiter.wait()
            group = self._queue.take_group(self._backend.value_limit)
            if not group:
                continue
            self._compact_if_due()
            outcome = await self._append(group)
            if isinstance(outcome, Rejected) and outcome.code not in PERMANENT_CODES:
                self._queue.refusal = _convert_refusal(outcome)
                await backoff.wait(outcome.code)
                continue
            backoff = Backoff(self._clock)
            self._settle(group, outcome)

    async def _append(
        self, group: list[Commit]
    ) -> Appended | Deposed | Rejected | Lost:
        for commit in group:
            commit.is_sent = True
        records = tuple(record for commit in group for record in commit.records)
        outcome = await self._log.append(
            records, lambda: any(commit.is_waiting for commit in group)
        )
        for commit in group:
            commit.is_sent = False
        return outcome

    def _settle(
        self, group: list[Commit], outcome: Appended | Deposed | Rejected | Lost
    ) -> None:
        if isinstance(outcome, Rejected):
            count_refusal("ledger", outcome.code, len(group))
        for commit in group:
            if isinstance(outcome, Appended):
                self._apply(commit.records)
                commit.settle(Committed(outcome.sequence))
            else:
                commit.settle(outcome)
        self._queue.remove_group(group)
        deposed = self._log.deposed
        if deposed is not None:
            self._queue.settle_all(lambda commit: commit.settle(deposed))

    def _compact_if_due(self) -> None:
        if self._is_due() or self._compaction.needs_cleanup:
            self._start("compact", self._compact)

    async def _compact(self) -> None:
        await self._compaction.run(self._is_due)

    def _is_due(self) -> bool:
        log = self._log
        limit = max(MIN_COMPACTION_BYTES, 2 * self._compaction.snapshot_size)
        covered = log.closed - log.head.base
        return covered >= log.head.slots // 2 or (covered > 0 and log.size >= limit)


def _convert_refusal(outcome: Rejected) -> Rejected:
    if outcome.code == "unreachable":
        return Rejected("store_unavailable", outcome.code)
    return outcome
