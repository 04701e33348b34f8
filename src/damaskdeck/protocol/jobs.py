"""Messages between daemons about jobs, keys and tasks."""

from typing import Literal, NotRequired, TypedDict

from damaskdeck.protocol.messages import message
from damaskdeck.protocol.quantities import Amount, Count, Seconds, UrgencyName

# Entry to keeper ----------------------------------------------------------------


@message("submit_job", reply="job_reply")
class SubmitJob(TypedDict):
    """Take a job; answered by :class:`JobReply`."""

    workload: str
    team: str
    payload: bytes
    key: str


@message("read_job", reply="job_reply")
class ReadJob(TypedDict):
    """Tell the state of a job; answered by :class:`JobReply`."""

    job: str


@message("cancel_job", reply="job_reply")
class CancelJob(TypedDict):
    """Cancel a job; answered by :class:`JobReply`."""

    job: str


@message("list_jobs", reply="jobs_reply")
class ListJobs(TypedDict):
    """List jobs of one ledger; answered by :class:`JobsReply`."""

    ledger: str
    team: str
    after: str
    limit: Count


@message("claim_key", reply="key_reply")
class ClaimKey(TypedDict):
    """Claim the key of a request; ``timeout`` in seconds."""

    team: str
    service: str
    key: str
    digest: bytes
    timeout: Seconds


class OutcomeData(TypedDict):
    """An outcome; ``kind`` is the name of its class in lower case.

    ``retry_after`` in seconds.
    """

    kind: str
    body: NotRequired[bytes]
    content_type: NotRequired[str]
    code: NotRequired[str]
    detail: NotRequired[str]
    retry_after: NotRequired[Seconds]


@message("settle_key", reply="key_reply")
class SettleKey(TypedDict):
    """Remember the outcome of a request with a key."""

    team: str
    service: str
    key: str
    outcome: OutcomeData


class JobData(TypedDict):
    """A job as in :class:`damaskdeck.protocol.handlers.JobView`."""

    name: str
    workload: str
    team: str
    state: Literal["queued", "running", "completed", "failed", "refused", "unknown"]
    code: NotRequired[str]
    reasons: NotRequired[list[str]]
    results: NotRequired[list[bytes]]
    tasks: NotRequired[list[str]]
    workers: NotRequired[list[str]]
    revision: NotRequired[int]


@message("job_reply")
class JobReply(TypedDict):
    """A job, or why there is none."""

    job: NotRequired[JobData]
    outcome: NotRequired[OutcomeData]


@message("jobs_reply")
class JobsReply(TypedDict):
    """Jobs in order of their names, or why there are none."""

    jobs: NotRequired[list[JobData]]
    outcome: NotRequired[OutcomeData]


@message("key_reply")
class KeyReply(TypedDict):
    """What became of a claim or of a settled key."""

    state: Literal["claimed", "known", "settled", "failed"]
    outcome: NotRequired[OutcomeData]


# Keeper to owner of workers -----------------------------------------------------


class TaskAttempt(TypedDict):
    """An attempt of a task on a worker, under the epoch of the worker's owner.

    ``started`` tells whether it is known to have started; what follows tells an
    owner of a task that it adopted.
    """

    task: str
    attempt: Count
    worker: str
    epoch: NotRequired[Count]
    started: NotRequired[bool]
    urgency: NotRequired[UrgencyName]
    group: NotRequired[str]
    idempotent: NotRequired[bool]
    checkpoint: NotRequired[bool]


class SizeData(TypedDict):
    """A size in the units of :class:`damaskdeck.protocol.sizes.Size`."""

    millicores: Amount
    memory: Amount
    accelerators: Amount


class GangRequest(TypedDict):
    """Which of a long waiting gang's tasks, to have room kept for all of them.

    ``submitted`` in milliseconds since 1970 orders gangs alike at all owners;
    ``index`` counts from 0 among the ``count`` tasks of one message.
    """

    submitted: Count
    index: Count
    count: Count


