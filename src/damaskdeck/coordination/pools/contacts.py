"""The owner's contact with one worker: its lease, its tasks and the orders to it."""

import asyncio
from datetime import timedelta

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.births import (
    MAX_REORDERING_SECONDS,
    BirthMatch,
    ListedBirth,
)
from damaskdeck.coordination.pools.inventories import (
    ContactOwner,
    apply_inventory,
    log_lost_run,
)
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.orderspacing import LastOrder
from damaskdeck.coordination.pools.passedorders import PassedOrders, RunKey
from damaskdeck.coordination.pools.times import PoolTimes
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.workerlease import WorkerLease
from damaskdeck.delays import LoopDelay
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry, observe_latency
from damaskdeck.protocol.pools import (
    Declined,
    Done,
    PoolWorker,
    PoolWorkers,
    RefusalCode,
    Replaced,
    StartResult,
    TaskStart,
    WorkerIncarnation,
    WorkerTasks,
)
from damaskdeck.protocol.ports import Lost, Rejected
from damaskdeck.protocol.queues import TaskName
from damaskdeck.protocol.sizes import (
    ZERO_SIZE,
    Size,
    add_sizes,
    compute_max_size,
    subtract_sizes,
)
from damaskdeck.state.pooljobs import Run, RunPhase

# The delay between two polls of a worker that doesn't answer or whose ends can't be
# stored.
FAILED_POLL_DELAY = timedelta(milliseconds=150)
# A worker whose answer is late by this much gets no orders, because each order that
# stays without an answer binds capacity until the lease has expired.
LATE_ANSWER_SECONDS = 0.15
# A worker that was last seen this long ago counts as silent: one poll takes 0.5 s, and
# the next one 0.35 s to fail.
SILENCE_SECONDS = 1.0
# A worker also counts as silent after this many failed polls in a row. Polls of a
# process that is gone fail at once, and what it ran should be stored before a takeover.
MAX_FAILED_POLLS = 2
# A stop without an answer is sent again after this time.
STOP_RETRY_SECONDS = 0.4
# A worker that declined an order gets no other order for this time.
DECLINE_PAUSE_SECONDS = 0.3

_log = get_logger("contacts")

PollResult = WorkerTasks | Declined | Replaced | Rejected | Lost | None


