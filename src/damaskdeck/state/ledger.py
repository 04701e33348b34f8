"""A durable log in the store with one keeper at a time and group commit."""

import asyncio
import contextlib
import uuid
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.ports import Lost, Rejected, Store
from damaskdeck.state.compaction import Compaction
from damaskdeck.state.images import Image
from damaskdeck.state.log import LASTING_CODES, Appended, Deposed, Log
from damaskdeck.state.opening import Opening
from damaskdeck.state.pace import Pace
from damaskdeck.state.segments import (
    SEGMENT_OVERHEAD,
    Keys,
    measure_records,
)
from damaskdeck.state.writes import Backoff

COMMIT_TIMEOUT = timedelta(seconds=4)
QUEUE_LIMIT = 10_000
SLOTS = 512
COMPACTION_SIZE = 8_000_000

Apply = Callable[[tuple[bytes, ...]], None]
TakeSnapshot = Callable[[], tuple[bytes, ...]]

_log = get_logger("ledger")


class Opened(NamedTuple):
    """This keeper may commit now.

    :param snapshot: records of the last snapshot, as ``take_snapshot`` gave them.
    :param records: records committed since, in order.
    """

    snapshot: tuple[bytes, ...]
    records: tuple[bytes, ...]


class Committed(NamedTuple):
    """The records are durable.

    :param sequence: place in the log; commits of one append share it.
    """

    sequence: int


class _Pending:
    """A commit that waits for its append."""

    def __init__(self, records: tuple[bytes, ...], deadline: timedelta) -> None:
        self.records = records
        self.size = measure_records(records)
        self.deadline = deadline
        self.is_sent = False
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[Committed | Deposed | Rejected | Lost]
        self.answer = loop.create_future()

    def settle(self, outcome: Committed | Deposed | Rejected | Lost) -> None:
        """Answer the caller, unless it was answered or cancelled before."""
        if not self.answer.done():
            self.answer.set_result(outcome)


