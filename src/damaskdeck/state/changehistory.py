"""Bounded in-memory history of configuration changes for watchers."""

import asyncio
from collections import deque
from datetime import timedelta
from itertools import islice
from typing import NamedTuple

from damaskdeck import defaults
from damaskdeck.clock import Clock, wait_for_event
from damaskdeck.protocol.resources import Kind, Resource


class ResourceChange(NamedTuple):
    """A change of one declared resource.

    :param resource: the resource from ``revision`` on; ``None`` once deleted.
    :param previous: the resource before; ``None`` when it did not exist.
    """

    kind: Kind
    name: str
    revision: int
    resource: Resource | None
    previous: Resource | None = None


class ResourceChanges(NamedTuple):
    """All changes after the requested revision and up to ``revision``; may be empty."""

    changes: tuple[ResourceChange, ...]
    revision: int


class HistoryExpired(NamedTuple):
    """The requested revision is no longer kept; the reader must list again.

    :param oldest: the lowest revision that a reader may start after.
    """

    oldest: int


class ReaderTooSlow(NamedTuple):
    """The reader lags too far behind; it may continue from ``revision``."""

    revision: int


class ChangeHistory:
    """Changes in order of revision. Readers keep a cursor and need no memory here.

    :param limit: maximum number of changes that are kept.
    """

    def __init__(self, limit: int = defaults.HISTORY_LIMIT) -> None:
        self._changes: deque[ResourceChange] = deque()
        self._limit = limit
        self._oldest = 0
        self._revision = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """The revision up to which all changes are recorded."""
        return self._revision

    @property
    def oldest(self) -> int:
        """The lowest revision that a reader may start after."""
        return self._oldest

    def record(self, changes: tuple[ResourceChange, ...], revision: int) -> None:
        """Append changes in order of revision.

        :param revision: the history is complete up to this revision.
        """
        self._changes.extend(changes)
        while len(self._changes) > self._limit:
            self._oldest = self._changes.popleft().revision
        self._revision = revision
        self._notify_waiters()

    def reset(self, revision: int) -> None:
        """Discard all changes and restart the history at ``revision``.

        For use when the changes up to ``revision`` are not known.
        """
        self._changes.clear()
        self._oldest = self._revision = revision
        self._notify_waiters()

    def read(self, after: int) -> ResourceChanges | HistoryExpired:
        """Return all changes after a revision."""
        if after < self._oldest:
            return HistoryExpired(self._oldest)
        changes = tuple(islice(self._changes, self._find(after), None))
        return ResourceChanges(changes, max(after, self._revision))

    async def wait(self, after: int, timeout: timedelta, clock: Clock) -> None:
        """Wait until there is a revision above ``after``, at most for ``timeout``."""
        if self._revision > after or self._oldest > after:
            return
        await wait_for_event(self._changed, timeout, clock)

    def _find(self, after: int) -> int:
        index = len(self._changes)
        while index and self._changes[index - 1].revision > after:
            index -= 1
        return index

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class HistoryReader:
    """The position of one watcher in the history.

    :param after: the revision that the watcher has already seen.
    :param lag_limit: a reader with more pending changes than this is dropped.
    """

    def __init__(
        self,
        history: ChangeHistory,
        after: int,
        clock: Clock,
        lag_limit: int = defaults.READER_LAG_LIMIT,
    ) -> None:
        self._history = history
        self._clock = clock
        self._lag_limit = lag_limit
        self._started = False
        self.revision = after

    async def read(
        self, timeout: timedelta
    ) -> ResourceChanges | HistoryExpired | ReaderTooSlow:
        """Return the changes since the last call, waiting at most ``timeout``.

        The first call may return any number of kept changes, later calls at most
        ``lag_limit``.
        """
        history = self._history
        await history.wait(self.revision, timeout, self._clock)
        found = history.read(self.revision)
        if isinstance(found, HistoryExpired):
            return found
        if self._started and len(found.changes) > self._lag_limit:
            return ReaderTooSlow(self.revision)
        self._started = True
        self.revision = found.revision
        return found
