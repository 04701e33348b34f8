"""The steps of jobs and their tasks."""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from damaskdeck.errors import MessageError
from damaskdeck.protocol.queues import StepSpec, TaskName
from damaskdeck.state.crashcounts import CrashCounts, to_sets, to_tuples
from damaskdeck.state.indexranges import IndexRanges, decode_indexes
from damaskdeck.state.jobrecords import StepProgress
from damaskdeck.state.pooljobs.runs import Run

if TYPE_CHECKING:
    from damaskdeck.state.pooljobs.jobs import Job
    from damaskdeck.state.pooljobs.occurrences import Occurrence

# The index under which the failures of a gang are stored.
GANG_INDEX = -1


class Task:
    """One task; it waits when it has neither completed nor a run.

    :ivar failed_on: workers on which an attempt failed or was abandoned.
    :ivar moves: number of times it was moved off a slow worker.
    """

    __slots__ = (
        "attempt",
        "checkpoint",
        "failed_on",
        "is_completed",
        "moves",
        "name",
        "runs",
        "step",
    )

    def __init__(self, step: "Step", name: TaskName) -> None:
        self.step = step
        self.name = name
        self.attempt = 0
        self.checkpoint = ""
        self.failed_on: set[str] = set()
        self.moves = 0
        self.is_completed = False
        self.runs: list[Run] = []

    @property
    def is_waiting(self) -> bool:
        """Whether the task must be started, for the first time or again."""
        return not self.is_completed and not self.runs

    def add_run(self, run: Run) -> None:
        """Add a run, which counts until it is removed."""
        self.runs.append(run)
        self.step.job.add_run(run)

    def remove_run(self, run: Run) -> None:
        """Remove a run that is over, if the task has it."""
        if run in self.runs:
            self.runs.remove(run)
            self.step.job.remove_run(run)


class Step:
    """One step of one occurrence of a job.

    :ivar steps: all steps of its occurrence.
    :ivar name: the name by which the advisor knows it.
    :ivar failures: failed attempts by task index; :data:`GANG_INDEX` for a gang.
    :ivar crash_counts: crashes of the workers that ran its tasks.
    :ivar constrained_since: since when there is no capacity where it runs best,
        ``None`` if there is.
    :ivar not_before: monotonic seconds until which a gang waits that could not start.
    :ivar waiting_since: monotonic seconds since when tasks of it wait, ``None`` if none
        does; counted anew after each order.
    :ivar incomplete_since: the same, counted from when the first of the tasks that wait
        may have begun to do so.
    """

    __slots__ = (
        "completed",
        "crash_counts",
        "failures",
        "incomplete_since",
        "job",
        "name",
        "not_before",
        "number",
        "constrained_since",
        "spec",
        "steps",
        "tasks",
        "waiting_since",
    )

    def __init__(self, occurrence: "Occurrence", number: int, spec: StepSpec) -> None:
        self.job: Job = occurrence.job
        self.steps = occurrence
        self.number = number
        self.name = f"{self.job.identifier}.{self.occurrence}.{number}"
        self.spec = spec
        self.constrained_since: float | None = None
        self.completed = 0
        self.failures: dict[int, set[int]] = {}
        self.crash_counts = CrashCounts()
        self.not_before = 0.0
        self.waiting_since: float | None = None
        self.incomplete_since: float | None = None
        self.tasks = [
            Task(self, TaskName(self.job.identifier, self.occurrence, number, index))
            for index in range(spec.tasks)
        ]

    @property
    def occurrence(self) -> int:
        """The number of its occurrence."""
        return self.steps.number

    @property
    def due_at(self) -> float:
        """Monotonic seconds when its occurrence was due, or its job arrived."""
        return self.steps.due_at

    @property
    def is_completed(self) -> bool:
        """Whether all tasks have completed."""
        return self.completed == len(self.tasks)

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
        return not self.is_completed and self.steps.is_due(self.number)

    @property
    def has_waiting(self) -> bool:
        """Whether tasks of it wait, whether or not these may start."""
        return any(task.is_waiting for task in self.tasks)

    @property
    def is_untouched(self) -> bool:
        """Whether nothing has happened to any of its tasks."""
        has_failed = bool(self.failures or self.crash_counts)
        return not (self.completed or has_failed) and all(
            task.is_waiting and not task.attempt for task in self.tasks
        )

    def list_runs(self) -> Iterator[Run]:
        """Yield the runs of its tasks."""
        for task in self.tasks:
            yield from task.runs

    def list_waiting(self) -> list[Task]:
        """List the tasks to start; all or none of a gang."""
        if self.spec.is_gang and any(task.runs for task in self.tasks):
            return []
        waiting = [task for task in self.tasks if task.is_waiting]
        if not self.crash_counts.unconfirmed:
            return waiting
        startable = [t for t in waiting if not self.crash_counts.is_held(t.name.index)]
        is_gang_held = self.spec.is_gang and len(startable) < len(waiting)
        return [] if is_gang_held else startable

    def count_waiting(self) -> int:
        """Count the tasks to start."""
        return len(self.list_waiting())

    def complete(self, task: Task) -> None:
        """Record that a task, or with it its whole gang, has completed."""
        self._complete(self.tasks if self.spec.is_gang else (task,))

    def complete_all(self) -> None:
        """Record that all tasks have completed."""
        self._complete(self.tasks)

    def _complete(self, tasks: Iterable[Task]) -> None:
        before = self.completed
        for task in tasks:
            if not task.is_completed:
                task.is_completed = True
                self.completed += 1
        if self.steps.has_completed(self.number):
            return
        self.job.record_completed_tasks(self, self.completed - before)
        self.job.update_waiting(self)
        if self.is_completed:
            self.steps.complete_step(self.number)
            self.steps.release(self)

    def fail(self, task: Task, attempt: int) -> int:
        """Record a failed attempt and return the number of failed attempts."""
        key = GANG_INDEX if self.spec.is_gang else task.name.index
        attempts = self.failures.setdefault(key, set())
        attempts.add(attempt)
        return len(attempts)

    def store_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Store a checkpoint; that of any member is valid for its gang."""
        if checkpoint:
            for member in self.tasks if self.spec.is_gang else (task,):
                member.checkpoint = checkpoint

    def summarize(self) -> StepProgress | None:
        """Return the durable progress, ``None`` when there is none."""
        ranges = IndexRanges()
        for task in self.tasks:
            if task.is_completed:
                ranges.add(task.name.index)
        completed = ranges.encode()
        failures = to_tuples(self.failures)
        checkpoints = {
            t.name.index: t.checkpoint
            for t in self.tasks
            if t.checkpoint and not t.is_completed
        }
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

    def restore(self, progress: StepProgress) -> None:
        """Restore durable progress.

        :raises MessageError: when the progress names a task that the step lacks.
        """
        count = len(self.tasks)
        if not all(0 <= index < count for index in progress.checkpoints):
            raise MessageError("a checkpoint is of no task of its step")
        completed = decode_indexes(progress.completed, count)
        self._complete([self.tasks[index] for index in completed])
        self.failures = to_sets(progress.failures)
        self.crash_counts.restore(progress)
        for index, checkpoint in progress.checkpoints.items():
            self.tasks[index].checkpoint = checkpoint
