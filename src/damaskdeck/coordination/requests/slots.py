"""Exact accounting of a target's slots and connections, by its owner."""

import heapq
from collections.abc import Iterable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.errors import InvariantError
from damaskdeck.protocol.ports import Instance, InstanceState

# A call that is open still, past its deadline even, stays so for a while.
OPEN_TIME = timedelta(seconds=1)


class SlotPool:
    """The slots and connections of one target.

    A slot is *busy* while a call to the target is open, and *held* while a call
    that is no longer open, or an earlier owner's, may still run there. Neither
    is given out. Promise: "No instance is given more work than [it] can hold".

    :param target: says how many slots and connections it bears.
    :ivar allowance: fill no more slots than this, as its health allows;
        ``None`` for all.
    """

    def __init__(self, target: Instance, clock: Clock) -> None:
        self.target = target
        self.busy = 0
        self.allowance: int | None = None
        self._clock = clock
        self._deadlines: dict[int, timedelta] = {}
        self._held: list[timedelta] = []
        self._inherited: dict[str, list[timedelta]] = {}
        self._count = 0

    @property
    def capacity(self) -> int:
        """Requests that the target bears at a time."""
        return min(self.target.slots, self.target.connections)

    def count_free(self) -> int:
        """Return how many more requests may be sent to the target now."""
        if self._held:
            self._release_held()
        limit = self.capacity
        if self.allowance is not None:
            limit = min(limit, self.allowance)
        if self._inherited:
            limit -= self.count_inherited()
        return limit - self.busy - len(self._held)

    @property
    def is_open(self) -> bool:
        """Whether the target takes new work once a slot is free."""
        return self.target.state is InstanceState.LIVE and self.allowance != 0

    def take(self, deadline: timedelta) -> int:
        """Take a slot; the caller has seen that one is free.

        :param deadline: when the call ends at the latest, on the monotonic clock.
        :returns: a number to give it back by.
        """
        if self.count_free() < 1:
            raise InvariantError(f"no free slot on {self.target.name}")
        self._count += 1
        self.busy += 1
        self._deadlines[self._count] = deadline
        return self._count

    def free(self, number: int) -> None:
        """Give back a slot whose request has ended or never began."""
        if self._deadlines.pop(number, None) is None:
            raise InvariantError(f"slot freed twice on {self.target.name}")
        self.busy -= 1

    def hold(self, number: int, until: timedelta) -> None:
        """End a call whose request may still run on the target.

        :param until: when it must have ended, on the monotonic clock.
        """
        self.free(number)
        heapq.heappush(self._held, until)

    def inherit(self, origin: str, until: Iterable[timedelta]) -> None:
        """Hold slots for what an earlier owner may still have in progress.

        :param origin: the daemon that opened the calls, or an empty string.
        :param until: takes the place of what was inherited from ``origin``.
        """
        times = sorted(until)
        if times:
            self._inherited[origin] = times
        else:
            self._inherited.pop(origin, None)

    def count_inherited(self) -> int:
        """Return how many slots earlier owners' requests may still fill."""
        self._release_held()
        return sum(map(len, self._inherited.values()))

    def list_remaining(self, margin: timedelta) -> tuple[timedelta, ...]:
        """Return how long each slot filled from here may stay so.

        :param margin: added to the deadlines of calls that are still open.
        """
        now = self._clock.monotonic()
        self._release_held()
        least = now + OPEN_TIME
        busy = [max(time + margin, least) for time in self._deadlines.values()]
        return tuple(time - now for time in [*self._held, *busy])

    def list_inherited(self) -> dict[str, tuple[timedelta, ...]]:
        """Return how long slots may stay filled, by the daemons that filled them."""
        now = self._clock.monotonic()
        self._release_held()
        return {
            origin: tuple(time - now for time in times)
            for origin, times in self._inherited.items()
        }

    def _release_held(self) -> None:
        now = self._clock.monotonic()
        while self._held and self._held[0] <= now:
            heapq.heappop(self._held)
        for origin, times in list(self._inherited.items()):
            self.inherit(origin, [time for time in times if time > now])
