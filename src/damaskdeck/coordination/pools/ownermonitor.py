"""Detects the loss of the owner before the owner's lease in the store expires.

A few daemons request heartbeats from the owner. If one of them gets none for longer
than usual, it consults other daemons. If more than half of these daemons, itself
included, report that they can't reach the owner before any reports that it can, it
requests a takeover. So a daemon that is cut off together with a minority does nothing.

A false detection is safe, as every takeover is, but it costs a load of all jobs and
workers, and the successor of an owner that was merely overloaded is overloaded as well.
Therefore late replies count, an owner that keeps storing changes is alive, consulting
others costs the same number of messages in a deployment of any size, and each owner
that was deposed alive doubles the timeout for the next.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.liveness import MAX_SILENCE, OwnerLiveness
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

HEARTBEAT_INTERVAL = timedelta(milliseconds=120)
# The second request detects that the first was lost with its connection; more would
# only load an overloaded owner.
MAX_HEARTBEATS_IN_FLIGHT = 2
# A witness waits for this share of the time that the consulting daemon has waited.
WITNESS_TIMEOUT_SHARE = 2 / 3
# Time for the messages to and from a witness, in addition to its own wait for the
# owner.
WITNESS_MARGIN = timedelta(milliseconds=100)
# Number of daemons that request heartbeats, alternating between all availability zones,
# as the owner's zone may be cut off. Other daemons request them only when they are
# consulted.
MONITOR_COUNT = 4
# Witnesses are the best successors, as one of them has to stand for election, and
# others from all availability zones alternately, as a zone may be cut off.
MAX_SUCCESSOR_WITNESSES = 4
MAX_WITNESSES = 12
# Owners that were deposed longer ago do not affect the timeout.
DEPOSED_WINDOW = timedelta(seconds=10)
# A daemon that requests no heartbeats considers the owner alive for this long after its
# last report. Monitors notice a loss earlier, and an owner reports nothing while it
# loads.
ALIVE_WINDOW = 2 * MAX_SILENCE

_log = get_logger("watching")


class OwnerMonitor:
    """Monitors the owner from one daemon.

    :param instance: name of this daemon.
    :param get_epoch: returns the epoch that this daemon owns the pools under, or 0.
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
        self._liveness = OwnerLiveness(clock)
        self._heartbeats: set[asyncio.Task[None]] = set()
        self._requested_at = float("-inf")
        self._followed_epoch = 0
        self._fence_revision = 0
        leadership.is_owner_alive = self.is_owner_alive
        peers.register(RequestHeartbeat, self._handle_heartbeat_request)
        peers.register(CheckOwner, self._handle_owner_check)
        peers.register(RequestTakeover, self._handle_takeover_request)

    async def run(self) -> None:
        """Request heartbeats until cancelled."""
        try:
            while True:
                await self._clock.sleep(HEARTBEAT_INTERVAL)
                owner = self._leadership.owner
                if owner is None or owner.is_released or self._leadership.term:
                    await self._leadership.wait_for_change()
                    continue
                self._follow(owner.epoch)
                if self._is_monitor(owner.instance):
                    await self._check_owner(owner)
                else:
                    await self._leadership.wait_for_change()
        finally:
            for heartbeat in self._heartbeats:
                heartbeat.cancel()

    def record_heartbeat(self, epoch: int) -> None:
        """Record a message of an owner."""
        self._liveness.record_heartbeat(epoch)

    def _follow(self, epoch: int) -> None:
        if epoch > self._followed_epoch:
            self._followed_epoch = epoch
            # Requests to a lost owner would prevent requests to its successor.
            for heartbeat in self._heartbeats:
                heartbeat.cancel()
            self._heartbeats.clear()
            self._requested_at = float("-inf")
        self._liveness.follow(epoch)

    def is_owner_alive(self) -> bool:
        """Whether the owner was seen alive recently, as far as this daemon knows."""
        owner = self._leadership.owner
        if owner is None or owner.epoch != self._liveness.epoch:
            return False
        window = self._find_timeout()
        if not self._is_monitor(owner.instance):
            window = max(window, ALIVE_WINDOW.total_seconds())
        is_connection_refused = self._peers.is_connection_refused(owner.instance)
        return not is_connection_refused and self._liveness.measure_silence() < window

    def _find_timeout(self) -> float:
        deposed = self._leadership.count_deposed(DEPOSED_WINDOW)
        return self._liveness.find_timeout(deposed)

    def _is_silent(self, owner: str) -> bool:
        if self._peers.is_connection_refused(owner):
            # Its process has ended, so there is no need to wait for a timeout.
            return True
        return self._liveness.measure_silence() >= self._find_timeout()

    def _is_monitor(self, owner: str) -> bool:
        others = [n for n in self._leadership.list_interleaved() if n != owner]
        return self._instance in others[:MONITOR_COUNT]

    async def _check_owner(self, owner: OwnerRecord) -> None:
        self._request_heartbeat(owner)
        if self._leadership.is_cut_off():
            # No takeover is possible from here; other daemons may detect the loss.
            return
        if self._is_silent(owner.instance):
            if not await self._has_progressed():
                await self._consult_witnesses(owner.instance, owner.epoch)
        elif 2 * self._liveness.measure_silence() < self._find_timeout():
            self._fence_revision = 0
        elif not self._fence_revision:
            self._fence_revision = await self._leadership.read_fence_revision()

    async def _has_progressed(self) -> bool:
        """Whether the owner has stored something since it became silent."""
        before, self._fence_revision = (
            self._fence_revision,
            await self._leadership.read_fence_revision(),
        )
        has_moved = 0 < before < self._fence_revision
        if has_moved:
            self._liveness.record_progress()
        owner = self._leadership.owner
        return has_moved and owner is not None and not self._is_silent(owner.instance)

    def _request_heartbeat(self, owner: OwnerRecord) -> None:
        if len(self._heartbeats) >= MAX_HEARTBEATS_IN_FLIGHT:
            return
        # More requests would only load an owner that replies late.
        now = self._clock.monotonic().total_seconds()
        if now - self._requested_at >= self._liveness.usual_round_trip:
            self._requested_at = now
            start_task(self._await_heartbeat(owner), self._heartbeats)

    async def _await_heartbeat(self, owner: OwnerRecord) -> None:
        message: RequestHeartbeat = {"epoch": owner.epoch}
        sent_at = self._clock.monotonic().total_seconds()
        reply = await self._peers.call(
            owner.instance, message, RequestHeartbeat, MAX_SILENCE
        )
        if not isinstance(reply, Answered) or reply.message["epoch"] < owner.epoch:
            return
        # An owner that is cut off from the store can't decide for long. If this daemon
        # is cut off as well, the store may be down for all daemons, and none should
        # take over.
        if not reply.message["is_cut_off"] or self._leadership.is_cut_off():
            self._liveness.record_reply(reply.message["epoch"], sent_at)

    def _choose_witnesses(self, owner: str) -> list[str]:
        others = [owner, self._instance]
        successors = [n for n in self._leadership.list_successors() if n not in others]
        witnesses = successors[:MAX_SUCCESSOR_WITNESSES]
        interleaved = self._leadership.list_interleaved()
        witnesses += [name for name in interleaved if name not in others + witnesses]
        return witnesses[:MAX_WITNESSES]

    async def _consult_witnesses(self, owner: str, epoch: int) -> None:
        """Consult other daemons, and request a takeover if none reaches the owner.

        Daemons that reach the owner answer at once, the others after their own timeout.
        As soon as more than half report that they don't reach it, further waiting adds
        no information.
        """
        names = self._choose_witnesses(owner)
        calls = {
            asyncio.ensure_future(self._ask_witness(name, epoch)): name
            for name in names
        }
        silent = 1
        try:
            for answer in asyncio.as_completed(calls):
                is_alive = await answer
                if is_alive:
                    # This is not recorded as evidence, as two daemons could keep a dead
                    # owner alive by quoting each other.
                    return
                silent += is_alive is False
                if 2 * silent > 1 + len(names):
                    break
        finally:
            absent = [name for call, name in calls.items() if not _has_answered(call)]
            for call in calls:
                call.cancel()
        if 2 * silent > 1 + len(names) and self._is_silent(owner):
            await self._notify_successor(owner, epoch, absent)

    async def _ask_witness(self, name: str, epoch: int) -> bool | None:
        """Return whether a daemon reaches the owner, ``None`` without an answer."""
        message: CheckOwner = {"epoch": epoch}
        timeout = timedelta(seconds=self._find_timeout())
        reply = await self._peers.call(
            name, message, CheckOwner, timeout + WITNESS_MARGIN
        )
        return reply.message["hears"] if isinstance(reply, Answered) else None

    async def _notify_successor(
        self, owner: str, epoch: int, absent: list[str]
    ) -> None:
        successor = self._leadership.choose_successor(epoch, frozenset(absent))
        _log.info(
            "The owner is unreachable.",
            owner=owner,
            epoch=epoch,
            absent=absent,
            heir=successor,
            silence=round(self._liveness.measure_silence(), 3),
            timeout=round(self._find_timeout(), 3),
        )
        if successor != self._instance:
            message: RequestTakeover = {"epoch": epoch, "absent": absent}
            self._peers.send(successor, message, RequestTakeover)

    async def _handle_takeover_request(
        self, peer: str, message: RequestTakeover
    ) -> None:
        owner = self._leadership.owner
        if owner is not None and owner.epoch == message["epoch"]:
            self._leadership.suspect(owner.epoch, frozenset(message["absent"]))

    async def _handle_heartbeat_request(
        self, peer: str, message: RequestHeartbeat
    ) -> HeartbeatReply:
        is_cut_off = self._leadership.is_cut_off()
        return {"epoch": self._get_epoch(), "is_cut_off": is_cut_off}

    async def _handle_owner_check(
        self, peer: str, message: CheckOwner
    ) -> CheckOwnerReply:
        owner = self._leadership.owner
        if owner is None or owner.epoch != message["epoch"] or owner.is_released:
            return {"hears": owner is not None and owner.epoch > message["epoch"]}
        if self._get_epoch() == owner.epoch:
            return {"hears": True}
        is_new = owner.epoch > self._liveness.epoch
        self._follow(owner.epoch)
        if not is_new and not self._is_silent(owner.instance):
            return {"hears": True}
        if self._is_monitor(owner.instance) and not is_new:
            return {"hears": False}
        self._request_heartbeat(owner)
        return {"hears": await self._wait_for_heartbeat(owner)}

    async def _wait_for_heartbeat(self, owner: OwnerRecord) -> bool:
        """Wait for evidence that the owner is alive, for most of the usual timeout."""
        started_at = self._clock.monotonic()
        timeout = timedelta(seconds=WITNESS_TIMEOUT_SHARE * self._find_timeout())
        heartbeats = set(self._heartbeats)
        while heartbeats and not self._peers.is_connection_refused(owner.instance):
            elapsed = self._clock.monotonic() - started_at
            if self._liveness.measure_silence() < elapsed.total_seconds():
                return True
            if elapsed >= timeout:
                return False
            rest = asyncio.ensure_future(self._clock.sleep(timeout - elapsed))
            done, _ = await asyncio.wait(
                {rest, *heartbeats}, return_when=asyncio.FIRST_COMPLETED
            )
            rest.cancel()
            heartbeats -= done
        elapsed = self._clock.monotonic() - started_at
        return self._liveness.measure_silence() <= elapsed.total_seconds()


def _has_answered(call: "asyncio.Future[bool | None]") -> bool:
    return call.done() and not call.cancelled() and call.result() is not None
