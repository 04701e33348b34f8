"""Adapter to the platform's metadata store, a transactional key-value store."""

import base64
import binascii
from datetime import timedelta
from typing import Any, NotRequired, TypedDict
from urllib.parse import quote

import msgspec

from damaskdeck.metrics import count_store_call
from damaskdeck.platform.client import (
    OversizedReply,
    PlatformClient,
    Reply,
    decode_body,
    to_milliseconds,
)
from damaskdeck.platform.fields import to_duration
from damaskdeck.protocol.ports import (
    INVALID_CALL,
    Entry,
    Event,
    Events,
    Found,
    Granted,
    Lapsed,
    Lost,
    Missing,
    Rejected,
    RevisionTooOld,
    Written,
)
from damaskdeck.protocol.transactions import (
    CommitResult,
    Mismatch,
    Page,
    ReplyTooLarge,
    Transaction,
    Unchanged,
)

# How many keys a transaction may name, according to the platform's documentation.
MAX_TRANSACTION_ENTRIES = 32
# A transaction that is malformed, writes what it may not, or is too large.
INVALID_STATUSES = frozenset({400, 403, 413})
READ_TIMEOUT = timedelta(milliseconds=1500)
# A value or a page has up to a megabyte, which takes 4 s on the slowest links (2
# Mbit/s). A transfer that makes progress must not time out, because every retry would
# time out as well.
TRANSFER_TIMEOUT = timedelta(seconds=12)
COMMIT_TIMEOUT = timedelta(milliseconds=1500)
# Short, because renewals also serve to detect soon that the store doesn't answer.
LEASE_TIMEOUT = timedelta(milliseconds=700)
# A watch that receives nothing for this long after its wait has ended is abandoned.
WATCH_TIMEOUT_MARGIN = timedelta(milliseconds=1200)


class _StoredItem(TypedDict):
    key: str
    revision: int
    value: NotRequired[str]
    lease: NotRequired[int]
    deleted: NotRequired[bool]


class _EntryResponse(_StoredItem):
    as_of: int


class _MissingResponse(TypedDict):
    as_of: NotRequired[int]


class _RangeResponse(TypedDict):
    items: list[_StoredItem]
    has_more: NotRequired[bool]
    as_of: int


class _WatchResponse(TypedDict):
    events: list[_StoredItem]
    as_of: int


class _CommitResponse(TypedDict):
    revision: int


class _MismatchResponse(TypedDict):
    items: list[_StoredItem]


class _LeaseResponse(TypedDict):
    lease: int
    ttl_ms: int


class _RenewalResponse(TypedDict):
    ttl_ms: int


_entry_decoder = msgspec.json.Decoder(_EntryResponse)
_missing_decoder = msgspec.json.Decoder(_MissingResponse)
_range_decoder = msgspec.json.Decoder(_RangeResponse)
_watch_decoder = msgspec.json.Decoder(_WatchResponse)
_commit_decoder = msgspec.json.Decoder(_CommitResponse)
_mismatch_decoder = msgspec.json.Decoder(_MismatchResponse)
_lease_decoder = msgspec.json.Decoder(_LeaseResponse)
_renewal_decoder = msgspec.json.Decoder(_RenewalResponse)


