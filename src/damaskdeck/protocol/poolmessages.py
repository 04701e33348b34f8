"""Messages between daemons that accept callers' jobs and the pools' owner."""

from typing import Literal, NotRequired, TypedDict

from damaskdeck.protocol.messages import message
from damaskdeck.protocol.quantities import Amount, Count, JobHash, Milliseconds


@message("pool.submitted")
class AnnounceJob(TypedDict):
    """A job has been stored; ``record`` is its stored record."""

    record: bytes


@message("pool.state")
class JobStateReply(TypedDict):
    """What the owner knows of a job; an empty state means that it is not known.

    :ivar epoch: epoch of the owner, 0 from a daemon that is not the owner.
    :ivar is_hidden: whether the job belongs to another account.
    """

    epoch: Count
    state: str
    is_hidden: NotRequired[bool]


class _JobRequest(TypedDict):
    """A job with the account and the queue of the caller."""

    job: str
    account: NotRequired[str]
    queue: NotRequired[str]


@message("pool.ask_state", reply="pool.state")
class ReadJobState(_JobRequest):
    """Return the state of a job."""


@message("pool.cancel", reply="pool.state")
class CancelPoolJob(_JobRequest):
    """Cancel a job; the reply is sent once that is durable."""


@message("pool.waiting")
class CountWaitingJobsReply(TypedDict):
    """The number of jobs of a queue that have started nothing.

    :ivar epoch: epoch of the owner, 0 from a daemon that is not the owner.
    """

    epoch: Count
    count: Count


@message("pool.ask_waiting", reply="pool.waiting")
class CountWaitingJobs(TypedDict):
    """Count the jobs of a queue that have started nothing."""

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
    """Result of a delegated submission.

    :ivar outcome: ``taken``, ``not_taken`` or ``unsettled``.
    :ivar code: why, unless it was taken.
    :ivar retry: after which time to return, if it was refused.
    """

    outcome: Literal["taken", "not_taken", "unsettled"]
    code: str
    retry: NotRequired[Milliseconds]


@message("pool.take", reply="pool.taken")
class StoreJob(TypedDict):
    """Store a job for a daemon that can't use the store itself.

    :ivar record: the record; the receiver fills in its epoch and time.
    :ivar digest: digest of the caller's key, which the receiver checks against its
        own document.
    """

    record: bytes
    digest: NotRequired[bytes]


@message("pool.told")
class DelegateJobOperationReply(TypedDict):
    """Result of a delegated operation on a job.

    :ivar answer: ``state``, ``no_job`` or ``untold``.
    :ivar state: state of the job, or why it is unavailable.
    """

    answer: Literal["state", "no_job", "untold"]
    state: str


@message("pool.ask_for", reply="pool.told")
class DelegateJobOperation(_JobRequest):
    """Return or cancel a job for a daemon that can't use the store itself.

    :ivar wish: the operation.
    """

    wish: Literal["state", "cancel"]


@message("pool.heard")
class CheckOwnerReply(TypedDict):
    """Whether the owner of an epoch is alive for the sender.

    :ivar hears: whether it answered recently, or a later owner was seen.
    """

    hears: bool


@message("pool.ask_heard", reply="pool.heard")
class CheckOwner(TypedDict):
    """Check whether the owner of an epoch is alive."""

    epoch: Count


@message("pool.beat")
class HeartbeatReply(TypedDict):
    """The epoch under which a daemon owns the pools, 0 if it is not the owner."""

    epoch: Count
    is_cut_off: bool


@message("pool.ask_beat", reply="pool.beat")
class RequestHeartbeat(TypedDict):
    """Request a heartbeat of the owner."""

    epoch: Count


class ReportOutlook(TypedDict):
    """How long jobs that are accepted now would wait, in full pools.

    :ivar queues: name of each queue with a wait, the lower bound of that wait for
        accounts within their share and for other accounts, and the time between two
        refused callers that each daemon lets return; all in milliseconds.
    :ivar others: for queues that are not named, by pool and rank, the same three times;
        missing if all queues with a wait are named.
    :ivar accounts: accounts above their share or beyond their declared rate.
    :ivar returning: hashes of the refused jobs whose callers may return now.
    :ivar is_owner_limiting: whether tasks wait for the owner's processor, whatever
        capacity is free; missing if not.
    """

    queues: list[tuple[str, Milliseconds, Milliseconds, Milliseconds]]
    accounts: list[str]
    returning: list[JobHash]
    is_owner_limiting: NotRequired[bool]
    others: NotRequired[
        list[tuple[str, Count, Milliseconds, Milliseconds, Milliseconds]]
    ]


