"""Watches: JSON lines until the caller leaves, lags or the server stops."""

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
SEND_LIMIT_SECONDS = 15
LINES_TYPE = "application/x-ndjson"

_log = get_logger("api")


class LineStream(Response):
    """Sends JSON lines; a caller that takes none for long is dropped.

    :param lines: the documents to send.
    :raises ProblemError: ``too_many_watches`` when all slots are taken.
    """

    media_type = LINES_TYPE

    def __init__(self, lines: AsyncGenerator[Any, None], context: Context) -> None:
        if context.watch_slots.locked():
            raise ProblemError("too_many_watches", retry_after=RETRY_AFTER)
        super().__init__()
        del self.headers["content-length"]
        self._lines = lines
        self._slots = context.watch_slots
        self._stopping = context.stopping

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send until one of the ends is reached."""
        async with self._slots, aclosing(self._lines):
            start = {"type": "http.response.start", "status": self.status_code}
            await send({**start, "headers": self.raw_headers})
            if await self._run(receive, send):
                await self._end(send)

    async def _run(self, receive: Receive, send: Send) -> bool:
        """Send the lines; return whether the stream has come to a proper end."""
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
        lines, gone, _ = tasks
        if not gone.cancelled():
            return False
        return lines.cancelled() or lines.result()

    async def _send_lines(self, send: Send) -> bool:
        try:
            async for line in self._lines:
                body = msgspec.json.encode(line) + b"\n"
                async with asyncio.timeout(SEND_LIMIT_SECONDS):
                    await send(_make_part(body, True))
        except TimeoutError:
            _log.info("A watcher took nothing for long and was dropped.")
            count_drop("api", "slow_reader")
            return False
        except Exception as error:
            _log.error("A watch failed.", error=repr(error))
            return False
        return True

    async def _end(self, send: Send) -> None:
        try:
            async with asyncio.timeout(SEND_LIMIT_SECONDS):
                await send(_make_part(b"", False))
        except (TimeoutError, OSError, RuntimeError):
            count_drop("api", "stream_not_ended")


def _make_part(body: bytes, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": body, "more_body": more}


def watch_configuration(
    context: Context, kind: Kind, after: int, select: Selector, name: str = ""
) -> LineStream:
    """Stream the changes of a kind, or of one resource, after a revision.

    :raises ProblemError: ``too_old`` when the history doesn't reach so far back.
    """
    history = context.configuration.history
    if isinstance(found := history.read(after), HistoryExpired):
        raise ProblemError("too_old", oldest=found.oldest, revision=history.revision)
    reader = HistoryReader(history, after, context.clock)
    lines = list_lines(reader, kind, select, name)
    return LineStream(lines, context)


async def list_lines(
    reader: HistoryReader, kind: Kind, select: Selector, name: str
) -> AsyncGenerator[dict[str, Any], None]:
    """Yield the lines of a watch of one kind."""
    yield _bookmark(reader.revision)
    while True:
        found = await reader.read(BOOKMARK_INTERVAL)
        if not isinstance(found, ResourceChanges):
            yield _describe_end(found)
            return
        for change in found.changes:
            if change.kind is kind and name in ("", change.name):
                line = _describe(change, select)
                if line:
                    yield line
        yield _bookmark(found.revision)


def _describe(change: ResourceChange, select: Selector) -> dict[str, Any] | None:
    was = change.previous is not None and select(change.previous)
    if change.resource is not None and select(change.resource):
        return {"type": "MODIFIED" if was else "ADDED", "resource": change.resource}
    if not was or change.previous is None:
        return None
    metadata = {**change.previous["metadata"], "revision": change.revision}
    return {"type": "DELETED", "resource": {**change.previous, "metadata": metadata}}


def _bookmark(revision: int) -> dict[str, Any]:
    return {"type": "BOOKMARK", "revision": revision}


def _describe_end(end: HistoryExpired | ReaderTooSlow) -> dict[str, Any]:
    if isinstance(end, ReaderTooSlow):
        problem = ProblemError("slow_reader", revision=end.revision)
    else:
        problem = ProblemError("too_old", oldest=end.oldest)
    count_drop("api", problem.code)
    return {"type": "ERROR", "problem": problem.describe(), **problem.extra}
