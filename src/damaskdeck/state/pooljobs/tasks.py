"""The tasks of steps; those exist that something has happened to."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from damaskdeck.protocol.queues import TaskName
from damaskdeck.state.indexranges import IndexRanges
from damaskdeck.state.pooljobs.runs import Run

if TYPE_CHECKING:
    from damaskdeck.state.pooljobs.steps import Step


class Task:
    """One task; it waits when it has neither completed nor a run.

    :ivar failed_on: workers on which an attempt failed or was abandoned.
    :ivar moves: number of times it was moved off a slow worker.
    """

    __slots__ = (
        "_checkpoint",
        "attempt",
        "failed_on",
        "moves",
        "name",
        "runs",
        "step",
    )

    def __init__(self, step: "Step", name: TaskName) -> None:
        self.step = step
        self.name = name
        self.attempt = 0
        self._checkpoint = ""
        self.failed_on: set[str] = set()
        self.moves = 0
        self.runs: list[Run] = []

    @property
    def is_completed(self) -> bool:
        """Whether it has completed."""
        return self.name.index in self.step.tasks.completed

    @property
    def is_waiting(self) -> bool:
        """Whether the task must be started, for the first time or again."""
        return not self.runs and not self.is_completed

    @property
    def checkpoint(self) -> str:
        """From where its next start resumes; that of any member is valid for a gang."""
        step = self.step
        return step.gang_checkpoint if step.spec.is_gang else self._checkpoint

    @checkpoint.setter
    def checkpoint(self, checkpoint: str) -> None:
        if self.step.spec.is_gang:
            self.step.gang_checkpoint = checkpoint
        else:
            self._checkpoint = checkpoint

    def add_run(self, run: Run) -> None:
        """Add a run, which counts until it is removed."""
        self.runs.append(run)
        self.step.tasks.keep(self)
        self.step.job.add_run(run)

    def remove_run(self, run: Run) -> None:
        """Remove a run that is over, if the task has it."""
        if run in self.runs:
            self.runs.remove(run)
            self.step.tasks.update(self)
            self.step.job.remove_run(run)


class Tasks:
    """The tasks of one step.

    A task is created when it is used first, and only its index is kept once it has
    completed and nothing of it runs any more. The members of a gang are all or none
    started, so the first run creates them all.

    :ivar completed: the indexes of the tasks that have completed.
    """

    __slots__ = ("_known", "_returned", "_step", "_untouched", "completed")

    def __init__(self, step: "Step") -> None:
        self._step = step
        self._known: dict[int, Task] = {}
        # Those of the known tasks that wait.
        self._returned: dict[int, Task] = {}
        self._untouched = IndexRanges([range(step.spec.tasks)])
        self.completed = IndexRanges()

    def __len__(self) -> int:
        return self._step.spec.tasks

    def __getitem__(self, index: int) -> Task:
        if not 0 <= index < len(self):
            raise IndexError(index)
        task = self._known.get(index)
        if task is None:
            task = self._build(index)
            if index not in self.completed:
                self.keep(task)
        return task

    def __iter__(self) -> Iterator[Task]:
        """Yield all tasks, which creates them."""
        return map(self.__getitem__, range(len(self)))

    def _build(self, index: int) -> Task:
        step = self._step
        name = TaskName(step.job.identifier, step.occurrence, step.number, index)
        return Task(step, name)

    def list_known(self) -> list[Task]:
        """List the tasks that exist."""
        return list(self._known.values())

    @property
    def are_untouched(self) -> bool:
        """Whether nothing has happened to any task."""
        return not (self._known or self.completed)

    def keep(self, task: Task) -> None:
        """Let a task exist until it has completed and has no runs."""
        index = task.name.index
        self._known[index] = task
        self._untouched.discard(index)
        self.update(task)

    def update(self, task: Task) -> None:
        """Update whether a task waits, and whether it has to exist."""
        index = task.name.index
        if task.is_waiting:
            self._returned[index] = task
            return
        self._returned.pop(index, None)
        if not task.runs:
            self._known.pop(index, None)

    def complete(self, index: int) -> None:
        """Record that a task has completed."""
        self.completed.add(index)
        self._untouched.discard(index)
        task = self._known.get(index)
        if task is not None:
            self.update(task)

    def complete_all(self) -> None:
        """Record that all tasks have completed."""
        self.completed = IndexRanges([range(len(self))])
        self._untouched = IndexRanges()
        for task in self.list_known():
            self.update(task)

    def restore_completed(self, completed: IndexRanges) -> None:
        """Record which tasks have completed, before any of them is used."""
        self.completed = completed
        for each in completed.list_ranges():
            self._untouched.discard_range(each.start, each.stop)

    def is_waiting(self, index: int) -> bool:
        """Whether a task must be started."""
        return index in self._untouched or index in self._returned

    def count_waiting(self) -> int:
        """Count the tasks that must be started."""
        return len(self._untouched) + len(self._returned)

    def count_returned(self) -> int:
        """Count those of them that were started before."""
        return len(self._returned)

    def list_waiting_indexes(self, limit: int | None = None) -> list[int]:
        """List the indexes of the tasks that must be started, lowest first."""
        if limit is None:
            limit = self.count_waiting()
        return sorted((*self._returned, *self._untouched.list_first(limit)))[:limit]

    def list_waiting(self, limit: int | None = None) -> list[Task]:
        """List the tasks that must be started, lowest index first.

        Those that were never started exist from their first run on.
        """
        return [
            self._known.get(index) or self._build(index)
            for index in self.list_waiting_indexes(limit)
        ]
