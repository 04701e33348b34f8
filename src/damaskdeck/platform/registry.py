"""Workers' registrations and operators' declarations in the platform's store."""

import re
from datetime import timedelta
from typing import Any, NotRequired, TypedDict

import msgspec

from damaskdeck.errors import DECODE_ERRORS
from damaskdeck.logs import get_logger
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

_log = get_logger("registry")


class _Capacity(TypedDict):
    cpu: NotRequired[int]
    mem_mb: NotRequired[int]
    gpu: NotRequired[int]


class _Worker(TypedDict):
    service: str
    address: str
    zone: NotRequired[str]
    state: NotRequired[str]
    capacity: NotRequired[_Capacity]
    labels: NotRequired[list[str]]
    remaining_ms: NotRequired[float | None]


class _Advice(TypedDict):
    decide_ms: NotRequired[float]
    period_ms: NotRequired[float]
    valid_ms: NotRequired[float]


class _Route(TypedDict):
    name: str
    host: str
    path_prefix: str
    service: str
    target_latency_ms: NotRequired[float]
    priority: NotRequired[int]
    max_attempts: NotRequired[int]
    slack_factor: NotRequired[float]
    advice: NotRequired[_Advice | None]


class _Service(TypedDict):
    name: str


class _Limits(TypedDict):
    max_body_bytes: NotRequired[int]


class _Document(TypedDict):
    version: int
    routes: list[_Route]
    services: NotRequired[list[_Service]]
    limits: NotRequired[_Limits]


_worker = msgspec.json.Decoder(_Worker)
_document = msgspec.json.Decoder(_Document)


class PlatformRegistry:
    """Implements ``WorkerRegistry``."""

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store

    async def list_workers(self) -> Registered | Rejected | Lost:
        """Read all workers."""
        found = await read_all(self._store, _WORKERS)
        if isinstance(found, Rejected | Lost):
            return found
        entries, revision = found
        changes = (_read_change(entry.key, entry.value) for entry in entries)
        workers = (c.worker for c in changes if c is not None and c.worker is not None)
        return Registered(tuple(workers), revision)

    async def follow_workers(
        self, revision: int, wait: timedelta
    ) -> RegistryChanges | TooOld | Rejected | Lost:
        """Return the changes after ``revision``."""
        found = await self._store.watch(_WORKERS, revision, wait)
        if not isinstance(found, Events):
            return found
        newest = {event.key: event.value for event in found.events}
        changes = (_read_change(key, value) for key, value in newest.items())
        return RegistryChanges(tuple(c for c in changes if c), found.revision)


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


def _read_change(key: str, value: bytes | None) -> RegistryChange | None:
    identifier = key.removeprefix(_WORKERS)
    if value is None:
        return RegistryChange(identifier, None)
    try:
        worker = _worker.decode(value)
    except DECODE_ERRORS as error:
        _log.error("A registration can't be read.", key=key, error=str(error))
        return None
    return RegistryChange(identifier, _read_worker(identifier, worker))


def _read_worker(identifier: str, worker: _Worker) -> PoolWorker:
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
        worker.get("state") == _LEAVING,
        None if remaining is None else timedelta(milliseconds=remaining),
    )


def _read_table(value: bytes) -> QueueTable | None:
    try:
        document = _document.decode(value)
    except DECODE_ERRORS as error:
        _log.error("The declarations can't be read.", error=str(error))
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
        timedelta(milliseconds=route.get("target_latency_ms", 0)),
        _read_terms(route.get("advice")),
    )


def _read_terms(advice: Any) -> AdviceTerms | None:
    if not advice:
        return None
    return AdviceTerms(
        timedelta(milliseconds=advice.get("decide_ms", 0)),
        timedelta(milliseconds=advice.get("period_ms", 0)),
        timedelta(milliseconds=advice.get("valid_ms", 0)),
    )
