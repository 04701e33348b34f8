"""Callers' jobs on any daemon: taken into the store, told of by the owner."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Literal

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.coordination.pools.delegates import Delegates
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.owner import PoolOwner
from damaskdeck.coordination.pools.submitter import (
    DELEGATE_COUNT,
    DELEGATE_TIMEOUT,
    RETRY_DELAY,
    JobSubmitter,
    is_visible,
)
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.zoneconfinement import ZoneCapacities
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import observe_latency
from damaskdeck.protocol.callresults import (
    ANONYMOUS,
    Caller,
    CallRejected,
    JobAccepted,
    JobNotAccepted,
    JobNotFound,
    JobStateFound,
    JobStateUnavailable,
    JobUnconfirmed,
)
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.poolmessages import (
    AnnounceJob,
    CancelPoolJob,
    CountWaitingJobs,
    CountWaitingJobsReply,
    DelegateJobOperation,
    DelegateJobOperationReply,
    GetAdvice,
    GetAdviceReply,
    JobStateReply,
    ReadJobState,
    ReportCapacity,
)
from damaskdeck.protocol.pools import Advice, Advisor
from damaskdeck.protocol.ports import Found, Lost, Missing, Rejected, Written
from damaskdeck.protocol.queues import FINAL_STATES, JobSpec, Queue, QueueJobState
from damaskdeck.protocol.transactions import (
    Transaction,
    Write,
)
from damaskdeck.state.jobrecords import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    decode_progress,
)
from damaskdeck.state.pooljobs import Job

OWNER_TIMEOUT = timedelta(milliseconds=400)
CANCEL_TIMEOUT = timedelta(milliseconds=1200)
# Final states never change, so entries answer them from memory.
KNOWN_LIMIT = 5000

_log = get_logger("desk")


class JobFrontend:
    """Answers callers on one daemon; the owner's part is reached over peers.

    :param instance: this daemon's name.
    :param get_owner: returns this daemon's owner part, if it has the mandate.
    """

    def __init__(
        self,
        instance: str,
        store: MonitoredStore,
        peers: Peers,
        leadership: Leadership,
        advisor: Advisor,
        clock: Clock,
        times: PoolTimes,
        declarations: Declarations,
        get_owner: Callable[[], PoolOwner | None],
        note_owner: Callable[[int], None] = lambda epoch: None,
    ) -> None:
        self._instance = instance
        self._store = store
        self._peers = peers
        self._leadership = leadership
        self._advisor = advisor
        self._clock = clock
        self._times = times
        self._get_owner = get_owner
        self._note_owner = note_owner
        # By identifier and caller's account and queue.
        self._known: dict[tuple[str, str, str], QueueJobState] = {}
        self._rooms = ZoneCapacities(clock, times.lease)
        self._delegates = Delegates(instance, leadership, clock)
        self._storing = JobSubmitter(
            store,
            peers,
            leadership,
            clock,
            times,
            declarations,
            self._delegates,
            self._rooms,
        )
        peers.register(AnnounceJob, self._take_submitted)
        peers.register(ReadJobState, self._tell_state)
        peers.register(CancelPoolJob, self._cancel)
        peers.register(CountWaitingJobs, self._tell_waiting)
        peers.register(GetAdvice, self._ask_advisor)
        peers.register(DelegateJobOperation, self._do_for)
        peers.register(ReportCapacity, self._take_room)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    # Taking ------------------------------------------------------------------

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller = ANONYMOUS
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed | CallRejected:
        """Store a job; the same identifier is the same job."""
        return await self._storing.submit(queue, identifier, spec, caller)

    async def _take_room(self, peer: str, message: ReportCapacity) -> None:
        self._rooms.take(message)
        self._note_owner(message["epoch"])

    async def _take_submitted(self, peer: str, message: AnnounceJob) -> None:
        owner = self._get_owner()
        if owner is not None and owner.is_loaded:
            try:
                owner.intake.take_job(message["record"])
            except MessageError as error:
                _log.error("A job can't be read.", peer=peer, error=str(error))

    # States ------------------------------------------------------------------

    async def read_state(
        self, identifier: str, caller: Caller = ANONYMOUS
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Tell the state of a job; one of another account isn't there."""
        known = self._known.get((identifier, caller.account, caller.queue))
        if known is not None:
            return JobStateFound(known)
        began = self._now()
        told = await self._ask(ReadJobState, OWNER_TIMEOUT, identifier, caller)
        observe_latency("desk", "state", self._now() - began)
        if told is not None:
            return told
        if self._store.is_failing:
            return await self._ask_for(identifier, "state", caller)
        return await self._read_stored(identifier, caller)

    async def _ask_for(
        self, identifier: str, wish: Literal["state", "cancel"], caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Let a daemon that the store answers do what the caller wishes."""
        message: DelegateJobOperation = {
            "wish": wish,
            **_write_asked(identifier, caller),
        }
        for name in self._delegates.choose(DELEGATE_COUNT):
            reply = await self._peers.call(
                name, message, DelegateJobOperation, DELEGATE_TIMEOUT
            )
            if not isinstance(reply, Answered):
                self._delegates.suspend(name)
                continue
            answer, state = reply.message["answer"], reply.message["state"]
            if answer == "no_job":
                return JobNotFound()
            if answer == "state":
                return JobStateFound(QueueJobState(state))
        return JobStateUnavailable("store_failing")

    async def _do_for(
        self, peer: str, message: DelegateJobOperation
    ) -> DelegateJobOperationReply:
        if self._store.is_failing:
            return {"answer": "untold", "state": "store_failing"}
        ask = self.read_state if message["wish"] == "state" else self.cancel
        told = await ask(message["job"], _read_caller(message))
        if isinstance(told, JobStateFound):
            return {"answer": "state", "state": told.state}
        if isinstance(told, JobNotFound):
            return {"answer": "no_job", "state": ""}
        return {"answer": "untold", "state": told.code}

    async def _ask(
        self,
        kind: type[ReadJobState | CancelPoolJob],
        timeout: timedelta,
        identifier: str,
        caller: Caller,
    ) -> JobStateFound | JobNotFound | None:
        """Ask the owner about a job; ``None`` when it can't tell."""
        owner = self._leadership.owner
        if owner is None:
            return None
        message = _write_asked(identifier, caller)
        reply = await self._peers.call(owner.instance, message, kind, timeout)
        if not isinstance(reply, Answered):
            return None
        if reply.message.get("is_hidden", False):
            return JobNotFound()
        if not reply.message["state"]:
            return None
        state = QueueJobState(reply.message["state"])
        self._remember(identifier, caller, state)
        return JobStateFound(state)

    def _remember(self, identifier: str, caller: Caller, state: QueueJobState) -> None:
        if state in FINAL_STATES:
            if len(self._known) >= KNOWN_LIMIT:
                del self._known[next(iter(self._known))]
            self._known[identifier, caller.account, caller.queue] = state

    async def _read_stored(
        self, identifier: str, caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Read what the store knows of a job; it is behind, but never wrong."""
        progress, job = await asyncio.gather(
            self._store.read(PROGRESS_PREFIX + identifier),
            self._store.read(JOBS_PREFIX + identifier),
        )
        if isinstance(job, Missing):
            return JobNotFound()
        if isinstance(job, Found) and not is_visible(job.entry.value, caller):
            return JobNotFound()
        if not isinstance(job, Found) or isinstance(progress, Rejected | Lost):
            code = getattr(progress, "code", getattr(job, "code", ""))
            return JobStateUnavailable(code)
        if not isinstance(progress, Found):
            return JobStateFound(QueueJobState.QUEUED)
        try:
            record = decode_progress(progress.entry.value)
        except MessageError as error:
            _log.error("Progress can't be read.", id=identifier, error=str(error))
            return JobStateUnavailable("unreadable")
        has_begun = record.has_started or bool(record.steps)
        state = QueueJobState.RUNNING if has_begun else QueueJobState.QUEUED
        if record.final:
            state = QueueJobState(record.final)
            self._remember(identifier, caller, state)
        return JobStateFound(state)

    async def _tell_state(self, peer: str, message: ReadJobState) -> JobStateReply:
        owner = self._get_owner()
        if owner is None or not owner.is_loaded or not owner.may_decide():
            return {"epoch": 0, "state": ""}
        job = owner.job_index.jobs.get(message["job"])
        if job is not None and not _may_see(job, _read_caller(message)):
            return {"epoch": owner.term.epoch, "state": "", "is_hidden": True}
        return {"epoch": owner.term.epoch, "state": job.visible_state if job else ""}

    # Cancelling --------------------------------------------------------------

    async def cancel(
        self, identifier: str, caller: Caller = ANONYMOUS
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Cancel a job; answers once that is durable."""
        told = await self._ask(CancelPoolJob, CANCEL_TIMEOUT, identifier, caller)
        if told is not None:
            return told
        if self._store.is_failing:
            return await self._ask_for(identifier, "cancel", caller)
        return await self._store_cancel(identifier, caller)

    async def _store_cancel(
        self, identifier: str, caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Store the wish to cancel, for the owner to find."""
        until = self._now() + self._times.accept_timeout.total_seconds()
        key = JOBS_PREFIX + identifier
        while True:
            found = await self._store.read(key)
            if isinstance(found, Missing):
                return JobNotFound()
            if isinstance(found, Found) and not is_visible(found.entry.value, caller):
                return JobNotFound()
            done: object = found
            if isinstance(found, Found):
                done = await self._store.commit(
                    Transaction(
                        ((key, found.entry.revision),),
                        (Write(CANCELS_PREFIX + identifier, b""),),
                    )
                )
                if isinstance(done, Written):
                    return JobStateFound(QueueJobState.CANCELLED)
            if self._now() >= until or self._store.is_failing:
                return JobStateUnavailable(getattr(done, "code", "lost"))
            await self._clock.sleep(RETRY_DELAY)

    async def _cancel(self, peer: str, message: CancelPoolJob) -> JobStateReply:
        owner = self._get_owner()
        if owner is None or not owner.is_loaded:
            return {"epoch": 0, "state": ""}
        job = owner.job_index.jobs.get(message["job"])
        if job is None:
            return {"epoch": owner.term.epoch, "state": ""}
        if not _may_see(job, _read_caller(message)):
            return {"epoch": owner.term.epoch, "state": "", "is_hidden": True}
        state = await owner.cancel_durably(job)
        return {"epoch": owner.term.epoch, "state": state}

    # Numbers -----------------------------------------------------------------

    async def count_waiting(self, queue: str) -> int | JobStateUnavailable:
        """Tell how many jobs of a queue have started nothing."""
        owner = self._leadership.owner
        if owner is None:
            return JobStateUnavailable("no_owner")
        reply = await self._peers.call(
            owner.instance, {"queue": queue}, CountWaitingJobs, OWNER_TIMEOUT
        )
        if isinstance(reply, Answered) and reply.message["epoch"]:
            return reply.message["count"]
        return JobStateUnavailable("owner_unreachable")

    async def _tell_waiting(
        self, peer: str, message: CountWaitingJobs
    ) -> CountWaitingJobsReply:
        owner = self._get_owner()
        if owner is None or not owner.is_loaded or not owner.may_decide():
            return {"epoch": 0, "count": 0}
        count = owner.job_index.count_waiting(message["queue"])
        return {"epoch": owner.term.epoch, "count": count}

    # Advice ------------------------------------------------------------------

    async def _ask_advisor(self, peer: str, message: GetAdvice) -> GetAdviceReply:
        timeout = timedelta(milliseconds=message["timeout"])
        workers = tuple(message["workers"])
        answer = await self._advisor.ask(message["step"], workers, timeout)
        if isinstance(answer, Advice):
            return {"code": "", "consents": [tuple(c) for c in answer.consents]}
        return {"code": answer.code, "consents": []}


def _write_asked(identifier: str, caller: Caller) -> ReadJobState:
    return {"job": identifier, "account": caller.account, "queue": caller.queue}


def _read_caller(
    message: ReadJobState | CancelPoolJob | DelegateJobOperation,
) -> Caller:
    return Caller(message.get("account", ""), message.get("queue", ""))


def _may_see(job: Job, caller: Caller) -> bool:
    return caller.may_see(job.record.account, job.queue.name)
