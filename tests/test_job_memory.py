"""Tests of the bound on the memory of all accepted jobs.

Pattern: admission control by a shared budget, handed out in parts.
"""

import asyncio
import random
import tracemalloc
import unittest
from datetime import timedelta

from damaskdeck.coordination.pools.admission.desk import MEMORY_RETRY
from damaskdeck.coordination.pools.admission.memory import (
    ANNOUNCE_TIME,
    UNREPORTED_SHARE,
    JobMemory,
    share_room,
)
from damaskdeck.coordination.pools.intake import apply_in_slices
from damaskdeck.coordination.pools.pending import PendingSteps
from damaskdeck.errors import MessageError
from damaskdeck.platform.jobs import parse_job
from damaskdeck.protocol.callresults import MEMORY_CODE, JobAccepted, JobNotAccepted
from damaskdeck.protocol.ports import Entry
from damaskdeck.protocol.queues import JobSpec, QueueJobState, StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import JobRecord, decode_job, encode_record
from damaskdeck.state.pooljobs import Job, estimate_footprint
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, PoolCase, make_job, make_queue
from tests.virtual import virtual

STEP = StepSpec(1, SMALL, SECOND)
WIDE = StepSpec(100_000, SMALL, SECOND)
LIMIT = 16_000_000


def measure_memory(specs: list[JobSpec]) -> int:
    """Return the bytes that an owner uses for jobs that wait."""
    values = [
        encode_record(JobRecord(f"{number:016x}", make_queue(), spec, 1, 0.0))
        for number, spec in enumerate(specs)
    ]
    pending, jobs = PendingSteps(), []
    tracemalloc.start()
    try:
        for value in values:
            job = Job(decode_job(value), 0.0)
            job.update_schedule(0.0, 1e9)
            pending.mark_changed(job)
            jobs.append(job)
        pending.rank(0.0)
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


class TestFootprint(unittest.TestCase):
    """The estimate is above what a job needs, and not far above."""

    def check(self, *specs: JobSpec) -> None:
        """Compare the estimate with what is used."""
        estimate = sum(map(estimate_footprint, specs))
        used = measure_memory(list(specs))
        self.assertLess(used, estimate)
        self.assertLess(estimate, 4 * used)

    def test_small_jobs(self):
        chain = [STEP._replace(after=(n - 1,) if n else ()) for n in range(5)]
        self.check(*[make_job()] * 50, *[make_job(*chain)] * 50)

    def test_jobs_of_many_different_steps(self):
        steps = [
            STEP._replace(size=Size(n + 1000, n + 1000, 0), estimate=n * SECOND)
            for n in range(3000)
        ]
        self.check(*[make_job(*steps)] * 2)

    def test_jobs_of_long_chains(self):
        chain = [STEP._replace(after=(n - 1,) if n else ()) for n in range(3000)]
        self.check(*[make_job(*chain)] * 2)

    def test_schedules_that_are_behind(self):
        self.check(*[make_job(repeats=10**6, interval=SECOND)] * 10)

    def test_jobs_of_many_tasks(self):
        self.check(*[make_job(WIDE)] * 50)

    def test_long_payloads(self):
        self.check(*[make_job()._replace(payload="x" * 4000)] * 50)


class SteppedClock:
    """A clock that a test moves on."""

    def __init__(self) -> None:
        self._now = timedelta()

    def monotonic(self) -> timedelta:
        """Return the time that was reached."""
        return self._now

    def advance(self, duration: timedelta) -> None:
        """Move the time on."""
        self._now += duration


