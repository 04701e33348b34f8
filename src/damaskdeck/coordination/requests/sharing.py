"""Brings free slots of one daemon and requests that wait at another together."""

import functools
import random
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.attempts import Redirect
from damaskdeck.coordination.requests.lanes import Lane
from damaskdeck.coordination.requests.loads import LoadTable
from damaskdeck.coordination.requests.timers import Timers
from damaskdeck.protocol.forwarding import OfferSlots, ReportWaitingRequests
from damaskdeck.protocol.messages import Peers

OFFER_LIFE = timedelta(milliseconds=10)
TOLD_PAUSE = timedelta(milliseconds=2)
WAITING_LIFE = timedelta(milliseconds=500)
TOLD_LIMIT = 6

# Seconds from an offer to the request that it brings; slots that become free
# meanwhile are offered ahead.
AHEAD_TIME = 0.003


class _Waiting:
    """How many requests wait at a peer, as it said."""

    def __init__(self) -> None:
        self.count = 0
        self.time = timedelta()


class SlotSharing:
    """Says when requests wait here, and offers free slots to others.

    A request thus waits at one daemon only, and goes wherever a slot becomes
    free first. An offer reserves nothing: what comes too late waits at the
    owner for the next slot.
    """

    def __init__(
        self,
        peers: Peers,
        loads: LoadTable,
        clock: Clock,
        timers: Timers,
        get_lane: Callable[[str], Lane],
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._loads = loads
        self._clock = clock
        self._timers = timers
        self._get_lane = get_lane
        self._random = rng
        self._waiting: dict[str, dict[str, _Waiting]] = {}
        self._offers: dict[str, list[timedelta]] = {}
        self._told: dict[str, timedelta] = {}
        peers.register(ReportWaitingRequests, self._take_waiting)
        peers.register(OfferSlots, self._take_offer)

    def tell_waiting(self, lane: Lane) -> None:
        """Tell owners that requests wait here, now or after a short pause."""
        now = self._clock.monotonic()
        told = self._told.get(lane.service)
        if told is None or told + TOLD_PAUSE <= now:
            self._told[lane.service] = now
            self._send_waiting(lane)
        elif told <= now:
            self._told[lane.service] = told + TOLD_PAUSE
            tell = functools.partial(self._send_waiting, lane)
            self._timers.call_at(told + TOLD_PAUSE, tell)

    def _send_waiting(self, lane: Lane) -> None:
        if not len(lane.queue):
            return
        message = ReportWaitingRequests(service=lane.service, count=len(lane.queue))
        near = self._loads.list_owners(lane.service, near=True)
        far = self._loads.list_owners(lane.service, near=False)
        near = self._random.sample(near, min(TOLD_LIMIT, len(near)))
        far = self._random.sample(far, min(TOLD_LIMIT - len(near), len(far)))
        for instance in near + far:
            self._peers.send(instance, message, ReportWaitingRequests)

    def note_waiting(self, instance: str, service: str, count: int) -> None:
        """Learn how many requests wait at a peer."""
        waiting = self._waiting.setdefault(service, {})
        entry = waiting.get(instance)
        if entry is None:
            entry = waiting[instance] = _Waiting()
        entry.count = count
        entry.time = self._clock.monotonic()

    def count_arrived(self, service: str) -> None:
        """Count a request that came, perhaps after an offer."""
        offers = self._offers.get(service)
        if offers:
            offers.pop(0)

    def offer(self, lane: Lane) -> None:
        """Offer free slots to peers where requests wait, the longest queue first."""
        waiting = self._waiting.get(lane.service)
        if not waiting:
            return
        now = self._clock.monotonic()
        room = lane.count_room(AHEAD_TIME) - self._count_offers(lane.service, now)
        while room > 0:
            instance = self._find_longest(waiting, now)
            if instance is None:
                return
            count = min(room, waiting[instance].count)
            waiting[instance].count -= count
            room -= count
            message = OfferSlots(service=lane.service, count=count)
            if self._peers.send(instance, message, OfferSlots) is None:
                expiry = now + OFFER_LIFE
                self._offers.setdefault(lane.service, []).extend([expiry] * count)

    def _count_offers(self, service: str, now: timedelta) -> int:
        offers = self._offers.get(service)
        if not offers:
            return 0
        while offers and offers[0] <= now:
            offers.pop(0)
        return len(offers)

    def _find_longest(self, waiting: dict[str, _Waiting], now: timedelta) -> str | None:
        for name in [n for n, w in waiting.items() if now - w.time > WAITING_LIFE]:
            del waiting[name]
        name = max(waiting, key=lambda name: waiting[name].count, default=None)
        return name if name is not None and waiting[name].count > 0 else None

    async def _take_waiting(
        self, instance: str, message: ReportWaitingRequests
    ) -> None:
        self.note_waiting(instance, message["service"], message["count"])
        self.offer(self._get_lane(message["service"]))

    async def _take_offer(self, instance: str, message: OfferSlots) -> None:
        lane = self._get_lane(message["service"])
        count = message["count"]
        while count > 0:
            waiter = lane.queue.pop_local()
            if waiter is None:
                return
            if waiter.future.done():
                continue
            left = (waiter.give_up - self._clock.monotonic()).total_seconds()
            waiter.future.set_result(Redirect(instance, left))
            count -= 1
