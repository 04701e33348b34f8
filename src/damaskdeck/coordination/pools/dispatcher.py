"""Gives room to waiting tasks: passes over the open jobs, and the orders to start."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.accountlimits import AccountLimits
from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.adviceplanner import Asker
from damaskdeck.coordination.pools.candidates import Candidate, Candidates
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.pending import PendingStep, PendingSteps, RankedStep
from damaskdeck.coordination.pools.planning import (
    Plan,
    fits_preferred_rack,
    has_rack_preference,
    is_suitable,
    plan_step,
)
from damaskdeck.coordination.pools.reservations import Reservations, is_contended
from damaskdeck.coordination.pools.slowness import SlowWorkerDetector
from damaskdeck.coordination.pools.speedranks import SpeedRanks
from damaskdeck.coordination.pools.starter import Starter, StartOwner
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.urgency import (
    DeadlineStatus,
    Urgency,
    measure_urgency,
)
from damaskdeck.coordination.pools.workerhealth import WorkerHealth
from damaskdeck.logs import get_logger
from damaskdeck.protocol.pools import EndedTask, EndKind
from damaskdeck.protocol.queues import QueueJobState, QueueTable
from damaskdeck.protocol.sizes import fits
from damaskdeck.state.pooljobs import Job, JobIndex, Run, Step, Task

# What happens within so short a time shares a pass.
PASS_INTERVAL = timedelta(milliseconds=4)
# What no event tells, such as a pause that ends, is seen after so long at most: each
# pending step then looks at all workers again, some 0.1 ms of processor time a step.
FULL_PASS_SECONDS = 0.25
# A step waits for the racks where it runs best for what it gains there, at most so
# long: with room elsewhere nothing may wait for 3 s (the platform's rule).
FAR_WAIT_SECONDS = 2.0

_log = get_logger("dispatching")


class DispatchOwner(StartOwner, Protocol):
    """What the dispatcher asks of the owner whose jobs it places."""

    job_index: JobIndex
    contacts: dict[str, WorkerContact]
    account_limits: AccountLimits

    def get_table(self) -> QueueTable | None:
        """Return the declared queues in force."""

    def may_decide(self) -> bool:
        """Whether the mandate is fresh enough to start tasks by."""

    def end_job(self, job: Job, state: QueueJobState, reason: str) -> None:
        """Give a job its final state."""

    def widen_zones(self, job: Job, zones: frozenset[str]) -> None:
        """Let workers of more zones run a job, as soon as that is durable."""


class Dispatcher:
    """Places tasks of one owner's jobs.

    :ivar worker_health: what speaks against workers.
    :ivar slow_workers: which workers are slow just now.
    :ivar speed_ranks: which of the sound ones are faster.
    """

    def __init__(
        self,
        owner: DispatchOwner,
        clock: Clock,
        times: PoolTimes,
        advice_scheduler: AdviceScheduler,
    ) -> None:
        self._owner = owner
        self._clock = clock
        self._times = times
        self._advice_scheduler = advice_scheduler
        self.worker_health = WorkerHealth(clock)
        self.slow_workers = SlowWorkerDetector()
        self.speed_ranks = SpeedRanks()
        self._has_work = asyncio.Event()
        self._is_draining = False
        self._starter = Starter(owner, clock, advice_scheduler, self.mark_changed)
        self._pending = PendingSteps()
        # Workers whose room has grown, or that may get orders again, since a pass.
        self._opened: set[str] = set()
        self._usable: set[str] = set()
        self._looked_at = float("-inf")
        # Accounts of which a step that waits for quota was asked about in this pass.
        self._asked_held: set[str] = set()
        self._reservations = Reservations()
        self._asker = Asker(advice_scheduler, lambda: owner.contacts)
        # The first occurrence that isn't open yet, by job.
        self._timed: dict[str, int] = {}

    def wake(self) -> None:
        """Ask for a pass."""
        self._has_work.set()

    def request_full_pass(self) -> None:
        """Let every pending step look at all workers again, in a pass."""
        self._pending.retry_all()
        self.wake()

    def mark_changed(self, job: Job) -> None:
        """Take note that tasks of a job may wait, or no longer do."""
        self._pending.mark_changed(job)
        self.wake()

    def handle_advice(self, step: Step) -> None:
        """Take note that the advisor has answered about a step."""
        self._pending.retry(step)
        self.wake()

    def handle_freed_capacity(self, contact: WorkerContact) -> None:
        """Take note that a worker's room has grown."""
        self._opened.add(contact.info.identifier)
        self.wake()

    def handle_contact_change(self, contact: WorkerContact) -> None:
        """Take note that a worker has answered, or has fallen silent."""
        worker = contact.info.identifier
        if not contact.is_usable(self._owner.now()):
            self._usable.discard(worker)
        elif worker not in self._usable:
            self._usable.add(worker)
            self.handle_freed_capacity(contact)

    def add_job(self, job: Job) -> None:
        """Take note of a new job."""
        if job.record.spec.repeats and not job.is_final:
            self._timed[job.identifier] = 0
        self.mark_changed(job)

    def discard(self, step: Step) -> None:
        """Drop what was gathered of a step of a job that has ended."""
        self.speed_ranks.discard(step)

    def close(self) -> None:
        """Stop at once."""
        self._starter.close()

    async def drain(self) -> None:
        """Order nothing any more; wait for the answers to what was ordered."""
        self._is_draining = True
        await self._starter.drain(self._times.start_timeout)

    async def run(self) -> None:
        """Make a pass whenever something has changed."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            if self._owner.may_decide() and not self._is_draining:
                self._pass()
            await self._clock.sleep(PASS_INTERVAL)

    # Pass --------------------------------------------------------------------

    def _pass(self) -> None:
        now = self._owner.now()
        is_full_look = now - self._looked_at >= FULL_PASS_SECONDS
        if is_full_look:
            self._looked_at = now
            self._pending.retry_all()
        opened, self._opened = self._opened, set()
        candidates = self._find_candidates(now)
        ranked = self._pending.rank(now)
        self._asked_held.clear()
        place = 0
        for urgency, _, pending in ranked:
            if pending.step.not_before > now:
                continue
            place += 1
            self._place(pending, candidates, opened, urgency, place, now)
        if is_full_look:
            self._keep_room(ranked, now)

    def _keep_room(self, ranked: list[RankedStep], now: float) -> None:
        """Keep room for the gangs that wait, in the order of their urgency."""
        contacts = self._owner.contacts
        fleets: dict[str, list[WorkerContact]] = {}
        for contact in contacts.values():
            fleets.setdefault(contact.info.pool, []).append(contact)
        crowded = {pool for pool, fleet in fleets.items() if is_contended(fleet)}
        gangs = [
            (pending.step, pool)
            for urgency, _, pending in ranked
            if pending.step.spec.is_gang
            and urgency.deadline_status is not DeadlineStatus.LOST
            if not has_rack_preference(pending.step.spec) and self._may_start(pending)
            if (pool := self.find_pool(pending.step)) in crowded
        ]
        self._reservations.retain(step.name for step, _ in gangs)
        for step, pool in gangs:
            keys: Iterable[str] = contacts
            if step.job.queue.advice is not None:
                keys = self._advice_scheduler.get(step).tickets
            able = [
                contact
                for contact in (contacts[key] for key in keys if key in contacts)
                if contact.info.pool == pool
                and contact.is_usable(now)
                and is_suitable(step.spec, contact.info)
                and step.job.may_run_in(contact.info.zone)
            ]
            self._reservations.reserve(step, able, fleets[pool], now)

    def _may_start(self, pending: PendingStep) -> bool:
        """Whether a gang waits for room alone, and not for its account's quota."""
        waiting = len(pending.step.list_waiting())
        account_limits = self._owner.account_limits
        return bool(waiting) and bool(
            account_limits.count_startable(pending.step, waiting)
        )

    def _find_candidates(self, now: float) -> Candidates:
        return Candidates(
            self._owner.contacts, self.slow_workers, self.speed_ranks, now
        )

    def find_pool(self, step: Step) -> str:
        """Return the pool that the operators declare for a step's queue now."""
        table = self._owner.get_table()
        queue = table.get(step.job.queue.name) if table is not None else None
        return queue.pool if queue is not None else step.job.queue.pool

    def _place(
        self,
        pending: PendingStep,
        candidates: Candidates,
        opened: set[str],
        urgency: Urgency,
        place: int,
        now: float,
    ) -> None:
        """Place what fits of a step.

        One that was tried and has changed in nothing looks at the workers that have
        opened since alone: the others had no room for it, and have no more now.
        """
        step, tasks = pending.step, pending.tasks
        account_limits = self._owner.account_limits
        allowed = account_limits.count_startable(step, len(tasks))
        if not allowed:
            self._ask_while_held(step, urgency, place, now)
            return
        is_whole = allowed == len(tasks)
        tasks = tasks[:allowed]
        pool = self.find_pool(step)
        kept = self._reservations.list_workers(step)
        self._asker.ask(step, pool, urgency, place, now, pending.is_tried, kept)
        is_whole_look = not pending.is_tried or has_rack_preference(step.spec)
        if not (is_whole_look or opened):
            return
        # What a quota holds back has not been tried: it has room as soon as it may.
        pending.is_tried = is_whole
        able = self._find_able(
            step, pool, candidates, now, None if is_whole_look else opened
        )
        if able and not is_whole_look and step.spec.is_gang:
            able = self._find_able(step, pool, candidates, now, None)
        suited = _select_confined(step.job, able)
        plan = self._plan_beside(step, tasks, suited, pool, urgency, now)
        if plan:
            self._reservations.release(step)
            self._order(step, plan, now)
        if len(plan) < len(tasks) and len(able) > len(suited):
            placed = {task for task, _ in plan}
            self._widen(step, [t for t in tasks if t not in placed], able)

    def _ask_while_held(
        self, step: Step, urgency: Urgency, place: int, now: float
    ) -> None:
        """Keep tickets of the first step of an account that its quota holds back.

        The advisor needs a second for a plan's: meanwhile others of the account would
        take what has come back of the quota.
        """
        account = step.job.record.account
        if (
            account in self._asked_held
            or urgency.deadline_status is DeadlineStatus.LOST
        ):
            return
        self._asked_held.add(account)
        self._asker.ask(step, self.find_pool(step), urgency, place, now)

    def _plan_beside(
        self,
        step: Step,
        tasks: list[Task],
        suited: list[Candidate],
        pool: str,
        urgency: Urgency,
        now: float,
    ) -> Plan:
        """Plan without the room that is kept for others, if that is possible.

        What comes before a gang in the order may take its room where it has no other.
        """
        kept = self._reservations
        beside = [c for c in suited if kept.may_use(c.key, step, now)]
        plan = self._plan(step, tasks, beside, pool, now) if beside else []
        if len(plan) == len(tasks) or len(beside) == len(suited):
            return plan
        mine = urgency.deadline_status, urgency.rank
        suited = [
            c
            for c in suited
            if (held := kept.find(c.key)) is None
            or held.step is step
            or mine < (DeadlineStatus.ON_TIME, held.step.job.queue.rank)
        ]
        if len(suited) <= len(beside):
            return plan
        return self._plan(step, tasks, suited, pool, now)

    def _plan(
        self,
        step: Step,
        tasks: list[Task],
        suited: list[Candidate],
        pool: str,
        now: float,
    ) -> Plan:
        may_go_far = has_rack_preference(step.spec) and self._may_go_far(
            step, pool, now
        )
        plan = plan_step(step, tasks, suited, may_go_far, self._find_zones(step))
        if len(plan) == len(tasks):
            step.constrained_since = None
        elif step.constrained_since is None:
            step.constrained_since = now
        return plan

    def _find_zones(self, step: Step) -> frozenset[str]:
        """Return the availability zones that a step runs in."""
        contacts = self._owner.contacts
        return frozenset(
            contacts[run.worker].info.zone
            for run in step.list_runs()
            if run.worker in contacts
        )

    def _widen(self, step: Step, tasks: list[Task], able: list[Candidate]) -> None:
        """Ask for the zones that would hold what the job's own don't."""
        if not step.job.can_widen_zones:
            return
        plan = plan_step(step, tasks, able, True, self._find_zones(step))
        zones = frozenset(candidate.zone for _, candidate in plan)
        if zones - step.job.zones:
            self._owner.widen_zones(step.job, zones)

    def _find_able(
        self,
        step: Step,
        pool: str,
        candidates: Candidates,
        now: float,
        among: set[str] | None,
    ) -> list[Candidate]:
        """Return who may run a step, the job's zones aside.

        Those without room for a task are left out, unless they tell a choosy step
        where it runs.

        :param among: the workers to look at, all when ``None``.
        """
        spec, contacts = step.spec, self._owner.contacts
        keys: Iterable[str] = contacts if among is None else among
        if step.job.queue.advice is not None:
            keys = self._advice_scheduler.get(step).list_tickets(now, among)
        if not has_rack_preference(spec):
            size = spec.size
            keys = [k for k in keys if k in contacts and fits(size, contacts[k].free)]
        return [
            candidate
            for candidate in candidates.find_all(keys)
            if candidate.contact.info.pool == pool
            and is_suitable(spec, candidate.contact.info)
            and self.worker_health.may_start(candidate.key, step.job)
            and candidate.contact.last_order.allows(step, now)
        ]

    def _may_go_far(self, step: Step, pool: str, now: float) -> bool:
        """Whether a choosy step has waited long enough for its best racks."""
        gain = (self._times.remote_factor - 1) * step.spec.estimate.total_seconds()
        since = step.constrained_since if step.constrained_since is not None else now
        if now - since >= min(gain, FAR_WAIT_SECONDS):
            return True
        listed = self._asker.list_possible(step, pool)
        workers = [worker for worker in listed if is_suitable(step.spec, worker)]
        return not fits_preferred_rack(step, workers)

    def request_urgent_advice(self, step: Step, now: float) -> None:
        """Ask about a step as if it were the most urgent one."""
        self._asker.ask(step, self.find_pool(step), measure_urgency(step, now), 0, now)

    def _order(self, step: Step, plan: Plan, now: float) -> None:
        for run in self._starter.order(step, plan, now):
            self.worker_health.record_start(run)
        self._pending.mark_changed(step.job)

    # Ends and time -----------------------------------------------------------

    def record_end(
        self, contact: WorkerContact, task: Task, end: EndedTask, run: Run | None
    ) -> None:
        """Take note of how a run ended."""
        if run is not None and end.kind is EndKind.COMPLETED:
            now = self._owner.now()
            self.slow_workers.record_completion(run, now)
            self.speed_ranks.record_completion(run, now)
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
        """Start a second run of a task on another worker; returns whether it could."""
        task, step = run.task, run.task.step
        if not self._owner.may_decide():
            return False
        if not self._owner.account_limits.count_startable(step, 1):
            return False
        pool = self.find_pool(step)
        # No task of the step may be waiting, so nobody else keeps its tickets fresh.
        self.request_urgent_advice(step, now)
        found = self._find_able(step, pool, self._find_candidates(now), now, None)
        able = [candidate for candidate in found if candidate.key != run.worker]
        plan = plan_step(step, [task], _select_confined(step.job, able), True)
        if plan:
            step.store_checkpoint(task, run.checkpoint)
            self._order(step, plan, now)
        else:
            self._widen(step, [task], able)
        return bool(plan)

    def open_occurrences(self) -> None:
        """Open the occurrences of timed jobs that are due."""
        if not self._timed:
            return
        wall = self._clock.now().timestamp()
        for identifier in list(self._timed):
            job = self._owner.job_index.open_jobs.get(identifier)
            if job is None:
                del self._timed[identifier]
            else:
                self._open_due(job, wall)

    def _open_due(self, job: Job, wall: float) -> None:
        spec = job.record.spec
        now = self._owner.now()
        for number in range(self._timed[job.identifier], spec.repeats):
            since = wall - (spec.start_at + spec.interval * number).total_seconds()
            if since < 0:
                return
            # One that was opened before, by what lasted of it, gets its time too.
            job.open_occurrence(number, now - since)
            self._timed[job.identifier] = number + 1
            self.mark_changed(job)
        del self._timed[job.identifier]
        if job.close_if_completed(self._owner.now()):
            self._owner.end_job(job, QueueJobState.COMPLETED, "all tasks completed")


def _select_confined(job: Job, able: list[Candidate]) -> list[Candidate]:
    """Return those in the zones that a job is confined to."""
    return [candidate for candidate in able if job.may_run_in(candidate.zone)]
