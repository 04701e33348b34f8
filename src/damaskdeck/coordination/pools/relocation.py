"""Selection of runs on slow workers that would end earlier elsewhere."""

from collections.abc import Iterator

from damaskdeck.coordination.pools.advice import StepAdvice
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import count_fitting, is_suitable
from damaskdeck.coordination.pools.speeds import SlowWorkerDetector
from damaskdeck.coordination.pools.urgency import DeadlineStatus, measure_urgency
from damaskdeck.coordination.pools.workerhealth import should_progress
from damaskdeck.state.pooljobs import Run, Step

# Slowness may pass, and a move loses the work done: a run must take less than half the
# time elsewhere.
MIN_SPEEDUP = 2.0
# Allowance for the stop, the new start and the messages for them.
MOVE_SECONDS = 0.4
# A task that was moved this often is not moved again.
MAX_MOVES = 2


def find_runs_to_move(
    contacts: dict[str, WorkerContact], slow_workers: SlowWorkerDetector, now: float
) -> Iterator[Run]:
    """Yield the runs on slow workers that would end much earlier elsewhere."""
    for contact in contacts.values():
        if not contact.are_runs_listed or not slow_workers.is_slow(
            contact.info.identifier, now
        ):
            continue
        for run in contact.runs.values():
            spec = run.task.step.spec
            if spec.is_long_running or run.task.moves >= MAX_MOVES:
                continue
            if should_progress(run) and _is_worth_moving(run, slow_workers, now):
                yield run


def _is_worth_moving(run: Run, slow_workers: SlowWorkerDetector, now: float) -> bool:
    progress_rate = run.progress_rate
    expected_rate = slow_workers.estimate_rate_elsewhere(run)
    if progress_rate is None or not expected_rate:
        return False
    remaining_here = (100 - run.percent) / progress_rate.rate
    # Slack lasts until the latest start, so a run may end a whole estimate after it.
    deadline_status, _, slack = measure_urgency(run.task.step, now)
    estimate = run.task.step.spec.estimate.total_seconds()
    if deadline_status is DeadlineStatus.LOST or remaining_here <= slack + estimate:
        return False
    keeps_progress = run.task.step.spec.is_checkpointing and bool(run.checkpoint)
    remaining_elsewhere = (100 - run.percent if keeps_progress else 100) / expected_rate
    return remaining_here > MIN_SPEEDUP * remaining_elsewhere + MOVE_SECONDS


def may_run_copies(step: Step) -> bool:
    """Whether a task of a step may have a second run beside its first."""
    return step.spec.is_speculative and not step.spec.is_gang


def find_unreachable_runs(
    contacts: dict[str, WorkerContact], now: float
) -> Iterator[Run]:
    """Yield the only runs, on silent workers, of tasks that may have copies.

    Such a run is not lost yet, but its state stays unknown until its worker answers or
    the worker's lease expires, 6 s or more.
    """
    for contact in contacts.values():
        if not contact.is_silent(now):
            continue
        for run in contact.runs.values():
            is_wanted = run.stopping_since is None and not run.task.is_completed
            if is_wanted and len(run.task.runs) == 1 and may_run_copies(run.task.step):
                yield run


def has_capacity(
    step: Step,
    pool: str,
    contacts: dict[str, WorkerContact],
    slow_workers: SlowWorkerDetector,
    step_advice: StepAdvice,
    tasks: int,
    now: float,
) -> bool:
    """Whether healthy workers have capacity for a number of tasks of a step."""
    spec = step.spec
    capacity = 0
    for key, contact in contacts.items():
        info = contact.info
        if (
            info.pool != pool
            or key in step_advice.refused
            or not is_suitable(spec, info)
        ):
            continue
        if not step.job.may_run_in(info.zone):
            continue
        if contact.is_usable(now) and not slow_workers.is_slow(key, now):
            capacity += count_fitting(spec, contact.free)
    return capacity >= tasks
