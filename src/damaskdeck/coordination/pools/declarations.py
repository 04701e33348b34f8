"""The declared queues in force on this daemon: only ever a newer document."""

from datetime import timedelta

from damaskdeck.clock import Clock
from damaskdeck.logs import get_logger
from damaskdeck.metrics import set_revision
from damaskdeck.protocol.pools import Declared, QueueSource
from damaskdeck.protocol.ports import TooOld
from damaskdeck.protocol.queues import QueueTable

RETRY_DELAY = timedelta(milliseconds=100)
# With what a silent channel takes to be noticed it stays below the bound in which
# a document must be in force.
WATCH_WAIT = timedelta(seconds=2)

_log = get_logger("declarations")


class Declarations:
    """Follows the operators' document.

    :ivar table: in force here; ``None`` until one has been read.
    """

    def __init__(self, source: QueueSource, clock: Clock) -> None:
        self.table: QueueTable | None = None
        self._source = source
        self._clock = clock

    def knows_pool(self, pool: str) -> bool:
        """Tell whether a pool is declared; before any document all may be."""
        return self.table is None or pool in self.table.pools

    async def run(self) -> None:
        """Read the newest document, then follow its changes."""
        revision = 0
        while True:
            if not revision:
                answer = await self._source.read_queues()
            else:
                answer = await self._source.follow_queues(revision, WATCH_WAIT)
            if isinstance(answer, Declared):
                self._apply(answer.table)
                # Before any document there is nothing to follow from.
                revision = answer.revision if self.table is not None else 0
            elif isinstance(answer, TooOld):
                revision = 0
            if not isinstance(answer, Declared) or not revision:
                await self._clock.sleep(RETRY_DELAY)

    def _apply(self, table: QueueTable | None) -> None:
        if table is None:
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        set_revision(table.version)
        _log.info("In force.", version=table.version, queues=len(table.queues))
