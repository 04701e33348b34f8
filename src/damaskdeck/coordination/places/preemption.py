"""Preemption: which running tasks make room for more urgent work."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from itertools import islice
from typing import NamedTuple

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

# Core-seconds that a checkpoint is reckoned to lose.
_CHECKPOINT_LOSS = 1.0
# How many workers are looked at for one task, and how many that would do.
_LOOKED_AT = 64
_ENOUGH = 8

# Name of the filter that keeps claimed room, in a placer.
CLAIMED = "claimed"

FindRefusal = Callable[[TaskNeed, WorkerAccount], str | None]
MayStop = Callable[[TaskNeed, TaskNeed], bool]


class Victims(NamedTuple):
    """Tasks of a worker whose end makes room.

    :param checkpointed: to be checkpointed and stopped.
    :param stopped: to be stopped; they are idempotent and run again.
    :param lost: work lost by it, in core-seconds.
    """

    worker: str
    checkpointed: tuple[str, ...]
    stopped: tuple[str, ...]
    lost: float


class NoVictims(NamedTuple):
    """No worker can be cleared; ``code`` says why."""

    code: str


class Claim(NamedTuple):
    """A part of a worker that is claimed, or will be free."""

    worker: str
    size: Size


class PreemptionBudget:
    """Bounds preemption, so that it never spreads from task to task.

    :param clock: refills the budget.
    :param limit: most tasks preempted in each ``interval``, in the long run;
        so many can also go at once.
    :param per_task: how often one task may be preempted at all.
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
        self._left = float(limit)
        self._refilled = clock.monotonic()
        self._counts: Counter[str] = Counter()

    def may_preempt(self, task: str) -> bool:
        """Tell whether ``task`` hasn't been preempted too often."""
        return self._counts[task] < self._per_task

    def has_left(self, amount: int) -> bool:
        """Tell whether ``amount`` tasks may be preempted now."""
        now = self._clock.monotonic()
        gained = self._limit * ((now - self._refilled) / self._interval)
        self._left = min(self._limit, self._left + gained)
        self._refilled = now
        return self._left >= amount

    def spend(self, tasks: Iterable[str]) -> None:
        """Note that ``tasks`` were preempted."""
        for task in tasks:
            self._counts[task] += 1
            self._left -= 1

    def refund(self, tasks: Iterable[str]) -> None:
        """Note that ``tasks`` were not preempted after all."""
        for task in tasks:
            self._counts[task] -= 1
            self._left += 1

    def forget(self, task: str) -> None:
        """Drop what is remembered of a task that has ended for good."""
        self._counts.pop(task, None)


