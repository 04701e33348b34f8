"""Group commit of the owner's changes, one in flight, fenced.

Each commit expects the fence key as the one before left it and writes it anew, so
a write that the network kept, or that a deposed owner sends, changes nothing.
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
from damaskdeck.metrics import count_retry, observe_latency
from damaskdeck.protocol.ports import Entry, Written
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

# The fence key is named twice: as expected and as written.
FENCE_ENTRIES = 2

_log = get_logger("journal")


class Batch(NamedTuple):
    """Changes gathered at one moment.

    :param done: called once all of them are durable.
    """

    writes: tuple[Write, ...]
    removals: tuple[str, ...]
    done: Callable[[], None]


class Journal:
    """Writes the changes of an owner in the order in which they were gathered.

    :ivar revision: of the fence key as it was last written.
    :param gather: returns what has changed since it was last called, ``None``
        when nothing has.
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
        self._has_work = asyncio.Event()
        self._is_urgent = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []

    def wake(self) -> None:
        """Say that there is something to gather."""
        self._has_work.set()

    def expedite(self) -> None:
        """Commit what has changed without waiting for company."""
        self._has_work.set()
        self._is_urgent.set()

    async def flush(self) -> None:
        """Wait until all that has changed up to now is durable."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self.expedite()
        await waiter

    async def flush_batched(self) -> None:
        """As :meth:`flush`, but let other changes share the commit."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._has_work.set()
        await waiter

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
                if not await self._commit(batch):
                    return
                batch.done()
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def _commit(self, batch: Batch) -> bool:
        room = self._store.entry_limit - FENCE_ENTRIES
        changes: list[Write | str] = [*batch.writes, *batch.removals]
        for start in range(0, len(changes), room):
            if not await self._commit_part(changes[start : start + room]):
                return False
        return True

    async def _commit_part(self, changes: list[Write | str]) -> bool:
        """Commit until it is known to have taken effect; ``False`` if deposed."""
        numbers = set()
        while True:
            self._number += 1
            numbers.add(self._number)
            sent = self._clock.monotonic().total_seconds()
            done = await self._store.commit(self._build(changes))
            if isinstance(done, Mismatch):
                done = self._settle(done.find(FENCE_KEY), numbers)
                if done is None:
                    self._leadership.step_down("the fence has moved")
                    return False
            if isinstance(done, Written):
                took = self._clock.monotonic().total_seconds() - sent
                observe_latency("journal", "commit", took)
                self.revision = done.revision
                self._leadership.confirm(sent)
                return True
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

    def _settle(self, fence: Entry | None, numbers: set[int]) -> Written | None:
        """Tell whether one of the tries that seemed lost moved the fence."""
        if fence is None:
            return None
        try:
            record = decode_record(FenceRecord, fence.value)
        except MessageError as error:
            _log.error("The fence can't be read.", error=str(error))
            return None
        if record.epoch == self._epoch and record.number in numbers:
            return Written(fence.revision)
        return None
