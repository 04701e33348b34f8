"""Calls to the platform's store over a link of limited bandwidth, in virtual time."""

import asyncio
import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs, urlsplit

from damaskdeck.clock import Clock
from damaskdeck.platform.client import OversizedReply, Reply
from damaskdeck.protocol.ports import Lost, Rejected
from standins.wire import WireStore

LATENCY = timedelta(milliseconds=5)
# Concurrent answers share the bandwidth equally in each slice of time.
TIME_SLICE = timedelta(milliseconds=10)


class BandwidthLimitedClient:
    """Replaces ``PlatformClient`` on one daemon's link to a store.

    :param rate: bandwidth of the link in bytes per second.
    :ivar received: bytes received, including those of abandoned answers.
    :ivar is_cut: whether the store is unreachable.
    :ivar loses_reply: whether the answer to a call never starts, by its path.
    """

    def __init__(self, store: WireStore, clock: Clock, rate: float) -> None:
        self.rate = rate
        self.received = 0.0
        self.is_cut = False
        self.loses_reply: Callable[[str], bool] = lambda path: False
        self._store = store
        self._clock = clock
        self._active_transfers = 0

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout: timedelta,
        body: Any = None,
        max_reply_bytes: int | None = None,
        first_byte_timeout: timedelta | None = None,
        **options: Any,
    ) -> Reply | OversizedReply | Rejected | Lost:
        """Make a call; the part of an answer received by the timeout is discarded."""
        if self.is_cut:
            await self._clock.sleep(LATENCY)
            return Rejected("unreachable")
        if self.loses_reply(path):
            await self._clock.sleep(first_byte_timeout or timeout)
            return Lost("timeout")
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._exchange(method, path, body, max_reply_bytes)
        except TimeoutError:
            return Lost("timeout")

    async def _exchange(
        self, method: str, path: str, body: Any, max_reply_bytes: int | None
    ) -> Reply | OversizedReply:
        await self._clock.sleep(LATENCY)
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        status, answer = await self._store.answer(method, parts.path, query, {}, body)
        data = b"" if answer is None else json.dumps(answer).encode()
        if max_reply_bytes is not None and len(data) > max_reply_bytes:
            return OversizedReply(status, len(data))
        await self._receive(len(data))
        return Reply(status, data)

    async def _receive(self, size: float) -> None:
        self._active_transfers += 1
        try:
            while size > 0:
                await self._clock.sleep(TIME_SLICE)
                share = self.rate * TIME_SLICE.total_seconds() / self._active_transfers
                part = min(size, share)
                size -= part
                self.received += part
        finally:
            self._active_transfers -= 1
