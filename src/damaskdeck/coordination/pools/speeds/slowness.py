"""Detection of slow workers by the progress of their runs.

The rate of a run is compared with the rate expected from its estimate. The bias of the
estimates is learned per queue from completed runs. The runs of a worker are combined,
each weighted by how reliable the estimates of its queue are. In an uneven pool, a
worker is compared with its own usual speed.
"""

import math
from collections.abc import Callable, Iterable
from statistics import median
from typing import NamedTuple

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.speeds.estimates import SpeedEstimate
from damaskdeck.coordination.pools.workerhealth import should_progress
from damaskdeck.logs import get_logger
from damaskdeck.state.pooljobs import Run, Step

# Healthy workers differ by up to a half; a slow worker takes several times as long.
SLOW_SPEED = 0.45
# A slow worker's speed must be below this bound even if it is off by this many standard
# errors.
CONFIDENT_SPEED_BOUND = 0.75
STANDARD_ERRORS = 2.0
# A slow worker without runs gives no evidence; it is tried again after this time.
SLOW_MARK_SECONDS = 1.5
# Estimates count once this many runs of their queue have shown how far they are off.
# Before that, the assumed error is a factor of about 1.6.
MIN_BIAS_RUNS = 5
LEARNING_RATE = 0.1
INITIAL_VARIANCE = 0.25
MIN_VARIANCE = 0.04
# A run that was observed for a smaller share of its work says little about the whole.
MIN_OBSERVED_SHARE = 0.5
# The earlier rates of the same run and the rates of other runs of its step vary less
# than estimates.
OWN_VARIANCE = 0.02
SIBLING_VARIANCE = 0.08
MIN_SIBLINGS = 2
# Number of measured workers from which on their median serves as the typical speed.
MIN_MEASURED_WORKERS = 3

_RateSample = tuple[str, float]

_log = get_logger("speeds")


class EstimateBias(NamedTuple):
    """Bias of a queue's estimates against the durations of its runs, in logarithms."""

    mean: float = 0.0
    variance: float = INITIAL_VARIANCE
    runs: int = 0

    def add(self, log_ratio: float) -> "EstimateBias":
        """Return the bias after one more observation.

        :param log_ratio: logarithm of the estimate divided by the duration.
        """
        error = log_ratio - self.mean
        variance = self.variance + LEARNING_RATE * (error * error - self.variance)
        return EstimateBias(
            self.mean + max(LEARNING_RATE, 1 / (self.runs + 1)) * error,
            max(MIN_VARIANCE, variance),
            self.runs + 1,
        )


