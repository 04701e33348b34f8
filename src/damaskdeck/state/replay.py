"""How each kind of record changes the table of jobs."""

from collections.abc import Callable
from typing import Any

from damaskdeck.protocol.handlers import FINAL_JOB_STATES, JobState
from damaskdeck.state import records
from damaskdeck.state.jobmodel import IdempotencyKey, Job, Task, TaskState
from damaskdeck.state.jobtable import JobTable
from damaskdeck.state.names import build_task_name, parse_job_name

FORGOTTEN_LIMIT = 10_000
AVOID_LIMIT = 8

Apply = Callable[[JobTable, Any], None]

_appliers: dict[type, Apply] = {}


def applies(kind: type) -> Callable[[Apply], Apply]:
    """Register how records of ``kind`` change the table."""

    def register(function: Apply) -> Apply:
        _appliers[kind] = function
        return function

    return register


def apply_record(table: JobTable, data: bytes) -> None:
    """Apply one encoded record; one of a kind that isn't known changes nothing."""
    decoded = records.decode_record(data)
    if decoded is None:
        return
    kind, value = decoded
    table.revision += 1
    _appliers[kind](table, value)


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
        name = build_task_name(job.name, index)
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
            crashes=task.crashes + back.get("crashed", False),
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
        if result:
            job = table.jobs[task.job]
            table.change_job(job, result_size=job.result_size + len(result))
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
        table.keys[index] = IdempotencyKey(value["digest"], value["deadline"])


@applies(records.KeySettled)
def _settle(table: JobTable, value: records.KeySettled) -> None:
    index = (value["team"], value["service"], value["key"])
    key = table.keys.get(index)
    if key is not None and key.outcome is None:
        table.keys[index] = key._replace(outcome=value["outcome"])


@applies(records.RemovedJobs)
def _forget(table: JobTable, value: records.RemovedJobs) -> None:
    for name in value["jobs"]:
        job = table.jobs.pop(name, None)
        if job is not None:
            table.touch_job(job)
            for task in list(table.list_tasks(job)):
                del table.tasks[task.name]
        table.removed_jobs[name] = None
    for key in value["keys"]:
        table.keys.pop((key["team"], key["service"], key["key"]), None)
    while len(table.removed_jobs) > FORGOTTEN_LIMIT:
        table.removed_jobs.popitem(last=False)


@applies(records.JobSnapshot)
def _restore_job(table: JobTable, value: records.JobSnapshot) -> None:
    fields = _keep_known(value["fields"], Job)
    fields["state"] = JobState(fields["state"])
    fields["reasons"] = tuple(fields["reasons"])
    job = table.jobs[fields["name"]] = Job(**fields)
    table.revision = max(table.revision, job.revision)
    for index in range(job.spec.get("tasks", 1)):
        name = build_task_name(job.name, index)
        table.tasks[name] = Task(name, job.name)
    table.touch_job(job)


@applies(records.TaskSnapshot)
def _restore_task(table: JobTable, value: records.TaskSnapshot) -> None:
    fields = _keep_known(value["fields"], Task)
    fields["state"] = TaskState(fields["state"])
    fields["avoid"] = tuple(fields["avoid"])
    task = table.tasks[fields["name"]] = Task(**fields)
    table.touched[task.name] = None


@applies(records.KeySnapshot)
def _restore_key(table: JobTable, value: records.KeySnapshot) -> None:
    index = (value["team"], value["service"], value["key"])
    table.keys[index] = IdempotencyKey(
        value["digest"], value["deadline"], value.get("outcome")
    )


def _keep_known(fields: dict[str, Any], kind: Any) -> dict[str, Any]:
    """Leave out what another version of this package wrote besides."""
    return {name: value for name, value in fields.items() if name in kind._fields}


def _note_run(table: JobTable, task: Task) -> None:
    job = table.jobs[task.job]
    if job.state is JobState.QUEUED:
        reason = f"ran on {task.worker}"
        table.change_job(job, reason, ran=True, state=JobState.RUNNING)


def _give_up(table: JobTable, task: Task, code: str, at: float) -> None:
    job = table.jobs[parse_job_name(task.name)]
    if not job.stopping:
        job = table.change_job(job, f"{task.name} ended: {code}", code=code)
        table.touch_job(job)
        table.stop_queued(job, at)
