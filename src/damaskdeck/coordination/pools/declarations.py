"""The declared queues and accounts in force on this daemon, and how sure that is."""

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
# With what a silent channel takes to be noticed it stays below the bound in which
# a document must be in force.
WATCH_WAIT = timedelta(seconds=2)
# The store is asked for the document's revision once so much of the time that a
# confirmation is good for is over: it may then be slow or silent for the rest.
REFRESH_SHARE = 0.4
# Once the store has answered nothing for so much of the time in which a document must
# be in force, this daemon is taken for cut off.
SILENCE_SHARE = 0.5
# A limit on the age of a confirmation is looked at so often.
REFRESH_INTERVAL = timedelta(milliseconds=200)
# A refused commit shows all that it expected, whatever it was refused for: a document
# beyond this is left out of what commits expect.
WIDE_DOCUMENT_BYTES = 32_768
# Longest answer to a commit that expects the document, of which it takes up 4/3.
MAX_COMMIT_REPLY_BYTES = 65_536

_log = get_logger("declarations")


class Declarations:
    """Follows the operators' document, and confirms that it is the newest.

    A document is sure to have been the newest when a question to the store was sent
    whose answer shows its revision. What a watch doesn't tell proves nothing: it may
    hear nothing while changes are made.

    The document is read by one call at a time, and only when it has changed: copies
    of a wide one would share a narrow link, and come too late together.

    :param keys_max_age: how old a confirmation may be for keys to be judged; ``None``
        where nothing depends on it.
    :param in_force: how old it may be for any call to be judged while the store
        answers; ``None`` where nothing depends on it.
    :param get_silence: returns the time since the store last answered this daemon.
    :ivar table: in force here; ``None`` until one has been read.
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
        self._keys_sure = keys_max_age
        self._in_force = in_force
        self._get_silence = get_silence
        limits = [limit for limit in (keys_max_age, in_force) if limit is not None]
        self._shortest_limit = min(limits, default=None)
        # Revision of the newest document that was seen, and whether it is in force.
        self._document = 0
        self._is_usable = False
        self._is_wide = False
        # Whether a newer one is known of that hasn't come yet.
        self._is_behind = False
        self._reading = asyncio.Lock()
        self._confirmed_at = float("-inf")
        self._was_sure = False

    def is_pool_declared(self, pool: str) -> bool:
        """Tell whether a pool is declared; before any document all may be."""
        return self.table is None or pool in self.table.pools

    # How sure it is ----------------------------------------------------------

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def measure_age(self) -> float:
        """Return the seconds since the document was the newest for certain."""
        return self._now() - self._confirmed_at

    def is_fresh(self, limit: timedelta | None) -> bool:
        """Whether the document was the newest within ``limit``; ``None`` is no limit.

        The clock counts suspends. Whatever was sent before this is asked was sent
        less than the limit after the document was the newest.
        """
        return limit is None or self.measure_age() < limit.total_seconds()

    @property
    def is_current(self) -> bool:
        """Whether calls may be judged by it at all.

        A daemon that the store doesn't answer can't learn of a newer one: it goes on
        by what it has.
        """
        if self._in_force is None or self.is_fresh(self._in_force):
            return True
        return self._get_silence() > self._in_force * SILENCE_SHARE

    @property
    def can_verify_keys(self) -> bool:
        """Whether callers' keys may be judged by the document in force."""
        is_fresh = self.is_fresh(self._keys_sure) and self.is_current
        if is_fresh is not self._was_sure:
            self._was_sure = is_fresh
            _log.info(
                "The document in force is sure."
                if is_fresh
                else "The document in force may not be the newest.",
                version=self.table.version if self.table else 0,
                age=round(min(self.measure_age(), 1e6), 3),
            )
        return is_fresh

    @property
    def expected(self) -> tuple[tuple[str, int], ...]:
        """What a commit expects that must not go by an older document.

        Empty where the age of the document alone has to do.
        """
        is_asked = self._shortest_limit is not None and self._is_usable
        if not is_asked or self._is_wide or self._is_behind:
            return ()
        return ((self._source.key, self._document),)

    def confirm(self, expected: tuple[tuple[str, int], ...], sent: float) -> None:
        """Take note that the store found what a commit expected.

        :param expected: as :attr:`expected` was for that commit.
        :param sent: when the commit was sent, monotonic seconds.
        """
        if expected and expected == self.expected:
            self._confirmed_at = max(self._confirmed_at, sent)

    def handle_mismatch(self, done: Mismatch, sent: float) -> bool:
        """Take the document that a refused commit shows; whether it is another one."""
        entry = done.find(self._source.key)
        if entry is None or entry.revision == self._document:
            return False
        self._apply(self._source.decode(entry), sent)
        return True

    def handle_unread_document(self) -> None:
        """Take note that what refused a commit was too long to be read."""
        self._is_behind = True

    # Following ---------------------------------------------------------------

    async def run(self) -> None:
        """Follow the document, and ask for its revision before that gets old."""
        if self._shortest_limit is None:
            await self._follow()
        else:
            await asyncio.gather(self._follow(), self._keep_sure(self._shortest_limit))

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
                # Before any document there is nothing to follow from.
                revision = answer.revision if self.table is not None else 0
            elif isinstance(answer, RevisionTooOld | ReplyTooLarge):
                revision = 0
            is_followed = isinstance(answer, DeclaredQueues) and revision
            if not is_followed and not isinstance(answer, ReplyTooLarge):
                await self._clock.sleep(RETRY_DELAY)

    async def _keep_sure(self, limit: timedelta) -> None:
        while True:
            await self._clock.sleep(REFRESH_INTERVAL)
            is_due = self._is_behind or not self.is_fresh(limit * REFRESH_SHARE)
            if is_due and not self._reading.locked():
                await self._read()

    async def _read(self) -> DeclaredQueues | Rejected | Lost:
        async with self._reading:
            sent = self._now()
            answer = await self._source.read_queues(self._document)
            if isinstance(answer, DeclaredQueues):
                self._is_behind = False
                self._apply(answer, sent)
            return answer

    def _apply(self, declared: DeclaredQueues, sent: float | None) -> None:
        """Put a newer document in force.

        :param sent: when the question was sent that this answers, monotonic
            seconds; ``None`` for what proves nothing of what came after it.
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
                "In force.",
                version=table.version,
                queues=len(table.queues),
                accounts=len(table.accounts),
            )
        if declared.document > self._document:
            self._document = declared.document
            self._is_usable = table is not None and table.version == self.table.version
            self._is_wide = declared.size > WIDE_DOCUMENT_BYTES
        if declared.document and self._is_usable and sent is not None:
            self._confirmed_at = max(self._confirmed_at, sent)
