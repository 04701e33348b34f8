"""Allocation of the capacity of one owner's workers.

It combines placement, holds, preemption, gang reservations and quarantine.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.estimates import Estimates
from damaskdeck.coordination.places.failures import FailureHistory
from damaskdeck.coordination.places.filters import Predicate
from damaskdeck.coordination.places.gangreservations import GangReservations
from damaskdeck.coordination.places.placement import Impossible, Placed, Placer
from damaskdeck.coordination.places.preemption import (
    CLAIMED,
    PreemptionBudget,
    Preemptor,
    Victims,
)
from damaskdeck.coordination.places.quarantine import Quarantine
from damaskdeck.coordination.places.relief import PressureRelief
from damaskdeck.coordination.queues.pressure import PressureAction
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.jobs import ReservationRequest, SizeData, TaskAttempt
from damaskdeck.protocol.ports import Usage
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.names import parse_job_name, parse_workload_name
from damaskdeck.state.workeraccounts import (
    Reserved,
    TaskNeed,
    WorkerAccount,
    WorkerAccounts,
)

HOLD_TTL = timedelta(seconds=10)
CLAIM_TTL = timedelta(seconds=5)
# Assumed run time of a task if none has been learned or declared.
DEFAULT_RUN_TIME = timedelta(minutes=30)
# Tasks of services don't end by themselves.
SERVICE_RUN_TIME = timedelta(days=366)

StopTask = Callable[[str, str, bool], None]


class Hold(NamedTuple):
    """Capacity is held for an attempt on ``worker``."""

    worker: str


class CapacityAllocator:
    """Assigns the capacity of the workers that this daemon owns to tasks.

    Guarantee: "No instance is given more work than its processors, memory, or
    accelerators can hold."

    :param stop: ``stop(worker, task, checkpoint)`` preempts a task.
    """

    def __init__(self, accounts: WorkerAccounts, clock: Clock, stop: StopTask) -> None:
        self._accounts = accounts
        self._clock = clock
        self._stop = stop
        self._placer = Placer(accounts)
        self._budget = PreemptionBudget(clock)
        self._preemptor = Preemptor(
            accounts, clock, self._budget, find_refusal=self._placer.find_refusal
        )
        self._estimates = Estimates()
        self._relief = PressureRelief(accounts)
        self._quarantine = Quarantine(clock, FailureHistory())
        self._claims: dict[str, timedelta] = {}
        self._confirmed_at: dict[str, timedelta] = {}
        self._gang_reservations = GangReservations(
            accounts, clock, self._estimate_run_time, self._placer.find_refusal
        )
        self._placer.add_filter(CLAIMED, self._preemptor.prepare_claims)
        self._placer.add_filter("quarantined", self._prepare_quarantine)
        self._placer.add_filter("planned", self._gang_reservations.prepare)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights of the scores."""
        self._placer.set_weights(weights)

    def hold(self, request: ReservationRequest) -> Hold | str:
        """Hold capacity for an attempt, or return the code of the refusal.

        An earlier hold of the task is released first, because its answer must have
        been lost.
        """
        self._release_hold(request["task"])
        need = self._make_need(request)
        gang = request.get("gang")
        if gang is not None and not gang["index"]:
            self._gang_reservations.reserve(need, gang)
        placement = self._placer.place(need)
        if isinstance(placement, Impossible):
            need = need._replace(size=read_size(request["size"]))
            placement = self._placer.place(need)
        if (
            not isinstance(placement, Placed)
            and need.avoid
            and request.get("is_pressed")
        ):
            placement = self._placer.place(need._replace(avoid=frozenset()))
        if not isinstance(placement, Placed):
            code = self._preempt_for(need)
            is_reserved = gang is not None and self._gang_reservations.covers(
                need.task, gang
            )
            return "room_kept" if is_reserved and code == "no_room" else code
        deadline = self._clock.monotonic() + HOLD_TTL
        outcome = self._accounts.reserve(need, placement.worker, deadline)
        if not isinstance(outcome, Reserved):
            return "already_reserved"
        self._drop_claim(need.task)
        self._quarantine.record_start(placement.worker, need.task)
        self._gang_reservations.record_start(need, placement.worker)
        return Hold(placement.worker)

    def confirm(self, task: str, worker: str) -> bool:
        """Turn a hold into a permanent reservation.

        :returns: ``False`` if the hold has expired or is on another worker.
        """
        reservation = self._accounts.find(task)
        if reservation is None or reservation.worker != worker:
            return False
        now = self._clock.monotonic()
        if not self._accounts.confirm(task, now):
            return False
        self._confirmed_at[task] = now
        self._gang_reservations.release(task)
        return True

    def release_hold(self, task: str) -> None:
        """Release a hold, or the reservation of the task's gang.

        A task that was started keeps its capacity.
        """
        if self._accounts.find(task) is None:
            self._gang_reservations.release(task)
        self._release_hold(task)

    def release_holds(self, worker: str) -> None:
        """Release all holds on a worker, which has forgotten what it ran."""
        account = self._accounts.workers.get(worker)
        for task in list(account.reservations) if account is not None else ():
            self._release_hold(task)

    def _release_hold(self, task: str) -> None:
        reservation = self._accounts.find(task)
        if reservation is not None and reservation.deadline is not None:
            self._accounts.release(task)
            self._quarantine.record_end(reservation.worker, "", "", task, None)

    def expire(self) -> None:
        """End the holds, claims and gang reservations that have expired."""
        now = self._clock.monotonic()
        self._gang_reservations.expire()
        for reservation in self._accounts.expire(now):
            self._quarantine.record_end(
                reservation.worker, "", "", reservation.need.task, None
            )
        for task in [task for task, until in self._claims.items() if until <= now]:
            self._drop_claim(task)

    def find_reserved_gang(self) -> str:
        """Return the job of the gang that capacity is reserved for, or ``""``."""
        return self._gang_reservations.job

    def set_workers(self, workers: Iterable[str]) -> None:
        """Set the owned workers."""
        self._quarantine.set_fleet(frozenset(workers))

    def observe(self, worker: str, usage: Collection[Usage]) -> list[PressureAction]:
        """Record the reported usage of tasks and choose actions against pressure."""
        for item in usage:
            workload = parse_workload_name(item.task)
            self._estimates.observe_use(workload, item.task, item.size)
        return self._relief.choose(worker, usage)

    def list_movable(self, worker: str) -> list[tuple[str, bool]]:
        """Return the tasks that lose no work when moved.

        These are checkpointable tasks and idempotent replicas of services.

        :returns: each task with whether it can be checkpointed.
        """
        account = self._accounts.workers.get(worker)
        if account is None:
            return []
        needs = [reservation.need for reservation in account.reservations.values()]
        return [
            (need.task, need.checkpoint)
            for need in needs
            if need.checkpoint or (need.group and need.idempotent)
        ]

    def record_end(self, worker: str, task: str, state: str) -> None:
        """Record the end of an attempt and update the estimates and quarantine."""
        self._preemptor.record_end(task)
        self._relief.discard(task)
        workload = parse_workload_name(task)
        confirmed_at = self._confirmed_at.pop(task, None)
        is_complete = confirmed_at is not None and state == "succeeded"
        run_time = self._clock.monotonic() - confirmed_at if is_complete else None
        self._estimates.observe_end(workload, task, run_time)
        succeeded = {"succeeded": True, "failed": False}.get(state)
        job = parse_job_name(task)
        self._quarantine.record_end(worker, workload, job, task, succeeded)

    def update_adopted(self, item: TaskAttempt) -> None:
        """Update an adopted task by the description from its ledger owner."""
        reservation = self._accounts.find(item["task"])
        if (
            reservation is None
            or reservation.deadline is not None
            or "urgency" not in item
        ):
            return
        need = reservation.need._replace(
            group=item.get("group", ""),
            urgency=Urgency(item["urgency"]),
            idempotent=item.get("idempotent", False),
            checkpoint=item.get("checkpoint", False),
        )
        if need != reservation.need:
            self._accounts.release(need.task)
            self._accounts.adopt(need, reservation.worker)

    def _make_need(self, request: ReservationRequest) -> TaskNeed:
        declared = read_size(request["size"])
        workload = parse_workload_name(request["task"])
        return TaskNeed(
            task=request["task"],
            size=self._estimates.estimate_size(workload, declared),
            group=request.get("group", ""),
            urgency=Urgency(request.get("urgency", Urgency.NORMAL.value)),
            idempotent=request.get("idempotent", False),
            checkpoint=request.get("checkpoint", False),
            zones=frozenset(request.get("zones", ())),
            avoid=frozenset(request.get("avoid", ())),
            started=self._clock.monotonic(),
            run_time=timedelta(seconds=request.get("run_time", 0)),
        )

    def _estimate_run_time(self, need: TaskNeed) -> timedelta:
        if need.group:
            return SERVICE_RUN_TIME
        workload = parse_workload_name(need.task)
        declared = need.run_time or DEFAULT_RUN_TIME
        return self._estimates.estimate_run_time(workload, declared)

    def _preempt_for(self, need: TaskNeed) -> str:
        """Preempt less urgent tasks for ``need`` and return the code of the refusal.

        With ``making_room``, the ledger owner is expected to repeat the request.
        """
        victims = self._preemptor.choose(need)
        if not isinstance(victims, Victims):
            return "no_room"
        for task in victims.checkpointed:
            self._stop(victims.worker, task, True)
        for task in victims.stopped:
            self._stop(victims.worker, task, False)
        if victims.checkpointed or victims.stopped:
            count = len(victims.checkpointed) + len(victims.stopped)
            count_refusal("workers", "preempted", count)
        self._claims[need.task] = self._clock.monotonic() + CLAIM_TTL
        return "making_room"

    def _drop_claim(self, task: str) -> None:
        if self._claims.pop(task, None) is not None:
            self._preemptor.drop_claim(task)

    def _prepare_quarantine(self, need: TaskNeed) -> Predicate | None:
        if not self._quarantine.isolated:
            return None

        def may_start(account: WorkerAccount) -> bool:
            return self._quarantine.may_start(account.name, need.idempotent)

        return may_start


def read_size(size: SizeData) -> Size:
    """Convert the size data of a message to a size."""
    return Size(size["millicores"], size["memory"], size["accelerators"])
