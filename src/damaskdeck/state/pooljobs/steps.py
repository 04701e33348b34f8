"""The steps of jobs."""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

from damaskdeck.errors import MessageError
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.state.crashcounts import CrashCounts, to_sets, to_tuples
from damaskdeck.state.indexranges import decode_indexes
from damaskdeck.state.jobrecords import StepProgress
from damaskdeck.state.pooljobs.runs import Run
from damaskdeck.state.pooljobs.tasks import Task, Tasks

if TYPE_CHECKING:
    from damaskdeck.state.pooljobs.jobs import Job
    from damaskdeck.state.pooljobs.occurrences import Occurrence

# The index under which the failures of a gang are stored.
GANG_INDEX = -1


# What a checkpoint takes in a record beside its text.
CHECKPOINT_BYTES = 12


class CheckpointRoom:
    """How many bytes the checkpoints of a job may take in its record.

    :ivar left_out: the number of the checkpoints that had no room.
    """

    def __init__(self, size: float = math.inf) -> None:
        self._size = size
        self.left_out = 0

    def take(self, checkpoint: str) -> bool:
        """Return whether there is room for one more checkpoint, and use it."""
        needed = CHECKPOINT_BYTES + len(checkpoint.encode())
        if needed > self._size:
            self.left_out += 1
            return False
        self._size -= needed
        return True


