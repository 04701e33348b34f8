"""A stand-in of the platform's metadata store, by the users' pages."""

import asyncio
import base64
import itertools
import json
import time
from typing import Any

from web import Answer, WebServer

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576


class Store:
    """Keys with revisions, leases, transactions and watches.

    :ivar calls: the calls that were made, by path.
    :ivar refused: the keys whose values were too large, with their sizes.
    """

    def __init__(self) -> None:
        self.server = WebServer(self._handle)
        self.calls: dict[str, int] = {}
        self.refused: list[tuple[str, int]] = []
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()

    # What the platform and the minions do -------------------------------------

    def put(self, key: str, value: Any) -> None:
        """Write a key as the operator or a minion does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{"key": key, "value": data}], [])

    def remove(self, key: str) -> None:
        """Remove a key, if it is there."""
        if key in self._items:
            self._apply([], [key])

    def read(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def run(self) -> None:
        """Let leases end."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [n for n, (_, until) in self._leases.items() if until <= now]
            for lease in ended:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [k for k, item in self._items.items() if item["lease"] == lease]
        if keys:
            self._apply([], keys)

    def _apply(self, writes: list[dict], removals: list[str]) -> int:
        self._revision += 1
        revision = self._revision
        for write in writes:
            key = write["key"]
            old = self._items.get(key)
            item = {
                "key": key,
                "value": write.get("value", ""),
                "revision": revision,
                "created": old["created"] if old else revision,
                "lease": write.get("lease", 0),
            }
            self._items[key] = item
            self._events.append((revision, key, item))
        for key in removals:
            if self._items.pop(key, None) is not None:
                gone = {"key": key, "revision": revision, "deleted": True}
                self._events.append((revision, key, gone))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return revision

    # Calls -------------------------------------------------------------------

    async def _handle(self, method, path, query, headers, body) -> Answer:
        name = path.split("/")[1]
        self.calls[name] = self.calls.get(name, 0) + 1
        await asyncio.sleep(ANSWER_SECONDS)
        if name == "kv-key":
            item = self._items.get(query["key"])
            as_of = {"as_of": self._revision}
            return (200, item | as_of) if item else (404, as_of)
        if name == "kv-range":
            return self._list(query["path_prefix"], query.get("after", ""))
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._commit(body)
        if name == "kv-lease":
            lease = next(self._numbers)
            seconds = body["ttl_ms"] / 1000
            self._leases[lease] = seconds, time.monotonic() + seconds
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.split("/")[2])
        if lease not in self._leases:
            return 404, {}
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        seconds = self._leases[lease][0]
        self._leases[lease] = seconds, time.monotonic() + seconds
        return 200, {"ttl_ms": round(seconds * 1000)}

    def _list(self, prefix: str, after: str) -> Answer:
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys:
            size += len(self._items[key]["value"])
            if len(items) == PAGE_ITEMS or (items and size > PAGE_BYTES):
                break
            items.append(self._items[key])
        more = len(items) < len(keys)
        return 200, {"items": items, "has_more": more, "as_of": self._revision}

    async def _watch(self, query: dict) -> Answer:
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = []
            for revision, key, event in reversed(self._events):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    events.append(event)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "as_of": self._revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _commit(self, body: dict) -> Answer:
        def find(key: str) -> dict:
            return self._items.get(key, {"key": key, "revision": 0})

        expected = body.get("expected", [])
        if any(find(row["key"])["revision"] != row["revision"] for row in expected):
            return 412, {"items": [find(row["key"]) for row in expected]}
        writes, removals = body.get("writes", []), body.get("remove", [])
        leases = {write.get("lease", 0) for write in writes} - {0}
        if not leases <= self._leases.keys():
            return 404, {}
        for write in writes:
            size = len(base64.b64decode(write.get("value", "")))
            if size > VALUE_BYTES:
                self.refused.append((write["key"], size))
                return 400, {"error": "the value is too large"}
        if not writes and not removals:
            return 200, {"revision": self._revision}
        return 200, {"revision": self._apply(writes, removals)}
