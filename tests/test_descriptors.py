"""Connections to workers when the fleet is large for the descriptor limit."""

import unittest
from datetime import timedelta

from damaskdeck.platform import PlatformWorkers
from damaskdeck.platform.client import KEEPALIVE_SECONDS
from damaskdeck.platform.workers import CONNECTIONS_PER_WORKER, SHORT_KEEPALIVE_SECONDS
from damaskdeck.protocol.pools import PoolWorker, TaskStart
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import ZERO_SIZE


class _RecordingClient:
    """Never gets a response, and records the keep-alive time of each call."""

    def __init__(self) -> None:
        self.keepalive_times: list[float] = []

    async def call(
        self, *args, keepalive_seconds: float = KEEPALIVE_SECONDS, **options
    ) -> Lost:
        """Record a call."""
        self.keepalive_times.append(keepalive_seconds)
        return Lost("timeout")


class TestConnections(unittest.IsolatedAsyncioTestCase):
    """Keep-alive time of connections that orders use."""

    async def test_order_connections_of_large_fleets_are_kept_shortly(self):
        client = _RecordingClient()
        workers = PlatformWorkers(client, 20 * CONNECTIONS_PER_WORKER)
        task = TaskName("j", 0, 0, 0)
        order = TaskStart(task, 1, "", timedelta(seconds=1))
        for number in range(21):
            info = PoolWorker(f"w{number}", "hub", f"10.0.0.{number}:1", "z", ZERO_SIZE)
            await workers.start(info, 1, order)
            await workers.poll(info, 1, 0, None, timedelta())
        await workers.start(info, 1, order)
        self.assertEqual(client.keepalive_times[-1], SHORT_KEEPALIVE_SECONDS)
        # Polls always use the usual time, as do orders with fewer workers.
        self.assertEqual(set(client.keepalive_times[:-1]), {KEEPALIVE_SECONDS})
