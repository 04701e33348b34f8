"""The jobs whose callers were refused and told when to return."""

from typing import NamedTuple

import xxhash

from damaskdeck.coordination.pools.admission.work import NO_WORK, Work

# A caller may return this much earlier than it was told, by the resolution of
# ``Retry-After`` and the differences between clocks.
EARLY_SECONDS = 1.0
# A caller that is later than this is treated like a new one.
LATE_SECONDS = 4.0
# The most jobs that one report names.
MAX_REPORTED = 256
# The most jobs that are remembered, as memory has to be bounded under any load.
MAX_RETURNING = 4096


def hash_job(identifier: str) -> int:
    """Return the number of 8 bytes that stands for a job in messages."""
    return xxhash.xxh64_intdigest(identifier.encode())


class _Return(NamedTuple):
    due_at: float
    work: Work


class ReturningJobs:
    """Remembers refused jobs until their callers have returned or are overdue.

    All times are monotonic seconds. Jobs are named by :func:`hash_job`.
    """

    def __init__(self) -> None:
        self._returns: dict[int, _Return] = {}

    def add(self, job: int, due_at: float, work: Work) -> None:
        """Remember a refused job; a repeated refusal replaces the earlier one."""
        if len(self._returns) < MAX_RETURNING or job in self._returns:
            self._returns[job] = _Return(due_at, work)

    def discard(self, job: int) -> None:
        """Forget a job, which was accepted."""
        self._returns.pop(job, None)

    def list_due(self, now: float) -> list[int]:
        """List the jobs whose callers may return now, the earliest first."""
        self._drop_overdue(now)
        due = [
            (entry.due_at, job)
            for job, entry in self._returns.items()
            if entry.due_at <= now + EARLY_SECONDS
        ]
        return [job for _, job in sorted(due)[:MAX_REPORTED]]

    def sum_work(self, now: float) -> Work:
        """Return the work of all jobs whose callers are expected to return."""
        self._drop_overdue(now)
        total = NO_WORK
        for entry in self._returns.values():
            total = total.plus(entry.work)
        return total

    def _drop_overdue(self, now: float) -> None:
        overdue = [
            job
            for job, entry in self._returns.items()
            if entry.due_at + LATE_SECONDS < now
        ]
        for job in overdue:
            del self._returns[job]
