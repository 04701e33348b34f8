"""Distribution of the configuration to every daemon; only a few watch the store."""

import asyncio
from datetime import timedelta
from typing import Any

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.configuration.pulls import (
    answer_pull,
    apply_ahead,
    pull,
    to_event,
    to_relayed,
)
from damaskdeck.coordination.configuration.reports import (
    ConfigurationReports,
    InForceStatus,
)
from damaskdeck.coordination.configuration.tombstones import remove_tombstones
from damaskdeck.coordination.configuration.watchers import StoreWatcher
from damaskdeck.coordination.configuration.writes import (
    Absent,
    ConfigurationWriter,
    Declared,
    Deleted,
    Invalid,
    Outdated,
)
from damaskdeck.metrics import count_drop
from damaskdeck.protocol.configurationmessages import (
    ConfigurationAccepted,
    ConfigurationChanges,
    ConfigurationReport,
    PullConfiguration,
    PullConfigurationReply,
    ReadConfigurationReport,
)
from damaskdeck.protocol.members import Members
from damaskdeck.protocol.messages import Peers
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.protocol.ports import Event, Store
from damaskdeck.protocol.resources import Kind
from damaskdeck.state.configuration import COMPONENT, Configuration
from damaskdeck.state.versions import ResourceVersion, encode_version

STARTUP_WAIT = timedelta(seconds=2)
TOMBSTONE_INTERVAL = timedelta(hours=1)


class ConfigurationRelay:
    """Keeps this daemon's configuration up to date with the store and its peers.

    Guarantee: "A configuration the system has accepted is in force everywhere within
    seconds and never reverts."

    :param watch_wait: how long a watch waits in the store for a change.
    :param interval: time between two comparisons of reports.
    :param watchers: how many daemons of a zone watch the store.
    :param startup_wait: how long a new daemon waits for reports of its peers.
    """

    def __init__(
        self,
        configuration: Configuration,
        members: Members,
        peers: Peers,
        store: Store,
        clock: Clock,
        watch_wait: timedelta = defaults.WATCH_WAIT,
        interval: timedelta = defaults.RELAY_INTERVAL,
        watchers: int = defaults.WATCHERS_PER_ZONE,
        startup_wait: timedelta = STARTUP_WAIT,
    ) -> None:
        self._configuration = configuration
        self._members = members
        self._peers = peers
        self._store = store
        self._clock = clock
        self._interval = interval
        self._startup_wait = startup_wait
        self._reports = ConfigurationReports(members, configuration)
        self._writer = ConfigurationWriter(configuration, store, clock, self._announce)
        self._watcher = StoreWatcher(
            configuration,
            self._reports,
            members,
            store,
            clock,
            self._push,
            watch_wait,
            interval,
            watchers,
        )
        self._is_ready = False
        self._last_lagging_report: ConfigurationReport | None = None
        peers.register(ConfigurationChanges, self._handle_changes)
        peers.register(ConfigurationAccepted, self._handle_accepted)
        peers.register(PullConfiguration, self._handle_pull)
        peers.register(ReadConfigurationReport, self._handle_report_request)

    @property
    def is_ready(self) -> bool:
        """Whether this daemon has once had all that its peers had."""
        return self._is_ready

    @property
    def reaches_store(self) -> bool:
        """Whether the last call of some watcher of this zone was answered."""
        return self._watcher.zone_reaches_store()

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store for its zone."""
        return self._watcher.is_watcher()

    async def read_in_force(self, revision: int = 0) -> InForceStatus:
        """Return what is in force on all live daemons, and whether ``revision`` is."""
        return await self._reports.read_in_force(self._peers, revision)

    async def put(
        self, kind: Kind, resource: Any, expected: int | None
    ) -> Declared | Outdated | Invalid | Refused | Unknown:
        """Write a resource; see :meth:`ConfigurationWriter.put`."""
        return await self._writer.put(kind, resource, expected)

    async def delete(
        self, kind: Kind, name: str, expected: int | None
    ) -> Deleted | Outdated | Absent | Invalid | Refused | Unknown:
        """Delete a resource; see :meth:`ConfigurationWriter.delete`."""
        return await self._writer.delete(kind, name, expected)

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watcher.run())
            group.create_task(self._follow_peers())
            group.create_task(self._remove_tombstones())

    async def _follow_peers(self) -> None:
        started_at = self._clock.monotonic()
        while True:
            self._reports.publish()
            await self._catch_up()
            if not self._is_ready:
                self._is_ready = self._has_caught_up(started_at)
            await self._clock.sleep(self._interval)

    async def _catch_up(self) -> None:
        """Pull what peers have and this daemon still lacks after one interval."""
        source, own = self._reports.find_pull_source(), self._reports.make_report()
        if source is None:
            self._last_lagging_report = None
            return
        if self._last_lagging_report == own or not own["is_loaded"]:
            await pull(self._peers, source, self._configuration)
        self._last_lagging_report = own

    def _has_caught_up(self, started_at: timedelta) -> bool:
        if not self._configuration.is_loaded:
            return False
        waited = self._clock.monotonic() - started_at
        if not self._reports.has_peer_reports() and waited < self._startup_wait:
            return False
        return self._reports.find_pull_source() is None

    async def _remove_tombstones(self) -> None:
        while True:
            await self._clock.sleep(TOMBSTONE_INTERVAL)
            if self._watcher.is_watcher():
                await remove_tombstones(self._store, self._clock)

    def _push(self, base: int, events: list[Event], revision: int) -> None:
        """Relay changes that this watcher read from the store to its zone."""
        entries = [to_relayed(event) for event in events]
        message = ConfigurationChanges(base=base, revision=revision, entries=entries)
        self._send(message, ConfigurationChanges, self._members.self.zone)

    def _announce(self, version: ResourceVersion) -> None:
        """Announce a write of this daemon to all members."""
        message = ConfigurationAccepted(entry=to_relayed(encode_version(version)))
        self._send(message, ConfigurationAccepted, "")

    def _send(self, message: Any, kind: type, zone: str) -> None:
        for member in self._members.list_live(zone):
            if member.name != self._members.self.name:
                self._peers.send(member.name, message, kind)

    async def _handle_changes(
        self, instance: str, message: ConfigurationChanges
    ) -> None:
        events = [to_event(entry) for entry in message["entries"]]
        base, revision = message["base"], message["revision"]
        if not self._configuration.apply_changes(base, events, revision):
            count_drop(COMPONENT, "gap")

    async def _handle_accepted(
        self, instance: str, message: ConfigurationAccepted
    ) -> None:
        apply_ahead(self._configuration, [message["entry"]])

    async def _handle_pull(
        self, instance: str, message: PullConfiguration
    ) -> PullConfigurationReply:
        return answer_pull(self._configuration, message)

    async def _handle_report_request(
        self, instance: str, message: ReadConfigurationReport
    ) -> ConfigurationReport:
        return self._reports.make_report()
