"""Value types for results."""

import unittest

from damaskdeck.protocol.messages import Unanswered, Unsent
from damaskdeck.protocol.outcomes import Failed, Unknown
from damaskdeck.protocol.ports import Lost, Missing, Rejected, Written


class TestDistinctValues(unittest.TestCase):
    """Values of different types with equal fields are not equal."""

    def test_values_of_two_types_differ(self):
        for one, other in (
            (Failed("x"), Unknown("x")),
            (Unsent("x"), Unanswered("x")),
            (Rejected("x"), Lost("x")),
            (Written(1), Missing(1)),
        ):
            self.assertNotEqual(one, other)
            self.assertFalse(one == other)
            self.assertEqual(len({one, other}), 2)

    def test_values_of_one_type_are_equal_by_their_fields(self):
        self.assertEqual(Failed("x"), Failed("x"))
        self.assertNotEqual(Failed("x"), Failed("y"))
        self.assertEqual(len({Failed("x"), Failed("x")}), 1)
