"""Workers whose capacity shrinks and grows while they run."""

import asyncio
from datetime import timedelta

from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.protocol.sizes import Size
from standins.pools import Work
from tests.poolcluster import (
    CONTACT_BOUND,
    HEARTBEAT,
    SECOND,
    SIZE,
    SMALL,
    PoolCase,
    PoolCluster,
    make_job,
)
from tests.virtual import virtual

QUARTER = Size(1000, 2000, 0)


class TestShrinking(PoolCase):
    """No task starts beyond a capacity that has shrunk."""

    async def begin_work(self, workers: int, tasks: int, seconds: float) -> PoolCluster:
        """Start a cluster that is busy with one wide step."""
        cluster = await self.begin(
            workers=workers, behave=lambda t, a: Work(timedelta(seconds=seconds))
        )
        await cluster.submit("j1", make_job(StepSpec(tasks, SMALL, SECOND)))
        await asyncio.sleep(0.5)
        return cluster

    @virtual
    async def test_a_worker_that_has_shrunk_gets_tasks_up_to_its_capacity(self):
        cluster = await self.begin(workers=1)
        await cluster.submit("j1", make_job(StepSpec(16, SMALL, SECOND)))
        await asyncio.sleep(0.5)
        cluster.resize("w0", QUARTER)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertGreater(len(cluster.list_starts("j1")), 12)
        self.end()

    @virtual
    async def test_a_worker_that_has_grown_again_is_filled(self):
        cluster = await self.begin(workers=1)
        cluster.resize("w0", QUARTER)
        await asyncio.sleep(3)
        cluster.resize("w0", SIZE)
        await asyncio.sleep(3)
        started_at = cluster.clock.monotonic()
        await cluster.submit("j1", make_job(StepSpec(4, SMALL, SECOND)))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.assertLess(cluster.clock.monotonic() - started_at, 2 * SECOND)
        self.end()

    @virtual
    async def test_no_task_starts_on_an_outdated_capacity(self):
        cluster = await self.begin_work(workers=2, tasks=60, seconds=0.9)
        cluster.begin_outage()
        for worker in ("w0", "w1"):
            cluster.resize(worker, QUARTER)
        await asyncio.sleep(9)
        cluster.heal()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        self.end()

    # The age of a capacity counted from its reading, so one read as the store returned
    # counted as fresh.
    @virtual
    async def test_a_capacity_read_after_an_outage_keeps_its_age(self):
        for longer in (0.2, 0.5, 0.8, 1.1):
            await self.shrink_in_an_outage(longer)
            self.end()

    # The capacities that a successor read as the store returned seemed to be fresh.
    @virtual
    async def test_a_capacity_read_by_a_successor_keeps_its_age(self):
        await self.shrink_in_an_outage(0.0, is_owner_killed=True)
        self.end()

    async def shrink_in_an_outage(
        self, longer: float, is_owner_killed: bool = False
    ) -> None:
        """Keep the store down until shrunken sizes apply, and some seconds longer."""
        cluster = await self.begin_work(workers=4, tasks=400, seconds=0.4)
        for name in cluster.workers:
            cluster.resize(name, QUARTER)
        cluster.begin_outage()
        if is_owner_killed:
            cluster.find_owner().kill()
        await asyncio.sleep((CONTACT_BOUND + HEARTBEAT).total_seconds() + longer)
        cluster.heal()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=120)

    # No task started on any worker until the store had reported all capacities.
    @virtual
    async def test_tasks_start_in_an_outage_while_capacities_are_fresh(self):
        cluster = await self.begin_work(workers=2, tasks=200, seconds=0.4)
        cluster.begin_outage()
        await asyncio.sleep(CONTACT_BOUND.total_seconds())
        late = cluster.clock.monotonic() - timedelta(milliseconds=500)
        starts = [row for row in cluster.list_starts("j1") if row[0] > late]
        self.assertNotEqual(starts, [])
        self.end()

    @virtual
    async def test_a_gang_starts_beside_an_overfilled_worker(self):
        cluster = await self.begin(
            workers=4, behave=lambda t, a: Work(timedelta(seconds=8))
        )
        await cluster.submit("j1", make_job(StepSpec(4, SMALL, SECOND)))
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        host = cluster.find_host("j1").info
        cluster.resize(host.identifier, QUARTER)
        await asyncio.sleep(3)
        gang = StepSpec(4, SMALL, 9 * SECOND, is_gang=True, near=host.rack)
        await cluster.submit("j2", make_job(gang))
        await cluster.wait(lambda: len(cluster.list_starts("j2")) == 4, seconds=1)
        self.end()


class TestOwnerTerm(PoolCase):
    """An owner that may no longer start tasks starts no copies either."""

    @virtual
    async def test_an_owner_with_an_expired_lease_starts_no_copies(self):
        cluster = await self.begin(
            workers=2, behave=lambda t, a: Work(timedelta(seconds=30))
        )
        spec = StepSpec(1, SMALL, 30 * SECOND, is_speculative=True)
        await cluster.submit("j1", make_job(spec))
        await cluster.wait(lambda: cluster.find_host("j1") is not None)
        cluster.begin_outage()
        await asyncio.sleep(cluster.times.owner_lease.total_seconds() - 0.5)
        host = cluster.find_host("j1").info.identifier
        cluster.find_owner().workers.cut_off.add(host)
        await asyncio.sleep(4)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        self.end()
