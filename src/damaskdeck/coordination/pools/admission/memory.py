"""The bound on the sum of what is accepted, by the memory of the daemon that loads it.

Each daemon may become the owner and has to hold all open jobs then. The owner reports
what is left of the bound, shared among the daemons that accept jobs, so that they stay
below it together without asking each other.
"""

from datetime import timedelta
from itertools import count

from damaskdeck.clock import Clock
from damaskdeck.protocol.poolmessages import ReportCapacity

# The share of a daemon's memory that accepted jobs may take. The rest is for the
# process itself, runs, workers and requests, and for the records that an owner loads.
JOBS_SHARE = 0.25
# The bound of daemons whose settings name no memory.
DEFAULT_JOB_MEMORY = 64 * 2**20
# A daemon that has had no report may accept this share of the bound.
UNREPORTED_SHARE = 1 / 16
# The owner knows of an accepted job after at most this time.
ANNOUNCE_TIME = timedelta(seconds=3)


class JobMemory:
    """What one daemon may still accept, in bytes of the owner's memory.

    :param limit: the bound on the sum of all jobs.
    """

    def __init__(self, clock: Clock, limit: int) -> None:
        self.limit = limit
        self._clock = clock
        self._epoch = 0
        self._room = int(UNREPORTED_SHARE * limit)
        # What was accepted here since, and may not be part of the owner's report.
        self._accepted: dict[int, tuple[timedelta, int]] = {}
        self._numbers = count()

    def update(self, message: ReportCapacity) -> None:
        """Store the report of an owner, unless a newer owner has reported before."""
        room = message.get("job_bytes")
        if message["epoch"] < self._epoch or room is None:
            return
        self._epoch, self._room = message["epoch"], room
        known = self._clock.monotonic() - ANNOUNCE_TIME
        self._accepted = {
            number: entry
            for number, entry in self._accepted.items()
            if entry[0] > known
        }

    def measure_room(self) -> int:
        """Return the bytes that jobs may take which are accepted here now."""
        return self._room - sum(size for _, size in self._accepted.values())

    def reserve(self, size: int) -> int:
        """Reserve the memory of a job that is about to be stored.

        :param size: in bytes.
        :returns: the number of the reservation.
        """
        number = next(self._numbers)
        self._accepted[number] = self._clock.monotonic(), size
        return number

    def release(self, number: int) -> None:
        """Cancel the reservation of a job that was not stored."""
        self._accepted.pop(number, None)


def share_room(limit: int, used: int, daemons: int) -> int:
    """Return what each daemon may accept of the rest of a bound, in bytes."""
    return max(0, limit - used) // max(1, daemons)
