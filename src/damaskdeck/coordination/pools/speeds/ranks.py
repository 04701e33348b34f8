"""Relative speeds of healthy workers, learned from completed steps.

The tasks of a step do about the same work, so the duration of each, compared with the
mean of its step, shows the speed of its worker. Errors of estimates affect a whole step
and cancel out. Workers that become slow are not detected here: that passes within
seconds and shows in the progress of their runs
(:mod:`damaskdeck.coordination.pools.speeds.slowness`).
"""

import math
from typing import NamedTuple

from damaskdeck.state.pooljobs import Run, Step

# Workers are ranked apart if they deviate from the mean by a tenth: hardware kinds
# differ by a fifth or more, and the learned value is off by about 0.05.
MIN_DEVIATION = 0.1
# Number of runs before a worker is ranked: the tasks of a step vary by 0.3, so the mean
# of this many is off by less than a tenth.
MIN_RUNS = 10
# Weight of the latest run once there are many.
MIN_WEIGHT = 0.04

# The runs of a step with more tasks are compared so many at a time.
MAX_SAMPLES = 256


class RelativeSpeed(NamedTuple):
    """The learned speed of a worker.

    :param mean: logarithm of its speed relative to other workers.
    :param runs: number of runs that contributed.
    """

    mean: float = 0.0
    runs: int = 0


class SpeedRanks:
    """Relative speeds of the workers of one owner."""

    def __init__(self) -> None:
        self._speeds: dict[str, RelativeSpeed] = {}
        self._durations: dict[Step, list[tuple[str, float]]] = {}

    def record_completion(self, run: Run, now: float) -> None:
        """Learn from a completed run that was observed from its start."""
        duration = now - run.settled_at
        step = run.task.step
        if duration <= 0 or step.spec.is_gang or run.checkpoint:
            return
        samples = self._durations.setdefault(step, [])
        samples.append((run.worker, math.log(duration)))
        if len(samples) == min(len(step.tasks), MAX_SAMPLES):
            self._update_speeds(self._durations.pop(step))

    def discard(self, step: Step) -> None:
        """Discard the samples of a step that will not complete."""
        self._durations.pop(step, None)

    def _update_speeds(self, samples: list[tuple[str, float]]) -> None:
        if len({worker for worker, _ in samples}) < 2:
            return
        mean = sum(log_duration for _, log_duration in samples) / len(samples)
        for worker, log_duration in samples:
            speed = self._speeds.get(worker, RelativeSpeed())
            weight = max(MIN_WEIGHT, 1 / (speed.runs + 1))
            error = (mean - log_duration) - speed.mean
            self._speeds[worker] = RelativeSpeed(
                speed.mean + weight * error, speed.runs + 1
            )

    def retain_workers(self, identifiers: frozenset[str]) -> None:
        """Discard workers that are gone."""
        for gone in self._speeds.keys() - identifiers:
            del self._speeds[gone]

    def rank(self, worker: str) -> int:
        """Return -1 for a fast worker, 1 for a slow one and 0 for all others."""
        speed = self._speeds.get(worker, RelativeSpeed())
        if speed.runs < MIN_RUNS or abs(speed.mean) < MIN_DEVIATION:
            return 0
        return -1 if speed.mean > 0 else 1
