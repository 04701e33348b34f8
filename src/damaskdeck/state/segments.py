"""What a ledger keeps in the store: its keys, the head and the log's segments."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypeVar

import msgspec

from damaskdeck.errors import DECODE_ERRORS, LedgerError

RECORD_OVERHEAD = 5
SEGMENT_OVERHEAD = 200


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """A batch of records: the value of one slot.

    :param epoch: of the keeper that wrote it.
    :param sequence: its place in the log, from 1 on without a gap.
    :param identifier: of this write; tells whose write took effect.
    :param opens: whether it starts a group; a group that was not closed before
        the next one opens never counts.
    :param closes: whether it ends its group.
    """

    epoch: int
    sequence: int
    identifier: str
    opens: bool = True
    closes: bool = True
    records: tuple[bytes, ...] = ()

    def is_stored_in(self, value: bytes) -> bool:
        """Tell by its identifier whether this very write put ``value`` there."""
        return decode_segment(value).identifier == self.identifier


class Head(msgspec.Struct, array_like=True, frozen=True):
    """Where replay starts: the value of the head key.

    :param epoch: of the keeper that opened the ledger last.
    :param identifier: of this write.
    :param slots: how many keys the log uses in turn; fixed for good.
    :param base: last sequence that the snapshot covers.
    :param snapshot: name of the snapshot, or an empty string.
    :param parts: how many keys the snapshot has.
    :param log_parts: how many of these, at the end, hold records of the log
        that a keeper moved there to make room while it took over.
    """

    epoch: int = 0
    identifier: str = ""
    slots: int = 0
    base: int = 0
    snapshot: str = ""
    parts: int = 0
    log_parts: int = 0

    def is_stored_in(self, value: bytes) -> bool:
        """Tell by its identifier whether this very write put ``value`` there."""
        return decode_head(value).identifier == self.identifier


class Keys(NamedTuple):
    """The names of a ledger's keys in the store."""

    name: str

    @property
    def prefix(self) -> str:
        """The prefix of all keys of the ledger."""
        return f"ledger/{self.name}/"

    @property
    def head(self) -> str:
        """The key of the :class:`Head`."""
        return f"{self.prefix}head"

    @property
    def log(self) -> str:
        """The prefix of the slots."""
        return f"{self.prefix}log/"

    @property
    def snapshots(self) -> str:
        """The prefix of all parts of snapshots."""
        return f"{self.prefix}snapshot/"

    def slot(self, sequence: int, slots: int) -> str:
        """Return the key that holds ``sequence`` of a log of so many slots."""
        return f"{self.log}{sequence % slots:05d}"

    def part(self, snapshot: str, number: int) -> str:
        """Return the key of one part of a snapshot."""
        return f"{self.snapshots}{snapshot}/{number:05d}"

    def list_parts(self, head: Head) -> list[str]:
        """List the keys of the snapshot that ``head`` names."""
        return [self.part(head.snapshot, number) for number in range(head.parts)]


T = TypeVar("T")

# MessagePack's header of an array of up to 15 items.
_SHORT_ARRAY = range(0x90, 0xA0)

_encoder = msgspec.msgpack.Encoder()
_segment_decoder = msgspec.msgpack.Decoder(Segment)
_head_decoder = msgspec.msgpack.Decoder(Head)
_records_decoder = msgspec.msgpack.Decoder(tuple[bytes, ...])


def encode(value: Segment | Head | tuple[bytes, ...]) -> bytes:
    """Encode a value for the store."""
    return _encoder.encode(value)


def decode_segment(value: bytes) -> Segment:
    """Decode the value of a slot.

    :raises LedgerError: when it isn't a whole segment.
    """
    return _decode_whole(_segment_decoder, value, len(Segment.__struct_fields__))


def decode_head(value: bytes) -> Head:
    """Decode the value of the head key.

    :raises LedgerError: when it isn't a whole head.
    """
    head = _decode_whole(_head_decoder, value, len(Head.__struct_fields__))
    if head.slots < 1 or head.base < 0 or not 0 <= head.log_parts <= head.parts:
        raise LedgerError("a head with impossible numbers")
    return head


def decode_part(value: bytes) -> tuple[bytes, ...]:
    """Decode one part of a snapshot.

    :raises LedgerError: when it isn't a list of records.
    """
    return _decode_whole(_records_decoder, value, 0)


def _decode_whole(
    decoder: "msgspec.msgpack.Decoder[T]", value: bytes, length: int
) -> T:
    """Decode an array that has all its items.

    A decoder alone would fill in defaults for what was cut off, and what was
    committed would be gone without a word.
    """
    try:
        found = decoder.decode(value)
    except DECODE_ERRORS as error:
        raise LedgerError(str(error)) from error
    if value[0] in _SHORT_ARRAY and value[0] - _SHORT_ARRAY.start < length:
        raise LedgerError("an array that was cut short")
    return found


def measure_records(records: Iterable[bytes]) -> int:
    """Return an upper bound of the bytes that ``records`` take in a value."""
    return sum(len(record) + RECORD_OVERHEAD for record in records)


def split_records(
    records: tuple[bytes, ...], limit: int
) -> Iterator[tuple[bytes, ...]]:
    """Split records, in order, into runs that each fit into one value.

    :param limit: bytes of a value; each record alone must fit.
    """
    room = limit - SEGMENT_OVERHEAD
    start = size = 0
    for index, record in enumerate(records):
        length = len(record) + RECORD_OVERHEAD
        if index > start and size + length > room:
            yield records[start:index]
            start, size = index, 0
        size += length
    yield records[start:]


def join_groups(segments: Iterable[Segment]) -> Iterator[bytes]:
    """Yield the records of all closed groups, in order of the log."""
    pending: list[bytes] = []
    for segment in segments:
        if segment.opens:
            pending = []
        pending.extend(segment.records)
        if segment.closes:
            yield from pending
            pending = []
