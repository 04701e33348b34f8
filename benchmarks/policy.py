"""The whole policy under the replay: queue, placement, preemption and gangs."""

import time
from collections import deque
from datetime import timedelta

from benchmarks.replay import Cell, Task
from damaskdeck.coordination.passes import Pass
from damaskdeck.coordination.placement import Impossible, Placed, Placer
from damaskdeck.coordination.queueing import JobQueue
from damaskdeck.coordination.waiting import WaitingJob
from damaskdeck.defaults import WEIGHTS
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.accounts import Accounts, Reserved
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
        self.queue = JobQueue(CellClock(cell), self.quotas)
        self.spent = 0.0
        self.decisions: list[float] = []
        self._jobs: dict[str, deque[Task]] = {}

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
            assert isinstance(self.accounts.reserve(need, outcome.worker), Reserved)
            turn.take(job)
            self._take(job)
            cell.start(task, outcome.worker)
        elif isinstance(outcome, Impossible):
            self._refuse(cell, job)
        else:
            turn.fail(job, outcome.dimension)

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


def count_size(size: Size, count: int) -> Size:
    """Return ``size`` taken ``count`` times."""
    return Size(size[0] * count, size[1] * count, size[2] * count)
