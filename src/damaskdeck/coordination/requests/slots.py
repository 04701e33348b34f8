"""Accounting of a target's slots and connections by its owner."""

import heapq
from collections.abc import Iterable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.errors import InvariantError
from damaskdeck.protocol.ports import Instance, InstanceState

# Shortest remaining time to report for a call that is still open, as it may be
# open past its deadline.
MIN_OPEN_TIME = timedelta(seconds=1)


class SlotPool:
    """The slots and connections of one target.

    A slot is *busy* while a call to the target is open. It is *held* while a call
    that is no longer open, or one of an earlier owner, may still run there. Busy and
    held slots are not assigned. Guarantee: "No instance is given more work than [it]
    can hold".

    :param target: declares its number of slots and connections.
    :ivar slot_limit: maximum number of slots to fill, by the target's health;
        ``None`` for all.
    """

    def __init__(self, target: Instance, clock: Clock) -> None:
        self.target = target
        self.busy = 0
        self.slot_limit: int | None = None
        self._clock = clock
        self._deadlines: dict[int, timedelta] = {}
        self._held: list[timedelta] = []
        self._inherited: dict[str, list[timedelta]] = {}
        self._last_number = 0

    @property
    def capacity(self) -> int:
        """Number of requests that the target can run at the same time."""
        return min(self.target.slots, self.target.connections)

    def count_free(self) -> int:
        """Return how many more requests may be sent to the target now."""
        if self._held:
            self._release_held()
        limit = self.capacity
        if self.slot_limit is not None:
            limit = min(limit, self.slot_limit)
        if self._inherited:
            limit -= self.count_inherited()
        return limit - self.busy - len(self._held)

    @property
    def is_open(self) -> bool:
        """Whether the target accepts new work once a slot is free."""
        return self.target.state is InstanceState.LIVE and self.slot_limit != 0

    def take(self, deadline: timedelta) -> int:
        """Take a slot; the caller has checked that one is free.

        :param deadline: when the call ends at the latest, on the monotonic clock.
        :returns: the number by which the slot is released.
        :raises InvariantError: when no slot is free.
        """
        if self.count_free() < 1:
            raise InvariantError(f"no free slot on {self.target.name}")
        self._last_number += 1
        self.busy += 1
        self._deadlines[self._last_number] = deadline
        return self._last_number

    def free(self, number: int) -> None:
        """Release a slot whose request has ended or never began.

        :raises InvariantError: when the slot was released before.
        """
        if self._deadlines.pop(number, None) is None:
            raise InvariantError(f"slot freed twice on {self.target.name}")
        self.busy -= 1

    def hold(self, number: int, until: timedelta) -> None:
        """Close a call whose request may still run on the target.

        :param until: when it must have ended, on the monotonic clock.
        """
        self.free(number)
        heapq.heappush(self._held, until)

    def inherit(self, origin: str, until: Iterable[timedelta]) -> None:
        """Hold slots for calls that an earlier owner may still have in progress.

        :param origin: the daemon that opened the calls, or an empty string.
        :param until: when the calls have ended; replaces what was inherited from
            ``origin`` before.
        """
        times = sorted(until)
        if times:
            self._inherited[origin] = times
        else:
            self._inherited.pop(origin, None)

    def count_inherited(self) -> int:
        """Return how many slots requests of earlier owners may still fill."""
        self._release_held()
        return sum(map(len, self._inherited.values()))

    def list_remaining(self, margin: timedelta) -> tuple[timedelta, ...]:
        """Return how long each slot that was filled here may stay filled.

        :param margin: added to the deadlines of calls that are still open.
        """
        now = self._clock.monotonic()
        self._release_held()
        least = now + MIN_OPEN_TIME
        busy = [max(time + margin, least) for time in self._deadlines.values()]
        return tuple(time - now for time in [*self._held, *busy])

    def list_inherited(self) -> dict[str, tuple[timedelta, ...]]:
        """Return how long inherited slots may stay filled, by the daemon of origin."""
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
