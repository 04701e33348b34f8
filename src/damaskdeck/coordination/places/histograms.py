"""A compact histogram of positive numbers in logarithmic buckets."""

import math
from array import array

# Adjacent buckets differ by 9 %.
_BUCKETS_PER_DOUBLING = 8
# Counts are halved at this total, so that old values lose weight.
_MAX_TOTAL = 512


class Histogram:
    """Counts values and estimates their quantiles.

    A quantile is never below the true one and at most 9 % above it. Memory grows
    with the spread of the values, not with their number.
    """

    __slots__ = ("_base", "_counts", "total")

    def __init__(self) -> None:
        self._base = 0
        self._counts = array("H")
        self.total = 0

    def add(self, value: float) -> None:
        """Count a value; values below 1 count as 1."""
        bucket = math.ceil(math.log2(max(value, 1.0)) * _BUCKETS_PER_DOUBLING)
        self._extend_to(bucket)
        self._counts[bucket - self._base] += 1
        self.total += 1
        if self.total >= _MAX_TOTAL:
            self._halve_counts()

    def find_quantile(self, share: float) -> float:
        """Return a value that at least ``share`` of the counted values don't exceed.

        :returns: 0 if nothing was counted.
        """
        remaining = share * self.total
        for index, count in enumerate(self._counts):
            remaining -= count
            if remaining <= 0 and count:
                return 2.0 ** ((self._base + index) / _BUCKETS_PER_DOUBLING)
        return 0.0

    def _extend_to(self, bucket: int) -> None:
        if not self._counts:
            self._base = bucket
        if bucket < self._base:
            self._counts = array("H", [0] * (self._base - bucket)) + self._counts
            self._base = bucket
        missing = bucket - self._base - len(self._counts) + 1
        if missing > 0:
            self._counts.extend([0] * missing)

    def _halve_counts(self) -> None:
        """Halve all counts and remove empty buckets at both ends."""
        counts = [count // 2 for count in self._counts]
        first = next(index for index, count in enumerate(counts) if count)
        while not counts[-1]:
            counts.pop()
        self._base += first
        self._counts = array("H", counts[first:])
        self.total = sum(counts)
