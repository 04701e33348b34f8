"""What an owner tells its successor of runs, over several changes of the owner.

Pattern: an owner passes on what it doesn't know as unknown, never as known.
"""

import asyncio
import unittest
from unittest import mock

from damaskdeck.coordination.pools import changeset
from damaskdeck.protocol.queues import StepSpec
from damaskdeck.state.jobrecords import (
    RECORDING_KEY,
    ROSTER_KEY,
    RUNS_PREFIX,
    RecordingRecord,
    RosterRecord,
    RunsRecord,
    decode_record,
    encode_record,
    encode_roster,
)
from standins.pools import StandinRegistry, Work
from tests.poolcluster import SECOND, SMALL, ClusterDaemon, PoolCase, make_job
from tests.virtual import virtual

# With this limit the runs of three tasks fit their record, those of six don't.
MAX_RUNS_BYTES = 40
# How long the task runs whose end lets the second owner write the record.
SHORT = 1.5 * SECOND
INCOMPLETE = encode_record(RunsRecord(is_complete=False))


class HandoverCase(PoolCase):
    """A job on several workers, one of which can't be read after a while."""

    first_duration = SHORT

    def behave(self, task, attempt: int) -> Work:
        """Let tasks last, but for the first one."""
        return Work(60 * SECOND if task.index else self.first_duration)

    async def submit(self, tasks: int) -> None:
        """Submit a job and wait until all its tasks run."""
        spec = make_job(StepSpec(tasks, SMALL, SECOND))
        await self.cluster.submit("j1", spec, self.cluster.find_other_daemon().name)
        await self.cluster.wait(lambda: len(self.cluster.list_starts("j1")) == tasks)

    def cut_off(self, name: str) -> None:
        """Cut a worker off from all daemons; it runs on under its lease."""
        for daemon in self.cluster.daemons.values():
            daemon.workers.cut_off.add(name)

    def find_worker(self, is_busy: bool) -> str:
        """Return the name of a worker that runs other tasks than the first, or none."""
        for name, worker in self.cluster.workers.items():
            if is_busy == bool(worker.running) and all_last(worker.running):
                return name
        raise AssertionError("there is no such worker")

    async def replace_owner(self) -> ClusterDaemon:
        """Stop the owner as SIGTERM does; return the next one once it has loaded."""
        cluster = self.cluster
        await cluster.find_owner().stop()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        return cluster.find_owner()

    def read_record(self) -> RunsRecord | None:
        """Return the stored record of the job's runs."""
        entry = self.cluster.store.entries.get(RUNS_PREFIX + "j1")
        return decode_record(RunsRecord, entry.value) if entry is not None else None

    async def end_all(self) -> None:
        """Wait until the lease of each worker that was cut off has expired."""
        await asyncio.sleep(12)
        self.end()


class TestRecordThatDoesNotFit(HandoverCase):
    """A job with more runs than its record takes."""

    async def prepare(self, is_busy: bool) -> None:
        """Start the job, cut a worker off and replace the owner.

        :param is_busy: whether that worker runs any task.
        """
        await self.begin(daemons=4, behave=self.behave)
        await self.submit(6)
        self.assertFalse(self.read_record().is_complete)
        self.cut_off(self.find_worker(is_busy))
        await asyncio.sleep(0.3)
        await self.replace_owner()

    # Otherwise the owner after that starts again what the worker still runs.
    @virtual
    async def test_a_record_stays_incomplete_while_a_worker_is_unread(self):
        with mock.patch.object(changeset, "MAX_RUNS_BYTES", MAX_RUNS_BYTES):
            await self.prepare(is_busy=True)
            first = next(
                w for w in self.cluster.workers.values() if not all_last(w.running)
            )
            await self.cluster.wait(lambda: all_last(first.running), 4)
            await asyncio.sleep(0.5)
            await self.replace_owner()
            await self.end_all()

    # Otherwise the job would wait for nothing under each further owner.
    @virtual
    async def test_a_record_is_complete_once_all_runs_are_known(self):
        self.first_duration = 60 * SECOND
        with mock.patch.object(changeset, "MAX_RUNS_BYTES", MAX_RUNS_BYTES):
            await self.prepare(is_busy=False)
        self.assertFalse(self.read_record().is_complete)
        await self.cluster.wait(lambda: self.read_record().is_complete, 10)
        await self.end_all()