@message("pool.room")
class ReportCapacity(TypedDict):
    """Free capacity of the workers that get orders, as the owner knows it.

    :ivar epoch: epoch of the owner.
    :ivar zones: pool, availability zone, millicores and MiB of each.
    :ivar outlook: missing while nothing limits jobs.
    :ivar job_bytes: how much memory of the owner the jobs may take that each daemon
        accepts from now on.
    """

    epoch: Count
    zones: list[tuple[str, str, Amount, Amount]]
    outlook: NotRequired[ReportOutlook]
    job_bytes: NotRequired[Count]


@message("pool.loading")
class ReportLoading(TypedDict):
    """An owner has a backlog of jobs, and doesn't know yet how fast it starts it.

    :ivar epoch: epoch of the owner.
    """

    epoch: Count


@message("pool.refused")
class ReportRefusal(TypedDict):
    """A daemon has refused a job and told its caller when to return.

    :ivar job: hash of its identifier.
    :ivar due: time until the caller may return, in milliseconds.
    :ivar processors: work of the job in millicore-seconds, by its estimates.
    :ivar memory: in MiB-seconds.
    """

    job: JobHash
    due: Milliseconds
    processors: Amount
    memory: Amount


@message("pool.stand")
class RequestTakeover(TypedDict):
    """Most of the consulted daemons don't reach the owner of that epoch.

    None has reported that it does; the receiver should succeed the owner.

    :ivar absent: consulted daemons that did not reply; the election does not wait
        for them.
    """

    epoch: Count
    absent: list[str]


@message("pool.outage_grant")
class RequestOutageGrantReply(TypedDict):
    """Whether a member lets the owner act without the store for a while."""

    is_given: bool


@message("pool.ask_outage_grant", reply="pool.outage_grant")
class RequestOutageGrant(TypedDict):
    """The store doesn't answer the owner of an epoch, which requests to go on.

    :ivar epoch: of the owner.
    """

    epoch: Count


@message("pool.outage_bounds")
class CheckOutageGrantsReply(TypedDict):
    """For how long earlier owners may act by a member's knowledge, in milliseconds.

    :ivar is_known: whether the member can tell.
    :ivar predecessor: for how long leases of the owner before the given epoch may last.
    :ivar earlier: for how long leases of the owners before that one may last.
    """

    is_known: bool
    predecessor: Milliseconds
    earlier: Milliseconds


@message("pool.ask_outage_bounds", reply="pool.outage_bounds")
class CheckOutageGrants(TypedDict):
    """Give no more grants to owners before an epoch, and tell what was given.

    :ivar epoch: of the present owner.
    """

    epoch: Count


@message("pool.knows_member")
class CheckMemberReply(TypedDict):
    """Whether the owner of an epoch knows a member.

    :ivar epoch: of the owner, 0 if the sender is not the owner.
    """

    epoch: Count
    is_known: bool


@message("pool.ask_knows_member", reply="pool.knows_member")
class CheckMember(TypedDict):
    """Check whether the owner knows the sender as a member.

    :ivar revision: of the sender's member key.
    """

    revision: Count


@message("pool.departure_noted")
class RecordDepartureReply(TypedDict):
    """The receiver asks the member for no more grants."""


@message("pool.departed", reply="pool.departure_noted")
class RecordDeparture(TypedDict):
    """The sender has removed its member key and takes over no more.

    :ivar revision: of the member key that it has removed.
    """

    revision: Count


@message("pool.relayed")
class DelegateCommitReply(TypedDict):
    """Result of a delegated commit.

    :ivar code: why it was rejected, or its reply was lost.
    :ivar revision: the revision, if it was written.
    :ivar entries: key, value, revision and lease of each entry, if an expected
        revision was wrong.
    """

    outcome: Literal["written", "mismatch", "lapsed", "rejected", "lost"]
    code: str
    revision: NotRequired[Count]
    entries: NotRequired[list[tuple[str, bytes, Count, str]]]


@message("pool.relay", reply="pool.relayed")
class DelegateCommit(TypedDict):
    """Commit a transaction for an owner that the store rejects.

    :ivar transaction: an encoded
        :class:`~damaskdeck.protocol.transactions.Transaction`.
    """

    transaction: bytes
