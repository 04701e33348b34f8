"""In-memory targets that run requests in their slots."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import (
    Instance,
    Lost,
    Rejected,
    TargetAnswer,
    TargetCall,
    Written,
)
from standins.gateway import Gateway

FAILED_STATUS = 500

ServiceTime = Callable[[random.Random], timedelta]


class Execution(NamedTuple):
    """One execution of a request.

    :param start: monotonic time.
    """

    request: str
    attempt: int
    target: str
    start: timedelta


class ExecutionLog:
    """Records every execution; shared by all targets."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.counts: Counter[str] = Counter()

    def record(self, execution: Execution) -> None:
        """Record an execution at its start."""
        self.executions.append(execution)
        self.counts[execution.request] += 1

    def list_duplicates(self) -> tuple[str, ...]:
        """List the requests that were executed more than once."""
        return tuple(name for name, count in self.counts.items() if count > 1)


def make_exponential_time(mean: timedelta) -> ServiceTime:
    """Return a service time that is exponentially distributed."""
    return lambda source: mean * source.expovariate(1.0)


def draw_zero_time(source: random.Random) -> timedelta:
    """Return a service time of zero."""
    return timedelta()


def make_constant_time(time: timedelta) -> ServiceTime:
    """Return a service time that is constant."""
    return lambda source: time


def echo(call: TargetCall) -> bytes:
    """Return the request's body."""
    return call.body


class MemoryTarget:
    """One target, which counts what exceeds its slots and connections.

    :param log: records the executions on all targets.
    :param service_time: draws how long a request runs.
    :param seed: seed of the random source from which service times are drawn.
    :ivar answer: returns the body of a successful answer.
    :ivar refuses_when_full: whether requests beyond the slots are refused.
    :ivar fails_everything: whether all requests end with :data:`FAILED_STATUS`.
    """

    def __init__(
        self,
        instance: Instance,
        clock: Clock,
        log: ExecutionLog,
        service_time: ServiceTime = draw_zero_time,
        seed: int = 0,
    ) -> None:
        self.instance = instance
        self.clock = clock
        self.log = log
        self.gateway = Gateway(clock, "target_busy")
        self.faults = self.gateway.faults
        self.calls = self.gateway.calls
        self.service_time = service_time
        self.answer: Callable[[TargetCall], bytes] = echo
        self.is_leaving = False
        self.is_dead = False
        self.refuses_when_full = True
        self.fails_everything = False
        self.running = 0
        self.connections = 0
        self.peak_running = 0
        self.peak_connections = 0
        self.slot_overfills = 0
        self.connection_overfills = 0
        self.refused_leaving = 0
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[TargetAnswer]] = set()

    def begin(self, call: TargetCall) -> "asyncio.Task[TargetAnswer] | Rejected":
        """Start to run a request, unless it is refused."""
        if self.is_leaving:
            self.refused_leaving += 1
            return Rejected("target_leaving")
        is_full = self.running >= self.instance.slots
        self.slot_overfills += is_full
        if is_full and self.refuses_when_full:
            return Rejected("target_full")
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        now = self.clock.monotonic()
        name = self.instance.name
        self.log.record(Execution(call.request, call.attempt, name, now))
        task = asyncio.ensure_future(self._run(call))
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def open_connection(self) -> None:
        """Count a connection that a client has opened."""
        self.record_connections(self.connections + 1)

    def close_connection(self) -> None:
        """Count a connection that a client has closed."""
        self.connections -= 1

    def record_connections(self, count: int) -> None:
        """Record the number of open connections."""
        self.connections = count
        self.peak_connections = max(self.peak_connections, count)
        self.connection_overfills += count > self.instance.connections

    def pause(self) -> None:
        """Freeze the instance: it does not answer until :meth:`resume`."""
        self.faults.pause()

    def resume(self) -> None:
        """Unfreeze the instance and answer the calls that are held."""
        self.faults.resume()

    def die(self) -> None:
        """Fail: cancel the requests in progress and become unreachable."""
        self.is_dead = True
        self.faults.outage = True
        self.gateway.drop_calls()
        for task in self._tasks:
            task.cancel()

    def replace(self) -> None:
        """Restart as a new machine of the same name."""
        self.is_dead = False
        self.is_leaving = False
        self.faults.outage = False

    async def _run(self, call: TargetCall) -> TargetAnswer:
        await self.clock.sleep(self.service_time(self._random))
        await self.faults.resumed.wait()
        status = FAILED_STATUS if self.fails_everything else 200
        body = b"target fault" if self.fails_everything else self.answer(call)
        return TargetAnswer(call.request, call.attempt, status, body, call.content_type)

    def _finish(self, task: "asyncio.Task[TargetAnswer]") -> None:
        self._tasks.discard(task)
        self.running -= 1


class TargetsClient:
    """One client of all targets; implements the port ``TargetPort``.

    :param targets: all targets by name.
    :param client: name by which this client can be cut off.
    """

    def __init__(self, targets: dict[str, MemoryTarget], client: str) -> None:
        self._targets = targets
        self._client = client

    async def send(
        self, target: Instance, call: TargetCall, timeout: timedelta
    ) -> TargetAnswer | Rejected | Lost:
        """Send a request over a new connection and wait for the complete answer."""
        stand_in = self._targets.get(target.name)
        if stand_in is None:
            return Rejected("unreachable")
        stand_in.open_connection()
        try:
            return await self.submit(stand_in, call, timeout)
        finally:
            stand_in.close_connection()

    async def probe(
        self, target: Instance, timeout: timedelta
    ) -> Written | Rejected | Lost:
        """Check whether the target is reachable."""
        stand_in = self._targets.get(target.name)
        if stand_in is None:
            return Rejected("unreachable")
        return await stand_in.gateway.call(
            self._client, "probe", lambda: Written(0), timeout
        )

    async def submit(
        self, stand_in: MemoryTarget, call: TargetCall, timeout: timedelta
    ) -> TargetAnswer | Rejected | Lost:
        """Send a request to a target over an open connection."""
        deadline = stand_in.clock.monotonic() + timeout
        begun = await stand_in.gateway.call(
            self._client, "send", lambda: stand_in.begin(call), timeout
        )
        if isinstance(begun, Rejected | Lost):
            return begun
        left = deadline - stand_in.clock.monotonic()
        answer = await stand_in.gateway.wait_for(begun, left)
        if stand_in.is_dead or stand_in.gateway.is_cut_off(self._client):
            return Lost("reset")
        return answer
