"""The queue of commits that wait to be appended, in the order of their calls."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.ports import Lost, Rejected
from damaskdeck.state.log import Deposed
from damaskdeck.state.segments import SEGMENT_OVERHEAD_BYTES, measure_records


class Committed(NamedTuple):
    """The records are durable.

    :param sequence: position in the log; all commits of one append share it.
    """

    sequence: int


CommitOutcome = Committed | Deposed | Rejected | Lost


class Commit:
    """A commit in the queue.

    :param deadline: monotonic time at which its caller gets a result in any case.
    :ivar is_sent: whether an append with its records is in progress and may take
        effect.
    :ivar result: resolved with the outcome.
    """

    def __init__(self, records: tuple[bytes, ...], deadline: timedelta) -> None:
        self.records = records
        self.size = measure_records(records)
        self.deadline = deadline
        self.is_sent = False
        self.result: asyncio.Future[CommitOutcome]
        self.result = asyncio.get_running_loop().create_future()

    @property
    def is_waiting(self) -> bool:
        """Whether the caller has neither a result nor been cancelled."""
        return not self.result.done()

    def settle(self, outcome: CommitOutcome) -> None:
        """Return an outcome to the caller if it still waits."""
        if self.is_waiting:
            self.result.set_result(outcome)

    def fail(self, error: Exception) -> None:
        """Raise an error in the caller if it still waits."""
        if self.is_waiting:
            self.result.set_exception(error)


class CommitQueue:
    """All commits that wait or are being appended.

    :ivar refusal: result of commits that could not be sent before their deadline.
    """

    def __init__(self, clock: Clock) -> None:
        self.refusal = Rejected("store_unavailable")
        self._clock = clock
        self._commits: deque[Commit] = deque()

    def __len__(self) -> int:
        return len(self._commits)

    def add(self, commit: Commit) -> None:
        """Append a commit to the queue."""
        self._commits.append(commit)

    def list_waiting(self) -> list[Commit]:
        """List the commits whose callers still wait, in order."""
        return [commit for commit in self._commits if commit.is_waiting]

    def take_group(self, value_limit: int) -> list[Commit]:
        """Return the commits of the next append; they stay in the queue.

        Commits whose callers no longer wait are dropped.

        :param value_limit: size in bytes; a single commit may exceed it.
        """
        self._commits = deque(self.list_waiting())
        group: list[Commit] = []
        size = SEGMENT_OVERHEAD_BYTES
        for commit in self._commits:
            size += commit.size
            if group and size > value_limit:
                break
            group.append(commit)
        return group

    def remove_group(self, group: list[Commit]) -> None:
        """Remove the group that :meth:`take_group` returned last, after its append."""
        self.refusal = Rejected("store_unavailable")
        for _ in group:
            self._commits.popleft()

    def settle_all(self, settle: Callable[[Commit], None]) -> None:
        """Empty the queue and call ``settle`` with each commit."""
        while self._commits:
            settle(self._commits.popleft())

    async def expire(self) -> None:
        """Answer each commit that has reached its deadline with what is known of it.

        The result is ``Lost`` if its append may take effect, and :attr:`refusal` if it
        was not sent.
        """
        while waiting := self.list_waiting():
            await self._clock.sleep(waiting[0].deadline - self._clock.monotonic())
            now = self._clock.monotonic()
            for commit in waiting:
                if commit.deadline <= now and commit.is_waiting:
                    commit.settle(self._build_expired_outcome(commit))

    def _build_expired_outcome(self, commit: Commit) -> Rejected | Lost:
        if commit.is_sent:
            return Lost("answer_lost", "the store did not reply in time")
        count_refusal("ledger", self.refusal.code)
        return self.refusal
