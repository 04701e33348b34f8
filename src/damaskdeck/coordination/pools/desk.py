"""Callers' jobs on any daemon: taken into the store, told of by the owner."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Literal

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.admitting import Admission
from damaskdeck.coordination.pools.confining import ZoneRooms
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.coordination.pools.health import HealthyStore
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.owner import PoolOwner
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal, count_retry, observe_latency
from damaskdeck.protocol.callers import (
    ANYONE,
    BarCode,
    Barred,
    Caller,
    NoJob,
    NotTaken,
    Taken,
    Told,
    Unsettled,
    Untold,
)
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.poolcalls import (
    AdviceReply,
    AskAdvice,
    AskCancel,
    AskFor,
    AskState,
    AskWaiting,
    StateReply,
    Submitted,
    TakeJob,
    TakeReply,
    TellRoom,
    ToldReply,
    WaitingReply,
)
from damaskdeck.protocol.pools import Advice, Advisor
from damaskdeck.protocol.ports import Found, Lost, Missing, Rejected, Written
from damaskdeck.protocol.queues import FINAL_STATES, JobSpec, Queue, QueuedState
from damaskdeck.protocol.transactions import (
    Mismatch,
    Transaction,
    Write,
)
from damaskdeck.state.jobrecords import (
    CANCELS,
    JOBS,
    OWNER_KEY,
    PROGRESS,
    JobRecord,
    decode_job,
    decode_progress,
    encode_record,
)

RETRY_DELAY = timedelta(milliseconds=60)
# Daemons that are asked to store what the store doesn't take from here.
HELPERS = 2
HELP_TIMEOUT = timedelta(milliseconds=450)
# A daemon that didn't answer is not asked for so long.
UNHEARD_SECONDS = 1.0
OWNER_TIMEOUT = timedelta(milliseconds=400)
CANCEL_TIMEOUT = timedelta(milliseconds=1200)
# Final states never change, so entries answer them from memory.
KNOWN_LIMIT = 5000

_log = get_logger("desk")


class JobDesk:
    """Answers callers on one daemon; the owner's part is reached over peers.

    :param instance: this daemon's name.
    :param get_owner: returns this daemon's owner part, if it has the mandate.
    """

    def __init__(
        self,
        instance: str,
        store: HealthyStore,
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
        self._declarations = declarations
        self._admission = Admission(declarations)
        self._get_owner = get_owner
        self._note_owner = note_owner
        # By identifier and caller's account and queue.
        self._known: dict[tuple[str, str, str], QueuedState] = {}
        self._unheard: dict[str, float] = {}
        self._rooms = ZoneRooms(clock, times.lease)
        peers.register(Submitted, self._take_submitted)
        peers.register(AskState, self._tell_state)
        peers.register(AskCancel, self._cancel)
        peers.register(AskWaiting, self._tell_waiting)
        peers.register(AskAdvice, self._ask_advisor)
        peers.register(TakeJob, self._take_for)
        peers.register(AskFor, self._do_for)
        peers.register(TellRoom, self._take_room)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    # Taking ------------------------------------------------------------------

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
        observe_latency("desk", "submit", self._now() - began)
        return done

    async def _store_job(
        self, record: JobRecord, caller: Caller
    ) -> Taken | NotTaken | Unsettled | Barred:
        """Store a job from here; a store that is failing is not even tried.

        The commit expects the document by which the call was judged, so a key that
        was taken away before hands nothing in, whatever this daemon believes.
        """
        until = self._now() + self._times.accept_patience.total_seconds()
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
                self._build(record, expected), self._times.accept_patience
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
            else:
                may_be_stored = may_be_stored or isinstance(done, Lost)
                code = getattr(done, "code", "lapsed")
            if self._now() >= until:
                break
            count_retry("submit", code)
            if not isinstance(done, Mismatch):
                await self._clock.sleep(RETRY_DELAY)
        return Unsettled(code) if may_be_stored else NotTaken(code)

    def _judge_mismatch(
        self, record: JobRecord, caller: Caller, done: Mismatch, sent: float
    ) -> JobRecord | Taken | Barred:
        """Return the record to store in place of one that was refused."""
        if self._declarations.note_mismatch(done, sent):
            queue = self._admission.judge_again(record.queue, record.identifier, caller)
            if isinstance(queue, Barred):
                return queue
            record = record._replace(queue=queue)
        stored = done.find(JOBS + record.identifier)
        if stored is not None:
            is_same = _is_visible(stored.value, caller)
            return Taken() if is_same else Barred(BarCode.IDENTIFIER_IN_USE)
        # Another owner: the job has to be stored for that one.
        self._leadership.refresh(done.find(OWNER_KEY))
        return record

    async def _pass_on(
        self, record: JobRecord, caller: Caller
    ) -> Taken | NotTaken | Unsettled:
        """Let other daemons store a job; the identifier makes it one job."""
        asked = self._choose_helpers()
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

    def _choose_helpers(self) -> list[str]:
        """Choose the owner and another daemon, of those that answered lately."""
        now = self._now()
        owner = self._leadership.owner
        names = self._leadership.list_members()
        if owner is not None and owner.instance in names:
            names.remove(owner.instance)
            names.insert(0, owner.instance)
        rested = [
            name
            for name in names
            if name != self._instance and self._unheard.get(name, 0.0) <= now
        ]
        return rested[:HELPERS]

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
        self._unheard[name] = self._now() + UNHEARD_SECONDS
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

    async def _take_room(self, peer: str, message: TellRoom) -> None:
        self._rooms.take(message)
        self._note_owner(message["epoch"])

    async def _take_submitted(self, peer: str, message: Submitted) -> None:
        owner = self._get_owner()
        if owner is not None and owner.is_loaded:
            try:
                owner.take_job(message["record"])
            except MessageError as error:
                _log.error("A job can't be read.", peer=peer, error=str(error))

    # States ------------------------------------------------------------------

    async def read_state(
        self, identifier: str, caller: Caller = ANYONE
    ) -> Told | NoJob | Untold:
        """Tell the state of a job; one of another account isn't there."""
        known = self._known.get((identifier, caller.account, caller.queue))
        if known is not None:
            return Told(known)
        began = self._now()
        told = await self._ask(AskState, OWNER_TIMEOUT, identifier, caller)
        observe_latency("desk", "state", self._now() - began)
        if told is not None:
            return told
        if self._store.is_failing:
            return await self._ask_for(identifier, "state", caller)
        return await self._read_stored(identifier, caller)

    async def _ask_for(
        self, identifier: str, wish: Literal["state", "cancel"], caller: Caller
    ) -> Told | NoJob | Untold:
        """Let a daemon that the store answers do what the caller wishes."""
        message: AskFor = {
            "job": identifier,
            "wish": wish,
            "account": caller.account,
            "queue": caller.queue,
        }
        for name in self._choose_helpers():
            reply = await self._peers.call(name, message, AskFor, HELP_TIMEOUT)
            if not isinstance(reply, Answered):
                self._unheard[name] = self._now() + UNHEARD_SECONDS
                continue
            answer, state = reply.message["answer"], reply.message["state"]
            if answer == "no_job":
                return NoJob()
            if answer == "state":
                return Told(QueuedState(state))
        return Untold("store_failing")

    async def _do_for(self, peer: str, message: AskFor) -> ToldReply:
        if self._store.is_failing:
            return {"answer": "untold", "state": "store_failing"}
        ask = self.read_state if message["wish"] == "state" else self.cancel
        told = await ask(message["job"], _read_caller(message))
        if isinstance(told, Told):
            return {"answer": "state", "state": told.state}
        if isinstance(told, NoJob):
            return {"answer": "no_job", "state": ""}
        return {"answer": "untold", "state": told.code}

    async def _ask(
        self,
        kind: type[AskState | AskCancel],
        timeout: timedelta,
        identifier: str,
        caller: Caller,
    ) -> Told | NoJob | None:
        """Ask the owner about a job; ``None`` when it can't tell."""
        owner = self._leadership.owner
        if owner is None:
            return None
        message = {
            "job": identifier,
            "account": caller.account,
            "queue": caller.queue,
        }
        reply = await self._peers.call(owner.instance, message, kind, timeout)
        if not isinstance(reply, Answered):
            return None
        if reply.message.get("is_hidden", False):
            return NoJob()
        if not reply.message["state"]:
            return None
        state = QueuedState(reply.message["state"])
        self._remember(identifier, caller, state)
        return Told(state)

    def _remember(self, identifier: str, caller: Caller, state: QueuedState) -> None:
        if state in FINAL_STATES:
            if len(self._known) >= KNOWN_LIMIT:
                del self._known[next(iter(self._known))]
            self._known[identifier, caller.account, caller.queue] = state

    async def _read_stored(
        self, identifier: str, caller: Caller
    ) -> Told | NoJob | Untold:
        """Read what the store knows of a job; it is behind, but never wrong."""
        progress, job = await asyncio.gather(
            self._store.read(PROGRESS + identifier), self._store.read(JOBS + identifier)
        )
        if isinstance(job, Missing):
            return NoJob()
        if isinstance(job, Found) and not _is_visible(job.entry.value, caller):
            return NoJob()
        if not isinstance(job, Found) or isinstance(progress, Rejected | Lost):
            code = getattr(progress, "code", getattr(job, "code", ""))
            return Untold(code)
        if not isinstance(progress, Found):
            return Told(QueuedState.QUEUED)
        try:
            record = decode_progress(progress.entry.value)
        except MessageError as error:
            _log.error("Progress can't be read.", id=identifier, error=str(error))
            return Untold("unreadable")
        has_begun = record.has_started or bool(record.steps)
        state = QueuedState.RUNNING if has_begun else QueuedState.QUEUED
        if record.final:
            state = QueuedState(record.final)
            self._remember(identifier, caller, state)
        return Told(state)

    async def _tell_state(self, peer: str, message: AskState) -> StateReply:
        owner = self._get_owner()
        if owner is None or not owner.is_loaded or not owner.may_decide():
            return {"epoch": 0, "state": ""}
        job = owner.board.jobs.get(message["job"])
        if job is not None and not _may_see(job.record, _read_caller(message)):
            return {"epoch": owner.mandate.epoch, "state": "", "is_hidden": True}
        return {"epoch": owner.mandate.epoch, "state": job.shown if job else ""}

    # Cancelling --------------------------------------------------------------

    async def cancel(
        self, identifier: str, caller: Caller = ANYONE
    ) -> Told | NoJob | Untold:
        """Cancel a job; answers once that is durable."""
        told = await self._ask(AskCancel, CANCEL_TIMEOUT, identifier, caller)
        if told is not None:
            return told
        if self._store.is_failing:
            return await self._ask_for(identifier, "cancel", caller)
        return await self._store_cancel(identifier, caller)

    async def _store_cancel(
        self, identifier: str, caller: Caller
    ) -> Told | NoJob | Untold:
        """Store the wish to cancel, for the owner to find."""
        until = self._now() + self._times.accept_patience.total_seconds()
        key = JOBS + identifier
        while True:
            found = await self._store.read(key)
            if isinstance(found, Missing):
                return NoJob()
            if isinstance(found, Found) and not _is_visible(found.entry.value, caller):
                return NoJob()
            done: object = found
            if isinstance(found, Found):
                done = await self._store.commit(
                    Transaction(
                        ((key, found.entry.revision),),
                        (Write(CANCELS + identifier, b""),),
                    )
                )
                if isinstance(done, Written):
                    return Told(QueuedState.CANCELLED)
            if self._now() >= until or self._store.is_failing:
                return Untold(getattr(done, "code", "lost"))
            await self._clock.sleep(RETRY_DELAY)

    async def _cancel(self, peer: str, message: AskCancel) -> StateReply:
        owner = self._get_owner()
        if owner is None or not owner.is_loaded:
            return {"epoch": 0, "state": ""}
        job = owner.board.jobs.get(message["job"])
        if job is None:
            return {"epoch": owner.mandate.epoch, "state": ""}
        if not _may_see(job.record, _read_caller(message)):
            return {"epoch": owner.mandate.epoch, "state": "", "is_hidden": True}
        state = await owner.cancel_durably(job)
        return {"epoch": owner.mandate.epoch, "state": state}

    # Numbers -----------------------------------------------------------------

    async def count_waiting(self, queue: str) -> int | Untold:
        """Tell how many jobs of a queue have started nothing."""
        owner = self._leadership.owner
        if owner is None:
            return Untold("no_owner")
        reply = await self._peers.call(
            owner.instance, {"queue": queue}, AskWaiting, OWNER_TIMEOUT
        )
        if isinstance(reply, Answered) and reply.message["epoch"]:
            return reply.message["count"]
        return Untold("owner_unreachable")

    async def _tell_waiting(self, peer: str, message: AskWaiting) -> WaitingReply:
        owner = self._get_owner()
        if owner is None or not owner.is_loaded or not owner.may_decide():
            return {"epoch": 0, "count": 0}
        count = owner.board.count_waiting(message["queue"])
        return {"epoch": owner.mandate.epoch, "count": count}

    # Advice ------------------------------------------------------------------

    async def _ask_advisor(self, peer: str, message: AskAdvice) -> AdviceReply:
        timeout = timedelta(milliseconds=message["timeout"])
        workers = tuple(message["workers"])
        answer = await self._advisor.ask(message["step"], workers, timeout)
        if isinstance(answer, Advice):
            return {"code": "", "consents": [tuple(c) for c in answer.consents]}
        return {"code": answer.code, "consents": []}


def _read_caller(message: AskState | AskCancel | AskFor) -> Caller:
    return Caller(message.get("account", ""), message.get("queue", ""))


def _may_see(record: JobRecord, caller: Caller) -> bool:
    return caller.may_see(record.account, record.queue.name)


def _is_visible(stored: bytes, caller: Caller) -> bool:
    """Whether a job as stored is one that the caller may know of."""
    try:
        return _may_see(decode_job(stored), caller)
    except MessageError:
        # Nobody's work can be told from it; that it can't be read the owner tells.
        return True
