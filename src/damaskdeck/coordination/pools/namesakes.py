"""The contacts to the incarnations of each worker, found by the worker's name."""

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.protocol.pools import WorkerIncarnation


class Namesakes:
    """The contacts of one owner by the name of their worker."""

    def __init__(self) -> None:
        self._contacts: dict[str, list[WorkerContact]] = {}

    def add(self, contact: WorkerContact) -> None:
        """Add a contact."""
        self._contacts.setdefault(contact.incarnation.name, []).append(contact)

    def remove(self, contact: WorkerContact) -> None:
        """Remove a contact."""
        name = contact.incarnation.name
        self._contacts[name].remove(contact)
        if not self._contacts[name]:
            del self._contacts[name]

    def unlist(self, name: str) -> None:
        """Record that the registry lists no incarnation of a name."""
        for contact in self._contacts.get(name, ()):
            contact.is_listed = False

    def list_earlier(self, incarnation: WorkerIncarnation) -> list[WorkerContact]:
        """List the contacts to earlier incarnations that have not ended.

        A contact without a birth is to an earlier one if there is one with a birth.
        """
        return [
            contact
            for contact in self._contacts.get(incarnation.name, ())
            if not contact.is_gone
            and incarnation.born is not None
            and (contact.incarnation.born or 0) < incarnation.born
        ]

    def find_without_birth(
        self, incarnation: WorkerIncarnation
    ) -> WorkerContact | None:
        """Return the contact to a worker that is now registered with a birth.

        As far as is known, it is to the same incarnation.
        """
        found = (c for c in self.list_earlier(incarnation) if not c.incarnation.born)
        return next(found, None)
