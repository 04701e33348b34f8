"""What a new owner of a target must know of the earlier owner's requests."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.requests.lanes import name_thing
from damaskdeck.coordination.requests.slots import SlotPool
from damaskdeck.logs import get_logger
from damaskdeck.protocol.forwarding import ReadSlots, ReadSlotsReply
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Answered, Peers

ASK_TIMEOUT = timedelta(milliseconds=500)
ASK_INTERVAL = timedelta(milliseconds=100)

_UNKNOWN = ""
_ZERO = timedelta()

_log = get_logger("slots")


class SlotHandover:
    """Keeps slots from being filled twice when a target's owner changes.

    The new owner asks the daemons of its zone, again and again until all slots
    are free. Each says how many slots its own calls still fill, and for how long
    at most; the last owner also what it had inherited itself from daemons that
    may have gone since. While the last owner doesn't answer, it is dead, paused
    or cut off, and all slots count as filled until its longest call must have
    ended.

    :param max_call_time: no call to a target is open for longer.
    :param margin: added to ``max_call_time`` where a slot must be free without an
        answer.
    :param on_free: called when slots of a pool may have become free.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        clock: Clock,
        max_call_time: timedelta,
        margin: timedelta,
        on_free: Callable[[SlotPool], None],
    ) -> None:
        self._members = members
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._longest = max_call_time
        self._margin = margin
        self._on_free = on_free
        self._follows: set[asyncio.Task[None]] = set()
        self._former: dict[str, dict[int, SlotPool]] = {}
        peers.register(ReadSlots, self._tell)

    def keep(self, pool: SlotPool, epoch: int) -> None:
        """Remember the pool of a target that was lost, for its new owner."""
        pools = self._former.setdefault(pool.target.name, {})
        for old in [e for e, p in pools.items() if not p.list_remaining(_ZERO)]:
            del pools[old]
        pools[epoch] = pool

    async def fill(self, pool: SlotPool, epoch: int) -> None:
        """Hold the slots that earlier owners' requests may still fill.

        :param epoch: at which this daemon has become the owner.
        """
        if epoch <= 1:
            return
        until = self._clock.monotonic() + self._longest + self._margin
        pool.inherit(_UNKNOWN, (until,) * pool.capacity)
        if not self._inherit(pool, epoch, await self._ask(pool, epoch)):
            name = pool.target.name
            _log.warn("A target's last owner doesn't answer.", target=name)
        start_task(self._follow(pool, epoch), self._follows)

    async def _follow(self, pool: SlotPool, epoch: int) -> None:
        while pool.count_inherited() and not self._is_lost(pool):
            await self._clock.sleep(ASK_INTERVAL)
            self._inherit(pool, epoch, await self._ask(pool, epoch))
            self._on_free(pool)

    def _is_lost(self, pool: SlotPool) -> bool:
        return pool in self._former.get(pool.target.name, {}).values()

    def _inherit(
        self, pool: SlotPool, epoch: int, answers: dict[str, ReadSlotsReply]
    ) -> bool:
        """Take over what the earlier owners say; tell whether the last one did."""
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

    async def _ask(self, pool: SlotPool, epoch: int) -> dict[str, ReadSlotsReply]:
        target = pool.target.name
        own = self._members.self
        names = [m.name for m in self._members.list_live(own.zone) if m != own]
        message = ReadSlots(target=target, epoch=epoch)
        replies = await asyncio.gather(
            *(self._peers.call(n, message, ReadSlots, ASK_TIMEOUT) for n in names)
        )
        answers = {own.name: self._read_former(target)}
        for name, reply in zip(names, replies, strict=True):
            if isinstance(reply, Answered) and reply.message:
                answers[name] = reply.message
        return answers

    async def _tell(self, instance: str, message: ReadSlots) -> ReadSlotsReply | None:
        target = message["target"]
        if self._ownership.get_epoch(name_thing(target)) is not None:
            return None
        return self._read_former(target)

    def _read_former(self, target: str) -> ReadSlotsReply:
        pools = self._former.get(target, {})
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