def all_last(running) -> bool:
    """Whether a worker runs only tasks that last."""
    return all(task.index for task in running)


class TestAdoptedRuns(HandoverCase):
    """Runs that only their workers know of, as their owner died before its commit."""

    first_duration = 60 * SECOND

    async def prepare(self) -> None:
        """Replace an owner that has declared nothing and recorded no run of the job."""
        cluster = await self.begin(daemons=4, behave=self.behave)
        await self.submit(6)
        cluster.find_owner().kill()
        cluster.forget_recording()
        cluster.store.set(RUNS_PREFIX + "j1", None)
        await cluster.wait(lambda: cluster.find_owner() is not None)

    def is_declared(self) -> bool:
        """Whether the store shows the record as complete."""
        entry = self.cluster.store.entries.get(RECORDING_KEY)
        return (
            entry is not None
            and decode_record(RecordingRecord, entry.value).is_complete
        )

    # Otherwise the next owner starts again what a worker that it can't read runs.
    @virtual
    async def test_adopted_runs_are_on_record_when_that_is_declared(self):
        await self.prepare()
        await self.cluster.wait(self.is_declared)
        self.cut_off(self.find_worker(is_busy=True))
        await self.replace_owner()
        await self.end_all()


class TestUnreadableRecords(HandoverCase):
    """Records that an owner can't decode, over two handovers beside a lost worker."""

    unreadable = b"\xc1"

    async def prepare(self) -> str:
        """Start a job; a worker of it is cut off, and its registration is gone."""
        cluster = await self.begin(daemons=4, behave=self.behave)
        await self.submit(6)
        lost = self.find_worker(is_busy=True)
        cluster.isolate(lost)
        cluster.store.set(StandinRegistry.prefix + lost, None)
        return lost

    async def replace_owners(self) -> None:
        """Replace the owner, and its successor before the worker's lease is over.

        A task ends between the two, so that the record of the job's runs is written.
        """
        await self.replace_owner()
        await asyncio.sleep(1.5)
        await self.replace_owner()

    async def check_lost_tasks_start_again(self, lost: str) -> None:
        """Check that the tasks of a lost worker start again once its lease is over."""
        tasks = {row[1] for row in self.cluster.list_starts() if row[3] == lost}
        await self.cluster.wait(
            lambda: all(
                sum(row[1] == task for row in self.cluster.list_starts()) == 2
                for task in tasks
            ),
            12,
        )
        self.end()

    # Otherwise its runs count as none, and all of them start again.
    @virtual
    async def test_a_job_waits_whose_runs_cannot_be_decoded(self):
        lost = await self.prepare()
        self.cluster.store.set(RUNS_PREFIX + "j1", self.unreadable)
        await self.replace_owners()
        await self.check_lost_tasks_start_again(lost)
        self.assertTrue(self.read_record().is_complete)

    # Otherwise the second successor finds a roster that lacks the worker.
    @virtual
    async def test_a_roster_is_incomplete_after_an_unreadable_one(self):
        lost = await self.prepare()
        self.cluster.store.set(ROSTER_KEY, self.unreadable)
        self.cluster.store.set(RUNS_PREFIX + "j1", INCOMPLETE)
        await self.replace_owners()
        await self.check_lost_tasks_start_again(lost)

    # Otherwise only the workers of the roster are waited for.
    @virtual
    async def test_a_recorded_worker_that_the_roster_lacks_is_waited_for(self):
        lost = await self.prepare()
        entry = self.cluster.store.entries[ROSTER_KEY]
        roster = decode_record(RosterRecord, entry.value)
        others = tuple(w for w in roster.workers if w.identifier != lost)
        self.cluster.store.set(ROSTER_KEY, encode_record(RosterRecord(others)))
        await self.replace_owners()
        await self.check_lost_tasks_start_again(lost)


class TestRoster(unittest.TestCase):
    """How rosters are stored."""

    # Earlier versions, which run beside this one during a release, would wait for
    # unknown workers after each takeover.
    def test_a_complete_roster_has_no_flag(self):
        value = encode_roster(RosterRecord(()))
        self.assertEqual(value, encode_record(((),)))
        self.assertEqual(decode_record(RosterRecord, value), RosterRecord(()))

    def test_an_incomplete_roster_says_so(self):
        roster = RosterRecord((), is_complete=False)
        self.assertEqual(decode_record(RosterRecord, encode_roster(roster)), roster)
