"""Estimates of sizes and run times, and decisions under pressure."""

import math
import random
import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.coordination.places.estimates import MARGIN, Estimates
from damaskdeck.coordination.places.histograms import Histogram
from damaskdeck.coordination.queues.pressure import (
    Checkpoint,
    ObservedTask,
    Stop,
    Throttle,
    choose_pressure_action,
)
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size, fits

DECLARED = Size(1000, 4096, 1)
HOUR = timedelta(hours=1)


class TestHistogram(unittest.TestCase):
    """Quantiles of a compact histogram."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.lists(st.floats(1, 1e9), min_size=1, max_size=200), st.floats(0.01, 1.0))
    def test_a_quantile_is_at_most_a_bucket_above_the_true_one(self, values, share):
        histogram = Histogram()
        for value in values:
            histogram.add(value)
        true = sorted(values)[math.ceil(share * len(values)) - 1]
        found = histogram.find_quantile(share)
        self.assertGreaterEqual(found, true * (1 - 1e-9))
        self.assertLessEqual(found, true * 2 ** (1 / 8) * (1 + 1e-9))

    def test_old_values_lose_weight(self):
        histogram = Histogram()
        for value in [1e6] * 400 + [10.0] * 5000:
            histogram.add(value)
        self.assertLess(histogram.find_quantile(1.0), 11)
        self.assertLess(histogram.total, 512)


class ObservedWorkload:
    """Estimates of one workload whose tasks run one after another."""

    def __init__(self, declared=DECLARED):
        self.estimates = Estimates()
        self.declared = declared
        self.count = 0
        self.sizes = [self.estimate()]

    def estimate(self):
        return self.estimates.estimate_size("checks", self.declared)

    def run(self, use, run_time=HOUR):
        self.count += 1
        self.estimates.observe_use("checks", f"t{self.count}", use)
        self.estimates.observe_end("checks", f"t{self.count}", run_time)
        self.sizes.append(self.estimate())


class TestSizes(unittest.TestCase):
    """Declared sizes are corrected by observed usage."""

    def test_sizes_settle_just_above_what_is_used_in_small_steps(self):
        for factor in (0.25, 4.0):
            workload, rng = ObservedWorkload(), random.Random(1)
            use = Size(round(1000 * factor), round(4096 * factor), 1)
            for _ in range(200):
                noise = rng.uniform(0.9, 1.0)
                workload.run(Size(round(use[0] * noise), round(use[1] * noise), 1))
            for index in (0, 1):
                size = workload.sizes[-1][index]
                self.assertGreaterEqual(size, use[index] * 0.95 * (1 + MARGIN))
                self.assertLessEqual(size, use[index] * 1.1 * (1 + MARGIN))
                for old, new in zip(workload.sizes, workload.sizes[1:], strict=False):
                    self.assertLessEqual(new[index], old[index] * 1.25 + 2)
                    self.assertGreaterEqual(new[index], old[index] * 0.85 - 1)
            self.assertEqual(workload.sizes[-1].accelerators, 1)

    def test_a_few_small_tasks_shrink_nothing(self):
        workload = ObservedWorkload()
        for _ in range(7):
            workload.run(Size(10, 10, 0))
        self.assertEqual(workload.sizes[-1], DECLARED)
        workload.estimates.observe_use("checks", "new", Size(10, 10, 0))
        running = workload.estimates.estimate_running("checks", "new", DECLARED)
        self.assertEqual(running, DECLARED)

    def test_the_usage_of_an_ended_task_no_longer_counts(self):
        workload = ObservedWorkload()
        workload.estimates.observe_use("checks", "big", Size(9000, 9000, 0))
        workload.estimates.observe_use("checks", "small", Size(10, 5000, 0))
        self.assertEqual(workload.estimate(), Size(9000, 9000, 1))
        workload.estimates.observe_end("checks", "big", None)
        self.assertEqual(workload.estimate(), Size(1000, 5000, 1))

    def test_a_failed_task_changes_no_size(self):
        workload = ObservedWorkload()
        for _ in range(100):
            workload.run(Size(10, 10, 0), None)
        self.assertEqual(workload.sizes[-1], DECLARED)

    def test_a_changed_declaration_applies_at_once(self):
        workload = ObservedWorkload()
        for _ in range(100):
            workload.run(Size(100, 400, 0))
        workload.declared = Size(3000, 8192, 0)
        self.assertEqual(workload.estimate(), Size(3000, 8192, 0))

    def test_a_service_is_observed_while_it_runs(self):
        workload = ObservedWorkload()
        for task in range(4):
            for _ in range(64 * 8):
                workload.estimates.observe_use("checks", f"s{task}", Size(100, 1000, 0))
        self.assertLess(workload.estimate().memory, 2000)
        shrunk = workload.estimates.estimate_running("checks", "s1", DECLARED)
        self.assertEqual(shrunk, Size(115, 1150, 1))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 5),
                st.builds(Size, st.integers(0, 4000), st.integers(0, 9000), st.just(1)),
                st.sampled_from(("use", "use", "use", "end", "stop")),
            ),
            max_size=120,
        )
    )
    def test_an_estimate_is_never_below_what_a_running_task_uses(self, steps):
        estimates, running = Estimates(), {}
        estimates.estimate_size("checks", DECLARED)
        for number, use, kind in steps:
            task = f"t{number}"
            if kind == "use":
                estimates.observe_use("checks", task, use)
                old = running.get(task, Size())
                running[task] = Size(*map(max, old, use))
            else:
                run_time = HOUR if kind == "end" else None
                estimates.observe_end("checks", task, run_time)
                running.pop(task, None)
            size = estimates.estimate_size("checks", DECLARED)
            for name, peak in running.items():
                self.assertTrue(fits(peak, size))
                reserved = estimates.estimate_running("checks", name, DECLARED)
                self.assertTrue(fits(peak, reserved))

    def test_memory_is_bounded_and_workloads_that_run_are_kept(self):
        estimates = Estimates(limit=50)
        for number in range(40):
            estimates.observe_use(f"running-{number}", "t", Size(5000, 1, 0))
        for number in range(1000):
            estimates.observe_end(f"idle-{number}", "t", HOUR)
        self.assertLessEqual(len(estimates), 50)
        for number in range(40):
            size = estimates.estimate_size(f"running-{number}", DECLARED)
            self.assertEqual(size, Size(5000, 4096, 1))


class TestRunTimes(unittest.TestCase):
    """Declared run times are used until enough tasks have run."""

    def test_run_times_are_estimated_by_a_quantile(self):
        workload = ObservedWorkload()
        seconds = [timedelta(seconds=second) for second in range(1, 101)]
        for run_time in seconds[:7]:
            workload.run(Size(), run_time)
        estimate = workload.estimates.estimate_run_time
        self.assertEqual(estimate("checks", HOUR), HOUR)
        for run_time in seconds[7:]:
            workload.run(Size(), run_time)
        self.assertGreaterEqual(estimate("checks", HOUR), timedelta(seconds=90))
        self.assertLessEqual(estimate("checks", HOUR), timedelta(seconds=99))
        self.assertEqual(estimate("other", HOUR), HOUR)


def observe(task, urgency=Urgency.NORMAL, use=(1000, 1000), **options):
    options.setdefault("started", timedelta())
    return ObservedTask(task, urgency, Size(1000, 1000, 0), Size(*use), **options)


class TestPressure(unittest.TestCase):
    """A worker is relieved before it is full."""

    size = Size(4000, 4000, 0)

    def test_nothing_happens_below_the_thresholds(self):
        tasks = [observe(str(number), use=(950, 890)) for number in range(4)]
        self.assertIsNone(choose_pressure_action(self.size, tasks))

    def test_processors_are_bounded_to_what_is_reserved_least_urgent_first(self):
        tasks = [
            observe("a", Urgency.URGENT, use=(2000, 10)),
            observe("b", Urgency.LOW, use=(1500, 10)),
            observe("c", Urgency.LOW, use=(1000, 10)),
        ]
        action = choose_pressure_action(self.size, tasks)
        self.assertEqual(action, Throttle("b", 1000))
        tasks[1] = tasks[1]._replace(limit=1000)
        action = choose_pressure_action(self.size, tasks)
        self.assertEqual(action, Throttle("a", 1000))
        tasks[0] = tasks[0]._replace(limit=1000)
        self.assertIsNone(choose_pressure_action(self.size, tasks))

    def test_memory_is_freed_of_the_least_urgent_and_cheapest_to_lose(self):
        late = timedelta(seconds=9)
        tasks = [
            observe("urgent", Urgency.URGENT, (0, 1200), checkpoint=True),
            observe("strict", Urgency.LOW, (0, 1200)),
            observe("old", Urgency.NORMAL, (0, 400), idempotent=True),
            observe("new", Urgency.NORMAL, (0, 400), idempotent=True, started=late),
            observe("saved", Urgency.NORMAL, (0, 400), checkpoint=True),
            observe("over", Urgency.NORMAL, (0, 1100), idempotent=True),
        ]
        order = []
        while action := choose_pressure_action(Size(4000, 1000, 0), tasks):
            order.append(action)
            tasks = [task for task in tasks if task.task != action.task]
        self.assertEqual(
            order,
            [
                Stop("over"),
                Checkpoint("saved"),
                Stop("new"),
                Stop("old"),
                Checkpoint("urgent"),
            ],
        )

    def test_growth_until_the_next_report_counts(self):
        tasks = [observe("a", use=(0, 2000), growth=1700, checkpoint=True)]
        self.assertEqual(choose_pressure_action(self.size, tasks), Checkpoint("a"))

    def test_tasks_that_may_not_be_stopped_are_throttled(self):
        tasks = [
            observe("a", use=(0, 2000), growth=10),
            observe("b", use=(0, 1800), growth=90),
        ]
        self.assertEqual(choose_pressure_action(self.size, tasks), Throttle("b", 500))
