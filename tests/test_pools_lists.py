"""Pool workers that have more ends than one list shows."""

import asyncio
from datetime import timedelta

from logbook import TestHandler

from damaskdeck.protocol.queues import QueueJobState, StepSpec
from standins.faults import FaultKind
from standins.pools import StandinWorker, Work
from tests.poolcluster import (
    SECOND,
    SMALL,
    WORKER_LIMITS,
    PoolCase,
    PoolCluster,
    make_job,
)
from tests.virtual import virtual

# Fewer than the tasks that a worker runs at a time.
MAX_LISTED_ENDS = 2
LIMITS = WORKER_LIMITS._replace(listed_ends=MAX_LISTED_ENDS)
TASKS = 8
# Both workers start half of the tasks each.
TASKS_PER_WORKER = 4
# Shorter than the lease of a worker.
CUT = timedelta(seconds=3)


class PartialListCase(PoolCase):
    """Two workers run a job, and one of them is cut off while its tasks end."""

    async def begin_cut(self, seconds: float = 1, **options) -> PoolCluster:
        """Start the tasks, which run for the given time, and cut a worker off."""
        cluster = await self.begin(
            workers=2,
            behave=lambda task, attempt: Work(timedelta(seconds=seconds)),
            worker_limits=LIMITS,
            **options,
        )
        await self.start_tasks()
        self.set_cut(True)
        return cluster

    async def start_tasks(self) -> None:
        """Submit the job and wait until all its tasks run."""
        cluster = self.cluster
        await cluster.submit("j1", make_job(StepSpec(TASKS, SMALL, SECOND)))
        await cluster.wait(lambda: len(cluster.list_starts()) == TASKS)
        self.assertEqual(len(self.worker.running), TASKS_PER_WORKER)

    @property
    def worker(self) -> StandinWorker:
        """The worker that is cut off."""
        return next(iter(self.cluster.workers.values()))

    def set_cut(self, is_cut: bool) -> None:
        """Cut the worker off from all daemons, or end the cut."""
        name = self.worker.incarnation.name
        for daemon in self.cluster.daemons.values():
            if is_cut:
                daemon.workers.cut_off.add(name)
            else:
                daemon.workers.cut_off.discard(name)

    async def check_single_starts(self) -> None:
        """Check that the job completes and that no task is started again."""
        await self.cluster.wait_for_state(
            "j1", QueueJobState.COMPLETED, self.cluster.find_owner().name, 20
        )
        await asyncio.sleep(5)
        self.assertEqual(len(self.cluster.list_starts()), TASKS)
        self.end()


