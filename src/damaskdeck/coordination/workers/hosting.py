"""Management of owned workers: reservations, orders to them and their state."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, Protocol

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.places.allocator import CapacityAllocator, Hold
from damaskdeck.coordination.workers.fences import Fences
from damaskdeck.coordination.workers.fleet import InstanceChange
from damaskdeck.coordination.workers.outbox import UpdateOutbox
from damaskdeck.coordination.workers.rosters import OPEN_STATES
from damaskdeck.coordination.workers.sessions import WorkerSession
from damaskdeck.coordination.workers.summaries import TOPIC, summarize_workers
from damaskdeck.coordination.workers.supervisor import Supervisor
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal, set_packing
from damaskdeck.protocol import jobs
from damaskdeck.protocol.handlers import ConfigurationReader
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Peers, encode_message
from damaskdeck.protocol.ports import Instance, InstanceState, WorkerPort
from damaskdeck.protocol.resources import POLICY_NAME, Kind, Resource
from damaskdeck.protocol.sizes import Size
from damaskdeck.state.workeraccounts import WorkerAccount, WorkerAccounts

PUBLISH_INTERVAL = timedelta(milliseconds=250)

_log = get_logger("workers")


class WorkerFleet(Protocol):
    """The workers in the platform's list."""

    def get(self, name: str) -> Instance | None:
        """Return a listed instance."""

    def on_change(self, handler: Any) -> None:
        """Call ``handler(changes)`` when the list changes."""


