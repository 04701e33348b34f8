"""Starts daemons with the command of the deploy file on loopback addresses."""

import asyncio
import os
import shlex
import signal
import socket
import tempfile
import tomllib
from asyncio.subprocess import Process
from pathlib import Path
from typing import Any

from http1 import call
from record import Record
from store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("z-one", "z-two", "z-three")
HOST = "jobs.example"
SETTINGS = """\
role=entry
machine_class=frontend
serves=frontend
region=r-one
zones.z-one=r-one
zones.z-two=r-one
zones.z-three=r-one
internal_ports=0,0
seeds=
bootstrap=true
in_tolerance=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.max_skew_ms=5000
bounds.recovery_s=12
bounds.hold_max_ms=6000
bounds.stop_timeout_ms=400
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=2
bounds.checkpoint_interval_s=2
bounds.restore_ms=100
bounds.lease_ms=3000
commands=call
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


class CannotRunError(Exception):
    """The case couldn't run."""


def find_free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind(("127.0.0.1", 0))
        return [opened.getsockname()[1] for opened in sockets]
    finally:
        for opened in sockets:
            opened.close()


class Daemon:
    """One daemon as a process of its own."""

    def __init__(self, name: str, zone: str, store: Store, folder: Path) -> None:
        self.name = name
        front, ready = find_free_ports(2)
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            f"node_name={name}\nzone={zone}\nip=127.0.0.1\n"
            f"listen.frontend={self.front}\nlisten.readiness={self.ready}\n"
            f"platform.address={store.server.address}\n{SETTINGS}"
        )
        self._process: Process | None = None

    async def start(self) -> None:
        """Start the process as the platform does."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(next(iter(deploy["roles"].values()))["run"])
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._settings.parent),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "DAMASKDECK_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text() if self._log.exists() else ""


class Deployment:
    """A store and daemons in three zones.

    :ivar folder: a temporary folder that is removed at the end.
    """

    def __init__(self, record: Record, daemons: int = 3) -> None:
        self.store = Store()
        self.record = record
        self.daemons: list[Daemon] = []
        self._count = daemons
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._task: asyncio.Task[None] | None = None

    async def start(self, routes: list[dict[str, Any]], service: str) -> None:
        """Start everything, and wait until all daemons are ready.

        :raises CannotRunError: if a daemon isn't ready in time.
        """
        await self.store.server.start()
        self._task = asyncio.ensure_future(self.store.run())
        manifest = {
            "version": 1,
            "routes": routes,
            "services": [{"name": service, "admission_check": False}],
            "limits": {"max_body_bytes": 262144},
        }
        await self.store.put("op/config", manifest)
        for number in range(self._count):
            zone = ZONES[number % len(ZONES)]
            daemon = Daemon(f"front-{zone}-{number}", zone, self.store, self.folder)
            self.daemons.append(daemon)
            await daemon.start()
        for _ in range(100):
            answers = [await call(d.ready, "GET", "/ready", {}) for d in self.daemons]
            if all(status == 200 for status, _ in answers):
                return
            await asyncio.sleep(0.2)
        logs = "\n".join(d.read_log()[-2000:] for d in self.daemons)
        raise CannotRunError(f"the daemons are not ready:\n{logs}")

    def keep_logs(self) -> None:
        """Copy the daemons' logs to the folder that ``KEEP_LOGS`` names, if any."""
        if folder := os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons:
                Path(folder, f"{daemon.name}.log").write_text(daemon.read_log())

    async def close(self) -> None:
        """End all processes."""
        for daemon in self.daemons:
            await daemon.end()
        if self._task is not None:
            self._task.cancel()
        self.store.server.close()
        self._temporary.cleanup()

    async def request(
        self, method: str, path: str, body: Any = None, daemon: int = 0
    ) -> tuple[int, Any]:
        """Make a client's call, and record it with its answer."""
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        front = self.daemons[daemon].front
        status, answer = await call(front, method, path, headers, body)
        self.record.write("call", method=method, path=path, status=status, got=answer)
        return status, answer

    async def submit(self, path: str, body: Any) -> None:
        """Hand a job in until it is accepted.

        :raises CannotRunError: if nobody accepts it.
        """
        self.record.write("job", path=path, body=body)
        for attempt in range(20):
            status, _ = await self.request("POST", path, body, attempt % self._count)
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError(f"{path} is not accepted")
