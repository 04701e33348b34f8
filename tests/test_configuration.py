"""The configuration in force: revisions only rise, and the change history."""

import unittest
from collections.abc import Iterable
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdeck.protocol.ports import Event
from damaskdeck.protocol.resources import Kind, Resource
from damaskdeck.state.changehistory import (
    ChangeHistory,
    HistoryExpired,
    HistoryReader,
    ReaderTooSlow,
    ResourceChanges,
)
from damaskdeck.state.configuration import Configuration
from damaskdeck.state.versions import (
    ResourceVersion,
    encode_deletion,
    encode_resource,
    make_key,
    read_version,
)
from standins.clock import ManualClock
from tests.cluster import make_team, make_workload

NAMES = ("a", "b", "c")


def make_event(name: str, revision: int, deleted: bool = False) -> Event:
    """Return the change of a team; its weight equals the revision."""
    key = make_key(Kind.TEAM, name)
    if deleted:
        return Event(key, encode_deletion(Kind.TEAM, name, "", 1.0), revision)
    return Event(key, encode_resource(make_team(name, revision)), revision)


def read_weights(configuration: Configuration) -> dict[str, float]:
    """Return the weight of each team in force."""
    teams = configuration.list(Kind.TEAM)
    return {t["metadata"]["name"]: t["spec"]["weight"] for t in teams}


class TestConfiguration(unittest.TestCase):
    """Changes, snapshots and writes ahead of the base."""

    def setUp(self) -> None:
        self.configuration = Configuration()
        self.seen: list[tuple[str, float | None]] = []
        self.configuration.subscribe(self.record_change)

    def record_change(self, kind: Kind, name: str, resource: Resource | None) -> None:
        self.seen.append((name, resource["spec"]["weight"] if resource else None))

    def load(self, revision: int, *events: Event) -> bool:
        return self.configuration.apply_snapshot(events, revision)

    def change(self, base: int, *events: Event) -> bool:
        return self.configuration.apply_changes(base, events, events[-1].revision)

    def test_no_change_is_applied_before_a_complete_state(self):
        self.assertFalse(self.change(0, make_event("a", 1)))
        self.assertTrue(self.load(0))
        self.assertTrue(self.change(0, make_event("a", 1)))
        self.assertEqual(read_weights(self.configuration), {"a": 1})

    def test_a_gap_is_refused_and_an_overlap_is_applied_once(self):
        self.load(5, make_event("a", 5))
        self.assertFalse(self.change(6, make_event("b", 7)))
        self.assertTrue(self.change(4, make_event("a", 5), make_event("b", 7)))
        self.assertTrue(self.change(4, make_event("a", 5), make_event("b", 7)))
        self.assertEqual(self.seen, [("a", 5), ("b", 7)])
        self.assertEqual(self.configuration.revision, 7)

    def test_an_older_snapshot_changes_nothing(self):
        self.load(5, make_event("a", 5))
        self.assertFalse(self.load(4, make_event("a", 2), make_event("b", 3)))
        self.assertEqual(read_weights(self.configuration), {"a": 5})

    def test_older_value_in_a_newer_snapshot_is_ignored(self):
        self.load(5, make_event("a", 5))
        self.load(9, make_event("a", 3), make_event("b", 4), make_event("c", 8))
        self.assertEqual(read_weights(self.configuration), {"a": 5, "c": 8})

    def test_a_snapshot_deletes_what_it_lacks(self):
        self.load(5, make_event("a", 5), make_event("b", 4))
        self.load(9, make_event("a", 5), make_event("b", 8, deleted=True))
        self.load(12)
        self.assertEqual(read_weights(self.configuration), {})
        self.assertEqual(self.seen[2:], [("b", None), ("a", None)])

    def test_unreadable_value_leaves_the_earlier_one_in_force(self):
        self.load(5, make_event("a", 5))
        self.change(5, Event("config/team/a", b"{", 6), make_event("b", 7))
        self.load(9, Event("config/team/a", b"{", 6), make_event("b", 7))
        self.assertEqual(read_weights(self.configuration), {"a": 5, "b": 7})

    def test_a_value_with_faults_leaves_the_earlier_one_in_force(self):
        self.load(5, make_event("a", 5))
        for value in (b'{"kind":"team","metadata":{},"spec":{}}', b"[]"):
            revision = self.configuration.revision + 1
            self.change(revision - 1, Event("config/team/a", value, revision))
        self.assertEqual(read_weights(self.configuration), {"a": 5})

    def test_unknown_field_of_a_newer_daemon_is_accepted(self):
        team = make_team("a", 5)
        team["spec"]["new"] = 1
        self.load(5, Event("config/team/a", encode_resource(team), 5))
        self.assertEqual(read_weights(self.configuration), {"a": 5})

    def test_write_ahead_is_in_force_at_once_and_notified_once(self):
        self.load(5, make_event("a", 5))
        self.configuration.apply_ahead(read_version(make_event("a", 8)))
        self.assertEqual(read_weights(self.configuration), {"a": 8})
        self.assertEqual(self.configuration.revision, 5)
        self.change(5, make_event("a", 7), make_event("a", 8))
        self.assertEqual(self.seen, [("a", 5), ("a", 8)])
        self.assertEqual(self.configuration.ahead_revisions, frozenset())

    def test_write_ahead_that_was_deleted_since_is_removed(self):
        self.load(5)
        self.configuration.apply_ahead(read_version(make_event("a", 8)))
        self.load(9)
        self.assertEqual(read_weights(self.configuration), {})
        self.assertEqual(self.seen, [("a", 8), ("a", None)])

    def test_dump_restores_the_whole_state_on_a_peer(self):
        self.load(5, make_event("a", 5), make_event("b", 4))
        other = Configuration()
        other.apply_snapshot(self.configuration.dump(), 5)
        self.assertEqual(other.list(Kind.TEAM), self.configuration.list(Kind.TEAM))


