"""Liveness of the owner as one daemon sees it, with an adaptive timeout.

An overloaded owner answers late. Its usual response time is learned as for the
retransmission timeout of TCP, so that a slow owner is not taken for a dead one. A
deposed owner that is still a member shows that owners were suspected too early.
"""

from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock

# Two heartbeats in a row without a reply, and the time of a garbage collection.
MIN_SILENCE = timedelta(milliseconds=300)
# After this silence an owner can only just renew its workers' leases of 6 s, and no
# longer meets callers' deadlines of 3 s.
MAX_SILENCE = timedelta(milliseconds=2400)
# A successor that has not replied yet has this time to load all jobs and poll all
# workers. That took 0.4 s on half a core with 250 jobs and 270 workers, and over 1 s on
# a tenth of a core with a sixth of them.
LOADING_SILENCE = timedelta(milliseconds=1500)
# Weights of the latest round trip and of its error, and the number of errors added to
# the mean: those of RFC 6298.
MEAN_WEIGHT = 0.125
ERROR_WEIGHT = 0.25
ERROR_FACTOR = 4.0


class RoundTrips(NamedTuple):
    """Statistics of the round trips of heartbeats, in seconds.

    :param error: mean deviation.
    :param answers: number of replies.
    """

    mean: float = 0.0
    error: float = 0.0
    answers: int = 0

    def add_sample(self, seconds: float) -> "RoundTrips":
        """Return the statistics with one more reply."""
        if not self.answers:
            return RoundTrips(seconds, seconds / 2, 1)
        error = self.error + ERROR_WEIGHT * (abs(seconds - self.mean) - self.error)
        mean = self.mean + MEAN_WEIGHT * (seconds - self.mean)
        return RoundTrips(mean, error, self.answers + 1)

    @property
    def expected_max(self) -> float:
        """The time within which a reply usually arrives."""
        return self.mean + ERROR_FACTOR * self.error


class OwnerLiveness:
    """Liveness of the owners of successive epochs.

    :ivar epoch: of the followed owner, 0 before the first one.
    """

    def __init__(self, clock: Clock) -> None:
        self.epoch = 0
        self._clock = clock
        self._round_trips = RoundTrips()
        self._alive_at = self._message_at = self._followed_at = float("-inf")

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def follow(self, epoch: int) -> None:
        """Follow a newer owner; learning of it counts as evidence that it is alive."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._round_trips = RoundTrips()
            self._alive_at = self._message_at = self._followed_at = self._now()

    def record_heartbeat(self, epoch: int) -> None:
        """Record a message that the owner has sent."""
        if epoch >= self.epoch:
            self.follow(epoch)
            self._alive_at = self._message_at = self._now()

    def record_reply(self, epoch: int, sent_at: float) -> None:
        """Record the reply to a heartbeat request.

        :param sent_at: when the request was sent, in monotonic seconds.
        """
        self.record_heartbeat(epoch)
        if epoch == self.epoch:
            self._round_trips = self._round_trips.add_sample(self._now() - sent_at)

    def record_progress(self) -> None:
        """Record that the owner has stored something.

        This counts for a limited time only, as an owner that is cut off from the other
        daemons may still store what it does within its own availability zone.
        """
        if self._now() - self._message_at < MAX_SILENCE.total_seconds():
            self._alive_at = self._now()

    @property
    def usual_round_trip(self) -> float:
        """The mean time of a reply in seconds, 0 before the first one."""
        return self._round_trips.mean

    def measure_silence(self) -> float:
        """Return the seconds since the last evidence that the owner is alive."""
        return self._now() - self._alive_at

    def find_timeout(self, deposed_alive: int) -> float:
        """Return the seconds of silence after which the owner counts as lost.

        :param deposed_alive: the number of recently deposed owners that are still
            alive.
        """
        # The first owner of all has nothing to load.
        is_loading = (
            self.epoch > 1
            and not self._round_trips.answers
            and self._now() - self._followed_at < LOADING_SILENCE.total_seconds()
        )
        minimum = LOADING_SILENCE if is_loading else MIN_SILENCE
        expected = max(minimum.total_seconds(), self._round_trips.expected_max)
        return min(expected * 2**deposed_alive, MAX_SILENCE.total_seconds())
