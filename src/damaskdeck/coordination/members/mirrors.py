"""In-memory copy of the store's keys below a prefix."""

from datetime import timedelta

from damaskdeck.metrics import count_drop
from damaskdeck.protocol.ports import Entry, Events, Listing, RevisionTooOld, Store

_NO_WAIT = timedelta()


class Mirror:
    """A copy whose revision never decreases.

    A refresh reads only the changes, so it is one small call to the store.

    :ivar revision: the store's revision up to which all keys are known; -1
        before the first refresh.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        self.entries: dict[str, Entry] = {}
        self.revision = -1
        self._store = store
        self._prefix = prefix

    async def refresh(self) -> bool:
        """Read what has changed; return whether the store answered."""
        if self.revision < 0:
            return await self._reload()
        found = await self._store.watch(self._prefix, self.revision, _NO_WAIT)
        if isinstance(found, RevisionTooOld):
            return await self._reload()
        if not isinstance(found, Events):
            return False
        for event in found.events:
            self._apply(event.key, event.value, event.revision)
        self.revision = max(self.revision, found.revision)
        return True

    def record_write(self, key: str, value: bytes, revision: int) -> None:
        """Apply a write that is known to have taken effect."""
        self._apply(key, value, revision)

    async def _reload(self) -> bool:
        found = await self._store.list(self._prefix)
        if not isinstance(found, Listing):
            return False
        if found.revision < self.revision:
            count_drop("mirror", "older_read")
            return False
        listed = {entry.key: entry for entry in found.entries}
        for key, entry in self.entries.items():
            if entry.revision > found.revision:
                listed[key] = entry
        self.entries = listed
        self.revision = found.revision
        return True

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        known = self.entries.get(key)
        if known is not None and known.revision >= revision:
            return
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = Entry(key, value, revision)
