"""Gangs in the whole task plane: every gang starts, and only as a whole."""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

from damaskdeck.coordination.queues import starvinggangs
from damaskdeck.protocol.handlers import Submission
from damaskdeck.protocol.resources import Kind
from damaskdeck.state.names import select_ledger
from standins.loops import VirtualLoop
from standins.plane import Plane

SECOND = timedelta(seconds=1)
SMALL = b'{"run_time": 6}'
LONG = b'{"run_time": 20}'
# Capacity is reserved after 30 s. Then small tasks of 6 s have to end, and the calls
# take time as well.
START_LIMIT = 75


class GangPlaneCase(unittest.TestCase):
    """Three daemons and six workers of four cores, loaded with small tasks."""

    ledgers = 1

    def setUp(self):
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.addCleanup(self.runner.close)
        self.counts = set()
        self.keys = 0

    def run_plane(self, test):
        async def run():
            self.plane = await Plane(3, 6, ledgers=self.ledgers).start()
            self.plane.declare("small")
            for team in ("team", *self.find_teams()):
                self.plane.declare(f"gang-{team}", team, type="gang", tasks=20)
            await self.plane.clock.sleep(2 * SECOND)
            self.stream_task = asyncio.ensure_future(self.stream())
            watch = asyncio.ensure_future(self.watch())
            await self.plane.clock.sleep(20 * SECOND)
            await test()
            self.stream_task.cancel()
            watch.cancel()

        self.runner.run(run())
        self.assertLessEqual(self.counts, {0, 20})
        self.assertFalse(self.plane.platform.runs.overfills)
        self.assertFalse(self.plane.platform.runs.overlaps)

    def find_teams(self):
        """Find a team of each ledger."""
        names = [f"t{number}" for number in range(40)]
        ledgers = {select_ledger(name, self.ledgers): name for name in names}
        return [ledgers[ledger] for ledger in sorted(ledgers)]

    async def stream(self):
        """Submit five small tasks a second, more than the workers can run."""
        while True:
            for _ in range(5):
                await self.submit("small", "team", SMALL)
            await self.plane.clock.sleep(SECOND)

    async def watch(self):
        """Record how many tasks of each gang run, except while it starts or ends."""
        steady = {}
        while True:
            await self.plane.clock.sleep(SECOND / 4)
            for job, count in self.count_running().items():
                if steady.get(job) == count:
                    self.counts.add(count)
                steady[job] = count

    def count_running(self):
        counts = {}
        for worker in self.plane.platform.workers.values():
            for task in worker.list_running():
                if task.startswith("gang"):
                    job = task.rpartition("-")[0]
                    counts[job] = counts.get(job, 0) + 1
        return counts

    async def submit(self, workload, team, payload=LONG):
        self.keys += 1
        submission = Submission(workload, team, payload, f"k{self.keys}")
        daemon = sorted(self.plane.registry.daemons)[-1]
        return await self.plane.find(daemon).ledger_owner.submit_job(submission)

    async def submit_gang(self, team="team"):
        return (await self.submit(f"gang-{team}", team)).name

    async def wait_for_start(self, job, limit=START_LIMIT):
        """Return the seconds until all tasks of a gang run; ``None`` if they don't."""
        for step in range(limit * 4):
            if self.count_running().get(job) == 20:
                return step / 4
            await self.plane.clock.sleep(SECOND / 4)
        return None

    async def wait_for_reservation(self):
        """Wait until some owner reserves capacity; return the owner."""
        for _ in range(400):
            for name, daemon in self.plane.registry.daemons.items():
                if daemon.host.allocator.find_reserved_gang():
                    return name
            await self.plane.clock.sleep(SECOND / 10)
        self.fail("no owner reserved capacity")

    async def count_reservations(self):
        """Return the number of owners that reserve capacity after a while."""
        await self.plane.clock.sleep(SECOND / 10)
        daemons = self.plane.registry.daemons.values()
        return sum(
            bool(daemon.host.allocator.find_reserved_gang()) for daemon in daemons
        )

    async def restart(self, name):
        await self.plane.kill(name)
        self.plane.platform.reconnect(name)
        await self.plane.add_daemon(name)


