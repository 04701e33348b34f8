"""The naive scheduler as a baseline in the replay: arrival order, first fit."""

from collections import deque
from datetime import timedelta
from itertools import groupby

from benchmarks.replay import Cell, Task
from damaskdeck.protocol.sizes import fits
from tests.naive_scheduler import NaiveScheduler


class NaiveQueue:
    """Starts jobs strictly in order of arrival; the first one blocks the rest.

    :param skips: whether later jobs may start before one that doesn't fit.
    """

    interval = timedelta()

    def __init__(self, cell: Cell, skips: bool = False) -> None:
        self._naive = NaiveScheduler(cell.mix.workers)
        self._skips = skips
        self._queue: deque[list[Task]] = deque()
        self._may_fit = True

    def submit(self, cell: Cell, tasks: list[Task]) -> None:
        """Append a job to the queue; the tasks of a gang stay together."""
        if not any(
            fits(tasks[0].size, worker.size)
            and (not tasks[0].arrival.zones or worker.zone in tasks[0].arrival.zones)
            for worker in cell.mix.workers
        ):
            for task in tasks:
                cell.refuse(task)
            return
        if tasks[0].arrival.type == "gang":
            self._queue.append(tasks)
        else:
            self._queue.extend([task] for task in tasks)
        self._may_fit = True

    def end(self, cell: Cell, task: Task, has_failed: bool) -> None:
        """Release a task's resources; a failed task goes to the end of the queue."""
        self._naive.stop(task.name)
        if task.state == "waiting":
            self._queue.append([task])
        self._may_fit = True

    def step(self, cell: Cell) -> None:
        """Start jobs from the head of the queue while they fit."""
        if self._skips:
            self._start_all_fitting(cell)
            return
        while self._queue and self._start_if_fits(cell, self._queue[0]):
            self._queue.popleft()

    def _start_all_fitting(self, cell: Cell) -> None:
        if not self._may_fit:
            return
        self._may_fit = False
        waiting: deque[list[Task]] = deque()
        for _, jobs in groupby(self._queue, lambda tasks: tasks[0].arrival.job):
            is_full = False
            for tasks in jobs:
                is_full = is_full or not self._start_if_fits(cell, tasks)
                if is_full:
                    waiting.append(tasks)
        self._queue = waiting

    def _start_if_fits(self, cell: Cell, tasks: list[Task]) -> bool:
        placed = self._naive.place_all([task.make_need() for task in tasks])
        if placed is None:
            return False
        for task in tasks:
            cell.start(task, placed[task.name])
        return True
