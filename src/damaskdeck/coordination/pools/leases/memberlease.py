"""The store lease of this daemon and the member key that is bound to it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.defaults import CLOCK_DRIFT
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Granted, Lapsed, Written
from damaskdeck.protocol.transactions import Transaction, Write
from damaskdeck.state.jobrecords import MEMBERS_PREFIX, MemberRecord, encode_record

RETRY_DELAY = timedelta(milliseconds=100)
# Shortest time between two checks whether a failing store answers again.
PROBE_INTERVAL = timedelta(milliseconds=150)

_log = get_logger("leadership")


class Registration(NamedTuple):
    """How a daemon's member key was written.

    :param revision: of the key, 0 if it isn't written.
    :param at: when that was known, in monotonic seconds, infinite before that.
    :param membership: the same as long as each owner that has once known this daemon
        has to ask it for grants, see :meth:`.Members.list_remembered`.
    """

    revision: int
    at: float
    membership: int


class MemberLease:
    """Maintains the lease and writes the member key.

    :param member: what this daemon publishes about itself.
    :param on_registered: called when the key has been written.
    :ivar lease: the lease, an empty string if there is none.
    :ivar registration: how the member key was last written.
    """

    def __init__(
        self,
        member: MemberRecord,
        store: MonitoredStore,
        clock: Clock,
        times: PoolTimes,
        on_registered: Callable[[], None],
    ) -> None:
        self.lease = ""
        self.registration = Registration(0, float("inf"), 0)
        self._present_at = float("-inf")
        self._member = member
        self._store = store
        self._clock = clock
        self._times = times
        self._on_registered = on_registered
        self._probes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Maintain the lease until cancelled."""
        try:
            await asyncio.gather(self._maintain(), self._probe_store())
        finally:
            for probe in self._probes:
                probe.cancel()

    @property
    def is_registered(self) -> bool:
        """Whether the member key has been written under the present lease."""
        return bool(self.lease and self.registration.revision)

    @property
    def key(self) -> str:
        """The member key."""
        return MEMBERS_PREFIX + self._member.instance

    def discard_lease(self) -> None:
        """Discard a lease that the store no longer knows."""
        self.lease = ""
        self.registration = self.registration._replace(revision=0)

    async def _maintain(self) -> None:
        while True:
            if not self.lease:
                granted = await self._store.grant_lease(self._times.member_ttl)
                if isinstance(granted, Granted):
                    self.lease = granted.lease
                    await self.write_key()
                else:
                    await self._sleep_before_retry()
                continue
            await self._clock.sleep(self._times.member_renewal)
            sent_at = self._now()
            renewed = await self._store.renew_lease(self.lease)
            if isinstance(renewed, Granted) and self.is_registered:
                self._present_at = sent_at
            if isinstance(renewed, Lapsed):
                _log.warn("The member's lease lapsed.", lease=self.lease)
                self.discard_lease()

    async def _probe_store(self) -> None:
        """Call a failing store repeatedly, whatever other calls are in flight.

        A call that hangs blocks its loop until its timeout, whereas the first call sent
        after the store has recovered notices that at once. A renewal is the cheapest
        call.
        """
        while True:
            await self._store.wait_until_failing()
            await self._clock.sleep(self._store.find_retry_delay(PROBE_INTERVAL))
            if self._store.is_failing and self.lease:
                start_task(self._renew(self.lease), self._probes)

    async def _renew(self, lease: str) -> None:
        await self._store.renew_lease(lease)

    async def restore_key(self) -> None:
        """Write the member key anew, which has vanished from the store."""
        self._present_at = float("-inf")
        await self.write_key()

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    async def write_key(self) -> None:
        """Write the member key; a repeated write is harmless, its value is the same."""
        write = Write(self.key, encode_record(self._member), self.lease)
        while self.lease:
            result = await self._store.commit(Transaction(writes=(write,)))
            if isinstance(result, Lapsed):
                self.discard_lease()
            elif isinstance(result, Written):
                self._record_written(result.revision)
                self._on_registered()
                return
            else:
                await self._sleep_before_retry()

    def _record_written(self, revision: int) -> None:
        now, membership = self._now(), self.registration.membership
        longest_gap = self._times.member_gap.total_seconds() * (1 - 2 * CLOCK_DRIFT)
        if now - self._present_at > longest_gap:
            membership += 1
        self.registration = Registration(revision, now, membership)
        self._present_at = now

    async def _sleep_before_retry(self) -> None:
        await self._clock.sleep(self._store.find_retry_delay(RETRY_DELAY))

    async def leave(self) -> bool:
        """Remove the member key; return whether it is known to be gone."""
        result = await self._store.commit(Transaction(removals=(self.key,)))
        return isinstance(result, Written)
