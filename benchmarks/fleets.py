"""Runs real daemons on loopback under load, and measures the resources they use."""

import asyncio
import re
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import psutil

from damaskdeck.client import Client, Reply
from damaskdeck.clock import SystemClock
from damaskdeck.protocol.sizes import Size
from standins.deployment import OPERATOR_TOKEN, DaemonProcess, Deployment
from standins.http import Listener
from standins.platform import Platform
from standins.waiting import wait_until

READY_LIMIT_SECONDS = 60
SETTLE_SECONDS = 3
START_PAUSE_SECONDS = 0.2
TEAMS = 12
SERVICE = "orders"
WORKER_SIZE = Size(64_000, 262_144, 2)
TASK_SIZE = {"processors": 3.5, "memory": 1024}
TASKS_PER_JOB = 50
MEGABYTE = 1e6

# Offset of tcpi_bytes_acked and tcpi_bytes_received in Linux's struct tcp_info.
TCP_BYTES_OFFSET = 120
TCP_INFO_SIZE = 256

_METRIC = re.compile(r"^(\w+?)(?:_total)?\{([^}]*)\} (\S+)$")
_LABEL = re.compile(r'(\w+)="([^"]*)"')


class Sample(NamedTuple):
    """Growth of counters per second and current sizes, by name of the figure.

    :param daemons: figures of each daemon.
    :param fleet: figures of all daemons together, as counted by the platform.
    :param benchmark_core_share: share of a core that the benchmark's process used.
    """

    daemons: dict[str, dict[str, float]]
    fleet: dict[str, float]
    benchmark_core_share: float

    def average(self, figure: str, names: Collection[str] = ()) -> float:
        """Return the average of a figure over the named daemons, or over all.

        Figures of the platform are divided by the number of those daemons.
        """
        chosen = names or self.daemons
        if figure in self.fleet:
            return self.fleet[figure] / len(chosen)
        found = [self.daemons[name].get(figure, 0.0) for name in chosen]
        return sum(found) / len(found)

    def list_figures(self) -> list[str]:
        """List the names of all figures."""
        names = {name for figures in self.daemons.values() for name in figures}
        return sorted(names | set(self.fleet))


