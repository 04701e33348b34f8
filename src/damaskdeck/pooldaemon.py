"""The daemon on the users' platform: callers' queues and the pools behind them."""

import asyncio
import signal
import sys
import uuid
from datetime import timedelta

from damaskdeck.clock import Clock, SystemClock, wait_for_event
from damaskdeck.coordination.pools.authorization import CallAuthorizer
from damaskdeck.coordination.pools.declarations import Declarations
from damaskdeck.coordination.pools.delegatedcommits import DelegatingStore
from damaskdeck.coordination.pools.delegates import Delegates
from damaskdeck.coordination.pools.jobfrontend import JobFrontend
from damaskdeck.coordination.pools.leadership import Leadership
from damaskdeck.coordination.pools.monitoredstore import MonitoredStore
from damaskdeck.coordination.pools.owner import OwnerDependencies, PoolOwner
from damaskdeck.coordination.pools.ownermonitor import OwnerMonitor
from damaskdeck.coordination.pools.times import derive_times
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.coordination.pools.workerfleet import FleetDependencies
from damaskdeck.delays import LoopDelay
from damaskdeck.errors import SettingsError
from damaskdeck.lines import LineHandler, LineWriter
from damaskdeck.logs import get_logger
from damaskdeck.platform import (
    NodeSettings,
    PlatformAdvisor,
    PlatformClient,
    PlatformQueues,
    PlatformRegistry,
    PlatformStore,
    PlatformWorkers,
    build_callers_app,
    load_node,
)
from damaskdeck.state.jobrecords import MemberRecord
from damaskdeck.transport.api.server import HttpServer
from damaskdeck.transport.exporter import install_exporter, read_metrics
from damaskdeck.transport.listeners import format_address, open_listener
from damaskdeck.transport.peers import PeerNetwork

# Daemons of one deployment alone reach the internal ports; it tells versions apart.
PEER_TOKEN = "damaskdeck-pools-1"
# Callers' idle channels stay open for longer than the platform keeps its own.
CALLER_KEEP_ALIVE = timedelta(seconds=75)
# What of the grace is left for closing when callers have stopped coming.
CLOSING_SHARE = 0.3
# The balancer asks once a second and believes the second miss.
BALANCER_DELAY = timedelta(milliseconds=2300)
# The settings file may change without a signal.
SETTINGS_INTERVAL = timedelta(seconds=2)
# Long enough for all to be up after a start of the whole system.
STRENGTH_INTERVAL = timedelta(seconds=3)
# Each tenth of a second without the store is one in which nothing new is taken in.
AWAY_INTERVAL = timedelta(milliseconds=100)
DRAIN_LIMIT = timedelta(milliseconds=800)

_log = get_logger("daemon")


