"""The contents of a ledger, read from the store in one call."""

from typing import NamedTuple

import msgspec

from damaskdeck.errors import InvariantError
from damaskdeck.protocol.ports import Entry, Listing
from damaskdeck.state.segments import (
    Head,
    Keys,
    Segment,
    decode_head,
    decode_part,
    decode_segment,
    encode,
    join_groups,
)


class LedgerContents(NamedTuple):
    """All keys of a ledger as of one revision of the store.

    :param head_revision: 0 when the ledger is new.
    :param segments: the segments after the base, in order and without gaps.
    :param revisions: revision of each used slot, by key.
    :param sizes: size in bytes of each used slot, by key.
    :param snapshot: records of the snapshot.
    :param moved: log records that were moved to parts of the snapshot.
    :param orphaned_keys: keys of parts that the head does not refer to.
    """

    head: Head
    head_revision: int
    segments: tuple[Segment, ...]
    revisions: dict[str, int]
    sizes: dict[str, int]
    snapshot: tuple[bytes, ...]
    moved: tuple[bytes, ...]
    orphaned_keys: tuple[str, ...]

    @property
    def last(self) -> int:
        """The last sequence in the log."""
        return self.head.base + len(self.segments)

    @property
    def closed(self) -> int:
        """The last sequence that closes a group, or the base."""
        closing = (s.sequence for s in self.segments if s.closes)
        return max(closing, default=self.head.base)

    @property
    def records(self) -> tuple[bytes, ...]:
        """All records of closed groups in the log, in order."""
        return (*self.moved, *join_groups(self.segments))

    @property
    def epoch(self) -> int:
        """The highest epoch that wrote to the ledger."""
        return max([self.head.epoch, *(s.epoch for s in self.segments)])

    def move_log(self) -> "LedgerContents":
        """Return the contents with all closed groups moved out of the segments."""
        count = self.closed - self.head.base
        return self._replace(
            head=msgspec.structs.replace(self.head, base=self.closed),
            segments=self.segments[count:],
            moved=(*self.moved, *join_groups(self.segments[:count])),
        )

    def add(self, segment: Segment, key: str, revision: int) -> "LedgerContents":
        """Return the contents with one more segment at the end."""
        return self._replace(
            segments=(*self.segments, segment),
            revisions={**self.revisions, key: revision},
            sizes={**self.sizes, key: len(encode(segment))},
        )


def parse_contents(keys: Keys, listing: Listing, slots: int) -> LedgerContents:
    """Build the contents of a ledger from a listing of all its keys.

    :param slots: number of slots of the log if the ledger is new.
    :raises InvariantError: when the store has lost a required key.
    :raises LedgerError: when a value is unreadable.
    """
    entries = {entry.key: entry for entry in listing.entries}
    entry = entries.get(keys.head)
    head = decode_head(entry.value) if entry else Head(slots=slots)
    log = [e for e in listing.entries if e.key.startswith(keys.log)]
    parts = keys.list_parts(head)
    snapshot_parts = head.parts - head.log_parts
    return LedgerContents(
        head,
        entry.revision if entry else 0,
        _order_segments(keys, head, log),
        {e.key: e.revision for e in log},
        {e.key: len(e.value) for e in log},
        _join_parts(keys, parts[:snapshot_parts], entries),
        _join_parts(keys, parts[snapshot_parts:], entries),
        tuple(
            key for key in entries if key.startswith(keys.snapshots) if key not in parts
        ),
    )


def _order_segments(keys: Keys, head: Head, log: list[Entry]) -> tuple[Segment, ...]:
    found = [decode_segment(entry.value) for entry in log]
    newer = [segment for segment in found if segment.sequence > head.base]
    newer.sort(key=lambda segment: segment.sequence)
    for sequence, segment in enumerate(newer, head.base + 1):
        if segment.sequence != sequence:
            raise InvariantError(f"sequence {sequence} is missing in {keys.prefix}")
    return tuple(newer)


def _join_parts(
    keys: Keys, parts: list[str], entries: dict[str, Entry]
) -> tuple[bytes, ...]:
    records: list[bytes] = []
    for key in parts:
        if key not in entries:
            raise InvariantError(f"key {key} is missing in {keys.prefix}")
        records.extend(decode_part(entries[key].value))
    return tuple(records)
