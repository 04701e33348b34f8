"""The daemons that act for this one while the store doesn't answer it."""

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leadership import Leadership

# A delegate that has failed is not called for this time.
SUSPENSION_SECONDS = 1.0


class Delegates:
    """The other daemons, the owner first, without those that failed recently."""

    def __init__(self, instance: str, leadership: Leadership, clock: Clock) -> None:
        self._instance = instance
        self._leadership = leadership
        self._clock = clock
        self._suspended_until: dict[str, float] = {}

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def choose(self, count: int) -> list[str]:
        """Choose at most ``count`` delegates."""
        now, owner = self._now(), self._leadership.owner
        names = self._leadership.list_members()
        if owner is not None and owner.instance in names:
            names.remove(owner.instance)
            names.insert(0, owner.instance)
        available = [
            name
            for name in names
            if name != self._instance and self._suspended_until.get(name, 0.0) <= now
        ]
        return available[:count]

    def suspend(self, name: str) -> None:
        """Stop choosing a delegate for a while, as it has failed."""
        self._suspended_until[name] = self._now() + SUSPENSION_SECONDS
