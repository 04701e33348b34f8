"""What all calls to one incarnation of a worker have in common."""

import asyncio
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.births import MAX_REORDERING_SECONDS, ListedBirth
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.workerlease import WorkerLease
from damaskdeck.delays import LoopDelay
from damaskdeck.protocol.pools import PoolWorkers, RefusalCode


class WorkerSession:
    """The calls of one owner term to one incarnation of a worker.

    :ivar poll_soon: Set when a poll of the worker would settle what is unconfirmed.
    """

    def __init__(
        self,
        epoch: int,
        port: PoolWorkers,
        leadership: Leadership,
        clock: Clock,
        times: PoolTimes,
        lease: WorkerLease,
        birth: ListedBirth,
        delay: LoopDelay,
    ) -> None:
        self.epoch = epoch
        self.port = port
        self.leadership = leadership
        self.clock = clock
        self.times = times
        self.lease = lease
        self.birth = birth
        self.delay = delay
        self.poll_soon = asyncio.Event()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic().total_seconds()

    def extend_lease(self, lease: timedelta) -> timedelta | None:
        """Extend the worker's lease from now, as far as this owner may.

        :returns: as :meth:`WorkerLease.extend`.
        """
        return self.lease.extend(self.now(), lease, self.leadership.find_lease_limit())

    def record_clock(self, clock: timedelta, now: float) -> None:
        """Record the clock in an answer without a birth.

        If the clock goes back, a list has to show whether the worker has restarted.
        """
        if not (clock and self.lease.is_synchronized):
            return
        behind = self.lease.record_clock(clock, now).total_seconds()
        if self.birth.is_reported and behind > MAX_REORDERING_SECONDS:
            self.birth.forget_answers()
            self.poll_soon.set()

    def check_epoch(self, code: object) -> None:
        """Step down if a worker's refusal shows that there is a newer owner."""
        if code is RefusalCode.STALE_EPOCH:
            self.leadership.step_down("a worker knows a newer epoch")
