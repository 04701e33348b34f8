"""The owner's contact with one worker: lease, inventory, ends, orders in doubt."""

import asyncio
from datetime import timedelta

from damaskdeck.background import start_task
from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.inventories import (
    ContactOwner,
    take_inventory,
    tell_lost,
)
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.orderspacing import LastOrder
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

# Between two looks at a worker that doesn't answer or whose ends can't be stored.
SILENT_DELAY = timedelta(milliseconds=150)
# An answer that is this much later than it was asked for makes a worker doubtful:
# it gets no orders, as each that stays without an answer binds room for a lease.
LATENESS_SECONDS = 0.15
# A worker that was not heard for so long is taken for silent: a look takes 0.5 s, and
# the next one 0.35 s to fail.
SILENCE_SECONDS = 1.0
# So is one that so many looks in a row have failed on, as those to a process that is
# gone do at once: what it ran should be written down before a takeover.
SILENT_LOOKS = 2
# A stop without an answer is sent again after so long.
STOP_RETRY_SECONDS = 0.4
# A worker that turned an order down gets no other for so long.
DECLINE_PAUSE_SECONDS = 0.3

_log = get_logger("contacts")

RunKey = tuple[TaskName, int]
HoldResult = WorkerTasks | Declined | Replaced | Rejected | Lost | None


