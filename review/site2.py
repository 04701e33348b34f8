"""A small deployment for the scripts of the second review.

Daemons are processes that are started with the command of the deploy file. The
platform's store, its advisor, the minions and the clients are the project's own
stand-ins, all on loopback addresses and the real clock.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import zlib
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import aiohttp

from damaskdeck.clock import SystemClock
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import Size
from standins.http import Listener
from standins.pools import StandinWorker, Work
from standins.wire import HEARTBEAT_INTERVAL, WireAdvisor, WirePlatform, WireWorker

ROOT = Path(__file__).resolve().parents[2]
HOST = "a.example"
PREFIX = "/plans/"
# Those of svetloba-scene.
SETTINGS = {
    "machine_class": "frontend",
    "serves": "frontend",
    "region": "osrednja",
    "bootstrap": "true",
    "limits.cpu_share": "0.537",
    "limits.cores": "2",
    "limits.memory_mb": "300",
    "limits.max_fds": "4100",
    "discovery": "platform",
    "entry": "vip",
    "heartbeat_ms": "1500",
    "contracts": "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
    "fault_tolerance.machines": "2",
    "fault_tolerance.zones": "1",
    "bounds.contact_ms": "3000",
    "bounds.ack_ms": "4000",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "6",
    "bounds.config_apply_ms": "2000",
    "bounds.recovery_s": "12",
    "bounds.hold_max_ms": "6000",
    "bounds.stop_timeout_ms": "400",
    "bounds.gang_timeout_ms": "3000",
    "bounds.cancel_ms": "3000",
    "bounds.visible_ms": "3000",
    "bounds.finish_s": "14",
    "bounds.status_s": "120",
    "bounds.remote_factor": "2",
    "bounds.checkpoint_interval_s": "2",
    "bounds.restore_ms": "100",
    "bounds.notice_ms": "4500",
    "bounds.fencing_enforced": "false",
    "bounds.lease_ms": "3000",
    "commands": "call",
    "platform.form": "kv",
    "platform.writes_per_s": "400",
    "platform.reads_per_s": "2000",
    "platform.history_s": "20",
    "platform.value_bytes": "1048576",
    "platform.ttl_min_ms": "1000",
}
ZONES = ("osrednja-a", "osrednja-b", "osrednja-c")
WORKERS = 24
WORKER_SIZE = Size(16000, 65536, 0)
# The kinds of the minions, in turn.
KINDS = ("a", "a", "b")
MEMORY_MB = 300
RESTART_SECONDS = 1.0
# On so many machines processes may not end by themselves so often in a day.
FAULT_MACHINES = 2
FAULT_ENDS = 3
# A minion's entry is removed after three heartbeat intervals of silence.
REMOVAL_DELAY = 3 * HEARTBEAT_INTERVAL


class Advisor(WireAdvisor):
    """An advisor that takes its time and consents to a share of the minions.

    :param good: the share of the minions that may run a step.
    """

    def __init__(self, decide_ms: float, period_ms: float, good: float) -> None:
        self._decide_ms = decide_ms
        self._period_ms = period_ms
        self._good = good
        super().__init__()

    async def _answer(
        self, method: str, path: str, query: dict, headers: dict, body: Any
    ) -> tuple[int, Any]:
        workers = body["workers"]
        await asyncio.sleep((self._decide_ms + self._period_ms * len(workers)) / 1000)
        step = body["step"]
        consents = [
            [worker, f"t-{step}-{worker}"]
            for worker in workers
            if zlib.crc32(f"{step} {worker}".encode()) % 1000 < 1000 * self._good
        ]
        return 200, {"good": consents, "valid_ms": 2500}


class Minion(WireWorker):
    """A minion whose entry has its kind and its rack."""

    labels: tuple[str, ...] = ()

    def describe(self) -> bytes:
        """Return the minion's entry in the registry."""
        entry = json.loads(super().describe())
        return json.dumps({**entry, "labels": list(self.labels)}).encode()


