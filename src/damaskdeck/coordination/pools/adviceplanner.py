"""What the advisor is asked about a step: when, and about which workers."""

import math
from collections.abc import Callable, Iterator
from random import Random

from damaskdeck.coordination.pools.advice import (
    QUESTION_LIMIT,
    AdviceScheduler,
    StepAdvice,
)
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.planning import count_fitting
from damaskdeck.coordination.pools.urgency import DeadlineStatus, Urgency
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import AdvisorTiming
from damaskdeck.protocol.sizes import fits
from damaskdeck.state.pooljobs import Step

# Tickets are asked for anew so long before they end, beyond the call's duration.
REFRESH_SLACK_SECONDS = 0.3
# So many steps in the order of urgency have their tickets kept fresh.
REFRESH_STEPS = 12
# A step asks the advisor for what it lacks so often; looking for it reads all workers.
ASK_INTERVAL_SECONDS = 0.1
# Workers of a question, where daemons are free to ask several at a time: the users
# reckon with a call for so many, and more take longer than a second call beside it.
QUESTION_SIZE = 30
# One step may have this share of the daemons that are free.
ASKERS_SHARE = 0.25
# Room is asked for so many times over: others take some of it meanwhile.
NEW_MARGIN = 2.0


class Asker:
    """Finds out what to ask about pending steps.

    :param get_contacts: returns the workers that are known, by identifier.
    """

    def __init__(
        self,
        advice_scheduler: AdviceScheduler,
        get_contacts: Callable[[], dict[str, WorkerContact]],
    ) -> None:
        self._advice_scheduler = advice_scheduler
        self._get_contacts = get_contacts

    def list_possible(self, step: Step, pool: str) -> Iterator[PoolWorker]:
        """Yield the workers that may get tasks of a step, as far as is known."""
        refused = self._advice_scheduler.get(step).refused
        for contact in self._get_contacts().values():
            info = contact.info
            is_staying = contact.is_listed and not info.is_leaving
            if info.pool == pool and is_staying and info.identifier not in refused:
                yield info

    def ask(
        self,
        step: Step,
        pool: str,
        urgency: Urgency,
        place: int,
        now: float,
        lacks_room: bool = False,
        kept: frozenset[str] = frozenset(),
    ) -> None:
        """Ask about workers whose tickets are ending, or that are not known yet.

        :param place: of the step in the order of urgency.
        :param lacks_room: those that have consented had no room for all of it.
        :param kept: the workers that are kept for it: no other's tickets matter.
        """
        terms = step.job.queue.advice
        if terms is None:
            return
        step_advice = self._advice_scheduler.get(step)
        if step_advice.asked or now < step_advice.complete_until:
            return
        is_far_down = place >= REFRESH_STEPS and not kept
        if is_far_down and (
            step_advice.tickets or urgency.deadline_status is DeadlineStatus.LOST
        ):
            return
        wanted = self._list_ending(step, pool, step_advice, terms, now)
        if kept:
            wanted = [key for key in wanted if key in kept]
        elif lacks_room or not step_advice.tickets:
            wanted += self._choose_new(step, pool, step_advice)
        if not wanted:
            if lacks_room:
                step_advice.complete_until = now + ASK_INTERVAL_SECONDS
            return
        weight = terms.base.total_seconds() + max(urgency.slack, 0.0) / 10
        for part in self._split(wanted):
            self._advice_scheduler.ask(step, part, weight)

    def _list_ending(
        self,
        step: Step,
        pool: str,
        step_advice: StepAdvice,
        terms: AdvisorTiming,
        now: float,
    ) -> list[str]:
        """List the workers whose tickets are about to end.

        None as long as all last; else also those that end a little later.
        """
        limit = now + REFRESH_SLACK_SECONDS + terms.base.total_seconds()
        ends = {key: until for key, (_, until) in step_advice.tickets.items()}
        if not any(until < limit for until in ends.values()):
            return []
        limit += REFRESH_SLACK_SECONDS
        possible = (info.identifier for info in self.list_possible(step, pool))
        return [key for key in possible if ends.get(key, math.inf) < limit]

    def _choose_new(self, step: Step, pool: str, step_advice: StepAdvice) -> list[str]:
        """Choose workers without a verdict: as many as should hold the step.

        All where a question can name them. Else first those in the zones that the job
        is confined to, then those with the most room. Equal ones come in another order
        for each step, so that not all steps want the same.
        """
        contacts, spec = self._get_contacts(), step.spec
        tasks = len(step.tasks)
        rooms = {
            info.identifier: min(
                tasks, count_fitting(spec, contacts[info.identifier].free)
            )
            for info in self.list_possible(step, pool)
            if info.identifier not in step_advice.tickets and fits(spec.size, info.size)
        }

        if len(rooms) <= QUESTION_SIZE:
            return list(rooms)

        def rank(key: str) -> tuple[bool, int]:
            return not step.job.may_run_in(contacts[key].info.zone), -rooms[key]

        shuffled = list(rooms)
        Random(step.name).shuffle(shuffled)
        needed = NEW_MARGIN * tasks / self._advice_scheduler.find_consents(step).share
        chosen: list[str] = []
        for key in sorted(shuffled, key=rank):
            if needed <= 0 and len(chosen) >= QUESTION_SIZE:
                break
            needed -= rooms[key]
            chosen.append(key)
        return chosen

    def _split(self, wanted: list[str]) -> list[list[str]]:
        """Split what to ask over daemons that have nothing to ask.

        The advisor takes its time for each worker that a question names, and answers
        one question at a time for each daemon.
        """
        least = math.ceil(len(wanted) / QUESTION_LIMIT)
        most = math.ceil(len(wanted) / QUESTION_SIZE)
        askers = int(ASKERS_SHARE * self._advice_scheduler.count_free())
        parts = max(least, min(most, askers))
        size = math.ceil(len(wanted) / parts)
        return [wanted[at : at + size] for at in range(0, len(wanted), size)]
