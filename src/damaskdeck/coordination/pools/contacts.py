"""The owner's contact with one worker: its state, its runs and the access to it."""

from collections.abc import Callable

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.births import ListedBirth
from damaskdeck.coordination.pools.inventories import ContactOwner
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.orderspacing import LastOrder
from damaskdeck.coordination.pools.passedorders import RunKey
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.workerlease import WorkerLease
from damaskdeck.coordination.pools.workerorders import WorkerOrders
from damaskdeck.coordination.pools.workerpoller import LATE_ANSWER_SECONDS, WorkerPoller
from damaskdeck.coordination.pools.workersession import WorkerSession
from damaskdeck.delays import LoopDelay
from damaskdeck.logs import get_logger
from damaskdeck.protocol.pools import PoolWorker, PoolWorkers, WorkerIncarnation
from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import (
    ZERO_SIZE,
    Size,
    add_sizes,
    compute_max_size,
    subtract_sizes,
)
from damaskdeck.state.pooljobs import Run, RunPhase

# A worker that was last seen this long ago counts as silent: one poll takes 0.5 s, and
# the next one 0.35 s to fail.
SILENCE_SECONDS = 1.0
# A worker also counts as silent after this many failed polls in a row. Polls of a
# process that is gone fail at once, and what it ran should be stored before a takeover.
MAX_FAILED_POLLS = 2

_log = get_logger("contacts")


