"""Failing workers are distinguished from failing workloads; quarantine is capped."""

import random
import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.coordination.places.failures import FailureHistory
from damaskdeck.coordination.places.quarantine import (
    INITIAL_PERIOD,
    MAX_PERIOD,
    Quarantine,
    WorkerState,
)
from standins.clock import ManualClock

FLEET = frozenset(f"w{number}" for number in range(20))


class Cell:
    """A quarantine with tasks that end at once."""

    def __init__(self, fleet=FLEET, **options):
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock, FailureHistory(), **options)
        self.quarantine.set_fleet(fleet)
        self.count = 0

    def run(self, worker, workload, succeeded, job=""):
        self.count += 1
        task = f"task-{self.count}"
        if not self.quarantine.may_start(worker, True):
            return False
        self.quarantine.record_start(worker, task)
        self.quarantine.record_end(
            worker, workload, job or f"job-{self.count}", task, succeeded
        )
        return True

    def break_worker(self, worker="w0"):
        self.run("w1", "checks", True)
        for _ in range(4):
            self.run(worker, "checks", False)

    def find_state(self, worker="w0"):
        return self.quarantine.find_state(worker)


class TestFaultAttribution(unittest.TestCase):
    """Whether a worker or a workload is at fault when a task fails."""

    def test_a_worker_that_fails_what_runs_well_elsewhere_is_isolated(self):
        cell = Cell()
        cell.break_worker()
        self.assertEqual(cell.find_state(), WorkerState.QUARANTINED)
        self.assertFalse(cell.quarantine.may_start("w0", True))
        self.assertEqual(cell.quarantine.isolated, {"w0"})

    def test_a_worker_is_isolated_for_many_jobs_not_for_one_retried(self):
        cell = Cell()
        cell.run("w1", "checks", True)
        for _ in range(10):
            cell.run("w0", "checks", False, job="poison")
        self.assertEqual(cell.quarantine.isolated, frozenset())

    def test_a_workload_that_fails_everywhere_isolates_no_worker(self):
        cell, rng = Cell(), random.Random(1)
        for worker in sorted(FLEET):
            cell.run(worker, "checks", True)
        for _ in range(400):
            cell.run(rng.choice(sorted(FLEET)), "broken", False)
        self.assertEqual(cell.quarantine.isolated, frozenset())

    def test_a_workload_that_never_ran_counts_once_against_a_worker(self):
        cell = Cell()
        for _ in range(10):
            cell.run("w0", "broken", False)
        self.assertEqual(cell.quarantine.isolated, frozenset())

    def test_a_success_clears_a_workload(self):
        failures = FailureHistory()
        for worker in ("w0", "w1", "w2"):
            self.assertFalse(failures.is_workload_failing("checks"))
            failures.record_failure(worker, "checks", "job")
        self.assertTrue(failures.is_workload_failing("checks"))
        failures.record_success("w3", "checks", timedelta())
        self.assertFalse(failures.is_workload_failing("checks"))

    def test_a_workload_that_breaks_later_releases_its_workers(self):
        cell = Cell()
        cell.run("w9", "checks", True)
        for _ in range(5):
            cell.run("w0", "checks", False)
        self.assertEqual(cell.quarantine.isolated, {"w0"})
        for worker in ("w1", "w2", "w3"):
            cell.run(worker, "checks", False)
        self.assertEqual(cell.quarantine.isolated, frozenset())

    def test_several_broken_workloads_isolate_no_sound_worker(self):
        cell, rng = Cell(cap_share=1.0), random.Random(3)
        broken = ("fits", "plans", "routes", "sums")
        for _ in range(3000):
            workload = rng.choice((*broken, "checks", "reports", "orders"))
            cell.run(rng.choice(sorted(FLEET)), workload, workload not in broken)
            self.assertEqual(cell.quarantine.isolated, frozenset())

    def test_many_failing_workers_do_not_make_workloads_look_broken(self):
        cell, rng = Cell(cap_share=0.5), random.Random(2)
        failing = frozenset(f"w{number}" for number in range(6))
        workloads = ("checks", "routes", "reports", "fits", "plans")
        for _ in range(600):
            worker = rng.choice(sorted(failing)[:6] * 3 + sorted(FLEET))
            cell.run(worker, rng.choice(workloads), worker not in failing)
        self.assertEqual(cell.quarantine.isolated, failing)

    def test_an_unknown_worker_is_never_isolated(self):
        cell = Cell()
        cell.break_worker("gone")
        self.assertEqual(cell.quarantine.isolated, frozenset())


