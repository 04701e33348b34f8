"""Tests of sets of indexes that are stored as ranges."""

import random
import unittest

from damaskdeck.errors import MessageError
from damaskdeck.state.indexranges import (
    MAX_LISTED_INDEXES,
    IndexRanges,
    decode_indexes,
)

LIMIT = 60
STEPS = 400


class TestIndexRanges(unittest.TestCase):
    """A set behaves like one of Python and keeps one range for neighbours."""

    def check(self, found: IndexRanges, expected: set[int]) -> None:
        """Compare a set with one of Python."""
        self.assertEqual(list(found), sorted(expected))
        self.assertEqual(len(found), len(expected))
        for first, second in zip(
            found.list_ranges(), found.list_ranges()[1:], strict=False
        ):
            self.assertLess(first.stop, second.start)
        for index in range(LIMIT + 1):
            self.assertEqual(index in found, index in expected)
            gap = next(n for n in range(index, LIMIT + 9) if n not in expected)
            self.assertEqual(found.find_gap(index), gap)

    def test_random_changes_have_the_effect_that_they_have_on_a_set(self):
        for seed in range(5):
            rng = random.Random(seed)
            found, expected = IndexRanges(), set()
            for _ in range(STEPS):
                start = rng.randrange(LIMIT)
                stop = min(LIMIT, start + rng.choice((0, 1, 1, 9)))
                if rng.random() < 0.5:
                    found.add_range(start, stop)
                    expected.update(range(start, stop))
                else:
                    found.discard_range(start, stop)
                    expected.difference_update(range(start, stop))
                self.check(found, expected)

    def test_the_lowest_are_listed_first(self):
        found = IndexRanges([range(4, 6), range(9, 12)])
        self.assertEqual(found.list_first(3), [4, 5, 9])
        self.assertEqual(found.list_first(9), [4, 5, 9, 10, 11])


class TestEncoding(unittest.TestCase):
    """Stored indexes can be read again, and many need few numbers."""

    def test_few_indexes_are_stored_one_by_one(self):
        encoded = IndexRanges([range(2, 5), range(8, 9)]).encode()
        self.assertEqual(encoded, (2, 3, 4, 8))

    def test_many_indexes_are_stored_as_ranges(self):
        found = IndexRanges([range(1), range(5, 5 + MAX_LISTED_INDEXES)])
        self.assertEqual(found.encode(), (0, 5, 1 - MAX_LISTED_INDEXES))
        read = decode_indexes(found.encode(), 1000)
        self.assertEqual(read.list_ranges(), found.list_ranges())

    def test_what_is_no_set_of_indexes_is_rejected(self):
        for encoded in ((-3,), (0, -1000), (1000,), (5, -2, -2000)):
            with self.assertRaises(MessageError):
                decode_indexes(encoded, 1000)
