"""The pace of starts: how many may be under way at a time.

An event loop that is late serves everything that is under way in turn, so each start,
poll and renewal takes longer the more there are. Starts are what an owner can leave for
later: those that wait are ordered by urgency, those under way are not. The number is
adapted as in congestion control: it grows by steps while it binds and the loop is in
time, and shrinks by a factor while the loop is late.
"""

from collections import deque

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
# The rate of starts is measured over this time, at least over the shorter one.
RATE_SECONDS = 2.0
MIN_RATE_SECONDS = 1.0
# A step is ordered once so many of its tasks may be started, as each order costs a
# commit.
START_BATCH = 4
# Starts of steps that have waited longest for each other start: a quarter of all. They
# are saved up to the last number, and made in batches.
OVERDUE_RATIO = 1 / 3
OVERDUE_BATCH = 8
MAX_OVERDUE_STARTS = 16
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
        # How many starts the steps that have waited longest have saved up.
        self._overdue_starts = 0.0
        self._adapted_at = self._limited_at = float("-inf")
        # Since when starts have been limited, and what was answered of late.
        self._limiting_since: float | None = None
        self._answered: deque[tuple[float, int]] = deque()

    @property
    def limit(self) -> int:
        """How many starts may be under way."""
        return int(self._limit)

    @property
    def is_reduced(self) -> bool:
        """Whether fewer starts may be under way than an owner in time allows."""
        return self._limit < MAX_STARTS

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
            if not self.is_limiting(now):
                self._limiting_since = None
            elif self._limiting_since is None:
                self._limiting_since = now
        return max(0, self.limit - self._under_way)

    def may_order(self, tasks: int, now: float) -> bool:
        """Whether a number of tasks of a step, or a batch of them, may be started.

        Each order costs a commit, so a step waits until several starts are possible.

        :param now: monotonic seconds.
        """
        return self.count_startable(now) >= min(tasks, START_BATCH, self.limit)

    def count_overdue_startable(self, tasks: int, now: float) -> int:
        """Return how many tasks may be started of a step that has waited longest.

        :param tasks: how many of its tasks wait.
        :param now: monotonic seconds.
        """
        if self._overdue_starts < min(tasks, OVERDUE_BATCH, self.limit):
            return 0
        return min(tasks, int(self._overdue_starts), self.count_startable(now))

    def measure_rate(self, now: float) -> float | None:
        """Return the starts per second while they are limited, ``None`` if unknown.

        :param now: monotonic seconds.
        """
        if self._limiting_since is None:
            return None
        since = max(self._limiting_since, now - RATE_SECONDS)
        if now - since < MIN_RATE_SECONDS:
            return None
        answered = sum(starts for at, starts in self._answered if at >= since)
        return max(answered, 1) / (now - since)

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

    def begin(self, starts: int, is_overdue: bool = False) -> None:
        """Count starts that are ordered.

        :param is_overdue: whether they are of a step that has waited longest.
        """
        self._under_way += starts
        gained = -starts if is_overdue else OVERDUE_RATIO * starts
        self._overdue_starts = min(self._overdue_starts + gained, MAX_OVERDUE_STARTS)

    def end(self, starts: int, seconds: float) -> None:
        """Count starts that are answered or were given up.

        :param seconds: since they were ordered.
        """
        self._under_way -= starts
        self._usual_seconds += LATEST_WEIGHT * (seconds - self._usual_seconds)

    def record_answers(self, starts: int, now: float) -> None:
        """Count starts that workers have answered, for the rate.

        :param now: monotonic seconds.
        """
        self._answered.append((now, starts))
        while self._answered[0][0] < now - RATE_SECONDS:
            self._answered.popleft()

    def measure_delay(self) -> float:
        """Return the seconds that a start and the receipt of its end usually take.

        An end is read, stored and reported in about the time of a start.
        """
        return 2 * self._usual_seconds
