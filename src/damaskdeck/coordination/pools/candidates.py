"""The workers that may get tasks during one pass over the pending steps.

A worker is evaluated at most once per pass, when a step first needs it. The cost of a
pass therefore depends on the steps that it places and not on the number of workers.
"""

from collections.abc import Iterable, Iterator

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.speeds import SpeedEstimate, WorkerSpeeds
from damaskdeck.protocol.sizes import Size

NOMINAL_SPEED = SpeedEstimate()


class Candidate:
    """A worker that may get orders.

    :ivar is_slow: Whether the worker is slow at present.
    :ivar speed_rank: -1 for a fast worker, 1 for a slower one, among those that are not
        slow at present.
    :ivar speed: The estimated speed, whose duration factor placement in an uneven pool
        goes by.
    """

    __slots__ = ("contact", "is_slow", "key", "rack", "speed", "speed_rank", "zone")

    def __init__(
        self,
        contact: WorkerContact,
        is_slow: bool = False,
        speed_rank: int = 0,
        speed: SpeedEstimate = NOMINAL_SPEED,
    ) -> None:
        self.contact = contact
        self.key = contact.info.identifier
        self.rack = contact.info.rack
        self.zone = contact.info.zone
        self.is_slow = is_slow
        self.speed_rank = speed_rank
        self.speed = speed

    @property
    def free(self) -> Size:
        """The capacity that no run uses."""
        return self.contact.free


class Candidates:
    """The candidates of one pass."""

    def __init__(
        self,
        contacts: dict[str, WorkerContact],
        speeds: WorkerSpeeds,
        now: float,
    ) -> None:
        self._contacts = contacts
        self._speeds = speeds
        self._now = now
        self._cache: dict[str, Candidate | None] = {}

    def find(self, worker: str) -> Candidate | None:
        """Return a worker as a candidate, ``None`` if it may not get orders."""
        if worker not in self._cache:
            self._cache[worker] = self._build(worker)
        return self._cache[worker]

    def find_all(self, workers: Iterable[str]) -> Iterator[Candidate]:
        """Yield the candidates among the given workers."""
        for worker in workers:
            candidate = self.find(worker)
            if candidate is not None:
                yield candidate

    def _build(self, worker: str) -> Candidate | None:
        contact = self._contacts.get(worker)
        if contact is None or not contact.is_usable(self._now):
            return None
        pool = contact.info.pool
        return Candidate(
            contact,
            self._speeds.slow_workers.is_slow(worker, self._now),
            self._speeds.rank(worker),
            self._speeds.estimate(worker, pool)
            if self._speeds.is_uneven(pool)
            else NOMINAL_SPEED,
        )
