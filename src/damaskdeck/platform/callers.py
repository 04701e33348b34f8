"""ASGI application that translates callers' HTTP requests for the job frontend."""

import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from damaskdeck.errors import MessageError
from damaskdeck.platform.jobs import parse_job
from damaskdeck.protocol.callresults import (
    DEFAULT_RETRY_DELAY,
    MEMORY_CODE,
    OVERLOADED_CODE,
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

_JOB_IDENTIFIER = re.compile(r"^[0-9a-fA-F]{16}$")
_STATE_NAMES = {
    QueueJobState.QUEUED: "queued",
    QueueJobState.RUNNING: "running",
    QueueJobState.COMPLETED: "done",
    QueueJobState.FAILED: "failed",
    QueueJobState.CANCELLED: "cancelled",
}

_REJECTION_STATUSES = {
    CallRejectionCode.NO_DOCUMENT: 503,
    CallRejectionCode.STALE_DOCUMENT: 503,
    CallRejectionCode.NO_QUEUE: 404,
    CallRejectionCode.MISSING_KEY: 401,
    CallRejectionCode.UNKNOWN_KEY: 401,
    CallRejectionCode.IDENTIFIER_IN_USE: 409,
}
# Header in which callers send the key of their client account.
_API_KEY_HEADER = b"x-api-key"

# Path of the status of the pools on the port of the metrics.
_STATUS_PATH = "/pools"

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

_encoder = msgspec.json.Encoder()


class Frontend(Protocol):
    """Serves callers' requests.

    See :class:`damaskdeck.coordination.pools.jobfrontend.JobFrontend`.
    """

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed | CallRejected:
        """Submit a job."""

    async def read_state(
        self, identifier: str, caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Return the state of a job."""

    async def cancel(
        self, identifier: str, caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Cancel a job."""

    async def count_waiting(self, queue: str) -> int | JobStateUnavailable:
        """Return how many jobs of a queue have not started any task."""


class AuthorizedCall(Protocol):
    """A call that was authorized, with its queue and its caller."""

    queue: Queue
    caller: Caller
    table: QueueTable


class Authorizer(Protocol):
    """Checks that a caller may use a queue.

    See :class:`damaskdeck.coordination.pools.authorization.CallAuthorizer`.
    """

    def authorize(
        self, host: str, path: str, key: bytes | None
    ) -> AuthorizedCall | CallRejected:
        """Return the queue that a call addresses and its caller, or the rejection.

        :param host: the header ``Host`` without a port.
        :param key: the caller's API key, ``None`` if the call has none.
        """


def build_callers_app(
    frontend: Frontend,
    authorizer: Authorizer,
    is_ready: Callable[[], bool],
    is_closing_connections: Callable[[], bool],
    read_metrics: Callable[[], Awaitable[bytes | None]],
    read_status: Callable[[], Any],
    ready_port: int,
    metrics_port: int,
) -> App:
    """Return the ASGI application for callers, load balancer and metrics.

    :param is_closing_connections: whether responses close the connection, so that
        callers open their next one to another daemon.
    :param read_metrics: returns the text of the metrics, ``None`` if they can't be
        exported.
    :param read_status: returns the status of the pools, for operators.
    :param ready_port: local port that answers the balancer's readiness checks.
    :param metrics_port: local port that serves the metrics and the status.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        response = _Response(send, is_closing_connections())
        if scope["server"][1] == ready_port:
            await response.send_json(200 if is_ready() else 503)
            return
        if scope["server"][1] == metrics_port:
            if scope["path"] == _STATUS_PATH:
                await response.send_json(200, read_status())
            else:
                await _send_metrics(response, await read_metrics())
            return
        host = _read_header(scope, b"host") or b""
        call = authorizer.authorize(
            host.decode("latin-1").partition(":")[0],
            scope["path"],
            _read_header(scope, _API_KEY_HEADER),
        )
        if isinstance(call, CallRejected):
            await response.send_rejection(call)
        else:
            await _handle_call(scope, receive, response, frontend, call)

    return app


class _Response:
    """Sends the response to one request.

    :param closes_connection: whether to send ``Connection: close``.
    """

    def __init__(self, send: Send, closes_connection: bool) -> None:
        self._send = send
        self._closes_connection = closes_connection

    async def send_text(self, text: bytes) -> None:
        """Send status 200 with a plain text body."""
        await self._send_response(200, [(b"content-type", b"text/plain")], text)

    async def send_json(
        self, status: int, body: Any = None, retry: timedelta | None = None
    ) -> None:
        """Send a status and a JSON body.

        :param body: an empty body is sent if ``None``.
        :param retry: sent as ``Retry-After``, rounded to seconds, at least 1.
        """
        data = b"" if body is None else _encoder.encode(body)
        headers = [(b"content-type", b"application/json")]
        if retry is not None:
            seconds = max(1, round(retry.total_seconds()))
            headers.append((b"retry-after", str(seconds).encode()))
        await self._send_response(status, headers, data)

    async def send_rejection(self, rejection: CallRejected) -> None:
        """Send the response to a call that was not authorized."""
        status = _REJECTION_STATUSES[rejection.code]
        body = None if status == 404 else {"error": rejection.code}
        await self.send_json(
            status, body, DEFAULT_RETRY_DELAY if status == 503 else None
        )

    async def _send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], data: bytes
    ) -> None:
        headers.append((b"content-length", str(len(data)).encode()))
        if self._closes_connection:
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await self._send({"type": "http.response.body", "body": data})


async def _send_metrics(response: _Response, text: bytes | None) -> None:
    if text is None:
        await response.send_json(503)
    else:
        await response.send_text(text)


async def _handle_call(
    scope: Scope,
    receive: Receive,
    response: _Response,
    frontend: Frontend,
    call: AuthorizedCall,
) -> None:
    method, queue = scope["method"], call.queue
    identifier = scope["path"][len(queue.prefix) :]
    if method == "GET" and not identifier:
        count = await frontend.count_waiting(queue.name)
        if isinstance(count, JobStateUnavailable):
            await response.send_json(503, retry=count.retry)
        else:
            await response.send_json(200, {"pending": count})
    elif not _JOB_IDENTIFIER.match(identifier):
        await response.send_json(400 if method == "POST" else 410)
    elif method == "POST":
        await _submit(receive, response, frontend, call, identifier)
    elif method in ("GET", "DELETE"):
        operation = frontend.read_state if method == "GET" else frontend.cancel
        await _send_state(response, await operation(identifier, call.caller), method)
    else:
        await response.send_json(405)


async def _send_state(
    response: _Response,
    result: JobStateFound | JobNotFound | JobStateUnavailable,
    method: str,
) -> None:
    if isinstance(result, JobStateFound):
        await response.send_json(200, {"state": _STATE_NAMES[result.state]})
    elif isinstance(result, JobNotFound):
        await response.send_json(410)
    else:
        await response.send_json(503, {"error": result.code}, result.retry)


async def _submit(
    receive: Receive,
    response: _Response,
    frontend: Frontend,
    call: AuthorizedCall,
    identifier: str,
) -> None:
    body = await _read_body(receive, call.table.body_limit)
    if body is None:
        await response.send_json(413)
        return
    try:
        spec = parse_job(body)
    except MessageError as error:
        await response.send_json(400, {"error": str(error)})
        return
    result = await frontend.submit(call.queue, identifier, spec, call.caller)
    if isinstance(result, JobAccepted):
        await response.send_json(200, {"state": "queued"})
    elif isinstance(result, CallRejected):
        await response.send_rejection(result)
    elif isinstance(result, JobNotAccepted):
        is_full = result.code in (OVERLOADED_CODE, MEMORY_CODE)
        status = 429 if is_full else 503
        await response.send_json(status, {"error": result.code}, result.retry)
    else:
        # The job may have been stored or may still be, so the response reports neither
        # success nor failure.
        await response.send_json(504, {"error": result.code})


def _read_header(scope: Scope, name: bytes) -> bytes | None:
    return next((value for key, value in scope["headers"] if key == name), None)


async def _read_body(receive: Receive, limit: int) -> bytes | None:
    """Return a request's body, or ``None`` if it is longer than ``limit`` bytes."""
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
