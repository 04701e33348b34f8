"""Workers' registrations and operators' declarations in the platform's store."""

import re
from datetime import timedelta
from typing import Any, Literal, NotRequired, TypedDict

import msgspec

from damaskdeck.errors import DECODE_ERRORS, MessageError
from damaskdeck.logs import get_logger
from damaskdeck.platform.fields import (
    Factor,
    Milliseconds,
    Name,
    Quantity,
    is_address,
    read_duration,
)
from damaskdeck.protocol.pools import (
    Declared,
    PoolWorker,
    Registered,
    RegistryChange,
    RegistryChanges,
)
from damaskdeck.protocol.ports import (
    Events,
    Found,
    Lost,
    Missing,
    Rejected,
    TooOld,
)
from damaskdeck.protocol.queues import AdviceTerms, Queue, QueueTable
from damaskdeck.protocol.sizes import Size
from damaskdeck.protocol.transactions import TransactionalStore, read_all

_WORKERS = "servers/"
_OPERATOR = "op/"
_QUEUES = "op/config"
_WAVES = "op/wave/"
_LEAVING = "draining"
_RACK = re.compile(r"^r\d")
_BODY_LIMIT = 262_144
# Characters of a foreign text that a log line holds.
_SHOWN = 64

_log = get_logger("registry")


class _Capacity(TypedDict):
    cpu: NotRequired[Quantity]
    mem_mb: NotRequired[Quantity]
    gpu: NotRequired[Quantity]


class _Worker(TypedDict):
    service: Name
    address: str
    zone: NotRequired[str]
    state: Literal["ready", "draining"]
    capacity: NotRequired[_Capacity]
    labels: NotRequired[list[str]]
    remaining_ms: NotRequired[Milliseconds | None]


class _Advice(TypedDict):
    decide_ms: NotRequired[Milliseconds]
    period_ms: NotRequired[Milliseconds]
    valid_ms: NotRequired[Milliseconds]


class _Route(TypedDict):
    name: Name
    host: str
    path_prefix: str
    service: Name
    target_latency_ms: NotRequired[Milliseconds]
    priority: NotRequired[Quantity]
    max_attempts: NotRequired[Quantity]
    slack_factor: NotRequired[Factor]
    advice: NotRequired[_Advice | None]


class _Service(TypedDict):
    name: Name


class _Limits(TypedDict):
    max_body_bytes: NotRequired[Quantity]


class _Document(TypedDict):
    version: Quantity
    routes: list[_Route]
    services: NotRequired[list[_Service]]
    limits: NotRequired[_Limits]


_worker = msgspec.json.Decoder(_Worker)
_document = msgspec.json.Decoder(_Document)


class PlatformRegistry:
    """Implements ``WorkerRegistry``."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store
        # Revisions of entries that can't be used and were told of, by key.
        self._told: dict[str, int] = {}

    async def list_workers(self) -> Registered | Rejected | Lost:
        """Read all workers."""
        found = await read_all(self._store, _WORKERS)
        if isinstance(found, Rejected | Lost):
            return found
        entries, revision = found
        changes = (self._read(e.key, e.value, e.revision) for e in entries)
        workers = (change.worker for change in changes if change.worker is not None)
        return Registered(tuple(workers), revision)

    async def follow_workers(
        self, revision: int, wait: timedelta
    ) -> RegistryChanges | TooOld | Rejected | Lost:
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
        return RegistryChange(identifier, worker)

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


class PlatformQueues:
    """Implements ``QueueSource``."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store

    async def read_queues(self) -> Declared | Rejected | Lost:
        """Read the newest document."""
        found = await self._store.read(_QUEUES)
        if isinstance(found, Missing):
            return Declared(None, found.revision)
        if not isinstance(found, Found):
            return found
        return Declared(_read_table(found.entry.value), found.entry.revision)

    async def follow_queues(
        self, revision: int, wait: timedelta
    ) -> Declared | TooOld | Rejected | Lost:
        """Return the newest document after ``revision``."""
        found = await self._store.watch(_OPERATOR, revision, wait)
        if not isinstance(found, Events):
            return found
        table = None
        for event in found.events:
            if event.key == _QUEUES and event.value is not None:
                table = _read_table(event.value) or table
            elif event.key.startswith(_WAVES) and event.value is not None:
                _log.error(
                    "An upkeep wave is not served.", code="unsupported", key=event.key
                )
        return Declared(table, found.revision)


def _read_worker(identifier: str, worker: _Worker) -> PoolWorker:
    """Return the worker of an entry.

    :raises MessageError: when it can't be called.
    """
    if not identifier:
        raise MessageError("its key names no worker")
    if not is_address(worker["address"]):
        raise MessageError(f"no address: {worker['address'][:_SHOWN]!r}")
    capacity = worker.get("capacity", {})
    labels = worker.get("labels", [])
    remaining = worker.get("remaining_ms")
    return PoolWorker(
        identifier,
        worker["service"],
        worker["address"],
        worker.get("zone", ""),
        Size(capacity.get("cpu", 0), capacity.get("mem_mb", 0), capacity.get("gpu", 0)),
        frozenset(labels),
        next((label for label in labels if _RACK.match(label)), ""),
        worker["state"] == _LEAVING,
        None if remaining is None else read_duration(remaining),
    )


def _read_table(value: bytes) -> QueueTable | None:
    try:
        document = _document.decode(value)
    except DECODE_ERRORS as error:
        _log.error(
            "The declarations can't be read.", code=MessageError.code, error=str(error)
        )
        return None
    return QueueTable(
        document["version"],
        tuple(map(_read_queue, document["routes"])),
        frozenset(service["name"] for service in document.get("services", [])),
        document.get("limits", {}).get("max_body_bytes", _BODY_LIMIT),
    )


def _read_queue(route: _Route) -> Queue:
    return Queue(
        route["name"],
        route["host"],
        route["path_prefix"],
        route["service"],
        route.get("priority", 0),
        max(1, route.get("max_attempts", 1)),
        route.get("slack_factor", 1.0),
        read_duration(route.get("target_latency_ms", 0)),
        _read_terms(route.get("advice")),
    )


def _read_terms(advice: Any) -> AdviceTerms | None:
    if not advice:
        return None
    return AdviceTerms(
        read_duration(advice.get("decide_ms", 0)),
        read_duration(advice.get("period_ms", 0)),
        read_duration(advice.get("valid_ms", 0)),
    )
