"""The HTTP client for all services of the platform."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec

from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.platform.connections import (
    BrokenReplyError,
    Connection,
    Head,
    build_request,
    connect,
)
from damaskdeck.protocol.ports import Lost, Rejected

CONNECT_TIMEOUT = timedelta(milliseconds=700)
# Shorter than the platform's own timeout for idle connections.
KEEPALIVE_SECONDS = 10.0
# Expired connections are closed together, so that hundreds of them need few wake-ups.
MIN_SWEEP_SHARE = 0.25
BUSY_STATUSES = frozenset({429, 503})
# Repeating a call with one of these methods has no further effect.
_REPEATABLE_METHODS = frozenset({"GET"})
MILLISECOND = timedelta(milliseconds=1)

_encoder = msgspec.json.Encoder()
_HEADERS = {"Content-Type": "application/json"}

_log = get_logger("platform")


class Reply(NamedTuple):
    """A response of the platform."""

    status: int
    body: bytes


class OversizedReply(NamedTuple):
    """A response whose body was not read because it exceeds the caller's limit.

    :param size: length of the body in bytes.
    """

    status: int
    size: int


class _Limits(NamedTuple):
    """When a call has failed, in seconds of the event loop's clock.

    :param head: deadline for the head of the response.
    :param end: deadline for the whole call.
    :param silence: seconds without any data after which the call has failed.
    """

    head: float
    end: float
    silence: float | None


class PlatformClient:
    """Calls the platform over HTTP/1.1 with JSON bodies."""

    def __init__(self) -> None:
        # By address and keep-alive time in seconds, the latest used last.
        self._idle: dict[tuple[str, float], list[Connection]] = {}
        # By keep-alive time.
        self._sweeps: dict[float, asyncio.TimerHandle] = {}
        self._is_closed = False

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: timedelta,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        read_timeout: timedelta | None = None,
        keepalive_seconds: float = KEEPALIVE_SECONDS,
        max_reply_bytes: int | None = None,
        first_byte_timeout: timedelta | None = None,
    ) -> Reply | OversizedReply | Rejected | Lost:
        """Make one call.

        ``Rejected`` means that the call had no effect; ``Lost`` means that it may
        have had its effect.

        :param timeout: limit on the whole call.
        :param read_timeout: limit on the time in which no data arrives.
        :param keepalive_seconds: how long the idle connection is kept for reuse.
        :param max_reply_bytes: bodies longer than this are not read.
        :param first_byte_timeout: limit on the time until the response begins.
        """
        now = asyncio.get_running_loop().time()
        limits = _Limits(
            now + min(first_byte_timeout or timeout, timeout).total_seconds(),
            now + timeout.total_seconds(),
            None if read_timeout is None else read_timeout.total_seconds(),
        )
        data = None if body is None else _encoder.encode(body)
        key = (address, keepalive_seconds)
        try:
            request = build_request(
                method, address, path, {**_HEADERS, **(headers or {})}, data
            )
            while (connection := self._take_idle(key)) is not None:
                try:
                    return await self._exchange(
                        connection, key, path, request, limits, max_reply_bytes
                    )
                except (OSError, BrokenReplyError) as error:
                    # The service may close an idle connection at any time.
                    is_unanswered = not connection.has_received
                    is_repeatable = method in _REPEATABLE_METHODS and is_unanswered
                    if isinstance(error, TimeoutError) or not is_repeatable:
                        raise
            opened = await _connect(address, limits)
            if isinstance(opened, Rejected):
                return opened
            return await self._exchange(
                opened, key, path, request, limits, max_reply_bytes
            )
        except TimeoutError:
            return Lost("timeout")
        except (BrokenReplyError, OSError, ValueError) as error:
            return Lost("broken_channel", repr(error))

    async def _exchange(
        self,
        connection: Connection,
        key: tuple[str, float],
        path: str,
        request: bytes,
        limits: _Limits,
        max_reply_bytes: int | None,
    ) -> Reply | OversizedReply | Rejected:
        """Send a request and read its response.

        The connection is closed unless the response has been read.
        """
        is_reusable = False
        try:
            connection.send(request)
            head = await connection.read_head(limits.head, limits.silence)
            size = head.size or 0
            if max_reply_bytes is not None and size > max_reply_bytes:
                return OversizedReply(head.status, size)
            body = await _read_body(connection, head, path, limits)
            is_reusable = head.is_persistent
        finally:
            if is_reusable:
                self._keep(key, connection)
            else:
                connection.close()
        if head.status in BUSY_STATUSES:
            return Rejected("busy", str(head.status))
        return Reply(head.status, body)

    def _take_idle(self, key: tuple[str, float]) -> Connection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(key, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable and now - connection.idle_since < key[1]:
                return connection
            connection.close()
        return None

    def _keep(self, key: tuple[str, float], connection: Connection) -> None:
        if self._is_closed or not connection.is_usable:
            connection.close()
            return
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        self._idle.setdefault(key, []).append(connection)
        if key[1] not in self._sweeps:
            self._sweeps[key[1]] = loop.call_later(key[1], self._close_expired, key[1])

    def _close_expired(self, keepalive_seconds: float) -> None:
        """Close the connections that have been idle for this keep-alive time."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        del self._sweeps[keepalive_seconds]
        oldest = now
        for key in [key for key in self._idle if key[1] == keepalive_seconds]:
            kept = []
            for connection in self._idle[key]:
                is_expired = now - connection.idle_since >= keepalive_seconds
                if is_expired or not connection.is_usable:
                    connection.close()
                else:
                    kept.append(connection)
                    oldest = min(oldest, connection.idle_since)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]
        if any(key[1] == keepalive_seconds for key in self._idle):
            due_in = oldest + keepalive_seconds - now
            self._sweeps[keepalive_seconds] = loop.call_later(
                max(due_in, keepalive_seconds * MIN_SWEEP_SHARE),
                self._close_expired,
                keepalive_seconds,
            )

    async def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        for sweep in self._sweeps.values():
            sweep.cancel()
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()


async def _connect(address: str, limits: _Limits) -> Connection | Rejected:
    """Open a connection; nothing has been sent if that fails."""
    remaining = limits.head - asyncio.get_running_loop().time()
    try:
        async with asyncio.timeout(min(remaining, CONNECT_TIMEOUT.total_seconds())):
            return await connect(address)
    except OSError as error:
        return Rejected("unreachable", str(error) or "timeout")


async def _read_body(
    connection: Connection, head: Head, path: str, limits: _Limits
) -> bytes:
    """Read a response's body; log and count a timeout in the middle of it."""
    try:
        return await connection.read_body(head, limits.end, limits.silence)
    except TimeoutError:
        count_drop("platform", "answer_cut_short")
        _log.warn(
            "Timed out while reading a response body.",
            path=path.partition("?")[0],
            status=head.status,
            read=connection.read_bytes,
            size=head.size,
        )
        raise


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in whole milliseconds, as in the wire format."""
    return round(duration / MILLISECOND)


def decode_body(reply: Reply, decoder: msgspec.json.Decoder[Any]) -> Any:
    """Decode a response's body; return ``Lost`` if it is malformed."""
    try:
        return decoder.decode(reply.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Lost("unreadable_answer", str(error))
