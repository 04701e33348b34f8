"""Replaces the covered part of a log by a snapshot, at a slow pace."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Lost, Rejected, Written
from damaskdeck.state.backing import Backing
from damaskdeck.state.log import Deposed, Log
from damaskdeck.state.pace import Pace
from damaskdeck.state.segments import decode_head, encode, split_records
from damaskdeck.state.writes import Backoff, Clash, Write, write_once

COMPACTION_INTERVAL = timedelta(milliseconds=100)
LARGE_SLOT = 64_000

_log = get_logger("ledger")


class Compaction:
    """Writes snapshots and removes what the head no longer names.

    A snapshot's parts have names of their own, so nothing is seen of them until
    the head is switched by compare-and-swap; before that the old snapshot and
    the log count, afterwards the new one. What is left over by a keeper that
    died in between is removed by the next, once its epoch stands in the head.

    :param leftovers: keys of parts that no head names.
    """

    def __init__(
        self,
        backing: Backing,
        log: Log,
        take_snapshot: Callable[[], tuple[bytes, ...]],
        leftovers: tuple[str, ...],
    ) -> None:
        self._backing = backing
        self._keys = backing.keys
        self._ledger_log = log
        self._take_snapshot = take_snapshot
        self._leftovers = list(leftovers)
        self._written: list[str] = []
        self._large = log.list_large(LARGE_SLOT)
        self._pace = Pace(backing.clock, COMPACTION_INTERVAL)
        self.snapshot_size = 0

    @property
    def has_leftovers(self) -> bool:
        """Whether keys wait to be removed or emptied."""
        return bool(self._leftovers or self._large)

    async def run(self, is_due: Callable[[], bool]) -> None:
        """Compact while it is due, then remove what is left over."""
        backoff = Backoff(self._backing.clock)
        while self._ledger_log.deposed is None:
            outcome = await self._remove_leftovers()
            if outcome is None and is_due():
                outcome = await self._compact()
            elif outcome is None:
                outcome = await self._trim_slots()
            if outcome is None:
                return
            if isinstance(outcome, Rejected | Lost):
                _log.warn("Compaction waits.", code=outcome.code)
                await backoff.wait(outcome.code)

    async def _compact(self) -> Written | Deposed | Rejected | Lost:
        base = self._ledger_log.closed
        parts = list(split_records(self._take_snapshot(), self._backing.value_limit))
        name = f"{base:012d}-{self._backing.identify()}"
        values = [encode(part) for part in parts]
        self.snapshot_size = sum(len(value) for value in values)
        outcome = await self._write_parts(name, values)
        if isinstance(outcome, Written):
            outcome = await self._switch(base, name, len(parts))
        if not isinstance(outcome, Written):
            self._leftovers += self._written
        return outcome

    async def _write_parts(
        self, name: str, values: list[bytes]
    ) -> Written | Clash | Rejected | Lost:
        self._written = []
        for number, value in enumerate(values):
            await self._pace.wait()
            key = self._keys.part(name, number)
            write = Write(key, value, 0, value.__eq__)
            outcome = await write_once(self._backing, write)
            if not isinstance(outcome, Written):
                return outcome
            self._written.append(key)
        return outcome

    async def _switch(
        self, base: int, name: str, parts: int
    ) -> Written | Deposed | Rejected | Lost:
        """Let the head name the new snapshot, if this keeper still holds it."""
        log = self._ledger_log
        old = log.head
        head = msgspec.structs.replace(
            old,
            identifier=self._backing.identify(),
            base=base,
            snapshot=name,
            parts=parts,
            log_parts=0,
        )
        write = Write(
            self._keys.head, encode(head), log.head_revision, head.is_stored_in
        )
        await self._pace.wait()
        outcome = await write_once(self._backing, write)
        if isinstance(outcome, Clash):
            return log.depose(decode_head(outcome.current.value).epoch)
        if isinstance(outcome, Written):
            log.switch(head, outcome.revision)
            self._leftovers += self._keys.list_parts(old)
            self._large = log.list_large(LARGE_SLOT)
        return outcome

    async def _remove_leftovers(self) -> Rejected | Lost | None:
        while self._leftovers:
            await self._pace.wait()
            outcome = await self._backing.store.delete(self._leftovers[-1], None)
            if isinstance(outcome, Rejected | Lost):
                return outcome
            self._leftovers.pop()
        return None

    async def _trim_slots(self) -> Rejected | Lost | None:
        """Empty covered slots that are large, so that the store doesn't fill up."""
        while self._large:
            await self._pace.wait()
            outcome = await self._ledger_log.trim(self._large[-1])
            if isinstance(outcome, Rejected | Lost):
                return outcome
            self._large.pop()
        return None
