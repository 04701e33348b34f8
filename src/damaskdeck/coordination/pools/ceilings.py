"""The most that each account may have running under any owner, as written down.

An owner starts nothing that brings an account above what was durable before. So a
successor that finds some of an account's runs on the workers that answer knows how much
may at most run on those that don't: the ceiling less these.
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

# A ceiling is raised to what is needed and this share of the quota: lower, and more
# starts wait for a commit, some 10 ms; higher, and a successor has to reckon with more.
HEADROOM_SHARE = 0.125
# It is lowered when it is above what runs by more than this share of the quota, and
# nothing has needed as much for so long: a gang that waits asks four times a second.
SLACK_SHARE = 0.25
NEEDED_SECONDS = 2.0

_log = get_logger("allowances")


class Ceilings:
    """The ceilings of one owner.

    :param note_change: called when they have to be written.
    """

    def __init__(self, note_change: Callable[[], None]) -> None:
        self._note_change = note_change
        self._inherited: dict[str, Size] = {}
        self._durable: dict[str, Size] = {}
        # On its way: the store may hold it already, or never.
        self._sent: dict[str, Size] = {}
        self._wanted: dict[str, Size] = {}
        # When about as much as the ceiling was last needed, monotonic seconds.
        self._needed_at: dict[str, float] = {}

    async def read(self, store: TransactionalStore, clock: Clock) -> None:
        """Read and take over what the owner before has written."""
        found = await store.read(CEILINGS_KEY)
        while not isinstance(found, Found | Missing):
            await clock.sleep(RETRY_DELAY)
            found = await store.read(CEILINGS_KEY)
        if isinstance(found, Missing):
            return
        try:
            record = decode_record(CeilingsRecord, found.entry.value)
        except MessageError as error:
            # Without one the most is assumed of the owner before.
            _log.error("Ceilings can't be read.", code=error.code, error=str(error))
            return
        self.load(record)

    def load(self, record: CeilingsRecord) -> None:
        """Take over those that the owner before has written."""
        self._inherited = dict(record.accounts)
        self._durable = dict(record.accounts)
        self._wanted = dict(record.accounts)

    def find_inherited(self, account: str) -> Size | None:
        """Return the ceiling of the owner before; ``None`` where it knew none."""
        return self._inherited.get(account)

    def limit(self, account: str, quota: Size, needed: Size, now: float) -> Size:
        """Return what of a quota holds: no more than is durable, or will be.

        :param needed: what would run of the account: where that is more, the ceiling
            is raised, and holds once that is durable.
        """
        known = self._wanted.get(account, ZERO_SIZE)
        if not fits(needed, known):
            wanted = _add_share(needed, quota, HEADROOM_SHARE)
            known = Size(*map(max, known, map(min, quota, wanted)))
            self._want(account, known)
        if not fits(_add_share(needed, quota, SLACK_SHARE), known):
            self._needed_at[account] = now
        durable = self._durable.get(account, ZERO_SIZE)
        return Size(*map(min, quota, durable, known, self._sent.get(account, durable)))

    def lower_to(self, account: str, quota: Size, used: Size, now: float) -> None:
        """Take note that no more runs of an account, for certain.

        As long as the ceiling is near that it stays: what runs goes up and down.
        """
        known = self._wanted.get(account, ZERO_SIZE)
        if now - self._needed_at.get(account, 0.0) < NEEDED_SECONDS:
            return
        if not fits(known, _add_share(used, quota, SLACK_SHARE)):
            self._want(account, _add_share(used, quota, HEADROOM_SHARE))

    def _want(self, account: str, size: Size) -> None:
        if self._wanted.get(account) != size:
            self._wanted[account] = size
            self._note_change()

    def build_write(self) -> tuple[Write, Callable[[], bool]]:
        """Return what to write, and what to call once that is durable.

        The call tells that tasks may start that had to wait for it.
        """
        written = self._sent = dict(self._wanted)

        def note_durable() -> bool:
            self._durable, self._sent = written, {}
            return True

        return Write(CEILINGS_KEY, encode_record(CeilingsRecord(written))), note_durable


def _add_share(used: Size, quota: Size, share: float) -> Size:
    """Return what is used and a share of the quota.

    More than the quota, too: after it was lowered more runs for a while.
    """
    return Size(
        *(use + int(share * most) for use, most in zip(used, quota, strict=True))
    )
