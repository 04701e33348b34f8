"""The stored form of a ledger: its keys, its head and the segments of its log."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypeVar

import msgspec

from damaskdeck.errors import DECODE_ERRORS, LedgerError

# Upper bounds of the MessagePack header of a record and of a segment's other fields.
RECORD_OVERHEAD_BYTES = 5
SEGMENT_OVERHEAD_BYTES = 200


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """A batch of records; the value of one slot.

    :param epoch: epoch of the ledger owner that wrote it.
    :param sequence: position in the log, from 1 on without gaps.
    :param identifier: identifier of the write, which shows whose write took effect.
    :param opens: whether the segment starts a group. A group that was not closed
        before the next one opens is ignored.
    :param closes: whether the segment ends its group.
    :param records: the encoded records.
    """

    epoch: int
    sequence: int
    identifier: str
    opens: bool = True
    closes: bool = True
    records: tuple[bytes, ...] = ()

    def is_stored_in(self, value: bytes) -> bool:
        """Whether exactly this write stored ``value``, by its identifier."""
        return decode_segment(value).identifier == self.identifier


class Head(msgspec.Struct, array_like=True, frozen=True):
    """The value of the head key, which says where replay starts.

    :param epoch: epoch of the owner that opened the ledger last.
    :param identifier: identifier of the write.
    :param slots: number of keys that the log uses as a ring; never changes.
    :param base: last sequence that the snapshot covers.
    :param snapshot: name of the snapshot, or an empty string.
    :param parts: number of keys of the snapshot.
    :param log_parts: number of parts, counted from the end, that hold records of
        the log. A new owner moves records there when too few slots are left.
    """

    epoch: int = 0
    identifier: str = ""
    slots: int = 0
    base: int = 0
    snapshot: str = ""
    parts: int = 0
    log_parts: int = 0

    def is_stored_in(self, value: bytes) -> bool:
        """Whether exactly this write stored ``value``, by its identifier."""
        return decode_head(value).identifier == self.identifier


class Keys(NamedTuple):
    """The keys of a ledger in the store."""

    name: str

    @property
    def prefix(self) -> str:
        """Prefix of all keys of the ledger."""
        return f"ledger/{self.name}/"

    @property
    def head(self) -> str:
        """Key of the :class:`Head`."""
        return f"{self.prefix}head"

    @property
    def log(self) -> str:
        """Prefix of the slots."""
        return f"{self.prefix}log/"

    @property
    def snapshots(self) -> str:
        """Prefix of the parts of all snapshots."""
        return f"{self.prefix}snapshot/"

    def slot(self, sequence: int, slots: int) -> str:
        """Return the key that holds ``sequence`` in a log with ``slots`` keys."""
        return f"{self.log}{sequence % slots:05d}"

    def part(self, snapshot: str, number: int) -> str:
        """Return the key of one part of a snapshot."""
        return f"{self.snapshots}{snapshot}/{number:05d}"

    def list_parts(self, head: Head) -> list[str]:
        """List the keys of the snapshot that ``head`` refers to."""
        return [self.part(head.snapshot, number) for number in range(head.parts)]


T = TypeVar("T")

# First bytes of a MessagePack array with up to 15 items (fixarray).
_FIXARRAY_HEADERS = range(0x90, 0xA0)

_encoder = msgspec.msgpack.Encoder()
_segment_decoder = msgspec.msgpack.Decoder(Segment)
_head_decoder = msgspec.msgpack.Decoder(Head)
_records_decoder = msgspec.msgpack.Decoder(tuple[bytes, ...])


def encode(value: Segment | Head | tuple[bytes, ...]) -> bytes:
    """Encode a value for the store."""
    return _encoder.encode(value)


def decode_segment(value: bytes) -> Segment:
    """Decode the value of a slot.

    :raises LedgerError: when the value is not a complete segment.
    """
    return _decode_complete(_segment_decoder, value, len(Segment.__struct_fields__))


def decode_head(value: bytes) -> Head:
    """Decode the value of the head key.

    :raises LedgerError: when the value is not a complete head.
    """
    head = _decode_complete(_head_decoder, value, len(Head.__struct_fields__))
    if head.slots < 1 or head.base < 0 or not 0 <= head.log_parts <= head.parts:
        raise LedgerError("head has slots, base or parts out of range")
    return head


def decode_part(value: bytes) -> tuple[bytes, ...]:
    """Decode one part of a snapshot.

    :raises LedgerError: when the value is not a list of records.
    """
    return _decode_complete(_records_decoder, value, 0)


def _decode_complete(
    decoder: "msgspec.msgpack.Decoder[T]", value: bytes, length: int
) -> T:
    """Decode an array that must have at least ``length`` items.

    The decoder alone would replace truncated items by their defaults, and
    committed records would be lost silently.
    """
    try:
        found = decoder.decode(value)
    except DECODE_ERRORS as error:
        raise LedgerError(str(error)) from error
    if value[0] in _FIXARRAY_HEADERS and value[0] - _FIXARRAY_HEADERS.start < length:
        raise LedgerError("array is truncated")
    return found


def measure_records(records: Iterable[bytes]) -> int:
    """Return an upper bound in bytes of the space that ``records`` take in a value."""
    return sum(len(record) + RECORD_OVERHEAD_BYTES for record in records)


def split_records(
    records: tuple[bytes, ...], limit: int
) -> Iterator[tuple[bytes, ...]]:
    """Split records, in order, into chunks that each fit into one value.

    :param limit: size of a value in bytes; each single record must fit.
    """
    capacity = limit - SEGMENT_OVERHEAD_BYTES
    start = size = 0
    for index, record in enumerate(records):
        length = len(record) + RECORD_OVERHEAD_BYTES
        if index > start and size + length > capacity:
            yield records[start:index]
            start, size = index, 0
        size += length
    yield records[start:]


def join_groups(segments: Iterable[Segment]) -> Iterator[bytes]:
    """Yield the records of all closed groups, in log order."""
    pending: list[bytes] = []
    for segment in segments:
        if segment.opens:
            pending = []
        pending.extend(segment.records)
        if segment.closes:
            yield from pending
            pending = []
