"""Problem bodies (RFC 9457) with a stable code for whatever goes wrong."""

import math
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from starlette.responses import Response

from damaskdeck.errors import DamaskdeckError, Fault
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.outcomes import Failed, Refused, Unknown

PROBLEM_TYPE = "application/problem+json"
URN = "urn:damaskdeck:problem:"


class Code(NamedTuple):
    """How a code is told over HTTP."""

    status: int
    title: str


CODES = {
    # Of the API itself.
    "unauthenticated": Code(401, "No valid credential"),
    "forbidden": Code(403, "Not allowed with this credential"),
    "no_such_path": Code(404, "No such path"),
    "method_not_allowed": Code(405, "Method not allowed"),
    "bad_header": Code(400, "A header can't be used"),
    "bad_parameter": Code(400, "A query parameter can't be used"),
    "bad_json": Code(400, "The body is not JSON"),
    "body_timeout": Code(408, "The body came too slowly"),
    "body_too_large": Code(413, "The body is too large"),
    "unsupported_media_type": Code(415, "Media type not supported"),
    "internal": Code(500, "Internal error"),
    "not_ready": Code(503, "This daemon isn't ready"),
    # Of resources.
    "no_such_resource": Code(404, "No such resource"),
    "conflict": Code(409, "Another write came first"),
    "in_use": Code(409, "The resource is in use"),
    "precondition_failed": Code(412, "The revision is another one"),
    "invalid_resource": Code(422, "The resource has faults"),
    "too_old": Code(410, "The revision is too old, list again"),
    "too_many_watches": Code(429, "Too many watches run"),
    "slow_reader": Code(410, "Read too slowly, watch again"),
    "store_unavailable": Code(503, "The store can't be reached"),
    "store_busy": Code(503, "The store refused the call"),
    "store_full": Code(507, "The store is full"),
    "store_set_back": Code(504, "The store went back to an older state"),
    "value_too_large": Code(413, "Too large for the store"),
    # Of requests and jobs.
    "no_such_service": Code(404, "No such service"),
    "no_such_workload": Code(404, "No such workload"),
    "no_such_job": Code(404, "No such job"),
    "in_progress": Code(409, "The first request with this key is running"),
    "key_reused": Code(422, "The key belongs to another request"),
    "wrong_team": Code(403, "Belongs to another team"),
    "forgotten": Code(410, "The job's result is no longer kept"),
    "cancelled": Code(409, "Cancelled before it ran"),
    "impossible": Code(422, "No instance can ever hold it"),
    "payload_too_large": Code(413, "The payload is too large"),
    "queue_full": Code(429, "The queue is full"),
    "ledger_full": Code(507, "The ledger is full"),
    "unreadable_ledger": Code(503, "The ledger can't be read"),
    "deadline_passed": Code(503, "The deadline came first"),
    "deadline_unmeetable": Code(503, "The deadline can't be met"),
    "no_target": Code(503, "No target of the service is known"),
    "no_slot": Code(503, "No slot is free"),
    "target_full": Code(503, "The target is full"),
    "target_leaving": Code(503, "The target is leaving"),
    "draining": Code(503, "This daemon is shutting down"),
    "not_owner": Code(503, "The owner has just changed"),
    "no_keeper": Code(503, "The team's ledger has no keeper now"),
    "keeper_unreachable": Code(503, "The ledger's keeper can't be reached"),
    "epoch_passed": Code(503, "The ledger's keeper has just changed"),
    "keys_unsupported": Code(503, "Idempotency keys can't be kept now"),
    "answer_lost": Code(504, "The answer was lost"),
}


class ProblemError(DamaskdeckError):
    """Ends a call with a problem.

    :param outcome: ``refused`` when nothing was done, ``failed`` or ``unknown``.
    :param retry_after: when to come back.
    :param faults: all faults of a document.
    :param extra: further members of the body, as the current revision.
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
        """The HTTP status, by outcome and code."""
        if self.outcome == "failed":
            return 502
        if self.outcome == "unknown":
            return 500 if self.code == "internal" else 504
        known = CODES.get(self.code)
        if known is not None:
            return known.status
        return 503 if self.retry_after else 422

    def describe(self) -> dict[str, Any]:
        """Return the body."""
        known = CODES.get(self.code)
        body: dict[str, Any] = {
            "type": URN + self.code,
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
    """Turn an outcome other than completed into a problem."""
    name = type(outcome).__name__.lower()
    retry_after = outcome.retry_after if isinstance(outcome, Refused) else None
    return ProblemError(outcome.code, outcome.detail, name, retry_after)


def render_problem(problem: ProblemError) -> Response:
    """Render a problem, and count it."""
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
