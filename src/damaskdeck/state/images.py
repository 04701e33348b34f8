"""A ledger as read from the store in one call."""

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


class Image(NamedTuple):
    """All keys of a ledger as of one revision of the store.

    :param head_revision: 0 when the ledger is new.
    :param segments: those that count, in order, without a gap.
    :param revisions: of every slot in use, by key.
    :param sizes: bytes of every slot in use, by key.
    :param moved: records of the log that were moved to the snapshot's parts.
    :param leftovers: keys of parts that no head names.
    """

    head: Head
    head_revision: int
    segments: tuple[Segment, ...]
    revisions: dict[str, int]
    sizes: dict[str, int]
    snapshot: tuple[bytes, ...]
    moved: tuple[bytes, ...]
    leftovers: tuple[str, ...]

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
        """All records of the log, in order."""
        return (*self.moved, *join_groups(self.segments))

    @property
    def epoch(self) -> int:
        """The highest epoch that wrote to the ledger."""
        return max([self.head.epoch, *(s.epoch for s in self.segments)])

    def move_log(self) -> "Image":
        """Return the image with all closed groups moved out of the segments."""
        count = self.closed - self.head.base
        return self._replace(
            head=msgspec.structs.replace(self.head, base=self.closed),
            segments=self.segments[count:],
            moved=(*self.moved, *join_groups(self.segments[:count])),
        )

    def add(self, segment: Segment, key: str, revision: int) -> "Image":
        """Return the image with one more segment at its end."""
        return self._replace(
            segments=(*self.segments, segment),
            revisions={**self.revisions, key: revision},
            sizes={**self.sizes, key: len(encode(segment))},
        )


def read_image(keys: Keys, listing: Listing, slots: int) -> Image:
    """Sort out a listing of all keys of a ledger.

    :param slots: how many slots the log gets if the ledger is new.
    :raises InvariantError: when the store has lost a key that counts.
    """
    entries = {entry.key: entry for entry in listing.entries}
    entry = entries.get(keys.head)
    head = decode_head(entry.value) if entry else Head(slots=slots)
    log = [e for e in listing.entries if e.key.startswith(keys.log)]
    parts = keys.list_parts(head)
    split = head.parts - head.log_parts
    return Image(
        head,
        entry.revision if entry else 0,
        _order_segments(keys, head, log),
        {e.key: e.revision for e in log},
        {e.key: len(e.value) for e in log},
        _join_parts(keys, parts[:split], entries),
        _join_parts(keys, parts[split:], entries),
        tuple(
            key for key in entries if key.startswith(keys.snapshots) if key not in parts
        ),
    )


def _order_segments(keys: Keys, head: Head, log: list[Entry]) -> tuple[Segment, ...]:
    found = [decode_segment(entry.value) for entry in log]
    newer = [segment for segment in found if segment.sequence > head.base]
    newer.sort(key=lambda segment: segment.sequence)
    for place, segment in enumerate(newer, head.base + 1):
        if segment.sequence != place:
            raise InvariantError(f"{keys.prefix} has lost sequence {place}")
    return tuple(newer)


def _join_parts(
    keys: Keys, parts: list[str], entries: dict[str, Entry]
) -> tuple[bytes, ...]:
    records: list[bytes] = []
    for key in parts:
        if key not in entries:
            raise InvariantError(f"{keys.prefix} has lost {key}")
        records.extend(decode_part(entries[key].value))
    return tuple(records)
