"""Decides about preemption for one owner and stops the chosen runs."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.preemption import PreemptionBudget
from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.availability import CapacityForecast
from damaskdeck.coordination.pools.candidates import Candidate
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.pending import RankedStep
from damaskdeck.coordination.pools.planning import is_suitable
from damaskdeck.coordination.pools.preemption.holds import Hold, Holds
from damaskdeck.coordination.pools.preemption.needs import (
    ORDER_SECONDS,
    is_too_late,
    may_be_helped,
    measure_drain_seconds,
    measure_longest_wait,
    measure_work,
)
from damaskdeck.coordination.pools.preemption.search import Choice, choose_victims
from damaskdeck.coordination.pools.preemption.victims import VictimIndex, name_task
from damaskdeck.coordination.pools.reservations import Reservations
from damaskdeck.coordination.pools.speeds import StepExpectation, WorkerSpeeds
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.urgency import Urgency
from damaskdeck.coordination.pools.workerhealth import WorkerHealth
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_preemption, count_refusal
from damaskdeck.state.pooljobs import Run, Step

# The interval of rounds, that after a round in which nothing could be preempted, the
# steps that are examined in a round, and the pause until the same step is examined
# again. They bound the processor time: with 300 full workers and 200 waiting gangs a
# round in vain takes 10 ms.
ROUND_SECONDS = 0.05
REFUSED_ROUND_SECONDS = 0.1
MAX_STEPS_EXAMINED = 2
RETRY_SECONDS = 0.2
# The budget: this share of the running tasks per second, which may be saved up for
# BUDGET_INTERVAL, as a gang needs all its victims at once.
BUDGET_SHARE = 0.05
BUDGET_INTERVAL = timedelta(seconds=2)
# A task is preempted at most this often.
MAX_PREEMPTIONS = 1
# Victims may cost at most this share of the work of the step, in core-seconds lost and
# held by the stops.
MAX_COST_SHARE = 1.0
# Capacity is held for this time beyond the longest stop.
HOLD_SECONDS = 1.0
# Each kind of refusal is logged at most this often.
LOG_INTERVAL_SECONDS = 1.0
# Part of the counters of refusals.
PART = "pool_preemption"

_log = get_logger("preempting")


class PreemptionOwner(Protocol):
    """What preemption needs from the owner."""

    contacts: dict[str, WorkerContact]
    account_limits: AccountLimits

    def stop(self, run: Run) -> None:
        """Request the worker of a run to end it."""


class PreemptionPools(Protocol):
    """What preemption needs from the dispatcher."""

    worker_health: WorkerHealth
    speeds: WorkerSpeeds

    def expect(
        self, step: Step, pool: str, urgency: Urgency, now: float
    ) -> StepExpectation | None:
        """Return what is expected of a step in an uneven pool, ``None`` in others."""

    def find_pool(self, step: Step) -> str:
        """Return the pool that is declared for a step's queue at present."""


