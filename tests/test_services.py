"""A service runs as declared, independent of earlier declarations."""

import unittest
from datetime import timedelta

from damaskdeck.protocol.handlers import JobState
from damaskdeck.protocol.resources import Kind
from damaskdeck.protocol.sizes import Size
from standins.plane import Plane
from tests.virtual import virtual

SECOND = timedelta(seconds=1)


def count_running(plane):
    """Return the number of running tasks."""
    return sum(len(w.list_running()) for w in plane.platform.workers.values())


class TestRedeclaration(unittest.TestCase):
    """A version that has ended may be declared again."""

    @virtual
    async def test_version_declared_again_replaces_the_one_between(self):
        plane = await Plane(workers=2).start()
        for tasks in (2, 3, 2):
            plane.declare("web", type="service", tasks=tasks)
            await plane.clock.sleep(40 * SECOND)
            self.assertEqual(count_running(plane), tasks)

    @virtual
    async def test_service_deleted_and_declared_again_runs(self):
        plane = await Plane(workers=2).start()
        for _ in range(3):
            plane.declare("web", type="service", tasks=2)
            await plane.clock.sleep(10 * SECOND)
            self.assertEqual(count_running(plane), 2)
            plane.configuration.declare(Kind.WORKLOAD, "web", None)
            await plane.clock.sleep(10 * SECOND)
            self.assertEqual(count_running(plane), 0)


class TestImpossibleService(unittest.TestCase):
    """A service that no worker could hold waits for a worker that can."""

    @virtual
    async def test_service_runs_once_a_large_enough_worker_is_listed(self):
        plane = await Plane(workers=1).start()
        plane.declare("web", type="service", size={"processors": 8, "memory": 1})
        await plane.clock.sleep(200 * SECOND)
        jobs = (
            plane.find("d1").ledger_owner.controllers["00"].ledger.table.jobs.values()
        )
        self.assertEqual([job.state for job in jobs], [JobState.QUEUED])
        plane.platform.add_worker("big", "z1", Size(8000, 8000, 0))
        await plane.clock.sleep(5 * SECOND)
        await plane.registry.grant("worker/big", "d1")
        await plane.clock.sleep(20 * SECOND)
        self.assertEqual(count_running(plane), 1)
