"""Declared resources at the size that the system is built for."""

import unittest

from damaskdeck.protocol.checks import find_faults
from damaskdeck.protocol.resources import TeamSpec

WORKERS, CORES_EACH, ACCELERATORS = 790, 64, 1100


class TestQuotas(unittest.TestCase):
    """A team may be given the whole cell."""

    def test_quota_of_the_whole_target_size_has_no_fault(self):
        quota = {"processors": WORKERS * CORES_EACH, "accelerators": ACCELERATORS}
        self.assertEqual(find_faults({"quota": quota}, TeamSpec), ())

    def test_negative_quota_is_named(self):
        faults = find_faults({"quota": {"processors": -1}}, TeamSpec)
        self.assertEqual([fault.path for fault in faults], ["quota.processors"])
