"""Sizes of tasks and instances, in integer units so that sums are exact."""

from typing import NamedTuple


class Size(NamedTuple):
    """An amount of each resource dimension.

    :param millicores: processors, in thousandths of a core.
    :param memory: memory, in MiB.
    :param accelerators: whole accelerators.
    """

    millicores: int = 0
    memory: int = 0
    accelerators: int = 0


ZERO_SIZE = Size()


def add_sizes(a: Size, b: Size) -> Size:
    """Return ``a + b`` in every dimension."""
    return Size(a[0] + b[0], a[1] + b[1], a[2] + b[2])


def subtract_sizes(a: Size, b: Size) -> Size:
    """Return ``a - b`` in every dimension; may be negative."""
    return Size(a[0] - b[0], a[1] - b[1], a[2] - b[2])


def compute_max_size(a: Size, b: Size) -> Size:
    """Return the larger value in every dimension."""
    return Size(max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2]))


def fits(need: Size, capacity: Size) -> bool:
    """Whether ``need`` is at most ``capacity`` in every dimension."""
    return need[0] <= capacity[0] and need[1] <= capacity[1] and need[2] <= capacity[2]


def find_exceeded_dimension(need: Size, capacity: Size) -> str | None:
    """Return the first dimension in which ``need`` exceeds ``capacity``.

    :returns: its name, or ``None`` when ``need`` fits.
    """
    for name, needed, free in zip(Size._fields, need, capacity, strict=True):
        if needed > free:
            return name
    return None
