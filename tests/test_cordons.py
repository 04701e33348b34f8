"""Silent workers written down, and what a successor makes of that.

The load is that of a rack that was taken away, or of a worker cut off, a few seconds
before the owner is lost with its zone: jobs that run elsewhere, or wait, must not wait
for it.
"""

import asyncio
from datetime import timedelta
from unittest import mock

from damaskdeck.coordination.pools import cordons
from damaskdeck.protocol.callresults import JobStateFound
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.state.jobrecords import CORDONS_KEY, CordonsRecord, decode_record
from standins.pools import StandinRegistry, Work
from tests.poolcluster import SECOND, SIZE, SMALL, PoolCase, make_job
from tests.virtual import virtual

LONG = make_job(StepSpec(1, SMALL, 30 * SECOND))
# Widest on a worker, so that the next job goes elsewhere.
WHOLE = make_job(StepSpec(1, SIZE, 30 * SECOND))


class TestCordons(PoolCase):
    """A worker falls silent, then the owner is cut off."""

    def behave(self, task, attempt: int) -> Work:
        """Let the job on the silent worker last."""
        return Work(30 * SECOND if task.job == "long" else SECOND)

    def read_cordons(self) -> dict[str, tuple[str, ...]]:
        """Return what the store holds."""
        entry = self.cluster.store.entries.get(CORDONS_KEY)
        record = decode_record(CordonsRecord, entry.value) if entry else CordonsRecord()
        return {cordon.worker: cordon.jobs for cordon in record.cordons}

    async def silence_a_worker(self, **options):
        """Let one worker run a job and fall silent for all daemons."""
        cluster = await self.begin(behave=self.behave, **options)
        await cluster.submit("long", WHOLE)
        await cluster.wait(lambda: bool(cluster.list_starts("long")))
        ((*_, worker),) = cluster.list_starts("long")
        await asyncio.sleep(0.6)
        for daemon in cluster.daemons.values():
            daemon.workers.cut_off.add(worker)
        return cluster, worker

    async def cut_owner_off(self):
        """Cut the owner off from store and peers; wait for its successor."""
        cluster, owner = self.cluster, self.cluster.find_owner()
        owner.store.faults.outage = True
        for name in cluster.daemons:
            if name != owner.name:
                cluster.switch.cut_both(owner.name, name)
        others = [d for d in cluster.daemons.values() if d is not owner]
        await cluster.wait(
            lambda: any(d.owner is not None and d.owner.is_loaded for d in others)
        )
        return next(d for d in others if d.owner is not None)

    @virtual
    async def test_a_silent_worker_is_written_down_with_its_jobs(self):
        _, worker = await self.silence_a_worker()
        await asyncio.sleep(2)
        self.assertEqual(self.read_cordons(), {worker: ("long",)})
        self.end()

    @virtual
    async def test_a_worker_that_answers_again_gets_orders_and_leases(self):
        cluster, worker = await self.silence_a_worker()
        await asyncio.sleep(2.5)
        for daemon in cluster.daemons.values():
            daemon.workers.cut_off.clear()
        await asyncio.sleep(1)
        self.assertEqual(self.read_cordons(), {})
        contact = cluster.find_owner().owner.contacts[worker]
        self.assertTrue(contact.is_usable(contact._now()))
        await asyncio.sleep(9)
        # Its lease of 6 s was extended, as its task still runs.
        self.assertEqual(len(cluster.list_starts("long")), 1)
        self.assertEqual(len(cluster.workers[worker].running), 1)
        self.end()

    @virtual
    async def test_no_lease_is_extended_before_that_is_durable(self):
        cluster, worker = await self.silence_a_worker()
        await asyncio.sleep(2.5)
        owner = cluster.find_owner()
        ends = cluster.workers[worker].lease_ends
        for daemon in cluster.daemons.values():
            daemon.store.faults.outage = True
            daemon.workers.cut_off.clear()
        await asyncio.sleep(0.5)
        contact = owner.owner.contacts[worker]
        self.assertTrue(contact.is_synchronized)
        self.assertFalse(contact.is_usable(contact._now()))
        self.assertEqual(cluster.workers[worker].lease_ends, ends)
        self.end()

    @virtual
    async def test_a_successor_lets_other_jobs_start_at_once(self):
        cluster, worker = await self.silence_a_worker()
        # Older than the successor, and without a start when that takes over.
        await asyncio.sleep(2)
        owner = cluster.find_owner()
        for other in cluster.workers:
            owner.workers.cut_off.add(other)
        await asyncio.sleep(0.6)
        await cluster.submit("waits", make_job(), cluster.find_other_daemon().name)
        successor = await self.cut_owner_off()
        began = cluster.clock.monotonic()
        told = JobStateFound(QueueJobState.COMPLETED)
        await cluster.wait(lambda: bool(cluster.list_starts("waits")), 5)
        self.assertLess(cluster.clock.monotonic() - began, SECOND)
        await asyncio.sleep(2)
        self.assertEqual(await successor.frontend.read_state("waits"), told)
        self.assertEqual(self.read_cordons(), {worker: ("long",)})
        self.end()

    @virtual
    async def test_what_it_may_run_waits_for_one_lease(self):
        cluster, worker = await self.silence_a_worker()
        await asyncio.sleep(2)
        await self.cut_owner_off()
        began = cluster.clock.monotonic()
        await cluster.wait(lambda: len(cluster.list_starts("long")) > 1, 30)
        took = cluster.clock.monotonic() - began
        # Not for the tenure of the owner before, too.
        self.assertLess(took, cluster.times.lease_expiry + timedelta(seconds=0.5))
        self.end()

    @virtual
    async def test_a_worker_that_leaves_empty_as_the_owner_is_lost_is_no_matter(self):
        cluster = await self.begin(behave=self.behave, workers=4)
        # The roster was written before, and tells of a worker that stays.
        await asyncio.sleep(1)
        cluster.retire("w3", 10 * SECOND)
        await asyncio.sleep(1)
        self.assertEqual(self.read_cordons(), {"w3": ()})
        await cluster.submit("waits", make_job(), cluster.find_other_daemon().name)
        # It is gone with the owner, and nobody could take it off the roster.
        cluster.find_owner().store.faults.outage = True
        cluster.workers["w3"].kill()
        cluster.store.set(StandinRegistry.prefix + "w3", None)
        successor = await self.cut_owner_off()
        began = cluster.clock.monotonic()
        await cluster.wait_for_state("waits", QueueJobState.COMPLETED, "d2", 5)
        self.assertLess(cluster.clock.monotonic() - began, 3 * SECOND)
        # Nor is anything counted against a quota for it.
        self.assertNotEqual(successor.owner.list_unreconciled(), [])
        self.assertEqual(list(successor.owner.list_unconfirmed_jobs()), [])
        self.end()

    @virtual
    async def test_a_worker_that_leaves_is_written_down_until_it_is_empty(self):
        cluster = await self.begin(behave=self.behave, workers=1)
        await cluster.submit("j1", make_job())
        await cluster.wait(lambda: bool(cluster.list_starts("j1")))
        cluster.retire("w0", 10 * SECOND)
        await asyncio.sleep(0.5)
        self.assertEqual(self.read_cordons(), {"w0": ("j1",)})
        await asyncio.sleep(1.5)
        self.assertEqual(self.read_cordons(), {"w0": ()})
        self.end()

    @virtual
    async def test_the_checker_sees_a_cordon_that_leaves_a_job_out(self):
        forgetful = mock.patch.object(cordons, "_list_jobs", lambda contact: ())
        with forgetful:
            cluster, _ = await self.silence_a_worker()
            await asyncio.sleep(2)
            await self.cut_owner_off()
            await asyncio.sleep(2)
        self.assertTrue(cluster.find_violations())
        cluster.close()

    @virtual
    async def test_a_record_that_cannot_be_read_counts_for_nothing(self):
        cluster, _ = await self.silence_a_worker()
        await asyncio.sleep(2)
        cluster.store.set(CORDONS_KEY, b"\xc1")
        await self.cut_owner_off()
        await asyncio.sleep(5)
        self.assertEqual(len(cluster.list_starts("long")), 1)
        self.end()
