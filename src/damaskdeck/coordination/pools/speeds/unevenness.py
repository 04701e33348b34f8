"""Whether the workers of a pool differ so much that placement goes by expected ends."""

from damaskdeck.coordination.pools.speeds.estimates import PoolSpread
from damaskdeck.logs import get_logger

# A pool becomes uneven from this standard deviation of the logarithm of speed on, and
# even again below the lower one. On deployments with workers of 0.7 and 1.7 times the
# nominal time it is 0.42, on all others at most 0.18.
UNEVEN_DEVIATION = 0.25
EVEN_DEVIATION = 0.2
# The spread counts once this many workers are measured, or more than half of the pool,
# but not fewer than the second number: the error of a standard deviation is a tenth of
# it with 50 workers, and a third with 6.
MIN_MEASURED_WORKERS = 36
MIN_MEASURED_OF_SMALL_POOL = 6

_log = get_logger("speeds")


class UnevenPools:
    """The pools that are uneven, with their spreads."""

    def __init__(self) -> None:
        self._uneven: set[str] = set()
        self._spreads: dict[str, PoolSpread] = {}

    def is_uneven(self, pool: str) -> bool:
        """Whether placement in a pool goes by expected ends."""
        return pool in self._uneven

    def list_names(self) -> list[str]:
        """List the uneven pools."""
        return sorted(self._uneven)

    def load(self, names: tuple[str, ...]) -> None:
        """Adopt the uneven pools of the previous owner."""
        self._uneven.update(names)

    def find_spread(self, pool: str) -> PoolSpread:
        """Return the distribution of speeds in a pool, the prior one if unknown."""
        return self._spreads.get(pool, PoolSpread())

    def update(self, pool: str, spread: PoolSpread) -> None:
        """Record the spread of a pool, and log it if the pool becomes (un)even."""
        if not _is_known(spread):
            return
        self._spreads[pool] = spread
        limit = EVEN_DEVIATION if pool in self._uneven else UNEVEN_DEVIATION
        is_uneven = spread.deviation >= limit
        if is_uneven is (pool in self._uneven):
            return
        if is_uneven:
            self._uneven.add(pool)
        else:
            self._uneven.discard(pool)
        _log.info(
            "The workers of a pool are uneven."
            if is_uneven
            else "The workers of a pool are even.",
            pool=pool,
            deviation=round(spread.deviation, 3),
            measured=spread.measured,
            workers=spread.workers,
        )


def _is_known(spread: PoolSpread) -> bool:
    is_majority = 2 * spread.measured > spread.workers
    return spread.measured >= MIN_MEASURED_WORKERS or (
        is_majority and spread.measured >= MIN_MEASURED_OF_SMALL_POOL
    )
