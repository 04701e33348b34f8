"""Callers' HTTP on the platform, translated for the job desk."""

import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from damaskdeck.errors import MessageError
from damaskdeck.platform.jobs import read_job
from damaskdeck.protocol.callers import (
    NoJob,
    NotTaken,
    Taken,
    Told,
    Unsettled,
    Untold,
)
from damaskdeck.protocol.queues import JobSpec, Queue, QueuedState, QueueTable

_IDENTIFIER = re.compile(r"^[0-9a-fA-F]{16}$")
_STATES = {
    QueuedState.QUEUED: "queued",
    QueuedState.RUNNING: "running",
    QueuedState.COMPLETED: "done",
    QueuedState.FAILED: "failed",
    QueuedState.CANCELLED: "cancelled",
}

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

_encoder = msgspec.json.Encoder()


class Desk(Protocol):
    """What answers callers; see :class:`damaskdeck.coordination.pools.JobDesk`."""

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec
    ) -> Taken | NotTaken | Unsettled:
        """Store a job."""

    async def read_state(self, identifier: str) -> Told | NoJob | Untold:
        """Tell the state of a job."""

    async def cancel(self, identifier: str) -> Told | NoJob | Untold:
        """Cancel a job."""

    async def count_waiting(self, queue: str) -> int | Untold:
        """Tell how many jobs of a queue have started nothing."""


def build_callers_app(
    desk: Desk,
    get_table: Callable[[], QueueTable | None],
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
        table = get_table()
        if table is None:
            await answer.give(503, retry=timedelta(seconds=1))
            return
        queue = table.find(_read_host(scope), scope["path"])
        if queue is None:
            await answer.give(404)
            return
        rest = scope["path"][len(queue.prefix) :]
        await _serve(scope, receive, answer, desk, queue, table, rest)

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
    desk: Desk,
    queue: Queue,
    table: QueueTable,
    rest: str,
) -> None:
    method = scope["method"]
    if method == "GET" and not rest:
        count = await desk.count_waiting(queue.name)
        if isinstance(count, Untold):
            await answer.give(503, retry=count.retry)
        else:
            await answer.give(200, {"pending": count})
    elif not _IDENTIFIER.match(rest):
        await answer.give(400 if method == "POST" else 410)
    elif method == "POST":
        await _submit(receive, answer, desk, queue, table.body_limit, rest)
    elif method in ("GET", "DELETE"):
        ask = desk.read_state if method == "GET" else desk.cancel
        await _tell(answer, await ask(rest), method)
    else:
        await answer.give(405)


async def _tell(answer: _Answer, told: Told | NoJob | Untold, method: str) -> None:
    if isinstance(told, Told):
        await answer.give(200, {"state": _STATES[told.state]})
    elif isinstance(told, NoJob):
        await answer.give(410)
    else:
        await answer.give(503, {"error": told.code}, told.retry)


async def _submit(
    receive: Receive,
    answer: _Answer,
    desk: Desk,
    queue: Queue,
    body_limit: int,
    identifier: str,
) -> None:
    body = await _read_body(receive, body_limit)
    if body is None:
        await answer.give(413)
        return
    try:
        spec = read_job(body)
    except MessageError as error:
        await answer.give(400, {"error": str(error)})
        return
    done = await desk.submit(queue, identifier, spec)
    if isinstance(done, Taken):
        await answer.give(200, {"state": "queued"})
    elif isinstance(done, NotTaken):
        await answer.give(503, {"error": done.code}, done.retry)
    else:
        # It may be stored yet: an answer that promises nothing.
        await answer.give(504, {"error": done.code})


def _read_host(scope: Scope) -> str:
    for name, value in scope["headers"]:
        if name == b"host":
            return value.decode("latin-1").partition(":")[0]
    return ""


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
