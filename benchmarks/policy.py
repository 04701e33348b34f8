"""The complete scheduling policy in the replay.

It combines the queue, placement, preemption, gangs, quarantine and backfill.
"""

import time
from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from itertools import islice

from benchmarks.replay import Cell, Task
from damaskdeck.coordination.places.backfill import Backfill, count_slices
from damaskdeck.coordination.places.estimates import Estimates
from damaskdeck.coordination.places.failures import FailureHistory
from damaskdeck.coordination.places.filters import Predicate
from damaskdeck.coordination.places.placement import Impossible, Placed, Placer
from damaskdeck.coordination.places.preemption import (
    CLAIMED,
    NoVictims,
    PreemptionBudget,
    Preemptor,
)
from damaskdeck.coordination.places.quarantine import Quarantine, WorkerState
from damaskdeck.coordination.queues.passes import Pass
from damaskdeck.coordination.queues.queueing import RANKS, JobQueue
from damaskdeck.coordination.queues.waiting import WaitingJob
from damaskdeck.defaults import WEIGHTS
from damaskdeck.protocol.resources import Urgency
from damaskdeck.state.quotas import Quotas
from damaskdeck.state.workeraccounts import (
    InsufficientCapacity,
    Reserved,
    TaskNeed,
    WorkerAccounts,
)

PREEMPTING_URGENCIES = (Urgency.URGENT, Urgency.HIGH)


