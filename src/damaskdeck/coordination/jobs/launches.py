"""Launches of tasks: reserve, make the placement durable, then start."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.jobs.news import is_idempotent
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.metrics import count_retry
from damaskdeck.protocol import jobs
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.state import records
from damaskdeck.state.jobmodel import TaskState
from damaskdeck.state.ledger import Committed

CALL_TIMEOUT = timedelta(seconds=3)
# Refusals of an owner that is to have the room; no other is asked for it then.
PROMISED = frozenset({"room_kept", "making_room"})


class Pick(NamedTuple):
    """An owner of workers chosen for the next attempt of a task."""

    owner: str
    request: jobs.ReservationRequest

    @property
    def task(self) -> str:
        """The task's name."""
        return self.request["task"]


Grants = dict[str, jobs.TaskAttempt]


class Launcher:
    """Starts tasks of one kept ledger through the owners of workers.

    Promise: "A request marked as non-idempotent runs at most once": no start is
    sent before the placement, its start mark, is durable, and each attempt's
    start is sent once.

    :param doubt: takes attempts of which it isn't known whether they started.
    """

    def __init__(
        self,
        kept: OwnedLedger,
        ownership: Ownership,
        peers: Peers,
        doubt: Callable[[Iterable[str]], None],
    ) -> None:
        self._kept = kept
        self._ownership = ownership
        self._peers = peers
        self._doubt = doubt

    async def launch(self, picks: list[Pick]) -> dict[str, str]:
        """Start tasks of one owner, those of them that it has room for.

        :returns: a code for each task that surely was not placed.
        """
        granted, refused = await self._reserve(picks[0].owner, picks)
        return refused | await self._commit({picks[0].owner: granted})

    async def launch_gang(self, picks: list[Pick], owners: list[str]) -> dict[str, str]:
        """Start all tasks of a gang at once, or none.

        Owners are asked in order of their names and holds end by themselves, so
        that gangs neither wait for each other nor leave anything behind. What an
        owner keeps or makes room for isn't asked of the others; unless all the
        rest is granted or kept as well, kept room is given up.
        """
        parts: dict[str, Grants] = {}
        kept: dict[str, list[Pick]] = {}
        left = {pick.task: pick for pick in picks}
        codes: dict[str, str] = {}
        for owner in sorted(owners):
            asked = _number_gang(list(left.values()))
            parts[owner], refused = await self._reserve(owner, asked)
            codes |= refused
            kept[owner] = [p for p in asked if refused.get(p.task) in PROMISED]
            done = {*parts[owner], *(pick.task for pick in kept[owner])}
            left = {task: left[task] for task in left if task not in done}
            if not left:
                break
        is_whole = all(self._is_waiting(pick.request) for pick in picks)
        if left or not is_whole or any(kept.values()):
            await self._release(parts)
            if left or not is_whole:
                await self._release(_name_kept(kept))
            return {pick.task: codes.get(pick.task, "gang_short") for pick in picks}
        return await self._commit(parts)

    async def _reserve(
        self, owner: str, picks: list[Pick]
    ) -> tuple[Grants, dict[str, str]]:
        message = jobs.ReserveTasks(
            ledger=self._kept.name,
            epoch=self._kept.epoch,
            tasks=[pick.request for pick in picks],
        )
        answer = await self._peers.call(owner, message, jobs.ReserveTasks, CALL_TIMEOUT)
        if not isinstance(answer, Answered) or answer.message is None:
            return {}, {pick.task: "owner_unreachable" for pick in picks}
        reply: jobs.ReserveTasksReply = answer.message
        granted = {item["task"]: item for item in reply["granted"]}
        return granted, {item["task"]: item["code"] for item in reply["refused"]}

    async def _commit(self, parts: dict[str, Grants]) -> dict[str, str]:
        """Make placements durable, then start what was placed."""
        stale: dict[str, Grants] = {}
        for owner, granted in parts.items():
            old = {t: a for t, a in granted.items() if not self._is_waiting(a)}
            stale[owner] = old
            parts[owner] = {t: a for t, a in granted.items() if t not in old}
        await self._release(stale)
        placed = [attempt for grants in parts.values() for attempt in grants.values()]
        if not placed:
            return {}
        outcome = await self._place(placed)
        if not isinstance(outcome, Committed):
            await self._release(parts)
            return {attempt["task"]: outcome.code for attempt in placed}
        await asyncio.gather(
            *(self._start(owner, list(g.values())) for owner, g in parts.items() if g)
        )
        return {}

    async def _place(
        self, placed: list[jobs.TaskAttempt]
    ) -> Committed | Refused | Unknown:
        """Commit placements, with start marks where no start may be repeated."""
        table = self._kept.table
        placements = [records.Placement(**attempt) for attempt in placed]
        marked = [
            attempt["task"]
            for attempt in placed
            if not is_idempotent(table.jobs[table.tasks[attempt["task"]].job].spec)
        ]
        changes: list[tuple[object, type]] = [
            (records.Placed(tasks=placements), records.Placed)
        ]
        if marked:
            mark = records.StartMarked(tasks=marked)
            changes.append((mark, records.StartMarked))
        return await self._kept.commit(*changes)

    def _is_waiting(self, item: jobs.ReservationRequest | jobs.TaskAttempt) -> bool:
        """Tell whether a task still waits for the start of this attempt."""
        task = self._kept.table.tasks.get(item["task"])
        return (
            task is not None
            and task.state is TaskState.QUEUED
            and task.attempt + 1 == item["attempt"]
            and not self._kept.table.jobs[task.job].stopping
        )

    async def _start(self, owner: str, placed: list[jobs.TaskAttempt]) -> None:
        names = [attempt["task"] for attempt in placed]
        starts = [start for item in placed if (start := self._make_start(item))]
        if not starts or not self._kept.may_act():
            self._doubt(names)
            return
        message = jobs.StartTasks(
            ledger=self._kept.name, epoch=self._kept.epoch, tasks=starts
        )
        answer = await self._peers.call(owner, message, jobs.StartTasks, CALL_TIMEOUT)
        if isinstance(answer, Answered) and answer.message is not None:
            refused = answer.message["refused"]
        elif isinstance(answer, Unsent):
            refused = [
                jobs.Refusal(task=s["task"], attempt=s["attempt"], code=answer.code)
                for s in starts
            ]
        else:
            count_retry("keeper", "start_unanswered")
            self._doubt(names)
            return
        await self._take_back(refused)

    def _make_start(self, item: jobs.TaskAttempt) -> jobs.TaskToStart | None:
        table = self._kept.table
        task = table.find_attempt(item["task"], item["attempt"])
        if task is None:
            return None
        job = table.jobs[task.job]
        return jobs.TaskToStart(
            **item,
            payload=job.payload,
            resume=task.checkpoint,
            idempotent=is_idempotent(job.spec),
        )

    async def _take_back(self, refused: list[jobs.Refusal]) -> None:
        """Let tasks wait again whose start was refused: they did not run."""
        if not refused:
            return
        returns = [
            records.RequeuedAttempt(
                task=item["task"],
                attempt=item["attempt"],
                reason=f"it was not started there ({item['code']})",
                ran=False,
                failed=False,
            )
            for item in refused
        ]
        requeued = records.Requeued(tasks=returns, at=self._kept.get_time())
        outcome = await self._kept.commit((requeued, records.Requeued))
        if not isinstance(outcome, Committed):
            self._doubt(item["task"] for item in refused)

    async def _release(self, parts: dict[str, Grants]) -> None:
        for owner, grants in parts.items():
            if not grants:
                continue
            message = jobs.ReleaseTasks(
                ledger=self._kept.name,
                epoch=self._kept.epoch,
                tasks=list(grants.values()),
            )
            self._peers.send(owner, message, jobs.ReleaseTasks)


def _number_gang(picks: list[Pick]) -> list[Pick]:
    """Let each request of a long waiting gang tell its place in the message."""
    numbered = []
    for index, pick in enumerate(picks):
        request = pick.request.copy()
        if "gang" in request:
            gang = request["gang"] | {"index": index, "count": len(picks)}
            request["gang"] = gang
        numbered.append(pick._replace(request=request))
    return numbered


def _name_kept(kept: dict[str, list[Pick]]) -> dict[str, Grants]:
    """Name one task of each owner that keeps room: it is kept for all."""
    return {
        owner: {
            pick.task: jobs.TaskAttempt(
                task=pick.task, attempt=pick.request["attempt"], worker=""
            )
            for pick in picks[:1]
        }
        for owner, picks in kept.items()
    }
