"""Learned times in a slot."""

_WEIGHT = 0.02
_SPREAD = 2.0


class Durations:
    """Running mean and mean deviation of a service's time in a slot, in seconds.

    Both are 0 until the first observation: nothing is refused on a guess.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self._deviation = 0.0
        self._count = 0

    def observe(self, seconds: float) -> None:
        """Learn from a request that was answered."""
        self._count += 1
        weight = max(_WEIGHT, 1 / self._count)
        error = seconds - self.mean
        self.mean += weight * error
        self._deviation += weight * (abs(error) - self._deviation)

    @property
    def high(self) -> float:
        """A time that most requests need at most."""
        return self.mean + _SPREAD * self._deviation

    @property
    def low(self) -> float:
        """A time that most requests need at least."""
        return max(0.0, self.mean - _SPREAD * self._deviation)
