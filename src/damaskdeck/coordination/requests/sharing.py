"""Matching of waiting requests on one daemon with free slots on others."""

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

OFFER_TTL = timedelta(milliseconds=10)
ANNOUNCE_INTERVAL = timedelta(milliseconds=2)
WAITING_TTL = timedelta(milliseconds=500)
ANNOUNCE_PEER_LIMIT = 6

# Seconds from an offer until its request arrives; slots that become free in the
# meantime are offered in advance.
OFFER_LEAD_SECONDS = 0.003


class _PeerQueue:
    """Number of requests that wait at a peer, as last reported."""

    def __init__(self) -> None:
        self.count = 0
        self.time = timedelta()


class SlotSharing:
    """Announces requests that wait here, and offers free slots to peers.

    A request thus waits at one daemon only, and goes wherever a slot becomes free
    first. An offer reserves nothing: a request that arrives too late waits at the
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
        self._waiting: dict[str, dict[str, _PeerQueue]] = {}
        self._offers: dict[str, list[timedelta]] = {}
        self._announced_at: dict[str, timedelta] = {}
        peers.register(ReportWaitingRequests, self._handle_waiting)
        peers.register(OfferSlots, self._handle_offer)

    def announce_waiting(self, lane: Lane) -> None:
        """Notify owners that requests wait here, at once or after a short delay."""
        now = self._clock.monotonic()
        announced_at = self._announced_at.get(lane.service)
        if announced_at is None or announced_at + ANNOUNCE_INTERVAL <= now:
            self._announced_at[lane.service] = now
            self._send_waiting(lane)
        elif announced_at <= now:
            self._announced_at[lane.service] = announced_at + ANNOUNCE_INTERVAL
            announce = functools.partial(self._send_waiting, lane)
            self._timers.call_at(announced_at + ANNOUNCE_INTERVAL, announce)

    def _send_waiting(self, lane: Lane) -> None:
        if not len(lane.queue):
            return
        message = ReportWaitingRequests(service=lane.service, count=len(lane.queue))
        same_zone = self._loads.list_owners(lane.service, same_zone=True)
        other_zones = self._loads.list_owners(lane.service, same_zone=False)
        same_zone = self._random.sample(
            same_zone, min(ANNOUNCE_PEER_LIMIT, len(same_zone))
        )
        other_zones = self._random.sample(
            other_zones, min(ANNOUNCE_PEER_LIMIT - len(same_zone), len(other_zones))
        )
        for instance in same_zone + other_zones:
            self._peers.send(instance, message, ReportWaitingRequests)

    def record_waiting(self, instance: str, service: str, count: int) -> None:
        """Record how many requests wait at a peer."""
        waiting = self._waiting.setdefault(service, {})
        entry = waiting.get(instance)
        if entry is None:
            entry = waiting[instance] = _PeerQueue()
        entry.count = count
        entry.time = self._clock.monotonic()

    def consume_offer(self, service: str) -> None:
        """Count an arrived request against the open offers, if there are any."""
        offers = self._offers.get(service)
        if offers:
            offers.pop(0)

    def offer(self, lane: Lane) -> None:
        """Offer free slots to peers with waiting requests, the longest queue first."""
        waiting = self._waiting.get(lane.service)
        if not waiting:
            return
        now = self._clock.monotonic()
        available = lane.count_available(OFFER_LEAD_SECONDS) - self._count_offers(
            lane.service, now
        )
        while available > 0:
            instance = self._find_longest_queue(waiting, now)
            if instance is None:
                return
            count = min(available, waiting[instance].count)
            waiting[instance].count -= count
            available -= count
            message = OfferSlots(service=lane.service, count=count)
            if self._peers.send(instance, message, OfferSlots) is None:
                expiry = now + OFFER_TTL
                self._offers.setdefault(lane.service, []).extend([expiry] * count)

    def _count_offers(self, service: str, now: timedelta) -> int:
        offers = self._offers.get(service)
        if not offers:
            return 0
        while offers and offers[0] <= now:
            offers.pop(0)
        return len(offers)

    def _find_longest_queue(
        self, waiting: dict[str, _PeerQueue], now: timedelta
    ) -> str | None:
        for name in [n for n, w in waiting.items() if now - w.time > WAITING_TTL]:
            del waiting[name]
        name = max(waiting, key=lambda name: waiting[name].count, default=None)
        return name if name is not None and waiting[name].count > 0 else None

    async def _handle_waiting(
        self, instance: str, message: ReportWaitingRequests
    ) -> None:
        self.record_waiting(instance, message["service"], message["count"])
        self.offer(self._get_lane(message["service"]))

    async def _handle_offer(self, instance: str, message: OfferSlots) -> None:
        lane = self._get_lane(message["service"])
        count = message["count"]
        while count > 0:
            waiter = lane.queue.pop_local()
            if waiter is None:
                return
            if waiter.future.done():
                continue
            remaining = (waiter.latest_start - self._clock.monotonic()).total_seconds()
            waiter.future.set_result(Redirect(instance, remaining))
            count -= 1
