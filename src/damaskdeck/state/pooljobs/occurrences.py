"""The occurrences of jobs: all steps of a job, once."""

from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING

from damaskdeck.state.pooljobs.steps import Step

if TYPE_CHECKING:
    from damaskdeck.state.pooljobs.jobs import Job


class Occurrence(Sequence[Step]):
    """The steps of one occurrence of a job.

    :ivar due_at: monotonic seconds when it was due, or its job arrived.
    """

    def __init__(self, job: "Job", number: int, due_at: float) -> None:
        self.job = job
        self.number = number
        self.due_at = due_at
        self._steps = tuple(
            Step(self, index, spec) for index, spec in enumerate(job.record.spec.steps)
        )

    def __len__(self) -> int:
        return len(self._steps)

    def __getitem__(self, number: int) -> Step:  # type: ignore[override]
        return self._steps[number]

    def __iter__(self) -> Iterator[Step]:
        return iter(self._steps)

    @property
    def is_completed(self) -> bool:
        """Whether all of its steps have completed."""
        return all(step.is_completed for step in self._steps)

    @property
    def has_runs(self) -> bool:
        """Whether there are runs of its tasks."""
        return any(True for step in self._steps for _ in step.list_runs())

    def complete(self) -> None:
        """Record that all of its tasks have completed."""
        for step in self._steps:
            step.complete_all()
