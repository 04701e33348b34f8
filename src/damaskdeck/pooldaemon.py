"""The daemon on the users' platform.

It serves callers' queues and schedules their jobs on the workers of the pools.
"""

import asyncio
import signal
import sys
import uuid
from datetime import timedelta

from damaskdeck.clock import Clock, SystemClock, wait_for_event
from damaskdeck.coordination.pools.admission import DEFAULT_JOB_MEMORY, JOBS_SHARE
from damaskdeck.coordination.pools.authorization import CallAuthorizer
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.coordination.pools.delegatedcommits import DelegatingStore
from damaskdeck.coordination.pools.delegates import Delegates
from damaskdeck.coordination.pools.jobfrontend import JobFrontend
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.leases.outagegrants import OutageGrants
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.owner import OwnerDependencies, PoolOwner
from damaskdeck.coordination.pools.ownermonitor import OwnerMonitor
from damaskdeck.coordination.pools.status import PoolStatus, build_sections
from damaskdeck.coordination.pools.times import derive_times
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.workerfleet import FleetDependencies
from damaskdeck.delays import LoopDelay
from damaskdeck.errors import SettingsError
from damaskdeck.lines import LineHandler, LineWriter
from damaskdeck.logs import get_logger
from damaskdeck.looploads import LoadReporter, MeasuredSelector
from damaskdeck.platform import (
    NodeSettings,
    PlatformAdvisor,
    PlatformClient,
    PlatformQueues,
    PlatformRegistry,
    PlatformStore,
    PlatformWorkers,
    build_callers_app,
    load_node_settings,
)
from damaskdeck.priorities import PriorityLoop
from damaskdeck.state.jobrecords import MemberRecord
from damaskdeck.transport.api.server import HttpServer
from damaskdeck.transport.exporter import DeferredExporter
from damaskdeck.transport.listeners import format_address, open_listener
from damaskdeck.transport.peers import PeerNetwork

# Distinguishes incompatible versions. It needn't be secret, because only daemons of the
# same deployment can reach the internal ports.
PEER_TOKEN = "damaskdeck-pools-1"
# Longer than the platform keeps its own idle connections.
CALLER_KEEP_ALIVE = timedelta(seconds=75)
# Share of the grace period that is reserved for closing connections after callers have
# stopped sending requests.
CLOSING_GRACE_SHARE = 0.3
# The balancer checks once a second and acts on the second failed check.
BALANCER_DETECTION_TIME = timedelta(milliseconds=2300)
# The settings file may also change without SIGHUP.
SETTINGS_CHECK_INTERVAL = timedelta(seconds=2)
# Long enough for all daemons to be up after the whole system has started.
STRONGER_MEMBER_CHECK_INTERVAL = timedelta(seconds=3)
# Short, because the owner accepts no new jobs while it can't reach the store.
STORE_CHECK_INTERVAL = timedelta(milliseconds=100)
DRAIN_STEP_TIMEOUT = timedelta(milliseconds=800)

_log = get_logger("daemon")


