"""HTTP client of workers; only this module knows their protocol.

Each operation is a ``POST`` with the caller's epoch in the query and the argument as
MessagePack. The answer is a task report or an inventory.
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
MAX_CONNECTIONS_PER_WORKER = 8

_encoder = msgspec.msgpack.Encoder()
_report_decoder = msgspec.msgpack.Decoder(TaskReport)
_inventory_decoder = msgspec.msgpack.Decoder(Inventory)


class HttpWorkers:
    """Implements the port ``WorkerPort``.

    :param client_name: this daemon's name, sent with each call.
    :param timeout: time limit of a call; ``follow`` has its wait on top of it.
    """

    def __init__(
        self, client_name: str = "", timeout: timedelta = CALL_TIMEOUT
    ) -> None:
        self._timeout = timeout
        self._pool = HttpPool(
            limit_per_host=MAX_CONNECTIONS_PER_WORKER, client_name=client_name
        )

    async def start(
        self, worker: Instance, epoch: int, order: StartOrder
    ) -> Accepted | Rejected | Lost:
        """Start a task."""
        return await self._call_for_report(worker, "start", epoch, order)

    async def stop(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Stop a task."""
        return await self._call_for_report(worker, "stop", epoch, task)

    async def checkpoint(
        self, worker: Instance, epoch: int, task: str
    ) -> Accepted | Rejected | Lost:
        """Save a task's progress and stop it."""
        return await self._call_for_report(worker, "checkpoint", epoch, task)

    async def throttle(
        self, worker: Instance, epoch: int, task: str, millicores: int
    ) -> Accepted | Rejected | Lost:
        """Limit the processors of a task, in millicores."""
        return await self._call_for_report(
            worker, "throttle", epoch, (task, millicores)
        )

    async def renew(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...], lease: timedelta
    ) -> Inventory | Rejected | Lost:
        """Renew the leases of ``tasks`` and return all tasks."""
        return await self._call_for_inventory(worker, "renew", epoch, (tasks, lease))

    async def read_inventory(
        self, worker: Instance, epoch: int
    ) -> Inventory | Rejected | Lost:
        """Return all tasks."""
        return await self._call_for_inventory(worker, "read_inventory", epoch, None)

    async def follow(
        self, worker: Instance, epoch: int, after: int, wait: timedelta
    ) -> Inventory | Rejected | Lost:
        """Return the tasks that changed after the sequence number ``after``.

        The worker waits up to ``wait`` for a change.
        """
        return await self._call_for_inventory(
            worker, "follow", epoch, (after, wait), wait
        )

    async def acknowledge(
        self, worker: Instance, epoch: int, tasks: tuple[str, ...]
    ) -> Inventory | Rejected | Lost:
        """Let the worker discard ended tasks."""
        return await self._call_for_inventory(worker, "acknowledge", epoch, tasks)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def _call_for_report(
        self, worker: Instance, operation: str, epoch: int, argument: Any
    ) -> Accepted | Rejected | Lost:
        answer = await self._call(worker, operation, epoch, argument, _report_decoder)
        return Accepted(answer) if isinstance(answer, TaskReport) else answer

    async def _call_for_inventory(
        self,
        worker: Instance,
        operation: str,
        epoch: int,
        argument: Any,
        wait: timedelta = timedelta(),
    ) -> Inventory | Rejected | Lost:
        return await self._call(
            worker, operation, epoch, argument, _inventory_decoder, self._timeout + wait
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