class PoolPreemptor:
    """Stops patient runs for steps that would be late otherwise.

    :param forecast: when the runs of workers should end.
    :param measure_excess: returns how far a step's account is above its share.
    """

    def __init__(
        self,
        owner: PreemptionOwner,
        pools: PreemptionPools,
        clock: Clock,
        times: PoolTimes,
        advice_scheduler: AdviceScheduler,
        reservations: Reservations,
        forecast: CapacityForecast,
        measure_excess: Callable[[Step], float],
    ) -> None:
        self._forecast = forecast
        self._measure_excess = measure_excess
        self._owner = owner
        self._pools = pools
        self._times = times
        self._advice_scheduler = advice_scheduler
        self._reservations = reservations
        self._holds = Holds()
        self._budget = PreemptionBudget(clock, 0, BUDGET_INTERVAL, MAX_PREEMPTIONS)
        self._next_round_at = float("-inf")
        # The names of the tasks that were preempted, by step.
        self._preempted: dict[str, set[str]] = {}
        # When each step was examined last, and by when victims have to end.
        self._examined_at: dict[str, float] = {}
        self._latest_ends: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}

    # Held capacity -----------------------------------------------------------

    def limit(self, step: Step, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates without the capacity held for other steps."""
        return self._holds.limit(step, candidates)

    def list_held(self, step: Step) -> frozenset[str]:
        """Return the workers on which capacity is held for a step."""
        return self._holds.list_workers(step)

    def is_held_for_other(self, worker: str, step: Step) -> bool:
        """Whether capacity of a worker is held for another step."""
        return self._holds.is_held_for_other(worker, step)

    def handle_freed_capacity(self, contact: WorkerContact) -> None:
        """Handle a worker on which runs have ended."""
        self._holds.refresh(contact)

    def record_start(self, step: Step, workers: Iterable[str]) -> None:
        """Record that tasks of a step were ordered."""
        self._holds.record_start(step, workers)

    def discard(self, step: Step) -> None:
        """Forget a step of a job that has ended."""
        self._holds.release(step)
        self._examined_at.pop(step.name, None)
        self._latest_ends.pop(step.name, None)
        for name in self._preempted.pop(step.name, ()):
            self._budget.discard(name)

    # Decisions ---------------------------------------------------------------

    def sweep(self, ranked: list[RankedStep], now: float) -> None:
        """Examine the most urgent steps that could not be placed."""
        if now < self._next_round_at:
            return
        self._next_round_at = now + ROUND_SECONDS
        for step, code in self._holds.sweep(self._owner.contacts, now):
            # It may be examined at once: what was freed for it is still free.
            self._examined_at.pop(step.name, None)
            count_refusal(PART, code)
            _log.warn(
                "Capacity that was freed for a step is released.",
                id=step.job.identifier,
                step=step.number,
                code=code,
            )
        due = self._list_due(ranked, now)
        if not due:
            return
        index = self._build_index(ranked, now)
        for entry in due:
            step = entry.pending.step
            self._examined_at[step.name] = now
            code = self._examine(entry, index, now)
            if code:
                self._refuse(step, code, now)
                self._next_round_at = now + REFUSED_ROUND_SECONDS

    def _list_due(self, ranked: list[RankedStep], now: float) -> list[RankedStep]:
        """List the steps to examine in this round, the most urgent first."""
        due: list[RankedStep] = []
        for entry in ranked:
            if self._may_examine(entry, now):
                due.append(entry)
                if len(due) == MAX_STEPS_EXAMINED:
                    break
        if not due:
            return []
        highest_rank = self._measure_running()
        return [e for e in due if e.pending.step.job.queue.rank < highest_rank]

    def _measure_running(self) -> int:
        """Return the highest rank of a running task, and update the budget."""
        highest_rank = count = 0
        for contact in self._owner.contacts.values():
            count += len(contact.runs)
            for run in contact.runs.values():
                highest_rank = max(highest_rank, run.task.step.job.queue.rank)
        seconds = BUDGET_INTERVAL.total_seconds()
        self._budget.set_limit(int(BUDGET_SHARE * seconds * count))
        return highest_rank

    def _may_examine(self, entry: RankedStep, now: float) -> bool:
        step = entry.pending.step
        if (
            now - self._examined_at.get(step.name, 0.0) < RETRY_SECONDS
            or now < step.not_before
            or self._holds.find(step) is not None
            or not step.count_waiting()
        ):
            return False
        return step.name not in self._preempted and may_be_helped(entry, self._times)

    def _build_index(self, ranked: list[RankedStep], now: float) -> VictimIndex:
        contacts = self._owner.contacts
        waits: dict[int, float] = {}

        def measure_wait(step: Step) -> float:
            rank = step.job.queue.rank
            if rank not in waits:
                waits[rank] = measure_drain_seconds(ranked, rank, contacts.values())
            return waits[rank]

        return VictimIndex(
            contacts,
            self._times,
            now,
            self._budget.may_preempt,
            measure_wait,
            self._latest_ends,
            self._measure_excess,
            self._forecast,
        )

    def _examine(self, entry: RankedStep, index: VictimIndex, now: float) -> str:
        """Preempt for a step if that helps it; return why not, or an empty string."""
        step = entry.pending.step
        needed = step.count_waiting()
        pool = self._pools.find_pool(step)
        expectation = self._pools.expect(step, pool, entry.urgency, now)
        workers = self._list_workers(step, now)
        longest_wait = measure_longest_wait(step, entry.urgency.slack, expectation)
        if not workers or not self._is_late_without(
            step, longest_wait, needed, workers, now
        ):
            return ""
        workers = self._select_fast_enough(workers, expectation)
        if not self._budget.is_available(1):
            return "budget"
        if self._owner.account_limits.count_startable(step, needed) < needed:
            return "quota"
        choice = choose_victims(
            step,
            needed,
            workers,
            index,
            lambda contact: self._holds.find_capacity(contact, step),
        )
        if choice is None:
            return "no_victims"
        runs = [run for victim in choice.victims for run in victim.runs]
        if not runs:
            # The capacity is free or being freed.
            return ""
        if self._measure_cost(choice, runs) > MAX_COST_SHARE * measure_work(step):
            return "cost"
        if not self._budget.is_available(len(runs)):
            return "budget"
        self._preempt(entry, choice, runs, index, now)
        return ""

    def _is_late_without(
        self,
        step: Step,
        longest_wait: float,
        needed: int,
        workers: list[WorkerContact],
        now: float,
    ) -> bool:
        reservation = self._reservations.get(step)
        starts_at = (
            reservation.starts_at
            if reservation is not None
            else self._forecast.find_start(step, needed, workers, now)
        )
        return starts_at is None or is_too_late(longest_wait, starts_at - now)

    def _select_fast_enough(
        self, workers: list[WorkerContact], expectation: StepExpectation | None
    ) -> list[WorkerContact]:
        """Return the workers on which a step ends in time if it starts after stops."""
        if expectation is None:
            return workers
        needed = self._times.max_stop_time.total_seconds() + ORDER_SECONDS
        after_stops = expectation._replace(available=expectation.available - needed)
        speeds = self._pools.speeds
        return [
            contact
            for contact in workers
            if after_stops.is_acceptable(speeds.estimate(contact.info.identifier))
        ]

    def _measure_cost(self, choice: Choice, runs: list[Run]) -> float:
        """Return the core-seconds that the victims lose and hold until they end."""
        cores = sum(run.task.step.spec.size.millicores for run in runs) / 1000
        return choice.lost + cores * self._times.max_stop_time.total_seconds()

    def _list_workers(self, step: Step, now: float) -> list[WorkerContact]:
        """List the workers on which capacity may be freed for a step."""
        contacts = self._owner.contacts
        keys: Iterable[str] = contacts
        if step.job.queue.advice is not None:
            keys = self._list_lasting_tickets(step, now)
        pool = self._pools.find_pool(step)
        failed_on = set().union(*(task.failed_on for task in step.tasks.list_known()))
        return [
            contact
            for key in keys
            if key not in failed_on and (contact := contacts.get(key)) is not None
            if contact.info.pool == pool
            and contact.is_usable(now)
            and is_suitable(step.spec, contact.info)
            and step.job.may_run_in(contact.info.zone)
            and self._pools.worker_health.may_start(key, step)
            and not self._is_reserved_for_other(key, step)
        ]

    def _list_lasting_tickets(self, step: Step, now: float) -> list[str]:
        """List the workers whose ticket lasts until the stops have ended.

        All valid tickets count if they can be renewed in that time.
        """
        advice, timing = self._advice_scheduler.get(step), step.job.queue.advice
        stop_time = self._times.max_stop_time
        renewal = timing.base + timing.per_worker * len(step.tasks)
        if renewal <= stop_time:
            return advice.list_tickets(now, None)
        return advice.list_tickets(now + stop_time.total_seconds(), None)

    def _is_reserved_for_other(self, worker: str, step: Step) -> bool:
        reservation = self._reservations.find(worker)
        if reservation is None or reservation.step is step:
            return False
        return reservation.step.job.queue.rank <= step.job.queue.rank

    def _preempt(
        self,
        entry: RankedStep,
        choice: Choice,
        runs: list[Run],
        index: VictimIndex,
        now: float,
    ) -> None:
        step = entry.pending.step
        self._budget.spend(name_task(run.task) for run in runs)
        for run in runs:
            names = self._preempted.setdefault(run.task.step.name, set())
            names.add(name_task(run.task))
        until = now + self._times.max_stop_time.total_seconds() + HOLD_SECONDS
        self._reservations.release(step)
        self._holds.add(Hold(step, dict(choice.tasks), until), runs)
        names = {victim.name for victim in choice.victims}
        for worker in {run.worker for run in runs}:
            index.remove(worker, names)
        _log.info(
            "Runs are preempted.",
            id=step.job.identifier,
            step=step.number,
            rank=step.job.queue.rank,
            slack=round(entry.urgency.slack, 3),
            age=round(now - step.job.arrived_at, 3),
            tasks=sum(choice.tasks.values()),
            workers=list(choice.tasks),
            victims=[
                f"{name_task(run.task)}#{run.attempt}@{run.worker}" for run in runs
            ],
            lost=round(choice.lost, 3),
            budget=int(self._budget.available),
        )
        for run in runs:
            count_preemption(run.task.step.job.queue.name)
            self._owner.stop(run)

    def _refuse(self, step: Step, code: str, now: float) -> None:
        count_refusal(PART, code)
        if now - self._logged_at.get(code, float("-inf")) < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[code] = now
        _log.info(
            "Nothing is preempted for a step.",
            id=step.job.identifier,
            step=step.number,
            code=code,
            rank=step.job.queue.rank,
            tasks=len(step.tasks),
            budget=int(self._budget.available),
        )
