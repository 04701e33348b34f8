"""The dispatcher: passes over pending steps that place tasks and order their starts."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.adviceplanner import QUERY_WORKERS, AdvicePlanner
from damaskdeck.coordination.pools.availability import (
    CapacityForecast,
    find_full_pools,
    measure_used_shares,
)
from damaskdeck.coordination.pools.candidates import Candidate, Candidates
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.gangcapacity import GangCapacity
from damaskdeck.coordination.pools.overload import StartPace
from damaskdeck.coordination.pools.pending import (
    MAX_KEPT_TASKS,
    PendingStep,
    PendingSteps,
    RankedStep,
    find_turn_seconds,
    is_overdue,
    list_overdue,
)
from damaskdeck.coordination.pools.planning import (
    Plan,
    count_fitting,
    fits_preferred_rack,
    has_rack_preference,
    is_suitable,
    plan_step,
)
from damaskdeck.coordination.pools.preemption import PoolPreemptor
from damaskdeck.coordination.pools.reservations import Reservations
from damaskdeck.coordination.pools.schedules import Schedules
from damaskdeck.coordination.pools.shares import AccountShares, Precedence
from damaskdeck.coordination.pools.speeds import (
    MAX_PLACEMENT_WAIT_SECONDS,
    StepExpectation,
    WorkerSpeeds,
)
from damaskdeck.coordination.pools.starter import Starter, StartOwner
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.urgency import (
    DeadlineStatus,
    Urgency,
    measure_available_slack,
    measure_urgency,
)
from damaskdeck.coordination.pools.waits import WaitReason, WaitReporter
from damaskdeck.coordination.pools.workerhealth import WorkerHealth
from damaskdeck.delays import LoopDelay
from damaskdeck.logs import get_logger
from damaskdeck.protocol.pools import EndedTask, EndKind
from damaskdeck.protocol.queues import QueueJobState, QueueTable
from damaskdeck.protocol.sizes import fits
from damaskdeck.state.pooljobs import Job, JobIndex, Run, Step, Task

# Events within this time are handled by one pass.
PASS_INTERVAL = timedelta(milliseconds=4)
# Passes between full ones look at this many of the most urgent steps.
MAX_STEPS_PER_PASS = 100
# A pass is followed by a pause of this multiple of its own time, within a bound.
PASS_REST_FACTOR = 2
MAX_PASS_REST = timedelta(milliseconds=100)
# Advice about the tasks of a worker that doesn't answer is requested this long before
# its lease expires, in addition to the time that the advisor needs.
RESTART_ADVICE_SECONDS = 0.7
# The interval of full passes, in which each pending step checks all workers again at a
# cost of about 0.1 ms of processor time per step. They notice what no event reports,
# such as the end of a pause.
FULL_PASS_SECONDS = 0.25

# In a pool that is used less, a task for which only suspect workers have capacity is
# started there.
MAX_IDLE_SHARE = 0.6
# Before the rank of any queue.
FIRST_RANK = -1

_log = get_logger("dispatching")


class DispatchOwner(StartOwner, Protocol):
    """What the dispatcher needs from the owner whose jobs it places."""

    job_index: JobIndex
    contacts: dict[str, WorkerContact]
    account_limits: AccountLimits

    def get_table(self) -> QueueTable | None:
        """Return the declared queues in force."""

    def may_order(self) -> bool:
        """Whether tasks may be ordered at this moment."""

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """Set the final state of a job."""

    def widen_zones(self, job: Job, zones: frozenset[str]) -> None:
        """Add zones in which a job may run, which applies once it is durable."""


class Dispatcher:
    """Places the tasks of one owner's jobs.

    :ivar worker_health: The evidence against workers.
    :ivar speeds: The speeds of the workers.
    :ivar shares: The standing of the client accounts.
    :ivar schedules: The jobs whose occurrences are due at set times.
    """

    def __init__(
        self,
        owner: DispatchOwner,
        clock: Clock,
        times: PoolTimes,
        advice_scheduler: AdviceScheduler,
        delay: LoopDelay,
    ) -> None:
        self._owner = owner
        self._clock = clock
        self._times = times
        self._advice_scheduler = advice_scheduler
        self.worker_health = WorkerHealth(clock)
        self.speeds = WorkerSpeeds()
        self._has_work = asyncio.Event()
        self._is_draining = False
        self._waits = WaitReporter(
            lambda: owner.contacts, advice_scheduler, self.find_pool
        )
        self._starter = Starter(
            owner,
            clock,
            advice_scheduler,
            self.mark_changed,
            self.wake,
            delay,
            self._waits,
        )
        self.shares = AccountShares(owner)
        self._pending = PendingSteps(self.shares, self.pace.measure_delay)
        # Workers with more free capacity, or usable again, since the last pass.
        self._freed: set[str] = set()
        self._usable: set[str] = set()
        self._full_pass_at = float("-inf")
        # The used share of each pool, as of the last full pass.
        self._used_shares: dict[str, float] = {}
        # Accounts held back by their quota for which this pass has requested advice.
        self._held_accounts: set[str] = set()
        forecast = CapacityForecast(self.speeds.estimate_remaining)
        self._reservations = Reservations(forecast)
        self._preemptor = PoolPreemptor(
            owner,
            self,
            clock,
            times,
            advice_scheduler,
            self._reservations,
            forecast,
            self.shares.measure_excess,
        )
        self._gang_capacity = GangCapacity(
            owner,
            self,
            advice_scheduler,
            self._reservations,
            self._preemptor,
            self.shares.is_deferred,
            self._has_turn_in_idle_pool,
        )
        self._advice_planner = AdvicePlanner(
            advice_scheduler, lambda: owner.contacts, self.speeds
        )
        self.schedules = Schedules(owner, clock, self.mark_changed)

    def wake(self) -> None:
        """Request a pass."""
        self._has_work.set()

    def request_full_pass(self) -> None:
        """Request a pass in which every pending step checks all workers again."""
        self._pending.retry_all()
        self.wake()

    def mark_changed(self, job: Job) -> None:
        """Update the pending steps of a job whose tasks have changed."""
        self._pending.mark_changed(job)
        self.wake()

    def rank_pending(self, now: float) -> list[RankedStep]:
        """List the pending steps, most urgent first."""
        return self._pending.rank(now)

    @property
    def pace(self) -> StartPace:
        """How many starts may be under way."""
        return self._starter.pace

    def count_pending(self) -> int:
        """Count the steps with tasks that wait."""
        return len(self._pending)

    def handle_advice(self, step: Step) -> None:
        """Check all workers again for a step that the advisor has answered about."""
        self._gang_capacity.handle_advice(step)
        self._pending.retry(step)
        self.wake()

    def handle_freed_capacity(self, contact: WorkerContact) -> None:
        """Request a pass, as a worker has more free capacity."""
        self._preemptor.handle_freed_capacity(contact)
        self._freed.add(contact.info.identifier)
        self.wake()

    def handle_contact_change(self, contact: WorkerContact) -> None:
        """Handle a worker that has answered, or that has become silent."""
        worker = contact.info.identifier
        if not contact.is_usable(self._owner.now()):
            self._usable.discard(worker)
        elif worker not in self._usable:
            self._usable.add(worker)
            self.handle_freed_capacity(contact)

    def add_job(self, job: Job) -> None:
        """Add a job, whose steps are pending from now on."""
        self.schedules.add(job)
        self.shares.add_job(job)
        self.mark_changed(job)

    def discard(self, step: Step) -> None:
        """Remove the measurements of a step that has ended or is postponed."""
        self.speeds.discard(step)
        self._preemptor.discard(step)
        self._waits.discard(step)

    def close(self) -> None:
        """Cancel all orders in flight."""
        self._starter.close()

    async def drain(self) -> None:
        """Stop ordering and wait for the answers to the orders in flight."""
        self._is_draining = True
        await self._starter.drain(self._times.start_timeout)

    async def run(self) -> None:
        """Run a pass whenever something has changed."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            began_at = self._owner.now()
            if self._owner.may_order() and not self._is_draining:
                self._pass()
            # Passes take longer the more steps wait, and have to leave time to follow
            # what they order.
            rest = PASS_REST_FACTOR * (self._owner.now() - began_at)
            pause = min(timedelta(seconds=rest), MAX_PASS_REST)
            await self._clock.sleep(max(PASS_INTERVAL, pause))

    # Pass --------------------------------------------------------------------

    def _pass(self) -> None:
        now = self._owner.now()
        is_full_pass = now - self._full_pass_at >= FULL_PASS_SECONDS
        if is_full_pass:
            self._full_pass_at = now
            self._pending.retry_all()
            wall_time = self._clock.now().timestamp()
            self.shares.update_capacity(self._owner.contacts.values(), now, wall_time)
            self._prepare_restarts(now)
            self._used_shares = measure_used_shares(self._owner.contacts.values())
        freed, self._freed = self._freed, set()
        candidates = self._build_candidates(now)
        ranked = self._pending.rank(now)
        if self._pending.has_changes:
            self.wake()
        self._held_accounts.clear()
        self._gang_capacity.begin_pass(ranked)
        self._advice_planner.begin_pass()
        position = 0
        placed = self._place_overdue(ranked, candidates, freed, is_full_pass, now)
        for urgency, name, pending in ranked:
            if name in placed:
                continue
            if pending.step.not_before > now:
                self._waits.record(pending.step, WaitReason.PAUSE, now)
                continue
            is_at_limit = not self.pace.may_order(pending.waiting, now)
            if is_at_limit:
                self.pace.record_limit(now)
            if is_at_limit or (not is_full_pass and position >= MAX_STEPS_PER_PASS):
                # The steps that are left have not seen what has been freed.
                self._freed |= freed
                reason = WaitReason.PACE if is_at_limit else WaitReason.TURN
                self._waits.record_skipped(ranked, pending, reason, now)
                break
            position += 1
            self._place(pending, candidates, freed, urgency, position, now)
        self._gang_capacity.end_pass(ranked, is_full_pass, now)
        self._preemptor.sweep(ranked, now)
        if is_full_pass:
            self._advice_planner.request_behind(find_full_pools(self._used_shares), now)
            self.shares.report((entry.pending.step for entry in ranked), now)
            self._waits.report(ranked, now)
            for step in self._pending.postpone(self._may_postpone, now):
                self._advice_scheduler.discard(step)
                self.discard(step)

    def _may_postpone(self, step: Step) -> bool:
        """Whether no workers are kept for a step, and no advice is on its way."""
        has_workers = self._preemptor.list_held(
            step
        ) or self._reservations.list_workers(step)
        return not (has_workers or self._advice_scheduler.get(step).requested)

    def _place_overdue(
        self,
        ranked: list[RankedStep],
        candidates: Candidates,
        freed: set[str],
        is_full_pass: bool,
        now: float,
    ) -> set[str]:
        """Place steps that have waited longest before more urgent ones.

        They get a part of the starts while not all can be ordered, and in a pool with
        much free capacity, where they wait for the few workers that may run them.

        :returns: the names of the steps that were tried.
        """
        tried: set[str] = set()
        is_limiting = self.pace.is_limiting(now)
        for urgency, name, pending in list_overdue(ranked, now):
            if not (is_limiting or self._is_pool_idle(pending.step)):
                continue
            allowed = self.pace.count_overdue_startable(pending.waiting, now)
            if not (allowed and (is_full_pass or len(tried) < MAX_STEPS_PER_PASS)):
                break
            if pending.step.not_before > now:
                continue
            tried.add(name)
            position = len(tried)
            self._place(pending, candidates, freed, urgency, position, now, allowed)
        return tried

    def _is_pool_idle(self, step: Step) -> bool:
        """Whether much of the capacity of a step's pool is free."""
        return self._used_shares.get(self.find_pool(step), 1.0) <= MAX_IDLE_SHARE

    def _has_turn_in_idle_pool(self, step: Step, now: float) -> bool:
        """Whether a step has waited for too long, and others find other workers."""
        return is_overdue(step, now, find_turn_seconds(step)) and self._is_pool_idle(
            step
        )

    def _prepare_restarts(self, now: float) -> None:
        """Request advice about the tasks that will be abandoned on silent workers."""
        for contact in self._owner.contacts.values():
            if contact.is_synchronized or not contact.runs:
                continue
            remaining = contact.lease_until - now
            steps = {
                run.task.step
                for run in contact.runs.values()
                if run.stopping_since is None and not run.task.is_completed
            }
            for step in steps:
                timing = step.job.queue.advice
                if timing is None:
                    continue
                duration = timing.base + timing.per_worker * QUERY_WORKERS
                if remaining < duration.total_seconds() + RESTART_ADVICE_SECONDS:
                    self.request_urgent_advice(step, now)

    def _build_candidates(self, now: float) -> Candidates:
        return Candidates(self._owner.contacts, self.speeds, now)

    def find_pool(self, step: Step) -> str:
        """Return the pool that is declared for a step's queue at present."""
        table = self._owner.get_table()
        queue = table.get(step.job.queue.name) if table is not None else None
        return queue.pool if queue is not None else step.job.queue.pool

    def _place(
        self,
        pending: PendingStep,
        candidates: Candidates,
        freed: set[str],
        urgency: Urgency,
        position: int,
        now: float,
        overdue_starts: int | None = None,
    ) -> None:
        """Place the tasks of a step that fit.

        A step that was tried before and has not changed since only checks the freed
        workers: the others had no capacity for it and have no more now.

        :param freed: The workers that have gained capacity or become usable since the
            last pass.
        :param position: The position of the step in the order of urgency.
        :param overdue_starts: How many starts there are for it as one of the steps that
            have waited longest, ``None`` if it is tried in the order of urgency.
        """
        step = pending.step
        account_limits = self._owner.account_limits
        allowed = account_limits.count_startable(step, pending.waiting)
        if not allowed:
            self._waits.record(step, WaitReason.QUOTA, now)
            self._request_advice_while_held(step, urgency, position, now)
            return
        if not step.spec.is_gang:
            startable = self.pace.count_startable(now)
            allowed = min(
                allowed, startable if overdue_starts is None else overdue_starts
            )
        is_unlimited = allowed == pending.waiting
        pool = self.find_pool(step)
        reserved = self._preemptor.list_held(step) or self._reservations.list_workers(
            step
        )
        asked = self.shares.adjust_urgency(step, urgency)
        self._advice_planner.request_advice(
            step, pool, asked, position, now, pending.is_tried, reserved
        )
        checks_all_workers = not pending.is_tried or has_rack_preference(step.spec)
        if not (checks_all_workers or freed):
            return
        # Tasks that a quota holds back have not been tried: they may fit once the
        # quota allows them.
        pending.is_tried = is_unlimited
        eligible = self._find_eligible(
            step, pool, candidates, now, None if checks_all_workers else freed
        )
        if eligible and not checks_all_workers and step.spec.is_gang:
            eligible = self._find_eligible(step, pool, candidates, now, None)
        confined = _select_confined(step.job, eligible)
        tasks = _list_placeable(pending, allowed, eligible)
        expectation = self.expect(step, pool, urgency, now) if eligible else None
        plan = self._plan_around_reservations(
            step, tasks, confined, pool, urgency, now, expectation
        )
        if not plan and checks_all_workers and is_overdue(step, now):
            plan = self._plan_at_risk(pending, allowed, pool, candidates, now)
        if plan:
            self._reservations.release(step)
            self._order(step, plan, now, overdue_starts is not None)
        else:
            self._gang_capacity.reserve_if_advised(pending, urgency, now)
            if checks_all_workers and self._waits.is_diagnosis_due(step, now):
                self._waits.record(
                    step, self._find_reason(step, eligible, confined, now), now
                )
        if len(plan) < len(tasks) and len(eligible) > len(confined):
            placed = {task for task, _ in plan}
            self._request_wider_zones(
                step, [t for t in tasks if t not in placed], eligible, expectation
            )

    def _find_reason(
        self,
        step: Step,
        eligible: list[Candidate],
        confined: list[Candidate],
        now: float,
    ) -> WaitReason:
        """Return what a step waits for of which no task could be placed."""
        if not eligible:
            return self._waits.diagnose(step, now).reason
        if not confined:
            return WaitReason.ZONES
        if not any(self._reservations.may_use(c.key, step, now) for c in confined):
            return WaitReason.RESERVED
        return WaitReason.PLACEMENT

    def _plan_at_risk(
        self,
        pending: PendingStep,
        allowed: int,
        pool: str,
        candidates: Candidates,
        now: float,
    ) -> Plan:
        """Plan on suspect workers what has no other worker and has waited for long.

        Each worker gets one task, as it may fail, or all tasks that last.
        """
        step = pending.step
        if not self._is_pool_idle(step) and not step.spec.is_long_running:
            return []
        found = self._find_eligible(
            step, pool, candidates, now, None, with_suspects=True
        )
        tasks = [
            task
            for task in _list_placeable(pending, allowed, found)
            if self.worker_health.may_risk(task)
        ]
        if not tasks:
            return []
        suspects = _select_confined(step.job, found)
        plan = plan_step(step, tasks, suspects, True)
        if step.spec.is_long_running:
            return plan
        first = {candidate.key: (task, candidate) for task, candidate in plan[::-1]}
        return list(first.values())

    def expect(
        self, step: Step, pool: str, urgency: Urgency, now: float
    ) -> StepExpectation | None:
        """Return what is expected of a step in an uneven pool, ``None`` in others."""
        if not self.speeds.is_uneven(pool):
            return None
        slack = measure_available_slack(urgency)
        return self.speeds.expect(step, pool, slack, now)

    def _request_advice_while_held(
        self, step: Step, urgency: Urgency, position: int, now: float
    ) -> None:
        """Keep tickets fresh for the first step that an account's quota holds back.

        The advisor may need a second to answer. In that time other steps of the account
        would take the part of the quota that has become free.
        """
        account = step.job.record.account
        if (
            account in self._held_accounts
            or urgency.deadline_status is DeadlineStatus.LOST
        ):
            return
        self._held_accounts.add(account)
        urgency = self.shares.adjust_urgency(step, urgency)
        self._advice_planner.request_advice(
            step, self.find_pool(step), urgency, position, now
        )

    def _plan_around_reservations(
        self,
        step: Step,
        tasks: list[Task],
        confined: list[Candidate],
        pool: str,
        urgency: Urgency,
        now: float,
        expectation: StepExpectation | None,
    ) -> Plan:
        """Plan without the workers that are reserved for other steps, if possible.

        A step that is at least as urgent as a gang may use the gang's workers if the
        others don't suffice: what is kept from steps of the same rank stays idle, and
        gangs as a whole start later. Patient steps also leave the workers that a
        pending query about a gang names, as far as the others suffice.
        """
        reservations = self._reservations
        # A reservation may last for longer than a long-running task may be down.
        is_exempt = step.spec.is_long_running and is_overdue(step, now)
        available = [
            c for c in confined if is_exempt or reservations.may_use(c.key, step, now)
        ]
        named = self._gang_capacity.list_named(step.job.queue.rank)
        unnamed = [c for c in available if c.key not in named] if named else available
        if len(unnamed) < len(available):
            plan = self._plan(step, tasks, unnamed, pool, now, expectation)
            if len(plan) == len(tasks):
                return plan
        plan = self._plan(step, tasks, available, pool, now, expectation)
        if len(plan) == len(tasks) or len(available) == len(confined):
            return plan
        own = self.shares.find_precedence(step, urgency)
        precedes: dict[str, bool] = {step.name: True}

        def may_use(worker: str) -> bool:
            if (reservation := reservations.find(worker)) is None:
                return True
            gang = reservation.step
            if gang.name not in precedes:
                precedes[gang.name] = own <= self._find_gang_precedence(gang, now)
            return precedes[gang.name]

        confined = [c for c in confined if may_use(c.key)]
        if len(confined) <= len(available):
            return plan
        return self._plan(step, tasks, confined, pool, now, expectation)

    def _find_gang_precedence(self, step: Step, now: float) -> Precedence:
        """Return the precedence of a gang that has a reservation.

        It goes before all others if it has waited for too long in a pool in which these
        find other workers.
        """
        has_turn = self._has_turn_in_idle_pool(step, now)
        rank = FIRST_RANK if has_turn else step.job.queue.rank
        on_time = Urgency(DeadlineStatus.ON_TIME, rank, 0.0)
        return self.shares.find_precedence(step, on_time)

    def _plan(
        self,
        step: Step,
        tasks: list[Task],
        confined: list[Candidate],
        pool: str,
        now: float,
        expectation: StepExpectation | None,
    ) -> Plan:
        if not confined:
            return []
        may_leave_racks = has_rack_preference(step.spec) and self._may_leave_racks(
            step, pool, now
        )
        plan = plan_step(
            step, tasks, confined, may_leave_racks, self._find_zones(step), expectation
        )
        if len(plan) == len(tasks):
            step.constrained_since = None
        elif step.constrained_since is None:
            step.constrained_since = now
        return plan

    def _find_zones(self, step: Step) -> frozenset[str]:
        """Return the availability zones in which a step has runs."""
        contacts = self._owner.contacts
        return frozenset(
            contacts[run.worker].info.zone
            for run in step.list_runs()
            if run.worker in contacts
        )

    def _request_wider_zones(
        self,
        step: Step,
        tasks: list[Task],
        eligible: list[Candidate],
        expectation: StepExpectation | None,
    ) -> None:
        """Request zones for the tasks that the job's own zones can't hold."""
        if not step.job.can_widen_zones:
            return
        plan = plan_step(
            step, tasks, eligible, True, self._find_zones(step), expectation
        )
        zones = frozenset(candidate.zone for _, candidate in plan)
        if zones - step.job.zones:
            self._owner.widen_zones(step.job, zones)

    def _find_eligible(
        self,
        step: Step,
        pool: str,
        candidates: Candidates,
        now: float,
        among: set[str] | None,
        with_suspects: bool = False,
    ) -> list[Candidate]:
        """Return the candidates that may run a step, ignoring the job's zones.

        Workers without capacity for a task are left out. For a step with a rack
        preference they are included, because they show which racks it runs in.

        :param among: The workers to consider, all if ``None``.
        :param with_suspects: Whether workers in quarantine may be used.
        """
        spec, contacts = step.spec, self._owner.contacts
        keys: Iterable[str] = contacts if among is None else among
        if step.job.queue.advice is not None:
            keys = self._advice_scheduler.get(step).list_tickets(now, among)
        if not has_rack_preference(spec):
            size = spec.size
            keys = [k for k in keys if k in contacts and fits(size, contacts[k].free)]
        found = [
            candidate
            for candidate in candidates.find_all(keys)
            if candidate.contact.info.pool == pool
            and is_suitable(spec, candidate.contact.info)
            and (with_suspects or self.worker_health.may_start(candidate.key, step))
            and candidate.contact.last_order.allows(step, now)
        ]
        return self._preemptor.limit(step, found)

    def _may_leave_racks(self, step: Step, pool: str, now: float) -> bool:
        """Whether a step has waited long enough to run outside its preferred racks."""
        gain = (self._times.remote_factor - 1) * step.spec.estimate.total_seconds()
        since = step.constrained_since if step.constrained_since is not None else now
        if now - since >= min(gain, MAX_PLACEMENT_WAIT_SECONDS):
            return True
        possible = self._advice_planner.list_eligible(step, pool)
        workers = [worker for worker in possible if is_suitable(step.spec, worker)]
        return not fits_preferred_rack(step, workers)

    def request_urgent_advice(self, step: Step, now: float) -> None:
        """Request advice for a step as if it were the most urgent one."""
        self._advice_planner.request_advice(
            step, self.find_pool(step), measure_urgency(step, now), 0, now
        )

    def _order(
        self, step: Step, plan: Plan, now: float, takes_turn: bool = False
    ) -> None:
        for run in self._starter.order(step, plan, now, takes_turn):
            self.worker_health.record_start(run)
        self._preemptor.record_start(step, [candidate.key for _, candidate in plan])
        self._pending.mark_changed(step.job)

    # Ends --------------------------------------------------------------------

    def record_end(
        self, contact: WorkerContact, task: Task, end: EndedTask, run: Run | None
    ) -> None:
        """Record how a run ended."""
        if run is not None and end.kind is EndKind.COMPLETED:
            now = self._owner.now()
            self.speeds.record_completion(run, now)
        self.worker_health.record_end(contact.info.identifier, task, end)
        _log.info(
            "A run has ended.",
            id=task.name.job,
            task=task.name[1:],
            attempt=end.attempt,
            worker=contact.info.identifier,
            outcome=end.kind,
        )

    def start_copy(self, run: Run, now: float) -> bool:
        """Start a second run of a task on another worker.

        :returns: Whether there was a worker for it.
        """
        task, step = run.task, run.task.step
        if not self._owner.may_order():
            return False
        if not self._owner.account_limits.count_startable(step, 1):
            return False
        pool = self.find_pool(step)
        # If no task of the step is waiting, passes don't keep its tickets fresh.
        self.request_urgent_advice(step, now)
        found = self._find_eligible(step, pool, self._build_candidates(now), now, None)
        eligible = [candidate for candidate in found if candidate.key != run.worker]
        expectation = self.expect(step, pool, measure_urgency(step, now), now)
        confined = _select_confined(step.job, eligible)
        plan = plan_step(step, [task], confined, True, expectation=expectation)
        if plan:
            step.store_checkpoint(task, run.checkpoint)
            self._order(step, plan, now)
        else:
            self._request_wider_zones(step, [task], eligible, expectation)
        return bool(plan)


def _list_placeable(
    pending: PendingStep, allowed: int, eligible: list[Candidate]
) -> list[Task]:
    """List the tasks of a step to place, of many one more than fit.

    Those that were started before are listed as well, as their workers may differ.

    :param allowed: the most that may start.
    """
    step = pending.step
    if pending.waiting <= MAX_KEPT_TASKS:
        return pending.list_tasks()[:allowed]
    fitting = sum(count_fitting(step.spec, candidate.free) for candidate in eligible)
    return step.list_waiting(min(allowed, fitting + step.tasks.count_returned() + 1))


def _select_confined(job: Job, eligible: list[Candidate]) -> list[Candidate]:
    """Return the candidates in the zones that a job is confined to."""
    return [candidate for candidate in eligible if job.may_run_in(candidate.zone)]