class WorkerContact:
    """What the owner knows about one incarnation of a worker.

    :ivar info: The last entry in the registry.
    :ivar is_listed: Whether the registry lists the worker.
    :ivar is_synchronized: Whether the worker's tasks were read under this epoch and no
        poll has failed since. It is unset once the incarnation has ended.
    :ivar is_reconciled: Whether the worker's tasks and all its ends were read under
        this epoch.
    :ivar has_unlisted_ends: Whether the worker may have more ends than its last list
        shows.
    :ivar is_gone: Whether this incarnation has ended for certain.
    :ivar gone_at: When that became known.
    :ivar is_cordoned: Whether the worker gets no orders, see :mod:`.cordons`.
    :ivar may_extend_lease: Whether polls extend the lease, see :meth:`cordon`.
    :ivar is_rostered: Whether the durable roster covers the worker at its peak size.
    :ivar capacity_reported_at: The earliest time at which the worker may have reported
        the capacity that is known here.
    :ivar peak_size: The largest capacity that the worker has had. Its runs may have
        been started under that capacity.
    :ivar runs: The runs that were ordered or found there, by task and attempt.
    :ivar moved_runs: The runs that the next incarnation of the worker may have, until
        it is known whether they were lost with this one.
    :ivar used: The capacity that these runs use.
    :ivar free: The capacity that no run uses.
    :ivar unknown_runs: What the worker runs of tasks that are not known here.
    :ivar last_received_end: The number of the last end that the worker reported.
    :ivar last_durable_end: The number of the last end that is durable.
    :ivar paused_until: The worker gets no orders before this time.
    :ivar polled_at: When the worker last answered a poll with its tasks.
    :ivar last_order: The last order to start tasks.
    :ivar leaves_at: The time until which a leaving worker stays at least, ``None`` if
        it has announced none.

    All times are monotonic seconds.

    :param find_inherited_expiry: Returns when the leases that previous owners granted
        have expired at the latest.
    :param delay: The delay of this process's event loop, which must not count as
        lateness of the worker.
    """

    def __init__(
        self,
        info: PoolWorker,
        term: OwnerTerm,
        owner: ContactOwner,
        port: PoolWorkers,
        leadership: Leadership,
        clock: Clock,
        times: PoolTimes,
        find_inherited_expiry: Callable[[], float],
        delay: LoopDelay,
    ) -> None:
        self.info = info
        self.peak_size = info.size
        self.capacity_reported_at = float("-inf")
        self.is_listed = True
        self.is_synchronized = False
        self.is_reconciled = False
        self.has_unlisted_ends = False
        self.is_gone = False
        self.gone_at = 0.0
        self.is_cordoned = False
        self.may_extend_lease = True
        self.is_rostered = False
        self.last_received_end = 0
        self.last_durable_end = 0
        self.runs: dict[RunKey, Run] = {}
        self.moved_runs: set[Run] = set()
        self.used = ZERO_SIZE
        self.free = info.size
        self.last_order = LastOrder()
        self.unknown_runs: set[RunKey] = set()
        self.paused_until = 0.0
        self.polled_at = 0.0
        self.leaves_at: float | None = None
        self._known_since = clock.monotonic().total_seconds()
        self._owner = owner
        self._times = times
        self._lease = WorkerLease(find_inherited_expiry)
        self._birth = ListedBirth(info.identifier)
        self._delay = delay
        self._session = WorkerSession(
            term.epoch, port, leadership, clock, times, self._lease, self._birth, delay
        )
        self._orders = WorkerOrders(self, self._session, owner)
        self._poller = WorkerPoller(self, self._session, self._orders, owner)

    def update(self, info: PoolWorker, reported_at: float) -> None:
        """Store what the registry lists.

        :param reported_at: The earliest monotonic time in seconds at which the worker
            may have written the entry.
        """
        self.capacity_reported_at = max(self.capacity_reported_at, reported_at)
        if info.is_leaving and not self.info.is_leaving:
            _log.info(
                "A worker is leaving.",
                worker=info.identifier,
                remaining=str(info.remaining),
                runs=len(self.runs),
            )
        self.info = info
        self._set_used(self.used)
        self._update_peak_size(info.size)
        self.is_listed = True
        if info.is_leaving and info.remaining is not None:
            until = self._now() + info.remaining.total_seconds()
            self.leaves_at = min(until, self.leaves_at or until)
        elif not info.is_leaving:
            self.leaves_at = None

    def _update_peak_size(self, size: Size) -> None:
        peak_size = compute_max_size(self.peak_size, size)
        if peak_size != self.peak_size:
            self.peak_size = peak_size
            # A successor must be able to bound what the worker runs, so the roster has
            # to contain a larger capacity before that is used.
            self.is_rostered = False

    def _now(self) -> float:
        return self._session.now()

    @property
    def incarnation(self) -> WorkerIncarnation:
        """The incarnation of the worker that this contact is for."""
        return self._birth.incarnation

    @property
    def has_unsettled_runs(self) -> bool:
        """Whether runs of this incarnation may still be counted as lost."""
        return bool(self.runs or self.moved_runs)

    @property
    def lease_until(self) -> float:
        """When everything on the worker has ended if it never answers again."""
        return self._lease.expires_at

    def _set_used(self, used: Size) -> None:
        self.used = used
        self.free = subtract_sizes(self.info.size, used)

    def is_capacity_fresh(self, now: float) -> bool:
        """Whether the known capacity is recent enough to send orders by it.

        A worker's capacity may shrink at any time. Its age counts from when the worker
        wrote it and not from when it was read.
        """
        return (
            now - self.capacity_reported_at
            < self._times.capacity_max_age.total_seconds()
        )

    def is_usable(self, now: float) -> bool:
        """Whether orders may be sent to the worker."""
        return (
            self.is_synchronized
            and self.is_capacity_fresh(now)
            and self.is_listed
            and self._birth.is_registered
            and self.is_rostered
            and not self.is_gone
            and not self.is_cordoned
            and not self.info.is_leaving
            and not self.unknown_runs
            and now >= self.paused_until
            and now < self._poller.answer_due + self._delay.seconds
            and not self._is_slow_to_answer(now)
        )

    @property
    def unanswered_count(self) -> int:
        """The number of starts without an answer."""
        return self._orders.unanswered_count

    @property
    def are_runs_listed(self) -> bool:
        """Whether the worker answers and its last list shows the state of all runs."""
        return self.is_synchronized and not self.has_unlisted_ends

    def is_silent(self, now: float) -> bool:
        """Whether the worker has not answered for longer than one lost answer takes."""
        if self.is_synchronized or self.is_gone:
            return False
        return (
            now - self.polled_at > SILENCE_SECONDS
            or self._poller.failed_polls >= MAX_FAILED_POLLS
        )

    @property
    def age(self) -> float:
        """The seconds from when the incarnation became known to its last answer."""
        return self.polled_at - self._known_since

    @property
    def is_leaving(self) -> bool:
        """Whether the worker has announced that it leaves."""
        return self.info.is_leaving

    @property
    def is_settled(self) -> bool:
        """Whether everything that the worker may run is known, also to a successor.

        Its tasks must have been read under this epoch, none of them may be unknown
        here, and all ends that it reported must be durable. Without the last condition
        a successor might count ended tasks as unknown. Once the incarnation has ended,
        this is never the case.
        """
        is_run_set_known = (
            self.is_reconciled and not self.unknown_runs and not self.is_gone
        )
        return is_run_set_known and self.last_durable_end == self.last_received_end

    def cordon(self, is_silent: bool) -> None:
        """Stop sending orders and, to a silent worker, stop extending its lease."""
        self.is_cordoned = True
        self.may_extend_lease = not is_silent

    def release(self) -> None:
        """Allow orders and lease extensions again."""
        self.is_cordoned = False
        self.may_extend_lease = True
        self._session.poll_soon.set()
        self._owner.handle_contact_change(self)

    def _is_slow_to_answer(self, now: float) -> bool:
        """Whether an order has been without an answer for longer than is usual."""
        return (
            self._orders.measure_wait(now) > LATE_ANSWER_SECONDS + self._delay.seconds
        )

    # Runs --------------------------------------------------------------------

    def add_run(self, run: Run) -> None:
        """Add a run, which uses capacity from now on."""
        self.runs[run.task.name, run.attempt] = run
        self._set_used(add_sizes(self.used, run.task.step.spec.size))
        self._owner.charge(run)

    def remove_run(self, run: Run) -> None:
        """Remove a run and free its capacity."""
        if self.runs.pop((run.task.name, run.attempt), None) is not None:
            self._set_used(subtract_sizes(self.used, run.task.step.spec.size))
            self._owner.release(run)

    def record_running(self, run: Run, now: float) -> None:
        """Record that the worker has confirmed or listed a run."""
        if run.phase is not RunPhase.RUNNING:
            run.phase = RunPhase.RUNNING
            run.settled_at = now
            self._owner.record_running(run)

    # Orders ------------------------------------------------------------------

    def may_send(self, run: Run) -> bool:
        """Whether a run that has waited may still be ordered."""
        return (
            (run.task.name, run.attempt) in self.runs
            and run.stopping_since is None
            and self.is_synchronized
            and not self.is_cordoned
        )

    def discard_unsent(self, run: Run) -> None:
        """Remove a run that was not ordered."""
        if (run.task.name, run.attempt) in self.runs:
            self.remove_run(run)
            self._owner.handle_lost_run(self, run)

    async def start(self, run: Run, payload: str, checkpoint: str, ticket: str) -> bool:
        """Order the worker to start a run.

        :returns: Whether the worker has confirmed the start.
        """
        return await self._orders.start(run, payload, checkpoint, ticket)

    def stop(self, run: Run) -> None:
        """Order the worker to stop a run.

        Callers repeat this until the run is gone.
        """
        self._orders.stop(run)

    def send_stop(self, task: TaskName, attempt: int, run: Run | None) -> None:
        """Send one order to stop an attempt.

        :param run: The run of the attempt, ``None`` if it is not known here.
        """
        self._orders.send_stop(task, attempt, run)

    # The next incarnation under the same name --------------------------------

    def list_unlisted_runs(self) -> list[Run]:
        """List the runs that were ordered and that no list of the worker has shown.

        The next incarnation may have them, as it carries out the orders.
        """
        return self._orders.list_unlisted_runs()

    def record_abandoned_order(self, run: Run) -> None:
        """Record an order that was abandoned without having been seen to run."""
        self._orders.record_abandoned(run)

    def take_unsettled_stops(self, now: float) -> dict[RunKey, float]:
        """Take the orders without a run that the next incarnation may carry out.

        :returns: When each was abandoned.
        """
        return self._orders.passed.take_abandoned(now)

    def take_run(self, run: Run) -> None:
        """Remove a run that the next incarnation may have; it is still charged."""
        del self.runs[run.task.name, run.attempt]
        self._set_used(subtract_sizes(self.used, run.task.step.spec.size))

    def receive_run(self, run: Run, lease_until: float) -> None:
        """Receive a run that was ordered on the earlier incarnation.

        :param lease_until: When the lease ends at the latest that the order may begin.
        """
        self.runs[run.task.name, run.attempt] = run
        self._set_used(add_sizes(self.used, run.task.step.spec.size))
        self._orders.passed.lease_until = lease_until
        self._lease.extend_until(lease_until)
        self._session.poll_soon.set()

    def receive_stops(self, orders: dict[RunKey, float], peak_size: Size) -> None:
        """Receive orders to the earlier incarnation that are to be stopped here.

        :param orders: When each was abandoned.
        :param peak_size: The largest capacity that the orders were based on.
        """
        self._update_peak_size(peak_size)
        self._orders.receive_stops(orders)

    def end_incarnation(self) -> None:
        """Record that this incarnation has ended, and everything that it ran."""
        if self.is_gone:
            return
        _log.info("A worker's incarnation has ended.", worker=self.info.identifier)
        self.is_gone = True
        self.is_synchronized = False
        self.gone_at = self._now()
        self._session.poll_soon.set()
        self._owner.handle_contact_change(self)

    # Polling -----------------------------------------------------------------

    async def run(self) -> None:
        """Renew the worker's lease and receive its ends until the incarnation ends."""
        await self._poller.run()
