"""Reads the workers that a new owner takes over from its predecessor."""

import asyncio
from typing import NamedTuple, TypeVar

from damaskdeck.clock import Clock
from damaskdeck.coordination.pools.leases.memberlease import RETRY_DELAY
from damaskdeck.errors import MessageError
from damaskdeck.logs import get_logger
from damaskdeck.protocol.pools import RegisteredWorkers, WorkerRegistry
from damaskdeck.protocol.ports import Found, Missing
from damaskdeck.protocol.transactions import TransactionalStore
from damaskdeck.state.jobrecords import (
    CORDONS_KEY,
    ROSTER_KEY,
    CordonsRecord,
    RosterRecord,
    decode_record,
)

T = TypeVar("T")

_log = get_logger("workforce")


class InheritedWorkers(NamedTuple):
    """The workers that a new owner finds in the store.

    :param roster: the roster of the previous owner, ``None`` if it is unreadable.
    """

    registered: RegisteredWorkers
    roster: RosterRecord | None
    cordons: CordonsRecord


async def read_inherited_workers(
    registry: WorkerRegistry, store: TransactionalStore, clock: Clock
) -> InheritedWorkers:
    """Read the registry and the records of the previous owner until all are found."""
    while True:
        found, roster, cordons = await asyncio.gather(
            registry.list_workers(),
            store.read(ROSTER_KEY),
            store.read(CORDONS_KEY),
        )
        answers = roster, cordons
        if isinstance(found, RegisteredWorkers) and all(
            isinstance(answer, Found | Missing) for answer in answers
        ):
            break
        await clock.sleep(RETRY_DELAY)
    return InheritedWorkers(
        found,
        decode_inherited(RosterRecord, roster),
        # If the cordons are unreadable, no worker counts as cordoned.
        decode_inherited(CordonsRecord, cordons) or CordonsRecord(),
    )


def decode_inherited(kind: type[T], answer: Found | Missing) -> T | None:
    """Return a record, an empty one if it is missing, ``None`` if it is unreadable."""
    if isinstance(answer, Missing):
        return kind()
    try:
        return decode_record(kind, answer.entry.value)
    except MessageError as error:
        _log.error(
            "A record of the previous owner can't be decoded.",
            code=error.code,
            key=answer.entry.key,
            error=str(error),
        )
        return None
