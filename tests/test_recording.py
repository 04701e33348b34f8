"""Which runs are on record, and what a successor does where some may not be."""

import asyncio
from datetime import timedelta
from unittest import mock

from damaskdeck.coordination.pools import changeset
from damaskdeck.protocol.ports import Lost
from damaskdeck.protocol.queues import StepSpec, TaskName
from damaskdeck.state.jobrecords import (
    RECORDING_KEY,
    RUNS_PREFIX,
    RecordingRecord,
    RunsRecord,
    decode_record,
)
from standins.pools import Work
from standins.poolstore import PoolStore
from tests.poolcluster import SECOND, SMALL, ClusterDaemon, PoolCase, make_job
from tests.virtual import virtual

# Commits that take this long are slow, and the store usually isn't.
SLOW = timedelta(milliseconds=150)


class RecordingCase(PoolCase):
    """Lasting tasks on four workers."""

    async def prepare(self) -> ClusterDaemon:
        """Start the cluster and return its owner once it has declared its record."""
        cluster = await self.begin(
            daemons=4, behave=lambda task, attempt: Work(300 * SECOND, startup=SECOND)
        )
        cluster.restart_delay = None
        await cluster.wait(lambda: self.is_declared())
        return cluster.find_owner()

    async def submit(self, job: str, tasks: int = 1) -> None:
        """Submit a job through any daemon."""
        spec = make_job(StepSpec(tasks, SMALL, SECOND, is_long_running=True))
        await self.cluster.submit(job, spec, self.cluster.find_other_daemon().name)

    def is_declared(self) -> bool:
        """Whether the store shows the record as complete."""
        entry = self.cluster.store.entries.get(RECORDING_KEY)
        record = decode_record(RecordingRecord, entry.value) if entry else None
        return record is not None and record.is_complete

    def list_recorded(self, job: str) -> list[tuple[TaskName, int, str]]:
        """List the runs of a job that the store shows."""
        entry = self.cluster.store.entries.get(RUNS_PREFIX + job)
        if entry is None:
            return []
        record = decode_record(RunsRecord, entry.value)
        return [
            (TaskName(job, *row[:3]), row.attempt, record.workers[row.worker])
            for row in record.runs
        ]

    def list_started(self, job: str) -> list[tuple[TaskName, int, str]]:
        """List the starts of a job."""
        return sorted(row[1:] for row in self.cluster.list_starts(job))

    async def lose_owner(self) -> ClusterDaemon:
        """Kill a worker of the job, and the owner for good; return the next owner."""
        cluster = self.cluster
        cluster.workers[self.list_started("j1")[0][2]].kill()
        owner = cluster.find_owner()
        owner.kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        return cluster.find_owner()


class TestRecord(RecordingCase):
    """Runs are on record before their workers know of them, and until they end."""

    @virtual
    async def test_starts_are_recorded_before_they_are_ordered(self):
        owner = await self.prepare()
        started = []
        start = owner.workers.start

        async def check_start(worker, epoch, order):
            row = order.task, order.attempt, worker.identifier
            started.append(row in self.list_recorded("j1"))
            return await start(worker, epoch, order)

        owner.workers.start = check_start
        await self.submit("j1", 6)
        await self.cluster.wait(lambda: len(self.list_started("j1")) == 6)
        self.assertEqual(started, [True] * 6)
        self.assertEqual(sorted(self.list_recorded("j1")), self.list_started("j1"))
        self.end()

    @virtual
    async def test_ended_runs_leave_the_record_with_their_ends(self):
        cluster = await self.begin(behave=lambda task, attempt: Work(SECOND))
        await cluster.submit("j1", make_job(StepSpec(3, SMALL, SECOND)))
        await cluster.wait(lambda: len(self.list_recorded("j1")) == 3)
        await cluster.wait(lambda: not self.list_recorded("j1"))
        self.assertFalse(cluster.is_open("j1"))
        self.end()

    # Otherwise the record could exceed what the store takes for a value.
    @virtual
    async def test_a_job_with_too_many_runs_is_held_back(self):
        with mock.patch.object(changeset, "MAX_RUNS_BYTES", 20):
            await self.prepare()
            await self.submit("j1", 6)
            await self.cluster.wait(lambda: len(self.list_started("j1")) == 6)
            self.assertEqual(self.list_recorded("j1"), [])
            await self.submit("j2")
            await asyncio.sleep(1)
            successor = await self.lose_owner()
            jobs = successor.owner.job_index.jobs
            self.assertTrue(jobs["j1"].has_unconfirmed_runs)
            self.assertFalse(jobs["j2"].has_unconfirmed_runs)
            await self.cluster.wait(lambda: not jobs["j1"].has_unconfirmed_runs, 10)
        self.end()


