"""What a new owner of a target must know of the earlier owner's requests."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.lanes import name_thing
from damaskdeck.coordination.slots import SlotPool
from damaskdeck.logs import get_logger
from damaskdeck.protocol.forwarding import ReadSlots, SlotsRead
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Answered, Peers

ASK_TIMEOUT = timedelta(milliseconds=500)
ASK_INTERVAL = timedelta(milliseconds=100)

_log = get_logger("slots")


class SlotHandover:
    """Keeps slots from being filled twice when a target's owner changes.

    The new owner asks the daemons of its zone. The last owner says how many
    slots its open calls still fill, and for how long at most, and is asked again
    until they are free. If nobody was the last owner, it is dead, paused or cut
    off, and all slots count as filled until its longest call must have ended.

    :param longest: no call to a target is open for longer.
    :param margin: time after a call's deadline by which a target has stopped.
    :param on_free: called when slots of a pool may have become free.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        clock: Clock,
        longest: timedelta,
        margin: timedelta,
        on_free: Callable[[SlotPool], None],
    ) -> None:
        self._members = members
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._longest = longest
        self._margin = margin
        self._on_free = on_free
        self._follows: set[asyncio.Task[None]] = set()
        self._former: dict[str, tuple[int, SlotPool]] = {}
        peers.register(ReadSlots, self._tell)

    def keep(self, pool: SlotPool, epoch: int) -> None:
        """Remember the pool of a target that was lost, for its new owner."""
        self._former[pool.target.name] = (epoch, pool)

    async def fill(self, pool: SlotPool, epoch: int) -> None:
        """Hold the slots that earlier owners' requests may still fill.

        :param epoch: at which this daemon has become the owner.
        """
        if epoch <= 1:
            return
        target = pool.target.name
        answers = [self._read_former(target), *await self._ask(target, epoch)]
        if not self._inherit(pool, epoch, answers):
            _log.warn("A target's last owner doesn't answer.", target=target)
            until = self._clock.monotonic() + self._longest + self._margin
            pool.inherit((until,) * pool.capacity)
        task = asyncio.ensure_future(self._follow(pool, epoch))
        self._follows.add(task)
        task.add_done_callback(self._follows.discard)

    async def _follow(self, pool: SlotPool, epoch: int) -> None:
        target = pool.target.name
        while pool.count_inherited():
            await self._clock.sleep(ASK_INTERVAL)
            answers = [self._read_former(target), *await self._ask(target, epoch)]
            self._inherit(pool, epoch, answers)
            self._on_free(pool)

    def _inherit(self, pool: SlotPool, epoch: int, answers: list[SlotsRead]) -> bool:
        now = self._clock.monotonic()
        for answer in answers:
            if answer["epoch"] == epoch - 1:
                left = [timedelta(seconds=seconds) for seconds in answer["remaining"]]
                pool.inherit(tuple(now + time for time in left))
                return True
        return False

    async def _ask(self, target: str, epoch: int) -> list[SlotsRead]:
        own = self._members.self
        asked = [m.name for m in self._members.list_live(own.zone) if m != own]
        message = ReadSlots(target=target, epoch=epoch)
        replies = await asyncio.gather(
            *(self._peers.call(n, message, ReadSlots, ASK_TIMEOUT) for n in asked)
        )
        found = [r.message for r in replies if isinstance(r, Answered)]
        return [answer for answer in found if answer]

    async def _tell(self, instance: str, message: ReadSlots) -> SlotsRead | None:
        target = message["target"]
        if self._ownership.get_epoch(name_thing(target)) is not None:
            return None
        return self._read_former(target)

    def _read_former(self, target: str) -> SlotsRead:
        epoch, pool = self._former.get(target, (0, None))
        remaining: list[float] = []
        if pool is not None:
            times = pool.list_remaining(self._margin)
            remaining = [time.total_seconds() for time in times]
        return SlotsRead(target=target, epoch=epoch, remaining=remaining)
