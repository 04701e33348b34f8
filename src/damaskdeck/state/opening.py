"""Taking over a ledger: fence off older keepers, then read what they wrote."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import Listing, Lost, Rejected, Store, Written
from damaskdeck.state.images import Image, read_image
from damaskdeck.state.segments import (
    Head,
    Keys,
    Segment,
    decode_segment,
    encode,
)
from damaskdeck.state.writes import Backoff, Clash, Write, write_once

RACE_LIMIT = 20


class Opening:
    """One try of a keeper to take over a ledger.

    Both fences are compare-and-swaps that a busy older keeper can only beat by
    writing itself: the head with the new epoch stops its compaction, an empty
    segment with the new epoch stops its appends.

    :param slots: how many keys the log gets if the ledger is new.
    :param until: monotonic time at which the try is given up.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        keys: Keys,
        slots: int,
        epoch: int,
        until: timedelta,
        identify: Callable[[], str],
    ) -> None:
        self._store = store
        self._clock = clock
        self._keys = keys
        self._slots = slots
        self._epoch = epoch
        self._until = until
        self._identify = identify

    async def run(self) -> Image | Rejected | Lost:
        """Fence and read; the image is all that older keepers ever committed."""
        for _ in range(RACE_LIMIT):
            image = await self._read()
            if not isinstance(image, Image):
                return image
            if image.epoch > self._epoch:
                return Rejected("epoch_passed", f"epoch {image.epoch} has opened it")
            fenced = await self._fence_head(image)
            if isinstance(fenced, Image):
                fenced = await self._fence_log(fenced)
            if not isinstance(fenced, Clash):
                return fenced
        return Rejected("ledger_contended", "another keeper goes on writing")

    async def _read(self) -> Image | Rejected | Lost:
        backoff = Backoff(self._clock)
        while True:
            listing = await self._store.list(self._keys.prefix)
            if isinstance(listing, Listing):
                return read_image(self._keys, listing, self._slots)
            if self._clock.monotonic() >= self._until:
                return Rejected("store_unavailable", listing.code)
            await backoff.wait(listing.code)

    async def _fence_head(self, image: Image) -> Image | Clash | Rejected | Lost:
        head = msgspec.structs.replace(
            image.head, epoch=self._epoch, identifier=self._identify()
        )
        outcome = await self._write(self._keys.head, head, image.head_revision)
        if isinstance(outcome, Written):
            return image._replace(head=head, head_revision=outcome.revision)
        return outcome

    async def _fence_log(self, image: Image) -> Image | Clash | Rejected | Lost:
        for _ in range(RACE_LIMIT):
            if len(image.segments) >= image.head.slots:
                return Rejected("ledger_full", "no slot is left to take it over")
            segment = Segment(self._epoch, image.last + 1, self._identify())
            key = self._keys.slot(segment.sequence, image.head.slots)
            expected = image.revisions.get(key, 0)
            outcome = await self._write(key, segment, expected)
            if isinstance(outcome, Written):
                return image.add(segment, key, outcome.revision)
            if not isinstance(outcome, Clash) or outcome.current is None:
                return outcome
            found = decode_segment(outcome.current.value)
            if found.epoch > self._epoch or found.sequence != segment.sequence:
                return outcome
            image = image.add(found, key, outcome.current.revision)
        return Rejected("ledger_contended", "another keeper goes on writing")

    async def _write(
        self, key: str, value: Head | Segment, expected: int
    ) -> Written | Clash | Rejected | Lost:
        write = Write(key, encode(value), expected, value.is_stored_in)
        backoff = Backoff(self._clock)
        while True:
            outcome = await write_once(self._store, self._clock, write, self._until)
            if not isinstance(outcome, Rejected) or outcome.code == "store_full":
                return outcome
            if self._clock.monotonic() >= self._until:
                return Rejected("store_unavailable", outcome.code)
            await backoff.wait(outcome.code)
