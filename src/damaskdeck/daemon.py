"""The daemon, of which one process runs on each entry instance."""

import asyncio
import signal
import uuid
from collections.abc import Coroutine, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from damaskdeck.clock import Clock, SystemClock
from damaskdeck.coordination.configuration.relay import ConfigurationRelay
from damaskdeck.coordination.jobs.ledgerowner import LedgerOwner
from damaskdeck.coordination.members.membership import Membership
from damaskdeck.coordination.members.ownership import StoreOwnership
from damaskdeck.coordination.requests.routing import Router
from damaskdeck.coordination.workers.fleet import Fleet
from damaskdeck.coordination.workers.hosting import WorkerHost
from damaskdeck.coordination.workers.observations import Observer
from damaskdeck.logs import get_logger, install_handler
from damaskdeck.protocol.members import Member
from damaskdeck.protocol.ports import (
    InstanceList,
    InstanceRole,
    Store,
    TargetPort,
    WorkerPort,
)
from damaskdeck.protocol.resources import POLICY_NAME, Kind, Resource
from damaskdeck.settings import Settings, load_settings
from damaskdeck.state.changehistory import ChangeHistory
from damaskdeck.state.configuration import Configuration
from damaskdeck.state.names import format_ledger_name
from damaskdeck.transport.api.app import build_app
from damaskdeck.transport.api.credentials import Credentials
from damaskdeck.transport.api.server import ApiServer
from damaskdeck.transport.instances import HttpInstanceList
from damaskdeck.transport.listeners import format_address, open_listener
from damaskdeck.transport.peers import PeerNetwork
from damaskdeck.transport.store import HttpStore
from damaskdeck.transport.targets import HttpTargets
from damaskdeck.transport.workers import HttpWorkers

# Limit on each step of the shutdown, so that an unreachable store can't delay the exit.
SHUTDOWN_STEP_TIMEOUT = timedelta(seconds=5)

_log = get_logger("daemon")


class Platform(NamedTuple):
    """Adapters to the platform's services."""

    store: Store
    instances: InstanceList
    workers: WorkerPort
    targets: TargetPort


