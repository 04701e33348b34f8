"""The HTTP client for all services of the platform."""

import asyncio
import socket
from collections.abc import Mapping
from contextvars import ContextVar
from datetime import timedelta
from typing import Any, NamedTuple

import aiohttp
import msgspec
from aiohttp.connector import Connection

from damaskdeck.delays import LoopDelay, ReplyLimit
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.ports import OTHER_CONNECTION, Lost, Rejected

# The kernel closes a connection whose peer acknowledges nothing for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
CONNECT_TIMEOUT = timedelta(milliseconds=700)
# Shorter than the platform's own timeout for idle connections.
KEEPALIVE_SECONDS = 10.0
BUSY_STATUSES = frozenset({429, 503})
MILLISECOND = timedelta(milliseconds=1)

_encoder = msgspec.json.Encoder()
_HEADERS = {"Content-Type": "application/json"}
_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")

_log = get_logger("platform")


class Reply(NamedTuple):
    """A response of the platform.

    :param connection: stands for the connection that it came over.
    """

    status: int
    body: bytes
    connection: object = None


class OversizedReply(NamedTuple):
    """A response whose body was not read because it exceeds the caller's limit.

    :param size: length of the body in bytes.
    """

    status: int
    size: int


class _Route:
    """The connection that a call has used, and the one that it must use, if any."""

    def __init__(self, required: object) -> None:
        self.required = required
        self.used: object = None


_route: ContextVar[_Route | None] = ContextVar("_route", default=None)


class _OtherConnectionError(Exception):
    """A call would use another connection than the one that it must use."""


class _RoutingConnector(aiohttp.TCPConnector):
    """Connects each call according to its route."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        route = _route.get()
        if route is not None:
            route.used = connection.transport
            if route.required not in (None, route.used):
                connection.release()
                raise _OtherConnectionError
        return connection


class PlatformClient:
    """Calls the platform over HTTP/1.1 with JSON bodies.

    :param delay: of this process's event loop, which no limit on a reply includes.
    """

    def __init__(self, delay: LoopDelay | None = None) -> None:
        self._delay = delay if delay is not None else LoopDelay()
        # One session for each keep-alive time, in seconds, and pool of connections.
        self._sessions: dict[tuple[float, str], aiohttp.ClientSession] = {}

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
        pool: str = "",
        connection: object = None,
    ) -> Reply | OversizedReply | Rejected | Lost:
        """Make one call.

        ``Rejected`` means that the call had no effect; ``Lost`` means that it may
        have had its effect.

        :param timeout: limit on the whole call.
        :param read_timeout: limit on the time in which no data arrives.
        :param keepalive_seconds: how long the idle connection is kept for reuse.
        :param max_reply_bytes: bodies longer than this are not read.
        :param first_byte_timeout: limit on the time until the response begins.
        :param pool: names the connections that may be used; others are kept apart.
        :param connection: the only connection to use, from an earlier reply. If it has
            been closed, or another call uses it, the result is ``Rejected``.
        """
        data = None if body is None else _encoder.encode(body)
        late = self._delay.seconds
        limits = aiohttp.ClientTimeout(
            total=None,
            sock_connect=min(timeout, CONNECT_TIMEOUT).total_seconds() + late,
            sock_read=read_timeout.total_seconds() + late
            if read_timeout is not None
            else None,
        )
        session = self._get_session(keepalive_seconds, pool)
        request = session.request(
            method,
            f"http://{address}{path}",
            data=data,
            headers={**_HEADERS, **(headers or {})},
            timeout=limits,
            skip_auto_headers=_SKIPPED_HEADERS,
        )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        route = _Route(connection)
        token = _route.set(route)
        try:
            async with ReplyLimit(first_byte_timeout or timeout, self._delay):
                pending_response = await request
            async with pending_response as response:
                size = response.content_length or 0
                if max_reply_bytes is not None and size > max_reply_bytes:
                    # Close the connection, or the rest would still be transferred.
                    response.close()
                    return OversizedReply(response.status, size)
                rest = timeout - timedelta(seconds=loop.time() - sent_at)
                limit = ReplyLimit(max(rest, timedelta()), self._delay)
                content = await _read_body(response, limit)
            reply = Reply(response.status, content, route.used)
        except _OtherConnectionError:
            return Rejected(OTHER_CONNECTION)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Rejected("unreachable", str(error))
        except TimeoutError:
            return Lost("timeout")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Lost("broken_channel", repr(error))
        finally:
            _route.reset(token)
        if reply.status in BUSY_STATUSES:
            return Rejected("busy", str(reply.status))
        return reply

    def _get_session(
        self, keepalive_seconds: float, pool: str = ""
    ) -> aiohttp.ClientSession:
        key = keepalive_seconds, pool
        if key not in self._sessions:
            connector = _RoutingConnector(
                limit=0,
                keepalive_timeout=keepalive_seconds,
                socket_factory=_open_socket,
                use_dns_cache=False,
            )
            self._sessions[key] = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        return self._sessions[key]

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()


async def _read_body(response: aiohttp.ClientResponse, limit: ReplyLimit) -> bytes:
    """Read a response's body; log and count a timeout in the middle of it."""
    try:
        async with limit:
            return await response.read()
    except TimeoutError:
        count_drop("platform", "answer_cut_short")
        _log.warn(
            "Timed out while reading a response body.",
            path=response.url.path,
            status=response.status,
            read=response.content.total_bytes,
            size=response.content_length,
        )
        raise


def _open_socket(info: Any) -> socket.socket:
    family, kind, proto, *_ = info
    sock = socket.socket(family=family, type=kind, proto=proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    return sock


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in whole milliseconds, as in the wire format."""
    return round(duration / MILLISECOND)


def decode_body(reply: Reply, decoder: msgspec.json.Decoder[Any]) -> Any:
    """Decode a response's body; return ``Lost`` if it is malformed."""
    try:
        return decoder.decode(reply.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Lost("unreadable_answer", str(error))
