"""Backoff of tasks before they are placed again."""

import heapq
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.state.jobmodel import Task

BACKOFF = timedelta(seconds=1)
BACKOFF_LIMIT = timedelta(seconds=60)
# Number of attempts that may end without a failure, such as refused starts, before
# the task backs off.
FREE_RETURNS = 3
RETURN_BACKOFF = timedelta(milliseconds=200)
RETURN_BACKOFF_LIMIT = timedelta(seconds=10)
PRESSED_AFTER = timedelta(seconds=5)


class _Deferral(NamedTuple):
    attempt: int
    until: timedelta


class Deferrals:
    """Backoff of tasks that failed, were requeued or were refused capacity."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pauses: dict[str, timedelta] = {}
        self._deferrals: dict[str, _Deferral] = {}
        self._due_times: list[tuple[timedelta, str]] = []

    def pause(self, task: str, delay: timedelta) -> None:
        """Defer a task until ``delay`` has passed."""
        until = self._clock.monotonic() + delay
        self._pauses[task] = until
        heapq.heappush(self._due_times, (until, task))

    def is_deferred(self, task: Task) -> bool:
        """Return whether a queued task must wait longer.

        A pause, and a delay that depends on the task's attempts, both apply.
        """
        now = self._clock.monotonic()
        if self._pauses.get(task.name, now) > now:
            return True
        self._pauses.pop(task.name, None)
        if not task.attempt:
            return False
        deferral = self._deferrals.get(task.name)
        if deferral is None or deferral.attempt != task.attempt:
            until = now + compute_delay(task)
            deferral = self._deferrals[task.name] = _Deferral(task.attempt, until)
            if until > now:
                heapq.heappush(self._due_times, (until, task.name))
        return deferral.until > now

    def is_pressed(self, task: Task) -> bool:
        """Return whether a task has waited long for a worker it hasn't failed on."""
        deferral = self._deferrals.get(task.name)
        if deferral is None:
            return False
        return self._clock.monotonic() - deferral.until >= PRESSED_AFTER

    def pop_due(self) -> tuple[str, ...]:
        """Remove and return the tasks whose delay has ended."""
        now = self._clock.monotonic()
        due = []
        while self._due_times and self._due_times[0][0] <= now:
            due.append(heapq.heappop(self._due_times)[1])
        return tuple(due)

    def discard(self, task: str) -> None:
        """Discard a task that will never wait again."""
        self._pauses.pop(task, None)
        self._deferrals.pop(task, None)


def compute_delay(task: Task) -> timedelta:
    """Return the delay after the last attempt of a task."""
    if task.failures:
        doublings = min(task.failures - 1, 10)
        return min(BACKOFF * 2**doublings, BACKOFF_LIMIT)
    returns = task.attempt - FREE_RETURNS
    if returns <= 0:
        return timedelta()
    return min(RETURN_BACKOFF * 2 ** min(returns, 10), RETURN_BACKOFF_LIMIT)
