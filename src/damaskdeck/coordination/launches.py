"""Launches of tasks: reserve, make the placement durable, then start."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.kept import KeptLedger
from damaskdeck.coordination.news import is_idempotent
from damaskdeck.metrics import count_retry
from damaskdeck.protocol import jobs
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.protocol.resources import WorkloadSpec, read_size
from damaskdeck.protocol.sizes import Size
from damaskdeck.state import records
from damaskdeck.state.jobs import Task, TaskState
from damaskdeck.state.ledger import Committed

CALL_TIMEOUT = timedelta(seconds=3)


class Pick(NamedTuple):
    """A worker chosen for a task; ``owner`` is the worker's."""

    task: str
    attempt: int
    worker: str
    owner: str
    size: Size


class Launcher:
    """Starts tasks of one kept ledger through the owners of workers.

    Promise: "A request marked as non-idempotent runs at most once": no start is
    sent before the placement, its start mark, is durable, and each attempt's
    start is sent once.

    :param doubt: takes attempts of which it isn't known whether they started.
    """

    def __init__(
        self,
        kept: KeptLedger,
        ownership: Ownership,
        peers: Peers,
        doubt: Callable[[Iterable[str]], None],
    ) -> None:
        self._kept = kept
        self._ownership = ownership
        self._peers = peers
        self._doubt = doubt

    def find_owner(self, worker: str) -> str | None:
        """Return the daemon that owns a worker."""
        owner = self._ownership.find_owner(f"worker/{worker}")
        return owner.instance if owner else None

    async def launch(self, picks: list[Pick], is_gang: bool) -> dict[str, str]:
        """Start tasks, all or none of them if they are a gang.

        :returns: a code for each task that surely was not placed.
        """
        epochs, refused = await self._reserve(picks)
        if refused and is_gang:
            await self._release([pick for pick in picks if pick.task in epochs])
            return {pick.task: refused.get(pick.task, "gang_short") for pick in picks}
        granted = [pick for pick in picks if self._is_waiting(pick, epochs)]
        stale = [p for p in picks if p.task in epochs and p not in granted]
        if stale and is_gang:
            granted, stale = [], picks
        await self._release(stale)
        if not granted:
            return refused
        outcome = await self._place(granted, epochs)
        if not isinstance(outcome, Committed):
            await self._release(granted)
            return refused | {pick.task: outcome.code for pick in granted}
        await self._start_all(granted, epochs)
        return refused

    async def _reserve(
        self, picks: list[Pick]
    ) -> tuple[dict[str, int], dict[str, str]]:
        epochs: dict[str, int] = {}
        refused: dict[str, str] = {}
        groups = _group(picks)
        answers = await asyncio.gather(
            *(self._reserve_at(owner, group) for owner, group in groups.items())
        )
        for group, reply in zip(groups.values(), answers, strict=True):
            if reply is None:
                refused.update((pick.task, "owner_unreachable") for pick in group)
                continue
            for item in reply["granted"]:
                epochs[item["task"]] = item["epoch"]
            for item in reply["refused"]:
                refused[item["task"]] = item["code"]
        return epochs, refused

    async def _reserve_at(
        self, owner: str, picks: list[Pick]
    ) -> jobs.TasksReserved | None:
        message = jobs.ReserveTasks(
            ledger=self._kept.name,
            epoch=self._kept.epoch,
            tasks=[_make_reservation(pick) for pick in picks],
        )
        answer = await self._peers.call(owner, message, jobs.ReserveTasks, CALL_TIMEOUT)
        return answer.message if isinstance(answer, Answered) else None

    async def _place(
        self, picks: list[Pick], epochs: dict[str, int]
    ) -> Committed | Refused | Unknown:
        """Commit the placements, with start marks where no start may be repeated."""
        table = self._kept.table
        placements = [
            records.Placement(
                task=pick.task,
                attempt=pick.attempt,
                worker=pick.worker,
                epoch=epochs[pick.task],
            )
            for pick in picks
        ]
        marked = [
            pick.task
            for pick in picks
            if not is_idempotent(table.jobs[table.tasks[pick.task].job].spec)
        ]
        changes: list[tuple[object, type]] = [
            (records.Placed(tasks=placements), records.Placed)
        ]
        if marked:
            mark = records.StartMarked(tasks=marked)
            changes.append((mark, records.StartMarked))
        return await self._kept.commit(*changes)

    def _is_waiting(self, pick: Pick, epochs: dict[str, int]) -> bool:
        """Tell whether a task with a reservation still waits for its start."""
        task = self._kept.table.tasks.get(pick.task)
        return (
            pick.task in epochs
            and task is not None
            and task.state is TaskState.QUEUED
            and task.attempt + 1 == pick.attempt
            and not self._kept.table.jobs[task.job].stopping
        )

    async def _start_all(self, picks: list[Pick], epochs: dict[str, int]) -> None:
        groups = _group(picks)
        await asyncio.gather(
            *(self._start_at(owner, group, epochs) for owner, group in groups.items())
        )

    async def _start_at(
        self, owner: str, picks: list[Pick], epochs: dict[str, int]
    ) -> None:
        starts = [s for pick in picks if (s := self._make_start(pick, epochs))]
        if not starts or not self._kept.may_act():
            self._doubt(pick.task for pick in picks)
            return
        message = jobs.StartTasks(
            ledger=self._kept.name, epoch=self._kept.epoch, tasks=starts
        )
        answer = await self._peers.call(owner, message, jobs.StartTasks, CALL_TIMEOUT)
        if isinstance(answer, Answered):
            refused = answer.message["refused"]
        elif isinstance(answer, Unsent):
            refused = [
                jobs.Refusal(task=s["task"], attempt=s["attempt"], code=answer.code)
                for s in starts
            ]
        else:
            count_retry("keeper", "start_unanswered")
            self._doubt(pick.task for pick in picks)
            return
        await self._take_back(refused)

    def _make_start(self, pick: Pick, epochs: dict[str, int]) -> jobs.Start | None:
        table = self._kept.table
        task = table.find_attempt(pick.task, pick.attempt)
        if task is None:
            return None
        job = table.jobs[task.job]
        return jobs.Start(
            **_make_reservation(pick),
            epoch=epochs[pick.task],
            payload=job.payload,
            checkpoint=task.checkpoint,
            idempotent=is_idempotent(job.spec),
        )

    async def _take_back(self, refused: list[jobs.Refusal]) -> None:
        """Let tasks wait again whose start was refused: they did not run."""
        if not refused:
            return
        returns = [
            records.Return(
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

    async def _release(self, picks: list[Pick]) -> None:
        for owner, group in _group(picks).items():
            message = jobs.ReleaseTasks(
                ledger=self._kept.name,
                epoch=self._kept.epoch,
                tasks=[
                    jobs.TaskAttempt(
                        task=pick.task, attempt=pick.attempt, worker=pick.worker
                    )
                    for pick in group
                ],
            )
            self._peers.send(owner, message, jobs.ReleaseTasks)


def get_size(spec: WorkloadSpec) -> Size:
    """Return the declared size of one task."""
    return read_size(spec["size"])


def make_pick(task: Task, worker: str, owner: str, size: Size) -> Pick:
    """Return the next attempt of a task on a worker."""
    return Pick(task.name, task.attempt + 1, worker, owner, size)


def _group(picks: list[Pick]) -> dict[str, list[Pick]]:
    groups: dict[str, list[Pick]] = {}
    for pick in picks:
        groups.setdefault(pick.owner, []).append(pick)
    return groups


def _make_reservation(pick: Pick) -> jobs.Reservation:
    return jobs.Reservation(
        task=pick.task,
        attempt=pick.attempt,
        worker=pick.worker,
        size=jobs.SizeData(**pick.size._asdict()),
    )
