"""Shapes and jobs that found no room, so that they aren't tried again in vain."""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.queues.waiting import Shape
from damaskdeck.protocol.sizes import Size, fits


class Block(NamedTuple):
    """A shape that found no room.

    :param rank: of the class for which it failed; less urgent ones fail too.
    :param within: whether its team was within its quota; if it was, teams
        above theirs fail too, as they may take nothing back.
    :param reason: plain words, as in ``memory``.
    """

    rank: int
    within: bool
    shape: Shape
    reason: str


class Blocks:
    """Remembers failed shapes until room appears or a time has passed.

    :param duration: how long a failure is believed; room may also appear
        where nobody tells, as by a budget that fills again.
    """

    def __init__(self, duration: timedelta) -> None:
        self._duration = duration
        self._since = timedelta()
        self._blocks: list[Block] = []
        self._epoch = 0
        self.skipped: set[str] = set()

    def __len__(self) -> int:
        return len(self._blocks)

    @property
    def epoch(self) -> int:
        """Rises when something was forgotten; until then failures only add up."""
        return self._epoch

    def expire(self, now: timedelta) -> None:
        """Forget everything once the oldest failure is too old."""
        if now - self._since >= self._duration:
            self._epoch += bool(self._blocks)
            self._blocks.clear()
            self.skipped.clear()
            self._since = now

    def add(self, block: Block) -> None:
        """Remember a failure; the failures that it covers go."""
        self._blocks = [old for old in self._blocks if not _covers(block, old)]
        self._blocks.append(block)

    def find(self, rank: int, within: bool, shape: Shape) -> Block | None:
        """Return a failure that says that ``shape`` would fail too."""
        wanted = Block(rank, within, shape, "")
        for block in self._blocks:
            if _covers(block, wanted):
                return block
        return None

    def open(self, room: Size) -> None:
        """Note that one worker now has ``room``; forget what may fit it."""
        kept = [block for block in self._blocks if not fits(block.shape.size, room)]
        self._epoch += len(kept) < len(self._blocks)
        self._blocks = kept


def _covers(block: Block, other: Block) -> bool:
    """Tell whether the failure of ``block`` means that ``other`` fails."""
    return (
        block.rank <= other.rank
        and block.within >= other.within
        and block.shape.constraint == other.shape.constraint
        and block.shape.tasks <= other.shape.tasks
        and fits(block.shape.size, other.shape.size)
    )
