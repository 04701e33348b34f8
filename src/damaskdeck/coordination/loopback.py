"""Streams between daemons that hand a daemon's calls to itself over directly."""

import asyncio
from datetime import timedelta
from typing import Any

from damaskdeck.protocol.messages import (
    Answered,
    Handler,
    Peers,
    Unanswered,
    Unsent,
)


class Loopback:
    """Implements ``Peers``; messages to this daemon don't leave it.

    :param name: of this daemon.
    """

    def __init__(self, peers: Peers, name: str) -> None:
        self._peers = peers
        self._name = name
        self._handlers: dict[type, Handler] = {}
        self._tasks: set[asyncio.Future[Any]] = set()

    def register(self, kind: type, handler: Handler) -> None:
        """Let ``handler(instance, message)`` take all messages of ``kind``."""
        self._handlers[kind] = handler
        self._peers.register(kind, handler)

    def send(self, instance: str, message: Any, kind: type) -> Unsent | None:
        """Put a message on the stream to ``instance`` without waiting."""
        handler = self._handlers.get(kind)
        if instance != self._name or handler is None:
            return self._peers.send(instance, message, kind)
        task = asyncio.ensure_future(handler(instance, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return None

    async def call(
        self, instance: str, message: Any, kind: type, timeout: timedelta
    ) -> Answered | Unsent | Unanswered:
        """Send a message and wait for its reply."""
        if instance != self._name:
            return await self._peers.call(instance, message, kind, timeout)
        handler = self._handlers.get(kind)
        if handler is None:
            return await self._peers.call(instance, message, kind, timeout)
        return Answered(await handler(self._name, message))
