"""How long workers hold a poll that has nothing to tell.

Half of what an owner does between two events is to poll workers on which nothing has
changed. Ends are reported at once, however long a poll may be held.
"""

from datetime import timedelta

from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.delays import LoopDelay

# From this delay of the event loop on, polls are held longer in proportion to it.
PROMPT_SECONDS = 0.025


def choose_poll_wait(times: PoolTimes, delay: LoopDelay) -> timedelta:
    """Return for how long a worker may hold a poll.

    :param delay: of this process's event loop.
    """
    factor = max(1.0, delay.seconds / PROMPT_SECONDS)
    return min(factor * times.poll_wait, times.longest_poll_wait)