class PlatformStore:
    """Implements ``TransactionalStore`` over HTTP.

    :param address: ``IP:port`` of the platform's store.
    """

    entry_limit = MAX_TRANSACTION_ENTRIES

    def __init__(self, client: PlatformClient, address: str) -> None:
        self._client = client
        self._address = address

    def set_address(self, address: str) -> None:
        """Use ``address`` from the next call on."""
        self._address = address

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        timeout: timedelta,
        body: Any = None,
        read_timeout: timedelta | None = None,
        max_reply_bytes: int | None = None,
        first_byte_timeout: timedelta | None = None,
    ) -> Reply | OversizedReply | Rejected | Lost:
        count_store_call(kind)
        return await self._client.call(
            method,
            self._address,
            path,
            timeout,
            body,
            read_timeout=read_timeout,
            max_reply_bytes=max_reply_bytes,
            first_byte_timeout=first_byte_timeout,
        )

    async def read(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""
        path = f"/kv-key?key={quote(key, safe='/')}"
        reply = await self._call(
            "read", "GET", path, TRANSFER_TIMEOUT, read_timeout=READ_TIMEOUT
        )
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 404:
            response = decode_body(reply, _missing_decoder)
            return Missing(
                0 if isinstance(response, Lost) else response.get("as_of", 0)
            )
        response = _decode(reply, 200, _entry_decoder)
        return response if isinstance(response, Lost) else Found(_build_entry(response))

    async def read_changed(
        self, key: str, revision: int, first_byte_timeout: timedelta | None = None
    ) -> Found | Missing | Unchanged | Rejected | Lost:
        """Read one key unless ``revision`` is still its latest revision.

        This sends a transaction without writes that expects ``revision``. If the key
        has changed, the store rejects it with the current entry.
        """
        body = {
            "expected": [{"key": key, "revision": revision}],
            "writes": [],
            "remove": [],
        }
        reply = await self._call(
            "check",
            "POST",
            "/kv-txn",
            TRANSFER_TIMEOUT,
            body,
            READ_TIMEOUT,
            first_byte_timeout=first_byte_timeout,
        )
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 412:
            mismatch = _parse_mismatch(reply)
            if isinstance(mismatch, Lost):
                return mismatch
            entry = mismatch.find(key)
            return Missing(0) if entry is None else Found(entry)
        response = _decode(reply, 200, _commit_decoder)
        return (
            response if isinstance(response, Lost) else Unchanged(response["revision"])
        )

    async def read_page(self, prefix: str, after: str) -> Page | Rejected | Lost:
        """Read a page of keys below ``prefix`` that come after the key ``after``."""
        path = f"/kv-range?path_prefix={quote(prefix, safe='/')}"
        if after:
            path += f"&after={quote(after, safe='/')}"
        reply = await self._call(
            "list", "GET", path, TRANSFER_TIMEOUT, read_timeout=READ_TIMEOUT
        )
        if not isinstance(reply, Reply):
            return reply
        response = _decode(reply, 200, _range_decoder)
        if isinstance(response, Lost):
            return response
        entries = tuple(_build_entry(item) for item in response["items"])
        return Page(entries, response.get("has_more", False), response["as_of"])

    async def commit(
        self,
        transaction: Transaction,
        timeout: timedelta | None = None,
        max_reply_bytes: int | None = None,
    ) -> CommitResult | ReplyTooLarge:
        """Commit a transaction, whose changes take effect together or not at all."""
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in transaction.expected
            ],
            "writes": [_build_write(write) for write in transaction.writes],
            "remove": list(transaction.removals),
        }
        limit = min(timeout or COMMIT_TIMEOUT, COMMIT_TIMEOUT)
        reply = await self._call(
            "commit", "POST", "/kv-txn", limit, body, max_reply_bytes=max_reply_bytes
        )
        if isinstance(reply, OversizedReply):
            is_mismatch = reply.status == 412
            return ReplyTooLarge(reply.size) if is_mismatch else Lost("unexpected_size")
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 404:
            return Lapsed("")
        if reply.status == 412:
            return _parse_mismatch(reply)
        if reply.status in INVALID_STATUSES:
            return Rejected(INVALID_CALL, str(reply.status))
        response = _decode(reply, 200, _commit_decoder)
        return response if isinstance(response, Lost) else Written(response["revision"])

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait: timedelta,
        max_reply_bytes: int | None = None,
    ) -> Events | RevisionTooOld | ReplyTooLarge | Rejected | Lost:
        """Return the changes after ``revision``."""
        path = (
            f"/kv-watch?path_prefix={quote(prefix, safe='/')}"
            f"&after={revision}&wait_ms={to_milliseconds(wait)}"
        )
        reply = await self._call(
            "watch",
            "GET",
            path,
            wait + TRANSFER_TIMEOUT,
            read_timeout=wait + WATCH_TIMEOUT_MARGIN,
            max_reply_bytes=max_reply_bytes,
        )
        if isinstance(reply, OversizedReply):
            is_successful = reply.status == 200
            return (
                ReplyTooLarge(reply.size) if is_successful else Lost("unexpected_size")
            )
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 410:
            return RevisionTooOld(0)
        response = _decode(reply, 200, _watch_decoder)
        if isinstance(response, Lost):
            return response
        events = tuple(_build_event(item) for item in response["events"])
        return Events(events, response["as_of"])

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Create a lease."""
        body = {"ttl_ms": to_milliseconds(ttl)}
        reply = await self._call("grant", "POST", "/kv-lease", LEASE_TIMEOUT, body)
        if not isinstance(reply, Reply):
            return reply
        response = _decode(reply, 200, _lease_decoder)
        if isinstance(response, Lost):
            return response
        return Granted(str(response["lease"]), to_duration(response["ttl_ms"]))

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease."""
        reply = await self._call("renew", "POST", f"/kv-keep/{lease}", LEASE_TIMEOUT)
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 404:
            return Lapsed(lease)
        response = _decode(reply, 200, _renewal_decoder)
        if isinstance(response, Lost):
            return response
        return Granted(lease, to_duration(response["ttl_ms"]))


def _decode(reply: Reply, status: int, decoder: msgspec.json.Decoder[Any]) -> Any:
    if reply.status != status:
        return Lost("unexpected_status", str(reply.status))
    return decode_body(reply, decoder)


def _parse_mismatch(reply: Reply) -> Mismatch | Lost:
    response = decode_body(reply, _mismatch_decoder)
    if isinstance(response, Lost):
        return response
    present = (item for item in response["items"] if item["revision"])
    return Mismatch(tuple(map(_build_entry, present)))


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error:
        # Not one of our records, as these are base64; decoding the record will fail.
        return text.encode()


def _build_entry(item: _StoredItem) -> Entry:
    lease = item.get("lease", 0)
    value = _decode_value(item.get("value", ""))
    return Entry(item["key"], value, item["revision"], str(lease) if lease else "")


def _build_event(item: _StoredItem) -> Event:
    if item.get("deleted", False):
        return Event(item["key"], None, item["revision"])
    return Event(item["key"], _decode_value(item.get("value", "")), item["revision"])


def _build_write(write: Any) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    item: dict[str, Any] = {"key": write.key, "value": value}
    if write.lease:
        item["lease"] = int(write.lease)
    return item
