"""Observed durations of the runs of one step, and what they say about the workers.

The runs of a step share the error of their estimate, so it cancels out: the duration
that the other workers' runs suggest for a nominal worker is compared with the duration
on one worker.
"""

import math
from typing import NamedTuple

from damaskdeck.coordination.pools.speeds.estimates import (
    PoolSpread,
    SpeedEvidence,
)
from damaskdeck.state.pooljobs import Run, Step, Task

# Variance of the logarithm of the work of a step's tasks, which differ by 0.15 to 0.3.
TASK_VARIANCE = 0.05
# The members of a gang have the same amount of work. The rest is the time that reports
# of their progress take.
MEMBER_VARIANCE = 0.01
# Progress is reported in whole percent, so this gain is off by a twentieth. With 20, a
# pool was known to be uneven 0.6 s later, as the slow members of gangs gain 9 between
# two polls.
MIN_GAIN_PERCENT = 8
# A run that has reported this much may have waited for its gang since.
MAX_PROGRESS_PERCENT = 99
# The part of a run's duration between the order and the report of its end that is not
# work, in seconds: 0.1 s minus what the confirmation of the order takes of it.
REPORT_SECONDS = 0.06
# The reported duration is not reduced below this share of itself.
MIN_WORK_SHARE = 0.5
# A sample counts as off by this many standard errors at most: a worker may have stood
# still for a while, which says nothing about its usual speed.
OUTLIER_ERRORS = 2.5

# The samples of a step with more tasks are used once there are so many.
MAX_SAMPLES = 256


class LogLevel(NamedTuple):
    """Estimated logarithm of a step's duration on a nominal worker.

    :param mean: of the duration in seconds.
    """

    mean: float
    variance: float


class _WorkerSample(NamedTuple):
    """The combined runs of a step on one worker."""

    worker: str
    log_duration: float
    variance: float


class StepSamples:
    """The observed runs of one step.

    Each run counts once: by its progress, or by its duration if it completes first.
    The samples are used once, all together: runs on one worker that were used one after
    another would confirm each other.

    :ivar is_used: Whether the samples were used; later ones are ignored.
    """

    def __init__(self, step: Step) -> None:
        self.step = step
        self.is_used = False
        self._observed: set[Run] = set()
        self._tasks: set[Task] = set()
        self._samples: dict[str, list[float]] = {}

    def list_workers(self) -> list[str]:
        """List the workers of the samples."""
        return list(self._samples)

    @property
    def is_ready(self) -> bool:
        """Whether there are samples of all tasks, or of enough of them."""
        needed = min(len(self.step.tasks), MAX_SAMPLES)
        return not self.is_used and len(self._tasks) >= needed

    def needs(self, run: Run) -> bool:
        """Whether a run may still add a sample."""
        return not self.is_used and run not in self._observed

    def record_progress(self, run: Run) -> None:
        """Add a run of which enough progress has been reported.

        A run that restores a checkpoint first makes no progress for a while. That takes
        all members of a gang equally long.
        """
        is_restored = bool(run.task.checkpoint) and not self.step.spec.is_gang
        if run.first_percent is None or is_restored or not self.needs(run):
            return
        gain = run.percent - run.first_percent
        seconds = run.progressed_at - run.first_at
        is_working = run.percent < MAX_PROGRESS_PERCENT
        if gain >= MIN_GAIN_PERCENT and seconds > 0 and is_working:
            self._add(run, math.log(100 * seconds / gain))

    def record_completion(self, run: Run, now: float) -> None:
        """Add a run that has completed; members of gangs end together."""
        duration = now - run.settled_at
        is_partial = bool(run.task.checkpoint) or run.is_adopted
        is_usable = not self.step.spec.is_gang and not is_partial and duration > 0
        if not is_usable or not self.needs(run):
            return
        worked = max(duration - REPORT_SECONDS, MIN_WORK_SHARE * duration)
        self._add(run, math.log(worked))

    def _add(self, run: Run, log_duration: float) -> None:
        self._observed.add(run)
        self._tasks.add(run.task)
        self._samples.setdefault(run.worker, []).append(log_duration)

    def learn(
        self, evidence: dict[str, SpeedEvidence], spread: PoolSpread, prior: LogLevel
    ) -> float:
        """Add what the samples say to the evidence on their workers.

        The runs on one worker share its speed, so they count as one sample, and what
        they suggest for the step is left out when that worker is judged.

        :param evidence: by worker, updated.
        :param prior: the level by the step's corrected estimate.
        :returns: the logarithm of the duration that the samples alone suggest.
        """
        self.is_used = True
        variance = MEMBER_VARIANCE if self.step.spec.is_gang else TASK_VARIANCE
        samples = [
            _WorkerSample(worker, sum(logs) / len(logs), variance / len(logs))
            for worker, logs in self._samples.items()
        ]
        speeds = [
            spread.estimate(evidence.get(sample.worker, SpeedEvidence()))
            for sample in samples
        ]
        suggested = [
            LogLevel(sample.log_duration + speed.mean, sample.variance + speed.error**2)
            for sample, speed in zip(samples, speeds, strict=True)
        ]
        precision = 1 / prior.variance + sum(1 / each.variance for each in suggested)
        total = prior.mean / prior.variance + sum(
            each.mean / each.variance for each in suggested
        )
        for sample, speed, own in zip(samples, speeds, suggested, strict=True):
            others = precision - 1 / own.variance
            mean = (total - own.mean / own.variance) / others
            variance = sample.variance + 1 / others
            limit = OUTLIER_ERRORS * math.sqrt(variance + speed.error**2)
            difference = mean - sample.log_duration - speed.mean
            observed = speed.mean + max(-limit, min(limit, difference))
            known = evidence.get(sample.worker, SpeedEvidence())
            evidence[sample.worker] = known.add(observed, variance)
        without_prior = total - prior.mean / prior.variance
        return without_prior / (precision - 1 / prior.variance)
