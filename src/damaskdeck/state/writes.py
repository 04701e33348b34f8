"""Compare-and-swap writes whose outcome is learned even if an answer is lost."""

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
from damaskdeck.state.backing import Backing

FIRST_BACKOFF = timedelta(milliseconds=50)
LAST_BACKOFF = timedelta(seconds=1)


class Write(NamedTuple):
    """A write that must take effect at most once.

    :param expected: revision of the entry that it replaces, 0 for none.
    :param is_own: tells by a stored value whether this write put it there.
    """

    key: str
    value: bytes
    expected: int
    is_own: Callable[[bytes], bool]


class Clash(NamedTuple):
    """Another writer's value stands at the key.

    :param in_doubt: whether an answer was lost before, so that this write may
        have taken effect and been replaced since.
    """

    current: Entry | None
    in_doubt: bool


class Backoff:
    """Waits that double up to a limit."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._wait = FIRST_BACKOFF

    async def wait(self, reason: str) -> None:
        """Wait before the next try and count it."""
        count_retry("ledger", reason)
        wait, self._wait = self._wait, min(2 * self._wait, LAST_BACKOFF)
        await self._clock.sleep(wait)


async def write_once(
    backing: Backing, write: Write, until: timedelta | None = None
) -> Written | Clash | Rejected | Lost:
    """Write and find out what became of it.

    After a lost answer the key is read back. If the old entry still stands,
    the lost call may yet arrive; the same call is made again, and the
    compare-and-swap lets only one of them take effect.

    :param until: monotonic time at which an unresolved write is given up as
        ``Lost``; never, if ``None``.
    :returns: ``Rejected`` only if the write is proved to have no effect.
    """
    store, clock = backing.store, backing.clock
    backoff = Backoff(clock)
    answer = await store.put(write.key, write.value, write.expected)
    if isinstance(answer, Rejected):
        return answer
    in_doubt = isinstance(answer, Lost)
    is_first = True
    while True:
        if isinstance(answer, Written):
            return answer
        if isinstance(answer, Conflict):
            return _judge(answer.current, write, in_doubt)
        if until is not None and clock.monotonic() >= until:
            return Lost(answer.code, answer.detail)
        if is_first:
            is_first = False
            count_retry("ledger", answer.code)
        else:
            await backoff.wait(answer.code)
        answer = await _read_back(store, write)


async def _read_back(
    store: Store, write: Write
) -> Written | Conflict | Rejected | Lost:
    found = await store.get(write.key)
    if isinstance(found, Rejected | Lost):
        return found
    entry = None if isinstance(found, Missing) else found.entry
    if (entry.revision if entry else 0) != write.expected:
        return Conflict(entry)
    return await store.put(write.key, write.value, write.expected)


def _judge(current: Entry | None, write: Write, in_doubt: bool) -> Written | Clash:
    if current is not None and write.is_own(current.value):
        return Written(current.revision)
    return Clash(current, in_doubt)
