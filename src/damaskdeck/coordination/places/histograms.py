"""A compact histogram of positive numbers in logarithmic buckets."""

import math
from array import array

# Buckets for each doubling: neighbours differ by 9 %.
_STEPS = 8
# Counts are halved at this total, so that old values fade.
_FADE_TOTAL = 512


class Histogram:
    """Counts values; its quantiles are never below the true ones.

    A quantile is at most 9 % above the true one. Memory grows with the spread
    of the values, not with their number.
    """

    __slots__ = ("_base", "_counts", "total")

    def __init__(self) -> None:
        self._base = 0
        self._counts = array("H")
        self.total = 0

    def add(self, value: float) -> None:
        """Count a value; one below 1 counts as 1."""
        bucket = math.ceil(math.log2(max(value, 1.0)) * _STEPS)
        self._reach(bucket)
        self._counts[bucket - self._base] += 1
        self.total += 1
        if self.total >= _FADE_TOTAL:
            self._fade()

    def find_quantile(self, share: float) -> float:
        """Return a value that at least ``share`` of the counted ones don't exceed.

        :returns: 0 when nothing was counted.
        """
        rest = share * self.total
        for index, count in enumerate(self._counts):
            rest -= count
            if rest <= 0 and count:
                return 2.0 ** ((self._base + index) / _STEPS)
        return 0.0

    def _reach(self, bucket: int) -> None:
        if not self._counts:
            self._base = bucket
        if bucket < self._base:
            self._counts = array("H", [0] * (self._base - bucket)) + self._counts
            self._base = bucket
        missing = bucket - self._base - len(self._counts) + 1
        if missing > 0:
            self._counts.extend([0] * missing)

    def _fade(self) -> None:
        """Halve all counts and drop the buckets at the ends that got empty."""
        counts = [count // 2 for count in self._counts]
        first = next(index for index, count in enumerate(counts) if count)
        while not counts[-1]:
            counts.pop()
        self._base += first
        self._counts = array("H", counts[first:])
        self.total = sum(counts)
