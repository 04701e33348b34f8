"""The jobs, tasks and keys of a ledger, rebuilt by applying its records in order."""

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
    judge_job,
)
from damaskdeck.state.names import build_task_name

REASON_LIMIT = 8


class JobTable:
    """The jobs, tasks and keys of one ledger.

    :func:`damaskdeck.state.replay.apply_record` changes it. Applying the same
    records in the same order gives the same table, on whichever daemon: nothing
    here reads a clock or a random number.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.tasks: dict[str, Task] = {}
        self.keys: dict[KeyIndex, IdempotencyKey] = {}
        self.removed_jobs: OrderedDict[str, None] = OrderedDict()
        self.revision = 0
        self.touched: dict[str, None] = {}

    def take_changed_tasks(self) -> tuple[str, ...]:
        """Return the tasks changed since the last call, in order."""
        touched = tuple(self.touched)
        self.touched.clear()
        return touched

    def list_tasks(self, job: Job) -> Iterator[Task]:
        """Yield the tasks of a job in order."""
        for index in range(job.spec.get("tasks", 1)):
            task = self.tasks.get(build_task_name(job.name, index))
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
        for name in self.removed_jobs:
            removed_jobs = records.RemovedJobs(jobs=[name], keys=[])
            yield records.encode_record(removed_jobs, records.RemovedJobs)
        for index, key in self.keys.items():
            yield records.encode_record(_image_key(index, key), records.KeySnapshot)
        for job in self.jobs.values():
            image = records.JobSnapshot(fields=job._asdict())
            yield records.encode_record(image, records.JobSnapshot)
        for task in self.tasks.values():
            if task == Task(task.name, task.job):
                continue
            image = records.TaskSnapshot(fields=task._asdict())
            yield records.encode_record(image, records.TaskSnapshot)

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


def _image_key(index: KeyIndex, key: IdempotencyKey) -> records.KeySnapshot:
    team, service, name = index
    image = records.KeySnapshot(
        team=team,
        service=service,
        key=name,
        digest=key.digest,
        deadline=key.deadline,
    )
    if key.outcome is not None:
        image["outcome"] = key.outcome
    return image