class Fleet:
    """A deployment that can grow and be measured under load.

    :param folder: folder for the settings files.
    :param limits: section ``limits`` of each daemon's settings.
    """

    def __init__(self, folder: Path, limits: dict[str, float] | None = None) -> None:
        self.platform = Platform(SystemClock())
        tokens = {name: f"{name}-token" for name in list_teams()}
        self.deployment = Deployment(self.platform, folder, tokens, limits)
        self.clients: dict[str, Client] = {}
        self.zones: dict[str, str] = {}
        self._retired: list[Client] = []

    async def start(self) -> None:
        """Start the simulated platform."""
        await self.platform.serve()

    async def close(self) -> None:
        """Stop all daemons of this fleet and the simulated platform."""
        for client in (*self.clients.values(), *self._retired):
            await client.__aexit__(None, None, None)
        await self.deployment.close()
        await self.platform.close()

    async def grow(self, zones: int, daemons: int) -> None:
        """Add daemons one after another, up to ``daemons`` in each of ``zones`` zones.

        A worker is added first if there is none, as a daemon becomes ready only once
        it has read an instance list that isn't empty.
        """
        if not self.platform.workers:
            self.add_workers(1, ["zone-0"])
        for zone in list_zones(zones):
            for number in range(daemons):
                name = f"entry-{zone[-1]}{number}"
                if name not in self.clients:
                    await self.add_daemon(name, zone)
        await self.wait_settled()

    async def add_daemon(self, name: str, zone: str) -> None:
        """Start a daemon and wait until it is ready."""
        region = f"region-{int(zone[-1]) // 3}"
        daemon = await self.deployment.start(name, zone, region)
        client = Client(f"http://{daemon.address}", OPERATOR_TOKEN)
        self.clients[name] = await client.__aenter__()
        self.zones[name] = zone
        await wait_until(
            lambda: client.call("GET", "/readyz"),
            lambda reply: reply.status == 200,
            READY_LIMIT_SECONDS,
        )
        await asyncio.sleep(START_PAUSE_SECONDS)

    async def kill_daemon(self, name: str) -> None:
        """Kill a daemon, as if its instance failed."""
        await self._remove_daemon(name).kill()

    async def stop_daemon(self, name: str) -> None:
        """Shut a daemon down gracefully."""
        await self._remove_daemon(name).stop()

    def _remove_daemon(self, name: str) -> DaemonProcess:
        self._retired.append(self.clients.pop(name))
        self.zones.pop(name)
        return self.deployment.daemons.pop(name)

    def add_workers(self, count: int, zones: Sequence[str] = ()) -> None:
        """Add workers, spread over the zones, until there are ``count``."""
        zones = zones or sorted(set(self.zones.values()))
        for number in range(len(self.platform.workers), count):
            self.platform.add_worker(
                f"worker-{number:03}",
                zones[number % len(zones)],
                WORKER_SIZE,
                rack=f"rack-{number // 8}",
            )

    def add_targets(self, count: int, zones: Sequence[str] = ()) -> None:
        """Add targets, spread over the zones, until there are ``count``."""
        zones = zones or sorted(set(self.zones.values()))
        for number in range(len(self.platform.targets), count):
            zone = zones[number % len(zones)]
            self.platform.add_target(f"target-{number:03}", zone, SERVICE)

    async def wait_settled(self) -> bool:
        """Wait until every worker and target has an owner, for 60 s at most.

        :returns: whether all of them have one.
        """
        reached = await wait_until(
            self.count_owned, lambda count: count >= self.count_shards(), 60
        )
        await asyncio.sleep(SETTLE_SECONDS)
        return reached >= self.count_shards()

    def count_shards(self) -> int:
        """Count the workers and targets, each of which needs an owner."""
        return len(self.platform.workers) + len(self.platform.targets)

    def count_listed(self) -> int:
        """Count the listed workers and targets in zones that have daemons."""
        zones = set(self.zones.values())
        servers = (*self.platform.workers.values(), *self.platform.targets.values())
        return sum(
            server.instance.zone in zones
            and self.platform.instances.get(server.instance.name) is not None
            for server in servers
        )

    async def count_owned(self) -> int:
        """Count the workers and targets that the daemons report as owned."""
        count = 0
        for client in list(self.clients.values()):
            owned = (await client.call("GET", "/v1/status")).read_json()["owned"]
            count += len(owned["worker"]) + len(owned["target"])
        return count

    async def list_owners(self, scope: str) -> list[str]:
        """List the daemons that own a shard of ``scope``."""
        found = []
        for name, client in self.clients.items():
            status = (await client.call("GET", "/v1/status")).read_json()
            if status["owned"][scope]:
                found.append(name)
        return found

    def list_processes(self) -> Iterable[tuple[str, DaemonProcess]]:
        """List the running daemons by name."""
        return self.deployment.daemons.items()

    def count_running(self) -> int:
        """Count the tasks that run on all workers."""
        workers = self.platform.workers.values()
        return sum(len(worker.list_running()) for worker in workers)

    async def measure(self, seconds: float, load: "Load | None" = None) -> Sample:
        """Measure all daemons for some seconds, under load if one is given."""
        running = asyncio.ensure_future(load.run()) if load else None
        if load:
            await asyncio.sleep(SETTLE_SECONDS)
        before = await self.read(is_first=True)
        await asyncio.sleep(seconds)
        after = await self.read(is_first=False)
        if running:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        return compare(before, after)

    async def read(self, is_first: bool) -> "Reading":
        """Read all counters.

        Metrics are requested before the first reading of the processes and after the
        second one, so that the cost of these requests isn't measured.
        """
        metrics = await self._scrape() if is_first else {}
        reading = Reading(
            time.monotonic(),
            time.process_time(),
            {name: read_process(d.process.pid) for name, d in self.list_processes()},
            self._read_platform(),
            self._read_connections(),
        )
        metrics = metrics or await self._scrape()
        for name, figures in metrics.items():
            reading.daemons[name].update(figures)
        return reading

    async def _scrape(self) -> dict[str, dict[str, float]]:
        return {
            name: parse_metrics((await c.call("GET", "/metrics")).body.decode())
            for name, c in self.clients.items()
        }

    def _read_platform(self) -> dict[str, float]:
        platform = self.platform
        figures: Counter[str] = Counter()
        for kind, servers in (
            ("store", [platform.store]),
            ("list", [platform.instances]),
            ("worker", platform.workers.values()),
            ("target", platform.targets.values()),
        ):
            for server in servers:
                for operation, count in server.calls.items():
                    figures[f"{kind} {operation}"] += count
        figures["task starts"] = len(platform.runs.starts)
        return dict(figures)

    def _read_connections(self) -> dict[tuple[str, int], int]:
        """Return the bytes sent and received on each connection to the platform."""
        found = {}
        for name, listener in self.platform._listeners.items():
            kind = "target" if name in self.platform.targets else "worker"
            kind = "platform" if name == "store" else kind
            found.update(_read_listener(kind, listener))
        return found


class Reading(NamedTuple):
    """All counters at one point in time.

    :param time: time of the monotonic clock in seconds.
    :param processor: processor seconds of the benchmark's own process.
    :param connections: bytes by kind and identity of each connection.
    """

    time: float
    processor: float
    daemons: dict[str, dict[str, float]]
    platform: dict[str, float]
    connections: dict[tuple[str, int], int]


class Load:
    """Makes calls at a fixed rate, spread over the daemons.

    :param rate: calls per second.
    :param make_call: makes one call with a client and the number of the call.
    :param names: daemons to call; all of them if empty.
    """

    def __init__(
        self,
        fleet: Fleet,
        rate: float,
        make_call: Callable[[Client, int], Awaitable[Any]],
        names: Collection[str] = (),
    ) -> None:
        self.statuses: Counter[int] = Counter()
        self._clients = [fleet.clients[name] for name in names or fleet.clients]
        self._rate = rate
        self._make_call = make_call

    async def run(self) -> None:
        """Make calls until cancelled, without waiting for earlier ones to end."""
        start = time.monotonic()
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                client = self._clients[number % len(self._clients)]
                group.create_task(self._call(client, number))
                number += 1
                due = start + number / self._rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _call(self, client: Client, number: int) -> None:
        reply = await self._make_call(client, number)
        self.statuses[reply.status] += 1