class Ledger:
    """A durable log with group commit: one append is in flight, the rest waits.

    The state that the records describe must change in ``apply`` only: then a
    snapshot always matches the log.

    :param name: of the ledger, as in ``03``.
    :param take_snapshot: returns records that describe the state after all
        records applied so far; must not wait. Not called before the first
        :meth:`commit`, so replay what :meth:`open` returned before that.
    :param apply: called with the records of each commit, in order of the log,
        once they are durable and before :meth:`commit` returns, also when the
        caller has gone; must not wait. Not called for what :meth:`open` returns.
    :param append_interval: shortest time between two appends under load.
    :param commit_timeout: longest time that :meth:`commit` waits.
    :param value_limit: bytes of the largest value that the store takes.
    :param slots: how many keys the log uses in turn, if the ledger is new.
    :param identify: returns a new unique identifier for a write.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        clock: Clock,
        take_snapshot: TakeSnapshot,
        apply: Apply,
        *,
        append_interval: timedelta = defaults.APPEND_INTERVAL,
        commit_timeout: timedelta = COMMIT_TIMEOUT,
        value_limit: int = defaults.VALUE_LIMIT,
        slots: int = SLOTS,
        queue_limit: int = QUEUE_LIMIT,
        identify: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self.name = name
        self._keys = Keys(name)
        self._store = store
        self._clock = clock
        self._take_snapshot = take_snapshot
        self._apply = apply
        self._pace = Pace(clock, append_interval)
        self._commit_timeout = commit_timeout
        self._value_limit = value_limit
        self._slots = slots
        self._queue_limit = queue_limit
        self._identify = identify
        self._log: Log | None = None
        self._compaction: Compaction | None = None
        self._is_closing = False
        self._refusal = Rejected("store_unavailable")
        self._queue: deque[_Pending] = deque()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._failure: Exception | None = None

    async def open(self, epoch: int) -> Opened | Rejected | Lost:
        """Fence off all keepers of lower epochs, then read what they committed.

        May be called again after ``Rejected`` or ``Lost``.

        :param epoch: from :meth:`Ownership.get_epoch`.
        :returns: ``Rejected("epoch_passed")`` if a higher epoch has opened it.
        """
        if self._log is not None:
            return Rejected("already_open")
        until = self._clock.monotonic() + self._commit_timeout
        opening = Opening(
            self._store,
            self._clock,
            self._keys,
            self._slots,
            epoch,
            until,
            self._value_limit,
            self._identify,
        )
        image = await opening.run()
        if not isinstance(image, Image):
            count_refusal("ledger", image.code)
            return image
        self._hold(image, epoch)
        _log.info("Opened.", ledger=self.name, epoch=epoch, sequence=image.last)
        return Opened(image.snapshot, image.records)

    async def commit(
        self, records: tuple[bytes, ...]
    ) -> Committed | Deposed | Rejected | Lost:
        """Make records durable, all or none of them.

        Promise: "When the system says a request was not run, it truly did not
        run." A caller that is cancelled while it waits may find its records
        committed or not.

        :returns: ``Deposed`` and ``Rejected`` only if none will ever be replayed;
            ``Lost`` if that could not be learned within the commit timeout.
        """
        refusal = self._refuse(records)
        if refusal is not None:
            if isinstance(refusal, Rejected):
                count_refusal("ledger", refusal.code)
            return refusal
        deadline = self._clock.monotonic() + self._commit_timeout
        pending = _Pending(records, deadline)
        self._queue.append(pending)
        self._start("append", self._append_all)
        self._start("expire", self._expire_all)
        return await pending.answer

    async def close(self) -> None:
        """Take no more commits, let those that wait end, and stop."""
        self._is_closing = True
        while any(not pending.answer.done() for pending in self._queue):
            await asyncio.wait([pending.answer for pending in self._queue])
        for task in self._tasks.values():
            task.cancel()
        for task in self._tasks.values():
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def _hold(self, image: Image, epoch: int) -> None:
        self._log = Log(
            self._store,
            self._clock,
            self._keys,
            image,
            epoch,
            self._value_limit,
            self._identify,
        )
        self._compaction = Compaction(
            self._store,
            self._clock,
            self._keys,
            self._log,
            self._take_snapshot,
            image.leftovers,
            self._value_limit,
            self._identify,
        )

    def _refuse(self, records: tuple[bytes, ...]) -> Deposed | Rejected | None:
        if self._failure is not None:
            raise self._failure
        if self._log is None or self._is_closing:
            return Rejected("not_open")
        if self._log.deposed is not None:
            return self._log.deposed
        if len(self._queue) >= self._queue_limit:
            return Rejected("queue_full")
        room = self._value_limit - SEGMENT_OVERHEAD
        if any(measure_records([record]) > room for record in records):
            return Rejected("value_too_large", f"at most {room} bytes a record")
        return None

    def _start(self, name: str, act: Callable[[], object]) -> None:
        task = self._tasks.get(name)
        if task is None or task.done():
            self._tasks[name] = asyncio.ensure_future(self._guard(act))

    async def _guard(self, act: Callable[[], object]) -> None:
        try:
            await act()
        except Exception as error:
            _log.error("Stopped by a fault.", ledger=self.name, fault=repr(error))
            self._failure = error
            for pending in self._queue:
                if not pending.answer.done():
                    pending.answer.set_exception(error)
            self._queue.clear()

    async def _append_all(self) -> None:
        backoff = Backoff(self._clock)
        while self._queue:
            await self._pace.wait()
            group = self._take_group()
            if not group:
                continue
            self._compact_if_due()
            outcome = await self._append(group)
            if isinstance(outcome, Rejected) and outcome.code not in LASTING_CODES:
                self._refusal = _name_refusal(outcome)
                await backoff.wait(outcome.code)
                continue
            backoff = Backoff(self._clock)
            self._settle(group, outcome)

    async def _expire_all(self) -> None:
        """Answer each commit that has waited too long with what is proved."""
        while waiting := [p for p in self._queue if not p.answer.done()]:
            await self._clock.sleep(waiting[0].deadline - self._clock.monotonic())
            now = self._clock.monotonic()
            for pending in waiting:
                if pending.deadline <= now and not pending.answer.done():
                    self._expire(pending)

    def _expire(self, pending: _Pending) -> None:
        if pending.is_sent:
            pending.settle(Lost("answer_lost", "the store has not answered in time"))
            return
        count_refusal("ledger", self._refusal.code)
        pending.settle(self._refusal)

    def _take_group(self) -> list[_Pending]:
        """Return the commits of the next append; they stay in the queue."""
        self._queue = deque(p for p in self._queue if not p.answer.done())
        group: list[_Pending] = []
        size = SEGMENT_OVERHEAD
        for pending in self._queue:
            size += pending.size
            if group and size > self._value_limit:
                break
            group.append(pending)
        return group

    async def _append(
        self, group: list[_Pending]
    ) -> Appended | Deposed | Rejected | Lost:
        for pending in group:
            pending.is_sent = True
        records = tuple(record for pending in group for record in pending.records)
        outcome = await self._log.append(
            records, lambda: any(not pending.answer.done() for pending in group)
        )
        for pending in group:
            pending.is_sent = False
        return outcome

    def _settle(
        self, group: list[_Pending], outcome: Appended | Deposed | Rejected | Lost
    ) -> None:
        for _ in group:
            self._queue.popleft()
        if isinstance(outcome, Rejected):
            count_refusal("ledger", outcome.code, len(group))
        for pending in group:
            if isinstance(outcome, Appended):
                self._apply(pending.records)
                pending.settle(Committed(outcome.sequence))
            else:
                pending.settle(outcome)
        if self._log.deposed is not None:
            self._settle_deposed(self._log.deposed)

    def _settle_deposed(self, deposed: Deposed) -> None:
        while self._queue:
            self._queue.popleft().settle(deposed)

    def _compact_if_due(self) -> None:
        if self._is_due() or self._compaction.has_leftovers:
            self._start("compact", self._compact)

    async def _compact(self) -> None:
        await self._compaction.run(self._is_due)

    def _is_due(self) -> bool:
        log = self._log
        limit = max(COMPACTION_SIZE, 2 * self._compaction.snapshot_size)
        covered = log.closed - log.head.base
        return covered >= log.head.slots // 2 or (covered > 0 and log.size >= limit)


def _name_refusal(outcome: Rejected) -> Rejected:
    if outcome.code == "unreachable":
        return Rejected("store_unavailable", outcome.code)
    return outcome
