"""Calls to own targets; each slot is given back on every path."""

import asyncio
import functools
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.attempts import (
    FREE_CODES,
    AnswerLost,
    NotRun,
    Place,
    RequestContext,
    Result,
)
from damaskdeck.coordination.requests.lanes import name_thing
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
FAILED_STATUS = 500
NO_FAULT = frozenset({"target_full", "target_leaving", "not_owner", "deadline_passed"})

# Called with the pool, its target's result, and the seconds in the slot.
ResultHandler = Callable[[SlotPool, Result, float], None]


class TargetSender:
    """Sends requests to own targets.

    A call goes on when its caller has gone or its deadline has passed: the slot
    is free only once the target has answered, and until then nobody else may
    have it.

    :param max_call_time: no request runs on a target for longer, nor is a call open.
    :param margin: added to ``max_call_time`` where a slot must be free without an
        answer.
    :param on_result: called once a slot is given back or held.
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
        self._longest = max_call_time
        self._margin = margin
        self._timers = timers
        self._on_result = on_result
        self._calls: set[asyncio.Task[Result]] = set()

    @property
    def open_calls(self) -> frozenset["asyncio.Task[Result]"]:
        """The calls that are open, those of callers that have gone among them."""
        return frozenset(self._calls)

    async def wait(self, call: "asyncio.Task[Result]", until: timedelta) -> Result:
        """Wait for a call, which goes on when its caller goes or time is up.

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

    def start(self, place: Place, course: RequestContext) -> "asyncio.Task[Result]":
        """Begin a call to the target whose slot was taken."""
        attempt = course.begin_attempt(place.pool.target.name)
        return start_task(self._run(place, course, attempt), self._calls)

    async def _run(self, place: Place, course: RequestContext, attempt: int) -> Result:
        pool = place.pool
        now = self._clock.monotonic()
        in_time = now < course.deadline
        owned = self._ownership.get_epoch(name_thing(pool.target.name)) is not None
        if not (owned and in_time):
            pool.free(place.number)
            code = "deadline_passed" if owned else "not_owner"
            result = NotRun(code, is_free=not owned)
            self._on_result(pool, result, 0.0)
            return result
        course.is_sent = True
        until = now + self._longest + self._margin
        answer: Any = Lost("broken_off")
        try:
            request = course.request
            call = TargetCall(
                request.identifier, attempt, request.body, request.content_type
            )
            answer = await self._targets.send(pool.target, call, self._longest)
        finally:
            result = self._settle(place, call, answer, until)
            spent = (self._clock.monotonic() - now).total_seconds()
            self._on_result(pool, result, spent)
        return result

    def _settle(
        self,
        place: Place,
        call: TargetCall,
        answer: TargetAnswer | Rejected | Lost,
        until: timedelta,
    ) -> Result:
        pool = place.pool
        if isinstance(answer, Rejected):
            pool.free(place.number)
            return NotRun(answer.code, is_free=answer.code in FREE_CODES)
        if isinstance(answer, Lost):
            pool.hold(place.number, until)
            return AnswerLost(answer.code)
        if (answer.request, answer.attempt) != (call.request, call.attempt):
            pool.hold(place.number, until)
            count_drop(COMPONENT, "answer_crossed")
            return AnswerLost("answer_crossed")
        pool.free(place.number)
        if answer.status >= FAILED_STATUS:
            return Failed(f"status_{answer.status}")
        return Completed(answer.body, answer.content_type)


def is_fault(result: Result) -> bool:
    """Tell whether a result speaks against the target."""
    if isinstance(result, Completed):
        return False
    return not (isinstance(result, NotRun) and result.code in NO_FAULT)


def _finish(answer: "asyncio.Future[None]", *_: object) -> None:
    if not answer.done():
        answer.set_result(None)


def _drop_answer(task: "asyncio.Task[Result]") -> None:
    if not task.cancelled() and task.exception() is None:
        count_drop(COMPONENT, "answer_late")