def list_teams() -> list[str]:
    """List the teams of the benchmark."""
    return [f"team-{number:02}" for number in range(TEAMS)]


def list_zones(count: int) -> list[str]:
    """List the names of ``count`` zones."""
    return [f"zone-{number}" for number in range(count)]


async def declare(fleet: Fleet) -> None:
    """Declare each team with one workload, and wait for them to be in force."""
    client = next(iter(fleet.clients.values()))
    quota = {"processors": 4096, "memory": 1 << 28}
    for team in list_teams():
        team_spec = {"spec": {"quota": quota}}
        check_reply(await client.call("PUT", f"/v1/teams/{team}", team_spec))
        spec = {
            "team": team,
            "type": "batch",
            "size": TASK_SIZE,
            "tasks": TASKS_PER_JOB,
            "idempotent": True,
        }
        path = f"/v1/workloads/batch-{team}"
        check_reply(await client.call("PUT", path, {"spec": spec}))
    await asyncio.sleep(SETTLE_SECONDS)


def check_reply(reply: Reply) -> None:
    """Raise :exc:`RuntimeError` if a call that the benchmark needs was refused."""
    if reply.status >= 300:
        raise RuntimeError(f"{reply.status} {reply.body!r}")


async def submit(client: Client, number: int, seconds: float) -> Any:
    """Submit a job whose tasks run for ``seconds``."""
    team = list_teams()[number % TEAMS]
    path = f"/v1/workloads/batch-{team}/jobs"
    return await client.call("POST", path, {"run_time": seconds})


async def change(client: Client, number: int) -> Any:
    """Change a workload's declaration."""
    team = list_teams()[number % TEAMS]
    spec = {"team": team, "type": "batch", "size": TASK_SIZE, "run_time": 1 + number}
    return await client.call("PUT", f"/v1/workloads/changed-{team}", {"spec": spec})


async def request(client: Client, number: int) -> Any:
    """Send a request to a service."""
    path = f"/v1/services/{SERVICE}/requests"
    headers = {"Idempotent": "true"}
    return await client.call("POST", path, body=b"x" * 100, headers=headers)


def read_process(process_id: int) -> dict[str, float]:
    """Return the processor time in ms and the memory in MB of a process."""
    memory = psutil.Process(process_id).memory_full_info()
    return {
        "processor ms": read_processor_time(process_id) * 1e3,
        "resident MB": memory.rss / MEGABYTE,
        "unshared MB": memory.uss / MEGABYTE,
    }


def read_processor_time(process_id: int) -> float:
    """Return the processor seconds of all threads of a process, in ns resolution."""
    threads = Path(f"/proc/{process_id}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in threads) / 1e9


def parse_metrics(text: str) -> dict[str, float]:
    """Return the counters of one daemon, by name of the metric and its labels."""
    found: Counter[str] = Counter()
    for line in text.splitlines():
        match = _METRIC.match(line)
        if match is None or not match[1].startswith("damaskdeck"):
            continue
        labels = dict(_LABEL.findall(match[2]))
        servers = [labels[n] for n in sorted(labels) if not n.startswith("otel")]
        name = " ".join([match[1].removeprefix("damaskdeck_"), *servers])
        found[name] += float(match[3])
    return dict(found)


def _read_listener(kind: str, listener: Listener) -> dict[tuple[str, int], int]:
    found = {}
    for transport in listener.transports:
        connection = transport.get_extra_info("socket")
        if transport.is_closing() or connection is None:
            continue
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        sent, received = struct.unpack_from("QQ", info, TCP_BYTES_OFFSET)
        found[kind, id(transport)] = sent + received
    return found


def compare(before: Reading, after: Reading) -> Sample:
    """Return the growth per second between two readings."""
    seconds = after.time - before.time
    daemons = {
        name: _subtract(before.daemons[name], figures, seconds)
        for name, figures in after.daemons.items()
        if name in before.daemons
    }
    fleet = _subtract(before.platform, after.platform, seconds)
    for (kind, identity), count in after.connections.items():
        growth = count - before.connections.get((kind, identity), 0)
        name = f"{kind} bytes"
        fleet[name] = fleet.get(name, 0.0) + max(0, growth) / seconds
    return Sample(daemons, fleet, (after.processor - before.processor) / seconds)


def _subtract(
    before: dict[str, float], after: dict[str, float], seconds: float
) -> dict[str, float]:
    """Return the growth of counters per second, and the last value of sizes in MB."""
    return {
        name: value if "MB" in name else (value - before.get(name, 0.0)) / seconds
        for name, value in after.items()
    }
