"""Workers over HTTP; the only module that knows their wire.

Each operation is a ``POST`` with the caller's epoch in the query and its
argument as MessagePack; the answer is a task report or an inventory.
"""

from datetime import timedelta
from typing import Any

import msgspec

from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.protocol.ports import (
    Accepted,
    Instance,
    Inventory,
    Lost,
    Rejected,
    StartOrder,
    TaskReport,
)
from damaskdeck.transport.pool import BAD_ANSWER, HttpPool

CALL_TIMEOUT = timedelta(seconds=3)
CONNECTIONS_PER_WORKER = 8

_encoder = msgspec.msgpack.Encoder()
_reports = msgspec.msgpack.Decoder(TaskReport)
_inventories = msgspec.msgpack.Decoder(Inventory)


class HttpWorkers:
    """Implements the port ``WorkerPort``.

    :param client_name: this daemon's name, sent with each call.
    :param timeout: how long an answer is waited for.
    """

    def __init__(
        self, client_name: str = "", timeout: timedelta = CALL_TIMEOUT
    ) -> None:
        self._timeout = timeout
        self._pool = HttpPool(
            limit_per_host=CONNECTIONS_PER_WORKER, client_name=client_name
        )

    async def start(
        self, worker: Instance, epoch: int, order: StartOrder
    ) -> Accepted | Rejected | Lost:
        """Start a task."""
        return await self._act(worker, "start", epoch, order)

    async def stop(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Stop a task."""
        return await self._act(worker, "stop", epoch, task)

    async def checkpoint(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Save a task's progress and stop it."""
        return await self._act(worker, "checkpoint", epoch, task)

    async def throttle(
        self, worker: Instance, epoch: int, task: str, millicores: int
    ) -> Accepted | Rejected | Lost:
        """Bound a task's processors."""
        return await self._act(worker, "throttle", epoch, (task, millicores))

    async def renew(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...], lease: timedelta
    ) -> Inventory | Rejected | Lost:
        """Renew the leases of ``tasks``."""
        return await self._list(worker, "renew", epoch, (tasks, lease))

    async def read_inventory(
        self, worker: Instance, epoch: int
    ) -> Inventory | Rejected | Lost:
        """List all tasks."""
        return await self._list(worker, "read_inventory", epoch, None)

    async def follow(
        self, worker: Instance, epoch: int, after: int, wait: timedelta
    ) -> Inventory | Rejected | Lost:
        """Return tasks changed after ``after``, waiting up to ``wait`` for one."""
        return await self._list(worker, "follow", epoch, (after, wait), wait)

    async def acknowledge(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...]
    ) -> Inventory | Rejected | Lost:
        """Let the worker forget ended tasks."""
        return await self._list(worker, "acknowledge", epoch, tasks)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def _act(
        self, worker: Instance, operation: str, epoch: int, argument: Any
    ) -> Accepted | Rejected | Lost:
        answer = await self._call(worker, operation, epoch, argument, _reports)
        return Accepted(answer) if isinstance(answer, TaskReport) else answer

    async def _list(
        self,
        worker: Instance,
        operation: str,
        epoch: int,
        argument: Any,
        wait: timedelta = timedelta(),
    ) -> Inventory | Rejected | Lost:
        return await self._call(
            worker, operation, epoch, argument, _inventories, self._timeout + wait
        )

    async def _call(
        self,
        worker: Instance,
        operation: str,
        epoch: int,
        argument: Any,
        decoder: msgspec.msgpack.Decoder[Any],
        timeout: timedelta | None = None,
    ) -> Any:
        url = f"http://{worker.address}/tasks/{operation}?epoch={epoch}"
        body = _encoder.encode(argument)
        reply = await self._pool.post(url, timeout or self._timeout, body)
        if isinstance(reply, Rejected | Lost):
            return reply
        if reply.status != 200:
            return Lost(BAD_ANSWER, f"unexpected status {reply.status}")
        try:
            return decoder.decode(reply.body)
        except DECODE_ERRORS as error:
            return Lost(BAD_ANSWER, str(error))
