"""Launches of tasks: reserve, make the placement durable, then start."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.updates import is_idempotent
from damaskdeck.metrics import count_retry
from damaskdeck.protocol import jobs
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.messages import Answered, Peers, Unsent
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.state import records
from damaskdeck.state.jobmodel import TaskState
from damaskdeck.state.ledger import Committed

CALL_TIMEOUT = timedelta(seconds=3)
# Refusals of an owner that reserves or frees the capacity; no other owner is called
# for it then.
RESERVING_CODES = frozenset({"room_kept", "making_room"})


class Assignment(NamedTuple):
    """The worker owner chosen for the next attempt of a task."""

    owner: str
    request: jobs.ReservationRequest

    @property
    def task(self) -> str:
        """The task's name."""
        return self.request["task"]


Grants = dict[str, jobs.TaskAttempt]


class Launcher:
    """Starts tasks of one owned ledger through the owners of workers.

    Guarantee: "A request marked as non-idempotent runs at most once." No start is
    sent before the placement, with its start mark, is durable, and the start of each
    attempt is sent once.

    :param mark_unconfirmed: called with the tasks that may or may not have started.
    """

    def __init__(
        self,
        ledger: OwnedLedger,
        ownership: Ownership,
        peers: Peers,
        mark_unconfirmed: Callable[[Iterable[str]], None],
    ) -> None:
        self._ledger = ledger
        self._ownership = ownership
        self._peers = peers
        self._mark_unconfirmed = mark_unconfirmed

    async def launch(self, assignments: list[Assignment]) -> dict[str, str]:
        """Start the tasks that their common owner has capacity for.

        :returns: a code for each task that was certainly not placed.
        """
        granted, refused = await self._reserve(assignments[0].owner, assignments)
        return refused | await self._commit({assignments[0].owner: granted})

    async def launch_gang(
        self, assignments: list[Assignment], owners: list[str]
    ) -> dict[str, str]:
        """Start all tasks of a gang at once, or none.

        Owners are called in the order of their names and holds expire, so gangs
        don't wait for each other and leave nothing behind. Tasks for which an owner
        reserves or frees capacity aren't requested from other owners. Unless all
        other tasks are granted or have capacity reserved as well, the reservations
        are released.
        """
        grants_by_owner: dict[str, Grants] = {}
        reserved: dict[str, list[Assignment]] = {}
        remaining = {assignment.task: assignment for assignment in assignments}
        codes: dict[str, str] = {}
        for owner in sorted(owners):
            requested = _number_gang(list(remaining.values()))
            grants_by_owner[owner], refused = await self._reserve(owner, requested)
            codes |= refused
            reserved[owner] = [
                p for p in requested if refused.get(p.task) in RESERVING_CODES
            ]
            done = {
                *grants_by_owner[owner],
                *(assignment.task for assignment in reserved[owner]),
            }
            remaining = {
                task: remaining[task] for task in remaining if task not in done
            }
            if not remaining:
                break
        all_waiting = all(
            self._is_waiting(assignment.request) for assignment in assignments
        )
        if remaining or not all_waiting or any(reserved.values()):
            await self._release(grants_by_owner)
            if remaining or not all_waiting:
                await self._release(_name_reserved(reserved))
            return {
                assignment.task: codes.get(assignment.task, "gang_short")
                for assignment in assignments
            }
        return await self._commit(grants_by_owner)

    async def _reserve(
        self, owner: str, assignments: list[Assignment]
    ) -> tuple[Grants, dict[str, str]]:
        message = jobs.ReserveTasks(
            ledger=self._ledger.name,
            epoch=self._ledger.epoch,
            tasks=[assignment.request for assignment in assignments],
        )
        answer = await self._peers.call(owner, message, jobs.ReserveTasks, CALL_TIMEOUT)
        if not isinstance(answer, Answered) or answer.message is None:
            return {}, {
                assignment.task: "owner_unreachable" for assignment in assignments
            }
        reply: jobs.ReserveTasksReply = answer.message
        granted = {item["task"]: item for item in reply["granted"]}
        return granted, {item["task"]: item["code"] for item in reply["refused"]}

    async def _commit(self, grants_by_owner: dict[str, Grants]) -> dict[str, str]:
        """Make placements durable, then start the placed tasks."""
        stale: dict[str, Grants] = {}
        for owner, granted in grants_by_owner.items():
            old = {t: a for t, a in granted.items() if not self._is_waiting(a)}
            stale[owner] = old
            grants_by_owner[owner] = {t: a for t, a in granted.items() if t not in old}
        await self._release(stale)
        placed = [
            attempt
            for grants in grants_by_owner.values()
            for attempt in grants.values()
        ]
        if not placed:
            return {}
        outcome = await self._commit_placements(placed)
        if not isinstance(outcome, Committed):
            await self._release(grants_by_owner)
            return {attempt["task"]: outcome.code for attempt in placed}
        await asyncio.gather(
            *(
                self._start(owner, list(g.values()))
                for owner, g in grants_by_owner.items()
                if g
            )
        )
        return {}

    async def _commit_placements(
        self, placed: list[jobs.TaskAttempt]
    ) -> Committed | Refused | Unknown:
        """Commit placements, with a start mark for tasks that aren't idempotent."""
        table = self._ledger.table
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
        return await self._ledger.commit(*changes)

    def _is_waiting(self, item: jobs.ReservationRequest | jobs.TaskAttempt) -> bool:
        """Return whether a task still waits for the start of this attempt."""
        task = self._ledger.table.tasks.get(item["task"])
        return (
            task is not None
            and task.state is TaskState.QUEUED
            and task.attempt + 1 == item["attempt"]
            and not self._ledger.table.jobs[task.job].stopping
        )

    async def _start(self, owner: str, placed: list[jobs.TaskAttempt]) -> None:
        names = [attempt["task"] for attempt in placed]
        starts = [start for item in placed if (start := self._make_start(item))]
        if not starts or not self._ledger.is_owner():
            self._mark_unconfirmed(names)
            return
        message = jobs.StartTasks(
            ledger=self._ledger.name, epoch=self._ledger.epoch, tasks=starts
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
            self._mark_unconfirmed(names)
            return
        await self._requeue(refused)

    def _make_start(self, item: jobs.TaskAttempt) -> jobs.TaskToStart | None:
        table = self._ledger.table
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

    async def _requeue(self, refused: list[jobs.Refusal]) -> None:
        """Requeue the tasks whose start was refused; they did not run."""
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
        requeued = records.Requeued(tasks=returns, at=self._ledger.get_time())
        outcome = await self._ledger.commit((requeued, records.Requeued))
        if not isinstance(outcome, Committed):
            self._mark_unconfirmed(item["task"] for item in refused)

    async def _release(self, grants_by_owner: dict[str, Grants]) -> None:
        for owner, grants in grants_by_owner.items():
            if not grants:
                continue
            message = jobs.ReleaseTasks(
                ledger=self._ledger.name,
                epoch=self._ledger.epoch,
                tasks=list(grants.values()),
            )
            self._peers.send(owner, message, jobs.ReleaseTasks)


def _number_gang(assignments: list[Assignment]) -> list[Assignment]:
    """Add the index and the number of requests to each request of a starving gang."""
    numbered = []
    for index, assignment in enumerate(assignments):
        request = assignment.request.copy()
        if "gang" in request:
            gang = request["gang"] | {"index": index, "count": len(assignments)}
            request["gang"] = gang
        numbered.append(assignment._replace(request=request))
    return numbered


def _name_reserved(reserved: dict[str, list[Assignment]]) -> dict[str, Grants]:
    """Return one task of each owner that reserves capacity.

    Releasing it releases the reservation for the whole gang.
    """
    return {
        owner: {
            assignment.task: jobs.TaskAttempt(
                task=assignment.task, attempt=assignment.request["attempt"], worker=""
            )
            for assignment in assignments[:1]
        }
        for owner, assignments in reserved.items()
    }
