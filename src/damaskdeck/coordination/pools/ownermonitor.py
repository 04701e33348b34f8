"""Notices that the owner is gone before its lease in the store runs out.

A few daemons ask the owner for signs of life. One that hears none for longer than is
usual asks some others; when more than half of them hear none, and nobody does, it says
that a takeover is due. A daemon that is cut off together with a minority stays still.

A wrong guess is safe, as every takeover is, but it costs a load of all jobs and
workers, and the successor of an owner that was only behind is behind as well. So late
answers count, an owner that goes on storing what it does is alive, doubting costs the
same number of messages however many daemons there are, and each owner that was deposed
alive doubles the timeout with the next.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.liveness import LONGEST_SILENCE, LifeSigns
from damaskdeck.logs import get_logger
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.poolmessages import (
    CheckOwner,
    CheckOwnerReply,
    HeartbeatReply,
    RequestHeartbeat,
    RequestTakeover,
)
from damaskdeck.state.jobrecords import OwnerRecord

BEAT_INTERVAL = timedelta(milliseconds=120)
# The second tells of a first that was lost with its channel; more would only load an
# owner that is behind.
BEATS_IN_FLIGHT = 2
# A witness waits for this share of what the one who asks has waited.
WITNESS_SHARE = 2 / 3
# For the way to a witness and back, beyond what it waits for the owner.
WITNESS_SLACK = timedelta(milliseconds=100)
# How many daemons ask for beats, of all availability zones in turn, as the owner's may
# be cut off; the others ask only when they are asked.
WATCHERS = 4
# How many are asked whether they hear the owner: the best heirs, as one of them has to
# stand, and others of all availability zones in turn, as a zone may be cut off.
HEIRS_ASKED = 4
WITNESSES = 12
# Who was deposed so long ago says nothing on how owners are doubted now.
DEPOSED_LASTS = timedelta(seconds=10)
# An owner tells all daemons of its room twice a second; so long one is heard by those
# who don't ask for beats.
HEARD_LASTS = timedelta(seconds=1)

_log = get_logger("watching")


class OwnerMonitor:
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
        self._signs = LifeSigns(clock)
        self._beats: set[asyncio.Task[None]] = set()
        self._followed = 0
        self._fence = 0
        leadership.is_owner_alive = self.is_owner_alive
        peers.register(RequestHeartbeat, self._beat)
        peers.register(CheckOwner, self._tell_heard)
        peers.register(RequestTakeover, self._stand_for)

    async def run(self) -> None:
        """Ask for beats until cancelled."""
        try:
            while True:
                await self._clock.sleep(BEAT_INTERVAL)
                owner = self._leadership.owner
                if owner is None or owner.is_released or self._leadership.term:
                    continue
                self._follow(owner.epoch)
                if self._is_watcher(owner.instance):
                    await self._watch(owner)
        finally:
            for beat in self._beats:
                beat.cancel()

    def record_heartbeat(self, epoch: int) -> None:
        """Take note of a message of an owner."""
        self._signs.record_heartbeat(epoch)

    def _follow(self, epoch: int) -> None:
        if epoch > self._followed:
            self._followed = epoch
            # Those to an owner that was lost would keep the next from being asked.
            for beat in self._beats:
                beat.cancel()
            self._beats.clear()
        self._signs.follow(epoch)

    def is_owner_alive(self) -> bool:
        """Whether the owner was heard lately, as far as this daemon listens."""
        owner = self._leadership.owner
        if owner is None or owner.epoch != self._signs.epoch:
            return False
        lasts = max(self._find_timeout(), HEARD_LASTS.total_seconds())
        is_refused = self._peers.is_refused(owner.instance)
        return not is_refused and self._signs.measure_silence() < lasts

    def _find_timeout(self) -> float:
        alive = self._leadership.count_deposed(DEPOSED_LASTS)
        return self._signs.find_timeout(alive)

    def _is_silent(self, owner: str) -> bool:
        if self._peers.is_refused(owner):
            # Its process is gone: silence would tell no more.
            return True
        return self._signs.measure_silence() >= self._find_timeout()

    def _is_watcher(self, owner: str) -> bool:
        others = [n for n in self._leadership.list_spread() if n != owner]
        return self._instance in others[:WATCHERS]

    async def _watch(self, owner: OwnerRecord) -> None:
        self._ask_for_beat(owner)
        if self._leadership.is_cut_off():
            # Nobody could be made owner from here; others may be able to tell.
            return
        if self._is_silent(owner.instance):
            if not await self._has_progressed():
                await self._doubt(owner.instance, owner.epoch)
        elif 2 * self._signs.measure_silence() < self._find_timeout():
            self._fence = 0
        elif not self._fence:
            self._fence = await self._leadership.find_fence()

    async def _has_progressed(self) -> bool:
        """Whether the owner has stored something since it fell silent."""
        before, self._fence = self._fence, await self._leadership.find_fence()
        has_moved = 0 < before < self._fence
        if has_moved:
            self._signs.note_progress()
        owner = self._leadership.owner
        return has_moved and owner is not None and not self._is_silent(owner.instance)

    def _ask_for_beat(self, owner: OwnerRecord) -> None:
        if len(self._beats) < BEATS_IN_FLIGHT:
            start_task(self._take_beat(owner), self._beats)

    async def _take_beat(self, owner: OwnerRecord) -> None:
        message: RequestHeartbeat = {"epoch": owner.epoch}
        sent = self._clock.monotonic().total_seconds()
        reply = await self._peers.call(
            owner.instance, message, RequestHeartbeat, LONGEST_SILENCE
        )
        if not isinstance(reply, Answered) or reply.message["epoch"] < owner.epoch:
            return
        # One that the store leaves alone can't decide for long; where the store leaves
        # this daemon alone too, it may be away for all, and nobody should take over.
        if not reply.message["is_cut_off"] or self._leadership.is_cut_off():
            self._signs.note_answer(reply.message["epoch"], sent)

    def _choose_witnesses(self, owner: str) -> list[str]:
        others = [owner, self._instance]
        heirs = [n for n in self._leadership.list_heirs() if n not in others]
        asked = heirs[:HEIRS_ASKED]
        spread = self._leadership.list_spread()
        asked += [name for name in spread if name not in others + asked]
        return asked[:WITNESSES]

    async def _doubt(self, owner: str, epoch: int) -> None:
        """Ask others; let the best heir know when nobody hears the owner.

        Who hears it answers at once, who doesn't after its own time-out: as soon as
        more than half hear nothing, nothing else is to be learnt by waiting.
        """
        names = self._choose_witnesses(owner)
        asked = {
            asyncio.ensure_future(self._ask_heard(name, epoch)): name for name in names
        }
        silent = 1
        try:
            for answer in asyncio.as_completed(asked):
                hears = await answer
                if hears:
                    # No sign of our own: two would keep a dead owner alive by hearsay.
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
        message: CheckOwner = {"epoch": epoch}
        timeout = timedelta(seconds=self._find_timeout())
        reply = await self._peers.call(
            name, message, CheckOwner, timeout + WITNESS_SLACK
        )
        return reply.message["hears"] if isinstance(reply, Answered) else None

    async def _call_heir(self, owner: str, epoch: int, absent: list[str]) -> None:
        successor = self._leadership.find_heir(epoch, frozenset(absent))
        _log.info(
            "Nobody hears the owner.",
            owner=owner,
            epoch=epoch,
            absent=absent,
            heir=successor,
            silence=round(self._signs.measure_silence(), 3),
            timeout=round(self._find_timeout(), 3),
        )
        if successor != self._instance:
            message: RequestTakeover = {"epoch": epoch, "absent": absent}
            self._peers.send(successor, message, RequestTakeover)

    async def _stand_for(self, peer: str, message: RequestTakeover) -> None:
        owner = self._leadership.owner
        if owner is not None and owner.epoch == message["epoch"]:
            self._leadership.suspect(owner.epoch, frozenset(message["absent"]))

    async def _beat(self, peer: str, message: RequestHeartbeat) -> HeartbeatReply:
        is_cut_off = self._leadership.is_cut_off()
        return {"epoch": self._get_epoch(), "is_cut_off": is_cut_off}

    async def _tell_heard(self, peer: str, message: CheckOwner) -> CheckOwnerReply:
        owner = self._leadership.owner
        if owner is None or owner.epoch != message["epoch"] or owner.is_released:
            return {"hears": owner is not None and owner.epoch > message["epoch"]}
        if self._get_epoch() == owner.epoch:
            return {"hears": True}
        is_new = owner.epoch > self._signs.epoch
        self._follow(owner.epoch)
        if not is_new and not self._is_silent(owner.instance):
            return {"hears": True}
        if self._is_watcher(owner.instance) and not is_new:
            return {"hears": False}
        self._ask_for_beat(owner)
        return {"hears": await self._wait_for_sign(owner)}

    async def _wait_for_sign(self, owner: OwnerRecord) -> bool:
        """Wait until the owner is heard, or for most of what is usual."""
        began = self._clock.monotonic()
        timeout = timedelta(seconds=WITNESS_SHARE * self._find_timeout())
        beats = set(self._beats)
        while beats and not self._peers.is_refused(owner.instance):
            spent = self._clock.monotonic() - began
            if self._signs.measure_silence() < spent.total_seconds():
                return True
            if spent >= timeout:
                return False
            rest = asyncio.ensure_future(self._clock.sleep(timeout - spent))
            done, _ = await asyncio.wait(
                {rest, *beats}, return_when=asyncio.FIRST_COMPLETED
            )
            rest.cancel()
            beats -= done
        spent = self._clock.monotonic() - began
        return self._signs.measure_silence() <= spent.total_seconds()


def _has_answered(call: "asyncio.Future[bool | None]") -> bool:
    return call.done() and not call.cancelled() and call.result() is not None
