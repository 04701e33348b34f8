"""The orders to one incarnation of a worker: starts and stops of runs."""

import asyncio
from typing import TYPE_CHECKING

from damaskdeck.background import start_task
from damaskdeck.coordination.pools.inventories import ContactOwner
from damaskdeck.coordination.pools.passedorders import PassedOrders, RunKey
from damaskdeck.coordination.pools.workersession import WorkerSession
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry, observe_latency
from damaskdeck.protocol.pools import (
    Declined,
    Done,
    RefusalCode,
    Replaced,
    StartResult,
    TaskStart,
)
from damaskdeck.protocol.ports import Lost, Rejected
from damaskdeck.protocol.queues import TaskName
from damaskdeck.state.pooljobs import Run, RunPhase

if TYPE_CHECKING:
    from damaskdeck.coordination.pools.contacts import WorkerContact

# A stop without an answer is sent again after this time.
STOP_RETRY_SECONDS = 0.4
# A worker that declined an order gets no other order for this time.
DECLINE_PAUSE_SECONDS = 0.3

_log = get_logger("contacts")


class WorkerOrders:
    """Sends orders to a worker and handles the answers.

    :ivar passed: The orders whose runs are not, or no longer, known at the worker.
    """

    def __init__(
        self, contact: "WorkerContact", session: WorkerSession, owner: ContactOwner
    ) -> None:
        self.passed = PassedOrders()
        self._contact = contact
        self._session = session
        self._owner = owner
        # When each order without an answer was sent.
        self._unanswered: dict[Run, float] = {}
        self._stops: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancel the stops without an answer."""
        for stop in self._stops:
            stop.cancel()

    @property
    def unanswered_count(self) -> int:
        """The number of starts without an answer."""
        return len(self._unanswered)

    def measure_wait(self, now: float) -> float:
        """Return for how many seconds the oldest start has been without an answer."""
        return now - next(iter(self._unanswered.values()), now)

    async def start(self, run: Run, payload: str, checkpoint: str, ticket: str) -> bool:
        """Order the worker to start a run.

        :returns: Whether the worker has confirmed the start.
        """
        contact, session = self._contact, self._session
        if contact.is_gone and session.birth.is_reported:
            # The next incarnation would carry out the order.
            return False
        deadline = session.extend_lease(session.times.start_window)
        if deadline is None:
            self._handle_failed_start(run, Rejected("owner_unconfirmed"), session.now())
            return False
        now = session.now()
        order = TaskStart(
            run.task.name, run.attempt, payload, deadline, checkpoint, ticket
        )
        self._unanswered[run] = now
        answer = await session.port.start(contact.info, session.epoch, order)
        del self._unanswered[run]
        now = session.now()
        observe_latency("contacts", "start", now - run.ordered_at)
        if not isinstance(answer, Done):
            session.birth.forget_answers()
        if run.worker != contact.info.identifier:
            # The run has been moved to the next incarnation.
            return False
        if isinstance(answer, Done):
            session.record_clock(answer.clock, now)
            contact.record_running(run, now)
            return True
        self._handle_failed_start(run, answer, now)
        return False

    def _handle_failed_start(self, run: Run, answer: StartResult, now: float) -> None:
        contact = self._contact
        code = getattr(answer, "code", "replaced")
        _log.info(
            "A start was not confirmed.",
            id=run.task.name.job,
            task=run.task.name[1:],
            attempt=run.attempt,
            worker=contact.info.identifier,
            reason=str(code),
        )
        count_retry("start", str(code))
        if isinstance(answer, Replaced):
            contact.end_incarnation()
        elif isinstance(answer, Lost):
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.DOUBTFUL
                run.settled_at = now
                self._session.poll_soon.set()
            contact.paused_until = max(
                contact.paused_until, now + DECLINE_PAUSE_SECONDS
            )
        else:
            if isinstance(answer, Declined):
                self._handle_decline(answer, now)
            else:
                contact.paused_until = now + DECLINE_PAUSE_SECONDS
            contact.remove_run(run)
            self._owner.handle_lost_run(contact, run)

    def _handle_decline(self, answer: Declined, now: float) -> None:
        if answer.clock is not None:
            self._session.record_clock(answer.clock, now)
        self._session.check_epoch(answer.code)
        # A missing ticket concerns one step only, so other steps may still start there.
        # Any other refusal means that the worker's state differs from what is known
        # here, and another order right away would be declined for the same reason.
        if answer.code is not RefusalCode.NO_TICKET:
            self._contact.paused_until = now + DECLINE_PAUSE_SECONDS

    def stop(self, run: Run) -> None:
        """Order the worker to stop a run.

        Callers repeat this until the run is gone.
        """
        now = self._session.now()
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
        contact, session = self._contact, self._session
        answer = await session.port.stop(contact.info, session.epoch, task, attempt)
        now = session.now()
        if isinstance(answer, Done):
            session.record_clock(answer.clock, now)
            self.passed.due_stops.discard((task, attempt))
            is_here = run is not None and contact.runs.get((task, attempt)) is run
            if is_here and run.stopped_at is None:
                run.stopped_at = now
                if run.phase is RunPhase.DOUBTFUL:
                    session.poll_soon.set()
            return
        session.birth.forget_answers()
        if isinstance(answer, Replaced):
            contact.end_incarnation()
        else:
            session.check_epoch(answer.code)

    # The next incarnation under the same name --------------------------------

    def list_unlisted_runs(self) -> list[Run]:
        """List the runs that were ordered and that no list of the worker has shown."""
        return [
            run
            for run in self._contact.runs.values()
            if not run.is_listed
            and (run.phase is not RunPhase.ORDERED or run in self._unanswered)
        ]

    def record_abandoned(self, run: Run) -> None:
        """Record an order that was abandoned without having been seen to run."""
        if self._session.birth.is_reported:
            now = self._session.now()
            self.passed.record_abandoned({(run.task.name, run.attempt): now}, now)

    def receive_stops(self, orders: dict[RunKey, float]) -> None:
        """Stop orders to the earlier incarnation here.

        :param orders: When each was abandoned.
        """
        self.passed.due_stops |= orders.keys()
        self.passed.record_abandoned(orders, self._session.now())
        for task, attempt in orders:
            self.send_stop(task, attempt, None)

    def repeat_due_stops(self) -> None:
        """Send the stops of orders to the earlier incarnation again."""
        for task, attempt in self.passed.due_stops:
            self.send_stop(task, attempt, None)
