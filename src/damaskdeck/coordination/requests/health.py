"""Health of targets: limited ejection and gradual readmission."""

import random
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal

COMPONENT = "health"
CONSECUTIVE_FAILURE_LIMIT = 5
MAX_FAILURE_RATE = 0.5
MAX_EJECTED_SHARE = 0.34
EJECTION_TIME = timedelta(seconds=2)
PROBE_RETRY_INTERVAL = timedelta(seconds=1)
MAX_EJECTION_TIME = timedelta(seconds=60)

# Weight of one result in the moving average of the failure rate.
_WEIGHT = 0.05

_log = get_logger(COMPONENT)


class TargetHealth:
    """Health of one target, as observed by its owner.

    An ejected target gets no requests. After its readmission, each good answer
    raises its limit by one slot, so that its load about doubles per service time.

    :param pool: the pool whose ``slot_limit`` is set.
    :ivar ejected_until: when the target may be probed; ``None`` if not ejected.
    """

    def __init__(self, pool: SlotPool, clock: Clock, rng: random.Random) -> None:
        self.pool = pool
        self.ejected_until: timedelta | None = None
        self._clock = clock
        self._random = rng
        self._consecutive_failures = 0
        self._failure_rate = 0.0
        self._ejections = 0

    @property
    def should_eject(self) -> bool:
        """Whether the target should be ejected."""
        if self.ejected_until is not None:
            return False
        if self.pool.slot_limit is not None:
            return self._consecutive_failures > 0
        return (
            self._consecutive_failures >= CONSECUTIVE_FAILURE_LIMIT
            or self._failure_rate > MAX_FAILURE_RATE
        )

    def record_success(self) -> None:
        """Record an answer that is no fault of the target."""
        self._consecutive_failures = 0
        self._failure_rate *= 1 - _WEIGHT
        slot_limit = self.pool.slot_limit
        if slot_limit is None or self.ejected_until is not None:
            return
        if slot_limit + 1 < self.pool.capacity:
            self.pool.slot_limit = slot_limit + 1
            return
        self.pool.slot_limit = None
        self._ejections = 0

    def record_failure(self) -> None:
        """Record a failure that may be the target's fault."""
        self._consecutive_failures += 1
        self._failure_rate += _WEIGHT * (1 - self._failure_rate)

    def eject(self) -> None:
        """Eject the target for a time that doubles with each ejection."""
        wait = min(EJECTION_TIME * 2**self._ejections, MAX_EJECTION_TIME)
        self._ejections = min(self._ejections + 1, 10)
        self.ejected_until = self._clock.monotonic() + wait * (
            1 + self._random.random() / 2
        )
        self.pool.slot_limit = 0
        count_refusal(COMPONENT, "ejected")
        _log.warn("A target was ejected.", target=self.pool.target.name)

    def postpone_probe(self) -> None:
        """Probe again soon: a failed probe cost no request."""
        spread = 1 + self._random.random() / 2
        self.ejected_until = self._clock.monotonic() + PROBE_RETRY_INTERVAL * spread

    def readmit(self) -> None:
        """Give the target one slot, and more as its answers are good."""
        self.ejected_until = None
        self._consecutive_failures = 0
        self._failure_rate = 0.0
        self.pool.slot_limit = 1


def may_eject(ejected: int, targets: int) -> bool:
    """Return whether one more target may be ejected.

    :param ejected: targets of the service that are ejected, in the whole zone.
    :param targets: targets of the service, in the whole zone.
    """
    return ejected + 1 <= max(1, int(targets * MAX_EJECTED_SHARE))
