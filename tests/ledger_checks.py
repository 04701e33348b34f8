"""What a ledger promises, checked by looking into the store."""

from collections.abc import Iterable

from damaskdeck.protocol.ports import Rejected
from damaskdeck.state.images import read_image
from damaskdeck.state.ledger import Committed, Deposed
from damaskdeck.state.segments import Keys
from standins.store import MemoryStore


class Witness:
    """Remembers what callers were told and compares it with the store.

    Each record must be unique.
    """

    def __init__(self, store: MemoryStore, name: str) -> None:
        self._store = store
        self._keys = Keys(name)
        self._replayed: list[bytes] = []
        self.outcomes: dict[tuple[bytes, ...], object] = {}

    def replay(self) -> list[bytes]:
        """Return what a keeper would replay now."""
        image = read_image(self._keys, self._store.list(self._keys.prefix), 0)
        self._replayed = [*image.snapshot, *image.records]
        return self._replayed

    def check(self, states: Iterable[list[bytes]]) -> list[bytes]:
        """Check every promise and return what a keeper would replay now.

        :param states: of all keepers, also of dead ones, as lists of records.
        """
        before, replay = self._replayed, self.replay()
        found = set(replay)
        assert replay[: len(before)] == before, f"{before} became {replay}"
        assert len(found) == len(replay), f"twice in {replay}"
        for state in states:
            assert replay[: len(state)] == state, f"{state} is not in {replay}"
        for records, outcome in self.outcomes.items():
            if isinstance(outcome, Committed):
                assert found.issuperset(records), f"{records} was lost"
            elif isinstance(outcome, Deposed | Rejected):
                assert found.isdisjoint(records), f"{records} was refused"
            elif outcome is not None:
                part = found.intersection(records)
                assert len(part) in (0, len(records)), f"only {part} of {records}"
        return replay
