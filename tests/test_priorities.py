"""Urgent tasks go before others on an event loop that has much to do."""

import asyncio
import itertools
import unittest

from damaskdeck.priorities import PriorityLoop, create_urgent_task


def run_prioritized(work) -> object:
    """Run ``work`` on a loop with priorities."""
    with asyncio.Runner(loop_factory=PriorityLoop) as runner:
        return runner.run(work())


class TestPriorityLoop(unittest.TestCase):
    """The order of callbacks."""

    def test_an_urgent_task_ends_before_others_go_on(self):
        async def work() -> list[str]:
            order = []

            async def run(name: str) -> None:
                for number in range(3):
                    await asyncio.sleep(0)
                    order.append(f"{name}{number}")

            plain = asyncio.ensure_future(run("plain"))
            await asyncio.gather(plain, create_urgent_task(run("urgent")))
            return order

        order = run_prioritized(work)
        self.assertEqual(order[:3], ["urgent0", "urgent1", "urgent2"])

    def test_urgent_callbacks_run_in_their_order(self):
        # Transports rely on it: a connection is made before it is read from.
        async def work() -> list[int]:
            order = []

            async def schedule() -> None:
                for number in range(5):
                    asyncio.get_running_loop().call_soon(order.append, number)

            await create_urgent_task(schedule())
            await asyncio.sleep(0)
            return order

        self.assertEqual(run_prioritized(work), [0, 1, 2, 3, 4])

    def test_a_cancelled_callback_does_not_run(self):
        async def work() -> list[int]:
            order = []

            async def schedule() -> None:
                loop = asyncio.get_running_loop()
                loop.call_soon(order.append, 1).cancel()
                loop.call_soon(order.append, 2)

            await create_urgent_task(schedule())
            await asyncio.sleep(0)
            return order

        self.assertEqual(run_prioritized(work), [2])

    def test_plain_tasks_get_their_turn_beside_an_endless_urgent_one(self):
        async def work() -> bool:
            async def spin() -> None:
                for _ in itertools.count():
                    await asyncio.sleep(0)

            spinning = create_urgent_task(spin())
            for _ in range(3):
                await asyncio.sleep(0)
            spinning.cancel()
            return True

        self.assertTrue(run_prioritized(work))
