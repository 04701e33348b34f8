"""The steps with tasks to start, updated as jobs change.

With some hundred open jobs, a search through all steps would take milliseconds, whereas
one event changes the steps of one job only.
"""

from collections.abc import Callable
from typing import NamedTuple

from damaskdeck.coordination.pools.relocation import may_run_copies
from damaskdeck.coordination.pools.shares import AccountShares
from damaskdeck.coordination.pools.urgency import (
    Deadlines,
    Urgency,
    compute_urgency,
    find_deadlines,
)
from damaskdeck.state.pooljobs import Job, Step, Task

# The next occurrence of a schedule that is behind gets its turn once fewer steps of the
# job wait.
MAX_WAITING_STEPS = 128


class PendingStep:
    """A step with tasks that wait for capacity.

    :ivar tasks: the waiting tasks; of a gang all tasks.
    :ivar is_tried: whether all workers were tried since the step last changed. Then
        only workers whose free capacity has grown since need to be tried.
    """

    __slots__ = ("deadlines", "is_tried", "name", "step", "tasks")

    def __init__(self, step: Step, tasks: list[Task], deadlines: Deadlines) -> None:
        self.step = step
        self.name = step.name
        self.tasks = tasks
        self.deadlines = deadlines
        self.is_tried = False


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
        changed_jobs, self._changed_jobs = self._changed_jobs, {}
        for job in changed_jobs.values():
            self._renew(job, now)
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

    def _renew(self, job: Job, now: float) -> None:
        steps = {} if job.is_final else _list_pending(job, now)
        if self._shares is not None:
            self._shares.update_demand(
                job, ((p.step, len(p.tasks)) for p in steps.values())
            )
        if steps:
            self._steps[job.identifier] = steps
        else:
            self._steps.pop(job.identifier, None)


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


def _list_pending(job: Job, now: float) -> dict[str, PendingStep]:
    pending: dict[str, PendingStep] = {}
    steps = job.list_steps()
    waiting = 0
    while True:
        for step in steps:
            tasks = step.list_waiting() if step.is_due else []
            if not tasks:
                step.waiting_since = step.incomplete_since = None
                continue
            waiting += 1
            if step.waiting_since is None:
                step.waiting_since = now
            if step.incomplete_since is None:
                step.incomplete_since = now
            if not job.has_unconfirmed_runs or may_run_copies(step):
                pending[step.name] = PendingStep(step, tasks, find_deadlines(step))
        if waiting >= MAX_WAITING_STEPS:
            return pending
        occurrence = job.open_next()
        if occurrence is None:
            return pending
        steps = iter(occurrence)
