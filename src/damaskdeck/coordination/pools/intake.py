"""How jobs come to an owner: from the store at first, then by messages and a watch."""

import asyncio
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
    JobRecord,
    ProgressRecord,
    decode_job,
    decode_progress,
)
from damaskdeck.state.pooljobs import Job, JobIndex

# Jobs come by messages of the daemons that took them; the watch is the safety net.
INBOX_INTERVAL = timedelta(milliseconds=200)
WATCH_WAIT = timedelta(seconds=1)
# A record's time of day may be off; a job is never taken for older than this.
OLDEST_ARRIVAL_SECONDS = 60.0

_log = get_logger("owner")


class IntakeOwner(Protocol):
    """What taking jobs in asks of their owner."""

    term: OwnerTerm
    job_index: JobIndex
    dispatcher: Dispatcher

    def now(self) -> float:
        """Return monotonic seconds."""

    def may_have_started(self, job: Job) -> bool:
        """Whether a predecessor may have started a job without our knowing."""

    def cancel(self, job: Job) -> None:
        """End a job as cancelled, unless it has ended."""


class Intake:
    """Takes jobs, their progress and wishes to cancel in, each once."""

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
        self._cancelled: set[str] = set()
        self._unreadable: set[str] = set()
        self._doubts: set[asyncio.Task[None]] = set()
        self._inbox_revision = 0

    def close(self) -> None:
        """Stop at once."""
        for doubt in self._doubts:
            doubt.cancel()

    async def load(self) -> None:
        """Read all jobs and their progress."""
        # Nobody else writes progress under this mandate, so their order is free.
        progress, (inbox, self._inbox_revision) = await asyncio.gather(
            self._read_all(PROGRESS_PREFIX), self._read_all(INBOX_PREFIX)
        )
        known: dict[str, ProgressRecord] = {}
        for entry in progress[0]:
            self._decode_progress(entry, known)
        for entry in inbox:
            self._apply_inbox(entry.key, entry.value, known)

    async def _read_all(self, prefix: str) -> tuple[tuple[Entry, ...], int]:
        while True:
            found = await read_all(self._store, prefix)
            if isinstance(found[0], tuple):
                return found  # type: ignore[return-value]
            await self._clock.sleep(RETRY_DELAY)

    def _decode_progress(self, entry: Entry, known: dict[str, ProgressRecord]) -> None:
        identifier = entry.key.removeprefix(PROGRESS_PREFIX)
        try:
            known[identifier] = decode_progress(entry.value)
        except MessageError as error:
            self._hold_back(identifier, str(error))

    def _hold_back(self, identifier: str, reason: str) -> None:
        """Leave a job alone whose progress can't be read.

        Started anew, it would run twice what has run.
        """
        self._unreadable.add(identifier)
        _log.error(
            "A job's progress can't be read: it is left alone.",
            id=identifier,
            code=MessageError.code,
            error=reason,
        )

    def _apply_inbox(
        self, key: str, value: bytes | None, known: dict[str, ProgressRecord]
    ) -> None:
        try:
            if key.startswith(JOBS_PREFIX) and value is not None:
                self.take_job(value, known)
            elif key.startswith(CANCELS_PREFIX) and value is not None:
                self._take_cancel(key.removeprefix(CANCELS_PREFIX))
        except MessageError as error:
            _log.error(
                "A record can't be read.", key=key, code=error.code, error=str(error)
            )

    def take_job(
        self, value: bytes, known: dict[str, ProgressRecord] | None = None
    ) -> None:
        """Take in a stored job, once.

        :raises MessageError: when it can't be read.
        """
        record = decode_job(value)
        identifier = record.identifier
        if identifier in self._owner.job_index.jobs or identifier in self._unreadable:
            return
        if record.epoch > self._owner.term.epoch:
            # Its owner may start it where nobody has heard of that epoch yet.
            start_task(self._doubt_epoch(record), self._doubts)
            return
        now = self._owner.now()
        age = self._clock.now().timestamp() - record.accepted_at
        job = Job(record, now - min(max(age, 0.0), OLDEST_ARRIVAL_SECONDS))
        progress = (known or {}).get(identifier)
        if progress is not None:
            try:
                job.restore(progress, now)
            except MessageError as error:
                self._hold_back(identifier, str(error))
                return
        job.has_unconfirmed_runs = self._owner.may_have_started(job)
        self._owner.job_index.add(job)
        if identifier in self._cancelled:
            self._owner.cancel(job)
        self._owner.dispatcher.add_job(job)

    async def _doubt_epoch(self, record: JobRecord) -> None:
        """Settle whether a job's newer owner exists: this one is deposed then.

        Where the store still names this one, no owner has had that epoch.
        """
        met = self._owner.now()
        _log.info(
            "A job is stored for a newer owner.",
            id=record.identifier,
            epoch=record.epoch,
            own=self._owner.term.epoch,
        )
        while not await self._leadership.is_confirmed_since(met):
            await self._clock.sleep(RETRY_DELAY)
        self._unreadable.add(record.identifier)
        _log.error(
            "A job names an epoch that there isn't: it is left alone.",
            id=record.identifier,
            code=MessageError.code,
            epoch=record.epoch,
        )

    def _take_cancel(self, identifier: str) -> None:
        self._cancelled.add(identifier)
        job = self._owner.job_index.jobs.get(identifier)
        if job is not None:
            self._owner.cancel(job)

    async def follow(self) -> None:
        """Take in what daemons store, until cancelled: messages may be lost."""
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
            await self._clock.sleep(INBOX_INTERVAL)
