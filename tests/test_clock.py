"""Clocks."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.clock import MIN_ALIGNED_SLEEP_SECONDS, SLEEP_GRID_SECONDS, align_sleep

ROUNDING = 1e-6


class TestAlignedSleep(unittest.TestCase):
    """Long sleeps end together; none ends early."""

    @settings(derandomize=True, deadline=None)
    @given(st.floats(0, 1e6), st.floats(MIN_ALIGNED_SLEEP_SECONDS, 1e4))
    def test_long_sleep_ends_on_the_grid_and_never_early(self, now, seconds):
        slept = align_sleep(now, seconds)
        self.assertGreaterEqual(slept, seconds)
        self.assertLessEqual(slept, seconds + SLEEP_GRID_SECONDS + ROUNDING)
        ticks = (now + slept) / SLEEP_GRID_SECONDS
        self.assertAlmostEqual(ticks, round(ticks), delta=ROUNDING / SLEEP_GRID_SECONDS)

    def test_short_sleep_is_left_alone(self):
        self.assertEqual(align_sleep(12.345, 0.02), 0.02)
