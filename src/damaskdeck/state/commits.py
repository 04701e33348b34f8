"""Commits that wait for their append, in the order of their callers."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.ports import Lost, Rejected
from damaskdeck.state.log import Deposed
from damaskdeck.state.segments import SEGMENT_OVERHEAD, measure_records


class Committed(NamedTuple):
    """The records are durable.

    :param sequence: place in the log; commits of one append share it.
    """

    sequence: int


CommitOutcome = Committed | Deposed | Rejected | Lost


class Commit:
    """A commit in the queue.

    :param deadline: monotonic time at which its caller is answered anyway.

    ``is_sent`` tells whether an append with its records may take effect.
    """

    def __init__(self, records: tuple[bytes, ...], deadline: timedelta) -> None:
        self.records = records
        self.size = measure_records(records)
        self.deadline = deadline
        self.is_sent = False
        self.answer: asyncio.Future[CommitOutcome]
        self.answer = asyncio.get_running_loop().create_future()

    @property
    def is_waiting(self) -> bool:
        """Whether the caller was neither answered nor cancelled."""
        return not self.answer.done()

    def settle(self, outcome: CommitOutcome) -> None:
        """Answer the caller if it still waits."""
        if self.is_waiting:
            self.answer.set_result(outcome)

    def fail(self, error: Exception) -> None:
        """Let the caller meet a broken invariant."""
        if self.is_waiting:
            self.answer.set_exception(error)


class CommitQueue:
    """All commits that wait or are being appended.

    ``refusal`` is what those are told that could not be sent in time.
    """

    def __init__(self, clock: Clock) -> None:
        self.refusal = Rejected("store_unavailable")
        self._clock = clock
        self._commits: deque[Commit] = deque()

    def __len__(self) -> int:
        return len(self._commits)

    def add(self, commit: Commit) -> None:
        """Put a commit at the end."""
        self._commits.append(commit)

    def list_waiting(self) -> list[Commit]:
        """List the commits whose callers still wait, in order."""
        return [commit for commit in self._commits if commit.is_waiting]

    def take_group(self, value_limit: int) -> list[Commit]:
        """Return the commits of the next append; they stay in the queue.

        Those whose callers have gone are dropped.

        :param value_limit: bytes; one commit alone may be larger.
        """
        self._commits = deque(self.list_waiting())
        group: list[Commit] = []
        size = SEGMENT_OVERHEAD
        for commit in self._commits:
            size += commit.size
            if group and size > value_limit:
                break
            group.append(commit)
        return group

    def remove_group(self, group: list[Commit]) -> None:
        """Remove what :meth:`take_group` returned last; the store has answered."""
        self.refusal = Rejected("store_unavailable")
        for _ in group:
            self._commits.popleft()

    def settle_all(self, settle: Callable[[Commit], None]) -> None:
        """Empty the queue."""
        while self._commits:
            settle(self._commits.popleft())

    async def expire(self) -> None:
        """Answer each commit that waits too long with what is proved of it."""
        while waiting := self.list_waiting():
            await self._clock.sleep(waiting[0].deadline - self._clock.monotonic())
            now = self._clock.monotonic()
            for commit in waiting:
                if commit.deadline <= now and commit.is_waiting:
                    commit.settle(self._tell_expired(commit))

    def _tell_expired(self, commit: Commit) -> Rejected | Lost:
        if commit.is_sent:
            return Lost("answer_lost", "the store has not answered in time")
        count_refusal("ledger", self.refusal.code)
        return self.refusal
