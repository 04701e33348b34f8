"""Callers' jobs on any daemon: taken into the store, told of by the owner."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Literal

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.confining import ZoneRooms
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.coordination.pools.health import HealthyStore
from damaskdeck.coordination.pools.helpers import Helpers
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.owner import PoolOwner
from damaskdeck.coordination.pools.storing import (
    HELP_TIMEOUT,
    HELPERS,
    RETRY_DELAY,
    JobStoring,
    is_visible,
)
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import observe_latency
from damaskdeck.protocol.callers import (
    ANYONE,
    Barred,
    Caller,
    NoJob,
    NotTaken,
    Taken,
    Told,
    Unsettled,
    Untold,
)
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.poolcalls import (
    AdviceReply,
    AskAdvice,
    AskCancel,
    AskFor,
    AskState,
    AskWaiting,
    StateReply,
    Submitted,
    TellRoom,
    ToldReply,
    WaitingReply,
)
from damaskdeck.protocol.pools import Advice, Advisor
from damaskdeck.protocol.ports import Found, Lost, Missing, Rejected, Written
from damaskdeck.protocol.queues import FINAL_STATES, JobSpec, Queue, QueuedState
from damaskdeck.protocol.transactions import (
    Transaction,
    Write,
)
from damaskdeck.state.board import Job
from damaskdeck.state.jobrecords import (
    CANCELS,
    JOBS,
    PROGRESS,
    decode_progress,
)

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
        self._get_owner = get_owner
        self._note_owner = note_owner
        # By identifier and caller's account and queue.
        self._known: dict[tuple[str, str, str], QueuedState] = {}
        self._rooms = ZoneRooms(clock, times.lease)
        self._helpers = Helpers(instance, leadership, clock)
        self._storing = JobStoring(
            store,
            peers,
            leadership,
            clock,
            times,
            declarations,
            self._helpers,
            self._rooms,
        )
        peers.register(Submitted, self._take_submitted)
        peers.register(AskState, self._tell_state)
        peers.register(AskCancel, self._cancel)
        peers.register(AskWaiting, self._tell_waiting)
        peers.register(AskAdvice, self._ask_advisor)
        peers.register(AskFor, self._do_for)
        peers.register(TellRoom, self._take_room)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    # Taking ------------------------------------------------------------------

    async def submit(
        self, queue: Queue, identifier: str, spec: JobSpec, caller: Caller = ANYONE
    ) -> Taken | NotTaken | Unsettled | Barred:
        """Store a job; the same identifier is the same job."""
        return await self._storing.submit(queue, identifier, spec, caller)

    async def _take_room(self, peer: str, message: TellRoom) -> None:
        self._rooms.take(message)
        self._note_owner(message["epoch"])

    async def _take_submitted(self, peer: str, message: Submitted) -> None:
        owner = self._get_owner()
        if owner is not None and owner.is_loaded:
            try:
                owner.intake.take_job(message["record"])
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
        message: AskFor = {"wish": wish, **_write_asked(identifier, caller)}
        for name in self._helpers.choose(HELPERS):
            reply = await self._peers.call(name, message, AskFor, HELP_TIMEOUT)
            if not isinstance(reply, Answered):
                self._helpers.rest(name)
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
        message = _write_asked(identifier, caller)
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
        if isinstance(job, Found) and not is_visible(job.entry.value, caller):
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
        if job is not None and not _may_see(job, _read_caller(message)):
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
        until = self._now() + self._times.accept_timeout.total_seconds()
        key = JOBS + identifier
        while True:
            found = await self._store.read(key)
            if isinstance(found, Missing):
                return NoJob()
            if isinstance(found, Found) and not is_visible(found.entry.value, caller):
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
        if not _may_see(job, _read_caller(message)):
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


def _write_asked(identifier: str, caller: Caller) -> AskState:
    return {"job": identifier, "account": caller.account, "queue": caller.queue}


def _read_caller(message: AskState | AskCancel | AskFor) -> Caller:
    return Caller(message.get("account", ""), message.get("queue", ""))


def _may_see(job: Job, caller: Caller) -> bool:
    return caller.may_see(job.record.account, job.queue.name)
