"""Calls to owned targets, which release their slots on every path."""

import asyncio
import functools
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.attempts import (
    FREE_RETRY_CODES,
    AnswerLost,
    NotRun,
    RequestContext,
    Result,
    TakenSlot,
)
from damaskdeck.coordination.requests.lanes import name_shard
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.coordination.requests.timers import Timers
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.outcomes import Completed, Failed
from damaskdeck.protocol.ports import (
    Lost,
    Rejected,
    TargetAnswer,
    TargetCall,
    TargetPort,
)

COMPONENT = "targets"
MIN_FAILURE_STATUS = 500
NON_FAULT_CODES = frozenset(
    {"target_full", "target_leaving", "not_owner", "deadline_passed"}
)

# Called with the pool, its target's result, and the seconds in the slot.
ResultHandler = Callable[[SlotPool, Result, float], None]


class TargetSender:
    """Sends requests to owned targets.

    A call continues when its caller is gone or its deadline has passed: the slot is
    free only once the target has answered, and is not used for anything else before.

    :param max_call_time: the longest time a call can be open and a request can run.
    :param margin: added to ``max_call_time`` before a slot is free without an answer.
    :param on_result: called once a slot is released or held.
    """

    def __init__(
        self,
        ownership: Ownership,
        targets: TargetPort,
        clock: Clock,
        max_call_time: timedelta,
        margin: timedelta,
        timers: Timers,
        on_result: ResultHandler,
    ) -> None:
        self._ownership = ownership
        self._targets = targets
        self._clock = clock
        self._max_call_time = max_call_time
        self._margin = margin
        self._timers = timers
        self._on_result = on_result
        self._calls: set[asyncio.Task[Result]] = set()

    @property
    def open_calls(self) -> frozenset["asyncio.Task[Result]"]:
        """The open calls, including those of callers that are gone."""
        return frozenset(self._calls)

    async def wait(self, call: "asyncio.Task[Result]", until: timedelta) -> Result:
        """Wait for a call, which continues if its caller leaves or the time is over.

        :param until: on the monotonic clock.
        """
        answer: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        finish = functools.partial(_finish, answer)
        call.add_done_callback(finish)
        timer = self._timers.call_at(until, finish)
        try:
            await answer
        finally:
            timer.cancel()
            if not call.done():
                call.add_done_callback(_drop_answer)
        return call.result() if call.done() else AnswerLost("timeout")

    def start(self, slot: TakenSlot, context: RequestContext) -> "asyncio.Task[Result]":
        """Start a call to the target whose slot was taken."""
        attempt = context.begin_attempt(slot.pool.target.name)
        return start_task(self._run(slot, context, attempt), self._calls)

    async def _run(
        self, slot: TakenSlot, context: RequestContext, attempt: int
    ) -> Result:
        pool = slot.pool
        now = self._clock.monotonic()
        in_time = now < context.deadline
        owned = self._ownership.get_epoch(name_shard(pool.target.name)) is not None
        if not (owned and in_time):
            pool.free(slot.number)
            code = "deadline_passed" if owned else "not_owner"
            result = NotRun(code, is_free_retry=not owned)
            self._on_result(pool, result, 0.0)
            return result
        context.is_sent = True
        until = now + self._max_call_time + self._margin
        answer: Any = Lost("broken_off")
        try:
            request = context.request
            call = TargetCall(
                request.identifier, attempt, request.body, request.content_type
            )
            answer = await self._targets.send(pool.target, call, self._max_call_time)
        finally:
            result = self._release_slot(slot, call, answer, until)
            spent = (self._clock.monotonic() - now).total_seconds()
            self._on_result(pool, result, spent)
        return result

    def _release_slot(
        self,
        slot: TakenSlot,
        call: TargetCall,
        answer: TargetAnswer | Rejected | Lost,
        until: timedelta,
    ) -> Result:
        pool = slot.pool
        if isinstance(answer, Rejected):
            pool.free(slot.number)
            return NotRun(answer.code, is_free_retry=answer.code in FREE_RETRY_CODES)
        if isinstance(answer, Lost):
            pool.hold(slot.number, until)
            return AnswerLost(answer.code)
        if (answer.request, answer.attempt) != (call.request, call.attempt):
            pool.hold(slot.number, until)
            count_drop(COMPONENT, "answer_crossed")
            return AnswerLost("answer_crossed")
        pool.free(slot.number)
        if answer.status >= MIN_FAILURE_STATUS:
            return Failed(f"status_{answer.status}")
        return Completed(answer.body, answer.content_type)


def is_fault(result: Result) -> bool:
    """Return whether a result counts as a failure of the target."""
    if isinstance(result, Completed):
        return False
    return not (isinstance(result, NotRun) and result.code in NON_FAULT_CODES)


def _finish(answer: "asyncio.Future[None]", *_: object) -> None:
    if not answer.done():
        answer.set_result(None)


def _drop_answer(task: "asyncio.Task[Result]") -> None:
    if not task.cancelled() and task.exception() is None:
        count_drop(COMPONENT, "answer_late")
