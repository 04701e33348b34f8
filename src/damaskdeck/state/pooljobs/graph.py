"""What is the same for all occurrences of a job: the order of its steps."""

from array import array

from damaskdeck.protocol.queues import StepSpec
from damaskdeck.protocol.sizes import ZERO_SIZE, add_sizes
from damaskdeck.state.indexranges import IndexRanges
from damaskdeck.state.quotas import scale_size


class StepGraph:
    """The order of a job's steps, worked out once.

    :ivar roots: numbers of the steps that follow no other.
    :ivar dependents: numbers of the steps that directly follow a step, by its number.
    :ivar tails: seconds from the start of a step to the end of the longest chain that
        begins with it, by estimates.
    :ivar longest_first: the numbers of the steps, longest tail first.
    :ivar tasks: number of the tasks of all steps.
    :ivar use: size of all tasks.
    :ivar max_use: size of all runs that there can be, with copies of tasks.
    """

    def __init__(self, steps: tuple[StepSpec, ...]) -> None:
        self.dependents: dict[int, list[int]] = {}
        for number, step in enumerate(steps):
            for earlier in set(step.after):
                self.dependents.setdefault(earlier, []).append(number)
        self.roots = IndexRanges(
            range(number, number + 1)
            for number, step in enumerate(steps)
            if not step.after
        )
        self.tails = self._measure_tails(steps)
        order = sorted(range(len(steps)), key=self.tails.__getitem__, reverse=True)
        self.longest_first = array("L", order)
        self.tasks = sum(step.tasks for step in steps)
        self.use = self.max_use = ZERO_SIZE
        for step in steps:
            size = scale_size(step.size, step.tasks)
            self.use = add_sizes(self.use, size)
            self.max_use = add_sizes(
                self.max_use, scale_size(size, count_max_runs(step))
            )

    def _measure_tails(self, steps: tuple[StepSpec, ...]) -> "array[float]":
        tails = array("d", bytes(8 * len(steps)))
        for number in reversed(range(len(steps))):
            following = self.dependents.get(number, ())
            rest = max((tails[n] for n in following), default=0.0)
            tails[number] = steps[number].estimate.total_seconds() + rest
        return tails

    @property
    def critical_path(self) -> float:
        """Seconds that the longest chain of steps takes, by estimates."""
        return self.tails[self.longest_first[0]] if self.longest_first else 0.0


def count_max_runs(step: StepSpec) -> int:
    """Return how many runs one task of a step may have at a time."""
    return 2 if step.is_speculative else 1
