"""Registrations of workers in the platform's store."""

import re
from datetime import timedelta
from typing import Literal, NotRequired, TypedDict

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.logs import get_logger
from damaskdeck.platform.fields import (
    BirthMs,
    DurationMs,
    Name,
    ResourceAmounts,
    build_size,
    to_duration,
)
from damaskdeck.protocol.addresses import is_callable_address
from damaskdeck.protocol.pools import (
    PoolWorker,
    RegisteredWorkers,
    RegistryChange,
    RegistryChanges,
    WorkerIncarnation,
)
from damaskdeck.protocol.ports import (
    Events,
    Lost,
    Rejected,
    RevisionTooOld,
)
from damaskdeck.protocol.transactions import TransactionalStore, read_all

_WORKERS_PREFIX = "servers/"
_DRAINING_STATE = "draining"
_RACK_LABEL = re.compile(r"^r\d")
# Texts from other writers are cut to this length in log lines.
_MAX_LOGGED_CHARACTERS = 64

_log = get_logger("registry")


class _Registration(TypedDict):
    service: Name
    address: str
    zone: NotRequired[str]
    state: Literal["ready", "draining"]
    capacity: NotRequired[ResourceAmounts]
    labels: NotRequired[list[str]]
    remaining_ms: NotRequired[DurationMs | None]
    born: NotRequired[BirthMs]


_registration_decoder = msgspec.json.Decoder(_Registration)


class PlatformRegistry:
    """Implements ``WorkerRegistry`` on the platform's store."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        # Key to the revision for which an unusable entry was last logged.
        self._reported_revisions: dict[str, int] = {}

    async def list_workers(self) -> RegisteredWorkers | Rejected | Lost:
        """Return all workers with a usable registration."""
        found = await read_all(self._store, _WORKERS_PREFIX)
        if isinstance(found, Rejected | Lost):
            return found
        entries, revision = found
        changes = [self._parse_entry(e.key, e.value, e.revision) for e in entries]
        usable = [change for change in changes if change.worker is not None]
        return RegisteredWorkers(
            tuple(change.worker for change in usable),
            revision,
            tuple(change.revision for change in usable),
        )

    async def follow_workers(
        self, revision: int, wait: timedelta
    ) -> RegistryChanges | RevisionTooOld | Rejected | Lost:
        """Return the last change of each registration after ``revision``."""
        found = await self._store.watch(_WORKERS_PREFIX, revision, wait)
        if not isinstance(found, Events):
            return found
        newest = {event.key: event for event in found.events}
        changes = (
            self._parse_entry(e.key, e.value, e.revision) for e in newest.values()
        )
        return RegistryChanges(tuple(changes), found.revision)

    def _parse_entry(
        self, key: str, value: bytes | None, revision: int
    ) -> RegistryChange:
        """Return the change for an entry; its worker is ``None`` if it is unusable."""
        name = key.removeprefix(_WORKERS_PREFIX)
        if value is None:
            self._reported_revisions.pop(key, None)
            return RegistryChange(name, None)
        try:
            worker = _build_worker(name, _registration_decoder.decode(value))
        except (MessageError, *DECODE_ERRORS) as error:
            self._report_unusable(key, revision, str(error))
            return RegistryChange(name, None)
        if self._reported_revisions.pop(key, None) is not None:
            _log.info("A registration can be used again.", key=key, revision=revision)
        return RegistryChange(worker.identifier, worker, revision)

    def _report_unusable(self, key: str, revision: int, reason: str) -> None:
        """Log an unusable entry, once for each revision."""
        if self._reported_revisions.get(key) == revision:
            return
        self._reported_revisions[key] = revision
        _log.error(
            "A registration can't be used.",
            code=MessageError.code,
            key=key,
            revision=revision,
            error=reason,
        )


def _build_worker(name: str, worker: _Registration) -> PoolWorker:
    """Return the worker of a registration.

    :raises MessageError: if it has no name or no valid address.
    """
    if not name:
        raise MessageError("the key contains no worker identifier")
    if not is_callable_address(worker["address"]):
        raise MessageError(
            f"invalid address: {worker['address'][:_MAX_LOGGED_CHARACTERS]!r}"
        )
    labels = worker.get("labels", [])
    remaining = worker.get("remaining_ms")
    return PoolWorker(
        WorkerIncarnation(name, worker.get("born")).identifier,
        worker["service"],
        worker["address"],
        worker.get("zone", ""),
        build_size(worker.get("capacity")),
        frozenset(labels),
        next((label for label in labels if _RACK_LABEL.match(label)), ""),
        worker["state"] == _DRAINING_STATE,
        None if remaining is None else to_duration(remaining),
    )
