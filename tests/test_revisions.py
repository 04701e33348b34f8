"""When what the store shows was written, told by its revisions."""

import unittest

from damaskdeck.coordination.pools.revisions import MAX_ENTRIES, RevisionTimes


class TestDates(unittest.TestCase):
    """From when on a revision was written."""

    def setUp(self):
        self.write_times = RevisionTimes()

    def test_before_any_note_nothing_is_known(self):
        self.assertEqual(self.write_times.find_write_time(7), float("-inf"))

    def test_a_later_revision_was_written_after_the_question(self):
        self.write_times.record(10, 1.0)
        self.write_times.record(20, 2.0)
        self.assertEqual(self.write_times.find_write_time(11), 1.0)
        self.assertEqual(self.write_times.find_write_time(20), 1.0)
        self.assertEqual(self.write_times.find_write_time(21), 2.0)

    def test_what_was_there_at_the_first_question_may_be_of_any_age(self):
        self.write_times.record(10, 1.0)
        self.assertEqual(self.write_times.find_write_time(10), float("-inf"))

    def test_answers_out_of_order_date_nothing_too_late(self):
        self.write_times.record(20, 2.0)
        self.write_times.record(10, 3.0)
        self.assertEqual(self.write_times.find_write_time(15), float("-inf"))
        self.assertEqual(self.write_times.find_write_time(21), 2.0)

    def test_it_keeps_a_bounded_number(self):
        for number in range(3 * MAX_ENTRIES):
            self.write_times.record(number, float(number))
        self.assertEqual(self.write_times.find_write_time(10), float("-inf"))
        newest = 3 * MAX_ENTRIES
        self.assertEqual(self.write_times.find_write_time(newest), newest - 1.0)
