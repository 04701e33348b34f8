"""The platform's workers: orders, leases and inventories over HTTP."""

from datetime import timedelta
from typing import Any, NotRequired, TypedDict

import msgspec

from damaskdeck.delays import LoopDelay
from damaskdeck.logs import get_logger
from damaskdeck.platform.client import (
    KEEPALIVE_SECONDS,
    PlatformClient,
    Reply,
    decode_body,
    to_milliseconds,
)
from damaskdeck.platform.fields import Moment, read_duration
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
    WorkerTasks,
)
from damaskdeck.protocol.ports import Lost, Rejected
from damaskdeck.protocol.queues import TaskName

# Answers come within some 10 ms. With 0.6 and 0.7 s, workers that lose three answers
# in ten made short jobs late; below these figures nothing more was gained.
_ORDER_TIMEOUT = timedelta(milliseconds=300)
_HOLD_SLACK = timedelta(milliseconds=350)
_LIFE_HEADER = "Expected-Instance"
_OTHER_LIFE = 421

_REASONS = {
    "fence": RefusalCode.STALE_EPOCH,
    "old": RefusalCode.STALE_ATTEMPT,
    "late": RefusalCode.LATE,
    "room": RefusalCode.NO_ROOM,
    "ticket": RefusalCode.NO_TICKET,
}
_ENDS = {
    "done": EndKind.COMPLETED,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.ALONE,
}

# Channels to a worker that orders have opened and that are kept for the next: up to
# nine were seen (1,630 descriptors, 176 workers).
CHANNELS_EACH = 10
# Where so many would be more than the process may open, channels of orders are kept for
# no longer than a gang's orders take. A process that may open 137 for 100 workers then
# served 164 of 260 jobs, and 40 of them with channels that are kept for ten seconds.
SCARCE_KEEP_SECONDS = 0.5

_log = get_logger("workers")


class _Ordered(TypedDict):
    clock_ms: NotRequired[Moment]
    reason: NotRequired[str]


class _Held(TypedDict):
    clock_ms: Moment
    running: list[list[Any]]
    finished: list[list[Any]]


_ordered = msgspec.json.Decoder(_Ordered)
_held = msgspec.json.Decoder(_Held)


class PlatformWorkers:
    """Implements ``PoolWorkers``.

    :param delay: how late this process is, which answers are waited for longer by.
    :param descriptors: how many the process may have open.
    """

    def __init__(
        self, client: PlatformClient, delay: LoopDelay, descriptors: int
    ) -> None:
        self._client = client
        self._delay = delay
        self._many = descriptors // CHANNELS_EACH
        self._addresses: set[str] = set()

    @property
    def _keep(self) -> float:
        """For how many seconds channels of orders are kept."""
        is_scarce = len(self._addresses) > self._many
        return SCARCE_KEEP_SECONDS if is_scarce else KEEPALIVE_SECONDS

    @property
    def _allowance(self) -> timedelta:
        return timedelta(seconds=self._delay.seconds)

    async def start(
        self, worker: PoolWorker, epoch: int, order: TaskStart
    ) -> StartResult:
        """Start a task."""
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
        return await self._order(worker, "/run-start", body)

    async def stop(
        self, worker: PoolWorker, epoch: int, task: TaskName, attempt: int
    ) -> StartResult:
        """Stop a run."""
        body = {"task": format_task(task), "run": attempt, "fencing_token": epoch}
        return await self._order(worker, "/run-stop", body)

    async def _order(
        self, worker: PoolWorker, path: str, body: dict[str, Any]
    ) -> StartResult:
        reply = await self._client.call(
            "POST",
            worker.address,
            path,
            _ORDER_TIMEOUT + self._allowance,
            body,
            {_LIFE_HEADER: worker.identifier},
            keep=self._keep,
        )
        if not isinstance(reply, Reply):
            if isinstance(reply, Rejected) and reply.code == "busy":
                return Declined(RefusalCode.UNHEALTHY)
            return reply
        refusal = _read_refusal(reply)
        if refusal is not None:
            return refusal
        answer = decode_body(reply, _ordered)
        if isinstance(answer, Lost):
            return answer
        return Done(read_duration(answer.get("clock_ms", 0)))

    async def poll(
        self,
        worker: PoolWorker,
        epoch: int,
        observed: int,
        deadline: timedelta | None,
        wait: timedelta,
    ) -> WorkerTasks | Declined | Replaced | Rejected | Lost:
        """Extend the lease and list what the worker runs."""
        body: dict[str, Any] = {"fencing_token": epoch, "observed": observed}
        if deadline is not None:
            body["deadline_ms"] = to_milliseconds(deadline)
        if wait:
            body["wait_ms"] = to_milliseconds(wait)
        self._addresses.add(worker.address)
        reply = await self._client.call(
            "POST",
            worker.address,
            "/hold",
            wait + _HOLD_SLACK + self._allowance,
            body,
            {_LIFE_HEADER: worker.identifier},
        )
        if not isinstance(reply, Reply):
            return reply
        refusal = _read_refusal(reply)
        if refusal is not None:
            return refusal
        return read_inventory(reply)


def read_inventory(reply: Reply) -> WorkerTasks | Lost:
    """Read what a worker runs and what has ended there."""
    answer = decode_body(reply, _held)
    if isinstance(answer, Lost):
        return answer
    try:
        return _read_contents(answer)
    except (ValueError, TypeError, KeyError, IndexError, OverflowError) as error:
        _log.error(
            "An inventory makes no sense.", code="unreadable_answer", error=repr(error)
        )
        return Lost("unreadable_answer", repr(error))


def _read_refusal(reply: Reply) -> Declined | Replaced | Lost | None:
    if reply.status == 200:
        return None
    if reply.status == _OTHER_LIFE:
        return Replaced()
    if reply.status == 409:
        answer = decode_body(reply, _ordered)
        if isinstance(answer, Lost):
            return answer
        code = _REASONS.get(answer.get("reason", ""), RefusalCode.INVALID)
        clock = answer.get("clock_ms")
        return Declined(code, read_duration(clock) if clock else None)
    if reply.status == 400:
        _log.error("An order was malformed.", answer=reply.body[:200].decode("latin-1"))
        return Declined(RefusalCode.INVALID)
    return Lost("unexpected_status", str(reply.status))


def _read_contents(answer: _Held) -> WorkerTasks:
    running = tuple(
        RunningTask(
            parse_task(row[0]),
            int(row[1]),
            _read_text(row[2] or ""),
            int(row[3]),
            int(row[4]) if len(row) > 4 else 0,
        )
        for row in answer["running"]
    )
    ended = tuple(
        EndedTask(
            int(row[0]),
            parse_task(row[1]),
            int(row[2]),
            _ENDS[row[3]],
            _read_text(row[4]),
        )
        for row in answer["finished"]
    )
    return WorkerTasks(read_duration(answer["clock_ms"]), running, ended)


def _read_text(value: Any) -> str:
    """Return a text.

    :raises TypeError: when it is something else.
    """
    if not isinstance(value, str):
        raise TypeError(f"no text: {type(value).__name__}")
    return value
