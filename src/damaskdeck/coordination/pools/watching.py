"""Notices that the owner is gone before its lease in the store runs out.

A few daemons ask the owner for signs of life. One that hears none asks the others;
when more than half of all hear none, and nobody does, it says that a takeover is due.
A daemon that is cut off together with a minority stays still. A wrong guess is safe,
as every takeover is, and costs a tenth of a second.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.logs import get_logger
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.poolcalls import (
    AskBeat,
    AskHeard,
    BeatReply,
    HeardReply,
    StandFor,
)

BEAT_INTERVAL = timedelta(milliseconds=120)
BEAT_TIMEOUT = timedelta(milliseconds=200)
# Two beats in a row without an answer, and what a pause of the collector takes.
SILENCE_SECONDS = 0.3
# How many daemons ask for beats; the others ask only when they are asked.
WATCHERS = 4

_log = get_logger("watching")


class OwnerWatch:
    """Watches the owner from one daemon.

    :param instance: this daemon's name.
    :param get_epoch: returns the epoch that this daemon owns under, or 0.
    """

    def __init__(
        self,
        instance: str,
        peers: Peers,
        leadership: Leadership,
        clock: Clock,
        get_epoch: Callable[[], int],
    ) -> None:
        self._instance = instance
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._get_epoch = get_epoch
        self._epoch = 0
        self._heard_at = 0.0
        peers.register(AskBeat, self._beat)
        peers.register(AskHeard, self._tell_heard)
        peers.register(StandFor, self._stand_for)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    async def run(self) -> None:
        """Ask for beats until cancelled."""
        while True:
            await self._clock.sleep(BEAT_INTERVAL)
            owner = self._leadership.owner
            if owner is None or owner.is_released or self._leadership.mandate:
                continue
            if owner.epoch != self._epoch:
                self._epoch = owner.epoch
                self._heard_at = self._now()
            if not self._is_watcher(owner.instance):
                continue
            if not await self._hear(owner.instance, owner.epoch):
                await self._doubt(owner.instance, owner.epoch)

    def _is_watcher(self, owner: str) -> bool:
        others = [n for n in self._leadership.list_members() if n != owner]
        return self._instance in others[:WATCHERS]

    async def _hear(self, owner: str, epoch: int) -> bool:
        """Ask the owner; returns whether it was heard lately."""
        message: AskBeat = {"epoch": epoch}
        reply = await self._peers.call(owner, message, AskBeat, BEAT_TIMEOUT)
        if isinstance(reply, Answered) and reply.message["epoch"] >= epoch:
            self._heard_at = self._now()
            return True
        if self._peers.is_refused(owner):
            # Its process is gone: silence would tell no more.
            return False
        return self._now() - self._heard_at < SILENCE_SECONDS

    async def _doubt(self, owner: str, epoch: int) -> None:
        """Ask the others; let the best heir know when nobody hears the owner.

        Who hears it answers at once, who doesn't after its own time-out: as soon as
        more than half hear nothing, nothing else is to be learnt by waiting.
        """
        names = [
            name
            for name in self._leadership.list_members()
            if name not in (owner, self._instance)
        ]
        asked = {
            asyncio.ensure_future(self._ask_heard(name, epoch)): name for name in names
        }
        silent = 1
        try:
            for answer in asyncio.as_completed(asked):
                hears = await answer
                if hears:
                    return
                silent += hears is False
                if 2 * silent > 1 + len(names):
                    break
        finally:
            absent = [name for call, name in asked.items() if not _has_answered(call)]
            for call in asked:
                call.cancel()
        if 2 * silent > 1 + len(names):
            await self._call_heir(owner, epoch, absent)

    async def _ask_heard(self, name: str, epoch: int) -> bool | None:
        """Ask a daemon whether it hears the owner; ``None`` without an answer."""
        message: AskHeard = {"epoch": epoch}
        reply = await self._peers.call(name, message, AskHeard, 2 * BEAT_TIMEOUT)
        return reply.message["hears"] if isinstance(reply, Answered) else None

    async def _call_heir(self, owner: str, epoch: int, absent: list[str]) -> None:
        heir = self._leadership.find_heir(epoch, frozenset(absent))
        _log.info(
            "Nobody hears the owner.",
            owner=owner,
            epoch=epoch,
            absent=absent,
            heir=heir,
        )
        if heir != self._instance:
            message: StandFor = {"epoch": epoch, "absent": absent}
            self._peers.send(heir, message, StandFor)

    async def _stand_for(self, peer: str, message: StandFor) -> None:
        owner = self._leadership.owner
        if owner is not None and owner.epoch == message["epoch"]:
            self._leadership.suspect(owner.epoch, frozenset(message["absent"]))

    async def _beat(self, peer: str, message: AskBeat) -> BeatReply:
        return {"epoch": self._get_epoch()}

    async def _tell_heard(self, peer: str, message: AskHeard) -> HeardReply:
        owner = self._leadership.owner
        if owner is None or owner.epoch != message["epoch"] or owner.is_released:
            return {"hears": owner is not None and owner.epoch > message["epoch"]}
        if self._get_epoch() == owner.epoch:
            return {"hears": True}
        if owner.epoch != self._epoch:
            self._epoch, self._heard_at = owner.epoch, float("-inf")
        return {"hears": await self._hear(owner.instance, owner.epoch)}


def _has_answered(call: "asyncio.Future[bool | None]") -> bool:
    return call.done() and not call.cancelled() and call.result() is not None
