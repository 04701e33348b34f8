"""Carries the configuration from the store to every daemon, by few watchers."""

import asyncio
from datetime import timedelta
from typing import Any

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.configuration.marks import remove_marks
from damaskdeck.coordination.configuration.pulls import (
    answer_pull,
    apply_ahead,
    pack,
    pull,
    unpack,
)
from damaskdeck.coordination.configuration.reports import InForce, Reports
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
MARKS_INTERVAL = timedelta(hours=1)


class ConfigurationRelay:
    """Keeps this daemon's configuration up with the store and its peers.

    Promise: "A configuration the system has accepted is in force everywhere
    within seconds and never reverts."

    :param watch_wait: how long a watch waits in the store for a change.
    :param interval: how often reports are compared.
    :param watchers: how many daemons of a zone watch the store.
    :param startup_wait: how long a newcomer waits for its peers' reports.
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
        self._reports = Reports(members, configuration)
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
        self._lacking: ConfigurationReport | None = None
        peers.register(ConfigurationChanges, self._take_changes)
        peers.register(ConfigurationAccepted, self._take_accepted)
        peers.register(PullConfiguration, self._answer_pull)
        peers.register(ReadConfigurationReport, self._answer_ask)

    @property
    def is_ready(self) -> bool:
        """Whether this daemon once had all that its peers had."""
        return self._is_ready

    @property
    def reaches_store(self) -> bool:
        """Whether some watcher of this zone had its last call answered."""
        return self._watcher.zone_reaches_store()

    def is_watcher(self) -> bool:
        """Tell whether this daemon watches the store for its zone."""
        return self._watcher.is_watcher()

    async def read_in_force(self, revision: int = 0) -> InForce:
        """Ask all live daemons what is in force, and whether ``revision`` is."""
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
            group.create_task(self._remove_marks())

    async def _follow_peers(self) -> None:
        started = self._clock.monotonic()
        while True:
            self._reports.publish()
            await self._catch_up()
            if not self._is_ready:
                self._is_ready = self._has_caught_up(started)
            await self._clock.sleep(self._interval)

    async def _catch_up(self) -> None:
        """Pull what peers have and this daemon still lacks after an interval."""
        best, own = self._reports.find_best(), self._reports.make_own()
        if best is None:
            self._lacking = None
            return
        if self._lacking == own or not own["is_loaded"]:
            await pull(self._peers, best, self._configuration)
        self._lacking = own

    def _has_caught_up(self, started: timedelta) -> bool:
        if not self._configuration.is_loaded:
            return False
        waited = self._clock.monotonic() - started
        if not self._reports.has_heard() and waited < self._startup_wait:
            return False
        return self._reports.find_best() is None

    async def _remove_marks(self) -> None:
        while True:
            await self._clock.sleep(MARKS_INTERVAL)
            if self._watcher.is_watcher():
                await remove_marks(self._store, self._clock)

    def _push(self, base: int, events: list[Event], revision: int) -> None:
        """Relay to the zone what the store told this watcher."""
        entries = [pack(event) for event in events]
        message = ConfigurationChanges(base=base, revision=revision, entries=entries)
        self._send(message, ConfigurationChanges, self._members.self.zone)

    def _announce(self, version: ResourceVersion) -> None:
        """Tell everybody of a write that this daemon's call made."""
        message = ConfigurationAccepted(entry=pack(encode_version(version)))
        self._send(message, ConfigurationAccepted, "")

    def _send(self, message: Any, kind: type, zone: str) -> None:
        for member in self._members.list_live(zone):
            if member.name != self._members.self.name:
                self._peers.send(member.name, message, kind)

    async def _take_changes(self, instance: str, message: ConfigurationChanges) -> None:
        events = [unpack(entry) for entry in message["entries"]]
        base, revision = message["base"], message["revision"]
        if not self._configuration.apply_changes(base, events, revision):
            count_drop(COMPONENT, "gap")

    async def _take_accepted(
        self, instance: str, message: ConfigurationAccepted
    ) -> None:
        apply_ahead(self._configuration, [message["entry"]])

    async def _answer_pull(
        self, instance: str, message: PullConfiguration
    ) -> PullConfigurationReply:
        return answer_pull(self._configuration, message)

    async def _answer_ask(
        self, instance: str, message: ReadConfigurationReport
    ) -> ConfigurationReport:
        return self._reports.make_own()
