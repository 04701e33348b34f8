"""The interface of every daemon to callers: submits, reads and cancels jobs.

Jobs are accepted by storing them, and their states are read from the owner.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Literal

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.admission import DEFAULT_JOB_MEMORY, AdmissionDesk
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
    ReportLoading,
    ReportRefusal,
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
# Final states never change, so they are cached.
MAX_CACHED_FINAL_STATES = 5000

_log = get_logger("desk")


class JobFrontend:
    """Answers callers on one daemon and calls the owner over the peer channels.

    :param instance: The name of this daemon.
    :param get_owner: Returns the owner on this daemon, ``None`` if this daemon is not
        the owner.
    :param on_owner_epoch: Called with the epoch of each capacity report, which shows
        that its owner is alive.
    :param job_memory: The bound on the memory of all jobs, in bytes.
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
        on_owner_epoch: Callable[[int], None] = lambda epoch: None,
        job_memory: int = DEFAULT_JOB_MEMORY,
    ) -> None:
        self._instance = instance
        self._store = store
        self._peers = peers
        self._leadership = leadership
        self._advisor = advisor
        self._clock = clock
        self._times = times
        self._get_owner = get_owner
        self._on_owner_epoch = on_owner_epoch
        # By the identifier of the job and the caller's account and queue.
        self._final_states: dict[tuple[str, str, str], QueueJobState] = {}
        self._zone_capacities = ZoneCapacities(clock, times.owner_lease)
        self._delegates = Delegates(instance, leadership, clock)
        self._admission = AdmissionDesk(store, peers, leadership, clock, job_memory)
        self._submitter = JobSubmitter(
            store,
            peers,
            leadership,
            clock,
            times,
            declarations,
            self._delegates,
            self._zone_capacities,
            self._admission.refuse,
        )
        peers.register(AnnounceJob, self._handle_announced_job)
        peers.register(ReadJobState, self._handle_read_state)
        peers.register(CancelPoolJob, self._handle_cancel)
        peers.register(CountWaitingJobs, self._handle_count_waiting)
        peers.register(GetAdvice, self._handle_get_advice)
        peers.register(DelegateJobOperation, self._handle_delegated_operation)
        peers.register(ReportCapacity, self._handle_capacity_report)
        peers.register(ReportLoading, self._handle_loading_report)
        peers.register(ReportRefusal, self._handle_refusal_report)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    # Submitting --------------------------------------------------------------

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller = ANONYMOUS
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed | CallRejected:
        """Store a job.

        Jobs with the same identifier are the same job.
        """
        refusal = await self._admission.refuse(queue, identifier, spec, caller)
        if refusal is not None:
            return refusal
        reservation = self._admission.reserve(spec)
        answer = await self._submitter.submit(queue, identifier, spec, caller)
        if isinstance(answer, JobNotAccepted | CallRejected):
            self._admission.release(reservation)
        return answer

    async def _handle_capacity_report(self, peer: str, message: ReportCapacity) -> None:
        self._zone_capacities.update(message)
        self._admission.update(message)
        self._on_owner_epoch(message["epoch"])

    async def _handle_loading_report(self, peer: str, message: ReportLoading) -> None:
        self._admission.record_loading(message)
        self._on_owner_epoch(message["epoch"])

    async def _handle_refusal_report(self, peer: str, message: ReportRefusal) -> None:
        owner = self._get_owner()
        if owner is not None and owner.is_loaded:
            owner.record_refusal(message)

    async def _handle_announced_job(self, peer: str, message: AnnounceJob) -> None:
        owner = self._get_owner()
        if owner is not None and owner.is_loaded:
            try:
                owner.intake.accept_job(message["record"])
            except MessageError as error:
                _log.error(
                    "Failed to decode an announced job.", peer=peer, error=str(error)
                )

    # States ------------------------------------------------------------------

    async def read_state(
        self, identifier: str, caller: Caller = ANONYMOUS
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Return the state of a job; jobs of other accounts count as not found."""
        cached = self._final_states.get((identifier, caller.account, caller.queue))
        if cached is not None:
            return JobStateFound(cached)
        started_at = self._now()
        result = await self._call_owner(ReadJobState, OWNER_TIMEOUT, identifier, caller)
        observe_latency("desk", "state", self._now() - started_at)
        if result is not None:
            return result
        if self._store.is_failing:
            return await self._call_delegates(identifier, "state", caller)
        return await self._read_stored(identifier, caller)

    async def _call_delegates(
        self, identifier: str, operation: Literal["state", "cancel"], caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Let a daemon that the store answers execute a caller's operation."""
        message: DelegateJobOperation = {
            "wish": operation,
            **_build_request(identifier, caller),
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

    async def _handle_delegated_operation(
        self, peer: str, message: DelegateJobOperation
    ) -> DelegateJobOperationReply:
        if self._store.is_failing:
            return {"answer": "untold", "state": "store_failing"}
        execute = self.read_state if message["wish"] == "state" else self.cancel
        result = await execute(message["job"], _read_caller(message))
        if isinstance(result, JobStateFound):
            return {"answer": "state", "state": result.state}
        if isinstance(result, JobNotFound):
            return {"answer": "no_job", "state": ""}
        return {"answer": "untold", "state": result.code}

    async def _call_owner(
        self,
        kind: type[ReadJobState | CancelPoolJob],
        timeout: timedelta,
        identifier: str,
        caller: Caller,
    ) -> JobStateFound | JobNotFound | None:
        """Call the owner about a job; return ``None`` if it can't answer."""
        owner = self._leadership.owner
        if owner is None:
            return None
        message = _build_request(identifier, caller)
        reply = await self._peers.call(owner.instance, message, kind, timeout)
        if not isinstance(reply, Answered):
            return None
        if reply.message.get("is_hidden", False):
            return JobNotFound()
        if not reply.message["state"]:
            return None
        state = QueueJobState(reply.message["state"])
        self._cache_final_state(identifier, caller, state)
        return JobStateFound(state)

    def _cache_final_state(
        self, identifier: str, caller: Caller, state: QueueJobState
    ) -> None:
        if state in FINAL_STATES:
            if len(self._final_states) >= MAX_CACHED_FINAL_STATES:
                del self._final_states[next(iter(self._final_states))]
            self._final_states[identifier, caller.account, caller.queue] = state

    async def _read_stored(
        self, identifier: str, caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Read the stored state of a job, which may be outdated but never wrong."""
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
            _log.error(
                "Failed to decode the progress of a job.",
                id=identifier,
                error=str(error),
            )
            return JobStateUnavailable("unreadable")
        has_started_tasks = record.has_started or bool(record.steps)
        state = QueueJobState.RUNNING if has_started_tasks else QueueJobState.QUEUED
        if record.final:
            state = QueueJobState(record.final)
            self._cache_final_state(identifier, caller, state)
        return JobStateFound(state)

    async def _handle_read_state(
        self, peer: str, message: ReadJobState
    ) -> JobStateReply:
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
        """Cancel a job and return once that is durable."""
        result = await self._call_owner(
            CancelPoolJob, CANCEL_TIMEOUT, identifier, caller
        )
        if result is not None:
            return result
        if self._store.is_failing:
            return await self._call_delegates(identifier, "cancel", caller)
        return await self._store_cancel(identifier, caller)

    async def _store_cancel(
        self, identifier: str, caller: Caller
    ) -> JobStateFound | JobNotFound | JobStateUnavailable:
        """Store a request to cancel, which the owner reads later."""
        deadline = self._now() + self._times.accept_timeout.total_seconds()
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
            if self._now() >= deadline or self._store.is_failing:
                return JobStateUnavailable(getattr(done, "code", "lost"))
            await self._clock.sleep(RETRY_DELAY)

    async def _handle_cancel(self, peer: str, message: CancelPoolJob) -> JobStateReply:
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

    # Counting ----------------------------------------------------------------

    async def count_waiting(self, queue: str) -> int | JobStateUnavailable:
        """Return how many jobs of a queue have not started any task."""
        owner = self._leadership.owner
        if owner is None:
            return JobStateUnavailable("no_owner")
        reply = await self._peers.call(
            owner.instance, {"queue": queue}, CountWaitingJobs, OWNER_TIMEOUT
        )
        if isinstance(reply, Answered) and reply.message["epoch"]:
            return reply.message["count"]
        return JobStateUnavailable("owner_unreachable")

    async def _handle_count_waiting(
        self, peer: str, message: CountWaitingJobs
    ) -> CountWaitingJobsReply:
        owner = self._get_owner()
        if owner is None or not owner.is_loaded or not owner.may_decide():
            return {"epoch": 0, "count": 0}
        count = owner.job_index.count_waiting(message["queue"])
        return {"epoch": owner.term.epoch, "count": count}

    # Advice ------------------------------------------------------------------

    async def _handle_get_advice(self, peer: str, message: GetAdvice) -> GetAdviceReply:
        timeout = timedelta(milliseconds=message["timeout"])
        workers = tuple(message["workers"])
        answer = await self._advisor.request_advice(message["step"], workers, timeout)
        if isinstance(answer, Advice):
            return {"code": "", "consents": [tuple(c) for c in answer.consents]}
        return {"code": answer.code, "consents": []}


def _build_request(identifier: str, caller: Caller) -> ReadJobState:
    return {"job": identifier, "account": caller.account, "queue": caller.queue}


def _read_caller(
    message: ReadJobState | CancelPoolJob | DelegateJobOperation,
) -> Caller:
    return Caller(message.get("account", ""), message.get("queue", ""))


def _may_see(job: Job, caller: Caller) -> bool:
    return caller.may_see(job.record.account, job.queue.name)
