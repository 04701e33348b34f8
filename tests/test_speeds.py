"""Speeds of workers, and placement where they differ widely.

The load: two thirds of the workers need 0.7 times the nominal time and one third 1.7
times; gangs, batches and urgent tasks of about a second with an objective of 1.5 times
their work and 0.25 s. Failures that are guarded against:

- A worker was ranked only after ten runs of steps that are not gangs, so a third of the
  urgent tasks ran on slow workers at first and a fifth afterwards, and gangs held their
  capacity until a slow member had ended.
- 209 workers that had always been slow were marked as slow on one day of 50 s, and
  86 runs were stopped with their gangs, again and again.
"""

import asyncio
import math
import unittest
from random import Random
from typing import NamedTuple

from damaskdeck.coordination.pools.candidates import Candidate
from damaskdeck.coordination.pools.planning import plan_step
from damaskdeck.coordination.pools.speeds import (
    SpeedEstimate,
    StepExpectation,
    WorkerSpeeds,
)
from damaskdeck.coordination.pools.speeds.estimates import (
    PoolSpread,
    SpeedEvidence,
    measure_spread,
)
from damaskdeck.coordination.pools.speeds.records import (
    MAX_RECORD_BYTES,
    KnownSpeed,
    build_write,
    restore_speeds,
)
from damaskdeck.coordination.pools.speeds.unevenness import UnevenPools
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import QueueJobState, StepSpec
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.jobrecords import (
    SPEEDS_KEY,
    RecordedSpeed,
    SpeedsRecord,
    decode_record,
)
from damaskdeck.state.pooljobs import Run, RunPhase, Step
from standins.pools import Work
from tests.poolcluster import SECOND, SMALL, PoolCase, make_job
from tests.test_speedranks import make_step
from tests.virtual import virtual

FAST, SLOW = 0.7, 1.7
SIZE = Size(4000, 16_000, 0)
# A swap of 0.85 s with its objective, on a pool whose fast workers need 0.7 times it.
URGENT = StepExpectation(0.85, 0.09, 1.5, FAST)
PATIENT = StepExpectation(1.9, 0.25, 10.0, FAST)


class StubContact(NamedTuple):
    """The attributes of a worker's contact that the model and the planner use."""

    info: PoolWorker
    runs: dict = {}
    free: Size = SIZE
    is_synchronized: bool = True


def make_contacts(count: int) -> dict[str, StubContact]:
    """Return the contacts to workers of one pool."""
    infos = [
        PoolWorker(f"w{n}", "hub", f"10.0.0.1:{n}", f"z{n % 2}", SIZE)
        for n in range(count)
    ]
    return {info.identifier: StubContact(info, {}) for info in infos}


def find_factor(worker: str) -> float:
    """Return the duration factor of a worker: every third one is slow."""
    return SLOW if int(worker[1:]) % 3 == 0 else FAST


