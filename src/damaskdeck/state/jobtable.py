"""The jobs, tasks and keys of a ledger, rebuilt by replaying its records."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Any

from damaskdeck.state import records
from damaskdeck.state.jobmodel import (
    FINAL_TASK_STATES,
    IdempotencyKey,
    Job,
    KeyIndex,
    Task,
    TaskState,
    compute_job_outcome,
)
from damaskdeck.state.names import build_task_name

MAX_REASONS = 8


class JobTable:
    """The jobs, tasks and keys of one ledger.

    :func:`damaskdeck.state.replay.apply_record` changes the table. The same records
    in the same order give the same table on each daemon, so nothing here may read a
    clock or a random number.

    :ivar removed_jobs: names of the jobs that were removed last, oldest first.
    :ivar revision: number of the last applied record.
    :ivar changed_tasks: names of the tasks changed since the last
        :meth:`take_changed_tasks`, in order.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.tasks: dict[str, Task] = {}
        self.keys: dict[KeyIndex, IdempotencyKey] = {}
        self.removed_jobs: OrderedDict[str, None] = OrderedDict()
        self.revision = 0
        self.changed_tasks: dict[str, None] = {}

    def take_changed_tasks(self) -> tuple[str, ...]:
        """Return the tasks changed since the last call, in order."""
        changed_tasks = tuple(self.changed_tasks)
        self.changed_tasks.clear()
        return changed_tasks

    def list_tasks(self, job: Job) -> Iterator[Task]:
        """Yield the tasks of a job in order."""
        for index in range(job.spec.get("tasks", 1)):
            task = self.tasks.get(build_task_name(job.name, index))
            if task is not None:
                yield task

    def find_attempt(self, task: str, attempt: int) -> Task | None:
        """Return a task if exactly this attempt of it is placed or runs."""
        found = self.tasks.get(task)
        if found is None or found.attempt != attempt:
            return None
        if found.state not in (TaskState.PLACED, TaskState.RUNNING):
            return None
        return found

    def snapshot(self) -> Iterator[bytes]:
        """Yield records that rebuild this table."""
        for name in self.removed_jobs:
            removed = records.RemovedJobs(jobs=[name], keys=[])
            yield records.encode_record(removed, records.RemovedJobs)
        for index, key in self.keys.items():
            yield records.encode_record(
                _build_key_snapshot(index, key), records.KeySnapshot
            )
        for job in self.jobs.values():
            snapshot = records.JobSnapshot(fields=job._asdict())
            yield records.encode_record(snapshot, records.JobSnapshot)
        for task in self.tasks.values():
            if task == Task(task.name, task.job):
                continue
            snapshot = records.TaskSnapshot(fields=task._asdict())
            yield records.encode_record(snapshot, records.TaskSnapshot)

    def change_job(self, job: Job, reason: str = "", **fields: Any) -> Job:
        """Replace fields of a job and append the reason to its list."""
        reasons = job.reasons
        if reason and (not reasons or reasons[-1] != reason):
            reasons = (*reasons, reason)[-MAX_REASONS:]
        changed = job._replace(reasons=reasons, revision=self.revision, **fields)
        self.jobs[job.name] = changed
        return changed

    def change_task(self, task: Task, **fields: Any) -> Task:
        """Replace fields of a task."""
        changed = self.tasks[task.name] = task._replace(**fields)
        self.changed_tasks[task.name] = None
        return changed

    def mark_job_changed(self, job: Job) -> None:
        """Mark all tasks of a job as changed."""
        self.changed_tasks.update((task.name, None) for task in self.list_tasks(job))

    def finish_task(self, task: Task, at: float, **fields: Any) -> None:
        """Set the final state of a task, and that of its job after its last task."""
        if task.state in FINAL_TASK_STATES:
            return
        self.change_task(task, **fields)
        job = self.jobs[task.job]
        job = self.change_job(job, unsettled=job.unsettled - 1)
        if job.unsettled == 0:
            self._finish_job(job, at)

    def stop_queued_tasks(self, job: Job, at: float) -> None:
        """Stop the tasks of a job that wait for a worker."""
        for task in list(self.list_tasks(job)):
            if task.state is TaskState.QUEUED:
                self.finish_task(task, at, state=TaskState.STOPPED)

    def _finish_job(self, job: Job, at: float) -> None:
        tasks = list(self.list_tasks(job))
        state, code = compute_job_outcome(job, tasks)
        self.change_job(job, f"ended: {state}", state=state, code=code, ended=at)


def _build_key_snapshot(index: KeyIndex, key: IdempotencyKey) -> records.KeySnapshot:
    team, service, name = index
    snapshot = records.KeySnapshot(
        team=team,
        service=service,
        key=name,
        digest=key.digest,
        deadline=key.deadline,
    )
    if key.outcome is not None:
        snapshot["outcome"] = key.outcome
    return snapshot