class TestAnyOrder(unittest.TestCase):
    """No resource goes back to an older revision, in any order of arrival."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(data=st.data())
    def test_no_revision_goes_back_and_all_changes_converge(self, data):
        changes = data.draw(
            st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=8)
        )
        log = [make_event(n, r, d) for r, (n, d) in enumerate(changes, 1)]
        configuration = Configuration()
        known = dict.fromkeys(NAMES, 0)
        for _ in range(data.draw(st.integers(0, 12))):
            self.apply_something(configuration, log, data)
            for name, revision in self.read_revisions(configuration, log).items():
                self.assertGreaterEqual(revision, known[name])
                known[name] = revision
        configuration.apply_snapshot(list_state(log), len(log))
        expected = {
            read_version(e).name: e.revision
            for e in list_state(log)
            if read_version(e).resource
        }
        self.assertEqual(read_weights(configuration), expected)
        self.assertEqual(configuration.ahead_revisions, frozenset())

    def apply_something(self, configuration, log, data) -> None:
        upto = data.draw(st.integers(0, len(log)))
        base = data.draw(st.integers(0, upto))
        action = data.draw(st.sampled_from(("changes", "snapshot", "ahead")))
        if action == "changes":
            configuration.apply_changes(base, log[base:upto], upto)
        elif action == "snapshot":
            configuration.apply_snapshot(list_state(log[:upto]), upto)
        elif upto:
            configuration.apply_ahead(read_version(log[upto - 1]))

    def read_revisions(self, configuration, log) -> dict[str, int]:
        """Return the revision in force of each name."""
        found = {}
        for name in NAMES:
            team = configuration.get(Kind.TEAM, name)
            if team is not None:
                found[name] = team["metadata"]["revision"]
        return found


def list_state(log: Iterable[Event]) -> list[Event]:
    """Return the last change of each key."""
    return list({event.key: event for event in log}.values())


class TestHistory(unittest.IsolatedAsyncioTestCase):
    """The change history and its readers."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.history = ChangeHistory(limit=4)
        self.configuration = Configuration(self.history)
        self.configuration.apply_snapshot((), 10)

    def add(self, *revisions: int) -> None:
        for revision in revisions:
            base = self.configuration.revision
            event = make_event("a", revision)
            self.configuration.apply_changes(base, [event], revision)

    async def test_a_reader_gets_each_change_once_in_order(self):
        reader = HistoryReader(self.history, 10, self.clock)
        self.add(12, 15)
        found = await reader.read(timedelta())
        self.assertEqual([c.revision for c in found.changes], [12, 15])
        self.assertIsNone(found.changes[0].previous)
        self.assertEqual(found.changes[1].previous["metadata"]["revision"], 12)
        self.add(16)
        found = await reader.read(timedelta())
        self.assertEqual([c.revision for c in found.changes], [16])

    async def test_changes_stay_in_order_if_one_was_applied_ahead(self):
        reader = HistoryReader(self.history, 10, self.clock)
        self.configuration.apply_ahead(read_version(make_event("b", 12)))
        self.assertEqual((await reader.read(timedelta())).changes, ())
        events = [make_event("a", 11), make_event("b", 12)]
        self.configuration.apply_changes(10, events, 12)
        found = await reader.read(timedelta())
        self.assertEqual([c.name for c in found.changes], ["a", "b"])

    async def test_reader_of_expired_changes_must_list_again(self):
        self.add(11, 12, 13, 14, 15)
        self.assertEqual(self.history.read(10), HistoryExpired(11))
        self.assertIsInstance(self.history.read(11), ResourceChanges)
        reader = HistoryReader(self.history, 10, self.clock)
        self.assertEqual(await reader.read(timedelta()), HistoryExpired(11))

    async def test_snapshot_expires_the_history_of_readers(self):
        reader = HistoryReader(self.history, 10, self.clock)
        self.configuration.apply_snapshot([make_event("a", 19)], 20)
        self.assertEqual(await reader.read(timedelta()), HistoryExpired(20))

    async def test_slow_reader_may_continue_from_its_revision(self):
        reader = HistoryReader(self.history, 10, self.clock, lag_limit=2)
        self.add(11)
        await reader.read(timedelta())
        self.add(12, 13, 14)
        end = await reader.read(timedelta())
        self.assertEqual(end, ReaderTooSlow(11))
        again = HistoryReader(self.history, end.revision, self.clock, lag_limit=2)
        found = await again.read(timedelta())
        self.assertEqual([c.revision for c in found.changes], [12, 13, 14])

    async def test_reader_ahead_of_this_daemon_waits_at_its_revision(self):
        reader = HistoryReader(self.history, 13, self.clock)
        self.add(11)
        found = await reader.read(timedelta())
        self.assertEqual(found, ResourceChanges((), 13))


class TestVersions(unittest.TestCase):
    """Values of the store."""

    def test_values_round_trip_with_the_revision_of_the_store(self):
        workload = make_workload(tasks=3)
        value = encode_resource(workload, "w1")
        version = read_version(Event("config/workload/tiles", value, 7))
        self.assertEqual(version.resource["spec"], workload["spec"])
        self.assertEqual(version.resource["metadata"]["revision"], 7)

    def test_tombstone_is_decoded_as_a_deletion(self):
        value = encode_deletion(Kind.TEAM, "a", "w1", 5.0)
        self.assertEqual(
            read_version(Event("config/team/a", value, 3)),
            ResourceVersion(Kind.TEAM, "a", 3, None),
        )
