"""The store lease of this daemon and the member key that is bound to it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.times import CLOCK_DRIFT, PoolTimes
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Granted, Lapsed, Written
from damaskdeck.protocol.transactions import Transaction, Write
from damaskdeck.state.jobrecords import MEMBERS_PREFIX, MemberRecord, encode_record

RETRY_DELAY = timedelta(milliseconds=100)
# Shortest time between two checks whether a failing store answers again.
PROBE_INTERVAL = timedelta(milliseconds=150)

_log = get_logger("leadership")


class MemberLease:
    """Maintains the lease and writes the member key.

    :param member: what this daemon publishes about itself.
    :param on_registered: called when the key has been written.
    :ivar lease: the lease, an empty string if there is none.
    :ivar key_revision: the revision of the member key as this daemon last wrote it, 0
        before that.
    :ivar key_written_at: when that was known, in monotonic seconds.
    :ivar membership: changes when the key may have been away for longer than an owner
        remembers members whose keys are gone.
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
        self.key_revision = 0
        self.key_written_at = float("inf")
        self.membership = 0
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
        return bool(self.lease and self.key_revision)

    @property
    def key(self) -> str:
        """The member key."""
        return MEMBERS_PREFIX + self._member.instance

    def discard_lease(self) -> None:
        """Discard a lease that the store no longer knows."""
        self.lease = ""
        self.key_revision = 0

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
            if isinstance(renewed, Granted) and self.key_revision:
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
                now = self.key_written_at = self._now()
                self.key_revision = result.revision
                longest_gap = self._times.member_gap.total_seconds()
                if now - self._present_at > longest_gap * (1 - 2 * CLOCK_DRIFT):
                    self.membership += 1
                self._present_at = now
                self._on_registered()
                return
            else:
                await self._sleep_before_retry()

    async def _sleep_before_retry(self) -> None:
        await self._clock.sleep(self._store.find_retry_delay(RETRY_DELAY))

    async def leave(self) -> None:
        """Remove the member key, so that no peer forwards to this daemon."""
        await self._store.commit(Transaction(removals=(self.key,)))
