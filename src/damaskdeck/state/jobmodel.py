"""Jobs, tasks and idempotency keys, as the owner of a ledger knows them."""

from enum import StrEnum
from typing import NamedTuple

from damaskdeck.protocol.handlers import JobState
from damaskdeck.protocol.jobs import OutcomeData
from damaskdeck.protocol.resources import WorkloadSpec


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
    :param epoch: epoch of the worker's owner that granted the last placement.
    :param marked: the start of this attempt must never be repeated.
    :param failures: number of attempts that count against the workload's limit.
    :param avoid: workers on which it failed.
    :param crashes: number of attempts whose workers restarted.
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
    crashes: int = 0


class Job(NamedTuple):
    """A job.

    :param submitted: time of day in seconds since 1970, as all times here.
    :param ran: whether some task may have run.
    :param cancelled: whether a caller asked to cancel the job.
    :param unsettled: number of tasks that have not ended.
    :param result_size: size in bytes of the results of all tasks.
    :param code: why the job did not complete, or why its tasks are being stopped.
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
    result_size: int = 0
    code: str = ""
    ended: float = 0.0
    reasons: tuple[str, ...] = ()
    revision: int = 0

    @property
    def stopping(self) -> bool:
        """Whether none of its tasks may be started any more."""
        return bool(self.code) or self.cancelled


class IdempotencyKey(NamedTuple):
    """The idempotency key of a request.

    :param digest: digest of the request, to detect another request with this key.
    :param deadline: time of day in seconds since 1970, after which the outcome of
        an unsettled key counts as unknown.
    :param outcome: ``None`` until the request is settled.
    """

    digest: bytes
    deadline: float
    outcome: OutcomeData | None = None


# Team, service and the caller's key.
KeyIndex = tuple[str, str, str]


def compute_job_outcome(job: Job, tasks: list[Task]) -> tuple[JobState, str]:
    """Return the final state and the code of a job whose tasks have all ended."""
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
