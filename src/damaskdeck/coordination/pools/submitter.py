"""Storing of callers' jobs, by another daemon if the store does not serve this one."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.authorization import CallAuthorizer
from damaskdeck.coordination.pools.declarations import (
    MAX_COMMIT_REPLY_BYTES,
    Declarations,
)
from damaskdeck.coordination.pools.delegates import Delegates
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.zoneconfinement import ZoneCapacities
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import (
    count_account_job,
    count_refusal,
    count_retry,
    observe_latency,
)
from damaskdeck.protocol.callresults import (
    ANONYMOUS,
    Caller,
    CallRejected,
    CallRejectionCode,
    JobAccepted,
    JobNotAccepted,
    JobUnconfirmed,
)
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.poolmessages import AnnounceJob, StoreJob, StoreJobReply
from damaskdeck.protocol.ports import INVALID_CALL, Lost, Written
from damaskdeck.protocol.queues import JobSpec, Queue
from damaskdeck.protocol.transactions import Mismatch, ReplyTooLarge, Transaction, Write
from damaskdeck.state.jobrecords import (
    JOBS_PREFIX,
    OWNER_KEY,
    JobRecord,
    decode_job,
    encode_record,
)

RETRY_DELAY = timedelta(milliseconds=60)
# Number of daemons to which a job is delegated that this daemon can't store.
DELEGATE_COUNT = 2
DELEGATE_TIMEOUT = timedelta(milliseconds=450)

_log = get_logger("desk")

RefuseJob = Callable[[Queue, str, JobSpec, Caller], Awaitable[JobNotAccepted | None]]


async def _refuse_nothing(
    queue: Queue, identifier: str, spec: JobSpec, caller: Caller
) -> None:
    """Refuse no job."""


class JobSubmitter:
    """Stores jobs.

    :param zone_capacities: chooses the zones that a job is confined to.
    :param refuse: returns the refusal of a job that another daemon delegates, ``None``
        if it may be stored.
    """

    def __init__(
        self,
        store: MonitoredStore,
        peers: Peers,
        leadership: Leadership,
        clock: Clock,
        times: PoolTimes,
        declarations: Declarations,
        delegates: Delegates,
        zone_capacities: ZoneCapacities,
        refuse: RefuseJob = _refuse_nothing,
    ) -> None:
        self._refuse = refuse
        self._store = store
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._times = times
        self._declarations = declarations
        self._authorizer = CallAuthorizer(declarations)
        self._delegates = delegates
        self._zone_capacities = zone_capacities
        peers.register(StoreJob, self._handle_store_job)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller = ANONYMOUS
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed | CallRejected:
        """Store a job; the same identifier is the same job.

        If the store does not answer this daemon, the job is delegated to others.
        """
        started_at = self._now()
        zones = self._zone_capacities.choose(queue, identifier, spec)
        record = JobRecord(identifier, queue, spec, 0, 0.0, zones, caller.account)
        answer = await self._store_job(record, caller)
        if not isinstance(answer, JobAccepted | CallRejected):
            is_unconfirmed = isinstance(answer, JobUnconfirmed)
            delegated = await self._delegate(record, caller)
            if (
                isinstance(delegated, JobAccepted | JobUnconfirmed)
                or not is_unconfirmed
            ):
                answer = delegated
        if not isinstance(answer, JobAccepted):
            is_unconfirmed = isinstance(answer, JobUnconfirmed)
            _log.info(
                "A job was not accepted.",
                id=identifier,
                reason=answer.code,
                unsettled=is_unconfirmed,
                account=caller.account,
            )
            count_refusal("submit", answer.code)
            if caller.account:
                count_account_job(caller.account, "refused")
        observe_latency("desk", "submit", self._now() - started_at)
        return answer

    async def _store_job(
        self, record: JobRecord, caller: Caller
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed | CallRejected:
        """Store a job from this daemon; no call is made while the store is failing.

        The commit expects the document that the caller was authorized by. So a key that
        was revoked before can't submit a job, however outdated this daemon's document
        is.
        """
        until = self._now() + self._times.accept_timeout.total_seconds()
        may_be_stored = False
        code = "store_failing"
        while not self._store.is_failing:
            owner = self._leadership.owner
            record = record._replace(
                epoch=owner.epoch if owner else 0,
                accepted_at=self._clock.now().timestamp(),
            )
            sent_at, expected = self._now(), self._declarations.expected
            answer = await self._store.commit(
                self._build_transaction(record, expected),
                self._times.accept_timeout,
                MAX_COMMIT_REPLY_BYTES if expected else None,
            )
            if isinstance(answer, Written):
                self._declarations.confirm(expected, sent_at)
                self._announce(record)
                return JobAccepted()
            if isinstance(answer, Mismatch):
                resolved = self._resolve_mismatch(record, caller, answer, sent_at)
                if not isinstance(resolved, JobRecord):
                    return resolved
                record = resolved
                code = "document_or_owner_changing"
            elif isinstance(answer, ReplyTooLarge):
                self._declarations.handle_unread_document()
                code = "document_changing"
            else:
                may_be_stored = may_be_stored or isinstance(answer, Lost)
                code = getattr(answer, "code", "lapsed")
            if self._now() >= until or code == INVALID_CALL:
                break
            count_retry("submit", code)
            if expected == self._declarations.expected:
                # Otherwise the document has changed, so the call was usually authorized
                # again, and there is nothing to wait for.
                await self._clock.sleep(RETRY_DELAY)
        return JobUnconfirmed(code) if may_be_stored else JobNotAccepted(code)

    def _resolve_mismatch(
        self, record: JobRecord, caller: Caller, answer: Mismatch, sent_at: float
    ) -> JobRecord | JobAccepted | CallRejected:
        """Return the record to store in place of one whose commit was refused.

        A stored job takes precedence: an attempt without an answer may have stored it
        under the previous document, so that it runs. Once the document has changed, no
        earlier attempt can store it any more.
        """
        has_changed = self._declarations.handle_mismatch(answer, sent_at)
        stored = answer.find(JOBS_PREFIX + record.identifier)
        if stored is not None:
            is_same = is_visible(stored.value, caller)
            return (
                JobAccepted()
                if is_same
                else CallRejected(CallRejectionCode.IDENTIFIER_IN_USE)
            )
        if has_changed:
            queue = self._authorizer.reauthorize(
                record.queue, record.identifier, caller
            )
            if isinstance(queue, CallRejected):
                return queue
            record = record._replace(queue=queue)
        # If the owner has changed, the job has to be stored for the new owner.
        self._leadership.refresh(answer.find(OWNER_KEY))
        return record

    async def _delegate(
        self, record: JobRecord, caller: Caller
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed:
        """Let other daemons store a job; its identifier prevents duplicates."""
        delegates = self._delegates.choose(DELEGATE_COUNT)
        calls = [
            asyncio.ensure_future(self._delegate_to(name, record, caller))
            for name in delegates
        ]
        result: JobAccepted | JobNotAccepted | JobUnconfirmed = JobNotAccepted(
            "store_failing"
        )
        for call in asyncio.as_completed(calls):
            answer = await call
            if isinstance(answer, JobAccepted):
                return answer
            if isinstance(answer, JobUnconfirmed) or isinstance(result, JobNotAccepted):
                result = answer
        return result

    async def _delegate_to(
        self, name: str, record: JobRecord, caller: Caller
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed:
        message: StoreJob = {
            "record": encode_record(record),
            "digest": caller.digest,
        }
        reply = await self._peers.call(name, message, StoreJob, DELEGATE_TIMEOUT)
        if isinstance(reply, Answered):
            outcome, code = reply.message["outcome"], reply.message["code"]
            if outcome == "taken":
                return JobAccepted()
            if outcome == "unsettled":
                return JobUnconfirmed(code)
            retry = reply.message.get("retry")
            if retry is None:
                return JobNotAccepted(code)
            return JobNotAccepted(code, timedelta(milliseconds=retry))
        self._delegates.suspend(name)
        if isinstance(reply, Unsent):
            return JobNotAccepted(reply.code)
        return JobUnconfirmed(reply.code)

    async def _handle_store_job(self, peer: str, message: StoreJob) -> StoreJobReply:
        try:
            record = decode_job(message["record"])
        except MessageError as error:
            _log.error("A delegated job can't be decoded.", peer=peer, error=str(error))
            return {"outcome": "not_taken", "code": "unreadable"}
        caller = Caller(record.account, record.queue.name, message.get("digest", b""))
        queue = self._authorizer.reauthorize(record.queue, record.identifier, caller)
        answer = queue
        if not isinstance(queue, CallRejected):
            # A daemon that the store turns away can't know whether the job is stored.
            refusal = await self._refuse(queue, record.identifier, record.spec, caller)
            if refusal is not None:
                return {
                    "outcome": "not_taken",
                    "code": refusal.code,
                    "retry": round(refusal.retry / timedelta(milliseconds=1)),
                }
            answer = await self._store_job(record._replace(queue=queue), caller)
        if isinstance(answer, JobAccepted):
            return {"outcome": "taken", "code": ""}
        is_unconfirmed = isinstance(answer, JobUnconfirmed)
        outcome = "unsettled" if is_unconfirmed else "not_taken"
        return {"outcome": outcome, "code": answer.code}

    def _build_transaction(
        self, record: JobRecord, expected: tuple[tuple[str, int], ...]
    ) -> Transaction:
        key = JOBS_PREFIX + record.identifier
        owner = (OWNER_KEY, self._leadership.owner_revision)
        return Transaction(
            (owner, (key, 0), *expected), (Write(key, encode_record(record)),)
        )

    def _announce(self, record: JobRecord) -> None:
        _log.info(
            "Taken.",
            id=record.identifier,
            queue=record.queue.name,
            account=record.account,
        )
        owner = self._leadership.owner
        if owner is not None:
            message: AnnounceJob = {"record": encode_record(record)}
            self._peers.send(owner.instance, message, AnnounceJob)


def is_visible(stored: bytes, caller: Caller) -> bool:
    """Whether a caller may know of a stored job."""
    try:
        record = decode_job(stored)
    except MessageError:
        # The account of an unreadable record is unknown; the owner reports that it is
        # unreadable.
        return True
    return caller.may_see(record.account, record.queue.name)
