"""Daemons that run as separate processes on the HTTP stand-in for the platform."""

import asyncio
import os
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any

from standins.deployment import DaemonProcess
from standins.wire import WirePlatform


class NodeProcess(DaemonProcess):
    """A daemon that is started with the platform's node file as its settings.

    :param folder: folder in which the settings file is written.
    """

    def __init__(self, name: str, zone: str, platform: WirePlatform, folder: Path):
        super().__init__({"name": name}, folder)
        self._path.write_text(
            "\n".join(
                (
                    f"node_name={name}",
                    "ip=127.0.0.1",
                    f"zone={zone}",
                    "region=region-1",
                    "listen.frontend=127.0.0.1:0",
                    "listen.readiness=127.0.0.1:0",
                    "internal_ports=0,0",
                    "bounds.hold_max_ms=6000",
                    "bounds.grace_s=6",
                    f"platform.address={platform.store.listener.address}",
                    "platform.ttl_min_ms=1000",
                    f"advice={platform.advisor.listener.address}",
                    "something.new=ignored",
                )
            )
        )

    @property
    def ready_address(self) -> str:
        """Address at which a load balancer checks readiness."""
        return self.find_lines("Listening.")[-1]["ready"]

    @property
    def metrics_address(self) -> str:
        """Address of the metrics endpoint."""
        return self.find_lines("Listening.")[-1]["metrics"]

    def find_lines(self, message: str) -> list[dict[str, Any]]:
        """Return the log lines whose message is ``message``."""
        return [line for line in self.lines if line.get("message") == message]

    def add_settings(self, line: str) -> None:
        """Append a line to the settings file; does not signal the process."""
        self._path.write_text(f"{self._path.read_text()}\n{line}")

    async def _spawn(self) -> tuple[Process, asyncio.StreamReader | None]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "damaskdeck",
            "--platform",
            stdout=PIPE,
            env={**os.environ, "DAMASKDECK_NODE_FILE": str(self._path)},
        )
        return process, process.stdout
