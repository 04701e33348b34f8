"""A ledger that this daemon owns, with the table of its jobs."""

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
REOPEN_DELAY = timedelta(milliseconds=250)
UNREADABLE_DELAY = timedelta(seconds=30)

_log = get_logger("keeper")

ChangeHandler = Callable[[tuple[str, ...]], None]
Record = tuple[object, type]


class OwnedLedger:
    """One ledger from the gain to the loss of its ownership.

    Guarantee: "Every caller learns truthfully": the table reflects only records
    that are durable.

    :param name: the name of the ledger, such as ``03``.
    :param epoch: the epoch of this ownership.
    :param is_owner: returns whether this daemon still owns the ledger.
    :param ledger_count: number of ledgers that share the writes of the store.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        store: Store,
        clock: Clock,
        is_owner: Callable[[], bool],
        ledger_count: int = defaults.LEDGER_COUNT,
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.table = JobTable()
        self.is_owner = is_owner
        self.commits = 0
        self._clock = clock
        self._is_closed = False
        self._handlers: list[ChangeHandler] = []
        self._ledger = Ledger(
            name,
            store,
            clock,
            self._make_snapshot,
            self._apply,
            append_interval=compute_append_interval(ledger_count),
        )

    def on_change(self, handler: ChangeHandler) -> None:
        """Call ``handler(tasks)`` after each change of the table."""
        self._handlers.append(handler)

    async def open(self) -> bool:
        """Fence earlier owners and replay the ledger.

        :returns: ``False`` if there is a newer owner or the ledger was closed.
        :raises LedgerError: if the content of the store can't be read.
        """
        while not self._is_closed:
            try:
                opened = await self._ledger.open(self.epoch)
                if isinstance(opened, Opened):
                    self._replay(opened.snapshot + opened.records)
                    return not self._is_closed
            except LedgerError as error:
                _log.error("Can't open a ledger.", ledger=self.name, code=error.code)
                # Wait before raising, because each attempt to open the ledger reads
                # all of it and writes to it.
                await self._clock.sleep(UNREADABLE_DELAY)
                raise
            if opened.code == "epoch_passed":
                return False
            count_retry("keeper", opened.code)
            await self._clock.sleep(REOPEN_DELAY)
        return False

    async def close(self) -> None:
        """Reject new commits and wait for those in progress."""
        self._is_closed = True
        await self._ledger.close()

    async def commit(self, *records: Record) -> Committed | Refused | Unknown:
        """Make records durable and apply them to the table.

        :returns: ``Committed`` once both are done; ``Refused`` only if none of the
            records will ever take effect; else ``Unknown``.
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
        """Return the time for records, in seconds since 1970."""
        return self._clock.now().timestamp()

    def _make_snapshot(self) -> tuple[bytes, ...]:
        return tuple(self.table.snapshot())

    def _replay(self, records: tuple[bytes, ...]) -> None:
        """Apply the records from the store.

        :raises LedgerError: if a record is invalid.
        """
        try:
            self._apply(records)
        except (MessageError, LookupError, TypeError, ValueError) as error:
            raise LedgerError(f"invalid record: {error!r}") from error

    def _apply(self, records: tuple[bytes, ...]) -> None:
        for record in records:
            apply_record(self.table, record)
        changed = self.table.take_changed_tasks()
        for handler in self._handlers:
            handler(changed)


def compute_append_interval(ledger_count: int) -> timedelta:
    """Return the minimum interval between two appends of one ledger under load.

    It keeps the total write rate within that of the default number of ledgers.
    """
    share = max(1.0, ledger_count / defaults.LEDGER_COUNT)
    return defaults.APPEND_INTERVAL * share
