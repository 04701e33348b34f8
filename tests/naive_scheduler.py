"""A naive reference scheduler: scans every worker in order, first fit."""

from collections.abc import Iterable

from damaskdeck.protocol.ports import Instance, InstanceState
from damaskdeck.protocol.sizes import Size, add_sizes, fits, subtract_sizes
from damaskdeck.state.workeraccounts import TaskNeed


class NaiveScheduler:
    """Tracks the workers, the free capacity of each and the running tasks."""

    def __init__(self, workers: Iterable[Instance]) -> None:
        self.workers = {worker.name: worker for worker in workers}
        self.free = {worker.name: worker.size for worker in self.workers.values()}
        self.running: dict[str, tuple[str, Size]] = {}

    def can_hold(self, need: TaskNeed, worker: str) -> bool:
        """Return whether a worker may run the task now."""
        instance = self.workers[worker]
        return (
            fits(need.size, self.free[worker])
            and instance.state is InstanceState.LIVE
            and (not need.zones or instance.zone in need.zones)
            and worker not in need.avoid
        )

    def place(self, need: TaskNeed) -> str | None:
        """Return the first worker that may run the task, else ``None``."""
        return next((name for name in self.workers if self.can_hold(need, name)), None)

    def place_all(self, needs: Iterable[TaskNeed]) -> dict[str, str] | None:
        """Start all tasks of a gang, or none."""
        placed: dict[str, str] = {}
        for need in needs:
            worker = self.place(need)
            if worker is None:
                for task in placed:
                    self.stop(task)
                return None
            self.start(need, worker)
            placed[need.task] = worker
        return placed

    def start(self, need: TaskNeed, worker: str) -> None:
        """Run a task on a worker."""
        self.running[need.task] = worker, need.size
        self.free[worker] = subtract_sizes(self.free[worker], need.size)

    def stop(self, task: str) -> None:
        """End a task if it runs."""
        worker, size = self.running.pop(task, ("", Size()))
        if worker:
            self.free[worker] = add_sizes(self.free[worker], size)