class TestRelease(unittest.TestCase):
    """A quarantined worker is released gradually."""

    def test_an_isolated_worker_is_probed_by_idempotent_tasks(self):
        cell = Cell()
        cell.break_worker()
        cell.clock.move(INITIAL_PERIOD)
        quarantine = cell.quarantine
        self.assertEqual(cell.find_state(), WorkerState.PROBING)
        self.assertFalse(quarantine.may_start("w0", False))
        for passed in range(3):
            tasks = [f"probe-{passed}-{number}" for number in range(2**passed)]
            for task in tasks:
                self.assertTrue(quarantine.may_start("w0", True))
                quarantine.record_start("w0", task)
            self.assertFalse(quarantine.may_start("w0", True))
            for task in tasks[1:]:
                quarantine.record_end("w0", "checks", task, task, None)
            quarantine.record_end("w0", "checks", "job", tasks[0], True)
        self.assertEqual(cell.find_state(), WorkerState.OPEN)
        self.assertTrue(quarantine.may_start("w0", False))

    def test_each_failed_probe_doubles_the_period_up_to_a_limit(self):
        cell = Cell()
        cell.break_worker()
        period = INITIAL_PERIOD
        for _ in range(9):
            cell.clock.move(period - timedelta(milliseconds=1))
            self.assertEqual(cell.find_state(), WorkerState.QUARANTINED)
            cell.clock.move(timedelta(milliseconds=1))
            self.assertTrue(cell.run("w0", "checks", False))
            period = min(period * 2, MAX_PERIOD)
        self.assertEqual(period, MAX_PERIOD)

    def test_a_late_end_of_an_earlier_task_is_no_probe(self):
        cell = Cell()
        cell.break_worker()
        cell.clock.move(INITIAL_PERIOD)
        for number in range(5):
            cell.quarantine.record_end(
                "w0", "checks", f"{number}", f"old-{number}", True
            )
        self.assertEqual(cell.find_state(), WorkerState.PROBING)


class TestCap(unittest.TestCase):
    """Quarantine never isolates more than its share of the fleet."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("fail", "fail", "fail", "ok", "fleet", "wait")),
                st.integers(0, 19),
                st.integers(0, 5),
            ),
            max_size=200,
        ),
        st.sampled_from((0.1, 0.25)),
    )
    def test_isolated_workers_never_exceed_the_cap(self, steps, share):
        cell = Cell(cap_share=share)
        count = len(FLEET)
        for kind, number, workload in steps:
            worker = f"w{number}"
            if kind == "fleet":
                count = number
                cell.quarantine.set_fleet(frozenset(f"w{n}" for n in range(count)))
            elif kind == "wait":
                cell.clock.move(INITIAL_PERIOD * number)
            else:
                cell.run(worker, f"load-{workload}", kind == "ok")
            most = max(int(count * share), 1 if count > 1 else 0)
            self.assertLessEqual(len(cell.quarantine.isolated), most)
            self.assertTrue(
                all(int(name[1:]) < count for name in cell.quarantine.isolated)
            )

    def test_a_smaller_fleet_releases_the_latest_isolated_workers(self):
        cell = Cell()
        cell.break_worker("w0")
        cell.break_worker("w2")
        self.assertEqual(cell.quarantine.isolated, {"w0", "w2"})
        cell.quarantine.set_fleet(frozenset(f"w{n}" for n in range(5)))
        self.assertEqual(cell.quarantine.isolated, {"w0"})

    def test_the_cap_is_reached_when_everything_fails(self):
        cell = Cell()
        cell.run("w19", "checks", True)
        for worker in sorted(FLEET):
            for load in range(5):
                cell.run(worker, f"load-{load}", False)
        self.assertEqual(len(cell.quarantine.isolated), 2)
