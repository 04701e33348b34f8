"""An HTTP client of the resource API, used by the command line and the demo."""

from collections.abc import AsyncIterator, Mapping
from types import TracebackType
from typing import Any, NamedTuple, Self

import aiohttp
import msgspec

_READ_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=5)


class Reply(NamedTuple):
    """An answer of the API.

    :param outcome: the header ``Outcome``: completed, failed, refused or
        unknown; an empty string on calls that run nothing.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: str

    def read_json(self) -> Any:
        """Decode the body; an empty one is ``None``."""
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
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """The open session."""
        assert self._session is not None, "used outside of its context"
        return self._session

    async def call(
        self,
        method: str,
        path: str,
        document: Any = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Call the API once; nothing is retried.

        :param document: sent as JSON when ``body`` is ``None``.
        :raises aiohttp.ClientConnectorError: when nothing was sent.
        :raises aiohttp.ClientError: when the call may have had its effect.
        """
        if body is None and document is not None:
            body = msgspec.json.encode(document)
        sent = {"Content-Type": "application/json", **(headers or {})}
        async with self.session.request(
            method, self._server + path, data=body, headers=sent
        ) as answer:
            content = await answer.read()
            outcome = answer.headers.get("Outcome", "")
            return Reply(answer.status, answer.headers, content, outcome)

    async def watch(self, path: str) -> AsyncIterator[Any]:
        """Yield the JSON lines of a watch until the server ends it.

        A watch that is refused yields its problem body only, which has no
        ``type`` of a change.

        :raises aiohttp.ClientError: when the connection breaks.
        """
        async with self.session.get(self._server + path) as answer:
            if answer.status != 200:
                yield msgspec.json.decode(await answer.read())
                return
            async for line in answer.content:
                if line.strip():
                    yield msgspec.json.decode(line)
