"""Problem bodies (RFC 9457), which have a stable code for each kind of error."""

import math
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from starlette.responses import Response

from damaskdeck.errors import DamaskdeckError, Fault
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.outcomes import Failed, Refused, Unknown

PROBLEM_TYPE = "application/problem+json"
URN_PREFIX = "urn:damaskdeck:problem:"


class ProblemDefinition(NamedTuple):
    """HTTP status and title of the problems with one code."""

    status: int
    title: str


CODES = {
    # Errors of the API itself.
    "unauthenticated": ProblemDefinition(401, "No valid credential"),
    "forbidden": ProblemDefinition(403, "Not allowed with this credential"),
    "no_such_path": ProblemDefinition(404, "No such path"),
    "method_not_allowed": ProblemDefinition(405, "Method not allowed"),
    "bad_header": ProblemDefinition(400, "A header can't be used"),
    "bad_parameter": ProblemDefinition(400, "A query parameter can't be used"),
    "bad_json": ProblemDefinition(400, "The body is not JSON"),
    "body_timeout": ProblemDefinition(408, "The body came too slowly"),
    "body_too_large": ProblemDefinition(413, "The body is too large"),
    "unsupported_media_type": ProblemDefinition(415, "Media type not supported"),
    "internal": ProblemDefinition(500, "Internal error"),
    "not_ready": ProblemDefinition(503, "This daemon isn't ready"),
    # Errors of resources.
    "no_such_resource": ProblemDefinition(404, "No such resource"),
    "conflict": ProblemDefinition(409, "Another write came first"),
    "in_use": ProblemDefinition(409, "The resource is in use"),
    "precondition_failed": ProblemDefinition(412, "The revision is another one"),
    "invalid_resource": ProblemDefinition(422, "The resource has faults"),
    "too_old": ProblemDefinition(410, "The revision is too old, list again"),
    "too_many_watches": ProblemDefinition(429, "Too many watches run"),
    "slow_reader": ProblemDefinition(410, "Read too slowly, watch again"),
    "store_unavailable": ProblemDefinition(503, "The store can't be reached"),
    "store_busy": ProblemDefinition(503, "The store refused the call"),
    "store_full": ProblemDefinition(507, "The store is full"),
    "store_set_back": ProblemDefinition(504, "The store went back to an older state"),
    "value_too_large": ProblemDefinition(413, "Too large for the store"),
    # Errors of requests and jobs.
    "no_such_service": ProblemDefinition(404, "No such service"),
    "no_such_workload": ProblemDefinition(404, "No such workload"),
    "no_such_job": ProblemDefinition(404, "No such job"),
    "in_progress": ProblemDefinition(409, "The first request with this key is running"),
    "key_reused": ProblemDefinition(422, "The key belongs to another request"),
    "wrong_team": ProblemDefinition(403, "Belongs to another team"),
    "forgotten": ProblemDefinition(410, "The job's result is no longer kept"),
    "cancelled": ProblemDefinition(409, "Cancelled before it ran"),
    "impossible": ProblemDefinition(422, "No instance can ever hold it"),
    "payload_too_large": ProblemDefinition(413, "The payload is too large"),
    "queue_full": ProblemDefinition(429, "The queue is full"),
    "ledger_full": ProblemDefinition(507, "The ledger is full"),
    "unreadable_ledger": ProblemDefinition(503, "The ledger can't be read"),
    "deadline_passed": ProblemDefinition(503, "The deadline came first"),
    "deadline_unmeetable": ProblemDefinition(503, "The deadline can't be met"),
    "no_target": ProblemDefinition(503, "No target of the service is known"),
    "no_slot": ProblemDefinition(503, "No slot is free"),
    "target_full": ProblemDefinition(503, "The target is full"),
    "target_leaving": ProblemDefinition(503, "The target is leaving"),
    "draining": ProblemDefinition(503, "This daemon is shutting down"),
    "not_owner": ProblemDefinition(503, "The owner has just changed"),
    "no_keeper": ProblemDefinition(503, "The team's ledger has no keeper now"),
    "keeper_unreachable": ProblemDefinition(
        503, "The ledger's keeper can't be reached"
    ),
    "epoch_passed": ProblemDefinition(503, "The ledger's keeper has just changed"),
    "keys_unsupported": ProblemDefinition(503, "Idempotency keys can't be kept now"),
    "answer_lost": ProblemDefinition(504, "The answer was lost"),
}


class ProblemError(DamaskdeckError):
    """Ends a call with a problem.

    :param outcome: ``refused`` when nothing was done, ``failed`` or ``unknown``.
    :param retry_after: time after which the caller may retry.
    :param faults: all faults of a document.
    :param extra: additional members of the body, such as the current revision.
    """

    def __init__(
        self,
        code: str,
        detail: str = "",
        outcome: str = "refused",
        retry_after: timedelta | None = None,
        faults: tuple[Fault, ...] = (),
        **extra: Any,
    ) -> None:
        super().__init__(code)
        self.code = code
        self.detail = detail
        self.outcome = outcome
        self.retry_after = retry_after
        self.faults = faults
        self.extra = extra

    @property
    def status(self) -> int:
        """The HTTP status, which depends on outcome and code."""
        if self.outcome == "failed":
            return 502
        if self.outcome == "unknown":
            return 500 if self.code == "internal" else 504
        known = CODES.get(self.code)
        if known is not None:
            return known.status
        return 503 if self.retry_after else 422

    def describe(self) -> dict[str, Any]:
        """Return the problem body."""
        known = CODES.get(self.code)
        body: dict[str, Any] = {
            "type": URN_PREFIX + self.code,
            "title": known.title if known else self.code.replace("_", " "),
            "status": self.status,
            "code": self.code,
            "outcome": self.outcome,
        }
        if self.detail:
            body["detail"] = self.detail
        if self.faults:
            body["faults"] = [fault._asdict() for fault in self.faults]
        return body | self.extra


def make_problem(outcome: Failed | Refused | Unknown) -> ProblemError:
    """Return the problem of an outcome other than completed."""
    name = type(outcome).__name__.lower()
    retry_after = outcome.retry_after if isinstance(outcome, Refused) else None
    return ProblemError(outcome.code, outcome.detail, name, retry_after)


def render_problem(problem: ProblemError) -> Response:
    """Return the answer with a problem, and count it as a refusal."""
    count_refusal("api", problem.code)
    headers = {"Outcome": problem.outcome}
    if problem.retry_after is not None:
        seconds = max(1, math.ceil(problem.retry_after.total_seconds()))
        headers["Retry-After"] = str(seconds)
    if problem.status == 401:
        headers["WWW-Authenticate"] = 'Bearer realm="damaskdeck"'
    if "revision" in problem.extra:
        headers["ETag"] = f'"{problem.extra["revision"]}"'
    content = msgspec.json.encode(problem.describe())
    return Response(content, problem.status, headers, PROBLEM_TYPE)
