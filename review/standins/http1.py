"""A small HTTP/1.1 server and client for the stand-ins of the review."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit


class Request(NamedTuple):
    """A request with its decoded query and JSON body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


# The status and the body of an answer; ``None`` breaks the channel off.
Answer = tuple[int, Any] | None
Handler = Callable[[Request], Awaitable[Answer]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers."""
    first = (await reader.readline()).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class HttpServer:
    """Serves one handler on a loopback address of its own.

    :param max_channels: a channel beyond these is reset.
    """

    def __init__(self, handler: Handler, max_channels: int = 4000) -> None:
        self.address = ""
        self.refused = 0
        self._handler = handler
        self._max_channels = max_channels
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=1024
        )
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop to listen and reset all channels, as a process that is killed does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= self._max_channels:
            self.refused += 1
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers = await read_head(reader)
        if not first:
            return False
        method, target, _ = first.split(" ", 2)
        size = int(headers.get("content-length", "0"))
        data = await reader.readexactly(size) if size else b""
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(data) if data else None
        answer = await self._handler(Request(method, url.path, query, headers, body))
        if answer is None:
            writer.transport.abort()
            return False
        status, content = answer
        text = b"" if content is None else json.dumps(content).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n"
        )
        writer.write(head.encode() + text)
        await writer.drain()
        return True


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: Any = None,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Make one call on a new channel; status 0 stands for no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if "Host" not in headers:
                lines.append(f"Host: {address}")
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            first, got = await read_head(reader)
            status = int(first.split(" ")[1]) if first else 0
            size = int(got.get("content-length", "0"))
            text = await reader.readexactly(size) if size else b""
            return status, json.loads(text) if text else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
