"""Callers' jobs stored from any daemon, or by others where the store turns it away."""

import asyncio
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.admitting import Admission
from damaskdeck.coordination.pools.confining import ZoneRooms
from damaskdeck.coordination.pools.declarations import (
    COMMIT_ANSWER_BYTES,
    Declarations,
)
from damaskdeck.coordination.pools.health import HealthyStore
from damaskdeck.coordination.pools.helpers import Helpers
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import (
    count_account_job,
    count_refusal,
    count_retry,
    observe_latency,
)
from damaskdeck.protocol.callers import (
    ANYONE,
    BarCode,
    Barred,
    Caller,
    NotTaken,
    Taken,
    Unsettled,
)
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.poolcalls import Submitted, TakeJob, TakeReply
from damaskdeck.protocol.ports import Lost, Written
from damaskdeck.protocol.queues import JobSpec, Queue
from damaskdeck.protocol.transactions import Mismatch, TooLong, Transaction, Write
from damaskdeck.state.jobrecords import (
    JOBS,
    OWNER_KEY,
    JobRecord,
    decode_job,
    encode_record,
)

RETRY_DELAY = timedelta(milliseconds=60)
# Daemons that are asked to store what the store doesn't take from here.
HELPERS = 2
HELP_TIMEOUT = timedelta(milliseconds=450)

_log = get_logger("desk")


class JobStoring:
    """Stores jobs.

    :param rooms: where jobs are confined to.
    """

    def __init__(
        self,
        store: HealthyStore,
        peers: Peers,
        leadership: Leadership,
        clock: Clock,
        times: PoolTimes,
        declarations: Declarations,
        helpers: Helpers,
        rooms: ZoneRooms,
    ) -> None:
        self._store = store
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._times = times
        self._declarations = declarations
        self._admission = Admission(declarations)
        self._helpers = helpers
        self._rooms = rooms
        peers.register(TakeJob, self._take_for)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller = ANYONE
    ) -> Taken | NotTaken | Unsettled | Barred:
        """Store a job; the same identifier is the same job.

        Where the store doesn't answer this daemon, others are asked to store it.
        """
        began = self._now()
        zones = self._rooms.choose(queue, identifier, spec)
        record = JobRecord(identifier, queue, spec, 0, 0.0, zones, caller.account)
        done = await self._store_job(record, caller)
        if not isinstance(done, Taken | Barred):
            is_unsettled = isinstance(done, Unsettled)
            passed = await self._pass_on(record, caller)
            if isinstance(passed, Taken | Unsettled) or not is_unsettled:
                done = passed
        if not isinstance(done, Taken):
            is_unsettled = isinstance(done, Unsettled)
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
    ) -> Taken | NotTaken | Unsettled | Barred:
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
                taken_at=self._clock.now().timestamp(),
            )
            sent, expected = self._now(), self._declarations.expected
            done = await self._store.commit(
                self._build(record, expected),
                self._times.accept_timeout,
                COMMIT_ANSWER_BYTES if expected else None,
            )
            if isinstance(done, Written):
                self._declarations.confirm(expected, sent)
                self._tell_owner(record)
                return Taken()
            if isinstance(done, Mismatch):
                judged = self._judge_mismatch(record, caller, done, sent)
                if not isinstance(judged, JobRecord):
                    return judged
                record = judged
                code = "document_or_owner_changing"
            elif isinstance(done, TooLong):
                self._declarations.note_unread()
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
        return Unsettled(code) if may_be_stored else NotTaken(code)

    def _judge_mismatch(
        self, record: JobRecord, caller: Caller, done: Mismatch, sent: float
    ) -> JobRecord | Taken | Barred:
        """Return the record to store in place of one that was refused.

        What is stored comes first: a try without an answer may have stored it under
        the document before, and then it runs. Under another document none can any more.
        """
        has_changed = self._declarations.note_mismatch(done, sent)
        stored = done.find(JOBS + record.identifier)
        if stored is not None:
            is_same = is_visible(stored.value, caller)
            return Taken() if is_same else Barred(BarCode.IDENTIFIER_IN_USE)
        if has_changed:
            queue = self._admission.judge_again(record.queue, record.identifier, caller)
            if isinstance(queue, Barred):
                return queue
            record = record._replace(queue=queue)
        # Another owner: the job has to be stored for that one.
        self._leadership.refresh(done.find(OWNER_KEY))
        return record

    async def _pass_on(
        self, record: JobRecord, caller: Caller
    ) -> Taken | NotTaken | Unsettled:
        """Let other daemons store a job; the identifier makes it one job."""
        asked = self._helpers.choose(HELPERS)
        calls = [
            asyncio.ensure_future(self._ask_to_take(name, record, caller))
            for name in asked
        ]
        result: Taken | NotTaken | Unsettled = NotTaken("store_failing")
        for call in asyncio.as_completed(calls):
            done = await call
            if isinstance(done, Taken):
                return done
            if isinstance(done, Unsettled) or isinstance(result, NotTaken):
                result = done
        return result

    async def _ask_to_take(
        self, name: str, record: JobRecord, caller: Caller
    ) -> Taken | NotTaken | Unsettled:
        message: TakeJob = {
            "record": encode_record(record),
            "digest": caller.digest,
        }
        reply = await self._peers.call(name, message, TakeJob, HELP_TIMEOUT)
        if isinstance(reply, Answered):
            outcome, code = reply.message["outcome"], reply.message["code"]
            if outcome == "taken":
                return Taken()
            return Unsettled(code) if outcome == "unsettled" else NotTaken(code)
        self._helpers.rest(name)
        if isinstance(reply, Unsent):
            return NotTaken(reply.code)
        return Unsettled(reply.code)

    async def _take_for(self, peer: str, message: TakeJob) -> TakeReply:
        try:
            record = decode_job(message["record"])
        except MessageError as error:
            _log.error("A job can't be read.", peer=peer, error=str(error))
            return {"outcome": "not_taken", "code": "unreadable"}
        caller = Caller(record.account, record.queue.name, message.get("digest", b""))
        queue = self._admission.judge_again(record.queue, record.identifier, caller)
        done = queue
        if not isinstance(queue, Barred):
            done = await self._store_job(record._replace(queue=queue), caller)
        if isinstance(done, Taken):
            return {"outcome": "taken", "code": ""}
        is_unsettled = isinstance(done, Unsettled)
        outcome = "unsettled" if is_unsettled else "not_taken"
        return {"outcome": outcome, "code": done.code}

    def _build(
        self, record: JobRecord, expected: tuple[tuple[str, int], ...]
    ) -> Transaction:
        key = JOBS + record.identifier
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
            message: Submitted = {"record": encode_record(record)}
            self._peers.send(owner.instance, message, Submitted)


def is_visible(stored: bytes, caller: Caller) -> bool:
    """Whether a job as stored is one that the caller may know of."""
    try:
        record = decode_job(stored)
    except MessageError:
        # Nobody's work can be told from it; that it can't be read the owner tells.
        return True
    return caller.may_see(record.account, record.queue.name)
