"""An in-memory key-value store with compare-and-swap, leases and watches."""

from bisect import bisect_left, insort
from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import (
    Conflict,
    Entry,
    Event,
    Events,
    Found,
    Granted,
    Lapsed,
    Listing,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
    Written,
)
from standins.gateway import ChangeSignal, Gateway

VALUE_LIMIT = 1_000_000
HISTORY_LIMIT = 10_000

T = TypeVar("T")


class MemoryStore:
    """The store, shared by all clients; see :meth:`connect`.

    :param clock: clock by which leases lapse.
    :param capacity: total size of all values in bytes; writes beyond it are refused.
    """

    def __init__(self, clock: Clock, capacity: int = 1 << 30) -> None:
        self.clock = clock
        self.capacity = capacity
        self.gateway = Gateway(clock, "store_busy")
        self.faults = self.gateway.faults
        self.calls = self.gateway.calls
        self.written_bytes = 0
        self._revision = 0
        self._entries: dict[str, Entry] = {}
        self._keys: list[str] = []
        self._history: list[Event] = []
        self._compacted_revision = 0
        self._leases: dict[str, tuple[timedelta, timedelta]] = {}
        self._lease_count = 0
        self._size = 0
        self.changed = ChangeSignal()

    def connect(self, client: str) -> "StoreClient":
        """Return a client of the store, which can be cut off on its own."""
        return StoreClient(self, client)

    @property
    def waiting_watches(self) -> int:
        """Number of watches that wait for a change."""
        return self.gateway.waiting

    @property
    def revision(self) -> int:
        """The revision of the last write."""
        return self._revision

    def expire_leases(self) -> None:
        """End all leases that have lapsed by now, and delete their keys."""
        now = self.clock.monotonic()
        for lease, (deadline, _) in list(self._leases.items()):
            if deadline <= now:
                self.end_lease(lease)

    def end_lease(self, lease: str) -> None:
        """End a lease and delete its keys, as when it lapses unnoticed."""
        self._leases.pop(lease, None)
        for entry in [e for e in self._entries.values() if e.lease == lease]:
            self._remove(entry.key)

    def get(self, key: str) -> Found | Missing:
        """Read one key."""
        entry = self._entries.get(key)
        return Found(entry) if entry else Missing(self._revision)

    def list(self, prefix: str) -> Listing:
        """Read all keys below ``prefix``."""
        start = bisect_left(self._keys, prefix)
        found = []
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                break
            found.append(self._entries[key])
        return Listing(tuple(found), self._revision)

    def put(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> Written | Conflict | Rejected:
        """Write a key by compare-and-swap.

        :param expected: revision that the key must have, 0 for a key that must not
            exist, ``None`` for an unconditional write.
        :param lease: lease with which the key is deleted, or an empty string.
        """
        current = self._entries.get(key)
        if len(value) > VALUE_LIMIT:
            return Rejected("value_too_large", f"at most {VALUE_LIMIT} bytes")
        if _has_conflict(current, expected):
            return Conflict(current)
        growth = len(value) - (len(current.value) if current else 0)
        if self._size + growth > self.capacity:
            return Rejected("store_full")
        if lease and lease not in self._leases:
            return Rejected("lease_lapsed")
        self._size += growth
        self._revision += 1
        self.written_bytes += len(value)
        if current is None:
            insort(self._keys, key)
        self._entries[key] = Entry(key, value, self._revision, lease)
        self._record(Event(key, value, self._revision))
        return Written(self._revision)

    def delete(self, key: str, expected: int | None) -> Written | Conflict:
        """Delete a key by compare-and-swap."""
        current = self._entries.get(key)
        if _has_conflict(current, expected):
            return Conflict(current)
        if current is not None:
            self._remove(key)
        return Written(self._revision)

    def grant_lease(self, ttl: timedelta) -> Granted:
        """Grant a lease of duration ``ttl``."""
        self._lease_count += 1
        lease = f"lease-{self._lease_count}"
        self._leases[lease] = (self.clock.monotonic() + ttl, ttl)
        return Granted(lease, ttl)

    def renew_lease(self, lease: str) -> Granted | Lapsed:
        """Renew a lease for its full duration."""
        if lease not in self._leases:
            return Lapsed(lease)
        _, ttl = self._leases[lease]
        self._leases[lease] = (self.clock.monotonic() + ttl, ttl)
        return Granted(lease, ttl)

    def revoke_lease(self, lease: str) -> Written | Lapsed:
        """End a lease at its holder's request."""
        if lease not in self._leases:
            return Lapsed(lease)
        self.end_lease(lease)
        return Written(self._revision)

    def read_events(self, prefix: str, revision: int) -> Events | RevisionTooOld:
        """Return the changes below ``prefix`` after ``revision``.

        :return: ``RevisionTooOld`` if changes after ``revision`` were compacted.
        """
        if revision < self._compacted_revision:
            return RevisionTooOld(self._compacted_revision)
        start = bisect_left(self._history, revision + 1, key=lambda e: e.revision)
        found = [e for e in self._history[start:] if e.key.startswith(prefix)]
        return Events(tuple(found), max(revision, self._revision))

    def find_next_expiry(self) -> timedelta | None:
        """Return the monotonic time at which the next lease lapses, if any."""
        return min((deadline for deadline, _ in self._leases.values()), default=None)

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key)
        del self._keys[bisect_left(self._keys, key)]
        self._size -= len(entry.value)
        self._revision += 1
        self._record(Event(key, None, self._revision))

    def _record(self, event: Event) -> None:
        self._history.append(event)
        if len(self._history) > 2 * HISTORY_LIMIT:
            self._compacted_revision = self._history[-HISTORY_LIMIT - 1].revision
            del self._history[:-HISTORY_LIMIT]
        self.changed.wake()