class TestSlowStore(RecordingCase):
    """Starts don't wait for long for a store that is slow or away."""

    def slow_down(self, delay: timedelta) -> None:
        """Let the store take a time for each call."""
        for daemon in self.cluster.daemons.values():
            daemon.store.faults.delay = delay

    @virtual
    async def test_the_declaration_is_withdrawn_and_made_again(self):
        await self.prepare()
        cluster = self.cluster
        self.slow_down(SLOW)
        for number in range(6):
            await self.submit(f"s{number}")
            await asyncio.sleep(0.5)
        self.assertFalse(self.is_declared())
        self.slow_down(timedelta())
        for number in range(6):
            await self.submit(f"f{number}")
            await asyncio.sleep(0.5)
        await cluster.wait(self.is_declared, 10)
        for job in ("s0", "s5", "f5"):
            self.assertEqual(self.list_recorded(job), self.list_started(job))
        self.end()

    # What was started without a record isn't started again elsewhere.
    @virtual
    async def test_a_successor_holds_jobs_back_without_a_declaration(self):
        await self.prepare()
        self.slow_down(SLOW)
        for number in range(5):
            await self.submit(f"s{number}")
            await asyncio.sleep(0.5)
        await self.submit("j1", 4)
        await self.cluster.wait(lambda: len(self.list_started("j1")) == 4)
        self.assertFalse(self.is_declared())
        successor = await self.lose_owner()
        jobs = successor.owner.job_index.jobs
        self.assertTrue(jobs["s0"].has_unconfirmed_runs)
        await self.cluster.wait(lambda: not jobs["s0"].has_unconfirmed_runs, 10)
        self.end()

    async def start_in_outage(self) -> ClusterDaemon:
        """Let tasks start while the store is away; return the owner."""
        owner = await self.prepare()
        cluster = self.cluster
        await self.submit("j0", 14)
        await cluster.wait(lambda: len(self.list_started("j0")) == 14)
        await self.submit("j1", 4)
        await cluster.wait(lambda: len(self.list_started("j1")) == 2)
        cluster.begin_outage()
        await asyncio.sleep(1.5)
        owner.owner.cancel(owner.owner.job_index.jobs["j0"])
        await cluster.wait(lambda: len(self.list_started("j1")) == 4, 3)
        self.assertEqual(len(self.list_recorded("j1")), 2)
        return owner

    # Nothing can be declared then, but the members let the owner go on, and wait.
    @virtual
    async def test_accepted_jobs_start_in_an_outage(self):
        await self.start_in_outage()
        self.cluster.heal()
        await self.cluster.wait(lambda: len(self.list_recorded("j1")) == 4, 5)
        self.end()

    # A successor that relies on the record waits for the members' grants and one lease.
    @virtual
    async def test_leases_end_while_what_was_started_in_an_outage_has_no_record(self):
        owner = await self.start_in_outage()
        for daemon in self.cluster.daemons.values():
            daemon.store.commit = mock.AsyncMock(return_value=Lost("timeout"))
        self.cluster.heal()
        await asyncio.sleep(4)
        limits = owner.leadership.limits
        self.assertLess(limits.measure_age(), SECOND)
        granted_until = timedelta(seconds=limits.get_last_grant())
        self.assertLess(granted_until, self.cluster.clock.monotonic() - SECOND)
        limit = timedelta(seconds=owner.leadership.find_lease_limit())
        self.assertLessEqual(limit, granted_until + self.cluster.times.lease_expiry)
        self.end()

    # What the owner says of its members is a new one's only reason not to wait.
    @virtual
    async def test_a_new_daemon_waits_for_what_has_no_record_yet(self):
        # Leases in the store pause in this outage, so the owner stays the owner.
        with mock.patch.object(PoolStore, "_expire_leases"):
            await self.start_in_outage()
            cluster = self.cluster
            for daemon in cluster.daemons.values():
                daemon.store.commit = mock.AsyncMock(return_value=Lost("timeout"))
            cluster.heal()
            added = cluster.add_daemon("d9")
            added.start()
            await asyncio.sleep(0.4)
        recorded = self.list_recorded("j1")
        worker = next(r[2] for r in self.list_started("j1") if r not in recorded)
        cluster.isolate(worker)
        cluster.add_worker("w9", "10.0.0.9:1")
        for daemon in list(cluster.daemons.values()):
            if daemon is not added:
                daemon.kill()
        await cluster.wait(lambda: cluster.find_owner() is added)
        await asyncio.sleep(12)
        self.end()