class WorkerContact:
    """What the owner knows about one incarnation of a worker.

    :ivar info: The last entry in the registry.
    :ivar is_listed: Whether the registry lists the worker.
    :ivar is_synchronized: Whether the worker's tasks were read under this epoch and no
        poll has failed since. It is unset once the incarnation has ended.
    :ivar is_gone: Whether this incarnation has ended for certain.
    :ivar is_cordoned: Whether the worker gets no orders, see :mod:`.cordons`.
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

    :param bound: When the leases that previous owners granted have expired at the
        latest.
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
        bound: float,
        delay: LoopDelay,
    ) -> None:
        self.info = info
        self.peak_size = info.size
        self.capacity_reported_at = float("-inf")
        self.is_listed = True
        self.is_synchronized = False
        self.is_gone = False
        self.is_cordoned = False
        self._may_extend_lease = True
        self.is_rostered = False
        self.last_received_end = 0
        self.last_durable_end = 0
        self.runs: dict[RunKey, Run] = {}
        self.moved_runs: set[Run] = set()
        self.used = ZERO_SIZE
        self.free = info.size
        self._is_reconciled = False
        # Whether every lease that any owner may have granted has expired, and no other
        # owner can have granted one since.
        self._has_expired = False
        self._gone_at = 0.0
        self.last_order = LastOrder()
        self._failed_polls = 0
        self._known_since = clock.monotonic().total_seconds()
        self.unknown_runs: set[RunKey] = set()
        self.paused_until = 0.0
        self.polled_at = 0.0
        self._epoch = term.epoch
        self._owner = owner
        self._port = port
        self._leadership = leadership
        self._clock = clock
        self._times = times
        self._lease = WorkerLease(bound)
        self._answer_due = float("inf")
        # When each order without an answer was sent.
        self._unanswered: dict[Run, float] = {}
        self._birth = ListedBirth(info.identifier)
        self._passed_orders = PassedOrders()
        self._delay = delay
        self.leaves_at: float | None = None
        self._stops: set[asyncio.Task[None]] = set()
        # Set when a poll of the worker would settle what is unconfirmed.
        self._poll_soon = asyncio.Event()

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
        return self._clock.monotonic().total_seconds()

    @property
    def incarnation(self) -> WorkerIncarnation:
        """The incarnation of the worker that this contact is for."""
        return self._birth.incarnation

    @property
    def has_unsettled_runs(self) -> bool:
        """Whether runs of this incarnation may still be counted as lost."""
        return bool(self.runs or self.moved_runs)

    @property
    def is_reconciled(self) -> bool:
        """Whether the worker's tasks were read under this epoch."""
        return self._is_reconciled

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
            and now < self._answer_due + self._delay.seconds
            and not self._is_slow_to_answer(now)
        )

    def is_silent(self, now: float) -> bool:
        """Whether the worker has not answered for longer than one lost answer takes."""
        if self.is_synchronized or self.is_gone:
            return False
        return (
            now - self.polled_at > SILENCE_SECONDS
            or self._failed_polls >= MAX_FAILED_POLLS
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
            self._is_reconciled and not self.unknown_runs and not self.is_gone
        )
        return is_run_set_known and self.last_durable_end == self.last_received_end

    def cordon(self, is_silent: bool) -> None:
        """Stop sending orders and, to a silent worker, stop extending its lease."""
        self.is_cordoned = True
        self._may_extend_lease = not is_silent

    def release(self) -> None:
        """Allow orders and lease extensions again."""
        self.is_cordoned = False
        self._may_extend_lease = True
        self._poll_soon.set()
        self._owner.handle_contact_change(self)

    def _is_slow_to_answer(self, now: float) -> bool:
        """Whether an order has been without an answer for longer than is usual."""
        oldest = next(iter(self._unanswered.values()), now)
        return now - oldest > LATE_ANSWER_SECONDS + self._delay.seconds

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
        if self.is_gone and self._birth.is_reported:
            # The next incarnation would carry out the order.
            return False
        now = self._now()
        deadline = self._lease.extend(now, self._times.start_window)
        order = TaskStart(
            run.task.name, run.attempt, payload, deadline, checkpoint, ticket
        )
        self._unanswered[run] = now
        answer = await self._port.start(self.info, self._epoch, order)
        del self._unanswered[run]
        now = self._now()
        observe_latency("contacts", "start", now - run.ordered_at)
        if not isinstance(answer, Done):
            self._birth.forget_answers()
        if run.worker != self.info.identifier:
            # The run has been moved to the next incarnation.
            return False
        if isinstance(answer, Done):
            self._record_clock(answer.clock, now)
            self.record_running(run, now)
            return True
        self._handle_failed_start(run, answer, now)
        return False

    def _record_clock(self, clock: timedelta, now: float) -> None:
        """Record the clock in an answer without a birth.

        If the clock goes back, a list has to show whether the worker has restarted.
        """
        if not (clock and self._lease.is_synchronized):
            return
        behind = self._lease.record_clock(clock, now).total_seconds()
        if self._birth.is_reported and behind > MAX_REORDERING_SECONDS:
            self._birth.forget_answers()
            self._poll_soon.set()

    def record_running(self, run: Run, now: float) -> None:
        """Record that the worker has confirmed or listed a run."""
        if run.phase is not RunPhase.RUNNING:
            run.phase = RunPhase.RUNNING
            run.settled_at = now
            self._owner.record_running(run)

    def _check_epoch(self, code: object) -> None:
        """Step down if a worker's refusal shows that there is a newer owner."""
        if code is RefusalCode.STALE_EPOCH:
            self._leadership.step_down("a worker knows a newer epoch")

    def _handle_failed_start(self, run: Run, answer: StartResult, now: float) -> None:
        code = getattr(answer, "code", "replaced")
        _log.info(
            "A start was not confirmed.",
            id=run.task.name.job,
            task=run.task.name[1:],
            attempt=run.attempt,
            worker=self.info.identifier,
            reason=str(code),
        )
        count_retry("start", str(code))
        if isinstance(answer, Replaced):
            self.end_incarnation()
        elif isinstance(answer, Lost):
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.DOUBTFUL
                run.settled_at = now
                self._poll_soon.set()
            self.paused_until = max(self.paused_until, now + DECLINE_PAUSE_SECONDS)
        else:
            if isinstance(answer, Declined):
                self._handle_decline(run, answer, now)
            else:
                self.paused_until = now + DECLINE_PAUSE_SECONDS
            self.remove_run(run)
            self._owner.handle_lost_run(self, run)

    def _handle_decline(self, run: Run, answer: Declined, now: float) -> None:
        if answer.clock is not None:
            self._record_clock(answer.clock, now)
        self._check_epoch(answer.code)
        # A missing ticket concerns one step only, so other steps may still start there.
        # Any other refusal means that the worker's state differs from what is known
        # here, and another order right away would be declined for the same reason.
        if answer.code is not RefusalCode.NO_TICKET:
            self.paused_until = now + DECLINE_PAUSE_SECONDS

    def stop(self, run: Run) -> None:
        """Order the worker to stop a run.

        Callers repeat this until the run is gone.
        """
        now = self._now()
        if run.stopping_since is None:
            run.stopping_since = now
        sent_at = run.stop_sent_at
        is_recent = sent_at is not None and now - sent_at < STOP_RETRY_SECONDS
        is_start_prevented = (
            run.phase is RunPhase.DOUBTFUL and run.stopped_at is not None
        )
        if is_recent or is_start_prevented:
            return
        run.stop_sent_at = now
        self.send_stop(run.task.name, run.attempt, run)

    def send_stop(self, task: TaskName, attempt: int, run: Run | None) -> None:
        """Send one order to stop an attempt.

        :param run: The run of the attempt, ``None`` if it is not known here.
        """
        start_task(self._call_stop(task, attempt, run), self._stops)

    async def _call_stop(self, task: TaskName, attempt: int, run: Run | None) -> None:
        answer = await self._port.stop(self.info, self._epoch, task, attempt)
        now = self._now()
        if isinstance(answer, Done):
            self._record_clock(answer.clock, now)
            self._passed_orders.due_stops.discard((task, attempt))
            is_here = run is not None and self.runs.get((task, attempt)) is run
            if is_here and run.stopped_at is None:
                run.stopped_at = now
                if run.phase is RunPhase.DOUBTFUL:
                    self._poll_soon.set()
            return
        self._birth.forget_answers()
        if isinstance(answer, Replaced):
            self.end_incarnation()
        else:
            self._check_epoch(answer.code)

    # The next incarnation under the same name --------------------------------

    def list_unlisted_runs(self) -> list[Run]:
        """List the runs that were ordered and that no list of the worker has shown.

        The next incarnation may have them, as it carries out the orders.
        """
        return [
            run
            for run in self.runs.values()
            if not run.is_listed
            and (run.phase is not RunPhase.ORDERED or run in self._unanswered)
        ]

    def record_abandoned_order(self, run: Run) -> None:
        """Record an order that was abandoned after a confirmed stop."""
        if self._birth.is_reported:
            self._passed_orders.record_abandoned(run, self._now())

    def list_unsettled_stops(self, now: float) -> set[RunKey]:
        """List the orders without a run that may still be carried out."""
        earliest = now - self._times.start_window.total_seconds()
        abandoned = self._passed_orders.list_abandoned(earliest)
        return {*abandoned, *self._passed_orders.due_stops}

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
        self._passed_orders.lease_until = lease_until
        self._lease.expires_at = max(self._lease.expires_at, lease_until)
        self._poll_soon.set()

    def receive_stops(self, orders: set[RunKey], peak_size: Size) -> None:
        """Receive orders to the earlier incarnation that are to be stopped here.

        :param peak_size: The largest capacity that the orders were based on.
        """
        self._update_peak_size(peak_size)
        self._passed_orders.due_stops |= orders
        for task, attempt in orders:
            self.send_stop(task, attempt, None)

    # Polling -----------------------------------------------------------------

    async def run(self) -> None:
        """Renew the worker's lease and receive its ends until the incarnation ends."""
        try:
            while not self.is_gone and (self.is_listed or self._may_have_runs()):
                await self._poll()
            while self.runs or self.unknown_runs:
                await self._settle_incarnation()
            while self.moved_runs:
                await self._clock.sleep(FAILED_POLL_DELAY)
        finally:
            for stop in self._stops:
                stop.cancel()

    def _may_have_runs(self) -> bool:
        """Whether the contact must be kept: runs may exist or ends are not yet durable.

        A worker whose tasks were read under this epoch runs only what is known here.
        Its lease is therefore not waited for: a worker that left empty must not delay a
        successor, which can't poll it any more.
        """
        if (
            self.runs
            or self.unknown_runs
            or self.last_durable_end < self.last_received_end
            or self.list_unsettled_stops(self._now())
        ):
            return True
        return not self._is_reconciled and not self._has_expired

    async def _poll(self) -> None:
        sent_at = self._now()
        # The next incarnation would count its own ends as observed, and extend its
        # lease by a time on the clock of this one.
        is_confirmed = self._birth.is_confirmed(sent_at)
        deadline = self._find_deadline(sent_at) if is_confirmed else None
        is_idle = deadline is None and not (self.is_synchronized and self.is_cordoned)
        wait = timedelta() if is_idle or not is_confirmed else self._times.poll_wait
        if self._poll_soon.is_set():
            self._poll_soon.clear()
            wait = timedelta()
        self._answer_due = sent_at + wait.total_seconds() + LATE_ANSWER_SECONDS
        observed = self.last_durable_end if is_confirmed else 0
        answer = await self._call_poll(observed, deadline, wait)
        if answer is None:
            self._birth.forget_answers()
            return
        now = self._now()
        if isinstance(answer, WorkerTasks):
            self._answer_due = float("inf")
            if await self._check_birth(answer, sent_at, now):
                await self._handle_tasks(answer, sent_at, now, is_confirmed)
        elif isinstance(answer, Replaced):
            self.end_incarnation()
        else:
            await self._handle_failed_poll(answer, now)

    async def _check_birth(
        self, answer: WorkerTasks, sent_at: float, now: float
    ) -> bool:
        """Return whether a list of runs is of this incarnation."""
        if self.is_gone and self._birth.is_reported:
            return False
        age = min(now - sent_at, self._lease.estimate_age(answer.clock, now))
        match = self._birth.match(answer.born, now - age)
        if match is BirthMatch.MISSING:
            await self._handle_failed_poll(Lost("no_birth"), now)
        elif match is BirthMatch.OTHER and answer.born is not None:
            self._owner.handle_next_incarnation(self, answer.born)
        return match is BirthMatch.SAME

    def _find_deadline(self, now: float) -> timedelta | None:
        """Return the deadline to extend the lease to, by the worker's clock.

        The lease of a silent worker is not extended: it might be extended without an
        answer, and then its runs could not be abandoned.
        """
        if not self.is_synchronized or not self._may_extend_lease:
            return None
        if not self._leadership.may_decide():
            return None
        return self._lease.extend(now, self._times.lease)

    async def _call_poll(
        self, observed: int, deadline: timedelta | None, wait: timedelta
    ) -> PollResult:
        """Poll the worker; return ``None`` if it should be polled again at once."""
        call = asyncio.ensure_future(
            self._port.poll(self.info, self._epoch, observed, deadline, wait)
        )
        if not wait:
            return await call
        soon = asyncio.ensure_future(self._poll_soon.wait())
        try:
            await asyncio.wait({call, soon}, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else None
        finally:
            soon.cancel()
            call.cancel()

    async def _handle_tasks(
        self, answer: WorkerTasks, sent_at: float, now: float, is_confirmed: bool
    ) -> None:
        """Handle a list of this incarnation's runs.

        :param is_confirmed: Whether its birth was confirmed when the poll was sent.
        """
        if not self._lease.is_synchronized:
            # From now on the worker refuses previous owners, but the leases that they
            # have granted have to expire first.
            self._lease.expires_at = max(
                now + self._times.lease_expiry.total_seconds(),
                self._passed_orders.lease_until,
            )
        self._lease.record_clock(answer.clock, now)
        if not self.is_synchronized:
            _log.info("A worker answers.", worker=self.info.identifier)
        before = self.last_received_end
        self.polled_at = now
        self._failed_polls = 0
        apply_inventory(self, self._owner, answer, sent_at, now)
        self.is_synchronized = self._is_reconciled = True
        self._owner.handle_contact_change(self)
        for task, attempt in self._passed_orders.due_stops:
            self.send_stop(task, attempt, None)
        if not is_confirmed:
            # The next poll has to be sent while the birth is confirmed, or the lease
            # would never be extended while ends can't be stored.
            return
        if (
            self.last_received_end == before
            and self.last_durable_end == self.last_received_end
        ):
            return
        if await self._owner.wait_until_durable(self):
            observe_latency("contacts", "end_noted", self._now() - now)

    async def _handle_failed_poll(self, answer: object, now: float) -> None:
        code = getattr(answer, "code", "")
        self._birth.forget_answers()
        self._check_epoch(code)
        self._failed_polls += 1
        if self.is_synchronized:
            self.is_synchronized = False
            _log.warn(
                "A worker does not answer.",
                worker=self.info.identifier,
                reason=str(code),
                runs=len(self.runs),
            )
        if now >= self.lease_until:
            await self._handle_expired_lease()
        await self._clock.sleep(FAILED_POLL_DELAY)

    async def _handle_expired_lease(self) -> None:
        """Abandon the runs under a lease that has expired.

        This is only safe if the store still names this daemon as owner after that time:
        a successor may have reached the worker, extended its lease and received its
        ends.
        """
        if not await self._leadership.is_confirmed_since(self.lease_until):
            return
        self._has_expired = True
        self._passed_orders.due_stops.clear()
        if self.runs:
            _log.warn("A worker's lease has expired.", worker=self.info.identifier)
            self._drop_runs("lease_over")
        self._owner.handle_contact_change(self)

    def end_incarnation(self) -> None:
        """Record that this incarnation has ended, and everything that it ran."""
        if self.is_gone:
            return
        _log.info("A worker's incarnation has ended.", worker=self.info.identifier)
        self.is_gone = True
        self.is_synchronized = False
        self._gone_at = self._now()
        self._poll_soon.set()
        self._owner.handle_contact_change(self)

    async def _settle_incarnation(self) -> None:
        """Abandon the runs of an incarnation that has ended.

        The same condition applies as for an expired lease.
        """
        if await self._leadership.is_confirmed_since(self._gone_at):
            self._drop_runs("life_over")
            self._owner.handle_contact_change(self)
        else:
            await self._clock.sleep(FAILED_POLL_DELAY)

    def _drop_runs(self, reason: str) -> None:
        self.unknown_runs.clear()
        lost = list(self.runs.values())
        for run in lost:
            log_lost_run(self, run, reason)
            self.remove_run(run)
            self._owner.handle_lost_run(self, run)
        # A crashed worker reports no ends. If its runs did not count, a task could
        # crash one worker after another without ever failing.
        self._owner.record_loss(self, lost)
