"""Adapter to the platform's workers: orders, leases and inventories over HTTP."""

from datetime import timedelta
from typing import Any, NotRequired, TypedDict

import msgspec

from damaskdeck.logs import get_logger
from damaskdeck.platform.client import (
    KEEPALIVE_SECONDS,
    PlatformClient,
    Reply,
    decode_body,
    to_milliseconds,
)
from damaskdeck.platform.fields import BirthMs, TimestampMs, to_duration
from damaskdeck.platform.tasks import format_task, parse_task
from damaskdeck.protocol.pools import (
    Declined,
    Done,
    EndedTask,
    EndKind,
    PoolWorker,
    RefusalCode,
    Replaced,
    RunningTask,
    StartResult,
    TaskStart,
    WorkerIncarnation,
    WorkerTasks,
)
from damaskdeck.protocol.ports import Lost, Rejected
from damaskdeck.protocol.queues import TaskName

# Workers usually respond within about 10 ms. With 0.6 and 0.7 s, short jobs were late
# on workers that lose three responses in ten; lower values than these gained nothing.
_ORDER_TIMEOUT = timedelta(milliseconds=300)
_POLL_TIMEOUT_MARGIN = timedelta(milliseconds=350)
# How many ends an inventory contains at most, according to the platform's
# documentation.
MAX_LISTED_ENDS = 500
_INCARNATION_HEADER = "Expected-Instance"
_INCARNATION_MISMATCH_STATUS = 421

_REFUSAL_CODES = {
    "fence": RefusalCode.STALE_EPOCH,
    "old": RefusalCode.STALE_ATTEMPT,
    "late": RefusalCode.LATE,
    "room": RefusalCode.NO_ROOM,
    "ticket": RefusalCode.NO_TICKET,
}
_END_KINDS = {
    "done": EndKind.COMPLETED,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.ALONE,
}

# Connections to a worker that orders open and that are kept for further orders. Up to
# nine were observed (1,630 descriptors with 176 workers).
CONNECTIONS_PER_WORKER = 10
# Used when CONNECTIONS_PER_WORKER connections to each worker would exceed the
# descriptor limit: connections are kept just long enough for the orders of one gang.
# With 137 descriptors for 100 workers, a process completed 164 of 260 jobs this way,
# and 40 when it kept connections for ten seconds.
SHORT_KEEPALIVE_SECONDS = 0.5

_log = get_logger("workers")


class _OrderResponse(TypedDict):
    clock_ms: NotRequired[TimestampMs]
    reason: NotRequired[str]


class _PollResponse(TypedDict):
    clock_ms: TimestampMs
    running: list[list[Any]]
    finished: list[list[Any]]
    born: NotRequired[BirthMs]


_order_decoder = msgspec.json.Decoder(_OrderResponse)
_poll_decoder = msgspec.json.Decoder(_PollResponse)


