"""Gangs across owners: room for all tasks or for none, whoever dies meanwhile.

The decider of a gang asks owners of workers one after another, in order of
their names, for holds that end by themselves. A refusal is final and nobody
waits for a held worker, so there is no deadlock; the common order lets one of
two competing gangs win. Once all tasks are held the holds are prolonged, the
decider makes its decision durable and starts each owner's part as a whole.
"""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from damaskdeck.clock import Clock
from damaskdeck.coordination.placement import Placed, Placer
from damaskdeck.defaults import CLOCK_DRIFT
from damaskdeck.metrics import count_refusal
from damaskdeck.state.accounts import Accounts, NoRoom, Reserved, TaskNeed

# How long an owner keeps a part while the others are asked.
HOLD_LIMIT = timedelta(seconds=3)
# How long it keeps it while the decision is made durable.
START_LIMIT = timedelta(seconds=6)
_START_TRIES = 3


class GangOwner(Protocol):
    """An owner of workers, this daemon or a peer. ``None``: the answer was lost."""

    @property
    def name(self) -> str:
        """The owner's name; owners are asked in this order."""

    async def hold(
        self, needs: Sequence[TaskNeed], limit: timedelta
    ) -> Mapping[str, str] | None:
        """Hold as many tasks as fit; returns their workers by task."""

    async def prolong(self, tasks: Sequence[str], limit: timedelta) -> bool | None:
        """Prolong the holds of all ``tasks`` from now, or refuse."""

    async def start(self, tasks: Sequence[str]) -> bool | None:
        """Turn all holds into reservations for good, or refuse."""

    async def release(self, tasks: Sequence[str]) -> None:
        """Let go of holds; what was started stays."""


class GangHolds:
    """The owner's side; an owner calls it for its own and others' gangs.

    :param accounts: the owner's workers.
    """

    def __init__(self, accounts: Accounts, placer: Placer, clock: Clock) -> None:
        self._accounts = accounts
        self._placer = placer
        self._clock = clock

    def hold(self, needs: Sequence[TaskNeed], limit: timedelta) -> dict[str, str]:
        """Hold as many tasks as fit; repeating a call changes nothing."""
        self._expire()
        deadline = self._clock.monotonic() + limit
        workers = {}
        for need in needs:
            held = self._accounts.find(need.task)
            if held is not None:
                workers[need.task] = held.worker
                continue
            outcome = self._placer.place(need)
            if not isinstance(outcome, Placed):
                continue
            worker = outcome.worker
            if isinstance(self._accounts.reserve(need, worker, deadline), Reserved):
                workers[need.task] = worker
        return workers

    def prolong(self, tasks: Sequence[str], limit: timedelta) -> bool:
        """Prolong the holds of all ``tasks``; false when one has ended."""
        now = self._expire()
        if not all(self._accounts.find(task) for task in tasks):
            return False
        for task in tasks:
            self._accounts.prolong(task, now + limit)
        return True

    def start(self, tasks: Sequence[str]) -> bool:
        """Turn all holds into reservations for good; false when one has ended."""
        now = self._expire()
        if not all(self._accounts.find(task) for task in tasks):
            return False
        return all([self._accounts.confirm(task, now) for task in tasks])

    def release(self, tasks: Iterable[str]) -> None:
        """Let go of holds; what was started stays."""
        for task in tasks:
            held = self._accounts.find(task)
            if held is not None and held.deadline is not None:
                self._accounts.release(task)

    def _expire(self) -> timedelta:
        now = self._clock.monotonic()
        self._accounts.expire(now)
        return now


class Part(NamedTuple):
    """What one owner holds of a gang; workers by task."""

    owner: GangOwner
    workers: Mapping[str, str]


class GangHeld(NamedTuple):
    """All tasks are held.

    :param until: monotonic time by which :meth:`GangReserver.start` must be
        called, reckoned from before the owners were asked.
    """

    parts: tuple[Part, ...]
    until: timedelta


