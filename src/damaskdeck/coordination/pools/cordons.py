"""Cordons: the durable record of workers that are silent or leaving.

Without cordons a successor has to assume that a worker which doesn't answer may run
any job, and that the previous owner may extend the worker's lease until its own owner
lease has expired. But a silent worker gets neither orders nor lease extensions, and a
leaving worker gets no orders. Once that is durable, together with the jobs whose tasks
the worker may run, a successor starts all other jobs at once and waits for the jobs of
a silent worker for one lease at most. Before such a worker gets orders or lease
extensions again, the end of its cordon has to be committed.
"""

from collections.abc import Callable

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.transactions import Write
from damaskdeck.state.jobrecords import (
    CORDONS_KEY,
    MIN_VALUE_BYTES,
    Cordon,
    CordonedRun,
    CordonsRecord,
    encode_record,
)

# The list itself takes little beside them.
MAX_CORDONS_BYTES = MIN_VALUE_BYTES - 100

_log = get_logger("workforce")


class Cordons:
    """The cordons of one owner.

    :param contacts: The contacts by the identifier of a worker's incarnation.
    :param on_change: Called when the cordons have to be written.
    """

    def __init__(
        self, contacts: dict[str, WorkerContact], on_change: Callable[[], None]
    ) -> None:
        self._contacts = contacts
        self._on_change = on_change
        self._cordons: dict[str, Cordon] = {}

    def load(self, record: CordonsRecord) -> None:
        """Adopt the cordons of the previous owner."""
        for cordon in record.cordons:
            contact = self._contacts.get(cordon.worker)
            if contact is not None:
                contact.cordon(cordon.is_silent)
                if not (cordon.is_silent or contact.is_listed):
                    # The roster may be older than the announcement.
                    contact.info = contact.info._replace(is_leaving=True)
                self._cordons[cordon.worker] = cordon

    def find(self, worker: str) -> Cordon | None:
        """Return the cordon of a worker, ``None`` if it has none."""
        return self._cordons.get(worker)

    def sweep(self, now: float, may_add: bool) -> None:
        """Cordon workers that are silent or leaving and release the others.

        :param may_add: Whether cordons may be added. None is added while the store is
            unavailable: a worker that answers again could then not be released, and
            its lease would expire.
        """
        contacts = list(self._contacts.values()) if may_add else []
        added = [c.info.identifier for c in contacts if self._add(c, now)]
        if added:
            _log.info("Workers are cordoned.", workers=added)
        if added or any(map(self._has_ended, self._cordons.values())):
            self._on_change()

    def _add(self, contact: WorkerContact, now: float) -> bool:
        """Cordon a worker if necessary; return whether its cordon has changed."""
        existing = self._cordons.get(contact.info.identifier)
        is_silent = contact.is_silent(now)
        if not (is_silent or contact.is_leaving) or not contact.is_settled:
            return False
        cordon = Cordon(
            contact.info.identifier, _list_jobs(contact), is_silent, _list_runs(contact)
        )
        if existing is not None and not _is_tighter(cordon, existing):
            return False
        contact.cordon(is_silent)
        self._cordons[cordon.worker] = cordon
        return True

    def _has_ended(self, cordon: Cordon) -> bool:
        contact = self._contacts.get(cordon.worker)
        if contact is None or contact.is_gone:
            # A successor must find the runs of a worker that is gone until they count.
            return contact is None or not contact.has_unsettled_runs
        if cordon.is_silent:
            return contact.is_synchronized
        # A worker that is no longer listed has left, whatever its last entry says.
        return contact.is_listed and not contact.is_leaving

    def build_write(self) -> tuple[Write, Callable[[], bool]]:
        """Return the write and a function to call once it is durable.

        The function returns whether workers may get orders and leases again.
        """
        ended = [c.worker for c in self._cordons.values() if self._has_ended(c)]
        for worker in ended:
            del self._cordons[worker]

        def release() -> bool:
            released = [
                contact
                for contact in map(self._contacts.get, ended)
                if contact is not None and contact.info.identifier not in self._cordons
            ]
            for contact in released:
                contact.release()
            return bool(released)

        record = CordonsRecord(self._list_stored())
        return Write(CORDONS_KEY, encode_record(record)), release

    def _list_stored(self) -> tuple[Cordon, ...]:
        """List the cordons that fit a value, those of the least room first.

        A successor waits for the others as for any worker that it can't read.
        """
        cordons = tuple(self._cordons.values())
        sizes = {cordon.worker: len(encode_record(cordon)) for cordon in cordons}
        if sum(sizes.values()) <= MAX_CORDONS_BYTES:
            return cordons
        room = MAX_CORDONS_BYTES
        stored = []
        for cordon in sorted(cordons, key=lambda cordon: sizes[cordon.worker]):
            room -= sizes[cordon.worker]
            if room < 0:
                break
            stored.append(cordon)
        left_out = [c.worker for c in cordons if c not in stored]
        _log.warn("Cordons are not durable.", workers=left_out, limit=MAX_CORDONS_BYTES)
        count_drop("journal", "cordon", len(left_out))
        return tuple(stored)


def _is_tighter(cordon: Cordon, existing: Cordon) -> bool:
    """Whether a cordon spares a successor more than the existing one."""
    has_become_silent = cordon.is_silent and not existing.is_silent
    has_become_empty = bool(existing.jobs) and not cordon.jobs
    return has_become_silent or (has_become_empty and not existing.is_silent)


def _list_jobs(contact: WorkerContact) -> tuple[str, ...]:
    return tuple(sorted({run.task.name.job for run in contact.runs.values()}))


def _list_runs(contact: WorkerContact) -> tuple[CordonedRun, ...]:
    """List the runs that count as crashed if the worker is gone.

    There are none for a leaving worker, which is expected to go.
    """
    keys = () if contact.is_leaving else sorted(contact.runs)
    return tuple(CordonedRun(*key) for key in keys)
