"""The members as this daemon knows them from the control keys."""

from collections.abc import Set

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.state.jobrecords import MemberRecord, decode_record


class Members:
    """The daemons that were last seen registered, and those whose keys have vanished.

    :param own: the name of this daemon.
    """

    def __init__(self, own: str, clock: Clock, times: PoolTimes) -> None:
        self._own = own
        self._clock = clock
        self._memory = times.member_memory.total_seconds()
        self._records: dict[str, MemberRecord] = {}
        # The revision of the last change of each member's key.
        self._revisions: dict[str, int] = {}
        # When the key of each member was seen to be gone.
        self._vanished: dict[str, float] = {}
        # Members that have left, though their keys may not have been seen to be gone.
        self._departed: set[str] = set()

    @property
    def records(self) -> dict[str, MemberRecord]:
        """The members that are registered, by name."""
        return self._records

    def apply(self, name: str, value: bytes | None, revision: int) -> None:
        """Apply a change of a member's key.

        :raises MessageError: if the record can't be decoded.
        """
        self._revisions[name] = revision
        if value is None:
            self._remove(name)
        else:
            self._records[name] = decode_record(MemberRecord, value)
            self._vanished.pop(name, None)
            self._departed.discard(name)

    def record_departure(self, name: str, revision: int) -> None:
        """Record that a member has left by removing a revision of its key."""
        if name not in self._records or self._revisions[name] == revision:
            self._departed.add(name)

    def retain(self, names: Set[str]) -> bool:
        """Remove all members but these; return whether there was any other."""
        absent = self._records.keys() - names
        for name in absent:
            self._remove(name)
        return bool(absent)

    def _remove(self, name: str) -> None:
        if self._records.pop(name, None) is not None:
            self._vanished[name] = self._clock.monotonic().total_seconds()

    def knows(self, name: str, revision: int) -> bool:
        """Whether a member is registered with a revision of its key."""
        return name in self._records and self._revisions.get(name) == revision

    def list_remembered(self) -> dict[str, int]:
        """Return the other members, and those whose keys have vanished recently.

        :returns: the revision of the last change of each member's key, by name.
        """
        latest = self._clock.monotonic().total_seconds() - self._memory
        self._vanished = {n: at for n, at in self._vanished.items() if at >= latest}
        names = (self._records.keys() | self._vanished) - {self._own, *self._departed}
        return {name: self._revisions[name] for name in sorted(names)}
