"""Orders that the next incarnation of a worker may carry out.

An order names the worker and not its birth. One that no list has shown when its
incarnation ends is passed to the contact of the next incarnation and is stopped there.
"""

from typing import TYPE_CHECKING

from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.protocol.queues import TaskName
from damaskdeck.state.pooljobs import Run

if TYPE_CHECKING:
    from damaskdeck.coordination.pools.contacts import WorkerContact

RunKey = tuple[TaskName, int]


class PassedOrders:
    """The orders to one incarnation whose runs are not, or no longer, known there.

    :ivar due_stops: the orders to the earlier incarnation that are to be stopped on
        this one.
    :ivar lease_until: monotonic seconds when the lease ends that an order to the
        earlier incarnation may begin.
    """

    def __init__(self) -> None:
        self.due_stops: set[RunKey] = set()
        self.lease_until = 0.0
        # When each order was abandoned after a confirmed stop.
        self._abandoned: dict[RunKey, float] = {}

    def record_abandoned(self, run: Run, now: float) -> None:
        """Record an order that was abandoned after a confirmed stop."""
        self._abandoned[run.task.name, run.attempt] = now

    def list_abandoned(self, earliest: float) -> list[RunKey]:
        """List the orders abandoned since a time, and forget those before."""
        for key in [key for key, at in self._abandoned.items() if at < earliest]:
            del self._abandoned[key]
        return list(self._abandoned)


def pass_orders(
    contact: "WorkerContact", successor: "WorkerContact", times: PoolTimes, now: float
) -> None:
    """Pass the orders that the next incarnation may carry out to its contact.

    Their runs keep counting towards the quotas of their accounts.
    """
    until = now + (times.start_window + times.lease_expiry).total_seconds()
    for run in contact.list_unlisted_runs():
        contact.take_run(run)
        run.move(successor.info.identifier, now)
        successor.receive_run(run, until)
    successor.receive_stops(contact.list_unsettled_stops(now), contact.peak_size)
