"""Workers that are silent or leave, written down for a successor.

Without more a successor has to take it that a worker which doesn't answer may run any
job, and may have its lease extended for as long as the owner before believes in its
mandate. A worker that is silent gets nothing in any case, and one that leaves no order;
once that is durable, with the jobs whose tasks it may run, a successor lets all other
jobs start at once, and waits for those of a silent one for a lease at most. What such
a worker gets again needs a commit first.
"""

from collections.abc import Callable

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.logs import get_logger
from damaskdeck.protocol.transactions import Write
from damaskdeck.state.jobrecords import (
    CORDONS_KEY,
    Cordon,
    CordonedRun,
    CordonsRecord,
    encode_record,
)

_log = get_logger("workforce")


class Cordons:
    """The cordons of one owner.

    :param contacts: by the identifier of a worker's life.
    :param note_change: called when they have to be written.
    """

    def __init__(
        self, contacts: dict[str, WorkerContact], note_change: Callable[[], None]
    ) -> None:
        self._contacts = contacts
        self._note_change = note_change
        self._cordons: dict[str, Cordon] = {}

    def load(self, record: CordonsRecord) -> None:
        """Take over those that the owner before has written."""
        for cordon in record.cordons:
            contact = self._contacts.get(cordon.worker)
            if contact is not None:
                contact.cordon(cordon.is_silent)
                self._cordons[cordon.worker] = cordon

    def find(self, worker: str) -> Cordon | None:
        """Return what is written of a worker; ``None`` when that is nothing."""
        return self._cordons.get(worker)

    def sweep(self, now: float, may_add: bool) -> None:
        """Cordon the workers that are silent or leave, release those that are not.

        :param may_add: while the store is away none is added: what then answers
            again could not be released, and would lose its lease.
        """
        contacts = list(self._contacts.values()) if may_add else []
        added = [c.info.identifier for c in contacts if self._add(c, now)]
        if added:
            _log.info("Workers are cordoned.", workers=added)
        if added or any(map(self._is_over, self._cordons.values())):
            self._note_change()

    def _add(self, contact: WorkerContact, now: float) -> bool:
        """Cordon a worker if there is reason to; whether that is new."""
        known = self._cordons.get(contact.info.identifier)
        is_silent = contact.is_silent(now)
        if not (is_silent or contact.is_leaving) or not contact.is_settled:
            return False
        cordon = Cordon(
            contact.info.identifier, _list_jobs(contact), is_silent, _list_runs(contact)
        )
        if known is not None and not _says_more(cordon, known):
            return False
        contact.cordon(is_silent)
        self._cordons[cordon.worker] = cordon
        return True

    def _is_over(self, cordon: Cordon) -> bool:
        contact = self._contacts.get(cordon.worker)
        if contact is None or contact.is_gone:
            return True
        if cordon.is_silent:
            return contact.is_synchronized
        # What is no longer listed has left, whatever it said last.
        return contact.is_listed and not contact.is_leaving

    def build_write(self) -> tuple[Write, Callable[[], bool]]:
        """Return what to write, and what to call once that is durable.

        The call tells whether workers may have orders and leases again.
        """
        over = [c.worker for c in self._cordons.values() if self._is_over(c)]
        for worker in over:
            del self._cordons[worker]

        def release() -> bool:
            released = [
                contact
                for contact in map(self._contacts.get, over)
                if contact is not None and contact.info.identifier not in self._cordons
            ]
            for contact in released:
                contact.release()
            return bool(released)

        record = CordonsRecord(tuple(self._cordons.values()))
        return Write(CORDONS_KEY, encode_record(record)), release


def _says_more(cordon: Cordon, known: Cordon) -> bool:
    """Whether a cordon frees a successor of more than the one that is written."""
    has_fallen_silent = cordon.is_silent and not known.is_silent
    is_empty_now = bool(known.jobs) and not cordon.jobs
    return has_fallen_silent or (is_empty_now and not known.is_silent)


def _list_jobs(contact: WorkerContact) -> tuple[str, ...]:
    return tuple(sorted({run.task.name.job for run in contact.runs.values()}))


def _list_runs(contact: WorkerContact) -> tuple[CordonedRun, ...]:
    """List the runs that are lost if a worker crashes; one that leaves may go."""
    keys = () if contact.is_leaving else sorted(contact.runs)
    return tuple(CordonedRun(*key) for key in keys)
