"""Admission control of one daemon: its decisions, their log lines and messages."""

from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.admission.control import (
    AdmissionControl,
    AdmissionRefusal,
)
from damaskdeck.coordination.pools.admission.memory import JobMemory
from damaskdeck.coordination.pools.admission.returns import hash_job
from damaskdeck.coordination.pools.admission.work import estimate_job_work
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_account_job, count_refusal
from damaskdeck.protocol.callresults import (
    MEMORY_CODE,
    OVERLOADED_CODE,
    Caller,
    JobNotAccepted,
)
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.poolmessages import (
    ReportCapacity,
    ReportLoading,
    ReportRefusal,
)
from damaskdeck.protocol.ports import Missing
from damaskdeck.protocol.queues import JobSpec, Queue
from damaskdeck.state.jobrecords import JOBS_PREFIX
from damaskdeck.state.pooljobs import estimate_footprint

_log = get_logger("admission")


# Jobs have to end and be forgotten before there is room for others.
MEMORY_RETRY = timedelta(seconds=10)


class AdmissionDesk:
    """Refuses jobs that would be too late, or that daemons have no memory for.

    :param job_memory: the bound on the memory of all jobs, in bytes.
    """

    def __init__(
        self,
        store: MonitoredStore,
        peers: Peers,
        leadership: Leadership,
        clock: Clock,
        job_memory: int,
    ) -> None:
        self._store = store
        self._peers = peers
        self._leadership = leadership
        self._control = AdmissionControl(clock)
        self._memory = JobMemory(clock, job_memory)

    def update(self, message: ReportCapacity) -> None:
        """Store the report of an owner."""
        self._control.update(message)
        self._memory.update(message)

    def record_loading(self, message: ReportLoading) -> None:
        """Record that an owner has a backlog and starts nothing of it yet."""
        self._control.record_loading(message)

    async def refuse(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller
    ) -> JobNotAccepted | None:
        """Return the refusal of a job, ``None`` if it may be stored.

        A job that an earlier call has stored is not refused, as it may run. If that is
        not known, the job goes on to be stored.
        """
        size = estimate_footprint(spec)
        has_room = size <= self._memory.measure_room()
        refusal = self._control.check(queue, identifier, spec, caller.account)
        if has_room and refusal is None:
            return None
        stored = await self._store.read(JOBS_PREFIX + identifier)
        if not isinstance(stored, Missing):
            return None
        if not has_room:
            self._report_full(queue, identifier, size, caller)
            return JobNotAccepted(MEMORY_CODE, MEMORY_RETRY)
        assert refusal is not None
        self._report(queue, identifier, spec, caller, refusal)
        return JobNotAccepted(OVERLOADED_CODE, refusal.retry)

    def reserve(self, spec: JobSpec) -> int | None:
        """Reserve the memory of a job that is about to be stored.

        :returns: the number of the reservation, ``None`` without room: the job goes on
            only as it may have been stored before.
        """
        size = estimate_footprint(spec)
        has_room = size <= self._memory.measure_room()
        return self._memory.reserve(size) if has_room else None

    def release(self, reservation: int | None) -> None:
        """Cancel the reservation of a job that was not stored."""
        if reservation is not None:
            self._memory.release(reservation)

    def _report_full(
        self, queue: Queue, identifier: str, size: int, caller: Caller
    ) -> None:
        _log.info(
            "A job is refused.",
            id=identifier,
            queue=queue.name,
            account=caller.account,
            code=MEMORY_CODE,
            retry=MEMORY_RETRY.total_seconds(),
            size=size,
            room=self._memory.measure_room(),
            limit=self._memory.limit,
        )
        count_refusal("admission", MEMORY_CODE)
        if caller.account:
            count_account_job(caller.account, "refused")

    def _report(
        self,
        queue: Queue,
        identifier: str,
        spec: JobSpec,
        caller: Caller,
        refusal: AdmissionRefusal,
    ) -> None:
        age = self._control.measure_age()
        _log.info(
            "A job is refused.",
            id=identifier,
            queue=queue.name,
            account=caller.account,
            code=OVERLOADED_CODE,
            wait=round(refusal.wait.total_seconds(), 3),
            retry=round(refusal.retry.total_seconds(), 3),
            outlook_age=round(age.total_seconds(), 3) if age is not None else None,
        )
        count_refusal("admission", OVERLOADED_CODE)
        if caller.account:
            count_account_job(caller.account, "refused")
        owner = self._leadership.owner
        is_busy = self._control.is_owner_limiting or self._control.is_loading
        if owner is None or is_busy:
            # An owner at its limit gets no more messages than it needs.
            return
        work = estimate_job_work(spec)
        message: ReportRefusal = {
            "job": hash_job(identifier),
            "due": round(refusal.retry.total_seconds() * 1000),
            "processors": round(work.processors),
            "memory": round(work.memory),
        }
        self._peers.send(owner.instance, message, ReportRefusal)