class Preemptor:
    """Chooses the worker that is cleared with the least work lost.

    Checkpointable tasks go first, then idempotent ones, which are stopped; only
    the most urgent class has tasks stopped that can't be checkpointed. A
    non-idempotent task that can't be checkpointed is never chosen, nor one of
    equal or higher urgency. Work for each choice is bounded: at most 64
    workers are looked at, from another place each time.

    :param accounts: the workers and what runs on them.
    :param may_stop: ``may_stop(need, running)`` replaces :func:`may_preempt`,
        as when a team's quota is taken back.
    :param find_refusal: names the filter that keeps a task off a worker.
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
        self._next = 0
        self._claims: dict[str, Claim] = {}
        self._leaving: dict[str, Claim] = {}
        self._claimed: dict[str, Size] = {}
        accounts.subscribe(self._follow)

    def choose(self, need: TaskNeed) -> Victims | NoVictims:
        """Choose victims that make room for ``need`` and claim it for it.

        They count as leaving until :meth:`record_end`; nothing is stopped here.
        """
        outcome = self.choose_all((need,))
        return outcome if isinstance(outcome, NoVictims) else outcome[0]

    def choose_all(self, needs: Sequence[TaskNeed]) -> tuple[Victims, ...] | NoVictims:
        """Choose victims for all tasks of a gang, or none."""
        chosen: list[Victims] = []
        for need in needs:
            victims = self._choose(need)
            if isinstance(victims, NoVictims):
                self._undo(needs, chosen)
                return victims
            chosen.append(victims)
        return tuple(chosen)

    def _choose(self, need: TaskNeed) -> Victims | NoVictims:
        claim = self._claims.get(need.task)
        if claim is not None and self._holds(claim):
            return Victims(claim.worker, (), (), 0.0)
        self.drop_claim(need.task)
        best = self._find_best(need)
        if best is None:
            return self._refuse("no_victims")
        tasks = best.checkpointed + best.stopped
        if not self._budget.has_left(len(tasks)):
            return self._refuse("budget")
        self._budget.spend(tasks)
        reservations = self._accounts.workers[best.worker].reservations
        for task in tasks:
            self._leaving[task] = Claim(best.worker, reservations[task].need.size)
            self._change(self._leaving[task], -1)
        self._claims[need.task] = Claim(best.worker, need.size)
        self._change(self._claims[need.task], 1)
        return best

    def _undo(self, needs: Sequence[TaskNeed], chosen: Iterable[Victims]) -> None:
        for need in needs:
            self.drop_claim(need.task)
        for victims in chosen:
            tasks = victims.checkpointed + victims.stopped
            self._budget.refund(tasks)
            for task in tasks:
                self.record_end(task)

    def _holds(self, claim: Claim) -> bool:
        account = self._accounts.workers.get(claim.worker)
        if account is None or account.closed:
            return False
        return fits(ZERO_SIZE, self.find_room(claim.worker))

    def find_room(self, worker: str) -> Size:
        """Return what is free on a worker, or will be, and isn't claimed."""
        account = self._accounts.workers.get(worker)
        if account is None:
            return Size(-1, -1, -1)
        return subtract_sizes(account.free, self._claimed.get(worker, ZERO_SIZE))

    def find_claim(self, task: str) -> str | None:
        """Return the worker on which room is claimed for a task."""
        claim = self._claims.get(task)
        return claim.worker if claim else None

    def drop_claim(self, task: str) -> None:
        """Note that ``task`` was placed, wherever, or needs no room any more."""
        claim = self._claims.pop(task, None)
        if claim is not None:
            self._change(claim, -1)

    def record_end(self, task: str) -> None:
        """Note that a task no longer runs; a victim's room is free by now."""
        claim = self._leaving.pop(task, None)
        if claim is not None:
            self._change(claim, 1)

    def _follow(self, account: WorkerAccount, is_present: bool) -> None:
        """Expect no room of victims whose worker has another owner or is gone."""
        if is_present:
            return
        left = [t for t, c in self._leaving.items() if c.worker == account.name]
        for task in left:
            self.record_end(task)

    def prepare_claims(self, need: TaskNeed) -> Predicate | None:
        """Keep others off claimed room; a filter for a :class:`Placer`."""
        if not self._claimed:
            return None
        claim = self._claims.get(need.task)
        own = claim.worker if claim else ""
        claimed, find_room = self._claimed, self.find_room

        def predicate(account: WorkerAccount) -> bool:
            name = account.name
            return (
                name not in claimed or name == own or fits(need.size, find_room(name))
            )

        return predicate

    def _find_best(self, need: TaskNeed) -> Victims | None:
        best: Victims | None = None
        found = 0
        for account in islice(self._rotate(need), _LOOKED_AT):
            victims = self._find_victims(need, account)
            if victims is None:
                continue
            found += 1
            if best is None or victims.lost < best.lost:
                best = victims
            if found >= _ENOUGH or not best.lost:
                break
        return best

    def _change(self, claim: Claim, sign: int) -> None:
        change = add_sizes if sign > 0 else subtract_sizes
        claimed = change(self._claimed.get(claim.worker, ZERO_SIZE), claim.size)
        if claimed == ZERO_SIZE:
            self._claimed.pop(claim.worker, None)
        else:
            self._claimed[claim.worker] = claimed

    def _rotate(self, need: TaskNeed) -> Iterable[WorkerAccount]:
        names = tuple(self._accounts.workers)
        start = self._next = (self._next + _LOOKED_AT) % max(1, len(names))
        for name in names[start:] + names[:start]:
            account = self._accounts.workers[name]
            if fits(need.size, account.size) and not account.closed:
                yield account

    def _find_victims(self, need: TaskNeed, account: WorkerAccount) -> Victims | None:
        if self._find_refusal(need, account) not in (None, "fits", CLAIMED):
            return None
        lacking = subtract_sizes(need.size, self.find_room(account.name))
        now = self._clock.monotonic()
        choices = sorted(
            (rank_loss(held.need, now), task)
            for task, held in account.reservations.items()
            if self._is_choice(need, held)
        )
        chosen = _cover(lacking, choices, account)
        if chosen is None:
            return None
        reservations = account.reservations
        return Victims(
            account.name,
            tuple(t for _, t in chosen if reservations[t].need.checkpoint),
            tuple(t for _, t in chosen if not reservations[t].need.checkpoint),
            sum(loss for (_, loss), _ in chosen),
        )

    def _is_choice(self, need: TaskNeed, held: Reservation) -> bool:
        running = held.need
        return (
            (running.checkpoint or running.idempotent)
            and held.deadline is None
            and running.task not in self._leaving
            and self._may_stop(need, running)
            and self._budget.may_preempt(running.task)
        )

    def _refuse(self, code: str) -> NoVictims:
        count_refusal("preemption", code)
        return NoVictims(code)


def may_preempt(need: TaskNeed, running: TaskNeed) -> bool:
    """Tell whether ``running`` may make room for ``need``."""
    if RANKS[need.urgency] >= RANKS[running.urgency]:
        return False
    return running.checkpoint or need.urgency is Urgency.URGENT


def rank_loss(running: TaskNeed, now: timedelta) -> tuple[bool, float]:
    """Rank a task for preemption: checkpointable first, then by work lost."""
    if running.checkpoint:
        return False, _CHECKPOINT_LOSS * running.size.millicores / 1000
    ran = (now - running.started).total_seconds()
    return True, ran * running.size.millicores / 1000


Choice = tuple[tuple[bool, float], str]


def _cover(
    lacking: Size, choices: list[Choice], account: WorkerAccount
) -> list[Choice] | None:
    """Take choices in order until ``lacking`` is covered, then drop needless ones."""
    freed = ZERO_SIZE
    chosen: list[Choice] = []
    for choice in choices:
        if fits(lacking, freed):
            break
        size = account.reservations[choice[1]].need.size
        if not any(lacking[i] > freed[i] and size[i] for i in range(3)):
            continue
        chosen.append(choice)
        freed = add_sizes(freed, size)
    if not fits(lacking, freed):
        return None
    for choice in reversed(chosen[:-1]):
        rest = subtract_sizes(freed, account.reservations[choice[1]].need.size)
        if fits(lacking, rest):
            freed = rest
            chosen.remove(choice)
    return chosen