class WorkerHost:
    """Owner of some workers of its availability zone.

    Guarantee: "No instance is given more work than its processors, memory, or
    accelerators can hold", because only the owner reserves, in one account.

    :param workers: the port to the workers.
    :param configuration: provides the policy with the weights for placement; a
        score without a weight keeps its default.
    :param checks_epochs: whether workers reject calls with an older epoch; if not,
        a new owner waits until the former one's lease has expired before it places
        tasks.
    """

    def __init__(
        self,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        workers: WorkerPort,
        fleet: WorkerFleet,
        clock: Clock,
        *,
        configuration: ConfigurationReader | None = None,
        checks_epochs: bool = True,
        member_lease: timedelta = defaults.MEMBER_LEASE,
        lease: timedelta = defaults.TASK_LEASE,
        renewal: timedelta = defaults.TASK_RENEWAL,
    ) -> None:
        self.accounts = WorkerAccounts()
        self.sessions: dict[str, WorkerSession] = {}
        self._unlisted: dict[str, int] = {}
        self.allocator = CapacityAllocator(self.accounts, clock, self._preempt)
        self._members = members
        self._ownership = ownership
        self._workers = workers
        self._fleet = fleet
        self._clock = clock
        self._grace = timedelta() if checks_epochs else 2 * member_lease
        self._lease = lease
        self._renewal = renewal
        self._outbox = UpdateOutbox(
            ownership, peers, clock, self._handle_acknowledgement
        )
        self._runners: dict[str, asyncio.Task[None]] = {}
        self._supervisor = Supervisor()
        self._summary = b""
        self._is_changed = True
        self.accounts.subscribe(self._mark_changed)
        if configuration is not None:
            policy = configuration.get(Kind.POLICY, POLICY_NAME)
            self._handle_policy_change(Kind.POLICY, POLICY_NAME, policy)
            configuration.subscribe(self._handle_policy_change)
        self._fences = Fences(ownership)
        ownership.on_gain("worker", self._handle_gain)
        ownership.on_loss("worker", self._handle_loss)
        fleet.on_change(self._handle_fleet_change)
        peers.register(jobs.ReserveTasks, self._handle_reserve)
        peers.register(jobs.StartTasks, self._handle_start)
        peers.register(jobs.ReleaseTasks, self._handle_release)
        peers.register(jobs.StopTasks, self._handle_stop)
        peers.register(jobs.CheckTasks, self._handle_check)

    async def run(self) -> None:
        """Send task updates and publish free capacity until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._outbox.run())
                group.create_task(self._publish_all())
                group.create_task(self._supervisor.run())
        finally:
            for runner in self._runners.values():
                runner.cancel()

    # Ownership changes -----------------------------------------------------------

    async def _handle_gain(self, shard: str, epoch: int) -> None:
        name = shard.partition("/")[2]
        worker = self._fleet.get(name)
        if worker is None:
            _log.warn("An owned worker isn't listed yet.", worker=name)
            self._unlisted[name] = epoch
        else:
            self._open_session(worker, epoch)

    def _open_session(self, worker: Instance, epoch: int) -> None:
        name = worker.name
        shard = f"worker/{name}"
        self._end_session(name)
        self.accounts.set_worker(worker)
        self.accounts.close_worker(name, "inventory")
        session = WorkerSession(
            worker,
            epoch,
            self._workers,
            self.accounts,
            self._clock,
            lambda: self._ownership.get_epoch(shard) == epoch,
            self._outbox.put,
            self.allocator,
            self._grace,
            self._lease,
            self._renewal,
        )
        self.sessions[name] = session
        self.allocator.set_workers(self.sessions)
        self._start_runner(name, session.run())

    async def _handle_loss(self, shard: str, epoch: int) -> None:
        name = shard.partition("/")[2]
        if self._unlisted.get(name) == epoch:
            del self._unlisted[name]
        session = self.sessions.get(name)
        if session is None or session.epoch != epoch:
            return
        self._end_session(name)
        session.reject_unsent_starts()
        if self._fleet.get(name) is None:
            self._start_runner(name, session.report_lost_tasks())

    def _start_runner(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        runner = self._runners[name] = asyncio.ensure_future(work)
        runner.add_done_callback(self._supervisor.watch)

    def _handle_fleet_change(self, changes: tuple[InstanceChange, ...]) -> None:
        for change in changes:
            worker = change.after
            if worker is None:
                continue
            if worker.name in self._unlisted:
                self._open_session(worker, self._unlisted.pop(worker.name))
            elif worker.name in self.sessions:
                self.sessions[worker.name].worker = worker
                self.accounts.set_worker(worker)

    def _handle_policy_change(
        self, kind: Kind, name: str, resource: Resource | None
    ) -> None:
        """Apply the policy's weights, or the defaults when the policy was deleted."""
        if kind is Kind.POLICY and name == POLICY_NAME:
            spec = resource["spec"] if resource else {}
            self.allocator.set_weights({**defaults.WEIGHTS, **spec.get("weights", {})})

    def _end_session(self, name: str) -> None:
        self.sessions.pop(name, None)
        runner = self._runners.pop(name, None)
        if runner is not None:
            runner.cancel()
        self.accounts.remove_worker(name)
        self.allocator.set_workers(self.sessions)

    async def _publish_all(self) -> None:
        while True:
            self.allocator.expire()
            self._evacuate_leaving_workers()
            if self._is_changed:
                self._is_changed = False
                summary = summarize_workers(self.accounts, self._members.self.zone)
                self._summary = encode_message(summary)
                self._report_packing()
            self._members.publish(TOPIC, self._summary)
            await self._clock.sleep(PUBLISH_INTERVAL)

    def _report_packing(self) -> None:
        totals = self.accounts.totals
        for name, size, free in zip(
            Size._fields, totals.size, totals.free, strict=True
        ):
            set_packing(name, 1 - free / size if size else 0.0)

    def _mark_changed(self, account: WorkerAccount, is_present: bool) -> None:
        self._is_changed = True

    def _evacuate_leaving_workers(self) -> None:
        """Move tasks off leaving workers where possible; the others may finish."""
        for name, session in self.sessions.items():
            if session.worker.state is not InstanceState.LEAVING:
                continue
            for task, checkpoint in self.allocator.list_movable(name):
                hosted = session.tasks.get(task)
                if hosted is not None and not hosted.cause:
                    session.orders.preempt(task, checkpoint, "worker_leaving")

    async def _handle_acknowledgement(self, reply: jobs.TaskUpdatesReply) -> None:
        for attempt in reply["stop"]:
            session = self.sessions.get(attempt["worker"])
            if session is not None:
                session.orders.stop(attempt["task"], attempt["attempt"])
        for attempt in reply["noted"]:
            session = self.sessions.get(attempt["worker"])
            if session is not None:
                session.orders.acknowledge(attempt["task"], attempt["attempt"])

    # Messages of ledger owners ---------------------------------------------------

    async def _handle_reserve(
        self, _: str, message: jobs.ReserveTasks
    ) -> jobs.ReserveTasksReply:
        reply = jobs.ReserveTasksReply(granted=[], refused=[])
        is_admitted = self._fences.admit(message["ledger"], message["epoch"])
        for request in message["tasks"]:
            found = self.allocator.hold(request) if is_admitted else "stale_keeper"
            if isinstance(found, Hold):
                reply["granted"].append(self._grant(request, found.worker))
                continue
            count_refusal("workers", found)
            reply["refused"].append(_refuse(request, found))
        return reply

    def _grant(
        self, request: jobs.ReservationRequest, worker: str
    ) -> jobs.ReservationGrant:
        return jobs.ReservationGrant(
            task=request["task"],
            attempt=request["attempt"],
            worker=worker,
            epoch=self.sessions[worker].epoch,
        )

    def _preempt(self, worker: str, task: str, checkpoint: bool) -> None:
        self.sessions[worker].orders.preempt(task, checkpoint)

    async def _handle_start(
        self, _: str, message: jobs.StartTasks
    ) -> jobs.TaskOrdersReply:
        reply = jobs.TaskOrdersReply(refused=[])
        is_admitted = self._fences.admit(message["ledger"], message["epoch"])
        for start in message["tasks"]:
            code = self._refuse_start(start) if is_admitted else "stale_keeper"
            if code:
                self._fences.fence(start["task"], start["attempt"])
                count_refusal("workers", code)
                reply["refused"].append(_refuse(start, code))
                continue
            self.sessions[start["worker"]].orders.start(start)
        return reply

    def _refuse_start(self, start: jobs.TaskToStart) -> str:
        task, attempt = start["task"], start["attempt"]
        session = self.sessions.get(start["worker"])
        epoch = self._get_epoch(start["worker"])
        if session is None or epoch is None or epoch != start.get("epoch"):
            return "not_owner"
        if self._fences.is_fenced(task, attempt):
            return "fenced"
        hosted = session.roster.tasks.get(task)
        if hosted and (hosted.state in OPEN_STATES or hosted.attempt >= attempt):
            return "already_started"
        if not self.allocator.confirm(task, start["worker"]):
            return "hold_expired"
        return ""

    async def _handle_release(self, _: str, message: jobs.ReleaseTasks) -> None:
        for item in message["tasks"]:
            self.allocator.release_hold(item["task"])

    async def _handle_stop(
        self, _: str, message: jobs.StopTasks
    ) -> jobs.TaskOrdersReply:
        reply = jobs.TaskOrdersReply(refused=[])
        is_admitted = self._fences.admit(message["ledger"], message["epoch"])
        for item in message["tasks"]:
            session = self.sessions.get(item["worker"])
            if session is None or not is_admitted:
                reply["refused"].append(_refuse(item, "not_owner"))
                continue
            is_last = message.get("is_last", True)
            checkpoint = not is_last and item.get("checkpoint", False)
            session.orders.stop(item["task"], item["attempt"], checkpoint)
        return reply

    async def _handle_check(
        self, _: str, message: jobs.CheckTasks
    ) -> jobs.TaskUpdates | None:
        if not self._fences.admit(message["ledger"], message["epoch"]):
            return None
        found = [self._describe_attempt(item) for item in message["tasks"]]
        return jobs.TaskUpdates(ledger=message["ledger"], tasks=found)

    def _describe_attempt(self, item: jobs.TaskAttempt) -> jobs.TaskUpdate:
        task, attempt, worker = item["task"], item["attempt"], item["worker"]
        update = jobs.TaskUpdate(
            task=task, attempt=attempt, worker=worker, state="unsure"
        )
        session = self.sessions.get(worker)
        if session is None or self._get_epoch(worker) != session.epoch:
            return update
        hosted = session.roster.find(task, attempt)
        if hosted is not None:
            is_running = hosted.state == "running"
            update["state"] = "running" if is_running else "unsure"
            self.allocator.update_adopted(item)
        elif item.get("epoch") == session.epoch:
            self._fences.fence(task, attempt)
            self._release_hold(task, worker)
            update["state"] = "unstarted"
        elif self._is_lost(session, item):
            update["state"] = "lost"
            update["code"] = "worker_lost"
        return update

    def _is_lost(self, session: WorkerSession, item: jobs.TaskAttempt) -> bool:
        """Return whether an attempt under a former owner certainly doesn't run.

        This requires an inventory that was requested after the first check: a worker
        that restarted since the last inventory may have lost its fence. If the worker
        is out of reach, an attempt that had started by the first check is over once its
        lease must have expired; one that hadn't may still start.
        """
        now = self._clock.monotonic()
        started = item.get("started", False)
        asked = self._fences.record_check(item["task"], item["attempt"], started, now)
        if session.is_ready and session.inventory_sent_at >= asked:
            return True
        if not session.is_ready:
            return started and now - asked >= session.takeover_bound
        session.orders.request_inventory()
        return False

    def _release_hold(self, task: str, worker: str) -> None:
        reservation = self.accounts.find(task)
        if reservation is not None and reservation.worker == worker:
            self.accounts.release(task)

    def _get_epoch(self, worker: str) -> int | None:
        return self._ownership.get_epoch(f"worker/{worker}")


def _refuse(
    item: jobs.TaskAttempt | jobs.ReservationRequest, code: str
) -> jobs.Refusal:
    return jobs.Refusal(task=item["task"], attempt=item["attempt"], code=code)
