"""Sets of indexes whose size grows with their gaps, not with their members."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Sequence

from damaskdeck.errors import MessageError

# Up to this many indexes are stored one by one, as earlier versions read them.
MAX_LISTED_INDEXES = 256


class IndexRanges:
    """A set of indexes from 0 on.

    :param ranges: ascending ranges with gaps between them.
    """

    __slots__ = ("_count", "_starts", "_stops")

    def __init__(self, ranges: Iterable[range] = ()) -> None:
        self._starts: list[int] = []
        self._stops: list[int] = []
        self._count = 0
        for each in ranges:
            self.add_range(each.start, each.stop)

    def __len__(self) -> int:
        return self._count

    def __contains__(self, index: int) -> bool:
        position = bisect_right(self._starts, index) - 1
        return position >= 0 and index < self._stops[position]

    def __iter__(self) -> Iterator[int]:
        for each in self.list_ranges():
            yield from each

    def list_ranges(self) -> list[range]:
        """List the ranges, lowest first."""
        return [
            range(start, stop)
            for start, stop in zip(self._starts, self._stops, strict=True)
        ]

    def add(self, index: int) -> None:
        """Add an index."""
        self.add_range(index, index + 1)

    def add_range(self, start: int, stop: int) -> None:
        """Add the indexes from ``start`` to ``stop - 1``."""
        if start >= stop:
            return
        first = bisect_left(self._stops, start)
        last = bisect_right(self._starts, stop)
        if first < last:
            start = min(start, self._starts[first])
            stop = max(stop, self._stops[last - 1])
            self._count -= sum(
                self._stops[at] - self._starts[at] for at in range(first, last)
            )
        self._starts[first:last] = [start]
        self._stops[first:last] = [stop]
        self._count += stop - start

    def discard(self, index: int) -> None:
        """Remove an index, if it is a member."""
        self.discard_range(index, index + 1)

    def discard_range(self, start: int, stop: int) -> None:
        """Remove those of the indexes from ``start`` to ``stop - 1`` that are there."""
        first = bisect_right(self._stops, start)
        last = bisect_left(self._starts, stop)
        if first >= last or start >= stop:
            return
        lowest, highest = self._starts[first], self._stops[last - 1]
        self._count -= sum(
            self._stops[at] - self._starts[at] for at in range(first, last)
        )
        rest = [(a, b) for a, b in ((lowest, start), (stop, highest)) if a < b]
        self._starts[first:last] = [a for a, _ in rest]
        self._stops[first:last] = [b for _, b in rest]
        self._count += sum(b - a for a, b in rest)

    def list_first(self, limit: int) -> list[int]:
        """List the lowest indexes, at most ``limit``."""
        found: list[int] = []
        for each in self.list_ranges():
            found += each[: limit - len(found)]
            if len(found) >= limit:
                break
        return found

    def find_gap(self, start: int) -> int:
        """Return the lowest index from ``start`` on that isn't a member."""
        position = bisect_right(self._starts, start) - 1
        is_member = position >= 0 and start < self._stops[position]
        return self._stops[position] if is_member else start

    def encode(self) -> tuple[int, ...]:
        """Return the indexes as they are stored.

        Many are stored as ranges: a negative number ``-n`` after an index stands for
        the ``n`` indexes that follow it.
        """
        if self._count <= MAX_LISTED_INDEXES:
            return tuple(self)
        encoded: list[int] = []
        for each in self.list_ranges():
            encoded.append(each.start)
            if len(each) > 1:
                encoded.append(1 - len(each))
        return tuple(encoded)


def decode_indexes(encoded: Sequence[int], limit: int) -> IndexRanges:
    """Decode stored indexes.

    :param limit: all indexes have to be below it.
    :raises MessageError: when an index isn't, or a range has no start.
    """
    found = IndexRanges()
    last = -1
    for number in encoded:
        if number < 0 and last < 0:
            raise MessageError("a range of indexes has no start")
        start, last = (last + 1, last - number) if number < 0 else (number, number)
        if last >= limit:
            raise MessageError(f"no such index: {last}")
        found.add_range(start, last + 1)
    return found
