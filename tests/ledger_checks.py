"""Checks of a ledger's guarantees against the contents of the store."""

from collections.abc import Iterable

from damaskdeck.protocol.ports import Rejected
from damaskdeck.state.contents import parse_contents
from damaskdeck.state.ledger import Committed, Deposed
from damaskdeck.state.segments import Keys
from standins.store import MemoryStore


class LedgerChecker:
    """Records the outcomes that callers got and compares them with the store.

    Each record must be unique.
    """

    def __init__(self, store: MemoryStore, name: str) -> None:
        self._store = store
        self._keys = Keys(name)
        self._replayed: list[bytes] = []
        self.outcomes: dict[tuple[bytes, ...], object] = {}

    def replay(self) -> list[bytes]:
        """Return what a new owner would replay now."""
        contents = parse_contents(self._keys, self._store.list(self._keys.prefix), 0)
        self._replayed = [*contents.snapshot, *contents.records]
        return self._replayed

    def check(self, states: Iterable[list[bytes]]) -> list[bytes]:
        """Check all guarantees and return what a new owner would replay now.

        :param states: states of all owners, including stopped ones, as lists of
            records.
        """
        before, replay = self._replayed, self.replay()
        found = set(replay)
        assert replay[: len(before)] == before, f"{before} became {replay}"
        assert len(found) == len(replay), f"duplicate records in {replay}"
        for state in states:
            assert replay[: len(state)] == state, f"{state} is no prefix of {replay}"
        for records, outcome in self.outcomes.items():
            if isinstance(outcome, Committed):
                assert found.issuperset(records), f"{records} were committed but lost"
            elif isinstance(outcome, Deposed | Rejected):
                assert found.isdisjoint(records), f"{records} were refused but stored"
            elif outcome is not None:
                part = found.intersection(records)
                assert len(part) in (0, len(records)), f"only {part} of {records}"
        return replay
