"""Why a step can't be placed, for logs and metrics; nothing is decided by it."""

from collections.abc import Iterable
from typing import NamedTuple

from damaskdeck.coordination.pools.advice import StepAdvice
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import count_fitting, is_suitable
from damaskdeck.coordination.pools.waits.reasons import WaitReason
from damaskdeck.protocol.sizes import fits
from damaskdeck.state.pooljobs import Step


class StepDiagnosis(NamedTuple):
    """What workers there are for a step.

    :param tickets: workers with a valid ticket; all of the pool without an advisor.
    :param consented: workers that the advisor has consented to at any time.
    :param roomy: of those, the workers with free capacity for a task.
    :param usable: of those, the workers that get orders.
    :param fitting: tasks of the step that fit there.
    :param reason: what it waits for if no worker may get orders of it.
    """

    tickets: int
    consented: int
    roomy: int
    usable: int
    fitting: int
    reason: WaitReason


def diagnose(
    step: Step,
    pool: str,
    advice: StepAdvice,
    contacts: dict[str, WorkerContact],
    now: float,
) -> StepDiagnosis:
    """Return what workers there are for a step that isn't placed."""
    spec = step.spec
    if step.job.queue.advice is None:
        consented: Iterable[str] = contacts
        valid = set(contacts)
    else:
        consented = advice.tickets
        valid = set(advice.list_tickets(now, None))
    known = [
        contact
        for key in consented
        if (contact := contacts.get(key)) is not None
        and contact.info.pool == pool
        and is_suitable(spec, contact.info)
    ]
    roomy = [contact for contact in known if fits(spec.size, contact.free)]
    usable = [contact for contact in roomy if contact.is_usable(now)]
    tickets = sum(contact.info.identifier in valid for contact in known)
    if not tickets:
        reason = WaitReason.ADVICE
    elif any(contact.info.identifier in valid for contact in roomy):
        reason = WaitReason.EXCLUDED
    else:
        reason = WaitReason.CAPACITY
    return StepDiagnosis(
        tickets,
        len(known),
        len(roomy),
        len(usable),
        sum(count_fitting(spec, contact.free) for contact in usable),
        reason,
    )
