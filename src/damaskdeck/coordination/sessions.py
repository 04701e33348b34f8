"""What the owner of a worker does with it, from taking it over to losing it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.leases import compute_bound
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry
from damaskdeck.protocol.jobs import Start, TaskNews
from damaskdeck.protocol.ports import (
    Accepted,
    Instance,
    Inventory,
    Lost,
    Rejected,
    StartOrder,
    TaskReport,
    TaskState,
    WorkerPort,
)
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.accounts import Accounts, TaskNeed

FOLLOW_WAIT = timedelta(seconds=20)
RETRY_INTERVAL = timedelta(milliseconds=500)
GAIN_INTERVAL = timedelta(milliseconds=20)
ENDED_STATES = frozenset(TaskState) - {TaskState.RUNNING}
# States of an attempt that isn't known to have ended.
OPEN_STATES = frozenset({"starting", "unsure", "running"})

_log = get_logger("workers")


class Hosted(NamedTuple):
    """An attempt of a task on a worker, as its owner knows it.

    :param state: as in :class:`~damaskdeck.protocol.jobs.TaskNews`; ``starting``
        until its start is sent, then ``unsure`` until that is answered.
    :param renewed: monotonic time when the last call was sent that may have
        given it a lease.
    :param settled: monotonic time from which on an inventory must show it.
    :param start: what it was started by, unless another owner started it.
    """

    task: str
    attempt: int
    state: str
    renewed: timedelta
    settled: timedelta
    start: Start | None = None


class Session:
    """Serves one worker under one epoch; its loops end with :meth:`run`.

    :param worker: as the platform lists it; set anew when that changes.
    :param may_act: tells whether this daemon still owns the worker.
    :param put_news: takes news for the keepers.
    :param grace: how long to wait before the first placement, for workers that
        don't check epochs.
    """

    def __init__(
        self,
        worker: Instance,
        epoch: int,
        port: WorkerPort,
        accounts: Accounts,
        clock: Clock,
        may_act: Callable[[], bool],
        put_news: Callable[[TaskNews], None],
        grace: timedelta = timedelta(),
        lease: timedelta = defaults.TASK_LEASE,
        renewal: timedelta = defaults.TASK_RENEWAL,
    ) -> None:
        self.worker = worker
        self.epoch = epoch
        self.is_ready = False
        self.tasks: dict[str, Hosted] = {}
        self._port = port
        self._accounts = accounts
        self._clock = clock
        self._may_act = may_act
        self._put_news = put_news
        self._grace = grace
        self._lease = lease
        self._renewal = renewal
        self._bound = compute_bound(lease)
        self._gained = clock.monotonic()
        self._is_doubtful = False
        self._forgotten: set[str] = set()
        self._sequence = 0
        self._orders: asyncio.Queue[Callable[[], object]] = asyncio.Queue()

    async def run(self) -> None:
        """Take inventory, then follow, renew and order until cancelled."""
        await self._take_over()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_all())
            group.create_task(self._renew_all())
            group.create_task(self._order_all())

    def find(self, task: str, attempt: int) -> Hosted | None:
        """Return what is known of an attempt."""
        hosted = self.tasks.get(task)
        return hosted if hosted and hosted.attempt == attempt else None

    @property
    def has_lapsed(self) -> bool:
        """Whether all leases given before this session must have lapsed."""
        return self._clock.monotonic() - self._gained >= self._bound

    def order_start(self, start: Start) -> None:
        """Start a task that has its reservation."""
        now = self._clock.monotonic()
        name, attempt = start["task"], start["attempt"]
        self.tasks[name] = Hosted(name, attempt, "starting", now, now, start)
        self._orders.put_nowait(lambda: self._start(start))

    def order_stop(self, task: str, attempt: int, checkpoint: bool = False) -> None:
        """Stop a task, or checkpoint it first."""
        self._orders.put_nowait(lambda: self._stop(task, attempt, checkpoint))

    def order_forget(self, task: str, attempt: int) -> None:
        """Let the worker forget an ended task that its keeper has noted."""
        hosted = self.find(task, attempt)
        if hosted is None or hosted.state in OPEN_STATES:
            return
        del self.tasks[task]
        if not self._forgotten:
            self._orders.put_nowait(self._forget_all)
        self._forgotten.add(task)

    def refuse_waiting(self) -> None:
        """Report the starts that were not sent yet; they won't be any more."""
        for hosted in list(self.tasks.values()):
            if hosted.state == "starting":
                self._note(hosted, "unstarted", code="owner_changed")

    async def abandon(self) -> None:
        """Report all tasks of a worker that is gone, once they have lapsed."""
        await self._clock.sleep(self._bound)
        for hosted in list(self.tasks.values()):
            if hosted.state in OPEN_STATES:
                self._note(hosted, "lost", code="worker_gone")

    # Taking over -----------------------------------------------------------------

    async def _take_over(self) -> None:
        while not self._may_act():
            await self._clock.sleep(GAIN_INTERVAL)
        while not await self._read_inventory():
            self.is_ready = self.has_lapsed
            await self._clock.sleep(RETRY_INTERVAL)
        waited = self._clock.monotonic() - self._gained
        if self._grace > waited:
            await self._clock.sleep(self._grace - waited)
            while not await self._read_inventory():
                await self._clock.sleep(RETRY_INTERVAL)
        self.is_ready = True
        self._accounts.close_worker(self.worker.name, "")
        _log.info("Took a worker over.", worker=self.worker.name, epoch=self.epoch)

    async def _read_inventory(self) -> bool:
        sent = self._clock.monotonic()
        found = await self._port.read_inventory(self.worker, self.epoch)
        return self._absorb(found, sent, True)

    # Following and renewing ------------------------------------------------------

    async def _follow_all(self) -> None:
        while True:
            if not self._may_act():
                await self._clock.sleep(RETRY_INTERVAL)
                continue
            sent = self._clock.monotonic()
            found = await self._port.follow(
                self.worker, self.epoch, self._sequence, FOLLOW_WAIT
            )
            if not self._absorb(found, sent, False):
                await self._clock.sleep(RETRY_INTERVAL)

    async def _renew_all(self) -> None:
        while True:
            await self._clock.sleep(
                RETRY_INTERVAL if self._is_doubtful else self._renewal
            )
            if not self._may_act():
                continue
            if self._is_doubtful:
                self._set_doubtful(not await self._read_inventory())
                self._drop_lapsed()
            if not self._is_doubtful:
                await self._renew()

    async def _renew(self) -> None:
        names = [h.task for h in self.tasks.values() if h.state == "running"]
        if not names:
            return
        sent = self._clock.monotonic()
        found = await self._port.renew(
            self.worker, self.epoch, tuple(names), self._lease
        )
        if not isinstance(found, Rejected):
            for name in names:
                if name in self.tasks:
                    self.tasks[name] = self.tasks[name]._replace(renewed=sent)
        self._set_doubtful(not self._absorb(found, sent, True))

    def _drop_lapsed(self) -> None:
        """Report tasks of an unreachable worker once their leases have lapsed."""
        now = self._clock.monotonic()
        for hosted in list(self.tasks.values()):
            if hosted.state == "running" and now - hosted.renewed >= self._bound:
                self._note(hosted, "lost", code="worker_lost")

    # What the worker says --------------------------------------------------------

    def _absorb(
        self, found: Inventory | Rejected | Lost, sent: timedelta, is_whole: bool
    ) -> bool:
        if not isinstance(found, Inventory):
            count_retry("workers", found.code)
            return False
        if found.sequence < self._sequence:
            self._set_doubtful(True)
        self._sequence = found.sequence
        for report in found.tasks:
            self._absorb_task(report)
        if is_whole:
            self._drop_missing({report.task for report in found.tasks}, sent)
        return True

    def _absorb_task(self, report: TaskReport) -> None:
        hosted = self.tasks.get(report.task)
        if hosted is not None and hosted.attempt > report.attempt:
            return
        state = report.state.value
        is_known = hosted is not None and hosted.attempt == report.attempt
        if is_known and (hosted.state == state or hosted.state not in OPEN_STATES):
            return
        now = self._clock.monotonic()
        if not is_known:
            hosted = Hosted(report.task, report.attempt, state, now, now)
            if report.state is TaskState.RUNNING:
                self._adopt(report)
        self._note(hosted, state, result=report.result, checkpoint=report.checkpoint)

    def _adopt(self, report: TaskReport) -> None:
        need = TaskNeed(report.task, report.size)
        self._accounts.adopt(need, self.worker.name)

    def _drop_missing(self, present: set[str], sent: timedelta) -> None:
        """Report tasks that the worker has forgotten, as after a restart."""
        for hosted in list(self.tasks.values()):
            if hosted.task in present or hosted.settled > sent:
                continue
            if hosted.state == "running":
                self._note(hosted, "lost", code="worker_restarted")
            elif hosted.state == "unsure":
                self._repeat_start(hosted)

    def _repeat_start(self, hosted: Hosted) -> None:
        """Start the same attempt on the same worker again, if that is harmless."""
        start = hosted.start
        if start is None or not start.get("idempotent"):
            self._note(hosted, "lost", code="start_lost")
            return
        self.tasks[hosted.task] = hosted._replace(state="starting")
        self._orders.put_nowait(lambda: self._start(start))

    def _note(
        self,
        hosted: Hosted,
        state: str,
        code: str = "",
        result: bytes = b"",
        checkpoint: str = "",
    ) -> None:
        now = self._clock.monotonic()
        self.tasks[hosted.task] = hosted._replace(state=state, settled=now)
        if state != "running":
            self._release(hosted.task)
        news = TaskNews(
            task=hosted.task,
            attempt=hosted.attempt,
            worker=self.worker.name,
            state=state,
        )
        if code:
            news["code"] = code
        if result:
            news["result"] = result
        if checkpoint:
            news["checkpoint"] = checkpoint
        self._put_news(news)

    def _release(self, task: str) -> None:
        held = self._accounts.find(task)
        if held is not None and held.worker == self.worker.name:
            self._accounts.release(task)

    def _set_doubtful(self, is_doubtful: bool) -> None:
        if is_doubtful != self._is_doubtful:
            self._is_doubtful = is_doubtful
            code = "unreachable" if is_doubtful else ""
            self._accounts.close_worker(self.worker.name, code)

    # Orders ----------------------------------------------------------------------

    async def _order_all(self) -> None:
        while True:
            order = await self._orders.get()
            await order()

    async def _start(self, start: Start) -> None:
        hosted = self.find(start["task"], start["attempt"])
        if hosted is None or hosted.state != "starting":
            return
        if not self._may_act():
            self._note(hosted, "unstarted", code="owner_changed")
            return
        now = self._clock.monotonic()
        self.tasks[hosted.task] = hosted._replace(
            state="unsure", renewed=now, settled=timedelta.max
        )
        order = make_order(start, self._lease)
        answer = await self._port.start(self.worker, self.epoch, order)
        hosted = self.find(start["task"], start["attempt"])
        if hosted is None or hosted.state != "unsure":
            return
        if isinstance(answer, Accepted):
            self._absorb_task(answer.report)
        elif isinstance(answer, Rejected):
            self._note(hosted, "unstarted", code=answer.code)
        else:
            self._doubt_start(hosted)

    def _doubt_start(self, hosted: Hosted) -> None:
        """Leave a start whose answer was lost to the next inventory."""
        count_retry("workers", "start_lost")
        now = self._clock.monotonic()
        self.tasks[hosted.task] = hosted._replace(settled=now)
        self._set_doubtful(True)

    async def _stop(self, task: str, attempt: int, checkpoint: bool) -> None:
        hosted = self.find(task, attempt)
        if hosted is None or hosted.state != "running" or not self._may_act():
            return
        call = self._port.checkpoint if checkpoint else self._port.stop
        answer = await call(self.worker, self.epoch, task)
        if isinstance(answer, Accepted):
            self._absorb_task(answer.report)
        elif isinstance(answer, Lost):
            self._set_doubtful(True)

    async def _forget_all(self) -> None:
        tasks = tuple(task for task in self._forgotten if task not in self.tasks)
        self._forgotten.clear()
        if tasks and self._may_act():
            await self._port.acknowledge(self.worker, self.epoch, tasks)


def make_order(start: Start, lease: timedelta) -> StartOrder:
    """Return what the worker needs to start a task."""
    size = start["size"]
    return StartOrder(
        start["task"],
        start["attempt"],
        Size(size["millicores"], size["memory"], size["accelerators"]),
        lease,
        start["payload"],
        start.get("checkpoint", ""),
    )
