"""Hosts workers: the one place that reserves their room and talks to them."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, Protocol

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.places.allocator import CapacityAllocator, Hold
from damaskdeck.coordination.workers.fences import Fences
from damaskdeck.coordination.workers.fleet import Change
from damaskdeck.coordination.workers.outbox import Outbox
from damaskdeck.coordination.workers.rosters import OPEN_STATES
from damaskdeck.coordination.workers.sessions import Session
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
    """The workers that the platform lists."""

    def get(self, name: str) -> Instance | None:
        """Return a listed instance."""

    def on_change(self, handler: Any) -> None:
        """Call ``handler(changes)`` when the list changes."""


class WorkerHost:
    """Owner of some workers of its availability zone.

    Promise: "No instance is given more work than its processors, memory, or
    accelerators can hold": only the owner reserves, in one account.

    :param workers: the port to the workers.
    :param configuration: has the policy, whose weights placement goes by; the
        scores that it doesn't name keep their weights of the defaults.
    :param checks_epochs: whether workers refuse calls of an older epoch; if
        not, a new owner waits out the old one's lease before it places.
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
        self.sessions: dict[str, Session] = {}
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
        self._outbox = Outbox(ownership, peers, clock, self._take_noted)
        self._runners: dict[str, asyncio.Task[None]] = {}
        self._supervisor = Supervisor()
        self._summary = b""
        self._is_changed = True
        self.accounts.subscribe(self._note_change)
        if configuration is not None:
            policy = configuration.get(Kind.POLICY, POLICY_NAME)
            self._take_resource(Kind.POLICY, POLICY_NAME, policy)
            configuration.subscribe(self._take_resource)
        self._fences = Fences(ownership)
        ownership.on_gain("worker", self._gain)
        ownership.on_loss("worker", self._lose)
        fleet.on_change(self._take_fleet)
        peers.register(jobs.ReserveTasks, self._reserve)
        peers.register(jobs.StartTasks, self._start)
        peers.register(jobs.ReleaseTasks, self._release)
        peers.register(jobs.StopTasks, self._stop)
        peers.register(jobs.CheckTasks, self._check)

    async def run(self) -> None:
        """Send news and publish free room until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._outbox.run())
                group.create_task(self._publish_all())
                group.create_task(self._supervisor.run())
        finally:
            for runner in self._runners.values():
                runner.cancel()

    # Gains and losses ------------------------------------------------------------

    async def _gain(self, shard: str, epoch: int) -> None:
        name = shard.partition("/")[2]
        worker = self._fleet.get(name)
        if worker is None:
            _log.warn("Gained a worker that isn't listed yet.", worker=name)
            self._unlisted[name] = epoch
        else:
            self._open_session(worker, epoch)

    def _open_session(self, worker: Instance, epoch: int) -> None:
        name = worker.name
        shard = f"worker/{name}"
        self._end_session(name)
        self.accounts.set_worker(worker)
        self.accounts.close_worker(name, "inventory")
        session = Session(
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

    async def _lose(self, shard: str, epoch: int) -> None:
        name = shard.partition("/")[2]
        if self._unlisted.get(name) == epoch:
            del self._unlisted[name]
        session = self.sessions.get(name)
        if session is None or session.epoch != epoch:
            return
        self._end_session(name)
        session.refuse_waiting()
        if self._fleet.get(name) is None:
            self._start_runner(name, session.abandon())

    def _start_runner(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        runner = self._runners[name] = asyncio.ensure_future(work)
        runner.add_done_callback(self._supervisor.watch)

    def _take_fleet(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            worker = change.after
            if worker is None:
                continue
            if worker.name in self._unlisted:
                self._open_session(worker, self._unlisted.pop(worker.name))
            elif worker.name in self.sessions:
                self.sessions[worker.name].worker = worker
                self.accounts.set_worker(worker)

    def _take_resource(self, kind: Kind, name: str, resource: Resource | None) -> None:
        """Take over the policy's weights, or the defaults when it was deleted."""
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
            self._clear_leaving()
            if self._is_changed:
                self._is_changed = False
                summary = summarize_workers(self.accounts, self._members.self.zone)
                self._summary = encode_message(summary)
                self._tell_packing()
            self._members.publish(TOPIC, self._summary)
            await self._clock.sleep(PUBLISH_INTERVAL)

    def _tell_packing(self) -> None:
        totals = self.accounts.totals
        for name, size, free in zip(
            Size._fields, totals.size, totals.free, strict=True
        ):
            set_packing(name, 1 - free / size if size else 0.0)

    def _note_change(self, account: WorkerAccount, is_present: bool) -> None:
        self._is_changed = True

    def _clear_leaving(self) -> None:
        """Move what can move off workers that are leaving; the rest may end."""
        for name, session in self.sessions.items():
            if session.worker.state is not InstanceState.LEAVING:
                continue
            for task, checkpoint in self.allocator.list_movable(name):
                hosted = session.tasks.get(task)
                if hosted is not None and not hosted.cause:
                    session.orders.preempt(task, checkpoint, "worker_leaving")

    async def _take_noted(self, noted: jobs.TaskUpdatesReply) -> None:
        for attempt in noted["stop"]:
            session = self.sessions.get(attempt["worker"])
            if session is not None:
                session.orders.stop(attempt["task"], attempt["attempt"])
        for attempt in noted["noted"]:
            session = self.sessions.get(attempt["worker"])
            if session is not None:
                session.orders.forget(attempt["task"], attempt["attempt"])

    # Messages of keepers ---------------------------------------------------------

    async def _reserve(
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

    async def _start(self, _: str, message: jobs.StartTasks) -> jobs.TaskOrdersReply:
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

    async def _release(self, _: str, message: jobs.ReleaseTasks) -> None:
        for item in message["tasks"]:
            self.allocator.release_hold(item["task"])

    async def _stop(self, _: str, message: jobs.StopTasks) -> jobs.TaskOrdersReply:
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

    async def _check(self, _: str, message: jobs.CheckTasks) -> jobs.TaskUpdates | None:
        if not self._fences.admit(message["ledger"], message["epoch"]):
            return None
        found = [self._tell(item) for item in message["tasks"]]
        return jobs.TaskUpdates(ledger=message["ledger"], tasks=found)

    def _tell(self, item: jobs.TaskAttempt) -> jobs.TaskUpdate:
        task, attempt, worker = item["task"], item["attempt"], item["worker"]
        news = jobs.TaskUpdate(
            task=task, attempt=attempt, worker=worker, state="unsure"
        )
        session = self.sessions.get(worker)
        if session is None or self._get_epoch(worker) != session.epoch:
            return news
        hosted = session.roster.find(task, attempt)
        if hosted is not None:
            is_running = hosted.state == "running"
            news["state"] = "running" if is_running else "unsure"
            self.allocator.update_adopted(item)
        elif item.get("epoch") == session.epoch:
            self._fences.fence(task, attempt)
            self._drop_hold(task, worker)
            news["state"] = "unstarted"
        elif self._is_lost(session, item):
            news["state"] = "lost"
            news["code"] = "worker_lost"
        return news

    def _is_lost(self, session: Session, item: jobs.TaskAttempt) -> bool:
        """Tell whether an attempt under a former owner surely doesn't run.

        It takes an inventory sent after the question: a worker that restarted
        since the last one may have forgotten that it was fenced. Out of reach,
        an attempt that had started by the question is over once its lease must
        have lapsed; one that hadn't may start late.
        """
        now = self._clock.monotonic()
        started = item.get("started", False)
        asked = self._fences.note_question(item["task"], item["attempt"], started, now)
        if session.is_ready and session.inventoried >= asked:
            return True
        if not session.is_ready:
            return started and now - asked >= session.bound
        session.orders.take_inventory()
        return False

    def _drop_hold(self, task: str, worker: str) -> None:
        held = self.accounts.find(task)
        if held is not None and held.worker == worker:
            self.accounts.release(task)

    def _get_epoch(self, worker: str) -> int | None:
        return self._ownership.get_epoch(f"worker/{worker}")


def _refuse(
    item: jobs.TaskAttempt | jobs.ReservationRequest, code: str
) -> jobs.Refusal:
    return jobs.Refusal(task=item["task"], attempt=item["attempt"], code=code)
