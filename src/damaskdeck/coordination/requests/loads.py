"""Loads of the other owners, as reported, and the choice among them."""

import math
import random
from datetime import timedelta
from typing import NamedTuple

import msgspec

from damaskdeck.clock import Clock
from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.logs import get_logger
from damaskdeck.protocol.forwarding import ServiceLoad
from damaskdeck.protocol.members import Members

TOPIC = "load"
MAX_REPORT_BYTES = 4096

# Weight of one report in the moving average of the free slots.
_AVERAGE_WEIGHT = 0.2
_MIN_SERVICE_TIME_SECONDS = 0.001

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(dict[str, ServiceLoad])
_log = get_logger("routing")


class LoadView:
    """An owner's reported load of one service.

    :ivar time: when the load was received, on the monotonic clock.
    :ivar average_free: moving average of the free slots over the owner's reports.
    :ivar sent: requests sent to the owner since its last report.
    """

    __slots__ = ("average_free", "instance", "load", "sent", "time")

    def __init__(self, instance: str, load: ServiceLoad, time: timedelta) -> None:
        self.instance = instance
        self.load = load
        self.time = time
        self.average_free = float(load["free"])
        self.sent = 0

    def update(self, load: ServiceLoad, time: timedelta) -> None:
        """Apply a newer load."""
        self.load = load
        self.time = time
        self.sent = 0
        self.average_free += _AVERAGE_WEIGHT * (load["free"] - self.average_free)

    def estimate_free(self, now: timedelta) -> float:
        """Return the expected number of free slots less the waiting requests.

        The weight of the report decays with its age relative to the service time, in
        which the slots change hands; the moving average takes its place.
        """
        load = self.load
        age = (now - self.time).total_seconds()
        weight = math.exp(-age / max(load["service_time"], _MIN_SERVICE_TIME_SECONDS))
        known = load["free"] - load["queued"]
        return weight * known + (1 - weight) * self.average_free - self.sent

    def estimate_wait(self, free: float) -> float:
        """Return how many seconds a new request would wait there.

        :param free: result of :meth:`estimate_free`.
        """
        load = self.load
        missing = max(0.0, 1 - free)
        return missing * load["service_time"] / load["slots"]


class PeerChoice(NamedTuple):
    """A daemon to forward a request to.

    :param free: its expected number of free slots.
    :param wait: seconds that a new request is expected to wait there.
    :param is_same_zone: whether it is in this availability zone.
    """

    instance: str
    free: float
    wait: float
    is_same_zone: bool


class LoadTable:
    """Loads of the other owners, by service.

    :param rng: draws the two owners to choose from.
    """

    def __init__(self, members: Members, clock: Clock, rng: random.Random) -> None:
        self._members = members
        self._clock = clock
        self._random = rng
        self._views: dict[str, dict[str, LoadView]] = {}
        self._same_zone: dict[str, list[LoadView]] = {}
        self._other_zones: dict[str, list[LoadView]] = {}

    def publish(self, loads: dict[str, ServiceLoad]) -> None:
        """Attach the own loads to the next heartbeats, the largest first.

        The smallest are left out if the report would exceed ``MAX_REPORT_BYTES``.
        """
        ranked = sorted(loads.items(), key=lambda item: -item[1]["slots"])
        value = _encoder.encode(dict(ranked))
        while len(value) > MAX_REPORT_BYTES:
            ranked = ranked[: len(ranked) * MAX_REPORT_BYTES // len(value)]
            value = _encoder.encode(dict(ranked))
        self._members.publish(TOPIC, value)

    def refresh(self) -> None:
        """Read the reports of the live members."""
        own = self._members.self
        zones = {member.name: member.zone for member in self._members.list_live()}
        for name, report in self._members.read_reports(TOPIC).items():
            if name != own.name and name in zones:
                self._merge_report(name, report.value, report.received)
        self._same_zone, self._other_zones = {}, {}
        for service, views in self._views.items():
            for name in [name for name in views if name not in zones]:
                del views[name]
            for name, view in views.items():
                by_service = (
                    self._same_zone if zones[name] == own.zone else self._other_zones
                )
                by_service.setdefault(service, []).append(view)

    def record(self, instance: str, service: str, load: ServiceLoad) -> None:
        """Record a load from a reply."""
        self._update_view(instance, service, load, self._clock.monotonic())

    def count_sent(self, instance: str, service: str) -> None:
        """Count a request that was just sent to an owner."""
        view = self._views.get(service, {}).get(instance)
        if view is not None:
            view.sent += 1

    def choose(
        self, service: str, avoided: frozenset[str], same_zone: bool = True
    ) -> PeerChoice | None:
        """Draw two owners at random and return the better one.

        :param same_zone: choose from this availability zone, else from all others.
        """
        by_service = self._same_zone if same_zone else self._other_zones
        views = by_service.get(service, ())
        now = self._clock.monotonic()
        views = [
            view
            for view in views
            if view.load["slots"] and view.instance not in avoided
        ]
        if not views:
            return None
        best, free = views[0], -math.inf
        for view in self._draw(views):
            estimate = view.estimate_free(now)
            if estimate > free:
                best, free = view, estimate
        return PeerChoice(best.instance, free, best.estimate_wait(free), same_zone)

    def _draw(self, views: list[LoadView]) -> list[LoadView]:
        """Draw two of the views at random."""
        count = len(views)
        if count <= 2:
            return views
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        return [views[first], views[second + (second >= first)]]

    def list_owners(self, service: str, same_zone: bool) -> list[str]:
        """List the live daemons that have slots of a service."""
        by_service = self._same_zone if same_zone else self._other_zones
        return [v.instance for v in by_service.get(service, ()) if v.load["slots"]]

    def list_same_zone(self, service: str) -> list[ServiceLoad]:
        """List the loads of the other owners of this availability zone."""
        return [view.load for view in self._same_zone.get(service, ())]

    def mark_unavailable(self, instance: str) -> None:
        """Exclude a daemon from the choice until its next report."""
        for views in self._views.values():
            if instance in views:
                views[instance].load = ServiceLoad(
                    **{**views[instance].load, "slots": 0}
                )

    def _merge_report(self, name: str, value: bytes, received: timedelta) -> None:
        try:
            loads = _decoder.decode(value)
        except DECODE_ERRORS as error:
            _log.warn("A load report is invalid.", member=name, error=str(error))
            return
        for service, load in loads.items():
            self._update_view(name, service, load, received)

    def _update_view(
        self, instance: str, service: str, load: ServiceLoad, time: timedelta
    ) -> None:
        views = self._views.setdefault(service, {})
        view = views.get(instance)
        if view is None:
            views[instance] = LoadView(instance, load, time)
        elif view.time < time:
            view.update(load, time)
