"""Room on the workers of one owner: placement, holds, preemption, quarantine."""

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.estimates import Estimates
from damaskdeck.coordination.places.failures import FailureHistory
from damaskdeck.coordination.places.filters import Predicate
from damaskdeck.coordination.places.gangrooms import GangRooms
from damaskdeck.coordination.places.placement import Impossible, Placed, Placer
from damaskdeck.coordination.places.preemption import (
    CLAIMED,
    PreemptionBudget,
    Preemptor,
    Victims,
)
from damaskdeck.coordination.places.quarantine import Quarantine
from damaskdeck.coordination.places.relief import Relief
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

HOLD_LIMIT = timedelta(seconds=10)
CLAIM_LIMIT = timedelta(seconds=5)
# What a task is reckoned to run when neither learnt nor declared.
UNKNOWN_RUN_TIME = timedelta(minutes=30)
# Tasks of services don't end.
ENDLESS = timedelta(days=366)

Stop = Callable[[str, str, bool], None]


class Hold(NamedTuple):
    """Room was set aside on ``worker``."""

    worker: str


class CapacityAllocator:
    """Decides who gets room on the workers that this daemon owns.

    Promise: "No instance is given more work than its processors, memory, or
    accelerators can hold."

    :param stop: ``stop(worker, task, checkpoint)`` stops a task to make room.
    """

    def __init__(self, accounts: WorkerAccounts, clock: Clock, stop: Stop) -> None:
        self._accounts = accounts
        self._clock = clock
        self._stop = stop
        self._placer = Placer(accounts)
        self._budget = PreemptionBudget(clock)
        self._preemptor = Preemptor(
            accounts, clock, self._budget, find_refusal=self._placer.find_refusal
        )
        self._estimates = Estimates()
        self._relief = Relief(accounts)
        self._quarantine = Quarantine(clock, FailureHistory())
        self._claims: dict[str, timedelta] = {}
        self._begun: dict[str, timedelta] = {}
        self._gangs = GangRooms(
            accounts, clock, self._estimate_run_time, self._placer.find_refusal
        )
        self._placer.add_filter(CLAIMED, self._preemptor.prepare_claims)
        self._placer.add_filter("quarantined", self._prepare_quarantine)
        self._placer.add_filter("planned", self._gangs.prepare)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Place by other weights of the scores from now on."""
        self._placer.set_weights(weights)

    def hold(self, request: ReservationRequest) -> Hold | str:
        """Set room aside for an attempt, or return why not.

        A hold that was asked for before is given up: its answer was lost.
        """
        self._give_up(request["task"])
        need = self._make_need(request)
        gang = request.get("gang")
        if gang is not None and not gang["index"]:
            self._gangs.ask(need, gang)
        found = self._placer.place(need)
        if isinstance(found, Impossible):
            need = need._replace(size=read_size(request["size"]))
            found = self._placer.place(need)
        if not isinstance(found, Placed) and need.avoid and request.get("is_pressed"):
            found = self._placer.place(need._replace(avoid=frozenset()))
        if not isinstance(found, Placed):
            code = self._make_room(need)
            is_kept = gang is not None and self._gangs.covers(need.task, gang)
            return "room_kept" if is_kept and code == "no_room" else code
        deadline = self._clock.monotonic() + HOLD_LIMIT
        outcome = self._accounts.reserve(need, found.worker, deadline)
        if not isinstance(outcome, Reserved):
            return "already_reserved"
        self._drop_claim(need.task)
        self._quarantine.record_start(found.worker, need.task)
        self._gangs.record_start(need, found.worker)
        return Hold(found.worker)

    def confirm(self, task: str, worker: str) -> bool:
        """Turn a hold into a lasting reservation; false once it has ended."""
        isolated = self._accounts.find(task)
        if isolated is None or isolated.worker != worker:
            return False
        now = self._clock.monotonic()
        if not self._accounts.confirm(task, now):
            return False
        self._begun[task] = now
        self._gangs.drop(task)
        return True

    def release_hold(self, task: str) -> None:
        """Let go of a hold, or of room that is kept for the task's gang.

        What was started keeps its room.
        """
        if self._accounts.find(task) is None:
            self._gangs.drop(task)
        self._give_up(task)

    def _give_up(self, task: str) -> None:
        isolated = self._accounts.find(task)
        if isolated is not None and isolated.deadline is not None:
            self._accounts.release(task)
            self._quarantine.record_end(isolated.worker, "", "", task, None)

    def expire(self) -> None:
        """End holds, claims and kept room whose time has come."""
        now = self._clock.monotonic()
        self._gangs.expire()
        for isolated in self._accounts.expire(now):
            self._quarantine.record_end(
                isolated.worker, "", "", isolated.need.task, None
            )
        for task in [task for task, until in self._claims.items() if until <= now]:
            self._drop_claim(task)

    def find_reserved_gang(self) -> str:
        """Return the job of the gang that room is kept for, else nothing."""
        return self._gangs.job

    def set_workers(self, workers: Iterable[str]) -> None:
        """Note which workers are owned."""
        self._quarantine.set_fleet(frozenset(workers))

    def observe(self, worker: str, usage: Collection[Usage]) -> list[PressureAction]:
        """Learn from what tasks were seen to use, and choose what to relieve."""
        for item in usage:
            workload = parse_workload_name(item.task)
            self._estimates.observe_use(workload, item.task, item.size)
        return self._relief.choose(worker, usage)

    def list_movable(self, worker: str) -> list[tuple[str, bool]]:
        """List tasks that lose nothing by moving: checkpointable ones, services.

        :returns: each with whether it can be checkpointed.
        """
        account = self._accounts.workers.get(worker)
        if account is None:
            return []
        needs = [isolated.need for isolated in account.reservations.values()]
        return [
            (need.task, need.checkpoint)
            for need in needs
            if need.checkpoint or (need.group and need.idempotent)
        ]

    def record_end(self, worker: str, task: str, state: str) -> None:
        """Note that an attempt has ended, and learn from it."""
        self._preemptor.record_end(task)
        self._relief.forget(task)
        workload = parse_workload_name(task)
        begun = self._begun.pop(task, None)
        is_whole = begun is not None and state == "succeeded"
        run_time = self._clock.monotonic() - begun if is_whole else None
        self._estimates.observe_end(workload, task, run_time)
        succeeded = {"succeeded": True, "failed": False}.get(state)
        job = parse_job_name(task)
        self._quarantine.record_end(worker, workload, job, task, succeeded)

    def update_adopted(self, item: TaskAttempt) -> None:
        """Take over what a keeper says of a task that was adopted."""
        isolated = self._accounts.find(item["task"])
        if isolated is None or isolated.deadline is not None or "urgency" not in item:
            return
        need = isolated.need._replace(
            group=item.get("group", ""),
            urgency=Urgency(item["urgency"]),
            idempotent=item.get("idempotent", False),
            checkpoint=item.get("checkpoint", False),
        )
        if need != isolated.need:
            self._accounts.release(need.task)
            self._accounts.adopt(need, isolated.worker)

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
            return ENDLESS
        workload = parse_workload_name(need.task)
        declared = need.run_time or UNKNOWN_RUN_TIME
        return self._estimates.estimate_run_time(workload, declared)

    def _make_room(self, need: TaskNeed) -> str:
        """Stop less urgent tasks for ``need``; it is to ask again."""
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
        self._claims[need.task] = self._clock.monotonic() + CLAIM_LIMIT
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
    """Turn data of a message into a size."""
    return Size(size["millicores"], size["memory"], size["accelerators"])
