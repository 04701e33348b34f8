"""Faults that tests, benchmarks and the demo inject into a stand-in."""

import asyncio
from datetime import timedelta
from enum import StrEnum


class FaultKind(StrEnum):
    """What happens to a call.

    ``REFUSE`` rejects it, ``LOSE_ANSWER`` performs it and loses the answer,
    ``LOSE_CALL`` loses it before it takes effect.
    """

    REFUSE = "refuse"
    LOSE_ANSWER = "lose_answer"
    LOSE_CALL = "lose_call"


class Faults:
    """Faults of one stand-in; none is active at first.

    :ivar outage: whether every call is rejected as unreachable.
    :ivar delay: added latency of each call.
    :ivar planned: faults of the next calls by operation, in order of use.
    :ivar cut_off: clients whose calls do not arrive.
    :ivar resumed: set unless the stand-in is paused.
    """

    def __init__(self) -> None:
        self.outage = False
        self.delay = timedelta()
        self.planned: dict[str, list[FaultKind]] = {}
        self.cut_off: set[str] = set()
        self.resumed = asyncio.Event()
        self.resumed.set()

    @property
    def is_paused(self) -> bool:
        """Whether calls wait inside the stand-in."""
        return not self.resumed.is_set()

    def pause(self) -> None:
        """Hold all calls until :meth:`resume`."""
        self.resumed.clear()

    def resume(self) -> None:
        """Continue with the calls that are held."""
        self.resumed.set()

    def plan(self, operation: str, *kinds: FaultKind) -> None:
        """Inject ``kinds`` into the next calls of ``operation``, one per call."""
        self.planned.setdefault(operation, []).extend(kinds)

    def take(self, operation: str) -> FaultKind | None:
        """Remove and return the next planned fault of ``operation``, if any."""
        queue = self.planned.get(operation)
        return queue.pop(0) if queue else None
