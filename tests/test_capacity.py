"""Tests the fits behind the capacity page, and its tables against its figures."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks import pages, sizing
from benchmarks.fleets import parse_metrics
from benchmarks.sizing import Cost, Slopes
from benchmarks.slopes import fit_line

NUMBERS = st.floats(-1000, 1000).map(lambda value: round(value, 3))
DRIVERS = st.lists(st.integers(0, 1000), min_size=2, max_size=8, unique=True)


class TestSlopes(unittest.TestCase):
    """Lines fitted to known points."""

    @given(DRIVERS, NUMBERS, NUMBERS)
    @settings(derandomize=True, deadline=None, max_examples=50)
    def test_points_on_a_line_give_that_line(self, drivers, slope, intercept):
        line = fit_line([(x, intercept + slope * x) for x in drivers])
        self.assertAlmostEqual(line.slope, slope, 5)
        self.assertAlmostEqual(line.at(500), intercept + slope * 500, 2)
        self.assertAlmostEqual(line.residual, 0, 5)

    def test_the_residual_is_the_deviation_from_the_line(self):
        line = fit_line([(0, 1), (0, 3), (2, 5), (2, 7)])
        self.assertEqual((line.slope, line.intercept, line.residual), (2, 2, 1))

    def test_nonlinear_growth_shows_in_the_residual(self):
        squares = fit_line([(x, x * x) for x in (0, 10, 20, 30)])
        self.assertGreater(squares.residual, 50)

    def test_a_single_driver_value_is_refused(self):
        with self.assertRaises(ValueError):
            fit_line([(3, 1), (3, 2)])


class TestMetrics(unittest.TestCase):
    """Counters parsed from the Prometheus text format."""

    def test_counters_are_distinguished_by_their_labels(self):
        text = (
            "# TYPE damaskdeck_refusals_total counter\n"
            'damaskdeck_refusals_total{code="no_room",otel_scope_name="damaskdeck",'
            'part="workers"} 3.0\n'
            'damaskdeck_store_calls_total{kind="put"} 2.0\n'
            'python_info{version="3"} 1.0\n'
        )
        found = {"refusals no_room workers": 3.0, "store_calls put": 2.0}
        self.assertEqual(parse_metrics(text), found)


def make_line(slope: float, intercept: float = 0.0) -> dict[str, float]:
    return {"slope": slope, "intercept": intercept, "residual": 0.0, "points": []}


class TestSizing(unittest.TestCase):
    """Costs computed from known slopes."""

    def make_slopes(self, owns_workers: bool = False) -> Slopes:
        lines = {
            "zones/peer/processor ms": make_line(1.0, 5.0),
            "workers/owner/processor ms": make_line(0.1),
            "tasks/owner/processor ms": make_line(0.01),
            "starts/owner/processor ms": make_line(0.5),
            "tasks/keeper/processor ms": make_line(0.001),
            "starts/keeper/processor ms": make_line(0.4),
            "starts/platform/store put": make_line(0.05),
            "zones/platform/store renew_lease": make_line(3.0),
            "zones/platform/store watch": make_line(4.0),
        }
        measured = {"keeper owns workers": owns_workers, "owners": 2}
        return Slopes({"lines": lines, "measured": measured})

    def test_roles_add_up_to_a_daemon(self):
        scale = sizing.Scale("small", 2, 4, 40, 800, 8, 0, 2)
        roles = sizing.compute_roles(self.make_slopes(), scale)
        self.assertAlmostEqual(roles.peer.processor, 5 + 2)
        self.assertAlmostEqual(roles.idle.processor, 7 + 10 * 0.1)
        self.assertAlmostEqual(roles.owner.processor, 8 + 200 * 0.01 + 2 * 0.5)
        ledger_cost = 400 * 0.001 + 4 * 0.4
        self.assertAlmostEqual(roles.ledger_owner.processor, 11 + ledger_cost)

    def test_workers_of_a_ledger_owner_are_not_counted_twice(self):
        slopes = self.make_slopes(owns_workers=True)
        self.assertAlmostEqual(
            slopes.compute_ledger_owner_cost("starts").processor, 0.4 - 0.25
        )

    def test_store_calls_follow_daemons_and_starts(self):
        scale = sizing.Scale("small", 2, 4, 40, 800, 8, 0, 2)
        calls = sizing.count_store_calls(self.make_slopes(), scale)
        self.assertAlmostEqual(calls.renewals, 3 * 2 * 4 / 6)
        self.assertAlmostEqual(calls.task_writes, 8 * 0.05)
        self.assertAlmostEqual(calls.reads, 4 * 2 * 4 / 6 + 4)

    def test_all_kinds_of_bytes_are_counted(self):
        cost = Cost(peer_bytes=1, platform_bytes=2, worker_bytes=4)
        self.assertEqual(cost.plus(cost).all_bytes, 14)


class TestPage(unittest.TestCase):
    """The tables of docs/CAPACITY.md against the figures of docs/capacity.json."""

    def test_the_tables_follow_from_the_committed_figures(self):
        text = pages.PAGE.read_text()
        self.assertEqual(pages.fill_page(text, pages.read_slopes()), text)

    def test_every_table_is_on_the_page_once(self):
        text = pages.PAGE.read_text()
        for name in pages.list_tables():
            self.assertEqual(text.count(f"<!-- begin {name} -->\n| "), 1, name)

    def test_committed_lines_follow_from_their_points(self):
        lines = json.loads(pages.FIGURES.read_text())["lines"]
        self.assertGreater(len(lines), 50)
        for name, line in lines.items():
            fitted = fit_line([tuple(point) for point in line["points"]])
            for part in ("slope", "intercept"):
                expected = getattr(fitted, part)
                limit = 1e-5 * abs(expected) + 1e-9
                self.assertAlmostEqual(line[part], expected, delta=limit, msg=name)

    def test_values_over_budget_are_marked(self):
        row = pages._show_against_budget(1.3, 1.0)
        self.assertIn("**1.30**", row)
        self.assertIn("over", row)
        self.assertEqual(pages._show_against_budget(1.0, 1.0), "1.00")
        self.assertIn("over", pages._show_against_budget(1.001, 1.0))
