"""Interfaces that answer callers' and operators' calls, behind the HTTP API."""

from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple, Protocol

from damaskdeck.protocol.outcomes import Outcome, Refused, Unknown
from damaskdeck.protocol.resources import Kind, Resource, Urgency
from damaskdeck.protocol.values import distinct


class ServiceRequest(NamedTuple):
    """A caller's request to a service.

    :param identifier: unique for each request; the receiving daemon creates it.
    :param key: the caller's ``Idempotency-Key``, or an empty string.
    :param timeout: time left until the caller's deadline.
    """

    identifier: str
    service: str
    team: str
    body: bytes
    timeout: timedelta
    content_type: str = "application/json"
    key: str = ""
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False


class Submission(NamedTuple):
    """A caller's job.

    :param key: the caller's ``Idempotency-Key``, or an empty string.
    :param workload: name of a declared workload of type batch or gang.
    :param payload: passed to each task unchanged.
    """

    workload: str
    team: str
    payload: bytes = b""
    key: str = ""


class JobState(StrEnum):
    """States of a job; the last four are its outcome."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


FINAL_JOB_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.REFUSED, JobState.UNKNOWN}
)


class JobView(NamedTuple):
    """A job as callers see it.

    :param code: why the job failed, was refused or is unknown.
    :param reasons: text for people: why it waits, where it ran, why it was moved.
    :param results: results of its tasks in order, once it has completed; not in
        lists of jobs.
    :param workers: the last worker of each of ``tasks``, or an empty string.
    :param revision: rises with each change of the job.
    """

    name: str
    workload: str
    team: str
    state: JobState
    code: str = ""
    reasons: tuple[str, ...] = ()
    results: tuple[bytes, ...] = ()
    tasks: tuple[str, ...] = ()
    workers: tuple[str, ...] = ()
    revision: int = 0


class RequestHandler(Protocol):
    """Answers callers' requests to services."""

    async def handle_request(self, request: ServiceRequest) -> Outcome:
        """Serve a request; cancelling the asyncio task cancels the request."""


class JobHandler(Protocol):
    """Accepts jobs and returns their states, on any daemon."""

    async def submit_job(self, submission: Submission) -> JobView | Refused | Unknown:
        """Accept a job; it is durable once a view is returned."""

    async def read_job(self, name: str) -> JobView | Refused | Unknown:
        """Return a job; ``Refused("no_such_job")`` if there is none."""

    async def cancel_job(self, name: str) -> JobView | Refused | Unknown:
        """Cancel a job; a job that has ended keeps its state."""

    async def list_jobs(
        self, team: str, after: str, limit: int
    ) -> tuple[JobView, ...] | Refused | Unknown:
        """List jobs in order of their names, one page per call.

        :param team: list the jobs of this team only; an empty string for all.
        :param after: list only names after this one.
        :param limit: maximum number of jobs.
        """


class ResourceReader(Protocol):
    """Lists observed resources: workers, targets and tasks."""

    async def list_resources(self, kind: str) -> tuple[Resource, ...] | Refused:
        """List the resources of ``kind`` that this daemon and its peers know."""


@distinct
class ClaimedKey(NamedTuple):
    """The key was used for the first time and is durable; run the request now."""


@distinct
class KnownKey(NamedTuple):
    """The key was used before; ``outcome`` is that of its request."""

    outcome: Outcome


class IdempotencyKeys(Protocol):
    """Stores the idempotency keys of requests durably, in the team's ledger."""

    async def claim_key(
        self, team: str, service: str, key: str, digest: bytes, timeout: timedelta
    ) -> ClaimedKey | KnownKey | Refused | Unknown:
        """Claim a key before its request is sent to a target.

        :param digest: digest of the request; another request with the same key is
            ``Refused("key_reused")``.
        :param timeout: once it has passed without :meth:`settle_key`, the key is
            known as ``Unknown("answer_lost")``; before that, the result is
            ``Refused("in_progress")``.
        """

    async def settle_key(
        self, team: str, service: str, key: str, outcome: Outcome
    ) -> bool:
        """Store the outcome; returns whether it is durable."""


ConfigurationHandler = Callable[[Kind, str, Resource | None], None]


class ConfigurationReader(Protocol):
    """The declared resources in force on this daemon."""

    @property
    def revision(self) -> int:
        """The highest revision up to which all changes are in force."""

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Return a declared resource."""

    def list(self, kind: Kind) -> tuple[Resource, ...]:
        """List the declared resources of a kind in order of name."""

    def subscribe(self, handler: ConfigurationHandler) -> None:
        """Call ``handler(kind, name, resource)`` on each change.

        ``resource`` is ``None`` for a deletion.
        """