class TestJobMemory(unittest.TestCase):
    """Daemons stay below the bound together."""

    def setUp(self) -> None:
        self.clock = SteppedClock()

    def report(self, room: int, epoch: int = 1):
        """Return a report of what each daemon may accept."""
        return {"epoch": epoch, "zones": [], "job_bytes": room}

    def test_what_was_accepted_lately_is_not_accepted_twice(self):
        memory = JobMemory(self.clock, LIMIT)
        memory.update(self.report(1000))
        memory.reserve(600)
        memory.update(self.report(1000))
        self.assertEqual(memory.measure_room(), 400)
        self.clock.advance(ANNOUNCE_TIME + SECOND)
        memory.update(self.report(400))
        self.assertEqual(memory.measure_room(), 400)

    def test_what_was_not_stored_needs_no_memory(self):
        memory = JobMemory(self.clock, LIMIT)
        memory.update(self.report(1000))
        memory.release(memory.reserve(600))
        self.assertEqual(memory.measure_room(), 1000)

    def test_without_reports_each_daemon_accepts_a_part(self):
        memory = JobMemory(self.clock, LIMIT)
        self.assertEqual(memory.measure_room(), int(UNREPORTED_SHARE * LIMIT))
        memory.reserve(600)
        self.clock.advance(timedelta(hours=1))
        self.assertEqual(memory.measure_room(), int(UNREPORTED_SHARE * LIMIT) - 600)

    def test_reports_of_deposed_and_of_earlier_owners_change_nothing(self):
        memory = JobMemory(self.clock, LIMIT)
        memory.update(self.report(1000, epoch=3))
        memory.update(self.report(9000, epoch=2))
        memory.update({"epoch": 4, "zones": []})
        self.assertEqual(memory.measure_room(), 1000)

    def test_several_daemons_stay_below_the_bound(self):
        for seed in range(20):
            rng = random.Random(seed)
            daemons = [JobMemory(self.clock, LIMIT) for _ in range(7)]
            known, unknown = 0, []
            for _ in range(400):
                self.clock.advance(rng.random() * SECOND / 4)
                now = self.clock.monotonic()
                known += sum(size for at, size in unknown if at <= now)
                unknown = [row for row in unknown if row[0] > now]
                room = share_room(LIMIT, known, len(daemons))
                for daemon in daemons:
                    if rng.random() < 0.5:
                        daemon.update(self.report(room))
                    size = rng.randint(1, LIMIT // 20)
                    if size <= daemon.measure_room():
                        daemon.reserve(size)
                        late = rng.random() * ANNOUNCE_TIME
                        unknown.append((now + late, size))
            total = known + sum(size for _, size in unknown)
            self.assertLessEqual(total, LIMIT)
            self.assertGreater(total, LIMIT // 2)


class TestLoad(unittest.IsolatedAsyncioTestCase):
    """A new owner loads jobs without holding up its event loop."""

    async def test_other_work_runs_while_records_are_applied(self):
        entries = [Entry(f"k{number}", b"x" * 1000, 1) for number in range(200)]
        applied: list[int] = []
        turns: list[int] = []

        async def work() -> None:
            while len(applied) < len(entries):
                turns.append(len(applied))
                await asyncio.sleep(0)

        other = asyncio.ensure_future(work())
        await apply_in_slices(entries, lambda entry: applied.append(1))
        await other
        self.assertGreater(len(turns), 5)
        self.assertEqual(len(applied), len(entries))


class TestDoor(PoolCase):
    """Jobs beyond the bound are refused at once, and the others run."""

    @virtual
    async def test_jobs_beyond_the_bound_are_refused_until_others_have_ended(self):
        # Guards against a sum of accepted jobs that takes each owner over its memory.
        cluster = await self.begin(behave=lambda t, a: Work(0.2 * SECOND))
        for daemon in cluster.daemons.values():
            if daemon.owner is not None:
                daemon.owner._job_memory = LIMIT
        await cluster.submit("j0", make_job())
        spec = make_job(*[STEP._replace(after=(0,) if n else ()) for n in range(1500)])
        spec = spec._replace(steps=(STEP._replace(label="none"), *spec.steps[1:]))
        frontend = cluster.daemons["d0"].frontend
        answers = []
        for number in range(80):
            await cluster.clock.sleep(SECOND / 2)
            began_at = cluster.clock.monotonic()
            answers.append(await frontend.submit(make_queue(), f"w{number}", spec))
            self.assertLess(cluster.clock.monotonic() - began_at, SECOND)
        accepted = [n for n, each in enumerate(answers) if each == JobAccepted()]
        refusals = {each for each in answers if each != JobAccepted()}
        self.assertEqual(refusals, {JobNotAccepted(MEMORY_CODE, MEMORY_RETRY)})
        owner = cluster.find_owner().owner
        self.assertLessEqual(owner.job_index.footprint, LIMIT)
        self.assertGreater(owner.job_index.footprint, LIMIT // 3)
        again = await frontend.submit(make_queue(), f"w{accepted[0]}", spec)
        self.assertEqual(again, JobAccepted())
        await cluster.submit("small", make_job())
        await cluster.wait_for_state("small", QueueJobState.COMPLETED, seconds=5)
        self.end()


class TestSteps(unittest.TestCase):
    """A single job has a bound of its own."""

    def test_a_job_of_too_many_steps_is_rejected(self):
        body = b'{"spec": "s", "steps": [%s]}'
        parse_job(body % b",".join([b"{}"] * 10_000))
        with self.assertRaises(MessageError):
            parse_job(body % b",".join([b"{}"] * 10_001))
