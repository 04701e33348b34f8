"""The platform's metadata store as a transactional store."""

import base64
import binascii
from datetime import timedelta
from typing import Any, NotRequired, TypedDict
from urllib.parse import quote

import msgspec

from damaskdeck.metrics import count_store_call
from damaskdeck.platform.client import (
    Oversized,
    PlatformClient,
    Reply,
    decode_body,
    to_milliseconds,
)
from damaskdeck.platform.fields import read_duration
from damaskdeck.protocol.ports import (
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

# Names that a transaction may hold, by the platform's pages.
ENTRY_LIMIT = 32
READ_SILENCE = timedelta(milliseconds=1500)
# A value or a page holds up to a megabyte, which takes 4 s on the slowest links, 2
# Mbit/s: as long as it comes it is waited for, or it would be asked for for ever.
TRANSFER_TIMEOUT = timedelta(seconds=12)
COMMIT_TIMEOUT = timedelta(milliseconds=1500)
# Renewals also tell how the store is; silence must show soon.
LEASE_TIMEOUT = timedelta(milliseconds=700)
# A watch that stays silent for so much longer than it was to wait is dead.
WATCH_SLACK = timedelta(milliseconds=1200)


class _Item(TypedDict):
    key: str
    revision: int
    value: NotRequired[str]
    lease: NotRequired[int]
    deleted: NotRequired[bool]


class _One(_Item):
    as_of: int


class _Absent(TypedDict):
    as_of: NotRequired[int]


class _Range(TypedDict):
    items: list[_Item]
    has_more: NotRequired[bool]
    as_of: int


class _Watched(TypedDict):
    events: list[_Item]
    as_of: int


class _Revised(TypedDict):
    revision: int


class _Mismatched(TypedDict):
    items: list[_Item]


class _Leased(TypedDict):
    lease: int
    ttl_ms: int


class _Kept(TypedDict):
    ttl_ms: int


_one = msgspec.json.Decoder(_One)
_absent = msgspec.json.Decoder(_Absent)
_range = msgspec.json.Decoder(_Range)
_watched = msgspec.json.Decoder(_Watched)
_revised = msgspec.json.Decoder(_Revised)
_mismatched = msgspec.json.Decoder(_Mismatched)
_leased = msgspec.json.Decoder(_Leased)
_kept = msgspec.json.Decoder(_Kept)


class PlatformStore:
    """Implements ``TransactionalStore``.

    :param address: IP and port of the platform's store.
    """

    entry_limit = ENTRY_LIMIT

    def __init__(self, client: PlatformClient, address: str) -> None:
        self._client = client
        self._address = address

    def move(self, address: str) -> None:
        """Use another address from the next call on."""
        self._address = address

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        timeout: timedelta,
        body: Any = None,
        silence: timedelta | None = None,
        max_reply_bytes: int | None = None,
        within: timedelta | None = None,
    ) -> Reply | Oversized | Rejected | Lost:
        count_store_call(kind)
        return await self._client.call(
            method,
            self._address,
            path,
            timeout,
            body,
            silence=silence,
            max_reply_bytes=max_reply_bytes,
            within=within,
        )

    async def read(self, key: str) -> Found | Missing | Rejected | Lost:
        """Read one key."""
        path = f"/kv-key?key={quote(key, safe='/')}"
        reply = await self._call(
            "read", "GET", path, TRANSFER_TIMEOUT, silence=READ_SILENCE
        )
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 404:
            absent = decode_body(reply, _absent)
            return Missing(0 if isinstance(absent, Lost) else absent.get("as_of", 0))
        found = _decode(reply, 200, _one)
        return found if isinstance(found, Lost) else Found(_read_item(found))

    async def read_changed(
        self, key: str, revision: int, within: timedelta | None = None
    ) -> Found | Missing | Unchanged | Rejected | Lost:
        """Read one key unless ``revision`` still is its last.

        A transaction that writes nothing is refused with the entry as it is now.
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
            READ_SILENCE,
            within=within,
        )
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 412:
            found = _read_mismatch(reply)
            if isinstance(found, Lost):
                return found
            entry = found.find(key)
            return Missing(0) if entry is None else Found(entry)
        done = _decode(reply, 200, _revised)
        return done if isinstance(done, Lost) else Unchanged(done["revision"])

    async def read_page(self, prefix: str, after: str) -> Page | Rejected | Lost:
        """Read a page of the keys below ``prefix``."""
        path = f"/kv-range?path_prefix={quote(prefix, safe='/')}"
        if after:
            path += f"&after={quote(after, safe='/')}"
        reply = await self._call(
            "list", "GET", path, TRANSFER_TIMEOUT, silence=READ_SILENCE
        )
        if not isinstance(reply, Reply):
            return reply
        found = _decode(reply, 200, _range)
        if isinstance(found, Lost):
            return found
        entries = tuple(_read_item(item) for item in found["items"])
        return Page(entries, found.get("has_more", False), found["as_of"])

    async def commit(
        self,
        transaction: Transaction,
        timeout: timedelta | None = None,
        max_reply_bytes: int | None = None,
    ) -> CommitResult | ReplyTooLarge:
        """Make changes that take effect together or not at all."""
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
        if isinstance(reply, Oversized):
            is_refused = reply.status == 412
            return ReplyTooLarge(reply.size) if is_refused else Lost("unexpected_size")
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 404:
            return Lapsed("")
        if reply.status == 412:
            return _read_mismatch(reply)
        done = _decode(reply, 200, _revised)
        return done if isinstance(done, Lost) else Written(done["revision"])

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
            silence=wait + WATCH_SLACK,
            max_reply_bytes=max_reply_bytes,
        )
        if isinstance(reply, Oversized):
            is_told = reply.status == 200
            return ReplyTooLarge(reply.size) if is_told else Lost("unexpected_size")
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 410:
            return RevisionTooOld(0)
        found = _decode(reply, 200, _watched)
        if isinstance(found, Lost):
            return found
        events = tuple(_read_event(item) for item in found["events"])
        return Events(events, found["as_of"])

    async def grant_lease(self, ttl: timedelta) -> Granted | Rejected | Lost:
        """Open a lease."""
        body = {"ttl_ms": to_milliseconds(ttl)}
        reply = await self._call("grant", "POST", "/kv-lease", LEASE_TIMEOUT, body)
        if not isinstance(reply, Reply):
            return reply
        done = _decode(reply, 200, _leased)
        if isinstance(done, Lost):
            return done
        return Granted(str(done["lease"]), read_duration(done["ttl_ms"]))

    async def renew_lease(self, lease: str) -> Granted | Lapsed | Rejected | Lost:
        """Renew a lease."""
        reply = await self._call("renew", "POST", f"/kv-keep/{lease}", LEASE_TIMEOUT)
        if not isinstance(reply, Reply):
            return reply
        if reply.status == 404:
            return Lapsed(lease)
        done = _decode(reply, 200, _kept)
        if isinstance(done, Lost):
            return done
        return Granted(lease, read_duration(done["ttl_ms"]))


def _decode(reply: Reply, status: int, decoder: msgspec.json.Decoder[Any]) -> Any:
    if reply.status != status:
        return Lost("unexpected_status", str(reply.status))
    return decode_body(reply, decoder)


def _read_mismatch(reply: Reply) -> Mismatch | Lost:
    found = decode_body(reply, _mismatched)
    if isinstance(found, Lost):
        return found
    present = (item for item in found["items"] if item["revision"])
    return Mismatch(tuple(map(_read_item, present)))


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error:
        # What is no base64 can't be a record of ours; decoding it will say so.
        return text.encode()


def _read_item(item: _Item) -> Entry:
    lease = item.get("lease", 0)
    value = _decode_value(item.get("value", ""))
    return Entry(item["key"], value, item["revision"], str(lease) if lease else "")


def _read_event(item: _Item) -> Event:
    if item.get("deleted", False):
        return Event(item["key"], None, item["revision"])
    return Event(item["key"], _decode_value(item.get("value", "")), item["revision"])


def _build_write(write: Any) -> dict[str, Any]:
    value = base64.b64encode(write.value).decode()
    built: dict[str, Any] = {"key": write.key, "value": value}
    if write.lease:
        built["lease"] = int(write.lease)
    return built
