"""Tests the plugin that tolerates the failures listed in KNOWN-RED.txt."""

import unittest

from tests.known_red import Outcome, decide_outcome, read_names

ENTRY = """Known failures, to be fixed first.

tests.test_pools.TestJobs.test_one: make test, no seed
    seen: a job is not reported; issue 7
"""


class TestList(unittest.TestCase):
    """Reading the names of tests from the list."""

    def test_an_entry_starts_with_the_name_of_its_test(self):
        self.assertEqual(read_names(ENTRY), {"tests.test_pools.TestJobs.test_one"})

    def test_prose_is_not_read_as_the_name_of_a_test(self):
        self.assertEqual(read_names("None.\n    tests.test_a.B.c: described\n"), set())


class TestDecision(unittest.TestCase):
    """The outcome that is reported for a test."""

    def test_a_listed_failure_is_tolerated(self):
        self.assertEqual(decide_outcome("failed", True), Outcome("failed", True))

    def test_a_listed_error_is_tolerated(self):
        self.assertEqual(decide_outcome("error", True), Outcome("error", True))

    def test_a_listed_test_that_passes_fails_the_run(self):
        self.assertEqual(decide_outcome("passed", True), Outcome("passed", False))

    def test_the_outcome_of_a_test_that_is_not_listed_is_unchanged(self):
        for outcome in ("passed", "failed", "error", "skipped"):
            with self.subTest(outcome=outcome):
                self.assertIsNone(decide_outcome(outcome, False))
