"""The changes of an owner's state that its next commit makes durable."""

from collections.abc import Callable
from enum import Enum, auto
from typing import Any

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.journal import Batch, Journal
from damaskdeck.logs import get_logger
from damaskdeck.protocol.transactions import Write
from damaskdeck.state.jobrecords import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    RUNS_PREFIX,
    STARTS_PREFIX,
    RunsRecord,
    encode_record,
)
from damaskdeck.state.pooljobs import Job, JobIndex

# Stores take at least twice this for a value. A job with more runs than fit counts as
# one that may run anywhere.
MAX_RUNS_BYTES = 32_000

_log = get_logger("owner")


class ChangeKind(Enum):
    """The records that are written as a whole, apart from the progress of jobs."""

    ROSTER = auto()
    CORDONS = auto()
    CEILINGS = auto()
    SPEEDS = auto()
    RECORDING = auto()
    ATTEMPTS = auto()


class ChangeSet:
    """Collects changes and applies their effects once they are durable.

    :param get_journal: Returns the journal that commits the changes.
    :param write: Returns the write for a kind and a function to call once it is
        durable. The function returns whether orders may go to more workers.
    :param request_full_pass: Called when steps may fit where they did not before.
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
        self._request_full_pass = request_full_pass
        self._jobs: dict[str, Job] = {}
        self._removed: list[str] = []
        self._contacts: set[WorkerContact] = set()
        self._kinds: set[ChangeKind] = set()

    def record_job_change(self, job: Job) -> None:
        """Write the progress of a job with the next commit."""
        self._jobs[job.identifier] = job
        self._get_journal().wake()

    def record_job_removal(self, job: Job) -> None:
        """Remove all stored records of a job with the next commit."""
        key = job.identifier
        self._removed += [
            JOBS_PREFIX + key,
            CANCELS_PREFIX + key,
            PROGRESS_PREFIX + key,
            STARTS_PREFIX + key,
            RUNS_PREFIX + key,
        ]
        self._get_journal().wake()

    def record_worker_ends(self, contact: WorkerContact) -> None:
        """Record that ends of runs were received from a worker.

        The caller has to wake the journal.
        """
        self._contacts.add(contact)

    def record_roster_change(self) -> None:
        """Write the roster with the next commit."""
        self._kinds.add(ChangeKind.ROSTER)
        self._get_journal().wake()

    def record_cordon_change(self) -> None:
        """Write the cordons at once: a worker that answers again needs its lease."""
        self._kinds.add(ChangeKind.CORDONS)
        self._get_journal().expedite()

    def record_ceiling_change(self) -> None:
        """Write the ceilings at once: tasks wait for them."""
        self._kinds.add(ChangeKind.CEILINGS)
        self._get_journal().expedite()

    def record_recording_change(self) -> None:
        """Write at once whether all runs are on record: starts may wait for it."""
        self._kinds.add(ChangeKind.RECORDING)
        self._get_journal().expedite()

    def record_attempts_change(self) -> None:
        """Write at once which attempts are reserved: starts may wait for it."""
        self._kinds.add(ChangeKind.ATTEMPTS)
        self._get_journal().expedite()

    def record_speed_change(self) -> None:
        """Write the speeds of workers with the next commit."""
        self._kinds.add(ChangeKind.SPEEDS)
        self._get_journal().wake()

    def gather(self) -> Batch | None:
        """Return the changes since the last call, ``None`` if there are none."""
        jobs = list(self._jobs.values())
        contacts = [(contact, contact.last_received_end) for contact in self._contacts]
        removals = tuple(self._removed)
        kinds = sorted(self._kinds, key=lambda kind: kind.value)
        if not (jobs or contacts or removals or kinds):
            return None
        self._jobs.clear()
        self._contacts.clear()
        self._removed.clear()
        self._kinds.clear()
        records = [self._write(kind) for kind in kinds]
        writes = [
            write
            for job in jobs
            if job.identifier in self._job_index.jobs
            for write in _build_job_writes(job)
        ]
        final_states = [(job, job.final) for job in jobs]
        widened = [(j, j.wider_zones) for j in jobs if j.wider_zones is not None]

        def apply_effects() -> None:
            for job, final in final_states:
                if final is not None and job.visible_state != final:
                    job.visible_state = final
                    _log.info("A final state is durable.", id=job.identifier)
            for job, zones in widened:
                job.zones, job.wider_zones = zones, None
            for contact, number in contacts:
                contact.last_durable_end = max(contact.last_durable_end, number)
            if any([mark_durable() for _, mark_durable in records]) or widened:
                self._request_full_pass()

        return Batch(
            (*writes, *(write for write, _ in records)), removals, apply_effects
        )


def _build_job_writes(job: Job) -> list[Write]:
    """Return the records of a job that have changed since they were last gathered."""
    records: dict[str, Any] = {PROGRESS_PREFIX: job.summarize()}
    if job.recorded_starts.must_store:
        records[STARTS_PREFIX] = job.summarize_starts()
    runs = job.summarize_runs()
    if runs.runs or RUNS_PREFIX in job.stored:
        is_too_large = len(encode_record(runs)) > MAX_RUNS_BYTES
        records[RUNS_PREFIX] = RunsRecord(is_complete=False) if is_too_large else runs
    writes = []
    for prefix, record in records.items():
        value = encode_record(record)
        if job.stored.get(prefix) != value:
            job.stored[prefix] = value
            writes.append(Write(prefix + job.identifier, value))
    return writes
