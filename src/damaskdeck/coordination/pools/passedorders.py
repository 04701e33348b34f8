"""Orders that the next incarnation of a worker may carry out.

An order names the worker and not its birth. One that no list has shown when its
incarnation ends is passed to the contact of the next incarnation and is stopped there.
"""

from typing import TYPE_CHECKING

from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.protocol.queues import TaskName

if TYPE_CHECKING:
    from damaskdeck.coordination.pools.contacts import WorkerContact

RunKey = tuple[TaskName, int]

# The platform may carry out an order without an answer seconds after it was sent. A
# deadline on the clock of one incarnation doesn't protect the next one.
LATE_ORDER_SECONDS = 15.0
# Bounds what is kept, and stopped, for a worker that loses many answers.
MAX_ABANDONED_ORDERS = 64


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
        # When each order was abandoned, the earliest first.
        self._abandoned: dict[RunKey, float] = {}

    def record_abandoned(self, orders: dict[RunKey, float], now: float) -> None:
        """Record orders that were abandoned, with the time of each.

        The latest ``MAX_ABANDONED_ORDERS`` of the last ``LATE_ORDER_SECONDS`` are kept.
        """
        times = sorted({**self._abandoned, **orders}.items(), key=lambda item: item[1])
        self._abandoned = {
            key: at
            for key, at in times[-MAX_ABANDONED_ORDERS:]
            if now - at < LATE_ORDER_SECONDS
        }

    def take_abandoned(self, now: float) -> dict[RunKey, float]:
        """Return the orders that may still be carried out, and forget them."""
        self.record_abandoned({}, now)
        orders, self._abandoned = self._abandoned, {}
        return orders


def pass_orders(
    contact: "WorkerContact", successor: "WorkerContact", times: PoolTimes, now: float
) -> None:
    """Pass the orders that the next incarnation may carry out to its contact.

    Their runs keep counting towards the quotas of their accounts.
    """
    until = now + (times.start_window + times.longest_lease_expiry).total_seconds()
    for run in contact.list_unlisted_runs():
        contact.take_run(run)
        run.move(successor.info.identifier, now)
        successor.receive_run(run, until)
    successor.receive_stops(contact.take_unsettled_stops(now), contact.peak_size)
