"""Bounds on when stored values were written, derived from store revisions."""

import unittest

from damaskdeck.coordination.pools.revisions import MAX_ENTRIES, RevisionTimes


class TestDates(unittest.TestCase):
    """The earliest time at which a revision may have been written."""

    def setUp(self):
        self.write_times = RevisionTimes()

    def test_without_a_record_the_write_time_is_unknown(self):
        self.assertEqual(self.write_times.find_write_time(7), float("-inf"))

    def test_a_later_revision_was_written_after_the_request(self):
        self.write_times.record(10, 1.0)
        self.write_times.record(20, 2.0)
        self.assertEqual(self.write_times.find_write_time(11), 1.0)
        self.assertEqual(self.write_times.find_write_time(20), 1.0)
        self.assertEqual(self.write_times.find_write_time(21), 2.0)

    def test_values_older_than_the_first_request_may_be_of_any_age(self):
        self.write_times.record(10, 1.0)
        self.assertEqual(self.write_times.find_write_time(10), float("-inf"))

    def test_answers_out_of_order_give_no_time_that_is_too_late(self):
        self.write_times.record(20, 2.0)
        self.write_times.record(10, 3.0)
        self.assertEqual(self.write_times.find_write_time(15), float("-inf"))
        self.assertEqual(self.write_times.find_write_time(21), 2.0)

    def test_the_number_of_entries_is_bounded(self):
        for number in range(3 * MAX_ENTRIES):
            self.write_times.record(number, float(number))
        self.assertEqual(self.write_times.find_write_time(10), float("-inf"))
        newest = 3 * MAX_ENTRIES
        self.assertEqual(self.write_times.find_write_time(newest), newest - 1.0)
