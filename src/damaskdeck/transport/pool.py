"""An HTTP connection pool that distinguishes unsent calls from lost answers."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

import aiohttp
from yarl import URL

from damaskdeck.protocol.ports import Lost, Rejected

CONNECT_TIMEOUT = timedelta(seconds=1)
# Share of a call's time limit that connecting may take. A connection that can't be
# opened is then noticed before the time limit, and proves that nothing was sent.
MAX_CONNECT_SHARE = 0.8
KEEPALIVE_TIMEOUT = timedelta(seconds=30)
BAD_ANSWER = "bad_answer"
REFUSAL_HEADER = "x-refusal"

_OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class Reply(NamedTuple):
    """A complete HTTP answer.

    :param headers: names in lower case.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpPool:
    """Persistent connections to the hosts that one adapter calls.

    Only ``GET`` and ``POST`` are used: aiohttp repeats a request with an idempotent
    method when a reused connection breaks, and a repeated write would conflict with
    itself if the first one took effect.

    :param limit: maximum number of connections; 0 means no limit.
    :param limit_per_host: maximum number of connections to one host; 0 means no limit.
    :param client_name: sent with each call, so that logs can show who called.
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
        """Send a ``GET`` request, which aiohttp may repeat."""
        return await self._call("GET", url, timeout, headers, None)

    async def post(
        self,
        url: str,
        timeout: timedelta,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Reply | Rejected | Lost:
        """Send a ``POST`` request, at most once."""
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
        target = _parse_url(url)
        if target is None:
            return Rejected("invalid_address", url)
        try:
            async with self._open_session().request(
                method,
                target,
                data=body,
                headers=headers,
                timeout=_build_timeout(timeout),
                allow_redirects=False,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Rejected("unreachable", str(error))
        except TimeoutError:
            return Lost("timeout", url)
        except (aiohttp.ClientError, OSError, ValueError, OverflowError) as error:
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
                keepalive_timeout=KEEPALIVE_TIMEOUT.total_seconds(),
                use_dns_cache=False,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                headers=self._headers,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=_OMITTED_HEADERS,
            )
        return self._session


def _parse_url(url: str) -> URL | None:
    """Return a URL, ``None`` if it can't be called."""
    try:
        target = URL(url, encoded=True)
        # The port is checked once it is read.
        return target if target.host and target.port else None
    except ValueError:
        return None


def _build_timeout(timeout: timedelta) -> aiohttp.ClientTimeout:
    connect = min(CONNECT_TIMEOUT, timeout * MAX_CONNECT_SHARE)
    return aiohttp.ClientTimeout(
        total=timeout.total_seconds(), connect=connect.total_seconds()
    )
