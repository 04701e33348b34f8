"""Client connections over HTTP/1.1, which carry one call at a time.

A daemon makes thousands of small calls to few services. For that, a general client
library takes a third of the daemon's processor time until it is ready, and several
times as much time for each call as this module.
"""

import asyncio
import re
import socket
from collections.abc import Mapping
from typing import NamedTuple

# The kernel closes a connection whose peer acknowledges nothing for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
# Far more than the platform's headers take; an endless head must not fill the memory.
MAX_HEAD_BYTES = 65_536
# Longer lines don't describe the size of a chunk.
MAX_CHUNK_LINE_BYTES = 1024

_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: |$)")
_INTERIM_STATUSES = range(100, 200)
_EMPTY_STATUSES = frozenset({204, 304})
_DIGITS = re.compile(rb"[0-9]+")
_HEX_DIGITS = re.compile(rb"[0-9a-fA-F]+")
# Nothing that could end the line of the request or a header early.
_SAFE_LINE = re.compile(r"[\x20-\x7e]*")


class BrokenReplyError(Exception):
    """What the service sent is not a complete response."""


class Head(NamedTuple):
    """The head of a response.

    :param size: length of the body in bytes, ``None`` if it is not announced.
    :param is_chunked: whether the body is sent in chunks.
    :param is_persistent: whether the connection may be used for another call.
    """

    status: int
    size: int | None
    is_chunked: bool
    is_persistent: bool


class Connection(asyncio.Protocol):
    """A connection to a service.

    :ivar has_received: whether any part of the response to the last call arrived.
    :ivar read_bytes: size of the part of the body that has arrived.
    :ivar idle_since: when the last call ended, in seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self.has_received = False
        self.read_bytes = 0
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._is_ended = False
        self._error: Exception | None = None

    # Called by the event loop --------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Keep what was received."""
        self.has_received = True
        self._buffer += data
        self._wake()

    def eof_received(self) -> None:
        """Note that the service has closed its side; the transport is closed."""
        self._is_ended = True
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection has ended."""
        self._is_ended = True
        self._error = error
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Calls -----------------------------------------------------------------------

    @property
    def is_usable(self) -> bool:
        """Whether another call may be made: all is quiet and the connection open."""
        return not self._is_ended and not self._buffer

    def close(self) -> None:
        """Close the connection at once."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()

    def send(self, request: bytes) -> None:
        """Send a request."""
        assert self._transport is not None
        self.has_received = False
        self.read_bytes = 0
        self._transport.write(request)

    async def read_head(self, deadline: float, silence: float | None) -> Head:
        """Read the head of the response.

        :param deadline: in seconds of the event loop's clock.
        :param silence: seconds without any data after which the call has failed.
        :raises TimeoutError: at the deadline or after the silence.
        :raises BrokenReplyError: if the response is malformed or ends early.
        :raises OSError: if the connection breaks.
        """
        while True:
            end = self._buffer.find(b"\r\n\r\n")
            while end < 0:
                if len(self._buffer) > MAX_HEAD_BYTES:
                    raise BrokenReplyError("The head of the response is too long.")
                await self._receive(deadline, silence)
                end = self._buffer.find(b"\r\n\r\n")
            head = parse_head(self._take(end + 4)[:end])
            if head.status not in _INTERIM_STATUSES:
                return head

    async def read_body(
        self, head: Head, deadline: float, silence: float | None
    ) -> bytes:
        """Read the body of the response; see :meth:`read_head`."""
        if head.is_chunked:
            return await self._read_chunks(deadline, silence)
        if head.size is not None:
            return await self._read_exactly(head.size, deadline, silence)
        while not self._is_ended:
            await self._receive(deadline, silence)
        if self._error is not None:
            raise self._error
        return self._take(len(self._buffer))

    async def _read_exactly(
        self, size: int, deadline: float, silence: float | None
    ) -> bytes:
        before = self.read_bytes
        while len(self._buffer) < size:
            self.read_bytes = before + len(self._buffer)
            await self._receive(deadline, silence)
        self.read_bytes = before + size
        return self._take(size)

    async def _read_chunks(self, deadline: float, silence: float | None) -> bytes:
        parts = []
        while True:
            line = await self._read_line(deadline, silence)
            digits = line.partition(b";")[0].strip()
            if not _HEX_DIGITS.fullmatch(digits):
                raise BrokenReplyError("The size of a chunk is malformed.")
            size = int(digits, 16)
            if not size:
                break
            part = await self._read_exactly(size + 2, deadline, silence)
            if not part.endswith(b"\r\n"):
                raise BrokenReplyError("A chunk is longer than announced.")
            parts.append(part[:-2])
        while await self._read_line(deadline, silence):
            pass  # The trailer has no headers that matter.
        return b"".join(parts)

    async def _read_line(self, deadline: float, silence: float | None) -> bytes:
        end = self._buffer.find(b"\r\n")
        while end < 0:
            if len(self._buffer) > MAX_CHUNK_LINE_BYTES:
                raise BrokenReplyError("A line between chunks is too long.")
            await self._receive(deadline, silence)
            end = self._buffer.find(b"\r\n")
        return self._take(end + 2)[:end]

    def _take(self, size: int) -> bytes:
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        return taken

    async def _receive(self, deadline: float, silence: float | None) -> None:
        """Wait for more data."""
        if self._is_ended:
            raise self._error or BrokenReplyError("The response ended early.")
        loop = asyncio.get_running_loop()
        if silence is not None:
            deadline = min(deadline, loop.time() + silence)
        self._waiter = loop.create_future()
        timer = loop.call_at(deadline, _expire, self._waiter)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None


