"""A pool of HTTP connections that tells a call never sent from a lost answer."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

import aiohttp
from yarl import URL

from damaskdeck.protocol.ports import Lost, Rejected

CONNECT_TIMEOUT = timedelta(seconds=1)
CONNECT_SHARE = 0.8
KEEPALIVE = timedelta(seconds=30)
BAD_ANSWER = "bad_answer"
REFUSAL_HEADER = "x-refusal"

_OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class Reply(NamedTuple):
    """A whole answer.

    :param headers: names in lower case.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpPool:
    """Connections kept alive to the hosts of one port.

    Only ``GET`` and ``POST`` are used: aiohttp sends an idempotent method a
    second time by itself when a reused connection breaks, which would turn a
    write that took effect into a conflict.

    :param limit: connections in all; 0 means no limit.
    :param limit_per_host: connections to each host.
    :param client_name: sent with each call, so that logs tell who called.
    """

    def __init__(
        self, limit: int = 0, limit_per_host: int = 0, client_name: str = ""
    ) -> None:
        self._limit = limit
        self._limit_per_host = limit_per_host
        self._headers = {"x-client": client_name} if client_name else {}
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self, url: str, timeout: timedelta, headers: Mapping[str, str] | None = None
    ) -> Reply | Rejected | Lost:
        """Read something; the library may repeat it."""
        return await self._call("GET", url, timeout, headers, None)

    async def post(
        self,
        url: str,
        timeout: timedelta,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Reply | Rejected | Lost:
        """Do something; it is sent once."""
        return await self._call("POST", url, timeout, headers, body)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _call(
        self,
        method: str,
        url: str,
        timeout: timedelta,
        headers: Mapping[str, str] | None,
        body: bytes | None,
    ) -> Reply | Rejected | Lost:
        try:
            async with self._open_session().request(
                method,
                URL(url, encoded=True),
                data=body,
                headers=headers,
                timeout=_limit_time(timeout),
                allow_redirects=False,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Rejected("unreachable", str(error))
        except TimeoutError:
            return Lost("timeout", url)
        except (aiohttp.ClientError, OSError) as error:
            return Lost("reset", f"{type(error).__name__} {error}")
        refusal = response.headers.get(REFUSAL_HEADER)
        if refusal:
            return Rejected(refusal)
        return Reply(response.status, response.headers, content)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=self._limit,
                limit_per_host=self._limit_per_host,
                keepalive_timeout=KEEPALIVE.total_seconds(),
                use_dns_cache=False,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                headers=self._headers,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=_OMITTED_HEADERS,
            )
        return self._session


def _limit_time(timeout: timedelta) -> aiohttp.ClientTimeout:
    connect = min(CONNECT_TIMEOUT, timeout * CONNECT_SHARE)
    return aiohttp.ClientTimeout(
        total=timeout.total_seconds(), connect=connect.total_seconds()
    )
