"""How an owner receives jobs: from the store first, then by messages and a watch."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.dispatcher import Dispatcher
from damaskdeck.coordination.pools.leadership import RETRY_DELAY, Leadership
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Entry, Events, RevisionTooOld
from damaskdeck.protocol.transactions import TransactionalStore, read_all
from damaskdeck.state.jobrecords import (
    CANCELS_PREFIX,
    INBOX_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    RUNS_PREFIX,
    STARTS_PREFIX,
    JobRecord,
    ProgressRecord,
    RunsRecord,
    StartsRecord,
    decode_job,
    decode_progress,
    decode_record,
)
from damaskdeck.state.pooljobs import Job, JobIndex

# The pause between two watches. The daemons that accept jobs announce them by messages,
# and the watch only finds the jobs whose message was lost.
WATCH_INTERVAL = timedelta(milliseconds=200)
WATCH_WAIT = timedelta(seconds=1)
# The wall-clock time in a record may be wrong, so a job never counts as older than this
# when it is received.
MAX_ARRIVAL_AGE_SECONDS = 60.0

# Other work gets its turn after so many bytes of stored records.
SLICE_BYTES = 64_000
# What an entry costs beside its value.
ENTRY_BYTES = 1000

_log = get_logger("owner")


class IntakeOwner(Protocol):
    """What the intake needs from the owner of the jobs."""

    term: OwnerTerm
    job_index: JobIndex
    dispatcher: Dispatcher

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def hold_if_unconfirmed(self, job: Job) -> None:
        """Hold a job back if it may have runs of a previous owner, unknown here."""

    def cancel(self, job: Job) -> None:
        """End a job as cancelled, unless it has ended."""


class Intake:
    """Accepts jobs, their progress and requests to cancel, each of them once.

    :ivar recorded_runs: the runs that earlier owners have recorded, by job.
    """

    def __init__(
        self,
        owner: IntakeOwner,
        store: TransactionalStore,
        leadership: Leadership,
        clock: Clock,
    ) -> None:
        self._owner = owner
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self.recorded_runs: dict[str, RunsRecord] = {}
        self._cancelled: set[str] = set()
        self._unreadable: set[str] = set()
        self._epoch_checks: set[asyncio.Task[None]] = set()
        self._inbox_revision = 0

    def close(self) -> None:
        """Cancel all checks of epochs."""
        for check in self._epoch_checks:
            check.cancel()

    async def load(self) -> None:
        """Read all jobs and their progress."""
        # Nobody else writes progress during this owner's term, so the order of the
        # reads doesn't matter.
        progress, starts, runs, inbox_page = await asyncio.gather(
            self._read_all(PROGRESS_PREFIX),
            self._read_all(STARTS_PREFIX),
            self._read_all(RUNS_PREFIX),
            self._read_all(INBOX_PREFIX),
        )
        inbox, self._inbox_revision = inbox_page
        progress_by_job: dict[str, ProgressRecord] = {}
        await apply_in_slices(
            progress[0], lambda entry: self._decode_progress(entry, progress_by_job)
        )
        await apply_in_slices(
            inbox,
            lambda entry: self._apply_inbox(entry.key, entry.value, progress_by_job),
        )
        await apply_in_slices(starts[0], self._restore_starts)
        await apply_in_slices(runs[0], self._decode_runs)

    def _decode_runs(self, entry: Entry) -> None:
        identifier = entry.key.removeprefix(RUNS_PREFIX)
        try:
            self.recorded_runs[identifier] = decode_record(RunsRecord, entry.value)
        except MessageError as error:
            # The job waits until the lists of all workers show its runs.
            self.recorded_runs[identifier] = RunsRecord(is_complete=False)
            _log.error(
                "Failed to decode the runs of a job.",
                id=identifier,
                code=MessageError.code,
                error=str(error),
            )

    def _restore_starts(self, entry: Entry) -> None:
        job = self._owner.job_index.jobs.get(entry.key.removeprefix(STARTS_PREFIX))
        if job is None:
            return
        try:
            job.restore_starts(decode_record(StartsRecord, entry.value))
        except MessageError as error:
            _log.error(
                "Failed to decode a record.",
                key=entry.key,
                code=error.code,
                error=str(error),
            )

    async def _read_all(self, prefix: str) -> tuple[tuple[Entry, ...], int]:
        while True:
            found = await read_all(self._store, prefix)
            if isinstance(found[0], tuple):
                return found  # type: ignore[return-value]
            await self._clock.sleep(RETRY_DELAY)

    def _decode_progress(
        self, entry: Entry, progress_by_job: dict[str, ProgressRecord]
    ) -> None:
        identifier = entry.key.removeprefix(PROGRESS_PREFIX)
        try:
            progress_by_job[identifier] = decode_progress(entry.value)
        except MessageError as error:
            self._ignore_job(identifier, str(error))

    def _ignore_job(self, identifier: str, reason: str) -> None:
        """Ignore a job whose progress can't be decoded.

        If it were started from the beginning, finished tasks would run again.
        """
        self._unreadable.add(identifier)
        _log.error(
            "Failed to decode the progress of a job, which is ignored.",
            id=identifier,
            code=MessageError.code,
            error=reason,
        )

    def _apply_inbox(
        self, key: str, value: bytes | None, progress_by_job: dict[str, ProgressRecord]
    ) -> None:
        try:
            if key.startswith(JOBS_PREFIX) and value is not None:
                self.accept_job(value, progress_by_job)
            elif key.startswith(CANCELS_PREFIX) and value is not None:
                self._accept_cancel(key.removeprefix(CANCELS_PREFIX))
        except MessageError as error:
            _log.error(
                "Failed to decode a record.", key=key, code=error.code, error=str(error)
            )

    def accept_job(
        self, value: bytes, progress_by_job: dict[str, ProgressRecord] | None = None
    ) -> None:
        """Add a stored job, unless it was added before.

        :raises MessageError: If the job can't be decoded.
        """
        record = decode_job(value)
        identifier = record.identifier
        if identifier in self._owner.job_index.jobs or identifier in self._unreadable:
            return
        if record.epoch > self._owner.term.epoch:
            # The owner of that epoch may start the job on workers that have not seen
            # the epoch yet.
            start_task(self._check_epoch(record), self._epoch_checks)
            return
        now = self._owner.now()
        age = self._clock.now().timestamp() - record.accepted_at
        job = Job(record, now - min(max(age, 0.0), MAX_ARRIVAL_AGE_SECONDS))
        progress = (progress_by_job or {}).get(identifier)
        if progress is not None:
            try:
                job.restore(progress, now)
            except MessageError as error:
                self._ignore_job(identifier, str(error))
                return
        self._owner.hold_if_unconfirmed(job)
        self._owner.job_index.add(job)
        if identifier in self._cancelled:
            self._owner.cancel(job)
        self._owner.dispatcher.add_job(job)

    async def _check_epoch(self, record: JobRecord) -> None:
        """Check whether the newer owner that a job names exists.

        If it does, this owner has been deposed. If the store still names this owner,
        no owner has had that epoch.
        """
        checked_at = self._owner.now()
        _log.info(
            "A job is stored for a newer owner.",
            id=record.identifier,
            epoch=record.epoch,
            own=self._owner.term.epoch,
        )
        while not await self._leadership.is_confirmed_since(checked_at):
            await self._clock.sleep(RETRY_DELAY)
        self._unreadable.add(record.identifier)
        _log.error(
            "A job names an epoch that does not exist and is ignored.",
            id=record.identifier,
            code=MessageError.code,
            epoch=record.epoch,
        )

    def _accept_cancel(self, identifier: str) -> None:
        self._cancelled.add(identifier)
        job = self._owner.job_index.jobs.get(identifier)
        if job is not None:
            self._owner.cancel(job)

    async def follow(self) -> None:
        """Until cancelled, accept what daemons store, as messages may be lost."""
        while True:
            answer = await self._store.watch(
                INBOX_PREFIX, self._inbox_revision, WATCH_WAIT
            )
            if isinstance(answer, Events):
                self._inbox_revision = answer.revision
                for event in answer.events:
                    self._apply_inbox(event.key, event.value, {})
            elif isinstance(answer, RevisionTooOld):
                inbox, self._inbox_revision = await self._read_all(INBOX_PREFIX)
                for entry in inbox:
                    self._apply_inbox(entry.key, entry.value, {})
            await self._clock.sleep(WATCH_INTERVAL)


async def apply_in_slices(
    entries: Iterable[Entry], apply: Callable[[Entry], None]
) -> None:
    """Apply entries one after the other, and let other work run in between."""
    size = 0
    for entry in entries:
        apply(entry)
        size += ENTRY_BYTES + len(entry.value)
        if size >= SLICE_BYTES:
            size = 0
            await asyncio.sleep(0)
