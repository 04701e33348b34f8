"""How late this process is: the delay of its event loop.

On an instance that is behind, answers lie unread for as long as the loop is late. Who
takes that for the lateness of others stops working with all of them just then.
"""

from datetime import timedelta

from damaskdeck.clock import Clock

INTERVAL = timedelta(milliseconds=50)
# What a delay still counts for after each interval: a tenth of it after a second.
KEPT_SHARE = 0.9
# A delay is allowed for up to this: callers wait for 3 s, and gangs that are in doubt
# for 1 s.
LONGEST = timedelta(milliseconds=500)


class LoopDelay:
    """Measures how late timers come.

    :ivar seconds: by how much, of late.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    async def run(self, clock: Clock) -> None:
        """Measure until cancelled."""
        while True:
            before = clock.monotonic()
            await clock.sleep(INTERVAL)
            self.note(clock.monotonic() - before - INTERVAL)

    def note(self, late: timedelta) -> None:
        """Take note of how late a timer came."""
        longest = LONGEST.total_seconds()
        kept = KEPT_SHARE * self.seconds
        self.seconds = min(max(late.total_seconds(), kept), longest)
