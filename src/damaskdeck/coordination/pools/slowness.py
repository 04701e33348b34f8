"""How fast workers are, told by the progress of what they run.

What a run gains in a second is weighed against its estimate; how far estimates are
off is learnt from the runs of a queue that have completed. Several runs on a worker
together tell its speed, each with the weight that its queue's estimates deserve.
"""

import math
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.workerhealth import is_working
from damaskdeck.logs import get_logger
from damaskdeck.state.pooljobs import Run, Step

# Sound workers differ by up to a half; a slow one takes several times as long.
SLOW_SPEED = 0.45
# Even with twice the error that its evidence has, a slow worker is below this.
SURELY_BELOW = 0.75
CERTAINTY = 2.0
# A slow worker without runs tells nothing; it is tried again after so long.
SLOW_SECONDS = 1.5
# Estimates tell something once so many runs of their queue have shown how far they
# are off; the first guess is a factor of about 1.6.
LEAST_LEARNT = 5
LEARNING_SHARE = 0.1
FIRST_VARIANCE = 0.25
LEAST_VARIANCE = 0.04
# A run that was seen for less of its work says little about its whole.
LEAST_SHARE = 0.5
# What a run gained before, and what others of its step gain, differs by less.
OWN_VARIANCE = 0.02
SIBLING_VARIANCE = 0.08
LEAST_OTHERS = 2
# Workers whose median is taken for what is usual.
LEAST_MEASURED = 3

_Told = tuple[str, float]

_log = get_logger("speeds")


class Bias(NamedTuple):
    """How estimates of a queue differ from what its runs take, in logarithms."""

    mean: float = 0.0
    variance: float = FIRST_VARIANCE
    runs: int = 0


class SlowWorkerDetector:
    """What is known of the workers' speeds, for one owner."""

    def __init__(self) -> None:
        self._biases: dict[str, Bias] = {}
        self._slow_until: dict[str, float] = {}
        self._paces: dict[Step, list[_Told]] = {}

    def record_completion(self, run: Run, now: float) -> None:
        """Learn from a run that has completed as it was observed to."""
        estimate = run.task.step.spec.estimate.total_seconds()
        took = now - run.settled_at
        if run.first_percent is None or not estimate or took <= 0:
            return
        queue = run.task.step.job.queue.name
        share = (100 - run.first_percent) / 100
        if share < LEAST_SHARE:
            return
        off = math.log(estimate * share / took)
        bias = self._biases.get(queue, Bias())
        error = off - bias.mean
        variance = bias.variance + LEARNING_SHARE * (error * error - bias.variance)
        self._biases[queue] = Bias(
            bias.mean + max(LEARNING_SHARE, 1 / (bias.runs + 1)) * error,
            max(LEAST_VARIANCE, variance),
            bias.runs + 1,
        )

    def is_slow(self, worker: str, now: float) -> bool:
        """Tell whether a worker was seen to be slow lately."""
        return self._slow_until.get(worker, 0.0) > now

    def judge(self, contacts: Iterable[WorkerContact], now: float) -> None:
        """Judge all workers by what their runs gain."""
        self._slow_until = {n: t for n, t in self._slow_until.items() if t > now}
        listed = list(contacts)
        self._paces = _gather_paces(listed)
        measured = [(c, found) for c in listed if (found := self._measure(c))]
        # Where all seem slow it is what was expected of them that is wrong.
        is_telling = len(measured) >= LEAST_MEASURED
        usual = median(found[0] for _, found in measured) if is_telling else 0.0
        for contact, (speed, error) in measured:
            speed -= min(usual, 0.0)
            name = contact.info.identifier
            is_sure = speed + CERTAINTY * error < math.log(SURELY_BELOW)
            if speed < math.log(SLOW_SPEED) and is_sure:
                if not self.is_slow(name, now):
                    _log.info(
                        "A worker is slow.",
                        worker=name,
                        speed=round(math.exp(speed), 2),
                        runs=len(contact.runs),
                    )
                self._slow_until[name] = now + SLOW_SECONDS
            elif speed >= math.log(SLOW_SPEED):
                self._slow_until.pop(name, None)

    def _measure(self, contact: WorkerContact) -> tuple[float, float] | None:
        """Return the logarithm of a worker's speed and its standard error."""
        total, weights = 0.0, 0.0
        for run in contact.runs.values():
            if run.pace is None or not is_working(run):
                continue
            expected, variance = self.expect(run)
            if not expected:
                continue
            # Progress comes in whole percent.
            variance += 1 / run.pace.least**2
            total += math.log(run.pace.rate / expected) / variance
            weights += 1 / variance
        return (total / weights, weights**-0.5) if weights else None

    def expect(self, run: Run) -> tuple[float, float]:
        """Return the percent in a second that a sound worker would give a run.

        Its own best so far says most, then what others of its step gain elsewhere,
        then its estimate; with the variance of the logarithm. 0 when nothing says.
        """
        if run.best_pace:
            return run.best_pace, OWN_VARIANCE
        told = self._paces.get(run.task.step, ())
        others = [pace for name, pace in told if name != run.worker]
        if len(others) >= LEAST_OTHERS:
            return median(others), SIBLING_VARIANCE
        estimate = run.task.step.spec.estimate.total_seconds()
        bias = self._biases.get(run.task.step.job.queue.name, Bias())
        if not estimate or bias.runs < LEAST_LEARNT:
            return 0.0, 0.0
        return 100 / estimate * math.exp(bias.mean), bias.variance


def _gather_paces(contacts: Iterable[WorkerContact]) -> dict[Step, list[_Told]]:
    """Return what the runs of each step gain in a second, with their workers."""
    paces: dict[Step, list[_Told]] = {}
    for contact in contacts:
        for run in contact.runs.values():
            if run.pace is not None:
                told = paces.setdefault(run.task.step, [])
                told.append((run.worker, run.pace.gained / run.pace.seconds))
    return paces
