"""Identifiers of incarnations, and what births say about lists and registrations."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st
from logbook import TestHandler

from damaskdeck.coordination.pools.births import (
    BirthMatch,
    EntryVerdict,
    KnownBirths,
    ListedBirth,
)
from damaskdeck.protocol.pools import PoolWorker, WorkerIncarnation
from tests.poolcluster import SIZE

BORN = 1_700_000_000_000
# Two connections.
FIRST, SECOND = object(), object()


class TestIncarnations(unittest.TestCase):
    """An identifier names the same incarnation again, whatever the name contains."""

    @settings(derandomize=True, deadline=None)
    @example("a@5", None)
    @example("a@", 7)
    @example("@", None)
    @example("a@٣", None)
    @given(
        st.text(alphabet="a@059+-٣", max_size=8),
        st.none() | st.integers(1, 2**53),
    )
    def test_identifiers_are_reversible(self, name, born):
        incarnation = WorkerIncarnation(name, born)
        parsed = WorkerIncarnation.parse(incarnation.identifier)
        self.assertEqual(parsed, incarnation)

    # Records of deployments without births must not change.
    def test_without_a_birth_the_identifier_is_the_name(self):
        for name in ("i-a82e1100", "w0+1", ""):
            self.assertEqual(WorkerIncarnation(name).identifier, name)

    # Roster entries of earlier versions have unescaped names.
    def test_what_is_no_birth_belongs_to_the_name(self):
        for name in ("a@b", "a@007", "a@-5", "a@5x"):
            self.assertEqual(WorkerIncarnation.parse(name), WorkerIncarnation(name))


class TestListedBirth(unittest.TestCase):
    """When numbers of ends and times may be sent to a worker."""

    # A call over any other connection may reach the next incarnation, however soon.
    def test_only_the_connection_of_the_last_list_confirms_the_birth(self):
        birth = ListedBirth(f"w0@{BORN}")
        self.assertFalse(birth.is_confirmed)
        self.assertIs(birth.match(BORN, FIRST), BirthMatch.SAME)
        self.assertTrue(birth.is_confirmed)
        self.assertIs(birth.connection, FIRST)
        birth.match(BORN, SECOND)
        self.assertIs(birth.connection, SECOND)
        birth.match(BORN + 1, FIRST)
        self.assertIs(birth.connection, SECOND)
        birth.forget_answers()
        self.assertFalse(birth.is_confirmed)

    # Workers without births must be polled as before, also after failed calls.
    def test_without_births_nothing_has_to_be_confirmed(self):
        birth = ListedBirth("w0")
        birth.match(None, FIRST)
        birth.forget_answers()
        self.assertTrue(birth.is_confirmed)
        self.assertIsNone(birth.connection)
        self.assertTrue(birth.is_registered)

    def test_another_birth_and_none_are_told_apart(self):
        birth = ListedBirth(f"w0@{BORN}")
        self.assertIs(birth.match(BORN - 1, FIRST), BirthMatch.OTHER)
        self.assertIs(birth.match(None, FIRST), BirthMatch.MISSING)

    # A worker whose entry has no birth would get orders for an unknown incarnation.
    def test_a_birth_that_is_only_listed_is_not_registered(self):
        birth = ListedBirth("w0")
        self.assertIs(birth.match(BORN, FIRST), BirthMatch.SAME)
        self.assertFalse(birth.is_registered)
        self.assertIs(birth.match(BORN + 1, FIRST), BirthMatch.OTHER)

    def test_a_list_with_a_birth_after_one_without_is_of_another_incarnation(self):
        birth = ListedBirth("w0")
        birth.match(None, FIRST)
        self.assertIs(birth.match(BORN, FIRST), BirthMatch.OTHER)


class TestKnownBirths(unittest.TestCase):
    """Which entries of the registry name a worker to use."""

    def setUp(self):
        self.births = KnownBirths()
        self.log = TestHandler()
        self.judge("w0", BORN)

    def judge(
        self,
        name: str,
        born: int | None,
        address: str = "10.0.0.1:1",
        revision: int = 1,
    ) -> EntryVerdict:
        """Judge an entry."""
        identifier = WorkerIncarnation(name, born).identifier
        worker = PoolWorker(identifier, "hub", address, "z", SIZE)
        with self.log:
            return self.births.judge(worker, revision)

    def test_a_later_birth_is_used_at_any_address(self):
        self.assertIs(self.judge("w0", BORN), EntryVerdict.USABLE)
        later = self.judge("w0", BORN + 1, "10.0.0.2:1")
        self.assertIs(later, EntryVerdict.USABLE)
        self.assertEqual(self.log.records, [])

    def test_an_entry_without_a_birth_is_unusable_where_its_name_had_one(self):
        self.assertIs(self.judge("w0", None), EntryVerdict.UNUSABLE)
        self.assertIs(self.judge("w1", None), EntryVerdict.USABLE)

    def test_the_same_birth_at_another_address_is_unusable(self):
        self.assertIs(self.judge("w0", BORN, "10.0.0.2:1"), EntryVerdict.UNUSABLE)

    def test_a_birth_that_goes_back_is_ignored(self):
        self.assertIs(self.judge("w0", BORN - 1), EntryVerdict.OUTDATED)

    # The registry lags: it may still have the entry of an incarnation that has ended.
    def test_the_entry_of_an_incarnation_that_has_ended_is_ignored(self):
        self.births.record_end(WorkerIncarnation("w0", BORN))
        self.assertIs(self.judge("w0", BORN), EntryVerdict.OUTDATED)

    def test_an_unusable_entry_is_logged_once_for_each_revision(self):
        for revision in (2, 2, 3):
            self.judge("w0", None, revision=revision)
        codes = [record.extra["code"] for record in self.log.records]
        self.assertEqual(codes, ["invalid_message"] * 2)
