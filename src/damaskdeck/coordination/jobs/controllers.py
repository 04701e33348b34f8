"""The controller of one owned ledger, which combines all of its components."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.dispatch import Dispatcher
from damaskdeck.coordination.jobs.keys import KeyRegistry
from damaskdeck.coordination.jobs.launches import Launcher
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.retention import Retention
from damaskdeck.coordination.jobs.services import Services
from damaskdeck.coordination.jobs.shapes import WorkerShapes
from damaskdeck.coordination.jobs.submissions import Submissions
from damaskdeck.coordination.jobs.tracker import TaskTracker
from damaskdeck.coordination.queues.queueing import JobQueue
from damaskdeck.coordination.workers.owners import OwnerSelector
from damaskdeck.logs import get_logger
from damaskdeck.protocol.handlers import ConfigurationReader
from damaskdeck.protocol.members import Members, Ownership
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.ports import Instance
from damaskdeck.protocol.resources import (
    Kind,
    Resource,
    TeamSpec,
    parse_size,
)
from damaskdeck.state.quotas import Quotas

_log = get_logger("keeper")


class LedgerController:
    """Runs one owned ledger with its queue, launches and task tracking.

    :param ledger: the ledger, which isn't open yet.
    :param watch: called with the background task of the controller, and with each
        launch, once it ends.
    :param ledger_count: number of ledgers of the deployment.
    """

    def __init__(
        self,
        ledger: OwnedLedger,
        members: Members,
        ownership: Ownership,
        peers: Peers,
        configuration: ConfigurationReader,
        clock: Clock,
        watch: Callable[[asyncio.Task[None]], None],
        ledger_count: int,
    ) -> None:
        self.ledger = ledger
        self._watch = watch
        self.shapes = WorkerShapes()
        self.quotas = Quotas()
        self.keys = KeyRegistry(ledger)
        self.tracker = TaskTracker(
            ledger, ownership, peers, clock, lambda name: name in self.shapes.names
        )
        launcher = Launcher(ledger, ownership, peers, self.tracker.mark_unconfirmed)
        queue = JobQueue(clock, self.quotas)
        owners = OwnerSelector(members, clock)
        self.dispatcher = Dispatcher(
            ledger, owners, self.shapes, launcher, queue, clock, watch
        )
        self.submissions = Submissions(
            ledger, configuration, self.shapes.find_impossible, self.dispatcher.explain
        )
        self.services = Services(ledger, configuration, clock, ledger_count)
        self._retention = Retention(ledger, clock)
        self._configuration = configuration
        self._runner: asyncio.Task[None] | None = None

    async def open(self, workers: tuple[Instance, ...]) -> None:
        """Fence earlier owners, replay the ledger and start to place tasks."""
        self.set_workers(workers)
        for resource in self._configuration.list(Kind.TEAM):
            self.set_team(resource["metadata"]["name"], resource)
        started_at = self.ledger.get_time()
        if not await self.ledger.open():
            return
        duration = timedelta(seconds=self.ledger.get_time() - started_at)
        _log.info("Opened a ledger.", ledger=self.ledger.name, took=duration)
        self._runner = asyncio.ensure_future(self._run())
        self._runner.add_done_callback(self._watch)

    async def close(self) -> None:
        """Stop placing tasks and wait for the commits in progress."""
        if self._runner is not None:
            self._runner.cancel()
        await self.ledger.close()

    def set_workers(self, workers: tuple[Instance, ...]) -> None:
        """Replace the list of workers by the platform's current one."""
        self.shapes.set_workers(workers)
        self.quotas.set_capacity(self.shapes.capacity)
        self.dispatcher.request_pass()

    def set_team(self, name: str, resource: Resource | None) -> None:
        """Set the quota of a team, or remove it if ``resource`` is ``None``."""
        if resource is None:
            self.quotas.remove_quota(name)
            return
        spec: TeamSpec = resource.get("spec", {})
        weight = spec.get("weight", 1.0)
        self.quotas.set_quota(name, parse_size(spec["quota"]), weight)
        self.dispatcher.request_pass()

    async def _run(self) -> None:
        await self.tracker.check_all()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tracker.run())
            group.create_task(self.dispatcher.run())
            group.create_task(self.services.run())
            group.create_task(self._retention.run())
