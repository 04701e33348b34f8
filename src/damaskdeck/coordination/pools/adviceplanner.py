"""When the advisor is queried about a step, and about which workers.

The most urgent steps have tickets at all times. The others get tickets when they can
start: a part of the daemons asks for them in turn, so that steps which can't be placed
keep none of the others waiting.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from random import Random
from typing import NamedTuple

from damaskdeck.coordination.pools.advice import (
    MAX_QUERY_WORKERS,
    AdviceScheduler,
    StepAdvice,
)
from damaskdeck.coordination.pools.contacts import WorkerContact
from damaskdeck.coordination.pools.pending import is_overdue
from damaskdeck.coordination.pools.planning import (
    count_fitting,
    count_on_workers,
    is_suitable,
)
from damaskdeck.coordination.pools.speeds import (
    CLASS_WIDTH,
    StepExpectation,
    WorkerSpeeds,
)
from damaskdeck.coordination.pools.urgency import (
    DeadlineStatus,
    Urgency,
    measure_available_slack,
)
from damaskdeck.protocol.pools import PoolWorker
from damaskdeck.protocol.queues import AdvisorTiming
from damaskdeck.protocol.sizes import fits
from damaskdeck.state.pooljobs import Step

# Tickets are renewed this long before they expire, in addition to the time that the
# query takes.
REFRESH_SLACK_SECONDS = 0.3
# Only this many of the most urgent steps have their tickets kept fresh.
REFRESH_STEPS = 12
# The pause after a search that found no worker to query about for a step that lacks
# capacity, because each search reads all workers.
QUERY_INTERVAL_SECONDS = 0.1
# The number of workers of one query while several daemons are idle. Users plan for a
# call of this size, and naming more workers takes longer than a second call in
# parallel.
QUERY_WORKERS = 30
# The share of the idle daemons that one step may occupy.
STEP_DAEMONS_SHARE = 0.25
# Advice is requested for this multiple of the capacity that a step needs, because
# other steps take some of it in the meantime.
CAPACITY_MARGIN = 2.0
# The most by which the slack of a step may delay its queries.
MAX_PATIENCE_SECONDS = 3.0
# Of the steps further behind, this many are examined at a time.
MAX_EXAMINED_STEPS = 16
# By how much queries about them may be delayed by more urgent ones.
BEHIND_PATIENCE_SECONDS = 1.0
# More classes of about equally fast workers than a pool has.
MAX_SPEED_CLASSES = 1000


class _StepBehind(NamedTuple):
    """A step that gets tickets only when it can start."""

    step: Step
    pool: str
    advice: StepAdvice
    is_lost: bool


class AdvicePlanner:
    """Plans the advisor queries of pending steps.

    :param get_contacts: Returns the known workers by identifier.
    :param speeds: The speeds of the workers.
    """

    def __init__(
        self,
        advice_scheduler: AdviceScheduler,
        get_contacts: Callable[[], dict[str, WorkerContact]],
        speeds: WorkerSpeeds,
    ) -> None:
        self._advice_scheduler = advice_scheduler
        self._get_contacts = get_contacts
        self._speeds = speeds
        # The steps of the present pass that are further behind, and those of them that
        # have a query in flight.
        self._behind: list[_StepBehind] = []
        self._queried: list[StepAdvice] = []

    def begin_pass(self) -> None:
        """Begin a pass over the pending steps."""
        self._behind.clear()

    def list_eligible(self, step: Step, pool: str) -> Iterator[PoolWorker]:
        """Yield the workers that may get tasks of a step, as far as is known."""
        refused = self._advice_scheduler.get(step).refused
        for contact in self._get_contacts().values():
            info = contact.info
            is_staying = contact.is_listed and not info.is_leaving
            if info.pool == pool and is_staying and info.identifier not in refused:
                yield info

    def request_advice(
        self,
        step: Step,
        pool: str,
        urgency: Urgency,
        position: int,
        now: float,
        lacks_capacity: bool = False,
        reserved: frozenset[str] = frozenset(),
    ) -> None:
        """Renew tickets that are about to expire, and request missing ones.

        :param position: The position of the step in the order of urgency.
        :param lacks_capacity: Whether the workers with a ticket could not hold the
            whole step.
        :param reserved: The workers that are reserved for the step. If there are any,
            tickets for other workers are not needed.
        """
        timing = step.job.queue.advice
        if timing is None:
            return
        advice = self._advice_scheduler.get(step)
        if advice.requested or now < advice.complete_until:
            return
        is_not_urgent = position >= REFRESH_STEPS and not reserved
        if is_not_urgent and (
            advice.tickets or urgency.deadline_status is DeadlineStatus.LOST
        ):
            is_lost = urgency.deadline_status is DeadlineStatus.LOST
            self._behind.append(_StepBehind(step, pool, advice, is_lost))
            return
        wanted = self._list_expiring(step, pool, advice, timing, now)
        if reserved:
            wanted = [key for key in wanted if key in reserved]
        elif lacks_capacity or not advice.tickets:
            slack = measure_available_slack(urgency)
            expectation = self._speeds.expect(step, pool, slack, now)
            wanted += self._choose_new(step, pool, advice, expectation)
        if not wanted:
            if lacks_capacity:
                advice.complete_until = now + QUERY_INTERVAL_SECONDS
            return
        patience = timing.base.total_seconds() + min(
            measure_available_slack(urgency) / 10, MAX_PATIENCE_SECONDS
        )
        for workers in self._split(wanted):
            self._advice_scheduler.enqueue(step, workers, patience)

    def request_behind(self, full_pools: Collection[str], now: float) -> None:
        """Request tickets for steps further behind that could start with them.

        At least one daemon asks for them; those that have waited longest since they
        were last examined go first. Steps without tickets that have waited for too long
        come before them, and may occupy more daemons.

        :param full_pools: the pools in which steps that can earn nothing wait until
            the others have their capacity.
        """
        self._queried = [advice for advice in self._queried if advice.requested]
        waiting = [e for e in self._behind if not (e.is_lost and e.pool in full_pools)]
        overdue = [
            entry
            for entry in waiting
            if is_overdue(entry.step, now) and not entry.advice.list_tickets(now, None)
        ]
        idle = self._advice_scheduler.count_idle_daemons()
        share = self._advice_scheduler.count_daemons() * STEP_DAEMONS_SHARE
        allowed = max(1, idle, math.ceil(share) if overdue else 0)
        if len(self._queried) >= allowed:
            return
        late = {entry.step: entry.step.incomplete_since or now for entry in overdue}

        def rank(entry: _StepBehind) -> tuple[bool, float]:
            since = late.get(entry.step)
            return since is None, entry.advice.examined_at if since is None else since

        for entry in heapq.nsmallest(MAX_EXAMINED_STEPS, waiting, key=rank):
            step, pool, advice, _ = entry
            advice.examined_at = now
            workers = self._list_startable(step, pool, advice, now)
            if not workers:
                continue
            timing = step.job.queue.advice
            assert timing is not None
            patience = timing.base.total_seconds()
            if step not in late:
                patience += BEHIND_PATIENCE_SECONDS
            self._advice_scheduler.enqueue(step, workers, patience)
            self._queried.append(advice)
            if len(self._queried) >= allowed:
                return

    def _list_startable(
        self, step: Step, pool: str, advice: StepAdvice, now: float
    ) -> list[str]:
        """List the workers on which a step could start if it had tickets for them.

        The result is empty if there are too few, or if the step has tickets already.
        """
        spec = step.spec
        capacities = self._measure_capacities(step, pool, now)
        needed = len(step.tasks) if spec.is_gang else 1
        if sum(capacities.values()) < CAPACITY_MARGIN * needed:
            return []
        advised = advice.list_tickets(now, capacities)
        if sum(capacities[key] for key in advised) >= needed:
            return []
        wanted = [key for key in capacities if key not in advised]
        return heapq.nlargest(QUERY_WORKERS, wanted, key=capacities.__getitem__)

    def _measure_capacities(self, step: Step, pool: str, now: float) -> dict[str, int]:
        """Return how many tasks of a step each usable worker can start, if any."""
        spec, contacts = step.spec, self._get_contacts()
        running = count_on_workers(step) if spec.spread else Counter()
        capacities = {}
        for info in self.list_eligible(step, pool):
            key = info.identifier
            if not (is_suitable(spec, info) and contacts[key].is_usable(now)):
                continue
            fitting = count_fitting(spec, contacts[key].free)
            if spec.spread:
                fitting = min(fitting, spec.spread - running[key])
            if fitting > 0:
                capacities[key] = fitting
        return capacities

    def _list_expiring(
        self,
        step: Step,
        pool: str,
        advice: StepAdvice,
        timing: AdvisorTiming,
        now: float,
    ) -> list[str]:
        """List the workers whose tickets are about to expire.

        The result is empty while all tickets last. Once one is about to expire it also
        has those that expire a little later.
        """
        limit = now + REFRESH_SLACK_SECONDS + timing.base.total_seconds()
        expiries = {key: until for key, (_, until) in advice.tickets.items()}
        if not any(until < limit for until in expiries.values()):
            return []
        limit += REFRESH_SLACK_SECONDS
        eligible = (info.identifier for info in self.list_eligible(step, pool))
        return [key for key in eligible if expiries.get(key, math.inf) < limit]

    def _choose_new(
        self,
        step: Step,
        pool: str,
        advice: StepAdvice,
        expectation: StepExpectation | None,
    ) -> list[str]:
        """Choose workers that the advisor has not answered about, enough for the step.

        All of them are chosen if there are at most ``QUERY_WORKERS``. Otherwise workers
        in the zones that the job is confined to come first, then those with the most
        free capacity. Equal workers are shuffled differently for each step, so that not
        all steps choose the same ones. In an uneven pool, workers with free capacity on
        which the step ends in time come before the others.

        :param expectation: what is expected of the step in an uneven pool.
        """
        contacts, spec = self._get_contacts(), step.spec
        tasks = len(step.tasks)
        capacities = {
            info.identifier: min(
                tasks, count_fitting(spec, contacts[info.identifier].free)
            )
            for info in self.list_eligible(step, pool)
            if info.identifier not in advice.tickets and fits(spec.size, info.size)
        }

        if len(capacities) <= QUERY_WORKERS:
            return list(capacities)

        needed = (
            CAPACITY_MARGIN
            * tasks
            / self._advice_scheduler.get_consent_count(step).share
        )
        preferences = (
            self._rank_by_speed(
                capacities, pool, needed if step.spec.is_gang else 0.0, expectation
            )
            if expectation is not None
            else {}
        )

        def rank(key: str) -> tuple[bool, int, int]:
            is_outside = not step.job.may_run_in(contacts[key].info.zone)
            return is_outside, preferences.get(key, 0), -capacities[key]

        shuffled = list(capacities)
        Random(step.name).shuffle(shuffled)
        chosen: list[str] = []
        for key in sorted(shuffled, key=rank):
            if needed <= 0 and len(chosen) >= QUERY_WORKERS:
                break
            needed -= capacities[key]
            chosen.append(key)
        return chosen

    def _rank_by_speed(
        self,
        capacities: dict[str, int],
        pool: str,
        needed: float,
        expectation: StepExpectation,
    ) -> dict[str, int]:
        """Return the rank of each worker for a step by expected ends, best first.

        The least fast workers on which the step ends in time come first if those of
        about the same speed have enough capacity, then the fastest of the others.
        Workers without free capacity come last.

        :param needed: the number of tasks that workers of about the same speed should
            hold.
        """
        speeds = {key: self._speeds.estimate(key, pool) for key in capacities}
        classes = {
            key: round(speed.mean / CLASS_WIDTH) for key, speed in speeds.items()
        }
        totals: Counter[int] = Counter()
        for key, capacity in capacities.items():
            if expectation.ends_in_time(speeds[key]):
                totals[classes[key]] += capacity
        ranks = {}
        for key, capacity in capacities.items():
            speed_class = classes[key]
            is_sufficient = totals[speed_class] >= needed
            if not capacity:
                ranks[key] = 2 * MAX_SPEED_CLASSES
            elif is_sufficient and expectation.ends_in_time(speeds[key]):
                ranks[key] = speed_class
            else:
                ranks[key] = MAX_SPEED_CLASSES - speed_class
        return ranks

    def _split(self, wanted: list[str]) -> list[list[str]]:
        """Split workers into queries that idle daemons send in parallel.

        The advisor needs time for each worker that a query names, and it answers one
        query at a time for each daemon.
        """
        fewest = math.ceil(len(wanted) / MAX_QUERY_WORKERS)
        most = math.ceil(len(wanted) / QUERY_WORKERS)
        daemons = int(STEP_DAEMONS_SHARE * self._advice_scheduler.count_idle_daemons())
        queries = max(fewest, min(most, daemons))
        size = math.ceil(len(wanted) / queries)
        return [wanted[at : at + size] for at in range(0, len(wanted), size)]
