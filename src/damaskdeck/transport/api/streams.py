"""Watches as JSON lines, until the client disconnects, lags or the server stops."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from datetime import timedelta
from typing import Any

import msgspec
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.resources import Kind
from damaskdeck.state.changehistory import (
    HistoryExpired,
    HistoryReader,
    ReaderTooSlow,
    ResourceChange,
    ResourceChanges,
)
from damaskdeck.transport.api.polls import Selector
from damaskdeck.transport.api.problems import ProblemError
from damaskdeck.transport.api.routes import Context, wait_for_disconnect

BOOKMARK_INTERVAL = timedelta(seconds=10)
RETRY_AFTER = timedelta(seconds=5)
SEND_TIMEOUT_SECONDS = 15
LINES_MEDIA_TYPE = "application/x-ndjson"

_log = get_logger("api")


class LineStream(Response):
    """A response that sends JSON lines; clients that stop reading are dropped.

    A client is dropped when a line can't be sent for ``SEND_TIMEOUT_SECONDS``.

    :param lines: the documents to send.
    :raises ProblemError: ``too_many_watches`` when all slots are taken.
    """

    media_type = LINES_MEDIA_TYPE

    def __init__(self, lines: AsyncGenerator[Any, None], context: Context) -> None:
        if context.watch_slots.locked():
            raise ProblemError("too_many_watches", retry_after=RETRY_AFTER)
        super().__init__()
        del self.headers["content-length"]
        self._lines = lines
        self._slots = context.watch_slots
        self._stopping = context.stopping

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send lines until they end, the client disconnects or the server stops."""
        async with self._slots, aclosing(self._lines):
            start = {"type": "http.response.start", "status": self.status_code}
            await send({**start, "headers": self.raw_headers})
            if await self._run(receive, send):
                await self._end(send)

    async def _run(self, receive: Receive, send: Send) -> bool:
        """Send the lines.

        :return: whether the stream may be ended regularly. Otherwise its connection
            breaks, so that the client doesn't take the lines for complete.
        """
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._send_lines(send),
                wait_for_disconnect(receive),
                self._stopping.wait(),
            )
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        lines, disconnected, _ = tasks
        if not disconnected.cancelled():
            return False
        return lines.cancelled() or lines.result()

    async def _send_lines(self, send: Send) -> bool:
        try:
            async for line in self._lines:
                body = msgspec.json.encode(line) + b"\n"
                async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                    await send(_make_body_part(body, True))
        except TimeoutError:
            _log.info("A watch was ended because its client did not read.")
            count_drop("api", "slow_reader")
            return False
        except Exception as error:
            _log.error("A watch raised an exception.", error=repr(error))
            return False
        return True

    async def _end(self, send: Send) -> None:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                await send(_make_body_part(b"", False))
        except (TimeoutError, OSError, RuntimeError):
            count_drop("api", "stream_not_ended")


def _make_body_part(body: bytes, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": body, "more_body": more}


def watch_configuration(
    context: Context, kind: Kind, after: int, select: Selector, name: str = ""
) -> LineStream:
    """Return a stream of the changes of a kind, or of one resource, after a revision.

    :param name: stream only the resource of this name; an empty string means all.
    :raises ProblemError: ``too_old`` when the history begins after the revision.
    """
    history = context.configuration.history
    if isinstance(found := history.read(after), HistoryExpired):
        raise ProblemError("too_old", oldest=found.oldest, revision=history.revision)
    reader = HistoryReader(history, after, context.clock)
    lines = stream_lines(reader, kind, select, name)
    return LineStream(lines, context)


async def stream_lines(
    reader: HistoryReader, kind: Kind, select: Selector, name: str
) -> AsyncGenerator[dict[str, Any], None]:
    """Yield the lines of a watch of one kind."""
    yield _make_bookmark(reader.revision)
    while True:
        found = await reader.read(BOOKMARK_INTERVAL)
        if not isinstance(found, ResourceChanges):
            yield _build_error_line(found)
            return
        for change in found.changes:
            if change.kind is kind and name in ("", change.name):
                line = _build_change_line(change, select)
                if line:
                    yield line
        yield _make_bookmark(found.revision)


def _build_change_line(
    change: ResourceChange, select: Selector
) -> dict[str, Any] | None:
    was_selected = change.previous is not None and select(change.previous)
    if change.resource is not None and select(change.resource):
        return {
            "type": "MODIFIED" if was_selected else "ADDED",
            "resource": change.resource,
        }
    if not was_selected or change.previous is None:
        return None
    metadata = {**change.previous["metadata"], "revision": change.revision}
    return {"type": "DELETED", "resource": {**change.previous, "metadata": metadata}}


def _make_bookmark(revision: int) -> dict[str, Any]:
    return {"type": "BOOKMARK", "revision": revision}


def _build_error_line(end: HistoryExpired | ReaderTooSlow) -> dict[str, Any]:
    if isinstance(end, ReaderTooSlow):
        problem = ProblemError("slow_reader", revision=end.revision)
    else:
        problem = ProblemError("too_old", oldest=end.oldest)
    count_drop("api", problem.code)
    return {"type": "ERROR", "problem": problem.describe(), **problem.extra}
