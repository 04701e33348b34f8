"""Workers' registrations in the platform's store."""

import re
from datetime import timedelta
from typing import Literal, NotRequired, TypedDict

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.logs import get_logger
from damaskdeck.platform.fields import (
    Amounts,
    Milliseconds,
    Name,
    is_address,
    read_duration,
    read_size,
)
from damaskdeck.protocol.pools import (
    PoolWorker,
    RegisteredWorkers,
    RegistryChange,
    RegistryChanges,
)
from damaskdeck.protocol.ports import (
    Events,
    Lost,
    Rejected,
    RevisionTooOld,
)
from damaskdeck.protocol.transactions import TransactionalStore, read_all

_WORKERS = "servers/"
_LEAVING = "draining"
_RACK = re.compile(r"^r\d")
# Characters of a foreign text that a log line holds.
_SHOWN = 64

_log = get_logger("registry")


class _Worker(TypedDict):
    service: Name
    address: str
    zone: NotRequired[str]
    state: Literal["ready", "draining"]
    capacity: NotRequired[Amounts]
    labels: NotRequired[list[str]]
    remaining_ms: NotRequired[Milliseconds | None]


_worker = msgspec.json.Decoder(_Worker)


class PlatformRegistry:
    """Implements ``WorkerRegistry``."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        # Revisions of entries that can't be used and were told of, by key.
        self._told: dict[str, int] = {}

    async def list_workers(self) -> RegisteredWorkers | Rejected | Lost:
        """Read all workers."""
        found = await read_all(self._store, _WORKERS)
        if isinstance(found, Rejected | Lost):
            return found
        entries, revision = found
        changes = [self._read(e.key, e.value, e.revision) for e in entries]
        usable = [change for change in changes if change.worker is not None]
        return RegisteredWorkers(
            tuple(change.worker for change in usable),
            revision,
            tuple(change.revision for change in usable),
        )

    async def follow_workers(
        self, revision: int, wait: timedelta
    ) -> RegistryChanges | RevisionTooOld | Rejected | Lost:
        """Return the changes after ``revision``."""
        found = await self._store.watch(_WORKERS, revision, wait)
        if not isinstance(found, Events):
            return found
        newest = {event.key: event for event in found.events}
        changes = (self._read(e.key, e.value, e.revision) for e in newest.values())
        return RegistryChanges(tuple(changes), found.revision)

    def _read(self, key: str, value: bytes | None, revision: int) -> RegistryChange:
        """Return what an entry says; one that can't be used names no worker."""
        identifier = key.removeprefix(_WORKERS)
        if value is None:
            self._told.pop(key, None)
            return RegistryChange(identifier, None)
        try:
            worker = _read_worker(identifier, _worker.decode(value))
        except (MessageError, *DECODE_ERRORS) as error:
            self._tell(key, revision, str(error))
            return RegistryChange(identifier, None)
        if self._told.pop(key, None) is not None:
            _log.info("A registration can be used again.", key=key, revision=revision)
        return RegistryChange(identifier, worker, revision)

    def _tell(self, key: str, revision: int, reason: str) -> None:
        """Write a line on an entry that can't be used, once for each revision."""
        if self._told.get(key) == revision:
            return
        self._told[key] = revision
        _log.error(
            "A registration can't be used.",
            code=MessageError.code,
            key=key,
            revision=revision,
            error=reason,
        )


def _read_worker(identifier: str, worker: _Worker) -> PoolWorker:
    """Return the worker of an entry.

    :raises MessageError: when it can't be called.
    """
    if not identifier:
        raise MessageError("its key names no worker")
    if not is_address(worker["address"]):
        raise MessageError(f"no address: {worker['address'][:_SHOWN]!r}")
    labels = worker.get("labels", [])
    remaining = worker.get("remaining_ms")
    return PoolWorker(
        identifier,
        worker["service"],
        worker["address"],
        worker.get("zone", ""),
        read_size(worker.get("capacity")),
        frozenset(labels),
        next((label for label in labels if _RACK.match(label)), ""),
        worker["state"] == _LEAVING,
        None if remaining is None else read_duration(remaining),
    )
