"""When what the store shows was written, told by its revisions."""

import unittest

from damaskdeck.coordination.pools.revisions import DATES_KEPT, RevisionDates


class TestDates(unittest.TestCase):
    """From when on a revision was written."""

    def setUp(self):
        self.dates = RevisionDates()

    def test_before_any_note_nothing_is_known(self):
        self.assertEqual(self.dates.date(7), float("-inf"))

    def test_a_later_revision_was_written_after_the_question(self):
        self.dates.note(10, 1.0)
        self.dates.note(20, 2.0)
        self.assertEqual(self.dates.date(11), 1.0)
        self.assertEqual(self.dates.date(20), 1.0)
        self.assertEqual(self.dates.date(21), 2.0)

    def test_what_was_there_at_the_first_question_may_be_of_any_age(self):
        self.dates.note(10, 1.0)
        self.assertEqual(self.dates.date(10), float("-inf"))

    def test_answers_out_of_order_date_nothing_too_late(self):
        self.dates.note(20, 2.0)
        self.dates.note(10, 3.0)
        self.assertEqual(self.dates.date(15), float("-inf"))
        self.assertEqual(self.dates.date(21), 2.0)

    def test_it_keeps_a_bounded_number(self):
        for number in range(3 * DATES_KEPT):
            self.dates.note(number, float(number))
        self.assertEqual(self.dates.date(10), float("-inf"))
        newest = 3 * DATES_KEPT
        self.assertEqual(self.dates.date(newest), newest - 1.0)
