"""The steps with tasks to start, updated as jobs change.

With some hundred open jobs, a search through all steps would take milliseconds, whereas
one event changes the steps of one job only.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from damaskdeck.coordination.pools.relocation import may_run_copies
from damaskdeck.coordination.pools.shares import AccountShares
from damaskdeck.coordination.pools.urgency import (
    Deadlines,
    Urgency,
    compute_urgency,
    find_deadlines,
)
from damaskdeck.state.pooljobs import MAX_WAITING_STEPS, Job, Step, Task

# A step that can't be placed for so long lets others of its job take its turn.
MAX_TURN_SECONDS = 1.0
# Where many jobs have many steps, fewer of each wait at a time, but not less than the
# minimum.
ALL_STEPS = 4096
MIN_WAITING_STEPS = 16
# A pass updates the jobs that have changed until so many steps were updated.
MAX_RENEWED_STEPS = 2048
# Of a step with more tasks that wait, only those are listed that may be placed.
MAX_KEPT_TASKS = 64


class PendingStep:
    """A step with tasks that wait for capacity.

    :ivar waiting: the number of the waiting tasks; of a gang all tasks.
    :ivar is_tried: whether all workers were tried since the step last changed. Then
        only workers whose free capacity has grown since need to be tried.
    """

    __slots__ = ("_tasks", "deadlines", "is_tried", "name", "step", "waiting")

    def __init__(self, step: Step, waiting: int, deadlines: Deadlines) -> None:
        self.step = step
        self.name = step.name
        self.waiting = waiting
        self.deadlines = deadlines
        self.is_tried = False
        self._tasks: list[Task] | None = None

    def list_tasks(self) -> list[Task]:
        """List all waiting tasks; they are kept, as each pass looks at them."""
        if self._tasks is None:
            self._tasks = self.step.list_waiting()
        return self._tasks


class RankedStep(NamedTuple):
    """A pending step with its sort key."""

    urgency: Urgency
    name: str
    pending: PendingStep


class PendingSteps:
    """All pending steps of an owner's jobs.

    :param shares: ranks the steps of declared client accounts; without it, all steps
        are ranked by urgency alone.
    :param measure_delay: returns how many seconds the owner needs for a start and for
        its end.
    """

    def __init__(
        self,
        shares: AccountShares | None = None,
        measure_delay: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._shares = shares
        self._measure_delay = measure_delay
        self._steps: dict[str, dict[str, PendingStep]] = {}
        # The steps with waiting tasks, those that are held back too, by job.
        self._waiting: dict[str, dict[Step, int]] = {}
        self._changed_jobs: dict[str, Job] = {}

    def __len__(self) -> int:
        return sum(map(len, self._steps.values()))

    def mark_changed(self, job: Job) -> None:
        """Record that the steps of a job may have changed."""
        self._changed_jobs[job.identifier] = job

    def retry(self, step: Step) -> None:
        """Let the next pass try all workers again for a step."""
        pending = self._steps.get(step.job.identifier, {}).get(step.name)
        if pending is not None:
            pending.is_tried = False

    def retry_all(self) -> None:
        """Let the next pass try all workers again for every step."""
        for steps in self._steps.values():
            for pending in steps.values():
                pending.is_tried = False

    def rank(self, now: float) -> list[RankedStep]:
        """List the pending steps in the order in which they get capacity."""
        self._renew_changed(now)
        delay = self._measure_delay()
        ranked = [
            RankedStep(
                compute_urgency(
                    pending.step,
                    pending.deadlines,
                    now + pending.deadlines.find_lead(delay),
                ),
                name,
                pending,
            )
            for steps in self._steps.values()
            for name, pending in steps.items()
        ]
        if self._shares is not None and self._shares.begin_pass(now):
            return _sort_by_shares(ranked, self._shares)
        ranked.sort(key=lambda entry: entry[:2])
        return ranked

    def postpone(
        self, may_postpone: Callable[[Step], bool], now: float
    ) -> Iterator[Step]:
        """Let other steps of a job take the turn of those that can't be placed.

        :param may_postpone: whether nothing is reserved or requested for a step.
        :returns: the steps that are no longer pending.
        """
        for pendings in list(self._steps.values()):
            job = next(iter(pendings.values())).step.job
            if not job.has_more:
                continue
            for pending in pendings.values():
                if _had_turn(pending, now) and may_postpone(pending.step):
                    job.postpone(pending.step)
                    self.mark_changed(job)
                    yield pending.step

    @property
    def has_changes(self) -> bool:
        """Whether changed jobs are left for the next pass."""
        return bool(self._changed_jobs)

    def _renew_changed(self, now: float) -> None:
        """Update the steps of changed jobs, as many as a pass may take."""
        jobs = max(len(self._waiting), len(self._changed_jobs), 1)
        window = max(MIN_WAITING_STEPS, min(MAX_WAITING_STEPS, ALL_STEPS // jobs))
        renewed = 0
        while self._changed_jobs and renewed < MAX_RENEWED_STEPS:
            job = self._changed_jobs.pop(next(iter(self._changed_jobs)))
            self._renew(job, window, now)
            renewed += len(job.waiting)

    def _renew(self, job: Job, window: int, now: float) -> None:
        identifier = job.identifier
        waiting = {} if job.is_final else _update_waiting(job, window, now)
        for step in self._waiting.pop(identifier, {}).keys() - waiting.keys():
            step.waiting_since = step.incomplete_since = None
        if waiting:
            self._waiting[identifier] = waiting
        steps = {
            step.name: PendingStep(step, waiting[step], find_deadlines(step))
            for step in waiting
            if not job.has_unconfirmed_runs or may_run_copies(step)
        }
        if self._shares is not None:
            self._shares.update_demand(
                job, ((p.step, p.waiting) for p in steps.values())
            )
        if steps:
            self._steps[identifier] = steps
        else:
            self._steps.pop(identifier, None)


def _had_turn(pending: PendingStep, now: float) -> bool:
    """Whether a step that nothing was started of has been tried for long enough."""
    since = pending.step.waiting_since
    is_over = since is not None and now - since >= MAX_TURN_SECONDS
    return is_over and pending.is_tried and pending.step.is_untouched


def _sort_by_shares(
    ranked: list[RankedStep], shares: AccountShares
) -> list[RankedStep]:
    """Return steps in the order of :class:`Precedence`, then of slack and name.

    Plain tuples are compared, as some hundred steps are sorted in each pass.
    """
    beyond, above = shares.beyond_rate, shares.above_share
    keyed = []
    for entry in ranked:
        (status, rank, slack), name, pending = entry
        job = pending.step.job
        is_above = job.record.account in above and shares.defer(pending.step)
        is_beyond = job.identifier in beyond
        keyed.append((status, is_beyond, rank, is_above, slack, name, entry))
    keyed.sort()
    return [key[-1] for key in keyed]


def _update_waiting(job: Job, window: int, now: float) -> dict[Step, int]:
    """Return the steps of a job with tasks to start, and the number of these.

    Since when they wait is recorded.
    """
    job.fill_window(window)
    counts = ((step, step.count_waiting()) for step in job.waiting)
    waiting = {step: count for step, count in counts if count}
    for step in waiting:
        if step.waiting_since is None:
            step.waiting_since = now
        if step.incomplete_since is None:
            step.incomplete_since = now
    return waiting
