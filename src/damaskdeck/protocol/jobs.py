"""Messages between daemons about jobs, keys and tasks."""

from typing import Literal, NotRequired, TypedDict

from damaskdeck.protocol.messages import message
from damaskdeck.protocol.quantities import Amount, Count, Seconds, UrgencyName

# From any daemon to the ledger owner ---------------------------------------------


@message("submit_job", reply="job_reply")
class SubmitJob(TypedDict):
    """Accept a job; answered by :class:`JobReply`."""

    workload: str
    team: str
    payload: bytes
    key: str


@message("read_job", reply="job_reply")
class ReadJob(TypedDict):
    """Return a job; answered by :class:`JobReply`."""

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
    """Claim the key of a request; ``timeout`` is in seconds."""

    team: str
    service: str
    key: str
    digest: bytes
    timeout: Seconds


class OutcomeData(TypedDict):
    """An outcome; ``kind`` is the name of its class in lower case.

    ``retry_after`` is in seconds.
    """

    kind: str
    body: NotRequired[bytes]
    content_type: NotRequired[str]
    code: NotRequired[str]
    detail: NotRequired[str]
    retry_after: NotRequired[Seconds]


@message("settle_key", reply="key_reply")
class SettleKey(TypedDict):
    """Store the outcome of a request with a key."""

    team: str
    service: str
    key: str
    outcome: OutcomeData


class JobData(TypedDict):
    """Encoded form of :class:`damaskdeck.protocol.handlers.JobView`."""

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
    """A job, or the outcome that explains why there is none."""

    job: NotRequired[JobData]
    outcome: NotRequired[OutcomeData]


@message("jobs_reply")
class JobsReply(TypedDict):
    """Jobs in order of their names, or the outcome that explains why there are none."""

    jobs: NotRequired[list[JobData]]
    outcome: NotRequired[OutcomeData]


@message("key_reply")
class KeyReply(TypedDict):
    """Result of a claim, or of settling a key."""

    state: Literal["claimed", "known", "settled", "failed"]
    outcome: NotRequired[OutcomeData]


# From the ledger owner to the owner of workers -----------------------------------


class TaskAttempt(TypedDict):
    """An attempt of a task on a worker, under the epoch of the worker's owner.

    ``started`` says whether it is known to have started. The fields after it
    describe a task that the owner adopts.
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
    """Identifies a task of a starving gang, for which capacity is to be reserved.

    ``submitted`` in milliseconds since 1970 orders gangs in the same way at all
    owners; ``index`` counts from 0 among the ``count`` tasks of one message.
    """

    submitted: Count
    index: Count
    count: Count


class ReservationRequest(TypedDict):
    """Capacity requested for an attempt, on the worker that its owner chooses.

    ``avoid`` names workers on which it failed; with ``is_pressed`` the owner may
    choose one of them if there is no other. ``run_time`` is the declared one, in
    seconds. With ``gang``, an owner without sufficient capacity reserves what
    becomes free, and answers ``room_kept``.
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
    """Hold capacity for tasks; ``epoch`` is that of the ledger."""

    ledger: str
    epoch: Count
    tasks: list[ReservationRequest]


class Refusal(TypedDict):
    """Why an attempt was refused."""

    task: str
    attempt: Count
    code: str


class ReservationGrant(TypedDict):
    """Capacity held for an attempt; ``epoch`` is that of the worker's owner."""

    task: str
    attempt: Count
    worker: str
    epoch: Count


@message("tasks_reserved")
class ReserveTasksReply(TypedDict):
    """The granted and the refused requests."""

    granted: list[ReservationGrant]
    refused: list[Refusal]


class TaskToStart(TaskAttempt):
    """A task to start in its reservation; sent once for each attempt."""

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
    """The refused attempts, which never started; the others will be reported."""

    refused: list[Refusal]


@message("release_tasks")
class ReleaseTasks(TypedDict):
    """Release reservations."""

    ledger: str
    epoch: Count
    tasks: list[TaskAttempt]


@message("stop_tasks", reply="tasks_taken")
class StopTasks(TypedDict):
    """Stop tasks; their ends are reported.

    Tasks that support it are checkpointed, unless ``is_last`` says that they won't
    run again.
    """

    ledger: str
    epoch: Count
    tasks: list[TaskAttempt]
    is_last: NotRequired[bool]


@message("check_tasks", reply="task_reports")
class CheckTasks(TypedDict):
    """Return the state of attempts; answered by :class:`TaskUpdates`."""

    ledger: str
    epoch: Count
    tasks: list[TaskAttempt]


# From the owner of workers to the ledger owner -----------------------------------


class TaskUpdate(TypedDict):
    """What is known of an attempt.

    ``state`` is ``running``, ``succeeded``, ``failed``, ``stopped`` or
    ``checkpointed``, as the worker reports it; ``lapsed`` when its lease must have
    expired; ``unstarted`` when it is known to have never started; ``starting`` and
    ``unsure`` when its state is not known yet.
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
    """Updates of tasks of one ledger; answered by :class:`TaskUpdatesReply`."""

    ledger: str
    tasks: list[TaskUpdate]


@message("tasks_noted")
class TaskUpdatesReply(TypedDict):
    """The updates that are durable now, and attempts that must not run."""

    noted: list[TaskAttempt]
    stop: list[TaskAttempt]