class TestSameOwner(PartialListCase):
    """The owner reads the ends of runs that it has ordered in several lists."""

    # Runs whose ends came with the second list were taken for gone with the first one.
    @virtual
    async def test_tasks_that_ended_behind_a_cut_are_not_started_again(self):
        await self.begin_cut()
        await asyncio.sleep(CUT.total_seconds())
        self.worker.settle()
        self.assertEqual(len(self.worker.ends), TASKS_PER_WORKER)
        self.set_cut(False)
        await self.check_single_starts()
        self.assertEqual(self.worker.ends, [])

    # The same for workers whose polls acknowledge ends only after a confirmed birth.
    @virtual
    async def test_workers_with_births_are_read_to_the_end(self):
        await self.begin_cut(has_births=True)
        await asyncio.sleep(CUT.total_seconds())
        self.set_cut(False)
        await self.check_single_starts()

    # A list after a confirmed stop was taken for proof that an unconfirmed start had
    # never begun, though its end was not listed yet.
    @virtual
    async def test_a_confirmed_stop_does_not_prove_that_a_run_never_began(self):
        cluster = await self.begin(
            workers=2,
            behave=lambda task, attempt: Work(timedelta(milliseconds=300)),
            worker_limits=LIMITS._replace(listed_ends=1),
        )
        faults = cluster.find_owner().workers.faults
        faults.plan("start", *[FaultKind.LOSE_ANSWER] * TASKS)
        await self.start_tasks()
        self.set_cut(True)
        await asyncio.sleep(CUT.total_seconds())
        self.set_cut(False)
        await self.check_single_starts()

    # While the store is away no end can be observed, so the first list stays the same.
    @virtual
    async def test_runs_are_kept_while_ends_cannot_be_stored(self):
        with TestHandler() as handler:
            cluster = await self.begin_cut()
            await asyncio.sleep(CUT.total_seconds())
            cluster.begin_outage()
            self.set_cut(False)
            await asyncio.sleep(3)
            contact = cluster.find_owner().owner.contacts["w0"]
            self.assertTrue(contact.has_unlisted_ends)
            self.assertEqual(len(contact.runs), TASKS_PER_WORKER - MAX_LISTED_ENDS)
            cluster.heal()
            await self.check_single_starts()
        lines = "".join(handler.formatted_records)
        self.assertIn("A worker has more ends than it lists.", lines)
        self.assertNotIn("have stalled", lines)

    # What else the worker runs keeps its lease while the lists are incomplete.
    @virtual
    async def test_the_lease_is_extended_while_lists_are_incomplete(self):
        cluster = await self.begin(
            workers=1,
            behave=lambda task, attempt: Work(
                timedelta(seconds=20 if task.index == 0 else 1)
            ),
            worker_limits=LIMITS,
        )
        await cluster.submit("j1", make_job(StepSpec(4, SMALL, SECOND)))
        await cluster.wait(lambda: len(cluster.list_starts()) == 4)
        cluster.begin_outage()
        await asyncio.sleep(9)
        cluster.heal()
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED, seconds=40)
        self.assertEqual(len(cluster.list_starts()), 4)
        self.end()

    # A worker that has left the registry is polled until all its ends are read.
    @virtual
    async def test_a_worker_that_has_left_is_read_to_the_end(self):
        cluster = await self.begin_cut()
        name = self.worker.incarnation.name
        cluster.externally_registered.add(name)
        cluster.store.set(f"workers/{name}", None)
        await asyncio.sleep(CUT.total_seconds())
        self.set_cut(False)
        await self.check_single_starts()


class TestNewOwner(PartialListCase):
    """A new owner reads the ends of its predecessor's runs in several lists."""

    # A worker counted as reconciled after its first list, and what that list didn't
    # show was started again.
    @virtual
    async def test_a_successor_reads_all_ends_before_it_starts_tasks(self):
        cluster = await self.begin_cut()
        await asyncio.sleep(CUT.total_seconds())
        cluster.find_owner().kill()
        self.set_cut(False)
        await cluster.wait(lambda: cluster.find_owner() is not None)
        await self.check_single_starts()

    @virtual
    async def test_a_successor_reads_all_ends_of_workers_with_births(self):
        cluster = await self.begin_cut(has_births=True)
        await asyncio.sleep(CUT.total_seconds())
        cluster.find_owner().kill()
        self.set_cut(False)
        await cluster.wait(lambda: cluster.find_owner() is not None)
        await self.check_single_starts()

    # The store answers too late for the ends of the first list to be observed.
    @virtual
    async def test_a_successor_waits_while_it_cannot_store_ends(self):
        cluster = await self.begin_cut()
        await asyncio.sleep(CUT.total_seconds())
        cluster.find_owner().kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        cluster.begin_outage()
        self.set_cut(False)
        await asyncio.sleep(3)
        contact = cluster.find_owner().owner.contacts["w0"]
        self.assertTrue(contact.is_synchronized)
        self.assertFalse(contact.is_reconciled)
        cluster.heal()
        await self.check_single_starts()

    # Three owners in a row see the same first list.
    @virtual
    async def test_repeated_takeovers_start_no_task_again(self):
        cluster = await self.begin_cut(daemons=4)
        await asyncio.sleep(CUT.total_seconds())
        self.set_cut(False)
        for _ in range(3):
            cluster.find_owner().kill()
            await cluster.wait(lambda: cluster.find_owner() is not None)
        await self.check_single_starts()