class PoolDaemon:
    """Creates, connects and runs the components of one daemon on the platform.

    The addresses are ``IP:port`` and set by :meth:`start`.

    :ivar callers_address: serves callers.
    :ivar ready_address: serves the balancer's readiness checks.
    :ivar metrics_address: serves the metrics.

    :param selector: of the event loop that the daemon runs on.
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock, selector: MeasuredSelector
    ) -> None:
        self.settings = settings
        self.callers_address = self.ready_address = self.metrics_address = ""
        self._clock = clock
        self._times = derive_times(settings.bounds)
        self._loop_delay = LoopDelay()
        self._load_reporter = LoadReporter(selector, clock)
        memory = int(JOBS_SHARE * settings.memory)
        self._job_memory = memory or DEFAULT_JOB_MEMORY
        self._is_leaving = False
        self._stop_requested = asyncio.Event()
        self._settings_reload_requested = asyncio.Event()
        self._owner: PoolOwner | None = None
        self._owner_task: asyncio.Task[None] | None = None
        self._owner_failure: asyncio.Future[None] | None = None

    async def start(self) -> None:
        """Bind the addresses and create the components.

        :raises SettingsError: if an address is in use or isn't local.
        """
        settings, clock = self.settings, self._clock
        self._owner_failure = asyncio.get_running_loop().create_future()
        self._network = PeerNetwork(
            settings.instance,
            settings.host,
            settings.peer_port,
            PEER_TOKEN,
            clock,
            lambda name: self.leadership.find_address(name),
        )
        await self._network.start()
        self._client = PlatformClient(self._loop_delay)
        self._platform_store = PlatformStore(self._client, settings.store_address)
        self._advisor = PlatformAdvisor(self._client, settings.advisor_address)
        self._store = MonitoredStore(self._platform_store, clock, self._loop_delay)
        self.declarations = Declarations(
            PlatformQueues(self._store, settings.needs_keys),
            clock,
            self._times.keys_max_age,
            self._times.document_max_age,
            self._store.measure_silence,
        )
        self._authorizer = CallAuthorizer(self.declarations)
        member = MemberRecord(
            settings.instance,
            uuid.uuid4().hex,
            self._network.address,
            settings.zone,
            settings.power,
            clock.now().timestamp(),
        )
        self.leadership = Leadership(
            member, self._store, clock, self._times, self._begin_term, self._end_term
        )
        self.frontend = JobFrontend(
            settings.instance,
            self._store,
            self._network,
            self.leadership,
            self._advisor,
            clock,
            self._times,
            self.declarations,
            lambda: self._owner,
            lambda epoch: self.owner_monitor.record_heartbeat(epoch),
            self._job_memory,
        )
        self.owner_monitor = OwnerMonitor(
            settings.instance,
            self._network,
            self.leadership,
            clock,
            self.get_epoch,
        )
        self._outage_grants = OutageGrants(
            self._network, self.leadership, clock, self._times
        )
        self._delegating_store = DelegatingStore(
            self._store,
            self._network,
            clock,
            Delegates(settings.instance, self.leadership, clock),
        )
        self._server = self._build_server()
        await self._server.start()
        _log.info(
            "Listening.",
            instance=settings.instance,
            incarnation=member.incarnation,
            api=self.callers_address,
            ready=self.ready_address,
            metrics=self.metrics_address,
            peers=self._network.address,
        )
        if settings.unserved_duties:
            _log.error(
                "The platform requests duties that are not supported.",
                code="unsupported",
                duties=settings.unserved_duties,
            )

    def _build_server(self) -> HttpServer:
        settings = self.settings
        addresses = (
            settings.callers_address,
            settings.ready_address,
            f"{settings.host}:{settings.metrics_port}",
        )
        listeners = []
        for address in addresses:
            host, _, port = address.rpartition(":")
            listeners.append(open_listener(host, int(port)))
        bound_addresses = tuple(map(format_address, listeners))
        self.callers_address, self.ready_address, self.metrics_address = bound_addresses
        app = build_callers_app(
            self.frontend,
            self._authorizer,
            self.is_ready,
            lambda: not self.is_ready(),
            DeferredExporter(lambda: self._load_reporter.is_saturated).read,
            self.read_status,
            listeners[1].getsockname()[1],
            listeners[2].getsockname()[1],
        )
        return HttpServer(
            app, listeners, self.settings.bounds.grace / 3, CALLER_KEEP_ALIVE
        )

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this daemon."""
        is_synced = self.declarations.table is not None and self.leadership.is_synced
        is_cut_off = self._store.measure_outage() > self._times.unready_after
        can_verify_keys = self.declarations.can_verify_keys
        return is_synced and can_verify_keys and not is_cut_off and not self._is_leaving

    def get_epoch(self) -> int:
        """Return the epoch of this daemon's term, or 0 if it may not decide."""
        owner = self._owner
        is_deciding = owner is not None and owner.may_decide()
        return owner.term.epoch if owner is not None and is_deciding else 0

    def read_status(self) -> PoolStatus:
        """Return the status of the pools, or where their owner serves it.

        Daemons serve their metrics on the same port of all instances.
        """
        recorded, owner = self.leadership.owner, self._owner
        name = recorded.instance if recorded is not None else ""
        host = (self.leadership.find_address(name) or "").rpartition(":")[0]
        port = self.metrics_address.rpartition(":")[2]
        status: PoolStatus = {
            "instance": self.settings.instance,
            "owner": name,
            "owner_address": f"{host}:{port}" if host else "",
        }
        if owner is not None and owner.is_loaded and owner.may_decide():
            status["epoch"] = owner.term.epoch
            status["sections"] = build_sections(owner)
        return status

    def _describe_load(self) -> dict[str, object]:
        """Return what a line on a saturated event loop tells of the owner's work."""
        owner = self._owner
        if owner is None or not owner.is_loaded:
            return {"is_owner": owner is not None}
        return {"is_owner": True, **owner.describe_load()}

    # Owner term --------------------------------------------------------------

    def _begin_term(self, term: OwnerTerm) -> None:
        owner = PoolOwner(
            term,
            OwnerDependencies(
                FleetDependencies(
                    self.leadership,
                    self._store,
                    PlatformWorkers(self._client, self.settings.descriptors),
                    PlatformRegistry(self._store),
                    self._clock,
                    self._times,
                    self.declarations.is_pool_declared,
                    self._loop_delay,
                    self._store.write_times.find_write_time,
                ),
                self._network,
                self.declarations,
                self._delegating_store,
                self._store,
                self._job_memory,
                self.settings.value_limit,
            ),
        )
        self._owner = owner
        self._owner_task = asyncio.ensure_future(owner.run())
        self._owner_task.add_done_callback(self._on_owner_task_done)

    def _on_owner_task_done(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if (
            error is not None
            and self._owner_failure is not None
            and not self._owner_failure.done()
        ):
            self._owner_failure.set_exception(error)

    def _end_term(self) -> None:
        self._owner = None
        if self._owner_task is not None:
            self._owner_task.cancel()
            self._owner_task = None

    async def _hand_over_to_stronger_member(self) -> None:
        """Hand over to a more powerful instance once it has been up for a while."""
        while True:
            await self._clock.sleep(STRONGER_MEMBER_CHECK_INTERVAL)
            owner, successor = self._owner, self.leadership.find_stronger_member()
            if owner is not None and successor and not self._is_leaving:
                _log.info("Handing over to a stronger instance.", heir=successor)
                await self._run_drain_step(owner.drain())
                await self._run_drain_step(
                    self.leadership.release(owner.fence, is_leaving=False)
                )

    async def _hand_over_when_store_unavailable(self) -> None:
        """Hand over to a daemon that can reach the store once this one can't."""
        while True:
            await self._store.wait_until_failing()
            await self._clock.sleep(STORE_CHECK_INTERVAL)
            owner = self._owner
            is_store_unavailable = (
                self._store.measure_outage() > self._times.unready_after
            )
            if (
                owner is None
                or not is_store_unavailable
                or not self._delegating_store.is_delegating
            ):
                continue
            _log.info("Handing over, as the store is unavailable to this daemon.")
            await self._run_drain_step(owner.drain())
            await self._run_drain_step(
                self.leadership.release_via_delegate(
                    owner.fence, self._delegating_store.commit_via_delegate
                )
            )

    # Settings ----------------------------------------------------------------

    def request_settings_reload(self) -> None:
        """Check the settings file for changes now rather than at the next interval."""
        self._settings_reload_requested.set()

    async def _watch_settings(self) -> None:
        """Apply changes of the settings file while the process runs.

        Only the addresses of the platform's services take effect.
        """
        while True:
            await wait_for_event(
                self._settings_reload_requested, SETTINGS_CHECK_INTERVAL, self._clock
            )
            self._settings_reload_requested.clear()
            try:
                settings = load_node_settings()
            except SettingsError as error:
                _log.error("The settings can't be used.", error=str(error))
                continue
            if settings != self.settings:
                self._apply_settings(settings)

    def _apply_settings(self, settings: NodeSettings) -> None:
        self._platform_store.set_address(settings.store_address)
        self._advisor.set_address(settings.advisor_address)
        old, self.settings = self.settings, settings
        changed = [
            name
            for name, before, after in zip(settings._fields, old, settings, strict=True)
            if before != after
        ]
        _log.info("Settings have changed.", changed=changed)

    # Lifecycle ---------------------------------------------------------------

    def request_stop(self) -> None:
        """Make :meth:`run` shut down gracefully."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until a stop is requested, then shut down gracefully.

        This method may be called only once.

        :raises Exception: that of the first component that failed.
        """
        assert self._owner_failure is not None
        tasks = [
            asyncio.ensure_future(self.leadership.run()),
            asyncio.ensure_future(self.declarations.run()),
            asyncio.ensure_future(self.owner_monitor.run()),
            asyncio.ensure_future(self._outage_grants.run()),
            asyncio.ensure_future(
                self._loop_delay.run(self._clock, lambda: self._owner is not None)
            ),
            asyncio.ensure_future(self._load_reporter.run(self._describe_load)),
            asyncio.ensure_future(self._watch_settings()),
            asyncio.ensure_future(self._hand_over_to_stronger_member()),
            asyncio.ensure_future(self._hand_over_when_store_unavailable()),
        ]
        stop = asyncio.ensure_future(self._stop_requested.wait())
        try:
            waited = {stop, self._owner_failure, *tasks}
            done, _ = await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            for completed in done:
                completed.result()
            await self._shut_down()
        finally:
            self._end_term()
            for task in (stop, *tasks):
                task.cancel()
            await asyncio.gather(stop, *tasks, return_exceptions=True)
            await self._server.stop()
            await self._network.close()
            await self._client.close()
            _log.info("Stopped.")

    async def _shut_down(self) -> None:
        started_at = self._clock.monotonic()
        self._is_leaving = True
        _log.info("Shutting down.", is_owner=self._owner is not None)
        owner = self._owner
        if owner is not None:
            await self._run_drain_step(owner.drain())
        await self._run_drain_step(self.leadership.release(owner.fence if owner else 0))
        elapsed = self._clock.monotonic() - started_at
        latest = self.settings.bounds.grace * (1 - CLOSING_GRACE_SHARE)
        remaining = min(BALANCER_DETECTION_TIME, latest) - elapsed
        if remaining > timedelta():
            await self._clock.sleep(remaining)
        await self._run_drain_step(self._leave())
        await self._server.stop()

    async def _leave(self) -> None:
        if await self.leadership.leave():
            await self._outage_grants.announce_departure()

    async def _run_drain_step(self, step) -> None:
        try:
            async with asyncio.timeout(DRAIN_STEP_TIMEOUT.total_seconds()):
                await step
        except TimeoutError:
            _log.warn("A step of the shutdown took too long.")


async def serve_pools(settings: NodeSettings, selector: MeasuredSelector) -> None:
    """Run a daemon on the platform until SIGTERM or SIGINT stops it."""
    daemon = PoolDaemon(settings, SystemClock(), selector)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.request_settings_reload)
    await daemon.start()
    await daemon.run()


def run_on_platform() -> None:
    """Load the platform's settings file and run the daemon.

    :raises SettingsError: if the file can't be read or is invalid.
    """
    settings = load_node_settings()
    handler = LineHandler(LineWriter(sys.stdout.fileno()), settings.instance, "info")
    handler.push_application()
    selector = MeasuredSelector()
    try:
        with asyncio.Runner(loop_factory=lambda: PriorityLoop(selector)) as runner:
            runner.run(serve_pools(settings, selector))
    finally:
        handler.flush()