class StoreClient:
    """A client of a :class:`MemoryStore`; implements the port ``Store``.

    :param client: name by which this client can be cut off.
    """

    def __init__(self, store: MemoryStore, client: str) -> None:
        self._store = store
        self._client = client

    async def get(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""
        return await self._call("get", lambda: self._store.get(key))

    async def list(self, prefix: str) -> Listing | Rejected | Lost:
        """Read all keys below ``prefix``."""
        return await self._call("list", lambda: self._store.list(prefix))

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: str = ""
    ) -> Written | Conflict | Rejected | Lost:
        """Write a key by compare-and-swap."""
        return await self._call(
            "put", lambda: self._store.put(key, value, expected, lease)
        )

    async def delete(
        self, key: str, expected: int | None
    ) -> Written | Conflict | Rejected | Lost:
        """Delete a key by compare-and-swap."""
        return await self._call("delete", lambda: self._store.delete(key, expected))

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Grant a lease of duration ``ttl``."""
        return await self._call("grant_lease", lambda: self._store.grant_lease(ttl))

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease."""
        return await self._call("renew_lease", lambda: self._store.renew_lease(lease))

    async def revoke_lease(self, lease: str) -> Written | Lapsed | Rejected | Lost:
        """End a lease."""
        return await self._call("revoke_lease", lambda: self._store.revoke_lease(lease))

    async def watch(
        self, prefix: str, revision: int, wait: timedelta
    ) -> Events | RevisionTooOld | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one."""
        store = self._store
        found = await self._call("watch", lambda: store.read_events(prefix, revision))
        if not isinstance(found, Events) or found.events or wait <= timedelta():
            return found
        return await store.gateway.poll(
            self._client,
            lambda: self._read_events(prefix, revision),
            lambda answer: isinstance(answer, Events) and not answer.events,
            store.changed,
            wait,
            store.find_next_expiry,
        )

    def _read_events(self, prefix: str, revision: int) -> Events | RevisionTooOld:
        self._store.expire_leases()
        return self._store.read_events(prefix, revision)

    async def _call(
        self, operation: str, action: Callable[[], T]
    ) -> T | Rejected | Lost:
        store = self._store

        def perform() -> T:
            store.expire_leases()
            return action()

        return await store.gateway.call(self._client, operation, perform)


def _has_conflict(current: Entry | None, expected: int | None) -> bool:
    if expected is None:
        return False
    return (current.revision if current else 0) != expected
