"""Daemons that are asked to do what the store doesn't do for this one."""

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leadership import Leadership

# One that could not help is not asked for so long.
REST_SECONDS = 1.0


class Delegates:
    """The other daemons, the owner first, without those that could not help lately."""

    def __init__(self, instance: str, leadership: Leadership, clock: Clock) -> None:
        self._instance = instance
        self._leadership = leadership
        self._clock = clock
        self._suspended_until: dict[str, float] = {}

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def choose(self, count: int) -> list[str]:
        """Choose so many at most."""
        now, owner = self._now(), self._leadership.owner
        names = self._leadership.list_members()
        if owner is not None and owner.instance in names:
            names.remove(owner.instance)
            names.insert(0, owner.instance)
        rested = [
            name
            for name in names
            if name != self._instance and self._suspended_until.get(name, 0.0) <= now
        ]
        return rested[:count]

    def suspend(self, name: str) -> None:
        """Leave one alone that could not help."""
        self._suspended_until[name] = self._now() + REST_SECONDS
