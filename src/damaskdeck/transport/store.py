"""HTTP client of the platform's store; only this module knows its protocol.

Values are sent as raw bytes; revision, lease and expected revision are sent in headers
and in the query. Listings and events are encoded with MessagePack.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.metrics import count_store_call
from damaskdeck.protocol.ports import (
    Conflict,
    Entry,
    Events,
    Found,
    Granted,
    Lapsed,
    Listing,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
    Written,
)
from damaskdeck.transport.pool import BAD_ANSWER, HttpPool, Reply

CALL_TIMEOUT = timedelta(seconds=3)
MAX_CONNECTIONS = 32

REVISION_HEADER = "x-revision"
LEASE_HEADER = "x-lease"

T = TypeVar("T")

_listing_decoder = msgspec.msgpack.Decoder(Listing)
_events_decoder = msgspec.msgpack.Decoder(Events)


class HttpStore:
    """Implements the port ``Store``.

    :param address: IP and port of the platform's service.
    :param client_name: this daemon's name, sent with each call.
    :param timeout: time limit of a call; a watch has its wait on top of it.
    """

    def __init__(
        self,
        address: str,
        client_name: str = "",
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        self._base = f"http://{address}/store"
        self._timeout = timeout
        self._pool = HttpPool(MAX_CONNECTIONS, client_name=client_name)

    async def get(self, key: str) -> Found | Missing | Rejected | Lost:
        """Return the entry of a key."""
        count_store_call("get")
        reply = await self._pool.get(self._url("key", key=key), self._timeout)
        return self._read(reply, lambda reply: _read_found(key, reply))

    async def list(self, prefix: str) -> Listing | Rejected | Lost:
        """Return the entries of all keys that begin with ``prefix``."""
        count_store_call("list")
        reply = await self._pool.get(self._url("list", prefix=prefix), self._timeout)
        return self._read(reply, _read_listing)

    async def put(
        self, key: str, value: bytes, expected: int | None, lease: str = ""
    ) -> Written | Conflict | Rejected | Lost:
        """Write a key by compare-and-swap.

        :param expected: revision of the key, 0 for a new key, ``None`` for any.
        :param lease: the key is deleted when this lease ends.
        """
        url = self._url("put", key=key, expected=expected, lease=lease)
        return await self._write("put", key, url, value)

    async def delete(
        self, key: str, expected: int | None
    ) -> Written | Conflict | Rejected | Lost:
        """Delete a key by compare-and-swap.

        :param expected: revision of the key, ``None`` for any.
        """
        url = self._url("delete", key=key, expected=expected)
        return await self._write("delete", key, url, b"")

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Create a lease."""
        count_store_call("grant_lease")
        url = self._url("lease/grant", ttl=ttl.total_seconds())
        reply = await self._pool.post(url, self._timeout)
        return self._read(reply, _read_granted)

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease."""
        count_store_call("renew_lease")
        url = self._url("lease/renew", lease=lease)
        reply = await self._pool.post(url, self._timeout)
        return self._read(reply, lambda reply: _read_renewed(lease, reply))

    async def revoke_lease(self, lease: str) -> Written | Lapsed | Rejected | Lost:
        """End a lease immediately, which deletes its keys."""
        count_store_call("revoke_lease")
        url = self._url("lease/revoke", lease=lease)
        reply = await self._pool.post(url, self._timeout)
        return self._read(reply, lambda reply: _read_revoked(lease, reply))

    async def watch(
        self, prefix: str, revision: int, wait: timedelta
    ) -> Events | RevisionTooOld | Rejected | Lost:
        """Return the changes after ``revision``, waiting up to ``wait`` for one."""
        count_store_call("watch")
        url = self._url(
            "watch", prefix=prefix, revision=revision, wait=wait.total_seconds()
        )
        reply = await self._pool.get(url, self._timeout + wait)
        return self._read(reply, _read_events)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def _write(
        self, kind: str, key: str, url: str, value: bytes
    ) -> Written | Conflict | Rejected | Lost:
        count_store_call(kind)
        reply = await self._pool.post(url, self._timeout, value)
        return self._read(reply, lambda reply: _read_written(key, reply))

    def _url(self, path: str, **query: object) -> str:
        parameters = {name: value for name, value in query.items() if value is not None}
        return f"{self._base}/{path}?{urlencode(parameters)}"

    def _read(
        self, reply: Reply | Rejected | Lost, read: Callable[[Reply], T]
    ) -> T | Rejected | Lost:
        if not isinstance(reply, Reply):
            return reply
        try:
            return read(reply)
        except (KeyError, ValueError, OverflowError, *DECODE_ERRORS) as error:
            return Lost(BAD_ANSWER, f"{reply.status} {error!r}")


def _require_status(reply: Reply, status: int) -> None:
    if reply.status != status:
        raise ValueError(f"unexpected status {reply.status}")


def _read_revision(reply: Reply) -> int:
    return int(reply.headers[REVISION_HEADER])


def _read_entry(key: str, reply: Reply) -> Entry:
    lease = reply.headers.get(LEASE_HEADER, "")
    return Entry(key, reply.body, _read_revision(reply), lease)


def _read_found(key: str, reply: Reply) -> Found | Missing:
    if reply.status == 404:
        return Missing(_read_revision(reply))
    _require_status(reply, 200)
    return Found(_read_entry(key, reply))


def _read_listing(reply: Reply) -> Listing:
    _require_status(reply, 200)
    return _listing_decoder.decode(reply.body)


def _read_written(key: str, reply: Reply) -> Written | Conflict:
    if reply.status == 409:
        is_missing = _read_revision(reply) == 0
        return Conflict(None if is_missing else _read_entry(key, reply))
    _require_status(reply, 200)
    return Written(_read_revision(reply))


def _read_granted(reply: Reply) -> Granted:
    _require_status(reply, 200)
    ttl = timedelta(seconds=float(reply.headers["x-ttl"]))
    return Granted(reply.headers[LEASE_HEADER], ttl)


def _read_renewed(lease: str, reply: Reply) -> Granted | Lapsed:
    return Lapsed(lease) if reply.status == 410 else _read_granted(reply)


def _read_revoked(lease: str, reply: Reply) -> Written | Lapsed:
    if reply.status == 410:
        return Lapsed(lease)
    _require_status(reply, 200)
    return Written(_read_revision(reply))


def _read_events(reply: Reply) -> Events | RevisionTooOld:
    if reply.status == 410:
        return RevisionTooOld(_read_revision(reply))
    _require_status(reply, 200)
    return _events_decoder.decode(reply.body)
