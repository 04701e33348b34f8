"""Supervision of runs: stops those better run elsewhere, and starts copies."""

from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.departures import find_runs_to_stop
from damaskdeck.coordination.pools.dispatcher import Dispatcher, DispatchOwner
from damaskdeck.coordination.pools.relocation import (
    find_runs_to_move,
    find_unreachable_runs,
    has_capacity,
    may_run_copies,
)
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.urgency import list_due_soon
from damaskdeck.logs import get_logger
from damaskdeck.state.pooljobs import Run

# Workers are polled, and so report the progress of their runs, every half second.
EVALUATION_SECONDS = 0.25

_log = get_logger("dispatching")


class RunSupervisor:
    """Supervises the runs of one owner."""

    def __init__(
        self,
        owner: DispatchOwner,
        dispatcher: Dispatcher,
        times: PoolTimes,
        advice_scheduler: AdviceScheduler,
    ) -> None:
        self._owner = owner
        self._dispatcher = dispatcher
        self._times = times
        self._advice_scheduler = advice_scheduler
        self._evaluated_at = float("-inf")

    def sweep(self, now: float) -> None:
        """Check all workers and their runs."""
        max_stop_time = self._times.max_stop_time
        contacts = self._owner.contacts
        for run in list(find_runs_to_stop(contacts.values(), max_stop_time, now)):
            self._stop_run(run, "A run would outlast the stay of its worker.")
        if now - self._evaluated_at >= EVALUATION_SECONDS:
            self._evaluated_at = now
            self._evaluate_workers(now)
        self._move_runs(now)
        self._request_advice_early(now)
        self._dispatcher.schedules.update()

    def _evaluate_workers(self, now: float) -> None:
        """Evaluate workers by the progress that their polls have reported."""
        contacts = self._owner.contacts
        names = frozenset(contacts)
        self._dispatcher.worker_health.retain_workers(names)
        self._dispatcher.speeds.update(contacts, now)
        for contact in contacts.values():
            for run in list(self._dispatcher.worker_health.find_stalled(contact, now)):
                self._stop_run(run, "A run makes no progress.")

    def _move_runs(self, now: float) -> None:
        """Move runs off slow workers, and start copies of runs on silent workers.

        This is repeated on every sweep, as the tickets that it needs may arrive at any
        time and expire soon.
        """
        contacts = self._owner.contacts
        for run in list(
            find_runs_to_move(contacts, self._dispatcher.speeds.slow_workers, now)
        ):
            self._move_run(run, now)
        for run in list(find_unreachable_runs(contacts, now)):
            if self._dispatcher.start_copy(run, now):
                _log.info(
                    "A copy of a run on a silent worker is started.",
                    id=run.task.name.job,
                    task=run.task.name[1:],
                    worker=run.worker,
                )

    def _request_advice_early(self, now: float) -> None:
        """Request advice for steps that will become due shortly."""
        for job in self._owner.job_index.open_jobs.values():
            if job.queue.advice is None or job.has_unconfirmed_runs:
                continue
            for step in list_due_soon(job, job.queue.advice, now):
                self._dispatcher.request_urgent_advice(step, now)

    def _move_run(self, run: Run, now: float) -> None:
        """Move a run, or its whole gang, off a slow worker if there is capacity.

        If copies are allowed, the slow run continues, as it may still end first.
        """
        task, step = run.task, run.task.step
        if len(task.runs) > 1:
            return
        tasks = step.tasks if step.spec.is_gang else [task]
        pool = self._dispatcher.find_pool(step)
        is_possible = has_capacity(
            step,
            pool,
            self._owner.contacts,
            self._dispatcher.speeds.slow_workers,
            self._advice_scheduler.get(step),
            len(tasks),
            now,
        )
        if not is_possible:
            return
        if may_run_copies(step):
            if not self._dispatcher.start_copy(run, now):
                return
        else:
            self._stop_run(run, "A run would end earlier on another worker.")
        for moved in tasks:
            moved.moves += 1

    def _stop_run(self, run: Run, reason: str) -> None:
        """Stop a run, with its whole gang, that should not continue where it is."""
        step = run.task.step
        if run.stopping_since is not None:
            return
        _log.info(
            reason,
            id=step.job.identifier,
            task=run.task.name[1:],
            attempt=run.attempt,
            worker=run.worker,
            percent=run.percent,
        )
        run.task.failed_on.add(run.worker)
        for stopped in list(step.list_runs()) if step.spec.is_gang else (run,):
            self._owner.stop(stopped)