class GangStarted(NamedTuple):
    """All tasks have their room for good; workers by task."""

    workers: Mapping[str, str]


class GangUndone(NamedTuple):
    """Not all could be started.

    :param started: workers of the tasks to be stopped.
    :param unsure: tasks that may have been started, as the answer was lost; ask
        their owner, then stop them too.
    """

    started: Mapping[str, str]
    unsure: tuple[str, ...] = ()


class GangReserver:
    """The decider's side of all-or-nothing reservations."""

    def __init__(
        self,
        clock: Clock,
        hold_limit: timedelta = HOLD_LIMIT,
        start_limit: timedelta = START_LIMIT,
    ) -> None:
        self._clock = clock
        self._hold_limit = hold_limit
        self._start_limit = start_limit

    async def hold(
        self, needs: Sequence[TaskNeed], owners: Iterable[GangOwner]
    ) -> GangHeld | NoRoom:
        """Hold room for all tasks at some owners, or for none.

        :param owners: those worth asking, as chosen from their summaries.
        """
        parts: list[Part] = []
        asked: list[GangOwner] = []
        left = {need.task: need for need in needs}
        for owner in sorted(owners, key=lambda owner: owner.name):
            asked.append(owner)
            workers = await owner.hold(tuple(left.values()), self._hold_limit)
            if workers:
                parts.append(Part(owner, workers))
                left = {task: left[task] for task in left if task not in workers}
            if not left:
                break
        until = self._clock.monotonic() + self._start_limit * (1 - CLOCK_DRIFT)
        if left or not await self._prolong(parts):
            await self._release(asked, [need.task for need in needs])
            count_refusal("gangs", "no_room" if left else "hold_ended")
            return NoRoom("gang")
        return GangHeld(tuple(parts), until)

    async def start(self, held: GangHeld) -> GangStarted | GangUndone:
        """Start all parts; call it once the decision to do so is durable."""
        started: dict[str, str] = {}
        is_late = self._clock.monotonic() >= held.until
        for part in held.parts:
            answer = False if is_late else await self._start_part(part)
            if not answer:
                await self._release_parts(held.parts)
                count_refusal("gangs", "start_failed")
                unsure = tuple(part.workers) if answer is None else ()
                return GangUndone(started, unsure)
            started.update(part.workers)
        return GangStarted(started)

    async def resume(
        self,
        needs: Sequence[TaskNeed],
        started: Mapping[str, str],
        owners: Iterable[GangOwner],
    ) -> GangStarted | GangUndone:
        """Finish or give up a gang whose decider died while it started.

        :param started: workers of the tasks that were started, as owners say.
        """
        missing = [need for need in needs if need.task not in started]
        held = await self.hold(missing, owners)
        if isinstance(held, NoRoom):
            return GangUndone(started)
        outcome = await self.start(held)
        if isinstance(outcome, GangStarted):
            return GangStarted({**started, **outcome.workers})
        return GangUndone({**started, **outcome.started}, outcome.unsure)

    async def release(self, held: GangHeld) -> None:
        """Give up what is held, as when the decision could not be made durable."""
        await self._release_parts(held.parts)

    async def _start_part(self, part: Part) -> bool | None:
        """Ask again when an answer is lost; repeating it changes nothing."""
        for _ in range(_START_TRIES):
            answer = await part.owner.start(tuple(part.workers))
            if answer is not None:
                return answer
        return None

    async def _prolong(self, parts: Iterable[Part]) -> bool:
        answers = await asyncio.gather(
            *(
                part.owner.prolong(tuple(part.workers), self._start_limit)
                for part in parts
            )
        )
        return all(answers)

    async def _release_parts(self, parts: Iterable[Part]) -> None:
        for owner, workers in parts:
            await owner.release(tuple(workers))

    async def _release(self, owners: Iterable[GangOwner], tasks: list[str]) -> None:
        await asyncio.gather(*(owner.release(tasks) for owner in owners))
