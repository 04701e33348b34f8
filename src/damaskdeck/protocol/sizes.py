"""Sizes of work and of instances, in whole units so that sums are exact."""

from typing import NamedTuple


class Size(NamedTuple):
    """An amount of each resource dimension.

    :param millicores: processors, in thousandths.
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
    """Return the larger of both in every dimension."""
    return Size(max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2]))


def fits(need: Size, room: Size) -> bool:
    """Tell whether ``need`` is at most ``room`` in every dimension."""
    return need[0] <= room[0] and need[1] <= room[1] and need[2] <= room[2]


def find_exceeded_dimension(need: Size, room: Size) -> str | None:
    """Return the name of the first dimension in which ``need`` exceeds ``room``."""
    for name, wanted, free in zip(Size._fields, need, room, strict=True):
        if wanted > free:
            return name
    return None
