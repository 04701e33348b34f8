"""The whole policy under the replay: queue, placement, preemption and gangs."""

import time
from collections import deque
from datetime import timedelta

from benchmarks.replay import Cell, Task
from damaskdeck.coordination.failures import Failures
from damaskdeck.coordination.filters import Predicate
from damaskdeck.coordination.passes import Pass
from damaskdeck.coordination.placement import Impossible, Placed, Placer
from damaskdeck.coordination.preemption import (
    PreemptionBudget,
    Preemptor,
    Victims,
)
from damaskdeck.coordination.quarantine import Quarantine, WorkerState
from damaskdeck.coordination.queueing import JobQueue
from damaskdeck.coordination.waiting import WaitingJob
from damaskdeck.defaults import WEIGHTS
from damaskdeck.protocol.resources import Urgency
from damaskdeck.state.accounts import Accounts, Reserved, TaskNeed
from damaskdeck.state.quotas import Quotas


class CellClock:
    """The clock of a cell, for those who only read it."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell

    def monotonic(self) -> timedelta:
        """Return the time since the start of the replay."""
        return self._cell.now


class Policy:
    """One decider that sees all workers.

    :param spent: processor seconds used by the policy.
    :param decisions: processor seconds of each decision about a task or gang.
    """

    def __init__(self, cell: Cell, weights: dict[str, float] = WEIGHTS) -> None:
        self.accounts = Accounts()
        self.placer = Placer(self.accounts, weights)
        for worker in cell.mix.workers:
            self.accounts.set_worker(worker)
        self.quotas = Quotas(self.accounts.totals.size)
        for team, quota in cell.mix.quotas.items():
            self.quotas.set_quota(team, quota.size, quota.weight)
        clock = CellClock(cell)
        self.queue = JobQueue(clock, self.quotas)
        budget = PreemptionBudget(clock)
        self.preemptor = Preemptor(self.accounts, clock, budget)
        self.placer.add_filter(self.preemptor.prepare_claims)
        self.quarantine = Quarantine(clock, Failures())
        self.quarantine.set_fleet(frozenset(self.accounts.workers))
        self.placer.add_filter(self._prepare_probes)
        self.spent = 0.0
        self.decisions: list[float] = []
        self._jobs: dict[str, deque[Task]] = {}
        self._cleared: dict[str, tuple[WaitingJob, set[str]]] = {}
        self._clearing: dict[str, str] = {}

    def submit(self, cell: Cell, tasks: list[Task]) -> None:
        """Queue a job."""
        started = time.perf_counter()
        arrival = tasks[0].arrival
        self._push(arrival.job, tasks)
        self.spent += time.perf_counter() - started

    def end(self, cell: Cell, task: Task, has_failed: bool) -> None:
        """Free what a task held and queue it again if it has to run again."""
        started = time.perf_counter()
        self.accounts.release(task.name)
        self._note_cleared(task.name)
        self._note_quarantine(task, has_failed)
        self.quotas.release(task.arrival.team, task.size)
        if has_failed:
            task.avoid |= {task.worker}
        self.queue.note_room(self.accounts.workers[task.worker].free)
        if task.state == "waiting":
            self._push(task.name, [task])
        self.spent += time.perf_counter() - started

    def step(self, cell: Cell) -> None:
        """Decide about waiting jobs until nothing more fits."""
        started = time.perf_counter()
        self._start_cleared(cell)
        turn = Pass(self.queue)
        while (job := turn.next()) is not None:
            moment = time.perf_counter()
            self._decide(cell, turn, job)
            self.decisions.append(time.perf_counter() - moment)
        self.spent += time.perf_counter() - started

    def _decide(self, cell: Cell, turn: Pass, job: WaitingJob) -> None:
        tasks = self._jobs[job.name]
        if job.gang:
            self._decide_gang(cell, turn, job)
            return
        task = tasks[0]
        need = task.make_need()
        outcome = self.placer.place(need)
        if isinstance(outcome, Placed):
            turn.take(job)
            self._start(cell, job, need, outcome.worker)
        elif isinstance(outcome, Impossible):
            self._refuse(cell, job)
        elif job.urgency is Urgency.URGENT and self._preempt(cell, job, need):
            turn.skip(job, "room is being cleared")
        else:
            turn.fail(job, outcome.dimension)

    def _start(self, cell: Cell, job: WaitingJob, need: TaskNeed, worker: str) -> None:
        task = self._jobs[job.name][0]
        need = need._replace(started=cell.now)
        assert isinstance(self.accounts.reserve(need, worker), Reserved)
        self.preemptor.drop_claim(task.name)
        self._take(job)
        self.quarantine.note_start(worker, task.name)
        cell.start(task, worker)

    def _preempt(self, cell: Cell, job: WaitingJob, need: TaskNeed) -> bool:
        victims = self.preemptor.choose(need)
        if not isinstance(victims, Victims):
            return False
        names = {*victims.checkpointed, *victims.stopped}
        if names:
            self._cleared[job.name] = job, names
        for name in names:
            self._clearing[name] = job.name
            cell.stop(cell.tasks[name])
        return True

    def _note_cleared(self, name: str) -> None:
        self.preemptor.note_end(name)
        job_name = self._clearing.pop(name, None)
        if job_name in self._cleared:
            self._cleared[job_name][1].discard(name)

    def _start_cleared(self, cell: Cell) -> None:
        """Start the tasks whose victims are all gone."""
        ready = [job for job, names in self._cleared.values() if not names]
        for job in ready:
            del self._cleared[job.name]
            if job.name not in self.queue:
                continue
            need = self._jobs[job.name][0].make_need()
            outcome = self.placer.place(need)
            if isinstance(outcome, Placed):
                self.queue.take(job.name)
                self._start(cell, job, need, outcome.worker)

    def _note_quarantine(self, task: Task, has_failed: bool) -> None:
        succeeded = False if has_failed else task.state == "completed" or None
        arrival = task.arrival
        self.quarantine.note_end(
            task.worker, arrival.workload, arrival.job, task.name, succeeded
        )
        self._close(task.worker)

    def _close(self, worker: str) -> None:
        state = self.quarantine.find_state(worker)
        is_closed = state is WorkerState.QUARANTINED
        self.accounts.close_worker(worker, "quarantined" if is_closed else "")

    def _prepare_probes(self, need: TaskNeed) -> Predicate | None:
        held = self.quarantine.held
        if not held:
            return None
        may_start = self.quarantine.may_start
        return lambda account: (
            account.name not in held or may_start(account.name, need.idempotent)
        )

    def _decide_gang(self, cell: Cell, turn: Pass, job: WaitingJob) -> None:
        placed: dict[str, str] = {}
        tasks = list(self._jobs[job.name])
        for task in tasks:
            need = task.make_need()
            outcome = self.placer.place(need)
            if not isinstance(outcome, Placed):
                for name in placed:
                    self.accounts.release(name)
                if isinstance(outcome, Impossible):
                    self._refuse(cell, job)
                else:
                    turn.fail(job, outcome.dimension)
                return
            self.accounts.reserve(need, outcome.worker)
            placed[task.name] = outcome.worker
        turn.take(job)
        self._take(job)
        for task in tasks:
            self.quarantine.note_start(placed[task.name], task.name)
            cell.start(task, placed[task.name])

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

    def _take(self, job: WaitingJob) -> None:
        tasks = self._jobs[job.name]
        for _ in range(job.offered):
            tasks.popleft()
        if not tasks:
            del self._jobs[job.name]

    def _refuse(self, cell: Cell, job: WaitingJob) -> None:
        self.queue.remove(job.name)
        for task in self._jobs.pop(job.name):
            cell.refuse(task)
