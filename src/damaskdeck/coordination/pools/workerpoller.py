"""The polling of one incarnation of a worker, with its lease and its birth."""

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from damaskdeck.coordination.pools.births import BirthMatch
from damaskdeck.coordination.pools.inventories import (
    ContactOwner,
    apply_inventory,
    log_lost_run,
)
from damaskdeck.coordination.pools.overload import choose_poll_wait
from damaskdeck.coordination.pools.workerorders import WorkerOrders
from damaskdeck.coordination.pools.workersession import WorkerSession
from damaskdeck.logs import get_logger
from damaskdeck.metrics import observe_latency
from damaskdeck.protocol.pools import Declined, Replaced, WorkerTasks
from damaskdeck.protocol.ports import OTHER_CONNECTION, Lost, Rejected

if TYPE_CHECKING:
    from damaskdeck.coordination.pools.contacts import WorkerContact

# The delay between two polls of a worker that doesn't answer or whose ends can't be
# stored.
FAILED_POLL_DELAY = timedelta(milliseconds=150)
# A worker whose answer is late by this much gets no orders, because each order that
# stays without an answer binds capacity until the lease has expired.
LATE_ANSWER_SECONDS = 0.15
# A poll is held for no longer than this share of the lease that it grants.
MAX_HELD_SHARE = 0.3

_log = get_logger("contacts")

PollResult = WorkerTasks | Declined | Replaced | Rejected | Lost | None


