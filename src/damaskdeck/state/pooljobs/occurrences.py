"""The occurrences of jobs: all steps of a job, once."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from damaskdeck.state.indexranges import IndexRanges
from damaskdeck.state.jobrecords import WHOLE, StepProgress
from damaskdeck.state.pooljobs.steps import CheckpointRoom, Step

if TYPE_CHECKING:
    from damaskdeck.state.pooljobs.jobs import Job

# Up to this many completed steps of a job are stored one by one, as earlier versions
# read them.
MAX_LISTED_STEPS = 16


class Occurrence:
    """The steps of one occurrence of a job.

    A step is created when it is used first, and only its number is kept once it has
    completed and nothing of it runs any more.

    :ivar due_at: monotonic seconds when it was due, or its job arrived.
    """

    def __init__(self, job: "Job", number: int, due_at: float) -> None:
        self.job = job
        self.number = number
        self.due_at = due_at
        self._steps: dict[int, Step] = {}
        self._completed = IndexRanges()
        # Steps that may start and don't exist yet; the postponed ones come last.
        self._ready = IndexRanges(job.graph.roots.list_ranges())
        self._postponed = IndexRanges()
        # Of steps that follow a completed one, how many others they wait for.
        self._unmet: dict[int, int] = {}
        # Position of the longest incomplete tail in the graph's order.
        self._longest = 0

    def __getitem__(self, number: int) -> Step:
        step = self._steps.get(number)
        if step is None:
            step = Step(self, number, self.job.record.spec.steps[number])
            if number in self._completed:
                step.complete_all()
            else:
                self.keep(step)
        return step

    def list_steps(self) -> list[Step]:
        """List the steps that exist."""
        return list(self._steps.values())

    def find(self, number: int) -> Step | None:
        """Return a step if it exists."""
        return self._steps.get(number)

    def keep(self, step: Step) -> None:
        """Let a step exist until it has completed and has no runs."""
        number = step.number
        self._steps[number] = step
        self._ready.discard(number)
        self._postponed.discard(number)
        self.job.update_waiting(step)

    # Turns -------------------------------------------------------------------

    @property
    def has_ready(self) -> bool:
        """Whether steps that may start don't exist yet."""
        return bool(self._ready)

    @property
    def has_postponed(self) -> bool:
        """Whether such steps were postponed."""
        return bool(self._postponed)

    def take_ready(self) -> Step | None:
        """Create the first step that may start, ``None`` if there is none."""
        numbers = self._ready.list_first(1)
        return self[numbers[0]] if numbers else None

    def postpone(self, step: Step) -> None:
        """Let a step that nothing was started of take its turn again later."""
        self._steps.pop(step.number, None)
        self._postponed.add(step.number)

    def resume_postponed(self) -> None:
        """Let the postponed steps take their turn."""
        for each in self._postponed.list_ranges():
            self._ready.add_range(each.start, each.stop)
        self._postponed = IndexRanges()

    def is_due(self, number: int) -> bool:
        """Whether all steps before a step have completed."""
        after = self.job.record.spec.steps[number].after
        return not after or self._unmet.get(number) == 0

    def has_completed(self, number: int) -> bool:
        """Whether a step has completed."""
        return number in self._completed

    # Completion --------------------------------------------------------------

    @property
    def is_completed(self) -> bool:
        """Whether all of its steps have completed."""
        return len(self._completed) == len(self.job.record.spec.steps)

    @property
    def has_runs(self) -> bool:
        """Whether there are runs of its tasks."""
        return any(True for step in self._steps.values() for _ in step.list_runs())

    def complete(self) -> None:
        """Record that all of its steps have completed before."""
        self._completed.add_range(0, len(self.job.record.spec.steps))
        self._ready = IndexRanges()

    def complete_step(self, number: int) -> None:
        """Record that a step has completed; those that follow it may start."""
        if number in self._completed:
            return
        self._completed.add(number)
        self._ready.discard(number)
        self._postponed.discard(number)
        self._unmet.pop(number, None)
        steps = self.job.record.spec.steps
        for following in self.job.graph.dependents.get(number, ()):
            unmet = self._unmet.get(following)
            if unmet is None:
                unmet = len(set(steps[following].after))
            self._unmet[following] = unmet - 1
            if unmet == 1:
                self._begin_turn(following)
        self.job.record_completion(self)

    def _begin_turn(self, number: int) -> None:
        step = self._steps.get(number)
        if step is not None:
            self.job.update_waiting(step)
        elif number not in self._completed:
            self._ready.add(number)
            self.job.record_ready(self)

    def release(self, step: Step) -> None:
        """Keep only the number of a step that has completed, if it has no runs."""
        if step.is_completed and not any(step.list_runs()):
            self._steps.pop(step.number, None)

    def measure_remaining_path(self) -> float:
        """Return the seconds of the longest remaining chain of steps, by estimates."""
        graph = self.job.graph
        order = graph.longest_first
        while self._longest < len(order) and order[self._longest] in self._completed:
            self._longest += 1
        return graph.tails[order[self._longest]] if self._longest < len(order) else 0.0

    # Durable progress --------------------------------------------------------

    def summarize(self, room: CheckpointRoom) -> Iterator[StepProgress]:
        """Yield the durable progress of its steps.

        :param room: for the checkpoints of all steps of its job.
        """
        if len(self._completed) > MAX_LISTED_STEPS:
            yield StepProgress(self.number, WHOLE, self._completed.encode())
        else:
            yield from self.list_completed()
        for step in self._steps.values():
            if step.number not in self._completed:
                progress = step.summarize(room)
                if progress is not None:
                    yield progress

    def list_completed(self) -> Iterator[StepProgress]:
        """Yield the progress of the completed steps, one by one."""
        for number in self._completed:
            tasks = IndexRanges([range(self.job.record.spec.steps[number].tasks)])
            yield StepProgress(self.number, number, tasks.encode())
