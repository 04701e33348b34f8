"""What this daemon knows of the other owners' loads, and the choice among them."""

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
REPORT_LIMIT = 4096

_AVERAGE_WEIGHT = 0.2
_LEAST_TIME = 0.001

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(dict[str, ServiceLoad])
_log = get_logger("routing")


class LoadView:
    """One owner's load of one service, with the age of what is known.

    :ivar average: of the free slots over the owner's reports.
    :ivar sent: requests sent to the owner since it reported.
    """

    __slots__ = ("average", "instance", "load", "sent", "time")

    def __init__(self, instance: str, load: ServiceLoad, time: timedelta) -> None:
        self.instance = instance
        self.load = load
        self.time = time
        self.average = float(load["free"])
        self.sent = 0

    def update(self, load: ServiceLoad, time: timedelta) -> None:
        """Take a newer load."""
        self.load = load
        self.time = time
        self.sent = 0
        self.average += _AVERAGE_WEIGHT * (load["free"] - self.average)

    def estimate_free(self, now: timedelta) -> float:
        """Return the expected free slots less the requests that wait.

        What was reported counts for less as it grows older than the time in
        which the slots change hands; the average takes its place.
        """
        load = self.load
        age = (now - self.time).total_seconds()
        weight = math.exp(-age / max(load["service_time"], _LEAST_TIME))
        known = load["free"] - load["queued"]
        return weight * known + (1 - weight) * self.average - self.sent

    def estimate_wait(self, free: float) -> float:
        """Return how many seconds a newcomer would wait there.

        :param free: what :meth:`estimate_free` said.
        """
        load = self.load
        missing = max(0.0, 1 - free)
        return missing * load["service_time"] / load["slots"]


class Choice(NamedTuple):
    """A daemon to send a request to.

    :param free: slots that it is expected to have free.
    :param wait: seconds that a newcomer is expected to wait there.
    """

    instance: str
    free: float
    wait: float
    is_near: bool


class LoadTable:
    """Loads of the other owners by service.

    :param rng: draws the two to choose from.
    """

    def __init__(self, members: Members, clock: Clock, rng: random.Random) -> None:
        self._members = members
        self._clock = clock
        self._random = rng
        self._views: dict[str, dict[str, LoadView]] = {}
        self._near: dict[str, list[LoadView]] = {}
        self._far: dict[str, list[LoadView]] = {}

    def publish(self, loads: dict[str, ServiceLoad]) -> None:
        """Attach the own loads to the next heartbeats, the largest first."""
        ranked = sorted(loads.items(), key=lambda item: -item[1]["slots"])
        value = _encoder.encode(dict(ranked))
        while len(value) > REPORT_LIMIT:
            ranked = ranked[: len(ranked) * REPORT_LIMIT // len(value)]
            value = _encoder.encode(dict(ranked))
        self._members.publish(TOPIC, value)

    def refresh(self) -> None:
        """Read the reports of the live members."""
        own = self._members.self
        zones = {member.name: member.zone for member in self._members.list_live()}
        for name, report in self._members.read_reports(TOPIC).items():
            if name != own.name and name in zones:
                self._read(name, report.value, report.received)
        self._near, self._far = {}, {}
        for service, views in self._views.items():
            for name in [name for name in views if name not in zones]:
                del views[name]
            for name, view in views.items():
                side = self._near if zones[name] == own.zone else self._far
                side.setdefault(service, []).append(view)

    def note(self, instance: str, service: str, load: ServiceLoad) -> None:
        """Learn a load from a reply."""
        self._put(instance, service, load, self._clock.monotonic())

    def count_sent(self, instance: str, service: str) -> None:
        """Count a request that was just sent to an owner."""
        view = self._views.get(service, {}).get(instance)
        if view is not None:
            view.sent += 1

    def choose(
        self, service: str, avoided: frozenset[str], near: bool = True
    ) -> Choice | None:
        """Draw two owners and return the better one.

        :param near: of this availability zone, else of all others.
        """
        side = self._near if near else self._far
        views = side.get(service, ())
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
        return Choice(best.instance, free, best.estimate_wait(free), near)

    def _draw(self, views: list[LoadView]) -> list[LoadView]:
        """Draw two of them."""
        count = len(views)
        if count <= 2:
            return views
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        return [views[first], views[second + (second >= first)]]

    def list_owners(self, service: str, near: bool) -> list[str]:
        """List the live daemons that have slots of a service."""
        side = self._near if near else self._far
        return [v.instance for v in side.get(service, ()) if v.load["slots"]]

    def list_near(self, service: str) -> list[ServiceLoad]:
        """List the loads of this availability zone's other owners."""
        return [view.load for view in self._near.get(service, ())]

    def forget(self, instance: str) -> None:
        """Don't choose a daemon before its next report."""
        for views in self._views.values():
            if instance in views:
                views[instance].load = ServiceLoad(
                    **{**views[instance].load, "slots": 0}
                )

    def _read(self, name: str, value: bytes, received: timedelta) -> None:
        try:
            loads = _decoder.decode(value)
        except DECODE_ERRORS as error:
            _log.warn("A load report is unreadable.", member=name, error=str(error))
            return
        for service, load in loads.items():
            self._put(name, service, load, received)

    def _put(
        self, instance: str, service: str, load: ServiceLoad, time: timedelta
    ) -> None:
        views = self._views.setdefault(service, {})
        view = views.get(instance)
        if view is None:
            views[instance] = LoadView(instance, load, time)
        elif view.time < time:
            view.update(load, time)
