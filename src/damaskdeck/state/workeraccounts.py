"""Capacity and reservations of workers, in exact arithmetic."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from damaskdeck.errors import InvariantError
from damaskdeck.protocol.ports import Instance, InstanceState
from damaskdeck.protocol.resources import Urgency
from damaskdeck.protocol.sizes import (
    ZERO_SIZE,
    Size,
    add_sizes,
    find_exceeded_dimension,
    fits,
    subtract_sizes,
)


class TaskNeed(NamedTuple):
    """The requirements of a task and how it may be treated.

    :param group: tasks of one group are spread; the name of a service, or empty.
    :param zones: the only availability zones allowed; empty for any.
    :param near: preferred availability zones, such as those of its data.
    :param avoid: workers on which it failed.
    :param started: monotonic time of its start, to estimate the work lost by a stop.
    :param run_time: as declared; zero when it is not declared.
    """

    task: str
    size: Size
    group: str = ""
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = True
    checkpoint: bool = False
    zones: frozenset[str] = frozenset()
    near: frozenset[str] = frozenset()
    avoid: frozenset[str] = frozenset()
    started: timedelta = timedelta()
    run_time: timedelta = timedelta()


class Reservation(NamedTuple):
    """A part of a worker that is reserved for a task.

    :param deadline: for a hold, the monotonic time when it ends unless it is
        confirmed before; otherwise ``None``.
    """

    need: TaskNeed
    worker: str
    deadline: timedelta | None = None


class Reserved(NamedTuple):
    """The task has a reservation on ``worker``."""

    worker: str


class InsufficientCapacity(NamedTuple):
    """The task does not fit now; ``dimension`` is what is short, as in ``memory``."""

    dimension: str


class WorkerUnavailable(NamedTuple):
    """The worker is unknown, or accepts no new work because of ``code``."""

    code: str


class AlreadyReserved(NamedTuple):
    """The task already has a reservation on ``worker``; nothing was changed."""

    worker: str


class NoReservation(NamedTuple):
    """The task has no reservation."""

    task: str


class WorkerAccount:
    """The account of one worker; only :class:`WorkerAccounts` changes it.

    :param instance: the worker as the platform lists it.
    :ivar closed: why the worker gets no new work, empty when it is open.
    :ivar free: free capacity.
    :ivar places: its zone, rack and name, as :meth:`WorkerAccounts.count_group`
        uses them.
    """

    __slots__ = (
        "closed", "free", "instance", "name", "places", "reservations", "size",
    )  # fmt: skip

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.places = list_places(instance)
        self.name = instance.name
        self.size = instance.size
        self.free = instance.size
        self.closed = ""
        self.reservations: dict[str, Reservation] = {}


class Totals(NamedTuple):
    """Sums over all workers.

    :param tasks: number of reservations.
    """

    size: Size
    free: Size
    tasks: int


AccountHandler = Callable[[WorkerAccount, bool], None]


class WorkerAccounts:
    """Reservations of tasks on the workers that this daemon owns.

    Guarantee: "No instance is given more work than its processors, memory, or
    accelerators can hold." A reservation that doesn't fit is refused by a returned
    value; a negative free capacity raises :class:`InvariantError`.
    """

    def __init__(self) -> None:
        self._workers: dict[str, WorkerAccount] = {}
        self._account_by_task: dict[str, WorkerAccount] = {}
        self._groups: dict[str, Counter[str]] = {}
        self._holds: list[tuple[timedelta, str]] = []
        self._handlers: list[AccountHandler] = []
        self._size = ZERO_SIZE
        self._free = ZERO_SIZE

    @property
    def workers(self) -> Mapping[str, WorkerAccount]:
        """The accounts by name of the worker."""
        return self._workers

    @property
    def totals(self) -> Totals:
        """The sums, updated with each change."""
        return Totals(self._size, self._free, len(self._account_by_task))

    def subscribe(self, handler: AccountHandler) -> None:
        """Call ``handler(account, is_present)`` after each change of a worker.

        It is called immediately for each known worker.
        """
        self._handlers.append(handler)
        for account in self._workers.values():
            handler(account, True)

    def set_worker(self, instance: Instance) -> InsufficientCapacity | None:
        """Add a worker, or update it to what the platform lists now.

        :returns: the dimension in which the worker shrank below its reservations. It
            keeps its former size then and is closed.
        """
        account = self._workers.get(instance.name)
        if account is None:
            account = self._workers[instance.name] = WorkerAccount(instance)
            self._size = add_sizes(self._size, instance.size)
            self._free = add_sizes(self._free, instance.size)
        shortfall = self._resize_worker(account, instance.size)
        if account.instance[2:] != instance[2:] and account.reservations:
            self._recount_groups(account, instance)
        account.instance = instance
        account.places = list_places(instance)
        is_leaving = instance.state is InstanceState.LEAVING
        if shortfall:
            account.closed = "shrunk"
        elif is_leaving or account.closed in ("leaving", "shrunk"):
            account.closed = "leaving" if is_leaving else ""
        self._notify(account, True)
        return InsufficientCapacity(shortfall) if shortfall else None

    def remove_worker(self, name: str) -> tuple[Reservation, ...]:
        """Remove a worker and return the reservations that it had."""
        account = self._workers.get(name)
        if account is None:
            return ()
        lost = tuple(account.reservations.values())
        for reservation in lost:
            self.release(reservation.need.task)
        del self._workers[name]
        self._size = subtract_sizes(self._size, account.size)
        self._free = subtract_sizes(self._free, account.size)
        self._notify(account, False)
        return lost

    def close_worker(self, name: str, code: str) -> None:
        """Close a worker for new work.

        :param code: why, as in ``quarantined``; an empty string opens it again, unless
            it is leaving.
        """
        account = self._workers.get(name)
        if account is None or account.closed == code:
            return
        if account.instance.state is InstanceState.LEAVING:
            code = "leaving"
        account.closed = code
        self._notify(account, True)

    def reserve(
        self, need: TaskNeed, worker: str, deadline: timedelta | None = None
    ) -> Reserved | InsufficientCapacity | WorkerUnavailable | AlreadyReserved:
        """Reserve a part of a worker for a task.

        :param deadline: makes the reservation a hold, which :meth:`expire` ends then.
        """
        account = self._workers.get(worker)
        if account is None:
            return WorkerUnavailable("unknown")
        holder = self._account_by_task.get(need.task)
        if holder is not None:
            return AlreadyReserved(holder.name)
        if account.closed:
            return WorkerUnavailable(account.closed)
        if not fits(need.size, account.free):
            return InsufficientCapacity(
                find_exceeded_dimension(need.size, account.free) or ""
            )
        self._add_reservation(account, Reservation(need, worker, deadline))
        return Reserved(worker)

    def adopt(
        self, need: TaskNeed, worker: str
    ) -> Reserved | InsufficientCapacity | WorkerUnavailable | AlreadyReserved:
        """Reserve for a task that already runs, also on a closed worker."""
        account = self._workers.get(worker)
        if account is None:
            return WorkerUnavailable("unknown")
        code, account.closed = account.closed, ""
        try:
            return self.reserve(need, worker)
        finally:
            account.closed = code

    def release(self, task: str) -> Reservation | None:
        """Remove the reservation of a task; ``None`` when it has none."""
        account = self._account_by_task.pop(task, None)
        if account is None:
            return None
        reservation = account.reservations.pop(task)
        need = reservation.need
        self._change_free(account, need.size)
        if need.group:
            self._count_group(need.group, account.places, -1)
        self._notify(account, True)
        return reservation

    def move(
        self, task: str, worker: str
    ) -> Reserved | InsufficientCapacity | WorkerUnavailable | NoReservation:
        """Move the reservation of a task to another worker, or leave it unchanged."""
        held = self.find(task)
        if held is None:
            return NoReservation(task)
        if held.worker == worker:
            return Reserved(worker)
        self.release(task)
        outcome = self.reserve(held.need, worker, held.deadline)
        if not isinstance(outcome, Reserved):
            self._add_reservation(self._workers[held.worker], held)
        return outcome

    def resize(
        self, task: str, size: Size
    ) -> Reserved | InsufficientCapacity | NoReservation:
        """Change the size reserved for a task, as learnt from its usage."""
        held = self.find(task)
        if held is None:
            return NoReservation(task)
        account = self._account_by_task[task]
        limit = add_sizes(account.free, held.need.size)
        if not fits(size, limit):
            return InsufficientCapacity(find_exceeded_dimension(size, limit) or "")
        self._change_free(account, subtract_sizes(held.need.size, size))
        need = held.need._replace(size=size)
        account.reservations[task] = held._replace(need=need)
        self._notify(account, True)
        return Reserved(account.name)

    def confirm(self, task: str, now: timedelta) -> bool:
        """Make a hold permanent; return false when it has ended."""
        held = self.find(task)
        if held is None:
            return False
        if held.deadline is not None:
            if held.deadline <= now:
                return False
            account = self._account_by_task[task]
            account.reservations[task] = held._replace(deadline=None)
        return True

    def extend_hold(self, task: str, deadline: timedelta) -> bool:
        """Set the deadline of a hold; return false without a reservation."""
        held = self.find(task)
        if held is None:
            return False
        if held.deadline is not None:
            account = self._account_by_task[task]
            account.reservations[task] = held._replace(deadline=deadline)
            heapq.heappush(self._holds, (deadline, task))
        return True

    def expire(self, now: timedelta) -> tuple[Reservation, ...]:
        """End the holds whose deadline has passed."""
        ended = []
        while self._holds and self._holds[0][0] <= now:
            deadline, task = heapq.heappop(self._holds)
            held = self.find(task)
            if held is not None and held.deadline == deadline:
                self.release(task)
                ended.append(held)
        return tuple(ended)

    def find(self, task: str) -> Reservation | None:
        """Return the reservation of a task."""
        account = self._account_by_task.get(task)
        return account.reservations[task] if account is not None else None

    def count_group(self, group: str) -> Mapping[str, int]:
        """Count the tasks of a group by zone, by ``zone/rack`` and by worker."""
        return self._groups.get(group, {})

    def recount(self) -> Totals:
        """Compute the totals from scratch, and check each worker.

        :raises InvariantError: when an account differs from its reservations.
        """
        size = free = ZERO_SIZE
        tasks = 0
        for account in self._workers.values():
            remainder = account.size
            for reservation in account.reservations.values():
                remainder = subtract_sizes(remainder, reservation.need.size)
            if remainder != account.free or min(remainder) < 0:
                raise InvariantError(f"inconsistent account of {account.name}")
            size = add_sizes(size, account.size)
            free = add_sizes(free, remainder)
            tasks += len(account.reservations)
        return Totals(size, free, tasks)

    def recount_groups(self) -> Mapping[str, Mapping[str, int]]:
        """Compute the counts of all groups from scratch."""
        groups: dict[str, Counter[str]] = {}
        for account in self._workers.values():
            for reservation in account.reservations.values():
                if group := reservation.need.group:
                    counts = groups.setdefault(group, Counter())
                    counts.update(account.places)
        return groups

    def _add_reservation(
        self, account: WorkerAccount, reservation: Reservation
    ) -> None:
        need = reservation.need
        size = need.size
        self._change_free(account, Size(-size[0], -size[1], -size[2]))
        account.reservations[need.task] = reservation
        self._account_by_task[need.task] = account
        if need.group:
            self._count_group(need.group, account.places, 1)
        if reservation.deadline is not None:
            heapq.heappush(self._holds, (reservation.deadline, need.task))
        self._notify(account, True)

    def _change_free(self, account: WorkerAccount, change: Size) -> None:
        free = add_sizes(account.free, change)
        if min(free) < 0 or not fits(free, account.size):
            raise InvariantError(f"free capacity of {account.name} would be {free}")
        account.free = free
        self._free = add_sizes(self._free, change)

    def _resize_worker(self, account: WorkerAccount, size: Size) -> str | None:
        used = subtract_sizes(account.size, account.free)
        shortfall = find_exceeded_dimension(used, size)
        if shortfall is None and size != account.size:
            change = subtract_sizes(size, account.size)
            account.size = size
            account.free = subtract_sizes(size, used)
            self._size = add_sizes(self._size, change)
            self._free = add_sizes(self._free, change)
        return shortfall

    def _recount_groups(self, account: WorkerAccount, instance: Instance) -> None:
        for reservation in account.reservations.values():
            if group := reservation.need.group:
                self._count_group(group, account.places, -1)
                self._count_group(group, list_places(instance), 1)

    def _count_group(self, group: str, places: Iterable[str], change: int) -> None:
        counts = self._groups.setdefault(group, Counter())
        for place in places:
            counts[place] += change
            if not counts[place]:
                del counts[place]
        if not counts:
            del self._groups[group]

    def _notify(self, account: WorkerAccount, is_present: bool) -> None:
        for handler in self._handlers:
            handler(account, is_present)


def list_places(instance: Instance) -> tuple[str, str, str]:
    """List the zone, the rack and the worker itself, as groups are counted by them."""
    rack = f"{instance.zone}/{instance.rack}"
    return instance.zone, rack, f"{rack}/{instance.name}"