class WorkerContact:
    """One life of a worker, as the owner knows it.

    :ivar info: what the registry says last.
    :ivar is_listed: whether the registry lists it.
    :ivar is_synchronized: whether its inventory was read under this epoch and it has
        not fallen silent since.
    :ivar is_gone: whether this life is over for certain.
    :ivar is_cordoned: gets no order; see :mod:`.cordons`.
    :ivar capacity_reported_at: when its room, as known, was told at the earliest.
    :ivar peak_size: room that it has had at most; what it runs may have begun by it.
    :ivar used: room that its runs take.
    :ivar free: room that no run takes.
    :ivar processed: number of the last end taken from it.
    :ivar observed: number of the last end that is durable.
    :ivar paused_until: no orders before this time.
    :ivar polled_at: when its last inventory came.
    :ivar last_order: what it was last told to start.
    :ivar leaves_at: until when it stays at least, ``None`` unless it said so.

    :param bound: that time for the leases that predecessors granted.
    :param delay: how late this process is, which is no lateness of the worker's.
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
        self._may_extend = True
        self.is_rostered = False
        self.processed = 0
        self.observed = 0
        self.runs: dict[RunKey, Run] = {}
        self.used = ZERO_SIZE
        self.free = info.size
        self._is_read = False
        # The lease that anybody may have granted is over, and nobody else's since.
        self._is_over = False
        self._gone_at = 0.0
        self.last_order = LastOrder()
        self._failed_looks = 0
        self._known_at = clock.monotonic().total_seconds()
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
        self._ordering: dict[Run, float] = {}
        self._delay = delay
        self.leaves_at: float | None = None
        self._stops: set[asyncio.Task[None]] = set()
        # Set when something is in doubt that a look at the worker would settle.
        self._look_soon = asyncio.Event()

    def update(self, info: PoolWorker, told_at: float) -> None:
        """Take note of what the registry lists.

        :param told_at: when the worker wrote it at the earliest, monotonic seconds.
        """
        self.capacity_reported_at = max(self.capacity_reported_at, told_at)
        if info.is_leaving and not self.info.is_leaving:
            _log.info(
                "A worker is leaving.",
                worker=info.identifier,
                remaining=str(info.remaining),
                runs=len(self.runs),
            )
        self.info = info
        self._set_used(self.used)
        self._take_size(info.size)
        self.is_listed = True
        if info.is_leaving and info.remaining is not None:
            until = self._now() + info.remaining.total_seconds()
            self.leaves_at = min(until, self.leaves_at or until)
        elif not info.is_leaving:
            self.leaves_at = None

    def _take_size(self, size: Size) -> None:
        peak_size = compute_max_size(self.peak_size, size)
        if peak_size != self.peak_size:
            self.peak_size = peak_size
            # A successor must know what a larger room may hold before it is used.
            self.is_rostered = False

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    @property
    def is_reconciled(self) -> bool:
        """Whether its inventory was taken in under this epoch."""
        return self._is_read

    @property
    def lease_until(self) -> float:
        """When all that it runs has ended if it never answers again."""
        return self._lease.expires_at

    def _set_used(self, used: Size) -> None:
        self.used = used
        self.free = subtract_sizes(self.info.size, used)

    def is_capacity_fresh(self, now: float) -> bool:
        """Whether its room can't have shrunk for longer than orders may go by it.

        A room may shrink at any moment, and what is read of it is as old as what the
        worker wrote, not as the reading.
        """
        return (
            now - self.capacity_reported_at
            < self._times.capacity_max_age.total_seconds()
        )

    def is_usable(self, now: float) -> bool:
        """Whether orders may go to it."""
        return (
            self.is_synchronized
            and self.is_capacity_fresh(now)
            and self.is_listed
            and self.is_rostered
            and not self.is_gone
            and not self.is_cordoned
            and not self.info.is_leaving
            and not self.unknown_runs
            and now >= self.paused_until
            and now < self._answer_due + self._delay.seconds
            and not self._is_slow_to_start(now)
        )

    def is_silent(self, now: float) -> bool:
        """Whether it has not answered for so long that it isn't one lost answer."""
        if self.is_synchronized or self.is_gone:
            return False
        return (
            now - self.polled_at > SILENCE_SECONDS or self._failed_looks >= SILENT_LOOKS
        )

    @property
    def age(self) -> float:
        """For how many seconds this life had been known when it was last heard."""
        return self.polled_at - self._known_at

    @property
    def is_leaving(self) -> bool:
        """Whether it has said that it leaves."""
        return self.info.is_leaving

    @property
    def is_settled(self) -> bool:
        """Whether all that it may run is known, and no end of it is unknown to others.

        That is so when it was read under this epoch and all ends that it told are
        durable: what they end must not seem to be unknown to a successor.
        """
        is_known_of = self._is_read and not self.unknown_runs and not self.is_gone
        return is_known_of and self.observed == self.processed

    def cordon(self, is_silent: bool) -> None:
        """Let it have no order, and if it is silent no longer lease."""
        self.is_cordoned = True
        self._may_extend = not is_silent

    def release(self) -> None:
        """Let it have orders and leases again."""
        self.is_cordoned = False
        self._may_extend = True
        self._look_soon.set()
        self._owner.handle_contact_change(self)

    def _is_slow_to_start(self, now: float) -> bool:
        """Whether an order has been without an answer for longer than is usual."""
        oldest = next(iter(self._ordering.values()), now)
        return now - oldest > LATENESS_SECONDS + self._delay.seconds

    # Runs --------------------------------------------------------------------

    def add_run(self, run: Run) -> None:
        """Let a run take its room."""
        self.runs[run.task.name, run.attempt] = run
        self._set_used(add_sizes(self.used, run.task.step.spec.size))
        self._owner.charge(run)

    def remove_run(self, run: Run) -> None:
        """Give the room of a run back."""
        if self.runs.pop((run.task.name, run.attempt), None) is not None:
            self._set_used(subtract_sizes(self.used, run.task.step.spec.size))
            self._owner.release(run)

    # Orders ------------------------------------------------------------------

    async def start(self, run: Run, payload: str, checkpoint: str, ticket: str) -> bool:
        """Order a run; returns whether the worker has confirmed it."""
        now = self._now()
        deadline = self._lease.extend(now, self._times.start_window)
        order = TaskStart(
            run.task.name, run.attempt, payload, deadline, checkpoint, ticket
        )
        self._ordering[run] = now
        answer = await self._port.start(self.info, self._epoch, order)
        del self._ordering[run]
        now = self._now()
        observe_latency("contacts", "start", now - run.ordered_at)
        if isinstance(answer, Done):
            self._lease.record_clock(answer.clock, now)
            self.record_running(run, now)
            return True
        self._take_refusal(run, answer, now)
        return False

    def record_running(self, run: Run, now: float) -> None:
        """Take note that the worker has confirmed a run, or lists it."""
        if run.phase is not RunPhase.RUNNING:
            run.phase = RunPhase.RUNNING
            run.settled_at = now
            self._owner.record_running(run)

    def _heed_epoch(self, code: object) -> None:
        """Stop deciding when a worker's refusal says that another owner has."""
        if code is RefusalCode.STALE_EPOCH:
            self._leadership.step_down("a worker knows a newer epoch")

    def _take_refusal(self, run: Run, answer: StartResult, now: float) -> None:
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
            self._end_life()
        elif isinstance(answer, Lost):
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.DOUBTFUL
                run.settled_at = now
                self._look_soon.set()
            self.paused_until = max(self.paused_until, now + DECLINE_PAUSE_SECONDS)
        else:
            if isinstance(answer, Declined):
                self._take_decline(run, answer, now)
            else:
                self.paused_until = now + DECLINE_PAUSE_SECONDS
            self.remove_run(run)
            self._owner.handle_lost_run(self, run)

    def _take_decline(self, run: Run, answer: Declined, now: float) -> None:
        if answer.clock is not None:
            self._lease.record_clock(answer.clock, now)
        self._heed_epoch(answer.code)
        # Without its ticket another step may still start there; else what it knows
        # differs from what we know, and asking at once would only repeat that.
        if answer.code is not RefusalCode.NO_TICKET:
            self.paused_until = now + DECLINE_PAUSE_SECONDS

    def stop(self, run: Run) -> None:
        """Tell the worker to end a run; repeated until the run is gone."""
        now = self._now()
        if run.stopping_since is None:
            run.stopping_since = now
        sent = run.stop_sent_at
        is_recent = sent is not None and now - sent < STOP_RETRY_SECONDS
        is_barred = run.phase is RunPhase.DOUBTFUL and run.stopped_at is not None
        if is_recent or is_barred:
            return
        run.stop_sent_at = now
        self.send_stop(run.task.name, run.attempt, run)

    def send_stop(self, task: TaskName, attempt: int, run: Run | None) -> None:
        """Tell the worker once to end an attempt, of a run if it is ours."""
        start_task(self._order_stop(task, attempt, run), self._stops)

    async def _order_stop(self, task: TaskName, attempt: int, run: Run | None) -> None:
        answer = await self._port.stop(self.info, self._epoch, task, attempt)
        now = self._now()
        if isinstance(answer, Done):
            self._lease.record_clock(answer.clock, now)
            if run is not None and run.stopped_at is None:
                run.stopped_at = now
                if run.phase is RunPhase.DOUBTFUL:
                    self._look_soon.set()
        elif isinstance(answer, Replaced):
            self._end_life()
        else:
            self._heed_epoch(answer.code)

    # Loop --------------------------------------------------------------------

    async def run(self) -> None:
        """Hold the worker's lease and take its ends until its life is over."""
        try:
            while not self.is_gone and (self.is_listed or self._has_duties()):
                await self._look()
            while self.runs or self.unknown_runs:
                await self._settle_end()
        finally:
            for sending in self._stops:
                sending.cancel()

    def _has_duties(self) -> bool:
        """Whether something may run there, so that the worker can't be forgotten.

        One that was read runs what we know of, whatever its lease says: a worker
        that left empty must not hold up a successor, who can't ask it any more.
        """
        if self.runs or self.unknown_runs or self.observed < self.processed:
            return True
        return not self._is_read and not self._is_over

    async def _look(self) -> None:
        sent = self._now()
        deadline = self._find_deadline(sent)
        is_idle = deadline is None and not (self.is_synchronized and self.is_cordoned)
        wait = timedelta() if is_idle else self._times.poll_wait
        if self._look_soon.is_set():
            self._look_soon.clear()
            wait = timedelta()
        self._answer_due = sent + wait.total_seconds() + LATENESS_SECONDS
        answer = await self._hold(deadline, wait)
        if answer is None:
            return
        now = self._now()
        if isinstance(answer, WorkerTasks):
            self._answer_due = float("inf")
            await self._take_contents(answer, sent, now)
        elif isinstance(answer, Replaced):
            self._end_life()
        else:
            await self._take_silence(answer, now)

    def _find_deadline(self, now: float) -> timedelta | None:
        """Return until when to extend the lease, by the worker's clock.

        A silent worker's lease is left alone: who may have been extended can't
        be given up.
        """
        if not self.is_synchronized or not self._may_extend:
            return None
        if not self._leadership.may_decide():
            return None
        return self._lease.extend(now, self._times.lease)

    async def _hold(self, deadline: timedelta | None, wait: timedelta) -> HoldResult:
        """Hold the lease; ``None`` when there is reason to look again at once."""
        call = asyncio.ensure_future(
            self._port.poll(self.info, self._epoch, self.observed, deadline, wait)
        )
        if not wait:
            return await call
        soon = asyncio.ensure_future(self._look_soon.wait())
        try:
            await asyncio.wait({call, soon}, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else None
        finally:
            soon.cancel()
            call.cancel()

    async def _take_contents(
        self, answer: WorkerTasks, sent: float, now: float
    ) -> None:
        if not self._lease.is_synchronized:
            # From now on it refuses the predecessor; what that granted ends first.
            self._lease.expires_at = now + self._times.lease_expiry.total_seconds()
        self._lease.record_clock(answer.clock, now)
        if not self.is_synchronized:
            _log.info("A worker answers.", worker=self.info.identifier)
        before = self.processed
        self.polled_at = now
        self._failed_looks = 0
        take_inventory(self, self._owner, answer, sent, now)
        self.is_synchronized = self._is_read = True
        self._owner.handle_contact_change(self)
        if self.processed == before and self.observed == self.processed:
            return
        if await self._owner.wait_until_durable(self):
            observe_latency("contacts", "end_noted", self._now() - now)

    async def _take_silence(self, answer: object, now: float) -> None:
        code = getattr(answer, "code", "")
        self._heed_epoch(code)
        self._failed_looks += 1
        if self.is_synchronized:
            self.is_synchronized = False
            _log.warn(
                "A worker does not answer.",
                worker=self.info.identifier,
                reason=str(code),
                runs=len(self.runs),
            )
        if now >= self.lease_until:
            await self._note_lapse()
        await self._clock.sleep(SILENT_DELAY)

    async def _note_lapse(self) -> None:
        """Give up what ran under a lease that is over.

        Only as long as the store names this owner after that: a successor may have
        reached the worker meanwhile, extended its lease and taken its ends.
        """
        if not await self._leadership.is_confirmed_since(self.lease_until):
            return
        self._is_over = True
        if self.runs:
            _log.warn("A worker's lease is over.", worker=self.info.identifier)
            self._drop_runs("lease_over")
        self._owner.handle_contact_change(self)

    def _end_life(self) -> None:
        if self.is_gone:
            return
        _log.info("A worker's life is over.", worker=self.info.identifier)
        self.is_gone = True
        self.is_synchronized = False
        self._gone_at = self._now()
        self._look_soon.set()
        self._owner.handle_contact_change(self)

    async def _settle_end(self) -> None:
        """Give up what ran in a life that is over, as after a lapse."""
        if await self._leadership.is_confirmed_since(self._gone_at):
            self._drop_runs("life_over")
            self._owner.handle_contact_change(self)
        else:
            await self._clock.sleep(SILENT_DELAY)

    def _drop_runs(self, reason: str) -> None:
        self.unknown_runs.clear()
        lost = list(self.runs.values())
        for run in lost:
            tell_lost(self, run, reason)
            self.remove_run(run)
            self._owner.handle_lost_run(self, run)
        if self.is_gone or not self.is_listed:
            # No end will ever tell of them: a task must not take one worker after
            # the other down for want of a failure that counts.
            self._owner.record_crash(self, lost)
