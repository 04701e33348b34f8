"""Follow-ups of placed tasks: news of them, doubts about them, and stops."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta

from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.coordination.jobs.needs import name_attempt
from damaskdeck.coordination.jobs.news import ResultSizes, judge_news
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
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
OWNERS_INTERVAL = timedelta(seconds=3)
QUIET_LIMIT = timedelta(seconds=10)
GONE_LIMIT = compute_takeover_bound() + timedelta(seconds=15)
ON_WORKER = (TaskState.PLACED, TaskState.RUNNING)


class TaskTracker:
    """Follows the tasks of one kept ledger that are on workers.

    A task in doubt may or may not have started; its worker's owner is asked
    until it tells. Only an owner's word moves a task, so that those of a zone
    that is cut off stay where they are.
    """

    def __init__(
        self,
        kept: OwnedLedger,
        ownership: Ownership,
        peers: Peers,
        clock: Clock,
        is_listed: Callable[[str], bool],
    ) -> None:
        self._is_listed = is_listed
        self._gone: dict[str, timedelta] = {}
        self._kept = kept
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._doubts: dict[str, None] = {}
        self._quiet: deque[tuple[timedelta, str, int]] = deque()
        self._stops: dict[str, None] = {}
        self._epochs: dict[str, int] = {}
        self._next_look = timedelta()
        self._on_worker: dict[str, dict[str, None]] = {}
        self._places: dict[str, str] = {}
        self._sizes: ResultSizes = {}
        self._changed = asyncio.Event()
        kept.on_change(self.follow)

    def doubt(self, tasks: Iterable[str]) -> None:
        """Ask about tasks until it is known what became of them."""
        self._doubts.update((task, None) for task in tasks)
        self._changed.set()

    def follow(self, tasks: tuple[str, ...]) -> None:
        """Take over changes of the table."""
        gangs: dict[str, None] = {}
        for name in tasks:
            task = self._kept.table.tasks.get(name)
            is_on_worker = task is not None and task.state in ON_WORKER
            self._set_place(name, task.worker if is_on_worker else "")
            if self._sizes and not is_on_worker:
                self._drop_size(name)
            if task is None:
                continue
            job = self._get_job(task)
            if task.state is TaskState.PLACED:
                due = self._clock.monotonic() + QUIET_LIMIT
                self._quiet.append((due, name, task.attempt))
            if is_on_worker and job.stopping:
                self._stops[name] = None
                self._changed.set()
            if job.spec["type"] == "gang" and task.state is TaskState.QUEUED:
                gangs[job.name] = None
        for name in gangs:
            self._stop_rest(self._kept.table.jobs[name])

    def _doubt_quiet(self) -> None:
        """Doubt placed tasks of which nothing has been heard for long."""
        now = self._clock.monotonic()
        while self._quiet and self._quiet[0][0] <= now:
            _, name, attempt = self._quiet.popleft()
            task = self._kept.table.find_attempt(name, attempt)
            if task is not None and task.state is TaskState.PLACED:
                self._doubts[name] = None

    def _stop_rest(self, job: Job) -> None:
        """Stop what runs of a gang when some of it must wait: all or none."""
        for task in self._kept.table.list_tasks(job):
            if task.state in ON_WORKER:
                self._stops[task.name] = None
                self._changed.set()

    async def run(self) -> None:
        """Ask about doubts and send stops until cancelled."""
        while True:
            self._note_owners()
            self._doubt_quiet()
            await self._drop_gone()
            await self.check_all()
            await self._stop_all()
            self._changed.clear()
            await wait_for_event(self._changed, CHECK_INTERVAL, self._clock)

    async def check_all(self) -> None:
        """Ask once about each task in doubt."""
        groups = self._group(self._doubts)
        await asyncio.gather(*(self._check(o, g) for o, g in groups.items()))

    async def take_news(
        self, news: list[jobs.TaskUpdate], is_answer: bool = False
    ) -> jobs.TaskUpdatesReply | None:
        """Note news of tasks; ``None`` while they can't be made durable.

        :param is_answer: whether the owner was asked for them just now; only
            then is a task that is said to run no longer in doubt.
        """
        verdict = judge_news(self._kept.table, news, self._sizes)
        changes = verdict.list_records(self._kept.get_time())
        if changes:
            try:
                outcome = await self._kept.commit(*changes)
            finally:
                for end in verdict.ends:
                    self._drop_size(end["task"])
            if not isinstance(outcome, Committed):
                return None
        for item in news:
            if is_answer or item["state"] != "running":
                self._settle_doubt(item)
        return jobs.TaskUpdatesReply(noted=verdict.noted, stop=verdict.stop)

    def _settle_doubt(self, news: jobs.TaskUpdate) -> None:
        """End the doubt about an attempt, unless the news leave it in doubt."""
        task = self._kept.table.tasks.get(news["task"])
        is_current = task is None or task.attempt == news["attempt"]
        if is_current and news["state"] not in ("unsure", "starting"):
            self._doubts.pop(news["task"], None)

    def _drop_size(self, task: str) -> None:
        """Forget a result that is durable by now, or didn't become so."""
        sizes = self._sizes.get(parse_job_name(task), {})
        sizes.pop(task, None)
        if not sizes:
            self._sizes.pop(parse_job_name(task), None)

    def _set_place(self, name: str, worker: str) -> None:
        former = self._places.get(name, "")
        if former == worker:
            return
        if former:
            self._on_worker[former].pop(name, None)
            self._places.pop(name)
            self._doubts.pop(name, None)
            self._stops.pop(name, None)
        if worker:
            self._places[name] = worker
            self._on_worker.setdefault(worker, {})[name] = None

    def _note_owners(self) -> None:
        """Doubt the tasks of workers that have a new owner."""
        now = self._clock.monotonic()
        if now < self._next_look:
            return
        self._next_look = now + OWNERS_INTERVAL
        for worker, tasks in self._on_worker.items():
            owner = self._ownership.find_owner(f"worker/{worker}")
            if owner is None or not tasks:
                continue
            if self._epochs.get(worker) != owner.epoch:
                self._epochs[worker] = owner.epoch
                self._doubts.update(tasks)

    async def _drop_gone(self) -> None:
        """Give up the tasks of workers that the platform has taken away.

        Their owner tells of them first, if there is one left.
        """
        now = self._clock.monotonic()
        for worker, tasks in list(self._on_worker.items()):
            if self._is_listed(worker):
                self._gone.pop(worker, None)
            elif not tasks:
                self._forget_worker(worker)
            elif now - self._gone.setdefault(worker, now) >= GONE_LIMIT:
                news = [self._lose(self._kept.table.tasks[name]) for name in tasks]
                await self.take_news(news)

    def _forget_worker(self, worker: str) -> None:
        del self._on_worker[worker]
        self._epochs.pop(worker, None)
        self._gone.pop(worker, None)

    def _lose(self, task: Task) -> jobs.TaskUpdate:
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
            task = self._kept.table.tasks.get(name)
            if task is None or task.state not in ON_WORKER:
                continue
            owner = self._ownership.find_owner(f"worker/{task.worker}")
            if owner is not None:
                groups.setdefault(owner.instance, []).append(task)
        return groups

    async def _check(self, owner: str, tasks: list[Task]) -> None:
        for start in range(0, len(tasks), BATCH_LIMIT):
            message = jobs.CheckTasks(
                ledger=self._kept.name,
                epoch=self._kept.epoch,
                tasks=[self._name(task) for task in tasks[start : start + BATCH_LIMIT]],
            )
            answer = await self._peers.call(
                owner, message, jobs.CheckTasks, CALL_TIMEOUT
            )
            if isinstance(answer, Answered) and answer.message is not None:
                await self.take_news(answer.message["tasks"], True)

    async def _stop_all(self) -> None:
        groups = self._group(self._stops)
        await asyncio.gather(*(self._stop(o, g) for o, g in groups.items()))

    async def _stop(self, owner: str, tasks: list[Task]) -> None:
        """Stop tasks; those that will run again are checkpointed if they can."""
        for is_last in (True, False):
            part = [task for task in tasks if self._get_job(task).stopping is is_last]
            for start in range(0, len(part), BATCH_LIMIT):
                message = jobs.StopTasks(
                    ledger=self._kept.name,
                    epoch=self._kept.epoch,
                    tasks=[self._name(t) for t in part[start : start + BATCH_LIMIT]],
                    is_last=is_last,
                )
                await self._peers.call(owner, message, jobs.StopTasks, CALL_TIMEOUT)

    def _name(self, task: Task) -> jobs.TaskAttempt:
        return name_attempt(self._get_job(task), task)

    def _get_job(self, task: Task) -> Job:
        return self._kept.table.jobs[task.job]
