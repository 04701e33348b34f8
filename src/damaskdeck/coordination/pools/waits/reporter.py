"""Reports of the steps that wait, with the workers that there are for them."""

from collections.abc import Callable

from damaskdeck.coordination.pools.advice import AdviceScheduler
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.pending import PendingStep, RankedStep
from damaskdeck.coordination.pools.waits.diagnosis import StepDiagnosis, diagnose
from damaskdeck.coordination.pools.waits.reasons import WaitReason, WaitTracker
from damaskdeck.logs import get_logger
from damaskdeck.state.pooljobs import Step

_log = get_logger("dispatching")


class WaitReporter(WaitTracker):
    """Tracks what the pending steps of one owner wait for, and logs long waits.

    :param get_contacts: returns the known workers by identifier.
    :param find_pool: returns the pool of a step.
    """

    def __init__(
        self,
        get_contacts: Callable[[], dict[str, WorkerContact]],
        advice_scheduler: AdviceScheduler,
        find_pool: Callable[[Step], str],
    ) -> None:
        super().__init__()
        self._get_contacts = get_contacts
        self._advice_scheduler = advice_scheduler
        self._find_pool = find_pool

    def diagnose(self, step: Step, now: float) -> StepDiagnosis:
        """Return what workers there are for a step."""
        advice = self._advice_scheduler.get(step)
        return diagnose(step, self._find_pool(step), advice, self._get_contacts(), now)

    def record_skipped(
        self,
        ranked: list[RankedStep],
        first: PendingStep,
        reason: WaitReason,
        now: float,
    ) -> None:
        """Record why a pass doesn't look at a step and at those after it."""
        is_left = False
        for _, _, pending in ranked:
            is_left = is_left or pending is first
            if is_left and self.is_diagnosis_due(pending.step, now):
                self.record(pending.step, reason, now)

    def report(self, ranked: list[RankedStep], now: float) -> None:
        """Log the steps that have waited for long, and which workers there are."""
        for position, (urgency, _, pending) in enumerate(ranked, start=1):
            step = pending.step
            seconds = self.take_report(step, now)
            if seconds is None:
                continue
            _log.info(
                "A step is waiting.",
                id=step.job.identifier,
                step=step.number,
                queue=step.job.queue.name,
                status=urgency.deadline_status.name.lower(),
                position=position,
                pending=len(ranked),
                tasks=pending.waiting,
                is_gang=step.spec.is_gang,
                running=sum(1 for _ in step.list_runs()),
                seconds=seconds,
                **self.diagnose(step, now)._asdict(),
            )
