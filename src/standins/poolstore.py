"""The stand-in of the platform's store: transactions, leases, watches, faults."""

import asyncio
import itertools
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import (
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

PAGE_ENTRIES = 500
LEASE_SWEEP = timedelta(milliseconds=20)
LOSS_WAIT = timedelta(milliseconds=400)
LATE_BY = timedelta(seconds=2)


class _Lease(NamedTuple):
    ttl: timedelta
    ends: timedelta


class PoolStore:
    """A store with transactions, leases and watches; one for all daemons."""

    def __init__(self, clock: Clock) -> None:
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.commits = 0
        self._clock = clock
        self._history: list[Event] = []
        self._first = 1
        self._leases: dict[str, _Lease] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()

    def set(self, key: str, value: bytes | None) -> None:
        """Write or delete a key, as the platform's own parts do."""
        self.revision += 1
        if value is None:
            self._delete(key)
        else:
            self._put(Write(key, value))

    def commit(self, transaction: Transaction) -> Written | Mismatch | Lapsed:
        """Apply a transaction."""
        self._end_leases()
        for key, revision in transaction.expected:
            current = self.entries.get(key)
            if (current.revision if current else 0) != revision:
                named = (self.entries.get(k) for k, _ in transaction.expected)
                return Mismatch(tuple(entry for entry in named if entry))
        for write in transaction.writes:
            if write.lease and write.lease not in self._leases:
                return Lapsed(write.lease)
        self.commits += 1
        if not transaction.writes and not transaction.removals:
            return Written(self.revision)
        # All changes of a transaction have one revision.
        self.revision += 1
        for key in transaction.removals:
            self._delete(key)
        for write in transaction.writes:
            self._put(write)
        return Written(self.revision)

    def _put(self, write: Write) -> None:
        entry = Entry(write.key, write.value, self.revision, write.lease)
        self.entries[write.key] = entry
        self._note(Event(write.key, write.value, self.revision))

    def _delete(self, key: str) -> None:
        if self.entries.pop(key, None) is not None:
            self._note(Event(key, None, self.revision))

    def _note(self, event: Event) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self) -> None:
        """Drop all history, as the platform may at any time."""
        self._history.clear()
        self._first = self.revision + 1

    def revoke(self, key: str) -> None:
        """Take a key away without its holder's doing."""
        self.set(key, None)

    def open_lease(self, ttl: timedelta) -> str:
        """Open a lease."""
        lease = str(next(self._numbers))
        self._leases[lease] = _Lease(ttl, self._clock.monotonic() + ttl)
        return lease

    def renew(self, lease: str) -> timedelta | None:
        """Renew a lease; ``None`` when it has ended."""
        self._end_leases()
        held = self._leases.get(lease)
        if held is None:
            return None
        self._leases[lease] = _Lease(held.ttl, self._clock.monotonic() + held.ttl)
        return held.ttl

    def _end_leases(self) -> None:
        now = self._clock.monotonic()
        for lease, held in list(self._leases.items()):
            if held.ends <= now:
                del self._leases[lease]
                self.revision += 1
                for key, entry in list(self.entries.items()):
                    if entry.lease == lease:
                        self._delete(key)

    def read_page(self, prefix: str, after: str) -> Page:
        """Return a page of the keys below a prefix."""
        self._end_leases()
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        page = tuple(self.entries[key] for key in keys[:PAGE_ENTRIES])
        return Page(page, len(keys) > PAGE_ENTRIES, self.revision)

    async def watch(
        self, prefix: str, revision: int, wait: timedelta
    ) -> Events | RevisionTooOld:
        """Return the changes after ``revision``, waiting for one."""
        ends = self._clock.monotonic() + wait
        while True:
            self._end_leases()
            if revision + 1 < self._first:
                return RevisionTooOld(self._first)
            found = tuple(
                event
                for event in self._history
                if event.revision > revision and event.key.startswith(prefix)
            )
            left = ends - self._clock.monotonic()
            if found or left <= timedelta():
                return Events(found, self.revision)
            changed = asyncio.ensure_future(self._changed.wait())
            try:
                await asyncio.wait(
                    {changed}, timeout=min(left, LEASE_SWEEP).total_seconds()
                )
            finally:
                changed.cancel()


class PoolStoreClient:
    """One daemon's way to the store, with faults of its own.

    :ivar faults: ``plan("commit", FaultKind.LOSE_ANSWER)`` and the like.
    :ivar late: commits without an answer are carried out later, not at once.
    """

    entry_limit = 32

    def __init__(self, store: PoolStore, clock: Clock) -> None:
        self.faults = Faults()
        self.late = False
        self._store = store
        self._clock = clock
        self._later: set[asyncio.Task[None]] = set()

    async def _meet(self, operation: str) -> Rejected | Lost | None:
        await self._clock.sleep(self.faults.delay)
        if self.faults.is_paused:
            await self._clock.sleep(LOSS_WAIT)
            return Lost("timeout")
        if self.faults.outage:
            return Rejected("unreachable")
        kind = self.faults.take(operation)
        if kind is FaultKind.REFUSE:
            return Rejected("busy")
        if kind is FaultKind.LOSE_CALL:
            await self._clock.sleep(LOSS_WAIT)
            return Lost("timeout")
        return Lost("timeout") if kind is FaultKind.LOSE_ANSWER else None

    async def read(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""
        fault = await self._meet("read")
        if fault is not None:
            return fault
        self._store.read_page(key, "")
        entry = self._store.entries.get(key)
        return Found(entry) if entry else Missing(self._store.revision)

    async def read_changed(
        self, key: str, revision: int, first_byte_timeout: timedelta | None = None
    ) -> Found | Missing | Unchanged | Rejected | Lost:
        """Read one key unless it is as it was."""
        found = await self.read(key)
        is_known = isinstance(found, Found) and found.entry.revision == revision
        return Unchanged(self._store.revision) if is_known else found

    async def read_page(self, prefix: str, after: str) -> Page | Rejected | Lost:
        """Read a page."""
        return await self._meet("list") or self._store.read_page(prefix, after)

    async def commit(
        self,
        transaction: Transaction,
        timeout: timedelta | None = None,
        max_reply_bytes: int | None = None,
    ) -> Written | Mismatch | Lapsed | Rejected | Lost:
        """Commit, unless a fault is planned."""
        fault = await self._meet("commit")
        if isinstance(fault, Lost):
            if self.late:
                task = asyncio.ensure_future(self._commit_late(transaction))
                self._later.add(task)
                task.add_done_callback(self._later.discard)
            else:
                self._store.commit(transaction)
            return fault
        return fault or self._store.commit(transaction)

    async def _commit_late(self, transaction: Transaction) -> None:
        await self._clock.sleep(LATE_BY)
        self._store.commit(transaction)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait: timedelta,
        max_reply_bytes: int | None = None,
    ) -> Events | RevisionTooOld | Rejected | Lost:
        """Watch a prefix."""
        fault = await self._meet("watch")
        if fault is not None:
            return fault
        answer = await self._store.watch(prefix, revision, wait)
        return await self._meet("watched") or answer

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Open a lease."""
        fault = await self._meet("grant")
        return fault or Granted(self._store.open_lease(ttl), ttl)

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease."""
        fault = await self._meet("renew")
        if fault is not None:
            return fault
        ttl = self._store.renew(lease)
        return Lapsed(lease) if ttl is None else Granted(lease, ttl)
