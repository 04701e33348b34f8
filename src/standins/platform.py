"""All stand-ins of one platform."""

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
    draw_zero_time,
)
from standins.workers import MemoryWorker, WorkersClient


class Ports(NamedTuple):
    """The ports through which one client uses the platform."""

    store: Store
    instances: InstanceList
    workers: WorkerPort
    targets: TargetPort


class Platform:
    """The store, the instance list, workers and targets.

    :param lag: age of the answers of the instance list.
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
        """Also serve HTTP, on free ports of the loopback address."""
        self._is_serving = True
        listener = Listener(platform_app, store=self.store, instances=self.instances)
        self._listeners["store"] = listener
        await listener.start()
        for machine in (*self.workers.values(), *self.targets.values()):
            self._list(machine)
        await asyncio.gather(*self._starts)

    @property
    def address(self) -> str:
        """IP address and port of the store and the instance list."""
        return self._listeners["store"].address

    async def close(self) -> None:
        """Stop serving HTTP."""
        await asyncio.gather(*self._starts)
        for listener in self._listeners.values():
            listener.close()
        self._listeners.clear()
        self._is_serving = False
        await asyncio.sleep(0)

    def connect(self, client: str) -> Ports:
        """Return the ports of ``client``, which call the stand-ins directly."""
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
        """Add a worker to the platform and the instance list."""
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
        service_time: ServiceTime = draw_zero_time,
    ) -> MemoryTarget:
        """Add a target to the platform and the instance list."""
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
        """Mark a worker or target as leaving: it is listed so and refuses new work."""
        self.find(name).is_leaving = True
        self.instances.mark_leaving(name)

    def kill(self, name: str) -> None:
        """Kill a worker or target; it stays in the instance list."""
        self.find(name).die()
        if name in self._listeners:
            self._listeners.pop(name).close()

    def replace(self, name: str) -> None:
        """Replace a killed worker or target by a new, empty machine."""
        machine = self.find(name)
        machine.replace()
        self._list(machine)

    def remove(self, name: str) -> None:
        """Kill a worker or target and remove it from the instance list."""
        self.kill(name)
        self.instances.remove(name)

    def find(self, name: str) -> MemoryWorker | MemoryTarget:
        """Return a worker or target by name."""
        return self.workers.get(name) or self.targets[name]

    def cut_off(self, client: str, *names: str) -> None:
        """Cut a client off from the named components, or from all.

        :param names: ``store``, ``instances``, or names of workers and targets.
        """
        for gateway in self._list_gateways(names):
            gateway.faults.cut_off.add(client)

    def reconnect(self, client: str, *names: str) -> None:
        """Undo :meth:`cut_off`."""
        for gateway in self._list_gateways(names):
            gateway.faults.cut_off.discard(client)

    def _list(self, machine: MemoryWorker | MemoryTarget) -> None:
        if self._is_serving:
            address = self._listen(machine)
            machine.instance = machine.instance._replace(address=address)
        self.instances.put(machine.instance)

    def _listen(self, machine: MemoryWorker | MemoryTarget) -> str:
        app = worker_app if isinstance(machine, MemoryWorker) else target_app
        listener = Listener(app, machine=machine)
        self._listeners[machine.instance.name] = listener
        start = asyncio.ensure_future(listener.start())
        self._starts.add(start)
        start.add_done_callback(self._starts.discard)
        return listener.address

    def _list_gateways(self, names: tuple[str, ...]) -> list[Gateway]:
        components: dict[
            str, MemoryStore | MemoryInstanceList | MemoryWorker | MemoryTarget
        ]
        components = {"store": self.store, "instances": self.instances}
        components.update(self.workers)
        components.update(self.targets)
        return [components[name].gateway for name in names or components]
