"""Measures the bytes and the processor time of calls to the platform on loopback."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from damaskdeck.clock import SystemClock
from damaskdeck.coordination.workers.fleet import Fleet
from damaskdeck.protocol.ports import StartOrder, TargetCall
from damaskdeck.protocol.sizes import Size
from damaskdeck.transport.instances import HttpInstanceList
from damaskdeck.transport.store import HttpStore
from damaskdeck.transport.targets import HttpTargets
from damaskdeck.transport.workers import HttpWorkers
from standins.platform import Platform

WORKERS = 790
TARGETS = 216
ZONES = 9
TASKS_PER_WORKER = 16
CLIENT = "entry-1"
LEASE_DURATION = timedelta(minutes=1)
STORED_VALUE = bytes(100)
READ_BYTES = 1 << 16

Call = Callable[[], Awaitable[Any]]


class CountingProxy:
    """A TCP proxy that counts the bytes it forwards.

    :ivar sent: bytes from clients to the server.
    :ivar received: bytes from the server to clients.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self.sent = 0
        self.received = 0

    async def start(self) -> str:
        """Start to listen, and return the proxy's address."""
        server = await asyncio.start_server(self._handle_connection, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def count(self, call: Call) -> dict[str, Any]:
        """Make one call, and return the bytes that it sent and received."""
        self.sent = self.received = 0
        await call()
        return {"bytes sent": self.sent, "bytes received": self.received}

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._address.split(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(
            host, int(port)
        )
        await asyncio.gather(
            self._forward(reader, upstream_writer, "sent"),
            self._forward(upstream_reader, writer, "received"),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counter: str
    ) -> None:
        while data := await reader.read(READ_BYTES):
            setattr(self, counter, getattr(self, counter) + len(data))
            writer.write(data)
        writer.close()


def build_platform(clock: SystemClock) -> Platform:
    """Build a simulated platform of the target size."""
    platform = Platform(clock)
    for number in range(WORKERS):
        platform.add_worker(
            f"worker-{number:03}",
            f"zone-{number % ZONES}",
            Size(64_000, 256_000, 2 if number < WORKERS * 0.7 else 0),
            rack=f"rack-{number // 8}",
            region=f"region-{number % 3}",
        )
    for number in range(TARGETS):
        platform.add_target(f"target-{number:03}", f"zone-{number % ZONES}", "orders")
    return platform


async def measure_time(call: Call, count: int) -> float:
    """Return the processor time of one call in microseconds, with both sides'."""
    await call()
    begin = time.process_time()
    for _ in range(count):
        await call()
    return round((time.process_time() - begin) / count * 1e6, 1)


async def measure_store(platform: Platform, count: int) -> dict[str, Any]:
    """Measure calls to the store and to the instance list."""
    proxy = CountingProxy(platform.address)
    address = await proxy.start()
    store = HttpStore(address, CLIENT)
    instances = HttpInstanceList(address, CLIENT)
    lease = (await store.grant_lease(LEASE_DURATION)).lease
    figures = {"changed list": await proxy.count(instances.list_instances)}
    for name, call in list_calls(store, instances, lease).items():
        figures[name] = await proxy.count(call)
    await store.close()
    await instances.close()
    store = HttpStore(platform.address, CLIENT)
    instances = HttpInstanceList(platform.address, CLIENT)
    for name, call in list_calls(store, instances, lease).items():
        figures[name]["processor us"] = await measure_time(call, count)
    await store.close()
    await instances.close()
    return figures


def list_calls(
    store: HttpStore, instances: HttpInstanceList, lease: str
) -> dict[str, Call]:
    """Return the measured calls by name."""
    return {
        "unchanged list": instances.list_instances,
        "put": lambda: store.put("ledger/3/17", STORED_VALUE, None),
        "get": lambda: store.get("ledger/3/17"),
        "renew lease": lambda: store.renew_lease(lease),
    }


async def measure_worker_and_target(platform: Platform, count: int) -> dict[str, Any]:
    """Measure calls to a worker and to a target."""
    workers, targets = HttpWorkers(CLIENT), HttpTargets(CLIENT)
    worker = platform.workers["worker-000"].instance
    proxy = CountingProxy(worker.address)
    proxied_worker = worker._replace(address=await proxy.start())
    names = tuple(f"invoices-{n:06}-0" for n in range(TASKS_PER_WORKER))
    for name in names:
        await workers.start(
            worker, 1, StartOrder(name, 1, Size(1000, 1000), LEASE_DURATION)
        )
    await workers.read_inventory(proxied_worker, 1)
    renewal = await proxy.count(
        lambda: workers.renew(proxied_worker, 1, names, LEASE_DURATION)
    )
    renewal["processor us"] = await measure_time(
        lambda: workers.renew(worker, 1, names, LEASE_DURATION), count
    )
    target = platform.targets["target-000"].instance
    call = TargetCall("r-1", 1, STORED_VALUE)
    request_us = await measure_time(
        lambda: targets.send(target, call, LEASE_DURATION), count
    )
    await workers.close()
    await targets.close()
    return {
        f"renew {TASKS_PER_WORKER} tasks": renewal,
        "request": {"processor us": request_us},
    }


async def measure_fleet(platform: Platform, count: int) -> dict[str, float]:
    """Measure a poll of an unchanged list while an instance is leaving."""
    instances = platform.instances.connect(CLIENT)
    fleet = Fleet(instances, platform.clock)
    platform.leave("target-000")
    return {"unchanged poll us": await measure_time(fleet.poll, count)}


async def measure(count: int) -> dict[str, Any]:
    """Run all measurements on one platform."""
    platform = build_platform(SystemClock())
    begin = time.process_time()
    await platform.serve()
    figures: dict[str, Any] = {
        "listeners": {
            "count": WORKERS + TARGETS + 1,
            "start ms": round((time.process_time() - begin) * 1e3, 1),
        },
        **await measure_store(platform, count),
        **await measure_worker_and_target(platform, count),
        "fleet": await measure_fleet(platform, count),
    }
    await platform.close()
    return figures


def run(quick: bool = False) -> dict[str, Any]:
    """Run all measurements.

    :param quick: whether to repeat calls less often.
    """
    return asyncio.run(measure(100 if quick else 1000))
