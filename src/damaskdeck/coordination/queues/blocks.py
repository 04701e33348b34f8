"""Shapes and jobs that couldn't be placed, to avoid useless repeated attempts."""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.queues.waiting import Shape
from damaskdeck.protocol.sizes import Size, fits


class Block(NamedTuple):
    """A shape that couldn't be placed.

    :param rank: rank of the urgency class for which it failed. It would also fail
        for less urgent ones.
    :param within_quota: whether its team was within its quota. If it was, the
        shape also fails for teams above theirs, because they may not take back
        any quota.
    :param reason: the reason for people to read, such as ``memory``.
    """

    rank: int
    within_quota: bool
    shape: Shape
    reason: str


class Blocks:
    """Stores failed shapes until capacity becomes free or they expire.

    :param duration: how long a failure is valid. It has to expire because
        capacity may become available without notice, for example when the
        preemption budget refills.
    """

    def __init__(self, duration: timedelta) -> None:
        self._duration = duration
        self._oldest_at = timedelta()
        self._blocks: list[Block] = []
        self._generation = 0
        self.skipped: set[str] = set()

    def __len__(self) -> int:
        return len(self._blocks)

    @property
    def generation(self) -> int:
        """Counter that increases whenever failures are removed.

        While it is unchanged, failures are only added.
        """
        return self._generation

    def expire(self, now: timedelta) -> None:
        """Remove everything once the oldest failure has expired."""
        if now - self._oldest_at >= self._duration:
            self._generation += bool(self._blocks)
            self._blocks.clear()
            self.skipped.clear()
            self._oldest_at = now

    def add(self, block: Block) -> None:
        """Add a failure and remove the failures that it covers."""
        self._blocks = [old for old in self._blocks if not _covers(block, old)]
        self._blocks.append(block)

    def find(self, rank: int, within_quota: bool, shape: Shape) -> Block | None:
        """Return a failure that implies that ``shape`` would also fail, if any."""
        wanted = Block(rank, within_quota, shape, "")
        for block in self._blocks:
            if _covers(block, wanted):
                return block
        return None

    def remove_fitting(self, capacity: Size) -> None:
        """Remove the shapes that may fit into the free ``capacity`` of one worker."""
        remaining = [
            block for block in self._blocks if not fits(block.shape.size, capacity)
        ]
        self._generation += len(remaining) < len(self._blocks)
        self._blocks = remaining


def _covers(block: Block, other: Block) -> bool:
    """Return whether the failure of ``block`` implies that ``other`` fails."""
    return (
        block.rank <= other.rank
        and block.within_quota >= other.within_quota
        and block.shape.constraint == other.shape.constraint
        and block.shape.tasks <= other.shape.tasks
        and fits(block.shape.size, other.shape.size)
    )
