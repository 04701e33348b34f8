"""This daemon's membership: a lease in the store, and the key that is bound to it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Granted, Lapsed, Written
from damaskdeck.protocol.transactions import Transaction, Write
from damaskdeck.state.jobrecords import MEMBERS_PREFIX, MemberRecord, encode_record

RETRY_DELAY = timedelta(milliseconds=100)
# Between two looks whether a failing store is back.
PROBE_INTERVAL = timedelta(milliseconds=150)

_log = get_logger("leadership")


class Membership:
    """Holds the lease and writes the member's key.

    :param member: what this daemon tells of itself.
    :param note: called when the key has been written.
    :ivar lease: an empty string while there is none.
    """

    def __init__(
        self,
        member: MemberRecord,
        store: MonitoredStore,
        clock: Clock,
        times: PoolTimes,
        note: Callable[[], None],
    ) -> None:
        self.lease = ""
        self._member = member
        self._store = store
        self._clock = clock
        self._times = times
        self._note = note
        self._probes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Hold the lease until cancelled."""
        try:
            await asyncio.gather(self._keep(), self._probe())
        finally:
            for probe in self._probes:
                probe.cancel()

    def note_lapse(self) -> None:
        """Take note that the store no longer knows the lease."""
        self.lease = ""

    async def _keep(self) -> None:
        while True:
            if not self.lease:
                granted = await self._store.grant_lease(self._times.member_ttl)
                if isinstance(granted, Granted):
                    self.lease = granted.lease
                    await self._write()
                else:
                    await self._clock.sleep(RETRY_DELAY)
                continue
            await self._clock.sleep(self._times.member_renewal)
            renewed = await self._store.renew_lease(self.lease)
            if isinstance(renewed, Lapsed):
                _log.warn("The member's lease lapsed.", lease=self.lease)
                self.lease = ""

    async def _probe(self) -> None:
        """Ask a store that is failing again and again, whatever is on its way.

        A call that hangs holds up its loop for its time-out; the return of the store
        is noticed by the first call that is sent after it. A renewal costs least.
        """
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            if self._store.is_failing and self.lease:
                start_task(self._renew(self.lease), self._probes)

    async def _renew(self, lease: str) -> None:
        await self._store.renew_lease(lease)

    async def _write(self) -> None:
        """Write the key; twice at worst, as it says the same."""
        key = MEMBERS_PREFIX + self._member.instance
        write = Write(key, encode_record(self._member), self.lease)
        while self.lease:
            done = await self._store.commit(Transaction(writes=(write,)))
            if isinstance(done, Lapsed):
                self.lease = ""
            elif isinstance(done, Written):
                self._note()
                return
            else:
                await self._clock.sleep(RETRY_DELAY)

    async def leave(self) -> None:
        """Take the key away, so that nobody forwards here."""
        key = MEMBERS_PREFIX + self._member.instance
        await self._store.commit(Transaction(removals=(key,)))
