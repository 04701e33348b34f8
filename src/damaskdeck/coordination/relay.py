"""Carries the configuration from the store to every daemon, by few watchers."""

import asyncio
from datetime import timedelta
from typing import Any

import msgspec
import xxhash

from damaskdeck import defaults
from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.coordination.writes import (
    Absent,
    ConfigurationWriter,
    Declared,
    Deleted,
    Invalid,
    Outdated,
)
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_drop, count_retry
from damaskdeck.protocol.members import Members
from damaskdeck.protocol.messages import Answered, Peers
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.protocol.ports import Event, Events, Listing, Store, TooOld
from damaskdeck.protocol.relays import (
    ConfigurationAccepted,
    ConfigurationChanges,
    ConfigurationPull,
    ConfigurationReply,
    ConfigurationReport,
    RelayedEntry,
)
from damaskdeck.protocol.resources import Kind
from damaskdeck.state.configuration import PART, Configuration
from damaskdeck.state.versions import (
    PREFIX,
    Version,
    encode_version,
    read_version,
)
from damaskdeck.state.watches import Changes

TOPIC = "configuration"
PART_LIMIT = 262_144
AHEAD_LIMIT = 64
PULL_TIMEOUT = timedelta(seconds=2)
STARTUP_WAIT = timedelta(seconds=2)
SHORTEST_PAUSE = timedelta(milliseconds=250)
LONGEST_PAUSE = timedelta(seconds=2)