class SlowWorkerDetector:
    """Tracks the speeds of the workers of one owner.

    :param find_usual_speed: Returns the usual speed of a worker: the nominal one
        without an error for all workers of an even pool.
    """

    def __init__(self, find_usual_speed: Callable[[str], SpeedEstimate]) -> None:
        self._find_usual_speed = find_usual_speed
        self._biases: dict[str, EstimateBias] = {}
        self._slow_until: dict[str, float] = {}
        self._rates: dict[Step, list[_RateSample]] = {}

    def record_completion(self, run: Run, now: float) -> None:
        """Learn from a run that has completed, if its progress was observed."""
        estimate = run.task.step.spec.estimate.total_seconds()
        duration = now - run.settled_at
        if run.first_percent is None or not estimate or duration <= 0:
            return
        queue = run.task.step.job.queue.name
        share = (100 - run.first_percent) / 100
        if share < MIN_OBSERVED_SHARE:
            return
        log_ratio = math.log(estimate * share / duration) - self._find_pace(run)
        self._biases[queue] = self._biases.get(queue, EstimateBias()).add(log_ratio)

    def _find_pace(self, run: Run) -> float:
        """Return the logarithm of the speed that determined a run's duration.

        The members of a gang end when the slowest of them has done its work.
        """
        workers = {run.worker}
        if run.task.step.spec.is_gang:
            workers.update(other.worker for other in run.task.step.list_runs())
        return min(self._find_usual_speed(worker).mean for worker in workers)

    def is_slow(self, worker: str, now: float) -> bool:
        """Whether a worker was recently measured to be slow."""
        return self._slow_until.get(worker, 0.0) > now

    def update(self, contacts: Iterable[WorkerContact], now: float) -> None:
        """Update the speeds of all workers from the rates of their runs."""
        self._slow_until = {n: t for n, t in self._slow_until.items() if t > now}
        all_contacts = list(contacts)
        self._rates = self._collect_rates(all_contacts)
        measured = [
            (c, measurement) for c in all_contacts if (measurement := self._measure(c))
        ]
        # If all workers seem slow, the expected rates are wrong.
        has_enough = len(measured) >= MIN_MEASURED_WORKERS
        typical = (
            median(measurement[0] for _, measurement in measured) if has_enough else 0.0
        )
        for contact, (speed, error) in measured:
            speed -= min(typical, 0.0)
            name = contact.info.identifier
            is_confident = speed + STANDARD_ERRORS * error < math.log(
                CONFIDENT_SPEED_BOUND
            )
            if speed < math.log(SLOW_SPEED) and is_confident:
                if not self.is_slow(name, now):
                    _log.info(
                        "A worker is slow.",
                        worker=name,
                        speed=round(math.exp(speed), 2),
                        runs=len(contact.runs),
                    )
                self._slow_until[name] = now + SLOW_MARK_SECONDS
            elif speed >= math.log(SLOW_SPEED):
                self._slow_until.pop(name, None)

    def _measure(self, contact: WorkerContact) -> tuple[float, float] | None:
        """Return the logarithm of a worker's speed and its standard error."""
        total, weights = 0.0, 0.0
        for run in contact.runs.values():
            if run.progress_rate is None or not should_progress(run):
                continue
            expected, variance = self.estimate_rate(run)
            if not expected:
                continue
            # Progress is reported in whole percent.
            variance += 1 / run.progress_rate.min_gain**2
            total += math.log(run.progress_rate.rate / expected) / variance
            weights += 1 / variance
        return (total / weights, weights**-0.5) if weights else None

    def estimate_rate(self, run: Run) -> tuple[float, float]:
        """Return a run's usual rate on its worker and the variance of its logarithm.

        The best rate of the run itself is the strongest evidence, then the rates of
        other runs of its step on other workers, then its estimate. The rate is in
        percent per second, and 0 if there is no evidence.
        """
        if run.best_rate:
            return run.best_rate, OWN_VARIANCE
        usual = self._find_usual_speed(run.worker)
        samples = self._rates.get(run.task.step, ())
        others = [rate for name, rate in samples if name != run.worker]
        if len(others) >= MIN_SIBLINGS:
            rate = median(others) * math.exp(usual.mean)
            return rate, SIBLING_VARIANCE + usual.error**2
        estimate = run.task.step.spec.estimate.total_seconds()
        bias = self._biases.get(run.task.step.job.queue.name, EstimateBias())
        if not estimate or bias.runs < MIN_BIAS_RUNS:
            return 0.0, 0.0
        rate = 100 / estimate * math.exp(bias.mean + usual.mean)
        return rate, bias.variance + usual.error**2

    def estimate_rate_elsewhere(self, run: Run) -> float:
        """Return a run's rate on another healthy worker, 0 if there is no evidence.

        The worker may be a nominal one, so a fast worker's own rate is no measure.
        """
        rate, _ = self.estimate_rate(run)
        return rate * min(1.0, math.exp(-self._find_usual_speed(run.worker).mean))

    def _collect_rates(
        self, contacts: Iterable[WorkerContact]
    ) -> dict[Step, list[_RateSample]]:
        """Return the rates of each step's runs on nominal workers, with their workers.

        In an even pool these are the rates on the workers themselves.
        """
        rates: dict[Step, list[_RateSample]] = {}
        for contact in contacts:
            if not contact.runs:
                continue
            usual = self._find_usual_speed(contact.info.identifier)
            for run in contact.runs.values():
                if run.progress_rate is not None:
                    rate = run.progress_rate.gained / run.progress_rate.seconds
                    samples = rates.setdefault(run.task.step, [])
                    samples.append((run.worker, rate * usual.duration_factor))
        return rates
