"""Bounds on when stored values were written, derived from rising store revisions."""

from bisect import bisect_left
from collections import deque

# Number of recorded revisions, and the minimum time between two of them.
MAX_ENTRIES = 256
MIN_SPACING_SECONDS = 0.05


class RevisionTimes:
    """The times from which on revisions were written, in monotonic seconds.

    A value whose revision is later than the store's revision at some request was
    written after that request was sent. The time of reading says less, as an outage may
    lie between writing and reading.
    """

    def __init__(self) -> None:
        self._entries: deque[tuple[int, float]] = deque(maxlen=MAX_ENTRIES)

    def record(self, revision: int, sent_at: float) -> None:
        """Record that the store's revision was at most ``revision`` at ``sent_at``."""
        if not self._entries:
            self._entries.append((revision, sent_at))
            return
        newest, recorded_at = self._entries[-1]
        if revision >= newest and sent_at >= recorded_at + MIN_SPACING_SECONDS:
            self._entries.append((revision, sent_at))

    def find_write_time(self, revision: int) -> float:
        """Return the earliest time at which a revision may have been written.

        It is negative infinity for revisions not later than the oldest one recorded,
        and for all of them before the first record.
        """
        index = bisect_left(self._entries, (revision,))
        return self._entries[index - 1][1] if index else float("-inf")
