"""Log compaction: replaces the covered part of a log by a snapshot."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Lost, Rejected, Written
from damaskdeck.state.backend import LedgerBackend
from damaskdeck.state.log import Deposed, Log
from damaskdeck.state.ratelimiter import RateLimiter
from damaskdeck.state.segments import decode_head, encode, split_records
from damaskdeck.state.writes import Backoff, ConditionalWrite, WriteConflict, write_once

COMPACTION_INTERVAL = timedelta(milliseconds=100)
# Covered slots above this size are emptied.
LARGE_SLOT_BYTES = 64_000

_log = get_logger("ledger")


class Compaction:
    """Writes snapshots and deletes keys that the head no longer refers to.

    Each snapshot has part keys of its own, so the parts have no effect until a
    compare-and-swap replaces the head. Before that the old snapshot and the log
    are valid, afterwards the new snapshot and the log after its base. Parts of an
    owner that stopped in between are removed by the next owner once the head has
    its epoch.

    Writes are rate limited to leave the store to the commits.

    :param take_snapshot: returns records that describe the current state.
    :param orphaned_keys: keys of parts that the head does not refer to.
    :ivar snapshot_size: size in bytes of the last snapshot.
    """

    def __init__(
        self,
        backend: LedgerBackend,
        log: Log,
        take_snapshot: Callable[[], tuple[bytes, ...]],
        orphaned_keys: tuple[str, ...],
    ) -> None:
        self._backend = backend
        self._keys = backend.keys
        self._ledger_log = log
        self._take_snapshot = take_snapshot
        self._orphaned_keys = list(orphaned_keys)
        self._written: list[str] = []
        self._large_slots = log.list_large(LARGE_SLOT_BYTES)
        self._limiter = RateLimiter(backend.clock, COMPACTION_INTERVAL)
        self.snapshot_size = 0

    @property
    def needs_cleanup(self) -> bool:
        """Whether there are keys to delete or slots to empty."""
        return bool(self._orphaned_keys or self._large_slots)

    async def run(self, is_due: Callable[[], bool]) -> None:
        """Compact while it is due, then delete orphaned keys and empty large slots."""
        backoff = Backoff(self._backend.clock)
        while self._ledger_log.deposed is None:
            outcome = await self._remove_orphaned_keys()
            if outcome is None and is_due():
                outcome = await self._compact()
            elif outcome is None:
                outcome = await self._trim_slots()
            if outcome is None:
                return
            if isinstance(outcome, Rejected | Lost):
                _log.warn("Compaction failed; retrying.", code=outcome.code)
                await backoff.wait(outcome.code)

    async def _compact(self) -> Written | Deposed | Rejected | Lost:
        base = self._ledger_log.closed
        parts = list(split_records(self._take_snapshot(), self._backend.value_limit))
        name = f"{base:012d}-{self._backend.generate_id()}"
        values = [encode(part) for part in parts]
        self.snapshot_size = sum(len(value) for value in values)
        outcome = await self._write_parts(name, values)
        if isinstance(outcome, Written):
            outcome = await self._replace_head(base, name, len(parts))
        if not isinstance(outcome, Written):
            self._orphaned_keys += self._written
        return outcome

    async def _write_parts(
        self, name: str, values: list[bytes]
    ) -> Written | WriteConflict | Rejected | Lost:
        self._written = []
        for number, value in enumerate(values):
            await self._limiter.wait()
            key = self._keys.part(name, number)
            write = ConditionalWrite(key, value, 0, value.__eq__)
            outcome = await write_once(self._backend, write)
            if not isinstance(outcome, Written):
                return outcome
            self._written.append(key)
        return outcome

    async def _replace_head(
        self, base: int, name: str, parts: int
    ) -> Written | Deposed | Rejected | Lost:
        """Let the head refer to the new snapshot unless another owner took over."""
        log = self._ledger_log
        old = log.head
        head = msgspec.structs.replace(
            old,
            identifier=self._backend.generate_id(),
            base=base,
            snapshot=name,
            parts=parts,
            log_parts=0,
        )
        write = ConditionalWrite(
            self._keys.head, encode(head), log.head_revision, head.is_stored_in
        )
        await self._limiter.wait()
        outcome = await write_once(self._backend, write)
        if isinstance(outcome, WriteConflict):
            return log.mark_deposed(decode_head(outcome.current.value).epoch)
        if isinstance(outcome, Written):
            log.replace_head(head, outcome.revision)
            self._orphaned_keys += self._keys.list_parts(old)
            self._large_slots = log.list_large(LARGE_SLOT_BYTES)
        return outcome

    async def _remove_orphaned_keys(self) -> Rejected | Lost | None:
        while self._orphaned_keys:
            await self._limiter.wait()
            outcome = await self._backend.store.delete(self._orphaned_keys[-1], None)
            if isinstance(outcome, Rejected | Lost):
                return outcome
            self._orphaned_keys.pop()
        return None

    async def _trim_slots(self) -> Rejected | Lost | None:
        """Empty large slots that the snapshot covers, to save space in the store."""
        while self._large_slots:
            await self._limiter.wait()
            outcome = await self._ledger_log.trim(self._large_slots[-1])
            if isinstance(outcome, Rejected | Lost):
                return outcome
            self._large_slots.pop()
        return None
