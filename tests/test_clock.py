"""Alignment of sleeps."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.clock import MIN_ALIGNED_SLEEP_SECONDS, SLEEP_GRID_SECONDS, align_sleep

ROUNDING_TOLERANCE = 1e-6


class TestAlignedSleep(unittest.TestCase):
    """Long sleeps end on a common grid; no sleep ends early."""

    @settings(derandomize=True, deadline=None)
    @given(st.floats(0, 1e6), st.floats(MIN_ALIGNED_SLEEP_SECONDS, 1e4))
    def test_long_sleep_ends_on_the_grid_and_not_early(self, now, seconds):
        duration = align_sleep(now, seconds)
        self.assertGreaterEqual(duration, seconds)
        self.assertLessEqual(
            duration, seconds + SLEEP_GRID_SECONDS + ROUNDING_TOLERANCE
        )
        ticks = (now + duration) / SLEEP_GRID_SECONDS
        self.assertAlmostEqual(
            ticks, round(ticks), delta=ROUNDING_TOLERANCE / SLEEP_GRID_SECONDS
        )

    def test_short_sleep_is_unchanged(self):
        self.assertEqual(align_sleep(12.345, 0.02), 0.02)
