"""The zones and sizes of the listed workers, to find impossible workloads."""

from collections import Counter

from damaskdeck.protocol.ports import Instance
from damaskdeck.protocol.resources import WorkloadSpec, parse_size
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, fits


class WorkerShapes:
    """Counts the listed workers by availability zone and size.

    Deployments have few different combinations of these.
    """

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self.capacity = ZERO_SIZE
        self._counts: Counter[tuple[str, Size]] = Counter()

    def set_workers(self, workers: tuple[Instance, ...]) -> None:
        """Replace the list of workers by the platform's current one."""
        self.names = frozenset(worker.name for worker in workers)
        self._counts = Counter((worker.zone, worker.size) for worker in workers)
        self.capacity = ZERO_SIZE
        for worker in workers:
            self.capacity = add_sizes(self.capacity, worker.size)

    def find_impossible(self, spec: WorkloadSpec) -> str | None:
        """Return what all workers lack for a workload even if they were empty.

        :returns: ``None`` if some worker could run it or no worker is known.
        """
        zones = spec.get("zones", ())
        counts = {k: n for k, n in self._counts.items() if not zones or k[0] in zones}
        if not counts:
            return "workers in its availability zones" if self._counts else None
        need = parse_size(spec["size"])
        sizes = {size for _, size in counts}
        if not any(fits(need, size) for size in sizes):
            return find_shortage(need, sizes)
        if spec["type"] != "gang":
            return None
        tasks = spec.get("tasks", 1)
        fitting = sum(n * count_fitting(need, k[1], tasks) for k, n in counts.items())
        return "room for all tasks at once" if fitting < tasks else None


def find_shortage(need: Size, sizes: set[Size]) -> str:
    """Return the dimension in which every size is too small.

    :returns: all dimensions together if no single one is too small everywhere.
    """
    for index, name in enumerate(Size._fields):
        if all(need[index] > size[index] for size in sizes):
            return name
    return "processors, memory and accelerators together"


def count_fitting(need: Size, capacity: Size, limit: int) -> int:
    """Return how many times ``need`` fits into ``capacity``, at most ``limit``."""
    counts = (r // n for n, r in zip(need, capacity, strict=True) if n)
    return min((limit, *counts))
