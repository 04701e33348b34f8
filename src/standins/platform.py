"""All stand-ins of one platform together."""

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

    def remove(self, name: str) -> None:
        """Let a worker or target die and take it off the list."""
        self.find(name).die()
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
        self.instances.put(part.instance)

    def _list_gateways(self, names: tuple[str, ...]) -> list[Gateway]:
        parts: dict[str, MemoryStore | MemoryInstanceList | MemoryWorker | MemoryTarget]
        parts = {"store": self.store, "instances": self.instances}
        parts.update(self.workers)
        parts.update(self.targets)
        return [parts[name].gateway for name in names or parts]
