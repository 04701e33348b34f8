"""The speeds of the workers of one owner."""

import math
from collections.abc import Callable, Mapping

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.speeds.estimates import (
    SpeedEstimate,
    SpeedEvidence,
    measure_spread,
)
from damaskdeck.coordination.pools.speeds.expectations import StepExpectation
from damaskdeck.coordination.pools.speeds.ranks import SpeedRanks
from damaskdeck.coordination.pools.speeds.records import (
    KnownSpeed,
    build_key,
    build_write,
    restore_speeds,
)
from damaskdeck.coordination.pools.speeds.remaining import estimate_remaining
from damaskdeck.coordination.pools.speeds.samples import (
    TASK_VARIANCE,
    LogLevel,
    StepSamples,
)
from damaskdeck.coordination.pools.speeds.slowness import (
    EstimateBias,
    SlowWorkerDetector,
)
from damaskdeck.coordination.pools.speeds.unevenness import UnevenPools
from damaskdeck.metrics import set_speed_spread
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.transactions import Write
from damaskdeck.state.jobrecords import SpeedsRecord
from damaskdeck.state.pooljobs import Run, RunPhase, Step

# The record is written at most this often.
WRITE_INTERVAL_SECONDS = 5.0
# The speeds of this many workers that are gone are kept for their return.
MAX_GONE_WORKERS = 500
# While a worker is marked as slow at present, its runs don't count towards its usual
# speed once this is known with a smaller error.
SETTLED_ERROR = 0.15
# A worker whose rank is -1 or 1 in an uneven pool differs from the mean by at least
# this; long-running tasks and steps that prefer racks go by ranks.
RANK_DEVIATION = 0.1

_EVEN = SpeedEstimate()


