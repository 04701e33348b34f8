"""Callers' jobs stored from any daemon, or by others where the store turns it away."""

import asyncio
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
from damaskdeck.protocol.ports import Lost, Written
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
# Daemons that are asked to store what the store doesn't take from here.
DELEGATE_COUNT = 2
DELEGATE_TIMEOUT = timedelta(milliseconds=450)

_log = get_logger("desk")


class JobSubmitter:
    """Stores jobs.

    :param rooms: where jobs are confined to.
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
        rooms: ZoneCapacities,
    ) -> None:
        self._store = store
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._times = times
        self._declarations = declarations
        self._authorizer = CallAuthorizer(declarations)
        self._delegates = delegates
        self._rooms = rooms
        peers.register(StoreJob, self._take_for)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller = ANONYMOUS
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed | CallRejected:
        """Store a job; the same identifier is the same job.

        Where the store doesn't answer this daemon, others are asked to store it.
        """
        began = self._now()
        zones = self._rooms.choose(queue, identifier, spec)
        record = JobRecord(identifier, queue, spec, 0, 0.0, zones, caller.account)
        done = await self._store_job(record, caller)
        if not isinstance(done, JobAccepted | CallRejected):
            is_unsettled = isinstance(done, JobUnconfirmed)
            passed = await self._pass_on(record, caller)
            if isinstance(passed, JobAccepted | JobUnconfirmed) or not is_unsettled:
                done = passed
        if not isinstance(done, JobAccepted):
            is_unsettled = isinstance(done, JobUnconfirmed)
            _log.info(
                "Not taken.",
                id=identifier,
                reason=done.code,
                unsettled=is_unsettled,
                account=caller.account,
            )
            count_refusal("submit", done.code)
            if caller.account:
                count_account_job(caller.account, "refused")
        observe_latency("desk", "submit", self._now() - began)
        return done

    async def _store_job(
        self, record: JobRecord, caller: Caller
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed | CallRejected:
        """Store a job from here; a store that is failing is not even tried.

        The commit expects the document by which the call was judged, so a key that
        was taken away before hands nothing in, whatever this daemon believes.
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
            sent, expected = self._now(), self._declarations.expected
            done = await self._store.commit(
                self._build(record, expected),
                self._times.accept_timeout,
                MAX_COMMIT_REPLY_BYTES if expected else None,
            )
            if isinstance(done, Written):
                self._declarations.confirm(expected, sent)
                self._tell_owner(record)
                return JobAccepted()
            if isinstance(done, Mismatch):
                judged = self._judge_mismatch(record, caller, done, sent)
                if not isinstance(judged, JobRecord):
                    return judged
                record = judged
                code = "document_or_owner_changing"
            elif isinstance(done, ReplyTooLarge):
                self._declarations.handle_unread_document()
                code = "document_changing"
            else:
                may_be_stored = may_be_stored or isinstance(done, Lost)
                code = getattr(done, "code", "lapsed")
            if self._now() >= until:
                break
            count_retry("submit", code)
            if expected == self._declarations.expected:
                # Else it was judged anew, and there is nothing to wait for.
                await self._clock.sleep(RETRY_DELAY)
        return JobUnconfirmed(code) if may_be_stored else JobNotAccepted(code)

    def _judge_mismatch(
        self, record: JobRecord, caller: Caller, done: Mismatch, sent: float
    ) -> JobRecord | JobAccepted | CallRejected:
        """Return the record to store in place of one that was refused.

        What is stored comes first: a try without an answer may have stored it under
        the document before, and then it runs. Under another document none can any more.
        """
        has_changed = self._declarations.handle_mismatch(done, sent)
        stored = done.find(JOBS_PREFIX + record.identifier)
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
        # Another owner: the job has to be stored for that one.
        self._leadership.refresh(done.find(OWNER_KEY))
        return record

    async def _pass_on(
        self, record: JobRecord, caller: Caller
    ) -> JobAccepted | JobNotAccepted | JobUnconfirmed:
        """Let other daemons store a job; the identifier makes it one job."""
        asked = self._delegates.choose(DELEGATE_COUNT)
        calls = [
            asyncio.ensure_future(self._ask_to_take(name, record, caller))
            for name in asked
        ]
        result: JobAccepted | JobNotAccepted | JobUnconfirmed = JobNotAccepted(
            "store_failing"
        )
        for call in asyncio.as_completed(calls):
            done = await call
            if isinstance(done, JobAccepted):
                return done
            if isinstance(done, JobUnconfirmed) or isinstance(result, JobNotAccepted):
                result = done
        return result

    async def _ask_to_take(
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
            return (
                JobUnconfirmed(code) if outcome == "unsettled" else JobNotAccepted(code)
            )
        self._delegates.suspend(name)
        if isinstance(reply, Unsent):
            return JobNotAccepted(reply.code)
        return JobUnconfirmed(reply.code)

    async def _take_for(self, peer: str, message: StoreJob) -> StoreJobReply:
        try:
            record = decode_job(message["record"])
        except MessageError as error:
            _log.error("A job can't be read.", peer=peer, error=str(error))
            return {"outcome": "not_taken", "code": "unreadable"}
        caller = Caller(record.account, record.queue.name, message.get("digest", b""))
        queue = self._authorizer.reauthorize(record.queue, record.identifier, caller)
        done = queue
        if not isinstance(queue, CallRejected):
            done = await self._store_job(record._replace(queue=queue), caller)
        if isinstance(done, JobAccepted):
            return {"outcome": "taken", "code": ""}
        is_unsettled = isinstance(done, JobUnconfirmed)
        outcome = "unsettled" if is_unsettled else "not_taken"
        return {"outcome": outcome, "code": done.code}

    def _build(
        self, record: JobRecord, expected: tuple[tuple[str, int], ...]
    ) -> Transaction:
        key = JOBS_PREFIX + record.identifier
        owner = (OWNER_KEY, self._leadership.owner_revision)
        return Transaction(
            (owner, (key, 0), *expected), (Write(key, encode_record(record)),)
        )

    def _tell_owner(self, record: JobRecord) -> None:
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
    """Whether a job as stored is one that the caller may know of."""
    try:
        record = decode_job(stored)
    except MessageError:
        # Nobody's work can be told from it; that it can't be read the owner tells.
        return True
    return caller.may_see(record.account, record.queue.name)
