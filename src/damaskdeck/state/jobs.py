"""The jobs, tasks and keys of a ledger, rebuilt by applying its records in order."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Any, NamedTuple

from damaskdeck.protocol.handlers import FINAL_JOB_STATES, JobState
from damaskdeck.protocol.jobs import OutcomeData
from damaskdeck.protocol.resources import WorkloadSpec
from damaskdeck.state import records
from damaskdeck.state.names import name_task, read_job

FORGOTTEN_LIMIT = 10_000
REASON_LIMIT = 8
AVOID_LIMIT = 8


class TaskState(StrEnum):
    """States of a task in its ledger; the last four are final."""

    QUEUED = "queued"
    PLACED = "placed"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    UNKNOWN = "unknown"


FINAL_TASK_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED, TaskState.UNKNOWN}
)


class Task(NamedTuple):
    """A task of a job.

    :param attempt: number of its last placement.
    :param epoch: of the owner that granted the last placement.
    :param marked: the start of this attempt must never be repeated.
    :param failures: attempts that count against the workload's.
    :param avoid: workers that it failed on.
    """

    name: str
    job: str
    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    worker: str = ""
    epoch: int = 0
    marked: bool = False
    failures: int = 0
    avoid: tuple[str, ...] = ()
    checkpoint: str = ""
    code: str = ""
    result: bytes = b""


class Job(NamedTuple):
    """A job; ``unsettled`` counts its tasks that haven't ended.

    :param submitted: time of day in seconds since 1970, as all times here.
    :param ran: whether some task may have run.
    :param cancelled: whether a caller asked to cancel it.
    :param code: why it didn't complete, or why its tasks are being stopped.
    """

    name: str
    workload: str
    team: str
    key: str
    digest: bytes
    payload: bytes
    spec: WorkloadSpec
    submitted: float
    state: JobState = JobState.QUEUED
    ran: bool = False
    cancelled: bool = False
    unsettled: int = 0
    code: str = ""
    ended: float = 0.0
    reasons: tuple[str, ...] = ()
    revision: int = 0

    @property
    def stopping(self) -> bool:
        """Whether no task of it may be started any more."""
        return bool(self.code) or self.cancelled


class Key(NamedTuple):
    """An idempotency key of a request."""

    digest: bytes
    deadline: float
    outcome: OutcomeData | None = None


KeyIndex = tuple[str, str, str]
Apply = Callable[["JobTable", Any], None]

_appliers: dict[type, Apply] = {}


def applies(kind: type) -> Callable[[Apply], Apply]:
    """Register how records of ``kind`` change the table."""

    def register(function: Apply) -> Apply:
        _appliers[kind] = function
        return function

    return register


class JobTable:
    """The jobs, tasks and keys of one ledger.

    Applying the same records in the same order gives the same table, on
    whichever daemon: nothing here reads a clock or a random number.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.tasks: dict[str, Task] = {}
        self.keys: dict[KeyIndex, Key] = {}
        self.forgotten: OrderedDict[str, None] = OrderedDict()
        self.revision = 0
        self.touched: dict[str, None] = {}

    def apply(self, data: bytes) -> None:
        """Apply one encoded record."""
        decoded = records.decode_record(data)
        if decoded is None:
            return
        kind, value = decoded
        self.revision += 1
        _appliers[kind](self, value)

    def take_touched(self) -> tuple[str, ...]:
        """Return the tasks changed since the last call, in order."""
        touched = tuple(self.touched)
        self.touched.clear()
        return touched

    def list_tasks(self, job: Job) -> Iterator[Task]:
        """Yield the tasks of a job in order."""
        for index in range(job.spec.get("tasks", 1)):
            task = self.tasks.get(name_task(job.name, index))
            if task is not None:
                yield task

    def find_attempt(self, task: str, attempt: int) -> Task | None:
        """Return a task that waits for news of exactly this attempt."""
        found = self.tasks.get(task)
        if found is None or found.attempt != attempt:
            return None
        if found.state not in (TaskState.PLACED, TaskState.RUNNING):
            return None
        return found

    def snapshot(self) -> Iterator[bytes]:
        """Yield records that rebuild this table."""
        for name in self.forgotten:
            forgotten = records.Forgotten(jobs=[name], keys=[])
            yield records.encode_record(forgotten, records.Forgotten)
        for index, key in self.keys.items():
            yield records.encode_record(_image_key(index, key), records.KeyImage)
        for job in self.jobs.values():
            image = records.JobImage(fields=job._asdict())
            yield records.encode_record(image, records.JobImage)
        for task in self.tasks.values():
            if task == Task(task.name, task.job):
                continue
            image = records.TaskImage(fields=task._asdict())
            yield records.encode_record(image, records.TaskImage)

    def change_job(self, job: Job, reason: str = "", **fields: Any) -> Job:
        """Replace fields of a job and remember why."""
        reasons = job.reasons
        if reason and (not reasons or reasons[-1] != reason):
            reasons = (*reasons, reason)[-REASON_LIMIT:]
        changed = job._replace(reasons=reasons, revision=self.revision, **fields)
        self.jobs[job.name] = changed
        return changed

    def change_task(self, task: Task, **fields: Any) -> Task:
        """Replace fields of a task."""
        changed = self.tasks[task.name] = task._replace(**fields)
        self.touched[task.name] = None
        return changed

    def touch_job(self, job: Job) -> None:
        """Mark all tasks of a job as changed."""
        self.touched.update((task.name, None) for task in self.list_tasks(job))

    def settle_task(self, task: Task, at: float, **fields: Any) -> None:
        """Give a task its final state, and its job once it was the last."""
        if task.state in FINAL_TASK_STATES:
            return
        self.change_task(task, **fields)
        job = self.jobs[task.job]
        job = self.change_job(job, unsettled=job.unsettled - 1)
        if job.unsettled == 0:
            self._settle_job(job, at)

    def stop_queued(self, job: Job, at: float) -> None:
        """Give up the tasks of a job that wait for a worker."""
        for task in list(self.list_tasks(job)):
            if task.state is TaskState.QUEUED:
                self.settle_task(task, at, state=TaskState.STOPPED)

    def _settle_job(self, job: Job, at: float) -> None:
        tasks = list(self.list_tasks(job))
        state, code = judge_job(job, tasks)
        self.change_job(job, f"ended: {state}", state=state, code=code, ended=at)


