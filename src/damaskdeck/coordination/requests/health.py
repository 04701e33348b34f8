"""Health of targets: ejection with a cap, and a slow return."""

import random
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal

COMPONENT = "health"
STREAK_LIMIT = 5
BAD_SHARE = 0.5
EJECTED_SHARE = 0.34
EJECTION_TIME = timedelta(seconds=2)
PROBE_PAUSE = timedelta(seconds=1)
EJECTION_LIMIT = timedelta(seconds=60)

_WEIGHT = 0.05

_log = get_logger(COMPONENT)


class TargetHealth:
    """Health of one target, as its owner sees it.

    An ejected target gets nothing; when it returns, each good answer allows it
    one slot more, so that it doubles its work about once in a service time.

    :param pool: whose allowance is set.
    :ivar until: when the target may be tried again, or ``None``.
    """

    def __init__(self, pool: SlotPool, clock: Clock, rng: random.Random) -> None:
        self.pool = pool
        self.until: timedelta | None = None
        self._clock = clock
        self._random = rng
        self._streak = 0
        self._bad = 0.0
        self._ejections = 0

    @property
    def is_bad(self) -> bool:
        """Whether the target should be ejected."""
        if self.until is not None:
            return False
        if self.pool.allowance is not None:
            return self._streak > 0
        return self._streak >= STREAK_LIMIT or self._bad > BAD_SHARE

    def note_good(self) -> None:
        """Learn of an answer that was no fault of the target."""
        self._streak = 0
        self._bad *= 1 - _WEIGHT
        allowance = self.pool.allowance
        if allowance is None or self.until is not None:
            return
        if allowance + 1 < self.pool.capacity:
            self.pool.allowance = allowance + 1
            return
        self.pool.allowance = None
        self._ejections = 0

    def note_bad(self) -> None:
        """Learn of a failure that may be the target's."""
        self._streak += 1
        self._bad += _WEIGHT * (1 - self._bad)

    def eject(self) -> None:
        """Send nothing to the target for a time that doubles with each ejection."""
        wait = min(EJECTION_TIME * 2**self._ejections, EJECTION_LIMIT)
        self._ejections = min(self._ejections + 1, 10)
        self.until = self._clock.monotonic() + wait * (1 + self._random.random() / 2)
        self.pool.allowance = 0
        count_refusal(COMPONENT, "ejected")
        _log.warn("A target is ejected.", target=self.pool.target.name)

    def postpone(self) -> None:
        """Try again soon, after a probe that failed; it cost no request."""
        spread = 1 + self._random.random() / 2
        self.until = self._clock.monotonic() + PROBE_PAUSE * spread

    def bring_back(self) -> None:
        """Let the target have one slot, and more as it answers well."""
        self.until = None
        self._streak = 0
        self._bad = 0.0
        self.pool.allowance = 1


def may_eject(ejected: int, targets: int) -> bool:
    """Tell whether one more target may be ejected.

    :param targets: of the service, in the whole zone.
    """
    return ejected + 1 <= max(1, int(targets * EJECTED_SHARE))
