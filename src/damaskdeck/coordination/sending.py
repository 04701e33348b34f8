"""Calls to own targets; each slot is given back on every path."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from damaskdeck.clock import Clock
from damaskdeck.coordination.attempts import (
    FREE_CODES,
    Course,
    Gone,
    NotRun,
    Place,
    Result,
)
from damaskdeck.coordination.lanes import name_thing
from damaskdeck.coordination.slots import SlotPool
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

PART = "targets"
FAILED_STATUS = 500
NO_FAULT = frozenset({"target_full", "target_leaving", "not_owner", "deadline_passed"})

# Called with the pool, its target's result, and the seconds in the slot.
ResultHandler = Callable[[SlotPool, Result, float], None]


class TargetSender:
    """Sends requests to own targets.

    A call goes on when its caller has gone: the slot is free only once the
    target has answered, and until then nobody else may have it.

    :param longest: no call is open for longer.
    :param margin: time after a call's deadline by which a target has stopped.
    :param on_result: called once a slot is given back or held.
    """

    def __init__(
        self,
        ownership: Ownership,
        targets: TargetPort,
        clock: Clock,
        longest: timedelta,
        margin: timedelta,
        on_result: ResultHandler,
    ) -> None:
        self._ownership = ownership
        self._targets = targets
        self._clock = clock
        self._longest = longest
        self._margin = margin
        self._on_result = on_result
        self._calls: set[asyncio.Task[Result]] = set()

    @property
    def open_calls(self) -> frozenset["asyncio.Task[Result]"]:
        """The calls that are open, those of callers that have gone among them."""
        return frozenset(self._calls)

    async def wait(self, call: "asyncio.Task[Result]") -> Result:
        """Wait for a call; when the caller goes, the call goes on."""
        try:
            return await asyncio.shield(call)
        except asyncio.CancelledError:
            if not call.done():
                call.add_done_callback(_drop_answer)
            raise

    def start(self, place: Place, course: Course) -> "asyncio.Task[Result]":
        """Begin a call to the target whose slot was taken."""
        attempt = course.begin_attempt(place.pool.target.name)
        task = asyncio.ensure_future(self._run(place, course, attempt))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return task

    async def _run(self, place: Place, course: Course, attempt: int) -> Result:
        pool = place.pool
        now = self._clock.monotonic()
        timeout = min(course.deadline - now, self._longest)
        owned = self._ownership.get_epoch(name_thing(pool.target.name)) is not None
        if not owned or timeout <= timedelta():
            pool.free(place.number)
            code = "deadline_passed" if owned else "not_owner"
            result = NotRun(code, is_free=not owned)
            self._on_result(pool, result, 0.0)
            return result
        course.is_sent = True
        until = now + timeout + self._margin
        answer: Any = Lost("broken_off")
        try:
            request = course.request
            call = TargetCall(
                request.identifier, attempt, request.body, request.content_type
            )
            answer = await self._targets.send(pool.target, call, timeout)
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
            return Gone(answer.code)
        if (answer.request, answer.attempt) != (call.request, call.attempt):
            pool.hold(place.number, until)
            count_drop(PART, "answer_crossed")
            return Gone("answer_crossed")
        pool.free(place.number)
        if answer.status >= FAILED_STATUS:
            return Failed(f"status_{answer.status}")
        return Completed(answer.body, answer.content_type)


def is_fault(result: Result) -> bool:
    """Tell whether a result speaks against the target."""
    if isinstance(result, Completed):
        return False
    return not (isinstance(result, NotRun) and result.code in NO_FAULT)


def _drop_answer(task: "asyncio.Task[Result]") -> None:
    if not task.cancelled() and task.exception() is None:
        count_drop(PART, "caller_gone")
