"""The write end of a ledger's log, used by one ledger owner."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from damaskdeck.errors import InvariantError
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Found, Lost, Rejected, Written
from damaskdeck.state.backend import LedgerBackend
from damaskdeck.state.contents import LedgerContents
from damaskdeck.state.segments import (
    Head,
    Segment,
    decode_segment,
    encode,
    split_records,
)
from damaskdeck.state.writes import Backoff, ConditionalWrite, WriteConflict, write_once

# Rejections that a retry doesn't change.
PERMANENT_CODES = frozenset({"store_full", "value_too_large"})
# One slot in 8 stays free for the fences of takeovers; a group may use one in 4.
RESERVE_DIVISOR = 8
MAX_GROUP_DIVISOR = 4

_log = get_logger("ledger")


class Appended(NamedTuple):
    """A group of records is durable; ``sequence`` is that of its last segment."""

    sequence: int


class Deposed(NamedTuple):
    """An owner with ``epoch`` has taken over; the records were not written."""

    epoch: int


class Log:
    """Writes segments to the slots in turn, each by compare-and-swap.

    Slots are never deleted, so each write gives a slot a revision that it never had
    before. An owner that was paused expects a revision from before the first
    segment of its successor, so its write fails whenever it arrives.

    :param contents: contents of the ledger when it was opened.
    :param epoch: epoch of this owner.
    :ivar last: last sequence in the log.
    :ivar closed: last sequence that ends a group.
    :ivar deposed: set once another owner has taken over.
    :ivar revisions: revision of each used slot, by key.
    :ivar sizes: size in bytes of each used slot, by key.
    :ivar size: size in bytes of the segments that the snapshot does not cover.
    """

    def __init__(
        self, backend: LedgerBackend, contents: LedgerContents, epoch: int
    ) -> None:
        self.epoch = epoch
        self.head = contents.head
        self.head_revision = contents.head_revision
        self.last = contents.last
        self.closed = contents.last
        self.deposed: Deposed | None = None
        self.revisions = dict(contents.revisions)
        self.sizes = dict(contents.sizes)
        self._backend = backend
        self._keys = backend.keys
        self.size = self._compute_size()

    @property
    def length(self) -> int:
        """Number of segments that the snapshot does not cover."""
        return self.last - self.head.base

    def list_large(self, size: int) -> list[str]:
        """List the covered slots with more than ``size`` bytes.

        A slot is covered when the snapshot contains its records.
        """
        slots = self.head.slots
        first = max(self.last - slots, 0) + 1
        keys = (self._keys.slot(n, slots) for n in range(first, self.head.base + 1))
        return [key for key in keys if self.sizes.get(key, 0) > size]

    async def trim(self, key: str) -> Written | WriteConflict | Rejected | Lost:
        """Empty a slot that the snapshot covers.

        An append to the same slot may run at the same time, and the reply may be lost.
        The append then finds an old segment in the slot and uses its revision.
        """
        found = await self._backend.store.get(key)
        if not isinstance(found, Found):
            return found
        segment = decode_segment(found.entry.value)
        if segment.sequence > self.head.base:
            return WriteConflict(found.entry, False)
        value = encode(msgspec.structs.replace(segment, records=()))
        answer = await self._backend.store.put(key, value, found.entry.revision)
        if isinstance(answer, Written) and self.revisions[key] < answer.revision:
            self.revisions[key] = answer.revision
            self.sizes[key] = len(value)
        return answer

    def replace_head(self, head: Head, revision: int) -> None:
        """Use the head that was written with a new snapshot."""
        self.head = head
        self.head_revision = revision
        self.size = self._compute_size()

    def mark_deposed(self, epoch: int) -> Deposed:
        """Record that an owner with ``epoch`` has taken over."""
        if self.deposed is None:
            _log.warn("Deposed.", ledger=self._keys.name, epoch=self.epoch, by=epoch)
            self.deposed = Deposed(epoch)
        return self.deposed

    async def append(
        self, records: tuple[bytes, ...], should_retry: Callable[[], bool]
    ) -> Appended | Deposed | Rejected | Lost:
        """Append a group of records, in several segments if one can't hold them.

        :param should_retry: called before a later segment of the group is retried.
        :returns: ``Rejected`` and ``Deposed`` only if the group will never be replayed.
        """
        chunks = list(split_records(records, self._backend.value_limit))
        if len(chunks) > self.head.slots // MAX_GROUP_DIVISOR:
            return Rejected("value_too_large", "too many segments for one commit")
        for number, chunk in enumerate(chunks):
            opens, closes = number == 0, number == len(chunks) - 1
            outcome = await self._append_chunk(chunk, opens, closes, should_retry)
            if not isinstance(outcome, Appended):
                break
        # An abandoned group ends here too: the next segment opens a new one.
        self.closed = self.last
        return outcome

    async def _append_chunk(
        self,
        records: tuple[bytes, ...],
        opens: bool,
        closes: bool,
        should_retry: Callable[[], bool],
    ) -> Appended | Deposed | Rejected | Lost:
        backoff = Backoff(self._backend.clock)
        while True:
            if self.length >= self.head.slots - self.head.slots // RESERVE_DIVISOR:
                return Rejected("ledger_full")
            outcome = await self.write_segment(records, opens, closes)
            if not isinstance(outcome, Rejected) or outcome.code in PERMANENT_CODES:
                return outcome
            if opens or not should_retry():
                return outcome
            await backoff.wait(outcome.code)

    async def write_segment(
        self, records: tuple[bytes, ...], opens: bool = True, closes: bool = True
    ) -> Appended | Deposed | Rejected | Lost:
        """Write one segment after the last one."""
        segment = Segment(
            self.epoch,
            self.last + 1,
            self._backend.generate_id(),
            opens,
            closes,
            records,
        )
        key = self._keys.slot(segment.sequence, self.head.slots)
        value = encode(segment)
        while True:
            expected = self.revisions.get(key, 0)
            write = ConditionalWrite(key, value, expected, segment.is_stored_in)
            outcome = await write_once(self._backend, write)
            if isinstance(outcome, Written):
                self.last = segment.sequence
                self.revisions[key] = outcome.revision
                self.sizes[key] = len(value)
                self.size += len(value)
                return Appended(segment.sequence)
            if not isinstance(outcome, WriteConflict):
                return outcome
            resolved = self._resolve_conflict(segment, outcome)
            if resolved is not None:
                return resolved
            self.revisions[key] = outcome.current.revision

    def _compute_size(self) -> int:
        sequences = range(self.head.base + 1, self.last + 1)
        keys = (self._keys.slot(number, self.head.slots) for number in sequences)
        return sum(self.sizes[key] for key in keys)

    def _resolve_conflict(
        self, segment: Segment, conflict: WriteConflict
    ) -> Deposed | Lost | None:
        """Return the result of a conflict.

        :returns: ``None`` if an old segment was rewritten, so that the write can be
            retried.
        """
        if conflict.current is None:
            raise InvariantError(f"a slot is missing in {self._keys.prefix}")
        found = decode_segment(conflict.current.value)
        if found.sequence < segment.sequence:
            return None
        if found.epoch < self.epoch:
            raise InvariantError(f"{self._keys.prefix} was written by an old owner")
        deposed = self.mark_deposed(found.epoch)
        if conflict.may_have_applied and found.sequence > segment.sequence:
            return Lost("answer_lost", "the slot was overwritten since")
        return deposed