class TestModel(unittest.TestCase):
    """What a pool's runs say about its workers."""

    def setUp(self) -> None:
        self.random = Random(11)
        self.speeds = WorkerSpeeds()
        self.contacts = make_contacts(42)
        self.speeds.update(self.contacts, 0.0)

    def run_gang(self, number: int, workers: list[str]) -> None:
        """Report the progress of a gang with a wrong estimate after 2 s."""
        step = make_step(number, len(workers), is_gang=True)
        work = math.exp(self.random.gauss(1.5, 0.2))
        runs = [Run(t, w, 1, 0.0) for t, w in zip(step.tasks, workers, strict=True)]
        for run in runs:
            run.phase = RunPhase.RUNNING
            run.task.add_run(run)
            self.contacts[run.worker].runs[run.task.name] = run
            for now in (0.5, 2.0):
                run.record_progress(
                    min(100, int(100 * now / work / find_factor(run.worker))), now
                )
        self.speeds.update(self.contacts, 2.0)
        step.complete(step.tasks[0])
        for run in runs:
            run.task.remove_run(run)
            self.contacts[run.worker].runs.clear()

    def run_single_tasks(self, steps: int, factor=find_factor) -> None:
        """Complete steps of three tasks that differ by a fifth, estimates too."""
        for number in range(steps):
            step = make_step(1000 + number, 3)
            work = math.exp(self.random.gauss(0, 0.2))
            for task in step.tasks:
                worker = self.random.choice(list(self.contacts))
                run = Run(task, worker, 1, 0.0)
                uneven = math.exp(self.random.gauss(0, 0.2))
                duration = work * uneven * factor(worker) + 0.06
                self.speeds.record_completion(run, duration)
        self.speeds.update(self.contacts, 2.0)

    def test_one_gang_tells_slow_workers_from_fast_ones(self):
        workers = [f"w{n}" for n in range(12)]
        self.run_gang(1, workers)
        estimates = [self.speeds.estimate(worker) for worker in workers]
        slow = [e for w, e in zip(workers, estimates, strict=True) if w[1:] in "0369"]
        fast = [e for e in estimates if e not in slow]
        self.assertLess(max(e.mean for e in slow) + 0.5, min(e.mean for e in fast))
        self.assertLess(max(e.error for e in estimates), 0.25)

    def test_two_runs_of_single_tasks_tell_most_workers_apart(self):
        self.run_single_tasks(2 * len(self.contacts) // 3)
        known = {w: self.speeds.estimate(w) for w in self.contacts}
        right = [
            (e.mean < self.speeds._uneven.find_spread("hub").mean)
            == (find_factor(w) == SLOW)
            for w, e in known.items()
            if w in self.speeds._evidence
        ]
        self.assertGreater(sum(right) / len(right), 0.9)

    def test_an_uneven_pool_is_recognized_and_an_even_one_stays_even(self):
        self.run_single_tasks(60)
        self.assertTrue(self.speeds.is_uneven("hub"))
        even = WorkerSpeeds()
        even.update(self.contacts, 0.0)
        self.speeds = even
        self.run_single_tasks(60, lambda w: 0.8 + 0.1125 * (int(w[1:]) % 5))
        self.assertFalse(even.is_uneven("hub"))
        self.assertIsNone(even.expect(make_step(1), "hub", 1.0, 0.0))

    def test_a_run_that_stood_still_does_not_outweigh_earlier_ones(self):
        self.run_single_tasks(200)
        before = self.speeds.estimate("w1").mean
        step = make_step(1, 2)
        for task, duration in zip(step.tasks, (30.0, 0.7), strict=True):
            run = Run(task, f"w{task.name.index + 1}", 1, 0.0)
            self.speeds.record_completion(run, duration)
        self.speeds.update(self.contacts, 3.0)
        self.assertLess(abs(self.speeds.estimate("w1").mean - before), 0.15)

    def test_long_running_tasks_prefer_slow_workers(self):
        self.run_single_tasks(60)
        step = make_step(1, 1, is_long_running=True)
        self.assertIsNone(self.speeds.expect(step, "hub", 1.0, 0.0))
        candidates = [
            Candidate(self.contacts[name], False, self.speeds.rank(name))
            for name in ("w1", "w3", "w5")
        ]
        (placed,) = plan_step(step, step.tasks, candidates, True)
        self.assertEqual(placed[1].key, "w3")

    def test_an_unmeasured_worker_counts_as_the_mean_with_the_pools_spread(self):
        self.run_single_tasks(60)
        spread = self.speeds._uneven.find_spread("hub")
        unknown = self.speeds.estimate("w99", "hub")
        self.assertAlmostEqual(unknown.mean, spread.mean)
        self.assertAlmostEqual(unknown.error, spread.deviation)

    def test_a_worker_that_returns_keeps_its_speed_with_twice_the_error(self):
        self.run_single_tasks(60)
        before = self.speeds._evidence["w3"]
        contact = self.contacts.pop("w3")
        self.speeds.update(self.contacts, 3.0)
        self.contacts["w3"] = contact
        self.speeds.update(self.contacts, 4.0)
        self.assertEqual(self.speeds._evidence["w3"], before.discount())
        del self.contacts["w3"]
        self.speeds.update(self.contacts, 5.0)
        other = contact.info._replace(labels=frozenset({"new"}))
        self.contacts["w3"] = contact._replace(info=other)
        self.speeds.update(self.contacts, 6.0)
        self.assertNotIn("w3", self.speeds._evidence)

    def test_another_incarnation_under_the_same_name_keeps_the_speed(self):
        self.run_single_tasks(60)
        before = self.speeds._evidence["w3"]
        contact = self.contacts.pop("w3")
        self.speeds.update(self.contacts, 3.0)
        returned = contact.info._replace(identifier="w3@1700000000000")
        self.contacts[returned.identifier] = contact._replace(info=returned)
        self.speeds.update(self.contacts, 4.0)
        self.assertEqual(self.speeds._evidence[returned.identifier], before.discount())

    def test_a_gang_ends_with_its_slowest_member(self):
        self.run_single_tasks(60)
        step = make_step(1, 2, is_gang=True)
        runs = [
            Run(t, w, 1, 0.0) for t, w in zip(step.tasks, ("w0", "w1"), strict=True)
        ]
        for run in runs:
            run.task.add_run(run)
        ends = {self.speeds.estimate_remaining(run, 0.0) for run in runs}
        self.assertEqual(len(ends), 1)
        self.assertGreater(ends.pop(), 1.3)

    def list_slow(self, speeds: dict[str, float]) -> list[str]:
        """Run a step on all workers, and list those that count as slow now.

        :param speeds: of workers, in multiples of their usual speed.
        """
        step = make_step(1, len(self.contacts))
        for task, worker in zip(step.tasks, self.contacts, strict=True):
            run = Run(task, worker, 1, 10.0)
            run.phase = RunPhase.RUNNING
            self.contacts[worker].runs[task.name] = run
            rate = 40 * speeds.get(worker, 1.0) / find_factor(worker)
            for seconds in (0.5, 1.5):
                run.record_progress(int(seconds * rate), 10.0 + seconds)
        self.speeds.update(self.contacts, 11.5)
        slow_workers = self.speeds.slow_workers
        return [name for name in self.contacts if slow_workers.is_slow(name, 11.6)]

    def test_a_worker_that_was_always_slow_has_not_turned_slow(self):
        self.run_single_tasks(200)
        self.assertEqual(self.list_slow({}), [])

    def test_workers_that_are_slower_than_usual_have_turned_slow(self):
        self.run_single_tasks(200)
        slower = {"w0": 0.2, "w1": 0.2}
        self.assertEqual(self.list_slow(slower), ["w0", "w1"])


class TestSpread(unittest.TestCase):
    """The switch between ranks and expected ends."""

    def test_errors_of_the_estimates_do_not_count_as_spread(self):
        random = Random(5)
        evidence = [SpeedEvidence(random.gauss(0, 0.3), 1 / 0.09) for _ in range(200)]
        self.assertLess(measure_spread(evidence, 200).deviation, 0.15)

    def test_a_tenth_of_slow_workers_makes_no_pool_uneven(self):
        evidence = [
            SpeedEvidence(-1.1 if n % 10 == 0 else 0.0, 100) for n in range(100)
        ]
        self.assertLess(measure_spread(evidence, 100).deviation, 0.2)

    def test_a_pool_near_the_limit_does_not_flip(self):
        pools = UnevenPools()
        states = []
        for deviation in (0.24, 0.26, 0.23, 0.26, 0.21, 0.19, 0.24):
            pools.update("hub", PoolSpread(0.0, deviation, 60, 176))
            states.append(pools.is_uneven("hub"))
        self.assertEqual(states, [False, True, True, True, True, False, False])

    def test_a_few_measured_workers_decide_nothing(self):
        pools = UnevenPools()
        pools.update("hub", PoolSpread(0.0, 0.5, 30, 176))
        pools.update("tiny", PoolSpread(0.0, 0.5, 4, 4))
        self.assertEqual(pools.list_names(), [])


class TestPlans(unittest.TestCase):
    """Plans in an uneven pool."""

    def make_candidates(self, fast: int, slow: int) -> list[Candidate]:
        """Return candidates with four places each, fast ones first."""
        contacts = list(make_contacts(fast + slow).values())
        return [
            Candidate(
                contact,
                speed=SpeedEstimate(-math.log(FAST if n < fast else SLOW), 0.1),
            )
            for n, contact in enumerate(contacts)
        ]

    def list_factors(
        self, step: Step, candidates: list[Candidate], expectation: StepExpectation
    ) -> list[float]:
        """Return the duration factors of the workers that a plan chooses."""
        plan = plan_step(step, step.tasks, candidates, True, frozenset(), expectation)
        return [round(c.speed.duration_factor, 1) for _, c in plan]

    def test_urgent_tasks_go_to_workers_on_which_they_end_in_time(self):
        factors = self.list_factors(make_step(1, 3), self.make_candidates(2, 8), URGENT)
        self.assertEqual(factors, [FAST] * 3)

    def test_patient_tasks_leave_the_fast_workers_free(self):
        found = self.list_factors(make_step(1, 12), self.make_candidates(8, 2), PATIENT)
        self.assertEqual(sorted(found), [FAST] * 4 + [SLOW] * 8)

    def test_urgent_tasks_wait_for_a_fast_worker_no_longer_than_they_gain(self):
        step, candidates = make_step(1, 3), self.make_candidates(0, 4)
        self.assertEqual(self.list_factors(step, candidates, URGENT), [])
        waited = URGENT._replace(waited=0.9)
        self.assertEqual(self.list_factors(step, candidates, waited), [SLOW] * 3)

    def test_tasks_that_are_late_anyway_do_not_wait(self):
        late = URGENT._replace(available=0.5)
        factors = self.list_factors(make_step(1, 3), self.make_candidates(0, 4), late)
        self.assertEqual(factors, [SLOW] * 3)

    def test_members_of_a_gang_go_to_workers_of_one_speed(self):
        gang = make_step(1, 16, is_gang=True)
        candidates = self.make_candidates(5, 5)
        self.assertEqual(self.list_factors(gang, candidates, PATIENT), [SLOW] * 16)
        tight = PATIENT._replace(available=3.5)
        self.assertEqual(self.list_factors(gang, candidates, tight), [FAST] * 16)

    def test_a_patient_gang_that_needs_both_kinds_does_not_wait(self):
        gang = make_step(1, 16, is_gang=True)
        factors = self.list_factors(gang, self.make_candidates(3, 3), PATIENT)
        self.assertEqual(len(factors), 16)

    def test_a_task_that_was_moved_does_not_return_to_its_worker(self):
        for fields in ({}, {"is_gang": True}):
            step, candidates = make_step(1, 3, **fields), self.make_candidates(1, 4)
            step.tasks[0].failed_on.add("w0")
            waited = URGENT._replace(waited=0.9)
            plan = plan_step(step, step.tasks, candidates, True, frozenset(), waited)
            self.assertEqual(len(plan), 3)
            self.assertNotIn("w0", [c.key for t, c in plan if t is step.tasks[0]])


class TestWaits(unittest.TestCase):
    """How long a step waits for a faster worker than those that are free.

    A gang of long tasks waited for 20 s while most of the pool was free, for as long as
    it would have gained; the platform allows 3 s.
    """

    def test_no_step_waits_for_longer_than_the_platform_allows(self):
        slow = SpeedEstimate(-0.5, 0.05)
        expectation = StepExpectation(20.0, 0.05, 25.0, 0.7)
        self.assertTrue(expectation.should_wait(slow))
        for waited, waits in ((1.9, True), (2.1, False), (19.0, False)):
            with self.subTest(waited=waited):
                later = expectation._replace(waited=waited)
                self.assertEqual(later.should_wait(slow), waits)


class TestRecord(unittest.TestCase):
    """The durable record."""

    def test_the_record_keeps_speeds_with_twice_their_error(self):
        known = {"w0": KnownSpeed(frozenset({"a"}), SpeedEvidence(-0.531, 100))}
        record = decode_record(SpeedsRecord, build_write(known, ["hub"]).value)
        self.assertEqual(record.uneven, ("hub",))
        expected = KnownSpeed(frozenset({"a"}), SpeedEvidence(-0.531, 25))
        self.assertEqual(restore_speeds(record), {"w0": expected})

    def test_a_large_pool_fits_by_leaving_out_the_least_known_workers(self):
        known = {
            f"server-with-a-long-name-{n:04}": KnownSpeed(
                frozenset({f"rack-{n // 20}"}), SpeedEvidence(0.3, 10 + n % 50)
            )
            for n in range(1500)
        }
        write = build_write(known, ["hub"])
        self.assertLessEqual(len(write.value), MAX_RECORD_BYTES)
        kept = decode_record(SpeedsRecord, write.value).workers
        self.assertGreater(len(kept), 300)
        self.assertGreater(min(entry.precision for entry in kept), 30)

    def test_invalid_entries_are_ignored(self):
        entries = (
            RecordedSpeed("unknown labels", 9, 0, 10),
            RecordedSpeed("impossible speed", 0, 90_000, 10),
            RecordedSpeed("no evidence", 0, 0, 0),
            RecordedSpeed("valid", 0, 0, 8),
        )
        self.assertEqual(list(restore_speeds(SpeedsRecord(entries, ((),)))), ["valid"])


class TestUnevenCluster(PoolCase):
    """An owner with uneven workers."""

    async def begin_uneven(self) -> None:
        """Start a cluster of 12 workers and let it learn their speeds."""
        cluster = await self.begin(workers=12, behave=lambda t, a: Work(2 * SECOND))
        for name, worker in cluster.workers.items():
            worker.slowdown = find_factor(name)
        for number in range(4):
            wide = StepSpec(24, SMALL, 2 * SECOND, spread=2)
            await cluster.submit(f"learn{number}", make_job(wide))
        for number in range(4):
            await cluster.wait_for_state(f"learn{number}", QueueJobState.COMPLETED)

    def get_speeds(self) -> WorkerSpeeds:
        """Return the model of the present owner."""
        return self.cluster.find_owner().owner.dispatcher.speeds

    @virtual
    async def test_a_successor_knows_the_speeds(self):
        await self.begin_uneven()
        cluster = self.cluster
        self.assertTrue(self.get_speeds().is_uneven("hub"))
        await asyncio.sleep(6)
        record = decode_record(SpeedsRecord, cluster.store.entries[SPEEDS_KEY].value)
        self.assertEqual(len(record.workers), 12)
        cluster.find_owner().kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        await asyncio.sleep(1)
        self.assertTrue(self.get_speeds().is_uneven("hub"))
        for name in cluster.workers:
            estimate = self.get_speeds().estimate(name)
            self.assertEqual(estimate.mean < 0, find_factor(name) == SLOW, name)
        self.end()

    @virtual
    async def test_an_unreadable_record_counts_as_empty(self):
        await self.begin_uneven()
        cluster = self.cluster
        await asyncio.sleep(6)
        cluster.store.set(SPEEDS_KEY, b"unreadable")
        cluster.find_owner().kill()
        await cluster.wait(lambda: cluster.find_owner() is not None)
        self.assertFalse(self.get_speeds().is_uneven("hub"))
        await cluster.submit(
            "j1",
            make_job(),
            next(d.name for d in cluster.daemons.values() if not d.is_killed),
        )
        await cluster.wait(lambda: bool(cluster.list_starts("j1")))
        self.end()

    @virtual
    async def test_a_worker_that_turns_slow_loses_its_runs(self):
        await self.begin_uneven()
        cluster = self.cluster
        for name in ("w0", "w1"):
            cluster.workers[name].slowdown *= 8
        wide = StepSpec(40, SMALL, 2 * SECOND)
        await cluster.submit("j1", make_job(wide))
        await cluster.wait_for_state("j1", QueueJobState.COMPLETED)
        moved = [row for row in cluster.list_starts("j1") if row[2] > 1]
        self.assertTrue(moved)
        self.assertNotIn("w0", {row[3] for row in moved})
        self.end()
