"""Value types for results that must not be confused with each other."""

from typing import Any, TypeVar

T = TypeVar("T", bound=type[tuple])


def distinct(kind: T) -> T:
    """Make values of a ``NamedTuple`` equal only to values of the same type.

    Plain tuples with equal fields are equal. ``Failed("x")`` would equal
    ``Unknown("x")``, and a test or a condition would confuse the two.
    """

    def is_equal(self: tuple[Any, ...], other: object) -> bool:
        return type(self) is type(other) and tuple.__eq__(self, other)

    def is_unequal(self: tuple[Any, ...], other: object) -> bool:
        return not is_equal(self, other)

    def compute_hash(self: tuple[Any, ...]) -> int:
        return hash((kind.__name__, tuple(self)))

    kind.__eq__ = is_equal
    kind.__ne__ = is_unequal
    kind.__hash__ = compute_hash
    return kind
