"""Messages of a daemon to itself, as when it owns the ledger that it calls."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.messages import (
    Answered,
    Handler,
    Unanswered,
    Unsent,
    decode_message,
    encode_message,
    get_message_name,
)
from damaskdeck.transport.replies import read_reply

_log = get_logger("peers")


class Loopback:
    """Passes messages to the daemon's own handlers, encoded as for a peer.

    :param handlers: handlers by wire name of the message; entries may be added later.
    """

    def __init__(
        self, name: str, handlers: Mapping[str, Handler], clock: Clock
    ) -> None:
        self._name = name
        self._handlers = handlers
        self._clock = clock
        self._handler_tasks: set[asyncio.Task[Any]] = set()

    def send(self, message: Any, kind: type) -> Unsent | None:
        """Start the handler without waiting for it."""
        return None if self._start_handler(message, kind) else Unsent("unsupported")

    async def call(
        self, message: Any, kind: type, timeout: timedelta
    ) -> Answered | Unsent | Unanswered:
        """Run the handler and return its reply; it continues after ``timeout``."""
        task = self._start_handler(message, kind)
        if task is None:
            return Unsent("unsupported")
        timer = asyncio.ensure_future(self._clock.sleep(timeout))
        try:
            await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
        if not task.done():
            return Unanswered("timeout")
        if task.cancelled():
            return Unanswered("closed")
        return task.result()

    def close(self) -> None:
        """Cancel the running handlers."""
        for task in self._handler_tasks:
            task.cancel()

    def _start_handler(self, message: Any, kind: type) -> asyncio.Task[Any] | None:
        name = get_message_name(kind)
        handler = self._handlers.get(name)
        if handler is None:
            return None
        copy = decode_message(name, encode_message(message))
        return start_task(self._handle(handler, name, copy), self._handler_tasks)

    async def _handle(
        self, handler: Handler, name: str, message: Any
    ) -> Answered | Unanswered:
        try:
            reply = await handler(self._name, message)
        except Exception as error:
            _log.error("A handler failed.", kind=name, error=repr(error))
            count_drop("peers", "handler_failed")
            return Unanswered("handler_failed")
        return read_reply(name, encode_message(reply))
