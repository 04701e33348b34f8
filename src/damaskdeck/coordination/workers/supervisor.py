"""Watches over tasks that nobody awaits, so that no failure goes unseen."""

import asyncio
from typing import Any

from damaskdeck.logs import get_logger

_log = get_logger("daemon")


class Supervisor:
    """Collects the failures of background tasks.

    Only broken invariants and faults of the program end such a task; then the
    daemon must stop, as others take over what it owns.
    """

    def __init__(self) -> None:
        self._failed: asyncio.Future[None] | None = None
        self._failure: BaseException | None = None

    def watch(self, task: asyncio.Task[Any]) -> None:
        """Note the end of a task; given to ``add_done_callback``."""
        if task.cancelled() or task.exception() is None:
            return
        _log.error("A background task failed.", error=repr(task.exception()))
        self._failure = self._failure or task.exception()
        if self._failed is not None and not self._failed.done():
            self._failed.set_exception(self._failure)

    async def run(self) -> None:
        """Wait until cancelled, or raise the first failure."""
        self._failed = asyncio.get_running_loop().create_future()
        if self._failure is not None:
            raise self._failure
        await self._failed
