"""Callers' HTTP on the platform, translated for the job desk."""

import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from damaskdeck.errors import MessageError
from damaskdeck.platform.jobs import read_job
from damaskdeck.protocol.callresults import (
    DEFAULT_RETRY_DELAY,
    Caller,
    CallRejected,
    CallRejectionCode,
    JobAccepted,
    JobNotAccepted,
    JobNotFound,
    JobStateFound,
    JobStateUnavailable,
    JobUnconfirmed,
)
from damaskdeck.protocol.queues import JobSpec, Queue, QueueJobState, QueueTable

_IDENTIFIER = re.compile(r"^[0-9a-fA-F]{16}$")
_STATES = {
    QueueJobState.QUEUED: "queued",
    QueueJobState.RUNNING: "running",
    QueueJobState.COMPLETED: "done",
    QueueJobState.FAILED: "failed",
    QueueJobState.CANCELLED: "cancelled",
}

_BARS = {
    CallRejectionCode.NO_DOCUMENT: 503,
    CallRejectionCode.STALE_DOCUMENT: 503,
    CallRejectionCode.NO_QUEUE: 404,
    CallRejectionCode.MISSING_KEY: 401,
    CallRejectionCode.UNKNOWN_KEY: 401,
    CallRejectionCode.IDENTIFIER_IN_USE: 409,
}
# Where callers show the key of their account.
_KEY_HEADER = b"x-api-key"

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

_encoder = msgspec.json.Encoder()


class Frontend(Protocol):
    """What answers callers; see :class:`damaskdeck.coordination.pools.JobFrontend`."""

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed | CallRejected:
        """Store a job."""

    async def read_state(
        self, identifier: str, caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Tell the state of a job."""

    async def cancel(
        self, identifier: str, caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Cancel a job."""

    async def count_waiting(self, queue: str) -> int | JobStateUnavailable:
        """Tell how many jobs of a queue have started nothing."""


class AuthorizedCall(Protocol):
    """A call that goes on."""

    queue: Queue
    caller: Caller
    table: QueueTable


class Gate(Protocol):
    """Judges calls.

    See :class:`damaskdeck.coordination.pools.authorization.CallAuthorizer`.
    """

    def authorize(
        self, host: str, path: str, key: bytes | None
    ) -> AuthorizedCall | CallRejected:
        """Return the queue that a call means and who calls."""


def build_callers_app(
    frontend: Frontend,
    gate: Gate,
    is_ready: Callable[[], bool],
    is_turning_away: Callable[[], bool],
    read_metrics: Callable[[], bytes],
    ready_port: int,
    metrics_port: int,
) -> App:
    """Return the ASGI application for callers and for the balancer.

    :param is_turning_away: whether callers should use another channel next time.
    :param ready_port: what comes there is the balancer's question.
    :param metrics_port: what comes there asks for the metrics.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        answer = _Answer(send, is_turning_away())
        if scope["server"][1] == ready_port:
            await answer.give(200 if is_ready() else 503)
            return
        if scope["server"][1] == metrics_port:
            await answer.give_text(read_metrics())
            return
        host = _read_header(scope, b"host") or b""
        admitted = gate.authorize(
            host.decode("latin-1").partition(":")[0],
            scope["path"],
            _read_header(scope, _KEY_HEADER),
        )
        if isinstance(admitted, CallRejected):
            await answer.bar(admitted)
        else:
            await _serve(scope, receive, answer, frontend, admitted)

    return app


class _Answer:
    """Sends one answer.

    :param is_last: tell the caller to open another channel next time.
    """

    def __init__(self, send: Send, is_last: bool) -> None:
        self._send = send
        self._is_last = is_last

    async def give_text(self, text: bytes) -> None:
        """Send plain text."""
        await self._send_all(200, [(b"content-type", b"text/plain")], text)

    async def give(
        self, status: int, body: Any = None, retry: timedelta | None = None
    ) -> None:
        """Send status and body; ``retry`` says when to come back."""
        data = b"" if body is None else _encoder.encode(body)
        headers = [(b"content-type", b"application/json")]
        if retry is not None:
            seconds = max(1, round(retry.total_seconds()))
            headers.append((b"retry-after", str(seconds).encode()))
        await self._send_all(status, headers, data)

    async def bar(self, barred: CallRejected) -> None:
        """Turn a call away."""
        status = _BARS[barred.code]
        body = None if status == 404 else {"error": barred.code}
        await self.give(status, body, DEFAULT_RETRY_DELAY if status == 503 else None)

    async def _send_all(
        self, status: int, headers: list[tuple[bytes, bytes]], data: bytes
    ) -> None:
        headers.append((b"content-length", str(len(data)).encode()))
        if self._is_last:
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await self._send({"type": "http.response.body", "body": data})


async def _serve(
    scope: Scope,
    receive: Receive,
    answer: _Answer,
    frontend: Frontend,
    admitted: AuthorizedCall,
) -> None:
    method, queue = scope["method"], admitted.queue
    rest = scope["path"][len(queue.prefix) :]
    if method == "GET" and not rest:
        count = await frontend.count_waiting(queue.name)
        if isinstance(count, JobStateUnavailable):
            await answer.give(503, retry=count.retry)
        else:
            await answer.give(200, {"pending": count})
    elif not _IDENTIFIER.match(rest):
        await answer.give(400 if method == "POST" else 410)
    elif method == "POST":
        await _submit(receive, answer, frontend, admitted, rest)
    elif method in ("GET", "DELETE"):
        ask = frontend.read_state if method == "GET" else frontend.cancel
        await _tell(answer, await ask(rest, admitted.caller), method)
    else:
        await answer.give(405)


async def _tell(
    answer: _Answer,
    told: JobStateFound | JobNotFound | JobStateUnavailable,
    method: str,
) -> None:
    if isinstance(told, JobStateFound):
        await answer.give(200, {"state": _STATES[told.state]})
    elif isinstance(told, JobNotFound):
        await answer.give(410)
    else:
        await answer.give(503, {"error": told.code}, told.retry)


async def _submit(
    receive: Receive,
    answer: _Answer,
    frontend: Frontend,
    admitted: AuthorizedCall,
    identifier: str,
) -> None:
    body = await _read_body(receive, admitted.table.body_limit)
    if body is None:
        await answer.give(413)
        return
    try:
        spec = read_job(body)
    except MessageError as error:
        await answer.give(400, {"error": str(error)})
        return
    done = await frontend.submit(admitted.queue, identifier, spec, admitted.caller)
    if isinstance(done, JobAccepted):
        await answer.give(200, {"state": "queued"})
    elif isinstance(done, CallRejected):
        await answer.bar(done)
    elif isinstance(done, JobNotAccepted):
        await answer.give(503, {"error": done.code}, done.retry)
    else:
        # It may be stored yet: an answer that promises nothing.
        await answer.give(504, {"error": done.code})


def _read_header(scope: Scope, wanted: bytes) -> bytes | None:
    return next((value for name, value in scope["headers"] if name == wanted), None)


async def _read_body(receive: Receive, limit: int) -> bytes | None:
    """Return a request's body, ``None`` when it is longer than allowed."""
    parts = []
    size = 0
    while True:
        event = await receive()
        part = event.get("body", b"")
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
        if not event.get("more_body", False):
            return b"".join(parts)
