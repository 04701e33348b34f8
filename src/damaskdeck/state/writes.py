"""Compare-and-swap writes whose result is determined even if a reply is lost."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.metrics import count_retry
from damaskdeck.protocol.ports import (
    Conflict,
    Entry,
    Lost,
    Missing,
    Rejected,
    Store,
    Written,
)
from damaskdeck.state.backend import LedgerBackend

MIN_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=1)


class ConditionalWrite(NamedTuple):
    """A write that must take effect at most once.

    :param expected: revision of the entry that it replaces, 0 if there is none.
    :param is_own: returns whether this write stored the given value.
    """

    key: str
    value: bytes
    expected: int
    is_own: Callable[[bytes], bool]


class WriteConflict(NamedTuple):
    """The key holds the value of another writer.

    :param current: the entry now, ``None`` when the key does not exist.
    :param may_have_applied: whether an earlier reply was lost, so that this write
        may have taken effect and have been replaced since.
    """

    current: Entry | None
    may_have_applied: bool


class Backoff:
    """Exponential backoff up to a maximum."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._delay = MIN_BACKOFF

    async def wait(self, reason: str) -> None:
        """Wait before the next attempt and count the retry."""
        count_retry("ledger", reason)
        delay, self._delay = self._delay, min(2 * self._delay, MAX_BACKOFF)
        await self._clock.sleep(delay)


async def write_once(
    backend: LedgerBackend, write: ConditionalWrite, until: timedelta | None = None
) -> Written | WriteConflict | Rejected | Lost:
    """Write a value and determine whether the write took effect.

    After a lost reply the key is read back. If it still holds the old entry, the
    lost call may still arrive. The same call is repeated then, and the
    compare-and-swap lets only one of them take effect.

    :param until: monotonic time after which an undetermined write is returned as
        ``Lost``; ``None`` for no limit.
    :returns: ``Rejected`` only if the write is known to have had no effect.
    """
    store, clock = backend.store, backend.clock
    backoff = Backoff(clock)
    answer = await store.put(write.key, write.value, write.expected)
    if isinstance(answer, Rejected):
        return answer
    may_have_applied = isinstance(answer, Lost)
    is_first = True
    while True:
        if isinstance(answer, Written):
            return answer
        if isinstance(answer, Conflict):
            return _resolve_conflict(answer.current, write, may_have_applied)
        if until is not None and clock.monotonic() >= until:
            return Lost(answer.code, answer.detail)
        if is_first:
            is_first = False
            count_retry("ledger", answer.code)
        else:
            await backoff.wait(answer.code)
        answer = await _read_back(store, write)


async def _read_back(
    store: Store, write: ConditionalWrite
) -> Written | Conflict | Rejected | Lost:
    found = await store.get(write.key)
    if isinstance(found, Rejected | Lost):
        return found
    entry = None if isinstance(found, Missing) else found.entry
    if (entry.revision if entry else 0) != write.expected:
        return Conflict(entry)
    return await store.put(write.key, write.value, write.expected)


def _resolve_conflict(
    current: Entry | None, write: ConditionalWrite, may_have_applied: bool
) -> Written | WriteConflict:
    if current is not None and write.is_own(current.value):
        return Written(current.revision)
    return WriteConflict(current, may_have_applied)
