"""Normal-normal estimates of the logarithms of workers' speeds.

The evidence on a worker is kept apart from the prior, which is the pool's distribution
and changes as more workers are measured.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

# Assumed spread of the workers of a pool before enough of them are measured: that of a
# pool with workers of 0.7 and 1.7 times the nominal time.
PRIOR_DEVIATION = 0.4
# A pool's measured spread serves as the prior only down to this value, so that a worker
# that differs from an otherwise even pool can still be recognized.
MIN_DEVIATION = 0.15
# Evidence counts as if it had at most this precision, a standard error of 0.06, so that
# later runs keep a weight of some percent and a lasting change is learned.
MAX_PRECISION = 300.0
# From this precision on a worker counts as measured: its evidence outweighs the prior.
MEASURED_PRECISION = PRIOR_DEVIATION**-2
# Workers that are slow for a while must not make a pool count as uneven. This share of
# the measured workers, the slowest ones, is left out of the spread.
TRIMMED_SHARE = 0.1
# The share of a normal distribution's standard deviation that remains after that.
TRIMMED_DEVIATION_SHARE = 0.844


class SpeedEstimate(NamedTuple):
    """An estimate of a worker's speed.

    :param mean: logarithm of its speed; 0 for a worker that needs the nominal time.
    :param error: its standard error.
    """

    mean: float = 0.0
    error: float = 0.0

    @property
    def duration_factor(self) -> float:
        """Expected duration of a task in multiples of its nominal duration."""
        return math.exp(-self.mean)


class SpeedEvidence(NamedTuple):
    """What the observations of one worker say, without a prior.

    :param mean: mean of the observed logarithms of its speed.
    :param precision: inverse of the variance of ``mean``.
    """

    mean: float = 0.0
    precision: float = 0.0

    @property
    def is_measured(self) -> bool:
        """Whether the observations outweigh the prior."""
        return self.precision >= MEASURED_PRECISION

    def add(self, log_speed: float, variance: float) -> "SpeedEvidence":
        """Return the evidence with one more observation."""
        weight = 1 / variance
        total = self.precision + weight
        mean = self.mean + (log_speed - self.mean) * weight / total
        return SpeedEvidence(mean, min(total, MAX_PRECISION))

    def discount(self) -> "SpeedEvidence":
        """Return the evidence with twice its error."""
        return SpeedEvidence(self.mean, self.precision / 4)


class PoolSpread(NamedTuple):
    """The distribution of the speeds of a pool's workers.

    :param mean: mean logarithm of the speed.
    :param deviation: standard deviation of the true logarithms.
    :param measured: number of measured workers.
    :param workers: number of workers.
    """

    mean: float = 0.0
    deviation: float = PRIOR_DEVIATION
    measured: int = 0
    workers: int = 0

    def estimate(self, evidence: SpeedEvidence) -> SpeedEstimate:
        """Combine the evidence on a worker with the pool's distribution."""
        prior = max(self.deviation, MIN_DEVIATION) ** -2
        precision = evidence.precision + prior
        total = evidence.mean * evidence.precision + self.mean * prior
        return SpeedEstimate(total / precision, precision**-0.5)


def measure_spread(evidence: Iterable[SpeedEvidence], workers: int) -> PoolSpread:
    """Return the distribution of the speeds of a pool.

    The evidence has no prior, so it is not shrunk towards the mean: its observed
    variance is the true variance plus that of the errors.

    :param evidence: on each worker of which there is any.
    :param workers: number of the pool's workers.
    """
    measured = sorted(e for e in evidence if e.is_measured)
    if not measured:
        return PoolSpread(workers=workers)
    kept = measured[int(TRIMMED_SHARE * len(measured)) :]
    mean = sum(e.mean for e in kept) / len(kept)
    observed = sum((e.mean - mean) ** 2 for e in kept) / max(1, len(kept) - 1)
    errors = sum(1 / e.precision for e in kept) / len(kept)
    # The mean for workers without evidence includes those left out of the spread.
    whole = sum(e.mean for e in measured) / len(measured)
    deviation = math.sqrt(max(0.0, observed - errors)) / TRIMMED_DEVIATION_SHARE
    return PoolSpread(whole, deviation, len(measured), workers)
