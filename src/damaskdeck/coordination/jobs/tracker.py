"""Tracking of placed tasks: updates, unconfirmed attempts and stops."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta

from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.coordination.jobs.needs import make_attempt
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.updates import ResultSizes, decide_updates
from damaskdeck.coordination.workers.leases import compute_takeover_bound
from damaskdeck.protocol import jobs
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.state.jobmodel import Job, Task, TaskState
from damaskdeck.state.ledger import Committed
from damaskdeck.state.names import parse_job_name

CHECK_INTERVAL = timedelta(seconds=1)
BATCH_LIMIT = 500
CALL_TIMEOUT = timedelta(seconds=3)
OWNER_CHECK_INTERVAL = timedelta(seconds=3)
SILENCE_LIMIT = timedelta(seconds=10)
# Long enough for a previous or new owner of the worker to report its tasks first.
REMOVED_WORKER_TIMEOUT = compute_takeover_bound() + timedelta(seconds=15)
PLACED_STATES = (TaskState.PLACED, TaskState.RUNNING)


class TaskTracker:
    """Tracks the tasks of one owned ledger that are on workers.

    An unconfirmed task may or may not have started; the owner of its worker is
    called until it reports the state. A task moves only on a report of an owner, or
    once the platform has not listed its worker for ``REMOVED_WORKER_TIMEOUT``. So the
    tasks of an unreachable availability zone stay where they are.

    :param is_listed: returns whether the platform lists a worker.
    """

    def __init__(
        self,
        ledger: OwnedLedger,
        ownership: Ownership,
        peers: Peers,
        clock: Clock,
        is_listed: Callable[[str], bool],
    ) -> None:
        self._is_listed = is_listed
        self._unlisted_since: dict[str, timedelta] = {}
        self._ledger = ledger
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._unconfirmed: dict[str, None] = {}
        self._silence_deadlines: deque[tuple[timedelta, str, int]] = deque()
        self._stops: dict[str, None] = {}
        self._epochs: dict[str, int] = {}
        self._next_owner_check = timedelta()
        self._worker_tasks: dict[str, dict[str, None]] = {}
        self._task_workers: dict[str, str] = {}
        self._result_sizes: ResultSizes = {}
        self._changed = asyncio.Event()
        ledger.on_change(self.handle_changes)

    def mark_unconfirmed(self, tasks: Iterable[str]) -> None:
        """Check tasks with the owners of their workers until their state is known."""
        self._unconfirmed.update((task, None) for task in tasks)
        self._changed.set()

    def handle_changes(self, tasks: tuple[str, ...]) -> None:
        """Update the tracked tasks after changes of the table."""
        gangs: dict[str, None] = {}
        for name in tasks:
            task = self._ledger.table.tasks.get(name)
            is_on_worker = task is not None and task.state in PLACED_STATES
            self._set_worker(name, task.worker if is_on_worker else "")
            if self._result_sizes and not is_on_worker:
                self._remove_result_size(name)
            if task is None:
                continue
            job = self._get_job(task)
            if task.state is TaskState.PLACED:
                due = self._clock.monotonic() + SILENCE_LIMIT
                self._silence_deadlines.append((due, name, task.attempt))
            if is_on_worker and job.stopping:
                self._stops[name] = None
                self._changed.set()
            if job.spec["type"] == "gang" and task.state is TaskState.QUEUED:
                gangs[job.name] = None
        for name in gangs:
            self._stop_gang(self._ledger.table.jobs[name])

    def _mark_silent(self) -> None:
        """Mark placed tasks as unconfirmed if no update arrived for a long time."""
        now = self._clock.monotonic()
        while self._silence_deadlines and self._silence_deadlines[0][0] <= now:
            _, name, attempt = self._silence_deadlines.popleft()
            task = self._ledger.table.find_attempt(name, attempt)
            if task is not None and task.state is TaskState.PLACED:
                self._unconfirmed[name] = None

    def _stop_gang(self, job: Job) -> None:
        """Stop the placed and running tasks of a gang if others must wait again.

        The tasks of a gang run all at once or not at all.
        """
        for task in self._ledger.table.list_tasks(job):
            if task.state in PLACED_STATES:
                self._stops[task.name] = None
                self._changed.set()

    async def run(self) -> None:
        """Check unconfirmed tasks and send stops until cancelled."""
        while True:
            self._check_owner_changes()
            self._mark_silent()
            await self._report_unlisted_as_lost()
            await self.check_all()
            await self._stop_all()
            self._changed.clear()
            await wait_for_event(self._changed, CHECK_INTERVAL, self._clock)

    async def check_all(self) -> None:
        """Check each unconfirmed task once with the owner of its worker."""
        groups = self._group(self._unconfirmed)
        await asyncio.gather(*(self._check(o, g) for o, g in groups.items()))

    async def handle_updates(
        self, updates: list[jobs.TaskUpdate], is_answer: bool = False
    ) -> jobs.TaskUpdatesReply | None:
        """Record updates of tasks; return ``None`` if they can't be made durable.

        :param is_answer: whether the updates answer a check. Only then does the
            state ``running`` confirm a task.
        """
        decision = decide_updates(self._ledger.table, updates, self._result_sizes)
        changes = decision.list_records(self._ledger.get_time())
        if changes:
            try:
                outcome = await self._ledger.commit(*changes)
            finally:
                for end in decision.ends:
                    self._remove_result_size(end["task"])
            if not isinstance(outcome, Committed):
                return None
        for item in updates:
            if is_answer or item["state"] != "running":
                self._confirm(item)
        return jobs.TaskUpdatesReply(noted=decision.noted, stop=decision.stop)

    def _confirm(self, update: jobs.TaskUpdate) -> None:
        """Mark an attempt as confirmed unless the update leaves it unconfirmed."""
        task = self._ledger.table.tasks.get(update["task"])
        is_current = task is None or task.attempt == update["attempt"]
        if is_current and update["state"] not in ("unsure", "starting"):
            self._unconfirmed.pop(update["task"], None)

    def _remove_result_size(self, task: str) -> None:
        """Remove the size of a result whose commit has ended, durable or not."""
        sizes = self._result_sizes.get(parse_job_name(task), {})
        sizes.pop(task, None)
        if not sizes:
            self._result_sizes.pop(parse_job_name(task), None)

    def _set_worker(self, name: str, worker: str) -> None:
        previous = self._task_workers.get(name, "")
        if previous == worker:
            return
        if previous:
            self._worker_tasks[previous].pop(name, None)
            self._task_workers.pop(name)
            self._unconfirmed.pop(name, None)
            self._stops.pop(name, None)
        if worker:
            self._task_workers[name] = worker
            self._worker_tasks.setdefault(worker, {})[name] = None

    def _check_owner_changes(self) -> None:
        """Mark the tasks of workers that have a new owner as unconfirmed."""
        now = self._clock.monotonic()
        if now < self._next_owner_check:
            return
        self._next_owner_check = now + OWNER_CHECK_INTERVAL
        for worker, tasks in self._worker_tasks.items():
            owner = self._ownership.find_owner(f"worker/{worker}")
            if owner is None or not tasks:
                continue
            if self._epochs.get(worker) != owner.epoch:
                self._epochs[worker] = owner.epoch
                self._unconfirmed.update(tasks)

    async def _report_unlisted_as_lost(self) -> None:
        """Report tasks as lost if the platform no longer lists their worker.

        ``REMOVED_WORKER_TIMEOUT`` lets a remaining owner report them first.
        """
        now = self._clock.monotonic()
        for worker, tasks in list(self._worker_tasks.items()):
            if self._is_listed(worker):
                self._unlisted_since.pop(worker, None)
            elif not tasks:
                self._remove_worker(worker)
            elif (
                now - self._unlisted_since.setdefault(worker, now)
                >= REMOVED_WORKER_TIMEOUT
            ):
                updates = [
                    self._make_lost_update(self._ledger.table.tasks[name])
                    for name in tasks
                ]
                await self.handle_updates(updates)

    def _remove_worker(self, worker: str) -> None:
        del self._worker_tasks[worker]
        self._epochs.pop(worker, None)
        self._unlisted_since.pop(worker, None)

    def _make_lost_update(self, task: Task) -> jobs.TaskUpdate:
        return jobs.TaskUpdate(
            task=task.name,
            attempt=task.attempt,
            worker=task.worker,
            state="lost",
            code="worker_gone",
        )

    def _group(self, names: Iterable[str]) -> dict[str, list[Task]]:
        groups: dict[str, list[Task]] = {}
        for name in names:
            task = self._ledger.table.tasks.get(name)
            if task is None or task.state not in PLACED_STATES:
                continue
            owner = self._ownership.find_owner(f"worker/{task.worker}")
            if owner is not None:
                groups.setdefault(owner.instance, []).append(task)
        return groups

    async def _check(self, owner: str, tasks: list[Task]) -> None:
        for start in range(0, len(tasks), BATCH_LIMIT):
            message = jobs.CheckTasks(
                ledger=self._ledger.name,
                epoch=self._ledger.epoch,
                tasks=[
                    self._make_attempt(task)
                    for task in tasks[start : start + BATCH_LIMIT]
                ],
            )
            answer = await self._peers.call(
                owner, message, jobs.CheckTasks, CALL_TIMEOUT
            )
            if isinstance(answer, Answered) and answer.message is not None:
                await self.handle_updates(answer.message["tasks"], True)

    async def _stop_all(self) -> None:
        groups = self._group(self._stops)
        await asyncio.gather(*(self._stop(o, g) for o, g in groups.items()))

    async def _stop(self, owner: str, tasks: list[Task]) -> None:
        """Stop tasks; those that will run again are checkpointed if possible."""
        for is_last in (True, False):
            part = [task for task in tasks if self._get_job(task).stopping is is_last]
            for start in range(0, len(part), BATCH_LIMIT):
                message = jobs.StopTasks(
                    ledger=self._ledger.name,
                    epoch=self._ledger.epoch,
                    tasks=[
                        self._make_attempt(t) for t in part[start : start + BATCH_LIMIT]
                    ],
                    is_last=is_last,
                )
                await self._peers.call(owner, message, jobs.StopTasks, CALL_TIMEOUT)

    def _make_attempt(self, task: Task) -> jobs.TaskAttempt:
        return make_attempt(self._get_job(task), task)

    def _get_job(self, task: Task) -> Job:
        return self._ledger.table.jobs[task.job]
