"""Start orders for placed tasks, and the handling of orders without a clear answer."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from damaskdeck.background import hold_task, start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.overload import StartPace
from damaskdeck.coordination.pools.planning import Plan
from damaskdeck.coordination.pools.predecessors.attempts import AttemptNumbers
from damaskdeck.coordination.pools.predecessors.recording import RunRecording
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.waits import (
    WaitReporter,
    measure_wait,
    record_wait,
)
from damaskdeck.delays import LoopDelay, ReplyLimit
from damaskdeck.logs import get_logger
from damaskdeck.metrics import observe_wait
from damaskdeck.priorities import create_urgent_task
from damaskdeck.state.pooljobs import Job, Run, RunPhase, Step, Task

MOST_URGENT_RANK = 0
# Time until a gang that could not start is tried again.
GANG_RETRY_SECONDS = 0.2
# Time until a start is tried again whose record the store has refused.
REFUSED_RETRY_SECONDS = 5.0
# How long unconfirmed members of a gang are waited for. Together with the timeout of an
# order this is well below that of the workers, 3 s.
GANG_CONFIRM_SECONDS = 1.0
# How long an order waits until its record is durable.
RECORD_TIMEOUT = timedelta(milliseconds=500)
# Interval at which unconfirmed members are checked.
CONFIRM_POLL_INTERVAL = timedelta(milliseconds=4)

_log = get_logger("dispatching")


class StartOwner(Protocol):
    """The interface of the owner that a starter uses."""

    term: OwnerTerm

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def next_attempt(self, tasks: list[Task]) -> int:
        """Return an attempt number above all earlier ones of the tasks."""

    def stop(self, run: Run) -> None:
        """Request the worker of a run to end it."""

    def may_order(self) -> bool:
        """Whether tasks may be ordered at this moment."""

    recording: RunRecording
    attempts: AttemptNumbers

    def is_stored(self, job: Job) -> bool:
        """Whether the store has not refused a record of a job for good."""

    def mark_dirty(self, job: Job) -> None:
        """Write the progress of a job with the next commit."""

    async def flush(self) -> None:
        """Wait until all changes up to now are durable."""


class Starter:
    """Orders planned tasks on their workers.

    :param mark_changed: called with a job whose tasks may wait again.
    :param wake: called when more starts may be under way.
    :param delay: of this process's event loop.
    :param waits: what steps wait for.
    :ivar pace: how many starts may be under way.
    """

    def __init__(
        self,
        owner: StartOwner,
        clock: Clock,
        advice_scheduler: AdviceScheduler,
        mark_changed: Callable[[Job], None],
        wake: Callable[[], None],
        delay: LoopDelay,
        waits: WaitReporter,
    ) -> None:
        self._waits = waits
        self.pace = StartPace(delay)
        self._delay = delay
        self._wake = wake
        self._owner = owner
        self._clock = clock
        self._advice_scheduler = advice_scheduler
        self._mark_changed = mark_changed
        self._starts: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancel all orders in flight."""
        for task in self._starts:
            task.cancel()

    async def drain(self, timeout: timedelta) -> None:
        """Wait for the answers to the orders in flight."""
        if self._starts:
            await asyncio.wait(self._starts, timeout=timeout.total_seconds())

    def order(
        self, step: Step, plan: Plan, now: float, is_overdue: bool = False
    ) -> list[Run]:
        """Order a plan; its runs take their capacity at once.

        :param is_overdue: whether the step is among those that have waited longest.
        """
        attempt = self._owner.next_attempt([task for task, _ in plan])
        runs: list[tuple[Run, WorkerContact]] = []
        for task, candidate in plan:
            task.attempt = attempt
            run = Run(task, candidate.key, attempt, now)
            task.add_run(run)
            candidate.contact.add_run(run)
            candidate.contact.last_order.record(step, now)
            runs.append((run, candidate.contact))
        if not step.job.has_started:
            waited = timedelta(seconds=max(0.0, now - step.job.arrived_at))
            observe_wait("pools", str(step.job.queue.rank), waited)
        wait = measure_wait(step, self._advice_scheduler.get(step), now)
        record_wait(wait)
        step.waiting_since = None
        _log.info(
            "Ordered.",
            id=step.job.identifier,
            step=step.number,
            attempt=attempt,
            tasks=[task.name.index for task, _ in plan],
            workers=[candidate.key for _, candidate in plan],
            age=round(now - step.job.arrived_at, 3),
            epoch=self._owner.term.epoch,
            **wait.describe(),
            waited_for=self._waits.end(step, now),
        )
        is_required = self._record(step, [run for run, _ in runs])
        is_required = is_required or not self._owner.attempts.is_durable(attempt)
        self.pace.begin(len(runs), is_overdue)
        start = self._start_at_pace(step, runs, is_required)
        # Of few starts under way, a slow one keeps others from being ordered.
        if self.pace.is_reduced or step.job.queue.rank == MOST_URGENT_RANK:
            hold_task(create_urgent_task(start), self._starts)
        else:
            start_task(start, self._starts)
        return [run for run, _ in runs]

    def _record(self, step: Step, runs: list[Run]) -> bool:
        """Record starts; return whether they must have their record first in any case.

        A successor has to know of tasks that may crash their workers, even if these
        crash at once.
        """
        records = step.job.recorded_starts
        required = [run for run in runs if records.is_required(run.task.name)]
        for run in required:
            records.record(run.task.name, run.attempt, run.worker)
        self._owner.mark_dirty(step.job)
        return bool(required)

    async def _wait_for_records(
        self, step: Step, runs: list[tuple[Run, WorkerContact]], is_required: bool
    ) -> bool:
        """Wait until starts are recorded; return whether they may be ordered."""
        recording = self._owner.recording
        is_recorded = await self._flush()
        if is_recorded and not self._owner.is_stored(step.job):
            # Repeating this at once would only cost more refused commits.
            step.not_before = self._owner.now() + REFUSED_RETRY_SECONDS
            is_recorded, is_required = False, True
        is_durable = is_recorded or not (is_required or recording.must_wait())
        if is_durable:
            recording.record_order(is_recorded)
        may_send = self._owner.may_order() and all(c.may_send(r) for r, c in runs)
        if is_durable and may_send:
            now = self._owner.now()
            for run, contact in runs:
                run.ordered_at = run.settled_at = now
                contact.last_order.record(step, now)
            return True
        _log.info(
            "A recorded start is not ordered.",
            id=step.job.identifier,
            step=step.number,
            attempt=runs[0][0].attempt,
            reason="changed" if is_durable else "not_durable",
        )
        for run, contact in runs:
            contact.discard_unsent(run)
        return False

    async def _flush(self) -> bool:
        try:
            async with ReplyLimit(RECORD_TIMEOUT, self._delay):
                await self._owner.flush()
        except TimeoutError:
            return False
        return True

    async def _start_at_pace(
        self, step: Step, runs: list[tuple[Run, WorkerContact]], is_required: bool
    ) -> None:
        ordered_at = self._owner.now()
        try:
            results = await self._start(step, runs, is_required)
        finally:
            self.pace.end(len(runs), self._owner.now() - ordered_at)
            self._wake()
        if results is not None:
            await self._handle_results(step, runs, results)

    async def _start(
        self, step: Step, runs: list[tuple[Run, WorkerContact]], is_required: bool
    ) -> list[bool] | None:
        """Return which starts were confirmed, ``None`` if none was ordered."""
        recording = self._owner.recording
        ordered_at = self._owner.now()
        if is_required or recording.must_wait():
            if not await self._wait_for_records(step, runs, is_required):
                self._mark_changed(step.job)
                return None
        else:
            recording.record_order(is_recorded=False)
        step_advice = self._advice_scheduler.get(step)
        needs_ticket = step.job.queue.advice is not None
        payload = step.job.record.spec.payload

        def start(run: Run, contact: WorkerContact):
            ticket = step_advice.tickets.get(run.worker, ("", 0.0))[0]
            return contact.start(
                run, payload, run.task.checkpoint, ticket if needs_ticket else ""
            )

        sent_at = self._owner.now()
        results = await asyncio.gather(*(start(run, c) for run, c in runs))
        self.pace.record_answers(results.count(True), self._owner.now())
        _log.info(
            "Starts were answered.",
            id=step.job.identifier,
            step=step.number,
            attempt=runs[0][0].attempt,
            queue=step.job.queue.name,
            rank=step.job.queue.rank,
            confirmed=results.count(True),
            recorded_after=round(sent_at - ordered_at, 3),
            answered_after=round(self._owner.now() - sent_at, 3),
        )
        return results

    async def _handle_results(
        self,
        step: Step,
        runs: list[tuple[Run, WorkerContact]],
        results: list[bool],
    ) -> None:
        """Handle starts that were not confirmed."""
        if all(results):
            return
        step_advice = self._advice_scheduler.get(step)
        for (run, _), is_started in zip(runs, results, strict=True):
            if not is_started and run.phase is RunPhase.ORDERED:
                step_advice.discard_ticket(run.worker)
        is_gang = step.spec.is_gang and not step.is_completed
        if is_gang and not await self._confirm_gang([run for run, _ in runs]):
            step.not_before = self._owner.now() + GANG_RETRY_SECONDS
            for run in list(step.list_runs()):
                self._owner.stop(run)
        self._mark_changed(step.job)

    async def _confirm_gang(self, runs: list[Run]) -> bool:
        """Wait for unconfirmed members, and return whether all members run.

        A lost answer does not mean that a start failed: the next poll of the worker
        shows its state, mostly within a few milliseconds.
        """
        latest = self._owner.now() + GANG_CONFIRM_SECONDS
        while any(run.phase is RunPhase.DOUBTFUL for run in runs):
            is_lost = any(
                run.stopping_since is not None or run not in run.task.runs
                for run in runs
            )
            if is_lost or self._owner.now() >= latest:
                return False
            await self._clock.sleep(CONFIRM_POLL_INTERVAL)
        return all(run.phase is RunPhase.RUNNING for run in runs)
