"""A record of all runs on all workers, which tests check for violations."""

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
    """A task that was started while it was running elsewhere."""

    start: Start
    other: Start


class Overfill(NamedTuple):
    """A worker whose tasks exceed its capacity.

    :param used: total size of the tasks that it runs.
    :param time: monotonic time.
    """

    worker: str
    used: Size
    time: timedelta


class RunLog:
    """Records every start and the overlaps it causes; shared by all workers."""

    def __init__(self) -> None:
        self.starts: list[Start] = []
        self.overlaps: list[Overlap] = []
        self.overfills: list[Overfill] = []
        self.counts: Counter[str] = Counter()
        self._active: dict[str, dict[Start, Callable[[], None]]] = {}

    def begin(self, start: Start, refresh: Callable[[], None]) -> None:
        """Record a start.

        :param refresh: updates the worker's state to the current time, so that a
            run that has ended by now does not count as an overlap.
        """
        for other, refresh_other in list(self._active.get(start.task, {}).items()):
            refresh_other()
            if other in self._active.get(start.task, {}):
                self.overlaps.append(Overlap(start, other))
        self.starts.append(start)
        self.counts[start.task] += 1
        self._active.setdefault(start.task, {})[start] = refresh

    def end(self, start: Start) -> None:
        """Record the end of a run."""
        active = self._active.get(start.task, {})
        active.pop(start, None)
        if not active:
            self._active.pop(start.task, None)
