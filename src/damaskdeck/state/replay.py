"""Replay of records: how each kind changes the job table."""

from collections.abc import Callable
from typing import Any

from damaskdeck.protocol.handlers import FINAL_JOB_STATES, JobState
from damaskdeck.state import records
from damaskdeck.state.jobmodel import IdempotencyKey, Job, Task, TaskState
from damaskdeck.state.jobtable import JobTable
from damaskdeck.state.names import build_task_name, parse_job_name

MAX_REMOVED_JOBS = 10_000
MAX_AVOIDED_WORKERS = 8

Apply = Callable[[JobTable, Any], None]

_handlers: dict[type, Apply] = {}


def applies_record(kind: type) -> Callable[[Apply], Apply]:
    """Register a function that applies records of ``kind`` to the table."""

    def register(function: Apply) -> Apply:
        _handlers[kind] = function
        return function

    return register


def apply_record(table: JobTable, data: bytes) -> None:
    """Apply one encoded record; a record of an unknown kind changes nothing.

    :raises MessageError: when the record is unreadable.
    """
    decoded = records.decode_record(data)
    if decoded is None:
        return
    kind, value = decoded
    table.revision += 1
    _handlers[kind](table, value)


@applies_record(records.Submitted)
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
    table.mark_job_changed(job)


@applies_record(records.Placed)
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


@applies_record(records.StartMarked)
def _mark(table: JobTable, value: records.StartMarked) -> None:
    for name in value["tasks"]:
        task = table.tasks.get(name)
        if task is not None:
            table.change_task(task, marked=True)


@applies_record(records.Started)
def _start(table: JobTable, value: records.Started) -> None:
    for attempt in value["tasks"]:
        task = table.find_attempt(attempt["task"], attempt["attempt"])
        if task is None or task.state is TaskState.RUNNING:
            continue
        table.change_task(task, state=TaskState.RUNNING)
        _record_run(table, task)


@applies_record(records.Requeued)
def _requeue(table: JobTable, value: records.Requeued) -> None:
    for requeued in value["tasks"]:
        task = table.find_attempt(requeued["task"], requeued["attempt"])
        if task is None:
            continue
        avoid = task.avoid
        if requeued["failed"]:
            others = [worker for worker in avoid if worker != task.worker]
            avoid = (*others, task.worker)[-MAX_AVOIDED_WORKERS:]
        if requeued["ran"]:
            _record_run(table, task)
        reason = f"moved off {task.worker}: {requeued['reason']}"
        job = table.change_job(table.jobs[task.job], reason)
        task = table.change_task(
            task,
            state=TaskState.QUEUED,
            worker="",
            epoch=0,
            marked=False,
            failures=task.failures + requeued["failed"],
            crashes=task.crashes + requeued.get("crashed", False),
            avoid=avoid,
            checkpoint=requeued.get("checkpoint") or task.checkpoint,
        )
        if job.stopping:
            table.finish_task(task, value["at"], state=TaskState.STOPPED)


@applies_record(records.Ended)
def _end(table: JobTable, value: records.Ended) -> None:
    for end in value["tasks"]:
        task = table.find_attempt(end["task"], end["attempt"])
        if task is None:
            continue
        state = TaskState(end["state"])
        _record_run(table, task)
        code = end.get("code", "")
        if state in (TaskState.FAILED, TaskState.UNKNOWN):
            _fail_job(table, task, code or "task_failed", value["at"])
        result = end.get("result", b"")
        if result:
            job = table.jobs[task.job]
            table.change_job(job, result_size=job.result_size + len(result))
        table.finish_task(task, value["at"], state=state, code=code, result=result)


@applies_record(records.Cancelled)
def _cancel(table: JobTable, value: records.Cancelled) -> None:
    for name in value["jobs"]:
        job = table.jobs.get(name)
        if job is None or job.state in FINAL_JOB_STATES or job.cancelled:
            continue
        job = table.change_job(job, "cancelled by a caller", cancelled=True)
        table.mark_job_changed(job)
        table.stop_queued_tasks(job, value["at"])


@applies_record(records.RefusedJobs)
def _refuse(table: JobTable, value: records.RefusedJobs) -> None:
    for name in value["jobs"]:
        job = table.jobs.get(name)
        if job is None or job.state is not JobState.QUEUED:
            continue
        job = table.change_job(job, value["detail"], code=value["code"])
        table.mark_job_changed(job)
        table.stop_queued_tasks(job, value["at"])


@applies_record(records.KeyClaimed)
def _claim(table: JobTable, value: records.KeyClaimed) -> None:
    index = (value["team"], value["service"], value["key"])
    if index not in table.keys:
        table.keys[index] = IdempotencyKey(value["digest"], value["deadline"])


@applies_record(records.KeySettled)
def _settle(table: JobTable, value: records.KeySettled) -> None:
    index = (value["team"], value["service"], value["key"])
    key = table.keys.get(index)
    if key is not None and key.outcome is None:
        table.keys[index] = key._replace(outcome=value["outcome"])


@applies_record(records.RemovedJobs)
def _remove(table: JobTable, value: records.RemovedJobs) -> None:
    for name in value["jobs"]:
        job = table.jobs.pop(name, None)
        if job is not None:
            table.mark_job_changed(job)
            for task in list(table.list_tasks(job)):
                del table.tasks[task.name]
        table.removed_jobs[name] = None
    for key in value["keys"]:
        table.keys.pop((key["team"], key["service"], key["key"]), None)
    while len(table.removed_jobs) > MAX_REMOVED_JOBS:
        table.removed_jobs.popitem(last=False)


@applies_record(records.JobSnapshot)
def _restore_job(table: JobTable, value: records.JobSnapshot) -> None:
    fields = _filter_known_fields(value["fields"], Job)
    fields["state"] = JobState(fields["state"])
    fields["reasons"] = tuple(fields["reasons"])
    job = table.jobs[fields["name"]] = Job(**fields)
    table.revision = max(table.revision, job.revision)
    for index in range(job.spec.get("tasks", 1)):
        name = build_task_name(job.name, index)
        table.tasks[name] = Task(name, job.name)
    table.mark_job_changed(job)


@applies_record(records.TaskSnapshot)
def _restore_task(table: JobTable, value: records.TaskSnapshot) -> None:
    fields = _filter_known_fields(value["fields"], Task)
    fields["state"] = TaskState(fields["state"])
    fields["avoid"] = tuple(fields["avoid"])
    task = table.tasks[fields["name"]] = Task(**fields)
    table.changed_tasks[task.name] = None


@applies_record(records.KeySnapshot)
def _restore_key(table: JobTable, value: records.KeySnapshot) -> None:
    index = (value["team"], value["service"], value["key"])
    table.keys[index] = IdempotencyKey(
        value["digest"], value["deadline"], value.get("outcome")
    )


def _filter_known_fields(fields: dict[str, Any], kind: Any) -> dict[str, Any]:
    """Remove fields that another version of this package wrote."""
    return {name: value for name, value in fields.items() if name in kind._fields}


def _record_run(table: JobTable, task: Task) -> None:
    job = table.jobs[task.job]
    if job.state is JobState.QUEUED:
        reason = f"ran on {task.worker}"
        table.change_job(job, reason, ran=True, state=JobState.RUNNING)


def _fail_job(table: JobTable, task: Task, code: str, at: float) -> None:
    job = table.jobs[parse_job_name(task.name)]
    if not job.stopping:
        job = table.change_job(job, f"{task.name} ended: {code}", code=code)
        table.mark_job_changed(job)
        table.stop_queued_tasks(job, at)
