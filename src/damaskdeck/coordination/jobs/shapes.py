"""Which work could run at all, on workers as the platform lists them."""

from collections import Counter

from damaskdeck.protocol.ports import Instance
from damaskdeck.protocol.resources import WorkloadSpec, parse_size
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, fits


class Shapes:
    """Counts the listed workers by zone and size; there are few kinds."""

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self.capacity = ZERO_SIZE
        self._counts: Counter[tuple[str, Size]] = Counter()

    def set_workers(self, workers: tuple[Instance, ...]) -> None:
        """Take over the platform's list."""
        self.names = frozenset(worker.name for worker in workers)
        self._counts = Counter((worker.zone, worker.size) for worker in workers)
        self.capacity = ZERO_SIZE
        for worker in workers:
            self.capacity = add_sizes(self.capacity, worker.size)

    def find_impossible(self, spec: WorkloadSpec) -> str | None:
        """Name what all workers lack for a workload, even if they were empty.

        :returns: ``None`` also while no worker is known.
        """
        zones = spec.get("zones", ())
        counts = {k: n for k, n in self._counts.items() if not zones or k[0] in zones}
        if not counts:
            return "workers in its availability zones" if self._counts else None
        need = parse_size(spec["size"])
        sizes = {size for _, size in counts}
        if not any(fits(need, size) for size in sizes):
            return name_lack(need, sizes)
        if spec["type"] != "gang":
            return None
        tasks = spec.get("tasks", 1)
        held = sum(n * count_fitting(need, k[1], tasks) for k, n in counts.items())
        return "room for all tasks at once" if held < tasks else None


def name_lack(need: Size, sizes: set[Size]) -> str:
    """Name the dimension in which no size is enough, or their combination."""
    for index, name in enumerate(Size._fields):
        if all(need[index] > size[index] for size in sizes):
            return name
    return "processors, memory and accelerators together"


def count_fitting(need: Size, room: Size, limit: int) -> int:
    """Count how often ``need`` fits in ``room``, at most ``limit``."""
    counts = (r // n for n, r in zip(need, room, strict=True) if n)
    return min((limit, *counts))
