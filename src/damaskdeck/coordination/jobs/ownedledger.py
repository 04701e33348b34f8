"""A ledger that this daemon keeps, with the jobs that it describes."""

from collections.abc import Callable
from datetime import timedelta

from damaskdeck import defaults
from damaskdeck.clock import Clock
from damaskdeck.errors import LedgerError, MessageError
from damaskdeck.logs import get_logger
from damaskdeck.metrics import count_refusal, count_retry
from damaskdeck.protocol.outcomes import Refused, Unknown
from damaskdeck.protocol.ports import Lost, Rejected, Store
from damaskdeck.state.jobtable import JobTable
from damaskdeck.state.ledger import Committed, Deposed, Ledger, Opened
from damaskdeck.state.records import encode_record
from damaskdeck.state.replay import apply_record

RETRY_AFTER = timedelta(seconds=1)
REOPEN_INTERVAL = timedelta(milliseconds=250)
UNREADABLE_INTERVAL = timedelta(seconds=30)

_log = get_logger("keeper")

ChangeHandler = Callable[[tuple[str, ...]], None]
Record = tuple[object, type]


class OwnedLedger:
    """One ledger, from gaining it to losing it.

    Promise: "Every caller learns truthfully": the table changes only by what
    is durable.

    :param name: of the ledger, as in ``03``.
    :param may_act: tells whether this daemon still keeps the ledger.
    :param ledger_count: how many ledgers share the store's writes.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        store: Store,
        clock: Clock,
        may_act: Callable[[], bool],
        ledger_count: int = defaults.LEDGER_COUNT,
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.table = JobTable()
        self.may_act = may_act
        self.commits = 0
        self._clock = clock
        self._is_closed = False
        self._handlers: list[ChangeHandler] = []
        self._ledger = Ledger(
            name,
            store,
            clock,
            self._take_snapshot,
            self._apply,
            append_interval=compute_append_interval(ledger_count),
        )

    def on_change(self, handler: ChangeHandler) -> None:
        """Call ``handler(tasks)`` after each change of the table."""
        self._handlers.append(handler)

    async def open(self) -> bool:
        """Fence off earlier keepers and replay; false if there is a newer one.

        :raises LedgerError: when what the store holds can't be read.
        """
        while not self._is_closed:
            try:
                opened = await self._ledger.open(self.epoch)
                if isinstance(opened, Opened):
                    self._replay(opened.snapshot + opened.records)
                    return not self._is_closed
            except LedgerError as error:
                _log.error("Stays closed.", ledger=self.name, code=error.code)
                # Each new try reads all of the ledger and writes to it.
                await self._clock.sleep(UNREADABLE_INTERVAL)
                raise
            if opened.code == "epoch_passed":
                return False
            count_retry("keeper", opened.code)
            await self._clock.sleep(REOPEN_INTERVAL)
        return False

    async def close(self) -> None:
        """Let the commits in progress end and take no more."""
        self._is_closed = True
        await self._ledger.close()

    async def commit(self, *records: Record) -> Committed | Refused | Unknown:
        """Make records durable; the table has them once ``Committed`` is returned.

        :returns: ``Refused`` only if none will ever take effect.
        """
        encoded = tuple(encode_record(value, kind) for value, kind in records)
        outcome = await self._ledger.commit(encoded)
        if isinstance(outcome, Committed):
            self.commits += 1
            return outcome
        if isinstance(outcome, Lost):
            return Unknown("answer_lost", "the store's answer was lost")
        code = "no_keeper" if isinstance(outcome, Deposed) else outcome.code
        detail = outcome.detail if isinstance(outcome, Rejected) else ""
        count_refusal("keeper", code)
        retry_after = None if code == "value_too_large" else RETRY_AFTER
        return Refused(code, detail, retry_after)

    def get_time(self) -> float:
        """Return the time of day for records, in seconds since 1970."""
        return self._clock.now().timestamp()

    def _take_snapshot(self) -> tuple[bytes, ...]:
        return tuple(self.table.snapshot())

    def _replay(self, records: tuple[bytes, ...]) -> None:
        """Apply what the store holds.

        :raises LedgerError: when a record makes no sense.
        """
        try:
            self._apply(records)
        except (MessageError, LookupError, TypeError, ValueError) as error:
            raise LedgerError(f"a record makes no sense: {error!r}") from error

    def _apply(self, records: tuple[bytes, ...]) -> None:
        for record in records:
            apply_record(self.table, record)
        touched = self.table.take_changed_tasks()
        for handler in self._handlers:
            handler(touched)


def compute_append_interval(ledger_count: int) -> timedelta:
    """Return the least time between two appends of one ledger under load.

    All ledgers together stay within the writes of the default number of them.
    """
    share = max(1.0, ledger_count / defaults.LEDGER_COUNT)
    return defaults.APPEND_INTERVAL * share
