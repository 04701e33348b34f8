"""Watching of the configuration in the store by a few daemons of each zone."""

from collections.abc import Callable
from datetime import timedelta

import xxhash

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.coordination.configuration.reports import ConfigurationReports
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_retry
from damaskdeck.protocol.members import Members
from damaskdeck.protocol.ports import Event, Events, Listing, RevisionTooOld, Store
from damaskdeck.state.configuration import COMPONENT, Configuration
from damaskdeck.state.versions import CONFIG_PREFIX

MIN_RETRY_PAUSE = timedelta(milliseconds=250)
MAX_RETRY_PAUSE = timedelta(seconds=2)

_log = get_logger(COMPONENT)

PushHandler = Callable[[int, list[Event], int], None]


class StoreWatcher:
    """Follows the store while this daemon is one of its zone's watchers.

    :param push: called with the base revision, the changes and the new revision.
    :param watch_wait: how long a watch waits in the store for a change.
    :param interval: time between two checks whether this daemon is a watcher.
    :param count: how many daemons of a zone watch.
    """

    def __init__(
        self,
        configuration: Configuration,
        reports: ConfigurationReports,
        members: Members,
        store: Store,
        clock: Clock,
        push: PushHandler,
        watch_wait: timedelta = defaults.WATCH_WAIT,
        interval: timedelta = defaults.RELAY_INTERVAL,
        count: int = defaults.WATCHERS_PER_ZONE,
    ) -> None:
        self._configuration = configuration
        self._reports = reports
        self._members = members
        self._store = store
        self._clock = clock
        self._push = push
        self._watch_wait = watch_wait
        self._interval = interval
        self._count = count
        self._cursor = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause = MIN_RETRY_PAUSE
        while True:
            if not self.is_watcher():
                await self._clock.sleep(self._interval)
            elif await self._read():
                self._reports.reaches_store = True
                pause = MIN_RETRY_PAUSE
            else:
                await self._clock.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE)

    def is_watcher(self) -> bool:
        """Return whether this daemon is one of its zone's watchers."""
        return self._members.self.name in self.pick_watchers()

    def pick_watchers(self) -> list[str]:
        """Return the first daemons of this zone in the order of their hashes.

        A watcher that can't reach the store keeps trying, and the next daemon joins.
        """
        reports = self._reports.read()
        live = self._members.list_live(self._members.self.zone)
        picked: list[str] = []
        missing = self._count
        for name in sorted((member.name for member in live), key=_hash_name):
            if missing == 0:
                break
            picked.append(name)
            report = reports.get(name)
            missing -= report is None or report["reaches_store"]
        return picked

    def zone_reaches_store(self) -> bool:
        """Return whether some watcher of this zone reaches the store."""
        reports = self._reports.read()
        known = [reports[name] for name in self.pick_watchers() if name in reports]
        return any(report["reaches_store"] for report in known)

    async def _read(self) -> bool:
        """List or watch the store once; return whether the answer was usable.

        After a failure the watch doesn't wait, to detect soon that the store is
        reachable again.
        """
        if not self._configuration.is_loaded:
            return await self._list()
        after = max(self._cursor, self._configuration.revision)
        wait = self._watch_wait if self._reports.reaches_store else timedelta()
        found = await self._store.watch(CONFIG_PREFIX, after, wait)
        if isinstance(found, Events):
            self._apply_events(found)
            return True
        if isinstance(found, RevisionTooOld):
            return await self._list()
        self._record_failure(found.code)
        return False

    async def _list(self) -> bool:
        found = await self._store.list(CONFIG_PREFIX)
        if not isinstance(found, Listing):
            self._record_failure(found.code)
            return False
        events = [Event(e.key, e.value, e.revision) for e in found.entries]
        if not self._configuration.apply_snapshot(events, found.revision):
            _log.warn("The store returned a stale read.", revision=found.revision)
            return False
        self._cursor = found.revision
        return True

    def _apply_events(self, found: Events) -> None:
        base = self._configuration.revision
        events = [event for event in found.events if event.revision > base]
        if events:
            last = events[-1].revision
            self._configuration.apply_changes(base, events, last)
            self._push(base, events, last)
        self._cursor = max(self._cursor, found.revision)

    def _record_failure(self, code: str) -> None:
        count_retry(COMPONENT, code)
        if self._reports.reaches_store:
            _log.warn("The store can't be watched.", code=code)
        self._reports.reaches_store = False


def _hash_name(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
