"""Signs of life of the owner as one daemon has them, and how long none is usual.

An owner that is behind answers late. What it usually takes is learnt as for the
retransmission timeout of TCP, so that a slow owner is not taken for a dead one; and
whoever was deposed and is still a member shows that owners were doubted too soon.
"""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock

# Two beats in a row without an answer, and what a pause of the collector takes.
LEAST_SILENCE = timedelta(milliseconds=300)
# An owner that is silent for so long holds its workers' leases, 6 s, only just, and
# no caller's deadline, 3 s, any more.
LONGEST_SILENCE = timedelta(milliseconds=2400)
# A successor that has not answered yet is left alone for so long: it loads all jobs and
# looks at all workers, 0.4 s on half a core for 250 jobs and 270 workers, over 1 s on a
# tenth of one for a sixth of that.
FIRST_SILENCE = timedelta(milliseconds=1500)
# Weights of the newest round trip and of its error, and how many errors are waited
# for: those of RFC 6298.
TRIP_SHARE = 0.125
ERROR_SHARE = 0.25
ERRORS = 4.0


class RoundTrips(NamedTuple):
    """What answers to beats take, in seconds.

    :param error: mean of how far they are off.
    :param answers: how many told it.
    """

    mean: float = 0.0
    error: float = 0.0
    answers: int = 0

    def learn(self, took: float) -> "RoundTrips":
        """Return what is known with one more answer."""
        if not self.answers:
            return RoundTrips(took, took / 2, 1)
        error = self.error + ERROR_SHARE * (abs(took - self.mean) - self.error)
        mean = self.mean + TRIP_SHARE * (took - self.mean)
        return RoundTrips(mean, error, self.answers + 1)

    @property
    def longest(self) -> float:
        """What an answer takes at most as a rule."""
        return self.mean + ERRORS * self.error


class LifeSigns:
    """Signs of the owner of one epoch after the other.

    :ivar epoch: of the owner that is followed, 0 before any.
    """

    def __init__(self, clock: Clock) -> None:
        self.epoch = 0
        self._clock = clock
        self._trips = RoundTrips()
        self._heard_at = self._told_at = self._followed_at = float("-inf")

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def follow(self, epoch: int) -> None:
        """Follow a newer owner; it counts as heard when it is first heard of."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._trips = RoundTrips()
            self._heard_at = self._told_at = self._followed_at = self._now()

    def record_heartbeat(self, epoch: int) -> None:
        """Take note of a message that the owner has sent."""
        if epoch >= self.epoch:
            self.follow(epoch)
            self._heard_at = self._told_at = self._now()

    def note_answer(self, epoch: int, sent: float) -> None:
        """Take note of the answer to a beat.

        :param sent: when it was asked for, monotonic seconds.
        """
        self.record_heartbeat(epoch)
        if epoch == self.epoch:
            self._trips = self._trips.learn(self._now() - sent)

    def note_progress(self) -> None:
        """Take note that the owner has stored something.

        That holds for a while only: one that is cut off from the other daemons may
        still store what it does in its own availability zone.
        """
        if self._now() - self._told_at < LONGEST_SILENCE.total_seconds():
            self._heard_at = self._now()

    def measure_silence(self) -> float:
        """Return the seconds since the last sign."""
        return self._now() - self._heard_at

    def find_timeout(self, doubted: int) -> float:
        """Return the seconds without a sign that tell of a loss.

        :param doubted: how many owners were deposed lately that are still alive.
        """
        # The first owner of all finds nothing to load.
        is_loading = (
            self.epoch > 1
            and not self._trips.answers
            and self._now() - self._followed_at < FIRST_SILENCE.total_seconds()
        )
        least = FIRST_SILENCE if is_loading else LEAST_SILENCE
        usual = max(least.total_seconds(), self._trips.longest)
        return min(usual * 2**doubted, LONGEST_SILENCE.total_seconds())
