"""Measurement of the event loop's delay.

On an overloaded instance, replies stay unread while the event loop is late. Without a
correction for this delay, the process would consider all its peers late and stop using
them at the very time it is overloaded.
"""

from datetime import timedelta

from damaskdeck.clock import Clock

MEASUREMENT_INTERVAL = timedelta(milliseconds=50)
# Share of an earlier delay that remains after each interval: a tenth after a second.
DECAY_FACTOR = 0.9
# Upper bound on the correction, because callers wait for 3 s and gangs with
# unconfirmed runs for 1 s.
MAX_DELAY = timedelta(milliseconds=500)


class LoopDelay:
    """Measures how late timers of the event loop fire.

    :ivar seconds: recent maximum of the delay, which decays over time.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    async def run(self, clock: Clock) -> None:
        """Measure until cancelled."""
        while True:
            before = clock.monotonic()
            await clock.sleep(MEASUREMENT_INTERVAL)
            self.record_lateness(clock.monotonic() - before - MEASUREMENT_INTERVAL)

    def record_lateness(self, lateness: timedelta) -> None:
        """Update the delay with how late a timer fired."""
        max_seconds = MAX_DELAY.total_seconds()
        decayed = DECAY_FACTOR * self.seconds
        self.seconds = min(max(lateness.total_seconds(), decayed), max_seconds)
