"""Taking over a ledger: fence off older keepers, then read what they wrote."""

from datetime import timedelta

import msgspec

from damaskdeck.protocol.ports import Listing, Lost, Rejected, Written
from damaskdeck.state.backing import Backing
from damaskdeck.state.images import Image, read_image
from damaskdeck.state.segments import (
    Head,
    Segment,
    decode_segment,
    encode,
    split_records,
)
from damaskdeck.state.writes import Backoff, Clash, Write, write_once

RACE_LIMIT = 20
ROOM_SHARE = 0.75


class Opening:
    """One try of a keeper to take over a ledger.

    Both fences are compare-and-swaps that a busy older keeper can only beat by
    writing itself: the head with the new epoch stops its compaction, an empty
    segment with the new epoch stops its appends.

    :param slots: how many keys the log gets if the ledger is new.
    :param until: monotonic time at which the try is given up.
    """

    def __init__(
        self, backing: Backing, slots: int, epoch: int, until: timedelta
    ) -> None:
        self._backing = backing
        self._keys = backing.keys
        self._slots = slots
        self._epoch = epoch
        self._until = until

    async def run(self) -> Image | Rejected | Lost:
        """Fence and read; the image is all that older keepers ever committed."""
        for _ in range(RACE_LIMIT):
            image = await self._read()
            if not isinstance(image, Image):
                return image
            if image.epoch > self._epoch:
                return Rejected("epoch_passed", f"epoch {image.epoch} has opened it")
            for step in (self._fence_head, self._make_room, self._fence_log):
                image = await step(image)
                if not isinstance(image, Image):
                    break
            if not isinstance(image, Clash):
                return image
        return Rejected("ledger_contended", "another keeper goes on writing")

    async def _read(self) -> Image | Rejected | Lost:
        backoff = Backoff(self._backing.clock)
        while True:
            listing = await self._backing.store.list(self._keys.prefix)
            if isinstance(listing, Listing):
                return read_image(self._keys, listing, self._slots)
            if self._backing.clock.monotonic() >= self._until:
                return Rejected("store_unavailable", listing.code)
            await backoff.wait(listing.code)

    async def _fence_head(self, image: Image) -> Image | Clash | Rejected | Lost:
        head = msgspec.structs.replace(
            image.head, epoch=self._epoch, identifier=self._backing.identify()
        )
        outcome = await self._write(self._keys.head, head, image.head_revision)
        if isinstance(outcome, Written):
            return image._replace(head=head, head_revision=outcome.revision)
        return outcome

    async def _make_room(self, image: Image) -> Image | Clash | Rejected | Lost:
        """Move the log to the snapshot's parts if few slots are left.

        Compaction waits for commits. Without this, takeovers of a ledger that
        nobody commits to would use up the slots.
        """
        if len(image.segments) < image.head.slots * ROOM_SHARE:
            return image
        roomy = image.move_log()
        limit = self._backing.value_limit
        snapshot = list(split_records(roomy.snapshot, limit))
        moved = list(split_records(roomy.moved, limit))
        head = msgspec.structs.replace(
            roomy.head,
            identifier=self._backing.identify(),
            snapshot=f"{roomy.head.base:012d}-{self._backing.identify()}",
            parts=len(snapshot) + len(moved),
            log_parts=len(moved),
        )
        keys = self._keys.list_parts(head)
        for key, run in zip(keys, snapshot + moved, strict=True):
            outcome = await self._write(key, run, 0)
            if not isinstance(outcome, Written):
                return outcome
        outcome = await self._write(self._keys.head, head, image.head_revision)
        if not isinstance(outcome, Written):
            return outcome
        leftovers = (*image.leftovers, *self._keys.list_parts(image.head))
        return roomy._replace(
            head=head, head_revision=outcome.revision, leftovers=leftovers
        )

    async def _fence_log(self, image: Image) -> Image | Clash | Rejected | Lost:
        for _ in range(RACE_LIMIT):
            if len(image.segments) >= image.head.slots:
                return Rejected("ledger_contended", "no slot is left")
            segment = Segment(self._epoch, image.last + 1, self._backing.identify())
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
        self, key: str, value: Head | Segment | tuple[bytes, ...], expected: int
    ) -> Written | Clash | Rejected | Lost:
        encoded = encode(value)
        is_own = encoded.__eq__ if isinstance(value, tuple) else value.is_stored_in
        write = Write(key, encoded, expected, is_own)
        backoff = Backoff(self._backing.clock)
        while True:
            outcome = await write_once(self._backing, write, self._until)
            if not isinstance(outcome, Rejected) or outcome.code == "store_full":
                return outcome
            if self._backing.clock.monotonic() >= self._until:
                return Rejected("store_unavailable", outcome.code)
            await backoff.wait(outcome.code)
