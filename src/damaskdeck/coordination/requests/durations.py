"""Moving statistics of the time that requests take in a slot."""

_WEIGHT = 0.02
_DEVIATION_FACTOR = 2.0


class Durations:
    """Moving mean and mean deviation of a service's time in a slot, in seconds.

    Both are 0 until the first observation, so that nothing is refused on a guess.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self._deviation = 0.0
        self._count = 0

    def observe(self, seconds: float) -> None:
        """Add the duration of a completed request."""
        self._count += 1
        weight = max(_WEIGHT, 1 / self._count)
        error = seconds - self.mean
        self.mean += weight * error
        self._deviation += weight * (abs(error) - self._deviation)

    @property
    def upper_estimate(self) -> float:
        """A time in which most requests are completed."""
        return self.mean + _DEVIATION_FACTOR * self._deviation

    @property
    def lower_estimate(self) -> float:
        """A time that most requests take at least."""
        return max(0.0, self.mean - _DEVIATION_FACTOR * self._deviation)