class WorkerPoller:
    """Polls a worker until everything on it is settled.

    :ivar answer_due: The monotonic time in seconds from which the answer to the current
        poll is late.
    :ivar failed_polls: The number of failed polls since the last answer.
    """

    def __init__(
        self,
        contact: "WorkerContact",
        session: WorkerSession,
        orders: WorkerOrders,
        owner: ContactOwner,
    ) -> None:
        self.answer_due = float("inf")
        self.failed_polls = 0
        self._contact = contact
        self._session = session
        self._orders = orders
        self._owner = owner
        # Whether every lease that any owner may have granted has expired, and no other
        # owner can have granted one since.
        self._has_expired = False

    async def run(self) -> None:
        """Renew the worker's lease and receive its ends until the incarnation ends."""
        contact = self._contact
        try:
            while not contact.is_gone and (contact.is_listed or self._may_have_runs()):
                await self._poll()
            while contact.runs or contact.unknown_runs:
                await self._settle_incarnation()
            while contact.moved_runs:
                await self._session.clock.sleep(FAILED_POLL_DELAY)
        finally:
            self._orders.close()

    def _may_have_runs(self) -> bool:
        """Whether the contact must be kept: runs may exist or ends are not yet durable.

        A worker that is reconciled runs only what is known here.
        Its lease is therefore not waited for: a worker that left empty must not delay a
        successor, which can't poll it any more.
        """
        contact = self._contact
        if (
            contact.runs
            or contact.unknown_runs
            or contact.last_durable_end < contact.last_received_end
            or (self._orders.passed.due_stops and not self._has_expired)
        ):
            return True
        return not contact.is_reconciled and not self._has_expired

    async def _poll(self) -> None:
        contact, session = self._contact, self._session
        sent_at = session.now()
        # The next incarnation would count its own ends as observed, and extend its
        # lease by a time on the clock of this one.
        is_confirmed = session.birth.is_confirmed
        deadline = self._find_deadline() if is_confirmed else None
        is_idle = deadline is None and not (
            contact.is_synchronized and contact.is_cordoned
        )
        wait = timedelta()
        if is_confirmed and not is_idle:
            wait = choose_poll_wait(session.times, session.delay)
            if deadline is not None:
                wait = min(wait, MAX_HELD_SHARE * self._measure_remaining(deadline))
        if session.poll_soon.is_set():
            session.poll_soon.clear()
            wait = timedelta()
        self.answer_due = sent_at + wait.total_seconds() + LATE_ANSWER_SECONDS
        observed = contact.last_durable_end if is_confirmed else 0
        answer = await self._call_poll(observed, deadline, wait)
        if answer is None:
            # The poll was cut short here, which says nothing about the worker.
            return
        if answer == Rejected(OTHER_CONNECTION):
            # The next poll asks for the birth over a new connection.
            session.birth.forget_answers()
            return
        now = session.now()
        if isinstance(answer, WorkerTasks):
            self.answer_due = float("inf")
            if await self._check_birth(answer, now):
                await self._handle_tasks(answer, sent_at, now, is_confirmed)
        elif isinstance(answer, Replaced):
            contact.end_incarnation()
        else:
            await self._handle_failed_poll(answer, now)

    async def _check_birth(self, answer: WorkerTasks, now: float) -> bool:
        """Return whether a list of runs is of this incarnation."""
        contact, session = self._contact, self._session
        if contact.is_gone and session.birth.is_reported:
            return False
        match = session.birth.match(answer.born, answer.connection)
        if match is BirthMatch.MISSING:
            await self._handle_failed_poll(Lost("no_birth"), now)
        elif match is BirthMatch.OTHER and answer.born is not None:
            self._owner.handle_next_incarnation(contact, answer.born)
        return match is BirthMatch.SAME

    def _find_deadline(self) -> timedelta | None:
        """Return the deadline to extend the lease to, by the worker's clock.

        The lease of a silent worker is not extended: it might be extended without an
        answer, and then its runs could not be abandoned.
        """
        contact, session = self._contact, self._session
        if not contact.is_synchronized or not contact.may_extend_lease:
            return None
        return session.extend_lease(session.times.lease)

    def _measure_remaining(self, deadline: timedelta) -> timedelta:
        """Return the time left until a deadline by the worker's clock."""
        session = self._session
        remaining = deadline - session.lease.estimate_clock(session.now())
        return max(remaining, timedelta())

    async def _call_poll(
        self, observed: int, deadline: timedelta | None, wait: timedelta
    ) -> PollResult:
        """Poll the worker; return ``None`` if it should be polled again at once."""
        session = self._session
        call = asyncio.ensure_future(
            session.port.poll(
                self._contact.info,
                session.epoch,
                observed,
                deadline,
                wait,
                session.birth.connection,
            )
        )
        if not wait:
            return await call
        soon = asyncio.ensure_future(session.poll_soon.wait())
        try:
            await asyncio.wait({call, soon}, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else None
        finally:
            soon.cancel()
            call.cancel()

    async def _handle_tasks(
        self, answer: WorkerTasks, sent_at: float, now: float, is_confirmed: bool
    ) -> None:
        """Handle a list of this incarnation's runs.

        :param is_confirmed: Whether its birth was confirmed when the poll was sent.
        """
        contact, session = self._contact, self._session
        if not session.lease.is_synchronized:
            # From now on the worker refuses previous owners, but the leases that they
            # have granted have to expire first.
            longest = session.times.longest_lease_expiry.total_seconds()
            session.lease.replace_inherited(
                max(
                    min(contact.lease_until, now + longest),
                    self._orders.passed.lease_until,
                )
            )
        session.lease.record_clock(answer.clock, now)
        if not contact.is_synchronized:
            _log.info("A worker answers.", worker=contact.info.identifier)
        before = contact.last_received_end
        contact.polled_at = now
        self.failed_polls = 0
        apply_inventory(contact, self._owner, answer, sent_at, now)
        contact.is_synchronized = True
        self._owner.handle_contact_change(contact)
        self._orders.repeat_due_stops()
        if not is_confirmed:
            # The next poll, over the same connection, extends the lease.
            return
        if (
            contact.last_received_end == before
            and contact.last_durable_end == contact.last_received_end
        ):
            return
        if await self._owner.wait_until_durable(contact):
            observe_latency("contacts", "end_noted", session.now() - now)

    async def _handle_failed_poll(self, answer: object, now: float) -> None:
        contact, session = self._contact, self._session
        code = getattr(answer, "code", "")
        session.birth.forget_answers()
        session.check_epoch(code)
        self.failed_polls += 1
        if self.failed_polls == 1 and not session.lease.is_synchronized:
            _log.info(
                "A worker can't be read.",
                worker=contact.info.identifier,
                reason=str(code),
                is_listed=contact.is_listed,
                waits=round(contact.lease_until - now, 3),
            )
        if contact.is_synchronized:
            contact.is_synchronized = False
            _log.warn(
                "A worker does not answer.",
                worker=contact.info.identifier,
                reason=str(code),
                runs=len(contact.runs),
            )
        if now >= contact.lease_until:
            await self._handle_expired_lease()
        await session.clock.sleep(FAILED_POLL_DELAY)

    async def _handle_expired_lease(self) -> None:
        """Abandon the runs under a lease that has expired.

        This is only safe if the store still names this daemon as owner after that time:
        a successor may have reached the worker, extended its lease and received its
        ends.
        """
        contact = self._contact
        if not await self._session.leadership.is_confirmed_since(contact.lease_until):
            return
        self._has_expired = True
        if contact.runs:
            _log.warn("A worker's lease has expired.", worker=contact.info.identifier)
            self._drop_runs("lease_over")
        self._owner.handle_contact_change(contact)

    async def _settle_incarnation(self) -> None:
        """Abandon the runs of an incarnation that has ended.

        The same condition applies as for an expired lease.
        """
        contact, session = self._contact, self._session
        if await session.leadership.is_confirmed_since(contact.gone_at):
            self._drop_runs("life_over")
            self._owner.handle_contact_change(contact)
        else:
            await session.clock.sleep(FAILED_POLL_DELAY)

    def _drop_runs(self, reason: str) -> None:
        contact = self._contact
        for run in self._orders.list_unlisted_runs():
            self._orders.record_abandoned(run)
        contact.unknown_runs.clear()
        lost = list(contact.runs.values())
        for run in lost:
            log_lost_run(contact, run, reason)
            contact.remove_run(run)
            self._owner.handle_lost_run(contact, run)
        # A crashed worker reports no ends. If its runs did not count, a task could
        # crash one worker after another without ever failing.
        self._owner.record_loss(contact, lost)
