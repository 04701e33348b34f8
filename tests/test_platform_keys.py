"""API keys of client accounts, tested with a daemon process over HTTP."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiohttp

from damaskdeck.clock import SystemClock
from standins.nodes import NodeProcess
from standins.waiting import wait_until
from standins.wire import WirePlatform

JOB = {"spec": "s", "steps": [{"task_count": 1, "cpu": 500, "estimated_ms": 200}]}
NODE_SETTINGS = (
    "contracts=base,tenants\n"
    "bounds.strict_revocation=true\n"
    "bounds.revoke_ms=5000\n"
    "bounds.config_apply_ms=3000"
)


class TestKeys(unittest.IsolatedAsyncioTestCase):
    """One daemon and a caller that reuses a single connection."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.platform = WirePlatform(SystemClock())
        await self.platform.start()
        self.addCleanup(self.platform.close)
        self.declare(5, "key-1", "key-2")
        self.node = NodeProcess("n0", "z0", self.platform, Path(folder.name))
        self.node.add_settings(NODE_SETTINGS)
        await self.node.start()
        self.addAsyncCleanup(self.node.kill)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=60)
        )
        self.addAsyncCleanup(self.session.close)
        ready = f"http://{self.node.ready_address}/ready"

        async def get_status() -> int:
            async with self.session.get(ready) as reply:
                return reply.status

        self.assertEqual(
            await wait_until(get_status, lambda status: status == 200), 200
        )

    def declare(self, version: int, *keys: str) -> None:
        """Declare two accounts, the first of which has the given keys."""
        self.platform.declare(
            version,
            tenants=[
                {"name": "kiosk", "api_keys": keys, "cap": {"cpu": 4000}},
                {"name": "depot", "api_keys": ["key-9"]},
            ],
        )

    async def call(
        self, method: str, job: str, key: str | None, body: Any = None
    ) -> tuple[int, Any]:
        """Call the daemon's API as a client does; return status and decoded body."""
        headers = {"Host": "a.example"} | ({"X-Api-Key": key} if key else {})
        url = f"http://{self.node.address}/plans/{job}"
        data = None if body is None else json.dumps(body)
        async with self.session.request(
            method, url, data=data, headers=headers
        ) as reply:
            text = await reply.text()
            return reply.status, json.loads(text) if text else None

    async def test_keys_grant_access_to_their_own_account_only(self):
        job = "000000000000000a"
        for key, code in ((None, "missing_key"), ("key-7", "unknown_key")):
            status, response = await self.call("POST", job, key, JOB)
            self.assertEqual((status, response), (401, {"error": code}))
        status, _ = await self.call("POST", job, "key-1", JOB)
        self.assertEqual(status, 200)
        status, _ = await self.call("GET", job, "key-9")
        self.assertEqual(status, 410)
        status, response = await self.call("POST", job, "key-9", JOB)
        self.assertEqual((status, response["error"]), (409, "identifier_in_use"))

        async def get_job() -> tuple[int, Any]:
            return await self.call("GET", job, "key-2")

        response = await wait_until(
            get_job, lambda answer: answer[1] == {"state": "done"}
        )
        self.assertEqual(response[0], 200)

        # The change applies to the open connection once the document is in force.
        self.declare(7, "key-2")

        async def get_with_revoked_key() -> tuple[int, Any]:
            return await self.call("GET", job, "key-1")

        response = await wait_until(
            get_with_revoked_key, lambda answer: answer[0] == 401
        )
        self.assertEqual(response, (401, {"error": "unknown_key"}))
        status, _ = await self.call("GET", job, "key-2")
        self.assertEqual(status, 200)
        logged = json.dumps(list(self.node.lines))
        self.assertIn("kiosk", logged)
        for key in ("key-1", "key-2", "key-7", "key-9"):
            self.assertNotIn(key, logged)
