"""Watches what runs: gives up what won't end where it is, and starts copies."""

from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.departures import find_departing
from damaskdeck.coordination.pools.dispatcher import Dispatcher, DispatchOwner
from damaskdeck.coordination.pools.relocation import (
    find_moves,
    find_silent,
    has_room,
    may_have_copies,
)
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.urgency import is_due_soon
from damaskdeck.logs import get_logger
from damaskdeck.state.pooljobs import Run

# A look at a worker, which tells the progress of its runs, comes every half second.
JUDGE_SECONDS = 0.25

_log = get_logger("dispatching")


class Supervisor:
    """Looks after the runs of one owner."""

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
        self._judged_at = float("-inf")

    def sweep(self, now: float) -> None:
        """Look at all workers and at what they run."""
        longest = self._times.max_stop_time
        contacts = self._owner.contacts
        for run in list(find_departing(contacts.values(), longest, now)):
            self._give_up(run, "A run would outlast its worker's stay.")
        if now - self._judged_at >= JUDGE_SECONDS:
            self._judged_at = now
            self._judge(now)
        self._move_runs(now)
        self._ask_ahead(now)
        self._dispatcher.open_occurrences()

    def _judge(self, now: float) -> None:
        """Judge workers by the progress that looks at them have told."""
        contacts = self._owner.contacts
        names = frozenset(contacts)
        self._dispatcher.worker_health.set_workers(names)
        self._dispatcher.speed_ranks.set_workers(names)
        self._dispatcher.slow_workers.judge(contacts.values(), now)
        for contact in contacts.values():
            for run in list(self._dispatcher.worker_health.find_stalled(contact, now)):
                self._give_up(run, "A run stands still.")

    def _move_runs(self, now: float) -> None:
        """Take runs off slow workers, and copy those that nothing is heard of.

        As often as tickets for that may come: they don't last.
        """
        contacts = self._owner.contacts
        for run in list(find_moves(contacts, self._dispatcher.slow_workers, now)):
            self._move(run, now)
        for run in list(find_silent(contacts, now)):
            if self._dispatcher.start_copy(run, now):
                _log.info(
                    "A task is started beside a run that nothing is heard of.",
                    id=run.task.name.job,
                    task=run.task.name[1:],
                    worker=run.worker,
                )

    def _ask_ahead(self, now: float) -> None:
        """Ask the advisor about steps that are about to become due."""
        for job in self._owner.job_index.open_jobs.values():
            if job.queue.advice is None or job.has_unconfirmed_runs:
                continue
            for step in job.list_steps():
                if is_due_soon(step, job.queue.advice, now):
                    self._dispatcher.request_urgent_advice(step, now)

    def _move(self, run: Run, now: float) -> None:
        """Take a run, or its whole gang, off a slow worker if there is room.

        Where copies may run side by side the slow one goes on, as it may yet win.
        """
        task, step = run.task, run.task.step
        if len(task.runs) > 1:
            return
        tasks = step.tasks if step.spec.is_gang else [task]
        pool = self._dispatcher.find_pool(step)
        is_possible = has_room(
            step,
            pool,
            self._owner.contacts,
            self._dispatcher.slow_workers,
            self._advice_scheduler.get(step),
            len(tasks),
            now,
        )
        if not is_possible:
            return
        if may_have_copies(step):
            if not self._dispatcher.start_copy(run, now):
                return
        else:
            self._give_up(run, "A run would end earlier elsewhere.")
        for moved in tasks:
            moved.moves += 1

    def _give_up(self, run: Run, reason: str) -> None:
        """Stop a run that won't end where it is, and with it its gang."""
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