_log = get_logger(PART)
_report_decoder = msgspec.msgpack.Decoder(ConfigurationReport)


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
        self._watch_wait = watch_wait
        self._interval = interval
        self._watchers = watchers
        self._startup_wait = startup_wait
        self._writer = ConfigurationWriter(configuration, store, clock, self._announce)
        self._cursor = 0
        self._pause = SHORTEST_PAUSE
        self._reaches_store = True
        self._is_ready = False
        self._lacking_since: ConfigurationReport | None = None
        self._gap_found = False
        self._wake = asyncio.Event()
        peers.register(ConfigurationChanges, self._take_changes)
        peers.register(ConfigurationAccepted, self._take_accepted)
        peers.register(ConfigurationPull, self._answer_pull)

    @property
    def is_ready(self) -> bool:
        """Whether this daemon once had all that its peers had."""
        return self._is_ready

    @property
    def reaches_store(self) -> bool:
        """Whether some daemon of this zone had its last watch answered."""
        reports = self._read_reports()
        watchers = self._pick_watchers(self._members.self.zone)
        return any(
            name in reports and reports[name]["reaches_store"] for name in watchers
        )

    def read_in_force(self) -> dict[str, int]:
        """Return the revision in force on each live daemon, -1 if not loaded."""
        reports = self._read_reports()
        return {
            member.name: _read_revision(reports.get(member.name))
            for member in self._members.list_live()
        }

    def is_in_force(self, revision: int) -> bool:
        """Tell whether all live daemons say that ``revision`` is in force."""
        reports = self._read_reports()
        return all(
            _has(reports.get(member.name), revision)
            for member in self._members.list_live()
        )

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
            group.create_task(self._follow_store())
            group.create_task(self._follow_peers())

    # From the store ------------------------------------------------------------

    async def _follow_store(self) -> None:
        while True:
            if not self._is_watcher():
                await self._clock.sleep(self._interval)
            elif await self._read_store():
                self._reaches_store = True
                self._pause = SHORTEST_PAUSE
            else:
                await self._clock.sleep(self._pause)
                self._pause = min(2 * self._pause, LONGEST_PAUSE)

    def _is_watcher(self) -> bool:
        me = self._members.self
        return me.name in self._pick_watchers(me.zone)

    def _pick_watchers(self, zone: str) -> list[str]:
        """Return the first daemons of a zone by hash, with spares for cut-off ones."""
        reports = self._read_reports()
        names = [member.name for member in self._members.list_live(zone)]
        picked = []
        missing = self._watchers
        for name in sorted(names, key=_hash_name):
            if missing == 0:
                break
            picked.append(name)
            report = reports.get(name)
            missing -= report is None or report["reaches_store"]
        return picked

    async def _read_store(self) -> bool:
        """List or watch the store once; return whether it answered usefully."""
        if not self._configuration.is_loaded:
            return await self._list_store()
        after = max(self._cursor, self._configuration.revision)
        found = await self._store.watch(PREFIX, after, self._watch_wait)
        if isinstance(found, Events):
            self._take_events(found)
            return True
        if isinstance(found, TooOld):
            return await self._list_store()
        self._note_failure(found.code)
        return False

    async def _list_store(self) -> bool:
        found = await self._store.list(PREFIX)
        if not isinstance(found, Listing):
            self._note_failure(found.code)
            return False
        events = [Event(e.key, e.value, e.revision) for e in found.entries]
        if not self._configuration.apply_snapshot(events, found.revision):
            _log.warn("The store answered with an older read.", revision=found.revision)
            return False
        self._cursor = found.revision
        return True

    def _take_events(self, found: Events) -> None:
        base = self._configuration.revision
        events = [event for event in found.events if event.revision > base]
        if events:
            last = events[-1].revision
            self._configuration.apply_changes(base, events, last)
            self._push(base, events, last)
        self._cursor = max(self._cursor, found.revision)

    def _note_failure(self, code: str) -> None:
        count_retry(PART, code)
        if self._reaches_store:
            _log.warn("The store can't be watched.", code=code)
        self._reaches_store = False

    def _push(self, base: int, events: list[Event], revision: int) -> None:
        changes = ConfigurationChanges(
            base=base, revision=revision, entries=[_pack(event) for event in events]
        )
        me = self._members.self
        for member in self._members.list_live(me.zone):
            if member.name != me.name:
                self._peers.send(member.name, changes, ConfigurationChanges)

    def _announce(self, version: Version) -> None:
        """Tell everybody of a write that this daemon's call made."""
        message = ConfigurationAccepted(entry=_pack(encode_version(version)))
        for member in self._members.list_live():
            if member.name != self._members.self.name:
                self._peers.send(member.name, message, ConfigurationAccepted)

    # From peers ----------------------------------------------------------------

    async def _follow_peers(self) -> None:
        started = self._clock.monotonic()
        while True:
            self._wake.clear()
            self._publish()
            await self._catch_up()
            if not self._is_ready:
                self._is_ready = self._has_caught_up(started)
            await wait_for_event(self._wake, self._interval, self._clock)

    def _publish(self) -> None:
        report = msgspec.msgpack.encode(self._report_self())
        self._members.publish(TOPIC, report)

    async def _catch_up(self) -> None:
        """Pull what peers have and this daemon still lacks after an interval."""
        best = self._find_best()
        if best is None:
            self._lacking_since = None
            return
        own = self._report_self()
        is_urgent = not own["is_loaded"] or self._gap_found
        if is_urgent or self._lacking_since == own:
            self._gap_found = False
            await self._pull(best)
        self._lacking_since = own

    def _find_best(self) -> str | None:
        """Return the peer that has most of what this daemon lacks, if any."""
        me = self._members.self
        own = self._report_self()
        reports = self._read_reports()
        found = [
            (_read_revision(report), member.zone == me.zone, member.name)
            for member in self._members.list_live()
            if (report := reports.get(member.name)) and _lacks(own, report)
        ]
        return max(found)[2] if found else None

    def _has_caught_up(self, started: timedelta) -> bool:
        if not self._configuration.is_loaded:
            return False
        me = self._members.self.name
        has_heard = any(name != me for name in self._read_reports())
        waited = self._clock.monotonic() - started
        if not has_heard and waited < self._startup_wait:
            return False
        return self._find_best() is None

    async def _pull(self, instance: str) -> bool:
        """Take from a peer what it has after this daemon's revision."""
        asked = _read_revision(self._report_self())
        message = ConfigurationPull(revision=asked)
        parts: list[Event] = []
        first: int | None = None
        while True:
            answer = await self._peers.call(
                instance, message, ConfigurationPull, PULL_TIMEOUT
            )
            if not isinstance(answer, Answered):
                count_retry(PART, answer.code)
                return False
            reply = answer.message
            self._apply_ahead(reply.get("ahead", []))
            parts += [_unpack(entry) for entry in reply["entries"]]
            revision = reply["revision"]
            if not reply.get("is_snapshot"):
                return self._configuration.apply_changes(asked, parts, revision)
            if first not in (None, revision):
                count_retry(PART, "snapshot_changed")
                return False
            if not reply.get("more"):
                return self._configuration.apply_snapshot(parts, revision)
            first = revision
            message = ConfigurationPull(revision=asked, after=parts[-1].key)

    async def _take_changes(self, instance: str, message: ConfigurationChanges) -> None:
        events = [_unpack(entry) for entry in message["entries"]]
        revision = message["revision"]
        if not self._configuration.apply_changes(message["base"], events, revision):
            count_drop(PART, "gap")
            self._gap_found = True
            self._wake.set()

    async def _take_accepted(
        self, instance: str, message: ConfigurationAccepted
    ) -> None:
        self._apply_ahead([message["entry"]])

    def _apply_ahead(self, entries: list[RelayedEntry]) -> None:
        for entry in entries:
            version = read_version(_unpack(entry))
            if version is not None:
                self._configuration.apply_ahead(version)

    async def _answer_pull(
        self, instance: str, message: ConfigurationPull
    ) -> ConfigurationReply:
        reply = self._reply_to(message)
        ahead = self._configuration.dump_ahead()
        reply["ahead"] = [_pack(event) for event in ahead]
        return reply

    def _reply_to(self, message: ConfigurationPull) -> ConfigurationReply:
        configuration = self._configuration
        if not configuration.is_loaded:
            return ConfigurationReply(revision=-1, entries=[])
        found = configuration.history.read(message["revision"])
        if isinstance(found, Changes):
            return _pack_changes(found)
        after = message.get("after", "")
        events = [event for event in configuration.dump() if event.key > after]
        cut = _cut(events)
        return ConfigurationReply(
            revision=configuration.revision,
            entries=[_pack(event) for event in cut],
            is_snapshot=True,
            more=len(cut) < len(events),
        )

    def _report_self(self) -> ConfigurationReport:
        return ConfigurationReport(
            revision=self._configuration.revision,
            is_loaded=self._configuration.is_loaded,
            reaches_store=self._reaches_store,
            ahead=sorted(self._configuration.ahead_revisions)[:AHEAD_LIMIT],
        )

    def _read_reports(self) -> dict[str, ConfigurationReport]:
        reports = {}
        for name, report in self._members.read_reports(TOPIC).items():
            try:
                reports[name] = _report_decoder.decode(report.value)
            except msgspec.MsgspecError:
                count_drop(PART, "invalid_report")
        reports[self._members.self.name] = self._report_self()
        return reports