class Record:
    """What was sent, answered and run, in ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Add a line with the time."""
        line = f"{self.now():8.3f}  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def find_port() -> int:
    """Return a free port below those that the system gives to other sockets."""
    while True:
        port = random.randrange(15_000, 30_000)
        with socket.socket() as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Daemon:
    """A process of the deploy file's command."""

    def __init__(self, site: "Site", number: int) -> None:
        self.name = f"frontend-{number}"
        self.port = find_port()
        self.ready_port = find_port()
        self._site = site
        self._path = site.folder / f"{self.name}.conf"
        self._log = site.folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        settings = {
            "node_name": self.name,
            "role": "entry",
            "ip": "127.0.0.1",
            "zone": ZONES[number % len(ZONES)],
            **{f"zones.{zone}": "osrednja" for zone in ZONES},
            "listen.frontend": f"127.0.0.1:{self.port}",
            "listen.readiness": f"127.0.0.1:{self.ready_port}",
            # Any free port, for the metrics too, as all daemons share one address.
            "internal_ports": "0,0",
            "platform.address": site.platform.store.listener.address,
            "advice": site.platform.advisor.listener.address,
            **SETTINGS,
        }
        lines = (f"{name}={value}\n" for name, value in settings.items())
        self._path.write_text("".join(lines))

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["DAMASKDECK_NODE_FILE"] = str(self._path)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "damaskdeck", "--platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._site.record.write(f"{self.name} is started")

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The process that was started last."""
        assert self._process is not None
        return self._process

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._site.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def find_lines(self, *texts: str) -> list[dict[str, Any]]:
        """Return the lines of the log that contain all of some texts."""
        found = []
        for line in self._log.read_text(errors="replace").splitlines():
            if all(text in line for text in texts):
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found


class Site:
    """The platform, the minions, the daemons and one client.

    :param folder: of the case, for its record.
    :param behave: returns how an attempt of a task behaves.
    """

    def __init__(
        self,
        folder: Path,
        behave: Callable[[TaskName, int], Work],
        daemons: int = 3,
        workers: int = WORKERS,
        advisor: Advisor | None = None,
    ) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.clock = SystemClock()
        self._behave = behave
        self._names = 0
        self.platform = WirePlatform(self.clock, workers=0, behave=behave)
        if advisor is not None:
            self.platform.advisor = advisor
        self.platform.workers = [self._build_worker() for _ in range(workers)]
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        self._starts_seen: dict[StandinWorker, int] = {}
        self._ends_seen: dict[StandinWorker, int] = {}
        self._former: list[StandinWorker] = []
        self._tasks: set[asyncio.Task[None]] = set()

    # Minions -----------------------------------------------------------------

    def build_standin(self, info: PoolWorker) -> StandinWorker:
        """Return the stand-in for one life of a minion."""
        return StandinWorker(info, self.clock, self._behave)

    def _build_worker(self, port: int = 0) -> WireWorker:
        self._names += 1
        worker = Minion(f"i-{self._names:04}", "hub", self.clock, self._behave)
        kind = KINDS[self._names % len(KINDS)]
        worker.labels = (kind, f"r1-{self._names // 6}")
        if port:
            _move(worker.listener, port)
        info = worker.worker.info._replace(
            address=worker.listener.address,
            size=WORKER_SIZE,
            zone=ZONES[self._names % len(ZONES)],
        )
        worker.worker = self.build_standin(info)
        return worker

    async def crash(self, worker: WireWorker, down: timedelta) -> None:
        """Crash a minion; its next life has a new id and the same address."""
        name = worker.worker.incarnation.name
        port = int(worker.listener.address.rpartition(":")[2])
        self.observe()
        worker.worker.kill()
        self._former.append(worker.worker)
        worker.listener.close()
        self.platform.workers.remove(worker)
        self.record.write(f"minion {name} crashes")
        self.run(self._remove_entry(name))
        await asyncio.sleep(down.total_seconds())
        successor = self._build_worker(port)
        await successor.listener.start()
        self.platform.workers.append(successor)
        self._register(successor)
        self.record.write(
            f"minion {successor.worker.incarnation.name} starts at its address"
        )

    async def _remove_entry(self, name: str) -> None:
        await asyncio.sleep(REMOVAL_DELAY.total_seconds())
        self.platform.store.store.set(f"servers/{name}", None)

    def _register(self, worker: WireWorker) -> None:
        name = worker.worker.incarnation.name
        self.platform.store.store.set(f"servers/{name}", worker.describe())

    def run(self, work: Any) -> None:
        """Run a coroutine until the case ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def list_standins(self) -> list[StandinWorker]:
        """List all lives of minions so far."""
        return [*self._former, *(w.worker for w in self.platform.workers)]

    def find_running(self, job: str) -> list[tuple[WireWorker, TaskName, float]]:
        """List the minions that run a job's tasks, with the tasks and their ages."""
        now = self.clock.monotonic()
        return [
            (worker, task, (now - run.started_at).total_seconds())
            for worker in self.platform.workers
            for task, run in worker.worker.running.items()
            if task.job == job
        ]

    def list_ends(self, job: str) -> list[str]:
        """List how the runs of a job have ended."""
        return [
            str(kind)
            for standin in self.list_standins()
            for task, _, kind, _, _ in standin.history
            if task.job == job
        ]

    def observe(self) -> None:
        """Record the starts and ends at the minions since the last call."""
        for standin in self.list_standins():
            name = standin.incarnation.name
            if standin.is_up:
                standin.settle()
            seen = self._starts_seen.get(standin, 0)
            for _, task, attempt, epoch in standin.starts[seen:]:
                text = ".".join(map(str, task))
                self.record.write(f"{name} starts {text} run {attempt} token {epoch}")
            self._starts_seen[standin] = len(standin.starts)
            seen = self._ends_seen.get(standin, 0)
            for task, attempt, kind, _, _ in standin.history[seen:]:
                text = ".".join(map(str, task))
                self.record.write(f"{name} ends {text} run {attempt}: {kind}")
            self._ends_seen[standin] = len(standin.history)

    # Clients -----------------------------------------------------------------

    async def call(
        self, method: str, job: str, body: Any = None, daemon: int = 0, wait: float = 3
    ) -> tuple[int, Any]:
        """Call a daemon as a client does; the status is 0 without an answer."""
        url = f"http://127.0.0.1:{self.daemons[daemon].port}{PREFIX}{job}"
        data = None if body is None else json.dumps(body)
        headers = {"Host": HOST, "Deadline-Ms": str(round(wait * 1000))}
        timeout = aiohttp.ClientTimeout(total=wait)
        try:
            async with self.session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as answer:
                text = await answer.text()
                result = answer.status, json.loads(text) if text else None
        except (aiohttp.ClientError, TimeoutError) as error:
            result = 0, repr(error)
        size = f", {len(data)} bytes" if data else ""
        self.record.write(
            f"{method} {job}{size} at {self.daemons[daemon].name}: {result}"
        )
        return result

    async def submit(self, job: str, steps: list[dict[str, Any]], **fields: Any) -> int:
        """Submit a job and return the status."""
        status, _ = await self.call("POST", job, {"spec": "s", "steps": steps})
        return status

    async def read_state(self, job: str, daemon: int = 0) -> str:
        """Return a job's state, or the status if there is none."""
        status, body = await self.call("GET", job, daemon=daemon)
        return body["state"] if status == 200 else str(status)

    # Life --------------------------------------------------------------------

    async def start(self, **route: Any) -> None:
        """Start everything and wait until the daemons are ready and own the pools."""
        await self.platform.start()
        self.platform.declare(5, **{"advice": None, **route})
        document = json.loads(self.platform.store.store.entries["op/config"].value)
        document["limits"]["max_body_bytes"] = 262_144
        self.platform.store.store.set("op/config", json.dumps(document).encode())
        self.session = aiohttp.ClientSession()
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await self._wait_ready(daemon)
        # Traffic starts 12 s after the machines do; a part of that suffices here.
        await asyncio.sleep(5)
        self.run(self._observe_always())

    async def _observe_always(self) -> None:
        while True:
            self.observe()
            await asyncio.sleep(0.02)

    async def _wait_ready(self, daemon: Daemon) -> None:
        url = f"http://127.0.0.1:{daemon.ready_port}/ready"
        until = time.monotonic() + 25
        while time.monotonic() < until:
            try:
                async with self.session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{daemon.name} does not become ready")

    async def close(self) -> None:
        """End all processes that were started."""
        for task in list(self._tasks):
            task.cancel()
        for daemon in self.daemons:
            daemon.kill()
        if hasattr(self, "session"):
            await self.session.close()
        self.platform.close()
        self._temporary.cleanup()