class CellClock:
    """The clock of a cell, for components that only read the time."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell

    def monotonic(self) -> timedelta:
        """Return the time since the start of the replay."""
        return self._cell.now


class Policy:
    """A scheduler that sees all workers.

    :ivar spent_seconds: seconds that all calls of the policy took.
    :ivar decision_seconds: seconds of each decision about a task or gang.
    """

    interval = timedelta(milliseconds=10)

    def __init__(
        self,
        cell: Cell,
        weights: Mapping[str, float] = WEIGHTS,
        make_placer: Callable[..., Placer] = Placer,
    ) -> None:
        self.accounts = WorkerAccounts()
        self.placer = make_placer(self.accounts, weights)
        for worker in cell.mix.workers:
            self.accounts.set_worker(worker)
        self.quotas = Quotas(self.accounts.totals.size)
        for team, quota in cell.mix.quotas.items():
            self.quotas.set_quota(team, quota.size, quota.weight)
        clock = CellClock(cell)
        self.queue = JobQueue(clock, self.quotas)
        budget = PreemptionBudget(clock)
        self.preemptor = Preemptor(
            self.accounts, clock, budget, find_refusal=self.placer.find_refusal
        )
        self.placer.add_filter(CLAIMED, self.preemptor.prepare_claims)
        self.quarantine = Quarantine(clock, FailureHistory())
        self.quarantine.set_fleet(frozenset(self.accounts.workers))
        self.placer.add_filter("probed", self._prepare_probes)
        self.estimates = Estimates()
        self.backfill = Backfill(
            self.accounts, clock, self._estimate, self.placer.find_refusal
        )
        self.placer.add_filter("planned", self.backfill.prepare)
        self.spent_seconds = 0.0
        self.decision_seconds: list[float] = []
        self._tasks = cell.tasks
        self._jobs: dict[str, deque[Task]] = {}
        self._preempting_jobs: dict[str, tuple[WaitingJob, set[str]]] = {}
        self._jobs_by_victim: dict[str, str] = {}

    def submit(self, cell: Cell, tasks: list[Task]) -> None:
        """Add a job to the queue."""
        started = time.perf_counter()
        arrival = tasks[0].arrival
        self._push(arrival.job, tasks)
        self.spent_seconds += time.perf_counter() - started

    def end(self, cell: Cell, task: Task, has_failed: bool) -> None:
        """Release a task's resources, and queue the task if it has to run again."""
        started = time.perf_counter()
        self.accounts.release(task.name)
        self._record_victim_end(task.name)
        self._record_run_time(cell, task)
        self._record_outcome(task, has_failed)
        rank = RANKS[task.arrival.urgency]
        self.quotas.release(task.arrival.team, task.size, rank)
        if has_failed:
            task.avoid |= {task.worker}
        self.queue.unblock_fitting(self.accounts.workers[task.worker].free)
        if task.state == "waiting":
            self._push(task.name, [task])
        self.spent_seconds += time.perf_counter() - started

    def step(self, cell: Cell) -> None:
        """Decide about the waiting jobs until no more of them fit."""
        started = time.perf_counter()
        self._start_preempting_jobs(cell)
        self._start_planned_job(cell)
        self._run_pass(cell)
        self.spent_seconds += time.perf_counter() - started

    def _run_pass(self, cell: Cell) -> None:
        offers = Pass(self.queue)
        while (job := offers.next()) is not None:
            decision_started = time.perf_counter()
            self._decide(cell, offers, job)
            self.decision_seconds.append(time.perf_counter() - decision_started)

    def _decide(self, cell: Cell, offers: Pass, job: WaitingJob) -> None:
        outcome = self._place_all(cell, job)
        if isinstance(outcome, Impossible):
            self._refuse(cell, job)
        elif isinstance(outcome, dict):
            offers.take(job)
            self._start_all(cell, job, outcome)
        elif job.urgency in PREEMPTING_URGENCIES and self._preempt(cell, job):
            offers.skip(job, "room is being cleared")
        else:
            offers.fail(job, outcome.dimension)
            if job.gang:
                self._plan(cell, job)

    def _preempt(self, cell: Cell, job: WaitingJob) -> bool:
        tasks = islice(self._jobs[job.name], job.offered)
        chosen = self.preemptor.choose_all([task.make_need() for task in tasks])
        if isinstance(chosen, NoVictims):
            return False
        victims = {
            name
            for chosen_victims in chosen
            for name in chosen_victims.checkpointed + chosen_victims.stopped
        }
        self._preempting_jobs[job.name] = job, victims
        for name in sorted(victims):
            self._jobs_by_victim[name] = job.name
            cell.stop(cell.tasks[name])
        return True

    def _record_victim_end(self, name: str) -> None:
        self.preemptor.record_end(name)
        job_name = self._jobs_by_victim.pop(name, None)
        if job_name in self._preempting_jobs:
            self._preempting_jobs[job_name][1].discard(name)

    def _start_preempting_jobs(self, cell: Cell) -> None:
        """Start the jobs all of whose preemption victims have ended."""
        ready = [job for job, victims in self._preempting_jobs.values() if not victims]
        for job in ready:
            del self._preempting_jobs[job.name]
            if job.name not in self.queue:
                continue
            outcome = self._place_all(cell, job)
            if isinstance(outcome, dict):
                self.queue.take(job.name)
                self._start_all(cell, job, outcome)
            else:
                for task in islice(self._jobs[job.name], job.offered):
                    self.preemptor.drop_claim(task.name)

    def _record_run_time(self, cell: Cell, task: Task) -> None:
        is_whole = task.state == "completed" and task.remaining == task.arrival.run_time
        run_time = cell.now - task.started if is_whole else None
        self.estimates.observe_end(task.arrival.workload, task.name, run_time)

    def _record_outcome(self, task: Task, has_failed: bool) -> None:
        succeeded = False if has_failed else task.state == "completed" or None
        arrival = task.arrival
        self.quarantine.record_end(
            task.worker, arrival.workload, arrival.job, task.name, succeeded
        )
        self._update_quarantine(task.worker)

    def _update_quarantine(self, worker: str) -> None:
        state = self.quarantine.find_state(worker)
        is_quarantined = state is WorkerState.QUARANTINED
        self.accounts.close_worker(worker, "quarantined" if is_quarantined else "")

    def _prepare_probes(self, need: TaskNeed) -> Predicate | None:
        isolated = self.quarantine.isolated
        if not isolated:
            return None
        may_start = self.quarantine.may_start
        return lambda account: (
            account.name not in isolated or may_start(account.name, need.idempotent)
        )

    def _start_planned_job(self, cell: Cell) -> None:
        """Start the job with the planned reservation once its time has come."""
        self.backfill.refresh()
        plan = self.backfill.plan
        if plan is None or plan.start > cell.now:
            return
        job = self.queue.get(plan.job)
        if job is None:
            self.backfill.drop_plan(plan.job)
        elif not self.queue.find_shortfall(job):
            outcome = self._place_all(cell, job)
            if isinstance(outcome, dict):
                self.queue.take(job.name)
                self._start_all(cell, job, outcome)

    def _place_all(
        self, cell: Cell, job: WaitingJob
    ) -> dict[str, str] | InsufficientCapacity | Impossible:
        placed: dict[str, str] = {}
        for task in islice(self._jobs[job.name], job.offered):
            need = task.make_need()._replace(started=cell.now)
            outcome = self._place(need)
            if not isinstance(outcome, str):
                for name in placed:
                    self.accounts.release(name)
                return outcome
            placed[task.name] = outcome
        return placed

    def _place(self, need: TaskNeed) -> str | InsufficientCapacity | Impossible:
        """Reserve capacity for a task, preferably where tasks were preempted for it.

        :returns: the name of the worker, or why the task wasn't placed.
        """
        claimed = self.preemptor.find_claim(need.task)
        if claimed and isinstance(self.accounts.reserve(need, claimed), Reserved):
            return claimed
        outcome = self.placer.place(need)
        if isinstance(outcome, Placed):
            self.accounts.reserve(need, outcome.worker)
            return outcome.worker
        return outcome

    def _start_all(self, cell: Cell, job: WaitingJob, placed: dict[str, str]) -> None:
        self._remove_offered(job)
        self.backfill.drop_plan(job.name)
        for name, worker in placed.items():
            self.preemptor.drop_claim(name)
            self.backfill.record_start(cell.tasks[name].make_need(), worker)
            self.quarantine.record_start(worker, name)
            cell.start(cell.tasks[name], worker)

    def _plan(self, cell: Cell, job: WaitingJob) -> None:
        """Plan a reservation for a gang, unless there is a plan already."""
        if self.backfill.plan is not None:
            return
        tasks = islice(self._jobs[job.name], job.offered)
        needs = tuple(task.make_need() for task in tasks)
        plan = self.backfill.make_plan(job.name, needs)
        if plan is None and not self._is_possible(needs[0], job.offered):
            self._refuse(cell, job)

    def _is_possible(self, need: TaskNeed, count: int) -> bool:
        workers = self.accounts.workers.values()
        return sum(count_slices(need.size, worker.size) for worker in workers) >= count

    def _estimate(self, need: TaskNeed) -> timedelta:
        arrival = self._tasks[need.task].arrival
        return self.estimates.estimate_run_time(arrival.workload, arrival.declared_time)

    def _push(self, name: str, tasks: list[Task]) -> None:
        first = tasks[0]
        arrival = first.arrival
        constraint = ",".join(sorted(arrival.zones) + sorted(first.avoid))
        is_gang = arrival.type == "gang" and len(tasks) > 1
        self._jobs[name] = deque(tasks)
        self.queue.push(
            WaitingJob(
                name,
                arrival.team,
                arrival.urgency,
                first.size,
                arrival.time,
                len(tasks),
                is_gang,
                constraint,
            )
        )

    def _remove_offered(self, job: WaitingJob) -> None:
        tasks = self._jobs[job.name]
        for _ in range(job.offered):
            tasks.popleft()
        if not tasks:
            del self._jobs[job.name]

    def _refuse(self, cell: Cell, job: WaitingJob) -> None:
        self.queue.remove(job.name)
        for task in self._jobs.pop(job.name):
            cell.refuse(task)
