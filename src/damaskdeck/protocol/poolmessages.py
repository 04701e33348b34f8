"""Messages between a daemon that takes callers' requests and the pools' owner."""

from typing import Literal, NotRequired, TypedDict

from damaskdeck.protocol.messages import message
from damaskdeck.protocol.quantities import Amount, Count


@message("pool.submitted")
class AnnounceJob(TypedDict):
    """A job has been stored; ``record`` is as stored."""

    record: bytes


@message("pool.state")
class JobStateReply(TypedDict):
    """What the owner knows of a job; an empty state is not to be believed.

    :ivar epoch: of the owner, 0 from a daemon that owns nothing.
    :ivar is_hidden: the job is another account's.
    """

    epoch: Count
    state: str
    is_hidden: NotRequired[bool]


class _JobRequest(TypedDict):
    """A job, and for whom it is asked: account and queue of the caller."""

    job: str
    account: NotRequired[str]
    queue: NotRequired[str]


@message("pool.ask_state", reply="pool.state")
class ReadJobState(_JobRequest):
    """Ask for the state of a job."""


@message("pool.cancel", reply="pool.state")
class CancelPoolJob(_JobRequest):
    """Cancel a job; the reply comes once that is durable."""


@message("pool.waiting")
class CountWaitingJobsReply(TypedDict):
    """How many jobs of a queue have started nothing; ``epoch`` as above."""

    epoch: Count
    count: Count


@message("pool.ask_waiting", reply="pool.waiting")
class CountWaitingJobs(TypedDict):
    """Ask how many jobs of a queue have started nothing."""

    queue: str


@message("pool.advice")
class GetAdviceReply(TypedDict):
    """Worker and ticket of each consent.

    :ivar code: why there is no answer, or an empty string.
    """

    code: str
    consents: list[tuple[str, str]]


@message("pool.ask_advice", reply="pool.advice")
class GetAdvice(TypedDict):
    """Ask the advisor from the receiver's instance.

    :ivar timeout: in milliseconds.
    """

    step: str
    workers: list[str]
    timeout: Count


@message("pool.taken")
class StoreJobReply(TypedDict):
    """What became of a job that was passed on.

    :ivar outcome: ``taken``, ``not_taken`` or ``unsettled``.
    :ivar code: why, unless it was taken.
    """

    outcome: Literal["taken", "not_taken", "unsettled"]
    code: str


@message("pool.take", reply="pool.taken")
class StoreJob(TypedDict):
    """Store a job for a daemon that the store doesn't answer.

    :ivar record: the record; its epoch and time are the receiver's to fill in.
    :ivar digest: of the key that the caller showed, for the receiver to judge by
        its own document.
    """

    record: bytes
    digest: NotRequired[bytes]


@message("pool.told")
class DelegateJobOperationReply(TypedDict):
    """What a daemon tells of a job on behalf of another.

    :ivar answer: ``state``, ``no_job`` or ``untold``.
    :ivar state: of the job, or why nothing can be told.
    """

    answer: Literal["state", "no_job", "untold"]
    state: str


@message("pool.ask_for", reply="pool.told")
class DelegateJobOperation(_JobRequest):
    """Tell the state of a job, or cancel it, for a daemon without the store."""

    wish: Literal["state", "cancel"]


@message("pool.heard")
class CheckOwnerReply(TypedDict):
    """Whether a daemon hears the owner of an epoch.

    :ivar hears: it answered lately, or another owner has been seen since.
    """

    hears: bool


@message("pool.ask_heard", reply="pool.heard")
class CheckOwner(TypedDict):
    """Ask whether the owner of an epoch is heard."""

    epoch: Count


@message("pool.beat")
class HeartbeatReply(TypedDict):
    """The epoch that a daemon owns the pools under, 0 if it doesn't."""

    epoch: Count
    is_cut_off: bool


@message("pool.ask_beat", reply="pool.beat")
class RequestHeartbeat(TypedDict):
    """Ask the owner for a sign of life."""

    epoch: Count


@message("pool.room")
class ReportCapacity(TypedDict):
    """Free room of the workers that get orders, as the owner knows it.

    :ivar epoch: of the owner.
    :ivar zones: pool, availability zone, millicores and MiB of each.
    """

    epoch: Count
    zones: list[tuple[str, str, Amount, Amount]]


@message("pool.stand")
class RequestTakeover(TypedDict):
    """Nobody hears the owner of that epoch; the receiver should succeed it.

    :ivar absent: daemons that did not answer when they were asked.
    """

    epoch: Count
    absent: list[str]


@message("pool.relayed")
class DelegateCommitReply(TypedDict):
    """What became of a commit that was passed on.

    :ivar code: why, where it was rejected or its answer was lost.
    :ivar revision: where it was written.
    :ivar entries: where it was refused: key, value, revision and lease of each.
    """

    outcome: Literal["written", "mismatch", "lapsed", "rejected", "lost"]
    code: str
    revision: NotRequired[Count]
    entries: NotRequired[list[tuple[str, bytes, Count, str]]]


@message("pool.relay", reply="pool.relayed")
class DelegateCommit(TypedDict):
    """Make a commit for an owner that the store turns away.

    :ivar transaction: a :class:`~damaskdeck.protocol.transactions.Transaction`.
    """

    transaction: bytes
