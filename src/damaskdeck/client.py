"""An HTTP client of the resource API, used by the command line and the demo."""

from collections.abc import AsyncIterator, Mapping
from types import TracebackType
from typing import Any, NamedTuple, Self

import aiohttp
import msgspec

_READ_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=5)


class Reply(NamedTuple):
    """A response of the API.

    :param outcome: the header ``Outcome``: completed, failed, refused or
        unknown; an empty string for calls that don't run anything.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: str

    def read_json(self) -> Any:
        """Return the decoded JSON body, ``None`` if the body is empty."""
        return msgspec.json.decode(self.body) if self.body else None


class Client:
    """A client of one daemon.

    :param server: base URL, as in ``http://127.0.0.1:8400``.
    :param token: bearer token of an operator or a team.
    """

    def __init__(self, server: str, token: str) -> None:
        self._server = server.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(
            headers=self._headers, timeout=_READ_TIMEOUT
        )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """The open session.

        :raises AssertionError: if the client isn't used in an ``async with`` block.
        """
        assert self._session is not None, "client used outside of an async with block"
        return self._session

    async def call(
        self,
        method: str,
        path: str,
        document: Any = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Call the API once, without retries.

        :param document: sent as JSON if ``body`` is ``None``.
        :raises aiohttp.ClientConnectorError: if nothing was sent.
        :raises aiohttp.ClientError: if the call may have had its effect.
        """
        if body is None and document is not None:
            body = msgspec.json.encode(document)
        request_headers = {"Content-Type": "application/json", **(headers or {})}
        async with self.session.request(
            method, self._server + path, data=body, headers=request_headers
        ) as response:
            content = await response.read()
            outcome = response.headers.get("Outcome", "")
            return Reply(response.status, response.headers, content, outcome)

    async def watch(self, path: str) -> AsyncIterator[Any]:
        """Yield the JSON lines of a watch until the server ends it.

        If the server refuses the watch, the problem document of its response is the
        only item; its ``type`` is not that of a change.

        :raises aiohttp.ClientError: if the connection breaks.
        """
        async with self.session.get(self._server + path) as response:
            if response.status != 200:
                yield msgspec.json.decode(await response.read())
                return
            async for line in response.content:
                if line.strip():
                    yield msgspec.json.decode(line)
