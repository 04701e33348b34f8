"""Declared resources at the target size of the system."""

import unittest

from damaskdeck.protocol.checks import find_faults
from damaskdeck.protocol.resources import TeamSpec

WORKERS, CORES_EACH, ACCELERATORS = 790, 64, 1100


class TestQuotas(unittest.TestCase):
    """A team's quota may cover the whole cluster."""

    def test_quota_of_the_target_size_is_valid(self):
        quota = {"processors": WORKERS * CORES_EACH, "accelerators": ACCELERATORS}
        self.assertEqual(find_faults({"quota": quota}, TeamSpec), ())

    def test_path_of_a_negative_quota_is_reported(self):
        faults = find_faults({"quota": {"processors": -1}}, TeamSpec)
        self.assertEqual([fault.path for fault in faults], ["quota.processors"])