class PlatformWorkers:
    """Implements ``PoolWorkers`` over HTTP.

    :param descriptors: how many file descriptors the process may have open.
    """

    def __init__(self, client: PlatformClient, descriptors: int) -> None:
        self._client = client
        self._max_workers_with_keepalive = descriptors // CONNECTIONS_PER_WORKER
        self._polled_addresses: set[str] = set()

    @property
    def _order_keepalive_seconds(self) -> float:
        """How many seconds idle connections of orders are kept."""
        is_fleet_large = len(self._polled_addresses) > self._max_workers_with_keepalive
        return SHORT_KEEPALIVE_SECONDS if is_fleet_large else KEEPALIVE_SECONDS

    async def start(
        self, worker: PoolWorker, epoch: int, order: TaskStart
    ) -> StartResult:
        """Order a worker to start a task."""
        body: dict[str, Any] = {
            "task": format_task(order.task),
            "run": order.attempt,
            "spec": order.payload,
            "deadline_ms": to_milliseconds(order.deadline),
            "fencing_token": epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._send_order(worker, "/run-start", body)

    async def stop(
        self, worker: PoolWorker, epoch: int, task: TaskName, attempt: int
    ) -> StartResult:
        """Order a worker to stop a run."""
        body = {"task": format_task(task), "run": attempt, "fencing_token": epoch}
        return await self._send_order(worker, "/run-stop", body)

    async def _send_order(
        self, worker: PoolWorker, path: str, body: dict[str, Any]
    ) -> StartResult:
        reply = await self._client.call(
            "POST",
            worker.address,
            path,
            _ORDER_TIMEOUT,
            body,
            _name_worker(worker),
            keepalive_seconds=self._order_keepalive_seconds,
        )
        if not isinstance(reply, Reply):
            if isinstance(reply, Rejected) and reply.code == "busy":
                return Declined(RefusalCode.UNHEALTHY)
            return reply
        refusal = _parse_refusal(reply)
        if refusal is not None:
            return refusal
        response = decode_body(reply, _order_decoder)
        if isinstance(response, Lost):
            return response
        return Done(to_duration(response.get("clock_ms", 0)))

    async def poll(
        self,
        worker: PoolWorker,
        epoch: int,
        observed: int,
        deadline: timedelta | None,
        wait: timedelta,
        connection: object = None,
    ) -> WorkerTasks | Declined | Replaced | Rejected | Lost:
        """Extend the worker's lease and return its tasks.

        :param observed: number of the last end that is durable; the worker discards
            ends up to it.
        :param deadline: end of the lease on the worker's clock; ``None`` leaves it.
        :param wait: how long the worker may wait for an end before it replies.
        :param connection: the connection of an earlier answer, which ends with the
            worker's process, and which has to be used.
        """
        body: dict[str, Any] = {"fencing_token": epoch, "observed": observed}
        if deadline is not None:
            body["deadline_ms"] = to_milliseconds(deadline)
        if wait:
            body["wait_ms"] = to_milliseconds(wait)
        self._polled_addresses.add(worker.address)
        reply = await self._client.call(
            "POST",
            worker.address,
            "/hold",
            wait + _POLL_TIMEOUT_MARGIN,
            body,
            _name_worker(worker),
            # Orders must not take the connection that the next poll needs.
            pool="polls" if _has_birth(worker) else "",
            connection=connection,
        )
        if not isinstance(reply, Reply):
            return reply
        refusal = _parse_refusal(reply)
        if refusal is not None:
            return refusal
        return parse_inventory(reply)


def parse_inventory(reply: Reply) -> WorkerTasks | Lost:
    """Parse a worker's inventory: its running tasks and the ends of others."""
    response = decode_body(reply, _poll_decoder)
    if isinstance(response, Lost):
        return response
    try:
        tasks = _build_worker_tasks(response)
    except (ValueError, TypeError, KeyError, IndexError, OverflowError) as error:
        _log.error(
            "An inventory is malformed.", code="unreadable_answer", error=repr(error)
        )
        return Lost("unreadable_answer", repr(error))
    return tasks._replace(connection=reply.connection)


def _has_birth(worker: PoolWorker) -> bool:
    return WorkerIncarnation.parse(worker.identifier).born is not None


def _name_worker(worker: PoolWorker) -> dict[str, str]:
    """Return the header that names a worker, without its birth."""
    return {_INCARNATION_HEADER: WorkerIncarnation.parse(worker.identifier).name}


def _parse_refusal(reply: Reply) -> Declined | Replaced | Lost | None:
    if reply.status == 200:
        return None
    if reply.status == _INCARNATION_MISMATCH_STATUS:
        return Replaced()
    if reply.status == 409:
        response = decode_body(reply, _order_decoder)
        if isinstance(response, Lost):
            return response
        code = _REFUSAL_CODES.get(response.get("reason", ""), RefusalCode.INVALID)
        clock = response.get("clock_ms")
        return Declined(code, to_duration(clock) if clock else None)
    if reply.status == 400:
        _log.error("An order was malformed.", answer=reply.body[:200].decode("latin-1"))
        return Declined(RefusalCode.INVALID)
    return Lost("unexpected_status", str(reply.status))


def _build_worker_tasks(response: _PollResponse) -> WorkerTasks:
    running = tuple(
        RunningTask(
            parse_task(row[0]),
            int(row[1]),
            _require_text(row[2] or ""),
            int(row[3]),
            int(row[4]) if len(row) > 4 else 0,
        )
        for row in response["running"]
    )
    ended = tuple(
        EndedTask(
            int(row[0]),
            parse_task(row[1]),
            int(row[2]),
            _END_KINDS[row[3]],
            _require_text(row[4]),
        )
        for row in response["finished"]
    )
    clock = to_duration(response["clock_ms"])
    has_more = len(ended) >= MAX_LISTED_ENDS
    return WorkerTasks(clock, running, ended, response.get("born"), has_more)


def _require_text(value: Any) -> str:
    """Return ``value`` if it is a string.

    :raises TypeError: if it isn't.
    """
    if not isinstance(value, str):
        raise TypeError(f"must be a string, not {type(value).__name__}")
    return value
