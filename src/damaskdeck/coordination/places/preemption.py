"""Preemption: chooses running tasks to stop in favor of more urgent ones."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from itertools import islice
from typing import NamedTuple, TypeVar

from damaskdeck.clock import Clock
from damaskdeck.coordination.places.filters import Predicate, find_refusal
from damaskdeck.metrics import count_refusal
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, add_sizes, fits, subtract_sizes
from damaskdeck.state.workeraccounts import (
    Reservation,
    TaskNeed,
    WorkerAccount,
    WorkerAccounts,
)

RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}

# Estimated loss of work by a checkpoint, in seconds of each core of the task.
_CHECKPOINT_LOSS_SECONDS = 1.0
# Limits of the search for one task: workers examined, and suitable workers found.
_MAX_WORKERS_SCANNED = 64
_MAX_CANDIDATES = 8

# Name of the filter that protects claimed capacity, in a placer.
CLAIMED = "claimed"

C = TypeVar("C")

FindRefusal = Callable[[TaskNeed, WorkerAccount], str | None]
MayStop = Callable[[TaskNeed, TaskNeed], bool]


class Victims(NamedTuple):
    """Tasks of one worker to preempt.

    :param checkpointed: tasks to checkpoint and stop.
    :param stopped: tasks to stop; they are idempotent and run again later.
    :param lost: the work lost by stopping them, in core-seconds.
    """

    worker: str
    checkpointed: tuple[str, ...]
    stopped: tuple[str, ...]
    lost: float


class NoVictims(NamedTuple):
    """No tasks can be preempted.

    :param code: the reason, ``no_victims`` or ``budget``.
    """

    code: str


class Claim(NamedTuple):
    """Capacity of a worker that is claimed for a task, or that a victim will free."""

    worker: str
    size: Size


class ClaimedCapacity:
    """What is claimed of each worker.

    Victims may be counted as negative claims until they have freed their capacity.
    """

    def __init__(self) -> None:
        self._sizes: dict[str, Size] = {}

    def __bool__(self) -> bool:
        return bool(self._sizes)

    def __contains__(self, worker: str) -> bool:
        return worker in self._sizes

    def get(self, worker: str) -> Size:
        """Return the size, in which dimensions may be negative."""
        return self._sizes.get(worker, ZERO_SIZE)

    def adjust(self, claim: Claim, sign: int) -> None:
        """Add a claim if ``sign`` is positive, or subtract it."""
        change = add_sizes if sign > 0 else subtract_sizes
        claimed = change(self.get(claim.worker), claim.size)
        if claimed == ZERO_SIZE:
            self._sizes.pop(claim.worker, None)
        else:
            self._sizes[claim.worker] = claimed


class PreemptionBudget:
    """Limits preemption, so that it doesn't cascade from task to task.

    This is a token bucket.

    :param clock: refills the budget over time.
    :param limit: maximum number of tasks preempted in each ``interval`` in the
        long run, and also the maximum at once.
    :param per_task: how many times a single task may be preempted.
    """

    def __init__(
        self,
        clock: Clock,
        limit: int = 500,
        interval: timedelta = timedelta(seconds=1),
        per_task: int = 3,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._interval = interval
        self._per_task = per_task
        self._available = float(limit)
        self._refilled = clock.monotonic()
        self._counts: Counter[str] = Counter()

    def set_limit(self, limit: int) -> None:
        """Change the limit, for example with the number of running tasks.

        A higher limit is available at once, so that a new budget is full.
        """
        self._refill()
        self._available = min(limit, self._available + max(0, limit - self._limit))
        self._limit = limit

    @property
    def available(self) -> float:
        """How many preemptions are allowed now."""
        self._refill()
        return self._available

    def may_preempt(self, task: str) -> bool:
        """Return whether ``task`` may be preempted once more."""
        return self._counts.get(task, 0) < self._per_task

    def is_available(self, amount: int) -> bool:
        """Return whether the budget allows ``amount`` preemptions now."""
        self._refill()
        return self._available >= amount

    def _refill(self) -> None:
        now = self._clock.monotonic()
        refill = self._limit * ((now - self._refilled) / self._interval)
        self._available = min(self._limit, self._available + refill)
        self._refilled = now

    def spend(self, tasks: Iterable[str]) -> None:
        """Charge the budget for ``tasks`` that are preempted."""
        for task in tasks:
            self._counts[task] += 1
            self._available -= 1

    def refund(self, tasks: Iterable[str]) -> None:
        """Return the charge for ``tasks`` that are not preempted after all."""
        for task in tasks:
            self._counts[task] -= 1
            self._available += 1

    def discard(self, task: str) -> None:
        """Discard the count of a task that has ended for good."""
        self._counts.pop(task, None)


class Preemptor:
    """Chooses the worker on which preemption loses the least work.

    Checkpointable tasks are chosen first, then idempotent ones, which are stopped.
    Only tasks of the most urgent class may stop tasks that can't be checkpointed.
    A task that is neither idempotent nor checkpointable is never chosen, nor is
    one of equal or higher urgency. The work for each choice is bounded: at most
    64 workers are examined, starting at a different one each time.

    :param accounts: the workers and the tasks that run on them.
    :param may_stop: ``may_stop(need, running)`` replaces :func:`may_preempt`,
        for example when a team's quota is taken back.
    :param find_refusal: returns the name of the filter that refuses a worker for
        a task, or ``None``.
    """

    def __init__(
        self,
        accounts: WorkerAccounts,
        clock: Clock,
        budget: PreemptionBudget,
        may_stop: MayStop | None = None,
        find_refusal: FindRefusal = find_refusal,
    ) -> None:
        self._accounts = accounts
        self._clock = clock
        self._budget = budget
        self._may_stop = may_stop or may_preempt
        self._find_refusal = find_refusal
        self._next_start = 0
        self._claims: dict[str, Claim] = {}
        self._victims: dict[str, Claim] = {}
        self._claimed = ClaimedCapacity()
        accounts.subscribe(self._handle_account)

    def choose(self, need: TaskNeed) -> Victims | NoVictims:
        """Choose victims to free capacity for ``need``, and claim its size for it.

        Nothing is stopped here. The victims count as being stopped until
        :meth:`record_end` is called for them.
        """
        outcome = self.choose_all((need,))
        return outcome if isinstance(outcome, NoVictims) else outcome[0]

    def choose_all(self, needs: Sequence[TaskNeed]) -> tuple[Victims, ...] | NoVictims:
        """Choose victims for all tasks of a gang, or for none of them."""
        chosen: list[Victims] = []
        for need in needs:
            victims = self._choose(need)
            if isinstance(victims, NoVictims):
                self._roll_back(needs, chosen)
                return victims
            chosen.append(victims)
        return tuple(chosen)

    def _choose(self, need: TaskNeed) -> Victims | NoVictims:
        claim = self._claims.get(need.task)
        if claim is not None and self._is_claim_valid(claim):
            return Victims(claim.worker, (), (), 0.0)
        self.drop_claim(need.task)
        best = self._find_best(need)
        if best is None:
            return self._refuse("no_victims")
        tasks = best.checkpointed + best.stopped
        if not self._budget.is_available(len(tasks)):
            return self._refuse("budget")
        self._budget.spend(tasks)
        reservations = self._accounts.workers[best.worker].reservations
        for task in tasks:
            self._victims[task] = Claim(best.worker, reservations[task].need.size)
            self._claimed.adjust(self._victims[task], -1)
        self._claims[need.task] = Claim(best.worker, need.size)
        self._claimed.adjust(self._claims[need.task], 1)
        return best

    def _roll_back(self, needs: Sequence[TaskNeed], chosen: Iterable[Victims]) -> None:
        for need in needs:
            self.drop_claim(need.task)
        for victims in chosen:
            tasks = victims.checkpointed + victims.stopped
            self._budget.refund(tasks)
            for task in tasks:
                self.record_end(task)

    def _is_claim_valid(self, claim: Claim) -> bool:
        account = self._accounts.workers.get(claim.worker)
        if account is None or account.closed:
            return False
        return fits(ZERO_SIZE, self.find_free_capacity(claim.worker))

    def find_free_capacity(self, worker: str) -> Size:
        """Return the capacity that is or will be free on a worker and isn't claimed.

        :returns: a negative size if the worker is unknown.
        """
        account = self._accounts.workers.get(worker)
        if account is None:
            return Size(-1, -1, -1)
        return subtract_sizes(account.free, self._claimed.get(worker))

    def find_claim(self, task: str) -> str | None:
        """Return the worker on which capacity is claimed for a task."""
        claim = self._claims.get(task)
        return claim.worker if claim else None

    def drop_claim(self, task: str) -> None:
        """Remove the claim of ``task``, which was placed or needs no capacity now."""
        claim = self._claims.pop(task, None)
        if claim is not None:
            self._claimed.adjust(claim, -1)

    def record_end(self, task: str) -> None:
        """Record that a task no longer runs; the capacity of a victim is now free."""
        claim = self._victims.pop(task, None)
        if claim is not None:
            self._claimed.adjust(claim, 1)

    def _handle_account(self, account: WorkerAccount, is_present: bool) -> None:
        """Remove the victims of a worker that has another owner or is gone."""
        if is_present:
            return
        orphaned = [t for t, c in self._victims.items() if c.worker == account.name]
        for task in orphaned:
            self.record_end(task)

    def prepare_claims(self, need: TaskNeed) -> Predicate | None:
        """Refuse claimed capacity to other tasks; a filter for a :class:`Placer`."""
        if not self._claimed:
            return None
        claim = self._claims.get(need.task)
        own = claim.worker if claim else ""
        claimed, find_free_capacity = self._claimed, self.find_free_capacity

        def predicate(account: WorkerAccount) -> bool:
            name = account.name
            return (
                name not in claimed
                or name == own
                or fits(need.size, find_free_capacity(name))
            )

        return predicate

    def _find_best(self, need: TaskNeed) -> Victims | None:
        best: Victims | None = None
        found = 0
        for account in islice(self._iterate_workers(need), _MAX_WORKERS_SCANNED):
            victims = self._find_victims(need, account)
            if victims is None:
                continue
            found += 1
            if best is None or victims.lost < best.lost:
                best = victims
            if found >= _MAX_CANDIDATES or not best.lost:
                break
        return best

    def _iterate_workers(self, need: TaskNeed) -> Iterable[WorkerAccount]:
        names = tuple(self._accounts.workers)
        start = self._next_start = (self._next_start + _MAX_WORKERS_SCANNED) % max(
            1, len(names)
        )
        for name in names[start:] + names[:start]:
            account = self._accounts.workers[name]
            if fits(need.size, account.size) and not account.closed:
                yield account

    def _find_victims(self, need: TaskNeed, account: WorkerAccount) -> Victims | None:
        if self._find_refusal(need, account) not in (None, "fits", CLAIMED):
            return None
        shortfall = subtract_sizes(need.size, self.find_free_capacity(account.name))
        now = self._clock.monotonic()
        candidates = sorted(
            (rank_loss(reservation.need, now), task)
            for task, reservation in account.reservations.items()
            if self._may_choose(need, reservation)
        )
        reservations = account.reservations
        chosen = select_covering(
            shortfall, candidates, lambda entry: reservations[entry[1]].need.size
        )
        if chosen is None:
            return None
        return Victims(
            account.name,
            tuple(t for _, t in chosen if reservations[t].need.checkpoint),
            tuple(t for _, t in chosen if not reservations[t].need.checkpoint),
            sum(loss for (_, loss), _ in chosen),
        )

    def _may_choose(self, need: TaskNeed, reservation: Reservation) -> bool:
        running = reservation.need
        return (
            (running.checkpoint or running.idempotent)
            and reservation.deadline is None
            and running.task not in self._victims
            and self._may_stop(need, running)
            and self._budget.may_preempt(running.task)
        )

    def _refuse(self, code: str) -> NoVictims:
        count_refusal("preemption", code)
        return NoVictims(code)


def may_preempt(need: TaskNeed, running: TaskNeed) -> bool:
    """Return whether ``running`` may be preempted for ``need``."""
    if RANKS[need.urgency] >= RANKS[running.urgency]:
        return False
    return running.checkpoint or need.urgency is Urgency.URGENT


def rank_loss(running: TaskNeed, now: timedelta) -> tuple[bool, float]:
    """Return the rank for preemption: checkpointable first, then by work lost."""
    if running.checkpoint:
        return False, _CHECKPOINT_LOSS_SECONDS * running.size.millicores / 1000
    run_seconds = (now - running.started).total_seconds()
    return True, run_seconds * running.size.millicores / 1000


def select_covering(
    shortfall: Size, candidates: Iterable[C], get_size: Callable[[C], Size]
) -> list[C] | None:
    """Select candidates in order until they cover ``shortfall``.

    Candidates that turn out to be unnecessary are removed again.

    :param candidates: the cheapest first.
    :param get_size: returns what stopping a candidate frees.
    :returns: ``None`` if all of them together don't cover it.
    """
    freed = ZERO_SIZE
    chosen: list[C] = []
    for candidate in candidates:
        if fits(shortfall, freed):
            break
        size = get_size(candidate)
        if not any(shortfall[i] > freed[i] and size[i] for i in range(3)):
            continue
        chosen.append(candidate)
        freed = add_sizes(freed, size)
    if not fits(shortfall, freed):
        return None
    for candidate in reversed(chosen[:-1]):
        remaining = subtract_sizes(freed, get_size(candidate))
        if fits(shortfall, remaining):
            freed = remaining
            chosen.remove(candidate)
    return chosen
