"""Targets, arrivals and routers in virtual time, for the requests benchmark."""

import asyncio
import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import NamedTuple, Protocol

from damaskdeck.protocol.handlers import RequestHandler, ServiceRequest
from damaskdeck.protocol.outcomes import Completed, Outcome, Refused
from damaskdeck.protocol.ports import (
    Instance,
    InstanceRole,
    Lost,
    Rejected,
    TargetAnswer,
    TargetCall,
    TargetPort,
    Written,
)
from damaskdeck.protocol.resources import Urgency
from standins.loops import LoopClock
from standins.requests import (
    FAR_DELAY,
    NEAR_DELAY,
    SERVICE,
    Layout,
    RequestDeployment,
)
from tests.naive_router import RETRY_PAUSE, NaiveRouter

NAIROBI = Layout(zones=3, entries=2, targets=8, slots=8, connections=64)
MEAN_TIME = 0.05
TEAMS = 8
URGENT_SHARE = 0.1
LAZY_PAUSE = timedelta(milliseconds=200)


class Arrival(NamedTuple):
    """A request of the workload.

    :param time: seconds from the start.
    :param duration: seconds that it takes in a slot, wherever it runs.
    """

    name: str
    time: float
    duration: float
    entry: int
    team: str
    urgency: Urgency
    timeout: timedelta


class Run(NamedTuple):
    """What became of a workload.

    :param waits: seconds from arrival to the start in a slot, by request.
    :param calls: sends to targets, and messages between daemons.
    """

    waits: dict[str, float]
    outcomes: dict[str, Outcome]
    answered: dict[str, float]
    calls: Counter[str]


class Start(Protocol):
    """Makes the request handlers of all entries."""

    async def __call__(self, targets: "SimulatedTargets") -> list[RequestHandler]:
        """Return a handler for each entry."""


def compute_capacity() -> float:
    """Return how many requests all slots complete in a second."""
    return NAIROBI.zones * NAIROBI.targets * NAIROBI.slots / MEAN_TIME


def make_arrivals(
    load: float, count: int, seed: int, timeout: float = 1.0
) -> list[Arrival]:
    """Draw Poisson arrivals with exponential times in a slot.

    :param load: share of what all slots can do.
    """
    source = Random(seed)
    rate = load * compute_capacity()
    arrivals, time = [], 0.0
    for number in range(count):
        time += source.expovariate(rate)
        is_urgent = source.random() < URGENT_SHARE
        arrivals.append(
            Arrival(
                f"r{number}",
                time,
                source.expovariate(1 / MEAN_TIME),
                source.randrange(NAIROBI.zones * NAIROBI.entries),
                f"team-{source.randrange(TEAMS)}",
                Urgency.URGENT if is_urgent else Urgency.NORMAL,
                timedelta(seconds=timeout),
            )
        )
    return arrivals


class SimulatedTargets:
    """All targets of a deployment; a full one refuses."""

    def __init__(self, arrivals: list[Arrival]) -> None:
        self.durations = {arrival.name: arrival.duration for arrival in arrivals}
        self.running: Counter[str] = Counter()
        self.starts: dict[str, float] = {}
        self.calls: Counter[str] = Counter()

    def connect(self, zone: str) -> "TargetsOfZone":
        """Return the way to all targets from one availability zone."""
        return TargetsOfZone(self, zone)


class TargetsOfZone:
    """Implements ``TargetPort`` with the delays between availability zones."""

    def __init__(self, targets: SimulatedTargets, zone: str) -> None:
        self._targets = targets
        self._zone = zone

    async def send(
        self, target: Instance, call: TargetCall, timeout: timedelta
    ) -> TargetAnswer | Rejected | Lost:
        """Run a request for its duration."""
        targets = self._targets
        targets.calls["sends"] += 1
        is_near = target.zone == self._zone
        delay = (NEAR_DELAY if is_near else FAR_DELAY).total_seconds()
        await asyncio.sleep(delay)
        if targets.running[target.name] >= target.slots:
            targets.calls["refused"] += 1
            await asyncio.sleep(delay)
            return Rejected("target_full")
        targets.running[target.name] += 1
        loop = asyncio.get_running_loop()
        targets.starts[call.request] = loop.time()
        await asyncio.sleep(targets.durations[call.request])
        targets.running[target.name] -= 1
        await asyncio.sleep(delay)
        return TargetAnswer(call.request, call.attempt, 200, b"")

    async def probe(
        self, target: Instance, timeout: timedelta
    ) -> Written | Rejected | Lost:
        """Tell that the target lives."""
        return Written(0)


