"""The changes of an owner's state that its next commit makes durable."""

from collections.abc import Callable
from enum import Enum, auto

from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.journal import Batch, Journal
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.queues import QueueJobState
from damaskdeck.protocol.transactions import Write
from damaskdeck.state.jobrecords import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    MIN_VALUE_BYTES,
    PROGRESS_PREFIX,
    RUNS_PREFIX,
    STARTS_PREFIX,
    ProgressRecord,
    RunsRecord,
    encode_record,
)
from damaskdeck.state.pooljobs import CheckpointRoom, Job, JobIndex
from damaskdeck.state.recordedstarts import shorten_starts

# A job with more runs than fit counts as one that may run anywhere.
MAX_RUNS_BYTES = MIN_VALUE_BYTES // 2
# Of more recorded starts and possible crashes of a job only a part is durable. They are
# written with each start of such a job, so this is well below what a value may have.
MAX_STARTS_BYTES = MIN_VALUE_BYTES // 2
# The part of a value that checkpoints of a job may take. A task whose checkpoint is
# beyond it begins anew after a takeover, unless a run of it is found.
CHECKPOINTS_SHARE = 0.5

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
    :param on_unstorable: Called with a job whose progress the store refuses for good.
    :param value_limit: The most bytes that the store takes for a value.
    """

    def __init__(
        self,
        job_index: JobIndex,
        get_journal: Callable[[], Journal],
        write: Callable[[ChangeKind], tuple[Write, Callable[[], bool]]],
        request_full_pass: Callable[[], None],
        on_unstorable: Callable[[Job], None],
        value_limit: int = MIN_VALUE_BYTES,
    ) -> None:
        self._value_limit = value_limit
        self._job_index = job_index
        self._get_journal = get_journal
        self._write = write
        self._request_full_pass = request_full_pass
        self._on_unstorable = on_unstorable
        self._jobs: dict[str, Job] = {}
        # The records of jobs that the store refuses for good.
        self._refused: set[str] = set()
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
        self._refused -= {PROGRESS_PREFIX + key, STARTS_PREFIX + key, RUNS_PREFIX + key}
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
            for write in self._build_job_writes(job)
        ]
        final_states = [(job, job.final) for job in jobs]
        widened = [(j, j.wider_zones) for j in jobs if j.wider_zones is not None]

        def apply_effects(refused: frozenset[str]) -> None:
            self._update_refused(writes, refused)
            self._show_final_states(final_states)
            for job, zones in widened:
                if not self._is_progress_refused(job):
                    job.zones, job.wider_zones = zones, None
            self._record_durable_ends(contacts)
            durable = [mark for write, mark in records if write.key not in refused]
            if any([mark_durable() for mark_durable in durable]) or widened:
                self._request_full_pass()

        return Batch(
            (*writes, *(write for write, _ in records)), removals, apply_effects
        )

    def _show_final_states(
        self, states: list[tuple[Job, QueueJobState | None]]
    ) -> None:
        for job, final in states:
            is_new = final is not None and job.visible_state != final
            if is_new and not self._is_progress_refused(job):
                job.visible_state = final
                _log.info("A final state is durable.", id=job.identifier)

    def _record_durable_ends(self, contacts: list[tuple[WorkerContact, int]]) -> None:
        """Record the ends of workers as durable, unless some progress is refused.

        Ends must not be noted before the progress that they are part of is durable.
        """
        if any(key.startswith(PROGRESS_PREFIX) for key in self._refused):
            self._contacts.update(contact for contact, _ in contacts)
            return
        for contact, number in contacts:
            contact.last_durable_end = max(contact.last_durable_end, number)

    def _update_refused(self, writes: list[Write], refused: frozenset[str]) -> None:
        """Update which records of jobs are refused; try these again when they change.

        A job whose progress is refused ends as failed, as that takes the least room.
        """
        self._refused -= {write.key for write in writes if write.key not in refused}
        for key in refused:
            prefix, slash, identifier = key.rpartition("/")
            job = self._job_index.jobs.get(identifier)
            if job is None or prefix + slash not in job.stored:
                continue
            job.stored.pop(prefix + slash)
            self._refused.add(key)
            if prefix + slash == PROGRESS_PREFIX:
                self._on_unstorable(job)

    def _is_progress_refused(self, job: Job) -> bool:
        return PROGRESS_PREFIX + job.identifier in self._refused

    def is_stored(self, job: Job) -> bool:
        """Whether the store has not refused a record of a job."""
        return not self._refused or not any(
            prefix + job.identifier in self._refused
            for prefix in (PROGRESS_PREFIX, STARTS_PREFIX, RUNS_PREFIX)
        )

    def _build_job_writes(self, job: Job) -> list[Write]:
        """Return the records of a job that have changed since the last call."""
        values = {PROGRESS_PREFIX: self._encode_progress(job)}
        if job.recorded_starts.must_store:
            values[STARTS_PREFIX] = self._encode_starts(job)
        if job.runs or RUNS_PREFIX in job.stored:
            values[RUNS_PREFIX] = self._encode_runs(job)
        writes = []
        for prefix, value in values.items():
            if job.stored.get(prefix) != value:
                job.stored[prefix] = value
                writes.append(Write(prefix + job.identifier, value))
        return writes

    def _encode_progress(self, job: Job) -> bytes:
        """Return a job's progress, with as much of it as the store takes.

        Which tasks have completed is always part of it.
        """
        if job.is_final and self._is_progress_refused(job):
            return encode_record(ProgressRecord(job.final, job.has_started))
        room = CheckpointRoom(CHECKPOINTS_SHARE * self._value_limit)
        progress = job.summarize(room)
        if room.left_out > 2 * job.left_out_checkpoints:
            job.left_out_checkpoints = room.left_out
            self._report_left_out(job, "checkpoint", room.left_out, self._value_limit)
        value = encode_record(progress)
        if len(value) <= self._value_limit:
            return value
        count = len(progress.steps)
        self._report_left_out(job, "failure", count, self._value_limit)
        steps = tuple(
            step._replace(failures={}, checkpoints={}) for step in progress.steps
        )
        return encode_record(progress._replace(steps=steps))

    def _encode_starts(self, job: Job) -> bytes:
        """Return a job's recorded starts, with as much of them as a record takes."""
        record = job.summarize_starts()
        value = encode_record(record)
        if len(value) <= MAX_STARTS_BYTES:
            return value
        kept = shorten_starts(record, job.identifier, MAX_STARTS_BYTES)
        left_out = len(record.unconfirmed) - len(kept.unconfirmed)
        if left_out > 2 * job.left_out_crashes:
            job.left_out_crashes = left_out
            self._report_left_out(job, "crash", left_out, MAX_STARTS_BYTES)
        return encode_record(kept)

    def _encode_runs(self, job: Job) -> bytes:
        """Return the record of a job's runs, an incomplete one if it lacks any."""
        record = job.summarize_runs()
        # Otherwise a successor would take the runs that are not known here for ended.
        record = record._replace(is_complete=not job.has_unconfirmed_runs)
        value = encode_record(record)
        size, reason = len(value), "" if record.is_complete else "unconfirmed"
        if size > MAX_RUNS_BYTES:
            value, reason = encode_record(RunsRecord(is_complete=False)), "too_large"
        self._report_runs(job, reason, size)
        return value

    def _report_runs(self, job: Job, reason: str, size: int) -> None:
        """Log that the record of a job's runs has become complete or incomplete.

        :param reason: why it is incomplete, an empty string if it is complete.
        """
        was_complete = job.has_complete_record
        job.has_complete_record = not reason
        if was_complete == job.has_complete_record:
            return
        _log.info(
            "The record of a job's runs is incomplete."
            if reason
            else "The record of a job's runs is complete again.",
            id=job.identifier,
            reason=reason,
            runs=len(job.runs),
            bytes=size,
            limit=MAX_RUNS_BYTES,
        )

    def _report_left_out(self, job: Job, part: str, count: int, limit: int) -> None:
        _log.warn(
            "A part of a job's progress is not durable.",
            id=job.identifier,
            left_out=part,
            count=count,
            limit=limit,
        )
        count_drop("journal", part, count)
