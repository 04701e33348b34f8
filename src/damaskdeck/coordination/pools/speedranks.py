"""How fast sound workers are against each other, learnt from steps that completed.

Tasks of one step do about the same work, so what each took, against the mean of its
step, tells the speed of its worker; errors of estimates, which whole steps share,
cancel out. It says nothing about a worker that turns slow: that passes within seconds,
and is told by what its runs gain (:mod:`damaskdeck.coordination.pools.slowness`).
"""

import math
from typing import NamedTuple

from damaskdeck.state.pooljobs import Run, Step

# Workers are told apart by a tenth more or less than the mean: kinds differ by a fifth
# and more, and what is learnt is off by some 0.05.
TELLING = 0.1
# Runs of a worker that say something: tasks of a step differ by 0.3, so their mean is
# off by less than a tenth.
LEAST_RUNS = 10
# Weight of the newest run, once there are more.
LATEST_SHARE = 0.04


class Pace(NamedTuple):
    """What is learnt of a worker.

    :param mean: logarithm of its speed against others.
    :param runs: how many runs told it.
    """

    mean: float = 0.0
    runs: int = 0


class SpeedRanks:
    """Speeds of workers, for one owner."""

    def __init__(self) -> None:
        self._paces: dict[str, Pace] = {}
        self._took: dict[Step, list[tuple[str, float]]] = {}

    def record_completion(self, run: Run, now: float) -> None:
        """Learn from a run that has completed, and that was seen from its start."""
        took = now - run.settled_at
        step = run.task.step
        if took <= 0 or step.spec.is_gang or run.checkpoint:
            return
        told = self._took.setdefault(step, [])
        told.append((run.worker, math.log(took)))
        if len(told) == len(step.tasks):
            self._learn(self._took.pop(step))

    def discard(self, step: Step) -> None:
        """Drop what was gathered of a step that won't complete."""
        self._took.pop(step, None)

    def _learn(self, told: list[tuple[str, float]]) -> None:
        if len({worker for worker, _ in told}) < 2:
            return
        mean = sum(took for _, took in told) / len(told)
        for worker, took in told:
            pace = self._paces.get(worker, Pace())
            share = max(LATEST_SHARE, 1 / (pace.runs + 1))
            error = (mean - took) - pace.mean
            self._paces[worker] = Pace(pace.mean + share * error, pace.runs + 1)

    def set_workers(self, identifiers: frozenset[str]) -> None:
        """Forget workers that are gone."""
        for gone in self._paces.keys() - identifiers:
            del self._paces[gone]

    def rank(self, worker: str) -> int:
        """Return -1 for a fast worker, 1 for a slow one, 0 for others."""
        pace = self._paces.get(worker, Pace())
        if pace.runs < LEAST_RUNS or abs(pace.mean) < TELLING:
            return 0
        return -1 if pace.mean > 0 else 1
