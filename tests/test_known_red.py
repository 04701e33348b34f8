"""The list of known failures: what it passes over, and what not."""

import unittest

from tests.known_red import Outcome, judge, read_names

ENTRY = """Known failures, mended first.

tests.test_pools.TestJobs.test_one: make test, no seed
    seen: a job isn't told of; issue 7
"""


class TestList(unittest.TestCase):
    """What the list names."""

    def test_an_entry_begins_with_its_test(self):
        self.assertEqual(read_names(ENTRY), {"tests.test_pools.TestJobs.test_one"})

    def test_prose_names_no_test(self):
        self.assertEqual(read_names("None.\n    tests.test_a.B.c: told of\n"), set())


class TestJudgement(unittest.TestCase):
    """How a test's outcome counts."""

    def test_a_listed_failure_is_passed_over(self):
        self.assertEqual(judge("failed", True), Outcome("failed", True))

    def test_a_listed_error_is_passed_over(self):
        self.assertEqual(judge("error", True), Outcome("error", True))

    def test_a_listed_test_that_passes_fails_the_run(self):
        self.assertEqual(judge("passed", True), Outcome("passed", False))

    def test_what_is_not_listed_is_left_alone(self):
        for outcome in ("passed", "failed", "error", "skipped"):
            with self.subTest(outcome=outcome):
                self.assertIsNone(judge(outcome, False))
