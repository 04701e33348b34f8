"""Takeover of a ledger: fences earlier owners, then reads their commits."""

from datetime import timedelta

import msgspec

from damaskdeck.protocol.ports import Listing, Lost, Rejected, Written
from damaskdeck.state.backend import LedgerBackend
from damaskdeck.state.contents import LedgerContents, parse_contents
from damaskdeck.state.segments import (
    Head,
    Segment,
    decode_segment,
    encode,
    split_records,
)
from damaskdeck.state.writes import Backoff, ConditionalWrite, WriteConflict, write_once

# Lost races against active owners after which a takeover is abandoned.
MAX_RACES = 20
# The log is moved to the snapshot when it uses this share of the slots.
MAX_LOG_SHARE = 0.75


class Opening:
    """One attempt of a daemon to take over a ledger.

    Both fences are compare-and-swap writes. An earlier owner that is still active
    can only win the race by writing itself. The head with the new epoch stops its
    compaction; an empty segment with the new epoch stops its appends.

    :param slots: number of keys of the log if the ledger is new.
    :param until: monotonic time after which the attempt is abandoned.
    """

    def __init__(
        self, backend: LedgerBackend, slots: int, epoch: int, until: timedelta
    ) -> None:
        self._backend = backend
        self._keys = backend.keys
        self._slots = slots
        self._epoch = epoch
        self._until = until

    async def run(self) -> LedgerContents | Rejected | Lost:
        """Fence the ledger and read it.

        :returns: the contents with everything that earlier owners committed.
        """
        for _ in range(MAX_RACES):
            contents = await self._read()
            if not isinstance(contents, LedgerContents):
                return contents
            if contents.epoch > self._epoch:
                return Rejected(
                    "epoch_passed", f"already opened with epoch {contents.epoch}"
                )
            for step in (self._fence_head, self._move_log, self._fence_log):
                contents = await step(contents)
                if not isinstance(contents, LedgerContents):
                    break
            if not isinstance(contents, WriteConflict):
                return contents
        return Rejected("ledger_contended", "another owner keeps writing")

    async def _read(self) -> LedgerContents | Rejected | Lost:
        backoff = Backoff(self._backend.clock)
        while True:
            listing = await self._backend.store.list(self._keys.prefix)
            if isinstance(listing, Listing):
                return parse_contents(self._keys, listing, self._slots)
            if self._backend.clock.monotonic() >= self._until:
                return Rejected("store_unavailable", listing.code)
            await backoff.wait(listing.code)

    async def _fence_head(
        self, contents: LedgerContents
    ) -> LedgerContents | WriteConflict | Rejected | Lost:
        head = msgspec.structs.replace(
            contents.head, epoch=self._epoch, identifier=self._backend.generate_id()
        )
        outcome = await self._write(self._keys.head, head, contents.head_revision)
        if isinstance(outcome, Written):
            return contents._replace(head=head, head_revision=outcome.revision)
        return outcome

    async def _move_log(
        self, contents: LedgerContents
    ) -> LedgerContents | WriteConflict | Rejected | Lost:
        """Move the log to parts of the snapshot if few slots are left.

        Compaction only runs with commits. Without this step, repeated takeovers of a
        ledger without commits would use up the slots.
        """
        if len(contents.segments) < contents.head.slots * MAX_LOG_SHARE:
            return contents
        compacted = contents.move_log()
        limit = self._backend.value_limit
        snapshot = list(split_records(compacted.snapshot, limit))
        moved = list(split_records(compacted.moved, limit))
        head = msgspec.structs.replace(
            compacted.head,
            identifier=self._backend.generate_id(),
            snapshot=f"{compacted.head.base:012d}-{self._backend.generate_id()}",
            parts=len(snapshot) + len(moved),
            log_parts=len(moved),
        )
        keys = self._keys.list_parts(head)
        for key, part in zip(keys, snapshot + moved, strict=True):
            outcome = await self._write(key, part, 0)
            if not isinstance(outcome, Written):
                return outcome
        outcome = await self._write(self._keys.head, head, contents.head_revision)
        if not isinstance(outcome, Written):
            return outcome
        orphaned_keys = (*contents.orphaned_keys, *self._keys.list_parts(contents.head))
        return compacted._replace(
            head=head, head_revision=outcome.revision, orphaned_keys=orphaned_keys
        )

    async def _fence_log(
        self, contents: LedgerContents
    ) -> LedgerContents | WriteConflict | Rejected | Lost:
        for _ in range(MAX_RACES):
            if len(contents.segments) >= contents.head.slots:
                return Rejected("ledger_contended", "no free slot in the log")
            segment = Segment(
                self._epoch, contents.last + 1, self._backend.generate_id()
            )
            key = self._keys.slot(segment.sequence, contents.head.slots)
            expected = contents.revisions.get(key, 0)
            outcome = await self._write(key, segment, expected)
            if isinstance(outcome, Written):
                return contents.add(segment, key, outcome.revision)
            if not isinstance(outcome, WriteConflict) or outcome.current is None:
                return outcome
            found = decode_segment(outcome.current.value)
            if found.epoch > self._epoch or found.sequence != segment.sequence:
                return outcome
            contents = contents.add(found, key, outcome.current.revision)
        return Rejected("ledger_contended", "another owner keeps writing")

    async def _write(
        self, key: str, value: Head | Segment | tuple[bytes, ...], expected: int
    ) -> Written | WriteConflict | Rejected | Lost:
        encoded = encode(value)
        is_own = encoded.__eq__ if isinstance(value, tuple) else value.is_stored_in
        write = ConditionalWrite(key, encoded, expected, is_own)
        backoff = Backoff(self._backend.clock)
        while True:
            outcome = await write_once(self._backend, write, self._until)
            if not isinstance(outcome, Rejected) or outcome.code == "store_full":
                return outcome
            if self._backend.clock.monotonic() >= self._until:
                return Rejected("store_unavailable", outcome.code)
            await backoff.wait(outcome.code)
