"""What an owner of workers refuses because it comes from the past."""

from collections import OrderedDict
from datetime import timedelta

from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.members import Ownership

LIMIT = 10_000

Attempt = tuple[str, int]


class Fences:
    """Remembers keepers' epochs, attempts never to start, and questions asked."""

    def __init__(self, ownership: Ownership) -> None:
        self._ownership = ownership
        self._epochs: dict[str, int] = {}
        self._fenced: OrderedDict[Attempt, None] = OrderedDict()
        self._asked: OrderedDict[tuple[str, int, bool], timedelta] = OrderedDict()

    def admit(self, ledger: str, epoch: int) -> bool:
        """Fence off keepers older than the newest that is known."""
        owner = self._ownership.find_owner(f"ledger/{ledger}")
        known = max(self._epochs.get(ledger, 0), owner.epoch if owner else 0)
        if epoch < known:
            count_refusal("workers", "stale_keeper")
            return False
        self._epochs[ledger] = epoch
        return True

    def fence(self, task: str, attempt: int) -> None:
        """Refuse an attempt from now on, should its start still come."""
        self._fenced[task, attempt] = None
        if len(self._fenced) > LIMIT:
            self._fenced.popitem(last=False)

    def is_fenced(self, task: str, attempt: int) -> bool:
        """Tell whether an attempt must never start."""
        return (task, attempt) in self._fenced

    def note_question(
        self, task: str, attempt: int, started: bool, now: timedelta
    ) -> timedelta:
        """Return when a keeper first asked about an attempt in this state."""
        asked = self._asked.setdefault((task, attempt, started), now)
        if len(self._asked) > LIMIT:
            self._asked.popitem(last=False)
        return asked
