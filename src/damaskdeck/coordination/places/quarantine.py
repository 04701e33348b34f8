"""Quarantine of workers that fail every task, with a cap and a gradual release."""

from datetime import timedelta
from enum import StrEnum

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.failures import FailureHistory
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal

# Maximum share of the fleet that may be in quarantine or under probation.
CAP_SHARE = 0.1
# Duration of the first quarantine of a worker; each further one lasts twice as
# long, up to the maximum.
INITIAL_PERIOD = timedelta(minutes=1)
MAX_PERIOD = timedelta(hours=1)
# Number of successful probes before a worker is released.
REQUIRED_PROBES = 3
# Minimum interval between reviews of isolated workers while workloads fail
# everywhere.
REVIEW_INTERVAL = timedelta(seconds=1)

_log = get_logger("quarantine")


class WorkerState(StrEnum):
    """The health of a worker as far as new tasks are concerned."""

    OPEN = "open"
    QUARANTINED = "quarantined"
    PROBING = "probing"


class _IsolatedWorker:
    """A worker in quarantine or, after ``until``, under probation.

    :ivar period: duration of this quarantine.
    :ivar until: monotonic time when the quarantine ends and probing begins.
    :ivar passed: number of successful probes in a row.
    :ivar probes: tasks that run as probes now.
    :ivar endless_probes: the same, of tasks that only end by failing.
    """

    __slots__ = ("endless_probes", "passed", "period", "probes", "until")

    def __init__(self, period: timedelta, until: timedelta) -> None:
        self.period = period
        self.until = until
        self.passed = 0
        self.probes: set[str] = set()
        self.endless_probes: set[str] = set()

    def take_probe(self, task: str) -> bool:
        """Remove a task from the probes; return whether it was one."""
        is_probe = task in self.probes or task in self.endless_probes
        self.probes.discard(task)
        self.endless_probes.discard(task)
        return is_probe


class Quarantine:
    """Decides which workers get no tasks because they fail every task.

    After its quarantine period, a worker gets idempotent tasks as probes: one,
    then two, then four at a time. A failed probe returns it to quarantine for
    twice as long. After ``probes`` successful probes in a row it is released.

    :param failures: the history of failed jobs.
    :param cap_share: maximum share of the fleet that may be isolated at a time.
    :param period: duration of the first quarantine of a worker.
    :param probes: number of successful probes before a release.
    :param max_period: maximum duration of a quarantine.
    """

    def __init__(
        self,
        clock: Clock,
        failures: FailureHistory,
        cap_share: float = CAP_SHARE,
        period: timedelta = INITIAL_PERIOD,
        probes: int = REQUIRED_PROBES,
        max_period: timedelta = MAX_PERIOD,
    ) -> None:
        self._max_period = max_period
        self._clock = clock
        self._failures = failures
        self._cap_share = cap_share
        self._initial_period = period
        self._required_probes = probes
        self._fleet: frozenset[str] = frozenset()
        self._isolated: dict[str, _IsolatedWorker] = {}
        self._periods: dict[str, timedelta] = {}
        self._reviewed_at = -REVIEW_INTERVAL

    @property
    def cap(self) -> int:
        """Maximum number of isolated workers: at least 1, but 0 of a single worker."""
        count = len(self._fleet)
        return max(int(count * self._cap_share), min(1, count - 1), 0)

    @property
    def isolated(self) -> frozenset[str]:
        """The workers in quarantine or under probation."""
        return frozenset(self._isolated)

    def set_fleet(self, workers: frozenset[str]) -> None:
        """Set the existing workers; a lower cap releases the latest isolated ones."""
        self._fleet = workers
        for worker in [name for name in self._isolated if name not in workers]:
            del self._isolated[worker]
        for worker in [name for name in self._periods if name not in workers]:
            del self._periods[worker]
        while len(self._isolated) > self.cap:
            self._release(next(reversed(self._isolated)), "cap")

    def find_state(self, worker: str) -> WorkerState:
        """Return the current health of a worker."""
        entry = self._isolated.get(worker)
        if entry is None:
            return WorkerState.OPEN
        if self._clock.monotonic() < entry.until:
            return WorkerState.QUARANTINED
        return WorkerState.PROBING

    def may_start(self, worker: str, is_idempotent: bool) -> bool:
        """Return whether a task may start on a worker now."""
        state = self.find_state(worker)
        if state is not WorkerState.PROBING:
            return state is WorkerState.OPEN
        entry = self._isolated[worker]
        return is_idempotent and len(entry.probes) < 2**entry.passed

    def record_start(self, worker: str, task: str, is_endless: bool = False) -> None:
        """Record a start; on an isolated worker it is a probe.

        :param is_endless: whether the task only ends by failing. Such a probe shows a
            failing worker and keeps no other probe waiting.
        """
        entry = self._isolated.get(worker)
        if entry is not None:
            (entry.endless_probes if is_endless else entry.probes).add(task)

    def record_end(
        self, worker: str, workload: str, job: str, task: str, succeeded: bool | None
    ) -> None:
        """Record the end of a task.

        :param succeeded: ``None`` if the end is no evidence, such as a preemption.
        """
        entry = self._isolated.get(worker)
        is_probe = entry is not None and entry.take_probe(task)
        if succeeded is None:
            return
        now = self._clock.monotonic()
        if succeeded:
            self._failures.record_success(worker, workload, now)
        else:
            self._failures.record_failure(worker, workload, job)
        if is_probe:
            self._decide_probe(worker, workload, entry, succeeded)
        elif entry is None and not succeeded:
            self._decide_isolation(worker, now)
        if not succeeded and self._failures.is_workload_failing(
            workload, self.isolated
        ):
            self._review_isolated(now)

    def _decide_isolation(self, worker: str, now: timedelta) -> None:
        if worker not in self._fleet:
            return
        if not self._failures.is_worker_failing(worker, now, self.isolated):
            return
        if len(self._isolated) >= self.cap:
            count_refusal("quarantine", "cap_reached")
            return
        self._isolate(worker, self._periods.get(worker, self._initial_period))

    def _decide_probe(
        self, worker: str, workload: str, entry: _IsolatedWorker, succeeded: bool
    ) -> None:
        if not succeeded:
            others = self.isolated - {worker}
            if not self._failures.is_workload_failing(workload, others):
                self._isolate(worker, min(entry.period * 2, self._max_period))
            return
        entry.passed += 1
        if entry.passed >= self._required_probes:
            self._release(worker, "probes")

    def _review_isolated(self, now: timedelta) -> None:
        """Release the workers that failed only workloads that fail everywhere."""
        if now - self._reviewed_at < REVIEW_INTERVAL:
            return
        self._reviewed_at = now
        for worker in tuple(self._isolated):
            others = self.isolated - {worker}
            if not self._failures.is_worker_failing(worker, now, others):
                self._release(worker, "workload_failing")

    def _isolate(self, worker: str, period: timedelta) -> None:
        count_refusal("quarantine", "worker_failing")
        _log.warn("Quarantined a failing worker.", worker=worker, pause=period)
        self._isolated[worker] = _IsolatedWorker(
            period, self._clock.monotonic() + period
        )
        self._periods[worker] = min(period * 2, self._max_period)

    def _release(self, worker: str, reason: str) -> None:
        _log.info("Released a worker from quarantine.", worker=worker, reason=reason)
        del self._isolated[worker]
        self._failures.clear_worker(worker)
