"""Supervision of background tasks that nothing awaits."""

import asyncio
from typing import Any

from damaskdeck.logs import get_logger

_log = get_logger("daemon")


class Supervisor:
    """Collects failures of background tasks.

    Such a task ends only by a broken invariant or a bug. The daemon must stop then,
    so that other daemons take over what it owns.
    """

    def __init__(self) -> None:
        self._failure_future: asyncio.Future[None] | None = None
        self._failure: BaseException | None = None

    def watch(self, task: asyncio.Task[Any]) -> None:
        """Record the failure of a task; callback for ``add_done_callback``."""
        if task.cancelled() or task.exception() is None:
            return
        _log.error("A background task failed.", error=repr(task.exception()))
        self._failure = self._failure or task.exception()
        if self._failure_future is not None and not self._failure_future.done():
            self._failure_future.set_exception(self._failure)

    async def run(self) -> None:
        """Wait until cancelled, or raise the first failure."""
        self._failure_future = asyncio.get_running_loop().create_future()
        if self._failure is not None:
            raise self._failure
        await self._failure_future