class PoolDaemon:
    """All parts of one daemon on the platform, put together.

    :ivar callers_address: where callers connect, once :meth:`start` has returned.
    :ivar ready_address: where the balancer asks whether callers may.
    :ivar metrics_address: where the metrics are read.
    """

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self.settings = settings
        self.callers_address = self.ready_address = self.metrics_address = ""
        self._clock = clock
        self._times = derive_times(settings.bounds)
        self._delay = LoopDelay()
        self._is_leaving = False
        self._stop = asyncio.Event()
        self._may_have_changed = asyncio.Event()
        self._owner: PoolOwner | None = None
        self._owner_task: asyncio.Task[None] | None = None
        self._failed: asyncio.Future[None] | None = None

    async def start(self) -> None:
        """Bind the addresses and put the parts together.

        :raises SettingsError: when an address is taken or isn't of this machine.
        """
        settings, clock = self.settings, self._clock
        self._failed = asyncio.get_running_loop().create_future()
        self._network = PeerNetwork(
            settings.instance,
            settings.host,
            settings.peer_port,
            PEER_TOKEN,
            clock,
            lambda name: self.leadership.find_address(name),
        )
        await self._network.start()
        self._client = PlatformClient()
        self._platform_store = PlatformStore(self._client, settings.store_address)
        self._advisor = PlatformAdvisor(self._client, settings.advisor_address)
        self._store = MonitoredStore(self._platform_store, clock)
        self.declarations = Declarations(
            PlatformQueues(self._store, settings.needs_keys),
            clock,
            self._times.keys_max_age,
            self._times.document_max_age,
            self._store.measure_silence,
        )
        self._admission = CallAuthorizer(self.declarations)
        member = MemberRecord(
            settings.instance,
            uuid.uuid4().hex,
            self._network.address,
            settings.zone,
            settings.power,
            clock.now().timestamp(),
        )
        self.leadership = Leadership(
            member, self._store, clock, self._times, self._begin_mandate, self._end
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
            lambda epoch: self.watch.record_heartbeat(epoch),
        )
        self.watch = OwnerMonitor(
            settings.instance,
            self._network,
            self.leadership,
            clock,
            self.get_epoch,
        )
        self._commits = DelegatingStore(
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
                "The platform asks for duties that are not served.",
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
        shown = tuple(map(format_address, listeners))
        self.callers_address, self.ready_address, self.metrics_address = shown
        app = build_callers_app(
            self.frontend,
            self._admission,
            self.is_ready,
            lambda: not self.is_ready(),
            read_metrics,
            listeners[1].getsockname()[1],
            listeners[2].getsockname()[1],
        )
        return HttpServer(
            app, listeners, self.settings.bounds.grace / 3, CALLER_KEEP_ALIVE
        )

    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        is_informed = self.declarations.table is not None and self.leadership.is_synced
        is_cut_off = self._store.measure_outage() > self._times.unready_after
        is_sure = self.declarations.can_verify_keys
        return is_informed and is_sure and not is_cut_off and not self._is_leaving

    def get_epoch(self) -> int:
        """Return the epoch that this daemon decides under, 0 if it doesn't."""
        owner = self._owner
        is_deciding = owner is not None and owner.may_decide()
        return owner.term.epoch if owner is not None and is_deciding else 0

    # Mandate -----------------------------------------------------------------

    def _begin_mandate(self, term: OwnerTerm) -> None:
        owner = PoolOwner(
            term,
            OwnerDependencies(
                FleetDependencies(
                    self.leadership,
                    self._store,
                    PlatformWorkers(
                        self._client, self._delay, self.settings.descriptors
                    ),
                    PlatformRegistry(self._store),
                    self._clock,
                    self._times,
                    self.declarations.is_pool_declared,
                    self._delay,
                    self._store.write_times.find_write_time,
                ),
                self._network,
                self.declarations,
                self._commits,
            ),
        )
        self._owner = owner
        self._owner_task = asyncio.ensure_future(owner.run())
        self._owner_task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None and self._failed is not None and not self._failed.done():
            self._failed.set_exception(error)

    def _end(self) -> None:
        self._owner = None
        if self._owner_task is not None:
            self._owner_task.cancel()
            self._owner_task = None

    async def _yield_to_strength(self) -> None:
        """Hand over to a stronger instance once it has been up for a while."""
        while True:
            await self._clock.sleep(STRENGTH_INTERVAL)
            owner, successor = self._owner, self.leadership.find_stronger_member()
            if owner is not None and successor and not self._is_leaving:
                _log.info("Handing over to a stronger instance.", heir=successor)
                await self._finish(owner.drain())
                await self._finish(
                    self.leadership.release(owner.fence, is_leaving=False)
                )

    async def _yield_when_turned_away(self) -> None:
        """Hand over to a daemon that the store answers, once it turns this one away."""
        while True:
            await self._clock.sleep(AWAY_INTERVAL)
            owner = self._owner
            is_away = self._store.measure_outage() > self._times.unready_after
            if owner is None or not is_away or not self._commits.is_delegating:
                continue
            _log.info("Handing over, as the store turns this daemon away.")
            await self._finish(owner.drain())
            await self._finish(
                self.leadership.release_via_delegate(
                    owner.fence, self._commits.commit_via_delegate
                )
            )

    # Settings ----------------------------------------------------------------

    def note_settings(self) -> None:
        """Look at the settings file soon; it says that it has changed."""
        self._may_have_changed.set()

    async def _follow_settings(self) -> None:
        """Take over what may change while the process runs: addresses."""
        while True:
            await wait_for_event(self._may_have_changed, SETTINGS_INTERVAL, self._clock)
            self._may_have_changed.clear()
            try:
                settings = load_node()
            except SettingsError as error:
                _log.error("The settings can't be used.", error=str(error))
                continue
            if settings != self.settings:
                self._apply(settings)

    def _apply(self, settings: NodeSettings) -> None:
        self._platform_store.move(settings.store_address)
        self._advisor.move(settings.advisor_address)
        old, self.settings = self.settings, settings
        changed = [
            name
            for name, before, now in zip(settings._fields, old, settings, strict=True)
            if before != now
        ]
        _log.info("Settings have changed.", changed=changed)

    # Life --------------------------------------------------------------------

    def request_stop(self) -> None:
        """Let :meth:`run` shut down gracefully."""
        self._stop.set()

    async def run(self) -> None:
        """Run until asked to stop, then shut down gracefully; call it once.

        :raises Exception: that of the first part that failed.
        """
        assert self._failed is not None
        parts = [
            asyncio.ensure_future(self.leadership.run()),
            asyncio.ensure_future(self.declarations.run()),
            asyncio.ensure_future(self.watch.run()),
            asyncio.ensure_future(self._delay.run(self._clock)),
            asyncio.ensure_future(self._follow_settings()),
            asyncio.ensure_future(self._yield_to_strength()),
            asyncio.ensure_future(self._yield_when_turned_away()),
        ]
        stop = asyncio.ensure_future(self._stop.wait())
        try:
            waited = {stop, self._failed, *parts}
            done, _ = await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            for part in done:
                part.result()
            await self._drain()
        finally:
            self._end()
            for task in (stop, *parts):
                task.cancel()
            await asyncio.gather(stop, *parts, return_exceptions=True)
            await self._server.stop()
            await self._network.close()
            await self._client.close()
            _log.info("Stopped.")

    async def _drain(self) -> None:
        began = self._clock.monotonic()
        self._is_leaving = True
        _log.info("Shutting down.", is_owner=self._owner is not None)
        owner = self._owner
        if owner is not None:
            await self._finish(owner.drain())
        await self._finish(self.leadership.release(owner.fence if owner else 0))
        spent = self._clock.monotonic() - began
        latest = self.settings.bounds.grace * (1 - CLOSING_SHARE)
        rest = min(BALANCER_DELAY, latest) - spent
        if rest > timedelta():
            await self._clock.sleep(rest)
        await self._finish(self.leadership.leave())
        await self._server.stop()

    async def _finish(self, step) -> None:
        try:
            async with asyncio.timeout(DRAIN_LIMIT.total_seconds()):
                await step
        except TimeoutError:
            _log.warn("A step of the shutdown took too long.")


async def serve_pools(settings: NodeSettings) -> None:
    """Run a daemon on the platform until SIGTERM or SIGINT ends it."""
    daemon = PoolDaemon(settings, SystemClock())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.note_settings)
    await daemon.start()
    await daemon.run()


def run_on_platform() -> None:
    """Read the platform's settings file and run the daemon.

    :raises SettingsError: when the file can't be used.
    """
    settings = load_node()
    install_exporter()
    handler = LineHandler(LineWriter(sys.stdout.fileno()), settings.instance, "info")
    handler.push_application()
    try:
        asyncio.run(serve_pools(settings))
    finally:
        handler.flush()
