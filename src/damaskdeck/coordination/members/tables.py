"""The table of a scope in the store: who owns what, changed by compare-and-swap."""

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
    """Who owns a thing.

    :param instance: the owner's name; empty when nobody owns it.
    :param session: the owner's session when it got the thing.
    :param epoch: rises with each change of owner.
    """

    instance: str
    session: str
    epoch: int


class Change(NamedTuple):
    """A wanted change of one thing; ``None`` means not on the table.

    :param before: what it must replace, or nothing is written.
    """

    before: OwnerEntry | None
    after: OwnerEntry | None


class TableDocument(msgspec.Struct, kw_only=True):
    """The value of a table's key.

    :param write: identifies the write, to know it again after a lost answer.
    :param floor: the highest epoch of a thing that was taken off the table.
    """

    write: str = ""
    floor: int = 0
    things: dict[str, OwnerEntry]


class Table:
    """One key of the store with the owners of all things of a scope.

    :param mirror: shows the key, and is told of each write.
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
        """The store's revision of the table, 0 when there is none."""
        entry = self._mirror.entries.get(self.key)
        return entry.revision if entry else 0

    @property
    def document(self) -> TableDocument:
        """The table as last seen; the last readable one if it was damaged."""
        if self._decoded != self.revision:
            entry = self._mirror.entries.get(self.key)
            found = decode_document(entry.value) if entry else TableDocument(things={})
            self.is_readable = found is not None
            if found is None:
                _log.error("A table of owners can't be read.", key=self.key)
            self._document = found or self._document
            self._decoded = self.revision
        return self._document

    @property
    def things(self) -> Mapping[str, OwnerEntry]:
        """The owners by name of thing."""
        return self.document.things

    def _encode(self, changes: Mapping[str, Change]) -> bytes:
        document = self.document
        things = dict(document.things)
        floor = document.floor
        for name, change in changes.items():
            if change.after is not None:
                things[name] = change.after
            elif change.before is not None:
                floor = max(floor, things.pop(name).epoch)
        write = secrets.token_hex(8)
        return msgspec.msgpack.encode(
            TableDocument(write=write, floor=floor, things=things)
        )

    async def commit(self, changes: Mapping[str, Change]) -> bool:
        """Write ``changes`` and return once it is certain what became of them.

        After a lost answer the same bytes are written again with the same
        expected revision: only one of the two can take effect.

        :returns: whether the table changed as wanted; if not, it shows what
            somebody else wrote, or the store refused the write.
        """
        if not self._matches({name: change.before for name, change in changes.items()}):
            return False
        expected = self.revision
        value = self._encode(changes)
        has_lost = False
        while True:
            answer = await self._store.put(self.key, value, expected)
            if isinstance(answer, Written):
                self._mirror.note(self.key, value, answer.revision)
                return True
            if isinstance(answer, Conflict):
                return self._settle(answer, changes)
            has_lost = has_lost or isinstance(answer, Lost)
            if not has_lost:
                return False
            count_retry("ownership", "lost_answer")
            await self._clock.sleep(RETRY_INTERVAL)

    def _settle(
        self, conflict: Conflict, changes: Mapping[str, OwnerEntry | None]
    ) -> bool:
        if conflict.current is None:
            return False
        current = conflict.current
        self._mirror.note(self.key, current.value, current.revision)
        return self._matches({name: change.after for name, change in changes.items()})

    def _matches(self, holders: Mapping[str, OwnerEntry | None]) -> bool:
        return all(self.things.get(name) == holder for name, holder in holders.items())


def decode_document(value: bytes) -> TableDocument | None:
    """Decode a table; ``None`` when it can't be read."""
    try:
        return msgspec.msgpack.decode(value, type=TableDocument)
    except DECODE_ERRORS:
        count_drop("ownership", "invalid_table")
        return None
