"""Task updates in transit from the owner of workers to the ledger owners."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from itertools import islice

from damaskdeck.clock import Clock
from damaskdeck.protocol.jobs import TaskUpdate, TaskUpdates, TaskUpdatesReply
from damaskdeck.protocol.members import Ownership
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.state.names import parse_job_name, parse_ledger_name

MAX_BATCH_UPDATES = 500
MAX_BATCH_BYTES = 512_000
REPLY_TIMEOUT = timedelta(seconds=5)
RETRY_INTERVAL = timedelta(milliseconds=500)
BATCH_DELAY = timedelta(milliseconds=10)

AcknowledgementHandler = Callable[[TaskUpdatesReply], Awaitable[None]]


class UpdateOutbox:
    """Keeps the latest update of each attempt until the ledger owner has recorded it.

    :param on_acknowledged: called with each reply of a ledger owner.
    """

    def __init__(
        self,
        ownership: Ownership,
        peers: Peers,
        clock: Clock,
        on_acknowledged: AcknowledgementHandler,
    ) -> None:
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._on_acknowledged = on_acknowledged
        self._waiting: dict[str, dict[tuple[str, int], TaskUpdate]] = {}
        self._has_updates = asyncio.Event()
        self._senders: dict[str, asyncio.Task[None]] = {}

    def put(self, update: TaskUpdate) -> None:
        """Enqueue an update; it replaces an earlier one of the same attempt."""
        ledger = parse_ledger_name(parse_job_name(update["task"]))
        if ledger is None:
            return
        waiting = self._waiting.setdefault(ledger, {})
        waiting[update["task"], update["attempt"]] = update
        self._has_updates.set()

    async def run(self) -> None:
        """Send until cancelled; each ledger has its own sender."""
        try:
            async with asyncio.TaskGroup() as group:
                while True:
                    await self._has_updates.wait()
                    self._has_updates.clear()
                    for ledger in self._waiting:
                        sender = self._senders.get(ledger)
                        if sender is None or sender.done():
                            task = group.create_task(self._send_all(ledger))
                            self._senders[ledger] = task
        finally:
            self._senders.clear()

    async def _send_all(self, ledger: str) -> None:
        waiting = self._waiting[ledger]
        while waiting:
            await self._clock.sleep(BATCH_DELAY)
            batch = take_batch(waiting)
            acknowledged = await self._send(ledger, batch)
            if acknowledged is None:
                await self._clock.sleep(RETRY_INTERVAL)
                continue
            for attempt in acknowledged["noted"]:
                key = attempt["task"], attempt["attempt"]
                if waiting.get(key) in batch:
                    del waiting[key]
            await self._on_acknowledged(acknowledged)
            if not acknowledged["noted"]:
                await self._clock.sleep(RETRY_INTERVAL)

    async def _send(
        self, ledger: str, batch: list[TaskUpdate]
    ) -> TaskUpdatesReply | None:
        owner = self._ownership.find_owner(f"ledger/{ledger}")
        if owner is None:
            return None
        message = TaskUpdates(ledger=ledger, tasks=batch)
        answer = await self._peers.call(
            owner.instance, message, TaskUpdates, REPLY_TIMEOUT
        )
        if not isinstance(answer, Answered) or answer.message is None:
            return None
        return answer.message


def take_batch(waiting: dict[tuple[str, int], TaskUpdate]) -> list[TaskUpdate]:
    """Return the oldest updates, as many as fit into one message."""
    batch: list[TaskUpdate] = []
    size = 0
    for update in islice(waiting.values(), MAX_BATCH_UPDATES):
        size += len(update.get("result", b""))
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(update)
    return batch
