"""Orders on a link that carries them one after the other.

The pattern: wide steps are placed at once, 200 orders of 1.5 KB on a link of 2 Mbit/s,
6 ms each; an answer is waited for 0.3 s. Sent together, three of four had no answer in
time, were in doubt and stopped, and were sent again beside what came meanwhile.
"""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.windows import (
    ANSWERS,
    FIRST_LIMIT,
    LEAST_LIMIT,
    OrderWindow,
)
from damaskdeck.protocol.queues import QueuedState, StepSpec
from tests.poolcluster import SECOND, SMALL, PoolCase, make_job
from tests.virtual import virtual

LINK = timedelta(milliseconds=6)
TASKS = 200


class TestSlowLink(PoolCase):
    """Wide steps on a slow link."""

    @virtual
    async def test_wide_steps_start_without_doubt(self):
        cluster = await self.begin(workers=TASKS // 4)
        for daemon in cluster.daemons.values():
            daemon.workers.link = LINK
        steps = StepSpec(TASKS // 2, SMALL, SECOND)
        await cluster.submit("j1", make_job(steps))
        await cluster.submit("j2", make_job(steps))
        await cluster.wait_for_state("j1", QueuedState.COMPLETED, seconds=8)
        await cluster.wait_for_state("j2", QueuedState.COMPLETED, seconds=8)
        unheard = sum(d.workers.unheard for d in cluster.daemons.values())
        self.assertLess(unheard, TASKS / 4)
        self.end()


class TestWindow(unittest.TestCase):
    """How many orders go at a time."""

    def setUp(self) -> None:
        self.window = OrderWindow()

    @virtual
    async def test_the_most_urgent_goes_first(self):
        self.window.limit = 1
        await self.window.enter(0)
        went = []

        async def go(rank: int) -> None:
            await self.window.enter(rank)
            went.append(rank)
            self.window.leave(0.01)

        going = [asyncio.ensure_future(go(rank)) for rank in (2, 1, 0, 1)]
        await asyncio.sleep(0)
        self.assertEqual(went, [])
        self.window.leave(0.01)
        await asyncio.gather(*going)
        self.assertEqual(went, [0, 1, 1, 2])

    @virtual
    async def test_slow_answers_let_fewer_go_and_quick_ones_more(self):
        for _ in range(20 * ANSWERS):
            await self.window.enter(0)
            self.window.leave(0.25)
        self.assertEqual(self.window.limit, LEAST_LIMIT)
        for _ in range(10 * ANSWERS):
            await self.window.enter(0)
            self.window.leave(0.01)
        self.assertGreater(self.window.limit, LEAST_LIMIT + 5)

    @virtual
    async def test_a_few_dark_workers_change_nothing(self):
        for number in range(200):
            await self.window.enter(0)
            self.window.leave(0.3 if number % 3 == 0 else 0.01)
        self.assertGreaterEqual(self.window.limit, FIRST_LIMIT)

    @virtual
    async def test_who_gives_up_waiting_takes_no_turn(self):
        self.window.limit = 1
        await self.window.enter(0)
        waiting = asyncio.ensure_future(self.window.enter(0))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.window.leave(0.01)
        await asyncio.wait_for(self.window.enter(0), 1)
