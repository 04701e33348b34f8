"""When what the store shows was written, told by revisions that rise with time."""

from bisect import bisect_left
from collections import deque

# Dates that are kept, and the seconds between two of them.
DATES_KEPT = 256
DATES_APART_SECONDS = 0.05


class RevisionTimes:
    """From when on revisions of the store were written, in monotonic seconds.

    What has a later revision than the store had when it was asked was written after
    the question was sent. How long ago something was read says less: an outage may
    lie between the writing and the reading.
    """

    def __init__(self) -> None:
        self._dates: deque[tuple[int, float]] = deque(maxlen=DATES_KEPT)

    def record(self, revision: int, sent: float) -> None:
        """Take note that the store's revision was no later at ``sent``."""
        if not self._dates:
            self._dates.append((revision, sent))
            return
        newest, noted = self._dates[-1]
        if revision >= newest and sent >= noted + DATES_APART_SECONDS:
            self._dates.append((revision, sent))

    def find_write_time(self, revision: int) -> float:
        """Return when a revision was written at the earliest.

        Before the first note nothing is known of it: negative infinity.
        """
        place = bisect_left(self._dates, (revision,))
        return self._dates[place - 1][1] if place else float("-inf")
