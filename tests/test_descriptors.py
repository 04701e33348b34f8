"""A fleet that is large for what a process may open."""

import unittest
from datetime import timedelta

from damaskdeck.delays import LoopDelay
from damaskdeck.platform import PlatformWorkers
from damaskdeck.platform.client import KEEPALIVE_SECONDS
from damaskdeck.platform.workers import CONNECTIONS_PER_WORKER, SHORT_KEEPALIVE_SECONDS
from damaskdeck.protocol.pools import PoolWorker, TaskStart
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import ZERO_SIZE


class _Client:
    """Answers nothing and remembers for how long channels are kept."""

    def __init__(self) -> None:
        self.kept: list[float] = []

    async def call(
        self, *args, keepalive_seconds: float = KEEPALIVE_SECONDS, **options
    ) -> Lost:
        """Make a call."""
        self.kept.append(keepalive_seconds)
        return Lost("timeout")


class TestChannels(unittest.IsolatedAsyncioTestCase):
    """For how long channels of orders are kept."""

    async def test_they_are_kept_shortly_where_there_are_many_workers(self):
        client = _Client()
        workers = PlatformWorkers(client, LoopDelay(), 20 * CONNECTIONS_PER_WORKER)
        task = TaskName("j", 0, 0, 0)
        order = TaskStart(task, 1, "", timedelta(seconds=1))
        for number in range(21):
            info = PoolWorker(f"w{number}", "hub", f"10.0.0.{number}:1", "z", ZERO_SIZE)
            await workers.start(info, 1, order)
            await workers.poll(info, 1, 0, None, timedelta())
        await workers.start(info, 1, order)
        self.assertEqual(client.kept[-1], SHORT_KEEPALIVE_SECONDS)
        # Looks keep theirs, and with fewer workers so do orders.
        self.assertEqual(set(client.kept[:-1]), {KEEPALIVE_SECONDS})
