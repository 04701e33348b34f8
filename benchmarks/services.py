"""Simulated targets, arrivals and routers for the benchmark of requests."""

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
MEAN_SERVICE_SECONDS = 0.05
TEAMS = 8
URGENT_SHARE = 0.1
LONG_RETRY_PAUSE = timedelta(milliseconds=200)


class Arrival(NamedTuple):
    """A request of the generated load.

    :param time: arrival in seconds since the start.
    :param duration: seconds that the request occupies a slot, on any target.
    :param entry: index of the entry that receives the request.
    """

    name: str
    time: float
    duration: float
    entry: int
    team: str
    urgency: Urgency
    timeout: timedelta


class ReplayResult(NamedTuple):
    """The outcome of a replay.

    :param waits: seconds from arrival to the start in a slot, by request.
    :param answered: seconds from arrival to the answer, by request.
    :param calls: numbers of sends to targets, refusals by targets, and messages
        between daemons.
    """

    waits: dict[str, float]
    outcomes: dict[str, Outcome]
    answered: dict[str, float]
    calls: Counter[str]


class StartHandlers(Protocol):
    """Creates the request handlers of all entries."""

    async def __call__(self, targets: "SimulatedTargets") -> list[RequestHandler]:
        """Create and start a handler for each entry."""


def compute_capacity() -> float:
    """Return the requests per second that all slots can complete."""
    return NAIROBI.zones * NAIROBI.targets * NAIROBI.slots / MEAN_SERVICE_SECONDS


def make_arrivals(
    load: float, count: int, seed: int, timeout: float = 1.0
) -> list[Arrival]:
    """Draw Poisson arrivals with exponential service times.

    :param load: arrival rate as a share of the capacity of all slots.
    :param timeout: timeout of each request in seconds.
    """
    rng = Random(seed)
    rate = load * compute_capacity()
    arrivals, time = [], 0.0
    for number in range(count):
        time += rng.expovariate(rate)
        is_urgent = rng.random() < URGENT_SHARE
        arrivals.append(
            Arrival(
                f"r{number}",
                time,
                rng.expovariate(1 / MEAN_SERVICE_SECONDS),
                rng.randrange(NAIROBI.zones * NAIROBI.entries),
                f"team-{rng.randrange(TEAMS)}",
                Urgency.URGENT if is_urgent else Urgency.NORMAL,
                timedelta(seconds=timeout),
            )
        )
    return arrivals


class SimulatedTargets:
    """All targets of a deployment; a full target refuses requests."""

    def __init__(self, arrivals: list[Arrival]) -> None:
        self.durations = {arrival.name: arrival.duration for arrival in arrivals}
        self.running: Counter[str] = Counter()
        self.starts: dict[str, float] = {}
        self.calls: Counter[str] = Counter()

    def connect(self, zone: str) -> "ZoneTargets":
        """Return a client of all targets for callers in one availability zone."""
        return ZoneTargets(self, zone)


class ZoneTargets:
    """Implements ``TargetPort`` with the network delays between availability zones."""

    def __init__(self, targets: SimulatedTargets, zone: str) -> None:
        self._targets = targets
        self._zone = zone

    async def send(
        self, target: Instance, call: TargetCall, timeout: timedelta
    ) -> TargetAnswer | Rejected | Lost:
        """Run a request for its duration, or refuse it if all slots are taken."""
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
        """Report that the target is up."""
        return Written(0)


class StartRouters:
    """Starts the routers of damaskdeck, and stops them after the replay."""

    def __init__(self) -> None:
        self.deployment: RequestDeployment | None = None

    async def __call__(self, targets: SimulatedTargets) -> list[RequestHandler]:
        """Start a router for each entry and return the routers."""

        def connect(name: str) -> ZoneTargets:
            return targets.connect("zone-" + name.split("-")[1])

        deployment = RequestDeployment(LoopClock(), NAIROBI, connect=connect)
        self.deployment = deployment
        await deployment.start()
        return list(deployment.routers.values())

    def stop(self) -> Counter[str]:
        """Stop the routers' loops.

        :returns: the number of messages that the routers exchanged.
        """
        if self.deployment is None:
            return Counter()
        for name in self.deployment.routers:
            self.deployment.stop_entry(name)
        return Counter(messages=sum(self.deployment.switch.messages.values()))


