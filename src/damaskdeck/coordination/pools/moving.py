"""Which runs to take off slow workers, as they would end earlier elsewhere."""

from collections.abc import Iterator

from damaskdeck.coordination.pools.advising import Verdicts
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.ordering import Outlook, judge_step
from damaskdeck.coordination.pools.placing import count_fitting, suits
from damaskdeck.coordination.pools.speeds import Speeds
from damaskdeck.coordination.pools.trust import is_working
from damaskdeck.state.board import Run, Step

# Slowness passes, and what was done is lost: elsewhere it must take less than half.
GAIN_FACTOR = 2.0
# For the stop, the new start and the way to them.
MOVE_SECONDS = 0.4
# A task that was moved so often stays where it is.
MOVES_LIMIT = 2


def find_moves(
    contacts: dict[str, WorkerContact], speeds: Speeds, now: float
) -> Iterator[Run]:
    """Yield the runs on slow workers that would end much earlier elsewhere."""
    for contact in contacts.values():
        if not contact.is_known or not speeds.is_slow(contact.info.identifier, now):
            continue
        for run in contact.runs.values():
            spec = run.task.step.spec
            if spec.is_lasting or run.task.moves >= MOVES_LIMIT:
                continue
            if is_working(run) and _gains(run, speeds, now):
                yield run


def _gains(run: Run, speeds: Speeds, now: float) -> bool:
    pace = run.pace
    sound, _ = speeds.expect(run)
    if pace is None or not sound:
        return False
    here = (100 - run.percent) / pace.rate
    # Slack counts until a start: a run may end its whole estimate later.
    outlook, _, slack = judge_step(run.task.step, now)
    estimate = run.task.step.spec.estimate.total_seconds()
    if outlook is Outlook.LOST or here <= slack + estimate:
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
    speeds: Speeds,
    verdicts: Verdicts,
    tasks: int,
    now: float,
) -> bool:
    """Tell whether sound workers that may run a step have room for so many tasks."""
    spec = step.spec
    room = 0
    for key, contact in contacts.items():
        info = contact.info
        if info.pool != pool or key in verdicts.refused or not suits(spec, info):
            continue
        if not step.job.may_run_in(info.zone):
            continue
        if contact.is_usable(now) and not speeds.is_slow(key, now):
            room += count_fitting(spec, contact.free)
    return room >= tasks
