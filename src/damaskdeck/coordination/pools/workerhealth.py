"""Which workers are trusted with tasks: failures and standing still, by evidence.

A worker that fails what runs well elsewhere goes into the quarantine that the
product has for its own workers, with pauses that fit the pools' short tasks. A
worker on which nothing moves is told by the progress that its tasks report.
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
from damaskdeck.state.pooljobs import Job, Run, RunPhase, Step, Task

# A fault of a worker lasts for seconds; longer pauses would waste a sound one.
QUARANTINE_PAUSE = timedelta(seconds=2)
# A rack's share and somewhat more may be held at a time.
QUARANTINE_SHARE = 0.25
# Attempts that a job must have left to be a probe of a doubted worker.
ATTEMPTS_TO_SPARE = 2
# Progress comes in whole percent; a task of a minute moves this often at least.
STILL_SECONDS = 0.9
# What a task has gained is not given up before it has stood still for as long,
# at most so long.
STANDSTILL_SECONDS = 3.0
# Progress is a rough figure; from here on a run may have nothing left to do.
DONE_PERCENT = 99
# A worker on which everything stood still gets nothing for so long, then twice.
STILL_PAUSE_SECONDS = 1.5
STILL_PAUSE_LIMIT = 6.0

_log = get_logger("trust")


class WorkerHealth:
    """What speaks against workers, for one owner."""

    def __init__(self, clock: Clock) -> None:
        self._quarantine = Quarantine(
            clock, FailureHistory(), QUARANTINE_SHARE, QUARANTINE_PAUSE
        )
        self._pauses: dict[str, float] = {}

    def set_workers(self, identifiers: frozenset[str]) -> None:
        """Note which workers there are."""
        self._quarantine.set_fleet(identifiers)
        for gone in [name for name in self._pauses if name not in identifiers]:
            del self._pauses[gone]

    def may_start(self, worker: str, job: Job) -> bool:
        """Tell whether a task of a job may start on a worker."""
        has_spare = job.queue.attempts >= ATTEMPTS_TO_SPARE
        return self._quarantine.may_start(worker, has_spare)

    def record_start(self, run: Run) -> None:
        """Take note of a start; on a doubted worker it is a probe."""
        self._quarantine.record_start(run.worker, name_run(run.task, run.attempt))

    def record_end(self, worker: str, task: Task, end: EndedTask) -> None:
        """Take note of how a run ended."""
        outcomes = {EndKind.COMPLETED: True, EndKind.FAILED: False}
        succeeded = outcomes.get(end.kind)
        if succeeded:
            self._pauses.pop(worker, None)
        self._quarantine.record_end(
            worker,
            task.step.job.queue.name,
            task.step.job.identifier,
            name_run(task, end.attempt),
            succeeded,
        )

    def find_stalled(self, contact: WorkerContact, now: float) -> Iterator[Run]:
        """Yield the runs to give up on a worker on which nothing moves.

        The worker gets nothing new for a while.
        """
        runs = [run for run in contact.runs.values() if is_working(run)]
        if not runs or not contact.is_synchronized:
            return
        still = contact.polled_at - max(run.progressed_at for run in runs)
        if still < STILL_SECONDS:
            return
        name = contact.info.identifier
        if now >= contact.paused_until:
            pause = self._pauses.get(name, STILL_PAUSE_SECONDS)
            contact.paused_until = now + pause
            self._pauses[name] = min(2 * pause, STILL_PAUSE_LIMIT)
            count_retry("trust", "standing_still")
            _log.warn("Nothing moves on a worker.", worker=name, runs=len(runs))
        for run in runs:
            if still >= min(measure_gain(run), STANDSTILL_SECONDS):
                yield run


def name_run(task: Task, attempt: int) -> str:
    """Return a name of a run that no other has."""
    return f"{task.step.name}.{task.name.index}#{attempt}"


def is_working(run: Run) -> bool:
    """Tell whether a run should be making progress.

    One that has done its work may wait for slower members of its gang.
    """
    is_running = run.phase is RunPhase.RUNNING and run.stopping_since is None
    return is_running and run.percent < DONE_PERCENT


def measure_gain(run: Run) -> float:
    """Return the seconds of work that stopping a run would lose, by estimates."""
    step: Step = run.task.step
    if step.spec.is_checkpointing:
        return 0.0
    return step.spec.estimate.total_seconds() * run.percent / 100
