"""Watches the age of the capacities that workers have reported."""

from collections.abc import Callable, Mapping

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.logs import get_logger

_log = get_logger("workforce")


class CapacityAges:
    """The workers whose reported capacity is too old to send orders by it.

    :param contacts: by the identifier of the worker's incarnation.
    :param on_change: called with a worker whose capacity became too old, or fresh
        again.
    """

    def __init__(
        self,
        contacts: Mapping[str, WorkerContact],
        on_change: Callable[[WorkerContact], None],
    ) -> None:
        self._contacts = contacts
        self._on_change = on_change
        # Workers whose reported capacity was too old at the last check.
        self._stale: set[str] = set()
        self._has_stale_capacity = False

    def record_report(self, contact: WorkerContact, now: float) -> None:
        """Record that a worker has reported its capacity."""
        identifier = contact.info.identifier
        if identifier in self._stale and contact.is_capacity_fresh(now):
            self._stale.discard(identifier)
            self._on_change(contact)

    def check(self, now: float) -> None:
        """Find workers whose capacity reports became too old.

        It is logged when the first report is too old, and when all are fresh again.
        """
        stale = {
            name
            for name, contact in self._contacts.items()
            if contact.is_listed and not contact.is_capacity_fresh(now)
        }
        for name in stale - self._stale:
            self._on_change(self._contacts[name])
        if bool(stale) is not self._has_stale_capacity:
            self._has_stale_capacity = bool(stale)
            if stale:
                _log.warn(
                    "Capacity reports of workers are too old.", workers=len(stale)
                )
            else:
                _log.warn("All capacity reports are fresh again.")
        self._stale = stale
