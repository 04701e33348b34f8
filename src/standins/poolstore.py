"""The stand-in for the platform's store: transactions, leases, watches, faults."""

import asyncio
import itertools
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import (
    INVALID_CALL,
    Entry,
    Event,
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
    Mismatch,
    Page,
    Transaction,
    Unchanged,
    Write,
)
from standins.faults import FaultKind, Faults
from standins.limits import (
    STORE_LIMITS,
    LimitExceededError,
    ProtectedKeyError,
    StoreLimits,
    check_limit,
)

LEASE_CHECK_INTERVAL = timedelta(milliseconds=20)
LOST_CALL_DELAY = timedelta(milliseconds=400)
LATE_COMMIT_DELAY = timedelta(seconds=2)


class _Lease(NamedTuple):
    ttl: timedelta
    expires_at: timedelta


class PoolStore:
    """A store with transactions, leases and watches, shared by all daemons.

    Calls beyond its limits raise :class:`standins.limits.LimitExceededError`.
    """

    def __init__(self, clock: Clock, limits: StoreLimits = STORE_LIMITS) -> None:
        self.limits = limits
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.commits = 0
        self._clock = clock
        self._history: list[Event] = []
        self._oldest_revision = 1
        self._leases: dict[str, _Lease] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()

    def set(self, key: str, value: bytes | None) -> None:
        """Write or delete a key unconditionally, as the platform itself does."""
        self.revision += 1
        if value is None:
            self._delete(key)
        else:
            self._put(Write(key, value))

    def commit(self, transaction: Transaction) -> Written | Mismatch | Lapsed:
        """Apply a transaction if the expected revisions and leases are valid.

        :raises LimitExceededError: if it has too many entries, or one that is too long.
        :raises ProtectedKeyError: if it writes a key that only the platform writes.
        """
        self._check_transaction(transaction)
        self._expire_leases()
        for key, revision in transaction.expected:
            current = self.entries.get(key)
            if (current.revision if current else 0) != revision:
                found = (self.entries.get(k) for k, _ in transaction.expected)
                return Mismatch(tuple(entry for entry in found if entry))
        for write in transaction.writes:
            if write.lease and write.lease not in self._leases:
                return Lapsed(write.lease)
        self.commits += 1
        if not transaction.writes and not transaction.removals:
            return Written(self.revision)
        # All changes of a transaction share one revision.
        self.revision += 1
        for key in transaction.removals:
            self._delete(key)
        for write in transaction.writes:
            self._put(write)
        return Written(self.revision)

    def _check_transaction(self, transaction: Transaction) -> None:
        limits, writes = self.limits, transaction.writes
        expected = [key for key, _ in transaction.expected]
        changed = [*(write.key for write in writes), *transaction.removals]
        count = len(expected) + len(changed)
        check_limit("transaction_entries", count, limits.transaction_entries)
        for key in (*expected, *changed):
            check_limit("key_bytes", len(key.encode()), limits.key_bytes)
        for write in writes:
            check_limit("value_bytes", len(write.value), limits.value_bytes)
        for key in changed:
            if key.startswith(limits.protected):
                raise ProtectedKeyError(key)

    def _put(self, write: Write) -> None:
        entry = Entry(write.key, write.value, self.revision, write.lease)
        self.entries[write.key] = entry
        self._record_event(Event(write.key, write.value, self.revision))

    def _delete(self, key: str) -> None:
        if self.entries.pop(key, None) is not None:
            self._record_event(Event(key, None, self.revision))

    def _record_event(self, event: Event) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def discard_history(self) -> None:
        """Drop all history, as the platform may do at any time."""
        self._history.clear()
        self._oldest_revision = self.revision + 1

    def revoke(self, key: str) -> None:
        """Delete a key without its holder's involvement."""
        self.set(key, None)

    def open_lease(self, ttl: timedelta) -> str:
        """Grant a lease and return its identifier."""
        ttl = self.clamp_ttl(ttl)
        lease = str(next(self._lease_numbers))
        self._leases[lease] = _Lease(ttl, self._clock.monotonic() + ttl)
        return lease

    def clamp_ttl(self, ttl: timedelta) -> timedelta:
        """Return the duration that applies to a lease of the requested duration."""
        return min(max(ttl, self.limits.min_ttl), self.limits.max_ttl)

    def renew(self, lease: str) -> timedelta | None:
        """Renew a lease; return its duration, or ``None`` if it has lapsed."""
        self._expire_leases()
        current = self._leases.get(lease)
        if current is None:
            return None
        self._leases[lease] = _Lease(current.ttl, self._clock.monotonic() + current.ttl)
        return current.ttl

    def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        for lease, granted in list(self._leases.items()):
            if granted.expires_at <= now:
                del self._leases[lease]
                self.revision += 1
                for key, entry in list(self.entries.items()):
                    if entry.lease == lease:
                        self._delete(key)

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page of the entries below ``prefix`` whose keys follow ``after``."""
        self._expire_leases()
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        page: list[Entry] = []
        size = 0
        for key in keys[: self.limits.page_entries]:
            entry = self.entries[key]
            size += len(entry.key.encode()) + len(entry.value)
            if page and size > self.limits.page_bytes:
                break
            page.append(entry)
        return Page(tuple(page), len(keys) > len(page), self.revision)

    async def watch(
        self, prefix: str, revision: int, wait: timedelta
    ) -> Events | RevisionTooOld:
        """Return the changes below ``prefix`` after ``revision``, waiting for one.

        :raises LimitExceededError: if the wait is too long.
        """
        check_limit("watch_wait", wait, self.limits.watch_wait)
        deadline = self._clock.monotonic() + wait
        while True:
            self._expire_leases()
            if revision + 1 < self._oldest_revision:
                return RevisionTooOld(self._oldest_revision)
            found = tuple(
                event
                for event in self._history
                if event.revision > revision and event.key.startswith(prefix)
            )
            left = deadline - self._clock.monotonic()
            if found or left <= timedelta():
                return Events(found, self.revision)
            changed = asyncio.ensure_future(self._changed.wait())
            try:
                await asyncio.wait(
                    {changed}, timeout=min(left, LEASE_CHECK_INTERVAL).total_seconds()
                )
            finally:
                changed.cancel()


class PoolStoreClient:
    """One daemon's client of the store, with faults of its own.

    It implements the port ``TransactionalStore``.

    :ivar faults: for example ``plan("commit", FaultKind.LOSE_ANSWER)``; the
        operations are read, list, commit, watch, watched, grant and renew.
    :ivar executes_late: whether commits that get no answer are executed late
        instead of at once.
    :ivar refusals: the calls that exceeded a limit of the store.
    """

    def __init__(self, store: PoolStore, clock: Clock) -> None:
        self.entry_limit = store.limits.transaction_entries
        self.refusals: list[str] = []
        self.faults = Faults()
        self.executes_late = False
        self._store = store
        self._clock = clock
        self._late_commits: set[asyncio.Task[None]] = set()

    async def _apply_faults(self, operation: str) -> Rejected | Lost | None:
        await self._clock.sleep(self.faults.delay)
        if self.faults.is_paused:
            await self._clock.sleep(LOST_CALL_DELAY)
            return Lost("timeout")
        if self.faults.outage:
            return Rejected("unreachable")
        kind = self.faults.take(operation)
        if kind is FaultKind.REFUSE:
            return Rejected("busy")
        if kind is FaultKind.LOSE_CALL:
            await self._clock.sleep(LOST_CALL_DELAY)
            return Lost("timeout")
        return Lost("timeout") if kind is FaultKind.LOSE_ANSWER else None

    async def read(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""
        fault = await self._apply_faults("read")
        if fault is not None:
            return fault
        self._store.read_page(key, "")
        entry = self._store.entries.get(key)
        return Found(entry) if entry else Missing(self._store.revision)

    async def read_changed(
        self, key: str, revision: int, first_byte_timeout: timedelta | None = None
    ) -> Found | Missing | Unchanged | Rejected | Lost:
        """Read one key, unless its revision is still ``revision``."""
        found = await self.read(key)
        is_known = isinstance(found, Found) and found.entry.revision == revision
        return Unchanged(self._store.revision) if is_known else found

    async def read_page(self, prefix: str, after: str) -> Page | Rejected | Lost:
        """Read a page of the entries below a prefix."""
        return await self._apply_faults("list") or self._store.read_page(prefix, after)

    async def commit(
        self,
        transaction: Transaction,
        timeout: timedelta | None = None,
        max_reply_bytes: int | None = None,
    ) -> Written | Mismatch | Lapsed | Rejected | Lost:
        """Commit a transaction."""
        fault = await self._apply_faults("commit")
        if isinstance(fault, Lost):
            if self.executes_late:
                task = asyncio.ensure_future(self._commit_late(transaction))
                self._late_commits.add(task)
                task.add_done_callback(self._late_commits.discard)
            else:
                self._commit(transaction)
            return fault
        return fault or self._commit(transaction)

    def _commit(
        self, transaction: Transaction
    ) -> Written | Mismatch | Lapsed | Rejected | Lost:
        """Commit, and answer as the adapter does where the store refuses the call."""
        try:
            return self._store.commit(transaction)
        except LimitExceededError as error:
            self.refusals.append(str(error))
            return Rejected(INVALID_CALL, "400")
        except ProtectedKeyError as error:
            self.refusals.append(str(error))
            return Rejected(INVALID_CALL, "403")

    async def _commit_late(self, transaction: Transaction) -> None:
        await self._clock.sleep(LATE_COMMIT_DELAY)
        self._commit(transaction)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait: timedelta,
        max_reply_bytes: int | None = None,
    ) -> Events | RevisionTooOld | Rejected | Lost:
        """Return the changes below a prefix after ``revision``, waiting for one."""
        fault = await self._apply_faults("watch")
        if fault is not None:
            return fault
        try:
            answer = await self._store.watch(prefix, revision, wait)
        except LimitExceededError as error:
            self.refusals.append(str(error))
            return Lost("unexpected_status", "400")
        return await self._apply_faults("watched") or answer

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Grant a lease."""
        fault = await self._apply_faults("grant")
        lease = self._store.open_lease(ttl) if fault is None else ""
        return fault or Granted(lease, self._store.clamp_ttl(ttl))

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease."""
        fault = await self._apply_faults("renew")
        if fault is not None:
            return fault
        ttl = self._store.renew(lease)
        return Lapsed(lease) if ttl is None else Granted(lease, ttl)
