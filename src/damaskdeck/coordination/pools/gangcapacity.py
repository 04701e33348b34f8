"""When capacity is reserved for gangs, and what they leave to patient steps."""

from collections.abc import Callable
from typing import Protocol

from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.availability import count_fitting_now, is_contended
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.pending import PendingStep, RankedStep
from damaskdeck.coordination.pools.planning import has_rack_preference, is_suitable
from damaskdeck.coordination.pools.preemption import PoolPreemptor
from damaskdeck.coordination.pools.reservations import Reservations
from damaskdeck.coordination.pools.urgency import DeadlineStatus, Urgency
from damaskdeck.state.pooljobs import Step


class GangOwner(Protocol):
    """What the reservations need from the owner."""

    contacts: dict[str, WorkerContact]
    account_limits: AccountLimits


class GangPools(Protocol):
    """What the reservations need from the dispatcher."""

    def find_pool(self, step: Step) -> str:
        """Return the pool that is declared for a step's queue at present."""


class GangCapacity:
    """Reserves workers for gangs that lack capacity on those that they may use.

    :param is_deferred: returns whether steps of other accounts precede a step for its
        rate or share.
    :param has_turn: returns whether a step has waited for too long at a time, in a pool
        of which much is free.
    """

    def __init__(
        self,
        owner: GangOwner,
        pools: GangPools,
        advice_scheduler: AdviceScheduler,
        reservations: Reservations,
        preemptor: PoolPreemptor,
        is_deferred: Callable[[Step], bool],
        has_turn: Callable[[Step, float], bool],
    ) -> None:
        self._is_deferred = is_deferred
        self._has_turn = has_turn
        self._owner = owner
        self._pools = pools
        self._advice_scheduler = advice_scheduler
        self._reservations = reservations
        self._preemptor = preemptor
        # Gangs whose advice has arrived since the last pass, and those with a query.
        self._advised: set[str] = set()
        self._queried: list[Step] = []

    def handle_advice(self, step: Step) -> None:
        """Record that the advisor has answered about a step."""
        self._advised.add(step.name)

    def begin_pass(self, ranked: list[RankedStep]) -> None:
        """Find the gangs with pending queries."""
        self._queried = [
            pending.step
            for urgency, _, pending in ranked
            if pending.step.spec.is_gang
            and urgency.deadline_status is DeadlineStatus.ON_TIME
            and self._advice_scheduler.get(pending.step).requested
        ]

    def list_named(self, rank: int) -> set[str]:
        """List the workers that pending queries about gangs of lower ranks name."""
        named: set[str] = set()
        for gang in self._queried:
            if gang.job.queue.rank < rank:
                named |= self._advice_scheduler.get(gang).requested
        return named

    def end_pass(
        self, ranked: list[RankedStep], is_full_pass: bool, now: float
    ) -> None:
        """Renew all reservations in a full pass, in the order of urgency."""
        self._advised.clear()
        if not is_full_pass:
            return
        gangs = [
            pending.step
            for urgency, _, pending in ranked
            if self._may_reserve(pending, urgency, now)
        ]
        # Deferred gangs reserve anew in their order, as they must not hold reservations
        # against steps that now precede them.
        self._reservations.retain(
            step.name for step in gangs if not self._is_deferred(step)
        )
        for step in gangs:
            self._reserve(step, now)

    def reserve_if_advised(
        self, pending: PendingStep, urgency: Urgency, now: float
    ) -> None:
        """Reserve workers for a gang that can't start with the advice just received.

        Otherwise steps that follow in the pass would take the free capacity.
        """
        is_advised = pending.step.name in self._advised
        if is_advised and self._may_reserve(pending, urgency, now):
            self._reserve(pending.step, now)

    def _may_reserve(self, pending: PendingStep, urgency: Urgency, now: float) -> bool:
        """Whether a gang waits for capacity only, and can be in time.

        A gang that is late already would keep others from being in time, unless these
        find other workers in its pool.
        """
        step = pending.step
        is_on_time = urgency.deadline_status is DeadlineStatus.ON_TIME
        if (
            not step.spec.is_gang
            or not (is_on_time or self._has_turn(step, now))
            or has_rack_preference(step.spec)
            or self._preemptor.list_held(step)
        ):
            return False
        waiting = step.count_waiting()
        account_limits = self._owner.account_limits
        return bool(waiting) and bool(account_limits.count_startable(step, waiting))

    def _reserve(self, step: Step, now: float) -> None:
        pool = self._pools.find_pool(step)
        contacts = self._owner.contacts
        fleet = [c for c in contacts.values() if c.info.pool == pool]
        eligible = [c for c in fleet if self._may_run(step, c, now)]
        if step.job.queue.advice is not None:
            tickets = self._advice_scheduler.get(step).tickets
            eligible = [c for c in eligible if c.info.identifier in tickets]
        available = [
            contact
            for contact in eligible
            if self._reservations.may_use(contact.info.identifier, step, now)
        ]
        lacks_capacity = count_fitting_now(step.spec, available) < len(step.tasks)
        if lacks_capacity and is_contended(step, eligible):
            self._reservations.reserve(step, eligible, len(fleet), now)

    def _may_run(self, step: Step, contact: WorkerContact, now: float) -> bool:
        return (
            contact.is_usable(now)
            and is_suitable(step.spec, contact.info)
            and step.job.may_run_in(contact.info.zone)
            and not self._preemptor.is_held_for_other(contact.info.identifier, step)
        )
