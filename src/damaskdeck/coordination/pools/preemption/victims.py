"""Which runs may be stopped for another step, and what stopping them costs."""

from collections.abc import Callable
from typing import NamedTuple

from damaskdeck.coordination.pools.availability import CapacityForecast
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.urgency import find_deadlines
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.pooljobs import Run, RunPhase, Step, Task

# A run without checkpoints is stopped only while it has done less than this.
MAX_DONE_SHARE = 0.1
# Remaining work is counted this many times: the estimates of patient steps are off by
# half, progress reports correct a part of that, and the task may restart on a slower
# worker.
REMAINING_FACTOR = 1.3
# The number of workers that a query for a restarted task names.
QUERY_WORKERS = 30


class Victim(NamedTuple):
    """A run that may be stopped, or all runs of a gang.

    :param lost: work lost by stopping it, in core-seconds.
    :param excess: how far its account is above its share.
    """

    lost: float
    excess: float
    name: str
    rank: int
    size: Size
    runs: tuple[Run, ...]


class VictimIndex:
    """The possible victims on each worker at one moment.

    A worker is evaluated at most once, when a search first needs it.

    :param may_preempt: whether a task, by its name, may be preempted.
    :param measure_wait: returns the expected wait of a step that is restarted, in
        seconds without the time for advice.
    :param latest_ends: when each step has to end for its job to be in time; steps are
        added as they are needed.
    :param measure_excess: returns how far a step's account is above its share.
    :param forecast: when the runs of workers should end.
    """

    def __init__(
        self,
        contacts: dict[str, WorkerContact],
        times: PoolTimes,
        now: float,
        may_preempt: Callable[[str], bool],
        measure_wait: Callable[[Step], float],
        latest_ends: dict[str, float],
        measure_excess: Callable[[Step], float] = lambda step: 0.0,
        forecast: CapacityForecast | None = None,
    ) -> None:
        self._forecast = forecast or CapacityForecast()
        self._contacts = contacts
        self._times = times
        self._now = now
        self._may_preempt = may_preempt
        self._measure_wait = measure_wait
        self._latest_ends = latest_ends
        self._measure_excess = measure_excess
        self._workers: dict[str, list[Victim]] = {}
        self._usable: dict[str, bool] = {}
        self._waits: dict[str, float] = {}
        self._max_stop_seconds = times.max_stop_time.total_seconds()
        self._restore_seconds = times.restore_time.total_seconds()

    def list_victims(self, worker: str, rank: int) -> list[Victim]:
        """List the victims on a worker for a step of a rank, the cheapest first."""
        if worker not in self._workers:
            found = map(self._build, self._contacts[worker].runs.values())
            self._workers[worker] = sorted(
                (victim for victim in found if victim is not None),
                key=lambda victim: (victim.lost, -victim.excess, victim.name),
            )
        return [victim for victim in self._workers[worker] if victim.rank > rank]

    def remove(self, worker: str, victims: set[str]) -> None:
        """Remove victims of a worker that are being stopped."""
        if worker in self._workers:
            self._workers[worker] = [
                victim for victim in self._workers[worker] if victim.name not in victims
            ]

    def _build(self, run: Run) -> Victim | None:
        step = run.task.step
        spec = step.spec
        if spec.is_long_running or step.job.is_final:
            return None
        runs = tuple(step.list_runs()) if spec.is_gang else (run,)
        if spec.is_gang and len(runs) != len(step.tasks):
            return None
        if not all(map(self._may_stop, runs)) or not self._stays_in_time(step, runs):
            return None
        return Victim(
            sum(map(self._measure_lost, runs)),
            self._measure_excess(step),
            step.name if spec.is_gang else name_task(run.task),
            step.job.queue.rank,
            spec.size,
            runs,
        )

    def _may_stop(self, run: Run) -> bool:
        return (
            run.phase is RunPhase.RUNNING
            and run.stopping_since is None
            and len(run.task.runs) == 1
            and (
                run.task.step.spec.is_checkpointing
                or self._measure_done(run) < MAX_DONE_SHARE
            )
            and self._may_preempt(name_task(run.task))
            and self._is_usable(run.worker)
        )

    def _is_usable(self, worker: str) -> bool:
        if worker not in self._usable:
            contact = self._contacts.get(worker)
            self._usable[worker] = contact is not None and contact.is_usable(self._now)
        return self._usable[worker]

    def _measure_done(self, run: Run) -> float:
        """Return the share of its work that a run has done."""
        spent = max(0.0, self._now - run.settled_at)
        remaining = self._forecast.find_end(run, self._now) - self._now
        by_time = spent / (spent + remaining) if spent + remaining else 1.0
        return max(run.percent / 100, by_time)

    def _measure_lost(self, run: Run) -> float:
        """Return the core-seconds that stopping a run loses."""
        spec = run.task.step.spec
        lost = (
            self._restore_seconds
            if spec.is_checkpointing
            else max(0.0, self._now - run.settled_at)
        )
        return lost * spec.size.millicores / 1000

    def _stays_in_time(self, step: Step, runs: tuple[Run, ...]) -> bool:
        """Whether a step ends in time if its runs are stopped and start again."""
        remaining = (
            max(self._forecast.find_end(run, self._now) for run in runs) - self._now
        )
        if step.spec.is_checkpointing:
            work, restore = remaining, self._restore_seconds
        else:
            spent = max(self._now - run.settled_at for run in runs)
            work, restore = spent + remaining, 0.0
        ends_at = self._now + self._find_wait(step) + restore + REMAINING_FACTOR * work
        return ends_at <= self._find_latest_end(step)

    def _find_wait(self, step: Step) -> float:
        """Return the longest stop, the query and the wait for capacity in seconds."""
        queue = step.job.queue
        if queue.name not in self._waits:
            wait = self._max_stop_seconds + self._measure_wait(step)
            if queue.advice is not None:
                query = queue.advice.base + QUERY_WORKERS * queue.advice.per_worker
                wait += query.total_seconds()
            self._waits[queue.name] = wait
        return self._waits[queue.name]

    def _find_latest_end(self, step: Step) -> float:
        """Return when a step has to end for its job to be in time.

        As other steps of the job end this may become later, but never earlier.
        """
        if step.name not in self._latest_ends:
            started_by = find_deadlines(step).on_time_start
            self._latest_ends[step.name] = (
                started_by + step.spec.estimate.total_seconds()
            )
        return self._latest_ends[step.name]


def name_task(task: Task) -> str:
    """Return a unique name of a task."""
    return f"{task.step.name}.{task.name.index}"
