"""The attempt numbers that an owner may use, which are above those of all before it.

A worker refuses an attempt that isn't above the last one that ended there. A successor
doesn't know all of these, so an owner stays below a limit that it makes durable before
it goes on. Each epoch has a number of attempts of its own; most owners need no more.
"""

from collections.abc import Callable, Iterable

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leases.memberlease import RETRY_DELAY
from damaskdeck.coordination.pools.predecessors.workers import decode_inherited
from damaskdeck.coordination.pools.transfers import OwnerTerm
from damaskdeck.logs import get_logger
from damaskdeck.protocol.ports import Found, Missing
from damaskdeck.protocol.transactions import TransactionalStore, Write
from damaskdeck.state.jobrecords import ATTEMPTS_KEY, AttemptsRecord, encode_record

# Attempts of a later epoch are above those of all earlier epochs, unless these have
# reserved more.
ATTEMPTS_PER_EPOCH = 100
# How many times as many attempts are reserved as were needed.
RESERVE_FACTOR = 4

_log = get_logger("owner")


class AttemptNumbers:
    """Chooses the attempt numbers of one owner.

    :param on_change: called when the limit has to be written.
    """

    def __init__(self, term: OwnerTerm, on_change: Callable[[], None]) -> None:
        self._epoch = term.epoch
        self._on_change = on_change
        self._floor = (term.epoch - 1) * ATTEMPTS_PER_EPOCH
        # Up to this attempt a successor knows of them, and the same once it is written.
        self._durable_limit = self._wanted_limit = term.epoch * ATTEMPTS_PER_EPOCH

    async def read(self, store: TransactionalStore, clock: Clock) -> None:
        """Read the limit of the owners before."""
        while True:
            found = await store.read(ATTEMPTS_KEY)
            if isinstance(found, Found | Missing):
                break
            await clock.sleep(RETRY_DELAY)
        record = decode_inherited(AttemptsRecord, found)
        if record is not None and record.limit > self._floor:
            self._floor = record.limit
            self._durable_limit = max(self._durable_limit, record.limit)
            self._wanted_limit = self._durable_limit

    def choose(self, attempts: Iterable[int]) -> int:
        """Return a number above earlier attempts and those of all earlier owners.

        :param attempts: the earlier attempts that are known.
        """
        attempt = max(self._floor, *attempts) + 1
        used = attempt - self._floor
        if 2 * used > self._wanted_limit - self._floor:
            reserved = max(ATTEMPTS_PER_EPOCH, RESERVE_FACTOR * used)
            self._wanted_limit = self._floor + reserved
            self._on_change()
        return attempt

    def is_durable(self, attempt: int) -> bool:
        """Whether a successor's attempts are certainly above one."""
        return attempt <= self._durable_limit

    def build_write(self) -> tuple[Write, Callable[[], bool]]:
        """Return the write of the limit and what to call once it is durable."""
        limit = self._wanted_limit

        def apply() -> bool:
            self._durable_limit = max(self._durable_limit, limit)
            _log.info("Attempts are reserved.", epoch=self._epoch, limit=limit)
            return False

        return Write(ATTEMPTS_KEY, encode_record(AttemptsRecord(limit))), apply
