"""Quarantine of workers that fail whatever they start, capped, with slow return."""

from datetime import timedelta
from enum import StrEnum

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.failures import FailureHistory
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal

# Share of the fleet that may be held in quarantine or be on its way back.
CAP_SHARE = 0.1
# The first time in quarantine; each return to it doubles the time.
PAUSE = timedelta(minutes=1)
PAUSE_LIMIT = timedelta(hours=1)
# Probes that must succeed before a worker is open again.
PROBES = 3
# How often held workers are looked at again, while workloads fail everywhere.
ACQUITTAL_INTERVAL = timedelta(seconds=1)

_log = get_logger("quarantine")


class WorkerState(StrEnum):
    """How far a worker is trusted."""

    OPEN = "open"
    QUARANTINED = "quarantined"
    PROBING = "probing"


class _Held:
    """A worker in quarantine or on its way back."""

    __slots__ = ("passed", "pause", "probes", "until")

    def __init__(self, pause: timedelta, until: timedelta) -> None:
        self.pause = pause
        self.until = until
        self.passed = 0
        self.probes: set[str] = set()


class Quarantine:
    """Decides which workers get no work because they fail everything.

    A worker waits for its pause, then gets idempotent tasks as probes: one,
    then two, then four at a time. A failed probe sends it back for twice as
    long; after ``probes`` good ones in a row it is open.

    :param failures: what is known of failed jobs.
    :param cap_share: share of the fleet that may be held at a time.
    """

    def __init__(
        self,
        clock: Clock,
        failures: FailureHistory,
        cap_share: float = CAP_SHARE,
        pause: timedelta = PAUSE,
        probes: int = PROBES,
    ) -> None:
        self._clock = clock
        self._failures = failures
        self._cap_share = cap_share
        self._pause = pause
        self._probes = probes
        self._fleet: frozenset[str] = frozenset()
        self._held: dict[str, _Held] = {}
        self._pauses: dict[str, timedelta] = {}
        self._acquitted = -ACQUITTAL_INTERVAL

    @property
    def cap(self) -> int:
        """How many workers may be held: one at least, unless it is the only one."""
        count = len(self._fleet)
        return max(int(count * self._cap_share), min(1, count - 1), 0)

    @property
    def isolated(self) -> frozenset[str]:
        """The workers in quarantine or on their way back."""
        return frozenset(self._held)

    def set_fleet(self, workers: frozenset[str]) -> None:
        """Note which workers there are; a lower cap lets the latest held ones go."""
        self._fleet = workers
        for worker in [name for name in self._held if name not in workers]:
            del self._held[worker]
        for worker in [name for name in self._pauses if name not in workers]:
            del self._pauses[worker]
        while len(self._held) > self.cap:
            self._release(next(reversed(self._held)), "cap")

    def find_state(self, worker: str) -> WorkerState:
        """Return how far a worker is trusted now."""
        isolated = self._held.get(worker)
        if isolated is None:
            return WorkerState.OPEN
        if self._clock.monotonic() < isolated.until:
            return WorkerState.QUARANTINED
        return WorkerState.PROBING

    def may_start(self, worker: str, is_idempotent: bool) -> bool:
        """Tell whether a task may start on a worker now."""
        state = self.find_state(worker)
        if state is not WorkerState.PROBING:
            return state is WorkerState.OPEN
        isolated = self._held[worker]
        return is_idempotent and len(isolated.probes) < 2**isolated.passed

    def record_start(self, worker: str, task: str) -> None:
        """Note a start; on a worker on its way back it is a probe."""
        if self.find_state(worker) is WorkerState.PROBING:
            self._held[worker].probes.add(task)

    def record_end(
        self, worker: str, workload: str, job: str, task: str, succeeded: bool | None
    ) -> None:
        """Note the end of a task.

        :param succeeded: ``None`` when the end says nothing, as a preemption.
        """
        isolated = self._held.get(worker)
        is_probe = isolated is not None and task in isolated.probes
        if isolated is not None:
            isolated.probes.discard(task)
        if succeeded is None:
            return
        now = self._clock.monotonic()
        if succeeded:
            self._failures.note_success(worker, workload, now)
        else:
            self._failures.note_failure(worker, workload, job)
        if is_probe:
            self._judge_probe(worker, workload, isolated, succeeded)
        elif isolated is None and not succeeded:
            self._judge(worker, now)
        if not succeeded and self._failures.is_workload_failing(
            workload, self.isolated
        ):
            self._acquit(now)

    def _judge(self, worker: str, now: timedelta) -> None:
        if worker not in self._fleet:
            return
        if not self._failures.is_worker_failing(worker, now, self.isolated):
            return
        if len(self._held) >= self.cap:
            count_refusal("quarantine", "cap_reached")
            return
        self._hold(worker, self._pauses.get(worker, self._pause))

    def _judge_probe(
        self, worker: str, workload: str, isolated: _Held, succeeded: bool
    ) -> None:
        if not succeeded:
            others = self.isolated - {worker}
            if not self._failures.is_workload_failing(workload, others):
                self._hold(worker, min(isolated.pause * 2, PAUSE_LIMIT))
            return
        isolated.passed += 1
        if isolated.passed >= self._probes:
            self._release(worker, "probes")

    def _acquit(self, now: timedelta) -> None:
        """Let go the workers that only failed what fails everywhere."""
        if now - self._acquitted < ACQUITTAL_INTERVAL:
            return
        self._acquitted = now
        for worker in tuple(self._held):
            others = self.isolated - {worker}
            if not self._failures.is_worker_failing(worker, now, others):
                self._release(worker, "workload_failing")

    def _hold(self, worker: str, pause: timedelta) -> None:
        count_refusal("quarantine", "worker_failing")
        _log.warn("A worker fails its tasks.", worker=worker, pause=pause)
        self._held[worker] = _Held(pause, self._clock.monotonic() + pause)
        self._pauses[worker] = min(pause * 2, PAUSE_LIMIT)

    def _release(self, worker: str, reason: str) -> None:
        _log.info("A worker is trusted again.", worker=worker, reason=reason)
        del self._held[worker]
        self._failures.forget_worker(worker)
