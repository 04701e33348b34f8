"""Health of workers by evidence: failed tasks and stalled runs.

A worker that fails tasks that succeed elsewhere is put into the same quarantine as the
product's own workers, with pauses that suit the pools' short tasks. A stalled worker
shows in the progress that its tasks report.
"""

from collections.abc import Iterator
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.failures import FailureHistory
from damaskdeck.coordination.places.quarantine import Quarantine
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry
from damaskdeck.protocol.pools import EndedTask, EndKind
from damaskdeck.state.pooljobs import Run, RunPhase, Step, Task

# A fault of a worker lasts for seconds; longer pauses would waste healthy workers.
QUARANTINE_PAUSE = timedelta(seconds=2)
MAX_QUARANTINE_PAUSE = timedelta(seconds=4)
# A rack's share of the workers, and somewhat more, may be in quarantine at a time.
QUARANTINE_SHARE = 0.25
# Attempts that a job must have left to probe a suspect worker.
MIN_PROBE_ATTEMPTS = 2
# Progress comes in whole percent, so a task of a minute progresses at least this often.
STALL_SECONDS = 0.9
# A run is stopped only after it has stalled for as long as the work that it would lose,
# but for at most this time.
MAX_STALL_SECONDS = 3.0
# Progress is an estimate; from this value on a run may have no work left.
DONE_PERCENT = 99
# A worker on which all runs stalled gets no task for this time, then for twice as long
# each time.
STALL_PAUSE_SECONDS = 1.5
MAX_STALL_PAUSE_SECONDS = 6.0

_log = get_logger("trust")


class WorkerHealth:
    """Evidence on the health of the workers of one owner."""

    def __init__(self, clock: Clock) -> None:
        self._quarantine = Quarantine(
            clock,
            FailureHistory(),
            QUARANTINE_SHARE,
            QUARANTINE_PAUSE,
            max_period=MAX_QUARANTINE_PAUSE,
        )
        self._pauses: dict[str, float] = {}

    @property
    def isolated(self) -> frozenset[str]:
        """The workers in quarantine or under probation."""
        return self._quarantine.isolated

    def retain_workers(self, identifiers: frozenset[str]) -> None:
        """Discard workers that are gone."""
        self._quarantine.set_fleet(identifiers)
        for gone in [name for name in self._pauses if name not in identifiers]:
            del self._pauses[gone]

    def may_start(self, worker: str, step: Step) -> bool:
        """Whether a task of a step may start on a worker."""
        has_spare = step.job.queue.attempts >= MIN_PROBE_ATTEMPTS
        return self._quarantine.may_start(worker, has_spare)

    def may_risk(self, task: Task) -> bool:
        """Whether a task may start on a suspect worker rather than wait on.

        A task that lasts may fail at any time; others need an attempt to spare.
        """
        step = task.step
        if step.spec.is_gang:
            return False
        failed = len(step.failures.get(task.name.index, ()))
        left = step.job.queue.attempts - failed
        return step.spec.is_long_running or left >= MIN_PROBE_ATTEMPTS

    def record_start(self, run: Run) -> None:
        """Record a start, which is a probe on a suspect worker."""
        self._quarantine.record_start(
            run.worker,
            format_run_name(run.task, run.attempt),
            run.task.step.spec.is_long_running,
        )

    def record_loss(self, run: Run) -> None:
        """Record a run that is gone without an end, which is no evidence."""
        step = run.task.step
        self._quarantine.record_end(
            run.worker,
            step.job.queue.name,
            step.job.identifier,
            format_run_name(run.task, run.attempt),
            None,
        )

    def record_end(self, worker: str, task: Task, end: EndedTask) -> None:
        """Record the end of a run."""
        outcomes = {EndKind.COMPLETED: True, EndKind.FAILED: False}
        succeeded = outcomes.get(end.kind)
        if succeeded:
            self._pauses.pop(worker, None)
        self._quarantine.record_end(
            worker,
            task.step.job.queue.name,
            task.step.job.identifier,
            format_run_name(task, end.attempt),
            succeeded,
        )

    def find_stalled(self, contact: WorkerContact, now: float) -> Iterator[Run]:
        """Yield the runs to stop on a worker on which nothing progresses.

        The worker gets no new task for a while.
        """
        runs = [run for run in contact.runs.values() if should_progress(run)]
        if not runs or not contact.are_runs_listed:
            return
        stalled = contact.polled_at - max(run.progressed_at for run in runs)
        if stalled < STALL_SECONDS:
            return
        name = contact.info.identifier
        if now >= contact.paused_until:
            pause = self._pauses.get(name, STALL_PAUSE_SECONDS)
            contact.paused_until = now + pause
            self._pauses[name] = min(2 * pause, MAX_STALL_PAUSE_SECONDS)
            count_retry("trust", "standing_still")
            _log.warn("All runs of a worker have stalled.", worker=name, runs=len(runs))
        for run in runs:
            if stalled >= min(estimate_lost_work(run), MAX_STALL_SECONDS):
                yield run


def format_run_name(task: Task, attempt: int) -> str:
    """Return a unique name of a run."""
    return f"{task.step.name}.{task.name.index}#{attempt}"


def should_progress(run: Run) -> bool:
    """Whether a run should make progress.

    A run that has done its work may wait for slower members of its gang.
    """
    is_running = run.phase is RunPhase.RUNNING and run.stopping_since is None
    return is_running and run.percent < DONE_PERCENT


def estimate_lost_work(run: Run) -> float:
    """Return the seconds of work that stopping a run would lose, by estimates."""
    step: Step = run.task.step
    if step.spec.is_checkpointing:
        return 0.0
    return step.spec.estimate.total_seconds() * run.percent / 100