def judge_job(job: Job, tasks: list[Task]) -> tuple[JobState, str]:
    """Return the outcome of a job whose tasks have all ended, and its code."""
    states = {task.state for task in tasks}
    if states == {TaskState.SUCCEEDED}:
        return JobState.COMPLETED, ""
    if not job.ran:
        return JobState.REFUSED, job.code or "cancelled"
    if TaskState.UNKNOWN in states:
        return JobState.UNKNOWN, "cancelled" if job.cancelled else "end_unknown"
    if job.cancelled:
        return JobState.FAILED, "cancelled"
    return JobState.FAILED, job.code or "task_failed"


def _image_key(index: KeyIndex, key: Key) -> records.KeyImage:
    team, service, name = index
    image = records.KeyImage(
        team=team,
        service=service,
        key=name,
        digest=key.digest,
        deadline=key.deadline,
    )
    if key.outcome is not None:
        image["outcome"] = key.outcome
    return image


# How each kind of record changes the table ---------------------------------------


@applies(records.Submitted)
def _submit(table: JobTable, value: records.Submitted) -> None:
    if value["job"] in table.jobs:
        return
    count = value["spec"].get("tasks", 1)
    job = Job(
        name=value["job"],
        workload=value["workload"],
        team=value["team"],
        key=value["key"],
        digest=value["digest"],
        payload=value["payload"],
        spec=value["spec"],
        submitted=value["at"],
        unsettled=count,
        revision=table.revision,
    )
    table.jobs[job.name] = job
    for index in range(count):
        name = name_task(job.name, index)
        table.tasks[name] = Task(name, job.name)
    table.touch_job(job)


@applies(records.Placed)
def _place(table: JobTable, value: records.Placed) -> None:
    for placement in value["tasks"]:
        task = table.tasks.get(placement["task"])
        if task is None or task.state is not TaskState.QUEUED:
            continue
        table.change_task(
            task,
            state=TaskState.PLACED,
            attempt=placement["attempt"],
            worker=placement["worker"],
            epoch=placement["epoch"],
        )


@applies(records.StartMarked)
def _mark(table: JobTable, value: records.StartMarked) -> None:
    for name in value["tasks"]:
        task = table.tasks.get(name)
        if task is not None:
            table.change_task(task, marked=True)


@applies(records.Started)
def _start(table: JobTable, value: records.Started) -> None:
    for attempt in value["tasks"]:
        task = table.find_attempt(attempt["task"], attempt["attempt"])
        if task is None or task.state is TaskState.RUNNING:
            continue
        table.change_task(task, state=TaskState.RUNNING)
        _note_run(table, task)


@applies(records.Requeued)
def _requeue(table: JobTable, value: records.Requeued) -> None:
    for back in value["tasks"]:
        task = table.find_attempt(back["task"], back["attempt"])
        if task is None:
            continue
        avoid = task.avoid
        if back["failed"]:
            others = [worker for worker in avoid if worker != task.worker]
            avoid = (*others, task.worker)[-AVOID_LIMIT:]
        if back["ran"]:
            _note_run(table, task)
        reason = f"moved off {task.worker}: {back['reason']}"
        job = table.change_job(table.jobs[task.job], reason)
        task = table.change_task(
            task,
            state=TaskState.QUEUED,
            worker="",
            epoch=0,
            marked=False,
            failures=task.failures + back["failed"],
            avoid=avoid,
            checkpoint=back.get("checkpoint") or task.checkpoint,
        )
        if job.stopping:
            table.settle_task(task, value["at"], state=TaskState.STOPPED)


