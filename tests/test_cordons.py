"""Tests cordons, the durable record of silent and leaving workers for a successor.

A rack is removed, or a worker is cut off, a few seconds before the owner is lost with
its zone. Jobs that run elsewhere or have not started must not wait for these workers.
"""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

from damaskdeck.coordination.pools import cordons
from damaskdeck.protocol.callresults import JobStateFound
from damaskdeck.protocol.queues import QueueJobState, StepSpec, TaskName
from damaskdeck.state.jobrecords import (
    CORDONS_KEY,
    MIN_VALUE_BYTES,
    Cordon,
    CordonedRun,
    CordonsRecord,
    RunsRecord,
    decode_record,
)
from damaskdeck.state.pooljobs import Job
from standins.pools import StandinRegistry, Work
from tests.poolcluster import SECOND, SIZE, SMALL, PoolCase, make_job
from tests.virtual import virtual

LONG_JOB = make_job(StepSpec(1, SMALL, 30 * SECOND))
# Fills its worker, so that the next job runs elsewhere.
WORKER_SIZED_JOB = make_job(StepSpec(1, SIZE, 30 * SECOND))

WITHOUT_RUNS = mock.patch.object(Job, "summarize_runs", lambda job: RunsRecord())


class TestCordons(PoolCase):
    """A worker becomes silent, then the owner is cut off."""

    def behave(self, task, attempt: int) -> Work:
        """Let the job on the silent worker run for long."""
        return Work(30 * SECOND if task.job == "long" else SECOND)

    def read_cordons(self) -> dict[str, tuple[str, ...]]:
        """Return the jobs of each stored cordon by worker."""
        entry = self.cluster.store.entries.get(CORDONS_KEY)
        record = decode_record(CordonsRecord, entry.value) if entry else CordonsRecord()
        return {cordon.worker: cordon.jobs for cordon in record.cordons}

    async def silence_a_worker(self, **options):
        """Start a job on a worker, then cut the worker off from all daemons."""
        cluster = await self.begin(behave=self.behave, **options)
        await cluster.submit("long", WORKER_SIZED_JOB)
        await cluster.wait(lambda: bool(cluster.list_starts("long")))
        ((*_, worker),) = cluster.list_starts("long")
        await asyncio.sleep(0.6)
        for daemon in cluster.daemons.values():
            daemon.workers.cut_off.add(worker)
        return cluster, worker

    async def cut_owner_off(self):
        """Cut the owner off from the store and its peers and return its successor."""
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
    async def test_a_silent_worker_is_stored_with_its_jobs(self):
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
        # Its lease of 6 s was extended, as its task is still running.
        self.assertEqual(len(cluster.list_starts("long")), 1)
        self.assertEqual(len(cluster.workers[worker].running), 1)
        self.end()

    @virtual
    async def test_no_lease_is_extended_before_the_release_is_durable(self):
        cluster, worker = await self.silence_a_worker()
        await asyncio.sleep(2.5)
        owner = cluster.find_owner()
        ends = cluster.workers[worker].lease_expires_at
        for daemon in cluster.daemons.values():
            daemon.store.faults.outage = True
            daemon.workers.cut_off.clear()
        await asyncio.sleep(0.5)
        contact = owner.owner.contacts[worker]
        self.assertTrue(contact.is_synchronized)
        self.assertFalse(contact.is_usable(contact._now()))
        self.assertEqual(cluster.workers[worker].lease_expires_at, ends)
        self.end()

    @virtual
    async def test_a_successor_starts_other_jobs_at_once(self):
        cluster, worker = await self.silence_a_worker()
        # The job is submitted before the takeover and not started until then.
        await asyncio.sleep(2)
        owner = cluster.find_owner()
        for other in cluster.workers:
            owner.workers.cut_off.add(other)
        await asyncio.sleep(0.6)
        await cluster.submit("waits", make_job(), cluster.find_other_daemon().name)
        successor = await self.cut_owner_off()
        started = cluster.clock.monotonic()
        completed = JobStateFound(QueueJobState.COMPLETED)
        await cluster.wait(lambda: bool(cluster.list_starts("waits")), 5)
        self.assertLess(cluster.clock.monotonic() - started, SECOND)
        await asyncio.sleep(2)
        self.assertEqual(await successor.frontend.read_state("waits"), completed)
        self.assertEqual(self.read_cordons(), {worker: ("long",)})
        self.end()

    @virtual
    async def test_jobs_of_a_silent_worker_wait_for_one_lease(self):
        cluster, worker = await self.silence_a_worker()
        await asyncio.sleep(2)
        await self.cut_owner_off()
        started = cluster.clock.monotonic()
        await cluster.wait(lambda: len(cluster.list_starts("long")) > 1, 30)
        duration = cluster.clock.monotonic() - started
        # The wait doesn't include the owner lease of the previous owner.
        self.assertLess(duration, cluster.times.lease_expiry + timedelta(seconds=0.5))
        self.end()

    @virtual
    async def test_an_empty_worker_that_leaves_with_the_owner_delays_nothing(self):
        cluster = await self.begin(behave=self.behave, workers=4)
        # The roster was written before and shows a worker that stays.
        await asyncio.sleep(1)
        cluster.retire("w3", 10 * SECOND)
        await asyncio.sleep(1)
        self.assertEqual(self.read_cordons(), {"w3": ()})
        await cluster.submit("waits", make_job(), cluster.find_other_daemon().name)
        # It is gone with the owner, so no daemon could remove it from the roster.
        cluster.find_owner().store.faults.outage = True
        cluster.workers["w3"].kill()
        cluster.store.set(StandinRegistry.prefix + "w3", None)
        successor = await self.cut_owner_off()
        started = cluster.clock.monotonic()
        await cluster.wait_for_state("waits", QueueJobState.COMPLETED, "d2", 5)
        self.assertLess(cluster.clock.monotonic() - started, 3 * SECOND)
        # It doesn't count against a quota either.
        self.assertNotEqual(successor.owner.list_unreconciled(), [])
        self.assertEqual(list(successor.owner.list_unconfirmed_jobs()), [])
        self.end()

    @virtual
    async def test_a_leaving_worker_is_stored_with_its_jobs_until_it_is_empty(self):
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
    async def test_the_checker_detects_a_cordon_that_omits_a_job(self):
        without_jobs = mock.patch.object(cordons, "_list_jobs", lambda contact: ())
        with without_jobs, WITHOUT_RUNS:
            cluster, _ = await self.silence_a_worker()
            await asyncio.sleep(2)
            cluster.forget_recording()
            await self.cut_owner_off()
            await asyncio.sleep(2)
        self.assertTrue(cluster.find_violations())
        cluster.close()

    @virtual
    async def test_the_checker_detects_a_run_that_is_not_on_record(self):
        with WITHOUT_RUNS:
            cluster, _ = await self.silence_a_worker()
            await asyncio.sleep(2)
            await self.cut_owner_off()
            await asyncio.sleep(2)
        self.assertTrue(cluster.find_violations())
        cluster.close()

    @virtual
    async def test_an_unreadable_record_is_ignored(self):
        cluster, _ = await self.silence_a_worker()
        await asyncio.sleep(2)
        cluster.store.set(CORDONS_KEY, b"\xc1")
        await self.cut_owner_off()
        await asyncio.sleep(cluster.times.lease_expiry.total_seconds() - 0.1)
        self.assertEqual(len(cluster.list_starts("long")), 1)
        self.end()


class TestSize(unittest.TestCase):
    """Cordons of workers with thousands of runs."""

    # Otherwise the store refuses them, and no later cordon becomes durable.
    def test_those_of_the_least_room_are_stored(self):
        known = cordons.Cordons({}, lambda: None)
        for number in range(4):
            name = f"w{number}"
            runs = tuple(
                CordonedRun(TaskName("00000000000000aa", 0, 0, index), 1)
                for index in range(number * 1000)
            )
            known._cordons[name] = Cordon(name, ("00000000000000aa",), True, runs)
        with mock.patch.object(known, "_has_ended", return_value=False):
            write, _ = known.build_write()
        self.assertLessEqual(len(write.value), MIN_VALUE_BYTES)
        stored = decode_record(CordonsRecord, write.value).cordons
        self.assertEqual([c.worker for c in stored], ["w0", "w1"])
        self.assertEqual(set(known._cordons), {"w0", "w1", "w2", "w3"})
