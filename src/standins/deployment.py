"""Daemons that run as separate processes on the stand-ins for the platform."""

import asyncio
import signal
import sys
from asyncio.subprocess import PIPE, Process
from collections import deque
from pathlib import Path
from typing import Any

import msgspec
import yaml

from standins.platform import Platform

OPERATOR_TOKEN = "operator-token"
PEER_TOKEN = "peer-token-1"
MAX_LOG_LINES = 2000
ERROR_LOG_LINES = 20
START_TIMEOUT_SECONDS = 30


class StartError(Exception):
    """A daemon exited, or timed out, before it started to listen."""

    def __init__(self, name: str, lines: list[dict[str, Any]]) -> None:
        last_lines = "\n".join(str(line.get("message", line)) for line in lines)
        super().__init__(
            f"{name} did not start to listen; its last log lines:\n{last_lines}"
        )


class DaemonProcess:
    """One ``damaskdeckd`` process and its most recent log lines.

    :param settings: the settings document.
    :param folder: folder in which the settings file is written.
    """

    def __init__(self, settings: dict[str, Any], folder: Path) -> None:
        self.name = settings["name"]
        self.address = ""
        self.lines: deque[dict[str, Any]] = deque(maxlen=MAX_LOG_LINES)
        self._path = folder / f"{self.name}.yaml"
        self._path.write_text(yaml.safe_dump(settings))
        self._process: Process | None = None
        self._stream: asyncio.StreamReader | None = None
        self._reader: asyncio.Task[None] | None = None
        self._listening = asyncio.Event()

    @property
    def process(self) -> Process:
        """The process that was started last."""
        assert self._process is not None, "not started"
        return self._process

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        self._listening.clear()
        self._process, self._stream = await self._spawn()
        self._reader = asyncio.ensure_future(self._read_lines())
        listening = asyncio.ensure_future(self._listening.wait())
        try:
            await asyncio.wait(
                {listening, self._reader},
                timeout=START_TIMEOUT_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            listening.cancel()
        if not self._listening.is_set():
            raise StartError(self.name, list(self.lines)[-ERROR_LOG_LINES:])

    async def _spawn(self) -> tuple[Process, asyncio.StreamReader | None]:
        """Start the process; return it and the stream of its log lines."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "damaskdeck",
            "--settings",
            str(self._path),
            stderr=PIPE,
        )
        return process, process.stderr

    async def stop(self) -> int:
        """Shut down gracefully and return the exit code."""
        return await self._terminate(signal.SIGTERM)

    async def kill(self) -> int:
        """Kill the process, as when its instance fails, and return the exit code."""
        return await self._terminate(signal.SIGKILL)

    def freeze(self) -> None:
        """Pause the process."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.process.send_signal(signal.SIGCONT)

    async def _terminate(self, signal_number: signal.Signals) -> int:
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        code = await self.process.wait()
        if self._reader is not None:
            await self._reader
        return code

    async def _read_lines(self) -> None:
        stream = self._stream
        assert stream is not None, "started with a pipe"
        async for raw in stream:
            line = _parse_line(raw)
            self.lines.append(line)
            if line.get("message") == "Listening.":
                self.address = line["api"]
                self._listening.set()


class Deployment:
    """Several daemons that share one platform.

    :param platform: must already serve HTTP.
    :param folder: folder for the settings files.
    :param teams: token of each team, by team name.
    :param limits: added to the section ``limits`` of each daemon's settings.
    """

    def __init__(
        self,
        platform: Platform,
        folder: Path,
        teams: dict[str, str],
        limits: dict[str, float] | None = None,
    ) -> None:
        self.platform = platform
        self.daemons: dict[str, DaemonProcess] = {}
        self._folder = folder
        self._teams = teams
        self._limits = limits or {}

    async def start(self, name: str, zone: str, region: str = "") -> DaemonProcess:
        """Start a daemon in an availability zone and wait until it listens."""
        daemon = DaemonProcess(self.make_settings(name, zone, region), self._folder)
        self.daemons[name] = daemon
        await daemon.start()
        return daemon

    def make_settings(self, name: str, zone: str, region: str = "") -> dict[str, Any]:
        """Return the settings document of a daemon."""
        settings = {
            "name": name,
            "zone": zone,
            "listen": {"host": "127.0.0.1"},
            "platform": {
                "store": self.platform.address,
                "instances": self.platform.address,
            },
            "tokens": {
                "operator": OPERATOR_TOKEN,
                "peer": PEER_TOKEN,
                "teams": self._teams,
            },
            "log": {"style": "json"},
            "limits": {"drain_delay": 0, **self._limits},
        }
        if region:
            settings["region"] = region
        return settings

    async def close(self) -> None:
        """Kill all daemons concurrently."""
        await asyncio.gather(*(d.kill() for d in self.daemons.values()))


def _parse_line(raw: bytes) -> dict[str, Any]:
    try:
        line = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        line = None
    if isinstance(line, dict):
        return line
    return {"message": raw.decode(errors="replace").rstrip()}
