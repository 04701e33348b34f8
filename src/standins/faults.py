"""Faults that tests, benchmarks and demos inject into a stand-in."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum


class FaultKind(StrEnum):
    """What happens to the next calls."""

    REFUSE = "refuse"
    LOSE_ANSWER = "lose_answer"
    LOSE_CALL = "lose_call"


@dataclass
class Faults:
    """Faults of one stand-in; all off at first.

    :param outage: every call is refused as unreachable.
    :param delay: time that each call takes.
    :param planned: faults of the next calls by operation, first come first used.
    :param cut_off: instances whose calls don't arrive.
    :param resumed: set unless the stand-in is paused.
    """

    outage: bool = False
    delay: timedelta = timedelta()
    planned: dict[str, list[FaultKind]] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    resumed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Start unpaused."""
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
