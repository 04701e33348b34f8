"""What the advisor is asked about a step: when, and about which workers."""

from collections.abc import Callable, Iterator
from random import Random

from damaskdeck.coordination.pools.advising import (
    QUESTION_LIMIT,
    AdviceDesk,
    Verdicts,
)
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.ordering import Outlook, Urgency
from damaskdeck.coordination.pools.placing import count_fitting
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import AdviceTerms
from damaskdeck.protocol.sizes import fits
from damaskdeck.state.board import Step

# Tickets are asked for anew so long before they end, beyond the call's duration.
REFRESH_SLACK_SECONDS = 0.3
# So many steps in the order of urgency have their tickets kept fresh.
REFRESH_STEPS = 12
# A step asks the advisor for what it lacks so often; looking for it reads all workers.
ASK_INTERVAL_SECONDS = 0.1


class Asker:
    """Finds out what to ask about pending steps.

    :param get_contacts: returns the workers that are known, by identifier.
    """

    def __init__(
        self, desk: AdviceDesk, get_contacts: Callable[[], dict[str, WorkerContact]]
    ) -> None:
        self._desk = desk
        self._get_contacts = get_contacts

    def list_possible(self, step: Step, pool: str) -> Iterator[PoolWorker]:
        """Yield the workers that may get tasks of a step, as far as is known."""
        refused = self._desk.get(step).refused
        for contact in self._get_contacts().values():
            info = contact.info
            is_staying = contact.is_listed and not info.is_leaving
            if info.pool == pool and is_staying and info.identifier not in refused:
                yield info

    def ask(
        self, step: Step, pool: str, urgency: Urgency, place: int, now: float
    ) -> None:
        """Ask about workers without a verdict, or whose tickets are ending.

        :param place: of the step in the order of urgency.
        """
        terms = step.job.queue.advice
        if terms is None:
            return
        verdicts = self._desk.get(step)
        if verdicts.is_asked or now < verdicts.complete_until:
            return
        is_far_down = place >= REFRESH_STEPS
        if is_far_down and (verdicts.tickets or urgency.outlook is Outlook.LOST):
            return
        wanted, is_needed = self._list_wanted(step, pool, verdicts, terms, now)
        if not is_needed:
            verdicts.complete_until = now + ASK_INTERVAL_SECONDS
            return
        if len(wanted) > QUESTION_LIMIT:
            wanted = self._sort(step, wanted, verdicts)
        weight = terms.base.total_seconds() + max(urgency.slack, 0.0) / 10
        self._desk.ask(step, wanted, weight)

    def _list_wanted(
        self,
        step: Step,
        pool: str,
        verdicts: Verdicts,
        terms: AdviceTerms,
        now: float,
    ) -> tuple[list[str], bool]:
        """Return whom to ask about, and whether that is due yet."""
        need = step.spec.size
        wanted, is_needed = [], False
        limit = now + REFRESH_SLACK_SECONDS + terms.base.total_seconds()
        for info in self.list_possible(step, pool):
            key = info.identifier
            if not fits(need, info.size):
                continue
            ticket, until = verdicts.tickets.get(key, ("", 0.0))
            if until < limit:
                wanted.append(key)
                is_needed = True
            elif ticket and until < limit + REFRESH_SLACK_SECONDS:
                wanted.append(key)
        return wanted, is_needed

    def _sort(self, step: Step, wanted: list[str], verdicts: Verdicts) -> list[str]:
        """Put first who can be used soonest, as a question names only so many.

        Those that have consented before do so again; of the others come first those
        in the zones that the job is confined to, then those with the most room. Equal
        ones come in another order for each step, so that not all want the same.
        """
        contacts, spec = self._get_contacts(), step.spec

        def rank(key: str) -> tuple[bool, bool, int]:
            contact = contacts[key]
            room = min(count_fitting(spec, contact.free), len(step.tasks))
            is_outside = not step.job.may_run_in(contact.info.zone)
            return key not in verdicts.tickets, is_outside, -room

        shuffled = list(wanted)
        Random(step.name).shuffle(shuffled)
        return sorted(shuffled, key=rank)
