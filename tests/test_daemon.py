"""Start of the daemon's process: invalid settings and exit codes."""

import asyncio
import socket
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import yaml

from damaskdeck.__main__ import EXIT_SETTINGS
from standins.deployment import DaemonProcess, StartError

DOCUMENT = {
    "name": "entry-1",
    "zone": "zone-a",
    "listen": {"host": "127.0.0.1"},
    "platform": {"store": "127.0.0.1:1", "instances": "127.0.0.1:1"},
    "tokens": {"operator": "operator-token", "peer": "peer-token-1"},
}


class TestExitCodes(unittest.IsolatedAsyncioTestCase):
    """With invalid settings, the daemon prints the faults and exits."""

    async def run_daemon(self, document: Any) -> tuple[int, str]:
        """Run a daemon until it exits; return its exit code and standard error."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.yaml"
            path.write_text(yaml.safe_dump(document))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "damaskdeck",
                "--settings",
                str(path),
                stderr=asyncio.subprocess.PIPE,
            )
            _, errors = await process.communicate()
        return process.returncode, errors.decode()

    async def test_all_faults_of_the_settings_are_printed(self):
        document = {**DOCUMENT, "zone": "Zone A", "listens": {}}
        code, errors = await self.run_daemon(document)
        self.assertEqual(code, EXIT_SETTINGS, errors)
        self.assertIn("zone: bad_value", errors)
        self.assertIn("listens: unknown_field", errors)

    async def test_port_in_use_is_printed_as_settings_fault(self):
        with socket.create_server(("127.0.0.1", 0)) as other:
            port = other.getsockname()[1]
            listen = {"host": "127.0.0.1", "api_port": port}
            code, errors = await self.run_daemon({**DOCUMENT, "listen": listen})
        self.assertEqual(code, EXIT_SETTINGS, errors)
        self.assertIn("listen: cannot_listen", errors)


class TestStart(unittest.IsolatedAsyncioTestCase):
    """The test helper that starts daemons."""

    async def test_failed_start_is_reported_with_last_lines(self):
        with tempfile.TemporaryDirectory() as folder:
            daemon = DaemonProcess({**DOCUMENT, "zone": "Zone A"}, Path(folder))
            with self.assertRaisesRegex(StartError, "zone: bad_value"):
                await daemon.start()
