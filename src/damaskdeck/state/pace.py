"""A limit on how often something happens; the first after idle goes at once."""

from datetime import timedelta

from damaskdeck.clock import Clock


class Pace:
    """A token bucket that holds one token.

    :param interval: time between two tokens.
    """

    def __init__(self, clock: Clock, interval: timedelta) -> None:
        self._clock = clock
        self._interval = interval
        self._next = clock.monotonic()

    async def wait(self) -> None:
        """Wait for the next token and take it."""
        now = self._clock.monotonic()
        if now < self._next:
            await self._clock.sleep(self._next - now)
        self._next = max(self._clock.monotonic(), self._next) + self._interval