class ReservationRequest(TypedDict):
    """Room asked for an attempt, wherever its owner finds it best.

    ``avoid`` names workers that it failed on; with ``is_pressed`` the owner may
    choose one of them if there is no other. ``run_time`` is declared, in seconds.
    With ``gang``, an owner that lacks the room keeps it, and answers ``room_kept``.
    """

    task: str
    attempt: Count
    size: SizeData
    workload: NotRequired[str]
    urgency: NotRequired[UrgencyName]
    group: NotRequired[str]
    idempotent: NotRequired[bool]
    checkpoint: NotRequired[bool]
    zones: NotRequired[list[str]]
    avoid: NotRequired[list[str]]
    is_pressed: NotRequired[bool]
    run_time: NotRequired[Seconds]
    gang: NotRequired[GangRequest]


@message("reserve_tasks", reply="tasks_reserved")
class ReserveTasks(TypedDict):
    """Hold room for tasks; ``epoch`` is that of the ledger."""

    ledger: str
    epoch: Count
    tasks: list[ReservationRequest]


class Refusal(TypedDict):
    """Why an attempt was refused."""

    task: str
    attempt: Count
    code: str


class ReservationGrant(TypedDict):
    """Room that is held for an attempt; ``epoch`` is that of the worker's owner."""

    task: str
    attempt: Count
    worker: str
    epoch: Count


@message("tasks_reserved")
class ReserveTasksReply(TypedDict):
    """What was granted and what not."""

    granted: list[ReservationGrant]
    refused: list[Refusal]


class TaskToStart(TaskAttempt):
    """A task to start in the room reserved for it; sent once for each attempt."""

    payload: bytes
    resume: NotRequired[str]


@message("start_tasks", reply="tasks_taken")
class StartTasks(TypedDict):
    """Start tasks; answered by :class:`TaskOrdersReply`."""

    ledger: str
    epoch: Count
    tasks: list[TaskToStart]


@message("tasks_taken")
class TaskOrdersReply(TypedDict):
    """The rest was taken and will be reported; refused ones never started."""

    refused: list[Refusal]


@message("release_tasks")
class ReleaseTasks(TypedDict):
    """Let go of reservations."""

    ledger: str
    epoch: Count
    tasks: list[TaskAttempt]


@message("stop_tasks", reply="tasks_taken")
class StopTasks(TypedDict):
    """Stop tasks; their ends are reported.

    Unless it is their last end, those that can be checkpointed are.
    """

    ledger: str
    epoch: Count
    tasks: list[TaskAttempt]
    is_last: NotRequired[bool]


@message("check_tasks", reply="task_reports")
class CheckTasks(TypedDict):
    """Tell what became of attempts; answered by :class:`TaskUpdates`."""

    ledger: str
    epoch: Count
    tasks: list[TaskAttempt]


# Owner of workers to keeper -----------------------------------------------------


class TaskUpdate(TypedDict):
    """What is known of an attempt.

    ``state`` is ``running``, ``succeeded``, ``failed``, ``stopped`` or
    ``checkpointed``, as the worker says; ``lapsed`` when its lease must have
    lapsed; ``unstarted`` when it is proved never to have started; ``starting``
    and ``unsure`` when it isn't known yet.
    """

    task: str
    attempt: Count
    worker: str
    state: str
    code: NotRequired[str]
    result: NotRequired[bytes]
    checkpoint: NotRequired[str]


@message("task_reports", reply="tasks_noted")
class TaskUpdates(TypedDict):
    """News of tasks of one ledger; answered by :class:`TaskUpdatesReply`."""

    ledger: str
    tasks: list[TaskUpdate]


@message("tasks_noted")
class TaskUpdatesReply(TypedDict):
    """News that are durable now, and attempts that must not run."""

    noted: list[TaskAttempt]
    stop: list[TaskAttempt]
