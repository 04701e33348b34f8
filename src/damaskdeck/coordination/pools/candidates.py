"""The workers that may get tasks, as one pass over the pending steps sees them.

A worker is looked at when a step asks for it, and once a pass: what a pass costs
follows from the steps that it places, not from the number of workers.
"""

from collections.abc import Iterable, Iterator

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.slowness import SlowWorkerDetector
from damaskdeck.coordination.pools.speedranks import SpeedRanks
from damaskdeck.protocol.sizes import Size


class Candidate:
    """A worker that orders may go to, with the room that it has.

    :ivar pace: -1 for a fast worker, 1 for a slow one of the sound ones.
    """

    __slots__ = ("contact", "is_slow", "key", "pace", "rack", "zone")

    def __init__(
        self, contact: WorkerContact, is_slow: bool = False, pace: int = 0
    ) -> None:
        self.contact = contact
        self.key = contact.info.identifier
        self.rack = contact.info.rack
        self.zone = contact.info.zone
        self.is_slow = is_slow
        self.pace = pace

    @property
    def free(self) -> Size:
        """Room that no run takes."""
        return self.contact.free


class Candidates:
    """The candidates of one pass."""

    def __init__(
        self,
        contacts: dict[str, WorkerContact],
        slow_workers: SlowWorkerDetector,
        speed_ranks: SpeedRanks,
        now: float,
    ) -> None:
        self._contacts = contacts
        self._slow_workers = slow_workers
        self._speed_ranks = speed_ranks
        self._now = now
        self._found: dict[str, Candidate | None] = {}

    def find(self, worker: str) -> Candidate | None:
        """Return a worker as a candidate, ``None`` when orders may not go to it."""
        if worker not in self._found:
            self._found[worker] = self._build(worker)
        return self._found[worker]

    def find_all(self, workers: Iterable[str]) -> Iterator[Candidate]:
        """Yield the candidates among some workers."""
        for worker in workers:
            candidate = self.find(worker)
            if candidate is not None:
                yield candidate

    def _build(self, worker: str) -> Candidate | None:
        contact = self._contacts.get(worker)
        if contact is None or not contact.is_usable(self._now):
            return None
        return Candidate(
            contact,
            self._slow_workers.is_slow(worker, self._now),
            self._speed_ranks.rank(worker),
        )
