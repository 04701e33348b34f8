"""Which runs to take off slow workers, as they would end earlier elsewhere."""

from collections.abc import Iterator

from damaskdeck.coordination.pools.advice import StepAdvice
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import count_fitting, is_suitable
from damaskdeck.coordination.pools.slowness import SlowWorkerDetector
from damaskdeck.coordination.pools.urgency import DeadlineStatus, measure_urgency
from damaskdeck.coordination.pools.workerhealth import is_working
from damaskdeck.state.pooljobs import Run, Step

# Slowness passes, and what was done is lost: elsewhere it must take less than half.
GAIN_FACTOR = 2.0
# For the stop, the new start and the way to them.
MOVE_SECONDS = 0.4
# A task that was moved so often stays where it is.
MOVES_LIMIT = 2


def find_moves(
    contacts: dict[str, WorkerContact], slow_workers: SlowWorkerDetector, now: float
) -> Iterator[Run]:
    """Yield the runs on slow workers that would end much earlier elsewhere."""
    for contact in contacts.values():
        if not contact.is_synchronized or not slow_workers.is_slow(
            contact.info.identifier, now
        ):
            continue
        for run in contact.runs.values():
            spec = run.task.step.spec
            if spec.is_long_running or run.task.moves >= MOVES_LIMIT:
                continue
            if is_working(run) and _gains(run, slow_workers, now):
                yield run


def _gains(run: Run, slow_workers: SlowWorkerDetector, now: float) -> bool:
    pace = run.pace
    sound, _ = slow_workers.expect(run)
    if pace is None or not sound:
        return False
    here = (100 - run.percent) / pace.rate
    # Slack counts until a start: a run may end its whole estimate later.
    deadline_status, _, slack = measure_urgency(run.task.step, now)
    estimate = run.task.step.spec.estimate.total_seconds()
    if deadline_status is DeadlineStatus.LOST or here <= slack + estimate:
        return False
    is_kept = run.task.step.spec.is_checkpointing and bool(run.checkpoint)
    there = (100 - run.percent if is_kept else 100) / sound
    return here > GAIN_FACTOR * there + MOVE_SECONDS


def may_have_copies(step: Step) -> bool:
    """Whether a task of a step may start beside a run of it."""
    return step.spec.is_speculative and not step.spec.is_gang


def find_silent(contacts: dict[str, WorkerContact], now: float) -> Iterator[Run]:
    """Yield the only runs of tasks that may have copies on workers that are silent.

    What runs there is not lost yet, but nothing is learnt of it before its worker
    answers or its lease is over, 6 s and more.
    """
    for contact in contacts.values():
        if not contact.is_silent(now):
            continue
        for run in contact.runs.values():
            is_wanted = run.stopping_since is None and not run.task.is_completed
            if is_wanted and len(run.task.runs) == 1 and may_have_copies(run.task.step):
                yield run


def has_room(
    step: Step,
    pool: str,
    contacts: dict[str, WorkerContact],
    slow_workers: SlowWorkerDetector,
    step_advice: StepAdvice,
    tasks: int,
    now: float,
) -> bool:
    """Tell whether sound workers that may run a step have room for so many tasks."""
    spec = step.spec
    room = 0
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
            room += count_fitting(spec, contact.free)
    return room >= tasks
