"""Starts of one job's tasks that have to be durable before they are ordered."""

from collections import Counter
from collections.abc import Iterable
from itertools import chain
from typing import TypeVar

from damaskdeck.protocol.queues import TaskName
from damaskdeck.state.jobrecords import (
    RecordedStart,
    StartsRecord,
    UnconfirmedCrash,
    encode_record,
)

StartOrCrash = TypeVar("StartOrCrash", RecordedStart, UnconfirmedCrash)

# In the name of a task: all of them. A step's tasks, or those of the whole job, may be
# too many to be named one by one.
ALL = -1
# What the lengths of two long arrays take in a record.
HEADER_BYTES = 10


class RecordedStarts:
    """The tasks whose starts are recorded, each with its latest start."""

    def __init__(self) -> None:
        self._starts: dict[TaskName, RecordedStart] = {}
        self._is_stored = False

    def require(self, task: TaskName) -> None:
        """Require that each further start of a task is recorded.

        :param task: its index, or all of its numbers, may be :data:`ALL`.
        """
        self._starts.setdefault(task, RecordedStart(task))

    def is_required(self, task: TaskName) -> bool:
        """Whether a start of a task has to be durable before it is ordered."""
        return task in self._starts or self._is_required_for_all(task)

    def _is_required_for_all(self, task: TaskName) -> bool:
        return bool(self._starts) and (
            task._replace(index=ALL) in self._starts
            or TaskName(task.job, ALL, ALL, ALL) in self._starts
        )

    def record(self, task: TaskName, attempt: int, worker: str) -> None:
        """Record a start that is about to be ordered."""
        self._starts[task] = RecordedStart(task, attempt, worker)

    def clear(self, task: TaskName, attempt: int) -> bool:
        """Forget a start whose outcome is known; return whether it was recorded."""
        start = self._starts.get(task)
        if start is None or start.attempt != attempt:
            return False
        if self._is_required_for_all(task):
            del self._starts[task]
        else:
            self._starts[task] = RecordedStart(task)
        return True

    def discard(self, task: TaskName) -> None:
        """Stop recording the starts of a task."""
        self._starts.pop(task, None)

    def list_unsettled(self) -> list[RecordedStart]:
        """List the starts whose outcome is not known."""
        return [start for start in self._starts.values() if start.attempt]

    def summarize(self, unconfirmed: tuple[UnconfirmedCrash, ...]) -> StartsRecord:
        """Return the record to store."""
        self._is_stored = True
        return StartsRecord(tuple(self._starts.values()), unconfirmed)

    def restore(self, record: StartsRecord) -> None:
        """Restore what is durable."""
        self._is_stored = True
        self._starts.update((start.task, start) for start in record.starts)

    @property
    def must_store(self) -> bool:
        """Whether there is anything to store, or to replace in the store."""
        return bool(self._starts) or self._is_stored


def shorten_starts(record: StartsRecord, job: str, limit: int) -> StartsRecord:
    """Return what matters most of a record, no longer than a limit when encoded.

    All starts of the job are recorded from then on, whether their tasks are named or
    not. Of the rest, possible crashes come first, those of the tasks with most of them
    before others: these are the next to reach their limit.

    :param limit: in bytes.
    """
    starts = [RecordedStart(TaskName(job, ALL, ALL, ALL))]
    unconfirmed: list[UnconfirmedCrash] = []
    counts = Counter(crash.task for crash in record.unconfirmed)
    unsettled = (start for start in record.starts if start.attempt)
    room = limit - len(encode_record(StartsRecord(tuple(starts)))) - HEADER_BYTES
    rows = chain(
        ((unconfirmed, c) for c in _sort_by_count(record.unconfirmed, counts)),
        ((starts, start) for start in _sort_by_count(unsettled, counts)),
    )
    for kept, row in rows:
        room -= len(encode_record(row))
        if room < 0:
            break
        kept.append(row)
    return StartsRecord(tuple(starts), tuple(unconfirmed))


def _sort_by_count(
    rows: Iterable[StartOrCrash], counts: Counter[TaskName]
) -> list[StartOrCrash]:
    return sorted(rows, key=lambda row: -counts[row.task])
