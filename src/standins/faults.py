"""Faults that tests, benchmarks and demos inject into a stand-in."""

import asyncio
from datetime import timedelta
from enum import StrEnum


class FaultKind(StrEnum):
    """What happens to the next calls."""

    REFUSE = "refuse"
    LOSE_ANSWER = "lose_answer"
    LOSE_CALL = "lose_call"


class Faults:
    """Faults of one stand-in; all off at first.

    :ivar outage: every call is refused as unreachable.
    :ivar delay: time that each call takes.
    :ivar planned: faults of the next calls by operation, first come first used.
    :ivar cut_off: instances whose calls don't arrive.
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
        """Let calls wait until :meth:`resume`."""
        self.resumed.clear()

    def resume(self) -> None:
        """Go on with the calls that wait."""
        self.resumed.set()

    def plan(self, operation: str, *kinds: FaultKind) -> None:
        """Let the next calls of ``operation`` meet ``kinds``, one each."""
        self.planned.setdefault(operation, []).extend(kinds)

    def take(self, operation: str) -> FaultKind | None:
        """Return the fault of this call, if one is planned."""
        queue = self.planned.get(operation)
        return queue.pop(0) if queue else None