def measure_memory(daemon: Daemon) -> float:
    """Return the resident memory of a daemon in MB, 0 if it has ended."""
    try:
        status = Path(f"/proc/{daemon.process.pid}/status").read_text()
    except OSError:
        return 0.0
    sizes = [line for line in status.splitlines() if line.startswith("VmRSS:")]
    return int(sizes[0].split()[1]) / 1024 if sizes else 0.0


class MemoryGuard:
    """Kills the processes that exceed their memory, and starts them again."""

    def __init__(self) -> None:
        self.kills: dict[str, int] = {}

    @property
    def is_fault(self) -> bool:
        """Whether processes ended by themselves too often on too many machines."""
        ended = [name for name, kills in self.kills.items() if kills >= FAULT_ENDS]
        return len(ended) >= FAULT_MACHINES

    async def run(self, site: Site) -> None:
        """Watch all daemons."""
        while True:
            for daemon in site.daemons:
                used = measure_memory(daemon)
                if used > MEMORY_MB:
                    self.kills[daemon.name] = self.kills.get(daemon.name, 0) + 1
                    site.record.write(f"{daemon.name} uses {used:.0f} MB and is killed")
                    daemon.kill()
                    site.run(self._restart(daemon))
            await asyncio.sleep(0.1)

    async def _restart(self, daemon: Daemon) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        daemon.start()


def _move(listener: Listener, port: int) -> None:
    """Let a listener that has not started listen on another port."""
    listener._socket.close()
    listener._socket = socket.socket(proto=socket.IPPROTO_TCP)
    listener._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener._socket.bind(("127.0.0.1", port))
    listener._socket.listen(128)
    listener.address = f"127.0.0.1:{port}"


def has_trouble() -> bool:
    """Whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path,
    behave: Callable[[TaskName, int], Work],
    play: Callable[[Site], Awaitable[str]],
    limit: float = 100,
    route: dict[str, Any] | None = None,
    site: type[Site] = Site,
    **options: Any,
) -> None:
    """Play a case and exit with 1 if its rule was broken, 0 if not, else with 2.

    :param play: returns what broke the rule, an empty string if nothing did.
    """

    async def run() -> str:
        deployment = site(folder, behave, **options)
        try:
            async with asyncio.timeout(limit):
                await deployment.start(**(route or {}))
                broken = await play(deployment)
            deployment.record.write(f"broken: {broken}" if broken else "the rule held")
            return broken
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(run())
    except BaseException as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
