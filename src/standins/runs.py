"""What ran where and when, over all workers, for tests to judge."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.protocol.sizes import Size


class Start(NamedTuple):
    """A start of a task.

    :param time: monotonic time.
    """

    task: str
    attempt: int
    worker: str
    time: timedelta


class Overlap(NamedTuple):
    """A task that started while it was running elsewhere."""

    start: Start
    other: Start


class Overfill(NamedTuple):
    """A worker that was given more than it holds.

    :param used: the sum of all that it runs.
    """

    worker: str
    used: Size
    time: timedelta


class RunLog:
    """Records each start and judges it; shared by all workers."""

    def __init__(self) -> None:
        self.starts: list[Start] = []
        self.overlaps: list[Overlap] = []
        self.overfills: list[Overfill] = []
        self.counts: Counter[str] = Counter()
        self._active: dict[str, dict[Start, Callable[[], None]]] = {}

    def begin(self, start: Start, bring_up: Callable[[], None]) -> None:
        """Record a start.

        :param bring_up: brings the worker's state up to the present time, so
            that a run that has ended by now is no overlap.
        """
        for other, bring_other_up in list(self._active.get(start.task, {}).items()):
            bring_other_up()
            if other in self._active.get(start.task, {}):
                self.overlaps.append(Overlap(start, other))
        self.starts.append(start)
        self.counts[start.task] += 1
        self._active.setdefault(start.task, {})[start] = bring_up

    def end(self, start: Start) -> None:
        """Record that a run has ended."""
        active = self._active.get(start.task, {})
        active.pop(start, None)
        if not active:
            self._active.pop(start.task, None)
