"""All stand-ins of one platform together."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.protocol.ports import (
    Instance,
    InstanceList,
    InstanceRole,
    Store,
    TargetPort,
    WorkerPort,
)
from damaskdeck.protocol.sizes import Size
from standins.gateway import Gateway
from standins.http import Listener, platform_app, target_app, worker_app
from standins.instances import MemoryInstanceList
from standins.runs import RunLog
from standins.store import MemoryStore
from standins.targets import (
    ExecutionLog,
    MemoryTarget,
    ServiceTime,
    TargetsClient,
    take_no_time,
)
from standins.workers import MemoryWorker, WorkersClient


class Ports(NamedTuple):
    """One client's ports to the platform."""

    store: Store
    instances: InstanceList
    workers: WorkerPort
    targets: TargetPort


class Platform:
    """The store, the instance list, workers and targets.

    :param lag: how old the answers of the instance list are.
    """

    def __init__(self, clock: Clock, lag: timedelta = timedelta()) -> None:
        self.clock = clock
        self.store = MemoryStore(clock)
        self.instances = MemoryInstanceList(clock, lag)
        self.workers: dict[str, MemoryWorker] = {}
        self.targets: dict[str, MemoryTarget] = {}
        self.runs = RunLog()
        self.executions = ExecutionLog()
        self._is_serving = False
        self._listeners: dict[str, Listener] = {}
        self._starts: set[asyncio.Task[None]] = set()

    async def serve(self) -> None:
        """Answer over HTTP as well, on free ports of the loopback address."""
        self._is_serving = True
        listener = Listener(platform_app, store=self.store, instances=self.instances)
        self._listeners["store"] = listener
        await listener.start()
        for part in (*self.workers.values(), *self.targets.values()):
            self._list(part)
        await asyncio.gather(*self._starts)

    @property
    def address(self) -> str:
        """IP and port of the store and of the instance list."""
        return self._listeners["store"].address

    async def close(self) -> None:
        """Stop answering over HTTP."""
        await asyncio.gather(*self._starts)
        for listener in self._listeners.values():
            listener.close()
        self._listeners.clear()
        self._is_serving = False
        await asyncio.sleep(0)

    def connect(self, client: str) -> Ports:
        """Return the ports of ``client``, without a network between."""
        return Ports(
            self.store.connect(client),
            self.instances.connect(client),
            WorkersClient(self.workers, client),
            TargetsClient(self.targets, client),
        )

    def add_worker(
        self,
        name: str,
        zone: str,
        size: Size,
        rack: str = "",
        region: str = "",
    ) -> MemoryWorker:
        """Add a worker and list it."""
        instance = Instance(
            name,
            InstanceRole.WORKER,
            zone,
            address="",
            rack=rack,
            region=region,
            size=size,
        )
        worker = MemoryWorker(instance, self.clock, self.runs)
        self.workers[name] = worker
        self._list(worker)
        return worker

    def add_target(
        self,
        name: str,
        zone: str,
        service: str,
        slots: int = 8,
        connections: int = 64,
        region: str = "",
        service_time: ServiceTime = take_no_time,
    ) -> MemoryTarget:
        """Add a target and list it."""
        instance = Instance(
            name,
            InstanceRole.TARGET,
            zone,
            address="",
            region=region,
            service=service,
            slots=slots,
            connections=connections,
        )
        seed = len(self.targets)
        target = MemoryTarget(instance, self.clock, self.executions, service_time, seed)
        self.targets[name] = target
        self._list(target)
        return target

    def leave(self, name: str) -> None:
        """Let a worker or target leave: it is listed so and takes no new work."""
        self.find(name).is_leaving = True
        self.instances.mark_leaving(name)

    def kill(self, name: str) -> None:
        """Let a worker or target die; it stays listed."""
        self.find(name).die()
        if name in self._listeners:
            self._listeners.pop(name).close()

    def replace(self, name: str) -> None:
        """Bring a dead worker or target back as a new, empty machine."""
        part = self.find(name)
        part.replace()
        self._list(part)

    def remove(self, name: str) -> None:
        """Let a worker or target die and take it off the list."""
        self.kill(name)
        self.instances.remove(name)

    def find(self, name: str) -> MemoryWorker | MemoryTarget:
        """Return a worker or target."""
        return self.workers.get(name) or self.targets[name]

    def cut_off(self, client: str, *names: str) -> None:
        """Cut a client off from the named parts, or from all.

        :param names: ``store``, ``instances``, or names of workers and targets.
        """
        for gateway in self._list_gateways(names):
            gateway.faults.cut_off.add(client)

    def reconnect(self, client: str, *names: str) -> None:
        """End what :meth:`cut_off` did."""
        for gateway in self._list_gateways(names):
            gateway.faults.cut_off.discard(client)

    def _list(self, part: MemoryWorker | MemoryTarget) -> None:
        if self._is_serving:
            address = self._listen(part)
            part.instance = part.instance._replace(address=address)
        self.instances.put(part.instance)

    def _listen(self, part: MemoryWorker | MemoryTarget) -> str:
        app = worker_app if isinstance(part, MemoryWorker) else target_app
        listener = Listener(app, part=part)
        self._listeners[part.instance.name] = listener
        start = asyncio.ensure_future(listener.start())
        self._starts.add(start)
        start.add_done_callback(self._starts.discard)
        return listener.address

    def _list_gateways(self, names: tuple[str, ...]) -> list[Gateway]:
        parts: dict[str, MemoryStore | MemoryInstanceList | MemoryWorker | MemoryTarget]
        parts = {"store": self.store, "instances": self.instances}
        parts.update(self.workers)
        parts.update(self.targets)
        return [parts[name].gateway for name in names or parts]
