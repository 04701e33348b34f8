"""The owner's journal: fenced group commits of its changes, one at a time.

Each commit expects the fence key as the previous commit left it, and writes it again.
A write that was delayed by the network, or that comes from a deposed owner, therefore
changes nothing.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.coordination.pools.delegatedcommits import DelegatingStore
from damaskdeck.coordination.pools.leadership import RETRY_DELAY, Leadership
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, count_retry, observe_latency
from damaskdeck.protocol.ports import INVALID_CALL, Entry, Written
from damaskdeck.protocol.transactions import (
    Mismatch,
    Transaction,
    Write,
)
from damaskdeck.state.jobrecords import (
    FENCE_KEY,
    FenceRecord,
    decode_record,
    encode_record,
)

# A transaction names the fence key twice: as expected and as written.
FENCE_ENTRIES = 2

_log = get_logger("journal")


class Batch(NamedTuple):
    """Changes that were gathered at one moment.

    :param on_durable: Called once the changes are durable, with the keys of those that
        the store refuses for good.
    """

    writes: tuple[Write, ...]
    removals: tuple[str, ...]
    on_durable: Callable[[frozenset[str]], None]


class Journal:
    """Commits the changes of an owner in the order in which they were gathered.

    :param gather: Returns the changes since its last call, ``None`` if there are none.
    :ivar revision: The revision of the fence key after the last commit.
    """

    def __init__(
        self,
        term: OwnerTerm,
        leadership: Leadership,
        store: DelegatingStore,
        clock: Clock,
        times: PoolTimes,
        gather: Callable[[], Batch | None],
    ) -> None:
        self._epoch = term.epoch
        self.revision = term.fence
        self._leadership = leadership
        self._store = store
        self._clock = clock
        self._times = times
        self._gather = gather
        self._number = 0
        self._commit_count = 0
        self._has_work = asyncio.Event()
        self._is_urgent = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []

    def wake(self) -> None:
        """Signal that there are changes to gather."""
        self._has_work.set()

    def expedite(self) -> None:
        """Commit the changes without waiting to fill a batch."""
        self._has_work.set()
        self._is_urgent.set()

    async def flush(self) -> None:
        """Wait until all changes up to now are durable."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self.expedite()
        await waiter

    async def flush_batched(self) -> None:
        """Wait as in :meth:`flush`, but let other changes share the commit."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._has_work.set()
        await waiter

    def take_commit_count(self) -> int:
        """Return the number of commits since the last call."""
        count, self._commit_count = self._commit_count, 0
        return count

    async def run(self) -> None:
        """Commit until cancelled or deposed."""
        while True:
            await self._has_work.wait()
            if not self._is_urgent.is_set():
                await wait_for_event(
                    self._is_urgent, self._times.batch_delay, self._clock
                )
            self._has_work.clear()
            self._is_urgent.clear()
            waiters, self._waiters = self._waiters, []
            batch = self._gather()
            if batch is not None:
                refused = await self._commit(batch)
                if refused is None:
                    return
                batch.on_durable(frozenset(refused))
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def _commit(self, batch: Batch) -> list[str] | None:
        """Commit changes in their order.

        :returns: the keys of those that were refused for good, ``None`` if deposed.
        """
        limit = self._store.entry_limit - FENCE_ENTRIES
        return await self._commit_parts([*batch.writes, *batch.removals], limit)

    async def _commit_parts(
        self, changes: list[Write | str], size: int
    ) -> list[str] | None:
        refused: list[str] = []
        for start in range(0, len(changes), size):
            found = await self._commit_part(changes[start : start + size])
            if found is None:
                return None
            refused += found
        return refused

    async def _commit_part(self, changes: list[Write | str]) -> list[str] | None:
        """Retry a commit until it has taken effect.

        One that is refused for good is divided, so that it keeps nothing else back.

        :returns: as :meth:`_commit`.
        """
        numbers = set()
        while True:
            self._number += 1
            self._commit_count += 1
            numbers.add(self._number)
            sent_at = self._clock.monotonic().total_seconds()
            done = await self._store.commit(self._build(changes))
            if isinstance(done, Mismatch):
                done = self._resolve_mismatch(done.find(FENCE_KEY), numbers)
                if done is None:
                    self._leadership.step_down("the fence has moved")
                    return None
            if isinstance(done, Written):
                duration = self._clock.monotonic().total_seconds() - sent_at
                observe_latency("journal", "commit", duration)
                self.revision = done.revision
                self._leadership.confirm(sent_at)
                return []
            if getattr(done, "code", "") == INVALID_CALL and changes:
                if len(changes) > 1:
                    return await self._commit_parts(changes, len(changes) // 2)
                return [_report_refusal(changes[0], done.detail)]
            count_retry("journal", getattr(done, "code", "lapsed"))
            await self._clock.sleep(RETRY_DELAY)

    def _build(self, changes: list[Write | str]) -> Transaction:
        fence = encode_record(FenceRecord(self._epoch, self._number))
        writes = [change for change in changes if isinstance(change, Write)]
        removals = [change for change in changes if isinstance(change, str)]
        return Transaction(
            ((FENCE_KEY, self.revision),),
            (Write(FENCE_KEY, fence), *writes),
            tuple(removals),
        )

    def _resolve_mismatch(
        self, fence: Entry | None, numbers: set[int]
    ) -> Written | None:
        """Return the result of the attempt that wrote the fence despite a lost reply.

        The result is ``None`` if none of these attempts wrote the fence.
        """
        if fence is None:
            return None
        try:
            record = decode_record(FenceRecord, fence.value)
        except MessageError as error:
            _log.error("Failed to decode the fence.", error=str(error))
            return None
        if record.epoch == self._epoch and record.number in numbers:
            return Written(fence.revision)
        return None


def _report_refusal(change: Write | str, detail: str) -> str:
    """Log a change that the store refuses for good, and return its key."""
    key = change.key if isinstance(change, Write) else change
    _log.error(
        "The store refuses a change for good.",
        code=INVALID_CALL,
        key=key,
        bytes=len(change.value) if isinstance(change, Write) else 0,
        status=detail,
    )
    count_drop("journal", "refused")
    return key
