"""A minimal router for comparison: random targets, no owners, retries of everything."""

import asyncio
from datetime import timedelta
from random import Random

from damaskdeck.clock import Clock
from damaskdeck.protocol.handlers import ServiceRequest
from damaskdeck.protocol.outcomes import Completed, Failed, Outcome, Refused
from damaskdeck.protocol.ports import Instance, TargetAnswer, TargetCall, TargetPort

RETRY_PAUSE = timedelta(milliseconds=5)


class NaiveRouter:
    """Implements ``RequestHandler`` without any of its guarantees.

    :param instances: all targets, of all availability zones.
    :param pause: longest time between two attempts.
    """

    def __init__(
        self,
        instances: tuple[Instance, ...],
        targets: TargetPort,
        clock: Clock,
        rng: Random,
        pause: timedelta = RETRY_PAUSE,
    ) -> None:
        self._instances = instances
        self._targets = targets
        self._clock = clock
        self._random = rng
        self._pause = pause

    async def handle_request(self, request: ServiceRequest) -> Outcome:
        """Try random targets until one answers or the time is up."""
        deadline = self._clock.monotonic() + request.timeout
        attempt = 0
        while True:
            left = deadline - self._clock.monotonic()
            if left <= timedelta():
                return Refused("no_slot")
            attempt += 1
            answer = await self._send(request, attempt, left)
            if answer is not None:
                return answer
            await self._clock.sleep(self._pause * self._random.random())

    async def _send(
        self, request: ServiceRequest, attempt: int, left: timedelta
    ) -> Outcome | None:
        target = self._random.choice(self._instances)
        call = TargetCall(request.identifier, attempt, request.body)
        try:
            answer = await self._targets.send(target, call, left)
        except asyncio.CancelledError:
            return Refused("cancelled")
        if not isinstance(answer, TargetAnswer):
            return None
        if answer.status >= 500:
            return Failed(f"status_{answer.status}")
        return Completed(answer.body, answer.content_type)
