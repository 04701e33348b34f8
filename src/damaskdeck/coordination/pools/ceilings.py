"""Ceilings: the most that each account may have running under any owner.

Ceilings are stored. An owner starts nothing that would raise an account's usage above
its durable ceiling. A successor that finds some of the account's runs on the workers
that answer therefore knows the most that can be running on the others: the ceiling
minus these runs.
"""

from collections.abc import Callable

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leadership import RETRY_DELAY
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Found, Missing
from damaskdeck.protocol.sizes import ZERO_SIZE, Size, fits
from damaskdeck.protocol.transactions import TransactionalStore, Write
from damaskdeck.state.jobrecords import (
    CEILINGS_KEY,
    CeilingsRecord,
    decode_record,
    encode_record,
)

# A ceiling is raised to what is needed plus this share of the quota. With a lower
# share more starts wait for a commit of about 10 ms; with a higher one a successor has
# to assume more unknown usage.
HEADROOM_SHARE = 0.125
# A ceiling is lowered once it exceeds the usage by more than this share of the quota
# and nothing has needed as much for NEEDED_SECONDS. A gang that waits requests its
# capacity four times a second.
SLACK_SHARE = 0.25
NEEDED_SECONDS = 2.0

_log = get_logger("allowances")


class Ceilings:
    """The ceilings of one owner.

    :param on_change: Called when the ceilings have to be written.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self._inherited: dict[str, Size] = {}
        self._durable: dict[str, Size] = {}
        # Sent to the store but unconfirmed, so these may be in force or not.
        self._in_flight: dict[str, Size] = {}
        self._wanted: dict[str, Size] = {}
        # The monotonic time in seconds when about as much as the ceiling was needed.
        self._needed_at: dict[str, float] = {}

    async def read(self, store: TransactionalStore, clock: Clock) -> None:
        """Read the ceilings of the previous owner and adopt them."""
        found = await store.read(CEILINGS_KEY)
        while not isinstance(found, Found | Missing):
            await clock.sleep(RETRY_DELAY)
            found = await store.read(CEILINGS_KEY)
        if isinstance(found, Missing):
            return
        try:
            record = decode_record(CeilingsRecord, found.entry.value)
        except MessageError as error:
            # Without a ceiling the previous owner is assumed to have run as much as the
            # unreconciled workers can hold and the account's jobs may have running.
            _log.error(
                "Failed to decode the ceilings.", code=error.code, error=str(error)
            )
            return
        self.load(record)

    def load(self, record: CeilingsRecord) -> None:
        """Adopt the ceilings of the previous owner."""
        self._inherited = dict(record.accounts)
        self._durable = dict(record.accounts)
        self._wanted = dict(record.accounts)

    def find_inherited(self, account: str) -> Size | None:
        """Return the previous owner's ceiling of an account, ``None`` without one."""
        return self._inherited.get(account)

    def limit(self, account: str, quota: Size, needed: Size, now: float) -> Size:
        """Return the part of a quota that may be used now.

        It is at most the smallest of the durable ceiling, the one in flight and the one
        that is wanted: a raise applies once it is durable, a lower ceiling at once.

        :param needed: The usage that is wanted. If it exceeds the ceiling, the ceiling
            is raised and applies once it is durable.
        """
        ceiling = self._wanted.get(account, ZERO_SIZE)
        if not fits(needed, ceiling):
            wanted = _add_share(needed, quota, HEADROOM_SHARE)
            ceiling = Size(*map(max, ceiling, map(min, quota, wanted)))
            self._set_wanted(account, ceiling)
        if not fits(_add_share(needed, quota, SLACK_SHARE), ceiling):
            self._needed_at[account] = now
        durable = self._durable.get(account, ZERO_SIZE)
        return Size(
            *map(min, quota, durable, ceiling, self._in_flight.get(account, durable))
        )

    def lower_to(self, account: str, quota: Size, used: Size, now: float) -> None:
        """Lower the ceiling of an account whose usage is known for certain.

        A ceiling that is near the usage stays, because usage goes up and down.
        """
        ceiling = self._wanted.get(account, ZERO_SIZE)
        if now - self._needed_at.get(account, 0.0) < NEEDED_SECONDS:
            return
        if not fits(ceiling, _add_share(used, quota, SLACK_SHARE)):
            self._set_wanted(account, _add_share(used, quota, HEADROOM_SHARE))

    def _set_wanted(self, account: str, size: Size) -> None:
        if self._wanted.get(account) != size:
            self._wanted[account] = size
            self._on_change()

    def build_write(self) -> tuple[Write, Callable[[], bool]]:
        """Return the write and a function to call once it is durable.

        The function returns whether tasks that waited for the write may start.
        """
        written = self._in_flight = dict(self._wanted)

        def mark_durable() -> bool:
            self._durable, self._in_flight = written, {}
            return True

        return Write(CEILINGS_KEY, encode_record(CeilingsRecord(written))), mark_durable


def _add_share(used: Size, quota: Size, share: float) -> Size:
    """Return the usage plus a share of the quota.

    The result may exceed the quota: after a quota was lowered, more than it allows
    continues to run for a while.
    """
    return Size(
        *(use + int(share * most) for use, most in zip(used, quota, strict=True))
    )
