"""The append end of a ledger's log, held by one keeper."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from damaskdeck.errors import InvariantError
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Found, Lost, Rejected, Written
from damaskdeck.state.backing import Backing
from damaskdeck.state.images import Image
from damaskdeck.state.segments import (
    Head,
    Segment,
    decode_segment,
    encode,
    split_records,
)
from damaskdeck.state.writes import Backoff, Clash, Write, write_once

LASTING_CODES = frozenset({"store_full", "value_too_large"})
RESERVED_SHARE = 8
LARGEST_SHARE = 4

_log = get_logger("ledger")


class Appended(NamedTuple):
    """A group of records is durable; ``sequence`` is that of its last segment."""

    sequence: int


class Deposed(NamedTuple):
    """A keeper of ``epoch`` has taken over; the records were not written."""

    epoch: int


class Log:
    """Appends segments to the slots in turn, each by compare-and-swap.

    A slot is never deleted, so each write gives it a revision that it never had
    before. A keeper that was paused expects a revision from before its
    successor's first segment, and its write fails however late it arrives.

    :param image: what the ledger held when it was opened.
    :param epoch: of this keeper.

    ``size`` counts the bytes of the segments that the snapshot doesn't cover.
    """

    def __init__(self, backing: Backing, image: Image, epoch: int) -> None:
        self.epoch = epoch
        self.head = image.head
        self.head_revision = image.head_revision
        self.last = image.last
        self.closed = image.last
        self.deposed: Deposed | None = None
        self.revisions = dict(image.revisions)
        self.sizes = dict(image.sizes)
        self._backing = backing
        self._keys = backing.keys
        self.size = self._measure()

    @property
    def length(self) -> int:
        """How many segments the snapshot doesn't cover."""
        return self.last - self.head.base

    def list_large(self, size: int) -> list[str]:
        """List the slots that the snapshot covers and that hold more than ``size``."""
        slots = self.head.slots
        first = max(self.last - slots, 0) + 1
        keys = (self._keys.slot(n, slots) for n in range(first, self.head.base + 1))
        return [key for key in keys if self.sizes.get(key, 0) > size]

    async def trim(self, key: str) -> Written | Clash | Rejected | Lost:
        """Empty a slot that the snapshot covers.

        May race with an append to the same slot, and its answer may be lost:
        the append then finds an old segment in its way and takes its revision.
        """
        found = await self._backing.store.get(key)
        if not isinstance(found, Found):
            return found
        segment = decode_segment(found.entry.value)
        if segment.sequence > self.head.base:
            return Clash(found.entry, False)
        value = encode(msgspec.structs.replace(segment, records=()))
        answer = await self._backing.store.put(key, value, found.entry.revision)
        if isinstance(answer, Written) and self.revisions[key] < answer.revision:
            self.revisions[key] = answer.revision
            self.sizes[key] = len(value)
        return answer

    def switch(self, head: Head, revision: int) -> None:
        """Note the head that was written with a new snapshot."""
        self.head = head
        self.head_revision = revision
        self.size = self._measure()

    def depose(self, epoch: int) -> Deposed:
        """Note that a keeper of ``epoch`` has taken over."""
        if self.deposed is None:
            _log.warn("Deposed.", ledger=self._keys.name, epoch=self.epoch, by=epoch)
            self.deposed = Deposed(epoch)
        return self.deposed

    async def append(
        self, records: tuple[bytes, ...], is_wanted: Callable[[], bool]
    ) -> Appended | Deposed | Rejected | Lost:
        """Append a group of records, in several segments if one can't hold it.

        :param is_wanted: asked before a later segment of a group is tried again.
        :returns: ``Rejected`` and ``Deposed`` only if the group never counts.
        """
        runs = list(split_records(records, self._backing.value_limit))
        if len(runs) > self.head.slots // LARGEST_SHARE:
            return Rejected("value_too_large", "the records need too many segments")
        for number, run in enumerate(runs):
            opens, closes = number == 0, number == len(runs) - 1
            outcome = await self._append_run(run, opens, closes, is_wanted)
            if not isinstance(outcome, Appended):
                break
        # A group that was given up ends here too: the next segment opens another.
        self.closed = self.last
        return outcome

    async def _append_run(
        self,
        records: tuple[bytes, ...],
        opens: bool,
        closes: bool,
        is_wanted: Callable[[], bool],
    ) -> Appended | Deposed | Rejected | Lost:
        backoff = Backoff(self._backing.clock)
        while True:
            if self.length >= self.head.slots - self.head.slots // RESERVED_SHARE:
                return Rejected("ledger_full")
            outcome = await self.write_segment(records, opens, closes)
            if not isinstance(outcome, Rejected) or outcome.code in LASTING_CODES:
                return outcome
            if opens or not is_wanted():
                return outcome
            await backoff.wait(outcome.code)

    async def write_segment(
        self, records: tuple[bytes, ...], opens: bool = True, closes: bool = True
    ) -> Appended | Deposed | Rejected | Lost:
        """Write one segment after the last one."""
        segment = Segment(
            self.epoch, self.last + 1, self._backing.identify(), opens, closes, records
        )
        key = self._keys.slot(segment.sequence, self.head.slots)
        value = encode(segment)
        while True:
            expected = self.revisions.get(key, 0)
            write = Write(key, value, expected, segment.is_stored_in)
            outcome = await write_once(self._backing, write)
            if isinstance(outcome, Written):
                self.last = segment.sequence
                self.revisions[key] = outcome.revision
                self.sizes[key] = len(value)
                self.size += len(value)
                return Appended(segment.sequence)
            if not isinstance(outcome, Clash):
                return outcome
            judged = self._judge(segment, outcome)
            if judged is not None:
                return judged
            self.revisions[key] = outcome.current.revision

    def _measure(self) -> int:
        places = range(self.head.base + 1, self.last + 1)
        keys = (self._keys.slot(place, self.head.slots) for place in places)
        return sum(self.sizes[key] for key in keys)

    def _judge(self, segment: Segment, clash: Clash) -> Deposed | Lost | None:
        """Tell what a clash means; ``None`` if an old segment was rewritten."""
        if clash.current is None:
            raise InvariantError(f"{self._keys.prefix} has lost a slot")
        found = decode_segment(clash.current.value)
        if found.sequence < segment.sequence:
            return None
        if found.epoch < self.epoch:
            raise InvariantError(f"{self._keys.prefix} was written by an old keeper")
        deposed = self.depose(found.epoch)
        if clash.in_doubt and found.sequence > segment.sequence:
            return Lost("answer_lost", "the slot was used again since")
        return deposed
