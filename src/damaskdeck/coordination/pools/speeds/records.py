"""The durable record of the speeds of workers."""

from typing import NamedTuple

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leadership import RETRY_DELAY
from damaskdeck.coordination.pools.speeds.estimates import (
    MAX_PRECISION,
    SpeedEvidence,
)
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.protocol.pools import PoolWorker, WorkerIncarnation
from damaskdeck.protocol.ports import Found, Missing
from damaskdeck.protocol.transactions import TransactionalStore, Write
from damaskdeck.state.jobrecords import (
    SPEEDS_KEY,
    RecordedSpeed,
    SpeedsRecord,
    decode_record,
    encode_record,
)

# The largest record in bytes. A worker takes some 30 bytes, so about 500 fit.
MAX_RECORD_BYTES = 16_384
# Speeds are stored as whole thousandths of their logarithm.
SPEED_SCALE = 1000
# A recorded speed beyond this logarithm, a factor of 20, can't be right.
MAX_LOG_SPEED = 3.0

_log = get_logger("speeds")


class KnownSpeed(NamedTuple):
    """The evidence on a worker and the labels for which it is valid."""

    labels: frozenset[str]
    evidence: SpeedEvidence


def build_key(worker: PoolWorker) -> str:
    """Return the key of a worker's speed in the record and across incarnations."""
    return WorkerIncarnation.parse(worker.identifier).name


async def read_speeds(store: TransactionalStore, clock: Clock) -> SpeedsRecord:
    """Read the record of the previous owner; an unreadable one counts as empty."""
    found = await store.read(SPEEDS_KEY)
    while not isinstance(found, Found | Missing):
        await clock.sleep(RETRY_DELAY)
        found = await store.read(SPEEDS_KEY)
    if isinstance(found, Missing):
        return SpeedsRecord()
    try:
        return decode_record(SpeedsRecord, found.entry.value)
    except MessageError as error:
        _log.error(
            "Failed to decode the speeds of workers.",
            code=error.code,
            error=str(error),
        )
        return SpeedsRecord()


def build_write(known: dict[str, KnownSpeed], uneven: list[str]) -> Write:
    """Return the write of the record.

    If it would be too large, the workers with the least evidence are left out.

    :param known: by key.
    :param uneven: names of the uneven pools.
    """
    keys = sorted(known, key=lambda key: -known[key].evidence.precision)
    value = _encode(known, keys, uneven)
    while len(value) > MAX_RECORD_BYTES and keys:
        keys = keys[: len(keys) * MAX_RECORD_BYTES // len(value) - 1]
        value = _encode(known, keys, uneven)
    return Write(SPEEDS_KEY, value)


def _encode(known: dict[str, KnownSpeed], keys: list[str], uneven: list[str]) -> bytes:
    label_sets: dict[frozenset[str], int] = {}
    workers = [
        RecordedSpeed(
            key,
            label_sets.setdefault(known[key].labels, len(label_sets)),
            round(known[key].evidence.mean * SPEED_SCALE),
            round(known[key].evidence.precision),
        )
        for key in keys
    ]
    labels = tuple(tuple(sorted(labels)) for labels in label_sets)
    return encode_record(SpeedsRecord(tuple(workers), labels, tuple(uneven)))


def restore_speeds(record: SpeedsRecord) -> dict[str, KnownSpeed]:
    """Return the speeds in a record by key, with twice their errors.

    The record may be some seconds old, and a worker may have restarted since.
    """
    known: dict[str, KnownSpeed] = {}
    for entry in record.workers:
        mean = entry.mean / SPEED_SCALE
        is_valid = (
            0 <= entry.labels < len(record.labels)
            and 0 < entry.precision <= MAX_PRECISION
            and abs(mean) <= MAX_LOG_SPEED
        )
        if is_valid:
            labels = frozenset(record.labels[entry.labels])
            evidence = SpeedEvidence(mean, entry.precision).discount()
            known[entry.key] = KnownSpeed(labels, evidence)
    return known
