"""Tests which jobs are delayed by a zone that is cut off under load.

Quick jobs of a few tasks arrive about 10 times a second with a second of slack, while
an availability zone is cut off for 5 to 6 s. What runs there is unknown until the zone
answers or its leases of 6 s have expired. Jobs that don't run there must not wait for
that.
"""

import asyncio
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.zoneconfinement import (
    CAPACITY_MAX_AGE,
    ZoneCapacities,
)
from damaskdeck.protocol.queues import JobSpec, QueueJobState, StepSpec
from damaskdeck.state.jobrecords import JOBS_PREFIX, decode_job
from standins.clock import ManualClock
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, PoolCase, make_job, make_queue
from tests.virtual import virtual

QUICK_QUEUE = make_queue(slack=1.5, allowance=SECOND / 4)
# Twelve workers in three zones hold 16 small tasks per zone.
CLUSTER_OPTIONS = {"workers": 12, "zones": 3, "queues": (QUICK_QUEUE,)}
CAPACITIES = [
    ("hub", "z0", 9000, 9000),
    ("hub", "z1", 9000, 9000),
    ("hub", "z2", 500, 500),
]


def make_quick(tasks: int = 4) -> JobSpec:
    """Return a quick job."""
    return make_job(StepSpec(tasks, SMALL, SECOND))


