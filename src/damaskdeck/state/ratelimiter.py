"""Rate limiter for the writes of a ledger."""

from datetime import timedelta

from damaskdeck.clock import Clock


class RateLimiter:
    """Token bucket with a capacity of one token.

    The first call after an idle interval does not wait.

    :param interval: time between two tokens.
    """

    def __init__(self, clock: Clock, interval: timedelta) -> None:
        self._clock = clock
        self._interval = interval
        self._next_at = clock.monotonic()

    async def wait(self) -> None:
        """Wait for the next token and take it."""
        now = self._clock.monotonic()
        if now < self._next_at:
            await self._clock.sleep(self._next_at - now)
        self._next_at = max(self._clock.monotonic(), self._next_at) + self._interval
