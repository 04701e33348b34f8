"""What has changed at an owner and must last, gathered for its next commit."""

from collections.abc import Callable
from enum import Enum, auto

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.journal import Batch, Journal
from damaskdeck.logs import get_logger
from damaskdeck.protocol.transactions import Write
from damaskdeck.state.jobrecords import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    encode_record,
)
from damaskdeck.state.pooljobs import Job, JobIndex

_log = get_logger("owner")


class ChangeKind(Enum):
    """What is written as a whole, beside the progress of jobs."""

    ROSTER = auto()
    CORDONS = auto()
    CEILINGS = auto()


class ChangeSet:
    """Gathers changes, and tells whom they concern once they are durable.

    :param get_journal: returns the journal that commits them.
    :param write: returns what to write of a kind, and what to call once that is
        durable; the call tells whether orders may go to more workers.
    :param request_full_pass: called when steps may have room that they had not.
    """

    def __init__(
        self,
        job_index: JobIndex,
        get_journal: Callable[[], Journal],
        write: Callable[[ChangeKind], tuple[Write, Callable[[], bool]]],
        request_full_pass: Callable[[], None],
    ) -> None:
        self._job_index = job_index
        self._get_journal = get_journal
        self._write = write
        self._look_again = request_full_pass
        self._jobs: dict[str, Job] = {}
        self._removed: list[str] = []
        self._contacts: set[WorkerContact] = set()
        self._kinds: set[ChangeKind] = set()

    def record_job_change(self, job: Job) -> None:
        """Let a job's progress be written."""
        self._jobs[job.identifier] = job
        self._get_journal().wake()

    def record_job_removal(self, job: Job) -> None:
        """Let all that is stored of a job be removed."""
        key = job.identifier
        self._removed += [
            JOBS_PREFIX + key,
            CANCELS_PREFIX + key,
            PROGRESS_PREFIX + key,
        ]
        self._get_journal().wake()

    def record_worker_ends(self, contact: WorkerContact) -> None:
        """Take note that ends were taken from a worker; wake the journal for them."""
        self._contacts.add(contact)

    def record_roster_change(self) -> None:
        """Let the roster be written."""
        self._kinds.add(ChangeKind.ROSTER)
        self._get_journal().wake()

    def record_cordon_change(self) -> None:
        """Let the cordons be written; a worker that answers needs its lease."""
        self._kinds.add(ChangeKind.CORDONS)
        self._get_journal().expedite()

    def record_ceiling_change(self) -> None:
        """Let the ceilings be written; tasks wait for them."""
        self._kinds.add(ChangeKind.CEILINGS)
        self._get_journal().expedite()

    def gather(self) -> Batch | None:
        """Return what has changed since the last call, ``None`` if nothing has."""
        jobs = list(self._jobs.values())
        contacts = [(contact, contact.processed) for contact in self._contacts]
        removals = tuple(self._removed)
        kinds = sorted(self._kinds, key=lambda kind: kind.value)
        if not (jobs or contacts or removals or kinds):
            return None
        self._jobs.clear()
        self._contacts.clear()
        self._removed.clear()
        self._kinds.clear()
        written = [self._write(kind) for kind in kinds]
        writes = [
            Write(PROGRESS_PREFIX + job.identifier, encode_record(job.summarize()))
            for job in jobs
            if job.identifier in self._job_index.jobs
        ]
        finals = [(job, job.final) for job in jobs]
        widened = [(j, j.wider_zones) for j in jobs if j.wider_zones is not None]

        def finish() -> None:
            for job, final in finals:
                if final is not None and job.visible_state != final:
                    job.visible_state = final
                    _log.info("A final state is durable.", id=job.identifier)
            for job, zones in widened:
                job.zones, job.wider_zones = zones, None
            for contact, number in contacts:
                contact.observed = max(contact.observed, number)
            if any([note_durable() for _, note_durable in written]) or widened:
                self._look_again()

        return Batch((*writes, *(write for write, _ in written)), removals, finish)
