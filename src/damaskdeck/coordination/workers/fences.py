"""Fencing of stale ledger owners and attempts on the side of the workers' owner."""

from collections import OrderedDict
from datetime import timedelta

from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.members import Ownership

MAX_ENTRIES = 10_000

Attempt = tuple[str, int]


class Fences:
    """Keeps epochs of ledger owners, fenced attempts, and times of first checks."""

    def __init__(self, ownership: Ownership) -> None:
        self._ownership = ownership
        self._epochs: dict[str, int] = {}
        self._fenced: OrderedDict[Attempt, None] = OrderedDict()
        self._first_checks: OrderedDict[tuple[str, int, bool], timedelta] = (
            OrderedDict()
        )

    def admit(self, ledger: str, epoch: int) -> bool:
        """Refuse a ledger owner that is older than the newest known one.

        :returns: whether it is admitted.
        """
        owner = self._ownership.find_owner(f"ledger/{ledger}")
        known = max(self._epochs.get(ledger, 0), owner.epoch if owner else 0)
        if epoch < known:
            count_refusal("workers", "stale_keeper")
            return False
        self._epochs[ledger] = epoch
        return True

    def fence(self, task: str, attempt: int) -> None:
        """Refuse an attempt from now on, in case its start still arrives."""
        self._fenced[task, attempt] = None
        if len(self._fenced) > MAX_ENTRIES:
            self._fenced.popitem(last=False)

    def is_fenced(self, task: str, attempt: int) -> bool:
        """Return whether an attempt must never start."""
        return (task, attempt) in self._fenced

    def record_check(
        self, task: str, attempt: int, started: bool, now: timedelta
    ) -> timedelta:
        """Return when a ledger owner first checked an attempt in this state."""
        first_check = self._first_checks.setdefault((task, attempt, started), now)
        if len(self._first_checks) > MAX_ENTRIES:
            self._first_checks.popitem(last=False)
        return first_check