class Deployed:
    """Starts our routers; may be asked for them afterwards."""

    def __init__(self) -> None:
        self.deployment: RequestDeployment | None = None

    async def __call__(self, targets: SimulatedTargets) -> list[RequestHandler]:
        """Return a router for each entry."""

        def connect(name: str) -> TargetsOfZone:
            return targets.connect("zone-" + name.split("-")[1])

        deployment = RequestDeployment(LoopClock(), NAIROBI, connect=connect)
        self.deployment = deployment
        await deployment.start()
        return list(deployment.routers.values())

    def stop(self) -> Counter[str]:
        """End the routers' loops; returns how many messages they exchanged."""
        if self.deployment is None:
            return Counter()
        for name in self.deployment.routers:
            self.deployment.stop_entry(name)
        return Counter(messages=sum(self.deployment.switch.messages.values()))


async def start_naive(targets: SimulatedTargets) -> list[RequestHandler]:
    """Return a naive router for each entry."""
    return make_naive(targets, RETRY_PAUSE)


async def start_lazy(targets: SimulatedTargets) -> list[RequestHandler]:
    """Return naive routers that try less often, as overload would take hours."""
    return make_naive(targets, LAZY_PAUSE)


def make_naive(targets: SimulatedTargets, pause: timedelta) -> list[RequestHandler]:
    """Make a naive router for each entry."""
    clock = LoopClock()
    instances = RequestDeployment(clock, NAIROBI).fleet.list(InstanceRole.TARGET)
    return [
        NaiveRouter(
            instances, targets.connect(f"zone-{zone}"), clock, Random(number), pause
        )
        for zone in range(NAIROBI.zones)
        for number in range(NAIROBI.entries)
    ]


async def start_direct(targets: SimulatedTargets) -> list[RequestHandler]:
    """Return handlers that do nothing but send to a target of their zone."""
    deployment = RequestDeployment(LoopClock(), NAIROBI)
    return [
        DirectPath(
            deployment.fleet.list(InstanceRole.TARGET, zone), targets.connect(zone)
        )
        for zone in (f"zone-{number}" for number in range(NAIROBI.zones))
        for _ in range(NAIROBI.entries)
    ]


class DirectPath:
    """Sends each request to the next target, however full it is."""

    def __init__(self, instances: tuple[Instance, ...], targets: TargetPort) -> None:
        self._instances = itertools.cycle(instances)
        self._targets = targets

    async def handle_request(self, request: ServiceRequest) -> Outcome:
        """Send a request and return what came back."""
        call = TargetCall(request.identifier, 1, request.body)
        answer = await self._targets.send(next(self._instances), call, request.timeout)
        if isinstance(answer, TargetAnswer):
            return Completed(answer.body, answer.content_type)
        return Refused(answer.code)


async def replay(arrivals: list[Arrival], start: Start) -> Run:
    """Send all arrivals to the handlers and wait for every outcome."""
    targets = SimulatedTargets(arrivals)
    handlers = await start(targets)
    loop = asyncio.get_running_loop()
    begin = loop.time()
    run = Run({}, {}, {}, targets.calls)

    async def ask(arrival: Arrival) -> None:
        request = ServiceRequest(
            arrival.name,
            SERVICE,
            arrival.team,
            b"",
            arrival.timeout,
            urgency=arrival.urgency,
        )
        came = loop.time()
        run.outcomes[arrival.name] = await handlers[arrival.entry].handle_request(
            request
        )
        run.answered[arrival.name] = loop.time() - came
        if arrival.name in targets.starts:
            run.waits[arrival.name] = targets.starts[arrival.name] - came

    tasks = []
    for arrival in arrivals:
        await asyncio.sleep(begin + arrival.time - loop.time())
        tasks.append(asyncio.ensure_future(ask(arrival)))
    await asyncio.gather(*tasks)
    return run


def queue_once(arrivals: list[Arrival]) -> dict[str, float]:
    """Return the waits in a single queue over all slots, without any delay."""
    slots = NAIROBI.zones * NAIROBI.targets * NAIROBI.slots
    free = [0.0] * slots
    waits = {}
    for arrival in arrivals:
        start = max(arrival.time, heapq.heappop(free))
        heapq.heappush(free, start + arrival.duration)
        waits[arrival.name] = start - arrival.time
    return waits


def count_completed(run: Run, accepts: Callable[[str], bool]) -> int:
    """Count the requests that were completed, of those that ``accepts`` names."""
    return sum(
        isinstance(outcome, Completed) and accepts(name)
        for name, outcome in run.outcomes.items()
    )