class TestZoneChoice(unittest.TestCase):
    """The zones that a job is confined to when it is accepted."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.capacities = ZoneCapacities(self.clock, timedelta(seconds=6))
        self.capacities.update({"epoch": 2, "zones": CAPACITIES})

    def choose(self, spec: JobSpec, job: str = "j") -> tuple[str, ...]:
        """Choose the zones of a job on the quick queue."""
        return self.capacities.choose(QUICK_QUEUE, job, spec)

    def test_a_job_gets_the_fewest_zones_that_hold_it(self):
        chosen = {self.choose(make_quick(), f"j{n}") for n in range(30)}
        self.assertEqual({c for c in chosen if len(c) == 1}, {("z0",), ("z1",)})

    def test_a_wide_job_gets_more_zones_and_a_very_wide_one_all(self):
        self.assertEqual(len(self.choose(make_quick(8))), 2)
        self.assertEqual(self.choose(make_quick(12)), ())

    def test_a_job_that_can_wait_for_a_lease_is_not_confined(self):
        slow = make_job(StepSpec(4, SMALL, timedelta(seconds=20)))
        self.assertEqual(self.choose(slow), ())

    def test_long_running_steps_and_steps_with_preferences_are_not_confined(self):
        for step in (
            StepSpec(2, SMALL, SECOND, is_long_running=True),
            StepSpec(2, SMALL, SECOND, near="r1"),
            StepSpec(2, SMALL, SECOND, label="b"),
        ):
            self.assertEqual(self.choose(make_job(step)), ())
        self.assertEqual(self.choose(make_job(repeats=2)), ())

    def test_outdated_reports_confine_no_jobs(self):
        self.clock.move(CAPACITY_MAX_AGE + SECOND)
        self.assertEqual(self.choose(make_quick()), ())

    def test_the_report_of_an_older_owner_is_ignored(self):
        self.capacities.update({"epoch": 1, "zones": [("hub", "z2", 90000, 90000)]})
        self.assertNotIn("z2", self.choose(make_quick()))


class TestZoneCut(PoolCase):
    """What a zone that is cut off delays."""

    async def begin_quick_cluster(self, **options):
        """Start a cluster and wait until capacity was reported to its daemons."""
        cluster = await self.begin(**{**CLUSTER_OPTIONS, **options})
        await cluster.run_first_job()
        await asyncio.sleep(1.2)
        return cluster

    def find_zones(self, job: str) -> tuple[str, ...]:
        """Return the zones in the record of a job."""
        return decode_job(self.cluster.store.entries[JOBS_PREFIX + job].value).zones

    def find_used_zones(self, job: str) -> set[str]:
        """Return the zones in which a job's tasks started."""
        workers = self.cluster.workers
        return {workers[row[3]].info.zone for row in self.cluster.list_starts(job)}

    @virtual
    async def test_each_quick_job_runs_in_one_zone(self):
        cluster = await self.begin_quick_cluster()
        for number in range(9):
            await cluster.submit(f"j{number + 1}", make_quick())
        for number in range(9):
            await cluster.wait_for_state(f"j{number + 1}", QueueJobState.COMPLETED)
            job = f"j{number + 1}"
            self.assertEqual(self.find_used_zones(job), set(self.find_zones(job)))
        self.end()

    @virtual
    async def test_jobs_of_other_zones_do_not_wait_for_the_owners_zone(self):
        cluster = await self.begin_quick_cluster(
            daemons=5, behave=lambda t, a: Work(SECOND / 2)
        )
        owner = cluster.find_owner()
        jobs = [f"j{number + 1}" for number in range(10)]
        for job in jobs:
            spec = make_job(
                StepSpec(2, SMALL, SECOND), StepSpec(2, SMALL, SECOND, (0,))
            )
            await cluster.submit(job, spec, cluster.find_other_daemon().name)
        cut_at = cluster.clock.monotonic()
        cluster.cut_zone("z0", (owner.name,))
        outside = next(d for d in cluster.daemons.values() if d is not owner).name
        free = [job for job in jobs if "z0" not in self.find_zones(job)]
        self.assertGreater(len(free), 3)
        for job in free:
            await cluster.wait_for_state(job, QueueJobState.COMPLETED, outside, 5)
        duration = cluster.clock.monotonic() - cut_at
        self.assertLess(duration, timedelta(seconds=3.5))
        cluster.heal()
        for job in jobs:
            await cluster.wait_for_state(job, QueueJobState.COMPLETED, outside)
        self.end()

    @virtual
    async def test_a_deposed_owner_starts_no_job_of_its_successor(self):
        cluster = await self.begin_quick_cluster(
            daemons=5, behave=lambda t, a: Work(3 * SECOND)
        )
        owner = cluster.find_owner()
        cluster.cut_zone("z0", (owner.name,))
        outside = next(d for d in cluster.daemons.values() if d is not owner)
        await cluster.wait(
            lambda: any(d.owner for d in cluster.daemons.values() if d is not owner)
        )
        await asyncio.sleep(1)
        # The old owner receives the jobs before it learns of its successor, and the
        # workers of its zone have not seen the new epoch.
        for number in range(6):
            job = f"j{number + 1}"
            unconfined = make_job(StepSpec(2, SMALL, 20 * SECOND))
            await cluster.submit(job, unconfined, outside.name)
            if owner.owner is not None:
                owner.owner.intake.accept_job(
                    cluster.store.entries[JOBS_PREFIX + job].value
                )
        await asyncio.sleep(1.5)
        starts_by_old_owner = [
            row
            for worker in cluster.workers.values()
            for row in worker.starts
            if row[3] == 1 and row[1].job != "j0"
        ]
        self.assertEqual(starts_by_old_owner, [])
        cluster.heal()
        for number in range(6):
            await cluster.wait_for_state(
                f"j{number + 1}", QueueJobState.COMPLETED, outside.name
            )
        self.end()

    @virtual
    async def test_runs_under_a_lease_extended_by_a_successor_are_not_abandoned(self):
        cluster = await self.begin_quick_cluster(
            daemons=5, behave=lambda t, a: Work(2 * SECOND)
        )
        owner = cluster.find_owner()
        slow = make_job(StepSpec(1, SMALL, 20 * SECOND))
        await cluster.submit("j1", slow)
        await cluster.wait(lambda: len(cluster.list_starts("j1")) == 1)
        name = cluster.list_starts("j1")[0][3]
        zone = cluster.workers[name].info.zone
        owner.workers.cut_off.add(name)
        # For the owner the worker's lease expires before its owner lease, which counts
        # from the last commit.
        await cluster.submit("j2", slow)
        await cluster.wait_for_state("j2", QueueJobState.COMPLETED)
        other = "z1" if zone == "z0" else "z0"
        cluster.cut_zone(other, (owner.name,))
        await asyncio.sleep(9)
        self.assertEqual(len(cluster.list_starts("j1")), 1)
        cluster.heal()
        outside = next(d for d in cluster.daemons.values() if d is not owner)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, outside.name)
        self.end()

    @virtual
    async def test_a_job_whose_zones_lack_capacity_gets_more_zones(self):
        cluster = await self.begin_quick_cluster(behave=lambda t, a: Work(4 * SECOND))
        await cluster.submit("j1", make_quick())
        (zone,) = self.find_zones("j1")
        for worker in cluster.workers.values():
            if worker.info.zone == zone:
                cluster.retire(worker.info.identifier)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=20)
        second = make_quick()
        await cluster.submit("j2", second)
        await cluster.wait_for_state("j2", QueueJobState.COMPLETED, seconds=20)
        self.end()

    @virtual
    async def test_a_task_starts_in_another_zone_only_once_that_is_durable(self):
        cluster = await self.begin_quick_cluster(
            workers=6, behave=lambda t, a: Work(SECOND)
        )
        full = make_job(StepSpec(24, SMALL, SECOND))
        await cluster.submit("j1", make_quick(4))
        owner = cluster.find_owner()
        await cluster.submit("j2", make_quick(4))
        # This job fills the zones of the other jobs after they were confined.
        await cluster.submit("j3", full)
        owner.store.faults.outage = True
        await asyncio.sleep(1.5)
        for job in ("j1", "j2"):
            zones = set(self.find_zones(job))
            if zones:
                self.assertLessEqual(self.find_used_zones(job), zones)
        owner.store.faults.outage = False
        for job in ("j1", "j2", "j3"):
            await cluster.wait_for_state(job, QueueJobState.COMPLETED, seconds=20)
        self.end()

    @virtual
    async def test_a_copy_starts_in_another_zone_while_a_zone_is_silent(self):
        cluster = await self.begin_quick_cluster(behave=lambda t, a: Work(2 * SECOND))
        step = StepSpec(4, SMALL, SECOND, is_speculative=True)
        await cluster.submit("j1", make_job(step))
        await asyncio.sleep(0.3)
        (zone,) = self.find_used_zones("j1")
        cluster.cut_zone(zone)
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=5)
        cluster.heal()
        await asyncio.sleep(3)
        self.cluster.close()


class TestCopies(PoolCase):
    """Copies of runs on workers that are silent."""

    @virtual
    async def test_a_task_that_has_completed_gets_no_copy(self):
        cluster = await self.begin(
            workers=3,
            behave=lambda t, a: Work((1 if t.step == 0 and a > 1 else 8) * SECOND),
        )
        step = StepSpec(1, SMALL, SECOND, is_speculative=True)
        await cluster.submit("j1", make_job(step, StepSpec(1, SMALL, SECOND, (0,))))
        await cluster.wait(lambda: len(cluster.list_starts("j1")) == 1)
        ((_, _, _, name),) = cluster.list_starts("j1")
        cluster.find_owner().workers.cut_off.add(name)
        await asyncio.sleep(6)
        firsts = [row for row in cluster.list_starts("j1") if row[1].step == 0]
        self.assertEqual(len(firsts), 2)
        self.cluster.close()
