"""A naive scheduler to compare with: scans every worker, first fit, in order."""

from collections.abc import Iterable

from damaskdeck.protocol.ports import Instance, InstanceState
from damaskdeck.protocol.sizes import Size, add_sizes, fits
from damaskdeck.state.accounts import TaskNeed


class NaiveScheduler:
    """Keeps nothing but a list of workers and of what runs on each."""

    def __init__(self, workers: Iterable[Instance]) -> None:
        self.workers = {worker.name: worker for worker in workers}
        self.running: dict[str, dict[str, Size]] = {name: {} for name in self.workers}

    def find_free(self, worker: str) -> Size:
        """Add up what runs on a worker and return the rest."""
        used = Size()
        for size in self.running[worker].values():
            used = add_sizes(used, size)
        total = self.workers[worker].size
        return Size(total[0] - used[0], total[1] - used[1], total[2] - used[2])

    def can_hold(self, need: TaskNeed, worker: str) -> bool:
        """Tell whether a worker may take the task now."""
        instance = self.workers[worker]
        return (
            instance.state is InstanceState.LIVE
            and (not need.zones or instance.zone in need.zones)
            and worker not in need.avoid
            and fits(need.size, self.find_free(worker))
        )

    def place(self, need: TaskNeed) -> str | None:
        """Return the first worker that may take the task."""
        return next((name for name in self.workers if self.can_hold(need, name)), None)

    def place_all(self, needs: Iterable[TaskNeed]) -> dict[str, str] | None:
        """Place all tasks of a gang or none."""
        placed: dict[str, str] = {}
        for need in needs:
            worker = self.place(need)
            if worker is None:
                for task, name in placed.items():
                    del self.running[name][task]
                return None
            self.start(need, worker)
            placed[need.task] = worker
        return placed

    def start(self, need: TaskNeed, worker: str) -> None:
        """Run a task on a worker."""
        self.running[worker][need.task] = need.size

    def stop(self, task: str) -> None:
        """End a task wherever it runs."""
        for tasks in self.running.values():
            tasks.pop(task, None)