class Step:
    """One step of one occurrence of a job.

    :ivar siblings: all steps of its occurrence.
    :ivar tasks: its tasks, which are created when their turn comes.
    :ivar name: the name by which the advisor knows it.
    :ivar failures: failed attempts by task index; :data:`GANG_INDEX` for a gang.
    :ivar crash_counts: crashes of the workers that ran its tasks.
    :ivar gang_checkpoint: the last checkpoint of any member of a gang.
    :ivar constrained_since: since when there is no capacity where it runs best,
        ``None`` if there is.
    :ivar not_before: monotonic seconds until which a gang waits that could not start.
    :ivar waiting_since: monotonic seconds since when tasks of it wait, ``None`` if none
        does; counted anew after each order.
    :ivar incomplete_since: the same, counted from when the first of the tasks that wait
        may have begun to do so.
    """

    __slots__ = (
        "crash_counts",
        "failures",
        "gang_checkpoint",
        "incomplete_since",
        "job",
        "name",
        "not_before",
        "number",
        "constrained_since",
        "spec",
        "siblings",
        "tasks",
        "waiting_since",
    )

    def __init__(self, occurrence: "Occurrence", number: int, spec: StepSpec) -> None:
        self.job: Job = occurrence.job
        self.siblings = occurrence
        self.number = number
        self.name = f"{self.job.identifier}.{self.occurrence}.{number}"
        self.spec = spec
        self.constrained_since: float | None = None
        self.gang_checkpoint = ""
        self.failures: dict[int, set[int]] = {}
        self.crash_counts = CrashCounts()
        self.not_before = 0.0
        self.waiting_since: float | None = None
        self.incomplete_since: float | None = None
        self.tasks = Tasks(self)

    @property
    def occurrence(self) -> int:
        """The number of its occurrence."""
        return self.siblings.number

    @property
    def due_at(self) -> float:
        """Monotonic seconds when its occurrence was due, or its job arrived."""
        return self.siblings.due_at

    @property
    def completed(self) -> int:
        """The number of its tasks that have completed."""
        return len(self.tasks.completed)

    @property
    def is_completed(self) -> bool:
        """Whether all tasks have completed."""
        return self.completed == self.spec.tasks

    @property
    def crashes(self) -> dict[int, set[int]]:
        """Attempts whose workers crashed, by task index."""
        return self.crash_counts.crashes

    @property
    def has_crashes(self) -> bool:
        """Whether workers may have crashed while they ran tasks of this step."""
        return bool(self.crash_counts)

    @property
    def is_due(self) -> bool:
        """Whether all steps before it have completed, and it has not."""
        return not self.is_completed and self.siblings.is_due(self.number)

    @property
    def has_waiting(self) -> bool:
        """Whether tasks of it wait, whether or not these may start."""
        return bool(self.tasks.count_waiting())

    @property
    def is_untouched(self) -> bool:
        """Whether nothing has happened to any of its tasks."""
        return self.tasks.are_untouched and not (self.failures or self.crash_counts)

    def list_runs(self) -> Iterator[Run]:
        """Yield the runs of its tasks."""
        for task in self.tasks.list_known():
            yield from task.runs

    def _count_held(self) -> int:
        """Count the waiting tasks that must not start at present."""
        return sum(
            self.tasks.is_waiting(index) and self.crash_counts.is_held(index)
            for index in self.crash_counts.unconfirmed
        )

    def count_waiting(self) -> int:
        """Count the tasks to start; all or none of a gang."""
        held = self._count_held()
        if self.spec.is_gang and (held or any(self.list_runs())):
            return 0
        return self.tasks.count_waiting() - held

    def list_waiting(self, limit: int | None = None) -> list[Task]:
        """List the tasks to start; all or none of a gang.

        :param limit: the most tasks to list, all if ``None``.
        """
        held = self._count_held()
        if self.spec.is_gang and (held or any(self.list_runs())):
            return []
        if not held:
            return self.tasks.list_waiting(limit)
        waiting = self.tasks.list_waiting(None if limit is None else limit + held)
        startable = [t for t in waiting if not self.crash_counts.is_held(t.name.index)]
        return startable[:limit]

    def complete(self, task: Task) -> None:
        """Record that a task, or with it its whole gang, has completed."""
        if self.spec.is_gang:
            self.complete_all()
            return
        before = self.completed
        self.tasks.complete(task.name.index)
        self.failures.pop(task.name.index, None)
        self._record_completed(before)

    def complete_all(self) -> None:
        """Record that all tasks have completed."""
        before = self.completed
        self.tasks.complete_all()
        self._record_completed(before)

    def _record_completed(self, before: int) -> None:
        if self.siblings.has_completed(self.number):
            return
        self.job.record_completed_tasks(self, self.completed - before)
        self.job.update_waiting(self)
        if self.is_completed:
            self.siblings.complete_step(self.number)
            self.siblings.release(self)

    def fail(self, task: Task, attempt: int) -> int:
        """Record a failed attempt and return the number of failed attempts."""
        key = GANG_INDEX if self.spec.is_gang else task.name.index
        attempts = self.failures.setdefault(key, set())
        attempts.add(attempt)
        return len(attempts)

    def store_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Store a checkpoint."""
        if checkpoint:
            task.checkpoint = checkpoint

    def summarize(self, room: CheckpointRoom) -> StepProgress | None:
        """Return the durable progress, ``None`` when there is none.

        :param room: for the checkpoints of all steps of its job.
        """
        completed = self.tasks.completed.encode()
        failures = to_tuples(self.failures)
        checkpoints = self._list_checkpoints(room)
        if not (completed or failures or checkpoints or self.crashes):
            return None
        return StepProgress(
            self.occurrence,
            self.number,
            completed,
            failures,
            checkpoints,
            to_tuples(self.crash_counts.crashes),
            to_tuples(self.crash_counts.suspected),
        )

    def _list_checkpoints(self, room: CheckpointRoom) -> dict[int, str]:
        if self.spec.is_gang:
            found = {0: self.gang_checkpoint} if self.gang_checkpoint else {}
        else:
            found = {
                task.name.index: task.checkpoint
                for task in self.tasks.list_known()
                if task.checkpoint and not task.is_completed
            }
        return {index: text for index, text in found.items() if room.take(text)}

    def restore(self, progress: StepProgress) -> None:
        """Restore durable progress.

        :raises MessageError: when the progress names a task that the step lacks.
        """
        count = len(self.tasks)
        if not all(0 <= index < count for index in progress.checkpoints):
            raise MessageError("a checkpoint is of no task of its step")
        before = self.completed
        self.tasks.restore_completed(decode_indexes(progress.completed, count))
        self._record_completed(before)
        self.failures = to_sets(progress.failures)
        self.crash_counts.restore(progress)
        for index, checkpoint in progress.checkpoints.items():
            self.tasks[index].checkpoint = checkpoint