def _expire(waiter: "asyncio.Future[None]") -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError())


async def connect(address: str) -> Connection:
    """Connect to a service.

    :param address: ``host:port``; an IPv6 address is in brackets.
    :raises OSError: if the connection can't be opened.
    :raises ValueError: if the address has no port.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        Connection, host.strip("[]"), int(port)
    )
    return connection


def parse_head(data: bytes) -> Head:
    """Parse the head of a response.

    :param data: without the empty line at its end.
    :raises BrokenReplyError: if it is malformed.
    """
    first, *lines = data.split(b"\r\n")
    matched = _STATUS_LINE.match(first)
    if matched is None:
        raise BrokenReplyError("The status line is malformed.")
    status, is_persistent = int(matched[2]), matched[1] == b"1"
    size, is_chunked = None, False
    for line in lines:
        name, separator, value = line.partition(b":")
        if not separator:
            raise BrokenReplyError("A header is malformed.")
        name, value = name.lower(), value.strip().lower()
        if name == b"content-length":
            if not _DIGITS.fullmatch(value) or size not in (None, int(value)):
                raise BrokenReplyError("The length of the body is malformed.")
            size = int(value)
        elif name == b"transfer-encoding":
            if value != b"chunked":
                raise BrokenReplyError("The transfer encoding is not supported.")
            is_chunked = True
        elif name == b"connection":
            is_persistent = is_persistent and b"close" not in value
    if status in _EMPTY_STATUSES:
        size, is_chunked = 0, False
    is_framed = is_chunked or size is not None
    return Head(status, size, is_chunked, is_persistent and is_framed)


def build_request(
    method: str, address: str, path: str, headers: Mapping[str, str], body: bytes | None
) -> bytes:
    """Return the bytes of a request.

    :param path: with the query, percent-encoded.
    :raises ValueError: if the path or a header has characters that HTTP doesn't allow.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None or method != "GET":
        lines.append(f"Content-Length: {len(body or b'')}")
    if " " in path or not all(map(_SAFE_LINE.fullmatch, lines)):
        raise ValueError("the request has characters that HTTP doesn't allow")
    return "\r\n".join((*lines, "", "")).encode("ascii") + (body or b"")