class TestGangUnderLoad(GangPlaneCase):
    """A gang that needs most workers, under a steady stream of small tasks."""

    def test_gang_starts_within_its_bound(self):
        async def test():
            job = await self.submit_gang()
            self.assertIsNotNone(await self.wait_for_start(job))

        self.run_plane(test)

    def test_gang_starves_without_reserved_capacity(self):
        async def test():
            with mock.patch.object(
                starvinggangs, "STARVATION_LIMIT", timedelta(days=1)
            ):
                job = await self.submit_gang()
                self.assertIsNone(await self.wait_for_start(job, 300))

        self.run_plane(test)

    def test_no_capacity_is_reserved_after_a_gang_is_cancelled(self):
        async def test():
            job = await self.submit_gang()
            await self.wait_for_reservation()
            await self.plane.find("d2").ledger_owner.cancel_job(job)
            await self.plane.clock.sleep(6 * SECOND)
            for daemon in self.plane.registry.daemons.values():
                self.assertEqual(daemon.host.allocator.find_reserved_gang(), "")

        self.run_plane(test)

    def test_impossible_gang_reserves_no_capacity(self):
        async def test():
            spec = {"run_time": 7 * 86400, "urgency": "urgent", "idempotent": False}
            self.plane.declare("long", tasks=8, **spec)
            view = await self.submit("long", "team", b'{"run_time": 600000}')
            await self.plane.clock.sleep(30 * SECOND)
            self.assertEqual(view.state.value, "queued")
            await self.submit_gang()
            await self.plane.clock.sleep(40 * SECOND)
            counts = [await self.count_reservations() for _ in range(50)]
            self.assertEqual(sum(counts), 0)

        self.run_plane(test)

    def test_gang_stops_no_more_tasks_than_it_needs(self):
        async def test():
            self.stream_task.cancel()
            await self.plane.clock.sleep(30 * SECOND)
            quota = {"quota": {"processors": 24, "memory": 48000}}
            self.plane.configuration.declare(Kind.TEAM, "team", quota)
            self.plane.declare("low", urgency="low", checkpoint=True, tasks=24)
            await self.submit("low", "team", b'{"run_time": 300}')
            self.plane.declare("gang-high", urgency="high", type="gang", tasks=20)
            await self.plane.clock.sleep(5 * SECOND)
            job = (await self.submit("gang-high", "team")).name
            self.assertIsNotNone(await self.wait_for_start(job, 20))
            workers = self.plane.platform.workers.values()
            self.assertEqual(sum(w.calls["checkpoint"] for w in workers), 20)

        self.run_plane(test)


class TestGangAndFailures(GangPlaneCase):
    """Daemons die while capacity is reserved."""

    def test_gang_starts_after_its_ledger_owner_died(self):
        async def test():
            job = await self.submit_gang()
            await self.wait_for_reservation()
            await self.restart("d1")
            self.assertIsNotNone(await self.wait_for_start(job, 2 * START_LIMIT))

        self.run_plane(test)

    def test_gang_starts_after_an_owner_died(self):
        async def test():
            job = await self.submit_gang()
            await self.wait_for_reservation()
            self.assertEqual(
                self.plane.find("d2").host.allocator.find_reserved_gang(), job
            )
            await self.restart("d2")
            self.assertIsNotNone(await self.wait_for_start(job, 2 * START_LIMIT))

        self.run_plane(test)

    def test_adopted_task_counts_as_started_when_it_was_adopted(self):
        async def test():
            self.stream_task.cancel()
            await self.plane.clock.sleep(30 * SECOND)
            self.plane.declare("long", tasks=24)
            await self.submit("long", "team", b'{"run_time": 300}')
            await self.plane.clock.sleep(10 * SECOND)
            before = self.plane.clock.monotonic()
            adopted = set(self.plane.find("d2").host.accounts.workers)
            await self.restart("d2")
            await self.plane.clock.sleep(SECOND)
            started = [
                reservation.need.started
                for daemon in self.plane.registry.daemons.values()
                for name, account in daemon.host.accounts.workers.items()
                for reservation in account.reservations.values()
                if name in adopted
            ]
            self.assertEqual(len(started), 8)
            self.assertGreater(min(started), before)

        self.run_plane(test)

    def test_no_capacity_is_reserved_for_a_lost_ledger_owner(self):
        async def test():
            await self.submit_gang()
            await self.wait_for_reservation()
            self.plane.platform.cut_off("d1")
            self.plane.switch.disconnect("d1")
            self.plane.find("d1").die()
            await self.plane.clock.sleep(6 * SECOND)
            for name in ("d2", "d3"):
                self.assertEqual(
                    self.plane.find(name).host.allocator.find_reserved_gang(), ""
                )

        self.run_plane(test)


class TestGangsOfTwoLedgers(GangPlaneCase):
    """Two gangs that each need most workers, with different ledger owners."""

    ledgers = 2

    def test_both_complete(self):
        async def test():
            first, second = self.find_teams()
            names = [await self.submit_gang(first), await self.submit_gang(second)]
            for name in names:
                view = await self.plane.wait_for_end(name, 200)
                self.assertEqual(view.state, "completed")

        self.run_plane(test)
