"""The one HTTP client for all that the platform offers."""

import asyncio
import socket
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

import aiohttp
import msgspec

from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.ports import Lost, Rejected

# A peer that acknowledges nothing for so long ends the channel.
SILENCE_MILLISECONDS = 2500
CONNECT_TIMEOUT = timedelta(milliseconds=700)
# Idle channels are kept for less than the platform's idle timeout.
KEEPALIVE_SECONDS = 10.0
BUSY_STATUSES = frozenset({429, 503})
MILLISECOND = timedelta(milliseconds=1)

_encoder = msgspec.json.Encoder()
_HEADERS = {"Content-Type": "application/json"}
_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding")

_log = get_logger("platform")


class Reply(NamedTuple):
    """An answer of the platform."""

    status: int
    body: bytes


class Oversized(NamedTuple):
    """An answer that was not read, as it has more bytes than are wanted."""

    status: int
    size: int


class PlatformClient:
    """Calls the platform over HTTP/1.1 with JSON bodies."""

    def __init__(self) -> None:
        self._sessions: dict[float, aiohttp.ClientSession] = {}

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: timedelta,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        silence: timedelta | None = None,
        keep: float = KEEPALIVE_SECONDS,
        max_reply_bytes: int | None = None,
        within: timedelta | None = None,
    ) -> Reply | Oversized | Rejected | Lost:
        """Make a call; ``Rejected`` proves that it had no effect.

        :param timeout: for all of it.
        :param silence: given up when nothing comes for so long.
        :param keep: for how many seconds the channel is kept for another call.
        :param max_reply_bytes: bytes of a body beyond which it isn't read.
        :param within: given up when no answer has begun by then.
        """
        data = None if body is None else _encoder.encode(body)
        seconds = timeout.total_seconds()
        limits = aiohttp.ClientTimeout(
            total=seconds,
            sock_connect=min(seconds, CONNECT_TIMEOUT.total_seconds()),
            sock_read=silence.total_seconds() if silence is not None else None,
        )
        session = self._get_session(keep)
        request = session.request(
            method,
            f"http://{address}{path}",
            data=data,
            headers={**_HEADERS, **(headers or {})},
            timeout=limits,
            skip_auto_headers=_SKIPPED,
        )
        try:
            async with asyncio.timeout((within or timeout).total_seconds()):
                begun = await request
            async with begun as response:
                size = response.content_length or 0
                if max_reply_bytes is not None and size > max_reply_bytes:
                    # Else the rest of it would still come.
                    response.close()
                    return Oversized(response.status, size)
                reply = Reply(response.status, await _read_body(response))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Rejected("unreachable", str(error))
        except TimeoutError:
            return Lost("timeout")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Lost("broken_channel", repr(error))
        if reply.status in BUSY_STATUSES:
            return Rejected("busy", str(reply.status))
        return reply

    def _get_session(self, keep: float) -> aiohttp.ClientSession:
        if keep not in self._sessions:
            connector = aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=keep,
                socket_factory=_open_socket,
                use_dns_cache=False,
            )
            self._sessions[keep] = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        return self._sessions[keep]

    async def close(self) -> None:
        """Close all channels."""
        for session in self._sessions.values():
            await session.close()


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read an answer's body; one that is given up while it comes is told of."""
    try:
        return await response.read()
    except TimeoutError:
        count_drop("platform", "answer_cut_short")
        _log.warn(
            "An answer was given up while it came.",
            path=response.url.path,
            status=response.status,
            read=response.content.total_bytes,
            size=response.content_length,
        )
        raise


def _open_socket(info: Any) -> socket.socket:
    family, kind, proto, *_ = info
    opened = socket.socket(family=family, type=kind, proto=proto)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MILLISECONDS)
    return opened


def to_milliseconds(duration: timedelta) -> int:
    """Return whole milliseconds, as the wire has them."""
    return round(duration / MILLISECOND)


def decode_body(reply: Reply, decoder: msgspec.json.Decoder[Any]) -> Any:
    """Decode an answer; ``Lost`` when it makes no sense."""
    try:
        return decoder.decode(reply.body)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Lost("unreadable_answer", str(error))
