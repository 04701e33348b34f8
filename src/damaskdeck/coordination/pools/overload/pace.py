"""The pace of starts: how many may be under way at a time.

An event loop that is late serves everything that is under way in turn, so each start,
poll and renewal takes longer the more there are. Starts are what an owner can leave for
later: those that wait are ordered by urgency, those under way are not. The number is
adapted as in congestion control: it grows by steps while it binds and the loop is in
time, and shrinks by a factor while the loop is late.
"""

from damaskdeck.delays import LoopDelay

# Bounds of the number of starts under way.
MIN_STARTS = 4
MAX_STARTS = 512
# A single late iteration of an owner with little to do leaves room for this many.
MIN_REDUCED_STARTS = 8
# A loop that is later than this has too much to do; earlier than that, some to spare.
LATE_SECONDS = 0.2
PROMPT_SECONDS = 0.1
# A change of the number shows in the delay after about this time.
ADAPTATION_SECONDS = 0.1
# Daemons are told twice a second whether the pace keeps tasks waiting.
LIMITING_SECONDS = 1.0
LATEST_WEIGHT = 0.1
DECREASE_FACTOR = 0.75
INCREASE_SHARE = 0.2


class StartPace:
    """Limits the starts under way of one owner by how late its event loop is.

    :param delay: of the event loop.
    """

    def __init__(self, delay: LoopDelay) -> None:
        self._delay = delay
        self._limit = float(MAX_STARTS)
        self._under_way = 0
        self._usual_seconds = 0.0
        self._adapted_at = self._limited_at = float("-inf")

    @property
    def limit(self) -> int:
        """How many starts may be under way."""
        return int(self._limit)

    @property
    def is_binding(self) -> bool:
        """Whether starts wait for others to be answered."""
        return self._under_way >= self.limit

    def count_startable(self, now: float) -> int:
        """Return how many starts may be ordered now.

        :param now: monotonic seconds.
        """
        if now - self._adapted_at >= ADAPTATION_SECONDS:
            self._adapted_at = now
            self._adapt()
        return max(0, self.limit - self._under_way)

    def record_limit(self, now: float) -> None:
        """Record that tasks could be placed which this pace doesn't allow yet."""
        self._limited_at = now

    def is_limiting(self, now: float) -> bool:
        """Whether tasks wait for this pace, or for an event loop that is late."""
        is_late = self._delay.seconds > PROMPT_SECONDS
        return is_late or now - self._limited_at < LIMITING_SECONDS

    def _adapt(self) -> None:
        delay = self._delay.latest
        if delay > LATE_SECONDS:
            # A limit far above what is under way would shrink without any effect.
            used = max(self._under_way, MIN_REDUCED_STARTS)
            reduced = DECREASE_FACTOR * min(self._limit, used)
            self._limit = max(float(MIN_STARTS), reduced)
        elif delay < PROMPT_SECONDS and self.is_binding:
            step = max(1.0, INCREASE_SHARE * self._limit)
            self._limit = min(float(MAX_STARTS), self._limit + step)

    def begin(self, starts: int) -> None:
        """Count starts that are ordered."""
        self._under_way += starts

    def end(self, starts: int, seconds: float) -> None:
        """Count starts that are answered or were given up.

        :param seconds: since they were ordered.
        """
        self._under_way -= starts
        self._usual_seconds += LATEST_WEIGHT * (seconds - self._usual_seconds)

    def measure_delay(self) -> float:
        """Return the seconds that a start and the receipt of its end usually take.

        An end is read, stored and reported in about the time of a start.
        """
        return 2 * self._usual_seconds