class Daemon:
    """Creates, connects and runs the components of one daemon.

    :param platform: adapters to the platform; adapters over HTTP if ``None``.
    :ivar api_address: ``IP:port`` of the API, set by :meth:`start`.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: Platform | None = None,
    ) -> None:
        self.settings = settings
        self.api_address = ""
        self._clock = clock
        self._platform = platform or connect_platform(settings)
        self._is_draining = False
        self._stop_requested = asyncio.Event()

    async def start(self) -> None:
        """Bind the addresses and create the components.

        :raises SettingsError: if an address is in use or isn't local.
        """
        settings, clock = self.settings, self._clock
        self._network = PeerNetwork(
            settings.name,
            settings.host,
            settings.peer_port,
            settings.peer_token,
            clock,
            lambda name: self.membership.find_address(name),
        )
        listener = open_listener(settings.host, settings.api_port)
        self.api_address = format_address(listener)
        await self._network.start()
        self._build_coordination()
        self._build_services()
        self._server = ApiServer(
            self._build_app(),
            settings.host,
            settings.api_port,
            settings.grace,
            listener,
        )
        await self._server.start()
        _log.info("Listening.", api=self.api_address, peers=self._network.address)

    def _build_coordination(self) -> None:
        settings, clock, network = self.settings, self._clock, self._network
        store = self._platform.store
        member = Member(
            settings.name,
            settings.zone,
            settings.region,
            network.address,
            self.api_address,
            uuid.uuid4().hex,
        )
        self.membership = Membership(
            member,
            network,
            store,
            clock,
            settings.seeds,
            heartbeat_interval=settings.heartbeat_interval,
            member_lease=settings.member_lease,
        )
        self.ownership = StoreOwnership(self.membership, network, store, clock)
        self.configuration = Configuration(ChangeHistory())
        self.relay = ConfigurationRelay(
            self.configuration, self.membership, network, store, clock
        )
        self.fleet = Fleet(self._platform.instances, clock)

    def _build_services(self) -> None:
        settings, clock, network = self.settings, self._clock, self._network
        shared = (self.membership, self.ownership, network)
        self.ledger_owner = LedgerOwner(
            *shared,
            self._platform.store,
            self.configuration,
            self.fleet,
            clock,
            settings.ledger_count,
        )
        self.host = WorkerHost(
            *shared,
            self._platform.workers,
            self.fleet,
            clock,
            configuration=self.configuration,
            member_lease=settings.member_lease,
            lease=settings.task_lease,
            renewal=settings.task_lease / 3,
        )
        self.router = Router(
            *shared,
            self._platform.targets,
            self.fleet,
            clock,
            self.ledger_owner,
            max_call_time=settings.request_timeout,
            queue_limit=settings.queue_limit,
        )
        self.observer = Observer(*shared, self.fleet, self.host)
        self._subscribe_to_changes()

    def _subscribe_to_changes(self) -> None:
        ledgers = tuple(map(format_ledger_name, range(self.settings.ledger_count)))
        self.ownership.set_shards("ledger", ledgers)
        self.fleet.on_change(lambda changes: self._update_shards())
        self.configuration.subscribe(self._apply_policy)

    def _build_app(self) -> Any:
        settings = self.settings
        return build_app(
            self.configuration,
            self.relay,
            self.router,
            self.ledger_owner,
            self.observer,
            Credentials(settings.operator_token, settings.team_tokens),
            self._clock,
            self.read_status,
            self.is_ready,
            settings.body_limit,
            settings.request_timeout,
        )

    def _update_shards(self) -> None:
        for scope, role in (
            ("target", InstanceRole.TARGET),
            ("worker", InstanceRole.WORKER),
        ):
            listed = self.fleet.list(role, self.settings.zone)
            self.ownership.set_shards(scope, tuple(i.name for i in listed))

    def _apply_policy(self, kind: Kind, name: str, resource: Resource | None) -> None:
        if kind is Kind.POLICY and name == POLICY_NAME:
            spec = resource["spec"] if resource else {}
            self.fleet.set_drained(frozenset(spec.get("drained", ())))

    def is_ready(self) -> bool:
        """Return whether the balancer may send requests to this daemon."""
        is_fleet_known = self.fleet.last_listed_at is not None
        return self.relay.is_ready and is_fleet_known and not self._is_draining

    def read_status(self) -> Mapping[str, Any]:
        """Return this daemon's part of the response to ``GET /v1/status``."""
        owned = {
            scope: list(self.ownership.list_owned(scope))
            for scope in ("ledger", "target", "worker")
        }
        members = [m._asdict() for m in self.membership.list_live()]
        return {
            "instance": self.settings.name,
            "zone": self.settings.zone,
            "draining": self._is_draining,
            "members": members,
            "owned": owned,
        }

    def request_stop(self) -> None:
        """Make :meth:`run` shut down gracefully."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until a stop is requested, then shut down gracefully.

        This method may be called only once.

        Guarantee: "A graceful shutdown of an instance or process cuts off no
        request in progress."

        :raises Exception: that of the first component that failed; in this case
            nothing is drained.
        """
        components = [self.fleet, self.membership, self.ownership, self.relay]
        components += [self.ledger_owner, self.host, self.router]
        tasks = [asyncio.ensure_future(component.run()) for component in components]
        stop = asyncio.ensure_future(self._stop_requested.wait())
        try:
            await asyncio.wait({stop, *tasks}, return_when=asyncio.FIRST_COMPLETED)
            failed = [task for task in tasks if task.done()]
            for task in failed:
                task.result()
            await self._shut_down()
        finally:
            for task in (stop, *tasks):
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close()

    async def _shut_down(self) -> None:
        self._is_draining = True
        _log.info("Shutting down.", grace=self.settings.grace.total_seconds())
        await self._clock.sleep(self.settings.drain_delay)
        await self._run_shutdown_step(
            "requests", self.router.drain(), self.settings.grace
        )
        await self._run_shutdown_step(
            "handover", self.ownership.drain(), SHUTDOWN_STEP_TIMEOUT
        )
        await self._run_shutdown_step(
            "ledgers", self.ledger_owner.close(), SHUTDOWN_STEP_TIMEOUT
        )
        await self._run_shutdown_step(
            "leave", self.membership.leave(), SHUTDOWN_STEP_TIMEOUT
        )
        await self._server.stop()

    async def _run_shutdown_step(
        self, step: str, work: Coroutine[Any, Any, None], limit: timedelta
    ) -> None:
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await work
        except TimeoutError:
            _log.warn("A step of the shutdown took too long.", step=step)

    async def _close(self) -> None:
        await self._server.stop()
        await self._network.close()
        for adapter in self._platform:
            close = getattr(adapter, "close", None)
            if close is not None:
                await close()
        _log.info("Stopped.")


def connect_platform(settings: Settings) -> Platform:
    """Return adapters that access the platform over HTTP."""
    name = settings.name
    return Platform(
        HttpStore(settings.store_address, name),
        HttpInstanceList(settings.instances_address, name),
        HttpWorkers(name),
        HttpTargets(name),
    )


async def serve(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT stops it."""
    daemon = Daemon(settings, SystemClock())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.request_stop)
    await daemon.start()
    await daemon.run()


def run_with_settings(path: str) -> None:
    """Run the daemon with a settings file in YAML.

    :raises SettingsError: if the file can't be read or is invalid.
    """
    settings = load_settings(path)
    install_handler(settings.log_style, settings.log_level)
    asyncio.run(serve(settings))
