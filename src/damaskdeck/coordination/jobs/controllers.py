"""Everything that the keeper of one ledger does, put together."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.coordination.jobs.dispatch import Dispatcher
from damaskdeck.coordination.jobs.keys import Keys
from damaskdeck.coordination.jobs.launches import Launcher
from damaskdeck.coordination.jobs.ownedledger import OwnedLedger
from damaskdeck.coordination.jobs.retention import Retention
from damaskdeck.coordination.jobs.services import Services
from damaskdeck.coordination.jobs.shapes import Shapes
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
    """One kept ledger with its queue, its launches and its follow-ups.

    :param ledger: not opened yet.
    :param watch: called with the task that places once it has ended.
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
        self.shapes = Shapes()
        self.quotas = Quotas()
        self.keys = Keys(ledger)
        self.tracker = TaskTracker(
            ledger, ownership, peers, clock, lambda name: name in self.shapes.names
        )
        launcher = Launcher(ledger, ownership, peers, self.tracker.doubt)
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
        """Fence off earlier keepers and replay, then start to place."""
        self.set_workers(workers)
        for resource in self._configuration.list(Kind.TEAM):
            self.set_team(resource["metadata"]["name"], resource)
        started = self.ledger.get_time()
        if not await self.ledger.open():
            return
        took = timedelta(seconds=self.ledger.get_time() - started)
        _log.info("Keeps a ledger.", ledger=self.ledger.name, took=took)
        self._runner = asyncio.ensure_future(self._run())
        self._runner.add_done_callback(self._watch)

    async def close(self) -> None:
        """Stop placing and let the commits in progress end."""
        if self._runner is not None:
            self._runner.cancel()
        await self.ledger.close()

    def set_workers(self, workers: tuple[Instance, ...]) -> None:
        """Take over the platform's list of workers."""
        self.shapes.set_workers(workers)
        self.quotas.set_capacity(self.shapes.capacity)
        self.dispatcher.wake()

    def set_team(self, name: str, resource: Resource | None) -> None:
        """Take over a team's quota."""
        if resource is None:
            self.quotas.remove_quota(name)
            return
        spec: TeamSpec = resource.get("spec", {})
        weight = spec.get("weight", 1.0)
        self.quotas.set_quota(name, parse_size(spec["quota"]), weight)
        self.dispatcher.wake()

    async def _run(self) -> None:
        await self.tracker.check_all()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tracker.run())
            group.create_task(self.dispatcher.run())
            group.create_task(self.services.run())
            group.create_task(self._retention.run())
