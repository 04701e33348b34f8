"""Tests that the classes named on the page of proofs exist."""

import importlib
import re
import unittest
from pathlib import Path

PAGE = Path(__file__).parents[1] / "docs" / "PROOFS.md"
NAMED_TEST = re.compile(r"`(test_\w+)\.(Test\w+)`")


class TestProofs(unittest.TestCase):
    """Every test class that the page names can be loaded and has tests."""

    def test_each_named_class_exists_and_has_tests(self):
        named = NAMED_TEST.findall(PAGE.read_text())
        self.assertTrue(named)
        loader = unittest.defaultTestLoader
        for module, name in named:
            with self.subTest(module=module, name=name):
                found = getattr(importlib.import_module(f"tests.{module}"), name)
                self.assertTrue(loader.loadTestsFromTestCase(found).countTestCases())