@applies(records.Ended)
def _end(table: JobTable, value: records.Ended) -> None:
    for end in value["tasks"]:
        task = table.find_attempt(end["task"], end["attempt"])
        if task is None:
            continue
        state = TaskState(end["state"])
        _note_run(table, task)
        code = end.get("code", "")
        if state in (TaskState.FAILED, TaskState.UNKNOWN):
            _give_up(table, task, code or "task_failed", value["at"])
        result = end.get("result", b"")
        table.settle_task(task, value["at"], state=state, code=code, result=result)


@applies(records.Cancelled)
def _cancel(table: JobTable, value: records.Cancelled) -> None:
    for name in value["jobs"]:
        job = table.jobs.get(name)
        if job is None or job.state in FINAL_JOB_STATES or job.cancelled:
            continue
        job = table.change_job(job, "cancelled by a caller", cancelled=True)
        table.touch_job(job)
        table.stop_queued(job, value["at"])


@applies(records.RefusedJobs)
def _refuse(table: JobTable, value: records.RefusedJobs) -> None:
    for name in value["jobs"]:
        job = table.jobs.get(name)
        if job is None or job.state is not JobState.QUEUED:
            continue
        job = table.change_job(job, value["detail"], code=value["code"])
        table.touch_job(job)
        table.stop_queued(job, value["at"])


@applies(records.KeyClaimed)
def _claim(table: JobTable, value: records.KeyClaimed) -> None:
    index = (value["team"], value["service"], value["key"])
    if index not in table.keys:
        table.keys[index] = Key(value["digest"], value["deadline"])


@applies(records.KeySettled)
def _settle(table: JobTable, value: records.KeySettled) -> None:
    index = (value["team"], value["service"], value["key"])
    key = table.keys.get(index)
    if key is not None and key.outcome is None:
        table.keys[index] = key._replace(outcome=value["outcome"])


@applies(records.Forgotten)
def _forget(table: JobTable, value: records.Forgotten) -> None:
    for name in value["jobs"]:
        job = table.jobs.pop(name, None)
        if job is not None:
            table.touch_job(job)
            for task in list(table.list_tasks(job)):
                del table.tasks[task.name]
        table.forgotten[name] = None
    for key in value["keys"]:
        table.keys.pop((key["team"], key["service"], key["key"]), None)
    while len(table.forgotten) > FORGOTTEN_LIMIT:
        table.forgotten.popitem(last=False)


@applies(records.JobImage)
def _restore_job(table: JobTable, value: records.JobImage) -> None:
    fields = _keep_known(value["fields"], Job)
    fields["state"] = JobState(fields["state"])
    fields["reasons"] = tuple(fields["reasons"])
    job = table.jobs[fields["name"]] = Job(**fields)
    table.revision = max(table.revision, job.revision)
    for index in range(job.spec.get("tasks", 1)):
        name = name_task(job.name, index)
        table.tasks[name] = Task(name, job.name)
    table.touch_job(job)


@applies(records.TaskImage)
def _restore_task(table: JobTable, value: records.TaskImage) -> None:
    fields = _keep_known(value["fields"], Task)
    fields["state"] = TaskState(fields["state"])
    fields["avoid"] = tuple(fields["avoid"])
    task = table.tasks[fields["name"]] = Task(**fields)
    table.touched[task.name] = None


@applies(records.KeyImage)
def _restore_key(table: JobTable, value: records.KeyImage) -> None:
    index = (value["team"], value["service"], value["key"])
    table.keys[index] = Key(value["digest"], value["deadline"], value.get("outcome"))


def _keep_known(fields: dict[str, Any], kind: Any) -> dict[str, Any]:
    """Leave out what another version of this package wrote besides."""
    return {name: value for name, value in fields.items() if name in kind._fields}


def _note_run(table: JobTable, task: Task) -> None:
    job = table.jobs[task.job]
    if job.state is JobState.QUEUED:
        reason = f"ran on {task.worker}"
        table.change_job(job, reason, ran=True, state=JobState.RUNNING)


def _give_up(table: JobTable, task: Task, code: str, at: float) -> None:
    job = table.jobs[read_job(task.name)]
    if not job.stopping:
        job = table.change_job(job, f"{task.name} ended: {code}", code=code)
        table.touch_job(job)
        table.stop_queued(job, at)
