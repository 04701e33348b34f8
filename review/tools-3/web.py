"""A small HTTP/1.1 server and client for the stand-ins, on the standard library only.

The server answers the requests of one connection in their order. A handler returns the
status and the JSON body, or None: then the request gets no answer at all.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

Answer = tuple[int, Any] | None
Handler = Callable[[str, str, dict, dict, Any], Awaitable[Answer]]

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Failed"}


class _Connection(asyncio.Protocol):
    def __init__(self, server: "WebServer") -> None:
        self._server = server
        self._buffer = b""
        self._requests: asyncio.Queue = asyncio.Queue()
        self._task: asyncio.Task | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._server.connections.add(self)
        self._task = asyncio.ensure_future(self._answer_all())

    def connection_lost(self, error) -> None:
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, rest = self._buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", "0"))
            if len(rest) < size:
                return
            self._buffer = rest[size:]
            method, target, _ = lines[0].split(" ", 2)
            self._requests.put_nowait((method, target, headers, rest[:size]))

    async def _answer_all(self) -> None:
        while True:
            method, target, headers, body = await self._requests.get()
            parts = urlsplit(target)
            answer = await self._server.handler(
                method,
                unquote(parts.path),
                dict(parse_qsl(parts.query, keep_blank_values=True)),
                headers,
                json.loads(body) if body else None,
            )
            if answer is None:
                await asyncio.Event().wait()
            status, content = answer
            data = json.dumps(content).encode()
            head = (
                f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            self.transport.write(head.encode() + data)


class WebServer:
    """Serves a handler on one address."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[_Connection] = set()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen; port 0 takes a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections, as a process that was killed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()


async def send_request(
    address: str, method: str, path: str, host: str, body: Any = None, limit: float = 5
) -> tuple[int, Any]:
    """Send one request on a new connection.

    :returns: the status and the body, the status 0 if there is no answer.
    """
    server, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json"
        f"\r\nContent-Length: {len(data)}\r\nDeadline-Ms: {round(limit * 1000)}"
        "\r\nConnection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(server, int(port))
            writer.write(head.encode() + data)
            reply = await reader.read()
        top, _, content = reply.partition(b"\r\n\r\n")
        status = int(top.split(b" ", 2)[1])
        return status, json.loads(content) if content else None
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