class WorkerSpeeds:
    """Learns the speeds of workers and says what to expect of them.

    :ivar slow_workers: Detects the workers that are slow at present.
    """

    def __init__(self) -> None:
        self.slow_workers = SlowWorkerDetector(self._find_usual_speed)
        self._ranks = SpeedRanks()
        self._uneven = UnevenPools()
        self._evidence: dict[str, SpeedEvidence] = {}
        self._workers: dict[str, PoolWorker] = {}
        # The estimates of the workers of uneven pools, as of the last update.
        self._usual: dict[str, SpeedEstimate] = {}
        self._samples: dict[Step, StepSamples] = {}
        # The bias of the estimates of each queue against the duration of its steps on a
        # nominal worker. Unlike the detector's, it has no part of the workers' speeds.
        self._biases: dict[str, EstimateBias] = {}
        # The speeds of workers that are not known here, by key.
        self._gone: dict[str, KnownSpeed] = {}
        self._written_at = float("-inf")
        self._has_changed = False
        # The expected ends of gangs at one moment.
        self._gang_ends: dict[Step, float] = {}
        self._gang_ends_at = float("-inf")

    # Learning ----------------------------------------------------------------

    def record_completion(self, run: Run, now: float) -> None:
        """Learn from a completed run that was observed from its start."""
        step = run.task.step
        is_first_end = not (step.spec.is_gang and step.is_completed)
        if is_first_end or not self._is_uneven_worker(run.worker):
            self.slow_workers.record_completion(run, now)
        self._ranks.record_completion(run, now)
        if self._may_learn(run, now) and is_first_end and not step.job.is_final:
            self._find_samples(step).record_completion(run, now)

    def discard(self, step: Step) -> None:
        """Learn from the rest of a step's samples, as it has ended."""
        self._ranks.discard(step)
        samples = self._samples.pop(step, None)
        if samples is not None:
            self._learn(samples)

    def update(self, contacts: Mapping[str, WorkerContact], now: float) -> None:
        """Learn from the progress that polls have reported.

        :param contacts: by the identifier of the worker's incarnation.
        """
        self._update_workers(contacts)
        for contact in contacts.values():
            for run in contact.runs.values():
                self._record_progress(run, now)
        for step, samples in list(self._samples.items()):
            if step.is_completed or step.job.is_final:
                del self._samples[step]
                self._learn(samples)
            elif samples.is_ready:
                self._learn(samples)
        self._update_spreads()
        self._usual = {
            identifier: self.estimate(identifier)
            for identifier, worker in self._workers.items()
            if self.is_uneven(worker.pool)
        }
        self.slow_workers.update(contacts.values(), now)

    def _update_workers(self, contacts: Mapping[str, WorkerContact]) -> None:
        self._ranks.retain_workers(frozenset(contacts))
        for identifier in self._workers.keys() - contacts.keys():
            worker = self._workers.pop(identifier)
            evidence = self._evidence.pop(identifier, None)
            if evidence is not None:
                self._gone[build_key(worker)] = KnownSpeed(
                    worker.labels, evidence.discount()
                )
        for identifier, contact in contacts.items():
            if identifier not in self._workers:
                self._inherit(identifier, contact.info)
            self._workers[identifier] = contact.info
        while len(self._gone) > MAX_GONE_WORKERS:
            del self._gone[next(iter(self._gone))]

    def _inherit(self, identifier: str, worker: PoolWorker) -> None:
        """Adopt the speed of a worker's earlier incarnation with the same labels."""
        known = self._gone.pop(build_key(worker), None)
        if known is not None and known.labels == worker.labels:
            self._evidence.setdefault(identifier, known.evidence)

    def _may_learn(self, run: Run, now: float) -> bool:
        """Whether a run shows the usual speed of its worker.

        A run far from its data takes longer on any worker.
        """
        spec = run.task.step.spec
        if spec.is_long_running or spec.near or run.worker not in self._workers:
            return False
        if not self.slow_workers.is_slow(run.worker, now):
            return True
        return self.estimate(run.worker).error > SETTLED_ERROR

    def _find_samples(self, step: Step) -> StepSamples:
        samples = self._samples.get(step)
        if samples is None:
            samples = self._samples[step] = StepSamples(step)
        return samples

    def _record_progress(self, run: Run, now: float) -> None:
        step = run.task.step
        if run.first_percent is None or run.phase is not RunPhase.RUNNING:
            return
        samples = self._samples.get(step)
        if samples is not None and not samples.needs(run):
            return
        if (
            not step.is_completed
            and not step.job.is_final
            and self._may_learn(run, now)
        ):
            self._find_samples(step).record_progress(run)

    def _learn(self, samples: StepSamples) -> None:
        step = samples.step
        duration, variance = self._expect_duration(step)
        workers = samples.list_workers()
        if not duration or not workers or samples.is_used:
            return
        pool = self._find_pool(workers)
        spread = self._uneven.find_spread(pool)
        prior = LogLevel(math.log(duration), variance)
        level = samples.learn(self._evidence, spread, prior)
        self._has_changed = True
        queue = step.job.queue.name
        log_ratio = math.log(step.spec.estimate.total_seconds()) - level
        self._biases[queue] = self._find_bias(queue).add(log_ratio)

    def _find_bias(self, queue: str) -> EstimateBias:
        return self._biases.get(queue, EstimateBias())

    def _find_pool(self, workers: list[str]) -> str:
        known = (self._workers[name] for name in workers if name in self._workers)
        return next((worker.pool for worker in known), "")

    def _expect_duration(self, step: Step) -> tuple[float, float]:
        """Return a step's duration on a nominal worker and its log variance.

        The duration is in seconds, and 0 if the step has no estimate.
        """
        bias = self._find_bias(step.job.queue.name)
        estimate = step.spec.estimate.total_seconds()
        return estimate * math.exp(-bias.mean), bias.variance

    def _update_spreads(self) -> None:
        sizes: dict[str, int] = {}
        evidence: dict[str, list[SpeedEvidence]] = {}
        for identifier, worker in self._workers.items():
            sizes[worker.pool] = sizes.get(worker.pool, 0) + 1
            if identifier in self._evidence:
                evidence.setdefault(worker.pool, []).append(self._evidence[identifier])
        for pool, workers in sizes.items():
            spread = measure_spread(evidence.get(pool, ()), workers)
            self._uneven.update(pool, spread)
            set_speed_spread(pool, spread.deviation, spread.measured)

    # Expectations ------------------------------------------------------------

    def is_uneven(self, pool: str) -> bool:
        """Whether placement in a pool goes by expected ends."""
        return self._uneven.is_uneven(pool)

    def _is_uneven_worker(self, worker: str) -> bool:
        return worker in self._usual

    def estimate(self, worker: str, pool: str = "") -> SpeedEstimate:
        """Return the speed of a worker, the mean of its pool if it isn't measured.

        :param pool: the pool of a worker that may not be known here yet.
        """
        info = self._workers.get(worker)
        spread = self._uneven.find_spread(info.pool if info is not None else pool)
        return spread.estimate(self._evidence.get(worker, SpeedEvidence()))

    def _find_usual_speed(self, worker: str) -> SpeedEstimate:
        return self._usual.get(worker, _EVEN)

    def rank(self, worker: str) -> int:
        """Return -1 for a fast worker, 1 for a slow one and 0 for all others."""
        if not self._is_uneven_worker(worker):
            return self._ranks.rank(worker)
        spread = self._uneven.find_spread(self._workers[worker].pool)
        deviation = self.estimate(worker).mean - spread.mean
        if abs(deviation) < RANK_DEVIATION:
            return 0
        return -1 if deviation > 0 else 1

    def expect(
        self, step: Step, pool: str, slack: float, now: float
    ) -> StepExpectation | None:
        """Return what is expected of a step, ``None`` if ranks decide.

        :param slack: seconds until the step has to start by its estimate.
        """
        if not self.is_uneven(pool) or step.spec.is_long_running:
            return None
        duration, variance = self._expect_duration(step)
        if not duration:
            return None
        spread = self._uneven.find_spread(pool)
        since = step.constrained_since if step.constrained_since is not None else now
        return StepExpectation(
            duration,
            variance + (0.0 if step.spec.is_gang else TASK_VARIANCE),
            slack + step.spec.estimate.total_seconds(),
            math.exp(-spread.mean - spread.deviation),
            now - since,
        )

    def estimate_remaining(self, run: Run, now: float) -> float:
        """Return the seconds until a run ends, in an uneven pool with its gang."""
        if not self._is_uneven_worker(run.worker):
            return estimate_remaining(run, now)
        step = run.task.step
        if not step.spec.is_gang:
            return self._estimate_run(run, now)
        if self._gang_ends_at != now:
            self._gang_ends.clear()
            self._gang_ends_at = now
        if step not in self._gang_ends:
            self._gang_ends[step] = max(
                self._estimate_run(member, now) for member in (run, *step.list_runs())
            )
        return self._gang_ends[step]

    def _estimate_run(self, run: Run, now: float) -> float:
        duration, _ = self._expect_duration(run.task.step)
        expected = duration * self.estimate(run.worker).duration_factor
        return estimate_remaining(run, now, expected)

    # Record ------------------------------------------------------------------

    def load(self, record: SpeedsRecord) -> None:
        """Adopt what the previous owner has learned."""
        self._gone = restore_speeds(record)
        self._uneven.load(record.uneven)

    def write_if_due(self, now: float, request_write: Callable[[], None]) -> None:
        """Request a write of the record if it has changed in an uneven pool."""
        is_due = now - self._written_at >= WRITE_INTERVAL_SECONDS
        if is_due and self._has_changed and self._uneven.list_names():
            self._written_at, self._has_changed = now, False
            request_write()

    def build_write(self) -> tuple[Write, Callable[[], bool]]:
        """Return the write and a function to call once it is durable.

        Nothing waits for it, so the function returns ``False``.
        """
        known = {
            build_key(worker): KnownSpeed(worker.labels, self._evidence[identifier])
            for identifier, worker in self._workers.items()
            if identifier in self._evidence and self.is_uneven(worker.pool)
        }
        return build_write(known, self._uneven.list_names()), lambda: False
