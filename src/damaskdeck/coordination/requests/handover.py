"""Handover of slot usage from former owners of a target to its new owner."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.lanes import name_shard
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.logs import get_logger
from damaskdeck.protocol.forwarding import ReadSlots, ReadSlotsReply
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Answered, Peers

READ_TIMEOUT = timedelta(milliseconds=500)
READ_INTERVAL = timedelta(milliseconds=100)

_UNKNOWN = ""
_ZERO = timedelta()

_log = get_logger("slots")


class SlotHandover:
    """Prevents slots from being filled twice when a target's owner changes.

    The new owner repeatedly queries the daemons of its zone until all slots are
    free. Each reports how many slots its own calls still fill, and the longest time
    for each; the last owner also reports what it had inherited from daemons that
    may be gone by now. While the last owner doesn't answer, it is dead, paused or
    cut off, and all slots count as filled until its longest call must have ended.

    :param max_call_time: the longest time a call to a target can be open.
    :param margin: added to ``max_call_time`` before a slot is free without an answer.
    :param on_slots_freed: called when slots of a pool may have become free.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        clock: Clock,
        max_call_time: timedelta,
        margin: timedelta,
        on_slots_freed: Callable[[SlotPool], None],
    ) -> None:
        self._members = members
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._max_call_time = max_call_time
        self._margin = margin
        self._on_slots_freed = on_slots_freed
        self._polls: set[asyncio.Task[None]] = set()
        self._former_pools: dict[str, dict[int, SlotPool]] = {}
        peers.register(ReadSlots, self._handle_read)

    def add_former_pool(self, pool: SlotPool, epoch: int) -> None:
        """Keep the pool of a target that was lost, to report on it to the new owner."""
        pools = self._former_pools.setdefault(pool.target.name, {})
        for old in [e for e, p in pools.items() if not p.list_remaining(_ZERO)]:
            del pools[old]
        pools[epoch] = pool

    async def hold_inherited(self, pool: SlotPool, epoch: int) -> None:
        """Hold the slots that requests of earlier owners may still fill.

        :param epoch: under which this daemon became the owner.
        """
        if epoch <= 1:
            return
        until = self._clock.monotonic() + self._max_call_time + self._margin
        pool.inherit(_UNKNOWN, (until,) * pool.capacity)
        if not self._update_inherited(
            pool, epoch, await self._read_from_peers(pool, epoch)
        ):
            name = pool.target.name
            _log.warn("The last owner of a target doesn't answer.", target=name)
        start_task(self._poll_former_owners(pool, epoch), self._polls)

    async def _poll_former_owners(self, pool: SlotPool, epoch: int) -> None:
        while pool.count_inherited() and not self._is_lost(pool):
            await self._clock.sleep(READ_INTERVAL)
            self._update_inherited(
                pool, epoch, await self._read_from_peers(pool, epoch)
            )
            self._on_slots_freed(pool)

    def _is_lost(self, pool: SlotPool) -> bool:
        return pool in self._former_pools.get(pool.target.name, {}).values()

    def _update_inherited(
        self, pool: SlotPool, epoch: int, answers: dict[str, ReadSlotsReply]
    ) -> bool:
        """Apply the reports of earlier owners; return whether the last one reported."""
        for name, answer in answers.items():
            pool.inherit(name, self._read_times(answer["remaining"]))
        for answer in answers.values():
            if answer["epoch"] == epoch - 1:
                pool.inherit(_UNKNOWN, ())
                for name, times in answer["inherited"].items():
                    if name not in answers:
                        pool.inherit(name, self._read_times(times))
                return True
        return False

    def _read_times(self, remaining: list[float]) -> list[timedelta]:
        now = self._clock.monotonic()
        return [now + timedelta(seconds=seconds) for seconds in remaining]

    async def _read_from_peers(
        self, pool: SlotPool, epoch: int
    ) -> dict[str, ReadSlotsReply]:
        target = pool.target.name
        own = self._members.self
        names = [m.name for m in self._members.list_live(own.zone) if m != own]
        message = ReadSlots(target=target, epoch=epoch)
        replies = await asyncio.gather(
            *(self._peers.call(n, message, ReadSlots, READ_TIMEOUT) for n in names)
        )
        answers = {own.name: self._report_former_slots(target)}
        for name, reply in zip(names, replies, strict=True):
            if isinstance(reply, Answered) and reply.message:
                answers[name] = reply.message
        return answers

    async def _handle_read(
        self, instance: str, message: ReadSlots
    ) -> ReadSlotsReply | None:
        target = message["target"]
        if self._ownership.get_epoch(name_shard(target)) is not None:
            return None
        return self._report_former_slots(target)

    def _report_former_slots(self, target: str) -> ReadSlotsReply:
        pools = self._former_pools.get(target, {})
        answer = ReadSlotsReply(
            target=target, epoch=max(pools, default=0), remaining=[], inherited={}
        )
        for pool in pools.values():
            times = pool.list_remaining(self._margin)
            answer["remaining"].extend(time.total_seconds() for time in times)
        if pools:
            for name, times in pools[answer["epoch"]].list_inherited().items():
                answer["inherited"][name] = [time.total_seconds() for time in times]
        return answer
