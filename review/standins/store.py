"""A stand-in of the platform's store that follows PROTOCOL.md."""

import asyncio
import base64
import itertools
import json
import time
from typing import Any

from http1 import Answer, HttpServer, Request

PAGE_ITEMS = 500
MAX_ENTRIES = 32
MIN_TTL_MS = 1000
RESERVED = ("op/", "servers/")


class Store:
    """Keys with revisions, leases and a history that is never dropped.

    :ivar is_up: while false, each call gets 503, and nothing is done.
    """

    def __init__(self) -> None:
        self.server = HttpServer(self._handle)
        self.is_up = True
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(1)
        self._changed = asyncio.Condition()

    async def run(self) -> None:
        """End leases when their time is over."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = [n for n, (until, _) in self._leases.items() if until < now]
            for number in ended:
                await self._end_lease(number)

    async def put(self, key: str, value: Any) -> None:
        """Write a key for the operator or for a server; ``None`` removes it."""
        if value is None:
            await self._apply([], [key])
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            await self._apply([{"key": key, "value": text}], [])

    def read(self, key: str) -> bytes | None:
        """Return the bytes under a key."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item is not None else None

    async def _apply(self, writes: list[dict[str, Any]], removed: list[str]) -> int:
        async with self._changed:
            self.revision += 1
            for write in writes:
                old = self.items.get(write["key"])
                item = {
                    "key": write["key"],
                    "value": write["value"],
                    "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "lease": write.get("lease", 0),
                }
                self.items[item["key"]] = item
                self._history.append(item)
            for key in removed:
                if self.items.pop(key, None) is not None:
                    event = {"key": key, "revision": self.revision, "deleted": True}
                    self._history.append(event)
            self._changed.notify_all()
            return self.revision

    async def _end_lease(self, number: int) -> None:
        self._leases.pop(number, None)
        keys = [key for key, item in self.items.items() if item["lease"] == number]
        if keys:
            await self._apply([], keys)

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(0.002)
        if not self.is_up:
            return 503, None
        path = request.path
        if path == "/kv-key":
            item = self.items.get(request.query["key"])
            return (404 if item is None else 200), {
                **(item or {}),
                "as_of": self.revision,
            }
        if path == "/kv-range":
            return self._read_range(request.query)
        if path == "/kv-watch":
            return await self._watch(request.query)
        if path == "/kv-txn":
            return await self._commit(request.body)
        return await self._handle_lease(request)

    def _read_range(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return 200, {"items": items, "has_more": has_more, "as_of": self.revision}

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if not self.is_up:
                return 503, None
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            rest = until - time.monotonic()
            if events or rest <= 0:
                return 200, {"events": events, "as_of": self.revision}
            after = self.revision
            try:
                async with asyncio.timeout(min(rest, 0.2)), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _commit(self, body: dict[str, Any]) -> Answer:
        expected = body.get("expected", [])
        writes, removed = body.get("writes", []), body.get("remove", [])
        if len(expected) + len(writes) + len(removed) > MAX_ENTRIES:
            return 400, None
        keys = [write["key"] for write in writes] + removed
        if any(key.startswith(RESERVED) for key in keys):
            return 403, None
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return 404, None
        current = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in expected
        ]
        pairs = zip(expected, current, strict=True)
        if any(row["revision"] != item["revision"] for row, item in pairs):
            return 412, {"items": current}
        return 200, {"revision": await self._apply(writes, removed)}

    async def _handle_lease(self, request: Request) -> Answer:
        now = time.monotonic()
        if request.path == "/kv-lease":
            ttl = max(MIN_TTL_MS, int(request.body["ttl_ms"]))
            number = next(self._numbers)
            self._leases[number] = now + ttl / 1000, ttl
            return 200, {"lease": number, "ttl_ms": ttl}
        number = int(request.path.rpartition("/")[2])
        if number not in self._leases:
            return 404, None
        if request.method == "DELETE":
            await self._end_lease(number)
            return 200, None
        ttl = self._leases[number][1]
        self._leases[number] = now + ttl / 1000, ttl
        return 200, {"ttl_ms": ttl}
