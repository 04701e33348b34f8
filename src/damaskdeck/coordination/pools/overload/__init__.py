"""What an owner does while it has less processor time than there is to do.

It orders no more starts than its event loop can follow, the most urgent ones first but
for a share of those that have waited longest, and asks workers less often whether
anything has changed.
"""

from damaskdeck.coordination.pools.overload.pace import StartPace
from damaskdeck.coordination.pools.overload.polls import choose_poll_wait

__all__ = ["StartPace", "choose_poll_wait"]