def _hash_name(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def _read_revision(report: ConfigurationReport | None) -> int:
    return report["revision"] if report and report["is_loaded"] else -1


def _has(report: ConfigurationReport | None, revision: int) -> bool:
    if report is None:
        return False
    return _read_revision(report) >= revision or revision in report.get("ahead", [])


def _lacks(own: ConfigurationReport, other: ConfigurationReport) -> bool:
    """Tell whether ``other`` has something in force that ``own`` has not."""
    known = _read_revision(own)
    if _read_revision(other) > known:
        return True
    above = [revision for revision in other.get("ahead", []) if revision > known]
    return not set(above) <= set(own.get("ahead", []))


def _pack(event: Event) -> RelayedEntry:
    return RelayedEntry(key=event.key, revision=event.revision, value=event.value)


def _unpack(entry: RelayedEntry) -> Event:
    return Event(entry["key"], entry.get("value"), entry["revision"])


def _pack_changes(found: Changes) -> ConfigurationReply:
    """Reply with as many changes as one message may hold."""
    events = [encode_version(Version(*change[:4])) for change in found.changes]
    cut = _cut(events)
    is_whole = len(cut) == len(events)
    revision = found.revision if is_whole else cut[-1].revision
    return ConfigurationReply(
        revision=revision, entries=[_pack(event) for event in cut]
    )


def _cut(events: list[Event]) -> list[Event]:
    """Return the first events that fit into one message, at least one."""
    size = 0
    for index, event in enumerate(events):
        size += len(event.key) + len(event.value or b"")
        if index and size > PART_LIMIT:
            return events[:index]
    return events
