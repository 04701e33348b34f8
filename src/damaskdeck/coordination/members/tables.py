"""Ownership table of a scope in the store, changed by compare-and-swap."""

import secrets
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

import msgspec

from damaskdeck.clock import Clock
from damaskdeck.coordination.members.mirrors import Mirror
from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, count_retry
from damaskdeck.protocol.ports import Conflict, Lost, Store, Written

RETRY_INTERVAL = timedelta(milliseconds=250)

_log = get_logger("ownership")


class OwnerEntry(msgspec.Struct, array_like=True, frozen=True):
    """The owner of a shard.

    :param instance: the owner's name; empty when nobody owns the shard.
    :param session: the owner's session when it became the owner.
    :param epoch: increases with each change of owner.
    """

    instance: str
    session: str
    epoch: int


class OwnerChange(NamedTuple):
    """A requested change of one shard; ``None`` stands for no entry in the table.

    :param before: the entry that must be replaced, or nothing is written.
    """

    before: OwnerEntry | None
    after: OwnerEntry | None


class TableDocument(msgspec.Struct, kw_only=True):
    """The value of a table's key.

    :param write: identifies the write, to recognize it after a lost answer.
    :param floor: the highest epoch of a shard that was removed from the table.
    :param things: the owners, by name of shard.
    """

    write: str = ""
    floor: int = 0
    things: dict[str, OwnerEntry]


class Table:
    """One key of the store with the owners of all shards of a scope.

    :param mirror: provides the key's value and is updated with each write.
    """

    def __init__(self, key: str, mirror: Mirror, store: Store, clock: Clock) -> None:
        self.key = key
        self.is_readable = True
        self._mirror = mirror
        self._store = store
        self._clock = clock
        self._document = TableDocument(things={})
        self._decoded = 0

    @property
    def revision(self) -> int:
        """The store's revision of the table; 0 when the key doesn't exist."""
        entry = self._mirror.entries.get(self.key)
        return entry.revision if entry else 0

    @property
    def document(self) -> TableDocument:
        """The table as last read; the last valid one if the stored value is damaged."""
        if self._decoded != self.revision:
            entry = self._mirror.entries.get(self.key)
            found = decode_document(entry.value) if entry else TableDocument(things={})
            self.is_readable = found is not None
            if found is None:
                _log.error("An ownership table can't be decoded.", key=self.key)
            self._document = found or self._document
            self._decoded = self.revision
        return self._document

    @property
    def owners(self) -> Mapping[str, OwnerEntry]:
        """The owners, by name of shard."""
        return self.document.things

    def _encode(self, changes: Mapping[str, OwnerChange]) -> bytes:
        document = self.document
        owners = dict(document.things)
        floor = document.floor
        for name, change in changes.items():
            if change.after is not None:
                owners[name] = change.after
            elif change.before is not None:
                floor = max(floor, owners.pop(name).epoch)
        write = secrets.token_hex(8)
        return msgspec.msgpack.encode(
            TableDocument(write=write, floor=floor, things=owners)
        )

    async def commit(self, changes: Mapping[str, OwnerChange]) -> bool:
        """Write ``changes`` and return once it is certain whether they took effect.

        After a lost answer the same bytes are written again with the same expected
        revision, so only one of the two writes can take effect.

        :returns: whether the table changed as requested; if not, it shows what another
            daemon wrote, or the store refused the write.
        """
        if not self._matches({name: change.before for name, change in changes.items()}):
            return False
        expected = self.revision
        value = self._encode(changes)
        was_answer_lost = False
        while True:
            answer = await self._store.put(self.key, value, expected)
            if isinstance(answer, Written):
                self._mirror.record_write(self.key, value, answer.revision)
                return True
            if isinstance(answer, Conflict):
                return self._resolve_conflict(answer, changes)
            was_answer_lost = was_answer_lost or isinstance(answer, Lost)
            if not was_answer_lost:
                return False
            count_retry("ownership", "lost_answer")
            await self._clock.sleep(RETRY_INTERVAL)

    def _resolve_conflict(
        self, conflict: Conflict, changes: Mapping[str, OwnerEntry | None]
    ) -> bool:
        if conflict.current is None:
            return False
        current = conflict.current
        self._mirror.record_write(self.key, current.value, current.revision)
        return self._matches({name: change.after for name, change in changes.items()})

    def _matches(self, entries: Mapping[str, OwnerEntry | None]) -> bool:
        return all(self.owners.get(name) == entry for name, entry in entries.items())


def decode_document(value: bytes) -> TableDocument | None:
    """Return the decoded table, or ``None`` when it can't be decoded."""
    try:
        return msgspec.msgpack.decode(value, type=TableDocument)
    except DECODE_ERRORS:
        count_drop("ownership", "invalid_table")
        return None