async def start_naive(targets: SimulatedTargets) -> list[RequestHandler]:
    """Return a naive router for each entry."""
    return make_naive(targets, RETRY_PAUSE)


async def start_naive_with_long_pause(
    targets: SimulatedTargets,
) -> list[RequestHandler]:
    """Return naive routers that retry less often.

    With the usual pause, the benchmark of overload would take hours.
    """
    return make_naive(targets, LONG_RETRY_PAUSE)


def make_naive(targets: SimulatedTargets, pause: timedelta) -> list[RequestHandler]:
    """Create a naive router for each entry."""
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
    """Return handlers that only send to a target of their own zone."""
    deployment = RequestDeployment(LoopClock(), NAIROBI)
    return [
        DirectPath(
            deployment.fleet.list(InstanceRole.TARGET, zone), targets.connect(zone)
        )
        for zone in (f"zone-{number}" for number in range(NAIROBI.zones))
        for _ in range(NAIROBI.entries)
    ]


class DirectPath:
    """Sends each request to the next target in turn, even if that is full."""

    def __init__(self, instances: tuple[Instance, ...], targets: TargetPort) -> None:
        self._instances = itertools.cycle(instances)
        self._targets = targets

    async def handle_request(self, request: ServiceRequest) -> Outcome:
        """Send a request and return its outcome."""
        call = TargetCall(request.identifier, 1, request.body)
        answer = await self._targets.send(next(self._instances), call, request.timeout)
        if isinstance(answer, TargetAnswer):
            return Completed(answer.body, answer.content_type)
        return Refused(answer.code)


async def replay(
    arrivals: list[Arrival], start_handlers: StartHandlers
) -> ReplayResult:
    """Send all arrivals to the handlers and wait for every outcome."""
    targets = SimulatedTargets(arrivals)
    handlers = await start_handlers(targets)
    loop = asyncio.get_running_loop()
    begin = loop.time()
    result = ReplayResult({}, {}, {}, targets.calls)

    async def send_request(arrival: Arrival) -> None:
        request = ServiceRequest(
            arrival.name,
            SERVICE,
            arrival.team,
            b"",
            arrival.timeout,
            urgency=arrival.urgency,
        )
        arrived_at = loop.time()
        result.outcomes[arrival.name] = await handlers[arrival.entry].handle_request(
            request
        )
        result.answered[arrival.name] = loop.time() - arrived_at
        if arrival.name in targets.starts:
            result.waits[arrival.name] = targets.starts[arrival.name] - arrived_at

    tasks = []
    for arrival in arrivals:
        await asyncio.sleep(begin + arrival.time - loop.time())
        tasks.append(asyncio.ensure_future(send_request(arrival)))
    await asyncio.gather(*tasks)
    return result


def simulate_single_queue(arrivals: list[Arrival]) -> dict[str, float]:
    """Simulate a single queue for all slots, without network delays.

    :returns: seconds that each request waits, by name.
    """
    slots = NAIROBI.zones * NAIROBI.targets * NAIROBI.slots
    free = [0.0] * slots
    waits = {}
    for arrival in arrivals:
        start = max(arrival.time, heapq.heappop(free))
        heapq.heappush(free, start + arrival.duration)
        waits[arrival.name] = start - arrival.time
    return waits


def count_completed(result: ReplayResult, is_included: Callable[[str], bool]) -> int:
    """Count the completed requests for which ``is_included`` holds."""
    return sum(
        isinstance(outcome, Completed) and is_included(name)
        for name, outcome in result.outcomes.items()
    )
