"""The declared queues and accounts in force on this daemon, and their freshness."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.logs import get_logger
from damaskdeck.metrics import set_revision
from damaskdeck.protocol.pools import DeclaredQueues, QueueSource
from damaskdeck.protocol.ports import Lost, Rejected, RevisionTooOld
from damaskdeck.protocol.queues import QueueTable
from damaskdeck.protocol.transactions import Mismatch, ReplyTooLarge

RETRY_DELAY = timedelta(milliseconds=100)
# Together with the time to detect a silent channel, this stays below the bound in which
# a document must be in force.
WATCH_WAIT = timedelta(seconds=2)
# The document's revision is read after this share of the time for which a confirmation
# is valid. The store may be slow or silent for the rest of that time.
REFRESH_SHARE = 0.4
# This daemon counts as cut off after the store has been silent for this share of the
# time in which a document must be in force.
SILENCE_SHARE = 0.5
# The interval at which the age of the last confirmation is checked.
REFRESH_INTERVAL = timedelta(milliseconds=200)
# The reply to a refused commit contains every entry that the commit expected, whatever
# the reason for the refusal. Commits don't expect a document above this size.
WIDE_DOCUMENT_BYTES = 32_768
# The largest reply to a commit that expects the document. The document takes 4/3 of its
# size there.
MAX_COMMIT_REPLY_BYTES = 65_536

_log = get_logger("declarations")


class Declarations:
    """Follows the operators' document and confirms that it is the newest one.

    The document is known to have been the newest one at the time when a request was
    sent to the store whose reply shows the document's revision. The silence of a watch
    proves nothing: it may miss changes.

    The document is read by one request at a time, and only if it has changed. Several
    copies of a wide document would share a narrow link and all arrive too late.

    :param keys_max_age: The maximum age of a confirmation for keys to be verified,
        ``None`` if there is no limit.
    :param in_force: The maximum age of a confirmation for any call to be authorized
        while the store answers, ``None`` if there is no limit.
    :param get_silence: Returns the time since the store last answered this daemon.
    :ivar table: The document in force here, ``None`` until one has been read.
    """

    def __init__(
        self,
        source: QueueSource,
        clock: Clock,
        keys_max_age: timedelta | None = None,
        in_force: timedelta | None = None,
        get_silence: Callable[[], timedelta] = timedelta,
    ) -> None:
        self.table: QueueTable | None = None
        self._source = source
        self._clock = clock
        self._keys_max_age = keys_max_age
        self._in_force = in_force
        self._get_silence = get_silence
        limits = [limit for limit in (keys_max_age, in_force) if limit is not None]
        self._shortest_limit = min(limits, default=None)
        # The revision of the newest document seen, and whether it is in force.
        self._document = 0
        self._is_usable = False
        self._is_wide = False
        # Whether a newer document exists that has not been received yet.
        self._is_behind = False
        self._reading = asyncio.Lock()
        self._confirmed_at = float("-inf")
        self._was_fresh = False

    def is_pool_declared(self, pool: str) -> bool:
        """Whether a pool is declared; before any document every pool may be."""
        return self.table is None or pool in self.table.pools

    # Freshness ---------------------------------------------------------------

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def measure_age(self) -> float:
        """Return the seconds since the document was last known to be the newest."""
        return self._now() - self._confirmed_at

    def is_fresh(self, limit: timedelta | None) -> bool:
        """Whether the document was known to be the newest within ``limit``.

        There is no limit if it is ``None``. The clock also counts the time while the
        machine is suspended. Anything that was sent before this call was sent less than
        the limit after the document was the newest.
        """
        return limit is None or self.measure_age() < limit.total_seconds()

    @property
    def is_current(self) -> bool:
        """Whether any calls may be authorized by the document.

        A daemon that the store doesn't answer can't learn of a newer document, so it
        keeps using the one that it has.
        """
        if self._in_force is None or self.is_fresh(self._in_force):
            return True
        return self._get_silence() > self._in_force * SILENCE_SHARE

    @property
    def can_verify_keys(self) -> bool:
        """Whether callers' keys may be verified by the document in force."""
        is_fresh = self.is_fresh(self._keys_max_age) and self.is_current
        if is_fresh is not self._was_fresh:
            self._was_fresh = is_fresh
            _log.info(
                "The document in force is fresh."
                if is_fresh
                else "The document in force may be outdated.",
                version=self.table.version if self.table else 0,
                age=round(min(self.measure_age(), 1e6), 3),
            )
        return is_fresh

    @property
    def expected(self) -> tuple[tuple[str, int], ...]:
        """What a commit expects in order not to act by an older document.

        Empty if the check of the document's age has to suffice.
        """
        is_required = self._shortest_limit is not None and self._is_usable
        if not is_required or self._is_wide or self._is_behind:
            return ()
        return ((self._source.key, self._document),)

    def confirm(self, expected: tuple[tuple[str, int], ...], sent_at: float) -> None:
        """Record that the store found what a commit expected.

        :param expected: The value of :attr:`expected` for that commit.
        :param sent_at: The monotonic time in seconds when the commit was sent.
        """
        if expected and expected == self.expected:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def handle_mismatch(self, done: Mismatch, sent_at: float) -> bool:
        """Apply the document that the reply to a refused commit contains.

        :returns: Whether it differs from the known one.
        """
        entry = done.find(self._source.key)
        if entry is None or entry.revision == self._document:
            return False
        self._apply(self._source.decode(entry), sent_at)
        return True

    def handle_unread_document(self) -> None:
        """Handle a refused commit whose reply was too large to be read."""
        self._is_behind = True

    # Following ---------------------------------------------------------------

    async def run(self) -> None:
        """Follow the document, and read its revision before a confirmation expires."""
        if self._shortest_limit is None:
            await self._follow()
        else:
            await asyncio.gather(self._follow(), self._keep_fresh(self._shortest_limit))

    async def _follow(self) -> None:
        revision = 0
        while True:
            if not revision:
                answer = await self._read()
            else:
                answer = await self._source.follow_queues(revision, WATCH_WAIT)
                if isinstance(answer, DeclaredQueues):
                    self._apply(answer, None)
            if isinstance(answer, DeclaredQueues):
                # Without a document there is no revision to follow from.
                revision = answer.revision if self.table is not None else 0
            elif isinstance(answer, RevisionTooOld | ReplyTooLarge):
                revision = 0
            is_followed = isinstance(answer, DeclaredQueues) and revision
            if not is_followed and not isinstance(answer, ReplyTooLarge):
                await self._clock.sleep(RETRY_DELAY)

    async def _keep_fresh(self, limit: timedelta) -> None:
        while True:
            await self._clock.sleep(REFRESH_INTERVAL)
            is_due = self._is_behind or not self.is_fresh(limit * REFRESH_SHARE)
            if is_due and not self._reading.locked():
                await self._read()

    async def _read(self) -> DeclaredQueues | Rejected | Lost:
        async with self._reading:
            sent_at = self._now()
            answer = await self._source.read_queues(self._document)
            if isinstance(answer, DeclaredQueues):
                self._is_behind = False
                self._apply(answer, sent_at)
            return answer

    def _apply(self, declared: DeclaredQueues, sent_at: float | None) -> None:
        """Put a newer document in force.

        :param sent_at: The monotonic time in seconds when the answered request was
            sent, ``None`` if the answer doesn't prove that the document is the newest.
        """
        if declared.document < self._document:
            return
        table = declared.table
        if table is not None and (
            self.table is None or table.version > self.table.version
        ):
            self.table = table
            set_revision(table.version)
            _log.info(
                "A document is in force.",
                version=table.version,
                queues=len(table.queues),
                accounts=len(table.accounts),
            )
        if declared.document > self._document:
            self._document = declared.document
            self._is_usable = table is not None and table.version == self.table.version
            self._is_wide = declared.size > WIDE_DOCUMENT_BYTES
        if declared.document and self._is_usable and sent_at is not None:
            self._confirmed_at = max(self._confirmed_at, sent_at)
